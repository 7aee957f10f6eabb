/**
 * @file latency_buckets.h
 * A histogram of durations with a few fixed bounds, for metrics.
 *
 * Small, since a VM keeps one for each route and service that it has used. Decisions use
 * histogram.h and quantile.h instead.
 */
#ifndef DS_LATENCY_BUCKETS_H
#define DS_LATENCY_BUCKETS_H

#include <stdint.h>

/* The bounds range from the latency of a searcher in memory to the longest time that callers wait.
 */
#define LATENCY_BOUNDS 12

typedef struct latency_buckets_t {
	uint64_t count;
	uint64_t sum_us;
	uint32_t counts[LATENCY_BOUNDS]; /**< durations per bucket: by the first bound that is not
					    exceeded */
} latency_buckets_t;

/** The bounds, in ascending order. */
extern const uint64_t latency_bounds_us[LATENCY_BOUNDS];

void latency_buckets_add(latency_buckets_t *buckets, uint64_t value_us);

#endif
