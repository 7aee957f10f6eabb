/**
 * @file part.c
 * What is asked of one service for a request: whom it is sent to, when it is sent once more, and
 * when it is given up. See forward.h.
 */
#include "core/forward_private.h"

#include "core/shedding.h"

/* A sub-request that is out for longer than this many times the usual met a pause, a slow searcher
 * or a queue in most cases, and there are fewer of those than the budget allows. */
#define HEDGE_TIMES 1.5
/* So much more when the budget is used up: then hardly any but what pauses or hangs is sent once
 * more. */
#define HEDGE_TIMES_SPENT 0.8
#define HEDGE_LEAST_US 13000
/* Room for a second answer that takes longer than expected. */
#define HEDGE_LATE_TIMES 1.3
/* So few searchers may pause at the same time. */
#define HEDGE_ALONE_PARTS 3
/* When the budget refuses, ask again after so long. */
#define HEDGE_AGAIN_US 20000
/* Refusals end a part only after so many: each is an arrival that the budget counts. */
#define REFUSALS_MOST 3
/* Three refusals in a row; two may be a moment at which it is full. */
#define REFUSES_A_SHARE 0.3

candidates_t part_candidates(const part_t *part)
{
	return (candidates_t){
		.pool = part->pool, .route = part->forward->route, .tried = part->asked};
}

static bool is_possible(const part_t *part)
{
	const candidates_t candidates = part_candidates(part);

	return placement_has_candidate(&candidates);
}

static bool may_run_again(const part_t *part)
{
	return part->forward->route->idempotent && part->runs < part->forward->attempts_most;
}

/*
 * By what this searcher takes, and not by what the route's parts take: when some searchers are slow
 * or dark, many parts go to far ones, the median of all rises, and with it hedges would come so
 * late that their answers are past the target. Yet a searcher serves routes with more and with less
 * work, so the route's own share of that counts.
 *
 * The less of the budget is left, the later: where many VMs share it, each has few extra
 * sub-requests for a shard. Spent early, they are gone when a searcher pauses.
 */
static uint64_t hedge_due_us(part_t *part, uint64_t now_us)
{
	const searcher_t *asked = g_ptr_array_index(part->asked, part->asked->len - 1);
	const retry_bound_t *bound = &part->pool->bound;
	double spent = 1 - retry_budget_share_left(&part->pool->budget, bound, now_us);
	double expected_us =
		route_state_expected_us(part->forward->state, asked, part->pool, now_us);
	double after_us = expected_us * (HEDGE_TIMES + spent * HEDGE_TIMES_SPENT);

	return part->sent_us + (uint64_t)MAX(after_us, HEDGE_LEAST_US);
}

/* The last moment at which a second answer still comes within the target. */
static uint64_t hedge_late_us(const forward_t *forward, double cost_us)
{
	uint64_t need_us = (uint64_t)(cost_us * HEDGE_LATE_TIMES);

	return forward->partial_us > need_us ? forward->partial_us - need_us : 0;
}

