/**
 * @file proxy.c
 * A loopback TCP proxy that injects faults: it delays data, drops it in one or both directions, or
 * closes the connections.
 *
 *     standin-proxy CONTROL LISTEN:TARGET...
 *
 * GET /do?mode=pass|delay|silent|oneway at the control port sets the mode of open and of new
 * connections, or with &open=1 of open connections only; mode=cut closes all connections. "silent"
 * drops data in both directions, "oneway" drops what the target sends.
 *
 * Targets that answer in HTTP: status=TEXT replaces the three bytes of the status code of their
 * answers, until status= is empty; late=1 sends each answer a second time, when the next answer on
 * its connection is due, until late=0; endless=KIND answers each request to the
 * first N ports (bad=N; default: all) without end, as endless.h says, and slowly with slow=1, until
 * endless= is empty.
 */
#include "endless.h"
#include "net/http_server.h"
#include "net/sock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DELAY_US 150000
#define STATUS_LINE_START "HTTP/1.1 "
#define STATUS_BYTES 3

typedef enum proxy_mode_t { PROXY_PASS, PROXY_DELAY, PROXY_SILENT, PROXY_ONE_WAY } proxy_mode_t;

typedef struct proxy_t {
	loop_t *loop;
	GPtrArray *pipes;
	proxy_mode_t mode;
	char status[STATUS_BYTES + 1]; /* empty: status codes stay as they are */
	bool copies_late;
	const endless_kind_t *endless; /* NULL: answers are those of the target */
	bool endless_slow;
	uint32_t endless_bad;
} proxy_t;

/* One of the two sockets of a proxied connection. */
typedef struct side_t {
	struct pipe_t *pipe;
	sock_t *sock; /* NULL once it is closed */
	bool is_caller;
} side_t;

typedef struct pipe_t {
	proxy_t *proxy;
	proxy_mode_t mode;
	side_t caller, target;
	uint32_t delayed_chunks; /* received and not yet written */
	GBytes *late;		 /* copy of the last answer; NULL: none */
	uint32_t port;		 /* index of the listening port */
	endless_t *endless;	 /* NULL: no answer without end has begun */
} pipe_t;

typedef struct chunk_t {
	side_t *to;
	GBytes *bytes;
	loop_timer_t timer;
} chunk_t;

typedef struct forwarded_port_t {
	proxy_t *proxy;
	uint16_t target;
	uint32_t index;
} forwarded_port_t;

static void free_if_closed(pipe_t *pipe)
{
	if (pipe->caller.sock || pipe->target.sock || pipe->delayed_chunks)
		return;
	g_ptr_array_remove_fast(pipe->proxy->pipes, pipe);
	g_clear_pointer(&pipe->late, g_bytes_unref);
	g_free(pipe);
}

static void stop_endless(pipe_t *pipe)
{
	endless_free(pipe->endless);
	pipe->endless = NULL;
}

static void close_side(side_t *side)
{
	if (side->is_caller)
		stop_endless(side->pipe);
	if (side->sock)
		sock_close(side->sock);
	side->sock = NULL;
}

static void write_to_side(side_t *to, const char *data, size_t bytes)
{
	if (to->sock)
		sock_write(to->sock, data, bytes);
}

static void write_delayed_chunk(void *ctx)
{
	chunk_t *chunk = ctx;
	pipe_t *pipe = chunk->to->pipe;
	gsize bytes;
	const char *data = g_bytes_get_data(chunk->bytes, &bytes);

	write_to_side(chunk->to, data, bytes);
	g_bytes_unref(chunk->bytes);
	g_free(chunk);
	pipe->delayed_chunks--;
	free_if_closed(pipe);
}

static bool begins_answer(const char *data, size_t bytes)
{
	return bytes >= strlen(STATUS_LINE_START) + STATUS_BYTES &&
	       !strncmp(data, STATUS_LINE_START, strlen(STATUS_LINE_START));
}

static void write_late_copy(pipe_t *pipe)
{
	gsize bytes;
	const char *data;

	if (!pipe->late)
		return;
	data = g_bytes_get_data(pipe->late, &bytes);
	write_to_side(&pipe->caller, data, bytes);
	g_clear_pointer(&pipe->late, g_bytes_unref);
}

static void write_answer(pipe_t *pipe, const char *data, size_t bytes)
{
	const proxy_t *proxy = pipe->proxy;
	g_autofree char *answer = g_memdup2(data, bytes);

	if (*proxy->status)
		memcpy(answer + strlen(STATUS_LINE_START), proxy->status, STATUS_BYTES);
	write_late_copy(pipe);
	if (proxy->copies_late)
		pipe->late = g_bytes_new(answer, bytes);
	write_to_side(&pipe->caller, answer, bytes);
}

static bool answers_without_end(const pipe_t *pipe)
{
	const proxy_t *proxy = pipe->proxy;

	return proxy->endless && pipe->port < proxy->endless_bad;
}

static void on_received(void *ctx, const char *data, size_t bytes)
{
	side_t *from = ctx;
	pipe_t *pipe = from->pipe;
	side_t *to = from->is_caller ? &pipe->target : &pipe->caller;
	chunk_t *chunk;

	if (pipe->endless)
		return;
	if (from->is_caller && answers_without_end(pipe)) {
		pipe->endless = endless_new(pipe->proxy->loop, from->sock, pipe->proxy->endless,
					    pipe->proxy->endless_slow);
		return;
	}
	if (pipe->mode == PROXY_SILENT || (pipe->mode == PROXY_ONE_WAY && !from->is_caller))
		return;
	if (pipe->mode == PROXY_PASS && !from->is_caller && begins_answer(data, bytes)) {
		write_answer(pipe, data, bytes);
		return;
	}
	if (pipe->mode == PROXY_PASS) {
		write_to_side(to, data, bytes);
		return;
	}
	chunk = g_new0(chunk_t, 1);
	chunk->to = to;
	chunk->bytes = g_bytes_new(data, bytes);
	chunk->timer = (loop_timer_t){.fire = write_delayed_chunk, .ctx = chunk};
	pipe->delayed_chunks++;
	loop_timer_set(pipe->proxy->loop, &chunk->timer, DELAY_US);
}

