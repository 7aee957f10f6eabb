/**
 * @file restart.c
 * Index versions that change while a query runs: the query restarts at another snapshot, or waits
 * briefly for a change of versions. An answer never mixes two snapshots, not even to fill a gap.
 *
 * docs/decisions/0001-one-snapshot.md compares the alternatives.
 */
#include "core/engine_private.h"

#define RESTARTS_MAX 2
/* A query waits only if versions changed at most this long ago. */
#define VERSION_CHANGE_RECENT_US 1000000
/* How long a query waits for a change of versions. */
#define VERSIONS_WAIT_US 600000

static uint32_t available_partitions(const snapshot_t *snapshot)
{
	return snapshot->partition_count - snapshot->missing->len;
}

/* Number of partitions that can still be answered at the snapshot that the query has pinned. */
static uint32_t reachable_partitions(const query_t *query)
{
	uint32_t reachable = 0;

	for (guint i = 0; i < query->parts->len; i++) {
		const part_t *part = g_ptr_array_index(query->parts, i);

		reachable += part->lost ? 0 : part->partitions->len;
	}
	return reachable;
}

static bool has_time(const query_t *query, uint64_t now_us)
{
	const service_t *service = engine_service_of(query);

	return (double)query->deadline.at_us > (double)now_us + service->gate.run_us;
}

static bool covers_more(const query_t *query, const snapshot_t *fresh)
{
	const snapshot_t *pinned = query->snapshot;

	if (fresh->version == pinned->version && fresh->missing->len >= pinned->missing->len)
		return false;
	if (query->request->kind == SERVICE_LOOKUP)
		return fresh->version != pinned->version;
	return (uint64_t)available_partitions(fresh) * pinned->partition_count >
	       (uint64_t)reachable_partitions(query) * fresh->partition_count;
}

bool restart_try(engine_t *engine, query_t *query, uint64_t now_us)
{
	service_t *service = engine_service_of(query);

	if (query->request->kind == SERVICE_ONCE || query->restarts >= RESTARTS_MAX ||
	    !has_time(query, now_us))
		return false;
	service->snapshot_stale = true;
	service_refresh_snapshot(service);
	if (!service->snapshot || !covers_more(query, service->snapshot))
		return false;
	query->restarts++;
	service->counters.restarts++;
	timeline_add(engine->timeline,
		     "event=restart request=%s service=%s from=%" G_GUINT64_FORMAT
		     " to=%" G_GUINT64_FORMAT,
		     query->request->id, service->name, query->snapshot->version,
		     service->snapshot->version);
	restart_stop_waiting(engine, query);
	dispatch_stop(engine, query, now_us);
	query_pin(query, service->snapshot);
	engine_scatter(engine, query, now_us);
	return true;
}

static void on_versions_wait_over(void *ctx, uint64_t now_us)
{
	query_t *query = ctx;
	engine_t *engine = query->engine;

	restart_stop_waiting(engine, query);
	query->waited_for_versions = true;
	engine_check_done(engine, query, now_us);
}

/*
 * Just after versions changed, the latest reports of some searchers are older than those of others,
 * and no version looks complete. Answering at once would give a partial answer although every group
 * is served; the next health pages show the versions. Without VERSION_CHANGE_RECENT_US, a group
 * that is really lost would make every query wait.
 */
bool restart_wait_for_versions(engine_t *engine, query_t *query, uint64_t now_us)
{
	service_t *service = engine_service_of(query);

	if (query->versions_timer.heap_position)
		return true;
	if (query->request->kind == SERVICE_ONCE || query->restarts >= RESTARTS_MAX ||
	    query->waited_for_versions || !service->versions_changed_us ||
	    now_us - service->versions_changed_us > VERSION_CHANGE_RECENT_US ||
	    !has_time(query, now_us))
		return false;
	query->versions_timer.fire = on_versions_wait_over;
	query->versions_timer.ctx = query;
	timers_set(&engine->timers, &query->versions_timer, now_us + VERSIONS_WAIT_US);
	g_ptr_array_add(service->awaiting_versions, query);
	engine->ops->refresh(engine->ctx, service);
	return true;
}

void restart_stop_waiting(engine_t *engine, query_t *query)
{
	if (!query->versions_timer.heap_position)
		return;
	timers_cancel(&engine->timers, &query->versions_timer);
	g_ptr_array_remove_fast(engine_service_of(query)->awaiting_versions, query);
}

void restart_versions_changed(engine_t *engine, service_t *service, uint64_t now_us)
{
	g_autoptr(GPtrArray) list = g_ptr_array_copy(service->awaiting_versions, NULL, NULL);

	for (guint i = 0; i < list->len; i++) {
		query_t *query = g_ptr_array_index(list, i);

		if (query->versions_timer.heap_position)
			restart_try(engine, query, now_us);
	}
}
