/**
 * @file told_load.h
 * The load that a searcher tells with its answers.
 */
#ifndef DS_TOLD_LOAD_H
#define DS_TOLD_LOAD_H

#include <stdbool.h>
#include <stdint.h>

/** Zeroed: not told. What a searcher leaves out is 0. */
typedef struct reported_load_t {
	uint32_t running, waiting, slots; /**< requests, and how many it works on at once */
	uint32_t slowness_percent; /**< how long work takes where it runs; 100 is usual, 0: not told
				    */
	uint64_t at_us;		   /**< when it was heard; 0: never */
} reported_load_t;

/** How long ago it was told; UINT64_MAX: never. */
static inline uint64_t reported_load_age_us(const reported_load_t *load, uint64_t now_us)
{
	return load->at_us ? now_us - load->at_us : UINT64_MAX;
}

#endif
