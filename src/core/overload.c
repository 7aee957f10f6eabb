/**
 * @file overload.c
 * See overload.h.
 */
#include "core/overload.h"

/* Weight of one sub-request in the share of late ones. */
#define LATE_WEIGHT 0.01
/* Pauses of searchers make some 5 % of the sub-requests late. In an overload that nobody limits
 * most are; once it is limited, a tenth to a third. */
#define LATE_SHARE_BEGIN 0.09
#define LATE_SHARE_END 0.06
/* The overload is over after this time without a sign of it. */
#define CALM_US 800000

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
