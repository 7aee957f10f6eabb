/**
 * @file framing.h
 * Length-prefixed messages on a connection between VMs: four bytes of length, big endian, then the
 * payload.
 */
#ifndef DS_FRAMING_H
#define DS_FRAMING_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define FRAMING_LENGTH_BYTES 4

typedef enum framing_t {
	FRAMING_MORE, /**< the message is not whole yet */
	FRAMING_ONE,
	FRAMING_BAD, /**< no message of ours: give the connection up */
} framing_t;

/** One payload; borrows from the bytes it was found in. */
typedef struct framing_payload_t {
	const char *data;
	size_t bytes;
} framing_payload_t;

/** Append @p payload with its length before it. */
void framing_append(GByteArray *out, const char *payload, size_t bytes);
/** Find the first message of @p data; longer ones than @p most_bytes are bad. */
framing_t framing_split(const uint8_t *data, size_t bytes, size_t most_bytes,
			framing_payload_t *payload);

/** Reads one message, and hands it on; @p used is set when there was one. */
typedef framing_t (*framing_read_f)(void *ctx, const uint8_t *data, size_t bytes, size_t *used);

/** Puts messages together from the bytes of a connection, as they arrive. */
typedef struct framing_reader_t framing_reader_t;

framing_reader_t *framing_reader_new(framing_read_f read, void *ctx);
void framing_reader_free(framing_reader_t *reader);
/** Read all messages that are whole; false when the bytes are no messages of ours. */
bool framing_reader_take(framing_reader_t *reader, const char *data, size_t bytes);

#endif
