/**
 * @file forward_private.h
 * Shared by the parts of the forwarder: forwarder.c takes requests in, forward.c leads one to its
 * answer, forward_suspect.c holds back one that searchers have ended under, part.c gets the answer
 * of one service, sub.c is one sub-request, route_state.c what is measured of a route. Each calls
 * only what stands after it in this list, but for part_* telling its request to settle, and
 * forward_has_* that any may ask.
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
	timers_t watches; /* of sub-requests that are out: they decide nothing of a request */
	timer_entry_t
		warm_timer; /* when parts that wait may be sent to a searcher that is cold now */
	GRand *rand;
	uint32_t open;
	bool leaving;
	sighting_filter_t sightings;
	poison_t *poison;
	forwarder_counters_t counters;
};

/** A part waits that may be sent at @p at_us, whatever ends until then. */
void forwarder_look_at(forwarder_t *forwarder, uint64_t at_us);
/** Tell the other VMs what was seen of the searcher of @p sub. */
void forwarder_sight(forwarder_t *forwarder, const sub_t *sub, sighting_type_t type,
		     uint64_t now_us);

/** A sub-request on its way to @p searcher; its request and service are those of @p part. */
sub_t *sub_new(part_t *part, searcher_t *searcher, sub_purpose_t purpose, uint64_t now_us);
void sub_free(sub_t *sub);
/** Its request is over; it may still end by itself @p within_us, which saves the connection. */
void sub_release(sub_t *sub, uint64_t within_us, uint64_t now_us);

/** Whom the part's next sub-request may be sent to. */
candidates_t part_candidates(const part_t *part);
/** Whether the part is held back until it is known what its request does to a searcher. */
bool part_is_held(const part_t *part);
/** Send what was held back, its first sub-request or the next one; or queue it, or lose it. */
void part_go_on(part_t *part, uint64_t now_us);
/** Whom to send the part's next sub-request to, or NULL when nobody has room. */
searcher_t *part_choose(const part_t *part, uint64_t now_us);
/** Send the part's next sub-request, or lose it; false when nobody has room for it now. */
bool part_start(part_t *part, sub_purpose_t purpose, uint64_t now_us);
/** Whether room for the part would come too late for its caller's deadline. */
bool part_waits_in_vain(const part_t *part, uint64_t now_us);
/** Queue a part for which nobody has room, or go without it. */
void part_wait(part_t *part, uint64_t now_us);
/** Send once more, if that is due and allowed; else set when to look again. */
void part_hedge(part_t *part, uint64_t now_us);
/** Its request may be sent more often than before: set when to look whether it should. */
void part_allow_more(part_t *part, uint64_t now_us);
/** A sub-request of the part has ended; takes @p reply. */
void part_take_reply(part_t *part, sub_t *sub, sub_reply_t *reply, uint64_t now_us);
/** Room was found at @p searcher for a part that waits: send it, if it is not too late for that. */
void part_send_waiting(part_t *part, searcher_t *searcher, uint64_t now_us);
/** Stop waiting for room. */
void part_unqueue(part_t *part);
/** Give the part up. */
void part_lose(part_t *part);

/** Whether searchers ended under the request, and none has answered this attempt at it. */
bool forward_is_careful(const forward_t *forward, uint64_t now_us);
/** Whether what is sent for @p part now is a trial that was claimed. */
bool forward_is_on_trial(const part_t *part);
/** The sub-request that was sent alone is over, as @p end says. */
void forward_probe_over(forward_t *forward, const trial_result_t *end, uint64_t now_us);
/** Give up the parts that are held back. */
void forward_lose_held(forward_t *forward);
/** Send one part that is held back, or all of them, or give them up. */
void forward_go_on_with_held(forward_t *forward, uint64_t now_us);
/** Why it is refused without having been sent, if searchers ended under it; else FORWARD_ENDS. */
forward_end_t forward_suspect_end(const forward_t *forward, uint64_t now_us);
/** It is over with its trial: another attempt may be tried. */
void forward_end_trial(const forward_t *forward, uint64_t now_us);
/** Whether a searcher may have run some part of it. */
bool forward_has_run_somewhere(const forward_t *forward);
/** Send one part that is held back, or all of them; then answer, or set the timer. True when the
 * request is over, and freed. */
bool forward_go_on(forward_t *forward, uint64_t now_us);
/** Answer if it is time to; true when the request is over, and freed. */
bool forward_settle(forward_t *forward, uint64_t now_us);
/** Whether @p parts answered are enough for a success. */
bool forward_has_enough(const forward_t *forward, uint32_t parts);
/** Set the timer for what is next. */
void forward_arm(forward_t *forward, uint64_t now_us);
/** End the request without an answer of a searcher. */
void forward_refuse(forward_t *forward, forward_end_t end, uint64_t now_us);
/** Let go of what is out; it is cancelled after @p within_us. */
void forward_release(forward_t *forward, uint64_t within_us, uint64_t now_us);
void forward_free(forward_t *forward, uint64_t now_us);
/** The request's timer. */
void forward_tick(void *ctx, uint64_t now_us);

#endif
