/**
 * @file users_platform.c
 * A stand-in for the users' platform: its store and the searchers that register there, in one
 * process.
 *
 * Services: shard-0, shard-1, ... and single, each with a searcher in every data centre. The
 * control address takes GET /do?action=...; docs/QUESTIONS.md names the pages that it follows.
 *
 * A request whose path holds "crash" ends each searcher that runs it: its connections break, its
 * port is closed, and it starts again a while later. "crash=shard-N" ends those of one shard only.
 *
 * The store has two doors, each with an address of its own, so that it can turn some VMs away and
 * serve the others: it may be busy there, or silent, when it takes calls and answers none of them.
 *
 * The store may be brought back from a copy (copy, then restore): its era rises. What operators and
 * searchers wrote since is written again by the actions that wrote it.
 */
#include "net/http_server.h"

#include <argp.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SHARDS_MOST 16
#define RECORDS 8
#define HISTORY_MOST 512
#define DATA_CENTRES 2
#define BODY_MOST_BYTES (1u << 20)
/* Such a request must not reach searchers often once three have ended under it and this long has
 * passed: the settle time of the users' pages. */
#define SETTLE_US 5000000
#define CRASHES_MOST 3
/* The rest of a searcher that has ended for having been pressed. */
#define COLD_MS 3000

typedef enum manner_t {
	MANNER_OK,
	MANNER_HANG,
	MANNER_SHED,
	MANNER_FAIL,
	MANNER_FOREIGN,
	MANNER_CUT, /* closes the connection in place of an answer */
} manner_t;

/** What callers of the store meet at one of its addresses. */
typedef enum door_state_t {
	DOOR_OPEN,
	DOOR_BUSY,   /* 503 */
	DOOR_SILENT, /* takes calls, and answers none, later neither */
	DOOR_RESET,  /* closes the connection in place of an answer */
} door_state_t;

typedef struct door_t {
	struct users_t *users;
	door_state_t state;
	/* Silent until so long after the first call for the configuration that comes past this
	 * time; 0: until it is told otherwise. */
	uint64_t swallow_from_us;
	loop_timer_t opens;
} door_t;

#define DOORS 2
/* From the call that is swallowed last to the store's return. */
#define SWALLOWED_US 50000

typedef struct users_t {
	loop_t *loop;
	door_t doors[DOORS];
	int side_port;	/* of the second door; 0: there is none */
	int pad_routes; /* in each configuration to come */
	int store_port, control_port, searchers_from, shards, work_ms, advertise, back_ms;
	int cold_per_s;	     /* requests a second that a cold searcher bears; 0: any number */
	GHashTable *posted;  /* id of a POST to how often it ran */
	GHashTable *crashes; /* path to crashes_t */
	GHashTable *objects; /* "kind/name" to json_t */
	GPtrArray *history;  /* json_t events, each with "rev" and "kind" */
	GPtrArray *watches;  /* watch_t */
	GPtrArray *searchers;
	uint64_t revision;
	uint64_t born_ms;   /* when this program started */
	uint64_t forgotten; /* revision up to which history is gone */
	uint64_t calls;
	uint64_t era;
	GHashTable *copy;	/* what the objects were when a copy was made; NULL: none was */
	uint64_t copy_revision; /* and the revision */
} users_t;

/** What became of a request that ends searchers. */
typedef struct crashes_t {
	uint32_t ended;	    /**< searchers */
	GHashTable *all;    /**< ids of attempts that reached a searcher */
	uint64_t enough_us; /**< when the third one ended; 0: not yet */
	GHashTable *late;   /**< ids of attempts that reached a searcher SETTLE_US after that */
} crashes_t;

typedef struct watch_t {
	users_t *users;
	door_t *door;
	http_exchange_t *exchange;
	char *kind;
	uint64_t since;
	loop_timer_t timer;
} watch_t;

typedef struct searcher_t {
	users_t *users;
	char id[32];
	char service[32];
	int number;
	int port;
	const char *data_centre;
	http_server_t *server;
	uint64_t born_ms;
	uint64_t cold_until_us; /* when it is warm */
	GArray *cold_us;	/* times of what reached it while it is cold */
	uint64_t pressed;	/* times that it ended for having been pressed */
	uint64_t seq;		/* of its entry */
	uint64_t cold_ms;	/* that its next entry tells */
	loop_timer_t back;	/* when it starts again */
	manner_t manner;
	uint64_t runs;
	uint64_t left; /* callers that closed while it worked */
} searcher_t;

