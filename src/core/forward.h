/**
 * @file forward.h
 * Forwards a caller's request to one searcher, or to one searcher of each shard.
 *
 * Chooses the searchers, decides when to hedge or retry, when an answer with missing parts is
 * better than a later complete one, and when a request can no longer succeed. Does no I/O:
 * callbacks send and cancel sub-requests and answer callers, and every call is given the current
 * time.
 */
#ifndef DS_FORWARD_H
#define DS_FORWARD_H

#include "core/admission.h"
#include "core/fingerprint.h"
#include "core/placement.h"
#include "core/poison.h"
#include "core/routing.h"
#include "core/observation.h"
#include "core/timers.h"

typedef struct forwarder_t forwarder_t;
typedef struct forward_t forward_t;

/** The outcome of a sub-request, as far as this VM can know it. */
typedef enum sub_outcome_t {
	SUB_ANSWERED, /**< the searcher itself answered with a success */
	SUB_FAILED,   /**< the request ran, and the searcher answered with a failure */
	SUB_NOT_RUN,  /**< the searcher answered that it did not run the request */
	SUB_REPLACED, /**< not run: another searcher now listens at the address */
	SUB_NOT_SENT, /**< no connection could be opened */
	SUB_UNKNOWN,  /**< the request may have run: the connection was lost, or the reply was
			 invalid or belonged to another request */
} sub_outcome_t;

/** The reply to a sub-request. A function that takes the pointer takes ownership. */
typedef struct sub_reply_t {
	sub_outcome_t outcome;
	bool broken; /**< with SUB_UNKNOWN: the connection closed before any answer */
	int status;
	char *stamp;   /**< the searcher's signature of the reply; NULL: unsigned */
	char *headers; /**< header lines to relay to the caller, each ended by CRLF; NULL: none */
	reported_load_t load; /**< at_us is unset: the time of receipt is not known here */
	bool load_reported, load_malformed;
	GString *body; /**< NULL: none */
} sub_reply_t;

sub_reply_t *sub_reply_new(sub_outcome_t outcome);
/** Release the headers and the body. */
void sub_reply_drop_content(sub_reply_t *reply);
void sub_reply_free(sub_reply_t *reply);
const char *sub_outcome_name(sub_outcome_t outcome);

/** Why a sub-request is sent. */
typedef enum sub_purpose_t { SUB_FIRST, SUB_HEDGE, SUB_RETRY } sub_purpose_t;

const char *sub_purpose_name(sub_purpose_t purpose);

/** A sub-request that was sent. */
typedef struct subrequest_t {
	outstanding_t sending; /* must be first: a searcher's queue holds pointers to it */
	forward_t *forward;    /**< NULL once the request was answered without this sub-request */
	fingerprint_t fingerprint;   /**< of the caller's request */
	struct route_state_t *route; /**< measurements of its route; outlives the request */
	uint32_t part;
	sub_purpose_t purpose;
	send_sample_t sample;
	bool isolated;	 /**< its request is suspect, and this VM has nothing else in flight to the
			    searcher */
	bool on_trial;	 /**< its request is suspect, and a trial was claimed for it */
	bool superseded; /**< another searcher has answered the part in the meantime */
	searcher_t *searcher;
	pool_t *pool;
	bool resent; /**< the searcher may have refused this request before */
	/** The connection. It and pending_end belong to the task that sends sub-requests; from
	 * send() until ended() or cancel(), exactly one of them is set. */
	void *connection;
	void *pending_end;	    /**< its end, which is known and still to be reported */
	uint64_t connection_serial; /**< number of the connection, for the log; 0: none */
	bool opens_connection; /**< no connection was idle: its latency includes the time to connect
				*/
	timer_entry_t cancel_timer; /**< fires when the sub-request is cancelled because its answer
				       is no longer needed */
	timer_entry_t hang_timer; /**< fires when the searcher counts as stuck, then when it counts
				     as hung */
	forwarder_t *forwarder;
} subrequest_t;

typedef enum part_state_t {
	PART_WAITING, /**< for a searcher with a free connection, or held back because its request
			 is suspect */
	PART_SENT,
	PART_ANSWERED,
	PART_LOST, /**< given up: no answer can be had */
} part_state_t;

