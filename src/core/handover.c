/**
 * @file handover.c
 * See handover.h.
 */
#include "core/handover.h"

/* A gatherer that did not take a request is not asked again for so long: the news, the searchers or
 * the turn of its loop that it lacks come within some tenths of a second. */
#define AVOID_US 200000
/* The gatherer ends a gather at its deadline, and its word takes a round trip and a turn. */
#define DELIVERY_US 20000
/* A timer that fires so late says that this VM stood still: what was said meanwhile is unread. */
#define LATE_US 50000
/* Sub-requests a shard that a gatherer may send before it is known to have the request. */
#define FIRST_ATTEMPTS 1
/* With fewer allowed, a gatherer's own second tries are worth more than another gatherer's. */
#define KEEP_ONE_FROM 3

struct handovers_t {
	const handover_ops_t *ops;
	void *ctx;
	GPtrArray *gatherers; /* gatherer_t */
	GHashTable *open;     /* serial to handover_t */
	uint64_t last_serial;
	uint64_t version; /* the latest that a gatherer has gathered by */
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
	g_ptr_array_unref(handover->asked);
	g_free(handover);
}

/* A gatherer of this data centre first; of those the one with the least of ours. */
static bool is_better(const gatherer_t *gatherer, const gatherer_t *than)
{
	if (!than)
		return true;
	if (gatherer->local != than->local)
		return gatherer->local;
	return gatherer->outstanding < than->outstanding;
}

static gatherer_t *choose(const handovers_t *all, const GPtrArray *asked, uint64_t now_us)
{
	gatherer_t *best = NULL;

	for (guint i = 0; i < all->gatherers->len; i++) {
		gatherer_t *gatherer = g_ptr_array_index(all->gatherers, i);

		if (!gatherer_is_available(gatherer, now_us) ||
		    (asked && g_ptr_array_find((GPtrArray *)asked, gatherer, NULL)))
			continue;
		if (is_better(gatherer, best))
			best = gatherer;
	}
	return best;
}

static void arm(handover_t *handover, uint64_t now_us)
{
	uint64_t next_us = handover->terms.deadline_us + DELIVERY_US;
	uint64_t wait_us = gatherer_timeout_us(handover->gatherer, handover->terms.target_us);

	if (!handover->taken)
		next_us = MIN(next_us, now_us + wait_us);
	timers_set(&handover->all->timers, &handover->timer, next_us);
}

static void hand_to(handover_t *handover, gatherer_t *gatherer, uint64_t now_us)
{
	handovers_t *all = handover->all;

	handover->gatherer = gatherer;
	handover->taken = false;
	handover->attempts_left -= FIRST_ATTEMPTS;
	handover->sent_us = now_us;
	gatherer->outstanding++;
	g_ptr_array_add(handover->asked, gatherer_ref(gatherer));
	all->counters.again += handover->unknown;
	arm(handover, now_us);
	all->ops->send(all->ctx, handover);
}

static void take_back(handover_t *handover)
{
	handover->gatherer->outstanding--;
	handover->gatherer = NULL;
}

/* The statuses of these ends promise that nothing ran. */
static bool promises(forward_end_t end)
{
	int status = forward_end_status(end);

	return status == 503 || status == 429;
}

/*
 * What a second gatherer refuses as not run may have run at the first: its caller would be told a
 * promise that does not hold.
 */
static void finish(handover_t *handover, const hop_answer_t *answer)
{
	handovers_t *all = handover->all;
	hop_answer_t told = *answer;

	if (handover->unknown && promises(told.end))
		told = (hop_answer_t){.end = FORWARD_FAILED};
	all->counters.answered++;
	all->counters.lost += told.end == FORWARD_FAILED || told.end == FORWARD_TIMEOUT;
	all->ops->answer(all->ctx, handover, &told);
	handover_free(handover);
}

static void finish_lost(handover_t *handover, forward_end_t end)
{
	finish(handover, &(hop_answer_t){.end = end});
}

/* To another gatherer, or here, or to its end. */
static void go_on(handover_t *handover, uint64_t now_us)
{
	handovers_t *all = handover->all;
	gatherer_t *gatherer = choose(all, handover->asked, now_us);

	if (handover->attempts_left < FIRST_ATTEMPTS) {
		finish_lost(handover, FORWARD_FAILED);
	} else if (gatherer) {
		hand_to(handover, gatherer, now_us);
	} else if (handover->unknown) {
		finish_lost(handover, FORWARD_FAILED);
	} else {
		all->counters.here++;
		all->ops->gather_here(all->ctx, handover);
		handover_free(handover);
	}
}

handover_t *handover_begin(handovers_t *all, const handover_terms_t *terms, void *owner,
			   uint64_t now_us)
{
	gatherer_t *gatherer = choose(all, NULL, now_us);
	handover_t *handover;

	if (!gatherer || terms->attempts_most < FIRST_ATTEMPTS)
		return NULL;
	handover = g_new0(handover_t, 1);
	handover->all = all;
	handover->serial = ++all->last_serial;
	handover->terms = *terms;
	handover->attempts_left = terms->attempts_most;
	handover->owner = owner;
	handover->begun_us = now_us;
	handover->asked = g_ptr_array_new_with_free_func((GDestroyNotify)gatherer_unref);
	handover->timer = (timer_entry_t){.fire = on_timer, .ctx = handover};
	g_hash_table_insert(all->open, &handover->serial, handover);
	all->counters.begun++;
	hand_to(handover, gatherer, now_us);
	return handover;
}

