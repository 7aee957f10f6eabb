/**
 * @file vm.h
 * One VM of the product as it has registered itself in the platform's store.
 */
#ifndef DS_VM_H
#define DS_VM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct vm_t {
	char *name;
	char *data_centre;
	char *address;		  /**< an IP number */
	uint16_t feed_port;	  /**< where it tells others what the store holds */
	uint16_t gather_port;	  /**< where it gathers for others; 0: it does not */
	uint32_t link_mbps;	  /**< of its network link; 0: not known */
	uint32_t processor_milli; /**< thousandths of a core; 0: not known */
} vm_t;

/** A copy of @p from, texts too. */
vm_t *vm_new(const vm_t *from);
void vm_free(void *vm);
/** Whether both are registered with the same words. */
bool vm_equal(const vm_t *vm, const vm_t *other);
/** The one of @p vms, vm_t, with this name, or NULL. */
const vm_t *vm_find(const GPtrArray *vms, const char *name);

/** How long one sub-request and its answer keep @p vm busy, in microseconds. */
double vm_part_us(const vm_t *vm);
/** How long handing the answer to a gather on to its caller keeps @p vm busy, in microseconds. */
double vm_answer_us(const vm_t *vm);

#endif
