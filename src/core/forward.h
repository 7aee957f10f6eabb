/**
 * @file forward.h
 * The course of a forwarded request: to one searcher, or to one of each shard.
 *
 * Decides whom to send to, when to send once more, when an answer with parts missing is better than
 * a later one, and when a request is hopeless. Does no I/O: what is to be sent, cancelled or
 * answered goes out by callbacks, and time comes in.
 */
#ifndef DS_FORWARD_H
#define DS_FORWARD_H

#include "core/fingerprint.h"
#include "core/placement.h"
#include "core/poison.h"
#include "core/routing.h"
#include "core/sighting.h"
#include "core/timers.h"

typedef struct forwarder_t forwarder_t;
typedef struct forward_t forward_t;

/** How one sub-request ended, as far as that can be known. */
typedef enum sub_end_t {
	SUB_ANSWERED, /**< a success that is the searcher's own */
	SUB_FAILED,   /**< it ran, and the searcher answered with a failure */
	SUB_NOT_RUN,  /**< the searcher said that it did not run it */
	SUB_REPLACED, /**< not run: another searcher has the address now */
	SUB_NOT_SENT, /**< no connection was made */
	SUB_UNKNOWN,  /**< it may have run: cut, garbage, an answer to something else */
} sub_end_t;

/** The reply to a sub-request. Owned by whoever holds it. */
typedef struct sub_reply_t {
	sub_end_t end;
	bool broken; /**< unknown: the connection ended before any answer */
	int status;
	char *stamp;	  /**< what the searcher signed the reply with; NULL when it did not */
	char *headers;	  /**< lines to hand on, each ended by CRLF; NULL when none */
	told_load_t load; /**< without a time: when it was heard is not known here */
	bool load_told, load_malformed;
	GString *body; /**< NULL when none */
} sub_reply_t;

sub_reply_t *sub_reply_new(sub_end_t end);
void sub_reply_free(sub_reply_t *reply);
const char *sub_end_name(sub_end_t end);

/** Why a sub-request is sent. */
typedef enum sub_purpose_t { SUB_FIRST, SUB_HEDGE, SUB_RETRY } sub_purpose_t;

const char *sub_purpose_name(sub_purpose_t purpose);

/** One sub-request that was sent. */
typedef struct sub_t {
	outstanding_t sending;	     /* first: a searcher's queue holds pointers to it */
	forward_t *forward;	     /**< NULL once the request was answered without it */
	fingerprint_t fingerprint;   /**< of its request */
	struct route_state_t *route; /**< what is measured of its route; outlives the request */
	uint32_t part;
	sub_purpose_t purpose;
	bool alone;    /**< of a suspect, and nothing else of this VM is out to its searcher */
	bool on_trial; /**< of a suspect whose trial was claimed for it */
	bool served;   /**< another searcher has answered the same part meanwhile */
	searcher_t *searcher;
	pool_t *pool;
	void *carrier;	     /**< the connection; set by the task that owns it */
	bool connects;	     /**< no connection was idle: its time includes making one */
	timer_entry_t leave; /**< when an unneeded one is cancelled */
	timer_entry_t watch; /**< when its searcher is taken to pause, then to hang */
	forwarder_t *forwarder;
} sub_t;

typedef enum part_state_t {
	PART_WAITING, /**< for room at a searcher, or held back: its request is suspect */
	PART_SENT,
	PART_ANSWERED,
	PART_LOST, /**< no more to be hoped for */
} part_state_t;

/** What is asked of one service for a request. */
typedef struct part_t {
	pool_t *pool;
	part_state_t state;
	forward_t *forward;
	GList waiting; /**< in pool_t.waiting; data is the part */
	bool is_queued;
	sub_end_t last_end; /**< of its latest sub-request that got no answer */
	uint32_t runs;	    /**< sub-requests that ran or may have run, those that are out too */
	uint32_t refusals;  /**< sub-requests that did not run */
	uint64_t sent_us;   /**< when it was last sent */
	uint64_t hedge_us;  /**< when to send once more; 0: never */
	GPtrArray *asked;   /**< searcher_t, referenced; NULL before the first */
	GPtrArray *out;	    /**< sub_t */
	sub_reply_t *reply; /**< the answer, or the last failure */
	bool shed;	    /**< left out: its shard is short, and the request has enough
			     * without it */
	bool crowded;	    /**< it would have waited for room past its deadline */
	bool unknown;	    /**< some sub-request may have run without our knowing its end */
} part_t;

