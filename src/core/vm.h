/**
 * @file vm.h
 * One VM of the product, as it has registered itself in the platform's store.
 */
#ifndef DS_VM_H
#define DS_VM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct vm_t {
	char *name;
	char *data_centre;
	char *address;		  /**< an IP address */
	uint16_t feed_port;	  /**< where it serves the feed to subscribers */
	uint16_t gather_port;	  /**< where it gathers for other VMs; 0: it does not */
	uint32_t link_mbps;	  /**< bandwidth of its network link; 0: not known */
	uint32_t processor_milli; /**< thousandths of a core; 0: not known */
} vm_t;

/** Returns a deep copy of @p from. */
vm_t *vm_new(const vm_t *from);
void vm_free(void *vm);
/** Whether all registered properties of both are equal. */
bool vm_equal(const vm_t *vm, const vm_t *other);
/** The VM of @p vms, vm_t, with this name, or NULL. */
const vm_t *vm_find(const GPtrArray *vms, const char *name);

/** How long one sub-request and its answer keep @p vm busy, in microseconds. */
double vm_part_us(const vm_t *vm);
/** How long relaying the answer of a gather to its caller keeps @p vm busy, in microseconds. */
double vm_answer_us(const vm_t *vm);

#endif
