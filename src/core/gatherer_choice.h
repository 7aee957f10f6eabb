/**
 * @file gatherer_choice.h
 * Which VMs gather the answers of many shards, for all others too.
 *
 * A gather costs a VM a sub-request for each shard, and each VM that gathers needs connections to
 * every searcher and learns by its own losses which searchers are slow. So in a large fleet a few
 * VMs gather: those with the processor and the link for it. Each VM works them out alone from the
 * list of VMs, and alike; lists that differ for a while only make some VM gather that need not.
 */
#ifndef DS_GATHERER_CHOICE_H
#define DS_GATHERER_CHOICE_H

#include "core/vm.h"

#include <stdbool.h>

/** What the choice follows from. */
typedef struct fleet_t {
	const GPtrArray *vms;	   /**< vm_t */
	const GHashTable *regions; /**< data centre to region */
	uint32_t connections;	   /**< that a searcher takes from all VMs together; 0: not known */
} fleet_t;

/** The VMs that gather in @p region; the result borrows from the fleet. */
GPtrArray *gatherers_of_region(const fleet_t *fleet, const char *region);
/** The VMs that gather, in all regions; borrowed, too. */
GPtrArray *gatherers_of_all(const fleet_t *fleet);
/**
 * Whom the VM @p name hands gathers to, best first: VMs of its own data centre, then others of its
 * region. Empty when it gathers itself, or nobody there gathers for others.
 */
GPtrArray *gatherers_for(const fleet_t *fleet, const char *name, const char *data_centre);

#endif
