/**
 * @file http_memory.h
 * Limits the memory that the messages of many connections hold together.
 *
 * Peers may send bytes without end. When the limit is exceeded, one of the messages that hold the
 * most is given up, so that messages of a usual size stay. A message that can't be given up any
 * more, such as a request that is being answered, is admitted first.
 */
#ifndef DS_HTTP_MEMORY_H
#define DS_HTTP_MEMORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct http_memory_t http_memory_t;

/** The share of one connection; embedded in it, and zero-initialised but for the callback. */
typedef struct http_memory_share_t {
	/** Give up the message and free its buffers, at once. The share is released already; this
	 * must not call http_memory_hold(). NULL: the message is never given up. */
	void (*give_up)(void *ctx);
	void *ctx;
	http_memory_t *memory; /**< private; NULL: holds nothing */
	uint64_t bytes;	       /**< private */
	GList link;	       /**< private */
} http_memory_share_t;

typedef struct http_memory_counters_t {
	uint64_t given_up; /**< messages given up because of the limit */
	uint64_t refused;  /**< messages that were not admitted */
} http_memory_counters_t;

/** @param max_bytes limit for all messages together */
http_memory_t *http_memory_new(uint64_t max_bytes);
/** To be called when no connection holds a share any more. */
void http_memory_free(http_memory_t *memory);
/** @p share holds @p bytes now. Gives messages up, possibly this one, while all hold too much. */
void http_memory_hold(http_memory_t *memory, http_memory_share_t *share, uint64_t bytes);
/** @p share holds nothing any more. */
void http_memory_release(http_memory_share_t *share);
/** Whether a message of @p bytes, which will not be given up, may be held besides the others. Any
 * may if there are no others. */
bool http_memory_admit(http_memory_t *memory, uint64_t bytes);
/** Bytes that all messages hold. */
uint64_t http_memory_used(const http_memory_t *memory);
const http_memory_counters_t *http_memory_counters(const http_memory_t *memory);

#endif
