/**
 * @file gatherer_choice.h
 * Chooses the VMs that gather the answers of many shards, also on behalf of the other VMs.
 *
 * A gather costs a VM one sub-request per shard, and each VM that gathers needs connections to
 * every searcher and learns only from its own failed requests which searchers are slow. So in a
 * large fleet only a few VMs gather: those with sufficient processor time and link bandwidth. Each
 * VM computes the gatherers on its own from the list of VMs, with the same result as the others.
 * While their lists differ, the only effect is that some VM gathers that need not.
 */
#ifndef DS_GATHERER_CHOICE_H
#define DS_GATHERER_CHOICE_H

#include "core/vm.h"

#include <stdbool.h>

/** Input of the choice. */
typedef struct fleet_t {
	const GPtrArray *vms;	   /**< vm_t */
	const GHashTable *regions; /**< data centre to region */
	uint32_t connections;	   /**< connections that a searcher accepts from all VMs together;
				    * 0: not known */
} fleet_t;

/** Whether @p vm is in @p region. */
bool fleet_is_in_region(const fleet_t *fleet, const vm_t *vm, const char *region);
/** The regions that have VMs, in the order of the list of VMs; the names are borrowed. */
GPtrArray *fleet_regions(const fleet_t *fleet);
/** The gatherers of @p region; the result borrows from the fleet. */
GPtrArray *gatherers_in_region(const fleet_t *fleet, const char *region);
/** The gatherers of all regions; the result borrows from the fleet. */
GPtrArray *gatherers_in_fleet(const fleet_t *fleet);
/**
 * The gatherers that the VM @p name hands gathers to, best first: VMs of its own data centre, then
 * others of its region. Empty when the VM gathers itself, or when no VM of the region gathers for
 * others.
 */
GPtrArray *gatherers_for(const fleet_t *fleet, const char *name, const char *data_centre);

#endif
