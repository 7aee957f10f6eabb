/**
 * @file own_vm.h
 * This VM as its settings describe it.
 */
#ifndef DS_OWN_VM_H
#define DS_OWN_VM_H

#include "core/vm.h"
#include "settings.h"

vm_t *own_vm_new(const settings_t *settings);

#endif
