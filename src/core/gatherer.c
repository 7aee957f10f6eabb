/**
 * @file gatherer.c
 * See gatherer.h.
 */
#include "core/gatherer.h"

/* A gatherer accepts a request before it sends any sub-request: this takes a round trip of 0.4 to 3
 * ms and one iteration of its event loop. It times out after this share of the route's target,
 * while another gatherer can still answer in time, but not before this minimum and this multiple of
 * its median accept latency: up to then it may just be busy. */
#define TIMEOUT_TARGET_SHARE 0.25
#define TIMEOUT_FACTOR 4
#define TIMEOUT_MIN_US 20000
/* One late acceptance moves the median by a tenth. */
#define ACCEPT_LATENCY_STEP 0.1

gatherer_t *gatherer_new(const vm_t *vm, bool local)
{
	gatherer_t *gatherer = g_new0(gatherer_t, 1);

	gatherer->refs = 1;
	gatherer->vm = vm_new(vm);
	gatherer->local = local;
	gatherer->accept_latency = (quantile_t){.fraction = 0.5, .step = ACCEPT_LATENCY_STEP};
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

bool gatherer_matches(const gatherer_t *gatherer, const vm_t *vm)
{
	return g_str_equal(gatherer->vm->name, vm->name) &&
	       g_str_equal(gatherer->vm->address, vm->address) &&
	       gatherer->vm->gather_port == vm->gather_port;
}

bool gatherer_is_available(const gatherer_t *gatherer, uint64_t now_us)
{
	return gatherer->state == GATHERER_READY && now_us >= gatherer->avoid_until_us;
}

uint64_t gatherer_timeout_us(const gatherer_t *gatherer, uint64_t target_us)
{
	double wait_us = MAX(target_us * TIMEOUT_TARGET_SHARE, TIMEOUT_MIN_US);

	return (uint64_t)MAX(wait_us, gatherer->accept_latency.value_us * TIMEOUT_FACTOR);
}

const char *gatherer_state_name(gatherer_state_t state)
{
	static const char *const names[] = {[GATHERER_CLOSED] = "closed",
					    [GATHERER_PINGED] = "opens",
					    [GATHERER_READY] = "there",
					    [GATHERER_UNRESPONSIVE] = "silent",
					    [GATHERER_LEAVING] = "leaving"};

	return names[state];
}
