/**
 * @file registry.h
 * The searchers of each service, as the platform's store lists them.
 *
 * The registry loads a complete list, then keeps it up to date from events. A store that was
 * unreachable drops the entries of searchers that are still alive, so a removal is applied only
 * after such a searcher had the time to register again.
 *
 * A searcher may restart under its id. Reports of it come by several ways (lists, watches, other
 * VMs) and may be late, so the start time of the process decides which of two reports is newer.
 */
#ifndef DS_REGISTRY_H
#define DS_REGISTRY_H

#include "core/cold_share.h"
#include "core/latency_buckets.h"
#include "core/overload.h"
#include "core/retry_budget.h"
#include "core/quantile.h"
#include "core/searcher.h"

/** The searchers of one service, and the state and limits that they share. */
typedef struct pool_t {
	char *service;
	GPtrArray *searchers; /**< searcher_t, references held */
	retry_budget_t budget;
	retry_bound_t bound; /**< limit on its retries: the ratio, and this VM's part of the
			      * constant */
	quantile_t typical;  /**< median latency, from sending to answer, over all its searchers */
	double unloaded_us;  /**< the median at little load; 0: not measured */
	uint64_t unloaded_at_us;    /**< when unloaded_us was last updated */
	latency_buckets_t latency;  /**< the same as a distribution, for metrics */
	GQueue waiting;		    /**< parts that wait for capacity, by rank and age */
	double shed_share;	    /**< share of its recent parts that were shed */
	const overload_t *overload; /**< the send limits of its searchers apply while it is active;
				     * NULL: never */
	cold_limit_t cold;	    /**< rate limit on sub-requests to cold searchers */
	uint64_t cold_us;	    /**< assumed cold time of a searcher after its data centre's
				     * evacuation has ended */
	uint32_t removed_in_grace;  /**< searchers whose removal was believed since the store last
				     * recovered */
	uint64_t last_sent_us;	    /**< when this VM last sent a sub-request to it; 0: never */
	uint64_t last_exhausted_us; /**< when a part last found no capacity; 0: never */
} pool_t;

/** This VM's data centre, and the region of each data centre. */
typedef struct locality_t {
	char *data_centre;
	GHashTable *regions; /**< data centre to region */
} locality_t;

typedef struct registry_ops_t {
	/** A searcher was added, or its state has changed. */
	void (*changed)(void *ctx, searcher_t *searcher);
} registry_ops_t;

typedef struct registry_t registry_t;

registry_t *registry_new(const locality_t *locality, const retry_bound_t *bound,
			 const registry_ops_t *ops, void *ctx);
void registry_free(registry_t *registry);

/** Begins a complete list; its entries follow by registry_put(), then registry_list_end(). */
void registry_list_begin(registry_t *registry);
void registry_put(registry_t *registry, const searcher_entry_t *entry, uint64_t now_us);
/** Ends the list. Entries that it did not contain are removed, at once or after the re-registration
 * grace period. */
void registry_list_end(registry_t *registry, uint64_t now_us);
/**
 * Handles the store's report that @p id is no longer registered.
 * @param born_ms which incarnation of it; 0: not given
 */
void registry_remove(registry_t *registry, const char *id, uint64_t born_ms, uint64_t now_us);
/** Handles an entry of @p id that can no longer be parsed: @p id gets no new sub-requests. */
void registry_put_unreadable(registry_t *registry, const char *id);
/**
 * Marks @p searcher as gone because another searcher answers at its address: its process has
 * terminated, whatever the store still lists. Otherwise sub-requests would go to the wrong searcher
 * until the entry expires, and each attempt would use up the retry budget of the service that has
 * the address now.
 */
void registry_mark_replaced(registry_t *registry, searcher_t *searcher);
/** Starts or ends the evacuation of @p data_centre: while it lasts, its searchers get no new
 * sub-requests, including searchers that register later. */
void registry_set_evacuated(registry_t *registry, const char *data_centre, bool evacuated,
			    uint64_t now_us);
/** Records that the store did not answer; removals soon after its recovery may be lapsed entries of
 * live searchers. */
void registry_store_lost(registry_t *registry, uint64_t now_us);
void registry_store_recovered(registry_t *registry, uint64_t now_us);
/**
 * Records that the store was restored from an older copy: searchers that are missing from its lists
 * may register again, and entries that were removed may reappear.
 */
void registry_store_restored(registry_t *registry, uint64_t now_us);
/** Whether the store is unreachable, as far as is known. */
bool registry_is_store_unreachable(const registry_t *registry);
/** Applies the pending removals that are due; returns when to call again, or UINT64_MAX. */
uint64_t registry_run(registry_t *registry, uint64_t now_us);
/** Whether a complete list has been loaded since the start and the evacuations are not awaited. */
bool registry_is_ready(const registry_t *registry);
/** Sets whether the evacuations are still awaited: the registry is not ready before they are known.
 */
void registry_await_evacuations(registry_t *registry, bool awaited);

/** The pool of @p service; created on first use. */
pool_t *registry_pool(registry_t *registry, const char *service);
searcher_t *registry_find(const registry_t *registry, const char *id);
/** All pools, by service; pool_t. */
GHashTable *registry_pools(const registry_t *registry);
/** All registered searchers, by id; searcher_t. */
GHashTable *registry_searchers(const registry_t *registry);
/** Sets the limit on retries of all services: its ratio, and this VM's part of its constant. */
void registry_set_bound(registry_t *registry, double ratio, double constant);

#endif
