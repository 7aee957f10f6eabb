/**
 * @file route_state.h
 * What a VM has measured of one route, over all versions of the configuration, and the state of its
 * traffic split.
 *
 * Searchers serve routes with more and with less work. So the expected latency of a sub-request
 * depends on the searcher and on how this route's sub-requests compare to those of other routes.
 */
#ifndef DS_ROUTE_STATE_H
#define DS_ROUTE_STATE_H

#include "core/latency_buckets.h"
#include "core/placement.h"
#include "core/routing.h"

/** Unit of route_state_t.relative_latency. */
#define ROUTE_LATENCY_UNIT 1000

typedef struct route_state_t {
	quantile_t relative_latency; /**< median latency of its sub-requests, in 1/1000 of the
					expected latency */
	double hang_rate;   /**< share of its latest sub-requests that hung, as a moving average */
	double patience_us; /**< how long its callers wait; longer waits count at once, shorter ones
			       slowly */
	GArray *credits; /**< double, for each target of a split: how far it is behind its share */
	latency_buckets_t latency; /**< from the caller's request to the answer */
} route_state_t;

route_state_t *route_state_new(void);
void route_state_free(void *state);
/** Record that a sub-request of the route took @p took_us where @p expected_us was expected. */
void route_state_note_time(route_state_t *state, uint64_t took_us, double expected_us);
/** The expected latency of a sub-request of the route at @p searcher. */
double route_state_expected_us(const route_state_t *state, const searcher_t *searcher,
			       const pool_t *pool, uint64_t now_us);
/** Record that a sub-request of the route was answered, or hangs. */
void route_state_note_hang(route_state_t *state, bool hangs);
/** Whether a late sub-request of the route means that its searcher is at fault, and not the route.
 */
bool route_state_implicates_searcher(const route_state_t *state);
/** Record how long a caller of the route waits; 0: not given. */
void route_state_note_caller_wait(route_state_t *state, uint64_t patience_us);
/** Choose the target of a split for the next request: an index into @p targets, route_target_t. */
uint32_t route_state_choose_target(route_state_t *state, const GArray *targets, GRand *rand);

#endif
