/**
 * @file placement.c
 * See placement.h.
 *
 * A searcher of a shard has two slots and is the only searcher of its shard in its data centre, so
 * its own queue, pauses and slowness matter more than the network distance to it. The cost of a
 * searcher expresses each of these as time and adds them up.
 */
#include "core/placement.h"

#include <math.h>

/* Round trips between regions, and within one region: added to the typical latency of a searcher
 * that has not been measured yet. */
#define FAR_RTT_US 32000
#define REGION_RTT_US 3000
/* Used until a pool's latency has been measured: the latency of an in-memory index. */
#define TYPICAL_DEFAULT_US 12000
/* In this time without change the latency at little load follows the typical one. */
#define UNLOADED_RISE_US 30000000.0
/* A searcher's measured latency loses half of its weight in this time when no new sample arrives,
 * so a searcher that recovered gets requests again within a second or two, before its callers time
 * out. */
#define LATENCY_HALF_LIFE_US 1500000
/* A new connection costs a handshake of up to 6 ms at the searcher, plus one round trip. */
#define CONNECT_COST_US 8000
/* Searchers pause, for example for garbage collection. A sub-request that is outstanding for three
 * times the expected latency, and for longer than a busy machine explains, has met a pause in most
 * cases. */
#define STUCK_FACTOR 3
#define STUCK_MIN_US 25000
/* Cost of a stuck searcher: most of its pause is still to come. */
#define STUCK_PENALTY_US 150000
/* Cost of a searcher that another VM reported as stuck: half of the pause is over. It exceeds the
 * extra cost of a searcher in another region that this VM is connected to, but not that of one
 * where this VM would have to connect first: all VMs that receive the report would connect to it at
 * once. */
#define STUCK_REPORTED_PENALTY_US 60000
/* A hung searcher has not answered for longer than any pause lasts and any slow searcher takes;
 * where requests take longer, for four times the expected latency. */
#define HANG_MIN_US 300000
#define HANG_FACTOR 4
#define COLD_FACTOR 1.6
/* Makes a searcher that has just failed the last choice. */
#define AVOIDED_PENALTY_US 1000000
/* Cost of a sub-request that fails: the part waits for a retry, which the retry budget may not
 * allow. */
#define FAILURE_PENALTY_US 300000
/* Cost of placing a suspect request beside other requests of this VM. An idle, healthy searcher in
 * another region that needs a new connection is preferred to sharing; a stuck one is not. */
#define SHARING_PENALTY_US 150000
/* Random factor on the cost, so that VMs with the same data do not all choose the same searcher. */
#define COST_JITTER 0.1

double placement_typical_us(const pool_t *pool)
{
	return pool->typical.value_us > 0 ? pool->typical.value_us : TYPICAL_DEFAULT_US;
}

/* Falls at once and rises slowly, so that some seconds of overload hardly change it. */
void placement_note_typical(pool_t *pool, uint64_t now_us)
{
	double share = (double)(now_us - pool->unloaded_at_us) / UNLOADED_RISE_US;

	if (!pool->unloaded_at_us || pool->typical.value_us < pool->unloaded_us)
		pool->unloaded_us = pool->typical.value_us;
	else
		pool->unloaded_us += MIN(share, 1) * (pool->typical.value_us - pool->unloaded_us);
	pool->unloaded_at_us = now_us;
}

double placement_unloaded_us(const pool_t *pool)
{
	return pool->unloaded_us > 0 ? pool->unloaded_us : placement_typical_us(pool);
}

static bool is_in_allowed_region(const candidates_t *candidates, const searcher_t *searcher)
{
	return (!candidates->route || route_allows(candidates->route, searcher->region)) &&
	       tenant_allows(candidates->tenant, searcher->region);
}

/* Whether the operator, the route and the tenant allow the searcher; capacity is not checked. */
static bool is_eligible(const candidates_t *candidates, const searcher_t *searcher)
{
	return searcher_is_usable(searcher) && is_in_allowed_region(candidates, searcher);
}

static bool is_candidate(const candidates_t *candidates, const searcher_t *searcher)
{
	if (!is_eligible(candidates, searcher))
		return false;
	return !candidates->tried ||
	       !g_ptr_array_find((GPtrArray *)candidates->tried, searcher, NULL);
}

/* Whether its connections and its send limit allow a sub-request now. */
static bool has_room(const searcher_t *searcher, const pool_t *pool, uint64_t now_us)
{
	return searcher_has_capacity(searcher) &&
	       (!pool->overload || !pool->overload->active ||
		send_limit_has_room(&searcher->send_limit, searcher->outstanding.length, now_us));
}

