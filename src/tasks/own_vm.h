/**
 * @file own_vm.h
 * Builds this VM's registration from its settings.
 */
#ifndef DS_OWN_VM_H
#define DS_OWN_VM_H

#include "core/vm.h"
#include "settings.h"

/** Free with vm_free(). */
vm_t *own_vm_new(const settings_t *settings);

#endif
