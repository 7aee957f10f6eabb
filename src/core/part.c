/**
 * @file part.c
 * The part of a request that one service answers: which searcher it is sent to, when it is hedged
 * or retried, and when it is given up. See forward.h.
 */
#include "core/forward_private.h"

#include "core/shedding.h"

/* A hedge is due after this many times the expected latency. A sub-request in flight for longer has
 * in most cases met a pause, a slow searcher or a queue, and the retry budget suffices for hedging
 * those. */
#define HEDGE_LATENCY_FACTOR 1.5
/* Added to HEDGE_LATENCY_FACTOR when the budget is used up, and in proportion before: then hardly
 * any but sub-requests at pausing or hung searchers are hedged. */
#define HEDGE_SPENT_FACTOR 0.8
#define HEDGE_MIN_US 13000
/* Allows for a second answer that takes longer than expected: a hedge needs this many times its
 * expected latency before the target. */
#define HEDGE_ANSWER_FACTOR 1.3
/* In a gather with this many parts or more, hedges are held until a first part is answered: the
 * searchers of so many parts do not all pause at the same time, but those of fewer parts may. */
#define HEDGE_HELD_MIN_PARTS 3
/* When to check again after a hedge was refused by the budget or could not be sent. */
#define HEDGE_RECHECK_US 20000
/* A part is given up when it has had more refusals than this. Each refused sub-request counts in
 * the retry budget. */
#define MAX_REFUSALS 3
/* A failure rate that three refusals in a row reach; two may only mean that the searcher was full
 * for a moment. */
#define REFUSAL_RATE_MIN 0.3

candidates_t part_candidates(const forward_part_t *part)
{
	return (candidates_t){.pool = part->pool,
			      .route = part->forward->route,
			      .tenant = part->forward->tenant,
			      .tried = part->tried};
}

static bool is_possible(const forward_part_t *part)
{
	const candidates_t candidates = part_candidates(part);

	return placement_has_candidate(&candidates);
}

static bool may_run_again(const forward_part_t *part)
{
	return part->forward->route->idempotent && part->runs < part->forward->max_attempts;
}

/*
 * Based on the expected latency of the searcher that has the part, not on the median of the route's
 * parts: when some searchers are slow or do not answer, many parts go to far searchers, the median
 * rises, and hedges would be sent so late that their answers miss the target. Searchers serve
 * routes with more and with less work, so the route's relative latency is applied.
 *
 * The less of the budget is left, the later the hedge: where many VMs share the budget, each has
 * few extra sub-requests for a shard. If they were spent early, none would be left when a searcher
 * pauses.
 */
static uint64_t hedge_due_us(forward_part_t *part, uint64_t now_us)
{
	const searcher_t *latest = g_ptr_array_index(part->tried, part->tried->len - 1);
	const retry_bound_t *bound = &part->pool->bound;
	double spent = 1 - retry_budget_share_left(&part->pool->budget, bound, now_us);
	double expected_us =
		route_state_expected_us(part->forward->state, latest, part->pool, now_us);
	double after_us = expected_us * (HEDGE_LATENCY_FACTOR + spent * HEDGE_SPENT_FACTOR);

	return part->sent_us + (uint64_t)MAX(after_us, HEDGE_MIN_US);
}

/* The latest time for a hedge whose answer still arrives within the target. */
static uint64_t hedge_late_us(const forward_t *forward, double cost_us)
{
	uint64_t need_us = (uint64_t)(cost_us * HEDGE_ANSWER_FACTOR);

	return forward->partial_us > need_us ? forward->partial_us - need_us : 0;
}

static void part_send(forward_part_t *part, searcher_t *searcher, sub_purpose_t purpose,
		      uint64_t now_us)
{
	forward_t *forward = part->forward;
	forwarder_t *forwarder = forward->forwarder;
	subrequest_t *sub = subrequest_new(part, searcher, purpose, now_us);

	placement_record_send(part->pool, searcher, now_us);
	part->pool->last_sent_us = now_us;
	if (!part->tried) {
		part->tried = g_ptr_array_new_with_free_func((GDestroyNotify)searcher_unref);
		part->in_flight = g_ptr_array_new();
	}
	g_ptr_array_add(part->tried, searcher_ref(searcher));
	g_ptr_array_add(part->in_flight, sub);
	if (purpose == SUB_FIRST)
		shedding_note_part(part->pool, false);
	part->state = PART_SENT;
	part->runs++;
	part->sent_us = now_us;
	part->hedge_us = may_run_again(part) ? hedge_due_us(part, now_us) : 0;
	forwarder->counters.firsts += purpose == SUB_FIRST;
	forwarder->counters.hedges += purpose == SUB_HEDGE;
	forwarder->counters.retries += purpose == SUB_RETRY;
	forwarder->ops->send(forwarder->ctx, sub);
}

