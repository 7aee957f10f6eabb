/**
 * @file feed_choice.h
 * Which VMs watch the platform's store, and whom the others hear it from.
 *
 * The store's calls are priced and its rates grow more slowly than the fleet. So in a region with
 * many VMs a few watch it and feed the rest. Each VM decides alone, from the list of VMs that
 * it knows; lists that differ for a while only make some VM watch, or ask, one more.
 */
#ifndef DS_FEED_CHOICE_H
#define DS_FEED_CHOICE_H

#include "core/vm.h"

#include <stdbool.h>

/** The VMs registered, and where they are. */
typedef struct feed_vms_t {
	const GPtrArray *vms;	   /**< vm_t */
	const GHashTable *regions; /**< data centre to region; one that is missing is a region of
				    * its own */
} feed_vms_t;

/** Whether the region of @p data_centre has so many VMs that a few watch the store and feed the
 * rest. */
bool feed_is_used(const feed_vms_t *all, const char *data_centre);
/**
 * The VMs to hear the store from, best first; empty when this VM watches the store itself. The
 * result borrows.
 */
GPtrArray *feed_choose(const feed_vms_t *all, const char *own_name, const char *data_centre);

/**
 * The VMs that may know what the store holds when neither it nor those of feed_choose() can be
 * heard, best first: all but this one. The result borrows.
 */
GPtrArray *feed_backups(const feed_vms_t *all, const char *own_name, const char *data_centre);

/**
 * Whether an object of @p bytes is told, or only announced, to be read from the store.
 * @param subscribers that are told it
 * @param link_mbps of this VM's link; 0: not known
 */
bool feed_may_tell(size_t bytes, uint32_t subscribers, uint32_t link_mbps);
/** How long to wait after an object of @p bytes was told to one subscriber that asked for it. */
uint64_t feed_pause_us(size_t bytes, uint32_t link_mbps);

#endif
