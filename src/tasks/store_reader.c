/**
 * @file store_reader.c
 * See store_reader.h.
 */
#include "tasks/store_reader.h"

#include "core/evacuation.h"

/* Names of invalid entries that are remembered, so that each is logged once. */
#define UNREADABLE_MAX 256

struct store_reader_t {
	loop_t *loop;
	const store_reader_ops_t *ops;
	void *ctx;
	registry_t *registry;
	forwarder_t *forwarder;
	poison_task_t *poison;
	evacuations_t *evacuations;
	GHashTable *regions;	/* data centre to region */
	GHashTable *unreadable; /* names of invalid entries that were logged */
	loop_timer_t registry_timer;
	loop_timer_t evacuations_timer;
	store_reader_counters_t counters;
};

/* ---- timers ---- */

static void run_registry(void *ctx)
{
	store_reader_t *reader = ctx;
	uint64_t now_us = loop_now_us();
	uint64_t next_us = registry_run(reader->registry, now_us);

	if (next_us != UINT64_MAX)
		loop_timer_set(reader->loop, &reader->registry_timer, next_us - now_us);
}

static void run_evacuations(void *ctx)
{
	store_reader_t *reader = ctx;
	uint64_t now_us = loop_now_us();
	uint64_t next_us = evacuations_run(reader->evacuations, now_us);

	if (next_us != UINT64_MAX)
		loop_timer_set(reader->loop, &reader->evacuations_timer, next_us - now_us);
}

/* ---- searchers ---- */

/* Logs each name once until its entry can be parsed again, as each list repeats invalid entries. */
static void log_unreadable(store_reader_t *reader, const char *name, const char *reason)
{
	g_autofree char *escaped = g_strescape(name, NULL);

	reader->counters.entries_ignored++;
	if (g_hash_table_size(reader->unreadable) >= UNREADABLE_MAX ||
	    !g_hash_table_add(reader->unreadable, g_strdup(name)))
		return;
	g_warning("event=searcher-ignored searcher=\"%s\" reason=\"%s\"", escaped, reason);
}

static void apply_searcher(store_reader_t *reader, const store_object_t *object)
{
	searcher_entry_t entry;
	err_t err = {0};

	if (object->removed) {
		g_hash_table_remove(reader->unreadable, object->name);
		registry_remove(reader->registry, object->name, store_born_ms(object),
				loop_now_us());
		run_registry(reader);
		return;
	}
	if (!store_read_searcher(object, &entry, &err)) {
		log_unreadable(reader, object->name, err.text);
		registry_put_unreadable(reader->registry, object->name);
		return;
	}
	g_hash_table_remove(reader->unreadable, object->name);
	registry_put(reader->registry, &entry, loop_now_us());
	searcher_entry_clear(&entry);
}

/* ---- evacuations ---- */

static void on_evacuation_changed(void *ctx, const char *data_centre, bool evacuated)
{
	store_reader_t *reader = ctx;

	g_message("event=evacuation data_centre=%s outcome=%s", data_centre,
		  evacuated ? "in-force" : "taken-back");
	registry_set_evacuated(reader->registry, data_centre, evacuated, loop_now_us());
}

/* An evacuation that names no data centre is an operator's mistake; all searchers stay in use. */
static void apply_evacuation_object(store_reader_t *reader, const store_object_t *object)
{
	if (object->removed) {
		evacuations_remove(reader->evacuations, object->name);
	} else if (g_hash_table_contains(reader->regions, object->name)) {
		evacuations_put(reader->evacuations, object->name);
	} else {
		g_autofree char *escaped = g_strescape(object->name, NULL);

		reader->counters.evacuations_ignored++;
		g_warning("event=evacuation data_centre=\"%s\" outcome=ignored "
			  "reason=no-such-data-centre",
			  escaped);
	}
}

/* ---- the configuration ---- */

/* No searcher serves a route bound to an unknown region: more likely an operator's mistake than
 * intended. */
static void log_unknown_regions(store_reader_t *reader, const routing_t *routing)
{
	const route_t *route = NULL;
	const char *region = NULL;

	reader->counters.regions_unknown =
		routing_unknown_regions(routing, reader->regions, &route, &region);
	if (reader->counters.regions_unknown)
		g_warning("event=region-unknown route=%s region=%s in_all=%u outcome=kept",
			  route->name, region, reader->counters.regions_unknown);
}

