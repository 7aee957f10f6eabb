/**
 * @file overload.c
 * See overload.h.
 */
#include "core/overload.h"

#ifdef PROTO_ENV
#include <stdlib.h>
static double P(const char *n, double d) { const char *v = getenv(n); return v ? atof(v) : d; }
#else
#define P(n, d) (d)
#endif

/* Weight of one sub-request in the share of late ones. */
#define LATE_WEIGHT P("O_W", 0.02)
/* Pauses of searchers make some 5 % of the answers late, the loss of one searcher in ten a little
 * more. */
#define LATE_SHARE_BEGIN P("O_BEGIN", 0.12)
#define LATE_SHARE_END P("O_END", 0.06)
/* The overload is over after this time without a sign of it. */
#define CALM_US (P("O_CALM", 1000) * 1000)

void overload_note_shortage(overload_t *overload, uint64_t now_us)
{
	overload->seen_us = now_us;
}

void overload_note_answer(overload_t *overload, bool late, uint64_t now_us)
{
	overload->late_share += LATE_WEIGHT * (late - overload->late_share);
	if (overload->late_share > LATE_SHARE_BEGIN)
		overload->active = true;
	if (overload->late_share > LATE_SHARE_END)
		overload->seen_us = now_us;
	else if (overload->active && now_us - overload->seen_us > CALM_US)
		overload->active = false;
}
