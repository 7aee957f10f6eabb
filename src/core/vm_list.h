/**
 * @file vm_list.h
 * Lists of VMs that are sorted by name, as the store lists them.
 */
#ifndef DS_VM_LIST_H
#define DS_VM_LIST_H

#include "core/vm.h"

/** Returns an empty list, which owns its VMs. */
GPtrArray *vm_list_new(void);
/** The VM of @p vms with this name, or NULL. */
const vm_t *vm_list_find(const GPtrArray *vms, const char *name);
/** Add @p vm, or replace the one with its name. Takes ownership of @p vm. */
void vm_list_put(GPtrArray *vms, vm_t *vm);
/** Remove the VM with this name, if there is one. */
void vm_list_remove(GPtrArray *vms, const char *name);
/** Whether every VM of @p others, by its name, is in @p vms, too. */
bool vm_list_contains_all(const GPtrArray *vms, const GPtrArray *others);

/** @param vm the VM as it is now; NULL: @p name was removed */
typedef void (*vm_change_f)(void *ctx, const char *name, const vm_t *vm);
/** Call @p change for each VM by which @p vms differs from @p former, in the order of names. */
void vm_list_compare(const GPtrArray *former, const GPtrArray *vms, vm_change_f change, void *ctx);

#endif
