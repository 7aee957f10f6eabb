/**
 * @file poison_losses.c
 * Connections that broke under a request, until it is known whether their searchers ended: what
 * counts as proof against it, and what explains it away. See poison.h.
 */
#include "core/poison_private.h"

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

/* ---- what is kept of each ---- */

static void remove_loss(record_t *record, uint32_t index)
{
	searcher_unref(record->losses[index].searcher);
	record->losses[index] = record->losses[--record->loss_count];
	record->poison->losses--;
}

void poison_losses_clear(record_t *record)
{
	while (record->loss_count)
		remove_loss(record, 0);
}

void poison_losses_expire(record_t *record, uint64_t now_us)
{
	for (uint32_t i = record->loss_count; i-- > 0;)
		if (now_us >= record->losses[i].lost_us + LOSS_KEEP_US)
			remove_loss(record, i);
}

uint64_t poison_losses_next_us(const record_t *record)
{
	uint64_t first_us = UINT64_MAX - LOSS_KEEP_US;

	for (uint32_t i = 0; i < record->loss_count; i++)
		first_us = MIN(first_us, record->losses[i].lost_us);
	return first_us + LOSS_KEEP_US;
}

bool poison_losses_accuse(const record_t *record)
{
	for (uint32_t i = 0; i < record->loss_count; i++)
		if (!record->losses[i].listens)
			return true;
	return false;
}

/* What became known of the searcher of one loss, and what follows of it. */
typedef void (*loss_visit_f)(record_t *record, uint32_t index, uint64_t now_us);

/* All losses at one searcher that were noted by @p until_us. */
static void visit_losses(const poison_t *poison, const searcher_t *searcher, uint64_t until_us,
			 loss_visit_f visit, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	if (!poison->losses)
		return;
	g_hash_table_iter_init(&iter, poison->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		record_t *record = value;
		bool visited = false;

		for (uint32_t i = record->loss_count; i-- > 0;) {
			if (record->losses[i].searcher != searcher ||
			    record->losses[i].lost_us > until_us)
				continue;
			visit(record, i, now_us);
			visited = true;
		}
		if (poison_record_is_empty(record))
			g_hash_table_iter_remove(&iter);
		else if (visited)
			poison_record_arm(record);
	}
}

/* ---- the searcher has ended ---- */

/*
 * What was sent before the request was suspect may have been lost at several searchers, one after
 * the other, and be explained all at once: together they make it suspect, and no more. Behind a
 * proxy that accepts for a searcher that has ended, a new connection breaks under any trial.
 */
static bool counts(const record_t *record, const loss_t *loss)
{
	uint64_t gap_us = record->strikes == 1 ? STRIKE_GAP_US : 0;

	if (!record->strikes)
		return true;
	if (!loss->sending.on_trial || (loss->listens && !loss->sending.kept))
		return false;
	return loss->sending.sent_us >= record->struck_us + gap_us;
}

static void strike(record_t *record, const loss_t *loss, uint64_t now_us)
{
	record->unanswered_ends += !loss->sending.answered;
	if (!counts(record, loss)) {
		poison_note_more_ends(record, now_us);
		return;
	}
	record->poison->counters.strikes++;
	poison_set_strikes(record, record->strikes + 1, loss->searcher->service, loss->lost_us);
	poison_note_trials(record);
	record->tell_us = poison_next_tell_us(record->poison, record, now_us);
	poison_say(record, record->strikes >= POISON_STRIKES ? "blocked" : "suspected");
}

/* One that something listened for after the loss has ended later, unless a newer start of it says
 * that it was a proxy that did. */
static bool tells(const loss_t *loss)
{
	return !loss->listens || loss->searcher->state == SEARCHER_ENDED;
}

static void explain(record_t *record, uint32_t index, uint64_t now_us)
{
	if (tells(&record->losses[index]))
		strike(record, &record->losses[index], now_us);
	remove_loss(record, index);
}

void poison_note_ended(poison_t *poison, const searcher_t *searcher, uint64_t now_us)
{
	visit_losses(poison, searcher, UINT64_MAX, explain, now_us);
}

/* ---- or it has not ---- */

static void drop(record_t *record, uint32_t index, uint64_t now_us)
{
	(void)now_us;
	remove_loss(record, index);
}

void poison_note_alive(poison_t *poison, const searcher_t *searcher, uint64_t since_us)
{
	visit_losses(poison, searcher, since_us, drop, since_us);
}

/* Where a proxy stands before the searchers, it accepts whether they live or not. What is lost then
 * makes no suspect, and counts all the same when a newer start of the searcher is known. */
static void note_listens(record_t *record, uint32_t index, uint64_t now_us)
{
	(void)now_us;
	record->losses[index].listens = true;
}

void poison_note_listens(poison_t *poison, const searcher_t *searcher, uint64_t since_us)
{
	visit_losses(poison, searcher, since_us, note_listens, since_us);
}

/* ---- the request itself ---- */

bool poison_was_served(const poison_t *poison, fingerprint_t fingerprint, uint64_t now_us)
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
		      const poison_sending_t *sending, uint64_t now_us)
{
	record_t *record;

	if (!fingerprint || poison_was_served(poison, fingerprint, now_us))
		return;
	record = poison_record_add(poison, fingerprint);
	if (record->loss_count < LOSSES_MOST) {
		record->losses[record->loss_count++] = (loss_t){
			.searcher = searcher_ref(searcher), .sending = *sending, .lost_us = now_us};
		poison->losses++;
	}
	poison_record_arm(record);
	if (searcher->state == SEARCHER_ENDED)
		poison_note_ended(poison, searcher, now_us);
}

/* Answers of other services say nothing: a request may crash the searchers of one shard only. */
void poison_note_answered(poison_t *poison, fingerprint_t fingerprint, const char *service,
			  uint64_t now_us)
{
	record_t *record = poison_record_find(poison, fingerprint);

	if (!record)
		return;
	for (uint32_t i = record->loss_count; i-- > 0;)
		if (g_str_equal(record->losses[i].searcher->service, service))
			remove_loss(record, i);
	if (record->strikes && g_str_equal(record->service, service)) {
		poison->counters.cleared++;
		poison_say_trial(record, "answered", "", now_us);
		poison_record_forget(record, "cleared");
	} else if (poison_record_is_empty(record)) {
		poison_record_drop(record);
	}
}
