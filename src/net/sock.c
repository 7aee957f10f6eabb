/**
 * @file sock.c
 * See sock.h.
 */
#define _GNU_SOURCE /* accept4 */
#include "net/sock.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* One read takes a typical reply whole; larger ones take several. */
#define READ_CHUNK_BYTES 16384
/* Connections queued by the kernel while one turn of the loop runs; beyond it callers wait. */
#define LISTEN_BACKLOG 512
/* A peer that acknowledges nothing for so long is gone; well above any link's round trip. */
#define UNACKNOWLEDGED_MAX_MS 6000

struct sock_t {
	fd_watch_t watch; /* first: the loop's events come with a pointer to it */
	const sock_ops_t *ops;
	void *ctx;
	GByteArray *out; /* what the kernel has not taken yet; NULL when nothing */
	bool connecting;
	bool shutting_down; /* our direction ends once `out` is written */
	bool in_callback;
	bool closed; /* no more callbacks; freed when the loop lets go of it */
};

struct listener_t {
	fd_watch_t watch; /* first: the loop's events come with a pointer to it */
	loop_t *loop;
	listener_accepted_f accepted;
	void *ctx;
};

const char *sock_close_reason_name(sock_close_reason_t end)
{
	static const char *const names[] = {[SOCK_CLOSED] = "closed",
					    [SOCK_RESET] = "reset",
					    [SOCK_REFUSED] = "refused",
					    [SOCK_CONNECT_FAILED] = "unreached"};

	return names[end];
}

static void free_unsent(sock_t *sock)
{
	if (sock->out)
		g_byte_array_unref(sock->out);
	sock->out = NULL;
}

static void report_close(sock_t *sock, sock_close_reason_t end)
{
	if (sock->closed)
		return;
	sock->closed = true;
	if (sock->connecting && end != SOCK_REFUSED)
		end = SOCK_CONNECT_FAILED;
	if (sock->ops)
		sock->ops->ended(sock->ctx, end);
}

/* A connection that can't be made may be told as readable first: then it is the read that says why.
 */
static sock_close_reason_t end_of(int problem)
{
	return problem == ECONNREFUSED ? SOCK_REFUSED : SOCK_RESET;
}

/* 0 to go on, -1 when the connection has ended. */
static int read_available(sock_t *sock)
{
	char chunk[READ_CHUNK_BYTES];
	ssize_t got;

	do {
		got = recv(sock->watch.fd, chunk, sizeof(chunk), 0);
		if (got < 0 && (errno == EAGAIN || errno == EINTR))
			return 0;
		if (got <= 0) {
			report_close(sock, got == 0 ? SOCK_CLOSED : end_of(errno));
			return -1;
		}
		if (sock->ops)
			sock->ops->received(sock->ctx, chunk, (size_t)got);
	} while (!sock->closed && got == (ssize_t)sizeof(chunk));
	return sock->closed ? -1 : 0;
}

static int finish_connect(sock_t *sock)
{
	int problem = 0;
	socklen_t size = sizeof(problem);

	if (getsockopt(sock->watch.fd, SOL_SOCKET, SO_ERROR, &problem, &size) || problem) {
		report_close(sock, end_of(problem));
		return -1;
	}
	sock->connecting = false;
	sock->ops->opened(sock->ctx);
	return sock->closed ? -1 : 0;
}

static int write_unsent(sock_t *sock)
{
	ssize_t sent;

	if (!sock->out)
		return 0;
	sent = send(sock->watch.fd, sock->out->data, sock->out->len, MSG_NOSIGNAL);
	if (sent < 0 && errno != EAGAIN && errno != EINTR) {
		report_close(sock, SOCK_RESET);
		return -1;
	}
	if (sent > 0)
		g_byte_array_remove_range(sock->out, 0, (guint)sent);
	if (sock->out->len) {
		loop_want_write(&sock->watch);
		return 0;
	}
	free_unsent(sock);
	if (sock->shutting_down)
		shutdown(sock->watch.fd, SHUT_WR);
	if (sock->ops && sock->ops->flushed)
		sock->ops->flushed(sock->ctx);
	return sock->closed ? -1 : 0;
}

/* The loop closes the descriptor after this; bytes that came with the end are still read. */
static void free_closed(sock_t *sock)
{
	if (!sock->closed && read_available(sock) == 0)
		report_close(sock, SOCK_RESET);
	free_unsent(sock);
	g_free(sock);
}

