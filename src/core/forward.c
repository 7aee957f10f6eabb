/**
 * @file forward.c
 * One request on its way to its answer. See forward.h.
 */
#include "core/forward_private.h"

#include "core/retry_after.h"
#include "core/top_records.h"

/* An answered request's other sub-requests end by themselves in most cases, which keeps the
 * connection: a pause is over after 200 ms. */
#define UNNEEDED_US 700000

/* ---- the end of a request ---- */

void forward_release(forward_t *forward, uint64_t within_us, uint64_t now_us)
{
	for (uint32_t i = 0; i < forward->part_count; i++) {
		part_t *part = &forward->parts[i];

		part_unqueue(part);
		for (guint j = 0; part->out && j < part->out->len; j++)
			sub_release(g_ptr_array_index(part->out, j), within_us, now_us);
	}
}

void forward_free(forward_t *forward, uint64_t now_us)
{
	if (forward->has_trial)
		forward_end_trial(forward, now_us);
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
	latency_buckets_add(&forward->state->latency, now_us - forward->request.received_us);
	forward_release(forward, UNNEEDED_US, now_us);
	forwarder->ops->answer(forwarder->ctx, forward, answer);
	forward_free(forward, now_us);
}

bool forward_has_run_somewhere(const forward_t *forward)
{
	for (uint32_t i = 0; i < forward->part_count; i++) {
		const part_t *part = &forward->parts[i];

		if (part->unknown || (part->out && part->out->len) ||
		    part->state == PART_ANSWERED || (part->reply && part->reply->end == SUB_FAILED))
			return true;
	}
	return false;
}

static uint64_t come_back_us(const forward_t *forward, lack_t lack, uint64_t now_us)
{
	return retry_after_us(lack, forward_left_us(forward, now_us),
			      registry_is_store_unreachable(forward->forwarder->registry));
}

void forward_refuse(forward_t *forward, forward_end_t end, uint64_t now_us)
{
	forward_answer_t answer = {.end = end};

	if (end == FORWARD_NO_SEARCHER)
		answer.retry_after_us = come_back_us(forward, LACK_SEARCHERS, now_us);
	else if (end == FORWARD_BLOCKED)
		answer.retry_after_us = poison_note_refused(forward->forwarder->poison,
							    forward->request.fingerprint, now_us);
	else if (end == FORWARD_DEFERRED)
		answer.retry_after_us = poison_retry_us(forward->forwarder->poison,
							forward->request.fingerprint, now_us);
	else if (end == FORWARD_TOO_LATE || end == FORWARD_FULL || end == FORWARD_REJECTED)
		answer.retry_after_us = come_back_us(forward, LACK_ROOM, now_us);
	forward_finish(forward, &answer, now_us);
}

/* ---- gathers ---- */

bool forward_has_enough(const forward_t *forward, uint32_t parts)
{
	return parts > 0 && parts >= forward->route->coverage_least * forward->part_count - 1e-9;
}

static void note_served(const forward_t *forward, uint64_t now_us)
{
	poison_note_served(forward->forwarder->poison, forward->request.fingerprint, now_us);
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
	if (!answer.missing)
		note_served(forward, now_us);
	forward_finish(forward, &answer, now_us);
}

/* True when the request is over. */
static bool gather_settle(forward_t *forward, uint64_t now_us)
{
	bool all = forward->answered + forward->lost == forward->part_count;

	if (!forward_has_enough(forward, forward->part_count - forward->lost)) {
		forward_refuse(forward,
			       forward_has_run_somewhere(forward) ? FORWARD_TOO_FEW
								  : FORWARD_NO_SEARCHER,
			       now_us);
		return true;
	}
	if (!all &&
	    (now_us < forward->partial_us || !forward_has_enough(forward, forward->answered)))
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

/* Why a part that ran nowhere is lost. */
static forward_end_t unsent_end(const part_t *part)
{
	if (part->crowded)
		return FORWARD_FULL;
	return part->refusals ? FORWARD_REJECTED : FORWARD_NO_SEARCHER;
}

/* True when the request is over. */
static bool single_settle(forward_t *forward, uint64_t now_us)
{
	part_t *part = &forward->parts[0];

	if (part->state == PART_ANSWERED) {
		note_served(forward, now_us);
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
		forward_refuse(forward, unsent_end(part), now_us);
	return true;
}

bool forward_settle(forward_t *forward, uint64_t now_us)
{
	return forward->route->gathers ? gather_settle(forward, now_us)
				       : single_settle(forward, now_us);
}

/* ---- after each step ---- */

bool forward_go_on(forward_t *forward, uint64_t now_us)
{
	forward_end_t end;

	if (forward_settle(forward, now_us))
		return true;
	forward_go_on_with_held(forward, now_us);
	end = forward_suspect_end(forward, now_us);
	if (end != FORWARD_ENDS) {
		forward_refuse(forward, end, now_us);
		return true;
	}
	if (forward_settle(forward, now_us))
		return true;
	forward_arm(forward, now_us);
	return false;
}

/* ---- time ---- */

/* Whether searchers still listen that broke connections is known within a round trip; then parts
 * that were held back for it may go. */
#define HELD_US 5000

void forward_arm(forward_t *forward, uint64_t now_us)
{
	uint64_t next_us = forward->deadline_us;

	if (forward->partial_us > now_us)
		next_us = MIN(next_us, forward->partial_us);
	for (uint32_t i = 0; i < forward->part_count; i++) {
		const part_t *part = &forward->parts[i];

		if (part->state == PART_SENT && part->hedge_us)
			next_us = MIN(next_us, part->hedge_us);
		if (part_is_held(part))
			next_us = MIN(next_us, now_us + HELD_US);
	}
	timers_set(&forward->forwarder->timers, &forward->timer, next_us);
}

static void forward_timeout(forward_t *forward, uint64_t now_us)
{
	if (forward->route->gathers && forward_has_enough(forward, forward->answered)) {
		gather_answer(forward, now_us);
		return;
	}
	forward_refuse(forward, forward_has_run_somewhere(forward) ? FORWARD_TIMEOUT : FORWARD_FULL,
		       now_us);
}

void forward_tick(void *ctx, uint64_t now_us)
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
	forward_go_on(forward, now_us);
}

uint64_t forward_left_us(const forward_t *forward, uint64_t now_us)
{
	return forward->deadline_us > now_us ? forward->deadline_us - now_us : 0;
}