static void on_side_closed(void *ctx, sock_close_reason_t reason)
{
	side_t *side = ctx;
	pipe_t *pipe = side->pipe;

	(void)reason;
	side->sock = NULL;
	stop_endless(pipe);
	close_side(side->is_caller ? &pipe->target : &pipe->caller);
	free_if_closed(pipe);
}

static void on_opened(void *ctx)
{
	(void)ctx;
}

static void on_flushed(void *ctx)
{
	endless_flushed(((side_t *)ctx)->pipe->endless);
}

static const sock_ops_t side_ops = {.opened = on_opened,
				    .received = on_received,
				    .flushed = on_flushed,
				    .ended = on_side_closed};

static void on_accepted(void *ctx, sock_t *sock)
{
	forwarded_port_t *port = ctx;
	pipe_t *pipe = g_new0(pipe_t, 1);

	pipe->proxy = port->proxy;
	pipe->mode = port->proxy->mode;
	pipe->port = port->index;
	pipe->caller = (side_t){.pipe = pipe, .sock = sock, .is_caller = true};
	pipe->target = (side_t){.pipe = pipe};
	g_ptr_array_add(port->proxy->pipes, pipe);
	sock_set_ops(sock, &side_ops, &pipe->caller);
	pipe->target.sock = sock_connect(port->proxy->loop, "127.0.0.1", port->target, &side_ops,
					 &pipe->target);
}

static void cut_all(proxy_t *proxy)
{
	for (guint i = proxy->pipes->len; i-- > 0;) {
		pipe_t *pipe = g_ptr_array_index(proxy->pipes, i);

		close_side(&pipe->caller);
		close_side(&pipe->target);
		free_if_closed(pipe);
	}
}

static uint32_t number_param(http_exchange_t *exchange, const char *name, uint32_t fallback)
{
	const char *text = http_exchange_param(exchange, name);

	return text ? (uint32_t)strtoul(text, NULL, 10) : fallback;
}

static void set_endless(proxy_t *proxy, http_exchange_t *exchange)
{
	proxy->endless = endless_kind_find(http_exchange_param(exchange, "endless"));
	proxy->endless_slow = number_param(exchange, "slow", 0);
	proxy->endless_bad = number_param(exchange, "bad", UINT32_MAX);
}

static void on_control(void *ctx, http_exchange_t *exchange)
{
	static const char *const names[] = {"pass", "delay", "silent", "oneway"};
	proxy_t *proxy = ctx;
	const char *mode_name = http_exchange_param(exchange, "mode");
	const char *status = http_exchange_param(exchange, "status");
	const char *late = http_exchange_param(exchange, "late");
	bool only_open = http_exchange_param(exchange, "open") != NULL;

	if (status && (!*status || strlen(status) == STATUS_BYTES))
		g_strlcpy(proxy->status, status, sizeof(proxy->status));
	if (late)
		proxy->copies_late = g_str_equal(late, "1");
	if (http_exchange_param(exchange, "endless"))
		set_endless(proxy, exchange);
	for (size_t i = 0; mode_name && i < G_N_ELEMENTS(names); i++) {
		if (!g_str_equal(mode_name, names[i]))
			continue;
		if (!only_open)
			proxy->mode = (proxy_mode_t)i;
		for (guint j = 0; j < proxy->pipes->len; j++)
			((pipe_t *)g_ptr_array_index(proxy->pipes, j))->mode = (proxy_mode_t)i;
	}
	if (!g_strcmp0(mode_name, "cut"))
		cut_all(proxy);
	http_exchange_reply(exchange, 200, NULL, "", 0);
}

static void on_signal(void *ctx, int number)
{
	(void)number;
	loop_stop(((proxy_t *)ctx)->loop);
}

static bool open_port(proxy_t *proxy, const char *mapping, uint32_t index)
{
	const char *colon = strchr(mapping, ':');
	forwarded_port_t *port = g_new0(forwarded_port_t, 1);

	port->proxy = proxy;
	port->index = index;
	port->target = colon ? (uint16_t)atoi(colon + 1) : 0;
	return listener_new(proxy->loop, "127.0.0.1", (uint16_t)atoi(mapping), on_accepted, port);
}

int main(int argc, char **argv)
{
	static const http_server_ops_t control = {.request = on_control};
	proxy_t proxy = {.pipes = g_ptr_array_new()};

	proxy.loop = loop_new();
	if (argc < 3 || !http_server_new(proxy.loop, "127.0.0.1", (uint16_t)atoi(argv[1]),
					 &HTTP_SERVER_INTERNAL_LIMITS(0), &control, &proxy)) {
		g_printerr("usage: standin-proxy CONTROL LISTEN:TARGET...\n");
		return 2;
	}
	for (int i = 2; i < argc; i++)
		if (!open_port(&proxy, argv[i], (uint32_t)i - 2))
			return 1;
	loop_run(proxy.loop, on_signal, &proxy);
	return 0;
}