typedef struct job_t {
	searcher_t *searcher;
	http_exchange_t *exchange; /* NULL once the caller has gone */
	loop_timer_t timer;
} job_t;

/* ---- the store ---- */

static void add_era(const users_t *users, http_exchange_t *exchange)
{
	g_autofree char *era = g_strdup_printf("%" G_GUINT64_FORMAT, users->era);

	http_exchange_add_header(exchange, "Store-Era", era);
}

static void reply_json(http_exchange_t *exchange, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	http_exchange_reply(exchange, status, "application/json", text, strlen(text));
	free(text);
	json_decref(body);
}

static json_t *events_since(const users_t *users, const char *kind, uint64_t since)
{
	json_t *events = json_array();

	for (guint i = 0; i < users->history->len; i++) {
		json_t *event = g_ptr_array_index(users->history, i);

		if ((uint64_t)json_integer_value(json_object_get(event, "rev")) > since &&
		    g_str_equal(json_string_value(json_object_get(event, "kind")), kind))
			json_array_append(events, event);
	}
	return events;
}

static void end_watch(watch_t *watch)
{
	users_t *users = watch->users;

	add_era(users, watch->exchange);
	reply_json(watch->exchange, 200,
		   json_pack("{s:o,s:I}", "events", events_since(users, watch->kind, watch->since),
			     "as-of", (json_int_t)users->revision));
	loop_timer_cancel(&watch->timer);
	g_ptr_array_remove(users->watches, watch);
	http_exchange_unref(watch->exchange);
	g_free(watch->kind);
	g_free(watch);
}

static void watch_over(void *ctx)
{
	end_watch(ctx);
}

static void wake_watches(users_t *users, const char *kind)
{
	for (guint i = users->watches->len; i-- > 0;) {
		watch_t *watch = g_ptr_array_index(users->watches, i);

		if (g_str_equal(watch->kind, kind))
			end_watch(watch);
	}
}

/* @p spec is taken over; NULL removes the object. */
static void put(users_t *users, const char *kind, const char *name, json_t *spec)
{
	g_autofree char *key = g_strdup_printf("%s/%s", kind, name);
	json_t *object =
		json_pack("{s:{s:s,s:I},s:o}", "meta", "name", name, "revision",
			  (json_int_t)++users->revision, "spec", spec ? spec : json_null());

	g_ptr_array_add(users->history,
			json_pack("{s:I,s:s,s:b,s:O}", "rev", (json_int_t)users->revision, "kind",
				  kind, "deleted", spec == NULL, "object", object));
	if (users->history->len > HISTORY_MOST)
		g_ptr_array_remove_index(users->history, 0);
	if (spec)
		g_hash_table_insert(users->objects, g_strdup(key), json_incref(object));
	else
		g_hash_table_remove(users->objects, key);
	json_decref(object);
	wake_watches(users, kind);
}

static void list(users_t *users, http_exchange_t *exchange, const char *kind)
{
	g_autofree char *prefix = g_strdup_printf("%s/", kind);
	json_t *items = json_array();
	GHashTableIter iter;
	gpointer key, object;

	g_hash_table_iter_init(&iter, users->objects);
	while (g_hash_table_iter_next(&iter, &key, &object))
		if (g_str_has_prefix(key, prefix))
			json_array_append(items, object);
	reply_json(exchange, 200,
		   json_pack("{s:o,s:b,s:I}", "items", items, "more", 0, "as-of",
			     (json_int_t)users->revision));
}

static void watch(door_t *door, http_exchange_t *exchange, const char *kind)
{
	users_t *users = door->users;
	uint64_t since = strtoull(http_exchange_param(exchange, "watch"), NULL, 10);
	const char *wait = http_exchange_param(exchange, "wait-ms");
	watch_t *watch;

	if (since < users->forgotten || since > users->revision) {
		add_era(users, exchange);
		reply_json(exchange, 410, json_object());
		return;
	}
	watch = g_new0(watch_t, 1);
	watch->users = users;
	watch->door = door;
	watch->exchange = http_exchange_ref(exchange);
	watch->kind = g_strdup(kind);
	watch->since = since;
	g_ptr_array_add(users->watches, watch);
	watch->timer = (loop_timer_t){.fire = watch_over, .ctx = watch};
	loop_timer_set(users->loop, &watch->timer, strtoull(wait ? wait : "0", NULL, 10) * 1000);
	if (users->revision > since) {
		json_t *events = events_since(users, kind, since);
		bool some = json_array_size(events) > 0;

		json_decref(events);
		if (some)
			end_watch(watch);
	}
}

