/**
 * @file placement.h
 * Chooses the searcher of a pool that a sub-request is sent to.
 */
#ifndef DS_PLACEMENT_H
#define DS_PLACEMENT_H

#include "core/registry.h"
#include "core/routing.h"

/** A sub-request that was sent; embedded in its owner and linked into its searcher's list of
 * outstanding sub-requests. */
typedef struct outstanding_t {
	uint64_t sent_us;
	GList link; /**< in searcher_t.outstanding; data is the outstanding_t */
} outstanding_t;

/** The searchers of one service that a sub-request may be sent to. */
typedef struct candidates_t {
	const pool_t *pool;
	const route_t *route;	/**< restricts the regions; NULL: no restriction */
	const tenant_t *tenant; /**< the same */
	const GPtrArray *tried; /**< searcher_t already tried, which are excluded; NULL: none */
} candidates_t;

/** Typical latency of a sub-request to the pool. */
double placement_typical_us(const pool_t *pool);
/** Record that the typical latency has changed. */
void placement_note_typical(pool_t *pool, uint64_t now_us);
/** Typical latency of a sub-request to the pool while its searchers have little to do. */
double placement_unloaded_us(const pool_t *pool);
/** Expected time that one more part waits in the pool's queue for capacity. */
double placement_queue_delay_us(const candidates_t *candidates, uint64_t now_us);
/** Expected time until an answer, with penalties; used to compare searchers. */
double placement_cost_us(const searcher_t *searcher, const pool_t *pool, uint64_t now_us);
/** Expected latency of a sub-request to the searcher, from recent measurements. */
double placement_expected_us(const searcher_t *searcher, const pool_t *pool, uint64_t now_us);
/** Time without an answer after which the searcher counts as stuck, that is, pausing or hung. */
uint64_t placement_stuck_us(const searcher_t *searcher, const pool_t *pool, uint64_t now_us);
/** Whether the searcher's oldest sub-request has been outstanding for placement_stuck_us(). */
bool placement_is_stuck(const searcher_t *searcher, const pool_t *pool, uint64_t now_us);
/** Time without an answer after which the searcher counts as hung: well beyond a pause. */
uint64_t placement_hang_us(const searcher_t *searcher, const pool_t *pool, uint64_t now_us);
/** The candidate with capacity that has the lowest cost, or NULL. */
searcher_t *placement_choose(const candidates_t *candidates, GRand *rand, uint64_t now_us);
/** The same for a suspect request: never a searcher that already has another suspect request, and
 * preferably one that has no other sub-request of this VM outstanding. See poison.h. */
searcher_t *placement_choose_isolated(const candidates_t *candidates, GRand *rand, uint64_t now_us);
/** Whether every candidate has a suspect request outstanding. */
bool placement_all_probed(const candidates_t *candidates);
/** Whether any candidate has capacity and may be sent a sub-request now. */
bool placement_has_capacity(const candidates_t *candidates, uint64_t now_us);
/** When the next cold candidate may be sent a sub-request; UINT64_MAX: no candidate is throttled
 * for being cold. */
uint64_t placement_next_cold_send_us(const candidates_t *candidates, uint64_t now_us);
/** Whether there are candidates and all of them are throttled for being cold. */
bool placement_all_cold(const candidates_t *candidates, uint64_t now_us);
/** Number of ready searchers of a service that a part was not sent to, by reason. */
typedef struct passed_over_t {
	uint32_t elsewhere; /**< in regions that the route or the tenant does not allow */
	uint32_t evacuated;
	uint32_t cold; /**< cold, and this VM has used up its share of their rate limit */
} passed_over_t;

passed_over_t placement_passed_over(const candidates_t *candidates, uint64_t now_us);
/** Records that a sub-request is sent to @p searcher. */
void placement_record_send(const pool_t *pool, searcher_t *searcher, uint64_t now_us);
/** Whether a searcher of the pool is idle but its send limit, below 1, demands a pause: no answer
 * will announce the end of it. */
bool placement_has_paused(const pool_t *pool, uint64_t now_us);
/** Whether there is any candidate, with or without capacity. */
bool placement_has_candidate(const candidates_t *candidates);

#endif
