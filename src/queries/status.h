/**
 * @file status.h
 * Status pages of one daemon for operators, as JSON, and its counters for /metrics.
 */
#ifndef DS_STATUS_H
#define DS_STATUS_H

#include "settings.h"
#include "tasks/peer_task.h"
#include "tasks/platform_task.h"
#include "tasks/query_task.h"

#include <jansson.h>

/** The modules whose state the pages show; borrowed. */
typedef struct status_source_t {
	const settings_t *settings;
	const query_task_t *queries;
	const platform_task_t *platform;
	const timeline_t *timeline;
	const peer_task_t *peers;
	bool leaving; /**< the daemon is draining */
} status_source_t;

json_t *status_vm(const status_source_t *source);
json_t *status_services(const status_source_t *source);
json_t *status_upstreams(const status_source_t *source);
json_t *status_members(const status_source_t *source);
json_t *status_config(const status_source_t *source);
/** @return the timeline's events at or after @p since */
json_t *status_timeline(const status_source_t *source, hlc_t since);
/** @return metrics as Prometheus text, which the caller frees with g_free() */
char *status_metrics(const status_source_t *source);

#endif
