/**
 * @file http_server.h
 * An HTTP/1.1 server that hands over whole requests and takes whole replies.
 */
#ifndef DS_HTTP_SERVER_H
#define DS_HTTP_SERVER_H

#include "net/http_message.h"
#include "net/loop.h"

typedef struct http_server_t http_server_t;
typedef struct http_exchange_t http_exchange_t;

/** How a server behaves; all strings and tables must outlive it. */
typedef struct http_server_ops_t {
	/** A whole request has arrived. Reply now or later with http_exchange_reply(). */
	void (*request)(void *ctx, http_exchange_t *exchange);
	/** The caller went away before the reply was written. May be NULL. */
	void (*gone)(void *ctx, http_exchange_t *exchange);
	/** Form the body of an error found by the server itself (too large, slow). May be NULL. */
	char *(*error_body)(void *ctx, int status, const char *detail);
	/** Refuse bodies sent in chunks with 411. */
	bool requires_length;
	/** Most connections accepted at once; 0 for no limit. */
	uint32_t connection_limit;
} http_server_ops_t;

/** What callers may send, and how long they may take. */
typedef struct http_server_limits_t {
	http_message_limits_t message;
	uint64_t receive_us; /**< a request from its first byte to its last; then 408 */
	uint64_t idle_us;    /**< a kept connection between requests; then it is closed */
} http_server_limits_t;

/** Limits for interfaces of our own: heads and bodies of a few KB from callers near by. */
#define HTTP_SERVER_INTERNAL_LIMITS(body_max_bytes)                                                \
	((http_server_limits_t){.message = {.head_bytes = 8192, .body_bytes = (body_max_bytes)},   \
				.receive_us = 5000000,                                             \
				.idle_us = 60000000})

/** Listen on @p address : @p port. NULL when the address can't be had. */
http_server_t *http_server_new(loop_t *loop, const char *address, uint16_t port,
			       const http_server_limits_t *limits, const http_server_ops_t *ops,
			       void *ctx);
/** Stop listening, drop all connections at once and free the server. */
void http_server_free(http_server_t *server);
/** Put other limits in force for requests to come. */
void http_server_set_limits(http_server_t *server, const http_server_limits_t *limits);
/** Connections open now, and the most there ever were. */
uint32_t http_server_connections(const http_server_t *server);
uint32_t http_server_connections_peak(const http_server_t *server);
/** The serial number of the newest connection. */
uint64_t http_server_connections_serial(const http_server_t *server);
/** Reply with `Connection: close` from here on, so that callers go elsewhere. */
void http_server_drain(http_server_t *server);
/** Close the kept connections on which no request has begun. */
void http_server_close_idle(http_server_t *server);
/** Requests received and not yet wholly answered. */
uint32_t http_server_open_exchanges(const http_server_t *server);

http_exchange_t *http_exchange_ref(http_exchange_t *exchange);
void http_exchange_unref(http_exchange_t *exchange);
/** The request as it was sent. */
const http_message_t *http_exchange_message(const http_exchange_t *exchange);
const char *http_exchange_method(const http_exchange_t *exchange);
/** The target's path, decoded and without its query string. */
const char *http_exchange_path(http_exchange_t *exchange);
/** The value of a header, or NULL. A repeated header's values are joined by ','. */
const char *http_exchange_header(http_exchange_t *exchange, const char *name);
/** The decoded value of a query-string parameter, or NULL. */
const char *http_exchange_param(http_exchange_t *exchange, const char *name);
/** A serial number of the connection that the request came on. */
uint64_t http_exchange_connection(const http_exchange_t *exchange);
const GString *http_exchange_body(const http_exchange_t *exchange);
/** When the request's first byte arrived. */
uint64_t http_exchange_start_us(const http_exchange_t *exchange);
void http_exchange_set_data(http_exchange_t *exchange, void *data);
void *http_exchange_data(const http_exchange_t *exchange);
/** Close its connection in place of a reply, as if it had broken; `gone` follows before the return.
 */
void http_exchange_abort(http_exchange_t *exchange);
/** Add a header to the reply to come. */
void http_exchange_add_header(http_exchange_t *exchange, const char *name, const char *value);
/** Add whole header lines, each ended by CRLF, to the reply to come. */
void http_exchange_add_header_lines(http_exchange_t *exchange, const char *lines);
/** Send the one reply; @p content_type may be NULL. A reply to a caller who has gone is dropped. */
void http_exchange_reply(http_exchange_t *exchange, int status, const char *content_type,
			 const char *body, size_t body_bytes);

#endif
