/**
 * @file upstream.c
 * See upstream.h. docs/decisions/0003-limits.md has the measurements behind the constants.
 */
#include "core/upstream.h"

#include <math.h>

/*
 * Below 1, since six VMs with one request each at a searcher already fill its slots three times
 * over.
 */
#define LIMIT_MIN 0.34
#define LIMIT_INITIAL 2.0
#define LIMIT_DECREASE_FACTOR 0.8
#define LIMIT_INCREASE 0.2
/* A median above this multiple of the idle latency means that requests queue at the searcher. */
#define QUEUEING_RATIO 2.0
#define LATENCY_EMA_WEIGHT 0.15
#define MEDIAN_STEP 0.05
/*
 * Time constant of the floor's rise. Under lasting load the queueing delay must not become the idle
 * latency within seconds.
 */
#define FLOOR_TIME_CONSTANT_US 120e6
/*
 * A latency above the typical one counts less with age; otherwise a slow replica would never be
 * tried again after it has recovered.
 */
#define LATENCY_TIME_CONSTANT_US 5e6
/* Cost factor of a replica in another data centre. */
#define REMOTE_COST 1.15
#define FAILURES_TO_DOWN 3

void index_version_clear(void *held)
{
	g_array_unref(((index_version_t *)held)->partitions);
}

static GArray *version_list_new(void)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(index_version_t));

	g_array_set_clear_func(list, index_version_clear);
	return list;
}

upstream_report_t *upstream_report_new(void)
{
	upstream_report_t *report = g_new0(upstream_report_t, 1);

	report->held = version_list_new();
	return report;
}

void upstream_report_free(upstream_report_t *report)
{
	g_array_unref(report->held);
	g_free(report);
}

upstream_t *upstream_new(const char *service, const upstream_config_t *config)
{
	upstream_t *upstream = g_new0(upstream_t, 1);

	upstream->refs = 1;
	upstream->service = g_strdup(service);
	upstream->name = g_strdup(config->name);
	upstream->data_centre = g_strdup(config->data_centre);
	upstream->address = g_strdup(config->address);
	upstream->port = config->port;
	upstream->held = version_list_new();
	upstream->limit = LIMIT_INITIAL;
	upstream->share = 1;
	g_queue_init(&upstream->waiting);
	return upstream;
}

upstream_t *upstream_ref(upstream_t *upstream)
{
	upstream->refs++;
	return upstream;
}

void upstream_unref(upstream_t *upstream)
{
	if (--upstream->refs)
		return;
	g_assert(g_queue_is_empty(&upstream->waiting));
	g_free(upstream->service);
	g_free(upstream->name);
	g_free(upstream->data_centre);
	g_free(upstream->address);
	g_array_unref(upstream->held);
	g_free(upstream);
}

bool upstream_usable(const upstream_t *upstream)
{
	return !upstream->withdrawn && !upstream->leaving_reported &&
	       (upstream->state == UPSTREAM_READY || upstream->state == UPSTREAM_COLD);
}

bool upstream_has_capacity(const upstream_t *upstream)
{
	return upstream_usable(upstream) && upstream->outstanding < upstream->share &&
	       upstream->outstanding < MAX((uint32_t)upstream->limit, 1);
}

const index_version_t *upstream_find_version(const upstream_t *upstream, uint64_t version)
{
	for (guint i = 0; i < upstream->held->len; i++) {
		const index_version_t *held = &g_array_index(upstream->held, index_version_t, i);

		if (held->version == version)
			return held;
	}
	return NULL;
}

static bool same_versions(const GArray *a, const GArray *b)
{
	if (a->len != b->len)
		return false;
	for (guint i = 0; i < a->len; i++) {
		const index_version_t *x = &g_array_index(a, index_version_t, i),
				      *y = &g_array_index(b, index_version_t, i);

		if (x->version != y->version || x->partition_count != y->partition_count ||
		    x->partitions->len != y->partitions->len)
			return false;
		for (guint j = 0; j < x->partitions->len; j++)
			if (g_array_index(x->partitions, uint32_t, j) !=
			    g_array_index(y->partitions, uint32_t, j))
				return false;
	}
	return true;
}

static void replace_versions(upstream_t *upstream, const GArray *held)
{
	g_array_set_size(upstream->held, 0);
	for (guint i = 0; i < held->len; i++) {
		index_version_t copy = g_array_index(held, index_version_t, i);

		g_array_ref(copy.partitions);
		g_array_append_val(upstream->held, copy);
	}
}

