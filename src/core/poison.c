/**
 * @file poison.c
 * The records, their strikes and what follows of them. See poison.h.
 */
#include "core/poison_private.h"

/* A suspect that comes again within this is recognised. */
#define SUSPECT_KEEP_US (10 * 60 * 1000000ull)
/* All VMs forget at about the same time; the first one tells the store, and the others hear it. */
#define FORGET_SPREAD_US 60000000
/* How soon a refused request is tried once more: what ended searchers beside it is over by then,
 * and those that ended are back. */
#define PAROLE_US 10000000
/* After so many trials that reached a searcher one more is as late as a block is long, also if some
 * of them showed nothing: each may have cost a searcher. */
#define TRIALS_MOST 3

static void record_free(void *data)
{
	record_t *record = data;

	timers_cancel(&record->poison->timers, &record->timer);
	poison_losses_clear(record);
	g_free(record->service);
	g_free(record);
}

poison_t *poison_new(const poison_ops_t *ops, void *ctx, uint32_t seed)
{
	poison_t *poison = g_new0(poison_t, 1);

	poison->ops = ops;
	poison->ctx = ctx;
	poison->rand = g_rand_new_with_seed(seed);
	poison->records = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, record_free);
	timers_init(&poison->timers);
	return poison;
}

void poison_free(poison_t *poison)
{
	g_hash_table_unref(poison->records);
	timers_clear(&poison->timers);
	g_rand_free(poison->rand);
	g_free(poison);
}

/* ---- records ---- */

record_t *poison_record_find(const poison_t *poison, fingerprint_t fingerprint)
{
	if (!g_hash_table_size(poison->records))
		return NULL;
	return g_hash_table_lookup(poison->records, &fingerprint);
}

poison_news_t poison_news_of(const record_t *record)
{
	return (poison_news_t){.fingerprint = record->fingerprint,
			       .strikes = record->strikes,
			       .renewals = record->renewals,
			       .trials = record->trial.done,
			       .ran = record->trial.ran,
			       .service = record->service ? record->service : ""};
}

void poison_say(const record_t *record, const char *what)
{
	const poison_t *poison = record->poison;
	const poison_news_t news = poison_news_of(record);

	if (poison->ops)
		poison->ops->changed(poison->ctx, &news, what);
}

void poison_record_drop(record_t *record)
{
	g_hash_table_remove(record->poison->records, &record->fingerprint);
}

static void drop_claims(const record_t *record)
{
	const poison_t *poison = record->poison;
	uint32_t claimed = MAX(record->trial.number, record->trial.done);

	if (claimed && poison->ops && poison->ops->drop_claims)
		poison->ops->drop_claims(poison->ctx, record->fingerprint, claimed);
}

void poison_record_forget(record_t *record, const char *why)
{
	const poison_t *poison = record->poison;

	poison_say(record, why);
	if (record->stored && poison->ops)
		poison->ops->forget(poison->ctx, record->fingerprint);
	drop_claims(record);
	poison_record_drop(record);
}

bool poison_record_is_empty(const record_t *record)
{
	return !record->strikes && !record->loss_count;
}

/* Three ends may be chance, of a request that many ask for. One more is not. */
static bool is_parole_due(const record_t *record, uint64_t now_us)
{
	return record->strikes == POISON_STRIKES && trial_is_due(&record->trial, now_us);
}

static bool is_blocked(const record_t *record, uint64_t now_us)
{
	return record->strikes >= POISON_STRIKES && now_us < record->held_us + BLOCK_US &&
	       !is_parole_due(record, now_us);
}

void poison_record_arm(record_t *record)
{
	uint64_t next_us = record->strikes ? record->forget_us : TIMERS_NEVER;

	next_us = MIN(next_us, poison_losses_next_us(record));
	if (record->tell_us)
		next_us = MIN(next_us, record->tell_us);
	timers_set(&record->poison->timers, &record->timer, next_us);
}

/* Whoever sends many such requests must not make a VM forget those that it refuses, as long as it
 * knows others. What all VMs have forgotten must not stay in the store for good. */
static void forget_least(poison_t *poison)
{
	record_t *least = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, poison->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		record_t *record = value;

		if (!least || record->strikes < least->strikes ||
		    (record->strikes == least->strikes && record->held_us < least->held_us))
			least = record;
	}
	poison->counters.dropped++;
	poison_record_forget(least, "dropped");
}

static void on_timer(void *ctx, uint64_t now_us);

