/**
 * @file routing.h
 * One version of the routes that operators have accepted: which services a request is forwarded to,
 * and its time limits. Immutable once sealed, and shared by reference count.
 */
#ifndef DS_ROUTING_H
#define DS_ROUTING_H

#include "core/tenants.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** One service that a route may use. */
typedef struct route_target_t {
	char *service;
	double weight; /**< its share of the route's requests, relative to the others
			*/
} route_target_t;

typedef struct route_t {
	char *name;
	char *host;   /**< without a port */
	char *prefix; /**< of the path; begins and ends with a slash */
	bool idempotent;
	bool gathers;	       /**< sends to all targets and merges; else sends to one of them
				*/
	uint32_t rank;	       /**< 0 is the most urgent and served first */
	uint32_t max_attempts; /**< how many searchers of each target may run one request */
	uint64_t timeout_us;   /**< the maximum time that a caller waits */
	uint64_t target_us;    /**< target latency: an answer within this time is worth most */
	uint32_t top;	       /**< gathers: maximum number of records in the answer */
	double min_coverage;   /**< gathers: the share of answered targets that makes a success */
	GArray *targets;       /**< route_target_t */
	bool is_public;	       /**< its requests need no API key */
	GPtrArray *regions; /**< names of the regions its requests must stay in; NULL: any region */
} route_t;

/** What a searcher of a service can take from all VMs together. */
typedef struct service_limits_t {
	uint32_t connections; /**< 0: unknown */
	uint64_t cold_us;     /**< how long a searcher is cold after its start */
	double cold_per_s;    /**< maximum requests per second while it is cold; 0: no limit */
} service_limits_t;

/** Limits on the size of callers' requests, and on the time that callers may take. */
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
	tenants_t *tenants;   /**< NULL: the configuration has none, and no request needs a key */
	caller_limits_t limits;
	GHashTable *by_host; /**< host to GPtrArray of route_t, longest prefix first */
	GHashTable *singles; /**< services that some route sends to alone; the names are owned by
				the routes */
} routing_t;

routing_t *routing_new(uint64_t version);
routing_t *routing_ref(routing_t *routing);
void routing_unref(routing_t *routing);

/** Add an empty route, to be filled in. The routing owns it. */
route_t *routing_add(routing_t *routing);
void route_add_target(route_t *route, const char *service, double weight);
/** Bind the route to @p region in addition to those added before. Returns false if it was added
 * before. */
bool route_add_region(route_t *route, const char *region);
/** Whether the route's requests may be sent to @p region; NULL: an unknown region. */
bool route_allows(const route_t *route, const char *region);
void routing_set_service_limits(routing_t *routing, const char *service,
				const service_limits_t *terms);
/** Build the lookup tables. Call once, when all routes are filled in. */
void routing_seal(routing_t *routing);

/** Count the regions that routes are bound to and that are not among @p regions, a table of data
 * centre to region. Sets @p region to the first of them and @p route to its route. */
uint32_t routing_unknown_regions(const routing_t *routing, GHashTable *regions,
				 const route_t **route, const char **region);

/** The route of @p host with the longest prefix that matches the path of @p target, or NULL. */
const route_t *routing_match(const routing_t *routing, const char *host, const char *target);
/**
 * Whether a request with @p key may use @p route.
 * @param key NULL: it has none
 * @param tenant set to the tenant that holds the key; NULL for none
 */
bool routing_authorize(const routing_t *routing, const route_t *route, const char *key,
		       const tenant_t **tenant);
/** Whether some route sends to @p service alone, and not to it as one of many shards. */
bool routing_is_single(const routing_t *routing, const char *service);
/** The minimum, over the services that are gathered, of the connections that a searcher takes; 0:
 * unknown. */
uint32_t routing_min_gather_connections(const routing_t *routing);
/** What a searcher of @p service can take; zeroes: unknown. */
service_limits_t routing_service_limits(const routing_t *routing, const char *service);

#endif
