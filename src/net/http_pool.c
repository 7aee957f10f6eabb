/**
 * @file http_pool.c
 * See http_pool.h.
 */
#include "net/http_pool.h"

#include "net/http_conn.h"

#include <stdio.h>
#include <string.h>

struct http_pool_t {
	loop_t *loop;
	GHashTable *lanes; /* "address:port#slot" to pool_entry_t */
	uint32_t slots;
};

/* The one connection that a slot may hold to an endpoint, and the call on it. */
typedef struct pool_entry_t {
	http_pool_t *pool;
	http_conn_t *conn; /* NULL when there is none */
	http_call_t *call; /* NULL when idle */
	uint64_t idle_since_us;
} pool_entry_t;

struct http_call_t {
	pool_entry_t *lane;
	GString *head;
	GString *reply;
	char *reply_header; /* its name */
	char *header;	    /* its value; NULL when there is none */
	void (*finished)(void *ctx, http_call_t *call);
	void *ctx;
	int status;
	http_call_result_t end;
	bool ended;
	bool keep;
};

static void deliver_call(void *task, void *message)
{
	http_call_t *call = message;

	(void)task;
	call->finished(call->ctx, call);
	g_string_free(call->head, TRUE);
	g_string_free(call->reply, TRUE);
	g_free(call->reply_header);
	g_free(call->header);
	g_free(call);
}

/* The end is told from the loop, after the connection's own callback has returned. */
static void call_end(http_call_t *call, http_call_result_t end)
{
	if (call->ended)
		return;
	call->ended = true;
	call->end = end;
	call->lane->call = NULL;
	call->lane->idle_since_us = loop_now_us();
	loop_post(call->lane->pool->loop, deliver_call, NULL, call);
}

static void on_replied(void *ctx, const http_message_t *reply, bool reusable)
{
	pool_entry_t *lane = ctx;
	http_call_t *call = lane->call;
	const GString *body = http_message_body(reply);

	if (!reusable)
		lane->conn = NULL;
	call->status = http_message_status(reply);
	if (call->reply_header)
		call->header = g_strdup(http_message_header(reply, call->reply_header));
	g_string_append_len(call->reply, body->str, (gssize)body->len);
	if (reusable && !call->keep) {
		http_conn_close(lane->conn);
		lane->conn = NULL;
	}
	call_end(call, HTTP_CALL_REPLIED);
}

static void on_ended(void *ctx, http_conn_close_reason_t end)
{
	pool_entry_t *lane = ctx;

	lane->conn = NULL;
	if (lane->call)
		call_end(lane->call, end == HTTP_CONN_REFUSED || end == HTTP_CONN_CONNECT_FAILED
					     ? HTTP_CALL_NOT_SENT
					     : HTTP_CALL_CONNECTION_LOST);
}

static const http_conn_ops_t entry_ops = {.replied = on_replied, .ended = on_ended};

http_pool_t *http_pool_new(loop_t *loop, uint32_t slots)
{
	http_pool_t *pool = g_new0(http_pool_t, 1);

	pool->loop = loop;
	pool->slots = slots;
	pool->lanes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return pool;
}

static pool_entry_t *find_or_add_entry(http_pool_t *pool, uint32_t slot,
				       const http_request_t *request)
{
	char key[64];
	pool_entry_t *lane;

	snprintf(key, sizeof(key), "%s:%u#%u", request->address, request->port, slot);
	lane = g_hash_table_lookup(pool->lanes, key);
	if (lane)
		return lane;
	lane = g_new0(pool_entry_t, 1);
	lane->pool = pool;
	g_hash_table_insert(pool->lanes, g_strdup(key), lane);
	return lane;
}

static void append_request_head(GString *head, const http_request_t *request)
{
	g_string_append_printf(head, "%s %s HTTP/1.1\r\nHost: %s:%u\r\n", request->method,
			       request->path, request->address, request->port);
	if (request->headers)
		g_string_append(head, request->headers);
	if (request->body || !g_str_equal(request->method, "GET"))
		g_string_append_printf(head, "Content-Length: %zu\r\n", request->body_bytes);
	g_string_append(head, "\r\n");
}

static void open_connection(pool_entry_t *lane, const http_request_t *request)
{
	uint64_t now_us = loop_now_us();
	bool idle = request->idle_max_us && now_us > lane->idle_since_us + request->idle_max_us;
	bool stale = lane->conn && (idle || http_conn_is_stale(lane->conn, now_us));

	if (lane->conn && (request->fresh_connection || stale)) {
		http_conn_close(lane->conn);
		lane->conn = NULL;
	}
	if (!lane->conn)
		lane->conn = http_conn_open(lane->pool->loop, request->address, request->port,
					    &entry_ops, lane);
}

http_call_t *http_pool_start(http_pool_t *pool, uint32_t slot, const http_request_t *request)
{
	http_call_t *call = g_new0(http_call_t, 1);
	pool_entry_t *lane = find_or_add_entry(pool, slot, request);

	g_return_val_if_fail(!lane->call && slot < pool->slots, NULL);
	call->lane = lane;
	call->head = g_string_sized_new(256);
	call->reply = g_string_new(NULL);
	call->reply_header = g_strdup(request->reply_header);
	call->finished = request->finished;
	call->ctx = request->ctx;
	call->keep = !request->fresh_connection;
	lane->call = call;
	open_connection(lane, request);
	if (!lane->conn) {
		call_end(call, HTTP_CALL_NOT_SENT);
		return call;
	}
	append_request_head(call->head, request);
	http_conn_send(lane->conn, call->head->str, call->head->len, request->body,
		       request->body_bytes, g_str_equal(request->method, "HEAD"));
	return call;
}

void http_call_cancel(http_call_t *call)
{
	pool_entry_t *lane = call->lane;

	if (call->ended)
		return;
	http_conn_close(lane->conn);
	lane->conn = NULL;
	call_end(call, HTTP_CALL_CANCELLED);
}

http_call_result_t http_call_result(const http_call_t *call)
{
	return call->end;
}

int http_call_status(const http_call_t *call)
{
	return call->status;
}

const GString *http_call_reply(const http_call_t *call)
{
	return call->reply;
}

const char *http_call_header(const http_call_t *call)
{
	return call->header;
}