static void write_object(users_t *users, http_exchange_t *exchange, const char *kind,
			 const char *name)
{
	json_t *body = json_loads(http_exchange_body(exchange)->str, 0, NULL);
	const char *own = json_string_value(json_object_get(json_object_get(body, "meta"), "name"));
	g_autofree char *key = g_strdup_printf("%s/%s", kind, name ? name : own ? own : "");
	bool exists = g_hash_table_contains(users->objects, key);

	if (!own)
		reply_json(exchange, 400, json_object());
	else if (!name && exists)
		reply_json(exchange, 409, json_object());
	else {
		put(users, kind, own, json_incref(json_object_get(body, "spec")));
		reply_json(exchange, 200, json_object());
	}
	json_decref(body);
}

static void delete_object(users_t *users, http_exchange_t *exchange, const char *kind,
			  const char *name)
{
	g_autofree char *key = g_strdup_printf("%s/%s", kind, name);
	bool exists = g_hash_table_contains(users->objects, key);

	if (exists)
		put(users, kind, name, NULL);
	reply_json(exchange, exists ? 200 : 404, json_object());
}

static void open_door(void *ctx)
{
	((door_t *)ctx)->state = DOOR_OPEN;
}

/* Watches that wait are swallowed with what comes from now on. */
static void swallow_watches(door_t *door)
{
	users_t *users = door->users;

	for (guint i = users->watches->len; i-- > 0;) {
		watch_t *watch = g_ptr_array_index(users->watches, i);

		if (watch->door != door)
			continue;
		loop_timer_cancel(&watch->timer);
		g_ptr_array_remove_index(users->watches, i);
		g_free(watch->kind);
		g_free(watch);
	}
}

static void set_door(door_t *door, door_state_t state, uint64_t swallow_after_ms)
{
	loop_timer_cancel(&door->opens);
	door->state = state;
	door->swallow_from_us = swallow_after_ms ? loop_now_us() + swallow_after_ms * 1000 : 0;
	if (state == DOOR_SILENT)
		swallow_watches(door);
}

/* False when the door is closed to the call. */
static bool pass_door(door_t *door, http_exchange_t *exchange)
{
	switch (door->state) {
	case DOOR_OPEN:
		return true;
	case DOOR_BUSY:
		http_exchange_reply(exchange, 503, NULL, "", 0);
		break;
	case DOOR_RESET:
		http_exchange_abort(exchange);
		break;
	case DOOR_SILENT:
		if (door->swallow_from_us && loop_now_us() >= door->swallow_from_us &&
		    !door->opens.entry.heap_position &&
		    g_str_has_prefix(http_exchange_path(exchange), "/objects/config"))
			loop_timer_set(door->users->loop, &door->opens, SWALLOWED_US);
		break;
	}
	return false;
}

static void on_store(void *ctx, http_exchange_t *exchange)
{
	door_t *door = ctx;
	users_t *users = door->users;
	g_auto(GStrv) path = g_strsplit(http_exchange_path(exchange), "/", 0);
	guint parts = g_strv_length(path);

	users->calls++;
	if (!pass_door(door, exchange))
		return;
	if (parts < 3) {
		http_exchange_reply(exchange, 404, NULL, "", 0);
		return;
	}
	if (!http_exchange_param(exchange, "watch"))
		add_era(users, exchange);
	if (g_str_equal(http_exchange_method(exchange), "DELETE") && parts > 3)
		delete_object(users, exchange, path[2], path[3]);
	else if (!g_str_equal(http_exchange_method(exchange), "GET"))
		write_object(users, exchange, path[2], parts > 3 ? path[3] : NULL);
	else if (http_exchange_param(exchange, "watch"))
		watch(door, exchange, path[2]);
	else
		list(users, exchange, path[2]);
}

/* Objects are replaced, never changed. */
static GHashTable *copy_of(GHashTable *objects)
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