void handover_abandon(handover_t *handover)
{
	handovers_t *all = handover->all;

	all->ops->cancel(all->ctx, handover);
	handover_free(handover);
}

/*
 * A gatherer that is frozen, cut off or gone says nothing, and its connection stays open: its
 * callers would wait to their deadline. Another is asked while an answer in time is possible. Sound
 * because the silent one has sent one sub-request a shard at most, and reads of the cancelling
 * right behind the request if it did not read that either.
 */
static void note_silent(handover_t *handover, uint64_t now_us)
{
	handovers_t *all = handover->all;

	all->counters.silent++;
	all->ops->silent(all->ctx, handover, now_us - handover->sent_us);
	if (handover->gatherer->state == GATHERER_READY)
		handover->gatherer->state = GATHERER_UNRESPONSIVE;
	all->ops->cancel(all->ctx, handover);
	handover->unknown = true;
	take_back(handover);
	go_on(handover, now_us);
}

static void on_timer(void *ctx, uint64_t now_us)
{
	handover_t *handover = ctx;

	if (now_us >= handover->terms.deadline_us + DELIVERY_US) {
		handover->all->ops->cancel(handover->all->ctx, handover);
		finish_lost(handover, FORWARD_TIMEOUT);
	} else if (now_us > handover->timer.at_us + LATE_US) {
		arm(handover, now_us);
	} else {
		note_silent(handover, now_us);
	}
}

/* ---- what gatherers say ---- */

/*
 * Gatherers learn of a change one after the other. A caller that was answered by the new version
 * must not be answered by the old one afterwards: from here on no gatherer that is behind takes a
 * request.
 */
static void note_version(handovers_t *all, uint64_t version)
{
	if (version <= all->version)
		return;
	all->version = version;
	all->ops->newer(all->ctx, version);
}

static void on_taken(handover_t *handover, uint64_t now_us)
{
	handovers_t *all = handover->all;
	uint32_t kept = handover->terms.attempts_most >= KEEP_ONE_FROM;
	uint32_t more = handover->attempts_left > kept ? handover->attempts_left - kept : 0;

	if (handover->taken)
		return;
	handover->taken = true;
	quantile_add(&handover->gatherer->accept_latency, now_us - handover->sent_us);
	arm(handover, now_us);
	if (!more)
		return;
	handover->attempts_left -= more;
	all->ops->go(all->ctx, handover, more);
}

static void on_not_taken(handover_t *handover, hop_reason_t reason, uint64_t now_us)
{
	handovers_t *all = handover->all;

	all->counters.not_taken[reason]++;
	all->ops->not_taken(all->ctx, handover, reason);
	handover->attempts_left += FIRST_ATTEMPTS;
	if (reason == HOP_STOPS)
		handover->gatherer->state = GATHERER_LEAVING;
	else if (reason != HOP_NO_GATHER)
		handover->gatherer->avoid_until_us = now_us + AVOID_US;
	take_back(handover);
	go_on(handover, now_us);
}

/* One that was taken for silent had the answer ready when it heard that nobody waits: it is as good
 * as the other's, and there. */
static void on_late_answer(handover_t *handover, gatherer_t *gatherer, const hop_answer_t *answer)
{
	handovers_t *all = handover->all;

	if (answer->end != FORWARD_ANSWERED || !g_ptr_array_find(handover->asked, gatherer, NULL))
		return;
	all->ops->cancel(all->ctx, handover);
	take_back(handover);
	handover->gatherer = gatherer;
	gatherer->outstanding++;
	finish(handover, answer);
}

static void note_heard(gatherer_t *gatherer, hop_type_t type)
{
	if (type == HOP_LEAVING)
		gatherer->state = GATHERER_LEAVING;
	else if (gatherer->state == GATHERER_PINGED || gatherer->state == GATHERER_UNRESPONSIVE)
		gatherer->state = GATHERER_READY;
}

void handovers_heard(handovers_t *all, gatherer_t *gatherer, const hop_message_t *message,
		     uint64_t now_us)
{
	handover_t *handover = g_hash_table_lookup(all->open, &message->serial);

	note_heard(gatherer, message->type);
	if (message->type == HOP_TAKEN)
		note_version(all, message->version);
	if (!handover) /* it has ended */
		return;
	if (handover->gatherer != gatherer) {
		if (message->type == HOP_ANSWER)
			on_late_answer(handover, gatherer, &message->answer);
		return;
	}
	if (message->type == HOP_TAKEN)
		on_taken(handover, now_us);
	else if (message->type == HOP_NOT_TAKEN && !handover->taken)
		on_not_taken(handover, message->reason, now_us);
	else if (message->type == HOP_ANSWER)
		finish(handover, &message->answer);
}

void handovers_lost(handovers_t *all, gatherer_t *gatherer, uint64_t now_us)
{
	g_autoptr(GList) open = g_hash_table_get_values(all->open);

	gatherer->state = GATHERER_CLOSED;
	for (GList *item = open; item; item = item->next) {
		handover_t *handover = item->data;

		if (handover->gatherer != gatherer)
			continue;
		handover->unknown = true;
		take_back(handover);
		go_on(handover, now_us);
	}
}

uint64_t handovers_version(const handovers_t *all)
{
	return all->version;
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
