/**
 * @file handover.c
 * See handover.h.
 */
#include "core/handover.h"

/* Time for which a gatherer that rejected a request gets no others. What it lacks (a configuration
 * update, the searchers, an iteration of its event loop) arrives within a few tenths of a second.
 */
#define AVOID_REJECTED_US 200000
/* A gatherer ends a gather at its deadline; its message takes a round trip and one event loop
 * iteration more. */
#define FINAL_ANSWER_MARGIN_US 20000
/* A timer that fires this late means that this VM was suspended: messages that arrived meanwhile
 * are unread. */
#define LATE_TIMER_US 50000
/* Sub-requests per shard that a gatherer may send before it is known to have the request. */
#define INITIAL_ATTEMPTS 1
/* From this number of attempts on, one is reserved for another gatherer. With fewer, retries by the
 * first gatherer are worth more. */
#define RESERVE_ONE_FROM 3

/* A request may be answered by the former configuration this long after another was by a later one.
 * Until then this VM has mostly read the later one, too. */
#define REGRESS_SLACK_US 200000

struct handovers_t {
	const handover_ops_t *ops;
	void *ctx;
	GPtrArray *gatherers; /* gatherer_t */
	GHashTable *open;     /* serial to handover_t */
	uint64_t last_serial;
	uint64_t version;	  /* latest configuration version that a gatherer has used */
	uint64_t own_version;	  /* of the configuration in force on this VM */
	uint64_t behind_since_us; /* when a gatherer first used a later one */
	uint64_t stop_us;	  /* when this VM stops; UINT64_MAX: not known */
	timers_t timers;
	handover_counters_t counters;
};

static void on_timer(void *ctx, uint64_t now_us);

handovers_t *handovers_new(const handover_ops_t *ops, void *ctx)
{
	handovers_t *all = g_new0(handovers_t, 1);

	all->ops = ops;
	all->ctx = ctx;
	all->gatherers = g_ptr_array_new_with_free_func((GDestroyNotify)gatherer_unref);
	all->open = g_hash_table_new(g_int64_hash, g_int64_equal);
	all->stop_us = UINT64_MAX;
	timers_init(&all->timers);
	return all;
}

void handovers_free(handovers_t *all)
{
	g_ptr_array_unref(all->gatherers);
	g_hash_table_unref(all->open);
	timers_clear(&all->timers);
	g_free(all);
}

static gatherer_t *known_gatherer(const handovers_t *all, const vm_t *vm)
{
	for (guint i = 0; i < all->gatherers->len; i++) {
		gatherer_t *gatherer = g_ptr_array_index(all->gatherers, i);

		if (gatherer_matches(gatherer, vm))
			return gatherer_ref(gatherer);
	}
	return NULL;
}

void handovers_set_gatherers(handovers_t *all, const GPtrArray *vms, const char *data_centre)
{
	GPtrArray *fresh = g_ptr_array_new_with_free_func((GDestroyNotify)gatherer_unref);

	for (guint i = 0; i < vms->len; i++) {
		const vm_t *vm = g_ptr_array_index(vms, i);
		gatherer_t *gatherer = known_gatherer(all, vm);

		if (!gatherer)
			gatherer = gatherer_new(vm, g_str_equal(vm->data_centre, data_centre));
		g_ptr_array_add(fresh, gatherer);
	}
	for (guint i = 0; i < all->gatherers->len; i++) {
		gatherer_t *gatherer = g_ptr_array_index(all->gatherers, i);

		if (!g_ptr_array_find(fresh, gatherer, NULL))
			gatherer->state = GATHERER_LEAVING;
	}
	g_ptr_array_unref(all->gatherers);
	all->gatherers = fresh;
}

const GPtrArray *handovers_gatherers(const handovers_t *all)
{
	return all->gatherers;
}

/* ---- one request ---- */

