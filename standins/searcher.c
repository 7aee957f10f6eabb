/**
 * @file searcher.c
 * A stand-in for one searcher: one replica of one group, with slots, a short queue, a connection
 * limit, several index versions and run-time faults. docs/UPSTREAM.md describes the protocol.
 */
#include "dataset.h"
#include "net/http_server.h"

#include <argp.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define BODY_LIMIT_BYTES 65536
#define VERSIONS_MAX 8
#define SHED_QUEUE_PER_SLOT 4

/** One index version that this searcher holds, and which of its partitions. */
typedef struct held_version_t {
	uint64_t version;
	uint32_t partition_count; /* of the whole index */
	GArray *partitions;	  /* uint32_t: numbers of the partitions held here */
} held_version_t;

typedef struct searcher_t {
	loop_t *loop;
	http_server_t *server;
	const char *address;
	const char *name;
	int port, control_port;
	uint32_t slots, connection_limit, records;
	uint64_t work_us;
	held_version_t held[VERSIONS_MAX];
	uint32_t held_count;
	GRand *rand;
	GQueue queue;
	uint32_t running;
	/* faults, set through the control port */
	bool leaving, cold, shed_all, lie_ready, truncate, wrong_version, drop_reply;
	double slow_factor;
	uint32_t slow_one_in;
	uint64_t unanswered_up_to; /* requests on connections up to this serial get no reply */
	/* counters */
	uint64_t started, finished, shed, cancelled, expired, actions, last_start_wall_ms;
	GHashTable *actions_by_key; /* key -> times run */
} searcher_t;

/** One request, waiting or running. */
typedef struct job_t {
	searcher_t *searcher;
	http_exchange_t *exchange; /* NULL once cancelled */
	loop_timer_t timer;
	uint64_t expires_us;
	bool running;
} job_t;

static void reply_json(http_exchange_t *exchange, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	http_exchange_reply(exchange, status, "application/json", text, strlen(text));
	free(text);
	json_decref(body);
}

static const char *true_state(const searcher_t *searcher)
{
	if (searcher->leaving)
		return "leaving";
	return searcher->cold ? "cold" : "ready";
}

/* With lie_ready the health page always reports "ready"; answers report the true state. */
static const char *health_state(const searcher_t *searcher)
{
	return searcher->lie_ready ? "ready" : true_state(searcher);
}

static uint64_t draw_work_us(searcher_t *searcher)
{
	double work = (double)searcher->work_us;

	/* Half constant, half exponential: the mean is work_us, with a tail like that of a real
	 * index read. */
	work = work / 2 - work / 2 * log(1.0 - g_rand_double(searcher->rand));
	if (searcher->slow_factor > 0)
		work *= searcher->slow_factor;
	if (searcher->slow_one_in &&
	    g_rand_int_range(searcher->rand, 0, (gint32)searcher->slow_one_in) == 0)
		work *= 10;
	if (searcher->cold)
		work *= 5;
	return (uint64_t)work;
}

static const held_version_t *find_version(const searcher_t *searcher, uint64_t version)
{
	for (uint32_t i = 0; i < searcher->held_count; i++)
		if (searcher->held[i].version == version)
			return &searcher->held[i];
	return NULL;
}

static bool holds_partition(const held_version_t *held, uint32_t partition)
{
	for (guint i = 0; i < held->partitions->len; i++)
		if (g_array_index(held->partitions, uint32_t, i) == partition)
			return true;
	return false;
}

static json_t *versions_json(const searcher_t *searcher)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < searcher->held_count; i++) {
		const held_version_t *held = &searcher->held[i];
		json_t *partitions = json_array();

		for (guint j = 0; j < held->partitions->len; j++)
			json_array_append_new(partitions, json_integer(g_array_index(
								  held->partitions, uint32_t, j)));
		json_array_append_new(
			list, json_pack("{s:I, s:i, s:o}", "version", (json_int_t)held->version,
					"of", held->partition_count, "partitions", partitions));
	}
	return list;
}

static bool is_requested(const json_t *partitions, uint32_t partition)
{
	size_t i;
	json_t *item;

	json_array_foreach (partitions, i, item)
		if (json_integer_value(item) == partition)
			return true;
	return false;
}

static json_t *parse_partitions(const char *text)
{
	json_t *list = json_array();
	g_auto(GStrv) parts = g_strsplit(text ? text : "", ",", 0);

	for (char **part = parts; *part; part++)
		if (**part)
			json_array_append_new(list, json_integer(atoi(*part)));
	return list;
}

