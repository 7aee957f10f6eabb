/**
 * @file msgpack_sizes.c
 * See msgpack_sizes.h.
 */
#include "core/msgpack_sizes.h"

/** The position of the check in the message. */
typedef struct cursor_t {
	const uint8_t *position;
	size_t left;
	uint64_t items; /* declared, but not read yet */
} cursor_t;

static bool skip(cursor_t *cursor, uint64_t bytes)
{
	if (bytes > cursor->left)
		return false;
	cursor->position += bytes;
	cursor->left -= bytes;
	return true;
}

/* A big-endian number of @p width bytes. */
static bool read_number(cursor_t *cursor, unsigned width, uint64_t *number)
{
	const uint8_t *from = cursor->position;

	*number = 0;
	if (!skip(cursor, width))
		return false;
	for (unsigned i = 0; i < width; i++)
		*number = *number << 8 | from[i];
	return true;
}

/* Each item takes at least one byte. */
static bool add_items(cursor_t *cursor, uint64_t count)
{
	cursor->items += count;
	return cursor->items <= cursor->left;
}

static bool skip_text(cursor_t *cursor, unsigned width, unsigned extra)
{
	uint64_t length;

	return read_number(cursor, width, &length) && skip(cursor, length + extra);
}

static bool add_list(cursor_t *cursor, unsigned width, unsigned items_each)
{
	uint64_t count;

	return read_number(cursor, width, &count) && add_items(cursor, count * items_each);
}

/* The formats 0xc0 to 0xdf; most have a size or a value in the bytes after the head. */
static bool check_wide(cursor_t *cursor, uint8_t head)
{
	if (head <= 0xc3)
		return head != 0xc1;
	if (head <= 0xc6)
		return skip_text(cursor, 1u << (head - 0xc4), 0); /* bin 8, 16, 32 */
	if (head <= 0xc9)
		return skip_text(cursor, 1u << (head - 0xc7), 1); /* ext 8, 16, 32 */
	if (head <= 0xcb)
		return skip(cursor, head == 0xca ? 4 : 8); /* float 32, 64 */
	if (head <= 0xcf)
		return skip(cursor, 1u << (head - 0xcc)); /* uint 8 to 64 */
	if (head <= 0xd3)
		return skip(cursor, 1u << (head - 0xd0)); /* int 8 to 64 */
	if (head <= 0xd8)
		return skip(cursor, 1 + (1u << (head - 0xd4))); /* fixext 1 to 16 */
	if (head <= 0xdb)
		return skip_text(cursor, 1u << (head - 0xd9), 0); /* str 8, 16, 32 */
	if (head <= 0xdd)
		return add_list(cursor, head == 0xdc ? 2 : 4, 1); /* array 16, 32 */
	return add_list(cursor, head == 0xde ? 2 : 4, 2);	  /* map 16, 32 */
}

static bool check_item(cursor_t *cursor)
{
	uint8_t head = *cursor->position;

	if (!skip(cursor, 1))
		return false;
	cursor->items--;
	if (head <= 0x7f || head >= 0xe0)
		return true; /* fixint */
	if (head <= 0x8f)
		return add_items(cursor, 2u * (head & 0x0f)); /* fixmap */
	if (head <= 0x9f)
		return add_items(cursor, head & 0x0f); /* fixarray */
	if (head <= 0xbf)
		return skip(cursor, head & 0x1f); /* fixstr */
	return check_wide(cursor, head);
}

bool msgpack_sizes_fit(const uint8_t *data, size_t bytes)
{
	cursor_t cursor = {.position = data, .left = bytes, .items = 1};

	while (cursor.items > 0)
		if (cursor.left < cursor.items || !check_item(&cursor))
			return false;
	return true;
}
