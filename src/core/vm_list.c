/**
 * @file vm_list.c
 * See vm_list.h.
 */
#include "core/vm_list.h"

#include <string.h>

static const vm_t *vm_at(const GPtrArray *vms, guint index)
{
	return g_ptr_array_index(vms, index);
}

GPtrArray *vm_list_new(void)
{
	return g_ptr_array_new_with_free_func(vm_free);
}

/* The index of the first VM whose name is not less than @p name. */
static guint position_of(const GPtrArray *vms, const char *name)
{
	guint from = 0, to = vms->len;

	while (from < to) {
		guint middle = from + (to - from) / 2;

		if (strcmp(vm_at(vms, middle)->name, name) < 0)
			from = middle + 1;
		else
			to = middle;
	}
	return from;
}

static bool is_at(const GPtrArray *vms, guint index, const char *name)
{
	return index < vms->len && g_str_equal(vm_at(vms, index)->name, name);
}

const vm_t *vm_list_find(const GPtrArray *vms, const char *name)
{
	guint index = position_of(vms, name);

	return is_at(vms, index, name) ? vm_at(vms, index) : NULL;
}

void vm_list_put(GPtrArray *vms, vm_t *vm)
{
	guint index = position_of(vms, vm->name);

	if (is_at(vms, index, vm->name))
		g_ptr_array_remove_index(vms, index);
	g_ptr_array_insert(vms, (gint)index, vm);
}

void vm_list_remove(GPtrArray *vms, const char *name)
{
	guint index = position_of(vms, name);

	if (is_at(vms, index, name))
		g_ptr_array_remove_index(vms, index);
}

bool vm_list_contains_all(const GPtrArray *vms, const GPtrArray *others)
{
	for (guint i = 0; i < others->len; i++)
		if (!vm_list_find(vms, vm_at(others, i)->name))
			return false;
	return true;
}

void vm_list_compare(const GPtrArray *former, const GPtrArray *vms, vm_change_f change, void *ctx)
{
	guint i = 0, j = 0;

	while (i < former->len || j < vms->len) {
		const vm_t *old = i < former->len ? vm_at(former, i) : NULL;
		const vm_t *new = j < vms->len ? vm_at(vms, j) : NULL;
		int order = !old ? 1 : !new ? -1 : strcmp(old->name, new->name);

		if (order < 0)
			change(ctx, old->name, NULL);
		else if (order > 0 || !vm_equal(old, new))
			change(ctx, new->name, new);
		i += order <= 0;
		j += order >= 0;
	}
}
