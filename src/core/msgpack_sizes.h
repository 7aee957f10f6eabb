/**
 * @file msgpack_sizes.h
 * Checks the sizes that a msgpack message declares, before it is unpacked.
 */
#ifndef DS_MSGPACK_SIZES_H
#define DS_MSGPACK_SIZES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Whether no array, map or text declares more than the remaining bytes can hold.
 *
 * msgpack-c allocates memory for an array by its declared size: five bytes that declare four
 * thousand million items make it request 128 GB.
 */
bool msgpack_sizes_fit(const uint8_t *data, size_t bytes);

#endif
