/**
 * @file shedding.c
 * See shedding.h.
 */
#include "core/shedding.h"

#include "core/forward_private.h"

/* After the last part that found no room: a shard offered a tenth more than it can do makes parts
 * wait several times a second, on each VM. */
#define SHORT_FOR_US 1000000
/* Weight of one part in the share that is left out: that of the last seconds. */
#define SHARE_WEIGHT 0.02
/*
 * A part is left out when it would be answered after the target; where parts are left out all the
 * time, earlier: the wait is an average, and one that comes just too late is work for nobody. Not
 * from the start: a short rush would cost parts that could still be had.
 */
#define SHARE_TIMES 4
#define TIMES_MOST 2.2

bool shedding_is_allowed(const forward_t *forward)
{
	uint32_t left = forward->part_count - forward->lost;

	return forward->route->gathers && left > 1 && forward_has_enough(forward, left - 1);
}

bool shedding_waits_too_long(const part_t *part, uint64_t now_us)
{
	const candidates_t candidates = part_candidates(part);
	const pool_t *pool = part->pool;
	double times = MIN(1 + SHARE_TIMES * pool->shed_share, TIMES_MOST);
	double takes_us =
		placement_queue_delay_us(&candidates, now_us) + placement_typical_us(pool);

	return now_us + (uint64_t)(times * takes_us) > part->forward->partial_us;
}

bool shedding_is_too_late(const part_t *part, uint64_t now_us)
{
	return now_us + (uint64_t)placement_typical_us(part->pool) > part->forward->partial_us;
}

void shedding_note_wait(pool_t *pool, uint64_t now_us)
{
	pool->last_exhausted_us = now_us;
}

void shedding_note_part(pool_t *pool, bool shed)
{
	pool->shed_share += SHARE_WEIGHT * ((shed ? 1 : 0) - pool->shed_share);
}

bool shedding_is_on(const pool_t *pool, uint64_t now_us)
{
	return pool->last_exhausted_us && now_us - pool->last_exhausted_us < SHORT_FOR_US;
}
