/**
 * @file placement.c
 * See placement.h.
 *
 * A searcher of a shard has two slots and is the only one in its data centre, so its own queue,
 * pauses and slowness decide more than the way to it: each is turned into time and added up.
 */
#include "core/placement.h"

#include <math.h>

/* Before a searcher is measured, what the way adds: a round trip between regions, and within one.
 */
#define FAR_US 32000
#define REGION_US 3000
/* Before anything is measured: that of an index in memory. */
#define TYPICAL_UNKNOWN_US 12000
/* What was measured of a searcher counts half after so long without news: one that recovered is
 * asked again within a second or two, before its callers' patience is over. */
#define MEMORY_HALF_US 1500000
/* A new connection costs a handshake of up to 6 ms at the searcher, and a round trip. */
#define CONNECT_US 8000
/* Searchers pause, as for collecting garbage: a sub-request that is out three times as long as
 * usual, and beyond what a busy machine explains, meets one in most cases. */
#define STUCK_TIMES 3
#define STUCK_LEAST_US 25000
/* What a stuck searcher costs: most of a pause is still to come. */
#define STUCK_US 150000
/* One that another VM found stuck: half of the pause is over. More than a far searcher costs that
 * this VM is connected to, and less than one where it would have to connect first: all VMs that are
 * told would do so at once. */
#define STUCK_TOLD_US 60000
/* Longer than any pause, and than a slow searcher takes; where requests take longer, four times the
 * usual. */
#define HANGS_LEAST_US 300000
#define HANGS_TIMES 4
#define COLD_TIMES 1.6
/* One that has just failed comes after all others. */
#define AVOID_US 1000000
/* What a sub-request that comes to nothing costs: the part waits for a second try, which the budget
 * may not allow. */
#define LOST_US 300000
/* What it is worth that a suspect request is the only one of this VM at its searcher: a far one
 * that is sound, with a connection made for it, is as good; one that is stuck is not. */
#define COMPANY_US 150000
/* VMs that know the same must not all choose the same one. */
#define SPREAD 0.1

double placement_typical_us(const pool_t *pool)
{
	return pool->typical.value_us > 0 ? pool->typical.value_us : TYPICAL_UNKNOWN_US;
}

/* What the operator and the route allow; whether it has room is another matter. */
static bool may_be_sent(const searcher_t *searcher, const route_t *route)
{
	return searcher_is_usable(searcher) && (!route || route_allows(route, searcher->region));
}

static bool is_candidate(const candidates_t *candidates, const searcher_t *searcher)
{
	if (!may_be_sent(searcher, candidates->route))
		return false;
	return !candidates->asked ||
	       !g_ptr_array_find((GPtrArray *)candidates->asked, searcher, NULL);
}

static bool is_bounded(const searcher_t *searcher, const pool_t *pool, uint64_t now_us)
{
	return pool->cold.per_s > 0 && now_us < searcher->cold_until_us;
}

/*
 * Searchers that crash come back cold; pressed at once by all VMs, they crash again, and the shard
 * is gone for as long as callers come. What this VM may send them is a part of what they bear.
 */
static bool is_held_back(const searcher_t *searcher, const pool_t *pool, uint64_t now_us)
{
	if (!is_bounded(searcher, pool, now_us))
		return false;
	return !searcher->cold_share || now_us < searcher->cold_next_us;
}

static uint64_t warm_us(const searcher_t *searcher)
{
	if (!searcher->cold_share)
		return searcher->cold_until_us;
	return MIN(searcher->cold_until_us, searcher->cold_next_us);
}

void placement_note_sent(const pool_t *pool, searcher_t *searcher, uint64_t now_us)
{
	if (is_bounded(searcher, pool, now_us))
		searcher->cold_next_us =
			now_us + cold_share_window_us(&pool->cold) / MAX(searcher->cold_share, 1);
}

