/**
 * @file http_server.h
 * An HTTP/1.1 server that passes on complete requests and sends complete replies.
 */
#ifndef DS_HTTP_SERVER_H
#define DS_HTTP_SERVER_H

#include "net/http_memory.h"
#include "net/http_message.h"
#include "net/loop.h"
#include "net/pacing.h"

typedef struct http_server_t http_server_t;
typedef struct http_exchange_t http_exchange_t;

/** Callbacks and options of a server; must outlive the server. */
typedef struct http_server_ops_t {
	/** A complete request arrived. Reply now or later with http_exchange_reply(). */
	void (*request)(void *ctx, http_exchange_t *exchange);
	/** The connection was closed before http_exchange_reply(). May be NULL. */
	void (*disconnected)(void *ctx, http_exchange_t *exchange);
	/** Build the body of an error reply of the server itself (too large, slow). May be NULL. */
	char *(*error_body)(void *ctx, int status, const char *detail);
	/** Reject chunked bodies with 411. */
	bool requires_length;
} http_server_ops_t;

/** Size and time limits for callers. */
typedef struct http_server_limits_t {
	http_message_limits_t message;
	uint64_t receive_us; /**< from a request's first byte to its last; then 408 */
	uint64_t idle_us;    /**< for a connection between requests; then it is closed */
} http_server_limits_t;

/** Limits for internal interfaces: heads and bodies of a few KB from nearby callers. */
#define HTTP_SERVER_INTERNAL_LIMITS(body_max_bytes)                                                \
	((http_server_limits_t){.message = {.head_bytes = 8192, .body_bytes = (body_max_bytes)},   \
				.receive_us = 5000000,                                             \
				.idle_us = 60000000})

/** Listen on @p address : @p port. NULL when binding to the address fails. */
http_server_t *http_server_new(loop_t *loop, const char *address, uint16_t port,
			       const http_server_limits_t *limits, const http_server_ops_t *ops,
			       void *ctx);
/** Stop listening, close all connections immediately and free the server. */
void http_server_free(http_server_t *server);
/** Replace the limits for future requests. */
void http_server_set_limits(http_server_t *server, const http_server_limits_t *limits);
/**
 * Accept at most @p max connections at a time; further ones are closed.
 * @param replace_after_us close instead the connection that has been in its state the longest, if
 *        that is longer than this: one that is idle, sends a request, or doesn't read its answer;
 * 0: none
 */
void http_server_limit_connections(http_server_t *server, uint32_t max, uint64_t replace_after_us);
/**
 * Leave descriptors of this process for other uses: callers that open connections without end would
 * take all of them, and none could be served. The connection that has been in its state the longest
 * is closed for a new one, unless its request is being answered.
 */
void http_server_leave_descriptors(http_server_t *server);
/** The same for an interface that is only asked short questions, with a smaller share. */
void http_server_limit_probes(http_server_t *server);
/** When a caller whose request was refused for want of memory may come back: the requests that
 * held the memory are over or have timed out by then. */
#define HTTP_SERVER_RETRY_AFTER_US 1000000
/**
 * Limit the memory of requests; a request that is refused or given up gets 503 with Retry-After.
 * @param unfinished of requests that are being received, and of pipelined bytes
 * @param open of requests that are being answered
 */
void http_server_limit_memory(http_server_t *server, http_memory_t *unfinished,
			      http_memory_t *open);
/** Limit the processor time for what callers send beyond a usual request: many bytes, small pieces
 * and chunks, and requests that are sent ahead of the answers. */
void http_server_pace(http_server_t *server, pacing_t *pacing);
/** Number of connections that were closed for a limit. */
uint64_t http_server_connections_refused(const http_server_t *server);
/** The current and the peak number of open connections. */
uint32_t http_server_connections(const http_server_t *server);
uint32_t http_server_connections_peak(const http_server_t *server);
/** The serial number of the newest connection. */
uint64_t http_server_connections_serial(const http_server_t *server);
/** Add `Connection: close` to all further replies, so that callers connect to other servers. */
void http_server_drain(http_server_t *server);
/** Close the idle connections: those on which no request has begun. */
void http_server_close_idle(http_server_t *server);
/** Number of requests received whose replies are not yet fully sent. */
uint32_t http_server_open_exchanges(const http_server_t *server);

http_exchange_t *http_exchange_ref(http_exchange_t *exchange);
void http_exchange_unref(http_exchange_t *exchange);
/** The request's message, undecoded. */
const http_message_t *http_exchange_message(const http_exchange_t *exchange);
const char *http_exchange_method(const http_exchange_t *exchange);
/** The target's path, decoded and without its query string. */
const char *http_exchange_path(http_exchange_t *exchange);
/** The value of a header, or NULL. A repeated header's values are joined by ','. */
const char *http_exchange_header(http_exchange_t *exchange, const char *name);
/** The decoded value of a query-string parameter, or NULL. */
const char *http_exchange_param(http_exchange_t *exchange, const char *name);
/** The serial number of the connection that the request arrived on. */
uint64_t http_exchange_connection(const http_exchange_t *exchange);
const GString *http_exchange_body(const http_exchange_t *exchange);
/** When the request's first byte arrived. */
uint64_t http_exchange_start_us(const http_exchange_t *exchange);
void http_exchange_set_data(http_exchange_t *exchange, void *data);
void *http_exchange_data(const http_exchange_t *exchange);
/** Close the connection instead of replying, as if it had failed; `disconnected` is called before
 * this returns, or after the `request` callback that it is called from. */
void http_exchange_abort(http_exchange_t *exchange);
/** Add a header to the future reply. */
void http_exchange_add_header(http_exchange_t *exchange, const char *name, const char *value);
/** Add complete header lines, each ending in CRLF, to the future reply. */
void http_exchange_add_header_lines(http_exchange_t *exchange, const char *lines);
/** Send the reply, once; @p content_type may be NULL. The reply is discarded if the caller has
 * disconnected. */
void http_exchange_reply(http_exchange_t *exchange, int status, const char *content_type,
			 const char *body, size_t body_bytes);

#endif
