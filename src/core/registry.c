/**
 * @file registry.c
 * See registry.h.
 */
#include "core/registry.h"

/* Searchers whose entries lapsed while the store was unreachable register again within two seconds
 * of its recovery; the rest allows for network delay. This is well below the time for which a
 * draining searcher goes on serving. */
#define REREGISTER_GRACE_US 2300000
/* If the store answers within this time after it was noticed as lost, the connections to it may
 * have gone silent while the store itself worked and no entry lapsed. A feeder's next status comes
 * within this time, too. */
#define BRIEF_LOSS_US 1000000
/* Removals after a brief loss are believed as long as a pool keeps this many searchers for each one
 * that is removed. */
#define KEPT_PER_REMOVED 2
/* A restored store removes the entries of searchers that have left after three missed heartbeats,
 * of one to two seconds each. Until then it may list them again. */
#define RESTORED_GUARD_US 12000000
/* The pool's median is updated by every answer of its searchers, so a small step keeps it steady.
 */
#define TYPICAL_STEP 0.05

/* Incarnations are remembered after their entries are removed, so that late reports can be
 * recognised: a few MB at most with 17,000 searchers. When there are more than this many per
 * registered searcher, those that are not registered are evicted. */
#define INCARNATIONS_PER_SEARCHER 4
#define INCARNATIONS_MIN 1024

/* The latest known incarnation of an id. */
typedef struct incarnation_t {
	uint64_t born_ms;
	uint64_t changes; /* change counter of its latest entry */
	bool draining;
	bool gone; /* its entry was removed */
} incarnation_t;

struct registry_t {
	locality_t locality;
	retry_bound_t bound;
	const registry_ops_t *ops;
	void *ctx;
	GHashTable *by_id;	      /* id to searcher_t */
	GHashTable *incarnations;     /* id to incarnation_t, including removed ones */
	GHashTable *pools;	      /* service to pool_t */
	GHashTable *listed;	      /* ids seen in the list being loaded; NULL between lists */
	GHashTable *pending_removals; /* set of ids that are missing from the store but may
				       * register again */
	GHashTable *evacuated;	      /* set of evacuated data centres */
	uint64_t grace_end_us;
	uint64_t lost_us;		/* when the store was noticed as unreachable */
	bool brief_loss;		/* the grace follows a brief loss */
	uint64_t restored_guard_end_us; /* until then, the store may list entries from an older copy
					 * that were removed since */
	bool store_unreachable;
	bool known;
	bool awaits_evacuations;
};

static void pool_free(void *data)
{
	pool_t *pool = data;

	g_free(pool->service);
	g_ptr_array_unref(pool->searchers);
	g_free(pool);
}

registry_t *registry_new(const locality_t *locality, const retry_bound_t *bound,
			 const registry_ops_t *ops, void *ctx)
{
	registry_t *registry = g_new0(registry_t, 1);

	registry->locality.data_centre = g_strdup(locality->data_centre);
	registry->locality.regions = g_hash_table_ref(locality->regions);
	registry->bound = *bound;
	registry->ops = ops;
	registry->ctx = ctx;
	registry->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						(GDestroyNotify)searcher_unref);
	registry->incarnations = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	registry->pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_free);
	registry->pending_removals = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	registry->evacuated = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return registry;
}

void registry_free(registry_t *registry)
{
	g_free(registry->locality.data_centre);
	g_hash_table_unref(registry->locality.regions);
	g_hash_table_unref(registry->pools);
	g_hash_table_unref(registry->by_id);
	g_hash_table_unref(registry->incarnations);
	g_hash_table_unref(registry->pending_removals);
	g_hash_table_unref(registry->evacuated);
	if (registry->listed)
		g_hash_table_unref(registry->listed);
	g_free(registry);
}

