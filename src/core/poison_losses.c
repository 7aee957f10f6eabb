/**
 * @file poison_losses.c
 * Connections that were lost while a request was in flight, until it is known whether their
 * searchers terminated: which losses count as strikes, and which are discarded. See poison.h.
 */
#include "core/poison_private.h"

/* A connect shows within 0.4 s whether the searcher still listens. A restarted searcher is
 * registered a few seconds later. */
#define LOSS_RETENTION_US 10000000
/*
 * Before a poison request is suspect, its hedges and its caller's retry crash several searchers
 * within some tenths of a second. An innocent concurrent request that is retried at once may reach
 * the next of those searchers: without this gap after the first strike it would be blocked like the
 * poison request. Later crashes happen one at a time.
 */
#define STRIKE_MIN_GAP_US 1000000
/*
 * A request that many callers send is nearly always in flight when a searcher terminates, so it
 * would soon be in flight at two terminations in a row. A request of which all parts were answered
 * this recently did not crash the searcher. If it becomes a poison request, with another version of
 * the searchers, that is detected later by this time.
 */
#define SERVED_VALID_US 5000000

/* ---- unresolved losses ---- */

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
		if (now_us >= record->losses[i].lost_us + LOSS_RETENTION_US)
			remove_loss(record, i);
}

uint64_t poison_losses_next_us(const record_t *record)
{
	uint64_t first_us = UINT64_MAX - LOSS_RETENTION_US;

	for (uint32_t i = 0; i < record->loss_count; i++)
		first_us = MIN(first_us, record->losses[i].lost_us);
	return first_us + LOSS_RETENTION_US;
}

bool poison_losses_suggest_crash(const record_t *record)
{
	for (uint32_t i = 0; i < record->loss_count; i++)
		if (!record->losses[i].listens)
			return true;
	return false;
}

/* Handles one loss once the state of its searcher is known. */
typedef void (*loss_visitor_f)(record_t *record, uint32_t index, uint64_t now_us);

/* Calls @p visit for all losses at @p searcher that happened by @p until_us. */
static void visit_losses(const poison_t *poison, const searcher_t *searcher, uint64_t until_us,
			 loss_visitor_f visit, uint64_t now_us)
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

/* ---- the searcher terminated ---- */

/*
 * Sub-requests sent before the request was suspect may have been lost at several searchers, one
 * after the other, and be resolved all at once: together they make the request suspect, and add no
 * further strike. Behind a proxy that accepts connections for a terminated searcher, a new
 * connection is lost during any trial, so that loss adds no strike either.
 */
static bool adds_strike(const record_t *record, const loss_t *loss)
{
	uint64_t gap_us = record->strikes == 1 ? STRIKE_MIN_GAP_US : 0;

	if (!record->strikes)
		return true;
	if (!loss->sending.on_trial || (loss->listens && !loss->sending.reused))
		return false;
	return loss->sending.sent_us >= record->struck_us + gap_us;
}

static void strike(record_t *record, const loss_t *loss, uint64_t now_us)
{
	record->unanswered_crashes += !loss->sending.answered;
	if (!adds_strike(record, loss)) {
		poison_note_further_crash(record, now_us);
		return;
	}
	record->poison->counters.strikes++;
	poison_set_strikes(record, record->strikes + 1, loss->searcher->service, loss->lost_us);
	poison_limit_trials(record);
	record->publish_us = poison_next_publish_us(record->poison, record, now_us);
	poison_log_change(record, record->strikes >= POISON_STRIKES ? "blocked" : "suspected");
}

/* If the address still accepted connections after the loss, the searcher terminated later and the
 * loss is no evidence. The exception is a searcher of which a newer incarnation is registered: then
 * a proxy accepted the connections. */
static bool is_crash_evidence(const loss_t *loss)
{
	return !loss->listens || loss->searcher->state == SEARCHER_ENDED;
}

static void resolve_terminated(record_t *record, uint32_t index, uint64_t now_us)
{
	if (is_crash_evidence(&record->losses[index]))
		strike(record, &record->losses[index], now_us);
	remove_loss(record, index);
}

void poison_note_ended(poison_t *poison, const searcher_t *searcher, uint64_t now_us)
{
	visit_losses(poison, searcher, UINT64_MAX, resolve_terminated, now_us);
}

/* ---- the searcher is alive ---- */

static void resolve_alive(record_t *record, uint32_t index, uint64_t now_us)
{
	(void)now_us;
	remove_loss(record, index);
}

void poison_note_alive(poison_t *poison, const searcher_t *searcher, uint64_t since_us)
{
	visit_losses(poison, searcher, since_us, resolve_alive, since_us);
}

/* A proxy in front of the searchers accepts connections whether they are alive or not. Such a loss
 * does not make the request suspect, but still counts once a newer incarnation of the searcher is
 * known. */
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

bool poison_was_served_recently(const poison_t *poison, fingerprint_t fingerprint, uint64_t now_us)
{
	const served_t *served = &poison->served[fingerprint % SERVED_SLOTS];

	return served->fingerprint == fingerprint && now_us < served->at_us + SERVED_VALID_US;
}

void poison_note_served(poison_t *poison, fingerprint_t fingerprint, uint64_t now_us)
{
	poison->served[fingerprint % SERVED_SLOTS] =
		(served_t){.fingerprint = fingerprint, .at_us = now_us};
}

void poison_note_lost(poison_t *poison, fingerprint_t fingerprint, searcher_t *searcher,
		      const poison_sending_t *sending, uint64_t now_us)
{
	record_t *record;

	if (!fingerprint || poison_was_served_recently(poison, fingerprint, now_us))
		return;
	record = poison_record_add(poison, fingerprint);
	if (record->loss_count < MAX_LOSSES) {
		record->losses[record->loss_count++] = (loss_t){
			.searcher = searcher_ref(searcher), .sending = *sending, .lost_us = now_us};
		poison->losses++;
	}
	poison_record_arm(record);
	if (searcher->state == SEARCHER_ENDED)
		poison_note_ended(poison, searcher, now_us);
}

/* Answers of other services are no evidence: a request may crash the searchers of one shard only.
 */
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
		poison_log_trial(record, "answered", "", now_us);
		poison_record_remove_shared(record, "cleared");
	} else if (poison_record_is_empty(record)) {
		poison_record_remove(record);
	}
}
