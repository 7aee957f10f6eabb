/**
 * @file hlc.c
 * See hlc.h.
 */
#include "core/hlc.h"

/* A peer whose wall clock is far ahead must not advance the clocks of all other VMs. */
#define DRIFT_LIMIT_MS 60000u

hlc_t hlc_tick(hlc_t *clock, uint64_t wall_ms)
{
	hlc_t wall = wall_ms << 16;

	*clock = wall > *clock ? wall : *clock + 1;
	return *clock;
}

hlc_t hlc_receive(hlc_t *clock, uint64_t wall_ms, hlc_t received)
{
	if (received > *clock && (received >> 16) <= wall_ms + DRIFT_LIMIT_MS)
		*clock = received;
	return hlc_tick(clock, wall_ms);
}
