/**
 * @file trial.c
 * See trial.h.
 */
#include "core/trial.h"

#include <glib.h>

/* A claim that is not answered in this time is not waited for: a round trip to a store in another
 * region takes some tens of ms. */
#define CLAIM_WAIT_US 250000
/* A trial that was granted is begun within this, or not at all. */
#define GRANT_KEEP_US 1000000
/* After it a trial of another VM that was not heard of again is taken for lost. Longer than a grant
 * is kept, a searcher takes, and the outcome needs to get here. */
#define ELSEWHERE_US 4000000
/*
 * What ends one searcher may end others within the same second, and requests beside it are struck
 * each time. Trials so far apart do not meet the same event twice.
 */
#define PAUSE_US 1000000
#define PAUSE_DOUBLINGS_MOST 3

/* That the last one's searcher has ended may not be known yet. */
static uint64_t pause_us(const trial_t *trial)
{
	uint32_t explained = trial->ends + 1;
	uint32_t inconclusive = trial->ran > explained ? trial->ran - explained : 0;

	return (uint64_t)PAUSE_US << MIN(inconclusive, PAUSE_DOUBLINGS_MOST);
}

static void finish(trial_t *trial, bool ran)
{
	trial->done = trial->number;
	trial->ran += ran;
	trial->state = TRIAL_IDLE;
	trial->unclaimed = false;
}

static bool has_lapsed(const trial_t *trial, uint64_t now_us)
{
	if (trial->state == TRIAL_GRANTED)
		return now_us >= trial->since_us + GRANT_KEEP_US;
	return trial->state == TRIAL_ELSEWHERE && now_us >= trial->since_us + ELSEWHERE_US;
}

bool trial_is_due(const trial_t *trial, uint64_t now_us)
{
	if (trial->state == TRIAL_OUT ||
	    (trial->state == TRIAL_ELSEWHERE && !has_lapsed(trial, now_us)))
		return false;
	return now_us >= trial->next_us;
}

trial_turn_t trial_turn(trial_t *trial, uint64_t now_us)
{
	/* Whoever claimed it elsewhere may have begun it. */
	if (has_lapsed(trial, now_us))
		finish(trial, trial->state == TRIAL_ELSEWHERE);
	if (trial->state == TRIAL_CLAIMING && now_us >= trial->since_us + CLAIM_WAIT_US)
		trial_claimed(trial, trial->number, CLAIM_UNKNOWN, now_us);
	if (trial->state == TRIAL_GRANTED) {
		trial->state = TRIAL_OUT;
		return TRIAL_GO;
	}
	if (trial->state != TRIAL_IDLE)
		return TRIAL_WAIT;
	return now_us < trial->next_us ? TRIAL_LATER : TRIAL_CLAIM;
}

void trial_claim(trial_t *trial, uint64_t now_us)
{
	trial->state = TRIAL_CLAIMING;
	trial->number = trial->done + 1;
	trial->since_us = now_us;
}

void trial_claimed(trial_t *trial, uint32_t number, claim_reply_t reply, uint64_t now_us)
{
	if (trial->state != TRIAL_CLAIMING || trial->number != number)
		return;
	trial->since_us = now_us;
	trial->unclaimed = reply == CLAIM_UNKNOWN;
	switch (reply) {
	case CLAIM_GRANTED:
	case CLAIM_UNKNOWN:
		trial->state = TRIAL_GRANTED;
		break;
	case CLAIM_TAKEN:
		trial->state = TRIAL_ELSEWHERE;
		break;
	case CLAIM_REFUSED:
		trial->state = TRIAL_IDLE;
		trial->number = trial->done;
		trial_delay(trial, now_us + pause_us(trial));
		break;
	}
}

bool trial_take_free(trial_t *trial)
{
	if (trial->free_used || trial->state != TRIAL_IDLE)
		return false;
	trial->free_used = true;
	trial->state = TRIAL_OUT;
	trial->number = trial->done;
	return true;
}

bool trial_is_counted(const trial_t *trial)
{
	return trial->state == TRIAL_OUT && trial->number > trial->done;
}

void trial_over(trial_t *trial, bool ran, uint64_t now_us)
{
	if (trial->state != TRIAL_OUT)
		return;
	if (!trial_is_counted(trial)) {
		trial->state = TRIAL_IDLE;
		return;
	}
	finish(trial, ran);
	trial_delay(trial, now_us + pause_us(trial));
}

void trial_note_ends(trial_t *trial, uint32_t ends, uint64_t at_us)
{
	trial->ends = MAX(trial->ends, ends);
	trial_delay(trial, at_us + PAUSE_US);
}

void trial_heard(trial_t *trial, uint32_t done, uint32_t ran, uint64_t now_us)
{
	trial->ran = MAX(trial->ran, ran);
	if (done <= trial->done)
		return;
	trial->done = done;
	if (trial->number <= done && trial->state != TRIAL_OUT)
		trial->state = TRIAL_IDLE;
	trial_delay(trial, now_us + pause_us(trial));
}

void trial_delay(trial_t *trial, uint64_t until_us)
{
	trial->next_us = MAX(trial->next_us, until_us);
}
