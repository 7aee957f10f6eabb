/**
 * @file part.c
 * What is asked of one service for a request: whom it is sent to, when it is sent once more, and
 * when it is given up. See forward.h.
 */
#include "core/forward_private.h"

/* A sub-request that is out for longer than this many times the usual met a pause, a slow searcher
 * or a queue in most cases: pauses alone hold up 4.4 % of them, and the budget allows 20 %. */
#define HEDGE_TIMES 1.5
#define HEDGE_LEAST_US 13000
/* With fewer extra sub-requests left than this, they are kept for the last moment at which they
 * help: a VM of 90 has four in ten seconds for each shard. */
#define HEDGES_SCARCE 3

/* Room for a second answer that takes longer than expected. */
#define HEDGE_LATE_TIMES 1.3
/* When the budget refuses, ask again after so long. */
#define HEDGE_AGAIN_US 20000
/* Refusals end a part only after so many: each is an arrival that the budget counts. */
#define REFUSALS_MOST 3

static bool may_run_again(const part_t *part)
{
	return part->forward->route->idempotent && part->runs < part->forward->route->attempts_most;
}

/*
 * By what this searcher takes, and not by what the route's parts take: when some searchers are slow
 * or dark, a third of the parts goes to far ones, and the median of all rose from 12 to 40 ms. The
 * hedge then came at 60 ms and its answer at 100 to 126, past the targets.
 */
static uint64_t hedge_early_us(const part_t *part, const searcher_t *searcher, uint64_t now_us)
{
	double expected_us = placement_expected_us(searcher, part->pool, now_us);

	return now_us + (uint64_t)MAX(expected_us * HEDGE_TIMES, HEDGE_LEAST_US);
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

	if (!part->asked) {
		part->asked = g_ptr_array_new_with_free_func((GDestroyNotify)searcher_unref);
		part->out = g_ptr_array_new();
	}
	g_ptr_array_add(part->asked, searcher_ref(searcher));
	g_ptr_array_add(part->out, sub);
	part->state = PART_SENT;
	part->runs++;
	part->hedge_us = may_run_again(part) ? hedge_early_us(part, searcher, now_us) : 0;
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

/* Urgent ranks first, then in order of arrival. */
static void part_queue(part_t *part)
{
	uint32_t rank = part->forward->route->rank;
	GList *before = part->pool->waiting.tail;

	while (before && ((part_t *)before->data)->forward->route->rank > rank)
		before = before->prev;
	part->waiting = (GList){.data = part};
	if (before)
		g_queue_insert_after_link(&part->pool->waiting, before, &part->waiting);
	else
		g_queue_push_head_link(&part->pool->waiting, &part->waiting);
	part->is_queued = true;
	part->state = PART_WAITING;
	part->forward->forwarder->counters.waited++;
}

void part_lose(part_t *part)
{
	part_unqueue(part);
	part->state = PART_LOST;
	part->forward->lost++;
}

static void part_crowd_out(part_t *part)
{
	part->crowded = true;
	part_lose(part);
}

/*
 * Whether room would come too late: those that wait before it each need a connection for the usual
 * time. Refused now, its caller can come back in time; held, it would be refused at its deadline.
 */
static bool waits_in_vain(const part_t *part, uint64_t now_us)
{
	const pool_t *pool = part->pool;
	double usual_us = placement_typical_us(pool);
	double ahead = pool->waiting.length + 1.0;
	double wait_us = usual_us * ahead / MAX(placement_room_most(pool), 1);

	return now_us + (uint64_t)(wait_us + usual_us) > part->forward->deadline_us;
}

void part_start(part_t *part, sub_purpose_t purpose, uint64_t now_us)
{
	GRand *rand = part->forward->forwarder->rand;
	searcher_t *searcher = placement_choose(part->pool, part->asked, rand, now_us);

	if (searcher)
		part_send(part, searcher, purpose, now_us);
	else if (!placement_is_possible(part->pool, part->asked))
		part_lose(part);
	else if (waits_in_vain(part, now_us))
		part_crowd_out(part);
	else
		part_queue(part);
}

void part_send_waiting(part_t *part, searcher_t *searcher, uint64_t now_us)
{
	part_unqueue(part);
	part_send(part, searcher, part->refusals || part->runs ? SUB_RETRY : SUB_FIRST, now_us);
}

/* ---- hedges ---- */

/* An early hedge must not be one of the last, nor cost the searcher a handshake. */
static bool may_hedge_early(part_t *part, const searcher_t *searcher, uint64_t now_us)
{
	const retry_bound_t *bound = registry_bound(part->forward->forwarder->registry);
	retry_budget_t *budget = &part->pool->budget;

	return searcher->idle &&
	       retry_budget_left(budget, bound, RETRY_FOR_SPEED, now_us) >= HEDGES_SCARCE;
}

void part_hedge(part_t *part, uint64_t now_us)
{
	forwarder_t *forwarder = part->forward->forwarder;
	const retry_bound_t *bound = registry_bound(forwarder->registry);
	searcher_t *searcher;
	uint64_t late_us;

	part->hedge_us = 0;
	if (!may_run_again(part))
		return;
	searcher = placement_choose(part->pool, part->asked, forwarder->rand, now_us);
	if (!searcher) {
		part->hedge_us = now_us + HEDGE_AGAIN_US;
		return;
	}
	late_us = hedge_late_us(part->forward, placement_cost_us(searcher, part->pool, now_us));
	if (now_us < late_us && !may_hedge_early(part, searcher, now_us))
		part->hedge_us = late_us;
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
	forwarder_t *forwarder = part->forward->forwarder;
	const retry_bound_t *bound = registry_bound(forwarder->registry);

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

static void part_failed(part_t *part, sub_reply_t *reply, uint64_t now_us)
{
	sub_end_t end = reply->end;

	if (has_not_run(end)) {
		part->runs--;
		part->refusals++;
	}
	part->unknown = part->unknown || end == SUB_UNKNOWN;
	part_keep(part, reply);
	if (part->out->len) /* another one is out: its end decides */
		return;
	if (may_retry(part, end, now_us))
		part_start(part, SUB_RETRY, now_us);
	else
		part_lose(part);
}

static void part_answered(part_t *part, sub_reply_t *reply)
{
	sub_reply_free(part->reply);
	part->reply = reply;
	part->state = PART_ANSWERED;
	part->forward->answered++;
}

void part_take_reply(part_t *part, sub_t *sub, sub_reply_t *reply, uint64_t now_us)
{
	g_ptr_array_remove_fast(part->out, sub);
	if (part->state != PART_SENT)
		sub_reply_free(reply);
	else if (reply->end == SUB_ANSWERED)
		part_answered(part, reply);
	else
		part_failed(part, reply, now_us);
}
