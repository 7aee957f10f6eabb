/**
 * @file engine_private.h
 * Declarations shared by the engine's source files: engine.c (requests), dispatch.c (sub-requests),
 * restart.c (changes of versions), upstream_status.c (status reports of searchers), service.c
 * (runtime state of a service).
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
	uint64_t last_entered_us; /* when engine_enter() was last called */
	uint64_t stray_replies;	  /* late, duplicate or misrouted */
};

/* dispatch.c */

/**
 * Start an attempt for @p part: send it, or queue it until a replica has capacity. If no replica is
 * left to ask, back off or declare the part lost.
 */
void dispatch_part(engine_t *engine, part_t *part, attempt_kind_t kind, uint64_t now_us);
/** End every attempt of @p query and cancel its parts' timers. */
void dispatch_stop(engine_t *engine, query_t *query, uint64_t now_us);
/** @p upstream may have capacity again: send the attempts that wait for it. */
void dispatch_send_waiting(engine_t *engine, upstream_t *upstream, uint64_t now_us);
/** @p upstream takes no new work any more: dispatch the attempts that wait for it again. */
void dispatch_reassign_waiting(engine_t *engine, upstream_t *upstream, uint64_t now_us);

/* engine.c */

service_t *engine_service_of(const query_t *query);
service_t *engine_find_service(const engine_t *engine, const char *name);
/** Dispatch every part of @p query. */
void engine_scatter(engine_t *engine, query_t *query, uint64_t now_us);
/** @p part can't be answered at this snapshot: restart the query at another, or leave it out. */
void engine_part_lost(engine_t *engine, part_t *part, uint64_t now_us);
/** Answer @p query if every part has been answered or lost. */
void engine_check_done(engine_t *engine, query_t *query, uint64_t now_us);
/** Record whether an action ran, as @p ran, and answer it with @p refusal. */
void engine_action_ended(engine_t *engine, query_t *query, refusal_t refusal, ran_t ran,
			 uint64_t now_us);

/* upstream_status.c */

/** Note a call from outside at @p now_us; detects that the process was paused before it. */
void engine_enter(engine_t *engine, uint64_t now_us);

/** Apply a searcher's status report, from a health page or a reply. */
void engine_apply_report(engine_t *engine, upstream_t *upstream, const upstream_report_t *report,
			 uint64_t now_us);

/* service.c */

service_t *service_new(const char *name);
void service_free(void *service);
/**
 * Configure @p service from @p from. Searchers that it names again keep their status and
 * statistics.
 * @param withdrawn_before the searchers that the previous configuration had withdrawn
 */
void service_configure(engine_t *engine, service_t *service, const config_t *config,
		       const service_config_t *from, const GHashTable *withdrawn_before);
/** Choose the service's snapshot again if it is marked stale. */
void service_refresh_snapshot(service_t *service);
/** Number of requests that may run at once. */
double service_capacity(const service_t *service);

/* restart.c */

/** Restart @p query if another snapshot covers more; returns true if it restarted. */
bool restart_try(engine_t *engine, query_t *query, uint64_t now_us);
/**
 * Let @p query, done but not complete, wait for a change of versions if that can help; returns true
 * if it waits.
 */
bool restart_wait_for_versions(engine_t *engine, query_t *query, uint64_t now_us);
/** Stop the wait of @p query for a change of versions. */
void restart_stop_waiting(engine_t *engine, query_t *query);
/** A searcher's versions or usability changed: try to restart the queries that wait. */
void restart_versions_changed(engine_t *engine, service_t *service, uint64_t now_us);

#endif
