/**
 * @file msgpack_array.h
 * Reads a message between VMs: one msgpack array.
 */
#ifndef DS_MSGPACK_ARRAY_H
#define DS_MSGPACK_ARRAY_H

#include "core/framing.h"

#include <msgpack.h>

/**
 * The array that @p payload is, or NULL when it is none.
 * @param unpacked keeps what the array borrows; to be destroyed by msgpack_unpacked_destroy(), also
 *        after NULL
 */
const msgpack_object_array *msgpack_array_read(msgpack_unpacked *unpacked,
					       framing_payload_t payload);

#endif
