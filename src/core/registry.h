/**
 * @file registry.h
 * Which searchers there are, by service, as the platform's store lists them.
 *
 * The list is taken in whole, then kept up by events. A store that was away forgets searchers that
 * live on: their removal is believed only once they had the time to register again.
 *
 * A searcher may start again under its id. Reports of it come by several ways (lists, watches,
 * other VMs) and may be late, so the time of its start decides which of two is the newer one.
 */
#ifndef DS_REGISTRY_H
#define DS_REGISTRY_H

#include "core/cold_share.h"
#include "core/latency_buckets.h"
#include "core/retry_budget.h"
#include "core/quantile.h"
#include "core/searcher.h"

/** The searchers of one service, and what all of them together are allowed. */
typedef struct pool_t {
	char *service;
	GPtrArray *searchers; /**< searcher_t, references held */
	retry_budget_t budget;
	retry_bound_t bound; /**< on its retries: the ratio, and this VM's part of the constant */
	quantile_t typical;  /**< median of sent to answered, over all its searchers */
	latency_buckets_t latency; /**< the same, for metrics */
	GQueue waiting;		   /**< parts that found no room, by rank and age */
	double shed_share;	   /**< of its parts of late that were left out */
	cold_limit_t cold;	   /**< on what cold searchers are sent */
	uint64_t cold_us;	   /**< for so long a searcher may be cold that is used again */
	uint64_t short_us;	   /**< when a part last found no room; 0: never */
} pool_t;

/** Where this VM is, and the region of each data centre. */
typedef struct place_t {
	char *data_centre;
	GHashTable *regions; /**< data centre to region */
} place_t;

typedef struct registry_ops_t {
	/** A searcher is new, or its state has changed. */
	void (*changed)(void *ctx, searcher_t *searcher);
} registry_ops_t;

typedef struct registry_t registry_t;

registry_t *registry_new(const place_t *place, const retry_bound_t *bound,
			 const registry_ops_t *ops, void *ctx);
void registry_free(registry_t *registry);

/** A whole list begins; entries follow by registry_put(), then registry_list_end(). */
void registry_list_begin(registry_t *registry);
void registry_put(registry_t *registry, const searcher_entry_t *entry, uint64_t now_us);
/** Entries that were not in the list are removed, now or after the time to register again. */
void registry_list_end(registry_t *registry, uint64_t now_us);
/**
 * The store says that @p id is no longer registered.
 * @param born_ms which start of it; 0: not said
 */
void registry_remove(registry_t *registry, const char *id, uint64_t born_ms, uint64_t now_us);
/** The entry of @p id can't be read any more: it names no searcher to send new work to. */
void registry_put_unreadable(registry_t *registry, const char *id);
/**
 * Another searcher answers at the address of @p searcher: it has ended, whatever the store still
 * says. Without this, work goes on being sent to a stranger until the entry lapses, and each try
 * uses up the retry budget of the service that has the address now.
 */
void registry_note_replaced(registry_t *registry, searcher_t *searcher);
/** Send nothing new to the searchers of @p data_centre, those to come too; or do so again. */
void registry_set_evacuated(registry_t *registry, const char *data_centre, bool evacuated,
			    uint64_t now_us);
/** The store did not answer; removals soon after its return may be lapses. */
void registry_store_lost(registry_t *registry);
void registry_store_back(registry_t *registry, uint64_t now_us);
/**
 * The store came back from a copy: searchers that are missing in its lists may register again, and
 * entries that were removed may be there again.
 */
void registry_store_restored(registry_t *registry, uint64_t now_us);
/** Whether the store does not answer, as far as is known. */
bool registry_is_store_away(const registry_t *registry);
/** Carry out removals whose time has come; returns when to call again, or UINT64_MAX. */
uint64_t registry_run(registry_t *registry, uint64_t now_us);
/** Whether a whole list was taken in since the start, and nothing else is awaited. */
bool registry_is_known(const registry_t *registry);
/** Nothing is to be sent before the evacuations are known, either, or they are now. */
void registry_await_evacuations(registry_t *registry, bool awaited);

/** The pool of @p service; made when first asked for. */
pool_t *registry_pool(registry_t *registry, const char *service);
searcher_t *registry_find(const registry_t *registry, const char *id);
/** All pools, by service; pool_t. */
GHashTable *registry_pools(const registry_t *registry);
/** All searchers registered, by id; searcher_t. */
GHashTable *registry_searchers(const registry_t *registry);
/** Set the bound on retries of all services: its ratio, and this VM's part of its constant. */
void registry_set_bound(registry_t *registry, double ratio, double constant);

#endif
