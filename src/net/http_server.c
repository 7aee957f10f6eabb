/**
 * @file http_server.c
 * See http_server.h.
 */
#include "net/http_exchange_private.h"

#include "net/sock.h"

#include <string.h>

/* Interval between checks of the connections' time limits: a tenth of the shortest of them. */
#define SWEEP_INTERVAL_US 250000
/* How long a closing connection waits for the peer to close its side. If it were closed at once,
 * bytes still in transit would reset it and the last reply would be lost. Above any round trip, far
 * below the time of a planned shutdown. */
#define LINGER_TIMEOUT_US 1000000
/* A caller that does not read its reply for this long is disconnected. */
#define UNREAD_REPLY_TIMEOUT_US 30000000
/* What callers cost, in processor time. */
#define READ_NS 5000
#define BODY_BYTE_NS 1
#define PARSED_BYTE_NS 8 /* of heads and chunks, which are scanned byte by byte */
#define REQUEST_NS 30000
#define FORWARDED_REQUEST_NS 150000
#define FORWARDED_BYTE_NS 2
/* Included in each request that was not sent ahead: enough for a head of 4 KB with a forwarded body
 * of 32 KB, or for a small request in some 25 pieces. */
#define REQUEST_ALLOWANCE_NS 150000

/* Time allowed from connecting to the first request: a round trip plus a busy caller's delay. */
#define NEW_CONNECTION_GRACE_US 300000
/* Connections that are looked at, the longest in their state first, when one must make room. */
#define ROOM_TRIES_MAX 256

/* Memory of a request that is being answered, besides its head and its body. */
#define EXCHANGE_BYTES 4096

/* Share of the process's descriptors that connections take at most if they are to leave some. */
#define DESCRIPTORS_SHARE 0.75
/* The same of probes' connections, each for a request of a few hundred bytes. */
#define PROBE_DESCRIPTORS_SHARE 0.125
#define PROBE_GRACE_US 25000

/* One accepted connection. */
struct connection_t {
	http_server_t *server;
	sock_t *sock;
	http_message_t *message;   /* the request being received */
	http_exchange_t *exchange; /* the request being answered */
	GByteArray *pipelined; /* bytes received while a request is being answered; NULL: none */
	uint64_t serial;
	uint64_t state_since_us; /* when it began to idle, receive, reply or linger */
	uint64_t receive_us;	 /* time allowed for the request being received */
	bool lingering;
	bool parsing;
	bool more_to_parse;   /* bytes follow the request that is being parsed */
	bool dropped_further; /* requests behind the one being answered were dropped */
	bool was_paced;
	bool aborted;	       /* while parsing; to be dropped after that */
	bool answered;	       /* at least one request */
	uint64_t allowance_ns; /* what the current request may still cost without being paced */
	pacing_turn_t turn;
	http_memory_share_t share; /* of the unfinished request and of pipelined bytes */
	GList link;		   /* in the server's list */
};

struct http_server_t {
	const http_server_ops_t *ops;
	void *ctx;
	loop_t *loop;
	listener_t *listener;
	http_server_limits_t limits;
	http_memory_t *unfinished; /* memory of requests being received; NULL: not limited */
	pacing_t *pacing;	   /* NULL: callers are not paced */
	http_memory_t *open;	   /* memory of requests being answered; NULL: not limited */
	GQueue connections;	   /* connection_t, the longest in its state first */
	uint32_t connections_peak;
	uint32_t connections_max;
	uint64_t replace_after_us; /* see http_server_limit_connections() */
	uint64_t connections_refused;
	uint32_t open_exchanges;
	uint64_t last_serial;
	loop_timer_t sweep;
	bool draining;
};

static const char *reason_phrase(int status)
{
	switch (status) {
	case 200:
		return "OK";
	case 400:
		return "Bad Request";
	case 404:
		return "Not Found";
	case 408:
		return "Request Timeout";
	case 413:
		return "Content Too Large";
	case 429:
		return "Too Many Requests";
	case 431:
		return "Request Header Fields Too Large";
	case 502:
		return "Bad Gateway";
	case 503:
		return "Service Unavailable";
	case 504:
		return "Gateway Timeout";
	default:
		return "Status";
	}
}

static bool is_head(const http_exchange_t *exchange)
{
	return g_str_equal(http_exchange_method(exchange), "HEAD");
}

static void drop_pipelined(connection_t *connection)
{
	if (connection->pipelined)
		g_byte_array_unref(connection->pipelined);
	connection->pipelined = NULL;
}

