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

#define LOAD_ROUTES 2
#define LOAD_STEPS_MAX 12
#define LOAD_SLOWDOWNS_MAX 4
#define LOAD_TENANTS_MAX 8
#define LOAD_SECONDS_MAX 64
#define LOAD_SHARDS_MAX 64

/** A route of callers' requests. */
typedef struct load_route_plan_t {
	const char *name;
	double share; /**< share of the requests */
	uint32_t rank;
	uint32_t work_us; /**< mean work of a part */
	uint32_t target_us, patience_us;
	double min_coverage;
} load_route_plan_t;

/** The offered load is multiplied by a factor for a time. */
typedef struct load_step_t {
	double from_s, to_s;
	double factor;
	uint32_t tenant; /**< 1 + index of the only tenant that it applies to; 0: all requests */
} load_step_t;

/** One searcher of some shards takes longer for a time. */
typedef struct load_slowdown_t {
	double from_s, to_s;
	double factor;
	double share; /**< share of the shards; the searchers are spread over the data centres */
} load_slowdown_t;

typedef struct load_tenant_t {
	const char *name;
	double share;	   /**< of the load */
	double rate_per_s; /**< of its quota, which weights it; 0: no quota. Tokens aren't simulated
			    */
} load_tenant_t;

/** The sizes, routes and changes over time of a scenario. */
typedef struct load_plan_t {
	uint32_t vms; /**< that gather, at least 2 */
	uint32_t shards;
	uint32_t slots, max_queue, connections; /**< of one searcher */
	uint32_t near_us, far_us; /**< delay within a data centre, and between two of them */
	bool connected; /**< each VM has one open connection to each searcher at the start */
	bool unequal; /**< the searchers of a shard have speeds of 0.55, 0.85 and 1.6 times the mean
		       */
	bool noisy;   /**< a searcher takes 2.5 times as long for 0.6 s every 8 s */
	bool admission;	    /**< forwarder_enable_admission() is called, if this build has it */
	uint32_t max_tries; /**< how often a caller sends its request */
	load_route_plan_t routes[LOAD_ROUTES];
	load_step_t steps[LOAD_STEPS_MAX];
	load_slowdown_t slowdowns[LOAD_SLOWDOWNS_MAX];
	load_tenant_t tenants[LOAD_TENANTS_MAX]; /**< none if the first has no name */
	double measure_from_s, measure_to_s, end_s;
} load_plan_t;

/** One scenario. */
typedef struct load_scenario_t {
	const char *name;
	const char *what;      /**< description for the table */
	uint32_t short_shards; /**< shards that have one searcher instead of three */
	double offered;	       /**< work offered to such a shard, as a share of its capacity */
	load_fault_t fault;
	double fault_share; /**< share of faulty searchers; at least one per shard has no fault,
			     * except with LOAD_CRASH, where it is the share of shards */
	double fault_odds;  /**< probability of the fault per sub-request */
	const load_plan_t *plan; /**< NULL: load_plan_default() */
} load_scenario_t;

/** Answers of one route to requests that arrived while the plan measures, from the first try on. */
typedef struct load_route_t {
	const char *name;
	uint32_t asked, whole, partial, late, refused, failed;
	histogram_t took;
} load_route_t;

/** Tries of one route that were sent, or answered, within one second. The target applies to each
 * try of its own. */
typedef struct load_second_t {
	uint32_t sent;
	uint32_t whole, partial, late, refused, failed;
} load_second_t;

/** Tries of one tenant that were answered while the plan measures. */
typedef struct load_tenant_result_t {
	uint32_t in_time, late, refused, failed;
	histogram_t took; /**< of the answered ones */
} load_tenant_result_t;

typedef struct load_result_t {
	load_route_t routes[LOAD_ROUTES];
	uint32_t sub_requests, extras;
	uint32_t cold_overloads; /**< searchers that crashed because of too many sub-requests while
				    cold */
	double peak_extra_share; /**< peak of a shard's extra sub-requests within a window, as a
				    share of the limit */
	load_second_t seconds[LOAD_SECONDS_MAX][LOAD_ROUTES];
	uint32_t sub_requests_by_s[LOAD_SECONDS_MAX];
	uint32_t rejected_by_s[LOAD_SECONDS_MAX]; /**< by searchers whose queue was full */
	uint32_t rejected;
	uint32_t refused_after_send, refused_after_run; /**< refused tries that had sent a
							    sub-request, or of which one ran */
	uint32_t second_tries, second_tries_in_time;	/**< tries after a refusal */
	uint32_t slowed, slowed_late; /**< sub-requests that ended at a slowed-down searcher; of
					 these, past the target of their route */
	histogram_t refusal;	      /**< time from a try's arrival to its refusal */
	load_tenant_result_t tenants[LOAD_TENANTS_MAX];
} load_result_t;

/** Nine VMs, ten shards, steady load: the scenarios of load_test.c. */
load_plan_t load_plan_default(void);
/** Gathers per second that one searcher of each shard can take part in. */
double load_capacity_per_s(const load_plan_t *plan);
/** Whether this build has forwarder_enable_admission(). */
bool load_has_admission(void);
/** Tries per second that were answered in time from second @p from to second @p to. */
double load_goodput_per_s(const load_result_t *result, uint32_t from, uint32_t to);

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
