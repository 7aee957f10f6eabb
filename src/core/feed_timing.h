/**
 * @file feed_timing.h
 * Computes the time-outs of calls to the store, the waits of its watches and the age limits of
 * feeds from the configured time bounds.
 *
 * A change must be in force everywhere within a given time (apply time) after the store has
 * accepted it, on each VM whose connections have worked for a while (settle time). A call that gets
 * no reply, because its connection or the store stopped responding, is noticed only when it times
 * out; and a VM that is fed can't see that its feeder is cut off from the store. So all times
 * follow from these bounds:
 *
 * - settle time >= a watch that times out + the first retry after it + two replies (for the probed
 *   kind, then for the others)
 * - settle time >= a probe that times out + the longest pause between two probes + two replies
 * - settle time >= the longest pause between two store checks + a check that times out
 *   + two replies
 * - apply time >= the age limit of a feed + the time-out of one other feeder that sends nothing +
 *   a reply of the store
 */
#ifndef DS_FEED_TIMING_H
#define DS_FEED_TIMING_H

#include <stdbool.h>
#include <stdint.h>

/** Time that a watch is given for the store's reply, in addition to its wait. */
#define FEED_WATCH_SLACK_MS 700
/** Longest reply time of a healthy store, including a new connection. */
#define FEED_REPLY_MAX_MS 300
/** A connection that was idle for longer is not reused: it may be dead without notice. */
#define FEED_IDLE_MAX_MS 50
/** Delay of the first retry after a failed call; later delays are longer. */
#define FEED_RETRY_MIN_MS 200
/** Time-out of a feeder's first status to a new subscriber. */
#define FEED_FIRST_STATUS_TIMEOUT_MS 250

typedef struct feed_timing_t {
	uint32_t watch_ms;	      /**< how long a watch waits for a change */
	uint32_t feeder_watch_ms;     /**< the same, on VMs that feed others */
	uint32_t evacuation_watch_ms; /**< the same, for evacuations */
	uint64_t probe_timeout_us;    /**< time-out of a call that is answered at once */
	uint64_t retry_max_us;	      /**< the longest pause between retries */
	uint64_t age_max_us;	      /**< age limit: a feed with older data is left */
	uint64_t backup_age_max_us; /**< the same for a backup, whose watch may wait as long as that
				     * of any VM that watches the store */
	uint64_t check_pause_min_us; /**< shortest and longest pause between store checks, */
	uint64_t check_pause_max_us; /**< while the feeder is cut off from the store */
} feed_timing_t;

/**
 * @param apply_ms time within which a change must be in force
 * @param settle_ms time after which a VM whose connections failed must meet apply_ms again
 * @param evacuate_ms time within which an evacuation must be in force; 0: there are none
 */
feed_timing_t feed_timing_for(uint32_t apply_ms, uint32_t settle_ms, uint32_t evacuate_ms);

/** What a fed VM does after a status of its feeder. */
typedef enum feed_action_t {
	FEED_KEEP,
	FEED_KEEP_AND_CHECK, /**< keep it, but check regularly whether this VM reaches the store */
	FEED_LEAVE,
} feed_action_t;

/**
 * Decide whether to use a feeder, by its status.
 * @param backup whether it is a backup feeder
 * @param in_use whether it is the current feed and has sent its whole lists
 * @param unreliable whether it reports that it can't be relied on as a feeder
 * @param age_us the age of its data
 */
feed_action_t feed_evaluate(const feed_timing_t *timing, bool backup, bool in_use, bool unreliable,
			    uint64_t age_us);
/** The age limit of the data of a feeder. */
uint64_t feed_age_max_us(const feed_timing_t *timing, bool backup);

#endif
