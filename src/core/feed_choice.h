/**
 * @file feed_choice.h
 * Chooses the VMs that watch the platform's store, and the feeders that the others subscribe to.
 *
 * Calls to the store are priced, and its call rates grow more slowly than the fleet. So in a region
 * with many VMs a few watch the store and feed the rest. Each VM decides alone, from its list of
 * VMs; while the lists differ, the worst is that some VM watches the store without need, or tries
 * one feeder more.
 */
#ifndef DS_FEED_CHOICE_H
#define DS_FEED_CHOICE_H

#include "core/vm.h"

#include <stdbool.h>

/** The VMs registered, and where they are. */
typedef struct feed_vms_t {
	const GPtrArray *vms;	   /**< vm_t */
	const GHashTable *regions; /**< data centre to region; a missing data centre is a region of
				    * its own */
} feed_vms_t;

/** Whether the region of @p data_centre has enough VMs that a few watch the store and feed the
 * rest. */
bool feed_is_used(const feed_vms_t *all, const char *data_centre);
/**
 * The feeders of this VM, best first; empty when it watches the store itself. The result borrows
 * its elements from @p all.
 */
GPtrArray *feed_choose_feeders(const feed_vms_t *all, const char *own_name,
			       const char *data_centre);

/**
 * The feeders of a VM that knows only the VMs listed as @p feeders: those of its region, best
 * first. The result borrows its elements from @p feeders.
 */
GPtrArray *feed_order_feeders(const feed_vms_t *feeders, const char *own_name,
			      const char *data_centre);

/**
 * The backup feeders, for when neither the store nor the VMs of feed_choose_feeders() can be used,
 * best first: all VMs but this one. The result borrows its elements from @p all.
 */
GPtrArray *feed_choose_backups(const feed_vms_t *all, const char *own_name,
			       const char *data_centre);

/** How a feeder passes an object on. */
typedef enum feed_delivery_t {
	FEED_AT_ONCE,	/**< it sends the object to all subscribers at once */
	FEED_IN_TURN,	/**< to one subscriber after the other, with pauses for its other traffic */
	FEED_ANNOUNCES, /**< subscribers read it from the store */
} feed_delivery_t;

/**
 * How an object of @p bytes is passed on.
 * @param subscribers number of subscribers to send it to
 * @param link_mbps bandwidth of this VM's network link; 0: not known
 */
feed_delivery_t feed_delivery(size_t bytes, uint32_t subscribers, uint32_t link_mbps);
/** Pause after an object of @p bytes was sent to one subscriber in turn. */
uint64_t feed_turn_pause_us(size_t bytes, uint32_t link_mbps);

#endif