static void make_copy(users_t *users)
{
	if (users->copy)
		g_hash_table_unref(users->copy);
	users->copy = copy_of(users->objects);
	users->copy_revision = users->revision;
}

/* Revisions go back and are given out again; watches that wait are cut off. */
static void come_back_from_copy(users_t *users)
{
	if (!users->copy)
		return;
	users->era++;
	g_hash_table_unref(users->objects);
	users->objects = copy_of(users->copy);
	users->revision = users->copy_revision;
	users->forgotten = users->copy_revision;
	g_ptr_array_set_size(users->history, 0);
	while (users->watches->len)
		end_watch(g_ptr_array_index(users->watches, 0));
}

static void on_store_gone(void *ctx, http_exchange_t *exchange)
{
	users_t *users = ((door_t *)ctx)->users;

	for (guint i = 0; i < users->watches->len; i++) {
		watch_t *watch = g_ptr_array_index(users->watches, i);

		if (watch->exchange == exchange) {
			end_watch(watch);
			return;
		}
	}
}

/* ---- searchers ---- */

/* Records that tell the shard and their rank, so that a test can say what the merge must be. */
static void write_records(const searcher_t *searcher, GString *out)
{
	for (int i = 0; i < RECORDS; i++)
		g_string_append_printf(out, "%06d-%04d-%04d",
				       (RECORDS - i) * 100 + searcher->number, searcher->number, i);
}

static crashes_t *crashes_of(users_t *users, const char *path)
{
	crashes_t *crashes = g_hash_table_lookup(users->crashes, path);

	if (crashes)
		return crashes;
	crashes = g_new0(crashes_t, 1);
	crashes->all = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	crashes->late = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_insert(users->crashes, g_strdup(path), crashes);
	return crashes;
}

static bool is_crashed_by(const searcher_t *searcher, http_exchange_t *exchange)
{
	const char *found = strstr(http_exchange_path(exchange), "crash");
	const char *only = found && found[5] == '=' ? found + 6 : NULL;

	return found && (!only || g_str_equal(only, searcher->service));
}

static void note_arrival(searcher_t *searcher, http_exchange_t *exchange)
{
	const char *id = http_exchange_header(exchange, "Dogwoodsaddle-Request-Id");
	crashes_t *crashes;

	if (!is_crashed_by(searcher, exchange))
		return;
	crashes = crashes_of(searcher->users, http_exchange_path(exchange));
	g_hash_table_add(crashes->all, g_strdup(id ? id : ""));
	if (crashes->enough_us && loop_now_us() > crashes->enough_us + SETTLE_US)
		g_hash_table_add(crashes->late, g_strdup(id ? id : ""));
}

/* Whatever else it works on is lost with it. */
static void crash(searcher_t *searcher, crashes_t *crashes)
{
	http_server_t *server = searcher->server;

	if (++crashes->ended == CRASHES_MOST)
		crashes->enough_us = loop_now_us();
	searcher->server = NULL;
	loop_timer_set(searcher->users->loop, &searcher->back,
		       (uint64_t)searcher->users->back_ms * 1000);
	http_server_free(server);
}

static void answer(void *ctx)
{
	job_t *job = ctx;
	searcher_t *searcher = job->searcher;
	http_exchange_t *exchange = job->exchange;
	g_autoptr(GString) body = g_string_new(NULL);
	g_autofree char *stamp = NULL;
	const char *id;

	if (exchange && is_crashed_by(searcher, exchange)) {
		crash(searcher, crashes_of(searcher->users, http_exchange_path(exchange)));
		return;
	}
	if (exchange && searcher->manner == MANNER_CUT) {
		http_exchange_abort(exchange);
		return;
	}
	if (exchange) {
		id = http_exchange_header(exchange, "Dogwoodsaddle-Request-Id");
		stamp = g_strdup_printf("%s.%s", searcher->id, id ? id : "");
		write_records(searcher, body);
		http_exchange_set_data(exchange, NULL);
		http_exchange_add_header(exchange, "Dogwoodsaddle-Request-Id",
					 searcher->manner == MANNER_FOREIGN ? "other" : id);
		http_exchange_add_header(exchange, "Dogwoodsaddle-Response-Signature", stamp);
		http_exchange_add_header(exchange, "Dogwoodsaddle-Server-Load", "1,0,2,100");
		http_exchange_reply(exchange, searcher->manner == MANNER_FAIL ? 500 : 200, NULL,
				    body->str, body->len);
		http_exchange_unref(exchange);
	}
	g_free(job);
}

