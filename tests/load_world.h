/**
 * @file load_world.h
 * Several VMs over shared searchers, in virtual time: what callers get under load and faults.
 *
 * The forwarders, registries and shares of connections are the real ones. Searchers have slots, a
 * short queue, pauses and connections that cost a handshake; callers arrive at random and come back
 * as they are told. docs/LOADS.md states the arithmetic.
 */
#ifndef DS_LOAD_WORLD_H
#define DS_LOAD_WORLD_H

#include "core/histogram.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** How some searchers misbehave. */
typedef enum load_fault_t {
	LOAD_SOUND,
	LOAD_ERRORS, /**< run it and answer with a failure */
	LOAD_BUSY,   /**< refuse it at once, as not run */
	LOAD_MUTE,   /**< run it and never answer */
	LOAD_RESET,  /**< run it and close the connection */
	LOAD_SLOW,   /**< take four times as long */
	LOAD_CRASH,  /**< end at once, all of a shard, and are back cold after a second and a half;
		      * they  end once more when they are pressed then */
} load_fault_t;

/** One scenario. */
typedef struct load_plan_t {
	const char *name;
	const char *what;      /**< for the table */
	uint32_t short_shards; /**< of ten: left with one searcher of three */
	double offered;	       /**< work offered to such a shard, as a share of what it can do */
	load_fault_t fault;
	double fault_share; /**< of the searchers, one of each shard at the least spared */
	double fault_odds;  /**< of each sub-request there */
} load_plan_t;

/** Answers of one route, from second 6 to 24 of 30. */
typedef struct load_route_t {
	const char *name;
	uint32_t asked, whole, partial, late, refused, failed;
	histogram_t took;
} load_route_t;

#define LOAD_ROUTES 2

typedef struct load_result_t {
	load_route_t routes[LOAD_ROUTES];
	uint32_t sub_requests, extras;
	uint32_t pressed;   /**< searchers that ended for having been pressed while cold */
	double worst_extra; /**< extras of one shard within a window, as a share of the bound */
} load_result_t;

/** Play @p plan; the same seed gives the same result. */
void load_play(const load_plan_t *plan, uint32_t seed, load_result_t *result);
/**
 * One VM, one searcher with one slot, exponential service, no limit that would bind.
 * @return the mean number of requests that wait, which queueing theory gives as load^2 / (1 - load)
 */
double load_play_single(double load, uint32_t seed, uint32_t seconds);
/** Share of the route's requests that were answered with enough parts within its target. */
double load_route_served(const load_route_t *route);

#endif
