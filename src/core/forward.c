/**
 * @file forward.c
 * Carries one request to its answer. See forward.h.
 */
#include "core/forward_private.h"

#include "core/retry_after.h"
#include "core/top_records.h"

/* After the answer, the request's other sub-requests are cancelled only after this time. Most end
 * by themselves before, as a searcher's pause is over after 200 ms, and then their connections are
 * kept. */
#define UNNEEDED_CANCEL_US 700000

/* ---- answers and clean-up ---- */

void forward_release(forward_t *forward, uint64_t within_us, uint64_t now_us)
{
	for (uint32_t i = 0; i < forward->part_count; i++) {
		forward_part_t *part = &forward->parts[i];

		part_unqueue(part);
		for (guint j = 0; part->in_flight && j < part->in_flight->len; j++)
			subrequest_release(g_ptr_array_index(part->in_flight, j), within_us,
					   now_us);
	}
}

void forward_free(forward_t *forward, uint64_t now_us)
{
	if (forward->has_trial)
		forward_end_trial(forward, now_us);
	timers_cancel(&forward->forwarder->timers, &forward->timer);
	if (forward->admission.queued)
		admission_withdraw(forward->forwarder->admission, &forward->admission);
	for (uint32_t i = 0; i < forward->part_count; i++) {
		forward_part_t *part = &forward->parts[i];

		if (part->tried) {
			g_ptr_array_unref(part->tried);
			g_ptr_array_unref(part->in_flight);
		}
		sub_reply_free(part->reply);
	}
	g_free(forward->parts);
	routing_unref(forward->routing);
	g_queue_unlink(&forward->forwarder->open, &forward->link);
	g_free(forward);
}

static void forward_finish(forward_t *forward, forward_answer_t *answer, uint64_t now_us)
{
	forwarder_t *forwarder = forward->forwarder;

	if (forward->finished)
		return;
	forward->finished = true;
	/* An answered caller may ask again at once: the request must not be started by that. */
	if (forward->admission.queued)
		admission_withdraw(forwarder->admission, &forward->admission);
	forwarder->counters.outcomes[answer->outcome]++;
	latency_buckets_add(&forward->state->latency, now_us - forward->request.received_us);
	forward_release(forward, UNNEEDED_CANCEL_US, now_us);
	forwarder->ops->answer(forwarder->ctx, forward, answer);
	forward_free(forward, now_us);
}

bool forward_may_have_run(const forward_t *forward)
{
	for (uint32_t i = 0; i < forward->part_count; i++) {
		const forward_part_t *part = &forward->parts[i];

		if (part->outcome_unknown || (part->in_flight && part->in_flight->len) ||
		    part->state == PART_ANSWERED ||
		    (part->reply && part->reply->outcome == SUB_FAILED))
			return true;
	}
	return false;
}

static uint64_t caller_retry_us(const forward_t *forward, missing_resource_t missing,
				uint64_t now_us)
{
	return retry_after_us(missing, forward_time_left_us(forward, now_us),
			      registry_is_store_unreachable(forward->forwarder->registry));
}

static uint64_t full_retry_us(const forward_t *forward, uint64_t now_us)
{
	if (!forward_is_admission_controlled(forward))
		return caller_retry_us(forward, MISSING_CAPACITY, now_us);
	return admission_retry_after_us(forward->forwarder->admission,
					forward_time_left_us(forward, now_us), now_us);
}

void forward_refuse(forward_t *forward, forward_outcome_t outcome, uint64_t now_us)
{
	forward_answer_t answer = {.outcome = outcome};

	/* Its deadline may come before admission_expired() returns it. */
	if (outcome == FORWARD_FULL && forward->admission.queued)
		forward_note_refused(forward, now_us);
	answer.refusal = forward->refusal;
	if (outcome == FORWARD_NO_SEARCHER)
		answer.retry_after_us = caller_retry_us(forward, MISSING_SEARCHERS, now_us);
	else if (outcome == FORWARD_BLOCKED)
		answer.retry_after_us = poison_note_refused(forward->forwarder->poison,
							    forward->request.fingerprint, now_us);
	else if (outcome == FORWARD_DEFERRED)
		answer.retry_after_us = poison_retry_delay_us(forward->forwarder->poison,
							      forward->request.fingerprint, now_us);
	else if (outcome == FORWARD_FULL)
		answer.retry_after_us = full_retry_us(forward, now_us);
	else if (outcome == FORWARD_TOO_LATE || outcome == FORWARD_REJECTED)
		answer.retry_after_us = caller_retry_us(forward, MISSING_CAPACITY, now_us);
	else if (outcome == FORWARD_SHUTTING_DOWN)
		answer.retry_after_us = caller_retry_us(forward, MISSING_VM, now_us);
	forward_finish(forward, &answer, now_us);
}

uint32_t forward_rank(const forward_t *forward)
{
	const tenant_t *tenant = forward->tenant;

	return tenant && tenant->has_rank ? tenant->rank : forward->route->rank;
}

bool forward_is_bound(const forward_t *forward)
{
	return forward->route->regions || (forward->tenant && forward->tenant->regions);
}

