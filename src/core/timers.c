/**
 * @file timers.c
 * See timers.h.
 */
#include "core/timers.h"

static timer_entry_t *entry_at(const timers_t *timers, uint32_t index)
{
	return g_ptr_array_index(timers->heap, index);
}

static void put(timers_t *timers, uint32_t index, timer_entry_t *entry)
{
	g_ptr_array_index(timers->heap, index) = entry;
	entry->heap_position = index + 1;
}

static void sift_up(timers_t *timers, uint32_t index)
{
	timer_entry_t *entry = entry_at(timers, index);

	while (index > 0) {
		uint32_t parent = (index - 1) / 2;

		if (entry_at(timers, parent)->at_us <= entry->at_us)
			break;
		put(timers, index, entry_at(timers, parent));
		index = parent;
	}
	put(timers, index, entry);
}

static void sift_down(timers_t *timers, uint32_t index)
{
	timer_entry_t *entry = entry_at(timers, index);
	uint32_t length = timers->heap->len;

	for (;;) {
		uint32_t child = 2 * index + 1;

		if (child >= length)
			break;
		if (child + 1 < length &&
		    entry_at(timers, child + 1)->at_us < entry_at(timers, child)->at_us)
			child++;
		if (entry->at_us <= entry_at(timers, child)->at_us)
			break;
		put(timers, index, entry_at(timers, child));
		index = child;
	}
	put(timers, index, entry);
}

void timers_init(timers_t *timers)
{
	timers->heap = g_ptr_array_new();
}

void timers_clear(timers_t *timers)
{
	g_ptr_array_free(timers->heap, TRUE);
	timers->heap = NULL;
}

void timers_set(timers_t *timers, timer_entry_t *entry, uint64_t at_us)
{
	timers_cancel(timers, entry);
	entry->at_us = at_us;
	g_ptr_array_add(timers->heap, entry);
	sift_up(timers, timers->heap->len - 1);
}

void timers_cancel(timers_t *timers, timer_entry_t *entry)
{
	uint32_t index = entry->heap_position - 1;
	timer_entry_t *last;

	if (!entry->heap_position)
		return;
	entry->heap_position = 0;
	last = entry_at(timers, timers->heap->len - 1);
	g_ptr_array_set_size(timers->heap, (gint)timers->heap->len - 1);
	if (last == entry)
		return;
	put(timers, index, last);
	sift_up(timers, index);
	sift_down(timers, last->heap_position - 1);
}

uint64_t timers_next_us(const timers_t *timers)
{
	return timers->heap->len ? entry_at(timers, 0)->at_us : TIMERS_NEVER;
}

void timers_run(timers_t *timers, uint64_t now_us)
{
	while (timers->heap->len && entry_at(timers, 0)->at_us <= now_us) {
		timer_entry_t *entry = entry_at(timers, 0);

		timers_cancel(timers, entry);
		entry->fire(entry->ctx, now_us);
	}
}
