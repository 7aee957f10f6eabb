/**
 * @file upstream_status.c
 * Status reports of searchers, from health pages, replies and peers, and the detection of pauses of
 * this process, after which the reports are outdated.
 */
#include "core/engine_private.h"

/*
 * A gap this long between calls is a pause, as health probes call the engine several times a
 * second.
 */
#define PAUSE_MIN_US 1500000

static service_t *service_of_upstream(const engine_t *engine, const upstream_t *upstream)
{
	return engine_find_service(engine, upstream->service);
}

void engine_apply_report(engine_t *engine, upstream_t *upstream, const upstream_report_t *report,
			 uint64_t now_us)
{
	upstream_state_t before = upstream->state;
	service_t *service = service_of_upstream(engine, upstream);
	bool was_leaving = upstream->leaving_reported;

	if (!upstream_apply_report(upstream, report))
		return;
	if (upstream->leaving_reported && !was_leaving)
		engine->ops->leaving(engine->ctx, upstream);
	service->snapshot_stale = true;
	if (report->has_versions)
		service->versions_changed_us = now_us;
	timeline_add(engine->timeline,
		     "event=upstream-changed service=%s upstream=%s from=%s to=%s",
		     upstream->service, upstream->name, upstream_state_name(before),
		     upstream_state_name(upstream->state));
	if (!upstream_usable(upstream))
		dispatch_reassign_waiting(engine, upstream, now_us);
	restart_versions_changed(engine, service, now_us);
}

void engine_health(engine_t *engine, upstream_t *upstream, const upstream_report_t *report,
		   uint64_t now_us)
{
	engine_enter(engine, now_us);
	engine_apply_report(engine, upstream, report, now_us);
}

void engine_health_failed(engine_t *engine, upstream_t *upstream, bool refused, uint64_t now_us)
{
	engine_enter(engine, now_us);
	if (!upstream_record_failure(upstream, refused))
		return;
	service_of_upstream(engine, upstream)->snapshot_stale = true;
	timeline_add(engine->timeline, "event=upstream-down service=%s upstream=%s reason=health",
		     upstream->service, upstream->name);
	dispatch_reassign_waiting(engine, upstream, now_us);
}

void engine_leave_notice(engine_t *engine, const char *service_name, const char *name,
			 uint64_t now_us)
{
	service_t *service = engine_find_service(engine, service_name);

	for (guint i = 0; service && i < service->upstreams->len; i++) {
		upstream_t *upstream = g_ptr_array_index(service->upstreams, i);

		if (!g_str_equal(upstream->name, name) || upstream->leaving_reported)
			continue;
		upstream->leaving_reported = true;
		service->snapshot_stale = true;
		timeline_add(engine->timeline,
			     "event=upstream-leaving service=%s upstream=%s told_by=peer",
			     service->name, name);
		dispatch_reassign_waiting(engine, upstream, now_us);
	}
}

static void reset_upstream_states(engine_t *engine, const service_t *service, uint64_t now_us)
{
	for (guint i = 0; i < service->upstreams->len; i++) {
		upstream_t *upstream = g_ptr_array_index(service->upstreams, i);

		upstream->state = UPSTREAM_UNKNOWN;
		dispatch_reassign_waiting(engine, upstream, now_us);
	}
}

/*
 * After a pause of the VM its reports are outdated: a searcher that began to leave in the meantime
 * would get new work. Health probes call the engine several times a second, so a gap of
 * PAUSE_MIN_US between calls is a pause. After a pause no searcher gets work until a new report of
 * it arrives.
 */
void engine_enter(engine_t *engine, uint64_t now_us)
{
	uint64_t before_us = engine->last_entered_us;

	engine->last_entered_us = now_us;
	if (!before_us || now_us - before_us < PAUSE_MIN_US)
		return;
	timeline_add(engine->timeline, "event=paused for_us=%" G_GUINT64_FORMAT,
		     now_us - before_us);
	for (guint i = 0; i < engine->services->len; i++) {
		service_t *service = g_ptr_array_index(engine->services, i);

		service->snapshot_stale = true;
		reset_upstream_states(engine, service, now_us);
	}
}
