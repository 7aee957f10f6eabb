/**
 * @file http_memory.c
 * See http_memory.h.
 */
#include "net/http_memory.h"

/* A message is admitted if it takes at most this part of what is left, so that small ones are still
 * admitted beside many large ones. */
#define LEFT_DIVISOR 16

struct http_memory_t {
	uint64_t max_bytes;
	uint64_t used_bytes;
	GQueue shares; /* http_memory_share_t */
	http_memory_counters_t counters;
};

http_memory_t *http_memory_new(uint64_t max_bytes)
{
	http_memory_t *memory = g_new0(http_memory_t, 1);

	memory->max_bytes = max_bytes;
	g_queue_init(&memory->shares);
	return memory;
}

void http_memory_free(http_memory_t *memory)
{
	g_free(memory);
}

void http_memory_release(http_memory_share_t *share)
{
	http_memory_t *memory = share->memory;

	if (!memory)
		return;
	memory->used_bytes -= share->bytes;
	g_queue_unlink(&memory->shares, &share->link);
	share->memory = NULL;
	share->bytes = 0;
}

static http_memory_share_t *largest_share(const http_memory_t *memory)
{
	http_memory_share_t *largest = NULL;

	for (const GList *item = memory->shares.head; item; item = item->next) {
		http_memory_share_t *share = item->data;

		if (share->give_up && (!largest || share->bytes > largest->bytes))
			largest = share;
	}
	return largest;
}

void http_memory_hold(http_memory_t *memory, http_memory_share_t *share, uint64_t bytes)
{
	http_memory_share_t *largest;

	if (!share->memory) {
		share->memory = memory;
		share->link = (GList){.data = share};
		g_queue_push_tail_link(&memory->shares, &share->link);
	}
	memory->used_bytes += bytes - share->bytes;
	share->bytes = bytes;
	while (memory->used_bytes > memory->max_bytes && (largest = largest_share(memory))) {
		memory->counters.given_up++;
		http_memory_release(largest);
		largest->give_up(largest->ctx);
	}
}

bool http_memory_admit(http_memory_t *memory, uint64_t bytes)
{
	uint64_t left = memory->max_bytes - MIN(memory->used_bytes, memory->max_bytes);

	if (!memory->used_bytes || bytes <= left / LEFT_DIVISOR)
		return true;
	memory->counters.refused++;
	return false;
}

uint64_t http_memory_used(const http_memory_t *memory)
{
	return memory->used_bytes;
}

const http_memory_counters_t *http_memory_counters(const http_memory_t *memory)
{
	return &memory->counters;
}