/* ---- waiting for a free connection ---- */

void part_unqueue(forward_part_t *part)
{
	if (part->is_queued)
		g_queue_unlink(&part->pool->waiting, &part->waiting);
	part->is_queued = false;
}

/*
 * Parts whose request fails without them come first, then lower ranks, then earlier arrivals.
 * Otherwise a part of a request that has already left out as many parts as it may would wait behind
 * parts that their requests can do without.
 */
static bool goes_before(const forward_part_t *part, const forward_part_t *other)
{
	bool spare = shedding_is_allowed(part->forward);

	if (spare != shedding_is_allowed(other->forward))
		return !spare;
	return forward_rank(part->forward) < forward_rank(other->forward);
}

static void part_insert(forward_part_t *part)
{
	GList *before = part->pool->waiting.tail;

	while (before && goes_before(part, before->data))
		before = before->prev;
	part->waiting = (GList){.data = part};
	if (before)
		g_queue_insert_after_link(&part->pool->waiting, before, &part->waiting);
	else
		g_queue_push_head_link(&part->pool->waiting, &part->waiting);
	part->is_queued = true;
}

static void part_queue(forward_part_t *part, uint64_t now_us)
{
	part_insert(part);
	forwarder_dispatch_later(part->forward->forwarder, part, now_us);
	part->state = PART_WAITING;
	part->forward->forwarder->counters.waited++;
}

/* Moves a waiting part up when its request can no longer do without it. */
static void part_move_up(forward_part_t *part)
{
	part_unqueue(part);
	part_insert(part);
}

void part_lose(forward_part_t *part)
{
	forward_t *forward = part->forward;
	bool before = shedding_is_allowed(forward);

	part_unqueue(part);
	part->state = PART_LOST;
	forward->lost++;
	if (forward->probe == part)
		forward->probe = NULL;
	if (!before || shedding_is_allowed(forward))
		return;
	for (uint32_t i = 0; i < forward->part_count; i++)
		if (forward->parts[i].is_queued)
			part_move_up(&forward->parts[i]);
}

static void part_refuse_queueing(forward_part_t *part)
{
	part->queue_too_long = true;
	part_lose(part);
}

static void part_shed(forward_part_t *part)
{
	part->forward->forwarder->counters.shed++;
	part->shed = true;
	shedding_note_part(part->pool, true);
	part_lose(part);
}

/* A caller that is refused now can retry in time; if its part waited, it would be refused at the
 * deadline. */
bool part_would_miss_deadline(const forward_part_t *part, uint64_t now_us)
{
	const candidates_t candidates = part_candidates(part);
	double usual_us = placement_typical_us(part->pool);
	uint64_t from_us = now_us;

	if (placement_all_cold(&candidates, now_us))
		from_us = placement_next_cold_send_us(&candidates, now_us);
	return from_us + (uint64_t)(placement_queue_delay_us(&candidates, now_us) + usual_us) >
	       part->forward->deadline_us;
}

bool part_would_outlast_stop(const forward_part_t *part, uint64_t now_us)
{
	return part->forward->ends_at_stop &&
	       now_us + (uint64_t)placement_typical_us(part->pool) > part->forward->deadline_us;
}

void part_wait(forward_part_t *part, uint64_t now_us)
{
	shedding_note_wait(part->pool, now_us);
	if (shedding_is_allowed(part->forward) && shedding_waits_too_long(part, now_us))
		part_shed(part);
	else if (part_would_miss_deadline(part, now_us))
		part_refuse_queueing(part);
	else
		part_queue(part, now_us);
}

/* Suspects are placed apart: if two ran at one searcher, nobody could tell which of them crashed
 * it. */
searcher_t *part_choose(const forward_part_t *part, uint64_t now_us)
{
	const candidates_t candidates = part_candidates(part);
	GRand *rand = part->forward->forwarder->rand;

	if (part->forward->probe == part)
		return placement_choose_isolated(&candidates, rand, now_us);
	return placement_choose(&candidates, rand, now_us);
}

bool part_start(forward_part_t *part, sub_purpose_t purpose, uint64_t now_us)
{
	searcher_t *searcher = part_choose(part, now_us);

	if (searcher)
		part_send(part, searcher, purpose, now_us);
	else if (!is_possible(part))
		part_lose(part);
	else
		return false;
	return true;
}