static bool is_cold_limited(const searcher_t *searcher, const pool_t *pool, uint64_t now_us)
{
	return pool->cold.per_s > 0 && now_us < searcher->cold_until_us;
}

/*
 * Searchers restart cold after a crash. If all VMs send to them at full rate they crash again, and
 * the shard is unavailable for as long as callers send requests. So the rate that a cold searcher
 * can take is shared among the VMs, and each VM keeps to its share.
 */
static bool is_throttled(const searcher_t *searcher, const pool_t *pool, uint64_t now_us)
{
	if (!is_cold_limited(searcher, pool, now_us))
		return false;
	return !searcher->cold_share || now_us < searcher->cold_next_us;
}

static uint64_t next_send_us(const searcher_t *searcher)
{
	if (!searcher->cold_share)
		return searcher->cold_until_us;
	return MIN(searcher->cold_until_us, searcher->cold_next_us);
}

void placement_record_send(const pool_t *pool, searcher_t *searcher, uint64_t now_us)
{
	if (is_cold_limited(searcher, pool, now_us))
		searcher->cold_next_us =
			now_us + cold_share_window_us(&pool->cold) / MAX(searcher->cold_share, 1);
}

uint64_t placement_next_cold_send_us(const candidates_t *candidates, uint64_t now_us)
{
	const pool_t *pool = candidates->pool;
	uint64_t next_us = UINT64_MAX;

	for (guint i = 0; pool->cold.per_s > 0 && i < pool->searchers->len; i++) {
		const searcher_t *searcher = g_ptr_array_index(pool->searchers, i);

		if (is_throttled(searcher, pool, now_us) && is_candidate(candidates, searcher))
			next_us = MIN(next_us, next_send_us(searcher));
	}
	return next_us;
}

bool placement_all_cold(const candidates_t *candidates, uint64_t now_us)
{
	const pool_t *pool = candidates->pool;
	bool some = false;

	for (guint i = 0; pool->cold.per_s > 0 && i < pool->searchers->len; i++) {
		const searcher_t *searcher = g_ptr_array_index(pool->searchers, i);

		if (!is_candidate(candidates, searcher))
			continue;
		if (!is_throttled(searcher, pool, now_us))
			return false;
		some = true;
	}
	return some;
}

/* Number of connections that this VM may open to all searchers that are eligible for the route's
 * parts and not limited for being cold. */
static uint32_t connections_allowed(const candidates_t *candidates, uint64_t now_us)
{
	const GPtrArray *searchers = candidates->pool->searchers;
	uint32_t sum = 0;

	for (guint i = 0; i < searchers->len; i++) {
		const searcher_t *searcher = g_ptr_array_index(searchers, i);

		if (is_eligible(candidates, searcher) &&
		    !is_cold_limited(searcher, candidates->pool, now_us))
			sum += searcher->connections_max;
	}
	return sum;
}

/* Each waiting part needs a connection for the typical latency. */
double placement_queue_delay_us(const candidates_t *candidates, uint64_t now_us)
{
	const pool_t *pool = candidates->pool;
	double ahead = pool->waiting.length + 1.0;

	return placement_typical_us(pool) * ahead / MAX(connections_allowed(candidates, now_us), 1);
}

static double network_us(const searcher_t *searcher)
{
	static const double rtts_us[] = {[DISTANCE_LOCAL] = 0,
					 [DISTANCE_REGION] = REGION_RTT_US,
					 [DISTANCE_FAR] = FAR_RTT_US};

	return rtts_us[searcher->distance];
}

static double default_latency_us(const searcher_t *searcher, const pool_t *pool)
{
	return placement_typical_us(pool) + network_us(searcher);
}

double placement_expected_us(const searcher_t *searcher, const pool_t *pool, uint64_t now_us)
{
	double start_us = default_latency_us(searcher, pool);
	double age_us = (double)(now_us - searcher->sampled_us);

	if (!searcher->sampled_us)
		return start_us;
	return start_us + (searcher->latency_us - start_us) * exp2(-age_us / LATENCY_HALF_LIFE_US);
}

/* Age of the oldest sub-request that was sent no earlier than any that the searcher has answered.
 * One that the searcher has overtaken with a later answer is a long request, and does not predict
 * the latency of the next. */
