/**
 * @file forward_suspect.c
 * Forwarding of suspect requests: when an attempt is sent to a searcher, and when it is deferred or
 * rejected. See poison.h.
 */
#include "core/forward_private.h"

/* An attempt is held back for at most this long. Most trials finish within it; after that it is
 * better to tell the caller when to retry. */
#define MAX_TRIAL_HOLD_US 300000
/* Minimum time left until the caller's deadline for a trial. A trial cut short by the deadline is
 * inconclusive, because the searcher may have been about to crash. */
#define MIN_TRIAL_US 500000
/* The same as a share of the route's caller timeout, where no caller waits that long. */
#define MIN_TRIAL_SHARE 0.75

static poison_verdict_t verdict_of(const forward_t *forward, uint64_t now_us)
{
	return poison_check(forward->forwarder->poison, forward->request.fingerprint, now_us);
}

/* An answered part shows that searchers survive the request, at least those of its shard. From then
 * on the request is forwarded like any other; its record for other shards is kept. */
bool forward_is_suspect(const forward_t *forward, uint64_t now_us)
{
	return !forward->answered && verdict_of(forward, now_us) != POISON_CLEAR;
}

/* Prefers the held-back part of the shard whose searcher crashed last: an answer from another shard
 * would prove nothing. */
static forward_part_t *held_part(const forward_t *forward)
{
	const char *service =
		poison_last_service(forward->forwarder->poison, forward->request.fingerprint);
	forward_part_t *held = NULL;

	for (uint32_t i = 0; i < forward->part_count; i++) {
		forward_part_t *part = &forward->parts[i];

		if (!part_is_held(part))
			continue;
		if (service && g_str_equal(part->pool->service, service))
			return part;
		if (!held)
			held = part;
	}
	return held;
}

static void release_held(forward_t *forward, uint64_t now_us)
{
	for (uint32_t i = 0; i < forward->part_count; i++)
		if (part_is_held(&forward->parts[i]))
			part_resume(&forward->parts[i], now_us);
}

void forward_lose_held_parts(forward_t *forward)
{
	for (uint32_t i = 0; i < forward->part_count; i++)
		if (part_is_held(&forward->parts[i]))
			part_lose(&forward->parts[i]);
}

static bool has_time_for_trial(const forward_t *forward, uint64_t now_us)
{
	double min_us = MIN(MIN_TRIAL_US, forward->state->patience_us * MIN_TRIAL_SHARE);

	return (double)forward_time_left_us(forward, now_us) >= min_us;
}

static void request_send_permission(forward_t *forward, uint64_t now_us)
{
	trial_decision_t decision =
		poison_decide(forward->forwarder->poison, forward->request.fingerprint,
			      has_time_for_trial(forward, now_us), now_us);

	forward->has_trial = decision == TRIAL_BEGIN;
	forward->has_turn = decision == TRIAL_BEGIN || decision == TRIAL_NOT_NEEDED;
	if (!forward->held_from_us)
		forward->held_from_us = now_us;
	if (decision == TRIAL_RETRY_LATER ||
	    (decision == TRIAL_WAIT && now_us >= forward->held_from_us + MAX_TRIAL_HOLD_US))
		forward->has_lost_turn = true;
}

static bool has_claimed_trial(const forward_t *forward)
{
	return forward->has_trial &&
	       poison_has_claimed_trial(forward->forwarder->poison, forward->request.fingerprint);
}

bool forward_is_on_trial(const forward_part_t *part)
{
	return part->forward->probe == part && has_claimed_trial(part->forward);
}

/*
 * A claimed trial is the only one of its attempt, whatever its result. An answered trial needs no
 * further one: if the attempt kept its permission to send until its end, that end would finish the
 * trial of another attempt which has the permission by then.
 */
void forward_probe_ended(forward_t *forward, const trial_result_t *end, uint64_t now_us)
{
	forward->probe = NULL;
	if (!end->ran || !forward->has_trial || (!forward->answered && !has_claimed_trial(forward)))
		return;
	forward->has_turn = forward->has_trial = false;
	poison_trial_finished(forward->forwarder->poison, forward->request.fingerprint, end,
			      now_us);
}

/* Sending a request that cannot reach its coverage any more would risk a searcher for nothing. */
static bool can_reach_coverage(const forward_t *forward)
{
	return !forward->route->gathers ||
	       forward_has_enough(forward, forward->part_count - forward->lost);
}

/* Sends one held-back part alone once this attempt has permission to send. */
static void probe(forward_t *forward, uint64_t now_us)
{
	forward_part_t *part = held_part(forward);
	const candidates_t candidates = part_candidates(part);

	if (forward->probe || placement_all_probed(&candidates))
		return;
	if (!forward->has_turn)
		request_send_permission(forward, now_us);
	while (forward->has_turn && !forward->probe && can_reach_coverage(forward) &&
	       (part = held_part(forward))) {
		forward->probe = part;
		part_resume(part, now_us);
	}
}

void forward_resume_held(forward_t *forward, uint64_t now_us)
{
	if (!held_part(forward))
		return;
	if (!forward_is_suspect(forward, now_us))
		release_held(forward, now_us);
	else if (!forward->probe && verdict_of(forward, now_us) == POISON_BLOCKED)
		forward_lose_held_parts(forward);
	else
		probe(forward, now_us);
	if (forward->has_lost_turn)
		forward_lose_held_parts(forward);
}

forward_outcome_t forward_suspect_outcome(const forward_t *forward, uint64_t now_us)
{
	bool blocked = verdict_of(forward, now_us) == POISON_BLOCKED;

	if ((!blocked && !forward->has_lost_turn) || forward_may_have_run(forward))
		return FORWARD_OUTCOMES;
	return blocked ? FORWARD_BLOCKED : FORWARD_DEFERRED;
}

/* Whether the sub-request that was sent alone is still in flight. */
static bool has_probe_out(const forward_t *forward)
{
	return forward->probe && forward->probe->in_flight && forward->probe->in_flight->len;
}

void forward_end_trial(const forward_t *forward, uint64_t now_us)
{
	trial_result_t result = {.outcome = "not-sent", .searcher = ""};

	if (has_probe_out(forward)) {
		const subrequest_t *sub = g_ptr_array_index(forward->probe->in_flight, 0);

		result = (trial_result_t){
			.ran = true, .outcome = "given-up", .searcher = sub->searcher->id};
	}
	poison_trial_finished(forward->forwarder->poison, forward->request.fingerprint, &result,
			      now_us);
}