static distance_t distance_of(const registry_t *registry, const char *data_centre)
{
	const locality_t *locality = &registry->locality;
	const char *own = g_hash_table_lookup(locality->regions, locality->data_centre);
	const char *other = g_hash_table_lookup(locality->regions, data_centre);

	if (g_str_equal(locality->data_centre, data_centre))
		return DISTANCE_LOCAL;
	return own && other && g_str_equal(own, other) ? DISTANCE_REGION : DISTANCE_FAR;
}

pool_t *registry_pool(registry_t *registry, const char *service)
{
	pool_t *pool = g_hash_table_lookup(registry->pools, service);

	if (pool)
		return pool;
	pool = g_new0(pool_t, 1);
	pool->service = g_strdup(service);
	pool->searchers = g_ptr_array_new_with_free_func((GDestroyNotify)searcher_unref);
	pool->typical = (quantile_t){.fraction = 0.5, .step = TYPICAL_STEP};
	pool->bound = registry->bound;
	retry_budget_init(&pool->budget, &registry->bound);
	g_queue_init(&pool->waiting);
	g_hash_table_insert(registry->pools, pool->service, pool);
	return pool;
}

/* ---- incarnations of searchers ---- */

static void evict_incarnations(registry_t *registry)
{
	GHashTableIter iter;
	gpointer id;

	g_hash_table_iter_init(&iter, registry->incarnations);
	while (g_hash_table_iter_next(&iter, &id, NULL))
		if (!g_hash_table_contains(registry->by_id, id))
			g_hash_table_iter_remove(&iter);
}

static incarnation_t *incarnation_of(registry_t *registry, const char *id)
{
	guint max = MAX(INCARNATIONS_MIN,
			INCARNATIONS_PER_SEARCHER * g_hash_table_size(registry->by_id));
	incarnation_t *incarnation = g_hash_table_lookup(registry->incarnations, id);

	if (incarnation)
		return incarnation;
	if (g_hash_table_size(registry->incarnations) >= max)
		evict_incarnations(registry);
	incarnation = g_new0(incarnation_t, 1);
	g_hash_table_insert(registry->incarnations, g_strdup(id), incarnation);
	return incarnation;
}

/* Whether a report about the incarnation @p born_ms of @p id is older than what is known. */
static bool is_outdated(const registry_t *registry, const char *id, uint64_t born_ms)
{
	const incarnation_t *incarnation = g_hash_table_lookup(registry->incarnations, id);

	return incarnation && born_ms < incarnation->born_ms;
}

/* Draining is final for an incarnation: a stale read must not make a draining searcher ready again.
 */
static void record_incarnation(registry_t *registry, const searcher_entry_t *entry)
{
	incarnation_t *incarnation = incarnation_of(registry, entry->id);

	if (entry->born_ms > incarnation->born_ms) {
		incarnation->draining = false;
		incarnation->changes = 0;
	}
	incarnation->born_ms = entry->born_ms;
	incarnation->changes = MAX(incarnation->changes, entry->changes);
	incarnation->gone = false;
	incarnation->draining = incarnation->draining || entry->draining;
}

/* ---- searchers ---- */

static void add(registry_t *registry, const searcher_entry_t *entry, uint64_t now_us)
{
	const char *region = g_hash_table_lookup(registry->locality.regions, entry->data_centre);
	searcher_t *searcher =
		searcher_new(entry, distance_of(registry, entry->data_centre), region, now_us);

	searcher->evacuated = g_hash_table_contains(registry->evacuated, entry->data_centre);
	if (incarnation_of(registry, entry->id)->draining)
		searcher->state = SEARCHER_DRAINING;
	g_hash_table_insert(registry->by_id, searcher->id, searcher);
	g_ptr_array_add(registry_pool(registry, entry->service)->searchers, searcher_ref(searcher));
	registry->ops->changed(registry->ctx, searcher);
}

