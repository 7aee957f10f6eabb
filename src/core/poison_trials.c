/**
 * @file poison_trials.c
 * Who may send a suspect request to a searcher, of the attempts at it. See poison.h and trial.h.
 */
#include "core/poison_private.h"

/* Copies of a request that lost a connection for a reason that is not known yet. */
#define PROBE_GAP_US 50000
/* What a VM may claim: a burst, and then steadily. With hundreds of suspects the store still has
 * most of its writes for others. */
#define CLAIM_BURST 4
#define CLAIM_PERIOD_US 100000
/* For so long a trial that is due waits for a caller with more time left. */
#define SHORT_AFTER_US 3000000
/* An attempt that finds another one on trial: most take less. */
#define TRIAL_USUAL_US 250000

static const char *why_tried(const record_t *record)
{
	if (record->trial.unclaimed)
		return "store-silent";
	return record->strikes >= POISON_STRIKES ? "refused" : "suspect";
}

void poison_say_trial(const record_t *record, const char *outcome, const char *searcher,
		      uint64_t now_us)
{
	const poison_t *poison = record->poison;
	const poison_trial_t trial = {.fingerprint = record->fingerprint,
				      .number = record->trial.number,
				      .strikes = record->strikes,
				      .why = why_tried(record),
				      .outcome = outcome,
				      .searcher = searcher,
				      .took_us = now_us - record->trial.since_us};

	if (trial_is_counted(&record->trial) && poison->ops && poison->ops->trial)
		poison->ops->trial(poison->ctx, &trial);
}

static bool may_probe(record_t *record, uint64_t now_us)
{
	if (record->probe_us && now_us < record->probe_us + PROBE_GAP_US)
		return false;
	record->probe_us = now_us;
	return true;
}

/* Whether no other VM has heard of it: it was struck here, a moment ago. */
static bool is_untold(const record_t *record)
{
	return !record->stored && record->strikes == 1 && record->tell_us;
}

static bool take_claim_slot(poison_t *poison, uint64_t now_us)
{
	const store_pace_t pace = {CLAIM_BURST, CLAIM_PERIOD_US};

	if (poison_pace_next_us(&pace, poison->claim_slot_us, now_us) > now_us)
		return false;
	poison_pace_take(&pace, &poison->claim_slot_us, now_us);
	return true;
}

static void claim(record_t *record, uint64_t now_us)
{
	poison_t *poison = record->poison;

	trial_claim(&record->trial, now_us);
	poison->counters.claims++;
	if (poison->ops && poison->ops->claim)
		poison->ops->claim(poison->ctx, record->fingerprint, record->trial.number);
	else
		trial_claimed(&record->trial, record->trial.number, CLAIM_GRANTED, now_us);
}

static void begin(record_t *record, uint64_t now_us)
{
	record->poison->counters.trials++;
	poison_say_trial(record, "begun", "", now_us);
}

/* All its callers may be in a hurry. */
static bool is_long_due(const record_t *record, uint64_t now_us)
{
	return now_us >= MAX(record->trial.next_us, record->struck_us) + SHORT_AFTER_US;
}

trial_turn_t poison_turn(poison_t *poison, fingerprint_t fingerprint, bool has_time,
			 uint64_t now_us)
{
	record_t *record = poison_record_find(poison, fingerprint);
	trial_turn_t turn;

	if (!record)
		return TRIAL_NONE;
	if (!record->strikes)
		return may_probe(record, now_us) ? TRIAL_NONE : TRIAL_WAIT;
	if (is_untold(record) && trial_take_free(&record->trial))
		return TRIAL_GO;
	if (!has_time && !is_long_due(record, now_us))
		return TRIAL_LATER;
	turn = trial_turn(&record->trial, now_us);
	if (turn == TRIAL_CLAIM && !take_claim_slot(poison, now_us))
		return TRIAL_WAIT;
	if (turn == TRIAL_CLAIM) {
		claim(record, now_us);
		turn = trial_turn(&record->trial, now_us);
	}
	if (turn == TRIAL_GO)
		begin(record, now_us);
	return turn;
}

void poison_claimed(poison_t *poison, fingerprint_t fingerprint, uint32_t number,
		    claim_reply_t reply, uint64_t now_us)
{
	record_t *record = poison_record_find(poison, fingerprint);

	if (record)
		trial_claimed(&record->trial, number, reply, now_us);
	else if (reply == CLAIM_GRANTED && poison->ops && poison->ops->drop_claims)
		poison->ops->drop_claims(poison->ctx, fingerprint, number); /* cleared meanwhile */
}

bool poison_is_on_trial(const poison_t *poison, fingerprint_t fingerprint)
{
	const record_t *record = poison_record_find(poison, fingerprint);

	return record && trial_is_counted(&record->trial);
}

void poison_trial_over(poison_t *poison, fingerprint_t fingerprint, const trial_end_t *end,
		       uint64_t now_us)
{
	record_t *record = poison_record_find(poison, fingerprint);
	bool counted;

	if (!record)
		return;
	counted = trial_is_counted(&record->trial);
	poison_say_trial(record, end->outcome, end->searcher, now_us);
	trial_over(&record->trial, end->ran, now_us);
	if (!counted)
		return;
	poison_note_trials(record);
	if (!record->tell_us)
		record->tell_us = now_us;
	poison_record_arm(record);
}

uint64_t poison_retry_us(const poison_t *poison, fingerprint_t fingerprint, uint64_t now_us)
{
	const record_t *record = poison_record_find(poison, fingerprint);
	uint64_t next_us = record ? record->trial.next_us : 0;

	return MAX(next_us > now_us ? next_us - now_us : 0, TRIAL_USUAL_US);
}
