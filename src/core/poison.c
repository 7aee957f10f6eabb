/**
 * @file poison.c
 * Records of suspect requests, their strikes, and the verdicts. See poison.h.
 */
#include "core/poison_private.h"

/* How long the record of a suspect is kept after its last strike. */
#define SUSPECT_RETENTION_US (10 * 60 * 1000000ull)
/* Records expire on all VMs at about the same time. With jitter one VM is first and removes the
 * request from the store, and the others receive the removal. */
#define RECORD_EXPIRY_JITTER_US 60000000
/* Delay before the retrial of a blocked request. By then a concurrent event that terminated
 * searchers is over, and those searchers have restarted. */
#define RETRIAL_DELAY_US 10000000
/* Once this many trials have reached a searcher, the retrial of a blocked request waits for the
 * duration of a block, even if some trials were inconclusive: each may have crashed a searcher. */
#define MAX_EARLY_TRIALS 3

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

poison_update_t poison_update_of(const record_t *record)
{
	return (poison_update_t){.fingerprint = record->fingerprint,
				 .strikes = record->strikes,
				 .renewals = record->renewals,
				 .trials = record->trial.done,
				 .ran = record->trial.ran,
				 .service = record->service ? record->service : ""};
}

void poison_log_change(const record_t *record, const char *what)
{
	const poison_t *poison = record->poison;
	const poison_update_t update = poison_update_of(record);

	if (poison->ops)
		poison->ops->changed(poison->ctx, &update, what);
}

void poison_record_remove(record_t *record)
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

void poison_record_remove_shared(record_t *record, const char *why)
{
	const poison_t *poison = record->poison;

	poison_log_change(record, why);
	if (record->stored && poison->ops)
		poison->ops->remove(poison->ctx, record->fingerprint);
	drop_claims(record);
	poison_record_remove(record);
}

bool poison_record_is_empty(const record_t *record)
{
	return !record->strikes && !record->loss_count;
}

/* Three crashes may be a coincidence for a request that many callers send. A fourth is not. */
static bool is_retrial_due(const record_t *record, uint64_t now_us)
{
	return record->strikes == POISON_STRIKES && trial_is_due(&record->trial, now_us);
}

static bool is_blocked(const record_t *record, uint64_t now_us)
{
	return record->strikes >= POISON_STRIKES &&
	       now_us < record->period_start_us + BLOCK_DURATION_US &&
	       !is_retrial_due(record, now_us);
}

void poison_record_arm(record_t *record)
{
	uint64_t next_us = record->strikes ? record->expires_us : TIMERS_NEVER;

	next_us = MIN(next_us, poison_losses_next_us(record));
	if (record->publish_us)
		next_us = MIN(next_us, record->publish_us);
	timers_set(&record->poison->timers, &record->timer, next_us);
}

/* Evicts the record with the fewest strikes, and of those the oldest: a caller that sends many
 * poison requests must not evict blocked ones while others can be evicted. The request is also
 * removed from the store, where it would otherwise stay forever once all VMs have evicted it. */
static void evict_record(poison_t *poison)
{
	record_t *victim = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, poison->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		record_t *record = value;

		if (!victim || record->strikes < victim->strikes ||
		    (record->strikes == victim->strikes &&
		     record->period_start_us < victim->period_start_us))
			victim = record;
	}
	poison->counters.dropped++;
	poison_record_remove_shared(victim, "dropped");
}

static void on_timer(void *ctx, uint64_t now_us);

record_t *poison_record_add(poison_t *poison, fingerprint_t fingerprint)
{
	record_t *record = poison_record_find(poison, fingerprint);

	if (record)
		return record;
	if (g_hash_table_size(poison->records) >= POISON_MAX_RECORDS)
		evict_record(poison);
	record = g_new0(record_t, 1);
	record->poison = poison;
	record->fingerprint = fingerprint;
	record->timer = (timer_entry_t){.fire = on_timer, .ctx = record};
	g_hash_table_insert(poison->records, &record->fingerprint, record);
	return record;
}

void poison_record_retain(record_t *record, uint64_t from_us)
{
	uint64_t retention_us = SUSPECT_RETENTION_US;

	if (record->strikes >= POISON_STRIKES)
		retention_us += BLOCK_DURATION_US;
	record->period_start_us = from_us;
	record->expires_us =
		from_us + retention_us +
		(uint64_t)g_rand_int_range(record->poison->rand, 0, RECORD_EXPIRY_JITTER_US);
}

/* ---- strikes ---- */

void poison_set_strikes(record_t *record, uint32_t strikes, const char *service, uint64_t at_us)
{
	record->strikes = strikes;
	record->struck_us = at_us;
	g_free(record->service);
	record->service = g_strdup(service);
	poison_record_retain(record, at_us);
	/* The first strike comes without a trial. */
	if (strikes > 1)
		trial_note_crashes(&record->trial, strikes - 1, at_us);
	if (strikes >= POISON_STRIKES)
		trial_postpone(&record->trial, at_us + RETRIAL_DELAY_US);
}

/* Called for strikes and for finished trials: a trial may be reported before or after the crash of
 * its searcher. */
void poison_limit_trials(record_t *record)
{
	if (record->strikes >= POISON_STRIKES && record->trial.ran >= MAX_EARLY_TRIALS)
		trial_postpone(&record->trial, record->struck_us + BLOCK_DURATION_US);
}

/* ---- time ---- */

static void on_timer(void *ctx, uint64_t now_us)
{
	record_t *record = ctx;

	poison_losses_expire(record, now_us);
	if (poison_record_is_empty(record)) {
		poison_record_remove(record);
		return;
	}
	if (record->strikes && now_us >= record->expires_us) {
		poison_record_remove_shared(record, "forgotten");
		return;
	}
	if (record->publish_us && now_us >= record->publish_us)
		poison_publish(record);
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

/* ---- decisions ---- */

static bool is_suspect(const record_t *record)
{
	return record->strikes > 0 || poison_losses_suggest_crash(record);
}

poison_verdict_t poison_check(const poison_t *poison, fingerprint_t fingerprint, uint64_t now_us)
{
	const record_t *record = poison_record_find(poison, fingerprint);

	if (!record || !is_suspect(record))
		return POISON_CLEAR;
	return is_blocked(record, now_us) ? POISON_BLOCKED : POISON_SUSPECT;
}

const char *poison_last_service(const poison_t *poison, fingerprint_t fingerprint)
{
	const record_t *record = poison_record_find(poison, fingerprint);

	return record ? record->service : NULL;
}

uint64_t poison_note_refused(poison_t *poison, fingerprint_t fingerprint, uint64_t now_us)
{
	record_t *record = poison_record_find(poison, fingerprint);

	if (!record || !is_blocked(record, now_us))
		return 0;
	if (now_us >= record->period_start_us + BLOCK_DURATION_US / 2) {
		record->renewals++;
		record->publish_us = now_us;
		poison_record_retain(record, now_us);
		poison_record_arm(record);
	}
	if (record->strikes == POISON_STRIKES)
		return MIN(poison_retry_delay_us(poison, fingerprint, now_us),
			   record->period_start_us + BLOCK_DURATION_US - now_us);
	return record->period_start_us + BLOCK_DURATION_US - now_us;
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
