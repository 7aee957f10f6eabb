/**
 * @file registry.c
 * See registry.h.
 */
#include "core/registry.h"

/* Searchers whose entries lapsed while the store was away register again within two seconds of its
 * return; a little more for the way. Well below the time that a leaving searcher goes on serving.
 */
#define LAPSE_US 2300000
/* Searchers that have left are removed from a restored store after three heartbeats of silence, of
 * one to two seconds each. */
#define COPIED_US 12000000
/* The pool's median follows all its answers, so a smaller step keeps it steady. */
#define TYPICAL_STEP 0.05

/* Starts are remembered after their entries are gone, for reports that come late: at 17,000
 * searchers, some MB at most. Past so many for each one registered, all but those are forgotten. */
#define STARTS_EACH 4
#define STARTS_LEAST 1024

/* The latest start of an id that was heard of. */
typedef struct start_t {
	uint64_t born_ms;
	uint64_t changes; /* of its entry */
	bool draining;
	bool gone; /* its entry was removed */
} start_t;

struct registry_t {
	place_t place;
	retry_bound_t bound;
	const registry_ops_t *ops;
	void *ctx;
	GHashTable *by_id;     /* id to searcher_t */
	GHashTable *starts;    /* id to start_t; those that are gone, too */
	GHashTable *pools;     /* service to pool_t */
	GHashTable *listed;    /* ids seen in the list being taken in; NULL between lists */
	GHashTable *lapsing;   /* id to nothing: missing, and perhaps registering again */
	GHashTable *evacuated; /* data centres that are */
	uint64_t lapse_end_us;
	uint64_t copied_until_us; /* until then entries may be those of a copy of the store */
	bool store_away;
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

registry_t *registry_new(const place_t *place, const retry_bound_t *bound,
			 const registry_ops_t *ops, void *ctx)
{
	registry_t *registry = g_new0(registry_t, 1);

	registry->place.data_centre = g_strdup(place->data_centre);
	registry->place.regions = g_hash_table_ref(place->regions);
	registry->bound = *bound;
	registry->ops = ops;
	registry->ctx = ctx;
	registry->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						(GDestroyNotify)searcher_unref);
	registry->starts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	registry->pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_free);
	registry->lapsing = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	registry->evacuated = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return registry;
}

void registry_free(registry_t *registry)
{
	g_free(registry->place.data_centre);
	g_hash_table_unref(registry->place.regions);
	g_hash_table_unref(registry->pools);
	g_hash_table_unref(registry->by_id);
	g_hash_table_unref(registry->starts);
	g_hash_table_unref(registry->lapsing);
	g_hash_table_unref(registry->evacuated);
	if (registry->listed)
		g_hash_table_unref(registry->listed);
	g_free(registry);
}

