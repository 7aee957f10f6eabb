/**
 * @file forward.c
 * See forward.h.
 */
#include "core/forward.h"

#include "core/top_records.h"

#include <string.h>

/* The caller's clock started a trip earlier, and the answer needs another: 1 to 3 ms each way in
 * the deployments, and a turn of this loop. */
#define WAY_US 9000
/* Callers that do not say how long they wait, on routes without a timeout. */
#define PATIENCE_UNKNOWN_US 5000000
/* A sub-request that is out for longer than this many times the usual met a pause, a slow searcher
 * or a queue in most cases: pauses alone hold up 4.4 % of them, and the budget allows 20 %. */
#define HEDGE_TIMES 1.5
#define HEDGE_LEAST_US 13000
#define HEDGE_UNKNOWN_US 60000
/* With so little of the budget left, a hedge waits for the last moment at which it is of use: half
 * of the pauses are over by then. Sparing earlier was measured to answer fewer in time. */
#define HEDGE_SPARING_BELOW 1.0
/* Room for a second answer that takes longer than expected. */
#define HEDGE_LATE_TIMES 1.3
#define TYPICAL_STEP 0.06
/* When the budget refuses, ask again after so long. */
#define HEDGE_AGAIN_US 20000
/* A caller that left must not keep searchers at work for half a second: close well before that. */
#define LEFT_US 250000
/* An answered request's other sub-requests end by themselves in most cases, which keeps the
 * connection: a pause is over after 200 ms. */
#define UNNEEDED_US 700000
/* Refusals end a part only after so many: each is an arrival that the budget counts. */
#define REFUSALS_MOST 3
/* When to come back after a refusal: a searcher's full queue of 12 empties in about this time. */
#define RETRY_AFTER_US 60000
/* While nothing is known yet, news come within a second of the start. */
#define RETRY_AFTER_START_US 300000

/** What is measured of one route, over all versions of the configuration. */
typedef struct route_state_t {
	quantile_t typical; /* median of its sub-requests, sent to answered */
	GArray *credits;    /* double: for the shares of a split, by target */
} route_state_t;

struct forwarder_t {
	const forwarder_ops_t *ops;
	void *ctx;
	registry_t *registry;
	routing_t *routing;
	GHashTable *states; /* route name to route_state_t */
	timers_t timers;
	GRand *rand;
	uint32_t open;
	forwarder_counters_t counters;
};

const char *forward_end_name(forward_end_t end)
{
	static const char *const names[FORWARD_ENDS] = {
		[FORWARD_ANSWERED] = "answered", [FORWARD_NOT_READY] = "not-ready",
		[FORWARD_NO_ROUTE] = "no-route", [FORWARD_NO_SEARCHER] = "no-searcher",
		[FORWARD_TOO_LATE] = "too-late", [FORWARD_FULL] = "full",
		[FORWARD_REJECTED] = "rejected", [FORWARD_TOO_FEW] = "too-few",
		[FORWARD_FAILED] = "failed",	 [FORWARD_TIMEOUT] = "timeout",
	};

	return names[end];
}

const char *sub_end_name(sub_end_t end)
{
	static const char *const names[] = {
		[SUB_ANSWERED] = "answered", [SUB_FAILED] = "failed",	  [SUB_NOT_RUN] = "not-run",
		[SUB_REPLACED] = "replaced", [SUB_NOT_SENT] = "not-sent", [SUB_UNKNOWN] = "unknown",
	};

	return names[end];
}

sub_reply_t *sub_reply_new(sub_end_t end)
{
	sub_reply_t *reply = g_new0(sub_reply_t, 1);

	reply->end = end;
	return reply;
}

void sub_reply_free(sub_reply_t *reply)
{
	if (!reply)
		return;
	g_free(reply->stamp);
	g_free(reply->headers);
	if (reply->body)
		g_string_free(reply->body, TRUE);
	g_free(reply);
}

/* ---- the forwarder ---- */

static void state_free(void *data)
{
	route_state_t *state = data;

	g_array_unref(state->credits);
	g_free(state);
}

