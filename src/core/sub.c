/**
 * @file sub.c
 * One sub-request and its reply. See forward.h.
 */
#include "core/forward_private.h"

/* A timer that fires so late says that this VM stood still, not the searcher. */
#define LATE_US 50000

const char *sub_end_name(sub_end_t end)
{
	static const char *const names[] = {
		[SUB_ANSWERED] = "answered", [SUB_FAILED] = "failed",	  [SUB_NOT_RUN] = "not-run",
		[SUB_REPLACED] = "replaced", [SUB_NOT_SENT] = "not-sent", [SUB_UNKNOWN] = "unknown",
	};

	return names[end];
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

/* After a long turn of the loop, or a freeze, answers may lie unread beside the timer. */
static bool fired_late(const sub_t *sub, uint64_t now_us)
{
	return now_us > sub->watch.at_us + LATE_US;
}

/*
 * Whether its being late says something of its searcher. One that has served what was sent later
 * works: this request is long, or every other one hangs. A few long requests on another route made
 * all searchers of a shard look hung, one a second.
 */
static bool tells_of_searcher(const sub_t *sub)
{
	return sub->searcher->last_served_sent_us <= sub->sending.sent_us &&
	       route_state_tells(sub->route);
}

static void note_hang(void *ctx, uint64_t now_us)
{
	sub_t *sub = ctx;
	forwarder_t *forwarder = sub->forwarder;
	bool tells = tells_of_searcher(sub);

	if (fired_late(sub, now_us))
		return;
	route_state_note(sub->route, true);
	if (!tells) {
		searcher_record_failure(sub->searcher, now_us);
		return;
	}
	sighting_filter_note(&forwarder->sightings, true, now_us);
	if (now_us >= sub->searcher->avoid_until_us)
		forwarder_sight(forwarder, sub, SIGHTING_HUNG, now_us);
	searcher_record_hang(sub->searcher, now_us);
}

static void note_stuck(void *ctx, uint64_t now_us)
{
	sub_t *sub = ctx;

	if (!fired_late(sub, now_us) && tells_of_searcher(sub))
		forwarder_sight(sub->forwarder, sub, SIGHTING_STUCK, now_us);
	sub->watch.fire = note_hang;
	timers_set(&sub->forwarder->watches, &sub->watch,
		   sub->sending.sent_us + placement_hang_us(sub->searcher, sub->pool, now_us));
}

/* From here on its end may be the new one's doing. */
static void end_loneliness(searcher_t *searcher)
{
	for (const GList *item = searcher->outstanding.head; item && searcher->probes;
	     item = item->next) {
		sub_t *other = item->data;

		searcher->probes -= other->alone;
		other->alone = false;
	}
}

sub_t *sub_new(part_t *part, searcher_t *searcher, sub_purpose_t purpose, uint64_t now_us)
{
	sub_t *sub = g_new0(sub_t, 1);

	sub->forwarder = part->forward->forwarder;
	sub->forward = part->forward;
	sub->fingerprint = part->forward->request.fingerprint;
	sub->route = part->forward->state;
	sub->part = (uint32_t)(part - part->forward->parts);
	sub->purpose = purpose;
	end_loneliness(searcher);
	sub->alone = part->forward->probe == part && !searcher->outstanding.length;
	searcher->probes += sub->alone;
	sub->on_trial = forward_is_on_trial(part);
	sub->searcher = searcher_ref(searcher);
	sub->pool = part->pool;
	sub->sending.sent_us = now_us;
	sub->connects = !searcher->idle;
	sub->sending.link.data = sub;
	sub->watch = (timer_entry_t){.fire = note_stuck, .ctx = sub};
	timers_set(&sub->forwarder->watches, &sub->watch,
		   now_us + placement_stuck_us(searcher, part->pool, now_us));
	g_queue_push_tail_link(&searcher->outstanding, &sub->sending.link);
	return sub;
}

void sub_free(sub_t *sub)
{
	timers_cancel(&sub->forwarder->timers, &sub->leave);
	timers_cancel(&sub->forwarder->watches, &sub->watch);
	g_queue_unlink(&sub->searcher->outstanding, &sub->sending.link);
	sub->searcher->probes -= sub->alone;
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

void sub_release(sub_t *sub, uint64_t within_us, uint64_t now_us)
{
	sub->forward = NULL;
	sub->leave.fire = cancel_unneeded;
	sub->leave.ctx = sub;
	timers_set(&sub->forwarder->timers, &sub->leave, now_us + within_us);
}
