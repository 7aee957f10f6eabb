/**
 * @file msgpack_array.c
 * See msgpack_array.h.
 */
#include "core/msgpack_array.h"

#include "core/msgpack_sizes.h"

const msgpack_object_array *msgpack_array_read(msgpack_unpacked *unpacked,
					       framing_payload_t payload)
{
	size_t offset = 0;

	msgpack_unpacked_init(unpacked);
	/* The library would allocate a declared size even if the payload is shorter.
	 */
	if (!msgpack_sizes_fit((const uint8_t *)payload.data, payload.bytes))
		return NULL;
	if (msgpack_unpack_next(unpacked, payload.data, payload.bytes, &offset) !=
		    MSGPACK_UNPACK_SUCCESS ||
	    unpacked->data.type != MSGPACK_OBJECT_ARRAY)
		return NULL;
	return &unpacked->data.via.array;
}
