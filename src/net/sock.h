/**
 * @file sock.h
 * Non-blocking TCP sockets and listeners on the service loop.
 *
 * libwebsockets polls the descriptors; reading, writing and closing are done here, because its own
 * raw sockets do not tell a closed connection from a reset one, and a reply without a length is
 * whole only after the former.
 */
#ifndef DS_SOCK_H
#define DS_SOCK_H

#include "net/loop.h"

typedef struct sock_t sock_t;
typedef struct listener_t listener_t;

/** How a connection ended. */
typedef enum sock_close_reason_t {
	SOCK_CLOSED,	     /**< the peer closed it in order */
	SOCK_RESET,	     /**< it broke: reset, timed out in the kernel, unreachable */
	SOCK_REFUSED,	     /**< it was never established: nobody listens there */
	SOCK_CONNECT_FAILED, /**< it was never established, for any other reason */
} sock_close_reason_t;

typedef struct sock_ops_t {
	/** An outgoing connection is established. */
	void (*opened)(void *ctx);
	/** Bytes arrived; they are gone after the return. The socket may be closed from here. */
	void (*received)(void *ctx, const char *data, size_t bytes);
	/** Everything written was taken by the kernel, after some had to wait. May be NULL. */
	void (*flushed)(void *ctx);
	/** The last call for this socket, unless sock_close() came first. */
	void (*ended)(void *ctx, sock_close_reason_t end);
} sock_ops_t;

const char *sock_close_reason_name(sock_close_reason_t end);
/** Connect to an IPv4 number; NULL when the machine has no descriptor left for it. */
sock_t *sock_connect(loop_t *loop, const char *address, uint16_t port, const sock_ops_t *ops,
		     void *ctx);
/** Send now what the kernel takes, and the rest as it takes more. */
void sock_write(sock_t *sock, const void *data, size_t bytes);
/** Whether everything written was taken by the kernel. */
bool sock_is_flushed(const sock_t *sock);
/** End our direction once everything is written; the peer's bytes go on arriving. */
void sock_shutdown(sock_t *sock);
/** Close at once; no callback follows. */
void sock_close(sock_t *sock);

/** Told of each accepted connection; sets its handlers with sock_set_ops(). */
typedef void (*listener_accepted_f)(void *ctx, sock_t *sock);

void sock_set_ops(sock_t *sock, const sock_ops_t *ops, void *ctx);
/** Listen on an IPv4 number; NULL when the address can't be had. */
listener_t *listener_new(loop_t *loop, const char *address, uint16_t port,
			 listener_accepted_f accepted, void *ctx);
/** Stop listening, and free: who connects from now on is refused. */
void listener_close(listener_t *listener);

#endif