static void remove_searcher(registry_t *registry, const char *id, searcher_state_t state)
{
	searcher_t *searcher = g_hash_table_lookup(registry->by_id, id);

	if (!searcher)
		return;
	searcher_ref(searcher);
	g_hash_table_remove(registry->by_id, id);
	g_ptr_array_remove(registry_pool(registry, searcher->service)->searchers, searcher);
	searcher->state = state;
	registry->ops->changed(registry->ctx, searcher);
	searcher_unref(searcher);
}

static void remove_entry(registry_t *registry, const char *id)
{
	if (g_hash_table_contains(registry->by_id, id))
		incarnation_of(registry, id)->gone = true;
	remove_searcher(registry, id, SEARCHER_GONE);
}

/*
 * Whether the entry was removed and now reappears from an older copy of the store. Its searcher has
 * left, and another one may have its address. A live searcher writes its entry again, with a higher
 * change counter.
 */
static bool is_stale_restored(const registry_t *registry, const searcher_entry_t *entry,
			      uint64_t now_us)
{
	const incarnation_t *incarnation = g_hash_table_lookup(registry->incarnations, entry->id);

	return incarnation && incarnation->gone && now_us < registry->restored_guard_end_us &&
	       entry->born_ms == incarnation->born_ms && entry->changes <= incarnation->changes;
}

static void mark_listed(registry_t *registry, const char *id)
{
	if (registry->listed)
		g_hash_table_add(registry->listed, g_strdup(id));
	g_hash_table_remove(registry->pending_removals, id);
}

/*
 * The remaining cold time only decreases while a searcher warms up; a value above that of its
 * previous entry means that it has become cold again. Each entry arrives some time after it was
 * written, so the earliest end that any of them gives is the closest to the true one, and never
 * before it. Returns true when parts that wait for the searcher should be reconsidered.
 */
static bool update_cold(registry_t *registry, searcher_t *searcher, const searcher_entry_t *entry,
			uint64_t now_us)
{
	uint64_t until_us = now_us + entry->cold_us;
	bool again = entry->cold_us > searcher->cold_us;
	bool sooner = !again && until_us < searcher->cold_until_us;

	if (entry->changes <= searcher->changes)
		return false;
	searcher->changes = entry->changes;
	searcher->cold_us = entry->cold_us;
	if (again || sooner)
		searcher->cold_until_us = until_us;
	return again || (sooner && registry_pool(registry, entry->service)->waiting.length);
}

/* Marks the searcher as draining if its entry says so; returns whether its state changed. */
static bool update_draining(searcher_t *searcher, const searcher_entry_t *entry)
{
	if (!entry->draining || searcher->state != SEARCHER_READY)
		return false;
	searcher->state = SEARCHER_DRAINING;
	return true;
}

void registry_put(registry_t *registry, const searcher_entry_t *entry, uint64_t now_us)
{
	searcher_t *searcher = g_hash_table_lookup(registry->by_id, entry->id);
	bool changed;

	mark_listed(registry, entry->id);
	if (is_outdated(registry, entry->id, entry->born_ms) ||
	    is_stale_restored(registry, entry, now_us))
		return;
	record_incarnation(registry, entry);
	/* Nothing known of the previous process applies to the new one. */
	if (searcher && entry->born_ms > searcher->born_ms) {
		remove_searcher(registry, entry->id, SEARCHER_ENDED);
		searcher = NULL;
	}
	if (!searcher) {
		add(registry, entry, now_us);
		return;
	}
	/* Apply both updates before the callback: one entry may report that the searcher is warm
	 * and that it is draining. */
	changed = update_draining(searcher, entry);
	changed = update_cold(registry, searcher, entry, now_us) || changed;
	if (changed)
		registry->ops->changed(registry->ctx, searcher);
}

void registry_put_unreadable(registry_t *registry, const char *id)
{
	mark_listed(registry, id);
	remove_entry(registry, id);
}

