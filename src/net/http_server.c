/**
 * @file http_server.c
 * See http_server.h.
 */
#include "net/http_server.h"

#include "net/socket_state.h"

#include <stdlib.h>
#include <string.h>

#define HEADER_SPACE_BYTES 2048
#define PATH_LIMIT_BYTES 1024
#define GONE_CHECK_US 5000

struct http_server_t {
	const http_server_ops_t *ops;
	void *ctx;
	loop_t *loop;
	struct lws_vhost *vhost;
	struct lws_protocols protocols[2];
	uint32_t connections;
	uint32_t connections_peak;
	uint32_t open_exchanges;
	uint64_t last_connection;
	GPtrArray *waiting; /* http_exchange_t delivered and not replied to */
	loop_timer_t gone_check;
	bool leaving;
};

struct http_exchange_t {
	gint refs;
	http_server_t *server;
	struct lws *wsi; /* NULL once the caller has gone */
	const char *method;
	char *path;
	GHashTable *params;
	GHashTable *headers;
	GString *body;
	size_t body_expected_bytes;
	void *data;
	uint64_t connection;
	bool delivered;
	bool replied;
	bool close_after;
	bool written; /* handed to libwebsockets, perhaps not yet to the kernel */
	int status;
	const char *content_type;
	GString *reply_headers; /* "name:\0value\0" pairs */
	GString *reply;
};

/* libwebsockets gives a fresh one for each request on a connection. */
typedef struct session_t {
	http_exchange_t *exchange;
	bool close_after; /* once the reply is flushed */
} session_t;

http_exchange_t *http_exchange_ref(http_exchange_t *exchange)
{
	exchange->refs++;
	return exchange;
}

void http_exchange_unref(http_exchange_t *exchange)
{
	if (--exchange->refs)
		return;
	g_free(exchange->path);
	g_hash_table_unref(exchange->params);
	g_hash_table_unref(exchange->headers);
	g_string_free(exchange->body, TRUE);
	g_string_free(exchange->reply_headers, TRUE);
	g_string_free(exchange->reply, TRUE);
	g_free(exchange);
}

const char *http_exchange_method(const http_exchange_t *exchange)
{
	return exchange->method;
}

const char *http_exchange_path(const http_exchange_t *exchange)
{
	return exchange->path;
}

const char *http_exchange_header(const http_exchange_t *exchange, const char *name)
{
	return g_hash_table_lookup(exchange->headers, name);
}

const char *http_exchange_param(const http_exchange_t *exchange, const char *name)
{
	return g_hash_table_lookup(exchange->params, name);
}

uint64_t http_exchange_connection(const http_exchange_t *exchange)
{
	return exchange->connection;
}

const GString *http_exchange_body(const http_exchange_t *exchange)
{
	return exchange->body;
}

void http_exchange_set_data(http_exchange_t *exchange, void *data)
{
	exchange->data = data;
}

void *http_exchange_data(const http_exchange_t *exchange)
{
	return exchange->data;
}

void http_exchange_add_header(http_exchange_t *exchange, const char *name, const char *value)
{
	g_string_append_len(exchange->reply_headers, name, strlen(name) + 1);
	g_string_append_len(exchange->reply_headers, value, strlen(value) + 1);
}

void http_exchange_reply(http_exchange_t *exchange, int status, const char *content_type,
			 const char *body, size_t body_bytes)
{
	g_return_if_fail(!exchange->replied);
	exchange->replied = true;
	exchange->status = status;
	exchange->content_type = content_type;
	g_string_append_len(exchange->reply, body, body_bytes);
	if (exchange->wsi)
		lws_callback_on_writable(exchange->wsi);
}

static void reply_error(http_exchange_t *exchange, int status, const char *detail)
{
	const http_server_t *server = exchange->server;
	g_autofree char *body = NULL;

	exchange->close_after = true;
	if (server->ops->error_body)
		body = server->ops->error_body(server->ctx, status, detail);
	http_exchange_reply(exchange, status, "application/problem+json", body ? body : detail,
			    strlen(body ? body : detail));
}