forwarder_t *forwarder_new(const forwarder_ops_t *ops, void *ctx, registry_t *registry,
			   uint32_t seed)
{
	forwarder_t *forwarder = g_new0(forwarder_t, 1);

	forwarder->ops = ops;
	forwarder->ctx = ctx;
	forwarder->registry = registry;
	forwarder->states = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, state_free);
	forwarder->rand = g_rand_new_with_seed(seed);
	timers_init(&forwarder->timers);
	return forwarder;
}

void forwarder_free(forwarder_t *forwarder)
{
	routing_unref(forwarder->routing);
	g_hash_table_unref(forwarder->states);
	timers_clear(&forwarder->timers);
	g_rand_free(forwarder->rand);
	g_free(forwarder);
}

void forwarder_set_routing(forwarder_t *forwarder, routing_t *routing)
{
	routing_unref(forwarder->routing);
	forwarder->routing = routing;
}

const routing_t *forwarder_routing(const forwarder_t *forwarder)
{
	return forwarder->routing;
}

uint64_t forwarder_next_us(const forwarder_t *forwarder)
{
	return timers_next_us(&forwarder->timers);
}

void forwarder_run(forwarder_t *forwarder, uint64_t now_us)
{
	timers_run(&forwarder->timers, now_us);
}

uint32_t forwarder_open(const forwarder_t *forwarder)
{
	return forwarder->open;
}

const forwarder_counters_t *forwarder_counters(const forwarder_t *forwarder)
{
	return &forwarder->counters;
}

static route_state_t *state_of(forwarder_t *forwarder, const route_t *route)
{
	route_state_t *state = g_hash_table_lookup(forwarder->states, route->name);

	if (state)
		return state;
	state = g_new0(route_state_t, 1);
	state->typical = (quantile_t){.fraction = 0.5, .step = TYPICAL_STEP};
	state->credits = g_array_new(FALSE, TRUE, sizeof(double));
	g_hash_table_insert(forwarder->states, g_strdup(route->name), state);
	return state;
}

/* ---- sub-requests ---- */

static bool may_run_again(const part_t *part)
{
	return part->forward->route->idempotent && part->runs < part->forward->route->attempts_most;
}

static void sub_free(sub_t *sub)
{
	timers_cancel(&sub->forwarder->timers, &sub->leave);
	g_queue_unlink(&sub->searcher->out, &sub->sending.link);
	searcher_unref(sub->searcher);
	g_free(sub);
}

static void cancel_unneeded(void *ctx, uint64_t now_us)
{
	sub_t *sub = ctx;
	forwarder_t *forwarder = sub->forwarder;
	pool_t *pool = sub->pool;

	forwarder->ops->cancel(forwarder->ctx, sub);
	sub_free(sub);
	forwarder_room(forwarder, pool->service, now_us);
}

/* Its request is over; it may still end by itself, which saves the connection. */
static void sub_release(sub_t *sub, uint64_t within_us, uint64_t now_us)
{
	sub->forward = NULL;
	sub->leave.fire = cancel_unneeded;
	sub->leave.ctx = sub;
	timers_set(&sub->forwarder->timers, &sub->leave, now_us + within_us);
}

static uint64_t hedge_early_us(const forward_t *forward, uint64_t now_us)
{
	double typical_us = forward->state->typical.value_us;
	double after_us = typical_us > 0 ? typical_us * HEDGE_TIMES : HEDGE_UNKNOWN_US;

	return now_us + (uint64_t)MAX(after_us, HEDGE_LEAST_US);
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
	sub_t *sub = g_new0(sub_t, 1);

	sub->forwarder = forwarder;
	sub->forward = forward;
	sub->part = (uint32_t)(part - forward->parts);
	sub->purpose = purpose;
	sub->searcher = searcher_ref(searcher);
	sub->pool = part->pool;
	sub->sending.sent_us = now_us;
	sub->sending.link.data = sub;
	g_queue_push_tail_link(&searcher->out, &sub->sending.link);
	if (!part->asked) {
		part->asked = g_ptr_array_new_with_free_func((GDestroyNotify)searcher_unref);
		part->out = g_ptr_array_new();
	}
	g_ptr_array_add(part->asked, searcher_ref(searcher));
	g_ptr_array_add(part->out, sub);
	part->state = PART_SENT;
	part->runs++;
	part->hedge_us = may_run_again(part) ? hedge_early_us(forward, now_us) : 0;
	forwarder->counters.firsts += purpose == SUB_FIRST;
	forwarder->counters.hedges += purpose == SUB_HEDGE;
	forwarder->counters.retries += purpose == SUB_RETRY;
	forwarder->ops->send(forwarder->ctx, sub);
}

