/**
 * @file poison_trials.c
 * Decides which attempt at a suspect request may send it to a searcher. See poison.h and trial.h.
 */
#include "core/poison_private.h"

/* Minimum gap between copies of a request that has an unresolved connection loss. */
#define PROBE_GAP_US 50000
/* Rate limit for a VM's claims: with hundreds of suspects, most of the store's write capacity is
 * left for other writes. */
#define CLAIM_BURST 4
#define CLAIM_PERIOD_US 100000
/* A trial that has been due for this long no longer waits for a caller with enough time left. */
#define ANY_CALLER_AFTER_US 3000000
/* Retry delay of an attempt while another one is on trial: most trials take less. */
#define TYPICAL_TRIAL_US 250000

static const char *trial_reason(const record_t *record)
{
	if (record->trial.unclaimed)
		return "store-silent";
	return record->strikes >= POISON_STRIKES ? "refused" : "suspect";
}

void poison_log_trial(const record_t *record, const char *outcome, const char *searcher,
		      uint64_t now_us)
{
	const poison_t *poison = record->poison;
	const poison_trial_t trial = {.fingerprint = record->fingerprint,
				      .number = record->trial.number,
				      .strikes = record->strikes,
				      .why = trial_reason(record),
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

/* Whether no other VM knows of the suspect: its only strike was noted on this VM and is not
 * published yet. */
static bool is_unpublished(const record_t *record)
{
	return !record->stored && record->strikes == 1 && record->publish_us;
}

static bool take_claim_slot(poison_t *poison, uint64_t now_us)
{
	const store_rate_t rate = {CLAIM_BURST, CLAIM_PERIOD_US};

	if (poison_rate_next_us(&rate, poison->claim_slot_us, now_us) > now_us)
		return false;
	poison_rate_take(&rate, &poison->claim_slot_us, now_us);
	return true;
}

static void claim_trial(record_t *record, uint64_t now_us)
{
	poison_t *poison = record->poison;

	trial_claim(&record->trial, now_us);
	poison->counters.claims++;
	if (poison->ops && poison->ops->claim)
		poison->ops->claim(poison->ctx, record->fingerprint, record->trial.number);
	else
		trial_claim_done(&record->trial, record->trial.number, CLAIM_GRANTED, now_us);
}

static void note_trial_begun(record_t *record, uint64_t now_us)
{
	record->poison->counters.trials++;
	poison_log_trial(record, "begun", "", now_us);
}

/* Without this limit a suspect whose callers all have little time left would never be tried. */
static bool is_trial_overdue(const record_t *record, uint64_t now_us)
{
	return now_us >= MAX(record->trial.next_us, record->struck_us) + ANY_CALLER_AFTER_US;
}

trial_decision_t poison_decide(poison_t *poison, fingerprint_t fingerprint, bool has_time,
			       uint64_t now_us)
{
	record_t *record = poison_record_find(poison, fingerprint);
	trial_decision_t decision;

	if (!record)
		return TRIAL_NOT_NEEDED;
	if (!record->strikes)
		return may_probe(record, now_us) ? TRIAL_NOT_NEEDED : TRIAL_WAIT;
	if (is_unpublished(record) && trial_begin_local(&record->trial))
		return TRIAL_BEGIN;
	if (!has_time && !is_trial_overdue(record, now_us))
		return TRIAL_RETRY_LATER;
	decision = trial_decide(&record->trial, now_us);
	if (decision == TRIAL_MAY_CLAIM && !take_claim_slot(poison, now_us))
		return TRIAL_WAIT;
	if (decision == TRIAL_MAY_CLAIM) {
		claim_trial(record, now_us);
		decision = trial_decide(&record->trial, now_us);
	}
	if (decision == TRIAL_BEGIN)
		note_trial_begun(record, now_us);
	return decision;
}

void poison_claim_done(poison_t *poison, fingerprint_t fingerprint, uint32_t number,
		       claim_reply_t reply, uint64_t now_us)
{
	record_t *record = poison_record_find(poison, fingerprint);

	if (record)
		trial_claim_done(&record->trial, number, reply, now_us);
	else if (reply == CLAIM_GRANTED && poison->ops && poison->ops->drop_claims)
		poison->ops->drop_claims(poison->ctx, fingerprint,
					 number); /* cleared in the meantime */
}

bool poison_has_claimed_trial(const poison_t *poison, fingerprint_t fingerprint)
{
	const record_t *record = poison_record_find(poison, fingerprint);

	return record && trial_is_counted(&record->trial);
}

void poison_trial_finished(poison_t *poison, fingerprint_t fingerprint,
			   const trial_result_t *result, uint64_t now_us)
{
	record_t *record = poison_record_find(poison, fingerprint);
	bool counted;

	if (!record)
		return;
	counted = trial_is_counted(&record->trial);
	poison_log_trial(record, result->outcome, result->searcher, now_us);
	trial_finish(&record->trial, result->ran, now_us);
	if (!counted)
		return;
	poison_limit_trials(record);
	if (!record->publish_us)
		record->publish_us = now_us;
	poison_record_arm(record);
}

uint64_t poison_retry_delay_us(const poison_t *poison, fingerprint_t fingerprint, uint64_t now_us)
{
	const record_t *record = poison_record_find(poison, fingerprint);
	uint64_t next_us = record ? record->trial.next_us : 0;

	return MAX(next_us > now_us ? next_us - now_us : 0, TYPICAL_TRIAL_US);
}
