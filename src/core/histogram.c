/**
 * @file histogram.c
 * See histogram.h.
 */
#include "core/histogram.h"

static uint32_t bucket_of(uint64_t value_us)
{
	uint32_t octave, index;

	if (value_us < HISTOGRAM_STEPS)
		return (uint32_t)value_us;
	octave = 63 - (uint32_t)__builtin_clzll(value_us) - 4;
	index = (octave + 1) * HISTOGRAM_STEPS + (uint32_t)((value_us >> octave) - HISTOGRAM_STEPS);
	return index < HISTOGRAM_BUCKETS ? index : HISTOGRAM_BUCKETS - 1;
}

static uint64_t bucket_top_us(uint32_t bucket)
{
	uint32_t octave = bucket / HISTOGRAM_STEPS;

	if (octave == 0)
		return bucket;
	return ((uint64_t)(bucket % HISTOGRAM_STEPS + HISTOGRAM_STEPS + 1) << (octave - 1)) - 1;
}

void histogram_add(histogram_t *histogram, uint64_t value_us)
{
	histogram->count++;
	histogram->sum_us += value_us;
	if (value_us > histogram->max_us)
		histogram->max_us = value_us;
	histogram->buckets[bucket_of(value_us)]++;
}

uint64_t histogram_quantile_us(const histogram_t *histogram, double fraction)
{
	uint64_t rank = (uint64_t)(fraction * (double)histogram->count), seen = 0;

	for (uint32_t i = 0; i < HISTOGRAM_BUCKETS; i++) {
		uint64_t top = bucket_top_us(i);

		seen += histogram->buckets[i];
		if (seen > rank)
			return top < histogram->max_us ? top : histogram->max_us;
	}
	return histogram->max_us;
}

void histogram_decay(histogram_t *histogram)
{
	histogram->count = 0;
	histogram->sum_us /= 2;
	for (uint32_t i = 0; i < HISTOGRAM_BUCKETS; i++) {
		histogram->buckets[i] /= 2;
		histogram->count += histogram->buckets[i];
	}
}