/** Why a request got the answer it got. */
typedef enum forward_end_t {
	FORWARD_ANSWERED,
	FORWARD_NOT_READY, /**< no configuration or no searchers known yet */
	FORWARD_NO_ROUTE,
	FORWARD_NO_SEARCHER, /**< none is registered that may be sent work */
	FORWARD_LEAVING,     /**< this VM is about to end, and takes nothing new */
	FORWARD_TOO_LATE,    /**< its time was over when it was read */
	FORWARD_FULL,	     /**< no room, and none in time */
	FORWARD_REJECTED,    /**< every searcher asked refused it without running it */
	FORWARD_TOO_FEW,     /**< too few parts can still be had */
	FORWARD_FAILED,	     /**< it may have run; the answer is lost */
	FORWARD_TIMEOUT,     /**< sent, and no answer in time */
	FORWARD_BLOCKED,     /**< not sent: searchers have ended under it */
	FORWARD_DEFERRED,    /**< not sent: it is suspect, and another attempt is on trial */
	FORWARD_ENDS,
} forward_end_t;

/** What the caller is told. Borrowed for the call. */
typedef struct forward_answer_t {
	forward_end_t end;
	const sub_reply_t *reply; /**< one searcher's, to be handed on; NULL for none */
	const GString *stamps;	  /**< gathers: of the parts that are in, joined by ", " */
	const GString *records;	  /**< gathers: the merged body */
	uint32_t parts, missing;  /**< gathers */
	uint64_t retry_after_us;  /**< not run: when to come back */
} forward_answer_t;

/** A request as the caller sent it; texts are owned by the owner and outlive the request. */
typedef struct forward_request_t {
	const char *id;
	const char *host;
	const char *target;
	fingerprint_t fingerprint;
	uint64_t received_us;
	uint64_t patience_us;	/**< how long the caller waits; 0: it did not say */
	uint32_t attempts_most; /**< searchers of a shard that may run it for now; 0: as many as
				 * its route says */
	bool again; /**< another VM may have sent sub-requests of it: the first ones count as
		     * retries */
} forward_request_t;

/** What a request's time is spent on, by its route. */
typedef struct forward_times_t {
	uint64_t deadline_us; /**< then its caller must have an answer */
	uint64_t partial_us;  /**< from then on, what is there is given if it is enough */
} forward_times_t;

struct forward_t {
	forwarder_t *forwarder;
	forward_request_t request;
	routing_t *routing; /**< the version that it is handled by, to its end */
	const route_t *route;
	struct route_state_t *state;
	uint32_t attempts_most; /**< searchers of a shard that may run it */
	uint64_t deadline_us;
	uint64_t partial_us; /**< from then on, what is there is given if it is enough */
	timer_entry_t timer;
	part_t *parts;
	uint32_t part_count;
	uint32_t answered;
	uint32_t lost;
	part_t *probe;	       /**< the one that was sent alone because searchers ended under it */
	bool has_turn;	       /**< its turn among the attempts at the same request has come */
	bool has_trial;	       /**< and others wait until it is over */
	bool has_lost_turn;    /**< and will not come while its caller waits */
	uint64_t held_from_us; /**< since when it waits for its turn; 0: it did not have to */
	bool finished;
	void *owner;
};

typedef struct forwarder_ops_t {
	/** Send @p sub on a connection to its searcher; sets sub->carrier. */
	void (*send)(void *ctx, sub_t *sub);
	/** Nobody waits for it any more: close its connection. forwarder_sub_ended() does not
	 * follow. */
	void (*cancel)(void *ctx, sub_t *sub);
	/** The one answer; the request is freed after the return. */
	void (*answer)(void *ctx, forward_t *forward, const forward_answer_t *answer);
	/** Something that other VMs should know. May be NULL. */
	void (*sighted)(void *ctx, const sighting_t *sighting);
	/** Requests that crash searchers; NULL: no other VM is told of them. Its callbacks get @p
	 * ctx, too. */
	const poison_ops_t *poison;
} forwarder_ops_t;