static void note_posted(users_t *users, http_exchange_t *exchange)
{
	const char *id = http_exchange_header(exchange, "Dogwoodsaddle-Request-Id");
	guint times;

	if (!id || !g_str_equal(http_exchange_method(exchange), "POST"))
		return;
	times = GPOINTER_TO_UINT(g_hash_table_lookup(users->posted, id));
	g_hash_table_insert(users->posted, g_strdup(id), GUINT_TO_POINTER(times + 1));
}

static json_t *posted(const users_t *users)
{
	json_t *all = json_object();
	GHashTableIter iter;
	gpointer id, times;

	g_hash_table_iter_init(&iter, users->posted);
	while (g_hash_table_iter_next(&iter, &id, &times))
		json_object_set_new(all, id, json_integer(GPOINTER_TO_UINT(times)));
	return all;
}

static void run(searcher_t *searcher, http_exchange_t *exchange)
{
	job_t *job = g_new0(job_t, 1);

	searcher->runs++;
	note_arrival(searcher, exchange);
	note_posted(searcher->users, exchange);
	job->searcher = searcher;
	job->exchange = http_exchange_ref(exchange);
	job->timer = (loop_timer_t){.fire = answer, .ctx = job};
	http_exchange_set_data(exchange, job);
	if (searcher->manner != MANNER_HANG)
		loop_timer_set(searcher->users->loop, &job->timer,
			       (uint64_t)searcher->users->work_ms * 1000);
}

/* By the users' rule: more than half beyond what it bears, and five, in one second. */
static bool is_pressed(searcher_t *searcher)
{
	uint64_t now_us = loop_now_us();
	uint32_t within = 0;

	if (!searcher->users->cold_per_s || now_us >= searcher->cold_until_us)
		return false;
	g_array_append_val(searcher->cold_us, now_us);
	for (guint i = 0; i < searcher->cold_us->len; i++)
		within += g_array_index(searcher->cold_us, uint64_t, i) + 1000000 > now_us;
	return within > searcher->users->cold_per_s * 1.5 + 5;
}

/* It ends, and starts again cold. */
static void end_pressed(searcher_t *searcher)
{
	http_server_t *server = searcher->server;

	searcher->pressed++;
	searcher->server = NULL;
	searcher->cold_ms = COLD_MS;
	loop_timer_set(searcher->users->loop, &searcher->back,
		       (uint64_t)searcher->users->back_ms * 1000);
	http_server_free(server);
}

static void on_searcher(void *ctx, http_exchange_t *exchange)
{
	searcher_t *searcher = ctx;
	const char *expected = http_exchange_header(exchange, "Dogwoodsaddle-Expected-Instance");

	if (expected && !g_str_equal(expected, searcher->id)) {
		http_exchange_reply(exchange, 421, NULL, "", 0);
	} else if (is_pressed(searcher)) {
		end_pressed(searcher);
	} else if (searcher->manner == MANNER_SHED) {
		http_exchange_add_header(exchange, "Dogwoodsaddle-Not-Executed", "1");
		http_exchange_reply(exchange, 503, NULL, "", 0);
	} else {
		run(searcher, exchange);
	}
}

static void on_searcher_gone(void *ctx, http_exchange_t *exchange)
{
	searcher_t *searcher = ctx;
	job_t *job = http_exchange_data(exchange);

	if (!job)
		return;
	searcher->left++;
	loop_timer_cancel(&job->timer);
	http_exchange_unref(job->exchange);
	g_free(job);
}

static void register_searcher(searcher_t *searcher, const char *state)
{
	g_autofree char *address =
		g_strdup_printf("127.0.0.1:%d", searcher->port + searcher->users->advertise);

	searcher->cold_until_us = loop_now_us() + searcher->cold_ms * 1000;
	g_array_set_size(searcher->cold_us, 0);
	put(searcher->users, "servers", searcher->id,
	    json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:I,s:I,s:I}", "service", searcher->service,
		      "address", address, "zone", searcher->data_centre, "version", "v1", "slots",
		      2, "state", state, "cold-remaining-ms", (json_int_t)searcher->cold_ms, "seq",
		      (json_int_t)++searcher->seq, "born", (json_int_t)searcher->born_ms));
}