static void begin_state(connection_t *connection, uint64_t now_us)
{
	GQueue *connections = &connection->server->connections;

	connection->state_since_us = now_us;
	g_queue_unlink(connections, &connection->link);
	g_queue_push_tail_link(connections, &connection->link);
}

/* What was received and will not be answered is freed: many connections may linger. */
static void linger(connection_t *connection)
{
	connection->lingering = true;
	begin_state(connection, loop_now_us());
	drop_pipelined(connection);
	http_message_free(connection->message);
	connection->message =
		http_message_new(HTTP_MESSAGE_REQUEST, connection->server->limits.message);
	http_memory_release(&connection->share);
	pacing_cancel(&connection->turn);
	sock_pause(connection->sock, false);
	sock_shutdown(connection->sock);
}

/* ---- replies ---- */

static void parse_next(connection_t *connection);
static void drop_connection(connection_t *connection);

static void end_exchange(connection_t *connection)
{
	http_exchange_t *exchange = connection->exchange;

	connection->exchange = NULL;
	begin_state(connection, loop_now_us());
	exchange->connection = NULL;
	exchange->server->open_exchanges--;
	http_exchange_unref(exchange);
}

static void write_reply(http_exchange_t *exchange, int status, const char *content_type,
			const char *body, size_t body_bytes, bool close_after)
{
	GString *text = g_string_sized_new(256 + body_bytes);

	g_string_append_printf(text, "HTTP/1.1 %d %s\r\n", status, reason_phrase(status));
	if (content_type)
		g_string_append_printf(text, "Content-Type: %s\r\n", content_type);
	if (exchange->reply_headers)
		g_string_append_len(text, exchange->reply_headers->str,
				    (gssize)exchange->reply_headers->len);
	if (close_after)
		g_string_append(text, "Connection: close\r\n");
	/* The length of the body that a relayed reply to HEAD left out is not known here. */
	if (http_status_has_body(status) && (body_bytes || !is_head(exchange)))
		g_string_append_printf(text, "Content-Length: %zu\r\n", body_bytes);
	g_string_append(text, "\r\n");
	if (http_status_has_body(status) && !is_head(exchange))
		g_string_append_len(text, body, (gssize)body_bytes);
	sock_write(exchange->connection->sock, text->str, text->len);
	g_string_free(text, TRUE);
}

/* Whether bytes of further requests have been received. */
static bool has_further_requests(const connection_t *connection)
{
	return connection->more_to_parse || connection->pipelined;
}

/* An answer with "Connection: close" is the last one. */
static bool closes_after(const http_exchange_t *exchange)
{
	const connection_t *connection = exchange->connection;
	bool stops = exchange->server->draining && !has_further_requests(connection);

	return stops || connection->dropped_further || !http_message_keeps_alive(exchange->message);
}

void http_exchange_reply(http_exchange_t *exchange, int status, const char *content_type,
			 const char *body, size_t body_bytes)
{
	connection_t *connection = exchange->connection;
	bool close_after;

	g_return_if_fail(!exchange->replied);
	exchange->replied = true;
	if (!connection)
		return;
	connection->answered = true;
	close_after = closes_after(exchange);
	write_reply(exchange, status, content_type, body, body_bytes, close_after);
	begin_state(connection, loop_now_us());
	if (close_after)
		linger(connection);
	/* The exchange stays open until a slow caller has received the whole reply; otherwise a
	 * planned shutdown would truncate the reply. */
	if (!sock_is_flushed(connection->sock))
		return;
	end_exchange(connection);
	if (!connection->parsing)
		parse_next(connection);
}

/* ---- requests ---- */

static void add_retry_after(http_exchange_t *exchange)
{
	g_autofree char *seconds = g_strdup_printf("%d", HTTP_SERVER_RETRY_AFTER_US / 1000000);

	http_exchange_add_header(exchange, "Retry-After", seconds);
}

/* Sends an error reply and closes the connection, which can't carry another request. */
static void reject(connection_t *connection, int status, const char *detail)
{
	http_server_t *server = connection->server;
	g_autofree char *body = NULL;
	http_exchange_t error_exchange = {
		.server = server, .connection = connection, .message = connection->message};

	if (server->ops->error_body)
		body = server->ops->error_body(server->ctx, status, detail);
	g_info("event=request-refused status=%d connection=%" G_GUINT64_FORMAT " reason=\"%s\"",
	       status, connection->serial, detail);
	if (status == 503)
		add_retry_after(&error_exchange);
	write_reply(&error_exchange, status, body ? "application/problem+json" : "text/plain",
		    body ? body : detail, strlen(body ? body : detail), true);
	if (error_exchange.reply_headers)
		g_string_free(error_exchange.reply_headers, TRUE);
	linger(connection);
}

