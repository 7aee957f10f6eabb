/**
 * @file vm.c
 * See vm.h.
 */
#include "core/vm.h"

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