static bool sock_event(fd_watch_t *watch, fd_event_t event)
{
	sock_t *sock = (sock_t *)watch;
	int end = 0;

	sock->in_callback = true;
	switch (event) {
	case FD_READABLE:
		end = read_available(sock);
		break;
	case FD_WRITABLE:
		end = sock->connecting ? finish_connect(sock) : 0;
		if (!end)
			end = write_unsent(sock);
		break;
	case FD_CLOSED:
		free_closed(sock);
		return false;
	}
	sock->in_callback = false;
	return !end && !sock->closed;
}

static void set_options(int fd)
{
	int on = 1, limit_ms = UNACKNOWLEDGED_MAX_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms, sizeof(limit_ms));
}

static bool listener_event(fd_watch_t *watch, fd_event_t event)
{
	listener_t *listener = (listener_t *)watch;
	sock_t *sock;
	int fd;

	if (event == FD_CLOSED) {
		g_free(listener);
		return false;
	}
	if (event != FD_READABLE)
		return true;
	while ((fd = accept4(watch->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		set_options(fd);
		sock = g_new0(sock_t, 1);
		sock->watch = (fd_watch_t){.fd = fd, .event = sock_event};
		if (!loop_watch(listener->loop, &sock->watch)) {
			g_warning("event=connection-refused reason=descriptors");
			g_free(sock);
			continue;
		}
		listener->accepted(listener->ctx, sock);
	}
	return true;
}

static bool to_sockaddr(const char *address, uint16_t port, struct sockaddr_in *out)
{
	*out = (struct sockaddr_in){.sin_family = AF_INET, .sin_port = htons(port)};
	return inet_pton(AF_INET, address, &out->sin_addr) == 1;
}

sock_t *sock_connect(loop_t *loop, const char *address, uint16_t port, const sock_ops_t *ops,
		     void *ctx)
{
	struct sockaddr_in to;
	sock_t *sock;
	int fd;

	if (!to_sockaddr(address, port, &to))
		return NULL;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return NULL;
	set_options(fd);
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) && errno != EINPROGRESS) {
		close(fd);
		return NULL;
	}
	sock = g_new0(sock_t, 1);
	sock->watch = (fd_watch_t){.fd = fd, .event = sock_event, .wants_write = true};
	sock->ops = ops;
	sock->ctx = ctx;
	sock->connecting = true;
	if (!loop_watch(loop, &sock->watch)) {
		g_free(sock);
		return NULL;
	}
	return sock;
}

void sock_set_ops(sock_t *sock, const sock_ops_t *ops, void *ctx)
{
	sock->ops = ops;
	sock->ctx = ctx;
}

void sock_write(sock_t *sock, const void *data, size_t bytes)
{
	ssize_t sent = 0;

	if (sock->closed || !bytes)
		return;
	if (!sock->out && !sock->connecting) {
		sent = send(sock->watch.fd, data, bytes, MSG_NOSIGNAL);
		/* A broken connection is told by the next poll, never from inside a write. */
		if (sent < 0)
			sent = 0;
		if ((size_t)sent == bytes)
			return;
	}
	if (!sock->out)
		sock->out = g_byte_array_new();
	g_byte_array_append(sock->out, (const guint8 *)data + sent, (guint)(bytes - (size_t)sent));
	loop_want_write(&sock->watch);
}

bool sock_is_flushed(const sock_t *sock)
{
	return !sock->out;
}

void sock_shutdown(sock_t *sock)
{
	sock->shutting_down = true;
	if (!sock->out && !sock->closed)
		shutdown(sock->watch.fd, SHUT_WR);
}

void sock_close(sock_t *sock)
{
	if (sock->closed)
		return;
	sock->closed = true;
	/* From inside its own callback the return value closes it; the loop still uses it. */
	if (!sock->in_callback)
		loop_unwatch(&sock->watch);
}

listener_t *listener_new(loop_t *loop, const char *address, uint16_t port,
			 listener_accepted_f accepted, void *ctx)
{
	struct sockaddr_in at;
	listener_t *listener;
	int on = 1, fd;

	if (!to_sockaddr(address, port, &at))
		return NULL;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return NULL;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&at, sizeof(at)) || listen(fd, LISTEN_BACKLOG)) {
		close(fd);
		return NULL;
	}
	listener = g_new0(listener_t, 1);
	*listener = (listener_t){.watch = {.fd = fd, .event = listener_event},
				 .loop = loop,
				 .accepted = accepted,
				 .ctx = ctx};
	if (!loop_watch(loop, &listener->watch)) {
		g_free(listener);
		return NULL;
	}
	return listener;
}

void listener_close(listener_t *listener)
{
	loop_unwatch(&listener->watch);
}