/** The part of a request that one service answers. */
typedef struct forward_part_t {
	pool_t *pool;
	part_state_t state;
	forward_t *forward;
	GList waiting; /**< link in pool_t.waiting; data is the part */
	bool is_queued;
	sub_outcome_t last_outcome; /**< of its latest sub-request without an answer */
	uint32_t runs;	   /**< sub-requests that ran or may have run, including those in flight */
	uint32_t refusals; /**< sub-requests that did not run */
	uint64_t sent_us;  /**< when its latest sub-request was sent */
	uint64_t hedge_us; /**< when to consider a hedge; 0: never */
	GPtrArray *tried;  /**< searcher_t, referenced, in the order of sending: they are not tried
			      again; NULL before the first */
	GPtrArray *in_flight; /**< subrequest_t */
	sub_reply_t *reply;   /**< the answer, or the last failure */
	bool shed; /**< left out: its shard is overloaded, and the request has enough coverage
		      without it */
	bool queue_too_long;  /**< refused because its wait for a free connection would have passed
				 the deadline */
	bool outcome_unknown; /**< some sub-request may have run, but its outcome is not known */
	bool refused_may_retry; /**< a searcher that refused it may be sent it again */
} forward_part_t;

/** The outcome of a request, which decides its answer. */
typedef enum forward_outcome_t {
	FORWARD_ANSWERED,
	FORWARD_NOT_READY, /**< the configuration or the list of searchers is not known yet */
	FORWARD_NO_ROUTE,
	FORWARD_NO_SEARCHER,   /**< no searcher is registered that may get new work */
	FORWARD_SHUTTING_DOWN, /**< this VM is shutting down and takes no new requests */
	FORWARD_TOO_LATE,      /**< its deadline had passed when it was read */
	FORWARD_FULL,	       /**< no searcher has a free connection, or will have one in time */
	FORWARD_REJECTED, /**< every searcher that was tried refused the request without running it
			   */
	FORWARD_TOO_FEW,  /**< too few parts can still be answered */
	FORWARD_FAILED,	  /**< the request may have run; the answer is lost */
	FORWARD_TIMEOUT,  /**< sent, but not answered in time */
	FORWARD_BLOCKED,  /**< not sent: searchers have crashed while running it */
	FORWARD_DEFERRED, /**< not sent: the request is suspect, and another attempt at it is on
			     trial */
	FORWARD_UNAUTHORIZED, /**< it has no API key that the configuration holds */
	FORWARD_OVER_QUOTA,   /**< not sent: its tenant's quota is used up */
	FORWARD_NO_QUOTA,     /**< not sent: whether its tenant's quota is used up is not known */
	FORWARD_OUTCOMES,
} forward_outcome_t;

/** Why admission control has refused a request; zeroed: it has not. For the log. */
typedef struct forward_refusal_t {
	bool by_admission;
	const char *shard;  /**< the first one without room beyond those that the coverage allows to
			       miss; NULL: all that it needs had room, which others before it got */
	const char *tenant; /**< NULL: none */
	uint32_t rank;
	uint64_t waited_us;
} forward_refusal_t;

/** The answer to the caller. Valid only during the call. */
typedef struct forward_answer_t {
	forward_outcome_t outcome;
	const sub_reply_t *reply; /**< a searcher's reply to relay; NULL: none */
	const GString *stamps;	  /**< gathers: signatures of the answered parts, joined by ", " */
	const GString *records;	  /**< gathers: the merged body */
	uint32_t parts, missing;  /**< gathers */
	uint64_t retry_after_us; /**< outcomes without a run: how long the caller should wait before
				    it retries */
	forward_refusal_t refusal;
} forward_answer_t;

/** A request as the caller sent it. The owner keeps the texts until the request is over. */
typedef struct forward_request_t {
	const char *id;
	const char *host;
	const char *target;
	const char *key; /**< API key; NULL: none */
	fingerprint_t fingerprint;
	uint64_t received_us;
	uint64_t patience_us;  /**< how long the caller waits; 0: not given */
	uint32_t max_attempts; /**< how many searchers of a shard may run it for now; 0: as many as
				  its route allows */
	bool is_resend; /**< another VM may have sent sub-requests of it already: the first ones of
			   this VM count as retries */
	bool handed_over; /**< by another VM, which hands it to a third one when this VM stops */
} forward_request_t;

/** The time limits of a request on its route. */
typedef struct forward_times_t {
	uint64_t deadline_us; /**< the caller must have an answer by then */
	uint64_t partial_us;  /**< from then on, an incomplete answer is given if its coverage is
				 enough */
} forward_times_t;

