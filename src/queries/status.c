/**
 * @file status.c
 * See status.h.
 */
#include "queries/status.h"

static const GPtrArray *services_of(const status_source_t *source)
{
	return engine_services(query_task_engine(source->queries));
}

json_t *status_vm(const status_source_t *source)
{
	return json_pack(
		"{s:s, s:s, s:b, s:b, s:I, s:i}", "vm", source->settings->vm_name, "data_centre",
		source->settings->data_centre, "ready", query_task_ready(source->queries),
		"leaving", source->leaving, "config",
		(json_int_t)active_config_number(query_task_active_config(source->queries)),
		"open_requests", engine_open_queries(query_task_engine(source->queries)));
}

static json_t *service_json(const service_t *service)
{
	const service_counters_t *counters = &service->counters;
	const snapshot_t *snapshot = service->snapshot;
	const histogram_t *latency = &counters->latency;

	return json_pack(
		"{s:s, s:s, s:I, s:i, s:i, s:i, s:i, s:f, s:I, s:I, s:I, s:I, s:I, s:I, s:I}",
		"service", service->name, "kind", service_kind_name(service->kind), "snapshot",
		(json_int_t)(snapshot ? snapshot->version : 0), "partitions",
		snapshot ? (int)snapshot->partition_count : 0, "missing",
		snapshot ? (int)snapshot->missing->len : 0, "running", (int)service->gate.running,
		"waiting", (int)gate_waiting(&service->gate), "capacity", service->gate.capacity,
		"whole", (json_int_t)counters->answers_complete, "partial",
		(json_int_t)counters->answers_partial, "first", (json_int_t)counters->first,
		"hedges", (json_int_t)counters->hedges, "retries", (json_int_t)counters->retries,
		"p50_us", (json_int_t)histogram_quantile_us(latency, 0.5), "p99_us",
		(json_int_t)histogram_quantile_us(latency, 0.99));
}

json_t *status_services(const status_source_t *source)
{
	json_t *list = json_array();
	const GPtrArray *services = services_of(source);

	for (guint i = 0; i < services->len; i++) {
		const service_t *service = g_ptr_array_index(services, i);

		if (service->configured)
			json_array_append_new(list, service_json(service));
	}
	return list;
}

static json_t *upstream_json(const upstream_t *upstream)
{
	json_t *versions = json_array();

	for (guint i = 0; i < upstream->held->len; i++)
		json_array_append_new(
			versions,
			json_integer((json_int_t)g_array_index(upstream->held, index_version_t, i)
					     .version));
	return json_pack(
		"{s:s, s:s, s:s, s:s, s:b, s:o, s:i, s:f, s:i, s:I, s:I, s:I, s:I}", "service",
		upstream->service, "upstream", upstream->name, "data_centre", upstream->data_centre,
		"state",
		upstream->leaving_reported ? "leaving" : upstream_state_name(upstream->state),
		"out", upstream->withdrawn, "versions", versions, "outstanding",
		(int)upstream->outstanding, "limit", upstream->limit, "share", (int)upstream->share,
		"latency_us", (json_int_t)upstream->latency_us, "sent", (json_int_t)upstream->sent,
		"shed", (json_int_t)upstream->shed, "cut", (json_int_t)upstream->cut);
}

json_t *status_upstreams(const status_source_t *source)
{
	json_t *list = json_array();
	const GPtrArray *services = services_of(source);

	for (guint i = 0; i < services->len; i++) {
		const service_t *service = g_ptr_array_index(services, i);

		for (guint j = 0; service->configured && j < service->upstreams->len; j++)
			json_array_append_new(
				list, upstream_json(g_ptr_array_index(service->upstreams, j)));
	}
	return list;
}

json_t *status_members(const status_source_t *source)
{
	const GPtrArray *members = gossip_members(peer_task_gossip(source->peers));
	json_t *list = json_array();

	for (guint i = 0; i < members->len; i++) {
		const member_t *member = g_ptr_array_index(members, i);

		json_array_append_new(list,
				      json_pack("{s:s, s:s, s:s, s:s, s:i}", "member", member->name,
						"data_centre", member->data_centre, "state",
						member_state_name(member->state), "address",
						member->address, "port", member->port));
	}
	return list;
}

json_t *status_config(const status_source_t *source)
{
	const active_config_t *active_config = query_task_active_config(source->queries);

	return json_pack("{s:I, s:O?}", "number", (json_int_t)active_config_number(active_config),
			 "value", active_config->value);
}

