/**
 * @file msgpack_sizes.c
 * See msgpack_sizes.h.
 */
#include "core/msgpack_sizes.h"

/** Where the check stands. */
typedef struct cursor_t {
	const uint8_t *at;
	size_t left;
	uint64_t items; /* still to be read */
} cursor_t;

static bool skip(cursor_t *cursor, uint64_t bytes)
{
	if (bytes > cursor->left)
		return false;
	cursor->at += bytes;
	cursor->left -= bytes;
	return true;
}

/* A big-endian number of @p width bytes. */
static bool take_number(cursor_t *cursor, unsigned width, uint64_t *number)
{
	const uint8_t *from = cursor->at;

	*number = 0;
	if (!skip(cursor, width))
		return false;
	for (unsigned i = 0; i < width; i++)
		*number = *number << 8 | from[i];
	return true;
}

/* An item takes a byte at least. */
static bool add_items(cursor_t *cursor, uint64_t count)
{
	cursor->items += count;
	return cursor->items <= cursor->left;
}

static bool take_text(cursor_t *cursor, unsigned width, unsigned extra)
{
	uint64_t length;

	return take_number(cursor, width, &length) && skip(cursor, length + extra);
}

static bool take_list(cursor_t *cursor, unsigned width, unsigned each)
{
	uint64_t count;

	return take_number(cursor, width, &count) && add_items(cursor, count * each);
}

/* The wide forms, 0xc0 to 0xdf. */
static bool take_wide(cursor_t *cursor, uint8_t head)
{
	if (head <= 0xc3)
		return head != 0xc1;
	if (head <= 0xc6)
		return take_text(cursor, 1u << (head - 0xc4), 0); /* bin 8, 16, 32 */
	if (head <= 0xc9)
		return take_text(cursor, 1u << (head - 0xc7), 1); /* ext 8, 16, 32 */
	if (head <= 0xcb)
		return skip(cursor, head == 0xca ? 4 : 8); /* float 32, 64 */
	if (head <= 0xcf)
		return skip(cursor, 1u << (head - 0xcc)); /* uint 8 to 64 */
	if (head <= 0xd3)
		return skip(cursor, 1u << (head - 0xd0)); /* int 8 to 64 */
	if (head <= 0xd8)
		return skip(cursor, 1 + (1u << (head - 0xd4))); /* fixext 1 to 16 */
	if (head <= 0xdb)
		return take_text(cursor, 1u << (head - 0xd9), 0); /* str 8, 16, 32 */
	if (head <= 0xdd)
		return take_list(cursor, head == 0xdc ? 2 : 4, 1); /* array 16, 32 */
	return take_list(cursor, head == 0xde ? 2 : 4, 2);	   /* map 16, 32 */
}

static bool take_item(cursor_t *cursor)
{
	uint8_t head = *cursor->at;

	if (!skip(cursor, 1))
		return false;
	cursor->items--;
	if (head <= 0x7f || head >= 0xe0)
		return true; /* small numbers */
	if (head <= 0x8f)
		return add_items(cursor, 2u * (head & 0x0f)); /* small map */
	if (head <= 0x9f)
		return add_items(cursor, head & 0x0f); /* small array */
	if (head <= 0xbf)
		return skip(cursor, head & 0x1f); /* short text */
	return take_wide(cursor, head);
}

bool msgpack_sizes_fit(const uint8_t *data, size_t bytes)
{
	cursor_t cursor = {.at = data, .left = bytes, .items = 1};

	while (cursor.items > 0)
		if (cursor.left < cursor.items || !take_item(&cursor))
			return false;
	return true;
}
