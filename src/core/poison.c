/**
 * @file poison.c
 * See poison.h.
 */
#include "core/poison.h"

/* Broken connections that wait to be explained, for each request: a gather loses many at once, and
 * one is enough for a strike. */
#define LOSSES_MOST 8
/* Whether a searcher that broke a connection still listens is known after a connect, 0.4 s at most;
 * one that starts again is registered a few seconds later. */
#define LOSS_KEEP_US 10000000
/*
 * Searchers that end under a request that is not suspect yet end within some tenths of a second of
 * each other, through its hedges and its caller's retry. A request beside it that is sent again at
 * once may meet the next of them: without this gap after the first strike it would be refused like
 * the one that did it. Later ones end one by one.
 */
#define STRIKE_GAP_US 1000000
/*
 * A request that many callers ask for is nearly always at some searcher when one ends, and would
 * soon be at two in a row. One that was answered whole a moment before has crashed none of them. If
 * it turns bad later, with another version of the searchers, that is seen so much later.
 */
#define SERVED_KEEP_US 5000000
/* A VM serves some 30 to 100 requests a second: those of SERVED_KEEP_US, in 8 KB. */
#define SERVED_MOST 512
/* A suspect that comes again within this is recognised. */
#define SUSPECT_KEEP_US (10 * 60 * 1000000ull)
/* A request that has not come for so long may crash one searcher more, or be cleared because what
 * it met is mended. While it keeps coming, the block is renewed at half of it. */
#define BLOCK_US (30 * 60 * 1000000ull)
/* All VMs forget at about the same time; the first one tells the store, and the others hear it. */
#define FORGET_SPREAD_US 60000000
/* Copies of a request that lost a connection for a reason that is not known yet. */
#define PROBE_GAP_US 50000
/* How soon a refused request is tried once more: what ended searchers beside it is over by then,
 * and those that ended are back. */
#define PAROLE_US 10000000
/* With so many trials over, those that showed nothing too, one more is as late as a block is long:
 * each may have cost a searcher. */
#define TRIALS_MOST 3
/* What a VM may claim: a burst, and then steadily. With hundreds of suspects the store still has
 * most of its writes for others. */
#define CLAIM_BURST 4
#define CLAIM_PERIOD_US 100000
/* For so long a trial that is due waits for a caller with more time left. */
#define SHORT_AFTER_US 3000000
/* An attempt that finds another one on trial: most take less. */
#define TRIAL_USUAL_US 250000
/* Most first strikes are of requests that ran beside another, and their retries clear them within
 * some tens of ms: nothing is told of those. Well below the time within which VMs must agree. */
#define TELL_DELAY_US 300000
/* First strikes told at once, and how soon the next may follow: when many searchers end together,
 * their strikes must not flood the store. Later ones are rare, and told at once. */
#define TELL_BURST 8
#define TELL_PERIOD_US 500000
/* After the store did not answer. */
#define TELL_AGAIN_US 1000000

/* After the store came back from a copy: each VM that watches it tells what it knows at some moment
 * of the first, unless it hears before that another has; those that are fed, of the second. */
#define REWRITE_FIRST_US 3000000
#define REWRITE_LAST_US 30000000

/** A connection that broke under a request; nobody knows yet whether its searcher ended. */
typedef struct loss_t {
	searcher_t *searcher; /* referenced */
	uint64_t sent_us, lost_us;
	bool listens; /* something at its address does: its end is not likely, but possible */
} loss_t;

/** A request that was answered whole of late. */
typedef struct served_t {
	fingerprint_t fingerprint;
	uint64_t at_us;
} served_t;

typedef struct record_t {
	poison_t *poison;
	fingerprint_t fingerprint;
	uint32_t strikes; /* without an answer in between */
	uint32_t stored;  /* strikes that the store knows of; 0: none */
	uint32_t renewals;
	char *service;	    /* of the searcher that ended last; NULL before the first strike */
	uint64_t struck_us; /* the last strike, or when another VM's was heard of */
	uint64_t held_us;   /* the last strike or renewal: keeping and blocking run from here */
	uint64_t probe_us;  /* when it was last sent with a loss unexplained; 0: never */
	trial_t trial;
	uint64_t tell_us; /* when to tell; 0: nothing to tell, or the store is being told */
	uint64_t forget_us;
	bool listed; /* in the list that is being read */
	loss_t losses[LOSSES_MOST];
	uint32_t loss_count;
	timer_entry_t timer;
} record_t;

