/**
 * @file msgpack_sizes.h
 * Checks a msgpack message's declared sizes before it is unpacked.
 */
#ifndef DS_MSGPACK_SIZES_H
#define DS_MSGPACK_SIZES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Whether no list, map or text claims more than the bytes that follow could hold.
 *
 * msgpack-c reserves room for a list as it is declared: five bytes that claim four thousand million
 * items made it ask for 128 GB.
 */
bool msgpack_sizes_fit(const uint8_t *data, size_t bytes);

#endif
