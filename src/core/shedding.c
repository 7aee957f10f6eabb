/**
 * @file shedding.c
 * See shedding.h.
 */
#include "core/shedding.h"

#include "core/forward_private.h"

/* A shard counts as overloaded for this long after a part found no free connection. A shard offered
 * a tenth more than its capacity makes parts wait several times per second on each VM. */
#define OVERLOAD_HOLD_US 1000000
/* Weight of one part in the moving average of the shed share, which covers the last seconds. */
#define SHED_SHARE_WEIGHT 0.02
/*
 * A part is shed when its expected answer comes after the target. The expected time is multiplied
 * by a factor that grows with the shed share, up to MAX_SHED_WAIT_FACTOR: the wait is an average,
 * and an answer that comes just too late is wasted work. The factor starts at 1, because in a short
 * burst a higher one would shed parts that could still be answered in time.
 */
#define SHED_SHARE_FACTOR 4
#define MAX_SHED_WAIT_FACTOR 2.2

bool shedding_is_allowed(const forward_t *forward)
{
	uint32_t left = forward->part_count - forward->lost;

	return forward->route->gathers && left > 1 && forward_has_enough(forward, left - 1);
}

bool shedding_waits_too_long(const forward_part_t *part, uint64_t now_us)
{
	const candidates_t candidates = part_candidates(part);
	const pool_t *pool = part->pool;
	double wait_factor = MIN(1 + SHED_SHARE_FACTOR * pool->shed_share, MAX_SHED_WAIT_FACTOR);
	double expected_us =
		placement_queue_delay_us(&candidates, now_us) + placement_typical_us(pool);

	return now_us + (uint64_t)(wait_factor * expected_us) > part->forward->partial_us;
}

bool shedding_is_too_late(const forward_part_t *part, uint64_t now_us)
{
	return now_us + (uint64_t)placement_typical_us(part->pool) > part->forward->partial_us;
}

void shedding_note_wait(pool_t *pool, uint64_t now_us)
{
	pool->last_exhausted_us = now_us;
}

void shedding_note_part(pool_t *pool, bool shed)
{
	pool->shed_share += SHED_SHARE_WEIGHT * ((shed ? 1 : 0) - pool->shed_share);
}

bool shedding_is_on(const pool_t *pool, uint64_t now_us)
{
	return pool->last_exhausted_us && now_us - pool->last_exhausted_us < OVERLOAD_HOLD_US;
}