bool upstream_apply_report(upstream_t *upstream, const upstream_report_t *report)
{
	bool usable = upstream_usable(upstream);
	bool was_down = upstream->state == UPSTREAM_DOWN;
	bool versions_changed =
		report->has_versions && !same_versions(upstream->held, report->held);

	/*
	 * A health page may lag behind the reply that reported "leaving", and a leaving searcher
	 * that was frozen and resumes is still leaving. Accepting "ready" would send new work to a
	 * searcher that is about to stop. Therefore "leaving" is kept until refused connections
	 * have shown that the process has ended.
	 */
	if (report->state == UPSTREAM_LEAVING)
		upstream->leaving_reported = true;
	else if (upstream->refusals >= FAILURES_TO_DOWN)
		upstream->leaving_reported = false;
	upstream->refusals = 0;
	if ((was_down || upstream->state == UPSTREAM_UNKNOWN) || report->state == UPSTREAM_COLD)
		upstream->limit = MIN(upstream->limit, LIMIT_INITIAL);
	upstream->state = report->state;
	upstream->failures = 0;
	if (versions_changed)
		replace_versions(upstream, report->held);
	return versions_changed || usable != upstream_usable(upstream);
}

bool upstream_record_failure(upstream_t *upstream, bool refused)
{
	upstream->refusals = refused ? upstream->refusals + 1 : 0;
	if (++upstream->failures < FAILURES_TO_DOWN || upstream->state == UPSTREAM_DOWN)
		return false;
	upstream->state = UPSTREAM_DOWN;
	return true;
}

double upstream_cost(const upstream_t *upstream, uint64_t now_us, double typical_us)
{
	double age = exp(-(double)(now_us - upstream->sampled_us) / LATENCY_TIME_CONSTANT_US);
	double latency = upstream->latency_us > 0 ? upstream->latency_us : typical_us;

	if (latency > typical_us)
		latency = typical_us + (latency - typical_us) * age;
	return (upstream->outstanding + 1) * latency * (upstream->local ? 1.0 : REMOTE_COST);
}

static void update_latency(upstream_t *upstream, uint64_t now_us, double latency_us)
{
	uint64_t before_us = upstream->sampled_us ? upstream->sampled_us : now_us;

	if (upstream->latency_us <= 0)
		upstream->latency_us = upstream->median_us = upstream->floor_us = latency_us;
	upstream->latency_us += LATENCY_EMA_WEIGHT * (latency_us - upstream->latency_us);
	upstream->sampled_us = now_us;
	upstream->median_us *= latency_us > upstream->median_us ? 1 + MEDIAN_STEP : 1 - MEDIAN_STEP;
	if (upstream->median_us < upstream->floor_us)
		upstream->floor_us = upstream->median_us;
	else
		upstream->floor_us +=
			(upstream->median_us - upstream->floor_us) *
			MIN((double)(now_us - before_us) / FLOOR_TIME_CONSTANT_US, 1.0);
}

static void decrease_limit(upstream_t *upstream, uint64_t now_us)
{
	/* A burst of losses counts as one sign of overload: decrease once per round trip. */
	if (now_us - upstream->limit_decreased_us < (uint64_t)upstream->latency_us)
		return;
	upstream->limit_decreased_us = now_us;
	upstream->limit = MAX(upstream->limit * LIMIT_DECREASE_FACTOR, LIMIT_MIN);
}

void upstream_record_answer(upstream_t *upstream, uint64_t now_us, uint64_t latency_us)
{
	upstream->answered++;
	update_latency(upstream, now_us, (double)latency_us);
	/*
	 * The limit follows the median, not the mean: if one answer in ten is slow for a reason of
	 * its own, there is no queue, and decreasing the limit would leave slots idle.
	 */
	if (upstream->median_us > QUEUEING_RATIO * upstream->floor_us)
		decrease_limit(upstream, now_us);
	else if (upstream->outstanding >= (uint32_t)upstream->limit)
		upstream->limit = MIN(upstream->limit + LIMIT_INCREASE / MAX(upstream->limit, 1),
				      (double)upstream->share);
	upstream->limit = MAX(upstream->limit, LIMIT_MIN);
}

void upstream_record_overload(upstream_t *upstream, uint64_t now_us)
{
	decrease_limit(upstream, now_us);
}

void upstream_record_min_latency(upstream_t *upstream, uint64_t now_us, uint64_t latency_us)
{
	if ((double)latency_us > upstream->latency_us)
		update_latency(upstream, now_us, (double)latency_us);
}

const char *upstream_state_name(upstream_state_t state)
{
	static const char *const names[] = {[UPSTREAM_UNKNOWN] = "unknown",
					    [UPSTREAM_READY] = "ready",
					    [UPSTREAM_COLD] = "cold",
					    [UPSTREAM_LEAVING] = "leaving",
					    [UPSTREAM_DOWN] = "down"};

	return names[state];
}
