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
	http_memory_t *memory;
	GHashTable *entries; /* "address:port#slot" to pool_entry_t */
	uint32_t slots;
};

/* The one connection that a slot may hold to an endpoint, and the call on it. */
typedef struct pool_entry_t {
	http_pool_t *pool;
	const char *endpoint; /* its key, for the log */
	http_conn_t *conn;    /* NULL when there is none */
	http_call_t *call;    /* NULL when idle */
	uint64_t idle_since_us;
} pool_entry_t;

struct http_call_t {
	pool_entry_t *entry;
	GString *head;
	GString *reply;
	char *reply_header; /* name of the reply header to keep */
	char *header_value; /* value of that header; NULL when the reply has none */
	void (*finished)(void *ctx, http_call_t *call);
	void *ctx;
	int status;
	http_call_result_t result;
	bool ended;
	bool keep_alive;
};

static void deliver_call(void *task, void *message)
{
	http_call_t *call = message;

	(void)task;
	call->finished(call->ctx, call);
	g_string_free(call->head, TRUE);
	g_string_free(call->reply, TRUE);
	g_free(call->reply_header);
	g_free(call->header_value);
	g_free(call);
}

/* The loop calls `finished` later, after the connection's callback has returned. */
static void finish_call(http_call_t *call, http_call_result_t result)
{
	if (call->ended)
		return;
	call->ended = true;
	call->result = result;
	call->entry->call = NULL;
	call->entry->idle_since_us = loop_now_us();
	loop_post(call->entry->pool->loop, deliver_call, NULL, call);
}

static void on_replied(void *ctx, const http_message_t *reply, bool reusable)
{
	pool_entry_t *entry = ctx;
	http_call_t *call = entry->call;
	const GString *body = http_message_body(reply);

	if (!reusable)
		entry->conn = NULL;
	call->status = http_message_status(reply);
	if (call->reply_header)
		call->header_value = g_strdup(http_message_header(reply, call->reply_header));
	g_string_append_len(call->reply, body->str, (gssize)body->len);
	if (reusable && !call->keep_alive) {
		http_conn_close(entry->conn);
		entry->conn = NULL;
	}
	finish_call(call, HTTP_CALL_REPLIED);
}

static void on_ended(void *ctx, http_conn_close_reason_t reason)
{
	pool_entry_t *entry = ctx;

	if (reason == HTTP_CONN_TOO_LARGE)
		g_message("event=reply-cut endpoint=%s in=%s bytes=%" G_GUINT64_FORMAT,
			  entry->endpoint, http_conn_in_body(entry->conn) ? "body" : "head",
			  http_conn_received_bytes(entry->conn));
	entry->conn = NULL;
	if (entry->call)
		finish_call(entry->call,
			    reason == HTTP_CONN_REFUSED || reason == HTTP_CONN_CONNECT_FAILED
				    ? HTTP_CALL_NOT_SENT
				    : HTTP_CALL_CONNECTION_LOST);
}

static const http_conn_ops_t entry_ops = {.replied = on_replied, .ended = on_ended};

http_pool_t *http_pool_new(loop_t *loop, http_memory_t *memory, uint32_t slots)
{
	http_pool_t *pool = g_new0(http_pool_t, 1);

	pool->loop = loop;
	pool->memory = memory;
	pool->slots = slots;
	pool->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return pool;
}

static pool_entry_t *find_or_add_entry(http_pool_t *pool, uint32_t slot,
				       const http_request_t *request)
{
	char key[64];
	pool_entry_t *entry;

	snprintf(key, sizeof(key), "%s:%u#%u", request->address, request->port, slot);
	entry = g_hash_table_lookup(pool->entries, key);
	if (entry)
		return entry;
	entry = g_new0(pool_entry_t, 1);
	entry->pool = pool;
	entry->endpoint = g_strdup(key);
	g_hash_table_insert(pool->entries, (char *)entry->endpoint, entry);
	return entry;
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

static void open_connection(pool_entry_t *entry, const http_request_t *request)
{
	uint64_t now_us = loop_now_us();
	bool idle_too_long =
		request->idle_max_us && now_us > entry->idle_since_us + request->idle_max_us;
	bool stale = entry->conn && (idle_too_long || http_conn_is_stale(entry->conn, now_us));

	if (entry->conn && (request->fresh_connection || stale)) {
		http_conn_close(entry->conn);
		entry->conn = NULL;
	}
	if (!entry->conn)
		entry->conn = http_conn_open(entry->pool->loop, entry->pool->memory,
					     request->address, request->port, &entry_ops, entry);
}

http_call_t *http_pool_start(http_pool_t *pool, uint32_t slot, const http_request_t *request)
{
	http_call_t *call = g_new0(http_call_t, 1);
	pool_entry_t *entry = find_or_add_entry(pool, slot, request);

	g_return_val_if_fail(!entry->call && slot < pool->slots, NULL);
	call->entry = entry;
	call->head = g_string_sized_new(256);
	call->reply = g_string_new(NULL);
	call->reply_header = g_strdup(request->reply_header);
	call->finished = request->finished;
	call->ctx = request->ctx;
	call->keep_alive = !request->fresh_connection;
	entry->call = call;
	open_connection(entry, request);
	if (!entry->conn) {
		finish_call(call, HTTP_CALL_NOT_SENT);
		return call;
	}
	append_request_head(call->head, request);
	http_conn_send(entry->conn, call->head->str, call->head->len, request->body,
		       request->body_bytes, g_str_equal(request->method, "HEAD"));
	return call;
}

void http_call_cancel(http_call_t *call)
{
	pool_entry_t *entry = call->entry;

	if (call->ended)
		return;
	http_conn_close(entry->conn);
	entry->conn = NULL;
	finish_call(call, HTTP_CALL_CANCELLED);
}

http_call_result_t http_call_result(const http_call_t *call)
{
	return call->result;
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
	return call->header_value;
}