void part_send_waiting(forward_part_t *part, searcher_t *searcher, uint64_t now_us)
{
	part_unqueue(part);
	if (shedding_is_allowed(part->forward) && shedding_is_too_late(part, now_us))
		part_shed(part);
	else if (part_would_outlast_stop(part, now_us))
		part_refuse_queueing(part);
	else
		part_send(part, searcher, part->refusals || part->runs ? SUB_RETRY : SUB_FIRST,
			  now_us);
}

/*
 * A searcher works on a part until the deadline that it is sent. In an overloaded shard, a part
 * past its target is of no use if the request has enough coverage without it, while the next part
 * still is of use. A suspect keeps its full time: if it is cut short, the outcome shows nothing, as
 * its searcher may have been about to crash.
 */
uint64_t subrequest_time_left_us(const subrequest_t *sub, uint64_t now_us)
{
	const forward_t *forward = sub->forward;
	uint64_t left_us = forward_time_left_us(forward, now_us);

	if (forward->probe == &forward->parts[sub->part] || forward->partial_us <= now_us ||
	    !shedding_is_on(sub->pool, now_us) || !shedding_is_allowed(forward))
		return left_us;
	return MIN(left_us, forward->partial_us - now_us);
}

/* ---- hedges ---- */

/*
 * Searchers do not pause all at once: a gather of which no part is answered either takes long
 * itself or crashes the searchers that run it. Its hedges would gain nothing, or crash as many
 * searchers again before the first crash is known. If in fact all near searchers stopped answering,
 * the held hedges are still sent early enough for the target.
 */
static bool may_hedge_early(const forward_t *forward)
{
	return forward->answered || forward->part_count < HEDGE_HELD_MIN_PARTS;
}

/* Without an idle connection, a hedge is sent only at the latest time: connecting costs the
 * searcher a handshake, and many parts tend to be late at once. */
static uint64_t hedge_at_us(forward_part_t *part, const searcher_t *searcher, uint64_t late_us,
			    uint64_t now_us)
{
	uint64_t due_us = hedge_due_us(part, now_us);

	if (!may_hedge_early(part->forward))
		return MAX(due_us, late_us);
	return searcher->idle ? MIN(due_us, late_us) : late_us;
}

void part_hedge(forward_part_t *part, uint64_t now_us)
{
	const candidates_t candidates = part_candidates(part);
	forwarder_t *forwarder = part->forward->forwarder;
	const retry_bound_t *bound = &part->pool->bound;
	searcher_t *searcher;
	uint64_t due_us, late_us;

	part->hedge_us = 0;
	if (!may_run_again(part))
		return;
	if (forward_is_suspect(part->forward, now_us)) {
		part->hedge_us = now_us + HEDGE_RECHECK_US;
		return;
	}
	searcher = placement_choose(&candidates, forwarder->rand, now_us);
	if (!searcher || searcher->probes) {
		part->hedge_us = now_us + HEDGE_RECHECK_US;
		return;
	}
	late_us = hedge_late_us(part->forward, placement_cost_us(searcher, part->pool, now_us));
	due_us = hedge_at_us(part, searcher, late_us, now_us);
	if (now_us < due_us)
		part->hedge_us = due_us;
	else if (retry_budget_take(&part->pool->budget, bound, RETRY_FOR_HEDGE, now_us))
		part_send(part, searcher, SUB_HEDGE, now_us);
	else
		part->hedge_us = now_us < late_us ? late_us : now_us + HEDGE_RECHECK_US;
}

/* ---- replies ---- */

static bool has_not_run(sub_outcome_t outcome)
{
	return outcome == SUB_NOT_RUN || outcome == SUB_REPLACED || outcome == SUB_NOT_SENT;
}

static bool may_retry(forward_part_t *part, sub_outcome_t outcome, uint64_t now_us)
{
	const retry_bound_t *bound = &part->pool->bound;

	if (outcome == SUB_NOT_SENT)
		return part->refusals <= MAX_REFUSALS;
	if (has_not_run(outcome) ? part->refusals > MAX_REFUSALS : !may_run_again(part))
		return false;
	return retry_budget_take(&part->pool->budget, bound, RETRY_FOR_FAILURE, now_us);
}

/*
 * A failure from a searcher means that the request ran. A refusal of a later retry must not replace
 * it, or the caller would be told that the request has not run.
 */
static void part_store_reply(forward_part_t *part, sub_reply_t *reply)
{
	if (part->forward->route->gathers) /* only the outcome counts */
		sub_reply_drop_content(reply);
	if (part->reply && part->reply->outcome == SUB_FAILED && has_not_run(reply->outcome)) {
		sub_reply_free(reply);
		return;
	}
	sub_reply_free(part->reply);
	part->reply = reply;
}

/* ---- suspect requests ---- */

bool part_is_held(const forward_part_t *part)
{
	return part->state == PART_WAITING && !part->is_queued && !part->forward->admission.queued;
}

