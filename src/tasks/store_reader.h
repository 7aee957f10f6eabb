/**
 * @file store_reader.h
 * Applies the platform store's objects: searchers, evacuations, the configuration, and requests
 * that crash searchers. An object that can't be parsed is logged once, counted, and changes
 * nothing.
 */
#ifndef DS_STORE_READER_H
#define DS_STORE_READER_H

#include "core/forward.h"
#include "net/loop.h"
#include "store.h"
#include "tasks/poison_task.h"

typedef struct store_reader_t store_reader_t;

typedef struct store_reader_ops_t {
	/** @p routing came into force. */
	void (*configured)(void *ctx, const routing_t *routing);
} store_reader_ops_t;

/** The modules that objects are applied to; borrowed, except for the regions. */
typedef struct store_reader_parts_t {
	registry_t *registry;
	forwarder_t *forwarder;
	poison_task_t *poison;
	GHashTable *regions; /**< data centre to region */
} store_reader_parts_t;

/** Counters, for metrics. */
typedef struct store_reader_counters_t {
	uint64_t entries_ignored;	 /**< reads of entries that name no searcher */
	uint64_t configurations_ignored; /**< reads of configurations that can't be parsed */
	uint64_t evacuations_ignored;	 /**< reads of evacuations that name no data centre */
	uint32_t regions_unknown;	 /**< regions bound to routes, but without a data centre */
	uint32_t evacuations;		 /**< in force */
} store_reader_counters_t;

store_reader_t *store_reader_new(loop_t *loop, const store_reader_parts_t *parts,
				 const store_reader_ops_t *ops, void *ctx);
/**
 * A complete list of @p kind begins: store_reader_apply() follows for each object, then
 * store_reader_list_end().
 */
void store_reader_list_begin(store_reader_t *reader, store_kind_t kind);
/** Apply an object of a list, or a changed object. */
void store_reader_apply(store_reader_t *reader, store_kind_t kind, const store_object_t *object);
void store_reader_list_end(store_reader_t *reader, store_kind_t kind);
/** The store is unreachable, or has recovered. */
void store_reader_store_lost(store_reader_t *reader);
void store_reader_store_recovered(store_reader_t *reader);
/**
 * The store was restored from an older copy of its data.
 * @param watches whether this VM watches the store itself
 */
void store_reader_store_restored(store_reader_t *reader, bool watches);
store_reader_counters_t store_reader_counters(const store_reader_t *reader);

#endif
