/**
 * @file route_state.h
 * What a VM has measured of one route, over all versions of the configuration, and its splits.
 *
 * Searchers serve routes with more and with less work: what is known of a searcher says how long a
 * sub-request takes only together with how the route's compare to others.
 */
#ifndef DS_ROUTE_STATE_H
#define DS_ROUTE_STATE_H

#include "core/latency_buckets.h"
#include "core/placement.h"
#include "core/routing.h"

typedef struct route_state_t {
	quantile_t
		relative_latency; /**< median of its sub-requests, in 1/1000 of what was expected */
	double hang_rate;   /**< share of its latest sub-requests that were not answered in time */
	double patience_us; /**< how long its callers wait; the longest count */
	GArray *credits;    /**< double: for the shares of a split, by target */
	latency_buckets_t latency; /**< of its answers, from the caller's request on */
} route_state_t;

route_state_t *route_state_new(void);
void route_state_free(void *state);
/** One of its sub-requests took @p took_us, of which @p expected_us was expected. */
void route_state_note_time(route_state_t *state, uint64_t took_us, double expected_us);
/** What one of its sub-requests to @p searcher should take. */
double route_state_expected_us(const route_state_t *state, const searcher_t *searcher,
			       const pool_t *pool, uint64_t now_us);
/** One of the route's sub-requests was answered, or hangs. */
void route_state_note_hang(route_state_t *state, bool hangs);
/** Whether a late sub-request of the route says something of the searcher, and not of the route. */
bool route_state_implicates_searcher(const route_state_t *state);
/** A caller of the route waits for so long; 0: it did not say. */
void route_state_note_patience(route_state_t *state, uint64_t patience_us);
/** The target of a split, route_target_t, that the next request goes to. */
uint32_t route_state_choose_target(route_state_t *state, const GArray *targets, GRand *rand);

#endif
