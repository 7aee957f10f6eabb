/**
 * @file feed_timing.h
 * How long a watch of the store may wait, and how old a feed may be, by what the deployment asks.
 *
 * A change must be in force everywhere a given time after the store has accepted it, on each VM
 * whose connections were sound for a while. A watch whose connection went silent shows that only
 * when it has waited in vain, and a VM that is fed can't see that its feeder is cut off from the
 * store: both times follow from the bounds, and each call costs.
 */
#ifndef DS_FEED_TIMING_H
#define DS_FEED_TIMING_H

#include <stdbool.h>
#include <stdint.h>

/** Time beyond its own that a watch is given for the store's answer. */
#define FEED_WATCH_SLACK_MS 700

typedef struct feed_timing_t {
	uint32_t watch_ms;	      /**< that a watch waits for a change */
	uint32_t feeder_watch_ms;     /**< the same, on VMs that feed others */
	uint32_t evacuation_watch_ms; /**< the same, for evacuations */
	uint64_t age_most_us;	      /**< a feed whose news is older is left */
	uint64_t look_least_us; /**< from one look at the store to the next, while the feeder */
	uint64_t look_most_us;	/**< can't hear it */
} feed_timing_t;

/**
 * @param apply_ms within which a change must be in force
 * @param settle_ms after which a VM whose connections were harmed must keep to that again
 * @param evacuate_ms within which an evacuation must be in force; 0: there are none
 */
feed_timing_t feed_timing_for(uint32_t apply_ms, uint32_t settle_ms, uint32_t evacuate_ms);

/** What a fed VM does after its feeder's news. */
typedef enum feed_verdict_t {
	FEED_KEEP,
	FEED_DOUBT, /**< kept; but the VM looks now and then whether it reaches the store itself */
	FEED_LEAVE,
} feed_verdict_t;

/**
 * Judge a feeder by its news.
 * @param fed whether it has told all that it knows, and is relied on already
 * @param away whether it can't hear the store
 * @param age_us since it last heard the store
 */
feed_verdict_t feed_judge(const feed_timing_t *timing, bool fed, bool away, uint64_t age_us);

#endif
