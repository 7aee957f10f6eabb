/**
 * @file http_pool.c
 * See http_pool.h.
 */
#include "net/http_pool.h"

#include <stdio.h>
#include <string.h>

#define KEEP_WARM_S 30
#define REPLY_LIMIT_BYTES (8u << 20)
#define READ_CHUNK_BYTES 16384

struct http_pool_t {
	loop_t *loop;
	struct lws_protocols protocols[2];
	struct lws_vhost **vhosts;
	uint32_t slots;
};

struct http_call_t {
	http_pool_t *pool;
	struct lws *wsi;
	char *method;
	char *address;
	char *path;
	char *headers;
	GString *body;
	GString *reply;
	void (*finished)(void *ctx, http_call_t *call);
	void *ctx;
	int status;
	bool sent;
	bool whole;
	bool cancelled;
	bool ended;
};

static void call_deliver(void *task, void *message)
{
	http_call_t *call = message;

	(void)task;
	call->finished(call->ctx, call);
	g_free(call->method);
	g_free(call->address);
	g_free(call->path);
	g_free(call->headers);
	g_string_free(call->body, TRUE);
	g_string_free(call->reply, TRUE);
	g_free(call);
}

/* The end is told from the loop: libwebsockets can't start a request inside such a callback. */
static void call_end(http_call_t *call)
{
	if (call->ended)
		return;
	call->ended = true;
	if (call->wsi)
		lws_set_opaque_user_data(call->wsi, NULL);
	call->wsi = NULL;
	loop_post(call->pool->loop, call_deliver, NULL, call);
}

static int add_headers(http_call_t *call, void *in, size_t len)
{
	unsigned char **p = in, *end = (*p) + len;
	size_t headers_bytes = strlen(call->headers);

	call->sent = true;
	if ((size_t)(end - *p) < headers_bytes + 64)
		return -1;
	memcpy(*p, call->headers, headers_bytes);
	*p += headers_bytes;
	if (g_str_equal(call->method, "GET"))
		return 0;
	*p += snprintf((char *)*p, (size_t)(end - *p), "content-length: %zu\r\n", call->body->len);
	if (call->body->len) {
		lws_client_http_body_pending(call->wsi, 1);
		lws_callback_on_writable(call->wsi);
	}
	return 0;
}

static int write_body(http_call_t *call, struct lws *wsi)
{
	g_autofree unsigned char *buffer = NULL;

	if (!call->body->len)
		return 0;
	buffer = g_malloc(LWS_PRE + call->body->len);
	memcpy(buffer + LWS_PRE, call->body->str, call->body->len);
	lws_client_http_body_pending(wsi, 0);
	if (lws_write(wsi, buffer + LWS_PRE, call->body->len, LWS_WRITE_HTTP_FINAL) < 0)
		return -1;
	g_string_truncate(call->body, 0);
	return 0;
}

static int read_reply(struct lws *wsi)
{
	char buffer[LWS_PRE + READ_CHUNK_BYTES];
	char *p = buffer + LWS_PRE;
	int len = READ_CHUNK_BYTES;

	return lws_http_client_read(wsi, &p, &len) < 0 ? -1 : 0;
}

static int on_event(struct lws *wsi, enum lws_callback_reasons reason, void *user, void *in,
		    size_t len)
{
	http_call_t *call = wsi ? lws_get_opaque_user_data(wsi) : NULL;

	(void)user;
	if (!call)
		return 0;
	switch (reason) {
	case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
		call->wsi = wsi;
		return add_headers(call, in, len);
	case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
		return write_body(call, wsi);
	case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
		call->status = (int)lws_http_client_http_response(wsi);
		return 0;
	case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
		return read_reply(wsi);
	case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
		if (call->reply->len + len > REPLY_LIMIT_BYTES)
			return -1;
		g_string_append_len(call->reply, in, (gssize)len);
		return 0;
	case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
		call->whole = true;
		call_end(call);
		return 0;
	case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
	case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
	case LWS_CALLBACK_WSI_DESTROY:
		call_end(call);
		return 0;
	default:
		return 0;
	}
}

http_pool_t *http_pool_new(loop_t *loop, uint32_t slots)
{
	http_pool_t *pool = g_new0(http_pool_t, 1);

	pool->loop = loop;
	pool->slots = slots;
	pool->vhosts = g_new0(struct lws_vhost *, slots);
	pool->protocols[0] = (struct lws_protocols){.name = "client", .callback = on_event};
	for (uint32_t i = 0; i < slots; i++) {
		struct lws_context_creation_info info = {
			.port = CONTEXT_PORT_NO_LISTEN,
			.protocols = pool->protocols,
			.vhost_name = "slot",
			.timeout_secs =
				120, /* deadlines are ours; this only bounds a forgotten one */
		};

		pool->vhosts[i] = lws_create_vhost(loop_context(loop), &info);
		if (!pool->vhosts[i])
			g_error("event=pool-failed reason=vhost");
	}
	return pool;
}

http_call_t *http_pool_start(http_pool_t *pool, uint32_t slot, const http_request_t *request)
{
	http_call_t *call = g_new0(http_call_t, 1);
	struct lws_client_connect_info info = {
		.context = loop_context(pool->loop),
		.vhost = pool->vhosts[slot],
		.address = request->address,
		.host = request->address, /* reuse needs host equal to address */
		.origin = request->address,
		.port = request->port,
		.path = request->path,
		.method = request->method,
		.ssl_connection = request->fresh_connection ? 0 : LCCSCF_PIPELINE,
		.keep_warm_secs = KEEP_WARM_S,
		.protocol = "client",
		.local_protocol_name = "client",
		.opaque_user_data = call,
	};
	struct lws *wsi;

	call->pool = pool;
	call->method = g_strdup(request->method);
	call->address = g_strdup(request->address);
	call->path = g_strdup(request->path);
	call->headers = g_strdup(request->headers ? request->headers : "");
	call->body = g_string_new_len(request->body, (gssize)request->body_bytes);
	call->reply = g_string_new(NULL);
	call->finished = request->finished;
	call->ctx = request->ctx;
	wsi = lws_client_connect_via_info(&info);
	if (!wsi)
		call_end(call);
	else if (!call->ended)
		call->wsi = wsi;
	return call;
}

void http_call_cancel(http_call_t *call)
{
	if (call->ended)
		return;
	call->cancelled = true;
	lws_set_timeout(call->wsi, PENDING_TIMEOUT_CLOSE_SEND, LWS_TO_KILL_ASYNC);
}

http_end_t http_call_end(const http_call_t *call)
{
	if (call->whole)
		return HTTP_END_REPLIED;
	if (call->cancelled)
		return HTTP_END_CANCELLED;
	return call->sent ? HTTP_END_CUT : HTTP_END_NOT_SENT;
}

int http_call_status(const http_call_t *call)
{
	return call->status;
}

const GString *http_call_reply(const http_call_t *call)
{
	return call->reply;
}
