/**
 * @file quantile.h
 * A running estimate of one quantile of a stream, in constant space.
 *
 * Each sample moves the estimate up or down by a fixed ratio, weighted by the odds of the quantile.
 * So an outlier moves the estimate no more than any other sample, and the estimate of a median
 * follows a lasting change within a dozen samples.
 */
#ifndef DS_QUANTILE_H
#define DS_QUANTILE_H

#include <stdint.h>

typedef struct quantile_t {
	double fraction; /**< 0..1 */
	double step;	 /**< maximum change by one sample, as a ratio */
	double value_us; /**< 0 before the first sample */
} quantile_t;

void quantile_add(quantile_t *quantile, uint64_t sample_us);

#endif
