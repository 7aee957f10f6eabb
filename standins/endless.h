/**
 * @file endless.h
 * Replies without end: bytes that are sent to a connection until its other side closes it.
 */
#ifndef DS_ENDLESS_H
#define DS_ENDLESS_H

#include "net/sock.h"

typedef struct endless_t endless_t;

/** What the bytes are: interim, head, length, unframed, chunks, extension, trailers or garbage. */
typedef struct endless_kind_t {
	const char *name;
	const char *start;
	const char *rest; /**< repeated without end */
} endless_kind_t;

/** NULL when there is no such kind. */
const endless_kind_t *endless_kind_find(const char *name);
/** Begin to send over @p sock, as fast as its other side reads, or a byte every 10 ms. The caller
 * passes on `flushed` and frees the result when the socket is closed. */
endless_t *endless_new(loop_t *loop, sock_t *sock, const endless_kind_t *kind, bool slow);
void endless_free(endless_t *endless);
/** All bytes written so far were accepted. */
void endless_flushed(endless_t *endless);

#endif
