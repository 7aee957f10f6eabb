/**
 * @file retry_after.c
 * See retry_after.h.
 */
#include "core/retry_after.h"

/* A caller that comes again is sent to another VM: this one has not been ready for seconds. */
#define VM_US 10000
/* A searcher's full queue of 12 empties in about this time. */
#define ROOM_US 60000
/* The store answers, and its list is on the way: it comes within a second of the start. */
#define NEWS_US 300000
/* A searcher registers again with its next heartbeat, each 1.2 s: half of that on average. */
#define SEARCHERS_US 600000
/* Of the caller's patience, where nobody knows how long it takes: callers heed a third of what they
 * have left. After all VMs had lost power while the store was away, 220 of 841 requests of two
 * seconds were refused when told to come back in 60 or 300 ms. */
#define PATIENCE_SHARE 0.32

static uint64_t least_us(lack_t lack)
{
	static const uint64_t times_us[] = {[LACK_NEWS] = NEWS_US,
					    [LACK_SEARCHERS] = SEARCHERS_US,
					    [LACK_ROOM] = ROOM_US,
					    [LACK_VM] = VM_US};

	return times_us[lack];
}

uint64_t retry_after_us(lack_t lack, uint64_t patience_us, bool store_away)
{
	uint64_t share_us = (uint64_t)(PATIENCE_SHARE * (double)patience_us);
	uint64_t time_us = least_us(lack);

	if (lack == LACK_VM || lack == LACK_ROOM)
		return time_us;
	if (store_away && share_us > time_us)
		return share_us;
	return patience_us && share_us < time_us ? share_us : time_us;
}
