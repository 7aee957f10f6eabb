/**
 * @file vm.c
 * See vm.h.
 */
#include "core/vm.h"

/* Cost of a sub-request: processor time on a whole core, including system calls and wake-ups, and
 * bits on the link (the request, and a reply with 400 B of records and its headers). */
#define PART_PROCESSOR_US 64.0
#define PART_BITS 7200.0
/* Cost of an answer: it is read from one connection and written to another, with some 30 bytes of
 * the searcher's response signature per shard. */
#define ANSWER_PROCESSOR_US 200.0
#define ANSWER_BITS 32000.0

static double busy_us(const vm_t *vm, double processor_us, double bits)
{
	double link_us = vm->link_mbps ? bits / vm->link_mbps : 0;

	if (vm->processor_milli)
		processor_us *= 1000.0 / vm->processor_milli;
	return processor_us + link_us;
}

double vm_part_us(const vm_t *vm)
{
	return busy_us(vm, PART_PROCESSOR_US, PART_BITS);
}

double vm_answer_us(const vm_t *vm)
{
	return busy_us(vm, ANSWER_PROCESSOR_US, ANSWER_BITS);
}

vm_t *vm_new(const vm_t *from)
{
	vm_t *vm = g_new(vm_t, 1);

	*vm = *from;
	vm->name = g_strdup(from->name);
	vm->data_centre = g_strdup(from->data_centre);
	vm->address = g_strdup(from->address);
	return vm;
}

void vm_free(void *data)
{
	vm_t *vm = data;

	g_free(vm->name);
	g_free(vm->data_centre);
	g_free(vm->address);
	g_free(vm);
}

bool vm_equal(const vm_t *vm, const vm_t *other)
{
	return g_str_equal(vm->name, other->name) &&
	       g_str_equal(vm->data_centre, other->data_centre) &&
	       g_str_equal(vm->address, other->address) && vm->feed_port == other->feed_port &&
	       vm->gather_port == other->gather_port && vm->link_mbps == other->link_mbps &&
	       vm->processor_milli == other->processor_milli;
}

const vm_t *vm_find(const GPtrArray *vms, const char *name)
{
	for (guint i = 0; i < vms->len; i++) {
		const vm_t *vm = g_ptr_array_index(vms, i);

		if (g_str_equal(vm->name, name))
			return vm;
	}
	return NULL;
}
