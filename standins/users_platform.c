/**
 * @file users_platform.c
 * A stand-in for the users' platform: its store and the searchers that register there, in one
 * process.
 *
 * Services: shard-0, shard-1, ... and single, each with a searcher in every data centre. The
 * control port takes GET /do?action=...; docs/QUESTIONS.md names the pages that this program
 * follows.
 *
 * A request whose path contains "crash" crashes each searcher that runs it: the searcher's
 * connections are lost, its port is closed, and it restarts after a delay. "crash=shard-N" crashes
 * only searchers of that shard.
 *
 * The store has two endpoints, each with an address of its own, so that it can fail for some VMs
 * and serve the others. An endpoint may be busy (503), silent (it accepts calls and answers none),
 * or reset connections.
 *
 * Tenants are added by the action tenant (id: its name, n: its rate and burst; its API key is
 * key-NAME), and lose their key by the action revoke; the next configure puts them in force. The
 * counters show how many sub-requests reached searchers for each tenant (tenants), with no tenant
 * (untenanted), and with a caller's API key (leaked). The action priority sets a tenant's rank (n).
 *
 * With --queue a searcher has SLOTS slots and a queue, and rejects what exceeds them; the action
 * slow multiplies the work time of searchers (id: prefix of their ids, n: the factor). With
 * --log-runs each sub-request that a searcher accepts, and each answer that it sends, is a line on
 * standard output: "ran ID" and "answered ID SERVICE MS", the time in ms since 1970.
 *
 * The store may be restored from an older copy of its data (actions copy, then restore), which
 * raises its era. What operators and searchers wrote since the copy is written again by repeating
 * the control actions.
 */
#include "net/http_server.h"

#include <argp.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SHARDS_MAX 16
#define RECORDS 8
#define SLOTS 2
#define ROUTE_TIMEOUT_MS 1500
#define HISTORY_MAX 512
#define DATA_CENTRES 2
#define BODY_MAX_BYTES (1u << 20)
/* Above any head that the configuration allows callers, with the headers that VMs add. */
#define SEARCHER_HEAD_MAX_BYTES (1u << 16)
/* Once a request has crashed three searchers and this long has passed, further attempts at it may
 * reach searchers only rarely: the settle time of the users' pages. */
#define SETTLE_US 5000000
#define CRASHES_MAX 3
/* How long a searcher that crashed by overload is cold after its restart. */
#define OVERLOAD_COLD_MS 3000

typedef enum searcher_mode_t {
	SEARCHER_MODE_OK,
	SEARCHER_MODE_HANG,
	SEARCHER_MODE_SHED,
	SEARCHER_MODE_SHED_FIRST, /* refuses each request id once, then runs it */
	SEARCHER_MODE_FAIL,
	SEARCHER_MODE_FOREIGN,
	SEARCHER_MODE_DISCONNECT, /* closes the connection instead of answering */
} searcher_mode_t;

/** How an endpoint of the store treats calls. */
typedef enum endpoint_state_t {
	ENDPOINT_OPEN,
	ENDPOINT_BUSY,	 /* 503 */
	ENDPOINT_SILENT, /* accepts calls and never answers them, not even after it reopens */
	ENDPOINT_RESET,	 /* closes the connection instead of answering */
} endpoint_state_t;

typedef struct store_endpoint_t {
	struct users_platform_t *platform;
	endpoint_state_t state;
	/* The silent endpoint reopens REOPEN_DELAY_US after the first call for the configuration
	 * that it receives from this time on; 0: only a control action reopens it. */
	uint64_t reopen_from_us;
	loop_timer_t reopen_timer;
} store_endpoint_t;

#define STORE_ENDPOINTS 2
/* From the unanswered call for the configuration to the endpoint's reopening. */
#define REOPEN_DELAY_US 50000

typedef struct users_platform_t {
	loop_t *loop;
	store_endpoint_t endpoints[STORE_ENDPOINTS];
	int second_store_port; /* of the second endpoint; 0: there is none */
	int padding_routes;    /* extra routes in each later configuration */
	int body_max_bytes;    /* of the requests that each later configuration allows */
	int head_max_bytes;
	int receive_ms;	    /* for a request to arrive */
	int act_timeout_ms; /* time-out of the route of actions */
	int store_port, control_port, first_searcher_port, shards, work_ms, advertise_offset,
		restart_delay_ms;
	int cold_per_s; /* rate limit of a cold searcher, requests a second; 0: no limit */
	int queue;	/* requests that wait at a searcher; 0: slots are not limited */
	bool log_runs;
	uint64_t rejected;     /* sub-requests that exceeded a searcher's queue */
	GHashTable *post_runs; /* request id of a POST to how often it ran */
	GHashTable *crashes;   /* path to crash_record_t */
	json_t *tenants;       /* name to tenant as in the configuration; empty: none */
	json_t *tenant_runs;   /* name to how many sub-requests arrived for it */
	uint64_t untenanted, leaked;
	GHashTable *objects; /* "kind/name" to json_t */
	GPtrArray *history;  /* json_t events, each with "rev" and "kind" */
	GPtrArray *watches;  /* watch_t */
	GPtrArray *searchers;
	uint64_t revision;
	uint64_t born_ms;	     /* when this program started */
	uint64_t compacted_revision; /* events up to this revision are discarded */
	uint64_t calls;
	uint64_t era;
	GHashTable *copy;	/* copied objects; NULL: no copy was made */
	uint64_t copy_revision; /* revision at the time of the copy */
} users_platform_t;

/** The effects of a poison request. */
typedef struct crash_record_t {
	uint32_t terminated;	   /**< searchers that it crashed */
	GHashTable *reached;	   /**< ids of attempts that reached a searcher */
	uint64_t limit_reached_us; /**< when it crashed the third searcher; 0: not yet */
	GHashTable *late; /**< ids of attempts that reached a searcher SETTLE_US after that */
} crash_record_t;

