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

typedef enum framing_result_t {
	FRAMING_INCOMPLETE, /**< the message is not complete yet */
	FRAMING_COMPLETE,
	FRAMING_INVALID, /**< not a message of this protocol: close the connection */
} framing_result_t;

/** One payload; borrows from the bytes that it was found in. */
typedef struct framing_payload_t {
	const char *data;
	size_t bytes;
} framing_payload_t;

/** Append the length of @p payload, then the payload. */
void framing_append(GByteArray *out, const char *payload, size_t bytes);
/** Find the first message in @p data; one that is longer than @p max_bytes is invalid. */
framing_result_t framing_split(const uint8_t *data, size_t bytes, size_t max_bytes,
			       framing_payload_t *payload);

/** Decodes and handles the first message in @p data; sets @p used to its size if it is complete. */
typedef framing_result_t (*framing_read_f)(void *ctx, const uint8_t *data, size_t bytes,
					   size_t *used);

/** Assembles messages from the bytes of a connection as they arrive. */
typedef struct framing_reader_t framing_reader_t;

framing_reader_t *framing_reader_new(framing_read_f read, void *ctx);
void framing_reader_free(framing_reader_t *reader);
/** Add received bytes and handle all complete messages; false when a message is invalid. */
bool framing_reader_add(framing_reader_t *reader, const char *data, size_t bytes);

#endif
