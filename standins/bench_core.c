/**
 * @file bench_core.c
 * Measures the CPU and memory cost of the engine by number of searchers, and that of finding an API
 * key by number of keys. docs/CAPACITY.md is computed from these slopes.
 *
 * Runs the real engine without sockets; every sub-request is answered immediately. Prints one line
 * of JSON for each measurement.
 */
#include "core/active_config.h"
#include "core/engine.h"
#include "core/tenants.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define GATHERS 2000
#define ROUNDS 20
#define KEY_LOOKUPS 1000000

typedef struct bench_t {
	engine_t *engine;
	GQueue sent; /* pending_t: attempts without a reply */
	uint64_t now_us;
	uint64_t answers, attempts;
} bench_t;

typedef struct pending_t {
	uint64_t id;
	uint64_t version;
	GArray *partitions;
} pending_t;

static uint64_t cpu_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (uint64_t)now.tv_sec * 1000000000u + (uint64_t)now.tv_nsec;
}

static void do_send(void *ctx, const attempt_t *attempt)
{
	bench_t *bench = ctx;
	const part_t *part = g_ptr_array_index(attempt->query->parts, attempt->part);
	pending_t *pending = g_new(pending_t, 1);

	*pending = (pending_t){.id = attempt->id,
			       .version = attempt->query->snapshot->version,
			       .partitions = g_array_ref((GArray *)part->partitions)};
	g_queue_push_tail(&bench->sent, pending);
	bench->attempts++;
}

static void do_nothing(void *ctx, const attempt_t *attempt)
{
	(void)ctx;
	(void)attempt;
}

static void do_answer(void *ctx, query_t *query, const answer_t *answer)
{
	(void)query;
	((bench_t *)ctx)->answers += answer->refusal == REFUSAL_NONE && answer->missing->len == 0;
}

static void do_claim(void *ctx, query_t *query)
{
	(void)ctx;
	(void)query;
}

static void do_outcome(void *ctx, query_t *query, ran_t ran)
{
	(void)ctx;
	(void)query;
	(void)ran;
}

static void do_refresh(void *ctx, const service_t *service)
{
	(void)ctx;
	(void)service;
}

static void do_leaving(void *ctx, const upstream_t *upstream)
{
	(void)ctx;
	(void)upstream;
}

static const engine_ops_t ops = {.send = do_send,
				 .cancel = do_nothing,
				 .answer = do_answer,
				 .claim = do_claim,
				 .claim_outcome = do_outcome,
				 .refresh = do_refresh,
				 .leaving = do_leaving};

static uint64_t wall_ms(void)
{
	return (uint64_t)g_get_real_time() / 1000;
}

static json_t *make_config(uint32_t groups, uint32_t replicas)
{
	json_t *list = json_array();

	for (uint32_t g = 0; g < groups; g++) {
		json_t *searchers = json_array();

		for (uint32_t r = 0; r < replicas; r++)
			json_array_append_new(searchers,
					      json_pack("{s:o, s:o, s:s, s:i}", "name",
							json_sprintf("s-%u-%u", g, r), "dc",
							json_sprintf("dc-%u", r % 7), "address",
							"127.0.0.1", "port", (int)(g % 60000 + 1)));
		json_array_append_new(list, json_pack("{s:o, s:o}", "name", json_sprintf("g-%u", g),
						      "searchers", searchers));
	}
	return json_pack("{s:i, s:{s:{s:s, s:i, s:i, s:i, s:i, s:o}}}", "entry_vms", 7, "services",
			 "board", "kind", "gather", "timeout_ms", 1000, "queue", 64, "slots", 2,
			 "connections", 25, "groups", list);
}

static void report_all(bench_t *bench)
{
	const service_t *service = engine_service(bench->engine, "board");

	for (guint i = 0; i < service->upstreams->len; i++) {
		upstream_t *upstream = g_ptr_array_index(service->upstreams, i);
		upstream_report_t *report = upstream_report_new();
		uint32_t group, partition_count = service->upstreams->len / 3;
		index_version_t held = {.version = 1, .partition_count = partition_count};

		sscanf(upstream->name, "s-%u-", &group);
		held.partitions = g_array_new(FALSE, FALSE, sizeof(uint32_t));
		g_array_append_val(held.partitions, group);
		g_array_append_val(report->held, held);
		report->has_versions = true;
		report->state = UPSTREAM_READY;
		engine_health(bench->engine, upstream, report, bench->now_us);
		upstream_report_free(report);
	}
}

