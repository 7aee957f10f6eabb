/**
 * @file sock.c
 * See sock.h.
 */
#define _GNU_SOURCE /* accept4 */
#include "net/sock.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

/* Bytes per read: a typical reply needs one read, larger ones need several. */
#define READ_CHUNK_BYTES 16384
/* Bytes read from one socket before the others have their turn; a sender may be faster than the
 * parser. */
#define READ_TURN_BYTES (4 * READ_CHUNK_BYTES)
/* Connections that the kernel queues during one loop iteration; beyond this callers wait. */
#define LISTEN_BACKLOG 512
/* A peer that acknowledges nothing for this long is considered dead; well above any link's round
 * trip. */
#define UNACKNOWLEDGED_MAX_MS 6000

struct sock_t {
	fd_watch_t watch; /* must be first: the event callback casts its address */
	const sock_ops_t *ops;
	void *ctx;
	GByteArray *unsent; /* bytes that the kernel has not accepted yet; NULL: none */
	bool connecting;
	bool shutting_down; /* shut down the sending direction once `unsent` is written */
	bool in_callback;
	bool closed; /* no more callbacks; freed on FD_CLOSED */
};

struct listener_t {
	fd_watch_t watch; /* must be first: the event callback casts its address */
	loop_t *loop;
	listener_accepted_f accepted;
	void *ctx;
};

const char *sock_close_reason_name(sock_close_reason_t reason)
{
	static const char *const names[] = {[SOCK_CLOSED] = "closed",
					    [SOCK_RESET] = "reset",
					    [SOCK_REFUSED] = "refused",
					    [SOCK_CONNECT_FAILED] = "unreached"};

	return names[reason];
}

static void free_unsent(sock_t *sock)
{
	if (sock->unsent)
		g_byte_array_unref(sock->unsent);
	sock->unsent = NULL;
}

static void report_close(sock_t *sock, sock_close_reason_t reason)
{
	if (sock->closed)
		return;
	sock->closed = true;
	if (sock->connecting && reason != SOCK_REFUSED)
		reason = SOCK_CONNECT_FAILED;
	if (sock->ops)
		sock->ops->ended(sock->ctx, reason);
}

/* A failed connection attempt may be reported as readable first; the read then sets errno. */
static sock_close_reason_t reason_of_errno(int error)
{
	return error == ECONNREFUSED ? SOCK_REFUSED : SOCK_RESET;
}

/* Reads what has arrived, or as much as one turn allows: the loop reports the rest as readable
 * again. Returns 0, or -1 when the socket is closed. */
static int read_available(sock_t *sock)
{
	char chunk[READ_CHUNK_BYTES];
	size_t left = READ_TURN_BYTES;
	ssize_t got;

	if (sock->watch.reads_paused) {
		report_close(sock, SOCK_CLOSED);
		return -1;
	}
	do {
		got = recv(sock->watch.fd, chunk, sizeof(chunk), 0);
		if (got < 0 && (errno == EAGAIN || errno == EINTR))
			return 0;
		if (got <= 0) {
			report_close(sock, got == 0 ? SOCK_CLOSED : reason_of_errno(errno));
			return -1;
		}
		if (sock->ops)
			sock->ops->received(sock->ctx, chunk, (size_t)got);
		left -= (size_t)got;
	} while (!sock->closed && !sock->watch.reads_paused && left &&
		 got == (ssize_t)sizeof(chunk));
	return sock->closed ? -1 : 0;
}

static int finish_connect(sock_t *sock)
{
	int error = 0;
	socklen_t size = sizeof(error);

	if (getsockopt(sock->watch.fd, SOL_SOCKET, SO_ERROR, &error, &size) || error) {
		report_close(sock, reason_of_errno(error));
		return -1;
	}
	sock->connecting = false;
	sock->ops->opened(sock->ctx);
	return sock->closed ? -1 : 0;
}

