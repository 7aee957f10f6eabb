/**
 * @file service.c
 * Runtime state of a service: its searchers across changes of the configuration, its snapshot and
 * its capacity.
 */
#include "core/engine_private.h"

/* Hedges, retries and rescues, each as a share of first attempts, and the burst of each budget. */
#define HEDGE_SHARE 0.05
#define HEDGE_BURST 10
#define RETRY_SHARE 0.10
#define RETRY_BURST 32
#define RESCUE_SHARE 0.05
#define RESCUE_BURST 128
#define GATHERS_PER_SLOT_MAX 4.0

service_t *service_new(const char *name)
{
	service_t *service = g_new0(service_t, 1);

	service->name = g_strdup(name);
	service->upstreams = g_ptr_array_new_with_free_func((GDestroyNotify)upstream_unref);
	service->awaiting_versions = g_ptr_array_new();
	gate_init(&service->gate);
	budget_init(&service->hedge_budget, HEDGE_SHARE, HEDGE_BURST);
	budget_init(&service->retry_budget, RETRY_SHARE, RETRY_BURST);
	budget_init(&service->rescue_budget, RESCUE_SHARE, RESCUE_BURST);
	return service;
}

void service_free(void *data)
{
	service_t *service = data;

	g_free(service->name);
	g_ptr_array_unref(service->upstreams);
	g_ptr_array_unref(service->awaiting_versions);
	snapshot_unref(service->snapshot);
	g_free(service);
}
static upstream_t *get_upstream(service_t *service, GPtrArray *old, const upstream_config_t *config)
{
	for (guint i = 0; i < old->len; i++) {
		upstream_t *upstream = g_ptr_array_index(old, i);

		if (g_str_equal(upstream->name, config->name) &&
		    g_str_equal(upstream->address, config->address) &&
		    upstream->port == config->port)
			return upstream_ref(upstream);
	}
	return upstream_new(service->name, config);
}

static bool was_withdrawn(const GHashTable *withdrawn_before, const upstream_t *upstream)
{
	return g_hash_table_contains((GHashTable *)withdrawn_before, upstream);
}

void service_configure(engine_t *engine, service_t *service, const config_t *config,
		       const service_config_t *from, const GHashTable *withdrawn_before)
{
	GPtrArray *old = service->upstreams;

	service->kind = from->kind;
	service->timeout_us = from->timeout_us;
	service->gate.queue_limit = from->queue_limit;
	service->configured = true;
	service->snapshot_stale = true;
	service->upstreams = g_ptr_array_new_with_free_func((GDestroyNotify)upstream_unref);
	for (guint i = 0; i < from->groups->len; i++) {
		const group_config_t *group = g_ptr_array_index(from->groups, i);

		for (guint j = 0; j < group->upstreams->len; j++) {
			const upstream_config_t *item = g_ptr_array_index(group->upstreams, j);
			upstream_t *upstream = get_upstream(service, old, item);

			/* An operator who takes a searcher back overrides its earlier "leaving". */
			if (was_withdrawn(withdrawn_before, upstream) && !item->withdrawn)
				upstream->leaving_reported = false;
			upstream->group = i;
			upstream->withdrawn = item->withdrawn;
			upstream->local = g_str_equal(item->data_centre, engine->data_centre);
			upstream->share = config_request_share(config, from);
			if (!engine->policy.adapt_limit)
				upstream->limit = upstream->share;
			g_ptr_array_add(service->upstreams, upstream);
		}
	}
	g_ptr_array_unref(old);
}

void service_refresh_snapshot(service_t *service)
{
	if (!service->snapshot_stale)
		return;
	service->snapshot_stale = false;
	snapshot_unref(service->snapshot);
	service->snapshot = snapshot_choose(service->upstreams, 0);
}

static double target_capacity(const target_t *target)
{
	double sum = 0;

	for (guint i = 0; i < target->replicas->len; i++) {
		const upstream_t *upstream = g_ptr_array_index(target->replicas, i);

		if (upstream_usable(upstream))
			sum += MIN(upstream->limit, (double)upstream->share);
	}
	return sum;
}

/*
 * How many gathers may share one slot. A gather lasts as long as its slowest part, which takes
 * several times as long as the mean part, and uses no slot of the other searchers for the rest of
 * that time. Counting each gather as one slot everywhere would leave most slots idle.
 */
static double gathers_per_slot(const service_t *service)
{
	const histogram_t *attempts = &service->attempt_latency;
	double mean_us = attempts->count ? (double)attempts->sum_us / (double)attempts->count : 0;

	return mean_us > 0 ? CLAMP(service->gate.run_us / mean_us, 1.0, GATHERS_PER_SLOT_MAX) : 1.0;
}

/*
 * A gather needs capacity in every target, so the smallest target bounds it. Requests of the other
 * kinds need one target each, so the capacities of the targets add up.
 */
double service_capacity(const service_t *service)
{
	double min = 0, sum = 0;

	for (guint i = 0; service->snapshot && i < service->snapshot->targets->len; i++) {
		double capacity = target_capacity(g_ptr_array_index(service->snapshot->targets, i));

		sum += capacity;
		if (i == 0 || capacity < min)
			min = capacity;
	}
	return service->kind == SERVICE_GATHER ? min * gathers_per_slot(service) : sum;
}
