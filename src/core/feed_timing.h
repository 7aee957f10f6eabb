/**
 * @file feed_timing.h
 * How long a call to the store may take, a watch of it may wait and a feed may be old, by what the
 * deployment asks.
 *
 * A change must be in force everywhere a given time after the store has accepted it, on each VM
 * whose connections were sound for a while. A call that was swallowed, by a connection that went
 * silent or by a store that did, shows that only when it has been waited for in vain; and a VM that
 * is fed can't see that its feeder is cut off from the store. So all times follow from the bounds:
 *
 * - settle time >= a watch in vain + the first try after it + two answers (of the kind that is
 *   probed, then of the others)
 * - settle time >= a probe in vain + the longest pause between two + two answers
 * - settle time >= the longest pause between two looks + a look in vain + two answers
 * - the time within which a change is due >= the oldest news of a feed + one other feeder that does
 *   not speak + an answer of the store
 */
#ifndef DS_FEED_TIMING_H
#define DS_FEED_TIMING_H

#include <stdbool.h>
#include <stdint.h>

/** Time beyond its own that a watch is given for the store's answer. */
#define FEED_WATCH_SLACK_MS 700
/** An answer of a sound store, with the connection that it may need. */
#define FEED_ANSWER_MS 300
/** A kept connection that was idle for longer is not used again: it may have gone silent. */
#define FEED_IDLE_MS 50
/** Until the first try after a call that failed; later pauses are longer. */
#define FEED_RETRY_FIRST_MS 200
/** For a feeder's first word to a new subscriber. */
#define FEED_TRIAL_MS 250

typedef struct feed_timing_t {
	uint32_t watch_ms;	      /**< that a watch waits for a change */
	uint32_t feeder_watch_ms;     /**< the same, on VMs that feed others */
	uint32_t evacuation_watch_ms; /**< the same, for evacuations */
	uint64_t probe_us;	     /**< after which a call that is answered at once is given up */
	uint64_t retry_most_us;	     /**< the longest pause between two calls that fail */
	uint64_t age_most_us;	     /**< a feed whose news is older is left */
	uint64_t backup_age_most_us; /**< the same of a backup, which may wait as long as any watch
				      * that hears the store */
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
 * @param backup whether it was not chosen to feed this VM
 * @param fed whether it has told all that it knows, and is relied on already
 * @param away whether it can't hear the store
 * @param age_us since it last heard the store
 */
feed_verdict_t feed_judge(const feed_timing_t *timing, bool backup, bool fed, bool away,
			  uint64_t age_us);
/** How old the news of a feeder may grow. */
uint64_t feed_age_most_us(const feed_timing_t *timing, bool backup);

#endif