static const char *method_name(int index)
{
	static const char *const names[] = {
		[LWSHUMETH_GET] = "GET",	 [LWSHUMETH_POST] = "POST",
		[LWSHUMETH_OPTIONS] = "OPTIONS", [LWSHUMETH_PUT] = "PUT",
		[LWSHUMETH_PATCH] = "PATCH",	 [LWSHUMETH_DELETE] = "DELETE",
		[LWSHUMETH_CONNECT] = "CONNECT", [LWSHUMETH_HEAD] = "HEAD",
	};

	if (index < 0 || (size_t)index >= G_N_ELEMENTS(names) || !names[index])
		return "OTHER";
	return names[index];
}

static void keep_token_header(http_exchange_t *exchange, const char *name,
			      enum lws_token_indexes token)
{
	int length = lws_hdr_total_length(exchange->wsi, token);
	g_autofree char *value = NULL;

	if (length <= 0)
		return;
	value = g_malloc0((gsize)length + 1);
	if (lws_hdr_copy(exchange->wsi, value, length + 1, token) >= 0)
		g_hash_table_insert(exchange->headers, g_strdup(name), g_steal_pointer(&value));
}

static void keep_custom_header(http_exchange_t *exchange, const char *name)
{
	int length = lws_hdr_custom_length(exchange->wsi, name, (int)strlen(name));
	g_autofree char *value = NULL;

	if (length < 0)
		return;
	value = g_malloc0((gsize)length + 1);
	if (lws_hdr_custom_copy(exchange->wsi, value, length + 1, name, (int)strlen(name)) >= 0)
		g_hash_table_insert(exchange->headers, g_strdup(name),
				    g_strstrip(g_steal_pointer(&value)));
}

static void keep_headers(http_exchange_t *exchange)
{
	const char *const *name = exchange->server->ops->headers;

	keep_token_header(exchange, "authorization:", WSI_TOKEN_HTTP_AUTHORIZATION);
	keep_token_header(exchange, "content-type:", WSI_TOKEN_HTTP_CONTENT_TYPE);
	for (; name && *name; name++)
		keep_custom_header(exchange, *name);
}

static void keep_params(http_exchange_t *exchange)
{
	char fragment[PATH_LIMIT_BYTES];

	for (int i = 0; lws_hdr_copy_fragment(exchange->wsi, fragment, sizeof(fragment),
					      WSI_TOKEN_HTTP_URI_ARGS, i) > 0;
	     i++) {
		char *equals = strchr(fragment, '=');

		if (!equals)
			continue;
		*equals = '\0';
		g_hash_table_insert(exchange->params, g_strdup(fragment), g_strdup(equals + 1));
	}
}

static http_exchange_t *exchange_new(http_server_t *server, struct lws *wsi)
{
	http_exchange_t *exchange = g_new0(http_exchange_t, 1);
	char *uri = NULL;
	int uri_bytes = 0;

	exchange->refs = 1;
	exchange->server = server;
	exchange->wsi = wsi;
	exchange->method = method_name(lws_http_get_uri_and_method(wsi, &uri, &uri_bytes));
	exchange->path = uri ? g_strndup(uri, (gsize)uri_bytes) : g_strdup("/");
	exchange->params = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	exchange->headers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	exchange->body = g_string_new(NULL);
	exchange->reply_headers = g_string_new(NULL);
	exchange->reply = g_string_new(NULL);
	keep_headers(exchange);
	keep_params(exchange);
	server->open_exchanges++;
	return exchange;
}

static void session_drop(session_t *session)
{
	http_exchange_t *exchange = session->exchange;
	http_server_t *server;

	if (!exchange)
		return;
	session->exchange = NULL;
	server = exchange->server;
	g_ptr_array_remove_fast(server->waiting, exchange);
	server->open_exchanges--;
	exchange->wsi = NULL;
	if (exchange->delivered && !exchange->replied && server->ops->gone)
		server->ops->gone(server->ctx, exchange);
	http_exchange_unref(exchange);
}

/*
 * libwebsockets 4.1 does not read from a connection whose request is being answered, yet polls it:
 * a caller who leaves is not noticed, and the loop spins until the reply is written. So the kernel
 * is asked who has gone, and such a connection is closed. (Switching reading off meanwhile by
 * lws_rx_flow_control() was tried: replies then stayed unsent.)
 */