static bool listen_at_port(searcher_t *searcher)
{
	static const http_server_ops_t ops = {.request = on_searcher,
					      .disconnected = on_searcher_gone};

	searcher->server =
		http_server_new(searcher->users->loop, "127.0.0.1", (uint16_t)searcher->port,
				&HTTP_SERVER_INTERNAL_LIMITS(BODY_MOST_BYTES), &ops, searcher);
	return searcher->server != NULL;
}

static void start_again(void *ctx)
{
	searcher_t *searcher = ctx;

	searcher->born_ms++;
	if (!listen_at_port(searcher))
		g_error("event=searcher-failed port=%d", searcher->port);
	register_searcher(searcher, "ready");
}

static bool start_searcher(users_t *users, const char *service, int number, int data_centre)
{
	static const char *const names[DATA_CENTRES] = {"here", "there"};
	searcher_t *searcher = g_new0(searcher_t, 1);

	searcher->users = users;
	searcher->number = number;
	searcher->port = users->searchers_from + (int)users->searchers->len;
	searcher->data_centre = names[data_centre];
	g_strlcpy(searcher->service, service, sizeof(searcher->service));
	g_snprintf(searcher->id, sizeof(searcher->id), "i-%s-%s", service, names[data_centre]);
	searcher->born_ms = users->born_ms;
	searcher->cold_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	searcher->back = (loop_timer_t){.fire = start_again, .ctx = searcher};
	g_ptr_array_add(users->searchers, searcher);
	if (!listen_at_port(searcher))
		return false;
	register_searcher(searcher, "ready");
	return true;
}

/* ---- configuration ---- */

static json_t *route(const char *name, const char *host, const char *prefix, const char *type)
{
	return json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:i,s:f}", "name", name, "host", host,
			 "path-prefix", prefix, "route-type", type, "timeout-ms", 1500,
			 "target-latency-ms", 300, "priority", 1, "max-attempts", 2, "top-k", 5,
			 "min-coverage", 0.6);
}

