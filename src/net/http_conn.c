/**
 * @file http_conn.c
 * See http_conn.h.
 */
#include "net/http_conn.h"

#include "net/sock.h"

#include <stdlib.h>
#include <string.h>

/* Reply limits, above the largest reply of searchers and store (1 MB and its framing). */
#define REPLY_BODY_MAX_BYTES (8u << 20)
#define REPLY_HEAD_MAX_BYTES (64u << 10)
/* An idle connection isn't reused in this last part of the peer's idle time-out, because the
 * request could cross the peer's close. Covers a round trip between regions and a busy loop
 * iteration, with a margin. */
#define IDLE_MARGIN_US 700000

struct http_conn_t {
	sock_t *sock;
	const http_conn_ops_t *ops;
	void *ctx;
	http_message_t *reply;
	bool busy; /* a request is outstanding */
	bool in_callback;
	bool ended;	   /* closed; freed when the current callback returns */
	uint64_t stale_us; /* when the peer may close the idle connection; 0: unknown */
};

static void conn_free(http_conn_t *conn)
{
	http_message_free(conn->reply);
	g_free(conn);
}

void http_conn_close(http_conn_t *conn)
{
	if (conn->ended)
		return;
	conn->ended = true;
	sock_close(conn->sock);
	if (!conn->in_callback)
		conn_free(conn);
}

static void close_and_report(http_conn_t *conn, http_conn_close_reason_t reason)
{
	http_conn_close(conn);
	conn->ops->ended(conn->ctx, reason);
}

/* Reads the idle time-out from a Keep-Alive header such as "timeout=5, max=100" (seconds). */
static void update_stale_time(http_conn_t *conn)
{
	const char *text = http_message_header(conn->reply, "Keep-Alive");
	const char *value = text ? strstr(text, "timeout=") : NULL;
	uint64_t idle_us;

	conn->stale_us = 0;
	if (!value)
		return;
	idle_us = strtoull(value + strlen("timeout="), NULL, 10) * 1000000;
	conn->stale_us = loop_now_us() + (idle_us > IDLE_MARGIN_US ? idle_us - IDLE_MARGIN_US : 0);
}

static void finish_reply(http_conn_t *conn, bool more_bytes)
{
	/* The peer would read unsent bytes of this request as the start of the next request. */
	bool reusable =
		!more_bytes && sock_is_flushed(conn->sock) && http_message_keeps_alive(conn->reply);

	conn->busy = false;
	update_stale_time(conn);
	if (!reusable)
		sock_close(conn->sock);
	conn->ops->replied(conn->ctx, conn->reply, reusable);
	if (!reusable)
		conn->ended = true;
}

static void on_opened(void *ctx)
{
	http_conn_t *conn = ctx;

	if (conn->ops->opened)
		conn->ops->opened(conn->ctx);
}

static void on_received(void *ctx, const char *data, size_t bytes)
{
	http_conn_t *conn = ctx;
	size_t consumed;

	conn->in_callback = true;
	if (!conn->busy) {
		close_and_report(conn, HTTP_CONN_PROTOCOL_ERROR);
	} else {
		consumed = http_message_parse(conn->reply, data, bytes);
		switch (http_message_state(conn->reply)) {
		case HTTP_MESSAGE_INCOMPLETE:
			break;
		case HTTP_MESSAGE_COMPLETE:
			finish_reply(conn, consumed < bytes);
			break;
		default:
			close_and_report(conn, HTTP_CONN_PROTOCOL_ERROR);
		}
	}
	conn->in_callback = false;
	if (conn->ended)
		conn_free(conn);
}

static http_conn_close_reason_t to_close_reason(sock_close_reason_t reason)
{
	static const http_conn_close_reason_t reasons[] = {[SOCK_CLOSED] = HTTP_CONN_CLOSED,
							   [SOCK_RESET] = HTTP_CONN_RESET,
							   [SOCK_REFUSED] = HTTP_CONN_REFUSED,
							   [SOCK_CONNECT_FAILED] =
								   HTTP_CONN_CONNECT_FAILED};

	return reasons[reason];
}

static void on_ended(void *ctx, sock_close_reason_t reason)
{
	http_conn_t *conn = ctx;

	conn->in_callback = true;
	if (reason == SOCK_CLOSED && conn->busy && http_message_has_head(conn->reply))
		http_message_feed_end(conn->reply);
	if (conn->busy && http_message_state(conn->reply) == HTTP_MESSAGE_COMPLETE) {
		finish_reply(conn, true);
	} else if (!conn->ended) {
		close_and_report(conn, to_close_reason(reason));
	}
	conn_free(conn);
}

static const sock_ops_t conn_ops = {
	.opened = on_opened, .received = on_received, .ended = on_ended};

http_conn_t *http_conn_open(loop_t *loop, const char *address, uint16_t port,
			    const http_conn_ops_t *ops, void *ctx)
{
	const http_message_limits_t limits = {.head_bytes = REPLY_HEAD_MAX_BYTES,
					      .body_bytes = REPLY_BODY_MAX_BYTES};
	http_conn_t *conn = g_new0(http_conn_t, 1);

	conn->ops = ops;
	conn->ctx = ctx;
	conn->sock = sock_connect(loop, address, port, &conn_ops, conn);
	if (!conn->sock) {
		g_free(conn);
		return NULL;
	}
	conn->reply = http_message_new(HTTP_MESSAGE_REPLY, limits);
	return conn;
}

void http_conn_send(http_conn_t *conn, const char *head, size_t head_bytes, const char *body,
		    size_t body_bytes, bool is_head)
{
	g_return_if_fail(!conn->busy);
	conn->busy = true;
	http_message_reset(conn->reply);
	if (is_head)
		http_message_expect_no_body(conn->reply);
	sock_write(conn->sock, head, head_bytes);
	sock_write(conn->sock, body, body_bytes);
}

bool http_conn_is_stale(const http_conn_t *conn, uint64_t now_us)
{
	return conn->stale_us && now_us >= conn->stale_us;
}
