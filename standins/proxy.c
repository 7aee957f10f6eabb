/**
 * @file proxy.c
 * A loopback proxy that harms what passes: delays it, drops it one way or both, or cuts it.
 *
 *     standin-proxy CONTROL LISTEN:TARGET...
 *
 * GET /do?mode=pass|delay|silent|oneway at the control port sets the manner of connections to come
 * and of those that are open, or of those that are open only, with &open=1; mode=cut closes all.
 */
#include "net/http_server.h"
#include "net/sock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DELAY_US 150000

typedef enum manner_t { PASS, DELAY, SILENT, ONE_WAY } manner_t;

typedef struct proxy_t {
	loop_t *loop;
	GPtrArray *pipes;
	manner_t manner;
} proxy_t;

/* One end of a passing connection. */
typedef struct side_t {
	struct pipe_t *pipe;
	sock_t *sock; /* NULL once it has ended */
	bool is_caller;
} side_t;

typedef struct pipe_t {
	proxy_t *proxy;
	manner_t manner;
	side_t caller, target;
	uint32_t held; /* delayed pieces on their way */
} pipe_t;

typedef struct piece_t {
	side_t *to;
	GBytes *bytes;
	loop_timer_t timer;
} piece_t;

typedef struct door_t {
	proxy_t *proxy;
	uint16_t target;
} door_t;

static void free_if_over(pipe_t *pipe)
{
	if (pipe->caller.sock || pipe->target.sock || pipe->held)
		return;
	g_ptr_array_remove_fast(pipe->proxy->pipes, pipe);
	g_free(pipe);
}

static void close_side(side_t *side)
{
	if (side->sock)
		sock_close(side->sock);
	side->sock = NULL;
}

static void give(side_t *to, const char *data, size_t bytes)
{
	if (to->sock)
		sock_write(to->sock, data, bytes);
}

static void give_late(void *ctx)
{
	piece_t *piece = ctx;
	pipe_t *pipe = piece->to->pipe;
	gsize bytes;
	const char *data = g_bytes_get_data(piece->bytes, &bytes);

	give(piece->to, data, bytes);
	g_bytes_unref(piece->bytes);
	g_free(piece);
	pipe->held--;
	free_if_over(pipe);
}

static void on_received(void *ctx, const char *data, size_t bytes)
{
	side_t *from = ctx;
	pipe_t *pipe = from->pipe;
	side_t *to = from->is_caller ? &pipe->target : &pipe->caller;
	piece_t *piece;

	if (pipe->manner == SILENT || (pipe->manner == ONE_WAY && !from->is_caller))
		return;
	if (pipe->manner == PASS) {
		give(to, data, bytes);
		return;
	}
	piece = g_new0(piece_t, 1);
	piece->to = to;
	piece->bytes = g_bytes_new(data, bytes);
	piece->timer = (loop_timer_t){.fire = give_late, .ctx = piece};
	pipe->held++;
	loop_timer_set(pipe->proxy->loop, &piece->timer, DELAY_US);
}

static void on_ended(void *ctx, sock_close_reason_t end)
{
	side_t *side = ctx;
	pipe_t *pipe = side->pipe;

	(void)end;
	side->sock = NULL;
	close_side(side->is_caller ? &pipe->target : &pipe->caller);
	free_if_over(pipe);
}

static void on_opened(void *ctx)
{
	(void)ctx;
}

static const sock_ops_t side_ops = {
	.opened = on_opened, .received = on_received, .ended = on_ended};

static void on_accepted(void *ctx, sock_t *sock)
{
	door_t *door = ctx;
	pipe_t *pipe = g_new0(pipe_t, 1);

	pipe->proxy = door->proxy;
	pipe->manner = door->proxy->manner;
	pipe->caller = (side_t){.pipe = pipe, .sock = sock, .is_caller = true};
	pipe->target = (side_t){.pipe = pipe};
	g_ptr_array_add(door->proxy->pipes, pipe);
	sock_set_ops(sock, &side_ops, &pipe->caller);
	pipe->target.sock = sock_connect(door->proxy->loop, "127.0.0.1", door->target, &side_ops,
					 &pipe->target);
}

static void cut_all(proxy_t *proxy)
{
	for (guint i = proxy->pipes->len; i-- > 0;) {
		pipe_t *pipe = g_ptr_array_index(proxy->pipes, i);

		close_side(&pipe->caller);
		close_side(&pipe->target);
		free_if_over(pipe);
	}
}

static void on_control(void *ctx, http_exchange_t *exchange)
{
	static const char *const names[] = {"pass", "delay", "silent", "oneway"};
	proxy_t *proxy = ctx;
	const char *mode = http_exchange_param(exchange, "mode");
	bool only_open = http_exchange_param(exchange, "open") != NULL;

	for (size_t i = 0; mode && i < G_N_ELEMENTS(names); i++) {
		if (!g_str_equal(mode, names[i]))
			continue;
		if (!only_open)
			proxy->manner = (manner_t)i;
		for (guint j = 0; j < proxy->pipes->len; j++)
			((pipe_t *)g_ptr_array_index(proxy->pipes, j))->manner = (manner_t)i;
	}
	if (!g_strcmp0(mode, "cut"))
		cut_all(proxy);
	http_exchange_reply(exchange, 200, NULL, "", 0);
}

static void on_signal(void *ctx, int number)
{
	(void)number;
	loop_stop(((proxy_t *)ctx)->loop);
}

static bool open_door(proxy_t *proxy, const char *map)
{
	const char *colon = strchr(map, ':');
	door_t *door = g_new0(door_t, 1);

	door->proxy = proxy;
	door->target = colon ? (uint16_t)atoi(colon + 1) : 0;
	return listener_new(proxy->loop, "127.0.0.1", (uint16_t)atoi(map), on_accepted, door);
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
		if (!open_door(&proxy, argv[i]))
			return 1;
	loop_run(proxy.loop, on_signal, &proxy);
	return 0;
}
