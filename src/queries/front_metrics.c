/**
 * @file front_metrics.c
 * See front_metrics.h.
 */
#include "queries/front_metrics.h"

/* Names that operators choose may hold quotes. */
static void put_label(GString *out, const char *label, const char *value)
{
	g_string_append_printf(out, "{%s=\"", label);
	for (const char *c = value; *c; c++) {
		if (*c == '"' || *c == '\\')
			g_string_append_c(out, '\\');
		g_string_append_c(out, *c);
	}
	g_string_append(out, "\"}");
}

static void put_metric(GString *out, const char *name, const char *label, const char *value,
		       uint64_t count)
{
	g_string_append_printf(out, "dogwoodsaddle_%s", name);
	if (label)
		put_label(out, label, value);
	g_string_append_printf(out, " %" G_GUINT64_FORMAT "\n", count);
}

static void put_requests(GString *out, const forwarder_t *forwarder)
{
	const forwarder_counters_t *counters = forwarder_counters(forwarder);

	put_metric(out, "requests_total", NULL, NULL, counters->requests);
	for (int outcome = 0; outcome < FORWARD_OUTCOMES; outcome++)
		put_metric(out, "answers_total", "outcome",
			   forward_outcome_name((forward_outcome_t)outcome),
			   counters->outcomes[outcome]);
	put_metric(out, "answers_partial_total", NULL, NULL, counters->partial);
	put_metric(out, "callers_left_total", NULL, NULL, counters->callers_left);
	put_metric(out, "requests_open", NULL, NULL, forwarder_open_requests(forwarder));
	put_metric(out, "sub_requests_total", "purpose", "first", counters->firsts);
	put_metric(out, "sub_requests_total", "purpose", "hedge", counters->hedges);
	put_metric(out, "sub_requests_total", "purpose", "retry", counters->retries);
	put_metric(out, "parts_waited_total", NULL, NULL, counters->waited);
	put_metric(out, "parts_shed_total", NULL, NULL, counters->shed);
	put_metric(out, "loads_told_total", NULL, NULL, counters->loads_reported);
	put_metric(out, "loads_malformed_total", NULL, NULL, counters->loads_malformed);
	for (int outcome = 0; outcome <= SUB_UNKNOWN; outcome++)
		put_metric(out, "sub_replies_total", "outcome",
			   sub_outcome_name((sub_outcome_t)outcome),
			   counters->sub_outcomes[outcome]);
}

static void put_poison(GString *out, const poison_t *poison)
{
	const poison_counters_t *counters = poison_counters(poison);

	put_metric(out, "poison_requests", "state", "remembered", poison_records(poison));
	put_metric(out, "poison_requests", "state", "refused",
		   poison_blocked(poison, loop_now_us()));
	put_metric(out, "poison_strikes_total", NULL, NULL, counters->strikes);
	put_metric(out, "poison_cleared_total", NULL, NULL, counters->cleared);
	put_metric(out, "poison_claims_total", NULL, NULL, counters->claims);
	put_metric(out, "poison_trials_total", NULL, NULL, counters->trials);
	put_metric(out, "poison_told_total", NULL, NULL, counters->published);
	put_metric(out, "poison_dropped_total", NULL, NULL, counters->dropped);
}

static void put_callers(GString *out, const front_metrics_sources_t *sources)
{
	put_metric(out, "caller_connections", NULL, NULL, sources->caller_connections);
	put_metric(out, "caller_connections_refused_total", NULL, NULL,
		   sources->caller_connections_refused);
}

static void put_links(GString *out, const link_counters_t *links)
{
	put_metric(out, "connections_opened_total", NULL, NULL, links->opened);
	put_metric(out, "connections_ended_total", "reason", "refused", links->refused);
	put_metric(out, "connections_ended_total", "reason", "reset", links->reset);
	put_metric(out, "connections_ended_total", "reason", "garbage", links->garbage);
	put_metric(out, "connections_ended_total", "reason", "oversized", links->oversized);
	put_metric(out, "connections_ended_total", "reason", "cancelled", links->cancelled);
	put_metric(out, "connections_ended_total", "reason", "foreign", links->foreign);
}