typedef struct watch_t {
	users_platform_t *platform;
	store_endpoint_t *endpoint;
	http_exchange_t *exchange;
	char *kind;
	uint64_t since;
	loop_timer_t timer;
} watch_t;

typedef struct searcher_t {
	users_platform_t *platform;
	char id[32];
	char service[32];
	int number;
	int port;
	const char *data_centre;
	http_server_t *server;
	uint64_t born_ms;
	uint64_t cold_until_us;	   /* from then on it is warm */
	GArray *cold_arrivals_us;  /* arrival times of requests while it is cold */
	uint64_t overload_crashes; /* how often it crashed by overload while cold */
	uint64_t seq;		   /* sequence number of its entry */
	uint64_t cold_ms;	   /* cold time that its next entry reports */
	loop_timer_t restart_timer;
	loop_timer_t crash_timer;
	bool crashing; /* requests that arrive get no answer */
	searcher_mode_t mode;
	uint32_t slow_factor; /* multiplies the work time */
	GHashTable *refused;  /* request ids that SEARCHER_MODE_SHED_FIRST has refused */
	uint32_t running;
	GQueue waiting; /* job_t */
	uint64_t runs;
	uint64_t disconnected; /* callers that disconnected while it worked */
} searcher_t;

typedef struct job_t {
	searcher_t *searcher;
	http_exchange_t *exchange; /* NULL once the caller has disconnected */
	loop_timer_t timer;
	bool running;
} job_t;

/* ---- store ---- */

static void add_era(const users_platform_t *platform, http_exchange_t *exchange)
{
	g_autofree char *era = g_strdup_printf("%" G_GUINT64_FORMAT, platform->era);

	http_exchange_add_header(exchange, "Store-Era", era);
}

static void reply_json(http_exchange_t *exchange, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	http_exchange_reply(exchange, status, "application/json", text, strlen(text));
	free(text);
	json_decref(body);
}

static json_t *events_since(const users_platform_t *platform, const char *kind, uint64_t since)
{
	json_t *events = json_array();

	for (guint i = 0; i < platform->history->len; i++) {
		json_t *event = g_ptr_array_index(platform->history, i);

		if ((uint64_t)json_integer_value(json_object_get(event, "rev")) > since &&
		    g_str_equal(json_string_value(json_object_get(event, "kind")), kind))
			json_array_append(events, event);
	}
	return events;
}

static void end_watch(watch_t *watch)
{
	users_platform_t *platform = watch->platform;

	add_era(platform, watch->exchange);
	reply_json(watch->exchange, 200,
		   json_pack("{s:o,s:I}", "events",
			     events_since(platform, watch->kind, watch->since), "as-of",
			     (json_int_t)platform->revision));
	loop_timer_cancel(&watch->timer);
	g_ptr_array_remove(platform->watches, watch);
	http_exchange_unref(watch->exchange);
	g_free(watch->kind);
	g_free(watch);
}

static void watch_timed_out(void *ctx)
{
	end_watch(ctx);
}

static void wake_watches(users_platform_t *platform, const char *kind)
{
	for (guint i = platform->watches->len; i-- > 0;) {
		watch_t *watch = g_ptr_array_index(platform->watches, i);

		if (g_str_equal(watch->kind, kind))
			end_watch(watch);
	}
}

/* Takes ownership of @p spec; NULL removes the object. */
static void put(users_platform_t *platform, const char *kind, const char *name, json_t *spec)
{
	g_autofree char *key = g_strdup_printf("%s/%s", kind, name);
	json_t *object =
		json_pack("{s:{s:s,s:I},s:o}", "meta", "name", name, "revision",
			  (json_int_t)++platform->revision, "spec", spec ? spec : json_null());

	g_ptr_array_add(platform->history,
			json_pack("{s:I,s:s,s:b,s:O}", "rev", (json_int_t)platform->revision,
				  "kind", kind, "deleted", spec == NULL, "object", object));
	if (platform->history->len > HISTORY_MAX)
		g_ptr_array_remove_index(platform->history, 0);
	if (spec)
		g_hash_table_insert(platform->objects, g_strdup(key), json_incref(object));
	else
		g_hash_table_remove(platform->objects, key);
	json_decref(object);
	wake_watches(platform, kind);
}

static void list(users_platform_t *platform, http_exchange_t *exchange, const char *kind)
{
	g_autofree char *prefix = g_strdup_printf("%s/", kind);
	json_t *items = json_array();
	GHashTableIter iter;
	gpointer key, object;

	g_hash_table_iter_init(&iter, platform->objects);
	while (g_hash_table_iter_next(&iter, &key, &object))
		if (g_str_has_prefix(key, prefix))
			json_array_append(items, object);
	reply_json(exchange, 200,
		   json_pack("{s:o,s:b,s:I}", "items", items, "more", 0, "as-of",
			     (json_int_t)platform->revision));
}

static void get(users_platform_t *platform, http_exchange_t *exchange, const char *kind,
		const char *name)
{
	g_autofree char *key = g_strdup_printf("%s/%s", kind, name);
	json_t *object = g_hash_table_lookup(platform->objects, key);

	reply_json(exchange, object ? 200 : 404, object ? json_incref(object) : json_object());
}

static void watch(store_endpoint_t *endpoint, http_exchange_t *exchange, const char *kind)
{
	users_platform_t *platform = endpoint->platform;
	uint64_t since = strtoull(http_exchange_param(exchange, "watch"), NULL, 10);
	const char *wait = http_exchange_param(exchange, "wait-ms");
	watch_t *watch;

	if (since < platform->compacted_revision || since > platform->revision) {
		add_era(platform, exchange);
		reply_json(exchange, 410, json_object());
		return;
	}
	watch = g_new0(watch_t, 1);
	watch->platform = platform;
	watch->endpoint = endpoint;
	watch->exchange = http_exchange_ref(exchange);
	watch->kind = g_strdup(kind);
	watch->since = since;
	g_ptr_array_add(platform->watches, watch);
	watch->timer = (loop_timer_t){.fire = watch_timed_out, .ctx = watch};
	loop_timer_set(platform->loop, &watch->timer, strtoull(wait ? wait : "0", NULL, 10) * 1000);
	if (platform->revision > since) {
		json_t *events = events_since(platform, kind, since);
		bool has_events = json_array_size(events) > 0;

		json_decref(events);
		if (has_events)
			end_watch(watch);
	}
}

