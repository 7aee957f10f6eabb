/**
 * @file forward_suspect.c
 * An attempt at a request under which searchers have ended: when it is sent to one of them, and
 * when it is put off or refused. See poison.h.
 */
#include "core/forward_private.h"

/* Most trials are over within this; by then their caller is better told when to come back. */
#define HELD_MOST_US 300000
/* What a trial needs of its caller's time: cut short by the deadline, it shows nothing, for its
 * searcher may have been about to end. */
#define TRIAL_LEAST_US 500000
/* Where no caller waits for so long. */
#define TRIAL_LEAST_SHARE 0.75

static poison_verdict_t verdict_of(const forward_t *forward, uint64_t now_us)
{
	return poison_judge(forward->forwarder->poison, forward->request.fingerprint, now_us);
}

/* A part that is in shows that searchers survive it, those of its shard at least: from there on the
 * request is like any other, and the record of its other shards stands. */
bool forward_is_careful(const forward_t *forward, uint64_t now_us)
{
	return !forward->answered && verdict_of(forward, now_us) != POISON_CLEAR;
}

/* That of the shard whose searcher ended last, if it is one of them: an answer of another one would
 * say nothing. */
static part_t *held_part(const forward_t *forward)
{
	const char *service =
		poison_service(forward->forwarder->poison, forward->request.fingerprint);
	part_t *held = NULL;

	for (uint32_t i = 0; i < forward->part_count; i++) {
		part_t *part = &forward->parts[i];

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
			part_go_on(&forward->parts[i], now_us);
}

void forward_lose_held(forward_t *forward)
{
	for (uint32_t i = 0; i < forward->part_count; i++)
		if (part_is_held(&forward->parts[i]))
			part_lose(&forward->parts[i]);
}

static bool has_time_for_trial(const forward_t *forward, uint64_t now_us)
{
	double least_us = MIN(TRIAL_LEAST_US, forward->state->patience_us * TRIAL_LEAST_SHARE);

	return (double)forward_left_us(forward, now_us) >= least_us;
}

static void ask_turn(forward_t *forward, uint64_t now_us)
{
	trial_turn_t turn = poison_turn(forward->forwarder->poison, forward->request.fingerprint,
					has_time_for_trial(forward, now_us), now_us);

	forward->has_trial = turn == TRIAL_GO;
	forward->has_turn = turn == TRIAL_GO || turn == TRIAL_NONE;
	if (!forward->held_from_us)
		forward->held_from_us = now_us;
	if (turn == TRIAL_LATER ||
	    (turn == TRIAL_WAIT && now_us >= forward->held_from_us + HELD_MOST_US))
		forward->has_lost_turn = true;
}

static bool has_claimed(const forward_t *forward)
{
	return forward->has_trial &&
	       poison_is_on_trial(forward->forwarder->poison, forward->request.fingerprint);
}

bool forward_is_on_trial(const part_t *part)
{
	return part->forward->probe == part && has_claimed(part->forward);
}

/*
 * One that was claimed is the only one of its attempt, whatever came of it. One that was answered
 * needs no other: kept to the attempt's end, its turn would end that of whoever has it by then.
 */
void forward_probe_over(forward_t *forward, const trial_end_t *end, uint64_t now_us)
{
	forward->probe = NULL;
	if (!end->ran || !forward->has_trial || (!forward->answered && !has_claimed(forward)))
		return;
	forward->has_turn = forward->has_trial = false;
	poison_trial_over(forward->forwarder->poison, forward->request.fingerprint, end, now_us);
}

/* A searcher that is sent a request without hope of an answer may end for nothing. */
static bool has_hope(const forward_t *forward)
{
	return !forward->route->gathers ||
	       forward_has_enough(forward, forward->part_count - forward->lost);
}

/* Send one held part alone, once it is this attempt's turn. */
static void probe(forward_t *forward, uint64_t now_us)
{
	part_t *part = held_part(forward);
	const candidates_t candidates = part_candidates(part);

	if (forward->probe || placement_all_probed(&candidates))
		return;
	if (!forward->has_turn)
		ask_turn(forward, now_us);
	while (forward->has_turn && !forward->probe && has_hope(forward) &&
	       (part = held_part(forward))) {
		forward->probe = part;
		part_go_on(part, now_us);
	}
}

void forward_go_on_with_held(forward_t *forward, uint64_t now_us)
{
	if (!held_part(forward))
		return;
	if (!forward_is_careful(forward, now_us))
		release_held(forward, now_us);
	else if (!forward->probe && verdict_of(forward, now_us) == POISON_BLOCKED)
		forward_lose_held(forward);
	else
		probe(forward, now_us);
	if (forward->has_lost_turn)
		forward_lose_held(forward);
}

forward_end_t forward_suspect_end(const forward_t *forward, uint64_t now_us)
{
	bool blocked = verdict_of(forward, now_us) == POISON_BLOCKED;

	if ((!blocked && !forward->has_lost_turn) || forward_has_run_somewhere(forward))
		return FORWARD_ENDS;
	return blocked ? FORWARD_BLOCKED : FORWARD_DEFERRED;
}

/* Whether the sub-request that was sent alone is still out. */
static bool has_probe_out(const forward_t *forward)
{
	return forward->probe && forward->probe->out && forward->probe->out->len;
}

void forward_end_trial(const forward_t *forward, uint64_t now_us)
{
	trial_end_t end = {.outcome = "not-sent", .searcher = ""};

	if (has_probe_out(forward)) {
		const sub_t *sub = g_ptr_array_index(forward->probe->out, 0);

		end = (trial_end_t){
			.ran = true, .outcome = "given-up", .searcher = sub->searcher->id};
	}
	poison_trial_over(forward->forwarder->poison, forward->request.fingerprint, &end, now_us);
}
