/**
 * @file feed_timing.c
 * See feed_timing.h.
 */
#include "core/feed_timing.h"

#include <glib.h>

/* The age of a working feeder's data beyond the wait of its watch: 0.8 s in which changes are
 * grouped, 0.5 s to the next status, and the store's reply; plus the time of a list or of
 * an object that is sent in turn, and a reserve. */
#define FEED_AGE_MS 2500
/* From a feeder's watch to its subscribers, and until requests sent before have reached searchers.
 */
#define EVACUATION_DELAY_MS 500
/* From leaving a feed to the store's lists, with another feeder tried between that sends nothing.
 */
#define LEAVE_FEED_MS (FEED_FIRST_STATUS_TIMEOUT_MS + FEED_REPLY_MAX_MS + 50)
/* The replies after the store recovers: for the probed kind, then for the others. */
#define REPLIES_MS (2 * FEED_REPLY_MAX_MS)
/* From the end of the wait of a watch that gets no reply to the lists. */
#define WATCH_RECOVERY_MS (FEED_WATCH_SLACK_MS + FEED_RETRY_MIN_MS + REPLIES_MS)
/* Even where a change must be in force within a second, more frequent store checks cost more than
 * they find. */
#define CHECK_PAUSE_MIN_US 100000
/* Shorter watches would cost more calls than the feed saves; longer ones save hardly any. */
#define WATCH_MIN_MS 500
#define WATCH_MAX_MS 10000
/* A store that is a hundred times slower than usual replies within this time. */
#define PROBE_TIMEOUT_MAX_MS 1500
#define PROBE_TIMEOUT_MIN_MS 300
/* Callers wait for the recovery of the store; more frequent calls notice it hardly sooner. */
#define RETRY_MAX_MS 1500

static uint32_t saturating_sub(uint32_t ms, uint32_t by_ms)
{
	return ms > by_ms ? ms - by_ms : 0;
}

feed_timing_t feed_timing_for(uint32_t apply_ms, uint32_t settle_ms, uint32_t evacuate_ms)
{
	/* Kinds that are watched more often show whether a feeder reaches the store. The watch of
	 * evacuations only has to notice that its own connection stopped responding: the bounds
	 * apply to a VM again settle_ms after that, and an evacuation written right after the
	 * failure is due by then, or later. */
	uint32_t evacuation_ms = saturating_sub(MAX(settle_ms, evacuate_ms),
						WATCH_RECOVERY_MS + EVACUATION_DELAY_MS);
	uint32_t watch_ms = saturating_sub(settle_ms, WATCH_RECOVERY_MS);
	uint32_t feeder_ms = saturating_sub(apply_ms, FEED_AGE_MS);
	uint32_t tries_ms = saturating_sub(settle_ms, REPLIES_MS);
	uint32_t probe_ms = CLAMP(tries_ms / 2, PROBE_TIMEOUT_MIN_MS, PROBE_TIMEOUT_MAX_MS);
	uint32_t retry_ms =
		CLAMP(saturating_sub(tries_ms, probe_ms), FEED_RETRY_MIN_MS, RETRY_MAX_MS);
	feed_timing_t timing = {.watch_ms = CLAMP(watch_ms, WATCH_MIN_MS, WATCH_MAX_MS)};

	timing.feeder_watch_ms = CLAMP(feeder_ms, WATCH_MIN_MS, timing.watch_ms);
	timing.evacuation_watch_ms = CLAMP(evacuation_ms, WATCH_MIN_MS, WATCH_MAX_MS);
	timing.probe_timeout_us = (uint64_t)probe_ms * 1000;
	timing.retry_max_us = (uint64_t)retry_ms * 1000;
	timing.age_max_us = (uint64_t)saturating_sub(apply_ms, LEAVE_FEED_MS) * 1000;
	timing.backup_age_max_us = MAX(timing.age_max_us, (uint64_t)settle_ms * 1000);
	timing.check_pause_max_us =
		MIN(timing.age_max_us, (uint64_t)saturating_sub(tries_ms, probe_ms) * 1000);
	timing.check_pause_max_us = MAX(timing.check_pause_max_us, CHECK_PAUSE_MIN_US);
	timing.check_pause_min_us = timing.check_pause_max_us / 2;
	return timing;
}

/*
 * When the store is down no feeder reaches it. If every VM then left its feed, each would call the
 * store several times a second and read it whole once it recovers: the calls would grow with the
 * fleet. The feeder's data is as good as that of any other VM; a store check every few seconds
 * shows whether the store is unreachable only for the feeder.
 */
feed_action_t feed_evaluate(const feed_timing_t *timing, bool backup, bool in_use, bool unreliable,
			    uint64_t age_us)
{
	if (unreliable)
		return in_use && !backup ? FEED_KEEP_AND_CHECK : FEED_LEAVE;
	return age_us > feed_age_max_us(timing, backup) ? FEED_LEAVE : FEED_KEEP;
}

uint64_t feed_age_max_us(const feed_timing_t *timing, bool backup)
{
	return backup ? timing->backup_age_max_us : timing->age_max_us;
}