static void reply_to_all(bench_t *bench)
{
	pending_t *pending;

	while ((pending = g_queue_pop_head(&bench->sent))) {
		reply_t *reply = reply_new(REPLY_ANSWER);

		reply->version = pending->version;
		reply->records = json_array();
		g_array_append_vals(reply->partitions, pending->partitions->data,
				    pending->partitions->len);
		g_array_unref(pending->partitions);
		engine_attempt_ended(bench->engine, pending->id, reply, bench->now_us);
		g_free(pending);
	}
}

static void run_gathers(bench_t *bench, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		request_t *request = request_new();

		*request = (request_t){.id = g_strdup("b"),
				       .service = g_strdup("board"),
				       .kind = SERVICE_GATHER,
				       .class = CLASS_NORMAL,
				       .deadline_us = bench->now_us + 1000000,
				       .text = g_strdup("")};
		query_unref(engine_submit(bench->engine, request, NULL, bench->now_us));
		bench->now_us += 1000;
		reply_to_all(bench);
	}
}

static void measure(uint32_t groups)
{
	bench_t bench = {.now_us = 1000000};
	timeline_t *timeline = timeline_new(wall_ms);
	json_t *source = make_config(groups, 3);
	size_t before = mallinfo2().uordblks, used;
	uint64_t start, parse_ns, snapshot_ns, gather_ns;
	config_t *config;
	err_t err;

	g_queue_init(&bench.sent);
	start = cpu_ns();
	config = config_parse(source, 1, &err);
	parse_ns = cpu_ns() - start;
	bench.engine = engine_new(&ops, &bench, timeline, 1, "dc-0");
	engine_configure(bench.engine, config, bench.now_us);
	report_all(&bench);
	used = mallinfo2().uordblks - before;
	start = cpu_ns();
	for (int i = 0; i < ROUNDS; i++)
		snapshot_unref(
			snapshot_choose(engine_service(bench.engine, "board")->upstreams, 0));
	snapshot_ns = (cpu_ns() - start) / ROUNDS;
	run_gathers(&bench, 20);
	bench.attempts = bench.answers = 0;
	start = cpu_ns();
	run_gathers(&bench, GATHERS * 10 / groups + 20);
	gather_ns = cpu_ns() - start;
	printf("{\"searchers\":%u,\"config_parse_us\":%.0f,\"snapshot_us\":%.0f,\"bytes_per_"
	       "searcher\":%.0f,"
	       "\"core_us_per_sub_request\":%.2f,\"answers\":%u}\n",
	       groups * 3, (double)parse_ns / 1e3, (double)snapshot_ns / 1e3,
	       (double)used / (groups * 3), (double)gather_ns / 1e3 / (double)bench.attempts,
	       (uint32_t)bench.answers);
	engine_free(bench.engine);
	timeline_free(timeline);
	config_unref(config);
	json_decref(source);
}

static void measure_keys(uint32_t count)
{
	tenants_t *tenants = tenants_new();
	uint64_t memory_before = mallinfo2().uordblks, memory, from_ns, found = 0;
	char(*keys)[24] = g_malloc(sizeof(*keys) * count);

	for (uint32_t i = 0; i < count; i++) {
		g_snprintf(keys[i], sizeof(keys[i]), "k%08x%08x", i * 2654435761u, i);
		tenants_add_key(tenants, keys[i], tenants_add(tenants, keys[i]));
	}
	memory = mallinfo2().uordblks - memory_before - sizeof(*keys) * count;
	from_ns = cpu_ns();
	for (uint32_t i = 0; i < KEY_LOOKUPS; i++)
		found += tenants_find_key(tenants, keys[i * 7919u % count]) != NULL;
	printf("{\"keys\": %u, \"lookup_ns\": %.0f, \"found\": %.2f, \"bytes_per_tenant\": %.0f}\n",
	       count, (double)(cpu_ns() - from_ns) / KEY_LOOKUPS, (double)found / KEY_LOOKUPS,
	       (double)memory / count);
	g_free(keys);
	tenants_free(tenants);
}

int main(void)
{
	static const uint32_t sizes[] = {10, 55, 110, 330};
	static const uint32_t key_counts[] = {10, 1000, 10000, 100000};

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		measure(sizes[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(key_counts); i++)
		measure_keys(key_counts[i]);
	return 0;
}
