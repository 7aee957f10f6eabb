/**
 * @file status.h
 * Operators' queries about one daemon, as JSON; and its counters for /metrics.
 */
#ifndef DS_STATUS_H
#define DS_STATUS_H

#include "settings.h"
#include "tasks/peer_task.h"
#include "tasks/platform_task.h"
#include "tasks/query_task.h"

#include <jansson.h>

/** What a status is made of; borrowed. */
typedef struct status_source_t {
	const settings_t *settings;
	const query_task_t *queries;
	const platform_task_t *platform;
	const timeline_t *timeline;
	const peer_task_t *peers;
	bool leaving;
} status_source_t;

json_t *status_vm(const status_source_t *source);
json_t *status_services(const status_source_t *source);
json_t *status_upstreams(const status_source_t *source);
json_t *status_members(const status_source_t *source);
json_t *status_config(const status_source_t *source);
/** Events at or after @p since. */
json_t *status_timeline(const status_source_t *source, hlc_t since);
/** Prometheus text, for the caller to g_free(). */
char *status_metrics(const status_source_t *source);

#endif
