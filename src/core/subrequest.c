/**
 * @file subrequest.c
 * A sub-request and its reply. See forward.h.
 */
#include "core/forward_private.h"

/* A timer that fires this late means that this VM was suspended, not that the searcher hangs. */
#define LATE_TIMER_US 50000

const char *sub_outcome_name(sub_outcome_t outcome)
{
	static const char *const names[] = {
		[SUB_ANSWERED] = "answered", [SUB_FAILED] = "failed",	  [SUB_NOT_RUN] = "not-run",
		[SUB_REPLACED] = "replaced", [SUB_NOT_SENT] = "not-sent", [SUB_UNKNOWN] = "unknown",
	};

	return names[outcome];
}

const char *sub_purpose_name(sub_purpose_t purpose)
{
	static const char *const names[] = {
		[SUB_FIRST] = "first", [SUB_HEDGE] = "hedge", [SUB_RETRY] = "retry"};

	return names[purpose];
}

const char *part_state_name(part_state_t state)
{
	static const char *const names[] = {[PART_WAITING] = "waiting",
					    [PART_SENT] = "sent",
					    [PART_ANSWERED] = "answered",
					    [PART_LOST] = "lost"};

	return names[state];
}

sub_reply_t *sub_reply_new(sub_outcome_t outcome)
{
	sub_reply_t *reply = g_new0(sub_reply_t, 1);

	reply->outcome = outcome;
	return reply;
}

void sub_reply_drop_content(sub_reply_t *reply)
{
	g_clear_pointer(&reply->headers, g_free);
	if (reply->body)
		g_string_free(reply->body, TRUE);
	reply->body = NULL;
}

void sub_reply_free(sub_reply_t *reply)
{
	if (!reply)
		return;
	sub_reply_drop_content(reply);
	g_free(reply->stamp);
	g_free(reply);
}

/* After a long iteration of the event loop, or a suspension of this VM, answers may have arrived
 * but not been read when the timer fires. */
static bool fired_late(const subrequest_t *sub, uint64_t now_us)
{
	return now_us > sub->hang_timer.at_us + LATE_TIMER_US;
}

/*
 * Whether a late answer means that the searcher is at fault. A searcher that has answered a
 * sub-request sent later works: this request takes long, or only some of its requests hang.
 * Otherwise a few long requests on another route make all searchers of a shard look hung, one a
 * second.
 */
static bool implicates_searcher(const subrequest_t *sub)
{
	return sub->searcher->last_served_sent_us <= sub->sending.sent_us &&
	       route_state_implicates_searcher(sub->route);
}

static void note_hang(void *ctx, uint64_t now_us)
{
	subrequest_t *sub = ctx;
	forwarder_t *forwarder = sub->forwarder;
	bool counts = implicates_searcher(sub);

	if (fired_late(sub, now_us))
		return;
	route_state_note_hang(sub->route, true);
	if (!counts) {
		searcher_record_failure(sub->searcher, now_us);
		return;
	}
	observation_filter_note(&forwarder->observation_filter, true, now_us);
	if (now_us >= sub->searcher->avoid_until_us)
		forwarder_share_observation(forwarder, sub, OBSERVATION_HUNG, now_us);
	searcher_record_hang(sub->searcher, now_us);
}

static void note_stuck(void *ctx, uint64_t now_us)
{
	subrequest_t *sub = ctx;

	if (!fired_late(sub, now_us) && implicates_searcher(sub))
		forwarder_share_observation(sub->forwarder, sub, OBSERVATION_STUCK, now_us);
	sub->hang_timer.fire = note_hang;
	timers_set(&sub->forwarder->hang_timers, &sub->hang_timer,
		   sub->sending.sent_us + placement_hang_us(sub->searcher, sub->pool, now_us));
}

/* From now on a crash of the searcher may be due to the new sub-request. */
static void clear_isolated(searcher_t *searcher)
{
	for (const GList *item = searcher->outstanding.head; item && searcher->probes;
	     item = item->next) {
		subrequest_t *other = item->data;

		searcher->probes -= other->isolated;
		other->isolated = false;
	}
}

subrequest_t *subrequest_new(forward_part_t *part, searcher_t *searcher, sub_purpose_t purpose,
			     uint64_t now_us)
{
	subrequest_t *sub = g_new0(subrequest_t, 1);

	sub->forwarder = part->forward->forwarder;
	sub->forward = part->forward;
	sub->fingerprint = part->forward->request.fingerprint;
	sub->route = part->forward->state;
	sub->part = (uint32_t)(part - part->forward->parts);
	sub->purpose = purpose;
	sub->resent = part->refused_may_retry;
	clear_isolated(searcher);
	sub->isolated = part->forward->probe == part && !searcher->outstanding.length;
	searcher->probes += sub->isolated;
	sub->on_trial = forward_is_on_trial(part);
	sub->searcher = searcher_ref(searcher);
	sub->pool = part->pool;
	sub->sending.sent_us = now_us;
	sub->opens_connection = !searcher->idle;
	sub->sending.link.data = sub;
	sub->sample = send_limit_note_sent(&searcher->send_limit, searcher->outstanding.length,
					   part_send_budget_us(part), now_us);
	sub->hang_timer = (timer_entry_t){.fire = note_stuck, .ctx = sub};
	timers_set(&sub->forwarder->hang_timers, &sub->hang_timer,
		   now_us + placement_stuck_us(searcher, part->pool, now_us));
	g_queue_push_tail_link(&searcher->outstanding, &sub->sending.link);
	return sub;
}

void subrequest_free(subrequest_t *sub)
{
	timers_cancel(&sub->forwarder->timers, &sub->cancel_timer);
	timers_cancel(&sub->forwarder->hang_timers, &sub->hang_timer);
	g_queue_unlink(&sub->searcher->outstanding, &sub->sending.link);
	sub->searcher->probes -= sub->isolated;
	searcher_unref(sub->searcher);
	g_free(sub);
}

static void cancel_unneeded(void *ctx, uint64_t now_us)
{
	subrequest_t *sub = ctx;
	forwarder_t *forwarder = sub->forwarder;
	pool_t *pool = sub->pool;

	forwarder->ops->cancel(forwarder->ctx, sub);
	subrequest_free(sub);
	forwarder_dispatch_waiting(forwarder, pool->service, now_us);
	forwarder_start_waiting(forwarder, now_us);
}

void subrequest_release(subrequest_t *sub, uint64_t within_us, uint64_t now_us)
{
	sub->forward = NULL;
	sub->cancel_timer.fire = cancel_unneeded;
	sub->cancel_timer.ctx = sub;
	timers_set(&sub->forwarder->timers, &sub->cancel_timer, now_us + within_us);
}
