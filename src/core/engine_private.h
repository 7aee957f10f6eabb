/**
 * @file engine_private.h
 * What the parts of the engine share: engine.c (requests), dispatch.c (sub-requests), restart.c
 * (versions that change), news.c (what is heard of searchers), service.c (a service at run time).
 */
#ifndef DS_ENGINE_PRIVATE_H
#define DS_ENGINE_PRIVATE_H

#include "core/engine.h"

struct engine_t {
	const engine_ops_t *ops;
	void *ctx;
	timeline_t *timeline;
	char *data_centre;
	GRand *rand;
	timers_t timers;
	engine_policy_t policy;
	GPtrArray *services;  /* service_t */
	GHashTable *attempts; /* id -> attempt_t */
	uint64_t last_attempt_id;
	uint32_t open_queries;
	uint32_t round_robin;
	uint64_t last_entered_us; /* when the engine was last entered */
	uint64_t stray_replies;	  /* late, doubled or foreign */
};

/* dispatch.c */

/** Start asking for @p part: send, or wait for room, or find that nobody is left to ask. */
void dispatch_part(engine_t *engine, part_t *part, attempt_kind_t kind, uint64_t now_us);
/** End every attempt of @p query, and its parts' timers. */
void dispatch_stop(engine_t *engine, query_t *query, uint64_t now_us);
/** @p upstream may have room again: send what waits for it. */
void dispatch_send_waiting(engine_t *engine, upstream_t *upstream, uint64_t now_us);
/** @p upstream takes no new work any more: let those who wait for it look elsewhere. */
void dispatch_reassign_waiting(engine_t *engine, upstream_t *upstream, uint64_t now_us);

/* engine.c */

service_t *engine_service_of(const query_t *query);
service_t *engine_find_service(const engine_t *engine, const char *name);
/** Ask for every part of @p query. */
void engine_scatter(engine_t *engine, query_t *query, uint64_t now_us);
/** @p part can't be answered at this snapshot: restart the query at another, or go without. */
void engine_part_lost(engine_t *engine, part_t *part, uint64_t now_us);
/** A part has been answered or lost: answer the query if that was the last. */
void engine_check_done(engine_t *engine, query_t *query, uint64_t now_us);
/** An action ended without or with an effect; answers it. */
void engine_action_ended(engine_t *engine, query_t *query, refusal_t refusal, ran_t ran,
			 uint64_t now_us);

/* news.c */

/** Every entry from outside goes through here: notices that the process had been paused. */
void engine_enter(engine_t *engine, uint64_t now_us);

/** Take in what a searcher said of itself, from whichever side. */
void engine_apply_report(engine_t *engine, upstream_t *upstream, const upstream_report_t *report,
			 uint64_t now_us);

/* service.c */

service_t *service_new(const char *name);
void service_free(void *service);
/** Take up @p from; searchers that stay keep what is known of them. @p withdrawn_before: those that
 * were out.
 */
void service_configure(engine_t *engine, service_t *service, const config_t *config,
		       const service_config_t *from, const GHashTable *withdrawn_before);
/** Choose the service's snapshot anew if what is known has changed. */
void service_refresh_snapshot(service_t *service);
/** Requests that may run at once. */
double service_capacity(const service_t *service);

/* restart.c */

/** Begin @p query anew if another snapshot gives more; true if it did. */
bool restart_try(engine_t *engine, query_t *query, uint64_t now_us);
/** Whether @p query, settled but not whole, should wait for news of versions; it then waits. */
bool restart_wait_for_versions(engine_t *engine, query_t *query, uint64_t now_us);
/** @p query waits no longer. */
void restart_stop_waiting(engine_t *engine, query_t *query);
/** Something was heard of the service's searchers: let those who wait try. */
void restart_versions_changed(engine_t *engine, service_t *service, uint64_t now_us);

#endif