/* ---- memory of unfinished requests ---- */

/* The request that is being answered is still answered. */
static void drop_further_requests(connection_t *connection)
{
	g_info("event=caller-cut connection=%" G_GUINT64_FORMAT " reason=memory",
	       connection->serial);
	drop_pipelined(connection);
	connection->dropped_further = true;
}

static void give_up_request(void *ctx)
{
	connection_t *connection = ctx;

	if (connection->exchange) {
		drop_further_requests(connection);
		return;
	}
	reject(connection, 503, "the requests being received take too much memory");
}

/* Counts what the connection holds of requests that are not being answered yet. */
static void count_memory(connection_t *connection)
{
	http_server_t *server = connection->server;
	uint64_t bytes = connection->pipelined ? connection->pipelined->len : 0;

	if (!connection->exchange && http_message_started(connection->message))
		bytes += http_message_memory(connection->message);
	if (!bytes)
		http_memory_release(&connection->share);
	else if (server->unfinished)
		http_memory_hold(server->unfinished, &connection->share, bytes);
}

/* ---- processor time of callers ---- */

static void spend(connection_t *connection, uint64_t work_ns)
{
	uint64_t allowed_ns = MIN(work_ns, connection->allowance_ns);

	connection->allowance_ns -= allowed_ns;
	if (connection->server->pacing && work_ns > allowed_ns)
		pacing_charge(connection->server->pacing, work_ns - allowed_ns);
}

static void spend_on_parsing(connection_t *connection, size_t bytes, bool in_plain_body)
{
	spend(connection, bytes * (in_plain_body ? BODY_BYTE_NS : PARSED_BYTE_NS));
}

/* A body that is forwarded is charged again, since it may go to several searchers. The handling of
 * a request is charged only if it was sent ahead: such a caller sends without waiting. */
static void spend_on_request(connection_t *connection, bool sent_ahead)
{
	const http_exchange_t *exchange = connection->exchange;

	if (exchange)
		spend(connection, FORWARDED_BYTE_NS * http_exchange_body(exchange)->len);
	if (sent_ahead)
		spend(connection, exchange ? FORWARDED_REQUEST_NS : REQUEST_NS);
}

static bool must_wait(const connection_t *connection)
{
	pacing_t *pacing = connection->server->pacing;

	return pacing && !connection->allowance_ns && !pacing_has_left(pacing);
}

static void wait_for_turn(connection_t *connection)
{
	if (!connection->was_paced)
		g_info("event=caller-paced connection=%" G_GUINT64_FORMAT, connection->serial);
	connection->was_paced = true;
	pacing_wait(connection->server->pacing, &connection->turn);
}

/* ---- parsing of requests ---- */

/* Memory of a request until it is answered. The head counts twice: what is sent on is a copy. */
static uint64_t open_request_bytes(const http_message_t *message)
{
	return EXCHANGE_BYTES + http_message_memory(message) + http_message_head_memory(message);
}

static void begin_exchange(connection_t *connection)
{
	http_server_t *server = connection->server;
	uint64_t bytes = open_request_bytes(connection->message);
	http_exchange_t *exchange;

	if (server->open && !http_memory_admit(server->open, bytes)) {
		reject(connection, 503, "the requests being answered take too much memory");
		return;
	}
	exchange = g_new0(http_exchange_t, 1);
	exchange->refs = 1;
	exchange->server = server;
	exchange->connection = connection;
	exchange->message = connection->message;
	exchange->serial = connection->serial;
	exchange->start_us = connection->state_since_us;
	http_memory_release(&connection->share);
	connection->message = http_message_new(HTTP_MESSAGE_REQUEST, server->limits.message);
	connection->exchange = exchange;
	if (server->open)
		http_memory_hold(server->open, &exchange->share, bytes);
	server->open_exchanges++;
	http_exchange_ref(exchange);
	server->ops->request(server->ctx, exchange);
	http_exchange_unref(exchange);
}

static bool lacks_content_length(const connection_t *connection)
{
	return connection->server->ops->requires_length &&
	       http_message_has_head(connection->message) &&
	       http_message_header(connection->message, "Transfer-Encoding");
}

