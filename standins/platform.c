/**
 * @file platform.c
 * A stand-in for the platform: an object API with versions, conditional updates and watches, and a
 * lagging list of VMs. docs/PLATFORM.md describes the protocol.
 */
#include "net/http_server.h"

#include <argp.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define VALUE_LIMIT_BYTES (1u << 20)
#define WATCH_MAX_MS 60000

typedef struct object_t {
	uint64_t version;
	char *value;
} object_t;

typedef struct platform_t {
	loop_t *loop;
	const char *address;
	int port, control_port;
	GHashTable *objects; /* "kind/name" -> object_t */
	GList *watches;	     /* watch_t */
	/* faults */
	bool down;
	uint64_t slow_us;
	uint32_t lose_replies; /* this many writes take effect and get no reply */
	/* counters */
	uint64_t reads, writes, conflicts, watch_calls;
} platform_t;

/** An open watch: answered when the object's version exceeds `version`, or at its time-out. */
typedef struct watch_t {
	platform_t *platform;
	http_exchange_t *exchange;
	char *path;
	uint64_t version;
	loop_timer_t timer;
} watch_t;

/** A reply that is delayed because the platform is set to be slow. */
typedef struct slow_reply_t {
	http_exchange_t *exchange;
	platform_t *platform;
	loop_timer_t timer;
	int status;
	char *text;
} slow_reply_t;

static void slow_reply_fire(void *ctx)
{
	slow_reply_t *slow = ctx;

	http_exchange_reply(slow->exchange, slow->status, "application/json", slow->text,
			    strlen(slow->text));
	http_exchange_unref(slow->exchange);
	free(slow->text);
	g_free(slow);
}

static void reply_json(platform_t *platform, http_exchange_t *exchange, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	if (platform->slow_us) {
		slow_reply_t *slow = g_new0(slow_reply_t, 1);

		*slow = (slow_reply_t){.exchange = http_exchange_ref(exchange),
				       .platform = platform,
				       .status = status,
				       .text = text,
				       .timer = {.fire = slow_reply_fire, .ctx = slow}};
		loop_timer_set(platform->loop, &slow->timer, platform->slow_us);
		return;
	}
	http_exchange_reply(exchange, status, "application/json", text, strlen(text));
	free(text);
}

static json_t *object_json(const object_t *object)
{
	json_t *value = json_loads(object->value, JSON_DECODE_ANY, NULL);

	return json_pack("{s:I, s:o}", "version", (json_int_t)object->version, "value",
			 value ? value : json_null());
}

static void object_free(void *data)
{
	object_t *object = data;

	g_free(object->value);
	g_free(object);
}

static void watch_end(watch_t *watch, bool changed)
{
	platform_t *platform = watch->platform;
	const object_t *object = g_hash_table_lookup(platform->objects, watch->path);

	platform->watches = g_list_remove(platform->watches, watch);
	loop_timer_cancel(&watch->timer);
	if (changed && object)
		reply_json(platform, watch->exchange, 200, object_json(object));
	else
		reply_json(platform, watch->exchange, 304, json_object());
	http_exchange_unref(watch->exchange);
	g_free(watch->path);
	g_free(watch);
}

static void watch_timeout(void *ctx)
{
	watch_end(ctx, false);
}

static void wake_watches(platform_t *platform, const char *path, uint64_t version)
{
	GList *next;

	for (GList *item = platform->watches; item; item = next) {
		watch_t *watch = item->data;

		next = item->next;
		if (g_str_equal(watch->path, path) && watch->version < version)
			watch_end(watch, true);
	}
}

static void put_object(platform_t *platform, http_exchange_t *exchange, const char *path)
{
	const char *if_version = http_exchange_param(exchange, "if_version");
	const GString *body = http_exchange_body(exchange);
	object_t *object = g_hash_table_lookup(platform->objects, path);
	uint64_t current = object ? object->version : 0;

	platform->writes++;
	if (!if_version || strtoull(if_version, NULL, 10) != current) {
		platform->conflicts++;
		reply_json(platform, exchange, 409,
			   json_pack("{s:I}", "version", (json_int_t)current));
		return;
	}
	if (!object) {
		object = g_new0(object_t, 1);
		g_hash_table_insert(platform->objects, g_strdup(path), object);
	}
	g_free(object->value);
	object->value = g_strndup(body->str, body->len);
	object->version = current + 1;
	wake_watches(platform, path, object->version);
	if (platform->lose_replies) {
		platform->lose_replies--;
		return;
	}
	reply_json(platform, exchange, 200,
		   json_pack("{s:I}", "version", (json_int_t)object->version));
}

