/**
 * @file feed_reader.h
 * Puts the messages of a feed together from the bytes of a connection, as they arrive.
 */
#ifndef DS_FEED_READER_H
#define DS_FEED_READER_H

#include "core/feed_message.h"

typedef struct feed_reader_t feed_reader_t;

feed_reader_t *feed_reader_new(void);
void feed_reader_free(feed_reader_t *reader);
/** Hand over each message that is whole; false when the bytes are no messages of ours. */
bool feed_reader_take(feed_reader_t *reader, const char *data, size_t bytes, feed_message_f take,
		      void *ctx);

#endif