/* Acts on the bytes received so far; returns false when no further bytes may be parsed. */
static bool handle_message_state(connection_t *connection)
{
	if (lacks_content_length(connection)) {
		reject(connection, 411, "Content-Length is required");
		return false;
	}
	switch (http_message_state(connection->message)) {
	case HTTP_MESSAGE_INCOMPLETE:
		return true;
	case HTTP_MESSAGE_COMPLETE:
		begin_exchange(connection);
		return true;
	case HTTP_MESSAGE_INVALID:
		reject(connection, 400, "this is not a request in HTTP/1.1");
		return false;
	case HTTP_MESSAGE_HEAD_TOO_LARGE:
		reject(connection, 431, "the headers are larger than this server takes");
		return false;
	case HTTP_MESSAGE_BODY_TOO_LARGE:
		reject(connection, 413, "the body is larger than this server takes");
		return false;
	}
	return false;
}

static void buffer_pipelined(connection_t *connection, const char *data, size_t bytes)
{
	if (!connection->pipelined)
		connection->pipelined = g_byte_array_new();
	g_byte_array_append(connection->pipelined, (const guint8 *)data, (guint)bytes);
}

/* The request keeps the limits that are in force now. */
static void begin_message(connection_t *connection, bool sent_ahead)
{
	const http_server_t *server = connection->server;

	begin_state(connection, loop_arrival_us(server->loop));
	connection->receive_us = server->limits.receive_us;
	connection->allowance_ns = sent_ahead ? 0 : REQUEST_ALLOWANCE_NS;
	http_message_set_limits(connection->message, server->limits.message);
}

/* Returns how many bytes were consumed: at most up to the end of a request. */
static size_t parse_request(connection_t *connection, const char *data, size_t bytes,
			    bool sent_ahead)
{
	bool in_plain_body;
	size_t consumed;

	if (!http_message_started(connection->message))
		begin_message(connection, sent_ahead);
	in_plain_body = http_message_in_plain_body(connection->message);
	consumed = http_message_parse(connection->message, data, bytes);
	spend_on_parsing(connection, consumed, in_plain_body);
	connection->more_to_parse = bytes > consumed;
	return consumed;
}

/* @param sent_ahead the bytes arrived before the answer to the request before them was sent */
static void parse(connection_t *connection, const char *data, size_t bytes, bool sent_ahead)
{
	connection->parsing = true;
	while (bytes && !connection->exchange && !connection->lingering && !connection->aborted &&
	       !pacing_is_waiting(&connection->turn)) {
		size_t consumed = parse_request(connection, data, bytes, sent_ahead);
		bool complete = http_message_state(connection->message) == HTTP_MESSAGE_COMPLETE;

		data += consumed;
		bytes -= consumed;
		if (!handle_message_state(connection))
			break;
		if (complete) {
			spend_on_request(connection, sent_ahead);
			sent_ahead = true;
		}
		if (bytes && !connection->exchange && must_wait(connection))
			wait_for_turn(connection);
	}
	connection->parsing = false;
	connection->more_to_parse = false;
	if (connection->aborted)
		return;
	if (bytes && !connection->lingering)
		buffer_pipelined(connection, data, bytes);
	count_memory(connection);
}

/* Of requests that are sent ahead only the bytes of one read are held; the others stay with their
 * caller. */
static void set_reading(connection_t *connection)
{
	sock_pause(connection->sock, pacing_is_waiting(&connection->turn) || connection->pipelined);
}

static void parse_pipelined(connection_t *connection)
{
	GByteArray *pipelined = connection->pipelined;

	connection->pipelined = NULL;
	if (pipelined) {
		parse(connection, (const char *)pipelined->data, pipelined->len, true);
		g_byte_array_unref(pipelined);
	}
	if (connection->aborted)
		drop_connection(connection);
	else
		set_reading(connection);
}

/* Called when a request was answered. */
static void parse_next(connection_t *connection)
{
	if (pacing_is_waiting(&connection->turn))
		return;
	if (connection->pipelined && must_wait(connection))
		wait_for_turn(connection);
	else
		parse_pipelined(connection);
}

static void go_on(void *ctx)
{
	connection_t *connection = ctx;

	if (connection->exchange)
		set_reading(connection);
	else
		parse_pipelined(connection);
}

/* ---- connections ---- */

