/**
 * @file query.h
 * One caller's request on its way: the pinned snapshot, its parts, the attempts, the answer.
 */
#ifndef DS_QUERY_H
#define DS_QUERY_H

#include "core/gate.h"
#include "core/outcome.h"
#include "core/reply.h"
#include "core/snapshot.h"
#include "core/timers.h"

typedef struct query_t query_t;

/** What the caller asked. Strings are owned. */
typedef struct request_t {
	char *id; /**< the caller's Request-Id, or ours; not unique, so never used as a key */
	char *service;
	service_kind_t kind;
	request_class_t class;
	uint64_t deadline_us;
	char *text;	 /**< search */
	uint32_t limit;	 /**< most records wanted; 0 for all */
	char *record_id; /**< lookup */
	char *key;	 /**< action: the idempotency key */
	char *body;	 /**< action */
} request_t;

request_t *request_new(void);
void request_free(request_t *request);

/** What the caller is told. Arrays and records are owned by the query. */
typedef struct answer_t {
	refusal_t refusal; /**< REFUSAL_NONE for an answer */
	uint64_t retry_after_us;
	uint64_t version;
	uint32_t partitions;   /**< partitions of the pinned map that were asked for */
	uint32_t answered;     /**< of them, how many are in the records */
	const GArray *missing; /**< uint32_t; the rest */
	const json_t *records;
} answer_t;

typedef enum attempt_kind_t { ATTEMPT_FIRST, ATTEMPT_HEDGE, ATTEMPT_RETRY } attempt_kind_t;

/** A place in one searcher's waiting queue. */
typedef struct waiter_t {
	struct attempt_t *attempt;
	upstream_t *upstream;
	GList link;
} waiter_t;

/** One sub-request to one searcher, waiting for room or sent. */
typedef struct attempt_t {
	uint64_t id; /**< unique in this process: what an answer is matched by */
	query_t *query;
	uint32_t part;
	attempt_kind_t kind;
	upstream_t *upstream; /**< NULL while waiting */
	uint64_t sent_us;
	timer_entry_t timer; /**< hedge, then rescue */
	bool rescued;
	GPtrArray *waiters; /**< waiter_t, while waiting */
} attempt_t;

/** One target of the snapshot as this query uses it. */
typedef struct part_t {
	const GArray *partitions; /**< uint32_t, rising */
	GPtrArray *replicas;	  /**< upstream_t, borrowed from the snapshot */
	GPtrArray *tried;	  /**< upstream_t asked, which may be asked again after a backoff */
	GPtrArray *excluded;	  /**< upstream_t that can't answer this part at this snapshot */
	GPtrArray *attempts;	  /**< attempt_t that are live */
	uint32_t backoffs;
	timer_entry_t backoff;
	struct query_t *query;
	uint32_t index;
	bool answered;
	bool lost; /**< nobody is left to ask */
} part_t;

struct query_t {
	gint refs;
	request_t *request;
	gate_entry_t gate_entry;
	uint64_t admitted_us;
	snapshot_t *snapshot;
	GArray *single_partition; /**< lookup: the one partition */
	GPtrArray *parts;	  /**< part_t */
	GArray *missing;
	json_t *records;
	GHashTable *merged_ids; /**< ids of records taken */
	timer_entry_t deadline;
	uint32_t restarts;
	timer_entry_t versions_timer; /**< waits for news of versions until then */
	bool waited_for_versions;
	ran_t ran; /**< action: what is known */
	bool sent; /**< some attempt was sent */
	bool finished;
	void *service; /**< the engine's state of the service */
	void *engine;
	void *owner; /**< for whoever submitted it */
};

query_t *query_new(request_t *request);
query_t *query_ref(query_t *query);
void query_unref(query_t *query);
/** Pin @p snapshot (taking a reference) and lay out the parts; drops what an earlier pin gathered.
 */
void query_pin(query_t *query, snapshot_t *snapshot);
/** Whether an answer is exactly what @p part asked for: version and partitions. */
bool query_accepts(const query_t *query, const part_t *part, const reply_t *reply);
/** Merge an accepted answer; records are taken once by id. */
void query_merge(query_t *query, part_t *part, const reply_t *reply);
/** Whether every part is answered or lost. */
bool query_is_done(const query_t *query);
/** Whether nothing is missing. */
bool query_is_complete(const query_t *query);
/** Partitions answered so far. */
uint32_t query_answered(const query_t *query);
/** Fill in @p answer from what has been gathered. */
void query_answer(query_t *query, answer_t *answer);

#endif