static void handover_free(handover_t *handover)
{
	handovers_t *all = handover->all;

	timers_cancel(&all->timers, &handover->timer);
	g_hash_table_remove(all->open, &handover->serial);
	if (handover->gatherer)
		handover->gatherer->outstanding--;
	g_ptr_array_unref(handover->tried);
	g_free(handover);
}

/* Prefers a gatherer of this data centre, then the one with the fewest outstanding requests of this
 * VM. */
static bool is_better(const gatherer_t *gatherer, const gatherer_t *than)
{
	if (!than)
		return true;
	if (gatherer->local != than->local)
		return gatherer->local;
	return gatherer->outstanding < than->outstanding;
}

static gatherer_t *choose(const handovers_t *all, const GPtrArray *tried, uint64_t now_us)
{
	gatherer_t *best = NULL;

	for (guint i = 0; i < all->gatherers->len; i++) {
		gatherer_t *gatherer = g_ptr_array_index(all->gatherers, i);

		if (!gatherer_is_available(gatherer, now_us) ||
		    (tried && g_ptr_array_find((GPtrArray *)tried, gatherer, NULL)))
			continue;
		if (is_better(gatherer, best))
			best = gatherer;
	}
	return best;
}

static uint64_t end_us(const handover_t *handover)
{
	return MIN(handover->limits.deadline_us + FINAL_ANSWER_MARGIN_US, handover->all->stop_us);
}

static void arm(handover_t *handover, uint64_t now_us)
{
	uint64_t next_us = end_us(handover);
	uint64_t wait_us = gatherer_timeout_us(handover->gatherer, handover->limits.target_us);

	if (!handover->accepted)
		next_us = MIN(next_us, now_us + wait_us);
	timers_set(&handover->all->timers, &handover->timer, next_us);
}

static void send_to_gatherer(handover_t *handover, gatherer_t *gatherer, uint64_t now_us)
{
	handovers_t *all = handover->all;

	handover->gatherer = gatherer;
	handover->accepted = false;
	handover->attempts_left -= INITIAL_ATTEMPTS;
	handover->sent_us = now_us;
	gatherer->outstanding++;
	g_ptr_array_add(handover->tried, gatherer_ref(gatherer));
	all->counters.retried += handover->outcome_unknown;
	arm(handover, now_us);
	all->ops->send(all->ctx, handover);
}

static void release_gatherer(handover_t *handover)
{
	handover->gatherer->outstanding--;
	handover->gatherer = NULL;
}

/* Whether the status of this end promises the caller that nothing ran. */
static bool means_not_run(forward_outcome_t end)
{
	int status = forward_outcome_status(end);

	return status == 503 || status == 429;
}

/*
 * The second gatherer may report that nothing ran although the first one ran the request. That
 * promise to the caller would be false, so it becomes a failure.
 */
static void finish(handover_t *handover, const hop_answer_t *answer)
{
	handovers_t *all = handover->all;
	hop_answer_t reported = *answer;

	if (handover->outcome_unknown && means_not_run(reported.end))
		reported = (hop_answer_t){.end = FORWARD_FAILED};
	all->counters.answered++;
	all->counters.outcome_unknown +=
		reported.end == FORWARD_FAILED || reported.end == FORWARD_TIMEOUT;
	all->ops->answer(all->ctx, handover, &reported);
	handover_free(handover);
}

static void finish_with(handover_t *handover, forward_outcome_t end)
{
	finish(handover, &(hop_answer_t){.end = end});
}

/* Continues with another gatherer, on this VM, or ends the hand-over. */
static void retry_or_finish(handover_t *handover, uint64_t now_us)
{
	handovers_t *all = handover->all;
	gatherer_t *gatherer = choose(all, handover->tried, now_us);

	if (handover->attempts_left < INITIAL_ATTEMPTS) {
		finish_with(handover, FORWARD_FAILED);
	} else if (gatherer) {
		send_to_gatherer(handover, gatherer, now_us);
	} else if (handover->outcome_unknown) {
		finish_with(handover, FORWARD_FAILED);
	} else {
		all->counters.gathered_here++;
		all->ops->gather_here(all->ctx, handover);
		handover_free(handover);
	}
}

