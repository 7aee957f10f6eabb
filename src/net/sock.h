/**
 * @file sock.h
 * Non-blocking TCP sockets and listeners on the event loop.
 *
 * libwebsockets polls the descriptors; reading, writing and closing are done here, because its raw
 * sockets do not distinguish a closed connection from a reset one, and a reply without a length is
 * complete only after the former.
 */
#ifndef DS_SOCK_H
#define DS_SOCK_H

#include "net/loop.h"

typedef struct sock_t sock_t;
typedef struct listener_t listener_t;

/** Why a connection was closed. */
typedef enum sock_close_reason_t {
	SOCK_CLOSED,  /**< closed cleanly by the peer */
	SOCK_RESET,   /**< lost: reset, timed out in the kernel, or the peer is unreachable */
	SOCK_REFUSED, /**< not established: nothing listens on the port */
	SOCK_CONNECT_FAILED, /**< not established for any other reason */
} sock_close_reason_t;

typedef struct sock_ops_t {
	/** An outgoing connection is established. */
	void (*opened)(void *ctx);
	/** Bytes arrived; valid only during this call. The callback may close the socket. */
	void (*received)(void *ctx, const char *data, size_t bytes);
	/** The kernel accepted all written bytes, after some had to be buffered. May be NULL. */
	void (*flushed)(void *ctx);
	/** The last callback: the connection was closed, but not by sock_close(). */
	void (*ended)(void *ctx, sock_close_reason_t reason);
} sock_ops_t;

const char *sock_close_reason_name(sock_close_reason_t reason);
/** Connect to an IPv4 address; NULL when the machine has no free descriptor. */
sock_t *sock_connect(loop_t *loop, const char *address, uint16_t port, const sock_ops_t *ops,
		     void *ctx);
/** Send as many bytes as the kernel accepts now, and the others when it accepts more. */
void sock_write(sock_t *sock, const void *data, size_t bytes);
/** Whether the kernel accepted all written bytes. */
bool sock_is_flushed(const sock_t *sock);
/** While paused, nothing is read, and the peer can't send more than the kernel's buffers take. When
 * it closes the connection meanwhile, what was not read is lost. */
void sock_pause(sock_t *sock, bool paused);
/** Shut down the sending direction once all bytes are written; bytes of the peer still arrive. */
void sock_shutdown(sock_t *sock);
/** Close immediately; no callback is called afterwards. */
void sock_close(sock_t *sock);

/** Called for each accepted connection; sets its callbacks with sock_set_ops(). */
typedef void (*listener_accepted_f)(void *ctx, sock_t *sock);

void sock_set_ops(sock_t *sock, const sock_ops_t *ops, void *ctx);
/** Listen on an IPv4 address; NULL when binding to it fails. */
listener_t *listener_new(loop_t *loop, const char *address, uint16_t port,
			 listener_accepted_f accepted, void *ctx);
/** The number of descriptors that this process may have open. */
uint32_t sock_descriptors_max(void);
/** Stop listening and free the listener; later connection attempts are refused. */
void listener_close(listener_t *listener);

#endif