/* ---- gathers ---- */

bool forward_has_enough(const forward_t *forward, uint32_t parts)
{
	return parts > 0 && parts >= forward->route->min_coverage * forward->part_count - 1e-9;
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
	forward_answer_t answer = {.outcome = FORWARD_ANSWERED,
				   .stamps = stamps,
				   .records = records,
				   .parts = forward->part_count,
				   .missing = forward->part_count - forward->answered};

	for (uint32_t i = 0; i < forward->part_count; i++) {
		const forward_part_t *part = &forward->parts[i];

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

/* Returns true if the request is over. */
static bool gather_try_answer(forward_t *forward, uint64_t now_us)
{
	bool all = forward->answered + forward->lost == forward->part_count;

	if (!forward_has_enough(forward, forward->part_count - forward->lost)) {
		forward_refuse(forward,
			       forward_may_have_run(forward) ? FORWARD_TOO_FEW
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

static void single_answer(forward_t *forward, uint64_t now_us)
{
	forward_answer_t answer = {.outcome = FORWARD_ANSWERED, .reply = forward->parts[0].reply};

	forward_finish(forward, &answer, now_us);
}

forward_outcome_t forward_no_room_outcome(const forward_t *forward)
{
	return forward->ends_at_stop ? FORWARD_SHUTTING_DOWN : FORWARD_FULL;
}

/* Why a part that no searcher ran is lost. */
static forward_outcome_t unsent_outcome(const forward_part_t *part)
{
	if (part->queue_too_long)
		return forward_no_room_outcome(part->forward);
	return part->refusals ? FORWARD_REJECTED : FORWARD_NO_SEARCHER;
}

/* Returns true if the request is over. */
static bool single_try_answer(forward_t *forward, uint64_t now_us)
{
	forward_part_t *part = &forward->parts[0];

	if (part->state == PART_ANSWERED) {
		note_served(forward, now_us);
		single_answer(forward, now_us);
		return true;
	}
	if (part->state != PART_LOST)
		return false;
	if (part->reply && part->reply->outcome == SUB_FAILED)
		single_answer(forward, now_us);
	else if (part->outcome_unknown)
		forward_refuse(forward, FORWARD_FAILED, now_us);
	else
		forward_refuse(forward, unsent_outcome(part), now_us);
	return true;
}

bool forward_try_answer(forward_t *forward, uint64_t now_us)
{
	return forward->route->gathers ? gather_try_answer(forward, now_us)
				       : single_try_answer(forward, now_us);
}

/* ---- after each event ---- */

bool forward_advance(forward_t *forward, uint64_t now_us)
{
	forward_outcome_t outcome;

	if (forward_try_answer(forward, now_us))
		return true;
	forward_resume_held(forward, now_us);
	outcome = forward_suspect_outcome(forward, now_us);
	if (outcome != FORWARD_OUTCOMES) {
		forward_refuse(forward, outcome, now_us);
		return true;
	}
	if (forward_try_answer(forward, now_us))
		return true;
	forward_set_timer(forward, now_us);
	return false;
}

/* ---- timers ---- */

/* When to check again whether held parts may be sent: after a searcher has closed connections, a
 * round trip shows whether it still listens. */
#define HELD_RECHECK_US 5000

void forward_set_timer(forward_t *forward, uint64_t now_us)
{
	uint64_t next_us = forward->deadline_us;

	if (forward->partial_us > now_us)
		next_us = MIN(next_us, forward->partial_us);
	for (uint32_t i = 0; i < forward->part_count; i++) {
		const forward_part_t *part = &forward->parts[i];

		if (part->state == PART_SENT && part->hedge_us)
			next_us = MIN(next_us, part->hedge_us);
		if (part_is_held(part))
			next_us = MIN(next_us, now_us + HELD_RECHECK_US);
	}
	timers_set(&forward->forwarder->timers, &forward->timer, next_us);
}

static void forward_timeout(forward_t *forward, uint64_t now_us)
{
	if (forward->route->gathers && forward_has_enough(forward, forward->answered)) {
		gather_answer(forward, now_us);
		return;
	}
	if (forward_may_have_run(forward))
		forward_refuse(forward, FORWARD_TIMEOUT, now_us);
	else
		forward_refuse(forward, forward_no_room_outcome(forward), now_us);
}

void forward_on_timer(void *ctx, uint64_t now_us)
{
	forward_t *forward = ctx;

	if (now_us >= forward->deadline_us) {
		forward_timeout(forward, now_us);
		return;
	}
	if (forward_try_answer(forward, now_us))
		return;
	for (uint32_t i = 0; i < forward->part_count; i++) {
		forward_part_t *part = &forward->parts[i];

		if (part->state == PART_SENT && part->hedge_us && part->hedge_us <= now_us)
			part_hedge(part, now_us);
	}
	forward_advance(forward, now_us);
}

uint64_t forward_time_left_us(const forward_t *forward, uint64_t now_us)
{
	return forward->deadline_us > now_us ? forward->deadline_us - now_us : 0;
}
