/**
 * @file timers.h
 * A binary heap of timers; the caller passes in the time.
 */
#ifndef DS_TIMERS_H
#define DS_TIMERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define TIMERS_NEVER UINT64_MAX

/** A timer embedded in its owner. Zero-initialised means not set. */
typedef struct timer_entry_t {
	uint64_t at_us;
	uint32_t heap_position; /* 1 + index in the heap; 0: not set */
	void (*fire)(void *ctx, uint64_t now_us);
	void *ctx;
} timer_entry_t;

typedef struct timers_t {
	GPtrArray *heap;
} timers_t;

void timers_init(timers_t *timers);
void timers_clear(timers_t *timers);
/** Sets or moves @p entry to fire at @p at_us. */
void timers_set(timers_t *timers, timer_entry_t *entry, uint64_t at_us);
void timers_cancel(timers_t *timers, timer_entry_t *entry);
/** When the next timer is due, or TIMERS_NEVER. */
uint64_t timers_next_us(const timers_t *timers);
/** Fires all timers that are due at @p now_us. */
void timers_run(timers_t *timers, uint64_t now_us);

#endif