/* ---- waiting for room ---- */

static void part_unqueue(part_t *part)
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

static void part_lose(part_t *part)
{
	part_unqueue(part);
	part->state = PART_LOST;
	part->forward->lost++;
}

/* Send the part's next sub-request, or queue it, or lose it. */
static void part_start(part_t *part, sub_purpose_t purpose, uint64_t now_us)
{
	GRand *rand = part->forward->forwarder->rand;
	searcher_t *searcher = placement_choose(part->pool, part->asked, rand, now_us);

	if (searcher)
		part_send(part, searcher, purpose, now_us);
	else if (placement_is_possible(part->pool, part->asked))
		part_queue(part);
	else
		part_lose(part);
}

/* ---- the end of a request ---- */

static void release_all(forward_t *forward, uint64_t within_us, uint64_t now_us)
{
	for (uint32_t i = 0; i < forward->part_count; i++) {
		part_t *part = &forward->parts[i];

		part_unqueue(part);
		for (guint j = 0; part->out && j < part->out->len; j++)
			sub_release(g_ptr_array_index(part->out, j), within_us, now_us);
	}
}

static void forward_free(forward_t *forward)
{
	timers_cancel(&forward->forwarder->timers, &forward->timer);
	for (uint32_t i = 0; i < forward->part_count; i++) {
		part_t *part = &forward->parts[i];

		if (part->asked) {
			g_ptr_array_unref(part->asked);
			g_ptr_array_unref(part->out);
		}
		sub_reply_free(part->reply);
	}
	g_free(forward->parts);
	routing_unref(forward->routing);
	forward->forwarder->open--;
	g_free(forward);
}

static void forward_finish(forward_t *forward, forward_answer_t *answer, uint64_t now_us)
{
	forwarder_t *forwarder = forward->forwarder;

	if (forward->finished)
		return;
	forward->finished = true;
	forwarder->counters.ends[answer->end]++;
	release_all(forward, UNNEEDED_US, now_us);
	forwarder->ops->answer(forwarder->ctx, forward, answer);
	forward_free(forward);
}

static bool has_run_somewhere(const forward_t *forward)
{
	for (uint32_t i = 0; i < forward->part_count; i++) {
		const part_t *part = &forward->parts[i];

		if (part->unknown || (part->out && part->out->len) ||
		    part->state == PART_ANSWERED || (part->reply && part->reply->end == SUB_FAILED))
			return true;
	}
	return false;
}

static void forward_refuse(forward_t *forward, forward_end_t end, uint64_t now_us)
{
	forward_answer_t answer = {.end = end};

	if (end == FORWARD_NO_SEARCHER || end == FORWARD_TOO_LATE || end == FORWARD_FULL ||
	    end == FORWARD_REJECTED)
		answer.retry_after_us = RETRY_AFTER_US;
	forward_finish(forward, &answer, now_us);
}

/* ---- gathers ---- */

static bool has_enough(const forward_t *forward, uint32_t parts)
{
	return parts > 0 && parts >= forward->route->coverage_least * forward->part_count - 1e-9;
}

static void gather_answer(forward_t *forward, uint64_t now_us)
{
	g_autoptr(GString) stamps = g_string_sized_new(40 * forward->part_count);
	g_autoptr(GString) records = g_string_new(NULL);
	top_records_t *top = top_records_new(forward->route->top);
	forward_answer_t answer = {.end = FORWARD_ANSWERED,
				   .stamps = stamps,
				   .records = records,
				   .parts = forward->part_count,
				   .missing = forward->part_count - forward->answered};

	for (uint32_t i = 0; i < forward->part_count; i++) {
		const part_t *part = &forward->parts[i];

		if (part->state != PART_ANSWERED)
			continue;
		g_string_append_printf(stamps, "%s%s", stamps->len ? ", " : "", part->reply->stamp);
		top_records_add(top, part->reply->body->str, part->reply->body->len);
	}
	top_records_take(top, records);
	top_records_free(top);
	forward->forwarder->counters.partial += answer.missing > 0;
	forward_finish(forward, &answer, now_us);
}

