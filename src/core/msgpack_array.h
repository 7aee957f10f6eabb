/**
 * @file msgpack_array.h
 * Unpacks a message between VMs, which is one msgpack array.
 */
#ifndef DS_MSGPACK_ARRAY_H
#define DS_MSGPACK_ARRAY_H

#include "core/framing.h"

#include <msgpack.h>

/**
 * Unpack the array in @p payload; NULL when the payload is not a valid array.
 * @param unpacked owns the memory of the array; the caller must destroy it by
 *        msgpack_unpacked_destroy(), also after NULL
 */
const msgpack_object_array *msgpack_array_read(msgpack_unpacked *unpacked,
					       framing_payload_t payload);

#endif