static json_t *find_records(const searcher_t *searcher, const held_version_t *held,
			    const json_t *partitions, const char *text, const char *id)
{
	json_t *records = json_array();

	for (uint32_t n = 0; n < searcher->records; n++) {
		char own_id[DATASET_ID_BYTES];

		dataset_id(own_id, n);
		if (id && !g_str_equal(id, own_id))
			continue;
		if (!is_requested(partitions, dataset_partition(own_id, held->partition_count)))
			continue;
		if (dataset_matches(n, text))
			json_array_append_new(records, dataset_record(n, held->version));
	}
	return records;
}

static void answer_search(searcher_t *searcher, http_exchange_t *exchange)
{
	const char *version_text = http_exchange_param(exchange, "version");
	const char *text = http_exchange_param(exchange, "text");
	const held_version_t *held =
		find_version(searcher, version_text ? strtoull(version_text, NULL, 10) : 0);
	json_t *partitions, *records, *held_partitions = json_array();
	size_t i;
	json_t *item;

	if (!held) {
		json_decref(held_partitions);
		reply_json(exchange, 409,
			   json_pack("{s:s, s:o, s:s}", "error", "version-not-held", "versions",
				     versions_json(searcher), "state", true_state(searcher)));
		return;
	}
	partitions = parse_partitions(http_exchange_param(exchange, "partitions"));
	json_array_foreach (partitions, i, item)
		if (holds_partition(held, (uint32_t)json_integer_value(item)))
			json_array_append(held_partitions, item);
	records = find_records(searcher, held, held_partitions, text ? text : "",
			       http_exchange_param(exchange, "id"));
	if (searcher->truncate) {
		json_array_remove(held_partitions, 0);
		json_array_remove(records, 0);
	}
	json_decref(partitions);
	reply_json(exchange, 200,
		   json_pack("{s:I, s:o, s:s, s:o}", "version",
			     (json_int_t)(held->version - (searcher->wrong_version ? 1 : 0)),
			     "partitions", held_partitions, "state", true_state(searcher),
			     "records", records));
}

static void answer_action(searcher_t *searcher, http_exchange_t *exchange)
{
	const char *key = http_exchange_header(exchange, "idempotency-key");
	guint times;

	if (!key)
		key = "(none)";
	times = GPOINTER_TO_UINT(g_hash_table_lookup(searcher->actions_by_key, key));
	g_hash_table_insert(searcher->actions_by_key, g_strdup(key), GUINT_TO_POINTER(times + 1));
	searcher->actions++;
	if (searcher->drop_reply)
		return; /* the action has run, its answer is lost */
	reply_json(exchange, 200,
		   json_pack("{s:s, s:s}", "ran", "yes", "state", true_state(searcher)));
}

static void start_next(searcher_t *searcher);

static void job_free(job_t *job)
{
	loop_timer_cancel(&job->timer);
	if (job->exchange) {
		http_exchange_set_data(job->exchange, NULL);
		http_exchange_unref(job->exchange);
	}
	g_free(job);
}

static void job_finished(void *ctx)
{
	job_t *job = ctx;
	searcher_t *searcher = job->searcher;

	searcher->finished++;
	searcher->running--;
	if (g_str_equal(http_exchange_path(job->exchange), "/action"))
		answer_action(searcher, job->exchange);
	else
		answer_search(searcher, job->exchange);
	job_free(job);
	start_next(searcher);
}

static void job_start(job_t *job)
{
	searcher_t *searcher = job->searcher;

	job->running = true;
	searcher->running++;
	searcher->started++;
	searcher->last_start_wall_ms = loop_wall_ms();
	job->timer.fire = job_finished;
	job->timer.ctx = job;
	loop_timer_set(searcher->loop, &job->timer, draw_work_us(searcher));
}

static void reply_shed(searcher_t *searcher, http_exchange_t *exchange)
{
	searcher->shed++;
	reply_json(exchange, 503,
		   json_pack("{s:s, s:s, s:s}", "error", "shed", "ran", "no", "state",
			     true_state(searcher)));
}

static void start_next(searcher_t *searcher)
{
	while (searcher->running < searcher->slots) {
		job_t *job = g_queue_pop_head(&searcher->queue);

		if (!job)
			return;
		if (job->expires_us < loop_now_us()) {
			searcher->expired++;
			reply_shed(searcher, job->exchange);
			job_free(job);
			continue;
		}
		job_start(job);
	}
}