/** Counters, for metrics. */
typedef struct forwarder_counters_t {
	uint64_t requests;
	uint64_t ends[FORWARD_ENDS];
	uint64_t partial;
	uint64_t left; /**< callers that went away */
	uint64_t firsts, hedges, retries, waited;
	uint64_t shed; /**< parts left out because their shard is short */
	uint64_t sub_ends[SUB_UNKNOWN + 1];
	uint64_t loads_told;	  /**< replies that told their searcher's load */
	uint64_t loads_malformed; /**< replies whose load could not be read */
} forwarder_counters_t;

forwarder_t *forwarder_new(const forwarder_ops_t *ops, void *ctx, registry_t *registry,
			   uint32_t seed);
void forwarder_free(forwarder_t *forwarder);
/** Put @p routing in force for requests to come; takes the reference. */
void forwarder_set_routing(forwarder_t *forwarder, routing_t *routing);
const routing_t *forwarder_routing(const forwarder_t *forwarder);

/** Take nothing more: requests to come are refused as not run. What is under way goes on. */
void forwarder_leave(forwarder_t *forwarder);
/** Take in a request. The answer may come before the return; then NULL is returned. */
forward_t *forwarder_submit(forwarder_t *forwarder, const forward_request_t *request, void *owner,
			    uint64_t now_us);
/** What @p request may take on @p route. */
forward_times_t forward_times(const forward_request_t *request, const route_t *route);
/** Let @p more searchers of each shard run it. */
void forward_allow_more(forward_t *forward, uint32_t more, uint64_t now_us);
/** The caller has gone: no answer, and what is out is soon cancelled. */
void forwarder_abandon(forwarder_t *forwarder, forward_t *forward, uint64_t now_us);
/** A sub-request has ended; takes @p reply. @p sub is freed. */
void forwarder_sub_ended(forwarder_t *forwarder, sub_t *sub, sub_reply_t *reply, uint64_t now_us);
/** Nobody listens at the port of @p searcher any more, or a newer start of it is known. */
void forwarder_searcher_ended(forwarder_t *forwarder, const searcher_t *searcher, uint64_t now_us);
/** It has accepted a connection that was begun at @p since_us. */
void forwarder_searcher_listens(forwarder_t *forwarder, const searcher_t *searcher,
				uint64_t since_us);
/** Requests under which searchers have ended. */
poison_t *forwarder_poison(const forwarder_t *forwarder);
/** Whether a request would be refused because searchers end under it. */
bool forwarder_blocks(const forwarder_t *forwarder, fingerprint_t fingerprint, uint64_t now_us);
/** Another VM of this region has seen this of a searcher. */
void forwarder_take_sighting(forwarder_t *forwarder, const sighting_t *sighting, uint64_t now_us);
/** A searcher has room again, or is new. */
void forwarder_room(forwarder_t *forwarder, const char *service, uint64_t now_us);
/** Searchers that @p part was not sent to, by why. */
passed_over_t forward_passed_over(const part_t *part, uint64_t now_us);
/** What is left of the caller's time. */
uint64_t forward_left_us(const forward_t *forward, uint64_t now_us);
/** For how long its searcher should work on @p sub: the deadline that it is told. */
uint64_t sub_left_us(const sub_t *sub, uint64_t now_us);

uint64_t forwarder_next_us(const forwarder_t *forwarder);
void forwarder_run(forwarder_t *forwarder, uint64_t now_us);
uint32_t forwarder_open(const forwarder_t *forwarder);
const forwarder_counters_t *forwarder_counters(const forwarder_t *forwarder);
/** Called with how long the answers of @p route took. */
typedef void (*forwarder_latency_f)(void *ctx, const char *route, const latency_buckets_t *latency);
/** Visit all routes that were used since the start. */
void forwarder_visit_latency(const forwarder_t *forwarder, forwarder_latency_f visit, void *ctx);
const char *part_state_name(part_state_t state);
const char *forward_end_name(forward_end_t end);
/** HTTP status of an answer that is not a searcher's own. */
int forward_end_status(forward_end_t end);

#endif