struct poison_t {
	const poison_ops_t *ops;
	void *ctx;
	GRand *rand;
	GHashTable *records;	      /* fingerprint to record_t */
	uint32_t losses;	      /* of all records */
	served_t served[SERVED_MOST]; /* each in the place that its fingerprint gives it */
	timers_t timers;
	uint64_t tell_slot_us;	/* up to when first strikes have used up their share of the store */
	uint64_t claim_slot_us; /* the same of claims */
	poison_counters_t counters;
};

static void remove_loss(record_t *record, uint32_t index)
{
	searcher_unref(record->losses[index].searcher);
	record->losses[index] = record->losses[--record->loss_count];
	record->poison->losses--;
}

static void record_free(void *data)
{
	record_t *record = data;

	timers_cancel(&record->poison->timers, &record->timer);
	while (record->loss_count)
		remove_loss(record, 0);
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

static record_t *find(const poison_t *poison, fingerprint_t fingerprint)
{
	if (!g_hash_table_size(poison->records))
		return NULL;
	return g_hash_table_lookup(poison->records, &fingerprint);
}

static poison_news_t news_of(const record_t *record)
{
	return (poison_news_t){.fingerprint = record->fingerprint,
			       .strikes = record->strikes,
			       .renewals = record->renewals,
			       .trials = record->trial.done,
			       .service = record->service ? record->service : ""};
}

static void say(const record_t *record, const char *what)
{
	const poison_t *poison = record->poison;
	const poison_news_t news = news_of(record);

	if (poison->ops)
		poison->ops->changed(poison->ctx, &news, what);
}

static const char *why_tried(const record_t *record)
{
	if (record->trial.unclaimed)
		return "store-silent";
	return record->strikes >= POISON_STRIKES ? "refused" : "suspect";
}

static void say_trial(const record_t *record, const char *outcome, const char *searcher,
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

static void drop(record_t *record)
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

static void forget(record_t *record, const char *why)
{
	const poison_t *poison = record->poison;

	say(record, why);
	if (record->stored && poison->ops)
		poison->ops->forget(poison->ctx, record->fingerprint);
	drop_claims(record);
	drop(record);
}

static bool is_empty(const record_t *record)
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

static uint64_t first_loss_us(const record_t *record)
{
	uint64_t first_us = record->losses[0].lost_us;

	for (uint32_t i = 1; i < record->loss_count; i++)
		first_us = MIN(first_us, record->losses[i].lost_us);
	return first_us;
}

static void arm(record_t *record)
{
	uint64_t next_us = record->strikes ? record->forget_us : TIMERS_NEVER;

	if (record->loss_count)
		next_us = MIN(next_us, first_loss_us(record) + LOSS_KEEP_US);
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
	forget(least, "dropped");
}

static void on_timer(void *ctx, uint64_t now_us);

static record_t *find_or_add(poison_t *poison, fingerprint_t fingerprint)
{
	record_t *record = find(poison, fingerprint);

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

static void hold(record_t *record, uint64_t from_us)
{
	uint64_t keep_us = SUSPECT_KEEP_US;

	if (record->strikes >= POISON_STRIKES)
		keep_us += BLOCK_US;
	record->held_us = from_us;
	record->forget_us = from_us + keep_us +
			    (uint64_t)g_rand_int_range(record->poison->rand, 0, FORGET_SPREAD_US);
}

/* ---- strikes ---- */

static void set_strikes(record_t *record, uint32_t strikes, const char *service, uint64_t at_us)
{
	record->strikes = strikes;
	record->struck_us = at_us;
	g_free(record->service);
	record->service = g_strdup(service);
	hold(record, at_us);
	if (strikes > 1)
		trial_note_end(&record->trial, at_us);
	if (strikes >= POISON_STRIKES)
		trial_delay(&record->trial, at_us + PAROLE_US);
}

/* That a trial is over may be known before the end of its searcher, or after. */
static void note_trials(record_t *record)
{
	if (record->strikes >= POISON_STRIKES && record->trial.done >= TRIALS_MOST)
		trial_delay(&record->trial, record->struck_us + BLOCK_US);
}

static uint64_t next_tell_us(poison_t *poison, const record_t *record, uint64_t now_us)
{
	uint64_t burst_us = TELL_BURST * TELL_PERIOD_US;

	if (record->strikes > 1)
		return now_us;
	poison->tell_slot_us = MAX(poison->tell_slot_us, now_us) + TELL_PERIOD_US;
	return MAX(now_us + TELL_DELAY_US,
		   poison->tell_slot_us > burst_us ? poison->tell_slot_us - burst_us : 0);
}

static void strike(record_t *record, const loss_t *loss, uint64_t now_us)
{
	uint64_t gap_us = record->strikes == 1 ? STRIKE_GAP_US : 0;

	if (record->strikes && loss->sent_us < record->struck_us + gap_us)
		return;
	record->poison->counters.strikes++;
	set_strikes(record, record->strikes + 1, loss->searcher->service, loss->lost_us);
	note_trials(record);
	record->tell_us = next_tell_us(record->poison, record, now_us);
	say(record, record->strikes >= POISON_STRIKES ? "blocked" : "suspected");
}

/* One that something listened for after the loss has ended later, unless a newer start of it says
 * that it was a proxy that did. */
static bool tells(const loss_t *loss)
{
	return !loss->listens || loss->searcher->state == SEARCHER_ENDED;
}

static void explain_losses(record_t *record, const searcher_t *searcher, uint64_t now_us)
{
	for (uint32_t i = record->loss_count; i-- > 0;) {
		if (record->losses[i].searcher != searcher)
			continue;
		if (tells(&record->losses[i]))
			strike(record, &record->losses[i], now_us);
		remove_loss(record, i);
	}
	arm(record);
}

void poison_note_ended(poison_t *poison, const searcher_t *searcher, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer record;

	if (!poison->losses)
		return;
	g_hash_table_iter_init(&iter, poison->records);
	while (g_hash_table_iter_next(&iter, NULL, &record)) {
		explain_losses(record, searcher, now_us);
		if (is_empty(record))
			g_hash_table_iter_remove(&iter);
	}
}

static bool was_served(const poison_t *poison, fingerprint_t fingerprint, uint64_t now_us)
{
	const served_t *served = &poison->served[fingerprint % SERVED_MOST];

	return served->fingerprint == fingerprint && now_us < served->at_us + SERVED_KEEP_US;
}

void poison_note_served(poison_t *poison, fingerprint_t fingerprint, uint64_t now_us)
{
	poison->served[fingerprint % SERVED_MOST] =
		(served_t){.fingerprint = fingerprint, .at_us = now_us};
}

void poison_note_lost(poison_t *poison, fingerprint_t fingerprint, searcher_t *searcher,
		      uint64_t sent_us, uint64_t now_us)
{
	record_t *record;

	if (!fingerprint || was_served(poison, fingerprint, now_us))
		return;
	record = find_or_add(poison, fingerprint);
	if (record->loss_count < LOSSES_MOST) {
		record->losses[record->loss_count++] = (loss_t){
			.searcher = searcher_ref(searcher), .sent_us = sent_us, .lost_us = now_us};
		poison->losses++;
	}
	arm(record);
	if (searcher->state == SEARCHER_ENDED)
		poison_note_ended(poison, searcher, now_us);
}

void poison_note_alive(poison_t *poison, const searcher_t *searcher, uint64_t since_us)
{
	GHashTableIter iter;
	gpointer value;

	if (!poison->losses)
		return;
	g_hash_table_iter_init(&iter, poison->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		record_t *record = value;

		for (uint32_t i = record->loss_count; i-- > 0;)
			if (record->losses[i].searcher == searcher &&
			    record->losses[i].lost_us <= since_us)
				remove_loss(record, i);
		if (is_empty(record))
			g_hash_table_iter_remove(&iter);
	}
}

/* Where a proxy stands before the searchers, it accepts whether they live or not. What is lost then
 * makes no suspect, and counts all the same when a newer start of the searcher is known. */
void poison_note_listens(poison_t *poison, const searcher_t *searcher, uint64_t since_us)
{
	GHashTableIter iter;
	gpointer value;

	if (!poison->losses)
		return;
	g_hash_table_iter_init(&iter, poison->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		record_t *record = value;

		for (uint32_t i = 0; i < record->loss_count; i++)
			if (record->losses[i].searcher == searcher &&
			    record->losses[i].lost_us <= since_us)
				record->losses[i].listens = true;
	}
}

/* Answers of other services say nothing: a request may crash the searchers of one shard only. */
void poison_note_answered(poison_t *poison, fingerprint_t fingerprint, const char *service,
			  uint64_t now_us)
{
	record_t *record = find(poison, fingerprint);

	if (!record)
		return;
	for (uint32_t i = record->loss_count; i-- > 0;)
		if (g_str_equal(record->losses[i].searcher->service, service))
			remove_loss(record, i);
	if (record->strikes && g_str_equal(record->service, service)) {
		poison->counters.cleared++;
		say_trial(record, "answered", "", now_us);
		forget(record, "cleared");
	} else if (is_empty(record)) {
		drop(record);
	}
}

/* ---- other VMs ---- */

static bool knows_more(const record_t *record, const poison_news_t *news)
{
	return news->strikes < record->strikes || news->trials < record->trial.done;
}

void poison_take(poison_t *poison, const poison_news_t *news, uint64_t now_us)
{
	record_t *record = find_or_add(poison, news->fingerprint);

	record->stored = news->strikes;
	record->listed = true;
	if (news->strikes == 1 && was_served(poison, news->fingerprint, now_us)) {
		forget(record, "served-here");
		return;
	}
	if (news->strikes > record->strikes) {
		record->renewals = news->renewals;
		record->tell_us = 0;
		set_strikes(record, news->strikes, news->service, now_us);
		say(record, "told-by-other-vm");
	} else if (knows_more(record, news)) {
		if (!record->tell_us)
			record->tell_us = now_us;
	} else if (news->strikes == record->strikes && news->renewals == record->renewals) {
		record->tell_us = 0; /* told by another VM */
	} else if (news->renewals > record->renewals) {
		record->renewals = news->renewals;
		hold(record, now_us);
	}
	trial_heard(&record->trial, news->trials, now_us);
	note_trials(record);
	arm(record);
}

/* Strikes of this VM that the store was not told yet are as true as before. */
void poison_release(poison_t *poison, fingerprint_t fingerprint)
{
	record_t *record = find(poison, fingerprint);

	if (!record || !record->stored)
		return;
	record->stored = 0;
	if (record->tell_us)
		return;
	say(record, "released");
	drop(record);
}

void poison_list_begin(poison_t *poison)
{
	GHashTableIter iter;
	gpointer record;

	g_hash_table_iter_init(&iter, poison->records);
	while (g_hash_table_iter_next(&iter, NULL, &record))
		((record_t *)record)->listed = false;
}

void poison_list_end(poison_t *poison)
{
	g_autoptr(GList) all = g_hash_table_get_values(poison->records);

	for (GList *item = all; item; item = item->next) {
		const record_t *record = item->data;

		if (!record->listed)
			poison_release(poison, record->fingerprint);
	}
}

void poison_store_restored(poison_t *poison, bool last, uint64_t now_us)
{
	uint64_t from_us = now_us + (last ? REWRITE_FIRST_US : 0);
	gint32 most_us = last ? REWRITE_LAST_US : REWRITE_FIRST_US;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, poison->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		record_t *record = value;

		if (!record->stored)
			continue;
		record->stored = 0;
		record->tell_us = from_us + (uint64_t)g_rand_int_range(poison->rand, 0, most_us);
		arm(record);
	}
}

void poison_told(poison_t *poison, const poison_news_t *news, bool taken, uint64_t now_us)
{
	record_t *record = find(poison, news->fingerprint);

	poison->counters.told += taken;
	if (!record && taken && poison->ops) /* cleared meanwhile */
		poison->ops->forget(poison->ctx, news->fingerprint);
	if (!record)
		return;
	if (taken)
		record->stored = MAX(record->stored, news->strikes);
	else if (!record->tell_us)
		record->tell_us = now_us + TELL_AGAIN_US;
	arm(record);
}

/* ---- time ---- */

static void expire_losses(record_t *record, uint64_t now_us)
{
	for (uint32_t i = record->loss_count; i-- > 0;)
		if (now_us >= record->losses[i].lost_us + LOSS_KEEP_US)
			remove_loss(record, i);
}

static void tell(record_t *record)
{
	const poison_t *poison = record->poison;
	const poison_news_t news = news_of(record);

	record->tell_us = 0;
	if (poison->ops)
		poison->ops->tell(poison->ctx, &news);
}

static void on_timer(void *ctx, uint64_t now_us)
{
	record_t *record = ctx;

	expire_losses(record, now_us);
	if (is_empty(record)) {
		drop(record);
		return;
	}
	if (record->strikes && now_us >= record->forget_us) {
		forget(record, "forgotten");
		return;
	}
	if (record->tell_us && now_us >= record->tell_us)
		tell(record);
	arm(record);
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
	for (uint32_t i = 0; i < record->loss_count; i++)
		if (!record->losses[i].listens)
			return true;
	return record->strikes > 0;
}

poison_verdict_t poison_judge(const poison_t *poison, fingerprint_t fingerprint, uint64_t now_us)
{
	const record_t *record = find(poison, fingerprint);

	if (!record || !is_suspect(record))
		return POISON_CLEAR;
	return is_blocked(record, now_us) ? POISON_BLOCKED : POISON_SUSPECT;
}

const char *poison_service(const poison_t *poison, fingerprint_t fingerprint)
{
	const record_t *record = find(poison, fingerprint);

	return record ? record->service : NULL;
}

/* ---- trials ---- */

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
	uint64_t burst_us = CLAIM_BURST * CLAIM_PERIOD_US;
	uint64_t slot_us = MAX(poison->claim_slot_us, now_us) + CLAIM_PERIOD_US;

	if (slot_us > now_us + burst_us)
		return false;
	poison->claim_slot_us = slot_us;
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
	say_trial(record, "begun", "", now_us);
}

/* All its callers may be in a hurry. */
static bool is_long_due(const record_t *record, uint64_t now_us)
{
	return now_us >= MAX(record->trial.next_us, record->struck_us) + SHORT_AFTER_US;
}

trial_turn_t poison_turn(poison_t *poison, fingerprint_t fingerprint, bool has_time,
			 uint64_t now_us)
{
	record_t *record = find(poison, fingerprint);
	trial_turn_t turn;

	if (!record)
		return TRIAL_GO;
	if (!record->strikes)
		return may_probe(record, now_us) ? TRIAL_GO : TRIAL_WAIT;
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
	record_t *record = find(poison, fingerprint);

	if (record)
		trial_claimed(&record->trial, number, reply, now_us);
	else if (reply == CLAIM_GRANTED && poison->ops && poison->ops->drop_claims)
		poison->ops->drop_claims(poison->ctx, fingerprint, number); /* cleared meanwhile */
}

bool poison_is_on_trial(const poison_t *poison, fingerprint_t fingerprint)
{
	const record_t *record = find(poison, fingerprint);

	return record && trial_is_counted(&record->trial);
}

void poison_trial_over(poison_t *poison, fingerprint_t fingerprint, const trial_end_t *end,
		       uint64_t now_us)
{
	record_t *record = find(poison, fingerprint);
	bool counted;

	if (!record)
		return;
	counted = trial_is_counted(&record->trial);
	say_trial(record, end->outcome, end->searcher, now_us);
	trial_over(&record->trial, end->ran, now_us);
	if (!counted || !end->ran)
		return;
	note_trials(record);
	if (!record->tell_us)
		record->tell_us = now_us;
	arm(record);
}

uint64_t poison_retry_us(const poison_t *poison, fingerprint_t fingerprint, uint64_t now_us)
{
	const record_t *record = find(poison, fingerprint);
	uint64_t next_us = record ? record->trial.next_us : 0;

	return MAX(next_us > now_us ? next_us - now_us : 0, TRIAL_USUAL_US);
}

uint64_t poison_note_refused(poison_t *poison, fingerprint_t fingerprint, uint64_t now_us)
{
	record_t *record = find(poison, fingerprint);

	if (!record || !is_blocked(record, now_us))
		return 0;
	if (now_us >= record->held_us + BLOCK_US / 2) {
		record->renewals++;
		record->tell_us = now_us;
		hold(record, now_us);
		arm(record);
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
