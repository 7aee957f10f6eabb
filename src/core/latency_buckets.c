/**
 * @file latency_buckets.c
 * See latency_buckets.h.
 */
#include "core/latency_buckets.h"

const uint64_t latency_bounds_us[LATENCY_BOUNDS] = {
	1000, 2000, 5000, 10000, 20000, 50000, 100000, 200000, 500000, 1000000, 2000000, 5000000};

void latency_buckets_add(latency_buckets_t *buckets, uint64_t value_us)
{
	buckets->count++;
	buckets->sum_us += value_us;
	for (uint32_t i = 0; i < LATENCY_BOUNDS; i++) {
		if (value_us > latency_bounds_us[i])
			continue;
		buckets->counts[i]++;
		return;
	}
}
