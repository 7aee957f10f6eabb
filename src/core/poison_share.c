/**
 * @file poison_share.c
 * What VMs tell each other of requests that crash searchers, through the store. See poison.h.
 */
#include "core/poison_private.h"

/* Most first strikes are of requests that ran beside another, and their retries clear them within
 * some tens of ms: nothing is told of those. Well below the time within which VMs must agree. */
#define TELL_DELAY_US 300000
/* First strikes told at once, and how soon the next may follow: when many searchers end together,
 * their strikes must not flood the store. Later ones are rare, and told at once. */
#define TELL_BURST 8
#define TELL_PERIOD_US 500000
/*
 * A request that so many searchers end under while nothing answers it hardly ran beside another
 * one. Its caller comes again at another VM within some tens of ms, and the searchers that are left
 * would end there.
 */
#define ENDS_TOLD_AT_ONCE 3
/* When a data centre is lost, requests beside it look the same. */
#define HURRY_BURST 2
/* After the store did not answer. */
#define TELL_AGAIN_US 1000000

/* After the store came back from a copy: each VM that watches it tells what it knows at some moment
 * of the first, unless it hears before that another has; those that are fed, of the second. */
#define REWRITE_FIRST_US 3000000
#define REWRITE_LAST_US 30000000

/* ---- to the store ---- */

uint64_t poison_pace_next_us(const store_pace_t *pace, uint64_t slot_us, uint64_t now_us)
{
	uint64_t burst_us = pace->burst * pace->period_us;
	uint64_t used_us = MAX(slot_us, now_us) + pace->period_us;

	return used_us > burst_us ? used_us - burst_us : 0;
}

void poison_pace_take(const store_pace_t *pace, uint64_t *slot_us, uint64_t now_us)
{
	*slot_us = MAX(*slot_us, now_us) + pace->period_us;
}

/* Takes the next place, whenever it is. */
static uint64_t take_place(const store_pace_t *pace, uint64_t *slot_us, uint64_t now_us)
{
	uint64_t at_us = poison_pace_next_us(pace, *slot_us, now_us);

	poison_pace_take(pace, slot_us, now_us);
	return at_us;
}

void poison_note_more_ends(record_t *record, uint64_t now_us)
{
	const store_pace_t pace = {HURRY_BURST, TELL_PERIOD_US};
	uint64_t at_us;

	if (record->strikes != 1 || !record->tell_us ||
	    record->unanswered_ends != ENDS_TOLD_AT_ONCE)
		return;
	at_us = take_place(&pace, &record->poison->hurry_slot_us, now_us);
	record->tell_us = MIN(record->tell_us, MAX(at_us, now_us));
}

uint64_t poison_next_tell_us(poison_t *poison, const record_t *record, uint64_t now_us)
{
	const store_pace_t pace = {TELL_BURST, TELL_PERIOD_US};
	uint64_t at_us;

	if (record->strikes > 1)
		return now_us;
	at_us = take_place(&pace, &poison->tell_slot_us, now_us);
	return MAX(now_us + TELL_DELAY_US, at_us);
}

void poison_tell(record_t *record)
{
	const poison_t *poison = record->poison;
	const poison_news_t news = poison_news_of(record);

	record->tell_us = 0;
	if (poison->ops)
		poison->ops->tell(poison->ctx, &news);
}

/* ---- from the store ---- */

static bool knows_more(const record_t *record, const poison_news_t *news)
{
	return news->strikes < record->strikes || news->trials < record->trial.done;
}

void poison_take(poison_t *poison, const poison_news_t *news, uint64_t now_us)
{
	record_t *record = poison_record_add(poison, news->fingerprint);

	record->stored = news->strikes;
	record->listed = true;
	if (news->strikes == 1 && poison_was_served(poison, news->fingerprint, now_us)) {
		poison_record_forget(record, "served-here");
		return;
	}
	if (news->strikes > record->strikes) {
		record->renewals = news->renewals;
		record->tell_us = 0;
		poison_set_strikes(record, news->strikes, news->service, now_us);
		poison_say(record, "told-by-other-vm");
	} else if (knows_more(record, news)) {
		if (!record->tell_us)
			record->tell_us = now_us;
	} else if (news->strikes == record->strikes && news->renewals == record->renewals) {
		record->tell_us = 0; /* told by another VM */
	} else if (news->renewals > record->renewals) {
		record->renewals = news->renewals;
		poison_record_hold(record, now_us);
	}
	trial_heard(&record->trial, news->trials, news->ran, now_us);
	poison_note_trials(record);
	poison_record_arm(record);
}

/* Strikes of this VM that the store was not told yet are as true as before. */
void poison_release(poison_t *poison, fingerprint_t fingerprint)
{
	record_t *record = poison_record_find(poison, fingerprint);

	if (!record || !record->stored)
		return;
	record->stored = 0;
	if (record->tell_us)
		return;
	poison_say(record, "released");
	poison_record_drop(record);
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
		poison_record_arm(record);
	}
}

void poison_told(poison_t *poison, const poison_news_t *news, bool taken, uint64_t now_us)
{
	record_t *record = poison_record_find(poison, news->fingerprint);

	poison->counters.told += taken;
	if (!record && taken && poison->ops) /* cleared meanwhile */
		poison->ops->forget(poison->ctx, news->fingerprint);
	if (!record)
		return;
	if (taken)
		record->stored = MAX(record->stored, news->strikes);
	else if (!record->tell_us)
		record->tell_us = now_us + TELL_AGAIN_US;
	poison_record_arm(record);
}