static void write_object(users_platform_t *platform, http_exchange_t *exchange, const char *kind,
			 const char *name)
{
	json_t *body = json_loads(http_exchange_body(exchange)->str, 0, NULL);
	const char *own = json_string_value(json_object_get(json_object_get(body, "meta"), "name"));
	g_autofree char *key = g_strdup_printf("%s/%s", kind, name ? name : own ? own : "");
	bool exists = g_hash_table_contains(platform->objects, key);

	if (!own)
		reply_json(exchange, 400, json_object());
	else if (!name && exists)
		reply_json(exchange, 409, json_object());
	else {
		put(platform, kind, own, json_incref(json_object_get(body, "spec")));
		reply_json(exchange, 200, json_object());
	}
	json_decref(body);
}

static void delete_object(users_platform_t *platform, http_exchange_t *exchange, const char *kind,
			  const char *name)
{
	g_autofree char *key = g_strdup_printf("%s/%s", kind, name);
	bool exists = g_hash_table_contains(platform->objects, key);

	if (exists)
		put(platform, kind, name, NULL);
	reply_json(exchange, exists ? 200 : 404, json_object());
}

static void reopen_endpoint(void *ctx)
{
	((store_endpoint_t *)ctx)->state = ENDPOINT_OPEN;
}

/* Drops the open watches of a silent endpoint without a reply, like the calls it receives. */
static void drop_watches(store_endpoint_t *endpoint)
{
	users_platform_t *platform = endpoint->platform;

	for (guint i = platform->watches->len; i-- > 0;) {
		watch_t *watch = g_ptr_array_index(platform->watches, i);

		if (watch->endpoint != endpoint)
			continue;
		loop_timer_cancel(&watch->timer);
		g_ptr_array_remove_index(platform->watches, i);
		g_free(watch->kind);
		g_free(watch);
	}
}

static void set_endpoint(store_endpoint_t *endpoint, endpoint_state_t state,
			 uint64_t reopen_after_ms)
{
	loop_timer_cancel(&endpoint->reopen_timer);
	endpoint->state = state;
	endpoint->reopen_from_us = reopen_after_ms ? loop_now_us() + reopen_after_ms * 1000 : 0;
	if (state == ENDPOINT_SILENT)
		drop_watches(endpoint);
}

/* Returns whether the endpoint serves the call; if not, it rejects, resets or ignores the call. */
static bool endpoint_admits(store_endpoint_t *endpoint, http_exchange_t *exchange)
{
	switch (endpoint->state) {
	case ENDPOINT_OPEN:
		return true;
	case ENDPOINT_BUSY:
		http_exchange_reply(exchange, 503, NULL, "", 0);
		break;
	case ENDPOINT_RESET:
		http_exchange_abort(exchange);
		break;
	case ENDPOINT_SILENT:
		if (endpoint->reopen_from_us && loop_now_us() >= endpoint->reopen_from_us &&
		    !endpoint->reopen_timer.entry.heap_position &&
		    g_str_has_prefix(http_exchange_path(exchange), "/objects/config"))
			loop_timer_set(endpoint->platform->loop, &endpoint->reopen_timer,
				       REOPEN_DELAY_US);
		break;
	}
	return false;
}

static void on_store(void *ctx, http_exchange_t *exchange)
{
	store_endpoint_t *endpoint = ctx;
	users_platform_t *platform = endpoint->platform;
	g_auto(GStrv) path = g_strsplit(http_exchange_path(exchange), "/", 0);
	guint parts = g_strv_length(path);

	platform->calls++;
	if (!endpoint_admits(endpoint, exchange))
		return;
	if (parts < 3) {
		http_exchange_reply(exchange, 404, NULL, "", 0);
		return;
	}
	if (!http_exchange_param(exchange, "watch"))
		add_era(platform, exchange);
	if (g_str_equal(http_exchange_method(exchange), "DELETE") && parts > 3)
		delete_object(platform, exchange, path[2], path[3]);
	else if (!g_str_equal(http_exchange_method(exchange), "GET"))
		write_object(platform, exchange, path[2], parts > 3 ? path[3] : NULL);
	else if (http_exchange_param(exchange, "watch"))
		watch(endpoint, exchange, path[2]);
	else if (parts > 3)
		get(platform, exchange, path[2], path[3]);
	else
		list(platform, exchange, path[2]);
}

/* A shallow copy is enough, because objects are replaced and never modified. */
static GHashTable *copy_objects(GHashTable *objects)
{
	GHashTable *copy =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)json_decref);
	GHashTableIter iter;
	gpointer key, object;

	g_hash_table_iter_init(&iter, objects);
	while (g_hash_table_iter_next(&iter, &key, &object))
		g_hash_table_insert(copy, g_strdup(key), json_incref(object));
	return copy;
}

static void make_copy(users_platform_t *platform)
{
	if (platform->copy)
		g_hash_table_unref(platform->copy);
	platform->copy = copy_objects(platform->objects);
	platform->copy_revision = platform->revision;
}

/* Revision numbers go back to those of the copy and are used again; all open watches end. */
static void restore_copy(users_platform_t *platform)
{
	if (!platform->copy)
		return;
	platform->era++;
	g_hash_table_unref(platform->objects);
	platform->objects = copy_objects(platform->copy);
	platform->revision = platform->copy_revision;
	platform->compacted_revision = platform->copy_revision;
	g_ptr_array_set_size(platform->history, 0);
	while (platform->watches->len)
		end_watch(g_ptr_array_index(platform->watches, 0));
}