uint64_t placement_warm_us(const candidates_t *candidates, uint64_t now_us)
{
	const pool_t *pool = candidates->pool;
	uint64_t next_us = UINT64_MAX;

	for (guint i = 0; pool->cold.per_s > 0 && i < pool->searchers->len; i++) {
		const searcher_t *searcher = g_ptr_array_index(pool->searchers, i);

		if (is_held_back(searcher, pool, now_us) && is_candidate(candidates, searcher))
			next_us = MIN(next_us, warm_us(searcher));
	}
	return next_us;
}

bool placement_is_all_cold(const candidates_t *candidates, uint64_t now_us)
{
	const pool_t *pool = candidates->pool;
	bool some = false;

	for (guint i = 0; pool->cold.per_s > 0 && i < pool->searchers->len; i++) {
		const searcher_t *searcher = g_ptr_array_index(pool->searchers, i);

		if (!is_candidate(candidates, searcher))
			continue;
		if (!is_held_back(searcher, pool, now_us))
			return false;
		some = true;
	}
	return some;
}

/* Connections that this VM may have to all that the route's parts may be sent to. */
static uint32_t room_most(const candidates_t *candidates, uint64_t now_us)
{
	const GPtrArray *searchers = candidates->pool->searchers;
	uint32_t most = 0;

	for (guint i = 0; i < searchers->len; i++) {
		const searcher_t *searcher = g_ptr_array_index(searchers, i);

		if (may_be_sent(searcher, candidates->route) &&
		    !is_bounded(searcher, candidates->pool, now_us))
			most += searcher->connections_most;
	}
	return most;
}

/* Those that wait each need a connection for the usual time. */
double placement_wait_us(const candidates_t *candidates, uint64_t now_us)
{
	const pool_t *pool = candidates->pool;
	double ahead = pool->waiting.length + 1.0;

	return placement_typical_us(pool) * ahead / MAX(room_most(candidates, now_us), 1);
}

static double way_us(const searcher_t *searcher)
{
	static const double ways_us[] = {
		[DISTANCE_LOCAL] = 0, [DISTANCE_REGION] = REGION_US, [DISTANCE_FAR] = FAR_US};

	return ways_us[searcher->distance];
}

static double unmeasured_us(const searcher_t *searcher, const pool_t *pool)
{
	return placement_typical_us(pool) + way_us(searcher);
}

double placement_expected_us(const searcher_t *searcher, const pool_t *pool, uint64_t now_us)
{
	double start_us = unmeasured_us(searcher, pool);
	double age_us = (double)(now_us - searcher->sampled_us);

	if (!searcher->sampled_us)
		return start_us;
	return start_us + (searcher->latency_us - start_us) * exp2(-age_us / MEMORY_HALF_US);
}

/* How long the oldest is out that was sent after all that it has answered: one that it has passed
 * by is long by its nature, and says nothing of the next. */
static uint64_t oldest_us(const searcher_t *searcher, uint64_t now_us)
{
	for (const GList *item = searcher->out.head; item; item = item->next) {
		const sending_t *sending = item->data;

		if (sending->sent_us >= searcher->served_us)
			return now_us - sending->sent_us;
	}
	return 0;
}

uint64_t placement_stuck_us(const searcher_t *searcher, const pool_t *pool, uint64_t now_us)
{
	double usual_us = placement_expected_us(searcher, pool, now_us);

	return (uint64_t)MAX(STUCK_TIMES * usual_us, STUCK_LEAST_US);
}

bool placement_is_stuck(const searcher_t *searcher, const pool_t *pool, uint64_t now_us)
{
	return oldest_us(searcher, now_us) > placement_stuck_us(searcher, pool, now_us);
}

uint64_t placement_hang_us(const searcher_t *searcher, const pool_t *pool, uint64_t now_us)
{
	double usual_us = placement_expected_us(searcher, pool, now_us);

	return (uint64_t)MAX(HANGS_TIMES * usual_us, HANGS_LEAST_US);
}

