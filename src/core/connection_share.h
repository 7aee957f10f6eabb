/**
 * @file connection_share.h
 * How many connections this VM may hold to each searcher of a pool.
 *
 * A searcher takes a number of connections from all VMs together and resets the rest. With few VMs
 * each holds some to every searcher. With more VMs than connections, each holds connections to the
 * searchers of its own region and to one elsewhere, for when those are stuck; which one, its name
 * decides, so that the VMs spread over them evenly without talking to each other.
 */
#ifndef DS_CONNECTION_SHARE_H
#define DS_CONNECTION_SHARE_H

#include "core/registry.h"
#include "core/vm.h"

/** The VMs that share the searchers. */
typedef struct vm_counts_t {
	const char *own_name;
	uint32_t all;		   /**< 0: not known yet */
	GHashTable *by_region;	   /**< region to count; NULL when only the sum is known */
	const GHashTable *regions; /**< data centre to region */
} vm_counts_t;

/**
 * Count @p vms, vm_t. @p counts has its name and regions.
 */
void vm_counts_take(vm_counts_t *counts, const GPtrArray *vms);
void vm_counts_clear(vm_counts_t *counts);

/** Set connections_max of all searchers of @p pool, each of which takes @p connections. */
void connection_share_set(pool_t *pool, uint32_t connections, const vm_counts_t *vms);

#endif
