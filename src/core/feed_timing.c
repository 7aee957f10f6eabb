/**
 * @file feed_timing.c
 * See feed_timing.h.
 */
#include "core/feed_timing.h"

#include <glib.h>

/* What a feeder's news may be old while all is well, besides its watch: 0.8 s in which changes are
 * grouped, 0.5 s to the next news, the store's answer; with what a list takes, and a rest. */
#define FEED_MS 2500
/* From a feeder's watch to its subscribers, and until what was sent before has reached searchers.
 */
#define EVACUATION_FEED_MS 500
/* From leaving a feed to the store's lists, by way of another feeder that does not speak. */
#define LEAVE_MS (FEED_TRIAL_MS + FEED_ANSWER_MS + 50)
/* The store is heard once more: of the kind that is probed, then of the others. */
#define ANSWERS_MS (2 * FEED_ANSWER_MS)
/* From the end of a watch in vain to the lists. */
#define RECOVERED_MS (FEED_WATCH_SLACK_MS + FEED_RETRY_FIRST_MS + ANSWERS_MS)
/* Where a change must be in force within a second, looks still cost more than they find. */
#define LOOK_LEAST_US 100000
/* Shorter watches would be more calls than the feed saves; longer ones save hardly any. */
#define WATCH_LEAST_MS 500
#define WATCH_MOST_MS 10000
/* A store that is a hundred times slower than usual answers within that. */
#define PROBE_MOST_MS 1500
#define PROBE_LEAST_MS 300
/* Callers wait for its return; more calls find it hardly sooner. */
#define RETRY_MOST_MS 1500

static uint32_t less(uint32_t from_ms, uint32_t by_ms)
{
	return from_ms > by_ms ? from_ms - by_ms : 0;
}

feed_timing_t feed_timing_for(uint32_t apply_ms, uint32_t settle_ms, uint32_t evacuate_ms)
{
	/* Whether a feeder hears the store shows by kinds that change more often. What this one
	 * must find is that its connection went silent: a VM counts again settle_ms after that, and
	 * what the operator wrote just behind it is due by then, or later. */
	uint32_t evacuation_ms =
		less(MAX(settle_ms, evacuate_ms), RECOVERED_MS + EVACUATION_FEED_MS);
	uint32_t watch_ms = less(settle_ms, RECOVERED_MS);
	uint32_t feeder_ms = less(apply_ms, FEED_MS);
	uint32_t tries_ms = less(settle_ms, ANSWERS_MS);
	uint32_t probe_ms = CLAMP(tries_ms / 2, PROBE_LEAST_MS, PROBE_MOST_MS);
	uint32_t retry_ms = CLAMP(less(tries_ms, probe_ms), FEED_RETRY_FIRST_MS, RETRY_MOST_MS);
	feed_timing_t timing = {.watch_ms = CLAMP(watch_ms, WATCH_LEAST_MS, WATCH_MOST_MS)};

	timing.feeder_watch_ms = CLAMP(feeder_ms, WATCH_LEAST_MS, timing.watch_ms);
	timing.evacuation_watch_ms = CLAMP(evacuation_ms, WATCH_LEAST_MS, WATCH_MOST_MS);
	timing.probe_us = (uint64_t)probe_ms * 1000;
	timing.retry_most_us = (uint64_t)retry_ms * 1000;
	timing.age_most_us = (uint64_t)less(apply_ms, LEAVE_MS) * 1000;
	timing.backup_age_most_us = MAX(timing.age_most_us, (uint64_t)settle_ms * 1000);
	timing.look_most_us = MIN(timing.age_most_us, (uint64_t)less(tries_ms, probe_ms) * 1000);
	timing.look_most_us = MAX(timing.look_most_us, LOOK_LEAST_US);
	timing.look_least_us = timing.look_most_us / 2;
	return timing;
}

/*
 * When the store is down, every feeder is away, and every VM that left its feed for that would try
 * the store by itself, several times a second, and read it whole when it is back: calls grow with
 * the fleet. What the feeder knows is as good as what any other VM does; a look every few seconds
 * shows whether the store turned away only the feeder.
 */
feed_verdict_t feed_judge(const feed_timing_t *timing, bool backup, bool fed, bool away,
			  uint64_t age_us)
{
	if (away)
		return fed && !backup ? FEED_DOUBT : FEED_LEAVE;
	return age_us > feed_age_most_us(timing, backup) ? FEED_LEAVE : FEED_KEEP;
}

uint64_t feed_age_most_us(const feed_timing_t *timing, bool backup)
{
	return backup ? timing->backup_age_most_us : timing->age_most_us;
}
