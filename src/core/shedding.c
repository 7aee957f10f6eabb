/**
 * @file shedding.c
 * See shedding.h.
 */
#include "core/shedding.h"

/* After the last part that found no room: a shard offered a tenth more than it can do makes parts
 * wait several times a second, on each VM. */
#define SHORT_FOR_US 1000000
#define COVERAGE_SLACK 1e-9
/* A part is left out when it would take more than the time to the target over this: the wait is an
 * average, and one that comes just too late is work for nobody. Of three shards of ten that are
 * offered 120 %, 84 % of the requests are served in time at 1, 88 % at 1.7, 89 % at 2.2, where
 * more parts are left out than must be (make loads, three-short, 12 seeds). */
#define WAIT_TIMES 1.7

bool shedding_is_allowed(const forward_t *forward)
{
	uint32_t left = forward->part_count - forward->lost;

	return forward->route->gathers && left > 1 &&
	       left - 1 >= forward->route->coverage_least * forward->part_count - COVERAGE_SLACK;
}

bool shedding_waits_too_long(const part_t *part, uint64_t now_us)
{
	double usual_us = placement_typical_us(part->pool);

	return now_us + (uint64_t)(WAIT_TIMES * (placement_wait_us(part->pool) + usual_us)) >
	       part->forward->partial_us;
}

bool shedding_is_too_late(const part_t *part, uint64_t now_us)
{
	return now_us + (uint64_t)placement_typical_us(part->pool) > part->forward->partial_us;
}

void shedding_note(pool_t *pool, uint64_t now_us)
{
	pool->short_us = now_us;
}

bool shedding_is_on(const pool_t *pool, uint64_t now_us)
{
	return pool->short_us && now_us - pool->short_us < SHORT_FOR_US;
}