/* Prometheus histograms are cumulative: each bucket includes the counts of all lower buckets. */
static void put_latency(GString *out, const char *name, const char *label, const char *value,
			const latency_buckets_t *latency)
{
	uint64_t cumulative = 0;

	for (uint32_t i = 0; i < LATENCY_BOUNDS; i++) {
		cumulative += latency->counts[i];
		g_string_append_printf(out,
				       "dogwoodsaddle_%s_bucket{%s=\"%s\",le=\"%" G_GUINT64_FORMAT
				       "\"} %" G_GUINT64_FORMAT "\n",
				       name, label, value, latency_bounds_us[i], cumulative);
	}
	g_string_append_printf(out,
			       "dogwoodsaddle_%s_bucket{%s=\"%s\",le=\"+Inf\"} %" G_GUINT64_FORMAT
			       "\ndogwoodsaddle_%s_sum{%s=\"%s\"} %" G_GUINT64_FORMAT
			       "\ndogwoodsaddle_%s_count{%s=\"%s\"} %" G_GUINT64_FORMAT "\n",
			       name, label, value, latency->count, name, label, value,
			       latency->sum_us, name, label, value, latency->count);
}

static void put_route_latency(void *ctx, const char *route, const latency_buckets_t *latency)
{
	put_latency(ctx, "answer_latency_us", "route", route, latency);
}

/* Refusals by rank; the last label stands for all less urgent ranks, too. */
static void put_refusals(GString *out, const forwarder_counters_t *counters)
{
	for (uint32_t rank = 0; rank < ADMISSION_RANKS_COUNTED; rank++) {
		g_autofree char *label = g_strdup_printf(
			"%u%s", rank, rank == ADMISSION_RANKS_COUNTED - 1 ? "+" : "");

		put_metric(out, "admission_refused_total", "rank", label,
			   counters->admission_refused[rank]);
	}
}

/* Searchers to which no limit applies count with the connections that this VM may open. */
static void put_send_limits(GString *out, const pool_t *pool, uint64_t now_us)
{
	char number[G_ASCII_DTOSTR_BUF_SIZE];
	uint32_t at_minimum = 0;
	double sum = 0;

	for (guint i = 0; i < pool->searchers->len; i++) {
		const searcher_t *searcher = g_ptr_array_index(pool->searchers, i);
		double limit = send_limit_now(&searcher->send_limit, now_us);

		if (!searcher_is_usable(searcher))
			continue;
		sum += limit > 0 ? MIN(limit, searcher->connections_max)
				 : searcher->connections_max;
		at_minimum += send_limit_is_at_minimum(&searcher->send_limit, now_us);
	}
	g_string_append_printf(out, "dogwoodsaddle_%s", "send_limit");
	put_label(out, "service", pool->service);
	g_string_append_printf(out, " %s\n", g_ascii_formatd(number, sizeof(number), "%.2f", sum));
	put_metric(out, "send_limit_searchers_at_minimum", "service", pool->service, at_minimum);
}

static void put_all_send_limits(GString *out, const registry_t *registry, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer pool;

	g_hash_table_iter_init(&iter, registry_pools((registry_t *)registry));
	while (g_hash_table_iter_next(&iter, NULL, &pool))
		if (((const pool_t *)pool)->overload)
			put_send_limits(out, pool, now_us);
}

