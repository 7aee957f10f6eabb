/**
 * @file engine.h
 * The decisions about requests: admit, pin, scatter, rescue, gather, answer.
 *
 * No I/O: time and randomness are passed in, effects go out through engine_ops_t. All times are
 * monotonic microseconds.
 */
#ifndef DS_ENGINE_H
#define DS_ENGINE_H

#include "core/budget.h"
#include "core/histogram.h"
#include "core/query.h"
#include "core/timeline.h"

typedef struct engine_t engine_t;
struct service_t;

/** How a claim on an idempotency key ended. */
typedef enum claim_result_t {
	CLAIM_ACQUIRED,	      /**< the key is claimed for this attempt, for certain */
	CLAIM_HELD_ELSEWHERE, /**< another attempt holds it; what it did is unknown */
	CLAIM_RAN,	      /**< another attempt holds it and recorded that it ran */
	CLAIM_TOO_OLD,	      /**< the key is older than claims are kept */
	CLAIM_BAD_KEY,	      /**< the key carries no time of issue, or one in the future */
	CLAIM_UNAVAILABLE,    /**< the platform can't be reached in time */
} claim_result_t;

/** Effects. None may call back into the engine before returning, but for engine_claimed(). */
typedef struct engine_ops_t {
	void (*send)(void *ctx, const attempt_t *attempt);
	/** Stop an attempt: its answer is no longer wanted. */
	void (*cancel)(void *ctx, const attempt_t *attempt);
	/** The one answer to a query; its owner may unref it in here. */
	void (*answer)(void *ctx, query_t *query, const answer_t *answer);
	/** Claim the key of an action; engine_claimed() must follow, now or later. */
	void (*claim)(void *ctx, query_t *query);
	/** Record what became of a claimed action. */
	void (*claim_outcome)(void *ctx, query_t *query, ran_t ran);
	/** Ask every searcher of @p service soon which versions it holds. */
	void (*refresh)(void *ctx, const struct service_t *service);
	/** @p upstream said that it leaves, and had not before. */
	void (*leaving)(void *ctx, const upstream_t *upstream);
} engine_ops_t;

/** Counters of one service. */
typedef struct service_counters_t {
	uint64_t requests[CLASS_COUNT];
	uint64_t answers_complete, answers_partial;
	uint64_t refusals[REFUSAL_COUNT];
	uint64_t first, hedges, retries; /**< sub-requests sent, by kind */
	uint64_t hedges_won;
	uint64_t mismatched, restarts, abandoned;
	histogram_t latency; /**< whole requests, arrival to answer */
} service_counters_t;

/** Runtime state of one service; outlives configurations. */
typedef struct service_t {
	char *name;
	service_kind_t kind;
	uint64_t timeout_us;
	GPtrArray *upstreams; /**< upstream_t */
	gate_t gate;
	budget_t hedge_budget, retry_budget, rescue_budget;
	histogram_t attempt_latency; /**< recent, for the hedge delay */
	snapshot_t *snapshot;	     /**< what the next query pins */
	bool snapshot_stale;
	uint64_t versions_changed_us; /**< when a searcher's versions last changed */
	GPtrArray *awaiting_versions; /**< query_t that wait for news of versions */
	bool configured;
	service_counters_t counters;
} service_t;

/** Switches of policy, for baselines in measurements. Defaults are all on. */
typedef struct engine_policy_t {
	bool hedge;
	bool choose_by_cost; /**< else round robin */
	bool adapt_limit;    /**< else each limit is the VM's share */
} engine_policy_t;

engine_t *engine_new(const engine_ops_t *ops, void *ctx, timeline_t *timeline, uint32_t seed,
		     const char *data_centre);
void engine_free(engine_t *engine);
void engine_set_policy(engine_t *engine, engine_policy_t policy);

/** Put @p config in force. Searchers that stay keep what is known of them. */
void engine_configure(engine_t *engine, const config_t *config, uint64_t now_us);
const service_t *engine_service(const engine_t *engine, const char *name);
/** All services, service_t; for status. */
const GPtrArray *engine_services(const engine_t *engine);

/**
 * Submit @p request, which is taken over. The answer comes by callback, perhaps before this
 * returns.
 * @return a reference for the caller, to be dropped once it is no longer needed
 */
query_t *engine_submit(engine_t *engine, request_t *request, void *owner, uint64_t now_us);
/** The caller has gone: stop, without an answer. */
void engine_abandon(engine_t *engine, query_t *query, uint64_t now_us);
/** What became of an attempt. Takes @p reply. Unknown ids are counted and dropped. */
void engine_attempt_ended(engine_t *engine, uint64_t attempt_id, reply_t *reply, uint64_t now_us);
void engine_claimed(engine_t *engine, query_t *query, claim_result_t end, uint64_t now_us);
/** A health probe of a searcher was answered. */
void engine_health(engine_t *engine, upstream_t *upstream, const upstream_report_t *report,
		   uint64_t now_us);
/** A health probe failed; @p refused: nobody listens there. */
void engine_health_failed(engine_t *engine, upstream_t *upstream, bool refused, uint64_t now_us);

/** Another VM was told by a searcher that it leaves. */
void engine_leave_notice(engine_t *engine, const char *service, const char *upstream,
			 uint64_t now_us);

/** When engine_run() is next needed, or TIMERS_NEVER. */
uint64_t engine_next_us(const engine_t *engine);
void engine_run(engine_t *engine, uint64_t now_us);
/** Queries not answered yet. */
uint32_t engine_open_queries(const engine_t *engine);
/** Replies that matched no attempt: late, doubled or foreign ones. */
uint64_t engine_stray_replies(const engine_t *engine);

#endif