record_t *poison_record_add(poison_t *poison, fingerprint_t fingerprint)
{
	record_t *record = poison_record_find(poison, fingerprint);

	if (record)
		return record;
	if (g_hash_table_size(poison->records) >= POISON_RECORDS_MOST)
		forget_least(poison);
	record = g_new0(record_t, 1);
	record->poison = poison;
	record->fingerprint = fingerprint;
	record->timer = (timer_entry_t){.fire = on_timer, .ctx = record};
	g_hash_table_insert(poison->records, &record->fingerprint, record);
	return record;
}

void poison_record_hold(record_t *record, uint64_t from_us)
{
	uint64_t keep_us = SUSPECT_KEEP_US;

	if (record->strikes >= POISON_STRIKES)
		keep_us += BLOCK_US;
	record->held_us = from_us;
	record->forget_us = from_us + keep_us +
			    (uint64_t)g_rand_int_range(record->poison->rand, 0, FORGET_SPREAD_US);
}

/* ---- strikes ---- */

void poison_set_strikes(record_t *record, uint32_t strikes, const char *service, uint64_t at_us)
{
	record->strikes = strikes;
	record->struck_us = at_us;
	g_free(record->service);
	record->service = g_strdup(service);
	poison_record_hold(record, at_us);
	/* The first strike needs no trial. */
	if (strikes > 1)
		trial_note_ends(&record->trial, strikes - 1, at_us);
	if (strikes >= POISON_STRIKES)
		trial_delay(&record->trial, at_us + PAROLE_US);
}

/* That a trial is over may be known before the end of its searcher, or after. */
void poison_note_trials(record_t *record)
{
	if (record->strikes >= POISON_STRIKES && record->trial.ran >= TRIALS_MOST)
		trial_delay(&record->trial, record->struck_us + BLOCK_US);
}

/* ---- time ---- */

static void on_timer(void *ctx, uint64_t now_us)
{
	record_t *record = ctx;

	poison_losses_expire(record, now_us);
	if (poison_record_is_empty(record)) {
		poison_record_drop(record);
		return;
	}
	if (record->strikes && now_us >= record->forget_us) {
		poison_record_forget(record, "forgotten");
		return;
	}
	if (record->tell_us && now_us >= record->tell_us)
		poison_tell(record);
	poison_record_arm(record);
}

uint64_t poison_next_us(const poison_t *poison)
{
	return timers_next_us(&poison->timers);
}

void poison_run(poison_t *poison, uint64_t now_us)
{
	timers_run(&poison->timers, now_us);
}

/* ---- what follows ---- */

static bool is_suspect(const record_t *record)
{
	return record->strikes > 0 || poison_losses_accuse(record);
}

poison_verdict_t poison_judge(const poison_t *poison, fingerprint_t fingerprint, uint64_t now_us)
{
	const record_t *record = poison_record_find(poison, fingerprint);

	if (!record || !is_suspect(record))
		return POISON_CLEAR;
	return is_blocked(record, now_us) ? POISON_BLOCKED : POISON_SUSPECT;
}

const char *poison_service(const poison_t *poison, fingerprint_t fingerprint)
{
	const record_t *record = poison_record_find(poison, fingerprint);

	return record ? record->service : NULL;
}

uint64_t poison_note_refused(poison_t *poison, fingerprint_t fingerprint, uint64_t now_us)
{
	record_t *record = poison_record_find(poison, fingerprint);

	if (!record || !is_blocked(record, now_us))
		return 0;
	if (now_us >= record->held_us + BLOCK_US / 2) {
		record->renewals++;
		record->tell_us = now_us;
		poison_record_hold(record, now_us);
		poison_record_arm(record);
	}
	if (record->strikes == POISON_STRIKES)
		return MIN(poison_retry_us(poison, fingerprint, now_us),
			   record->held_us + BLOCK_US - now_us);
	return record->held_us + BLOCK_US - now_us;
}

uint32_t poison_records(const poison_t *poison)
{
	return g_hash_table_size(poison->records);
}

uint32_t poison_blocked(const poison_t *poison, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer record;
	uint32_t blocked = 0;

	g_hash_table_iter_init(&iter, poison->records);
	while (g_hash_table_iter_next(&iter, NULL, &record))
		blocked += is_blocked(record, now_us);
	return blocked;
}

const poison_counters_t *poison_counters(const poison_t *poison)
{
	return &poison->counters;
}
