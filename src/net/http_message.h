/**
 * @file http_message.h
 * One HTTP/1.1 request or reply, taken in byte by byte and checked strictly.
 *
 * http-parser does the parsing. Refused besides, because two parsers that read them differently see
 * different requests on one connection: obsolete line folding, bare CR or LF, spaces in a header's
 * name.
 */
#ifndef DS_HTTP_MESSAGE_H
#define DS_HTTP_MESSAGE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum http_message_kind_t { HTTP_MESSAGE_REQUEST, HTTP_MESSAGE_REPLY } http_message_kind_t;

typedef enum http_message_state_t {
	HTTP_MESSAGE_INCOMPLETE, /**< not whole yet */
	HTTP_MESSAGE_COMPLETE,	 /**< whole; bytes after it were not taken */
	HTTP_MESSAGE_INVALID,	 /**< not HTTP/1.1, or framed in a way that can't be trusted */
	HTTP_MESSAGE_HEAD_TOO_LARGE,
	HTTP_MESSAGE_BODY_TOO_LARGE,
} http_message_state_t;

/** One header line; both texts are owned by the message. */
typedef struct http_header_t {
	const char *name;
	const char *value;
} http_header_t;

typedef struct http_message_t http_message_t;

/** What a message may hold. */
typedef struct http_message_limits_t {
	size_t head_bytes;
	size_t body_bytes;
} http_message_limits_t;

http_message_t *http_message_new(http_message_kind_t kind, http_message_limits_t limits);
void http_message_free(http_message_t *message);
/** Make ready for the next message; what was taken in is dropped. */
void http_message_reset(http_message_t *message);
/** The reply to come answers a HEAD request: it has no body, whatever its headers say. */
void http_message_expect_no_body(http_message_t *message);
/** Take in bytes; returns how many were taken: all of them unless the state is no longer MORE. */
size_t http_message_feed(http_message_t *message, const char *data, size_t bytes);
/** The connection was closed in order: a reply without a length is whole by it. */
void http_message_feed_end(http_message_t *message);

http_message_state_t http_message_state(const http_message_t *message);
/** Whether any byte was taken in since the last reset. */
bool http_message_started(const http_message_t *message);
/** Whether the head is whole. */
bool http_message_has_head(const http_message_t *message);
/** Whether the connection may carry another message after this one. */
bool http_message_keeps_alive(const http_message_t *message);
const char *http_message_method(const http_message_t *message);
/** The request's target as it was sent. */
const char *http_message_target(const http_message_t *message);
int http_message_status(const http_message_t *message);
size_t http_message_header_count(const http_message_t *message);
http_header_t http_message_header_at(const http_message_t *message, size_t index);
/** The first value of a header, by its name in any case; NULL when there is none. */
const char *http_message_header(const http_message_t *message, const char *name);
/** How often a header is given. */
size_t http_message_header_occurrences(const http_message_t *message, const char *name);
const GString *http_message_body(const http_message_t *message);

#endif