static void on_store_disconnected(void *ctx, http_exchange_t *exchange)
{
	users_platform_t *platform = ((store_endpoint_t *)ctx)->platform;

	for (guint i = 0; i < platform->watches->len; i++) {
		watch_t *watch = g_ptr_array_index(platform->watches, i);

		if (watch->exchange == exchange) {
			end_watch(watch);
			return;
		}
	}
}

/* ---- searchers ---- */

/* Each record contains its shard and rank, so that a test can compute the expected merge. */
static void write_records(const searcher_t *searcher, GString *out)
{
	for (int i = 0; i < RECORDS; i++)
		g_string_append_printf(out, "%06d-%04d-%04d",
				       (RECORDS - i) * 100 + searcher->number, searcher->number, i);
}

static crash_record_t *crash_record_for(users_platform_t *platform, const char *path)
{
	crash_record_t *crashes = g_hash_table_lookup(platform->crashes, path);

	if (crashes)
		return crashes;
	crashes = g_new0(crash_record_t, 1);
	crashes->reached = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	crashes->late = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_insert(platform->crashes, g_strdup(path), crashes);
	return crashes;
}

static bool is_crashed_by(const searcher_t *searcher, http_exchange_t *exchange)
{
	const char *found = strstr(http_exchange_path(exchange), "crash");
	const char *only = found && found[5] == '=' ? found + 6 : NULL;

	return found && (!only || g_str_equal(only, searcher->service));
}

static void record_arrival(searcher_t *searcher, http_exchange_t *exchange)
{
	const char *id = http_exchange_header(exchange, "Dogwoodsaddle-Request-Id");
	crash_record_t *crashes;

	if (!is_crashed_by(searcher, exchange))
		return;
	crashes = crash_record_for(searcher->platform, http_exchange_path(exchange));
	g_hash_table_add(crashes->reached, g_strdup(id ? id : ""));
	if (crashes->limit_reached_us && loop_now_us() > crashes->limit_reached_us + SETTLE_US)
		g_hash_table_add(crashes->late, g_strdup(id ? id : ""));
}

/* All other requests that the searcher is running are lost too. */
static void crash(searcher_t *searcher, crash_record_t *crashes)
{
	http_server_t *server = searcher->server;

	if (++crashes->terminated == CRASHES_MAX)
		crashes->limit_reached_us = loop_now_us();
	searcher->server = NULL;
	loop_timer_set(searcher->platform->loop, &searcher->restart_timer,
		       (uint64_t)searcher->platform->restart_delay_ms * 1000);
	http_server_free(server);
}

static void start_next(searcher_t *searcher)
{
	const users_platform_t *platform = searcher->platform;

	while (searcher->waiting.length && (!platform->queue || searcher->running < SLOTS)) {
		job_t *job = g_queue_pop_head(&searcher->waiting);

		job->running = true;
		searcher->running++;
		loop_timer_set(platform->loop, &job->timer,
			       (uint64_t)platform->work_ms * searcher->slow_factor * 1000);
	}
}

static void add_load(const searcher_t *searcher, http_exchange_t *exchange)
{
	char load[32] = "1,0,2,100";

	if (searcher->platform->queue)
		g_snprintf(load, sizeof(load), "%u,%u,%u,100", searcher->running,
			   searcher->waiting.length, SLOTS);
	http_exchange_add_header(exchange, "Dogwoodsaddle-Server-Load", load);
}

static void answer(void *ctx)
{
	job_t *job = ctx;
	searcher_t *searcher = job->searcher;
	http_exchange_t *exchange = job->exchange;
	g_autoptr(GString) body = g_string_new(NULL);
	g_autofree char *signature = NULL;
	const char *id;

	job->running = false;
	searcher->running--;
	if (exchange && is_crashed_by(searcher, exchange)) {
		crash(searcher, crash_record_for(searcher->platform, http_exchange_path(exchange)));
		return;
	}
	if (exchange && searcher->mode == SEARCHER_MODE_DISCONNECT) {
		http_exchange_abort(exchange);
		return;
	}
	if (exchange) {
		id = http_exchange_header(exchange, "Dogwoodsaddle-Request-Id");
		signature = g_strdup_printf("%s.%s", searcher->id, id ? id : "");
		write_records(searcher, body);
		http_exchange_set_data(exchange, NULL);
		http_exchange_add_header(exchange, "Dogwoodsaddle-Request-Id",
					 searcher->mode == SEARCHER_MODE_FOREIGN ? "other" : id);
		http_exchange_add_header(exchange, "Dogwoodsaddle-Response-Signature", signature);
		add_load(searcher, exchange);
		if (searcher->platform->log_runs)
			printf("answered %s %s %" G_GINT64_FORMAT "\n", id, searcher->service,
			       g_get_real_time() / 1000);
		http_exchange_reply(exchange, searcher->mode == SEARCHER_MODE_FAIL ? 500 : 200,
				    NULL, body->str, body->len);
		http_exchange_unref(exchange);
	}
	g_free(job);
	start_next(searcher);
}

static void count_post_run(users_platform_t *platform, http_exchange_t *exchange)
{
	const char *id = http_exchange_header(exchange, "Dogwoodsaddle-Request-Id");
	guint times;

	if (!id || !g_str_equal(http_exchange_method(exchange), "POST"))
		return;
	times = GPOINTER_TO_UINT(g_hash_table_lookup(platform->post_runs, id));
	g_hash_table_insert(platform->post_runs, g_strdup(id), GUINT_TO_POINTER(times + 1));
}

static json_t *post_runs_json(const users_platform_t *platform)
{
	json_t *all = json_object();
	GHashTableIter iter;
	gpointer id, times;

	g_hash_table_iter_init(&iter, platform->post_runs);
	while (g_hash_table_iter_next(&iter, &id, &times))
		json_object_set_new(all, id, json_integer(GPOINTER_TO_UINT(times)));
	return all;
}

