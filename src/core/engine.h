/**
 * @file engine.h
 * The engine decides how a request is processed: it admits the request, pins a snapshot, sends
 * sub-requests, replaces those that get no answer, merges the replies and answers the caller.
 *
 * The engine does no I/O: the caller passes in time and randomness, and the engine calls
 * engine_ops_t for every effect. All times are monotonic microseconds.
 */
#ifndef DS_ENGINE_H
#define DS_ENGINE_H

#include "core/budget.h"
#include "core/histogram.h"
#include "core/query.h"
#include "core/timeline.h"

typedef struct engine_t engine_t;
struct service_t;

/** Result of claiming an idempotency key. */
typedef enum claim_result_t {
	CLAIM_ACQUIRED,	      /**< this attempt certainly holds the claim */
	CLAIM_HELD_ELSEWHERE, /**< another attempt holds the claim; outcome unknown */
	CLAIM_RAN,	      /**< another attempt holds the claim and recorded a run */
	CLAIM_TOO_OLD,	      /**< the key is older than the retention period of claims */
	CLAIM_BAD_KEY,	      /**< the key has no time of issue, or one in the future */
	CLAIM_UNAVAILABLE,    /**< the platform did not answer in time */
} claim_result_t;

/**
 * Callbacks for the engine's effects. None may call the engine before it returns, except that
 * claim() may call engine_claimed().
 */
typedef struct engine_ops_t {
	void (*send)(void *ctx, const attempt_t *attempt);
	/** Cancel an attempt: its answer is no longer needed. */
	void (*cancel)(void *ctx, const attempt_t *attempt);
	/** Deliver the answer to a query, once; the query's owner may unref the query in here. */
	void (*answer)(void *ctx, query_t *query, const answer_t *answer);
	/** Claim an action's key; engine_claimed() must follow, during this call or later. */
	void (*claim)(void *ctx, query_t *query);
	/** Record the outcome of a claimed action. */
	void (*claim_outcome)(void *ctx, query_t *query, ran_t ran);
	/** Probe every searcher of @p service soon for the index versions that it holds. */
	void (*refresh)(void *ctx, const struct service_t *service);
	/** @p upstream reported for the first time that it is leaving. */
	void (*leaving)(void *ctx, const upstream_t *upstream);
} engine_ops_t;

/** Counters of one service. */
typedef struct service_counters_t {
	uint64_t requests[CLASS_COUNT];
	uint64_t answers_complete, answers_partial;
	uint64_t refusals[REFUSAL_COUNT];
	uint64_t first, hedges, retries; /**< attempts sent, by kind */
	uint64_t hedges_won;
	uint64_t mismatched, restarts, abandoned;
	histogram_t latency; /**< time from a request's arrival to its answer */
} service_counters_t;

/** Runtime state of one service; kept when the configuration changes. */
typedef struct service_t {
	char *name;
	service_kind_t kind;
	uint64_t timeout_us;
	GPtrArray *upstreams; /**< upstream_t */
	gate_t gate;
	budget_t hedge_budget, retry_budget, rescue_budget;
	histogram_t attempt_latency; /**< of recent attempts; sets the hedge delay */
	snapshot_t *snapshot;	     /**< the snapshot that the next query pins */
	bool snapshot_stale;
	uint64_t versions_changed_us; /**< when a searcher's versions last changed */
	GPtrArray *awaiting_versions; /**< query_t that wait for a change of versions */
	bool configured;
	service_counters_t counters;
} service_t;

/** Policy switches, to measure a baseline without a policy. All are on by default. */
typedef struct engine_policy_t {
	bool hedge;
	bool choose_by_cost; /**< if false, replicas are chosen round robin */
	bool adapt_limit;    /**< if false, each limit is the VM's share of the connections */
} engine_policy_t;

engine_t *engine_new(const engine_ops_t *ops, void *ctx, timeline_t *timeline, uint32_t seed,
		     const char *data_centre);
void engine_free(engine_t *engine);
void engine_set_policy(engine_t *engine, engine_policy_t policy);

/** Put @p config in force. Searchers that it names again keep their status and statistics. */
void engine_configure(engine_t *engine, const config_t *config, uint64_t now_us);
const service_t *engine_service(const engine_t *engine, const char *name);
/** All services (service_t), for status pages. */
const GPtrArray *engine_services(const engine_t *engine);

/**
 * Submit @p request; the engine takes ownership. engine_ops_t.answer delivers the answer, possibly
 * before this function returns.
 * @return a reference to the query, which the caller must release with query_unref()
 */
query_t *engine_submit(engine_t *engine, request_t *request, void *owner, uint64_t now_us);
/** The caller has disconnected: stop the query without an answer. */
void engine_abandon(engine_t *engine, query_t *query, uint64_t now_us);
/**
 * An attempt ended with @p reply; the engine takes ownership of @p reply. Replies with an unknown
 * attempt id are counted and dropped.
 */
void engine_attempt_ended(engine_t *engine, uint64_t attempt_id, reply_t *reply, uint64_t now_us);
/** The result of engine_ops_t.claim for @p query. */
void engine_claimed(engine_t *engine, query_t *query, claim_result_t end, uint64_t now_us);
/** A searcher answered a health probe with @p report. */
void engine_health(engine_t *engine, upstream_t *upstream, const upstream_report_t *report,
		   uint64_t now_us);
/**
 * A health probe failed.
 * @param refused the connection was refused: no process listens at the address
 */
void engine_health_failed(engine_t *engine, upstream_t *upstream, bool refused, uint64_t now_us);

/** A peer VM reports that a searcher is leaving. */
void engine_leave_notice(engine_t *engine, const char *service, const char *upstream,
			 uint64_t now_us);

/** When engine_run() must be called next, or TIMERS_NEVER. */
uint64_t engine_next_us(const engine_t *engine);
void engine_run(engine_t *engine, uint64_t now_us);
/** Number of queries not answered yet. */
uint32_t engine_open_queries(const engine_t *engine);
/** Number of replies that matched no attempt: late, duplicate or misrouted ones. */
uint64_t engine_stray_replies(const engine_t *engine);

#endif