double placement_cost_us(const searcher_t *searcher, const pool_t *pool, uint64_t now_us)
{
	double cost_us = placement_expected_us(searcher, pool, now_us);

	cost_us *= 1 + (double)searcher->out.length / searcher->slots;
	if (now_us < searcher->cold_until_us)
		cost_us *= COLD_TIMES;
	if (!searcher->idle)
		cost_us += CONNECT_US + way_us(searcher);
	if (placement_is_stuck(searcher, pool, now_us))
		cost_us += STUCK_US;
	else if (now_us < searcher->stuck_until_us)
		cost_us += STUCK_TOLD_US;
	cost_us += failure_rate_now(&searcher->yield, now_us) * LOST_US;
	if (now_us < searcher->avoid_until_us)
		cost_us += AVOID_US;
	return cost_us;
}

/* Whatever else is out to the searcher of a suspect request makes its end say nothing. */
static double company_us(const searcher_t *searcher, bool alone)
{
	return alone ? (searcher->out.length ? COMPANY_US : 0)
		     : (searcher->probes ? COMPANY_US : 0);
}

static searcher_t *choose(const candidates_t *candidates, bool alone, GRand *rand, uint64_t now_us)
{
	const pool_t *pool = candidates->pool;
	searcher_t *best = NULL;
	double best_us = 0;

	for (guint i = 0; i < pool->searchers->len; i++) {
		searcher_t *searcher = g_ptr_array_index(pool->searchers, i);
		double cost_us;

		if (!searcher_has_room(searcher) || !is_candidate(candidates, searcher) ||
		    is_held_back(searcher, pool, now_us) || (alone && searcher->probes))
			continue;
		cost_us = placement_cost_us(searcher, pool, now_us) *
			  g_rand_double_range(rand, 1, 1 + SPREAD);
		cost_us += company_us(searcher, alone);
		if (best && cost_us >= best_us)
			continue;
		best = searcher;
		best_us = cost_us;
	}
	return best;
}

searcher_t *placement_choose(const candidates_t *candidates, GRand *rand, uint64_t now_us)
{
	return choose(candidates, false, rand, now_us);
}

searcher_t *placement_choose_alone(const candidates_t *candidates, GRand *rand, uint64_t now_us)
{
	return choose(candidates, true, rand, now_us);
}

bool placement_is_all_probed(const candidates_t *candidates)
{
	const GPtrArray *searchers = candidates->pool->searchers;
	bool some = false;

	for (guint i = 0; i < searchers->len; i++) {
		const searcher_t *searcher = g_ptr_array_index(searchers, i);

		if (!is_candidate(candidates, searcher))
			continue;
		if (!searcher->probes)
			return false;
		some = true;
	}
	return some;
}

bool placement_has_room(const candidates_t *candidates, uint64_t now_us)
{
	const pool_t *pool = candidates->pool;

	for (guint i = 0; i < pool->searchers->len; i++) {
		const searcher_t *searcher = g_ptr_array_index(pool->searchers, i);

		if (searcher_has_room(searcher) && is_candidate(candidates, searcher) &&
		    !is_held_back(searcher, pool, now_us))
			return true;
	}
	return false;
}

bool placement_is_possible(const candidates_t *candidates)
{
	const GPtrArray *searchers = candidates->pool->searchers;

	for (guint i = 0; i < searchers->len; i++)
		if (is_candidate(candidates, g_ptr_array_index(searchers, i)))
			return true;
	return false;
}

passed_over_t placement_passed_over(const candidates_t *candidates, uint64_t now_us)
{
	const pool_t *pool = candidates->pool;
	passed_over_t passed = {0};

	for (guint i = 0; i < pool->searchers->len; i++) {
		const searcher_t *searcher = g_ptr_array_index(pool->searchers, i);

		if (searcher->state != SEARCHER_READY)
			continue;
		if (candidates->route && !route_allows(candidates->route, searcher->region))
			passed.elsewhere++;
		else if (searcher->evacuated)
			passed.evacuated++;
		else if (is_held_back(searcher, pool, now_us))
			passed.cold++;
	}
	return passed;
}
