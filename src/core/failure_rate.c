/**
 * @file failure_rate.c
 * See failure_rate.h.
 */
#include "core/failure_rate.h"

#include <math.h>

/* Weight of one sub-request. A dozen tell a failure rate of 60 % from none, which takes about a
 * second at 10 a second. */
#define SAMPLE_WEIGHT 0.15
/* Half-life of the failure rate without new results. Periods of refusals last 5 to 9 s, and during
 * one a searcher is tried again every few seconds. With a half-life of 1.5 s these tries alone were
 * a third of the sub-requests that it was sent. */
#define HALF_LIFE_US 4000000.0

double failure_rate_now(const failure_rate_t *failure_rate, uint64_t now_us)
{
	return failure_rate->rate *
	       exp2(-(double)(now_us - failure_rate->updated_us) / HALF_LIFE_US);
}

void failure_rate_note(failure_rate_t *failure_rate, bool failed, uint64_t now_us)
{
	double before = failure_rate_now(failure_rate, now_us);

	failure_rate->rate = before + SAMPLE_WEIGHT * ((failed ? 1 : 0) - before);
	failure_rate->updated_us = now_us;
}
