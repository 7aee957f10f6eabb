/**
 * @file client.c
 * See client.h.
 */
#include "tool/client.h"

#include "net/http_pool.h"

#include <stdlib.h>
#include <string.h>

#define CALL_TIMEOUT_US 8000000

struct client_t {
	loop_t *loop;
	http_pool_t *pool;
	char **addresses;
	char *headers;
};

/** A call in progress; the loop runs until it has finished. */
typedef struct tool_call_t {
	client_t *client;
	http_call_t *call;
	loop_timer_t timer;
	json_t *reply;
	int status;
} tool_call_t;

client_t *client_new(const char *addresses, const char *token)
{
	client_t *client = g_new0(client_t, 1);

	client->loop = loop_new();
	client->pool = http_pool_new(client->loop, NULL, 1);
	client->addresses = g_strsplit(addresses, ",", 0);
	client->headers = g_strdup_printf("authorization: Bearer %s\r\n", token);
	return client;
}

uint32_t client_count(const client_t *client)
{
	return g_strv_length(client->addresses);
}

const char *client_address(const client_t *client, uint32_t index)
{
	return client->addresses[index];
}

static void call_finished(void *ctx, http_call_t *call)
{
	tool_call_t *pending = ctx;
	const GString *text = http_call_reply(call);

	loop_timer_cancel(&pending->timer);
	if (http_call_result(call) == HTTP_CALL_REPLIED) {
		pending->status = http_call_status(call);
		pending->reply = json_loadb(text->str, text->len, JSON_DECODE_ANY, NULL);
	}
	loop_stop(pending->client->loop);
}

static void call_timeout(void *ctx)
{
	http_call_cancel(((tool_call_t *)ctx)->call);
}

static void on_signal(void *ctx, int number)
{
	(void)ctx;
	exit(128 + number);
}

json_t *client_call(client_t *client, uint32_t index, const char *path, const json_t *body,
		    int *status)
{
	g_auto(GStrv) parts = g_strsplit(client->addresses[index], ":", 2);
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
	tool_call_t pending = {.client = client};
	http_request_t http = {.method = body ? "POST" : "GET",
			       .address = parts[0],
			       .port = (uint16_t)(parts[1] ? atoi(parts[1]) : 0),
			       .path = path,
			       .headers = client->headers,
			       .body = text,
			       .body_bytes = text ? strlen(text) : 0,
			       .finished = call_finished,
			       .ctx = &pending};

	pending.timer = (loop_timer_t){.fire = call_timeout, .ctx = &pending};
	loop_timer_set(client->loop, &pending.timer, CALL_TIMEOUT_US);
	pending.call = http_pool_start(client->pool, 0, &http);
	loop_run(client->loop, on_signal, NULL);
	free(text);
	*status = pending.status;
	return pending.reply;
}

json_t *client_call_any(client_t *client, const char *path, const json_t *body, int *status)
{
	for (uint32_t i = 0; i < client_count(client); i++) {
		json_t *reply = client_call(client, i, path, body, status);

		if (*status)
			return reply;
	}
	return NULL;
}
