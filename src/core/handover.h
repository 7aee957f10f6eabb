/**
 * @file handover.h
 * Hands requests over to other VMs that gather them: chooses the gatherer, retries with another
 * one, or falls back to gathering on this VM. Does no I/O: messages are sent through callbacks, and
 * the caller passes in the time.
 *
 * The number of times that searchers may run a request is limited, whichever VMs gather it. So a
 * gatherer first sends one sub-request per shard, and may send more only after this VM (the taker)
 * has received the gatherer's acceptance and granted it more. So a gatherer that does not reply
 * uses up only one attempt, and the remaining ones are available for another gatherer.
 */
#ifndef DS_HANDOVER_H
#define DS_HANDOVER_H

#include "core/gatherer.h"
#include "core/hop_message.h"
#include "core/timers.h"

typedef struct handovers_t handovers_t;

/** Limits of one request. */
typedef struct handover_limits_t {
	uint64_t deadline_us;  /**< when the caller must have an answer */
	uint64_t target_us;    /**< target latency, up to which an answer is worth most */
	uint32_t attempts_max; /**< maximum number of searchers per shard that may run it */
} handover_limits_t;

/** One request that is handed over. */
typedef struct handover_t {
	handovers_t *all;
	uint64_t serial;
	handover_limits_t limits;
	gatherer_t *gatherer;	/**< gatherer that has it now; referenced */
	GPtrArray *tried;	/**< gatherer_t that it was sent to, referenced */
	uint32_t attempts_left; /**< sub-requests per shard that no gatherer was allowed yet */
	bool accepted;
	bool outcome_unknown; /**< an earlier gatherer may have sent sub-requests whose outcome is
			       * not known */
	uint64_t begun_us, sent_us;
	timer_entry_t timer;
	void *owner;
} handover_t;

typedef struct handover_ops_t {
	/** Sends it to handover->gatherer; the message must say whether outcome_unknown is set. */
	void (*send)(void *ctx, handover_t *handover);
	/** Grants its gatherer @p more additional sub-requests per shard. */
	void (*grant)(void *ctx, handover_t *handover, uint32_t more);
	/** Tells its gatherer that its answer is no longer needed. */
	void (*cancel)(void *ctx, handover_t *handover);
	/** For the log: its gatherer did not reply for @p after_us, or rejected it. */
	void (*unresponsive)(void *ctx, const handover_t *handover, uint64_t after_us);
	void (*rejected)(void *ctx, const handover_t *handover, hop_reason_t reason);
	/** Delivers the final answer; @p handover is freed after the return. */
	void (*answer)(void *ctx, handover_t *handover, const hop_answer_t *answer);
	/** No gatherer accepted it, and nothing of it ran: gather on this VM. @p handover is freed
	 * after the return. */
	void (*gather_here)(void *ctx, handover_t *handover);
	/** A gatherer uses configuration @p version, which is later than any reported before. */
	void (*newer_version)(void *ctx, uint64_t version);
} handover_ops_t;

/** Counters, for metrics. */
typedef struct handover_counters_t {
	uint64_t begun;
	uint64_t answered;
	uint64_t gathered_here;	  /**< gathered on this VM because no gatherer accepted */
	uint64_t retried;	  /**< handed over again after an earlier gatherer may have sent
				   * sub-requests */
	uint64_t unresponsive;	  /**< hand-overs whose gatherer did not accept or reject in time */
	uint64_t outcome_unknown; /**< ended without a known outcome */
	uint64_t rejected[HOP_REASONS];
} handover_counters_t;

handovers_t *handovers_new(const handover_ops_t *ops, void *ctx);
void handovers_free(handovers_t *all);
/** Sets the gatherers to choose from, best first, vm_t; the state of those that stay is kept. */
void handovers_set_gatherers(handovers_t *all, const GPtrArray *vms, const char *data_centre);
/** gatherer_t, best first. */
const GPtrArray *handovers_gatherers(const handovers_t *all);

/** Hands a request over; NULL when no gatherer is available now. */
handover_t *handover_begin(handovers_t *all, const handover_limits_t *limits, void *owner,
			   uint64_t now_us);
/** This VM stops at @p stop_us: hand-overs end by then, also those begun later. */
void handovers_stop_at(handovers_t *all, uint64_t stop_us, uint64_t now_us);
/** Cancels a hand-over whose caller has left. */
void handover_abandon(handover_t *handover);

/** Handles a message from a gatherer. */
void handovers_receive(handovers_t *all, gatherer_t *gatherer, const hop_message_t *message,
		       uint64_t now_us);
/** Handles the end of the connection to a gatherer. */
void handovers_connection_lost(handovers_t *all, gatherer_t *gatherer, uint64_t now_us);

/** The latest configuration version that a gatherer has used for this VM; 0: none. */
uint64_t handovers_version(const handovers_t *all);
/** Sets the version of the configuration in force on this VM. */
void handovers_set_own_version(handovers_t *all, uint64_t version);
/** Whether a gatherer has used a later configuration than that of this VM. */
bool handovers_is_behind(const handovers_t *all);
/** The same, for so long that callers would take an answer by the older one for a regress. */
bool handovers_is_long_behind(const handovers_t *all, uint64_t now_us);

uint64_t handovers_next_us(const handovers_t *all);
void handovers_run(handovers_t *all, uint64_t now_us);
const handover_counters_t *handovers_counters(const handovers_t *all);

#endif