static void connection_free(connection_t *connection)
{
	g_queue_unlink(&connection->server->connections, &connection->link);
	http_memory_release(&connection->share);
	pacing_cancel(&connection->turn);
	http_message_free(connection->message);
	drop_pipelined(connection);
	g_free(connection);
}

static void on_received(void *ctx, const char *data, size_t bytes)
{
	connection_t *connection = ctx;

	spend(connection, READ_NS);
	if (connection->lingering || connection->dropped_further) {
		spend(connection, bytes * BODY_BYTE_NS);
	} else if (connection->exchange) {
		buffer_pipelined(connection, data, bytes);
		count_memory(connection);
	} else {
		parse(connection, data, bytes, false);
	}
	if (connection->aborted) {
		drop_connection(connection);
		return;
	}
	if (must_wait(connection))
		wait_for_turn(connection);
	set_reading(connection);
}

static void on_flushed(void *ctx)
{
	connection_t *connection = ctx;

	if (!connection->exchange || !connection->exchange->replied)
		return;
	end_exchange(connection);
	parse_next(connection);
}

static void on_ended(void *ctx, sock_close_reason_t reason)
{
	connection_t *connection = ctx;
	http_server_t *server = connection->server;
	http_exchange_t *exchange = connection->exchange;

	(void)reason;
	if (exchange) {
		bool replied = exchange->replied;

		http_exchange_ref(exchange);
		end_exchange(connection);
		if (!replied && server->ops->disconnected)
			server->ops->disconnected(server->ctx, exchange);
		http_exchange_unref(exchange);
	}
	connection_free(connection);
}

static const sock_ops_t connection_ops = {
	.received = on_received, .flushed = on_flushed, .ended = on_ended};

static void drop_connection(connection_t *connection)
{
	sock_close(connection->sock);
	on_ended(connection, SOCK_CLOSED);
}

static bool is_idle(const connection_t *connection, uint64_t now_us)
{
	return !connection->exchange && !connection->lingering && !connection->pipelined &&
	       !http_message_started(connection->message) &&
	       now_us >= connection->state_since_us + NEW_CONNECTION_GRACE_US;
}

/* Whether closing the connection loses nothing that a searcher may be working on. */
static bool is_replaceable(const connection_t *connection, uint64_t now_us)
{
	const http_exchange_t *exchange = connection->exchange;

	return (!exchange || exchange->replied) &&
	       now_us >= connection->state_since_us + connection->server->replace_after_us;
}

/* Prefers connections with an unfinished request or answer, and those on which no request has
 * arrived, to those of callers that keep theirs between requests. */
static connection_t *find_replaceable(const http_server_t *server)
{
	uint64_t now_us = loop_now_us();
	GList *item = server->connections.head;
	connection_t *kept = NULL;

	for (uint32_t i = 0; item && i < ROOM_TRIES_MAX; i++, item = item->next) {
		connection_t *connection = item->data;

		if (!is_replaceable(connection, now_us))
			continue;
		if (!connection->answered || !is_idle(connection, now_us))
			return connection;
		kept = kept ? kept : connection;
	}
	return kept;
}

/* Returns whether one more connection may be accepted. */
static bool make_room(http_server_t *server)
{
	connection_t *replaced;

	if (server->connections.length < server->connections_max)
		return true;
	server->connections_refused++;
	replaced = server->replace_after_us ? find_replaceable(server) : NULL;
	if (!replaced)
		return false;
	if (!is_idle(replaced, loop_now_us()))
		g_info("event=caller-cut connection=%" G_GUINT64_FORMAT " reason=room",
		       replaced->serial);
	drop_connection(replaced);
	return true;
}

static void on_accepted(void *ctx, sock_t *sock)
{
	http_server_t *server = ctx;
	connection_t *connection;

	if (!make_room(server)) {
		sock_close(sock);
		return;
	}
	connection = g_new0(connection_t, 1);
	connection->server = server;
	connection->sock = sock;
	connection->message = http_message_new(HTTP_MESSAGE_REQUEST, server->limits.message);
	connection->serial = ++server->last_serial;
	connection->state_since_us = loop_now_us();
	connection->link.data = connection;
	connection->share = (http_memory_share_t){.give_up = give_up_request, .ctx = connection};
	connection->turn = (pacing_turn_t){.go_on = go_on, .ctx = connection};
	g_queue_push_tail_link(&server->connections, &connection->link);
	server->connections_peak = MAX(server->connections_peak, server->connections.length);
	sock_set_ops(sock, &connection_ops, connection);
}