handover_t *handover_begin(handovers_t *all, const handover_limits_t *limits, void *owner,
			   uint64_t now_us)
{
	gatherer_t *gatherer = choose(all, NULL, now_us);
	handover_t *handover;

	if (!gatherer || limits->attempts_max < INITIAL_ATTEMPTS)
		return NULL;
	handover = g_new0(handover_t, 1);
	handover->all = all;
	handover->serial = ++all->last_serial;
	handover->limits = *limits;
	handover->attempts_left = limits->attempts_max;
	handover->owner = owner;
	handover->begun_us = now_us;
	handover->tried = g_ptr_array_new_with_free_func((GDestroyNotify)gatherer_unref);
	handover->timer = (timer_entry_t){.fire = on_timer, .ctx = handover};
	g_hash_table_insert(all->open, &handover->serial, handover);
	all->counters.begun++;
	send_to_gatherer(handover, gatherer, now_us);
	return handover;
}

void handover_abandon(handover_t *handover)
{
	handovers_t *all = handover->all;

	all->ops->cancel(all->ctx, handover);
	handover_free(handover);
}

/*
 * A gatherer that is frozen, unreachable or gone does not reply, while its connection stays open:
 * callers would wait until their deadline. So the request goes to another gatherer while an answer
 * in time is still possible. This is safe because the unresponsive gatherer has sent at most one
 * sub-request per shard; if it has not read the request yet either, it reads the cancellation right
 * behind it.
 */
static void handle_unresponsive(handover_t *handover, uint64_t now_us)
{
	handovers_t *all = handover->all;

	all->counters.unresponsive++;
	all->ops->unresponsive(all->ctx, handover, now_us - handover->sent_us);
	if (handover->gatherer->state == GATHERER_READY)
		handover->gatherer->state = GATHERER_UNRESPONSIVE;
	all->ops->cancel(all->ctx, handover);
	handover->outcome_unknown = true;
	release_gatherer(handover);
	retry_or_finish(handover, now_us);
}

static void on_timer(void *ctx, uint64_t now_us)
{
	handover_t *handover = ctx;

	if (now_us >= end_us(handover)) {
		handover->all->ops->cancel(handover->all->ctx, handover);
		finish_with(handover, FORWARD_TIMEOUT);
	} else if (now_us > handover->timer.at_us + LATE_TIMER_US) {
		arm(handover, now_us);
	} else {
		handle_unresponsive(handover, now_us);
	}
}

void handovers_stop_at(handovers_t *all, uint64_t stop_us, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer handover;

	all->stop_us = stop_us;
	g_hash_table_iter_init(&iter, all->open);
	while (g_hash_table_iter_next(&iter, NULL, &handover))
		arm(handover, now_us);
}

/* ---- messages from gatherers ---- */

/*
 * Gatherers receive a configuration change one after the other. A caller that was answered by the
 * new version must not be answered by the old one afterwards, so from now on no gatherer with an
 * older version accepts a request.
 */
static void record_version(handovers_t *all, uint64_t version, uint64_t now_us)
{
	if (version <= all->version)
		return;
	if (!handovers_is_behind(all))
		all->behind_since_us = now_us;
	all->version = version;
	all->ops->newer_version(all->ctx, version);
}

static void on_accepted(handover_t *handover, uint64_t now_us)
{
	handovers_t *all = handover->all;
	uint32_t reserved = handover->limits.attempts_max >= RESERVE_ONE_FROM;
	uint32_t more = handover->attempts_left > reserved ? handover->attempts_left - reserved : 0;

	if (handover->accepted)
		return;
	handover->accepted = true;
	quantile_add(&handover->gatherer->accept_latency, now_us - handover->sent_us);
	arm(handover, now_us);
	if (!more)
		return;
	handover->attempts_left -= more;
	all->ops->grant(all->ctx, handover, more);
}

