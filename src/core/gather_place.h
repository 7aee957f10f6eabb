/**
 * @file gather_place.h
 * In which data centre of a region the answers of many shards are best gathered.
 *
 * What goes into a gather is a reply of each shard; what comes out is a few records. So it costs
 * the fewest bytes between data centres where the searchers are, and one way from there to the VM
 * that took the request takes as long as the searchers' replies would to any other.
 */
#ifndef DS_GATHER_PLACE_H
#define DS_GATHER_PLACE_H

#include "core/registry.h"
#include "core/routing.h"

/**
 * The data centre whose VMs should gather for those of @p own; @p own itself unless another one of
 * its region has most of the searchers. Borrowed.
 * @param regions data centre to region
 */
const char *gather_place(const registry_t *registry, const routing_t *routing, GHashTable *regions,
			 const char *own);

#endif