void front_metrics_write_admission(GString *out, const forwarder_t *forwarder,
				   const registry_t *registry, uint64_t now_us)
{
	const forwarder_counters_t *counters = forwarder_counters(forwarder);
	const admission_t *admission = forwarder_admission(forwarder);

	if (!admission)
		return;
	put_metric(out, "overloaded", NULL, NULL,
		   forwarder_overload((forwarder_t *)forwarder)->active);
	put_metric(out, "admission_waiting", NULL, NULL, admission_waiting(admission));
	put_metric(out, "admission_started_total", NULL, NULL, counters->admission_started);
	put_metric(out, "admission_expired_total", NULL, NULL, counters->admission_expired);
	put_refusals(out, counters);
	put_all_send_limits(out, registry, now_us);
}

static void put_service(GString *out, const pool_t *pool)
{
	if (!pool->latency.count)
		return;
	put_latency(out, "sub_reply_latency_us", "service", pool->service, &pool->latency);
	put_metric(out, "parts_waiting", "service", pool->service, pool->waiting.length);
}

static void put_services(GString *out, const registry_t *registry)
{
	GHashTableIter iter;
	gpointer pool;

	g_hash_table_iter_init(&iter, registry_pools((registry_t *)registry));
	while (g_hash_table_iter_next(&iter, NULL, &pool))
		put_service(out, pool);
}

static void put_store(GString *out, const store_sync_task_t *store_sync,
		      const platform_counters_t *store)
{
	put_metric(out, "store_is_fed", NULL, NULL, store_sync_task_is_fed(store_sync));
	put_metric(out, "store_age_us", NULL, NULL, store_sync_task_age_us(store_sync));
	for (uint32_t kind = 0; kind < store_sync_task_kind_count(store_sync); kind++)
		put_metric(out, "store_kind_age_us", "kind", store_kind_name((store_kind_t)kind),
			   store_sync_task_kind_age_us(store_sync, (store_kind_t)kind));
	put_metric(out, "store_calls_total", "kind", "read", store->fetches);
	put_metric(out, "store_calls_total", "kind", "write", store->writes);
	for (int reach = PLATFORM_REPLIED + 1; reach < PLATFORM_REACHES; reach++)
		put_metric(out, "store_calls_failed_total", "reason",
			   platform_reach_name((platform_reach_t)reach), store->reached[reach]);
	put_metric(out, "store_calls_unanswered_total", NULL, NULL, store->unknown);
	put_metric(out, "store_values_damaged_total", NULL, NULL, store->damaged);
	put_metric(out, "store_era", NULL, NULL, store_sync_task_era(store_sync));
	put_metric(out, "store_replies_outdated_total", NULL, NULL, store->outdated);
	put_metric(out, "store_eras_malformed_total", NULL, NULL, store->eras_malformed);
}

static void put_gatherers(GString *out, const handovers_t *handovers)
{
	const GPtrArray *gatherers = handovers_gatherers(handovers);

	put_metric(out, "gatherers", NULL, NULL, gatherers->len);
	for (guint i = 0; i < gatherers->len; i++) {
		const gatherer_t *gatherer = g_ptr_array_index(gatherers, i);

		g_string_append_printf(
			out,
			"dogwoodsaddle_gatherer{vm=\"%s\",data_centre=\"%s\",state=\"%s\"} %u\n",
			gatherer->vm->name, gatherer->vm->data_centre,
			gatherer_state_name(gatherer->state), gatherer->outstanding);
	}
}

static void put_handovers(GString *out, const handovers_t *handovers, uint32_t gathers_for_others)
{
	const handover_counters_t *counters = handovers_counters(handovers);

	put_gatherers(out, handovers);
	put_metric(out, "handovers_total", NULL, NULL, counters->begun);
	put_metric(out, "handover_ends_total", "outcome", "answered", counters->answered);
	put_metric(out, "handover_ends_total", "outcome", "gathered-here", counters->gathered_here);
	put_metric(out, "handover_ends_unknown_total", NULL, NULL, counters->outcome_unknown);
	put_metric(out, "handovers_again_total", NULL, NULL, counters->retried);
	put_metric(out, "gatherers_silent_total", NULL, NULL, counters->unresponsive);
	for (int reason = 0; reason < HOP_REASONS; reason++)
		put_metric(out, "handovers_not_taken_total", "reason",
			   hop_reason_name((hop_reason_t)reason), counters->rejected[reason]);
	put_metric(out, "gathers_for_others", NULL, NULL, gathers_for_others);
}

