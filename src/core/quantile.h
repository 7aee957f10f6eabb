/**
 * @file quantile.h
 * A running estimate of one quantile of a stream, in constant space.
 *
 * Each sample moves the estimate by a fixed ratio, up or down by the odds of the quantile. So one
 * outlier moves it no more than any other sample, and a lasting change is followed within a dozen
 * samples for the median.
 */
#ifndef DS_QUANTILE_H
#define DS_QUANTILE_H

#include <stdint.h>

typedef struct quantile_t {
	double fraction; /**< 0..1 */
	double step;	 /**< greatest change by one sample, as a ratio */
	double value_us; /**< 0 before the first sample */
} quantile_t;

void quantile_add(quantile_t *quantile, uint64_t sample_us);

#endif
