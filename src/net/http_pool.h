/**
 * @file http_pool.h
 * HTTP client calls over numbered slots, each of which holds at most one connection to an endpoint.
 *
 * The caller picks a free slot; a slot is busy from http_pool_start() until `finished`. So a bound
 * on slots is a bound on connections.
 */
#ifndef DS_HTTP_POOL_H
#define DS_HTTP_POOL_H

#include "net/loop.h"

typedef struct http_pool_t http_pool_t;
typedef struct http_call_t http_call_t;

/** How a call ended. */
typedef enum http_call_result_t {
	HTTP_CALL_REPLIED,	   /**< a whole reply arrived */
	HTTP_CALL_NOT_SENT,	   /**< no byte of the request can have reached the peer */
	HTTP_CALL_CONNECTION_LOST, /**< failed after a byte may have reached the peer */
	HTTP_CALL_CANCELLED,	   /**< ended by http_call_cancel() */
} http_call_result_t;

/** What to send, and whom to tell. Strings are copied. */
typedef struct http_request_t {
	const char *method;
	const char *address; /**< an IP number */
	uint16_t port;
	const char *path;    /**< with its query string */
	const char *headers; /**< whole header lines, each ended by CRLF, or NULL */
	const char *body;    /**< NULL for none */
	size_t body_bytes;
	const char *reply_header; /**< of the reply, for http_call_header(); NULL: none */
	uint64_t idle_max_us;  /**< a kept connection that was idle for longer is not used again: it
				* may have gone silent; 0: any is */
	bool fresh_connection; /**< do not reuse one: it could die silently under the request */
	/** Called once, from the loop. The slot is free again once this is called. */
	void (*finished)(void *ctx, http_call_t *call);
	void *ctx;
} http_request_t;

http_pool_t *http_pool_new(loop_t *loop, uint32_t slots);

/** Start a call on a slot that has none to this endpoint. */
http_call_t *http_pool_start(http_pool_t *pool, uint32_t slot, const http_request_t *request);
/** Close the call's connection; `finished` follows with HTTP_CALL_CANCELLED. */
void http_call_cancel(http_call_t *call);

http_call_result_t http_call_result(const http_call_t *call);
int http_call_status(const http_call_t *call);
const GString *http_call_reply(const http_call_t *call);
/** The reply's header that was asked for; NULL when it has none. */
const char *http_call_header(const http_call_t *call);

#endif
