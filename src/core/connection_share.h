/**
 * @file connection_share.h
 * This VM's share of the connections to each searcher of a pool.
 *
 * A searcher accepts a limited number of connections from all VMs together and resets the rest.
 * With few VMs, each holds some connections to every searcher. With more VMs than connections, each
 * holds connections to the searchers of its own region, and to one searcher elsewhere for when
 * those are stuck. A hash of the VM's name chooses that one, so that the VMs spread evenly without
 * coordination.
 */
#ifndef DS_CONNECTION_SHARE_H
#define DS_CONNECTION_SHARE_H

#include "core/registry.h"
#include "core/vm.h"

/** Counts of the VMs that share the searchers. */
typedef struct vm_counts_t {
	const char *own_name;
	uint32_t all;		   /**< 0: not known yet */
	GHashTable *by_region;	   /**< region to count; NULL: only the sum is known */
	const GHashTable *regions; /**< data centre to region */
} vm_counts_t;

/**
 * Count @p vms, vm_t. own_name and regions of @p counts must be set.
 */
void vm_counts_set(vm_counts_t *counts, const GPtrArray *vms);
void vm_counts_clear(vm_counts_t *counts);

/** Set connections_max, and the start of the send limit, of all searchers of @p pool, each of which
 * accepts @p connections from all VMs together. */
void connection_share_set(pool_t *pool, uint32_t connections, const vm_counts_t *vms);

#endif
