/**
 * @file frame.h
 * The wire format of gossip between daemons: a length, a message authentication code, and a msgpack
 * message.
 *
 *     4 bytes   length of the rest, big endian
 *     32 bytes  HMAC-SHA256 of the payload under the peers' key
 *     payload   msgpack array: format, stamp, from, members, leaving, config number,
 *               config text or nil
 */
#ifndef DS_FRAME_H
#define DS_FRAME_H

#include "core/gossip.h"

#define FRAME_LENGTH_BYTES 4
#define FRAME_MAX_BYTES (2u << 20)

/** Encode @p message as a whole frame. */
GByteArray *frame_encode(const gossip_message_t *message, const char *key);
/** Size of the frame at @p data in bytes; 0 when its length is not complete yet, or invalid. */
size_t frame_bytes(const uint8_t *data, size_t have);
/**
 * Authenticate and decode a whole frame. NULL when its code matches neither key, or its message is
 * invalid.
 * @param previous_key may be empty
 */
gossip_message_t *frame_decode(const uint8_t *data, size_t bytes, const char *key,
			       const char *previous_key);

#endif