static void check_gone(void *ctx)
{
	http_server_t *server = ctx;

	for (guint i = server->waiting->len; i-- > 0;) {
		http_exchange_t *exchange = g_ptr_array_index(server->waiting, i);

		if (!socket_peer_closed(lws_get_socket_fd(exchange->wsi)))
			continue;
		g_ptr_array_remove_index_fast(server->waiting, i);
		lws_set_timeout(exchange->wsi, PENDING_TIMEOUT_CLOSE_SEND, LWS_TO_KILL_ASYNC);
	}
	if (server->waiting->len)
		loop_timer_set(server->loop, &server->gone_check, GONE_CHECK_US);
}

static void wait_for_reply(http_exchange_t *exchange)
{
	http_server_t *server = exchange->server;

	g_ptr_array_add(server->waiting, exchange);
	if (server->waiting->len == 1)
		loop_timer_set(server->loop, &server->gone_check, GONE_CHECK_US);
}

static void deliver(http_exchange_t *exchange)
{
	if (exchange->replied || exchange->delivered)
		return;
	exchange->delivered = true;
	exchange->server->ops->request(exchange->server->ctx, exchange);
	if (!exchange->replied)
		wait_for_reply(exchange);
}

static int on_request(http_server_t *server, session_t *session, struct lws *wsi)
{
	http_exchange_t *exchange;
	char length[24];

	session_drop(session);
	exchange = session->exchange = exchange_new(server, wsi);
	exchange->connection = GPOINTER_TO_UINT(lws_get_opaque_user_data(wsi));
	if (!g_str_equal(exchange->method, "POST") && !g_str_equal(exchange->method, "PUT")) {
		deliver(exchange);
		return 0;
	}
	if (lws_hdr_copy(wsi, length, sizeof(length), WSI_TOKEN_HTTP_CONTENT_LENGTH) <= 0) {
		reply_error(exchange, 411, "Content-Length is required");
		return 0;
	}
	exchange->body_expected_bytes = strtoull(length, NULL, 10);
	if (exchange->body_expected_bytes > server->ops->body_limit_bytes) {
		reply_error(exchange, 413, "the body is larger than this server takes");
		return 0;
	}
	if (exchange->body_expected_bytes == 0) {
		deliver(exchange);
		return 0;
	}
	if (server->ops->body_timeout_us)
		lws_set_timer_usecs(wsi, (lws_usec_t)server->ops->body_timeout_us);
	return 0;
}

static void on_body(session_t *session, const void *in, size_t len)
{
	http_exchange_t *exchange = session->exchange;

	if (!exchange || exchange->replied || exchange->delivered)
		return;
	g_string_append_len(exchange->body, in, (gssize)len);
	if (exchange->body->len < exchange->body_expected_bytes)
		return;
	lws_set_timer_usecs(exchange->wsi, LWS_SET_TIMER_USEC_CANCEL);
	deliver(exchange);
}

/*
 * A slow caller leaves part of the reply with libwebsockets. Counting the exchange as done then
 * would let a planned stop end the process and cut the reply short.
 */
static int finish_reply(session_t *session, struct lws *wsi)
{
	if (lws_partial_buffered(wsi)) {
		lws_callback_on_writable(wsi);
		return 0;
	}
	session_drop(session);
	if (session->close_after)
		return -1;
	return lws_http_transaction_completed(wsi) ? -1 : 0;
}

static int write_reply(session_t *session, struct lws *wsi)
{
	http_exchange_t *exchange = session->exchange;
	size_t space_bytes = LWS_PRE + HEADER_SPACE_BYTES + exchange->reply->len;
	g_autofree unsigned char *buffer = g_malloc(space_bytes);
	unsigned char *start = buffer + LWS_PRE, *p = start;
	unsigned char *end = buffer + LWS_PRE + HEADER_SPACE_BYTES;
	const char *name = exchange->reply_headers->str;
	const char *names_end = name + exchange->reply_headers->len;
	bool close_after = exchange->close_after || exchange->server->leaving;

	if (lws_add_http_common_headers(wsi, (unsigned int)exchange->status, exchange->content_type,
					exchange->reply->len, &p, end))
		return -1;
	while (name < names_end) {
		const char *value = name + strlen(name) + 1;

		if (lws_add_http_header_by_name(wsi, (const unsigned char *)name,
						(const unsigned char *)value, (int)strlen(value),
						&p, end))
			return -1;
		name = value + strlen(value) + 1;
	}
	if (close_after && lws_add_http_header_by_name(wsi, (const unsigned char *)"connection:",
						       (const unsigned char *)"close", 5, &p, end))
		return -1;
	if (lws_finalize_http_header(wsi, &p, end))
		return -1;
	memcpy(p, exchange->reply->str, exchange->reply->len);
	p += exchange->reply->len;
	if (lws_write(wsi, start, (size_t)(p - start), LWS_WRITE_HTTP_HEADERS) < 0)
		return -1;
	exchange->written = true;
	session->close_after = close_after;
	return finish_reply(session, wsi);
}

