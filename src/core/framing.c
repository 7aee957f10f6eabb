/**
 * @file framing.c
 * See framing.h.
 */
#include "core/framing.h"

#include <string.h>

struct framing_reader_t {
	GByteArray *in;
	framing_read_f read;
	void *ctx;
};

void framing_append(GByteArray *out, const char *payload, size_t bytes)
{
	guint32 length = GUINT32_TO_BE((guint32)bytes);

	g_byte_array_append(out, (const guint8 *)&length, sizeof(length));
	g_byte_array_append(out, (const guint8 *)payload, (guint)bytes);
}

framing_result_t framing_split(const uint8_t *data, size_t bytes, size_t max_bytes,
			       framing_payload_t *payload)
{
	guint32 length;

	if (bytes < FRAMING_LENGTH_BYTES)
		return FRAMING_INCOMPLETE;
	memcpy(&length, data, sizeof(length));
	length = GUINT32_FROM_BE(length);
	if (length > max_bytes)
		return FRAMING_INVALID;
	if (bytes - FRAMING_LENGTH_BYTES < length)
		return FRAMING_INCOMPLETE;
	*payload = (framing_payload_t){.data = (const char *)data + FRAMING_LENGTH_BYTES,
				       .bytes = length};
	return FRAMING_COMPLETE;
}

framing_reader_t *framing_reader_new(framing_read_f read, void *ctx)
{
	framing_reader_t *reader = g_new0(framing_reader_t, 1);

	reader->in = g_byte_array_new();
	reader->read = read;
	reader->ctx = ctx;
	return reader;
}

void framing_reader_free(framing_reader_t *reader)
{
	g_byte_array_unref(reader->in);
	g_free(reader);
}

bool framing_reader_add(framing_reader_t *reader, const char *data, size_t bytes)
{
	size_t at = 0, used = 0;
	framing_result_t read = FRAMING_COMPLETE;

	g_byte_array_append(reader->in, (const guint8 *)data, (guint)bytes);
	while (read == FRAMING_COMPLETE) {
		read = reader->read(reader->ctx, reader->in->data + at, reader->in->len - at,
				    &used);
		if (read == FRAMING_COMPLETE)
			at += used;
	}
	if (at)
		g_byte_array_remove_range(reader->in, 0, (guint)at);
	return read != FRAMING_INVALID;
}
