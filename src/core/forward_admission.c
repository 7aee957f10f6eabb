/**
 * @file forward_admission.c
 * Starts a request as a whole when enough of its shards have room, and refuses it when they will
 * not have any in time. See admission.h.
 */
#include "core/forward_private.h"

/* A request waits at most this share of its target: a caller that is refused sooner can ask again
 * in time. */
#define WAIT_MAX_SHARE 0.25
/* Time from the start to the answer, as a multiple of the latency of a sub-request at little load:
 * a gather takes as long as its slowest part. */
#define ANSWER_FACTOR 1.5
/* Room often comes free within this share of the target. An urgent request with a short target
 * would otherwise be refused while others, which can wait, get the room. */
#define WAIT_MIN_SHARE 0.1
/* A sub-request that takes this many times as long as at little load was queued. On routes whose
 * target is short, a share of the target alone would count searchers as overloaded that are not. */
#define QUEUED_FACTOR 2
/* Latency of a sub-request that counts as late, as a share of the request's target. The slowest
 * part of a gather takes about twice as long as a usual one. */
#define BUDGET_SHARE 0.7
/* Limits below 1 allow the next sub-request after a pause, which no answer announces. */
#define RETRY_INTERVAL_US 5000
/* Routes that are found blocked in one pass. Others are tried again for each request. */
#define BLOCKED_MAX 8

/** One pass over the waiting requests. */
typedef struct start_pass_t {
	uint64_t now_us;
	/* Once a gather that has lost no shard lacks room, so do the others of its route. Requests
	 * with one of several targets may have room at another. */
	const route_t *blocked[BLOCKED_MAX];
	uint32_t blocked_count;
} start_pass_t;

/* Latency of a sub-request of the request's route while the shard's searchers have little to do. */
static double unloaded_us(const forward_part_t *part)
{
	const quantile_t *relative = &part->forward->state->relative_latency;
	double share = relative->value_us > 0 ? relative->value_us / ROUTE_LATENCY_UNIT : 1;

	return placement_unloaded_us(part->pool) * share;
}

uint64_t part_send_budget_us(const forward_part_t *part)
{
	const forward_t *forward = part->forward;
	double target_us = (double)(forward->partial_us - forward->request.received_us);

	if (!forward->route->target_us)
		return UINT64_MAX;
	return (uint64_t)MAX(BUDGET_SHARE * target_us, QUEUED_FACTOR * unloaded_us(part));
}

bool forward_is_admission_controlled(const forward_t *forward)
{
	return forward->forwarder->admission && forward->forwarder->overload.active &&
	       forward->route->target_us;
}

static bool has_room(const forward_part_t *part, uint64_t now_us)
{
	const candidates_t candidates = part_candidates(part);

	/* Parts of requests that have started go first. */
	return part->state == PART_WAITING && !part->pool->waiting.length &&
	       placement_has_capacity(&candidates, now_us);
}

/* Whether so many shards have room that the request reaches its coverage. */
static bool can_start(const forward_t *forward, uint64_t now_us)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < forward->part_count; i++)
		count += has_room(&forward->parts[i], now_us);
	return forward->route->gathers ? forward_has_enough(forward, count) : count > 0;
}

/* A caller that asks again has waited before: it waits for less than callers of the route do. */
static double waited_before_us(const forward_t *forward)
{
	double patience_us = (double)forward->request.patience_us;

	return patience_us > 0 ? MAX(forward->state->patience_us - patience_us, 0) : 0;
}

static double longest_unloaded_us(const forward_t *forward)
{
	double longest = 0;

	for (uint32_t i = 0; i < forward->part_count; i++)
		longest = MAX(longest, unloaded_us(&forward->parts[i]));
	return longest;
}

/* The latest start that is of use to the caller. */
static uint64_t start_by_us(const forward_t *forward)
{
	double target_us = (double)(forward->partial_us - forward->request.received_us);
	double left_us = target_us - waited_before_us(forward) -
			 ANSWER_FACTOR * longest_unloaded_us(forward);
	double wait_us = MIN(WAIT_MAX_SHARE * target_us, left_us);
	double least_us = WAIT_MIN_SHARE * target_us;

	if (waited_before_us(forward) < least_us)
		wait_us = MAX(wait_us, least_us);
	return forward->request.received_us + (uint64_t)wait_us;
}

/* The first shard without room beyond those that the coverage allows to miss; NULL: none. */
static const char *find_short_shard(const forward_t *forward, uint64_t now_us)
{
	uint32_t with_room = forward->part_count;

	for (uint32_t i = 0; i < forward->part_count; i++) {
		if (has_room(&forward->parts[i], now_us))
			continue;
		if (!forward_has_enough(forward, --with_room))
			return forward->parts[i].pool->service;
	}
	return NULL;
}