static void count_tenant_run(users_platform_t *platform, http_exchange_t *exchange)
{
	const char *name = http_exchange_header(exchange, "Dogwoodsaddle-Tenant");
	json_int_t runs;

	platform->leaked += http_exchange_header(exchange, "Dogwoodsaddle-Credential") != NULL;
	platform->untenanted += !name;
	if (!name)
		return;
	runs = json_integer_value(json_object_get(platform->tenant_runs, name));
	json_object_set_new(platform->tenant_runs, name, json_integer(runs + 1));
}

static void run(searcher_t *searcher, http_exchange_t *exchange)
{
	job_t *job = g_new0(job_t, 1);

	if (searcher->platform->log_runs)
		printf("ran %s\n", http_exchange_header(exchange, "Dogwoodsaddle-Request-Id"));
	searcher->runs++;
	record_arrival(searcher, exchange);
	count_post_run(searcher->platform, exchange);
	count_tenant_run(searcher->platform, exchange);
	job->searcher = searcher;
	job->exchange = http_exchange_ref(exchange);
	job->timer = (loop_timer_t){.fire = answer, .ctx = job};
	http_exchange_set_data(exchange, job);
	if (searcher->mode != SEARCHER_MODE_HANG)
		g_queue_push_tail(&searcher->waiting, job);
	start_next(searcher);
}

static bool is_full(const searcher_t *searcher)
{
	const users_platform_t *platform = searcher->platform;

	return platform->queue && searcher->waiting.length >= (guint)platform->queue;
}

/* The users' rule: overloaded by more than 1.5 times its rate limit plus 5 requests in a second. */
static bool is_overloaded(searcher_t *searcher)
{
	uint64_t now_us = loop_now_us();
	uint32_t within = 0;

	if (!searcher->platform->cold_per_s || now_us >= searcher->cold_until_us)
		return false;
	g_array_append_val(searcher->cold_arrivals_us, now_us);
	for (guint i = 0; i < searcher->cold_arrivals_us->len; i++)
		within += g_array_index(searcher->cold_arrivals_us, uint64_t, i) + 1000000 > now_us;
	return within > searcher->platform->cold_per_s * 1.5 + 5;
}

/* The searcher terminates, and is cold after its restart. */
static void crash_overloaded(void *ctx)
{
	searcher_t *searcher = ctx;
	http_server_t *server = searcher->server;

	if (!server) /* a poison request has crashed it in the meantime */
		return;
	searcher->overload_crashes++;
	searcher->server = NULL;
	searcher->cold_ms = OVERLOAD_COLD_MS;
	loop_timer_set(searcher->platform->loop, &searcher->restart_timer,
		       (uint64_t)searcher->platform->restart_delay_ms * 1000);
	http_server_free(server);
}

static void echo_id(http_exchange_t *exchange)
{
	const char *id = http_exchange_header(exchange, "Dogwoodsaddle-Request-Id");

	if (id)
		http_exchange_add_header(exchange, "Dogwoodsaddle-Request-Id", id);
}

static bool refuses(searcher_t *searcher, const char *id)
{
	if (searcher->mode == SEARCHER_MODE_SHED_FIRST)
		return id && g_hash_table_add(searcher->refused, g_strdup(id));
	return searcher->mode == SEARCHER_MODE_SHED || is_full(searcher);
}

static void on_searcher(void *ctx, http_exchange_t *exchange)
{
	searcher_t *searcher = ctx;
	const char *expected = http_exchange_header(exchange, "Dogwoodsaddle-Expected-Instance");
	const char *id = http_exchange_header(exchange, "Dogwoodsaddle-Request-Id");

	if (searcher->crashing)
		return;
	if (expected && !g_str_equal(expected, searcher->id)) {
		echo_id(exchange);
		http_exchange_reply(exchange, 421, NULL, "", 0);
	} else if (is_overloaded(searcher)) {
		/* Its server must not be freed in a callback of the server. */
		searcher->crashing = true;
		loop_timer_set(searcher->platform->loop, &searcher->crash_timer, 0);
	} else if (refuses(searcher, id)) {
		searcher->platform->rejected += is_full(searcher);
		echo_id(exchange);
		http_exchange_add_header(exchange, "Dogwoodsaddle-Not-Executed", "1");
		http_exchange_reply(exchange, 503, NULL, "", 0);
	} else {
		run(searcher, exchange);
	}
}

static void on_searcher_disconnected(void *ctx, http_exchange_t *exchange)
{
	searcher_t *searcher = ctx;
	job_t *job = http_exchange_data(exchange);

	if (!job)
		return;
	searcher->disconnected++;
	searcher->running -= job->running;
	g_queue_remove(&searcher->waiting, job);
	loop_timer_cancel(&job->timer);
	http_exchange_unref(job->exchange);
	g_free(job);
	start_next(searcher);
}

static void register_searcher(searcher_t *searcher, const char *state)
{
	g_autofree char *address = g_strdup_printf(
		"127.0.0.1:%d", searcher->port + searcher->platform->advertise_offset);

	searcher->cold_until_us = loop_now_us() + searcher->cold_ms * 1000;
	g_array_set_size(searcher->cold_arrivals_us, 0);
	put(searcher->platform, "servers", searcher->id,
	    json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:I,s:I,s:I}", "service", searcher->service,
		      "address", address, "zone", searcher->data_centre, "version", "v1", "slots",
		      SLOTS, "state", state, "cold-remaining-ms", (json_int_t)searcher->cold_ms,
		      "seq", (json_int_t)++searcher->seq, "born", (json_int_t)searcher->born_ms));
}

static bool listen_at_port(searcher_t *searcher)
{
	static const http_server_ops_t ops = {.request = on_searcher,
					      .disconnected = on_searcher_disconnected};

	http_server_limits_t limits = HTTP_SERVER_INTERNAL_LIMITS(BODY_MAX_BYTES);

	limits.message.head_bytes = SEARCHER_HEAD_MAX_BYTES;
	searcher->server = http_server_new(searcher->platform->loop, "127.0.0.1",
					   (uint16_t)searcher->port, &limits, &ops, searcher);
	return searcher->server != NULL;
}

