/**
 * @file histogram.h
 * A log-linear histogram of durations: 16 linear steps per octave, so at most 6.25 % error.
 */
#ifndef DS_HISTOGRAM_H
#define DS_HISTOGRAM_H

#include <stdint.h>

#define HISTOGRAM_STEPS 16
#define HISTOGRAM_BUCKETS (HISTOGRAM_STEPS * 32)

typedef struct histogram_t {
	uint64_t count;
	uint64_t sum_us;
	uint64_t max_us;
	uint32_t buckets[HISTOGRAM_BUCKETS];
} histogram_t;

void histogram_add(histogram_t *histogram, uint64_t value_us);
/** The value below which @p fraction (0..1) of the samples lie; 0 when empty. */
uint64_t histogram_quantile_us(const histogram_t *histogram, double fraction);
/** Halves every bucket, so that old samples lose weight. */
void histogram_decay(histogram_t *histogram);

#endif
