/**
 * @file handover.h
 * The course of a request that another VM gathers: whom it is handed to, when another is asked, and
 * when this VM gathers itself. Does no I/O: what is to be said goes out by callbacks, and time
 * comes in.
 *
 * How often searchers may run a request is bounded, whichever VMs gather it. So a gatherer first
 * sends one sub-request a shard, and more only once the taker has heard that it has the request and
 * says so. One that says nothing has then used up one, and what is left is another's.
 */
#ifndef DS_HANDOVER_H
#define DS_HANDOVER_H

#include "core/gatherer.h"
#include "core/hop_message.h"
#include "core/timers.h"

typedef struct handovers_t handovers_t;

/** What decides the course of one request. */
typedef struct handover_terms_t {
	uint64_t deadline_us;	/**< when its caller must have an answer */
	uint64_t target_us;	/**< how long an answer may take to be worth most */
	uint32_t attempts_most; /**< searchers of a shard that may run it */
} handover_terms_t;

/** One request that is handed over. */
typedef struct handover_t {
	handovers_t *all;
	uint64_t serial;
	handover_terms_t terms;
	gatherer_t *gatherer;	/**< that has it now; referenced */
	GPtrArray *asked;	/**< gatherer_t, referenced */
	uint32_t attempts_left; /**< sub-requests a shard that were not given away */
	bool taken;
	bool unknown; /**< some gatherer may have sent sub-requests, and its end is not known */
	uint64_t begun_us, sent_us;
	timer_entry_t timer;
	void *owner;
} handover_t;

typedef struct handover_ops_t {
	/** Hand it to handover->gatherer; the receiver must be told if `unknown` is set. */
	void (*send)(void *ctx, handover_t *handover);
	/** Let its gatherer send so many @p more sub-requests a shard. */
	void (*go)(void *ctx, handover_t *handover, uint32_t more);
	/** Tell its gatherer that nobody waits any more. */
	void (*cancel)(void *ctx, handover_t *handover);
	/** Its gatherer has said nothing for so long, or does not take it; for the log. */
	void (*silent)(void *ctx, const handover_t *handover, uint64_t after_us);
	void (*not_taken)(void *ctx, const handover_t *handover, hop_reason_t reason);
	/** The end; @p handover is freed after the return. */
	void (*answer)(void *ctx, handover_t *handover, const hop_answer_t *answer);
	/** Nobody took it, and nothing of it ran: gather here. It is freed after the return. */
	void (*gather_here)(void *ctx, handover_t *handover);
	/** A gatherer gathers by @p version, later than any that was heard of so. */
	void (*newer)(void *ctx, uint64_t version);
} handover_ops_t;

/** Counters, for metrics. */
typedef struct handover_counters_t {
	uint64_t begun;
	uint64_t answered;
	uint64_t here;	 /**< gathered here because no gatherer took it */
	uint64_t again;	 /**< handed over once more, with sub-requests perhaps sent before */
	uint64_t silent; /**< gatherers that were late with their first word */
	uint64_t lost;	 /**< ended with an end that is not known */
	uint64_t not_taken[HOP_REASONS];
} handover_counters_t;

handovers_t *handovers_new(const handover_ops_t *ops, void *ctx);
void handovers_free(handovers_t *all);
/** The gatherers to choose from, best first, vm_t; those that stay keep what is known of them. */
void handovers_set_gatherers(handovers_t *all, const GPtrArray *vms, const char *data_centre);
/** gatherer_t, best first. */
const GPtrArray *handovers_gatherers(const handovers_t *all);

/** Hand a request over; NULL when no gatherer takes it now. */
handover_t *handover_begin(handovers_t *all, const handover_terms_t *terms, void *owner,
			   uint64_t now_us);
/** Its caller has gone. */
void handover_abandon(handover_t *handover);

/** A gatherer has said something. */
void handovers_heard(handovers_t *all, gatherer_t *gatherer, const hop_message_t *message,
		     uint64_t now_us);
/** The connection to a gatherer has ended. */
void handovers_lost(handovers_t *all, gatherer_t *gatherer, uint64_t now_us);

/** The latest configuration that a gatherer has gathered by for this VM; 0: none. */
uint64_t handovers_version(const handovers_t *all);

uint64_t handovers_next_us(const handovers_t *all);
void handovers_run(handovers_t *all, uint64_t now_us);
const handover_counters_t *handovers_counters(const handovers_t *all);

#endif
