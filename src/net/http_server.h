/**
 * @file http_server.h
 * An HTTP/1.1 server on libwebsockets that hands over whole requests and takes whole replies.
 */
#ifndef DS_HTTP_SERVER_H
#define DS_HTTP_SERVER_H

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
	/** Request headers kept for http_exchange_header(): lower case, ending in ':', NULL-ended.
	 */
	const char *const *headers;
	size_t body_limit_bytes;
	uint64_t body_timeout_us;
	/** Most connections accepted at once; 0 for no limit. */
	uint32_t connection_limit;
} http_server_ops_t;

/** Listen on @p address : @p port. NULL when the address can't be had. */
http_server_t *http_server_new(loop_t *loop, const char *address, uint16_t port,
			       const http_server_ops_t *ops, void *ctx);
/** Connections open now, and the most there ever were. */
uint32_t http_server_connections(const http_server_t *server);
uint32_t http_server_connections_peak(const http_server_t *server);
/** The serial number of the newest connection. */
uint64_t http_server_connections_serial(const http_server_t *server);
/** Reply with `Connection: close` from here on, so that callers go elsewhere. */
void http_server_leave(http_server_t *server);
/** Requests received and not yet wholly answered. */
uint32_t http_server_open_exchanges(const http_server_t *server);

http_exchange_t *http_exchange_ref(http_exchange_t *exchange);
void http_exchange_unref(http_exchange_t *exchange);
const char *http_exchange_method(const http_exchange_t *exchange);
const char *http_exchange_path(const http_exchange_t *exchange);
/** The value of a kept header, or NULL. A repeated header's values are joined by ','. */
const char *http_exchange_header(const http_exchange_t *exchange, const char *name);
/** The decoded value of a query-string parameter, or NULL. */
const char *http_exchange_param(const http_exchange_t *exchange, const char *name);
/** A serial number of the connection that the request came on. */
uint64_t http_exchange_connection(const http_exchange_t *exchange);
const GString *http_exchange_body(const http_exchange_t *exchange);
void http_exchange_set_data(http_exchange_t *exchange, void *data);
void *http_exchange_data(const http_exchange_t *exchange);
/** Add a header to the reply to come; @p name ends in ':'. */
void http_exchange_add_header(http_exchange_t *exchange, const char *name, const char *value);
/** Send the one reply. A reply to a caller who has gone is dropped. */
void http_exchange_reply(http_exchange_t *exchange, int status, const char *content_type,
			 const char *body, size_t body_bytes);

#endif
