/**
 * @file routing.h
 * One version of the routes that operators accept: what a request may be forwarded to, and how long
 * that may take. Immutable and shared by reference count.
 */
#ifndef DS_ROUTING_H
#define DS_ROUTING_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** One service that a route may use. */
typedef struct route_target_t {
	char *service;
	double weight; /**< its share of the route's requests, relative to the others */
} route_target_t;

typedef struct route_t {
	char *name;
	char *host;   /**< without a port */
	char *prefix; /**< of the path; begins and ends with a slash */
	bool idempotent;
	bool gathers;	       /**< asks all targets and merges; else asks one of them */
	uint32_t rank;	       /**< 0 is served first */
	uint32_t max_attempts; /**< searchers that may run one request, for each target */
	uint64_t timeout_us;   /**< the longest that a caller is kept waiting */
	uint64_t target_us;    /**< the time within which an answer is worth most */
	uint32_t top;	       /**< gathers: records in the answer */
	double min_coverage;   /**< gathers: share of the targets that makes a success */
	GArray *targets;       /**< route_target_t */
	GPtrArray *regions;    /**< names; its requests stay in these. NULL: anywhere */
} route_t;

/** What a searcher of a service bears, from all VMs together. */
typedef struct service_limits_t {
	uint32_t connections; /**< 0: not known */
	uint64_t cold_us;     /**< for so long after its start it is cold */
	double cold_per_s; /**< requests a second that it bears while it is cold; 0: any number */
} service_limits_t;

/** What callers may send, and how long they may take. */
typedef struct caller_limits_t {
	uint32_t head_bytes;
	uint32_t body_bytes;
	uint64_t receive_us;
	uint64_t idle_us;
} caller_limits_t;

typedef struct routing_t {
	gint refs;
	uint64_t version;
	GPtrArray *routes;    /**< route_t */
	GHashTable *services; /**< name to service_limits_t */
	caller_limits_t limits;
	GHashTable *by_host; /**< host to GPtrArray of route_t, longest prefix first */
	GHashTable *singles; /**< services that some route asks alone; borrows its names */
} routing_t;

routing_t *routing_new(uint64_t version);
routing_t *routing_ref(routing_t *routing);
void routing_unref(routing_t *routing);

/** A route to be filled in; it is the routing's from here on. */
route_t *routing_add(routing_t *routing);
void route_add_target(route_t *route, const char *service, double weight);
/** Bind the route to @p region, and to those named before; false when it is named once more. */
bool route_add_region(route_t *route, const char *region);
/** Whether the route's requests may be sent to @p region; NULL: one that is not known. */
bool route_allows(const route_t *route, const char *region);
void routing_set_service_limits(routing_t *routing, const char *service,
				const service_limits_t *terms);
/** Call once all routes are filled in. */
void routing_seal(routing_t *routing);

/** Count the regions that routes are bound to and that are not among @p regions, a table of data
 * centre to region; the first of them and its route are set in @p route and @p region. */
uint32_t routing_unknown_regions(const routing_t *routing, GHashTable *regions,
				 const route_t **route, const char **region);

/** The route with the longest prefix of @p target's path for @p host, or NULL. */
const route_t *routing_match(const routing_t *routing, const char *host, const char *target);
/** Whether some route asks @p service alone, and not as one of many shards. */
bool routing_is_single(const routing_t *routing, const char *service);
/** The least that a searcher of any service that is gathered takes; 0 if unknown. */
uint32_t routing_min_gather_connections(const routing_t *routing);
/** What a searcher of @p service bears; zeroes if unknown. */
service_limits_t routing_service_limits(const routing_t *routing, const char *service);

#endif
