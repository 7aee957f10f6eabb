/**
 * @file http_message.h
 * Incremental, strict parser for one HTTP/1.1 request or reply.
 *
 * http-parser does the parsing. This module also rejects obsolete line folding, bare CR or LF, and
 * spaces in a header's name: two parsers that read these differently see different requests on one
 * connection. In a reply it also rejects a status that is not of three digits from 100 to 599, a
 * body where the status allows none (RFC 9112, section 6.3), and transfer codings but "chunked".
 */
#ifndef DS_HTTP_MESSAGE_H
#define DS_HTTP_MESSAGE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum http_message_kind_t { HTTP_MESSAGE_REQUEST, HTTP_MESSAGE_REPLY } http_message_kind_t;

typedef enum http_message_state_t {
	HTTP_MESSAGE_INCOMPLETE,     /**< more bytes are needed */
	HTTP_MESSAGE_COMPLETE,	     /**< complete; bytes after it were not consumed */
	HTTP_MESSAGE_INVALID,	     /**< not HTTP/1.1, or its framing can't be trusted */
	HTTP_MESSAGE_HEAD_TOO_LARGE, /**< the head, or the framing and the trailers of the body */
	HTTP_MESSAGE_BODY_TOO_LARGE,
} http_message_state_t;

/** One header line; the message owns both strings. */
typedef struct http_header_t {
	const char *name;
	const char *value;
} http_header_t;

typedef struct http_message_t http_message_t;

/** Maximum sizes of a message. */
typedef struct http_message_limits_t {
	/** Of the head, of a reply with its interim heads; and of the extensions and the trailers
	 * of a chunked body. */
	size_t head_bytes;
	size_t body_bytes;
} http_message_limits_t;

http_message_t *http_message_new(http_message_kind_t kind, http_message_limits_t limits);
void http_message_free(http_message_t *message);
/** Replace the limits; only before the first byte of a message. */
void http_message_set_limits(http_message_t *message, http_message_limits_t limits);
/** Whether a reply with this status has a body, if the request was not HEAD. */
bool http_status_has_body(int status);
/** Discard the parsed content and prepare for the next message. */
void http_message_reset(http_message_t *message);
/** The next reply answers a HEAD request: it has no body, whatever its headers say. */
void http_message_expect_no_body(http_message_t *message);
/** Parse bytes; returns the number consumed: all of them while the state stays
 * HTTP_MESSAGE_INCOMPLETE. */
size_t http_message_parse(http_message_t *message, const char *data, size_t bytes);
/** The connection was closed cleanly; this completes a reply without a length. */
void http_message_feed_end(http_message_t *message);

http_message_state_t http_message_state(const http_message_t *message);
/** Whether any byte was consumed since the last reset. */
bool http_message_started(const http_message_t *message);
/** Whether the head is complete. */
bool http_message_has_head(const http_message_t *message);
/** Whether the next bytes belong to a body that is not in chunks. */
bool http_message_in_plain_body(const http_message_t *message);
/** Whether the connection may carry another message after this one. */
bool http_message_keeps_alive(const http_message_t *message);
const char *http_message_method(const http_message_t *message);
/** The request's target, undecoded. */
const char *http_message_target(const http_message_t *message);
int http_message_status(const http_message_t *message);
size_t http_message_header_count(const http_message_t *message);
http_header_t http_message_header_at(const http_message_t *message, size_t index);
/** The first value of a header, or NULL; @p name is case-insensitive. */
const char *http_message_header(const http_message_t *message, const char *name);
/** The number of header lines with this name. */
size_t http_message_header_occurrences(const http_message_t *message, const char *name);
const GString *http_message_body(const http_message_t *message);
/** Bytes of memory that the message's head holds. */
size_t http_message_head_memory(const http_message_t *message);
/** Bytes of memory that the message holds. */
size_t http_message_memory(const http_message_t *message);

#endif
