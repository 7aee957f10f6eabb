/**
 * @file http_pool.h
 * HTTP client calls over numbered slots, each of which has at most one connection per endpoint.
 *
 * The caller picks a free slot; the slot is busy from http_pool_start() until `finished` is called.
 * Limiting the slots thus limits the connections.
 */
#ifndef DS_HTTP_POOL_H
#define DS_HTTP_POOL_H

#include "net/http_memory.h"
#include "net/loop.h"

typedef struct http_pool_t http_pool_t;
typedef struct http_call_t http_call_t;

/** Result of a call. */
typedef enum http_call_result_t {
	HTTP_CALL_REPLIED,	   /**< a complete reply arrived */
	HTTP_CALL_NOT_SENT,	   /**< no byte of the request can have reached the peer */
	HTTP_CALL_CONNECTION_LOST, /**< failed after a byte may have reached the peer */
	HTTP_CALL_CANCELLED,	   /**< ended by http_call_cancel() */
} http_call_result_t;

/** A request and its completion callback. Strings are copied. */
typedef struct http_request_t {
	const char *method;
	const char *address; /**< an IPv4 address */
	uint16_t port;
	const char *path;    /**< including its query string */
	const char *headers; /**< complete header lines, each ending in CRLF, or NULL */
	const char *body;    /**< NULL: no body */
	size_t body_bytes;
	const char *reply_header; /**< reply header to keep for http_call_header(); NULL: none */
	/** A keep-alive connection that was idle for longer is not reused, because it may have
	 * failed silently; 0: no limit. */
	uint64_t idle_max_us;
	/** Open a new connection: a reused one could fail silently during the request. */
	bool fresh_connection;
	/** Called once, from the loop. The slot is free again when it is called. */
	void (*finished)(void *ctx, http_call_t *call);
	void *ctx;
} http_request_t;

/** @param memory limits the memory of unfinished replies; NULL: not limited */
http_pool_t *http_pool_new(loop_t *loop, http_memory_t *memory, uint32_t slots);

/** Start a call on a slot that has no call to this endpoint. */
http_call_t *http_pool_start(http_pool_t *pool, uint32_t slot, const http_request_t *request);
/** Close the call's connection; `finished` is called later, with HTTP_CALL_CANCELLED. */
void http_call_cancel(http_call_t *call);

http_call_result_t http_call_result(const http_call_t *call);
int http_call_status(const http_call_t *call);
const GString *http_call_reply(const http_call_t *call);
/** The value of the reply header named in the request; NULL when the reply has no such header. */
const char *http_call_header(const http_call_t *call);

#endif