static void restart_searcher(void *ctx)
{
	searcher_t *searcher = ctx;

	searcher->born_ms++;
	searcher->crashing = false;
	if (!listen_at_port(searcher))
		g_error("event=searcher-failed port=%d", searcher->port);
	register_searcher(searcher, "ready");
}

static bool start_searcher(users_platform_t *platform, const char *service, int number,
			   int data_centre)
{
	static const char *const names[DATA_CENTRES] = {"here", "there"};
	searcher_t *searcher = g_new0(searcher_t, 1);

	searcher->platform = platform;
	searcher->number = number;
	searcher->slow_factor = 1;
	searcher->refused = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_queue_init(&searcher->waiting);
	searcher->port = platform->first_searcher_port + (int)platform->searchers->len;
	searcher->data_centre = names[data_centre];
	g_strlcpy(searcher->service, service, sizeof(searcher->service));
	g_snprintf(searcher->id, sizeof(searcher->id), "i-%s-%s", service, names[data_centre]);
	searcher->born_ms = platform->born_ms;
	searcher->cold_arrivals_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	searcher->restart_timer = (loop_timer_t){.fire = restart_searcher, .ctx = searcher};
	searcher->crash_timer = (loop_timer_t){.fire = crash_overloaded, .ctx = searcher};
	g_ptr_array_add(platform->searchers, searcher);
	if (!listen_at_port(searcher))
		return false;
	register_searcher(searcher, "ready");
	return true;
}

/* ---- configuration ---- */

static json_t *route(const char *name, const char *host, const char *prefix, const char *type)
{
	return json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:i,s:f}", "name", name, "host", host,
			 "path-prefix", prefix, "route-type", type, "timeout-ms", ROUTE_TIMEOUT_MS,
			 "target-latency-ms", 300, "priority", 1, "max-attempts", 2, "top-k", 5,
			 "min-coverage", 0.6);
}

static void set_tenant(users_platform_t *platform, const char *name, const char *rate)
{
	g_autofree char *key = g_strdup_printf("key-%s", name);

	json_object_set_new(platform->tenants, name,
			    json_pack("{s:s,s:[s],s:i,s:i,s:[]}", "name", name, "api-keys", key,
				      "rate-per-s", atoi(rate), "burst", atoi(rate),
				      "allowed-regions"));
}

static void set_priority(users_platform_t *platform, const char *name, int rank)
{
	json_t *tenant = json_object_get(platform->tenants, name);

	if (tenant)
		json_object_set_new(tenant, "priority", json_integer(rank));
}

static void revoke_key(users_platform_t *platform, const char *name)
{
	json_t *tenant = json_object_get(platform->tenants, name);

	if (tenant)
		json_object_set_new(tenant, "api-keys", json_array());
}

/* NULL when the configuration is to have no tenants. */
static json_t *tenants_json(const users_platform_t *platform)
{
	json_t *all = json_array(), *tenant;
	const char *name;

	json_object_foreach (platform->tenants, name, tenant)
		json_array_append_new(all, json_deep_copy(tenant));
	if (json_array_size(all))
		return all;
	json_decref(all);
	return NULL;
}

static void configure(users_platform_t *platform, int version)
{
	json_t *find = route("find", "find.example", "/find/", "idempotent");
	json_t *get = route("get", "get.example", "/get/", "idempotent");
	json_t *act = route("act", "get.example", "/get/act/", "non_idempotent");
	json_t *home = route("home", "home.example", "/home/", "idempotent");
	json_t *kept = route("kept", "home.example", "/kept/", "idempotent");
	json_t *open = route("open", "open.example", "/open/", "idempotent");
	json_t *shards = json_array(), *services = json_array();
	json_t *routes = json_pack("[o,o,o,o,o,o]", find, get, act, home, kept, open);

	for (int i = 0; i < platform->shards; i++) {
		g_autofree char *name = g_strdup_printf("shard-%d", i);

		json_array_append_new(shards, json_string(name));
		json_array_append_new(services, json_pack("{s:s,s:i,s:i,s:i}", "name", name,
							  "max-connections", 25, "cold-start-s", 3,
							  "cold-per-s", platform->cold_per_s));
	}
	json_array_append_new(services,
			      json_pack("{s:s,s:i,s:i,s:i}", "name", "single", "max-connections",
					25, "cold-start-s", 3, "cold-per-s", platform->cold_per_s));
	for (int i = 0; i < platform->padding_routes; i++) {
		g_autofree char *name = g_strdup_printf("pad-%d", i);
		g_autofree char *prefix = g_strdup_printf("/pad/%d/", i);
		json_t *padded = route(name, "pad.example", prefix, "idempotent");

		json_object_set_new(padded, "service", json_string("single"));
		json_array_append_new(routes, padded);
	}
	json_object_set_new(kept, "fanout-services", json_deep_copy(shards));
	json_object_set_new(kept, "allowed-regions", json_pack("[s]", "two"));
	json_object_set_new(home, "service", json_string("single"));
	json_object_set_new(home, "allowed-regions", json_pack("[s]", "two"));
	json_object_set_new(find, "fanout-services", shards);
	json_object_set_new(get, "service", json_string("single"));
	json_object_set_new(act, "service", json_string("single"));
	json_object_set_new(act, "timeout-ms", json_integer(platform->act_timeout_ms));
	json_object_set_new(open, "service", json_string("single"));
	json_object_set_new(open, "public", json_true());
	put(platform, "config", "main",
	    json_pack("{s:i,s:o,s:o,s:o*,s:{s:i,s:i,s:i,s:i}}", "version", version, "routes",
		      routes, "services", services, "tenants", tenants_json(platform), "limits",
		      "max-header-bytes", platform->head_max_bytes, "max-body-bytes",
		      platform->body_max_bytes, "header-timeout-ms", platform->receive_ms,
		      "idle-timeout-ms", 5000));
}

/* ---- control ---- */

static void set_mode(users_platform_t *platform, const char *id, searcher_mode_t mode)
{
	for (guint i = 0; i < platform->searchers->len; i++) {
		searcher_t *searcher = g_ptr_array_index(platform->searchers, i);

		if (g_str_has_prefix(searcher->id, id))
			searcher->mode = mode;
	}
}