static void on_rejected(handover_t *handover, hop_reason_t reason, uint64_t now_us)
{
	handovers_t *all = handover->all;

	all->counters.rejected[reason]++;
	all->ops->rejected(all->ctx, handover, reason);
	handover->attempts_left += INITIAL_ATTEMPTS;
	if (reason == HOP_STOPPING)
		handover->gatherer->state = GATHERER_LEAVING;
	else if (reason != HOP_NOT_GATHERED)
		handover->gatherer->avoid_until_us = now_us + AVOID_REJECTED_US;
	release_gatherer(handover);
	retry_or_finish(handover, now_us);
}

/* A gatherer that counted as unresponsive had the answer ready when it read the cancellation. That
 * answer is as good as the current gatherer's, and available now. */
static void on_late_answer(handover_t *handover, gatherer_t *gatherer, const hop_answer_t *answer)
{
	handovers_t *all = handover->all;

	if (answer->end != FORWARD_ANSWERED || !g_ptr_array_find(handover->tried, gatherer, NULL))
		return;
	all->ops->cancel(all->ctx, handover);
	release_gatherer(handover);
	handover->gatherer = gatherer;
	gatherer->outstanding++;
	finish(handover, answer);
}

static void update_state(gatherer_t *gatherer, hop_type_t type)
{
	if (type == HOP_LEAVING)
		gatherer->state = GATHERER_LEAVING;
	else if (gatherer->state == GATHERER_PINGED || gatherer->state == GATHERER_UNRESPONSIVE)
		gatherer->state = GATHERER_READY;
}

void handovers_receive(handovers_t *all, gatherer_t *gatherer, const hop_message_t *message,
		       uint64_t now_us)
{
	handover_t *handover = g_hash_table_lookup(all->open, &message->serial);

	update_state(gatherer, message->type);
	if (message->type == HOP_ACCEPTED)
		record_version(all, message->version, now_us);
	if (!handover) /* it has ended */
		return;
	if (handover->gatherer != gatherer) {
		if (message->type == HOP_ANSWER)
			on_late_answer(handover, gatherer, &message->answer);
		return;
	}
	if (message->type == HOP_ACCEPTED)
		on_accepted(handover, now_us);
	else if (message->type == HOP_REJECTED && !handover->accepted)
		on_rejected(handover, message->reason, now_us);
	else if (message->type == HOP_ANSWER)
		finish(handover, &message->answer);
}

void handovers_connection_lost(handovers_t *all, gatherer_t *gatherer, uint64_t now_us)
{
	g_autoptr(GList) open = g_hash_table_get_values(all->open);

	gatherer->state = GATHERER_CLOSED;
	for (GList *item = open; item; item = item->next) {
		handover_t *handover = item->data;

		if (handover->gatherer != gatherer)
			continue;
		handover->outcome_unknown = true;
		release_gatherer(handover);
		retry_or_finish(handover, now_us);
	}
}

uint64_t handovers_version(const handovers_t *all)
{
	return all->version;
}

void handovers_set_own_version(handovers_t *all, uint64_t version)
{
	all->own_version = version;
}

bool handovers_is_behind(const handovers_t *all)
{
	return all->own_version < all->version;
}

bool handovers_is_long_behind(const handovers_t *all, uint64_t now_us)
{
	return handovers_is_behind(all) && now_us >= all->behind_since_us + REGRESS_SLACK_US;
}

uint64_t handovers_next_us(const handovers_t *all)
{
	return timers_next_us(&all->timers);
}

void handovers_run(handovers_t *all, uint64_t now_us)
{
	timers_run(&all->timers, now_us);
}

const handover_counters_t *handovers_counters(const handovers_t *all)
{
	return &all->counters;
}