void http_exchange_abort(http_exchange_t *exchange)
{
	connection_t *connection = exchange->connection;

	if (!connection)
		return;
	if (connection->parsing)
		connection->aborted = true;
	else
		drop_connection(connection);
}

static void check_limits(connection_t *connection, uint64_t now_us)
{
	const http_server_limits_t *limits = &connection->server->limits;
	uint64_t age_us = now_us - connection->state_since_us;
	bool reply_unread = connection->exchange && connection->exchange->replied;

	if (reply_unread) {
		if (age_us > UNREAD_REPLY_TIMEOUT_US)
			drop_connection(connection);
	} else if (connection->lingering) {
		if (age_us > LINGER_TIMEOUT_US)
			drop_connection(connection);
	} else if (connection->exchange) {
		return;
	} else if (http_message_started(connection->message)) {
		if (age_us > connection->receive_us)
			reject(connection, 408, "the request did not arrive in time");
	} else if (age_us > limits->idle_us) {
		drop_connection(connection);
	}
}

static void sweep(void *ctx)
{
	http_server_t *server = ctx;
	uint64_t now_us = loop_now_us();
	GList *next;

	for (GList *item = server->connections.head; item; item = next) {
		next = item->next;
		check_limits(item->data, now_us);
	}
	loop_timer_set(server->loop, &server->sweep, SWEEP_INTERVAL_US);
}

http_server_t *http_server_new(loop_t *loop, const char *address, uint16_t port,
			       const http_server_limits_t *limits, const http_server_ops_t *ops,
			       void *ctx)
{
	http_server_t *server = g_new0(http_server_t, 1);

	server->ops = ops;
	server->ctx = ctx;
	server->loop = loop;
	server->limits = *limits;
	server->connections_max = UINT32_MAX;
	g_queue_init(&server->connections);
	server->sweep = (loop_timer_t){.fire = sweep, .ctx = server};
	server->listener = listener_new(loop, address, port, on_accepted, server);
	if (!server->listener) {
		g_free(server);
		return NULL;
	}
	loop_timer_set(loop, &server->sweep, SWEEP_INTERVAL_US);
	return server;
}

void http_server_free(http_server_t *server)
{
	listener_close(server->listener);
	loop_timer_cancel(&server->sweep);
	while (server->connections.head)
		drop_connection(server->connections.head->data);
	g_free(server);
}

void http_server_set_limits(http_server_t *server, const http_server_limits_t *limits)
{
	server->limits = *limits;
}

uint32_t http_server_connections(const http_server_t *server)
{
	return server->connections.length;
}

uint32_t http_server_connections_peak(const http_server_t *server)
{
	return server->connections_peak;
}

void http_server_drain(http_server_t *server)
{
	server->draining = true;
}

/* A connection that was just established doesn't count as idle: its first request is probably in
 * transit, and closing the connection would leave the caller without any answer. */
void http_server_close_idle(http_server_t *server)
{
	uint64_t now_us = loop_now_us();
	GList *next;

	/* A connection that lingers moves to the end. */
	for (GList *item = server->connections.head; item; item = next) {
		next = item->next;
		if (is_idle(item->data, now_us))
			linger(item->data);
	}
}

void http_server_limit_connections(http_server_t *server, uint32_t max, uint64_t replace_after_us)
{
	server->connections_max = max;
	server->replace_after_us = replace_after_us;
}

void http_server_limit_memory(http_server_t *server, http_memory_t *unfinished, http_memory_t *open)
{
	server->unfinished = unfinished;
	server->open = open;
}

void http_server_pace(http_server_t *server, pacing_t *pacing)
{
	server->pacing = pacing;
}

void http_server_leave_descriptors(http_server_t *server)
{
	double max = DESCRIPTORS_SHARE * sock_descriptors_max();

	http_server_limit_connections(server, (uint32_t)max, NEW_CONNECTION_GRACE_US);
}

void http_server_limit_probes(http_server_t *server)
{
	double max = PROBE_DESCRIPTORS_SHARE * sock_descriptors_max();

	http_server_limit_connections(server, (uint32_t)max, PROBE_GRACE_US);
}

uint64_t http_server_connections_refused(const http_server_t *server)
{
	return server->connections_refused;
}

uint32_t http_server_open_exchanges(const http_server_t *server)
{
	return server->open_exchanges;
}

uint64_t http_server_connections_serial(const http_server_t *server)
{
	return server->last_serial;
}