void part_resume(forward_part_t *part, uint64_t now_us)
{
	bool again = part->runs || part->refusals;

	if (again && !may_retry(part, part->last_outcome, now_us))
		part_lose(part);
	else if (!part_start(part, again ? SUB_RETRY : SUB_FIRST, now_us))
		part_wait(part, now_us);
}

/*
 * If the parts of a request that crashes searchers were retried at once, each part would crash
 * another searcher: a gather over ten shards of three searchers each would crash all thirty within
 * 100 ms, and callers of all other requests would get 502 until the searchers have restarted. So
 * the next sub-request waits until the one before has shown that a searcher survives the request.
 * If a sub-request that was sent alone is lost as well, no others follow.
 */
static void part_hold(forward_part_t *part, bool gives_up)
{
	part->state = PART_WAITING;
	if (gives_up)
		forward_lose_held_parts(part->forward);
}

static void part_failed(forward_part_t *part, const subrequest_t *sub, sub_reply_t *reply,
			uint64_t now_us)
{
	sub_outcome_t outcome = reply->outcome;
	forward_t *forward = part->forward;
	bool gives_up = reply->broken && forward->probe == part;

	if (has_not_run(outcome)) {
		part->runs--;
		part->refusals++;
	}
	part->outcome_unknown = part->outcome_unknown || outcome == SUB_UNKNOWN;
	part->last_outcome = outcome;
	if (forward->probe == part)
		forward_probe_ended(
			forward,
			&(trial_result_t){.ran = !has_not_run(outcome),
					  .outcome = reply->broken ? "broken"
								   : sub_outcome_name(outcome),
					  .searcher = sub->searcher->id},
			now_us);
	part_store_reply(part, reply);
	if (part->in_flight->len) /* another one is in flight: its outcome decides */
		return;
	if (forward_is_suspect(forward, now_us))
		part_hold(part, gives_up);
	else if (!may_retry(part, outcome, now_us))
		part_lose(part);
	else if (!part_start(part, SUB_RETRY, now_us))
		part_wait(part, now_us);
}

/* Schedules the hedges that were held until a first part was answered. */
static void hedge_others(const forward_part_t *answered, uint64_t now_us)
{
	forward_t *forward = answered->forward;

	for (uint32_t i = 0; i < forward->part_count; i++) {
		forward_part_t *part = &forward->parts[i];

		if (part->state == PART_SENT && part->hedge_us)
			part->hedge_us = MIN(part->hedge_us, hedge_due_us(part, now_us));
	}
}

static void part_answered(forward_part_t *part, const subrequest_t *sub, sub_reply_t *reply,
			  uint64_t now_us)
{
	sub_reply_free(part->reply);
	part->reply = reply;
	part->state = PART_ANSWERED;
	if (!part->forward->answered++)
		hedge_others(part, now_us);
	if (part->forward->probe == part)
		forward_probe_ended(part->forward,
				    &(trial_result_t){.ran = true,
						      .outcome = "answered",
						      .searcher = sub->searcher->id},
				    now_us);
	for (guint i = 0; i < part->in_flight->len; i++)
		((subrequest_t *)g_ptr_array_index(part->in_flight, i))->superseded = true;
}

/*
 * A searcher that refuses a share of its requests may accept the same part the next time. A
 * searcher that has refused only once is full for now.
 */
static void allow_retry_at(forward_part_t *part, searcher_t *searcher, uint64_t now_us)
{
	if (failure_rate_now(&searcher->failure_rate, now_us) <= REFUSAL_RATE_MIN ||
	    is_possible(part))
		return;
	g_ptr_array_remove(part->tried, searcher);
	part->refused_may_retry = true;
}

void part_take_reply(forward_part_t *part, subrequest_t *sub, sub_reply_t *reply, uint64_t now_us)
{
	g_ptr_array_remove_fast(part->in_flight, sub);
	if (reply->outcome == SUB_NOT_RUN)
		allow_retry_at(part, sub->searcher, now_us);
	if (part->state != PART_SENT)
		sub_reply_free(reply);
	else if (reply->outcome == SUB_ANSWERED)
		part_answered(part, sub, reply, now_us);
	else
		part_failed(part, sub, reply, now_us);
}

void part_allow_attempts(forward_part_t *part, uint64_t now_us)
{
	if (part->state != PART_SENT || part->hedge_us || !may_run_again(part))
		return;
	part->hedge_us = MAX(hedge_due_us(part, now_us), now_us);
}

passed_over_t forward_passed_over(const forward_part_t *part, uint64_t now_us)
{
	const candidates_t candidates = part_candidates(part);

	return placement_passed_over(&candidates, now_us);
}