/* True when the request is over. */
static bool gather_settle(forward_t *forward, uint64_t now_us)
{
	bool all = forward->answered + forward->lost == forward->part_count;

	if (!has_enough(forward, forward->part_count - forward->lost)) {
		forward_refuse(forward,
			       has_run_somewhere(forward) ? FORWARD_TOO_FEW : FORWARD_NO_SEARCHER,
			       now_us);
		return true;
	}
	if (!all && (now_us < forward->partial_us || !has_enough(forward, forward->answered)))
		return false;
	gather_answer(forward, now_us);
	return true;
}

/* ---- single targets ---- */

static void single_hand_on(forward_t *forward, uint64_t now_us)
{
	forward_answer_t answer = {.end = FORWARD_ANSWERED, .reply = forward->parts[0].reply};

	forward_finish(forward, &answer, now_us);
}

/* True when the request is over. */
static bool single_settle(forward_t *forward, uint64_t now_us)
{
	part_t *part = &forward->parts[0];

	if (part->state == PART_ANSWERED) {
		single_hand_on(forward, now_us);
		return true;
	}
	if (part->state != PART_LOST)
		return false;
	if (part->reply && part->reply->end == SUB_FAILED)
		single_hand_on(forward, now_us);
	else if (part->unknown)
		forward_refuse(forward, FORWARD_FAILED, now_us);
	else
		forward_refuse(forward, part->refusals ? FORWARD_REJECTED : FORWARD_NO_SEARCHER,
			       now_us);
	return true;
}

static bool forward_settle(forward_t *forward, uint64_t now_us)
{
	return forward->route->gathers ? gather_settle(forward, now_us)
				       : single_settle(forward, now_us);
}

/* ---- time ---- */

static void forward_arm(forward_t *forward, uint64_t now_us)
{
	uint64_t next_us = forward->deadline_us;

	if (forward->partial_us > now_us)
		next_us = MIN(next_us, forward->partial_us);
	for (uint32_t i = 0; i < forward->part_count; i++) {
		const part_t *part = &forward->parts[i];

		if (part->state == PART_SENT && part->hedge_us)
			next_us = MIN(next_us, part->hedge_us);
	}
	timers_set(&forward->forwarder->timers, &forward->timer, next_us);
}

/* Whether to send once more now; else sets when to look again. */
static bool is_hedge_due(part_t *part, const searcher_t *searcher, uint64_t now_us)
{
	const retry_bound_t *bound = registry_bound(part->forward->forwarder->registry);
	double left = retry_budget_left(&part->pool->budget, bound, RETRY_FOR_SPEED, now_us);
	uint64_t late_us;

	if (left >= HEDGE_SPARING_BELOW)
		return true;
	late_us = hedge_late_us(part->forward, placement_cost_us(searcher, part->pool, now_us));
	if (now_us >= late_us)
		return left >= 1;
	part->hedge_us = late_us;
	return false;
}

static void part_hedge(part_t *part, uint64_t now_us)
{
	forwarder_t *forwarder = part->forward->forwarder;
	const retry_bound_t *bound = registry_bound(forwarder->registry);
	searcher_t *searcher;

	part->hedge_us = 0;
	if (!may_run_again(part))
		return;
	searcher = placement_choose(part->pool, part->asked, forwarder->rand, now_us);
	if (searcher && is_hedge_due(part, searcher, now_us) &&
	    retry_budget_take(&part->pool->budget, bound, RETRY_FOR_SPEED, now_us))
		part_send(part, searcher, SUB_HEDGE, now_us);
	else if (!part->hedge_us)
		part->hedge_us = now_us + HEDGE_AGAIN_US;
}

static void forward_timeout(forward_t *forward, uint64_t now_us)
{
	if (forward->route->gathers && has_enough(forward, forward->answered)) {
		gather_answer(forward, now_us);
		return;
	}
	forward_refuse(forward, has_run_somewhere(forward) ? FORWARD_TIMEOUT : FORWARD_FULL,
		       now_us);
}

