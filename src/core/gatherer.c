/**
 * @file gatherer.c
 * See gatherer.h.
 */
#include "core/gatherer.h"

/* A gatherer says that it has taken a request before it sends anything: a round trip of 0.4 to 3 ms
 * and a turn of its loop. Past this share of the route's target, another can still gather in time;
 * past so many times its usual, and so long at least, it is not just busy. */
#define SILENT_SHARE 0.25
#define SILENT_TIMES 4
#define SILENT_LEAST_US 20000
/* One late word moves the median of what is usual by a tenth. */
#define TAKEN_STEP 0.1

gatherer_t *gatherer_new(const vm_t *vm, bool local)
{
	gatherer_t *gatherer = g_new0(gatherer_t, 1);

	gatherer->refs = 1;
	gatherer->vm = vm_new(vm);
	gatherer->local = local;
	gatherer->taken = (quantile_t){.fraction = 0.5, .step = TAKEN_STEP};
	return gatherer;
}

gatherer_t *gatherer_ref(gatherer_t *gatherer)
{
	gatherer->refs++;
	return gatherer;
}

void gatherer_unref(gatherer_t *gatherer)
{
	if (--gatherer->refs)
		return;
	vm_free(gatherer->vm);
	g_free(gatherer);
}

bool gatherer_is(const gatherer_t *gatherer, const vm_t *vm)
{
	return g_str_equal(gatherer->vm->name, vm->name) &&
	       g_str_equal(gatherer->vm->address, vm->address) &&
	       gatherer->vm->gather_port == vm->gather_port;
}

bool gatherer_takes(const gatherer_t *gatherer, uint64_t now_us)
{
	return gatherer->state == GATHERER_THERE && now_us >= gatherer->avoid_until_us;
}

uint64_t gatherer_silent_us(const gatherer_t *gatherer, uint64_t target_us)
{
	double wait_us = MAX(target_us * SILENT_SHARE, SILENT_LEAST_US);

	return (uint64_t)MAX(wait_us, gatherer->taken.value_us * SILENT_TIMES);
}

const char *gatherer_state_name(gatherer_state_t state)
{
	static const char *const names[] = {[GATHERER_CLOSED] = "closed",
					    [GATHERER_OPENS] = "opens",
					    [GATHERER_THERE] = "there",
					    [GATHERER_SILENT] = "silent",
					    [GATHERER_LEAVING] = "leaving"};

	return names[state];
}