static void configure(users_t *users, int version)
{
	json_t *find = route("find", "find.example", "/find/", "idempotent");
	json_t *get = route("get", "get.example", "/get/", "idempotent");
	json_t *act = route("act", "get.example", "/get/act/", "non_idempotent");
	json_t *home = route("home", "home.example", "/home/", "idempotent");
	json_t *kept = route("kept", "home.example", "/kept/", "idempotent");
	json_t *shards = json_array(), *services = json_array();
	json_t *routes = json_pack("[o,o,o,o,o]", find, get, act, home, kept);

	for (int i = 0; i < users->shards; i++) {
		g_autofree char *name = g_strdup_printf("shard-%d", i);

		json_array_append_new(shards, json_string(name));
		json_array_append_new(services, json_pack("{s:s,s:i,s:i,s:i}", "name", name,
							  "max-connections", 25, "cold-start-s", 3,
							  "cold-per-s", users->cold_per_s));
	}
	json_array_append_new(services,
			      json_pack("{s:s,s:i,s:i,s:i}", "name", "single", "max-connections",
					25, "cold-start-s", 3, "cold-per-s", users->cold_per_s));
	for (int i = 0; i < users->pad_routes; i++) {
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
	put(users, "config", "main",
	    json_pack("{s:i,s:o,s:o,s:{s:i,s:i,s:i,s:i}}", "version", version, "routes", routes,
		      "services", services, "limits", "max-header-bytes", 4096, "max-body-bytes",
		      8192, "header-timeout-ms", 1000, "idle-timeout-ms", 5000));
}

/* ---- control ---- */

static void set_manner(users_t *users, const char *id, manner_t manner)
{
	for (guint i = 0; i < users->searchers->len; i++) {
		searcher_t *searcher = g_ptr_array_index(users->searchers, i);

		if (g_str_has_prefix(searcher->id, id))
			searcher->manner = manner;
	}
}

/* Each entry that is written from now on is of a new start. */
static void set_born(users_t *users)
{
	for (guint i = 0; i < users->searchers->len; i++)
		((searcher_t *)g_ptr_array_index(users->searchers, i))->born_ms++;
}

/* They say that they are cold for so long. */
static void set_cold(users_t *users, const char *id, uint64_t cold_ms)
{
	for (guint i = 0; i < users->searchers->len; i++) {
		searcher_t *searcher = g_ptr_array_index(users->searchers, i);

		if (!g_str_has_prefix(searcher->id, id))
			continue;
		searcher->cold_ms = cold_ms;
		register_searcher(searcher, "ready");
	}
}

static void set_state(users_t *users, const char *id, const char *state)
{
	for (guint i = 0; i < users->searchers->len; i++) {
		searcher_t *searcher = g_ptr_array_index(users->searchers, i);

		if (g_str_has_prefix(searcher->id, id) && state)
			register_searcher(searcher, state);
		else if (g_str_has_prefix(searcher->id, id))
			put(users, "servers", searcher->id, NULL);
	}
}

static json_t *crashes_told(const users_t *users)
{
	json_t *all = json_object();
	GHashTableIter iter;
	gpointer path, value;

	g_hash_table_iter_init(&iter, users->crashes);
	while (g_hash_table_iter_next(&iter, &path, &value)) {
		const crashes_t *crashes = value;

		json_object_set_new(all, path,
				    json_pack("{s:i,s:i,s:i}", "ended", (int)crashes->ended,
					      "reached", (int)g_hash_table_size(crashes->all),
					      "late", (int)g_hash_table_size(crashes->late)));
	}
	return all;
}

static json_t *counts(const users_t *users)
{
	json_t *runs = json_object(), *left = json_object();
	uint64_t pressed = 0;

	for (guint i = 0; i < users->searchers->len; i++) {
		searcher_t *searcher = g_ptr_array_index(users->searchers, i);

		pressed += searcher->pressed;
		json_object_set_new(runs, searcher->id, json_integer((json_int_t)searcher->runs));
		json_object_set_new(left, searcher->id, json_integer((json_int_t)searcher->left));
	}
	return json_pack("{s:b,s:I,s:o,s:o,s:o,s:o,s:I}", "open",
			 users->doors[0].state == DOOR_OPEN, "pressed", (json_int_t)pressed, "runs",
			 runs, "left", left, "posted", posted(users), "crashes",
			 crashes_told(users), "store_calls", (json_int_t)users->calls);
}

static door_state_t door_state_of(const char *name)
{
	static const char *const names[] = {"open", "busy", "silent", "reset"};

	for (size_t i = 0; name && i < G_N_ELEMENTS(names); i++)
		if (g_str_equal(name, names[i]))
			return (door_state_t)i;
	return DOOR_OPEN;
}

static void on_control(void *ctx, http_exchange_t *exchange)
{
	static const char *const manners[] = {"ok", "hang", "shed", "fail", "foreign", "cut"};
	users_t *users = ctx;
	const char *action = http_exchange_param(exchange, "action");
	const char *id = http_exchange_param(exchange, "id");
	const char *number = http_exchange_param(exchange, "n");

	for (size_t i = 0; action && id && i < G_N_ELEMENTS(manners); i++)
		if (g_str_equal(action, manners[i]))
			set_manner(users, id, (manner_t)i);
	if (!g_strcmp0(action, "drain"))
		set_state(users, id, "draining");
	else if (!g_strcmp0(action, "remove"))
		set_state(users, id, NULL);
	else if (!g_strcmp0(action, "ready"))
		set_state(users, id, "ready");
	else if (!g_strcmp0(action, "spoil"))
		set_state(users, id, "no such state");
	else if (!g_strcmp0(action, "born"))
		set_born(users);
	else if (!g_strcmp0(action, "down"))
		set_door(&users->doors[0], atoi(number) ? DOOR_BUSY : DOOR_OPEN, 0);
	else if (!g_strcmp0(action, "silent"))
		set_door(&users->doors[0], DOOR_SILENT, strtoull(number, NULL, 10));
	else if (!g_strcmp0(action, "side"))
		set_door(&users->doors[1], door_state_of(id), 0);
	else if (!g_strcmp0(action, "pad"))
		users->pad_routes = atoi(number);
	else if (!g_strcmp0(action, "forget"))
		users->forgotten = users->revision + 1;
	else if (!g_strcmp0(action, "evacuate"))
		put(users, "evacuations", id, json_object());
	else if (!g_strcmp0(action, "reopen"))
		put(users, "evacuations", id, NULL);
	else if (!g_strcmp0(action, "cold"))
		set_cold(users, id, strtoull(number, NULL, 10));
	else if (!g_strcmp0(action, "copy"))
		make_copy(users);
	else if (!g_strcmp0(action, "restore"))
		come_back_from_copy(users);
	else if (!g_strcmp0(action, "configure"))
		configure(users, atoi(number));
	reply_json(exchange, 200, counts(users));
}

/* ---- start ---- */

static const struct argp_option options[] = {
	{"store", 's', "PORT", 0, "the store's port", 0},
	{"side", 'd', "PORT", 0, "the port of the store's second address", 0},
	{"control", 'c', "PORT", 0, "the control address's port", 0},
	{"searchers", 'f', "PORT", 0, "the first searcher's port", 0},
	{"shards", 'n', "COUNT", 0, "shards of the route that gathers", 0},
	{"advertise", 'a', "OFFSET", 0, "searchers register ports higher by this", 0},
	{"work-ms", 'w', "MS", 0, "how long a searcher works", 0},
	{"back-ms", 'b', "MS", 0, "from a searcher's end to its next start", 0},
	{"cold-per-s", 'k', "COUNT", 0, "requests a second that a cold searcher bears", 0},
	{0},
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	users_t *users = state->input;
	int *const fields[] = {['s'] = &users->store_port,     ['c'] = &users->control_port,
			       ['f'] = &users->searchers_from, ['n'] = &users->shards,
			       ['w'] = &users->work_ms,	       ['a'] = &users->advertise,
			       ['b'] = &users->back_ms,	       ['k'] = &users->cold_per_s,
			       ['d'] = &users->side_port};

	if (key <= 0 || (size_t)key >= G_N_ELEMENTS(fields) || !fields[key])
		return ARGP_ERR_UNKNOWN;
	*fields[key] = atoi(arg);
	return 0;
}

static bool start_searchers(users_t *users)
{
	for (int centre = 0; centre < DATA_CENTRES; centre++) {
		for (int i = 0; i < users->shards; i++) {
			g_autofree char *service = g_strdup_printf("shard-%d", i);

			if (!start_searcher(users, service, i, centre))
				return false;
		}
		if (!start_searcher(users, "single", SHARDS_MOST, centre))
			return false;
	}
	return true;
}

static void on_signal(void *ctx, int number)
{
	(void)number;
	loop_stop(((users_t *)ctx)->loop);
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		options, parse_option, NULL, "A stand-in for the users' platform.", 0, 0, 0};
	static const http_server_ops_t store = {.request = on_store, .disconnected = on_store_gone};
	static const http_server_ops_t control = {.request = on_control};
	users_t users = {.shards = 3,
			 .work_ms = 5,
			 .back_ms = 1000,
			 .born_ms = (uint64_t)g_get_real_time() / 1000};

	argp_parse(&argp, argc, argv, 0, NULL, &users);
	users.loop = loop_new();
	for (int i = 0; i < DOORS; i++)
		users.doors[i] = (door_t){.users = &users,
					  .opens = {.fire = open_door, .ctx = &users.doors[i]}};
	users.objects =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)json_decref);
	users.history = g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
	users.watches = g_ptr_array_new();
	users.posted = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	users.crashes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	users.searchers = g_ptr_array_new();
	if (users.shards > SHARDS_MOST ||
	    !http_server_new(users.loop, "127.0.0.1", (uint16_t)users.store_port,
			     &HTTP_SERVER_INTERNAL_LIMITS(BODY_MOST_BYTES), &store,
			     &users.doors[0]) ||
	    (users.side_port && !http_server_new(users.loop, "127.0.0.1", (uint16_t)users.side_port,
						 &HTTP_SERVER_INTERNAL_LIMITS(BODY_MOST_BYTES),
						 &store, &users.doors[1])) ||
	    !http_server_new(users.loop, "127.0.0.1", (uint16_t)users.control_port,
			     &HTTP_SERVER_INTERNAL_LIMITS(BODY_MOST_BYTES), &control, &users) ||
	    !start_searchers(&users)) {
		g_printerr("users-platform: cannot listen\n");
		return 1;
	}
	configure(&users, 1);
	loop_run(users.loop, on_signal, &users);
	return 0;
}