static void put_quotas(GString *out, const quota_task_t *quotas, GHashTable *tenants)
{
	const quota_counters_t *counters = quota_task_counters(quotas);
	GHashTableIter iter;
	gpointer name, value;

	put_metric(out, "quota_asks_total", NULL, NULL, counters->asked);
	put_metric(out, "quota_asks_unanswered_total", NULL, NULL, counters->unanswered);
	put_metric(out, "quota_tokens_returned_total", NULL, NULL, counters->returned);
	put_metric(out, "quota_tokens_transferred_total", NULL, NULL, counters->transferred);
	put_metric(out, "quota_unreachable_total", NULL, NULL, counters->unreachable);
	put_metric(out, "quota_pool_share_ppm", NULL, NULL,
		   (uint64_t)(quota_task_own_fraction(quotas) * 1e6));
	g_hash_table_iter_init(&iter, tenants);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const tenant_counts_t *counts = value;

		put_metric(out, "tenant_requests_admitted_total", "tenant", name, counts->admitted);
		put_metric(out, "tenant_requests_over_quota_total", "tenant", name,
			   counts->over_quota);
	}
}

GString *front_metrics_write(const front_metrics_sources_t *sources)
{
	GString *out = g_string_sized_new(4096);
	const routing_t *routing = forwarder_routing(sources->forwarder);

	put_metric(out, "configuration_version", NULL, NULL, routing ? routing->version : 0);
	put_metric(out, "configurations_ignored_total", NULL, NULL,
		   sources->reader.configurations_ignored);
	put_metric(out, "evacuations", NULL, NULL, sources->reader.evacuations);
	put_metric(out, "evacuations_ignored_total", NULL, NULL,
		   sources->reader.evacuations_ignored);
	put_metric(out, "regions_unknown", NULL, NULL, sources->reader.regions_unknown);
	put_metric(out, "searchers", NULL, NULL,
		   g_hash_table_size(registry_searchers((registry_t *)sources->registry)));
	put_metric(out, "searcher_entries_ignored_total", NULL, NULL,
		   sources->reader.entries_ignored);
	put_metric(out, "vms", NULL, NULL, store_sync_task_vms(sources->store_sync)->len);
	put_store(out, sources->store_sync, sources->store);
	put_requests(out, sources->forwarder);
	front_metrics_write_admission(out, sources->forwarder, sources->registry, loop_now_us());
	put_poison(out, forwarder_poison(sources->forwarder));
	put_handovers(out, sources->handovers, sources->gathers_for_others);
	put_callers(out, sources);
	put_links(out, sources->links);
	put_metric(out, "replies_bytes", NULL, NULL, http_memory_used(sources->replies));
	put_metric(out, "replies_given_up_total", NULL, NULL,
		   http_memory_counters(sources->replies)->given_up);
	put_metric(out, "requests_bytes", NULL, NULL, http_memory_used(sources->requests));
	put_metric(out, "requests_given_up_total", NULL, NULL,
		   http_memory_counters(sources->requests)->given_up);
	put_metric(out, "open_requests_bytes", NULL, NULL,
		   http_memory_used(sources->open_requests));
	put_metric(out, "open_requests_refused_total", NULL, NULL,
		   http_memory_counters(sources->open_requests)->refused);
	put_metric(out, "callers_paced_total", NULL, NULL, sources->pacing.waits);
	put_metric(out, "callers_waiting", NULL, NULL, sources->pacing.waiting);
	put_quotas(out, sources->quotas, sources->tenants);
	forwarder_visit_latency(sources->forwarder, put_route_latency, out);
	put_services(out, sources->registry);
	return out;
}