/* Whether the pool keeps enough ready searchers if one more entry was removed, not lapsed. */
static bool can_spare_one(const pool_t *pool)
{
	uint32_t ready = 0;

	for (guint i = 0; i < pool->searchers->len; i++)
		ready += ((searcher_t *)g_ptr_array_index(pool->searchers, i))->state ==
			 SEARCHER_READY;
	return ready > KEPT_PER_REMOVED * (pool->removed_in_grace + 1);
}

/*
 * While the store is unreachable, entries lapse although their searchers are alive. When it
 * recovers, all of them seem to be gone at once, and every request would be rejected. So a removal
 * soon after the recovery waits for the searcher to register again.
 *
 * If only the connections to the store had gone silent, nothing has lapsed: a removed searcher has
 * left, and the time to notice the silence is all that this VM may take to know it.
 */
static bool may_be_lapsed(registry_t *registry, const searcher_t *searcher, uint64_t now_us)
{
	pool_t *pool = registry_pool(registry, searcher->service);

	if (searcher->state != SEARCHER_READY)
		return false;
	if (registry->store_unreachable)
		return true;
	if (now_us >= registry->grace_end_us)
		return false;
	if (!registry->brief_loss || !can_spare_one(pool))
		return true;
	pool->removed_in_grace++;
	return false;
}

void registry_remove(registry_t *registry, const char *id, uint64_t born_ms, uint64_t now_us)
{
	searcher_t *searcher = g_hash_table_lookup(registry->by_id, id);

	if (!searcher || (born_ms && is_outdated(registry, id, born_ms)))
		return;
	if (may_be_lapsed(registry, searcher, now_us))
		g_hash_table_add(registry->pending_removals, g_strdup(id));
	else
		remove_entry(registry, id);
}

void registry_mark_replaced(registry_t *registry, searcher_t *searcher)
{
	if (searcher->state >= SEARCHER_GONE)
		return;
	searcher->state = SEARCHER_GONE;
	registry->ops->changed(registry->ctx, searcher);
}

/* Collects the searchers first, because the callback for a change may modify the registry, which
 * must not happen during an iteration over it. */
static GPtrArray *searchers_in(registry_t *registry, const char *data_centre)
{
	GPtrArray *found = g_ptr_array_new_with_free_func((GDestroyNotify)searcher_unref);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, registry->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		searcher_t *searcher = value;

		if (g_str_equal(searcher->data_centre, data_centre))
			g_ptr_array_add(found, searcher_ref(searcher));
	}
	return found;
}

/*
 * Searchers that were idle during an evacuation may have become cold, and their entries report this
 * one heartbeat late. Without a limit, all VMs would send to them at once, and they would crash.
 */
static void apply_evacuation(registry_t *registry, searcher_t *searcher, bool evacuated,
			     uint64_t now_us)
{
	const pool_t *pool = registry_pool(registry, searcher->service);

	searcher->evacuated = evacuated;
	if (evacuated || !pool->cold.per_s)
		return;
	searcher->cold_us = pool->cold_us;
	searcher->cold_until_us = MAX(searcher->cold_until_us, now_us + pool->cold_us);
}

void registry_set_evacuated(registry_t *registry, const char *data_centre, bool evacuated,
			    uint64_t now_us)
{
	g_autoptr(GPtrArray) searchers = searchers_in(registry, data_centre);

	if (evacuated)
		g_hash_table_add(registry->evacuated, g_strdup(data_centre));
	else
		g_hash_table_remove(registry->evacuated, data_centre);
	for (guint i = 0; i < searchers->len; i++)
		apply_evacuation(registry, g_ptr_array_index(searchers, i), evacuated, now_us);
	for (guint i = 0; i < searchers->len; i++)
		registry->ops->changed(registry->ctx, g_ptr_array_index(searchers, i));
}

