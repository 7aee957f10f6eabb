/**
 * @file query_task.h
 * Runs the query engine, the claims and the active configuration, driven by messages and timers.
 */
#ifndef DS_QUERY_TASK_H
#define DS_QUERY_TASK_H

#include "core/active_config.h"
#include "core/engine.h"
#include "settings.h"
#include "tasks/platform_task.h"
#include "tasks/ticket.h"

typedef struct query_task_t query_task_t;

/** Receiver of answers; called from the loop. It takes ownership of the reply. */
typedef struct query_task_ops_t {
	void (*reply)(void *ctx, ticket_reply_t *reply);
} query_task_ops_t;

/** @param replies limits the memory of unfinished replies of searchers */
query_task_t *query_task_new(loop_t *loop, const settings_t *settings, http_memory_t *replies,
			     platform_task_t *platform, timeline_t *timeline);
void query_task_set_ops(query_task_t *task, const query_task_ops_t *ops, void *ctx);

/** Called for what this VM has found out and its peers should know. */
typedef struct query_task_announce_ops_t {
	/** A configuration came into force. */
	void (*config)(void *ctx, uint64_t number, json_t *value);
	/** A searcher reported the state "leaving". */
	void (*leaving)(void *ctx, const char *service, const char *upstream);
} query_task_announce_ops_t;

void query_task_set_announce_ops(query_task_t *task, const query_task_announce_ops_t *ops,
				 void *ctx);
/** Post a leave notice: a searcher reported the state "leaving" to another VM. */
void query_task_leave_notice(query_task_t *task, const char *service, const char *upstream);

/** Post a request. Takes ownership of @p ticket and @p request. */
void query_task_submit(query_task_t *task, ticket_t *ticket, request_t *request);
/** Post that the ticket's caller has disconnected. */
void query_task_abandon(query_task_t *task, ticket_t *ticket);
/** Post a configuration received from the platform or a peer. Takes the reference to @p value. */
void query_task_offer_config(query_task_t *task, uint64_t number, json_t *value);

/** For operators' status queries and the caller task's routing; read only. */
const engine_t *query_task_engine(const query_task_t *task);
const active_config_t *query_task_active_config(const query_task_t *task);
/** Whether this VM can serve: it has a configuration and knows the status of all searchers. */
bool query_task_ready(const query_task_t *task);
/** Whether no query or claim is in progress, so that the process may exit. */
bool query_task_idle(const query_task_t *task);
uint64_t query_task_claim_writes(const query_task_t *task);
uint64_t query_task_claims_won(const query_task_t *task);

#endif
