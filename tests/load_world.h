/**
 * @file load_world.h
 * Simulation of several VMs that share searchers, in virtual time: which answers callers get under
 * load and faults.
 *
 * Forwarders, registries and connection shares are the real code. Searchers have slots, a short
 * queue, pauses and connections that cost a handshake; callers arrive at random and retry after the
 * delay that they are given. docs/LOADS.md states the arithmetic.
 */
#ifndef DS_LOAD_WORLD_H
#define DS_LOAD_WORLD_H

#include "core/histogram.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Fault of the faulty searchers. */
typedef enum load_fault_t {
	LOAD_NO_FAULT,
	LOAD_ERRORS,	/**< run sub-requests and answer with a failure */
	LOAD_BUSY,	/**< reject sub-requests at once, as not run */
	LOAD_NO_ANSWER, /**< run sub-requests and never answer */
	LOAD_RESET,	/**< run sub-requests and close the connection */
	LOAD_SLOW,	/**< take four times as long */
	LOAD_CRASH, /**< all searchers of a shard crash at once and restart cold after 1.5 s; they
		     * crash again if they get too many sub-requests while cold */
} load_fault_t;

/** One scenario. */
typedef struct load_scenario_t {
	const char *name;
	const char *what;      /**< description for the table */
	uint32_t short_shards; /**< shards of ten that have one searcher instead of three */
	double offered;	       /**< work offered to such a shard, as a share of its capacity */
	load_fault_t fault;
	double fault_share; /**< share of faulty searchers; at least one per shard has no fault,
			     * except with LOAD_CRASH, where it is the share of shards */
	double fault_odds;  /**< probability of the fault per sub-request */
} load_scenario_t;

/** Answers of one route to requests that arrived from second 6 to 24 of 30. */
typedef struct load_route_t {
	const char *name;
	uint32_t asked, whole, partial, late, refused, failed;
	histogram_t took;
} load_route_t;

#define LOAD_ROUTES 2

typedef struct load_result_t {
	load_route_t routes[LOAD_ROUTES];
	uint32_t sub_requests, extras;
	uint32_t cold_overloads; /**< searchers that crashed because of too many sub-requests while
				    cold */
	double peak_extra_share; /**< peak of a shard's extra sub-requests within a window, as a
				    share of the limit */
} load_result_t;

/** Run @p scenario; the same seed gives the same result. */
void load_run(const load_scenario_t *scenario, uint32_t seed, load_result_t *result);
/**
 * Run one VM and one searcher with one slot, exponential service times and no effective limits.
 * @return mean number of waiting requests; queueing theory gives load^2 / (1 - load)
 */
double load_run_single(double load, uint32_t seed, uint32_t seconds);
/** Share of the route's requests that were answered with enough parts within its target. */
double load_route_served(const load_route_t *route);

#endif