static void set_slow(users_platform_t *platform, const char *id, int factor)
{
	for (guint i = 0; i < platform->searchers->len; i++) {
		searcher_t *searcher = g_ptr_array_index(platform->searchers, i);

		if (g_str_has_prefix(searcher->id, id))
			searcher->slow_factor = (uint32_t)MAX(factor, 1);
	}
}

/* Entries written from now on belong to a new incarnation of their searcher. */
static void advance_born(users_platform_t *platform)
{
	for (guint i = 0; i < platform->searchers->len; i++)
		((searcher_t *)g_ptr_array_index(platform->searchers, i))->born_ms++;
}

/* The searchers register as cold for @p cold_ms. */
static void set_cold(users_platform_t *platform, const char *id, uint64_t cold_ms)
{
	for (guint i = 0; i < platform->searchers->len; i++) {
		searcher_t *searcher = g_ptr_array_index(platform->searchers, i);

		if (!g_str_has_prefix(searcher->id, id))
			continue;
		searcher->cold_ms = cold_ms;
		register_searcher(searcher, "ready");
	}
}

static void set_state(users_platform_t *platform, const char *id, const char *state)
{
	for (guint i = 0; i < platform->searchers->len; i++) {
		searcher_t *searcher = g_ptr_array_index(platform->searchers, i);

		if (g_str_has_prefix(searcher->id, id) && state)
			register_searcher(searcher, state);
		else if (g_str_has_prefix(searcher->id, id))
			put(platform, "servers", searcher->id, NULL);
	}
}

static json_t *crash_records_json(const users_platform_t *platform)
{
	json_t *all = json_object();
	GHashTableIter iter;
	gpointer path, value;

	g_hash_table_iter_init(&iter, platform->crashes);
	while (g_hash_table_iter_next(&iter, &path, &value)) {
		const crash_record_t *crashes = value;

		json_object_set_new(all, path,
				    json_pack("{s:i,s:i,s:i}", "ended", (int)crashes->terminated,
					      "reached", (int)g_hash_table_size(crashes->reached),
					      "late", (int)g_hash_table_size(crashes->late)));
	}
	return all;
}

static json_t *counters_json(const users_platform_t *platform)
{
	json_t *runs = json_object(), *disconnected = json_object();
	uint64_t overload_crashes = 0;

	for (guint i = 0; i < platform->searchers->len; i++) {
		searcher_t *searcher = g_ptr_array_index(platform->searchers, i);

		overload_crashes += searcher->overload_crashes;
		json_object_set_new(runs, searcher->id, json_integer((json_int_t)searcher->runs));
		json_object_set_new(disconnected, searcher->id,
				    json_integer((json_int_t)searcher->disconnected));
	}
	return json_pack("{s:b,s:I,s:I,s:o,s:o,s:o,s:o,s:I,s:O,s:I,s:I}", "open",
			 platform->endpoints[0].state == ENDPOINT_OPEN, "pressed",
			 (json_int_t)overload_crashes, "rejected", (json_int_t)platform->rejected,
			 "runs", runs, "left", disconnected, "posted", post_runs_json(platform),
			 "crashes", crash_records_json(platform), "store_calls",
			 (json_int_t)platform->calls, "tenants", platform->tenant_runs,
			 "untenanted", (json_int_t)platform->untenanted, "leaked",
			 (json_int_t)platform->leaked);
}

static endpoint_state_t endpoint_state_by_name(const char *name)
{
	static const char *const names[] = {"open", "busy", "silent", "reset"};

	for (size_t i = 0; name && i < G_N_ELEMENTS(names); i++)
		if (g_str_equal(name, names[i]))
			return (endpoint_state_t)i;
	return ENDPOINT_OPEN;
}

static void on_control(void *ctx, http_exchange_t *exchange)
{
	static const char *const modes[] = {"ok",   "hang",    "shed", "shed-first",
					    "fail", "foreign", "cut"};
	users_platform_t *platform = ctx;
	const char *action = http_exchange_param(exchange, "action");
	const char *id = http_exchange_param(exchange, "id");
	const char *number = http_exchange_param(exchange, "n");

	for (size_t i = 0; action && id && i < G_N_ELEMENTS(modes); i++)
		if (g_str_equal(action, modes[i]))
			set_mode(platform, id, (searcher_mode_t)i);
	if (!g_strcmp0(action, "drain"))
		set_state(platform, id, "draining");
	else if (!g_strcmp0(action, "remove"))
		set_state(platform, id, NULL);
	else if (!g_strcmp0(action, "ready"))
		set_state(platform, id, "ready");
	else if (!g_strcmp0(action, "spoil"))
		set_state(platform, id, "no such state");
	else if (!g_strcmp0(action, "born"))
		advance_born(platform);
	else if (!g_strcmp0(action, "down"))
		set_endpoint(&platform->endpoints[0], atoi(number) ? ENDPOINT_BUSY : ENDPOINT_OPEN,
			     0);
	else if (!g_strcmp0(action, "silent"))
		set_endpoint(&platform->endpoints[0], ENDPOINT_SILENT, strtoull(number, NULL, 10));
	else if (!g_strcmp0(action, "side"))
		set_endpoint(&platform->endpoints[1], endpoint_state_by_name(id), 0);
	else if (!g_strcmp0(action, "body-max"))
		platform->body_max_bytes = atoi(number);
	else if (!g_strcmp0(action, "pad"))
		platform->padding_routes = atoi(number);
	else if (!g_strcmp0(action, "forget"))
		platform->compacted_revision = platform->revision + 1;
	else if (!g_strcmp0(action, "evacuate"))
		put(platform, "evacuations", id, json_object());
	else if (!g_strcmp0(action, "reopen"))
		put(platform, "evacuations", id, NULL);
	else if (!g_strcmp0(action, "cold"))
		set_cold(platform, id, strtoull(number, NULL, 10));
	else if (!g_strcmp0(action, "copy"))
		make_copy(platform);
	else if (!g_strcmp0(action, "restore"))
		restore_copy(platform);
	else if (!g_strcmp0(action, "tenant"))
		set_tenant(platform, id, number);
	else if (!g_strcmp0(action, "priority"))
		set_priority(platform, id, atoi(number));
	else if (!g_strcmp0(action, "slow"))
		set_slow(platform, id, atoi(number));
	else if (!g_strcmp0(action, "revoke"))
		revoke_key(platform, id);
	else if (!g_strcmp0(action, "configure"))
		configure(platform, atoi(number));
	reply_json(exchange, 200, counters_json(platform));
}

