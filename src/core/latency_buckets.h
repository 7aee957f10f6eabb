/**
 * @file latency_buckets.h
 * How many durations lie below each of a few fixed bounds, for metrics.
 *
 * Small, since a VM keeps one for each route and service that it has used. Decisions go by
 * histogram.h and quantile.h.
 */
#ifndef DS_LATENCY_BUCKETS_H
#define DS_LATENCY_BUCKETS_H

#include <stdint.h>

/* From what a searcher in memory takes to the longest that callers wait. */
#define LATENCY_BOUNDS 12

typedef struct latency_buckets_t {
	uint64_t count;
	uint64_t sum_us;
	uint32_t counts[LATENCY_BOUNDS]; /**< by the first bound that is not exceeded */
} latency_buckets_t;

/** The bounds, rising. */
extern const uint64_t latency_bounds_us[LATENCY_BOUNDS];

void latency_buckets_add(latency_buckets_t *buckets, uint64_t value_us);

#endif
