/**
 * @file frame.h
 * The wire between daemons: a length, a message authentication code, and a msgpack message.
 *
 *     4 bytes   length of what follows, big endian
 *     32 bytes  HMAC-SHA256 of the payload under the peers' key
 *     payload   msgpack array: format, stamp, from, members, leaving, config number, config text or
 * nil
 */
#ifndef DS_FRAME_H
#define DS_FRAME_H

#include "core/gossip.h"

#define FRAME_LENGTH_BYTES 4
#define FRAME_LIMIT_BYTES (2u << 20)

/** The whole frame. */
GByteArray *frame_encode(const gossip_message_t *message, const char *key);
/** Bytes that the frame at @p data has in all; 0 when the length is not there yet or absurd. */
size_t frame_bytes(const uint8_t *data, size_t have);
/** Check and read a whole frame. @p previous_key may be empty. NULL when it is not to be trusted.
 */
gossip_message_t *frame_decode(const uint8_t *data, size_t bytes, const char *key,
			       const char *previous_key);

#endif