static void on_work(searcher_t *searcher, http_exchange_t *exchange)
{
	const char *timeout = http_exchange_param(exchange, "timeout_ms");
	job_t *job;

	if (searcher->shed_all || searcher->queue.length >= searcher->slots * SHED_QUEUE_PER_SLOT) {
		reply_shed(searcher, exchange);
		return;
	}
	job = g_new0(job_t, 1);
	job->searcher = searcher;
	job->exchange = http_exchange_ref(exchange);
	job->expires_us = loop_now_us() + (timeout ? strtoull(timeout, NULL, 10) : 10000) * 1000;
	http_exchange_set_data(exchange, job);
	g_queue_push_tail(&searcher->queue, job);
	start_next(searcher);
}

static void on_request(void *ctx, http_exchange_t *exchange)
{
	searcher_t *searcher = ctx;
	const char *path = http_exchange_path(exchange);

	if (http_exchange_connection(exchange) <= searcher->unanswered_up_to)
		return;
	if (g_str_equal(path, "/search") || g_str_equal(path, "/action")) {
		on_work(searcher, exchange);
	} else if (g_str_equal(path, "/health")) {
		reply_json(exchange, 200,
			   json_pack("{s:s, s:o, s:i}", "state", health_state(searcher), "versions",
				     versions_json(searcher), "queue",
				     (int)(searcher->running + searcher->queue.length)));
	} else {
		reply_json(exchange, 404, json_pack("{s:s}", "error", "no such path"));
	}
}

/* When the connection is closed, its request is cancelled. */
static void on_disconnected(void *ctx, http_exchange_t *exchange)
{
	searcher_t *searcher = ctx;
	job_t *job = http_exchange_data(exchange);

	if (!job)
		return;
	searcher->cancelled++;
	if (job->running)
		searcher->running--;
	else
		g_queue_remove(&searcher->queue, job);
	job_free(job);
	start_next(searcher);
}

static void set_versions(searcher_t *searcher, const json_t *list)
{
	size_t i, j;
	json_t *item, *partition;

	for (uint32_t k = 0; k < searcher->held_count; k++)
		g_array_free(searcher->held[k].partitions, TRUE);
	searcher->held_count = 0;
	json_array_foreach (list, i, item) {
		held_version_t *held = &searcher->held[searcher->held_count];

		if (searcher->held_count++ == VERSIONS_MAX)
			g_error("event=searcher-failed reason=versions");
		held->version = (uint64_t)json_integer_value(json_object_get(item, "version"));
		held->partition_count = (uint32_t)json_integer_value(json_object_get(item, "of"));
		held->partitions = g_array_new(FALSE, FALSE, sizeof(uint32_t));
		json_array_foreach (json_object_get(item, "partitions"), j, partition) {
			uint32_t number = (uint32_t)json_integer_value(partition);

			g_array_append_val(held->partitions, number);
		}
	}
}

static void set_flag(const json_t *body, const char *name, bool *flag)
{
	const json_t *value = json_object_get(body, name);

	if (value)
		*flag = json_is_true(value);
}

static json_t *control_status(const searcher_t *searcher)
{
	GHashTableIter iter;
	gpointer times;
	int doubled = 0;

	g_hash_table_iter_init(&iter, searcher->actions_by_key);
	while (g_hash_table_iter_next(&iter, NULL, &times))
		doubled += GPOINTER_TO_UINT(times) > 1;
	return json_pack("{s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:i, s:I, s:i, s:i}", "name",
			 searcher->name, "started", (json_int_t)searcher->started, "finished",
			 (json_int_t)searcher->finished, "shed", (json_int_t)searcher->shed,
			 "cancelled", (json_int_t)searcher->cancelled, "expired",
			 (json_int_t)searcher->expired, "actions", (json_int_t)searcher->actions,
			 "actions_doubled", doubled, "last_start_wall_ms",
			 (json_int_t)searcher->last_start_wall_ms, "connections",
			 http_server_connections(searcher->server), "connections_peak",
			 http_server_connections_peak(searcher->server));
}

