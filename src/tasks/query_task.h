/**
 * @file query_task.h
 * Owns the engine, the claims and the configuration in force; drives them by messages.
 */
#ifndef DS_QUERY_TASK_H
#define DS_QUERY_TASK_H

#include "core/adoption.h"
#include "core/engine.h"
#include "settings.h"
#include "tasks/platform_task.h"
#include "tasks/ticket.h"

typedef struct query_task_t query_task_t;

/** Where answers go; called from the loop. The receiver takes the reply. */
typedef struct query_task_ops_t {
	void (*reply)(void *ctx, ticket_reply_t *reply);
} query_task_ops_t;

query_task_t *query_task_new(loop_t *loop, const settings_t *settings, platform_task_t *platform,
			     timeline_t *timeline);
void query_task_set_ops(query_task_t *task, const query_task_ops_t *ops, void *ctx);

/** Whom to tell what was found out here, for the peers. */
typedef struct query_task_news_t {
	void (*config)(void *ctx, uint64_t number, json_t *value);
	void (*leaving)(void *ctx, const char *service, const char *upstream);
} query_task_news_t;

void query_task_set_news(query_task_t *task, const query_task_news_t *news, void *ctx);
/** Post that a searcher told another VM that it leaves. */
void query_task_told_leaving(query_task_t *task, const char *service, const char *upstream);

/** Post a request; both are taken over. */
void query_task_submit(query_task_t *task, ticket_t *ticket, request_t *request);
/** Post that the ticket's caller has gone. */
void query_task_abandon(query_task_t *task, ticket_t *ticket);
/** Post a configuration heard of, from the platform or a peer; @p value's reference is taken. */
void query_task_offer_config(query_task_t *task, uint64_t number, json_t *value);

/** For queries by operators and routing by the caller task; read only. */
const engine_t *query_task_engine(const query_task_t *task);
const active_config_t *query_task_adoption(const query_task_t *task);
/** Whether this VM can serve: it has a configuration and has heard of searchers. */
bool query_task_ready(const query_task_t *task);
/** Whether nothing is under way, so that the process may end. */
bool query_task_idle(const query_task_t *task);
uint64_t query_task_claim_writes(const query_task_t *task);
uint64_t query_task_claims_won(const query_task_t *task);

#endif