static void add_event(void *ctx, const timeline_event_t *event)
{
	json_array_append_new(
		ctx, json_pack("{s:I, s:s}", "at", (json_int_t)event->at, "text", event->text));
}

json_t *status_timeline(const status_source_t *source, hlc_t since)
{
	json_t *events = json_array();

	timeline_visit(source->timeline, since, add_event, events);
	return json_pack("{s:s, s:o}", "vm", source->settings->vm_name, "events", events);
}

/* ---- metrics ---- */

static void add_latency(GString *out, const service_t *service)
{
	static const double quantiles[] = {0.5, 0.9, 0.99, 0.999};
	const histogram_t *latency = &service->counters.latency;

	for (size_t i = 0; i < G_N_ELEMENTS(quantiles); i++)
		g_string_append_printf(
			out,
			"ds_request_us{service=\"%s\",quantile=\"%g\"} %" G_GUINT64_FORMAT "\n",
			service->name, quantiles[i], histogram_quantile_us(latency, quantiles[i]));
	g_string_append_printf(out, "ds_request_us_count{service=\"%s\"} %" G_GUINT64_FORMAT "\n",
			       service->name, latency->count);
	g_string_append_printf(out, "ds_request_us_sum{service=\"%s\"} %" G_GUINT64_FORMAT "\n",
			       service->name, latency->sum_us);
}

static void add_counter(GString *out, const char *metric, const char *service, const char *label,
			const char *value, uint64_t count)
{
	g_string_append_printf(out, "%s{service=\"%s\",%s=\"%s\"} %" G_GUINT64_FORMAT "\n", metric,
			       service, label, value, count);
}

static void add_service(GString *out, const service_t *service)
{
	const service_counters_t *counters = &service->counters;
	const char *name = service->name;

	for (int i = 0; i < CLASS_COUNT; i++)
		add_counter(out, "ds_requests_total", name, "class",
			    request_class_name((request_class_t)i), counters->requests[i]);
	add_counter(out, "ds_answers_total", name, "complete", "true", counters->answers_complete);
	add_counter(out, "ds_answers_total", name, "complete", "false", counters->answers_partial);
	for (int i = REFUSAL_NONE + 1; i < REFUSAL_COUNT; i++)
		if (counters->refusals[i])
			add_counter(out, "ds_refusals_total", name, "type",
				    refusal_class((refusal_t)i)->type, counters->refusals[i]);
	add_counter(out, "ds_sub_requests_total", name, "kind", "first", counters->first);
	add_counter(out, "ds_sub_requests_total", name, "kind", "hedge", counters->hedges);
	add_counter(out, "ds_sub_requests_total", name, "kind", "retry", counters->retries);
	add_counter(out, "ds_sub_replies_total", name, "kind", "mismatched", counters->mismatched);
	add_counter(out, "ds_restarts_total", name, "kind", "snapshot", counters->restarts);
	add_latency(out, service);
}

char *status_metrics(const status_source_t *source)
{
	GString *out = g_string_new(NULL);
	const GPtrArray *services = services_of(source);
	const platform_counters_t *platform = platform_task_counters(source->platform);

	for (guint i = 0; i < services->len; i++)
		add_service(out, g_ptr_array_index(services, i));
	g_string_append_printf(out, "ds_config_number %" G_GUINT64_FORMAT "\n",
			       active_config_number(query_task_active_config(source->queries)));
	g_string_append_printf(out,
			       "ds_platform_calls_total{kind=\"read\"} %" G_GUINT64_FORMAT "\n",
			       platform->reads);
	g_string_append_printf(out,
			       "ds_platform_calls_total{kind=\"write\"} %" G_GUINT64_FORMAT "\n",
			       platform->writes);
	g_string_append_printf(out,
			       "ds_platform_calls_total{kind=\"watch\"} %" G_GUINT64_FORMAT "\n",
			       platform->watches);
	g_string_append_printf(out, "ds_platform_unknown_total %" G_GUINT64_FORMAT "\n",
			       platform->unknown);
	g_string_append_printf(out, "ds_claims_won_total %" G_GUINT64_FORMAT "\n",
			       query_task_claims_won(source->queries));
	g_string_append_printf(out, "ds_claim_writes_total %" G_GUINT64_FORMAT "\n",
			       query_task_claim_writes(source->queries));
	g_string_append_printf(out, "ds_stray_replies_total %" G_GUINT64_FORMAT "\n",
			       engine_stray_replies(query_task_engine(source->queries)));
	g_string_append_printf(out, "ds_peer_bytes_total %" G_GUINT64_FORMAT "\n",
			       peer_task_bytes(source->peers));
	return g_string_free(out, FALSE);
}