void registry_list_begin(registry_t *registry)
{
	if (registry->listed)
		g_hash_table_unref(registry->listed);
	registry->listed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void registry_list_end(registry_t *registry, uint64_t now_us)
{
	g_autoptr(GPtrArray) missing = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer id;

	if (!registry->listed) /* another list, from another source, has ended meanwhile */
		return;
	g_hash_table_iter_init(&iter, registry->by_id);
	while (g_hash_table_iter_next(&iter, &id, NULL))
		if (!g_hash_table_contains(registry->listed, id))
			g_ptr_array_add(missing, g_strdup(id));
	g_hash_table_unref(registry->listed);
	registry->listed = NULL;
	registry->known = true;
	for (guint i = 0; i < missing->len; i++)
		registry_remove(registry, g_ptr_array_index(missing, i), 0, now_us);
}

void registry_store_lost(registry_t *registry, uint64_t now_us)
{
	if (!registry->store_unreachable)
		registry->lost_us = now_us;
	registry->store_unreachable = true;
}

/* News of a feeder may arrive before its status says that it reaches the store again. */
static void reconsider_removals(registry_t *registry, uint64_t now_us)
{
	g_autofree gpointer *ids = NULL;
	g_autoptr(GHashTable) held = g_steal_pointer(&registry->pending_removals);

	registry->pending_removals = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ids = g_hash_table_get_keys_as_array(held, NULL);
	for (gpointer *id = ids; *id; id++)
		registry_remove(registry, *id, 0, now_us);
}

void registry_store_recovered(registry_t *registry, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer pool;

	if (!registry->store_unreachable)
		return;
	registry->store_unreachable = false;
	registry->brief_loss = now_us < registry->lost_us + BRIEF_LOSS_US;
	registry->grace_end_us = now_us + REREGISTER_GRACE_US;
	g_hash_table_iter_init(&iter, registry->pools);
	while (g_hash_table_iter_next(&iter, NULL, &pool))
		((pool_t *)pool)->removed_in_grace = 0;
	reconsider_removals(registry, now_us);
}

void registry_store_restored(registry_t *registry, uint64_t now_us)
{
	registry->brief_loss = false;
	registry->grace_end_us = now_us + REREGISTER_GRACE_US;
	registry->restored_guard_end_us = now_us + RESTORED_GUARD_US;
}

bool registry_is_store_unreachable(const registry_t *registry)
{
	return registry->store_unreachable;
}

uint64_t registry_run(registry_t *registry, uint64_t now_us)
{
	g_autoptr(GPtrArray) due = NULL;
	GHashTableIter iter;
	gpointer id;

	if (registry->store_unreachable || !g_hash_table_size(registry->pending_removals))
		return UINT64_MAX;
	if (now_us < registry->grace_end_us)
		return registry->grace_end_us;
	due = g_ptr_array_new_with_free_func(g_free);
	g_hash_table_iter_init(&iter, registry->pending_removals);
	while (g_hash_table_iter_next(&iter, &id, NULL))
		g_ptr_array_add(due, g_strdup(id));
	g_hash_table_remove_all(registry->pending_removals);
	for (guint i = 0; i < due->len; i++)
		remove_entry(registry, g_ptr_array_index(due, i));
	return UINT64_MAX;
}

bool registry_is_ready(const registry_t *registry)
{
	return registry->known && !registry->awaits_evacuations;
}

void registry_await_evacuations(registry_t *registry, bool awaited)
{
	registry->awaits_evacuations = awaited;
}

searcher_t *registry_find(const registry_t *registry, const char *id)
{
	return g_hash_table_lookup(registry->by_id, id);
}

GHashTable *registry_pools(const registry_t *registry)
{
	return registry->pools;
}

GHashTable *registry_searchers(const registry_t *registry)
{
	return registry->by_id;
}

void registry_set_bound(registry_t *registry, double ratio, double constant)
{
	GHashTableIter iter;
	gpointer pool;

	registry->bound.ratio = ratio;
	registry->bound.constant = constant;
	g_hash_table_iter_init(&iter, registry->pools);
	while (g_hash_table_iter_next(&iter, NULL, &pool))
		((pool_t *)pool)->bound = registry->bound;
}