static void forward_tick(void *ctx, uint64_t now_us)
{
	forward_t *forward = ctx;

	if (now_us >= forward->deadline_us) {
		forward_timeout(forward, now_us);
		return;
	}
	if (forward_settle(forward, now_us))
		return;
	for (uint32_t i = 0; i < forward->part_count; i++) {
		part_t *part = &forward->parts[i];

		if (part->state == PART_SENT && part->hedge_us && part->hedge_us <= now_us)
			part_hedge(part, now_us);
	}
	forward_arm(forward, now_us);
}

uint64_t forward_left_us(const forward_t *forward, uint64_t now_us)
{
	return forward->deadline_us > now_us ? forward->deadline_us - now_us : 0;
}

/* ---- replies ---- */

static void measure(forwarder_t *forwarder, sub_t *sub, const sub_reply_t *reply, uint64_t now_us)
{
	uint64_t took_us = now_us - sub->sending.sent_us;

	forwarder->counters.sub_ends[reply->end]++;
	switch (reply->end) {
	case SUB_ANSWERED:
		searcher_note_answer(sub->searcher, took_us, now_us);
		quantile_add(&sub->pool->typical, took_us);
		if (sub->forward)
			quantile_add(&sub->forward->state->typical, took_us);
		break;
	case SUB_NOT_RUN:
		searcher_note_refusal(sub->searcher, now_us);
		break;
	case SUB_REPLACED:
		registry_note_replaced(forwarder->registry, sub->searcher);
		break;
	default:
		searcher_note_failure(sub->searcher, now_us);
	}
}

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