void forward_note_refused(forward_t *forward, uint64_t now_us)
{
	forwarder_counters_t *counters = &forward->forwarder->counters;
	const admission_entry_t *entry = &forward->admission;

	forward->refusal = (forward_refusal_t){.by_admission = true,
					       .shard = find_short_shard(forward, now_us),
					       .tenant = entry->tenant,
					       .rank = entry->rank,
					       .waited_us = now_us - entry->arrived_us};
	counters->admission_refused[MIN(entry->rank, ADMISSION_RANKS_COUNTED - 1)]++;
	counters->admission_expired += forward->refusal.waited_us > 0;
}

static void refuse(forward_t *forward, uint64_t now_us)
{
	forward_note_refused(forward, now_us);
	forward_refuse(forward, FORWARD_FULL, now_us);
}

static void refuse_entry(admission_entry_t *entry, uint64_t now_us)
{
	refuse(entry->owner, now_us);
}

static admission_verdict_t offer(forward_t *forward, uint64_t now_us)
{
	admission_t *admission = forward->forwarder->admission;
	admission_entry_t *entry = &forward->admission, *displaced;
	bool room = can_start(forward, now_us);
	admission_verdict_t verdict = admission_offer(admission, entry, room, now_us);

	if (verdict != ADMISSION_REFUSE ||
	    !(displaced = admission_displaced(admission, entry, now_us)))
		return verdict;
	refuse_entry(displaced, now_us);
	return admission_offer(admission, entry, room, now_us);
}

admission_verdict_t forward_admit(forward_t *forward, uint64_t now_us)
{
	const tenant_t *tenant = forward->tenant;
	forwarder_t *forwarder = forward->forwarder;
	admission_verdict_t verdict;

	forward->admission =
		(admission_entry_t){.rank = forward_rank(forward),
				    .tenant = tenant ? tenant->name : NULL,
				    .weight = tenant_has_quota(tenant) ? tenant->rate_per_s : 1,
				    .parts = forward->part_count,
				    .arrived_us = now_us,
				    .start_by_us = start_by_us(forward),
				    .deadline_us = forward->deadline_us,
				    .owner = forward};
	verdict = offer(forward, now_us);
	if (verdict != ADMISSION_START)
		overload_note_shortage(&forwarder->overload, now_us);
	if (verdict == ADMISSION_REFUSE) {
		refuse(forward, now_us);
	} else if (verdict == ADMISSION_START) {
		forwarder->counters.admission_started++;
	} else {
		forward_set_timer(forward, now_us);
		timers_set(&forwarder->timers, &forwarder->admission_timer, now_us);
	}
	return verdict;
}

static bool is_blocked(const start_pass_t *pass, const forward_t *forward)
{
	for (uint32_t i = 0; i < pass->blocked_count; i++)
		if (pass->blocked[i] == forward->route)
			return true;
	return false;
}

/* Whether all requests of the route lack room if this one does. */
static bool stands_for_route(const forward_t *forward)
{
	uint32_t targets = forward->route->gathers ? 1 : forward->route->targets->len;

	return targets == 1 && !forward->lost && !forward_is_bound(forward);
}

static bool entry_can_start(void *ctx, admission_entry_t *entry)
{
	start_pass_t *pass = ctx;
	const forward_t *forward = entry->owner;

	if (is_blocked(pass, forward))
		return false;
	if (can_start(forward, pass->now_us))
		return true;
	if (stands_for_route(forward) && pass->blocked_count < BLOCKED_MAX)
		pass->blocked[pass->blocked_count++] = forward->route;
	return false;
}

static void set_timer(forwarder_t *forwarder, uint64_t now_us)
{
	uint64_t next_us = MIN(admission_next_us(forwarder->admission), now_us + RETRY_INTERVAL_US);

	if (admission_waiting(forwarder->admission))
		timers_set(&forwarder->timers, &forwarder->admission_timer, MAX(next_us, now_us));
	else
		timers_cancel(&forwarder->timers, &forwarder->admission_timer);
}

void forwarder_start_waiting(forwarder_t *forwarder, uint64_t now_us)
{
	start_pass_t pass = {.now_us = now_us};
	admission_entry_t *entry;

	if (!forwarder->admission || !admission_waiting(forwarder->admission))
		return;
	while ((entry = admission_next(forwarder->admission, entry_can_start, &pass, now_us))) {
		forwarder->counters.admission_started++;
		forward_start(entry->owner, now_us);
	}
	while ((entry = admission_expired(forwarder->admission, now_us)))
		refuse_entry(entry, now_us);
	set_timer(forwarder, now_us);
}

static void on_timer(void *ctx, uint64_t now_us)
{
	forwarder_start_waiting(ctx, now_us);
}

overload_t *forwarder_overload(forwarder_t *forwarder)
{
	return &forwarder->overload;
}

void forwarder_enable_admission(forwarder_t *forwarder)
{
	forwarder->admission = admission_new();
	forwarder->admission_timer = (timer_entry_t){.fire = on_timer, .ctx = forwarder};
}

const admission_t *forwarder_admission(const forwarder_t *forwarder)
{
	return forwarder->admission;
}