struct forward_t {
	forwarder_t *forwarder;
	forward_request_t request;
	routing_t *routing; /**< the routing version that applies to the request until it is over */
	const route_t *route;
	const tenant_t *tenant; /**< NULL: none */
	struct route_state_t *state;
	uint32_t max_attempts; /**< how many searchers of a shard may run it */
	uint64_t deadline_us;
	bool ends_at_stop;   /**< its deadline is when this VM stops, before that of its caller */
	uint64_t partial_us; /**< from then on, an incomplete answer is given if its coverage is
				enough */
	GList link;	     /**< in the forwarder's list of open requests */
	timer_entry_t timer;
	forward_part_t *parts;
	uint32_t part_count;
	uint32_t answered;
	uint32_t lost;
	forward_part_t *probe; /**< the part that is sent alone, because searchers have crashed
			  while running the request */
	bool has_turn;	/**< this attempt's turn among the attempts at the same request has come */
	bool has_trial; /**< this attempt holds the trial; the other attempts wait until the trial
			   is over */
	bool has_lost_turn;    /**< the turn will not come before the caller's deadline */
	uint64_t held_from_us; /**< since when it has waited for its turn; 0: it did not wait */
	admission_entry_t admission; /**< its place among the requests that wait to start */
	forward_refusal_t refusal;
	bool finished;
	void *owner;
};

typedef struct forwarder_ops_t {
	/** Send @p sub on a connection to its searcher; must set sub->connection. */
	void (*send)(void *ctx, subrequest_t *sub);
	/** The answer is no longer needed: close the connection of @p sub.
	 * forwarder_subrequest_ended() must not follow. */
	void (*cancel)(void *ctx, subrequest_t *sub);
	/** Answer the caller; called once. The request is freed after the return. */
	void (*answer)(void *ctx, forward_t *forward, const forward_answer_t *answer);
	/** Share @p observation with the other VMs. May be NULL. */
	void (*observed)(void *ctx, const observation_t *observation);
	/** Callbacks for requests that crash searchers, which get the same @p ctx; NULL: other VMs
	 * are not notified of such requests. */
	const poison_ops_t *poison;
} forwarder_ops_t;

/* Ranks that refusals are counted by; less urgent ones count with the last. */
#define ADMISSION_RANKS_COUNTED 8

/** Counters, for metrics. */
typedef struct forwarder_counters_t {
	uint64_t requests;
	uint64_t outcomes[FORWARD_OUTCOMES];
	uint64_t partial;
	uint64_t callers_left; /**< callers that disconnected */
	uint64_t firsts, hedges, retries, waited;
	uint64_t shed; /**< parts left out because their shard is overloaded */
	uint64_t sub_outcomes[SUB_UNKNOWN + 1];
	uint64_t loads_reported;    /**< replies that reported their searcher's load */
	uint64_t loads_malformed;   /**< replies whose load could not be read */
	uint64_t admission_started; /**< requests that admission control let start */
	uint64_t admission_expired; /**< requests that it refused after they had waited */
	uint64_t admission_refused[ADMISSION_RANKS_COUNTED]; /**< all that it refused, by rank */
} forwarder_counters_t;

forwarder_t *forwarder_new(const forwarder_ops_t *ops, void *ctx, registry_t *registry,
			   uint32_t seed);
void forwarder_free(forwarder_t *forwarder);
/** While the searchers are overloaded, let requests wait as a whole until enough of their shards
 * have room, or refuse them; see overload.h and admission.h. Call before forwarder_set_routing().
 */
void forwarder_enable_admission(forwarder_t *forwarder);
/** Whether the searchers are overloaded, as far as this VM knows. */
overload_t *forwarder_overload(forwarder_t *forwarder);
/** Use @p routing for new requests; takes the reference. */
void forwarder_set_routing(forwarder_t *forwarder, routing_t *routing);
const routing_t *forwarder_routing(const forwarder_t *forwarder);

/**
 * This VM stops at @p stop_us: until then each request gets its answer, and one that is not
 * expected to get it from a searcher by then is refused as not run, if nothing was sent. May be
 * called again with another time.
 */
void forwarder_stop_at(forwarder_t *forwarder, uint64_t stop_us, uint64_t now_us);
/** From now on refuse new requests, as not run, whose callers may have to wait beyond the stop.
 * Call after forwarder_stop_at(). */
