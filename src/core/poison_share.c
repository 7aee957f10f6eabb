/**
 * @file poison_share.c
 * Exchange of poison request records between VMs through the store. See poison.h.
 */
#include "core/poison_private.h"

/* Most first strikes hit requests that ran concurrently with a poison request. Their retries clear
 * them within some tens of ms, so they need not be published. The delay is well below the time
 * within which VMs must agree. */
#define STRIKE_PUBLISH_DELAY_US 300000
/* Rate limit for publishing first strikes: when many searchers terminate together, their strikes
 * must not flood the store. Later strikes are rare and are published at once. */
#define STRIKE_PUBLISH_BURST 8
#define STRIKE_PUBLISH_PERIOD_US 500000
/*
 * After this many crashes without any answer, the request is very likely the cause and not a
 * concurrent one. It is published without STRIKE_PUBLISH_DELAY_US, because its caller retries at
 * another VM within some tens of ms and would crash the remaining searchers from there.
 */
#define URGENT_CRASHES 3
/* Limit on urgent updates: when a data centre is lost, innocent requests look the same. */
#define URGENT_BURST 2
/* Delay before a failed update is published again. */
#define STRIKE_PUBLISH_RETRY_US 1000000

/* After the store was restored from an older copy of its data, each VM that watches the store
 * republishes its records at a random time within the first period, unless it receives the same
 * update from another VM before. Fed VMs do so within the second period, after the first. */
#define REPUBLISH_WATCHER_US 3000000
#define REPUBLISH_FED_US 30000000

/* ---- publishing ---- */

uint64_t poison_rate_next_us(const store_rate_t *rate, uint64_t slot_us, uint64_t now_us)
{
	uint64_t burst_us = rate->burst * rate->period_us;
	uint64_t used_us = MAX(slot_us, now_us) + rate->period_us;

	return used_us > burst_us ? used_us - burst_us : 0;
}

void poison_rate_take(const store_rate_t *rate, uint64_t *slot_us, uint64_t now_us)
{
	*slot_us = MAX(*slot_us, now_us) + rate->period_us;
}

/* Reserves the next free slot and returns its time. */
static uint64_t take_rate_slot(const store_rate_t *rate, uint64_t *slot_us, uint64_t now_us)
{
	uint64_t at_us = poison_rate_next_us(rate, *slot_us, now_us);

	poison_rate_take(rate, slot_us, now_us);
	return at_us;
}

void poison_note_further_crash(record_t *record, uint64_t now_us)
{
	const store_rate_t rate = {URGENT_BURST, STRIKE_PUBLISH_PERIOD_US};
	uint64_t at_us;

	if (record->strikes != 1 || !record->publish_us ||
	    record->unanswered_crashes != URGENT_CRASHES)
		return;
	at_us = take_rate_slot(&rate, &record->poison->urgent_slot_us, now_us);
	record->publish_us = MIN(record->publish_us, MAX(at_us, now_us));
}

uint64_t poison_next_publish_us(poison_t *poison, const record_t *record, uint64_t now_us)
{
	const store_rate_t rate = {STRIKE_PUBLISH_BURST, STRIKE_PUBLISH_PERIOD_US};
	uint64_t at_us;

	if (record->strikes > 1)
		return now_us;
	at_us = take_rate_slot(&rate, &poison->publish_slot_us, now_us);
	return MAX(now_us + STRIKE_PUBLISH_DELAY_US, at_us);
}

void poison_publish(record_t *record)
{
	const poison_t *poison = record->poison;
	const poison_update_t update = poison_update_of(record);

	record->publish_us = 0;
	if (poison->ops)
		poison->ops->publish(poison->ctx, &update);
}

/* ---- updates from the store ---- */

static bool is_ahead_of_update(const record_t *record, const poison_update_t *update)
{
	return update->strikes < record->strikes || update->trials < record->trial.done;
}

void poison_apply_update(poison_t *poison, const poison_update_t *update, uint64_t now_us)
{
	record_t *record = poison_record_add(poison, update->fingerprint);

	record->stored = update->strikes;
	record->listed = true;
	if (update->strikes == 1 &&
	    poison_was_served_recently(poison, update->fingerprint, now_us)) {
		poison_record_remove_shared(record, "served-here");
		return;
	}
	if (update->strikes > record->strikes) {
		record->renewals = update->renewals;
		record->publish_us = 0;
		poison_set_strikes(record, update->strikes, update->service, now_us);
		poison_log_change(record, "told-by-other-vm");
	} else if (is_ahead_of_update(record, update)) {
		if (!record->publish_us)
			record->publish_us = now_us;
	} else if (update->strikes == record->strikes && update->renewals == record->renewals) {
		record->publish_us = 0; /* another VM published the same */
	} else if (update->renewals > record->renewals) {
		record->renewals = update->renewals;
		poison_record_retain(record, now_us);
	}
	trial_apply_update(&record->trial, update->trials, update->ran, now_us);
	poison_limit_trials(record);
	poison_record_arm(record);
}

/* Strikes of this VM that are not published yet remain valid. */
void poison_apply_removal(poison_t *poison, fingerprint_t fingerprint)
{
	record_t *record = poison_record_find(poison, fingerprint);

	if (!record || !record->stored)
		return;
	record->stored = 0;
	if (record->publish_us)
		return;
	poison_log_change(record, "released");
	poison_record_remove(record);
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
			poison_apply_removal(poison, record->fingerprint);
	}
}

void poison_store_restored(poison_t *poison, bool after_watchers, uint64_t now_us)
{
	uint64_t from_us = now_us + (after_watchers ? REPUBLISH_WATCHER_US : 0);
	gint32 max_us = after_watchers ? REPUBLISH_FED_US : REPUBLISH_WATCHER_US;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, poison->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		record_t *record = value;

		if (!record->stored)
			continue;
		record->stored = 0;
		record->publish_us = from_us + (uint64_t)g_rand_int_range(poison->rand, 0, max_us);
		poison_record_arm(record);
	}
}

void poison_publish_done(poison_t *poison, const poison_update_t *update, bool written,
			 uint64_t now_us)
{
	record_t *record = poison_record_find(poison, update->fingerprint);

	poison->counters.published += written;
	if (!record && written && poison->ops) /* cleared in the meantime */
		poison->ops->remove(poison->ctx, update->fingerprint);
	if (!record)
		return;
	if (written)
		record->stored = MAX(record->stored, update->strikes);
	else if (!record->publish_us)
		record->publish_us = now_us + STRIKE_PUBLISH_RETRY_US;
	poison_record_arm(record);
}