static uint64_t oldest_outstanding_us(const searcher_t *searcher, uint64_t now_us)
{
	for (const GList *item = searcher->outstanding.head; item; item = item->next) {
		const outstanding_t *sending = item->data;

		if (sending->sent_us >= searcher->last_served_sent_us)
			return now_us - sending->sent_us;
	}
	return 0;
}

uint64_t placement_stuck_us(const searcher_t *searcher, const pool_t *pool, uint64_t now_us)
{
	double usual_us = placement_expected_us(searcher, pool, now_us);

	return (uint64_t)MAX(STUCK_FACTOR * usual_us, STUCK_MIN_US);
}

bool placement_is_stuck(const searcher_t *searcher, const pool_t *pool, uint64_t now_us)
{
	return oldest_outstanding_us(searcher, now_us) > placement_stuck_us(searcher, pool, now_us);
}

uint64_t placement_hang_us(const searcher_t *searcher, const pool_t *pool, uint64_t now_us)
{
	double usual_us = placement_expected_us(searcher, pool, now_us);

	return (uint64_t)MAX(HANG_FACTOR * usual_us, HANG_MIN_US);
}

double placement_cost_us(const searcher_t *searcher, const pool_t *pool, uint64_t now_us)
{
	double cost_us = placement_expected_us(searcher, pool, now_us);

	cost_us *= 1 + (double)searcher->outstanding.length / searcher->slots;
	if (now_us < searcher->cold_until_us)
		cost_us *= COLD_FACTOR;
	if (!searcher->idle)
		cost_us += CONNECT_COST_US + network_us(searcher);
	if (placement_is_stuck(searcher, pool, now_us))
		cost_us += STUCK_PENALTY_US;
	else if (now_us < searcher->stuck_until_us)
		cost_us += STUCK_REPORTED_PENALTY_US;
	cost_us += failure_rate_now(&searcher->failure_rate, now_us) * FAILURE_PENALTY_US;
	if (now_us < searcher->avoid_until_us)
		cost_us += AVOIDED_PENALTY_US;
	return cost_us;
}

/* If the searcher has other outstanding requests, its termination cannot be attributed to the
 * suspect request. */
static double sharing_penalty_us(const searcher_t *searcher, bool alone)
{
	return alone ? (searcher->outstanding.length ? SHARING_PENALTY_US : 0)
		     : (searcher->probes ? SHARING_PENALTY_US : 0);
}

static searcher_t *choose(const candidates_t *candidates, bool alone, GRand *rand, uint64_t now_us)
{
	const pool_t *pool = candidates->pool;
	searcher_t *best = NULL;
	double best_us = 0;

	for (guint i = 0; i < pool->searchers->len; i++) {
		searcher_t *searcher = g_ptr_array_index(pool->searchers, i);
		double cost_us;

		if (!has_room(searcher, pool, now_us) || !is_candidate(candidates, searcher) ||
		    is_throttled(searcher, pool, now_us) || (alone && searcher->probes))
			continue;
		cost_us = placement_cost_us(searcher, pool, now_us) *
			  g_rand_double_range(rand, 1, 1 + COST_JITTER);
		cost_us += sharing_penalty_us(searcher, alone);
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

searcher_t *placement_choose_isolated(const candidates_t *candidates, GRand *rand, uint64_t now_us)
{
	return choose(candidates, true, rand, now_us);
}

bool placement_all_probed(const candidates_t *candidates)
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

bool placement_has_capacity(const candidates_t *candidates, uint64_t now_us)
{
	const pool_t *pool = candidates->pool;

	for (guint i = 0; i < pool->searchers->len; i++) {
		const searcher_t *searcher = g_ptr_array_index(pool->searchers, i);

		if (has_room(searcher, pool, now_us) && is_candidate(candidates, searcher) &&
		    !is_throttled(searcher, pool, now_us))
			return true;
	}
	return false;
}

bool placement_has_paused(const pool_t *pool, uint64_t now_us)
{
	for (guint i = 0; i < pool->searchers->len; i++) {
		const searcher_t *searcher = g_ptr_array_index(pool->searchers, i);

		if (!searcher->outstanding.length && searcher_is_usable(searcher) &&
		    searcher_has_capacity(searcher) && !has_room(searcher, pool, now_us))
			return true;
	}
	return false;
}

bool placement_has_candidate(const candidates_t *candidates)
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
		if (!is_in_allowed_region(candidates, searcher))
			passed.elsewhere++;
		else if (searcher->evacuated)
			passed.evacuated++;
		else if (is_throttled(searcher, pool, now_us))
			passed.cold++;
	}
	return passed;
}