static void part_failed(part_t *part, sub_reply_t *reply, uint64_t now_us)
{
	sub_end_t end = reply->end;

	if (has_not_run(end)) {
		part->runs--;
		part->refusals++;
	}
	part->unknown = part->unknown || end == SUB_UNKNOWN;
	sub_reply_free(part->reply);
	part->reply = reply;
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

static void take_reply(sub_t *sub, sub_reply_t *reply, uint64_t now_us)
{
	forward_t *forward = sub->forward;
	part_t *part = &forward->parts[sub->part];

	g_ptr_array_remove_fast(part->out, sub);
	if (part->state != PART_SENT) {
		sub_reply_free(reply);
		return;
	}
	if (reply->end == SUB_ANSWERED)
		part_answered(part, reply);
	else
		part_failed(part, reply, now_us);
	if (!forward_settle(forward, now_us) && reply->end != SUB_ANSWERED)
		forward_arm(forward, now_us);
}

void forwarder_sub_ended(forwarder_t *forwarder, sub_t *sub, sub_reply_t *reply, uint64_t now_us)
{
	pool_t *pool = sub->pool;

	measure(forwarder, sub, reply, now_us);
	/* Out of the searcher's queue first: a retry must see its load as it is. */
	if (sub->forward)
		take_reply(sub, reply, now_us);
	else
		sub_reply_free(reply);
	sub_free(sub);
	forwarder_room(forwarder, pool->service, now_us);
}

void forwarder_room(forwarder_t *forwarder, const char *service, uint64_t now_us)
{
	pool_t *pool = registry_pool(forwarder->registry, service);
	GList *item = pool->waiting.head;

	while (item) {
		part_t *part = item->data;
		searcher_t *searcher = placement_choose(pool, part->asked, forwarder->rand, now_us);

		item = item->next;
		if (!searcher) {
			if (!part->asked)
				return;
			continue;
		}
		part_unqueue(part);
		part_send(part, searcher, part->refusals || part->runs ? SUB_RETRY : SUB_FIRST,
			  now_us);
		forward_arm(part->forward, now_us);
	}
}

/* ---- requests ---- */

/* The target furthest behind its share: exact over any stretch of requests. */
static uint32_t split_choose(forwarder_t *forwarder, forward_t *forward)
{
	const GArray *targets = forward->route->targets;
	GArray *credits = forward->state->credits;
	uint32_t best = 0;
	double total = 0;

	if (credits->len != targets->len) {
		g_array_set_size(credits, 0);
		g_array_set_size(credits, targets->len);
		/* VMs that start together must not all begin with the same target. */
		for (guint i = 0; i < targets->len; i++)
			g_array_index(credits, double, i) = g_rand_double(forwarder->rand);
	}
	for (guint i = 0; i < targets->len; i++) {
		double weight = g_array_index(targets, route_target_t, i).weight;

		total += weight;
		g_array_index(credits, double, i) += weight;
		if (g_array_index(credits, double, i) > g_array_index(credits, double, best))
			best = i;
	}
	g_array_index(credits, double, best) -= total;
	return best;
}

static void part_init(forward_t *forward, uint32_t index, const char *service, uint64_t now_us)
{
	part_t *part = &forward->parts[index];

	part->forward = forward;
	part->pool = registry_pool(forward->forwarder->registry, service);
	part->state = PART_WAITING;
	retry_budget_note_request(&part->pool->budget, now_us);
}

static void lay_out_parts(forward_t *forward, uint64_t now_us)
{
	const GArray *targets = forward->route->targets;

	forward->part_count = forward->route->gathers ? targets->len : 1;
	forward->parts = g_new0(part_t, forward->part_count);
	if (!forward->route->gathers) {
		uint32_t chosen = targets->len > 1 ? split_choose(forward->forwarder, forward) : 0;

		part_init(forward, 0, g_array_index(targets, route_target_t, chosen).service,
			  now_us);
		return;
	}
	for (uint32_t i = 0; i < forward->part_count; i++)
		part_init(forward, i, g_array_index(targets, route_target_t, i).service, now_us);
}

static void set_times(forward_t *forward)
{
	const forward_request_t *request = &forward->request;
	const route_t *route = forward->route;
	uint64_t wait_us = request->patience_us ? request->patience_us : PATIENCE_UNKNOWN_US;

	if (route->timeout_us)
		wait_us = MIN(wait_us, route->timeout_us);
	forward->deadline_us =
		request->received_us + (wait_us > 2 * WAY_US ? wait_us - WAY_US : wait_us / 2);
	forward->partial_us =
		request->received_us +
		(route->target_us > 2 * WAY_US ? route->target_us - WAY_US : route->target_us / 2);
}

static void answer_unrouted(forwarder_t *forwarder, const forward_request_t *request, void *owner,
			    forward_end_t end)
{
	forward_t forward = {.forwarder = forwarder, .request = *request, .owner = owner};
	forward_answer_t answer = {.end = end};

	if (end == FORWARD_NOT_READY)
		answer.retry_after_us = RETRY_AFTER_START_US;
	forwarder->counters.ends[end]++;
	forwarder->ops->answer(forwarder->ctx, &forward, &answer);
}

forward_t *forwarder_submit(forwarder_t *forwarder, const forward_request_t *request, void *owner,
			    uint64_t now_us)
{
	const route_t *route;
	forward_t *forward;

	forwarder->counters.requests++;
	if (!forwarder->routing || !registry_is_known(forwarder->registry)) {
		answer_unrouted(forwarder, request, owner, FORWARD_NOT_READY);
		return NULL;
	}
	route = routing_match(forwarder->routing, request->host, request->target);
	if (!route) {
		answer_unrouted(forwarder, request, owner, FORWARD_NO_ROUTE);
		return NULL;
	}
	forward = g_new0(forward_t, 1);
	forward->forwarder = forwarder;
	forward->request = *request;
	forward->owner = owner;
	forward->routing = routing_ref(forwarder->routing);
	forward->route = route;
	forward->state = state_of(forwarder, route);
	forward->timer = (timer_entry_t){.fire = forward_tick, .ctx = forward};
	forwarder->open++;
	set_times(forward);
	lay_out_parts(forward, now_us);
	/* Read late, after a long turn of the loop: a searcher would work for nobody. */
	if (forward_left_us(forward, now_us) == 0) {
		forward_refuse(forward, FORWARD_TOO_LATE, now_us);
		return NULL;
	}
	for (uint32_t i = 0; i < forward->part_count; i++)
		part_start(&forward->parts[i], SUB_FIRST, now_us);
	if (forward_settle(forward, now_us))
		return NULL;
	forward_arm(forward, now_us);
	return forward;
}

void forwarder_abandon(forwarder_t *forwarder, forward_t *forward, uint64_t now_us)
{
	forwarder->counters.left++;
	forward->finished = true;
	release_all(forward, LEFT_US, now_us);
	forward_free(forward);
}
