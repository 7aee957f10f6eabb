/**
 * @file query.h
 * A query, one caller's request being processed: its pinned snapshot, parts, attempts and answer.
 */
#ifndef DS_QUERY_H
#define DS_QUERY_H

#include "core/gate.h"
#include "core/outcome.h"
#include "core/reply.h"
#include "core/snapshot.h"
#include "core/timers.h"

typedef struct query_t query_t;

/** A caller's request. Strings are owned. */
typedef struct request_t {
	char *id; /**< the caller's Request-Id or a generated one; not unique, so never a key */
	char *service;
	service_kind_t kind;
	request_class_t class;
	uint64_t deadline_us;
	char *text;	 /**< search */
	uint32_t limit;	 /**< maximum number of records; 0 for all */
	char *record_id; /**< lookup */
	char *key;	 /**< action: the idempotency key */
	char *body;	 /**< action */
} request_t;

request_t *request_new(void);
void request_free(request_t *request);

/** The answer to the caller. Arrays and records are owned by the query. */
typedef struct answer_t {
	refusal_t refusal; /**< REFUSAL_NONE for an answer */
	uint64_t retry_after_us;
	uint64_t version;
	uint32_t partitions;   /**< number of partitions that the request covers */
	uint32_t answered;     /**< how many of them were answered */
	const GArray *missing; /**< uint32_t; the partitions that were not */
	const json_t *records;
} answer_t;

typedef enum attempt_kind_t { ATTEMPT_FIRST, ATTEMPT_HEDGE, ATTEMPT_RETRY } attempt_kind_t;

/** An attempt's entry in one searcher's queue. */
typedef struct waiter_t {
	struct attempt_t *attempt;
	upstream_t *upstream;
	GList link;
} waiter_t;

/** One sub-request to one searcher, waiting for capacity or sent. */
typedef struct attempt_t {
	uint64_t id; /**< unique in this process; replies are matched by it */
	query_t *query;
	uint32_t part;
	attempt_kind_t kind;
	upstream_t *upstream; /**< NULL while waiting */
	uint64_t sent_us;
	timer_entry_t timer; /**< first the hedge delay, then the rescue time-out */
	bool rescued;
	GPtrArray *waiters; /**< waiter_t, one per queue, while waiting */
} attempt_t;

/** The state of one target of the pinned snapshot within a query. */
typedef struct part_t {
	const GArray *partitions; /**< uint32_t, ascending */
	GPtrArray *replicas;	  /**< upstream_t, borrowed from the snapshot */
	GPtrArray *tried;	  /**< upstream_t asked; may be asked again after a backoff */
	GPtrArray *excluded;	  /**< upstream_t that can't answer this part at this snapshot */
	GPtrArray *attempts;	  /**< attempt_t that are waiting or sent */
	uint32_t backoffs;
	timer_entry_t backoff;
	struct query_t *query;
	uint32_t index;
	bool answered;
	bool lost; /**< no replica is left that could answer */
} part_t;

struct query_t {
	gint refs;
	request_t *request;
	gate_entry_t gate_entry;
	uint64_t admitted_us;
	snapshot_t *snapshot;
	GArray *single_partition; /**< lookup and action: the partition that is asked */
	GPtrArray *parts;	  /**< part_t */
	GArray *missing;
	json_t *records;
	GHashTable *merged_ids; /**< ids of the records merged so far */
	timer_entry_t deadline;
	uint32_t restarts;
	timer_entry_t versions_timer; /**< end of the wait for a change of versions */
	bool waited_for_versions;
	ran_t ran; /**< action: whether it ran, as far as known */
	bool sent; /**< at least one attempt was sent */
	bool finished;
	void *service; /**< service_t */
	void *engine;
	void *owner; /**< set by the submitter of the query */
};

query_t *query_new(request_t *request);
query_t *query_ref(query_t *query);
void query_unref(query_t *query);
/**
 * Pin @p snapshot (taking a reference) and create the parts; drops the records and parts of an
 * earlier pin.
 */
void query_pin(query_t *query, snapshot_t *snapshot);
/** Whether @p reply has exactly the version and partitions that @p part asked for. */
bool query_accepts(const query_t *query, const part_t *part, const reply_t *reply);
/** Merge an accepted reply; of records with the same id only the first is merged. */
void query_merge(query_t *query, part_t *part, const reply_t *reply);
/** Whether every part is answered or lost. */
bool query_is_done(const query_t *query);
/** Whether every part is answered and no partition is missing. */
bool query_is_complete(const query_t *query);
/** Number of partitions answered so far. */
uint32_t query_answered(const query_t *query);
/** Fill in @p answer from the records merged so far. */
void query_answer(query_t *query, answer_t *answer);

#endif
