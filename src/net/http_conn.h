/**
 * @file http_conn.h
 * One outgoing HTTP/1.1 connection that carries one request at a time.
 *
 * A reply belongs to a request by the connection alone: any byte that arrives while no request is
 * out ends the connection, as does any byte after a whole reply.
 */
#ifndef DS_HTTP_CONN_H
#define DS_HTTP_CONN_H

#include "net/http_message.h"
#include "net/loop.h"

typedef struct http_conn_t http_conn_t;

/** Why a connection ended. */
typedef enum http_conn_close_reason_t {
	HTTP_CONN_CLOSED,	  /**< closed in order by the peer */
	HTTP_CONN_RESET,	  /**< it broke */
	HTTP_CONN_REFUSED,	  /**< it was never established: nobody listens there */
	HTTP_CONN_CONNECT_FAILED, /**< it was never established, for any other reason */
	HTTP_CONN_PROTOCOL_ERROR, /**< bytes that are no reply, or that no request asked for */
} http_conn_close_reason_t;

typedef struct http_conn_ops_t {
	/** The connection is established. May be NULL. */
	void (*opened)(void *ctx);
	/**
	 * A whole reply arrived; it is gone after the return.
	 * @param reusable whether the connection may carry another request; if not, it is closed
	 *        after the return and no `ended` follows
	 */
	void (*replied)(void *ctx, const http_message_t *reply, bool reusable);
	/** The last call, unless http_conn_close() came first. A request that was out has no reply.
	 */
	void (*ended)(void *ctx, http_conn_close_reason_t end);
} http_conn_ops_t;

/** Connect to an IPv4 number; NULL when the machine has no descriptor left for it. */
http_conn_t *http_conn_open(loop_t *loop, const char *address, uint16_t port,
			    const http_conn_ops_t *ops, void *ctx);
/** Send a request: its whole head and its body. Only when none is out. */
void http_conn_send(http_conn_t *conn, const char *head, size_t head_bytes, const char *body,
		    size_t body_bytes, bool is_head);
/** Whether the peer said how long it keeps idle connections and that time is nearly over. */
bool http_conn_is_stale(const http_conn_t *conn, uint64_t now_us);
/** Close at once; no callback follows. */
void http_conn_close(http_conn_t *conn);

#endif