static bool accept_connection(http_server_t *server)
{
	return !server->ops->connection_limit ||
	       server->connections < server->ops->connection_limit;
}

/* The connection's serial number is kept where it outlives the single request. */
static void connection_opened(http_server_t *server, struct lws *wsi)
{
	lws_set_opaque_user_data(wsi, GUINT_TO_POINTER(++server->last_connection));
	server->connections++;
	server->connections_peak = MAX(server->connections_peak, server->connections);
}

static void connection_closed(http_server_t *server, struct lws *wsi)
{
	if (!lws_get_opaque_user_data(wsi))
		return;
	lws_set_opaque_user_data(wsi, NULL);
	server->connections--;
}

static int on_event(struct lws *wsi, enum lws_callback_reasons reason, void *user, void *in,
		    size_t len)
{
	struct lws_vhost *vhost = lws_get_vhost(wsi);
	http_server_t *server = vhost ? lws_vhost_user(vhost) : NULL;
	session_t *session = user;

	switch (reason) {
	case LWS_CALLBACK_FILTER_NETWORK_CONNECTION:
		return accept_connection(server) ? 0 : -1;
	case LWS_CALLBACK_SERVER_NEW_CLIENT_INSTANTIATED:
		connection_opened(server, wsi);
		return 0;
	case LWS_CALLBACK_WSI_DESTROY:
		connection_closed(server, wsi);
		return 0;
	case LWS_CALLBACK_HTTP:
		return on_request(server, session, wsi);
	case LWS_CALLBACK_HTTP_BODY:
		on_body(session, in, len);
		return 0;
	case LWS_CALLBACK_TIMER:
		if (session->exchange && !session->exchange->delivered &&
		    !session->exchange->replied)
			reply_error(session->exchange, 408, "the body did not arrive in time");
		return 0;
	case LWS_CALLBACK_HTTP_WRITEABLE:
		if (!session->exchange || !session->exchange->replied)
			return 0;
		return session->exchange->written ? finish_reply(session, wsi)
						  : write_reply(session, wsi);
	case LWS_CALLBACK_CLOSED_HTTP:
		if (session)
			session_drop(session);
		return 0;
	default:
		return 0;
	}
}

http_server_t *http_server_new(loop_t *loop, const char *address, uint16_t port,
			       const http_server_ops_t *ops, void *ctx)
{
	http_server_t *server = g_new0(http_server_t, 1);
	struct lws_context_creation_info info = {
		.port = port,
		.iface = address,
		.protocols = server->protocols,
		.user = server,
		.keepalive_timeout = 60,
		.timeout_secs = 10,
		.vhost_name = "server",
	};

	server->ops = ops;
	server->ctx = ctx;
	server->loop = loop;
	server->waiting = g_ptr_array_new();
	server->gone_check = (loop_timer_t){.fire = check_gone, .ctx = server};
	server->protocols[0] = (struct lws_protocols){
		.name = "http", .callback = on_event, .per_session_data_size = sizeof(session_t)};
	server->vhost = lws_create_vhost(loop_context(loop), &info);
	if (!server->vhost) {
		g_free(server);
		return NULL;
	}
	return server;
}

uint32_t http_server_connections(const http_server_t *server)
{
	return server->connections;
}

uint32_t http_server_connections_peak(const http_server_t *server)
{
	return server->connections_peak;
}

void http_server_leave(http_server_t *server)
{
	server->leaving = true;
}

uint32_t http_server_open_exchanges(const http_server_t *server)
{
	return server->open_exchanges;
}

uint64_t http_server_connections_serial(const http_server_t *server)
{
	return server->last_connection;
}
