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
	loop_t *loop;
	sock_t *sock; /* NULL once it is closed because the reply was given up */
	const http_conn_ops_t *ops;
	void *ctx;
	http_message_t *reply;
	bool busy; /* a request is outstanding */
	bool in_callback;
	bool ended;		 /* closed; freed when the current callback returns */
	uint64_t stale_us;	 /* when the peer may close the idle connection; 0: unknown */
	uint64_t received_bytes; /* of the outstanding reply */
	bool in_body;		 /* of the outstanding reply */
	http_memory_t *memory;	 /* NULL: not limited */
	http_memory_share_t share;
	bool given_up;	     /* the reply was, as all replies together held too much */
	loop_timer_t report; /* reports that, when this connection is not in a callback */
};

static void conn_free(http_conn_t *conn)
{
	loop_timer_cancel(&conn->report);
	http_memory_release(&conn->share);
	http_message_free(conn->reply);
	g_free(conn);
}

void http_conn_close(http_conn_t *conn)
{
	if (conn->ended)
		return;
	conn->ended = true;
	if (conn->sock)
		sock_close(conn->sock);
	if (!conn->in_callback)
		conn_free(conn);
}

static void close_and_report(http_conn_t *conn, http_conn_close_reason_t reason)
{
	http_conn_close(conn);
	conn->ops->ended(conn->ctx, reason);
}

static void report_given_up(void *ctx)
{
	http_conn_t *conn = ctx;

	conn->in_callback = true;
	close_and_report(conn, HTTP_CONN_TOO_LARGE);
	conn_free(conn);
}

/* Called while bytes of this connection or of another one are received. The owner of this one is
 * told later: it may be in a callback. */
static void give_up_reply(void *ctx)
{
	http_conn_t *conn = ctx;

	conn->given_up = true;
	http_message_reset(conn->reply);
	if (conn->in_callback)
		return;
	sock_close(conn->sock);
	conn->sock = NULL;
	loop_timer_set(conn->loop, &conn->report, 0);
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
	http_memory_release(&conn->share);
	update_stale_time(conn);
	if (!reusable)
		sock_close(conn->sock);
	conn->ops->replied(conn->ctx, conn->reply, reusable);
	if (!reusable)
		conn->ended = true;
	else if (!conn->busy)
		http_message_reset(conn->reply); /* an idle connection holds no long reply */
}

static void on_opened(void *ctx)
{
	http_conn_t *conn = ctx;

	if (conn->ops->opened)
		conn->ops->opened(conn->ctx);
}

static void receive_reply(http_conn_t *conn, const char *data, size_t bytes)
{
	size_t consumed = http_message_parse(conn->reply, data, bytes);

	conn->received_bytes += consumed;
	conn->in_body = http_message_has_head(conn->reply);
	switch (http_message_state(conn->reply)) {
	case HTTP_MESSAGE_INCOMPLETE:
		if (conn->memory)
			http_memory_hold(conn->memory, &conn->share,
					 http_message_memory(conn->reply));
		if (conn->given_up)
			close_and_report(conn, HTTP_CONN_TOO_LARGE);
		break;
	case HTTP_MESSAGE_COMPLETE:
		finish_reply(conn, consumed < bytes);
		break;
	case HTTP_MESSAGE_HEAD_TOO_LARGE:
	case HTTP_MESSAGE_BODY_TOO_LARGE:
		close_and_report(conn, HTTP_CONN_TOO_LARGE);
		break;
	case HTTP_MESSAGE_INVALID:
		close_and_report(conn, HTTP_CONN_PROTOCOL_ERROR);
		break;
	}
}

static void on_received(void *ctx, const char *data, size_t bytes)
{
	http_conn_t *conn = ctx;

	conn->in_callback = true;
	if (conn->busy)
		receive_reply(conn, data, bytes);
	else
		close_and_report(conn, HTTP_CONN_PROTOCOL_ERROR);
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

http_conn_t *http_conn_open(loop_t *loop, http_memory_t *memory, const char *address, uint16_t port,
			    const http_conn_ops_t *ops, void *ctx)
{
	const http_message_limits_t limits = {.head_bytes = REPLY_HEAD_MAX_BYTES,
					      .body_bytes = REPLY_BODY_MAX_BYTES};
	http_conn_t *conn = g_new0(http_conn_t, 1);

	conn->loop = loop;
	conn->memory = memory;
	conn->share = (http_memory_share_t){.give_up = give_up_reply, .ctx = conn};
	conn->report = (loop_timer_t){.fire = report_given_up, .ctx = conn};
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
	conn->received_bytes = 0;
	conn->in_body = false;
	http_message_reset(conn->reply);
	if (is_head)
		http_message_expect_no_body(conn->reply);
	sock_write(conn->sock, head, head_bytes);
	sock_write(conn->sock, body, body_bytes);
}

uint64_t http_conn_received_bytes(const http_conn_t *conn)
{
	return conn->received_bytes;
}

bool http_conn_in_body(const http_conn_t *conn)
{
	return conn->in_body;
}

bool http_conn_is_stale(const http_conn_t *conn, uint64_t now_us)
{
	return conn->stale_us && now_us >= conn->stale_us;
}