/* A configuration never replaces a newer version. */
static void apply_configuration(store_reader_t *reader, const store_object_t *object)
{
	const routing_t *current = forwarder_routing(reader->forwarder);
	routing_t *routing;
	err_t err = {0};

	if (!store_is_configuration(object))
		return;
	routing = store_read_routing(object->content, &err);
	if (!routing) {
		reader->counters.configurations_ignored++;
		g_warning("event=configuration outcome=ignored reason=\"%s\"", err.text);
		return;
	}
	if (current && routing->version <= current->version) {
		g_info("event=configuration version=%" G_GUINT64_FORMAT
		       " outcome=ignored reason=not-newer",
		       routing->version);
		routing_unref(routing);
		return;
	}
	log_unknown_regions(reader, routing);
	g_message("event=configuration version=%" G_GUINT64_FORMAT " routes=%u outcome=in-force",
		  routing->version, routing->routes->len);
	forwarder_set_routing(reader->forwarder, routing);
	reader->ops->configured(reader->ctx, routing);
}

/* ---- interface ---- */

store_reader_t *store_reader_new(loop_t *loop, const store_reader_parts_t *parts,
				 const store_reader_ops_t *ops, void *ctx)
{
	static const evacuations_ops_t evacuation_ops = {.changed = on_evacuation_changed};
	store_reader_t *reader = g_new0(store_reader_t, 1);

	reader->loop = loop;
	reader->ops = ops;
	reader->ctx = ctx;
	reader->registry = parts->registry;
	reader->forwarder = parts->forwarder;
	reader->poison = parts->poison;
	reader->regions = g_hash_table_ref(parts->regions);
	reader->unreadable = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	reader->evacuations = evacuations_new(&evacuation_ops, reader);
	reader->registry_timer = (loop_timer_t){.fire = run_registry, .ctx = reader};
	reader->evacuations_timer = (loop_timer_t){.fire = run_evacuations, .ctx = reader};
	return reader;
}

void store_reader_list_begin(store_reader_t *reader, store_kind_t kind)
{
	if (kind == STORE_SEARCHERS)
		registry_list_begin(reader->registry);
	else if (kind == STORE_POISON)
		poison_list_begin(forwarder_poison(reader->forwarder));
	else if (kind == STORE_EVACUATIONS)
		evacuations_list_begin(reader->evacuations);
}

void store_reader_apply(store_reader_t *reader, store_kind_t kind, const store_object_t *object)
{
	if (kind == STORE_SEARCHERS)
		apply_searcher(reader, object);
	else if (kind == STORE_CONFIGURATION)
		apply_configuration(reader, object);
	else if (kind == STORE_EVACUATIONS)
		apply_evacuation_object(reader, object);
	else
		poison_task_apply(reader->poison, object, loop_now_us());
}

void store_reader_list_end(store_reader_t *reader, store_kind_t kind)
{
	if (kind == STORE_POISON) {
		poison_list_end(forwarder_poison(reader->forwarder));
	} else if (kind == STORE_EVACUATIONS) {
		evacuations_list_end(reader->evacuations, loop_now_us());
		registry_await_evacuations(reader->registry, false);
		run_evacuations(reader);
	} else if (kind == STORE_SEARCHERS) {
		registry_list_end(reader->registry, loop_now_us());
		run_registry(reader);
	}
}

void store_reader_store_lost(store_reader_t *reader)
{
	registry_store_lost(reader->registry, loop_now_us());
}

void store_reader_store_recovered(store_reader_t *reader)
{
	registry_store_recovered(reader->registry, loop_now_us());
	run_registry(reader);
}

/*
 * VMs that watch the store publish their suspect requests again first; the other VMs learn from the
 * store's objects that these are published.
 */
void store_reader_store_restored(store_reader_t *reader, bool watches)
{
	uint64_t now_us = loop_now_us();

	registry_store_restored(reader->registry, now_us);
	run_registry(reader);
	evacuations_store_restored(reader->evacuations, now_us);
	poison_store_restored(forwarder_poison(reader->forwarder), !watches, now_us);
}

store_reader_counters_t store_reader_counters(const store_reader_t *reader)
{
	store_reader_counters_t counters = reader->counters;

	counters.evacuations = evacuations_count(reader->evacuations);
	return counters;
}
