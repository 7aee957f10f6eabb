/**
 * @file quantile.c
 * See quantile.h.
 */
#include "core/quantile.h"

void quantile_add(quantile_t *quantile, uint64_t sample_us)
{
	double odds = quantile->fraction > 0.5 ? quantile->fraction : 1 - quantile->fraction;

	if (quantile->value_us <= 0) {
		quantile->value_us = sample_us > 1 ? (double)sample_us : 1;
		return;
	}
	if ((double)sample_us > quantile->value_us)
		quantile->value_us *= 1 + quantile->step * quantile->fraction / odds;
	else
		quantile->value_us /= 1 + quantile->step * (1 - quantile->fraction) / odds;
}
