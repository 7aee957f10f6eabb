/**
 * @file yield.c
 * See yield.h.
 */
#include "core/yield.h"

#include <math.h>

/* Weight of one sub-request: a dozen tell 60 % from none, within a second at 10 a second. */
#define SAMPLE_WEIGHT 0.15
/* Half of what is known is forgotten after so long without news. Spells of refusals last 5 to 9 s,
 * and in one a searcher is asked again every few seconds; with 1.5 s those questions alone were a
 * third of what it was sent. */
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
