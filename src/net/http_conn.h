/**
 * @file http_conn.h
 * One outgoing HTTP/1.1 connection that carries one request at a time.
 *
 * Only the connection links a reply to its request: any byte that arrives while no request is
 * outstanding closes the connection, and so does any byte after a complete reply.
 */
#ifndef DS_HTTP_CONN_H
#define DS_HTTP_CONN_H

#include "net/http_memory.h"
#include "net/http_message.h"
#include "net/loop.h"

typedef struct http_conn_t http_conn_t;

/** Why a connection was closed. */
typedef enum http_conn_close_reason_t {
	HTTP_CONN_CLOSED,	  /**< closed cleanly by the peer */
	HTTP_CONN_RESET,	  /**< reset or lost after it was established */
	HTTP_CONN_REFUSED,	  /**< not established: nothing listens on the port */
	HTTP_CONN_CONNECT_FAILED, /**< not established for any other reason */
	HTTP_CONN_PROTOCOL_ERROR, /**< invalid reply, or bytes without a request */
	HTTP_CONN_TOO_LARGE,	  /**< a reply beyond the limits of one, or of all together */
} http_conn_close_reason_t;

typedef struct http_conn_ops_t {
	/** The connection is established. May be NULL. */
	void (*opened)(void *ctx);
	/**
	 * A complete reply arrived; @p reply is valid only during this call.
	 * @param reusable whether the connection may carry another request; if not, the connection
	 *        is closed after this callback returns and `ended` is not called
	 */
	void (*replied)(void *ctx, const http_message_t *reply, bool reusable);
	/**
	 * The last callback: the connection was closed, but not by http_conn_close(). An
	 * outstanding request gets no reply.
	 */
	void (*ended)(void *ctx, http_conn_close_reason_t reason);
} http_conn_ops_t;

/**
 * Connect to an IPv4 address; NULL when the machine has no free descriptor.
 * @param memory limits the memory of unfinished replies, that of this connection among them; NULL:
 *        not limited
 */
http_conn_t *http_conn_open(loop_t *loop, http_memory_t *memory, const char *address, uint16_t port,
			    const http_conn_ops_t *ops, void *ctx);
/** Bytes of the outstanding reply received so far; after `ended`, of the reply that was lost. */
uint64_t http_conn_received_bytes(const http_conn_t *conn);
/** The head of the outstanding reply is complete; its body is being received. */
bool http_conn_in_body(const http_conn_t *conn);
/** Send a request: its complete head and its body. Only while no request is outstanding. */
void http_conn_send(http_conn_t *conn, const char *head, size_t head_bytes, const char *body,
		    size_t body_bytes, bool is_head);
/** Whether the idle time-out that the peer announced (Keep-Alive) has nearly expired. */
bool http_conn_is_stale(const http_conn_t *conn, uint64_t now_us);
/** Close immediately; no callback is called afterwards. */
void http_conn_close(http_conn_t *conn);

#endif
