/**
 * @file feed_cache.h
 * A feeder's cache of the objects of one kind, as text, to be sent to new subscribers.
 */
#ifndef DS_FEED_CACHE_H
#define DS_FEED_CACHE_H

#include "core/feed_message.h"

typedef struct feed_cache_t feed_cache_t;

feed_cache_t *feed_cache_new(uint32_t kind);
void feed_cache_free(feed_cache_t *cache);
/** Apply a message about this kind of objects. */
void feed_cache_apply(feed_cache_t *cache, const feed_message_t *message);
/** Remove all objects; the list is incomplete from then on. */
void feed_cache_clear(feed_cache_t *cache);
/** Whether a whole list was received. */
bool feed_cache_is_complete(const feed_cache_t *cache);
/** Get the object @p name, whole, as a message that borrows its texts; false when there is none. */
bool feed_cache_find(const feed_cache_t *cache, const char *name, feed_message_t *message);
/**
 * Append what a new subscriber has to receive before the messages that follow: the whole list, if
 * it is complete, and the beginning of the list that is being received. Without that beginning the
 * subscriber would take the rest for the whole list.
 */
void feed_cache_write(const feed_cache_t *cache, GByteArray *out);

#endif