static distance_t distance_of(const registry_t *registry, const char *data_centre)
{
	const place_t *place = &registry->place;
	const char *own = g_hash_table_lookup(place->regions, place->data_centre);
	const char *other = g_hash_table_lookup(place->regions, data_centre);

	if (g_str_equal(place->data_centre, data_centre))
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

/* ---- starts of searchers ---- */

static void forget_starts(registry_t *registry)
{
	GHashTableIter iter;
	gpointer id;

	g_hash_table_iter_init(&iter, registry->starts);
	while (g_hash_table_iter_next(&iter, &id, NULL))
		if (!g_hash_table_contains(registry->by_id, id))
			g_hash_table_iter_remove(&iter);
}

static start_t *start_of(registry_t *registry, const char *id)
{
	guint most = MAX(STARTS_LEAST, STARTS_EACH * g_hash_table_size(registry->by_id));
	start_t *start = g_hash_table_lookup(registry->starts, id);

	if (start)
		return start;
	if (g_hash_table_size(registry->starts) >= most)
		forget_starts(registry);
	start = g_new0(start_t, 1);
	g_hash_table_insert(registry->starts, g_strdup(id), start);
	return start;
}

/* Whether something newer is known than a report of the start @p born_ms of @p id. */
static bool is_outdated(const registry_t *registry, const char *id, uint64_t born_ms)
{
	const start_t *start = g_hash_table_lookup(registry->starts, id);

	return start && born_ms < start->born_ms;
}

/* Draining is final for a start: a stale read must not bring work back to one that leaves. */
static void note_start(registry_t *registry, const searcher_entry_t *entry)
{
	start_t *start = start_of(registry, entry->id);

	if (entry->born_ms > start->born_ms) {
		start->draining = false;
		start->changes = 0;
	}
	start->born_ms = entry->born_ms;
	start->changes = MAX(start->changes, entry->changes);
	start->gone = false;
	start->draining = start->draining || entry->draining;
}

/* ---- searchers ---- */

static void add(registry_t *registry, const searcher_entry_t *entry, uint64_t now_us)
{
	const char *region = g_hash_table_lookup(registry->place.regions, entry->data_centre);
	searcher_t *searcher =
		searcher_new(entry, distance_of(registry, entry->data_centre), region, now_us);

	searcher->evacuated = g_hash_table_contains(registry->evacuated, entry->data_centre);
	if (start_of(registry, entry->id)->draining)
		searcher->state = SEARCHER_DRAINING;
	g_hash_table_insert(registry->by_id, searcher->id, searcher);
	g_ptr_array_add(registry_pool(registry, entry->service)->searchers, searcher_ref(searcher));
	registry->ops->changed(registry->ctx, searcher);
}

static void take_out(registry_t *registry, const char *id, searcher_state_t state)
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

static void remove_now(registry_t *registry, const char *id)
{
	if (g_hash_table_contains(registry->by_id, id))
		start_of(registry, id)->gone = true;
	take_out(registry, id, SEARCHER_GONE);
}

/*
 * An entry that was removed, as a copy of the store still holds it: its searcher has left, and its
 * address may be another's. One that lives writes again, with another change of its entry.
 */
static bool is_of_copy(const registry_t *registry, const searcher_entry_t *entry, uint64_t now_us)
{
	const start_t *start = g_hash_table_lookup(registry->starts, entry->id);

	return start && start->gone && now_us < registry->copied_until_us &&
	       entry->born_ms == start->born_ms && entry->changes <= start->changes;
}

static void note_listed(registry_t *registry, const char *id)
{
	if (registry->listed)
		g_hash_table_add(registry->listed, g_strdup(id));
	g_hash_table_remove(registry->lapsing, id);
}

/*
 * What is left only shrinks while a searcher warms up; more than by its last word means that it has
 * become cold again. Each word is heard some time after it was written, so the earliest end that
 * any of them gives is the nearest to the truth, and not before it. True when those that wait for
 * the searcher should know.
 */
static bool note_cold(registry_t *registry, searcher_t *searcher, const searcher_entry_t *entry,
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

/* It is to get nothing new; true when that is news. */
static bool note_draining(searcher_t *searcher, const searcher_entry_t *entry)
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

	note_listed(registry, entry->id);
	if (is_outdated(registry, entry->id, entry->born_ms) || is_of_copy(registry, entry, now_us))
		return;
	note_start(registry, entry);
	/* Nothing that is known of the process before it holds for this one. */
	if (searcher && entry->born_ms > searcher->born_ms) {
		take_out(registry, entry->id, SEARCHER_ENDED);
		searcher = NULL;
	}
	if (!searcher) {
		add(registry, entry, now_us);
		return;
	}
	/* Both before anybody is told: one word may say that it is warm and that it leaves. */
	changed = note_draining(searcher, entry);
	changed = note_cold(registry, searcher, entry, now_us) || changed;
	if (changed)
		registry->ops->changed(registry->ctx, searcher);
}

void registry_put_unreadable(registry_t *registry, const char *id)
{
	note_listed(registry, id);
	remove_now(registry, id);
}

/*
 * While the store is away, entries lapse although their searchers live; on its return all of them
 * seem to be gone at once, and every request would be refused. So a removal soon after its return
 * waits for the searcher to register again.
 */
void registry_remove(registry_t *registry, const char *id, uint64_t born_ms, uint64_t now_us)
{
	searcher_t *searcher = g_hash_table_lookup(registry->by_id, id);
	bool may_be_lapse = registry->store_away || now_us < registry->lapse_end_us;

	if (!searcher || (born_ms && is_outdated(registry, id, born_ms)))
		return;
	if (may_be_lapse && searcher->state == SEARCHER_READY)
		g_hash_table_add(registry->lapsing, g_strdup(id));
	else
		remove_now(registry, id);
}

void registry_note_replaced(registry_t *registry, searcher_t *searcher)
{
	if (searcher->state >= SEARCHER_GONE)
		return;
	searcher->state = SEARCHER_GONE;
	registry->ops->changed(registry->ctx, searcher);
}

/* Whatever follows from a change may change the registry, too: not while it is gone through. */
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
 * Left alone for a while, its searchers may have become cold, and their word of it is a heartbeat
 * behind: all VMs would turn to them at once, and they would crash.
 */
static void evacuate(registry_t *registry, searcher_t *searcher, bool evacuated, uint64_t now_us)
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
		evacuate(registry, g_ptr_array_index(searchers, i), evacuated, now_us);
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

void registry_store_lost(registry_t *registry)
{
	registry->store_away = true;
}

void registry_store_back(registry_t *registry, uint64_t now_us)
{
	if (!registry->store_away)
		return;
	registry->store_away = false;
	registry->lapse_end_us = now_us + LAPSE_US;
}

void registry_store_restored(registry_t *registry, uint64_t now_us)
{
	registry->lapse_end_us = now_us + LAPSE_US;
	registry->copied_until_us = now_us + COPIED_US;
}

bool registry_is_store_away(const registry_t *registry)
{
	return registry->store_away;
}

uint64_t registry_run(registry_t *registry, uint64_t now_us)
{
	g_autoptr(GPtrArray) due = NULL;
	GHashTableIter iter;
	gpointer id;

	if (registry->store_away || !g_hash_table_size(registry->lapsing))
		return UINT64_MAX;
	if (now_us < registry->lapse_end_us)
		return registry->lapse_end_us;
	due = g_ptr_array_new_with_free_func(g_free);
	g_hash_table_iter_init(&iter, registry->lapsing);
	while (g_hash_table_iter_next(&iter, &id, NULL))
		g_ptr_array_add(due, g_strdup(id));
	g_hash_table_remove_all(registry->lapsing);
	for (guint i = 0; i < due->len; i++)
		remove_now(registry, g_ptr_array_index(due, i));
	return UINT64_MAX;
}

bool registry_is_known(const registry_t *registry)
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
