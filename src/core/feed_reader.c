/**
 * @file feed_reader.c
 * See feed_reader.h.
 */
#include "core/feed_reader.h"

struct feed_reader_t {
	GByteArray *in;
};

feed_reader_t *feed_reader_new(void)
{
	feed_reader_t *reader = g_new0(feed_reader_t, 1);

	reader->in = g_byte_array_new();
	return reader;
}

void feed_reader_free(feed_reader_t *reader)
{
	g_byte_array_unref(reader->in);
	g_free(reader);
}

bool feed_reader_take(feed_reader_t *reader, const char *data, size_t bytes, feed_message_f take,
		      void *ctx)
{
	size_t at = 0, used = 0;
	feed_read_t read = FEED_READ_ONE;

	g_byte_array_append(reader->in, (const guint8 *)data, (guint)bytes);
	while (read == FEED_READ_ONE) {
		read = feed_message_read(reader->in->data + at, reader->in->len - at, &used, take,
					 ctx);
		if (read == FEED_READ_ONE)
			at += used;
	}
	if (at)
		g_byte_array_remove_range(reader->in, 0, (guint)at);
	return read != FEED_READ_BAD;
}
