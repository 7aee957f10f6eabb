/**
 * @file yield.c
 * See yield.h.
 */
#include "core/yield.h"

#include <math.h>

/* Weight of one sub-request: a dozen tell 60 % from none, within a second at 10 a second. */
#define WEIGHT 0.15
/* Half of what is known is forgotten after so long without news. Spells of refusals last 5 to 9 s,
 * and in one a searcher is asked again every few seconds; with 1.5 s those questions alone were a
 * third of what it was sent. */
#define HALF_US 4000000.0

double yield_lost(const yield_t *yield, uint64_t now_us)
{
	return yield->lost * exp2(-(double)(now_us - yield->noted_us) / HALF_US);
}

void yield_note(yield_t *yield, bool lost, uint64_t now_us)
{
	double before = yield_lost(yield, now_us);

	yield->lost = before + WEIGHT * ((lost ? 1 : 0) - before);
	yield->noted_us = now_us;
}