static void part_send(part_t *part, searcher_t *searcher, sub_purpose_t purpose, uint64_t now_us)
{
	forward_t *forward = part->forward;
	forwarder_t *forwarder = forward->forwarder;
	sub_t *sub = sub_new(part, searcher, purpose, now_us);

	placement_record_send(part->pool, searcher, now_us);
	if (!part->asked) {
		part->asked = g_ptr_array_new_with_free_func((GDestroyNotify)searcher_unref);
		part->out = g_ptr_array_new();
	}
	g_ptr_array_add(part->asked, searcher_ref(searcher));
	g_ptr_array_add(part->out, sub);
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

/* ---- waiting for room ---- */

void part_unqueue(part_t *part)
{
	if (part->is_queued)
		g_queue_unlink(&part->pool->waiting, &part->waiting);
	part->is_queued = false;
}

/*
 * Parts first whose request fails without them, then urgent ranks, then in order of arrival. One
 * that has left out as many parts as it may would otherwise wait behind others that can do without.
 */
static bool goes_before(const part_t *part, const part_t *other)
{
	bool spare = shedding_is_allowed(part->forward);

	if (spare != shedding_is_allowed(other->forward))
		return !spare;
	return part->forward->route->rank < other->forward->route->rank;
}

static void part_insert(part_t *part)
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

static void part_queue(part_t *part, uint64_t now_us)
{
	const candidates_t candidates = part_candidates(part);

	part_insert(part);
	forwarder_look_at(part->forward->forwarder,
			  placement_next_cold_send_us(&candidates, now_us));
	part->state = PART_WAITING;
	part->forward->forwarder->counters.waited++;
}

/* Parts that wait already move up when the request can't do without them any more. */
static void part_move_up(part_t *part)
{
	part_unqueue(part);
	part_insert(part);
}

void part_lose(part_t *part)
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

static void part_crowd_out(part_t *part)
{
	part->crowded = true;
	part_lose(part);
}

static void part_shed(part_t *part)
{
	part->forward->forwarder->counters.shed++;
	part->shed = true;
	shedding_note_part(part->pool, true);
	part_lose(part);
}

/* Refused now, its caller can come back in time; held, it would be refused at its deadline. */
bool part_waits_in_vain(const part_t *part, uint64_t now_us)
{
	const candidates_t candidates = part_candidates(part);
	double usual_us = placement_typical_us(part->pool);
	uint64_t from_us = now_us;

	if (placement_all_cold(&candidates, now_us))
		from_us = placement_next_cold_send_us(&candidates, now_us);
	return from_us + (uint64_t)(placement_queue_delay_us(&candidates, now_us) + usual_us) >
	       part->forward->deadline_us;
}

void part_wait(part_t *part, uint64_t now_us)
{
	shedding_note_wait(part->pool, now_us);
	if (shedding_is_allowed(part->forward) && shedding_waits_too_long(part, now_us))
		part_shed(part);
	else if (part_waits_in_vain(part, now_us))
		part_crowd_out(part);
	else
		part_queue(part, now_us);
}

/* Two suspects at one searcher, and nobody could say which of them it ended under. */
searcher_t *part_choose(const part_t *part, uint64_t now_us)
{
	const candidates_t candidates = part_candidates(part);
	GRand *rand = part->forward->forwarder->rand;

	if (part->forward->probe == part)
		return placement_choose_isolated(&candidates, rand, now_us);
	return placement_choose(&candidates, rand, now_us);
}

bool part_start(part_t *part, sub_purpose_t purpose, uint64_t now_us)
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

void part_send_waiting(part_t *part, searcher_t *searcher, uint64_t now_us)
{
	part_unqueue(part);
	if (shedding_is_allowed(part->forward) && shedding_is_too_late(part, now_us))
		part_shed(part);
	else
		part_send(part, searcher, part->refusals || part->runs ? SUB_RETRY : SUB_FIRST,
			  now_us);
}

/*
 * A searcher works on a part until the time that it is told. Past the target a part of a short
 * shard is of no use, if the request has enough without it; the next one is. A suspect that is cut
 * short shows nothing: its searcher may have been about to end.
 */
uint64_t sub_left_us(const sub_t *sub, uint64_t now_us)
{
	const forward_t *forward = sub->forward;
	uint64_t left_us = forward_left_us(forward, now_us);

	if (forward->probe == &forward->parts[sub->part] || forward->partial_us <= now_us ||
	    !shedding_is_on(sub->pool, now_us) || !shedding_is_allowed(forward))
		return left_us;
	return MIN(left_us, forward->partial_us - now_us);
}

/* ---- hedges ---- */

/*
 * Searchers do not pause all at once: a gather of which nothing is in is long itself, or it crashes
 * those that run it. Its hedges would gain nothing, or end as many searchers again before the first
 * end is known. Where all near searchers went silent, they still come within the target.
 */
static bool may_be_pauses(const forward_t *forward)
{
	return forward->answered || forward->part_count < HEDGE_ALONE_PARTS;
}

/* To connect costs the searcher a handshake, and late parts come in numbers. */
static uint64_t hedge_at_us(part_t *part, const searcher_t *searcher, uint64_t late_us,
			    uint64_t now_us)
{
	uint64_t due_us = hedge_due_us(part, now_us);

	if (!may_be_pauses(part->forward))
		return MAX(due_us, late_us);
	return searcher->idle ? MIN(due_us, late_us) : late_us;
}

void part_hedge(part_t *part, uint64_t now_us)
{
	const candidates_t candidates = part_candidates(part);
	forwarder_t *forwarder = part->forward->forwarder;
	const retry_bound_t *bound = &part->pool->bound;
	searcher_t *searcher;
	uint64_t due_us, late_us;

	part->hedge_us = 0;
	if (!may_run_again(part))
		return;
	if (forward_is_careful(part->forward, now_us)) {
		part->hedge_us = now_us + HEDGE_AGAIN_US;
		return;
	}
	searcher = placement_choose(&candidates, forwarder->rand, now_us);
	if (!searcher || searcher->probes) {
		part->hedge_us = now_us + HEDGE_AGAIN_US;
		return;
	}
	late_us = hedge_late_us(part->forward, placement_cost_us(searcher, part->pool, now_us));
	due_us = hedge_at_us(part, searcher, late_us, now_us);
	if (now_us < due_us)
		part->hedge_us = due_us;
	else if (retry_budget_take(&part->pool->budget, bound, RETRY_FOR_SPEED, now_us))
		part_send(part, searcher, SUB_HEDGE, now_us);
	else
		part->hedge_us = now_us < late_us ? late_us : now_us + HEDGE_AGAIN_US;
}

/* ---- replies ---- */

static bool has_not_run(sub_end_t end)
{
	return end == SUB_NOT_RUN || end == SUB_REPLACED || end == SUB_NOT_SENT;
}

static bool may_retry(part_t *part, sub_end_t end, uint64_t now_us)
{
	const retry_bound_t *bound = &part->pool->bound;

	if (end == SUB_NOT_SENT)
		return part->refusals <= REFUSALS_MOST;
	if (has_not_run(end) ? part->refusals > REFUSALS_MOST : !may_run_again(part))
		return false;
	return retry_budget_take(&part->pool->budget, bound, RETRY_FOR_ANSWER, now_us);
}

/*
 * A searcher's failure says that it ran. A second try that is refused afterwards must not take its
 * place, or the caller would be told that the request has not run.
 */
static void part_keep(part_t *part, sub_reply_t *reply)
{
	if (part->reply && part->reply->end == SUB_FAILED && has_not_run(reply->end)) {
		sub_reply_free(reply);
		return;
	}
	sub_reply_free(part->reply);
	part->reply = reply;
}

/* ---- suspect requests ---- */

bool part_is_held(const part_t *part)
{
	return part->state == PART_WAITING && !part->is_queued;
}

void part_go_on(part_t *part, uint64_t now_us)
{
	bool again = part->runs || part->refusals;

	if (again && !may_retry(part, part->last_end, now_us))
		part_lose(part);
	else if (!part_start(part, again ? SUB_RETRY : SUB_FIRST, now_us))
		part_wait(part, now_us);
}

/*
 * Sent once more at once, each part would end another searcher: a gather over ten shards of three
 * ended all thirty within 0.1 s, and callers of all others got 502 until they were back. So the
 * next sub-request of the request waits until the one before has shown that a searcher survives it.
 * One that was sent alone and is lost, too, is not followed by others.
 */
static void hold(part_t *part, bool gives_up)
{
	part->state = PART_WAITING;
	if (gives_up)
		forward_lose_held(part->forward);
}

static void part_failed(part_t *part, const sub_t *sub, sub_reply_t *reply, uint64_t now_us)
{
	sub_end_t end = reply->end;
	forward_t *forward = part->forward;
	bool gives_up = reply->broken && forward->probe == part;

	if (has_not_run(end)) {
		part->runs--;
		part->refusals++;
	}
	part->unknown = part->unknown || end == SUB_UNKNOWN;
	part->last_end = end;
	if (forward->probe == part)
		forward_probe_over(
			forward,
			&(trial_end_t){.ran = !has_not_run(end),
				       .outcome = reply->broken ? "broken" : sub_end_name(end),
				       .searcher = sub->searcher->id},
			now_us);
	part_keep(part, reply);
	if (part->out->len) /* another one is out: its end decides */
		return;
	if (forward_is_careful(forward, now_us))
		hold(part, gives_up);
	else if (!may_retry(part, end, now_us))
		part_lose(part);
	else if (!part_start(part, SUB_RETRY, now_us))
		part_wait(part, now_us);
}

/* Hedges that waited for a first part to be in. */
static void hedge_others(const part_t *answered, uint64_t now_us)
{
	forward_t *forward = answered->forward;

	for (uint32_t i = 0; i < forward->part_count; i++) {
		part_t *part = &forward->parts[i];

		if (part->state == PART_SENT && part->hedge_us)
			part->hedge_us = MIN(part->hedge_us, hedge_due_us(part, now_us));
	}
}

static void part_answered(part_t *part, const sub_t *sub, sub_reply_t *reply, uint64_t now_us)
{
	sub_reply_free(part->reply);
	part->reply = reply;
	part->state = PART_ANSWERED;
	if (!part->forward->answered++)
		hedge_others(part, now_us);
	if (part->forward->probe == part)
		forward_probe_over(part->forward,
				   &(trial_end_t){.ran = true,
						  .outcome = "answered",
						  .searcher = sub->searcher->id},
				   now_us);
	for (guint i = 0; i < part->out->len; i++)
		((sub_t *)g_ptr_array_index(part->out, i))->served = true;
}

/*
 * A searcher that refuses a share of what it is sent may take the same part the next time; one that
 * has refused once is full for now.
 */
static void forgive(part_t *part, searcher_t *searcher, uint64_t now_us)
{
	if (yield_lost(&searcher->yield, now_us) > REFUSES_A_SHARE && !is_possible(part))
		g_ptr_array_remove(part->asked, searcher);
}

void part_take_reply(part_t *part, sub_t *sub, sub_reply_t *reply, uint64_t now_us)
{
	g_ptr_array_remove_fast(part->out, sub);
	if (reply->end == SUB_NOT_RUN)
		forgive(part, sub->searcher, now_us);
	if (part->state != PART_SENT)
		sub_reply_free(reply);
	else if (reply->end == SUB_ANSWERED)
		part_answered(part, sub, reply, now_us);
	else
		part_failed(part, sub, reply, now_us);
}

void part_allow_more(part_t *part, uint64_t now_us)
{
	if (part->state != PART_SENT || part->hedge_us || !may_run_again(part))
		return;
	part->hedge_us = MAX(hedge_due_us(part, now_us), now_us);
}

passed_over_t forward_passed_over(const part_t *part, uint64_t now_us)
{
	const candidates_t candidates = part_candidates(part);

	return placement_passed_over(&candidates, now_us);
}
