/**
 * @file forward_private.h
 * Internals of the forwarder. forwarder.c accepts requests, forward_admission.c decides when they
 * start, forward.c carries one request to its answer, forward_suspect.c holds back a request that
 * searchers have crashed on, part.c gets the answer of one service, subrequest.c handles one
 * sub-request, and route_state.c measures a route. Each file calls only files after it in this
 * list, with two exceptions: part_* functions call back into their request, and any file may call
 * the forward_has_* queries.
 */
#ifndef DS_FORWARD_PRIVATE_H
#define DS_FORWARD_PRIVATE_H

#include "core/forward.h"
#include "core/route_state.h"

struct forwarder_t {
	const forwarder_ops_t *ops;
	void *ctx;
	registry_t *registry;
	routing_t *routing;
	GHashTable *states; /* route name to route_state_t */
	timers_t timers;
	timers_t hang_timers; /* of sub-requests in flight; they do not change the course of a
				 request */
	timer_entry_t
		dispatch_timer; /* when waiting parts may be sent to a cold or paused searcher */
	GRand *rand;
	GQueue open;	  /* forward_t */
	uint64_t stop_us; /* when this VM stops; UINT64_MAX: not known */
	bool refuses_long;
	observation_filter_t observation_filter;
	poison_t *poison;
	admission_t *admission; /* NULL: each request starts as it arrives */
	timer_entry_t admission_timer;
	overload_t overload;
	forwarder_counters_t counters;
};

/** Dispatch waiting parts when a searcher for @p part may be sent to again, even if no sub-request
 * ends before: it is cold, or its send limit demands a pause. */
void forwarder_dispatch_later(forwarder_t *forwarder, const forward_part_t *part, uint64_t now_us);
/** Share with the other VMs what this VM observed of the searcher of @p sub. */
void forwarder_share_observation(forwarder_t *forwarder, const subrequest_t *sub,
				 observation_type_t type, uint64_t now_us);

/** Create a sub-request to @p searcher, for the request and the service of @p part. */
subrequest_t *subrequest_new(forward_part_t *part, searcher_t *searcher, sub_purpose_t purpose,
			     uint64_t now_us);
void subrequest_free(subrequest_t *sub);
/** Detach @p sub from its request, which is over. It is cancelled after @p within_us; if it ends
 * before, its connection can be reused. */
void subrequest_release(subrequest_t *sub, uint64_t within_us, uint64_t now_us);

/** The searchers that the part's next sub-request may be sent to. */
candidates_t part_candidates(const forward_part_t *part);
/** Whether the part is held back until it is known whether searchers survive its request. */
bool part_is_held(const forward_part_t *part);
/** Send the sub-request that was held back, the first or a retry; otherwise queue the part or give
 * it up. */
void part_resume(forward_part_t *part, uint64_t now_us);
/** The searcher for the part's next sub-request, or NULL if none has a free connection. */
searcher_t *part_choose(const forward_part_t *part, uint64_t now_us);
/** Send the part's next sub-request, or give the part up if no searcher is left. Returns false if
 * no searcher has a free connection now. */
bool part_start(forward_part_t *part, sub_purpose_t purpose, uint64_t now_us);
/** Whether a free connection would come too late for the caller's deadline. */
bool part_would_miss_deadline(const forward_part_t *part, uint64_t now_us);
/** Whether this VM is expected to stop before a searcher with a free connection has answered. */
bool part_would_outlast_stop(const forward_part_t *part, uint64_t now_us);
/** Queue a part for which no searcher has a free connection, or give it up. */
void part_wait(forward_part_t *part, uint64_t now_us);
/** Send a hedge if it is due and allowed; otherwise set when to check again. */
void part_hedge(forward_part_t *part, uint64_t now_us);
/** More searchers may run the request than before: set when to check for a hedge. */
void part_allow_attempts(forward_part_t *part, uint64_t now_us);
/** A sub-request of the part is over; takes ownership of @p reply. */
void part_take_reply(forward_part_t *part, subrequest_t *sub, sub_reply_t *reply, uint64_t now_us);
/** Send a waiting part to @p searcher, which has a free connection, unless it is too late.
 */