static int write_unsent(sock_t *sock)
{
	ssize_t sent;

	if (!sock->unsent)
		return 0;
	sent = send(sock->watch.fd, sock->unsent->data, sock->unsent->len, MSG_NOSIGNAL);
	if (sent < 0 && errno != EAGAIN && errno != EINTR) {
		report_close(sock, SOCK_RESET);
		return -1;
	}
	if (sent > 0)
		g_byte_array_remove_range(sock->unsent, 0, (guint)sent);
	if (sock->unsent->len) {
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

/* Handles FD_CLOSED, after which the loop closes the descriptor. Bytes that arrived together with
 * the close are still read. */
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
	int closed = 0;

	sock->in_callback = true;
	switch (event) {
	case FD_READABLE:
		closed = read_available(sock);
		break;
	case FD_WRITABLE:
		closed = sock->connecting ? finish_connect(sock) : 0;
		if (!closed)
			closed = write_unsent(sock);
		break;
	case FD_CLOSED:
		free_closed(sock);
		return false;
	}
	sock->in_callback = false;
	return !closed && !sock->closed;
}

static void set_options(int fd)
{
	int on = 1, limit_ms = UNACKNOWLEDGED_MAX_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms, sizeof(limit_ms));
}

/* Kept open so that a connection can be accepted, and closed, when no descriptor is left. Otherwise
 * it would stay in the kernel's queue, where its caller waits, and the listener would be reported
 * as readable again and again. */
static int spare_descriptor = -1;

static void open_spare_descriptor(void)
{
	if (spare_descriptor < 0)
		spare_descriptor = open("/dev/null", O_RDONLY | O_CLOEXEC);
}

/* Returns false when there was no connection to refuse. */
static bool refuse_one(int listener_fd)
{
	int fd;

	if (spare_descriptor < 0)
		return false;
	close(spare_descriptor);
	spare_descriptor = -1;
	fd = accept4(listener_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	if (fd >= 0)
		close(fd);
	open_spare_descriptor();
	return fd >= 0;
}

static void refuse_all(int listener_fd)
{
	uint32_t count = 0;

	while (refuse_one(listener_fd))
		count++;
	if (count)
		g_warning("event=connections-refused reason=descriptors count=%u", count);
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
	if (errno == EMFILE || errno == ENFILE)
		refuse_all(watch->fd);
	return true;
}

static bool to_sockaddr(const char *address, uint16_t port, struct sockaddr_in *socket_address)
{
	*socket_address = (struct sockaddr_in){.sin_family = AF_INET, .sin_port = htons(port)};
	return inet_pton(AF_INET, address, &socket_address->sin_addr) == 1;
}

sock_t *sock_connect(loop_t *loop, const char *address, uint16_t port, const sock_ops_t *ops,
		     void *ctx)
{
	struct sockaddr_in peer_address;
	sock_t *sock;
	int fd;

	if (!to_sockaddr(address, port, &peer_address))
		return NULL;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return NULL;
	set_options(fd);
	if (connect(fd, (struct sockaddr *)&peer_address, sizeof(peer_address)) &&
	    errno != EINPROGRESS) {
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
	if (!sock->unsent && !sock->connecting) {
		sent = send(sock->watch.fd, data, bytes, MSG_NOSIGNAL);
		/* The next poll reports a failed connection; sock_write() calls no callback. */
		if (sent < 0)
			sent = 0;
		if ((size_t)sent == bytes)
			return;
	}
	if (!sock->unsent)
		sock->unsent = g_byte_array_new();
	g_byte_array_append(sock->unsent, (const guint8 *)data + sent,
			    (guint)(bytes - (size_t)sent));
	loop_want_write(&sock->watch);
}

bool sock_is_flushed(const sock_t *sock)
{
	return !sock->unsent;
}

void sock_pause(sock_t *sock, bool paused)
{
	if (!sock->closed)
		loop_pause_reads(&sock->watch, paused);
}

void sock_shutdown(sock_t *sock)
{
	sock->shutting_down = true;
	if (!sock->unsent && !sock->closed)
		shutdown(sock->watch.fd, SHUT_WR);
}

void sock_close(sock_t *sock)
{
	if (sock->closed)
		return;
	sock->closed = true;
	/* In its own callback the socket is closed by the callback's return value, because the loop
	 * still uses the socket. */
	if (!sock->in_callback)
		loop_unwatch(&sock->watch);
}

uint32_t sock_descriptors_max(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit))
		return UINT32_MAX;
	return (uint32_t)MIN(limit.rlim_cur, UINT32_MAX);
}

listener_t *listener_new(loop_t *loop, const char *address, uint16_t port,
			 listener_accepted_f accepted, void *ctx)
{
	struct sockaddr_in own_address;
	listener_t *listener;
	int on = 1, fd;

	if (!to_sockaddr(address, port, &own_address))
		return NULL;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return NULL;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&own_address, sizeof(own_address)) ||
	    listen(fd, LISTEN_BACKLOG)) {
		close(fd);
		return NULL;
	}
	open_spare_descriptor();
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