void forwarder_refuse_long(forwarder_t *forwarder);
/** Whether the request is not refused for that. */
bool forwarder_takes(const forwarder_t *forwarder, const forward_request_t *request);
/** Accept a request. Returns NULL if the request was answered before the return. */
forward_t *forwarder_submit(forwarder_t *forwarder, const forward_request_t *request, void *owner,
			    uint64_t now_us);
/** The time limits of @p request on @p route. */
forward_times_t forward_times(const forward_request_t *request, const route_t *route);
/** Let @p more searchers of each shard run the request. */
void forward_allow_attempts(forward_t *forward, uint32_t more, uint64_t now_us);
/** The caller has disconnected: it gets no answer, and sub-requests in flight are cancelled soon.
 */
void forwarder_abandon(forwarder_t *forwarder, forward_t *forward, uint64_t now_us);
/** A sub-request is over. Takes ownership of @p reply and frees @p sub. */
void forwarder_subrequest_ended(forwarder_t *forwarder, subrequest_t *sub, sub_reply_t *reply,
				uint64_t now_us);
/** The process of @p searcher has ended: its port refuses connections, or a newer start of it is
 * known. */
void forwarder_searcher_ended(forwarder_t *forwarder, const searcher_t *searcher, uint64_t now_us);
/** @p searcher has accepted a connection that was opened at @p since_us. */
void forwarder_searcher_listens(forwarder_t *forwarder, const searcher_t *searcher,
				uint64_t since_us);
/** The records of requests that searchers crashed on. */
poison_t *forwarder_poison(const forwarder_t *forwarder);
/** What the configuration in force says of a request. */
typedef struct forward_access_t {
	const route_t *route;
	const tenant_t *tenant; /**< that holds its API key; NULL: none */
} forward_access_t;
/**
 * Look up the route and the tenant of @p request. A VM without a list of searchers answers this
 * too: it refuses the request itself, but may hand it over to a VM that has one.
 * @return false if the request is refused whatever searchers there are: there is no configuration,
 * route or valid API key, this VM is shutting down, or searchers crash on the request
 */
bool forwarder_look_up(const forwarder_t *forwarder, const forward_request_t *request,
		       uint64_t now_us, forward_access_t *access);
/** Whether @p request has a route, but no API key that the configuration in force holds. */
bool forwarder_lacks_key(const forwarder_t *forwarder, const forward_request_t *request);
/** Another VM of this region has shared an observation of a searcher. */
void forwarder_take_observation(forwarder_t *forwarder, const observation_t *observation,
				uint64_t now_us);
/** Send the parts that wait for @p service, as far as searchers can take them: one is new or has a
 * free connection again. */
void forwarder_dispatch_waiting(forwarder_t *forwarder, const char *service, uint64_t now_us);
/** Searchers that @p part was not sent to, counted by reason. */
passed_over_t forward_passed_over(const forward_part_t *part, uint64_t now_us);
/** The time left to the deadline. */
uint64_t forward_time_left_us(const forward_t *forward, uint64_t now_us);
/** How long the searcher may work on @p sub, sent to it as its deadline. */
uint64_t subrequest_time_left_us(const subrequest_t *sub, uint64_t now_us);

uint64_t forwarder_next_us(const forwarder_t *forwarder);
void forwarder_run(forwarder_t *forwarder, uint64_t now_us);
uint32_t forwarder_open_requests(const forwarder_t *forwarder);
const forwarder_counters_t *forwarder_counters(const forwarder_t *forwarder);
/** The requests that wait to start; NULL: admission control is not enabled. */
const admission_t *forwarder_admission(const forwarder_t *forwarder);
/** Called with the latencies of the answers of @p route. */
typedef void (*forwarder_latency_f)(void *ctx, const char *route, const latency_buckets_t *latency);
/** Visit all routes that had requests since the start of this VM. */
void forwarder_visit_latency(const forwarder_t *forwarder, forwarder_latency_f visit, void *ctx);
const char *part_state_name(part_state_t state);
const char *forward_outcome_name(forward_outcome_t outcome);
/** Whether a searcher may have run a request of this outcome. */
bool forward_outcome_may_have_run(forward_outcome_t outcome);
/** HTTP status of an answer that does not come from a searcher. */
int forward_outcome_status(forward_outcome_t outcome);

#endif
