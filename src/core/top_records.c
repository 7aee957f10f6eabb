/**
 * @file top_records.c
 * See top_records.h. A min-heap of the kept records: most records of a large body are rejected by
 * one comparison with its root.
 */
#include "core/top_records.h"

#include <string.h>

/* A record's bytes, read as two big-endian numbers, so that comparing the numbers compares the
 * bytes. */
typedef struct record_t {
	uint64_t high, low;
} record_t;

struct top_records_t {
	uint32_t max;
	uint32_t count;
	record_t heap[];
};

top_records_t *top_records_new(uint32_t max)
{
	top_records_t *top = g_malloc(sizeof(*top) + max * sizeof(record_t));

	top->max = max;
	top->count = 0;
	return top;
}

void top_records_free(top_records_t *top)
{
	g_free(top);
}

static record_t record_read(const char *bytes)
{
	record_t record;

	memcpy(&record, bytes, sizeof(record));
	return (record_t){.high = GUINT64_FROM_BE(record.high), .low = GUINT64_FROM_BE(record.low)};
}

static bool record_less(record_t a, record_t b)
{
	return a.high != b.high ? a.high < b.high : a.low < b.low;
}

static void sift_up(top_records_t *top, uint32_t index)
{
	record_t record = top->heap[index];

	while (index > 0 && record_less(record, top->heap[(index - 1) / 2])) {
		top->heap[index] = top->heap[(index - 1) / 2];
		index = (index - 1) / 2;
	}
	top->heap[index] = record;
}

static void sift_down(top_records_t *top, record_t record)
{
	uint32_t index = 0, child;

	while ((child = 2 * index + 1) < top->count) {
		if (child + 1 < top->count && record_less(top->heap[child + 1], top->heap[child]))
			child++;
		if (!record_less(top->heap[child], record))
			break;
		top->heap[index] = top->heap[child];
		index = child;
	}
	top->heap[index] = record;
}

static void add_record(top_records_t *top, record_t record)
{
	if (top->count < top->max) {
		top->heap[top->count++] = record;
		sift_up(top, top->count - 1);
	} else if (top->max && record_less(top->heap[0], record)) {
		sift_down(top, record);
	}
}

void top_records_add(top_records_t *top, const char *body, size_t bytes)
{
	for (size_t at = 0; at + RECORD_BYTES <= bytes; at += RECORD_BYTES)
		add_record(top, record_read(body + at));
}

void top_records_take(top_records_t *top, GString *out)
{
	size_t start = out->len, bytes = (size_t)top->count * RECORD_BYTES;

	g_string_set_size(out, start + bytes);
	while (top->count) {
		record_t smallest = top->heap[0], last = top->heap[--top->count];
		record_t written = {.high = GUINT64_TO_BE(smallest.high),
				    .low = GUINT64_TO_BE(smallest.low)};

		memcpy(out->str + start + (size_t)top->count * RECORD_BYTES, &written,
		       RECORD_BYTES);
		if (top->count)
			sift_down(top, last);
	}
}
