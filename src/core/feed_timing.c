/**
 * @file feed_timing.c
 * See feed_timing.h.
 */
#include "core/feed_timing.h"

#include <glib.h>

/* To read the lists again once a watch was in vain: two calls of some ms, 0.4 s from a slow store.
 */
#define READ_MS 300
/* What a feeder's news may be old while all is well, besides its watch: 0.8 s in which changes are
 * grouped, 0.5 s to the next news, the store's answer; with what a list takes, and a rest. */
#define FEED_MS 2500
/* From a feeder's watch to its subscribers, and until what was sent before has reached searchers.
 */
#define EVACUATION_FEED_MS 1000
/* From leaving a feed to the store's lists. */
#define LEAVE_MS 500
/* Where a change must be in force within a second, looks still cost more than they find. */
#define LOOK_LEAST_US 100000
/* Shorter watches would be more calls than the feed saves; longer ones save hardly any. */
#define WATCH_LEAST_MS 500
#define WATCH_MOST_MS 10000

static uint32_t less(uint32_t from_ms, uint32_t by_ms)
{
	return from_ms > by_ms ? from_ms - by_ms : 0;
}

feed_timing_t feed_timing_for(uint32_t apply_ms, uint32_t settle_ms, uint32_t evacuate_ms)
{
	/* Whether a feeder hears the store shows by kinds that change more often. What this one
	 * must find is that its connection went silent: a VM counts again settle_ms after that, and
	 * what the operator wrote just behind it is due by then, or later. */
	uint32_t evacuation_ms = less(MAX(settle_ms, evacuate_ms),
				      FEED_WATCH_SLACK_MS + READ_MS + EVACUATION_FEED_MS);
	uint32_t watch_ms = less(settle_ms, FEED_WATCH_SLACK_MS + READ_MS);
	uint32_t feeder_ms = less(apply_ms, FEED_MS);
	feed_timing_t timing = {.watch_ms = CLAMP(watch_ms, WATCH_LEAST_MS, WATCH_MOST_MS)};

	timing.feeder_watch_ms = CLAMP(feeder_ms, WATCH_LEAST_MS, timing.watch_ms);
	timing.evacuation_watch_ms = CLAMP(evacuation_ms, WATCH_LEAST_MS, WATCH_MOST_MS);
	timing.age_most_us = (uint64_t)less(apply_ms, LEAVE_MS) * 1000;
	timing.look_most_us = MAX(timing.age_most_us, LOOK_LEAST_US);
	timing.look_least_us = timing.look_most_us / 2;
	return timing;
}

/*
 * When the store is down, every feeder is away, and every VM that left its feed for that would try
 * the store by itself, several times a second, and read it whole when it is back: calls grow with
 * the fleet. What the feeder knows is as good as what any other VM does; a look every few seconds
 * shows whether the store turned away only the feeder.
 */
feed_verdict_t feed_judge(const feed_timing_t *timing, bool fed, bool away, uint64_t age_us)
{
	if (away)
		return fed ? FEED_DOUBT : FEED_LEAVE;
	return age_us > timing->age_most_us ? FEED_LEAVE : FEED_KEEP;
}