static void watch_object(platform_t *platform, http_exchange_t *exchange, const char *path,
			 uint64_t version)
{
	const char *timeout = http_exchange_param(exchange, "timeout_ms");
	uint64_t wait_ms = timeout ? strtoull(timeout, NULL, 10) : 1000;
	watch_t *watch = g_new0(watch_t, 1);

	platform->watch_calls++;
	*watch = (watch_t){.platform = platform,
			   .exchange = http_exchange_ref(exchange),
			   .path = g_strdup(path),
			   .version = version,
			   .timer = {.fire = watch_timeout, .ctx = watch}};
	platform->watches = g_list_prepend(platform->watches, watch);
	loop_timer_set(platform->loop, &watch->timer, MIN(wait_ms, WATCH_MAX_MS) * 1000);
}

static void get_object(platform_t *platform, http_exchange_t *exchange, const char *path)
{
	const char *watch = http_exchange_param(exchange, "watch");
	const object_t *object = g_hash_table_lookup(platform->objects, path);

	if (watch) {
		uint64_t version = strtoull(watch, NULL, 10);

		if (!object || object->version <= version) {
			watch_object(platform, exchange, path, version);
			return;
		}
	}
	platform->reads++;
	if (!object)
		reply_json(platform, exchange, 404, json_pack("{s:I}", "version", (json_int_t)0));
	else
		reply_json(platform, exchange, 200, object_json(object));
}

static void on_request(void *ctx, http_exchange_t *exchange)
{
	platform_t *platform = ctx;
	const char *path = http_exchange_path(exchange);

	if (platform->down)
		return; /* an outage: no reply, as from a dead load balancer */
	if (!g_str_has_prefix(path, "/objects/"))
		reply_json(platform, exchange, 404, json_pack("{s:s}", "error", "no such path"));
	else if (g_str_equal(http_exchange_method(exchange), "PUT"))
		put_object(platform, exchange, path + strlen("/objects/"));
	else
		get_object(platform, exchange, path + strlen("/objects/"));
}

static void on_disconnected(void *ctx, http_exchange_t *exchange)
{
	platform_t *platform = ctx;

	for (GList *item = platform->watches; item; item = item->next) {
		watch_t *watch = item->data;

		if (watch->exchange == exchange) {
			watch_end(watch, false);
			return;
		}
	}
}

static void on_control(void *ctx, http_exchange_t *exchange)
{
	platform_t *platform = ctx;
	const GString *text = http_exchange_body(exchange);
	json_t *body = json_loadb(text->str, text->len, 0, NULL);
	const json_t *value;
	uint64_t slow_us = platform->slow_us;

	if ((value = json_object_get(body, "down")))
		platform->down = json_is_true(value);
	if ((value = json_object_get(body, "slow_ms")))
		slow_us = (uint64_t)json_integer_value(value) * 1000;
	if ((value = json_object_get(body, "lose_replies")))
		platform->lose_replies = (uint32_t)json_integer_value(value);
	json_decref(body);
	platform->slow_us = 0; /* replies of the control port are not delayed */
	reply_json(platform, exchange, 200,
		   json_pack("{s:I, s:I, s:I, s:I, s:i}", "reads", (json_int_t)platform->reads,
			     "writes", (json_int_t)platform->writes, "conflicts",
			     (json_int_t)platform->conflicts, "watch_calls",
			     (json_int_t)platform->watch_calls, "watches",
			     (int)g_list_length(platform->watches)));
	platform->slow_us = slow_us;
}

static void on_signal(void *ctx, int number)
{
	platform_t *platform = ctx;

	(void)number;
	loop_stop(platform->loop);
}

static const struct argp_option options[] = {
	{"address", 'a', "IP", 0, "address to listen on (127.0.0.1)", 0},
	{"port", 'p', "PORT", 0, "port of the object API", 0},
	{"control", 'c', "PORT", 0, "port for faults and counters", 0},
	{0},
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	platform_t *platform = state->input;

	switch (key) {
	case 'a':
		platform->address = arg;
		return 0;
	case 'p':
		platform->port = atoi(arg);
		return 0;
	case 'c':
		platform->control_port = atoi(arg);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	static const struct argp argp = {options, parse_option, NULL, "A stand-in platform.", 0, 0,
					 0};
	static const http_server_ops_t ops = {.request = on_request,
					      .disconnected = on_disconnected};
	static const http_server_ops_t control = {.request = on_control};
	platform_t platform = {.address = "127.0.0.1"};

	argp_parse(&argp, argc, argv, 0, NULL, &platform);
	platform.loop = loop_new();
	platform.objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, object_free);
	if (!http_server_new(platform.loop, platform.address, (uint16_t)platform.port,
			     &HTTP_SERVER_INTERNAL_LIMITS(VALUE_LIMIT_BYTES), &ops, &platform) ||
	    !http_server_new(platform.loop, platform.address, (uint16_t)platform.control_port,
			     &HTTP_SERVER_INTERNAL_LIMITS(VALUE_LIMIT_BYTES), &control,
			     &platform)) {
		g_printerr("platform: cannot listen on port %d or %d\n", platform.port,
			   platform.control_port);
		return 1;
	}
	loop_run(platform.loop, on_signal, &platform);
	return 0;
}