/* ---- start-up ---- */

static const struct argp_option options[] = {
	{"store", 's', "PORT", 0, "the store's port", 0},
	{"side", 'd', "PORT", 0, "the port of the store's second address", 0},
	{"control", 'c', "PORT", 0, "the control address's port", 0},
	{"searchers", 'f', "PORT", 0, "the first searcher's port", 0},
	{"shards", 'n', "COUNT", 0, "shards of the route that gathers", 0},
	{"advertise", 'a', "OFFSET", 0, "searchers register ports higher by this", 0},
	{"work-ms", 'w', "MS", 0, "how long a searcher works", 0},
	{"timeout-ms", 't', "MS", 0, "time-out of the route of actions", 0},
	{"back-ms", 'b', "MS", 0, "from a searcher's end to its next start", 0},
	{"cold-per-s", 'k', "COUNT", 0, "requests a second that a cold searcher bears", 0},
	{"queue", 'q', "COUNT", 0, "requests that wait at a searcher; 0: slots are not limited", 0},
	{"body-max", 'B', "BYTES", 0, "body that the configuration allows", 0},
	{"head-max", 'H', "BYTES", 0, "head that the configuration allows", 0},
	{"receive-ms", 'r', "MS", 0, "how long a request may take to arrive", 0},
	{"log-runs", 'l', 0, 0, "print the sub-requests that run and are answered", 0},
	{0},
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	users_platform_t *platform = state->input;
	int *const fields[] = {['s'] = &platform->store_port,
			       ['c'] = &platform->control_port,
			       ['f'] = &platform->first_searcher_port,
			       ['n'] = &platform->shards,
			       ['w'] = &platform->work_ms,
			       ['t'] = &platform->act_timeout_ms,
			       ['a'] = &platform->advertise_offset,
			       ['b'] = &platform->restart_delay_ms,
			       ['k'] = &platform->cold_per_s,
			       ['d'] = &platform->second_store_port,
			       ['q'] = &platform->queue,
			       ['B'] = &platform->body_max_bytes,
			       ['H'] = &platform->head_max_bytes,
			       ['r'] = &platform->receive_ms};

	if (key == 'l') {
		platform->log_runs = true;
		setvbuf(stdout, NULL, _IOLBF, 0);
		return 0;
	}
	if (key <= 0 || (size_t)key >= G_N_ELEMENTS(fields) || !fields[key])
		return ARGP_ERR_UNKNOWN;
	*fields[key] = atoi(arg);
	return 0;
}

static bool start_searchers(users_platform_t *platform)
{
	for (int centre = 0; centre < DATA_CENTRES; centre++) {
		for (int i = 0; i < platform->shards; i++) {
			g_autofree char *service = g_strdup_printf("shard-%d", i);

			if (!start_searcher(platform, service, i, centre))
				return false;
		}
		if (!start_searcher(platform, "single", SHARDS_MAX, centre))
			return false;
	}
	return true;
}

static void on_signal(void *ctx, int number)
{
	(void)number;
	loop_stop(((users_platform_t *)ctx)->loop);
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		options, parse_option, NULL, "A stand-in for the users' platform.", 0, 0, 0};
	static const http_server_ops_t store = {.request = on_store,
						.disconnected = on_store_disconnected};
	static const http_server_ops_t control = {.request = on_control};
	users_platform_t platform = {.shards = 3,
				     .work_ms = 5,
				     .body_max_bytes = 8192,
				     .head_max_bytes = 4096,
				     .receive_ms = 1000,
				     .act_timeout_ms = ROUTE_TIMEOUT_MS,
				     .restart_delay_ms = 1000,
				     .born_ms = (uint64_t)g_get_real_time() / 1000};

	argp_parse(&argp, argc, argv, 0, NULL, &platform);
	platform.loop = loop_new();
	for (int i = 0; i < STORE_ENDPOINTS; i++)
		platform.endpoints[i] = (store_endpoint_t){
			.platform = &platform,
			.reopen_timer = {.fire = reopen_endpoint, .ctx = &platform.endpoints[i]}};
	platform.objects =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)json_decref);
	platform.history = g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
	platform.watches = g_ptr_array_new();
	platform.post_runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	platform.crashes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	platform.searchers = g_ptr_array_new();
	platform.tenants = json_object();
	platform.tenant_runs = json_object();
	if (platform.shards > SHARDS_MAX ||
	    !http_server_new(platform.loop, "127.0.0.1", (uint16_t)platform.store_port,
			     &HTTP_SERVER_INTERNAL_LIMITS(BODY_MAX_BYTES), &store,
			     &platform.endpoints[0]) ||
	    (platform.second_store_port &&
	     !http_server_new(platform.loop, "127.0.0.1", (uint16_t)platform.second_store_port,
			      &HTTP_SERVER_INTERNAL_LIMITS(BODY_MAX_BYTES), &store,
			      &platform.endpoints[1])) ||
	    !http_server_new(platform.loop, "127.0.0.1", (uint16_t)platform.control_port,
			     &HTTP_SERVER_INTERNAL_LIMITS(BODY_MAX_BYTES), &control, &platform) ||
	    !start_searchers(&platform)) {
		g_printerr("users-platform: cannot listen\n");
		return 1;
	}
	configure(&platform, 1);
	loop_run(platform.loop, on_signal, &platform);
	return 0;
}
