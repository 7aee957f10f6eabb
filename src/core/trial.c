/**
 * @file trial.c
 * See trial.h.
 */
#include "core/trial.h"

#include <glib.h>

/* A claim that is not answered in this time counts as unanswered: a round trip to a store in
 * another region takes some tens of ms. */
#define CLAIM_TIMEOUT_US 250000
/* A granted trial must begin within this time, or it is skipped. */
#define TRIAL_GRANT_TIMEOUT_US 1000000
/* A trial claimed by another VM counts as lost if no update arrives within this time. Longer than
 * the sum of TRIAL_GRANT_TIMEOUT_US, a searcher's run and the time for the result to arrive here.
 */
#define REMOTE_TRIAL_TIMEOUT_US 4000000
/*
 * Minimum pause between trials. An event that terminates one searcher may terminate others within
 * the same second, and concurrent requests would get a strike each time. Trials this far apart are
 * not hit by the same event twice.
 */
#define TRIAL_PAUSE_US 1000000
#define MAX_PAUSE_DOUBLINGS 3

/* The pause doubles with each inconclusive trial. The crash of the last trial's searcher may not be
 * known yet, so one more trial than known crashes counts as conclusive. */
static uint64_t pause_us(const trial_t *trial)
{
	uint32_t conclusive = trial->crashes + 1;
	uint32_t inconclusive = trial->ran > conclusive ? trial->ran - conclusive : 0;

	return (uint64_t)TRIAL_PAUSE_US << MIN(inconclusive, MAX_PAUSE_DOUBLINGS);
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
		return now_us >= trial->since_us + TRIAL_GRANT_TIMEOUT_US;
	return trial->state == TRIAL_CLAIMED_ELSEWHERE &&
	       now_us >= trial->since_us + REMOTE_TRIAL_TIMEOUT_US;
}

bool trial_is_due(const trial_t *trial, uint64_t now_us)
{
	if (trial->state == TRIAL_RUNNING ||
	    (trial->state == TRIAL_CLAIMED_ELSEWHERE && !has_lapsed(trial, now_us)))
		return false;
	return now_us >= trial->next_us;
}

trial_decision_t trial_decide(trial_t *trial, uint64_t now_us)
{
	/* The other VM that claimed the trial may have begun it. */
	if (has_lapsed(trial, now_us))
		finish(trial, trial->state == TRIAL_CLAIMED_ELSEWHERE);
	if (trial->state == TRIAL_CLAIMING && now_us >= trial->since_us + CLAIM_TIMEOUT_US)
		trial_claim_done(trial, trial->number, CLAIM_UNKNOWN, now_us);
	if (trial->state == TRIAL_GRANTED) {
		trial->state = TRIAL_RUNNING;
		return TRIAL_BEGIN;
	}
	if (trial->state != TRIAL_IDLE)
		return TRIAL_WAIT;
	return now_us < trial->next_us ? TRIAL_RETRY_LATER : TRIAL_MAY_CLAIM;
}

void trial_claim(trial_t *trial, uint64_t now_us)
{
	trial->state = TRIAL_CLAIMING;
	trial->number = trial->done + 1;
	trial->since_us = now_us;
}

void trial_claim_done(trial_t *trial, uint32_t number, claim_reply_t reply, uint64_t now_us)
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
		trial->state = TRIAL_CLAIMED_ELSEWHERE;
		break;
	case CLAIM_REFUSED:
		trial->state = TRIAL_IDLE;
		trial->number = trial->done;
		trial_postpone(trial, now_us + pause_us(trial));
		break;
	}
}

bool trial_begin_local(trial_t *trial)
{
	if (trial->local_used || trial->state != TRIAL_IDLE)
		return false;
	trial->local_used = true;
	trial->state = TRIAL_RUNNING;
	trial->number = trial->done;
	return true;
}

bool trial_is_counted(const trial_t *trial)
{
	return trial->state == TRIAL_RUNNING && trial->number > trial->done;
}

void trial_finish(trial_t *trial, bool ran, uint64_t now_us)
{
	if (trial->state != TRIAL_RUNNING)
		return;
	if (!trial_is_counted(trial)) {
		trial->state = TRIAL_IDLE;
		return;
	}
	finish(trial, ran);
	trial_postpone(trial, now_us + pause_us(trial));
}

void trial_note_crashes(trial_t *trial, uint32_t crashes, uint64_t at_us)
{
	trial->crashes = MAX(trial->crashes, crashes);
	trial_postpone(trial, at_us + TRIAL_PAUSE_US);
}

void trial_apply_update(trial_t *trial, uint32_t done, uint32_t ran, uint64_t now_us)
{
	trial->ran = MAX(trial->ran, ran);
	if (done <= trial->done)
		return;
	trial->done = done;
	if (trial->number <= done && trial->state != TRIAL_RUNNING)
		trial->state = TRIAL_IDLE;
	trial_postpone(trial, now_us + pause_us(trial));
}

void trial_postpone(trial_t *trial, uint64_t until_us)
{
	trial->next_us = MAX(trial->next_us, until_us);
}
