/**
 * @file http_memory.c
 * See http_memory.h.
 */
#include "net/http_memory.h"

/* A message is admitted if it takes at most this part of what is left, so that small ones are still
 * admitted beside many large ones. */
#define LEFT_DIVISOR 16

/* Shares that may be given up, by the number of bits of their bytes. */
#define SIZES 65

struct http_memory_t {
	uint64_t max_bytes;
	uint64_t used_bytes;
	GQueue shares[SIZES]; /* http_memory_share_t */
	http_memory_counters_t counters;
};

http_memory_t *http_memory_new(uint64_t max_bytes)
{
	http_memory_t *memory = g_new0(http_memory_t, 1);

	memory->max_bytes = max_bytes;
	for (size_t i = 0; i < SIZES; i++)
		g_queue_init(&memory->shares[i]);
	return memory;
}

void http_memory_free(http_memory_t *memory)
{
	g_free(memory);
}

static GQueue *queue_of(http_memory_t *memory, uint64_t bytes)
{
	return &memory->shares[bytes ? g_bit_storage(bytes) : 0];
}

static void enter(http_memory_t *memory, http_memory_share_t *share, uint64_t bytes)
{
	share->memory = memory;
	share->bytes = bytes;
	memory->used_bytes += bytes;
	if (!share->give_up)
		return;
	share->link = (GList){.data = share};
	g_queue_push_tail_link(queue_of(memory, bytes), &share->link);
}

void http_memory_release(http_memory_share_t *share)
{
	http_memory_t *memory = share->memory;

	if (!memory)
		return;
	memory->used_bytes -= share->bytes;
	if (share->give_up)
		g_queue_unlink(queue_of(memory, share->bytes), &share->link);
	share->memory = NULL;
	share->bytes = 0;
}

/* One of the largest: none is twice as large. The cost does not grow with the number of shares. */
static http_memory_share_t *large_share(const http_memory_t *memory)
{
	for (size_t i = SIZES; i > 0; i--)
		if (memory->shares[i - 1].head)
			return memory->shares[i - 1].head->data;
	return NULL;
}

void http_memory_hold(http_memory_t *memory, http_memory_share_t *share, uint64_t bytes)
{
	http_memory_share_t *large;

	http_memory_release(share);
	enter(memory, share, bytes);
	while (memory->used_bytes > memory->max_bytes && (large = large_share(memory))) {
		memory->counters.given_up++;
		http_memory_release(large);
		large->give_up(large->ctx);
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