void part_send_waiting(forward_part_t *part, searcher_t *searcher, uint64_t now_us);
/** Remove the part from its pool's queue. */
void part_unqueue(forward_part_t *part);
/** Give the part up: it is lost. */
void part_lose(forward_part_t *part);

/** Whether the request is suspect, and no searcher has answered this attempt at it. */
bool forward_is_suspect(const forward_t *forward, uint64_t now_us);
/** Whether a sub-request sent for @p part now belongs to a claimed trial. */
bool forward_is_on_trial(const forward_part_t *part);
/** The sub-request that was sent alone is over with the result @p end. */
void forward_probe_ended(forward_t *forward, const trial_result_t *end, uint64_t now_us);
/** Give up all parts that are held back. */
void forward_lose_held_parts(forward_t *forward);
/** Send one part that is held back, or all of them, or give them up. */
void forward_resume_held(forward_t *forward, uint64_t now_us);
/** The outcome with which a suspect request is refused unsent; FORWARD_OUTCOMES: not refused.
 */
forward_outcome_t forward_suspect_outcome(const forward_t *forward, uint64_t now_us);
/** Release the trial of a request that is over: another attempt may be tried. */
void forward_end_trial(const forward_t *forward, uint64_t now_us);
/** Whether a searcher may have run some part of the request. */
bool forward_may_have_run(const forward_t *forward);
/** Send one part that is held back, or all of them; then answer or set the timer. Returns true if
 * the request is over; it is freed then. */
bool forward_advance(forward_t *forward, uint64_t now_us);
/** Answer the caller if it is time to. Returns true if the request is over; it is freed then. */
bool forward_try_answer(forward_t *forward, uint64_t now_us);
/** Its rank in queues: that of its tenant, if the tenant has one, else that of its route. */
uint32_t forward_rank(const forward_t *forward);
/** Latency of a sub-request at which its answer is still of use. */
uint64_t part_send_budget_us(const forward_part_t *part);
/** Whether the request starts only when enough of its shards have room. */
bool forward_is_admission_controlled(const forward_t *forward);
/** Whether the request starts now, waits, or was refused; it is freed in the last case. */
admission_verdict_t forward_admit(forward_t *forward, uint64_t now_us);
/** Record why admission control refuses the request, and count it. */
void forward_note_refused(forward_t *forward, uint64_t now_us);
/** Send the parts of a request that starts. Returns true if the request is over; it is freed then.
 */
bool forward_start(forward_t *forward, uint64_t now_us);
/** Start the waiting requests for which there is room, and refuse those that would be too late. */
void forwarder_start_waiting(forwarder_t *forwarder, uint64_t now_us);
/** Whether it must stay in some regions. */
bool forward_is_bound(const forward_t *forward);
/** Whether @p parts answered parts are enough for a success. */
bool forward_has_enough(const forward_t *forward, uint32_t parts);
/** Set the timer to the next event: a deadline, a hedge, or a check of held parts. */
void forward_set_timer(forward_t *forward, uint64_t now_us);
/** End the request with an answer that does not come from a searcher. */
void forward_refuse(forward_t *forward, forward_outcome_t outcome, uint64_t now_us);
/** The outcome of a request that found no room at a searcher within its deadline, which may be the
 * stop of this VM. */
forward_outcome_t forward_no_room_outcome(const forward_t *forward);
/** Detach the sub-requests in flight; they are cancelled after @p within_us. */
void forward_release(forward_t *forward, uint64_t within_us, uint64_t now_us);
void forward_free(forward_t *forward, uint64_t now_us);
/** Called when the request's timer fires. */
void forward_on_timer(void *ctx, uint64_t now_us);

#endif