static void on_control(void *ctx, http_exchange_t *exchange)
{
	searcher_t *searcher = ctx;
	const GString *text = http_exchange_body(exchange);
	json_t *body = json_loadb(text->str, text->len, 0, NULL);

	set_flag(body, "leaving", &searcher->leaving);
	set_flag(body, "cold", &searcher->cold);
	set_flag(body, "shed_all", &searcher->shed_all);
	set_flag(body, "lie_ready", &searcher->lie_ready);
	set_flag(body, "truncate", &searcher->truncate);
	set_flag(body, "wrong_version", &searcher->wrong_version);
	set_flag(body, "drop_reply", &searcher->drop_reply);
	if (json_is_number(json_object_get(body, "slow_factor")))
		searcher->slow_factor = json_number_value(json_object_get(body, "slow_factor"));
	if (json_is_integer(json_object_get(body, "slow_one_in")))
		searcher->slow_one_in =
			(uint32_t)json_integer_value(json_object_get(body, "slow_one_in"));
	if (json_is_true(json_object_get(body, "silence_open_connections")))
		searcher->unanswered_up_to = http_server_connections_serial(searcher->server);
	if (json_is_array(json_object_get(body, "versions")))
		set_versions(searcher, json_object_get(body, "versions"));
	json_decref(body);
	reply_json(exchange, 200, control_status(searcher));
}

static void on_signal(void *ctx, int number)
{
	searcher_t *searcher = ctx;

	(void)number;
	loop_stop(searcher->loop);
}

static const struct argp_option options[] = {
	{"name", 'n', "NAME", 0, "name in logs", 0},
	{"address", 'a', "IP", 0, "address to listen on (127.0.0.1)", 0},
	{"port", 'p', "PORT", 0, "port for work", 0},
	{"control", 'c', "PORT", 0, "port for faults and counters", 0},
	{"slots", 's', "N", 0, "requests served at once (2)", 0},
	{"connections", 'l', "N", 0, "most connections (25)", 0},
	{"work-us", 'w', "US", 0, "mean service time (5000)", 0},
	{"records", 'r', "N", 0, "records of the whole data set (400)", 0},
	{"versions", 'v', "JSON", 0, "index versions held", 0},
	{0},
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	searcher_t *searcher = state->input;

	switch (key) {
	case 'n':
		searcher->name = arg;
		return 0;
	case 'a':
		searcher->address = arg;
		return 0;
	case 'p':
		searcher->port = atoi(arg);
		return 0;
	case 'c':
		searcher->control_port = atoi(arg);
		return 0;
	case 's':
		searcher->slots = (uint32_t)atoi(arg);
		return 0;
	case 'l':
		searcher->connection_limit = (uint32_t)atoi(arg);
		return 0;
	case 'w':
		searcher->work_us = strtoull(arg, NULL, 10);
		return 0;
	case 'r':
		searcher->records = (uint32_t)atoi(arg);
		return 0;
	case 'v': {
		json_t *list = json_loads(arg, 0, NULL);

		if (!list)
			argp_error(state, "--versions is not JSON");
		set_versions(searcher, list);
		json_decref(list);
		return 0;
	}
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	static const struct argp argp = {options, parse_option, NULL, "A stand-in searcher.", 0, 0,
					 0};
	searcher_t searcher = {.address = "127.0.0.1",
			       .name = "searcher",
			       .slots = 2,
			       .connection_limit = 25,
			       .work_us = 5000,
			       .records = 400};
	static const http_server_ops_t ops = {
		.request = on_request,
		.disconnected = on_disconnected,
	};
	static const http_server_ops_t control = {.request = on_control};

	argp_parse(&argp, argc, argv, 0, NULL, &searcher);
	searcher.rand = g_rand_new_with_seed((guint32)searcher.port);
	searcher.actions_by_key = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_queue_init(&searcher.queue);
	searcher.loop = loop_new();
	searcher.server =
		http_server_new(searcher.loop, searcher.address, (uint16_t)searcher.port,
				&HTTP_SERVER_INTERNAL_LIMITS(BODY_LIMIT_BYTES), &ops, &searcher);
	if (!searcher.server ||
	    !http_server_new(searcher.loop, searcher.address, (uint16_t)searcher.control_port,
			     &HTTP_SERVER_INTERNAL_LIMITS(BODY_LIMIT_BYTES), &control, &searcher)) {
		g_printerr("%s: cannot listen on port %d or %d\n", searcher.name, searcher.port,
			   searcher.control_port);
		return 1;
	}
	if (searcher.connection_limit)
		http_server_limit_connections(searcher.server, searcher.connection_limit, 0);
	loop_run(searcher.loop, on_signal, &searcher);
	return 0;
}
