/**
 * @file caller_task.h
 * HTTP server for callers: validates and routes requests, and sends one answer to each.
 */
#ifndef DS_CALLER_TASK_H
#define DS_CALLER_TASK_H

#include "tasks/query_task.h"

typedef struct caller_task_t caller_task_t;

/**
 * Start listening on the callers' address.
 * @return NULL when the address can't be listened on
 */
caller_task_t *caller_task_new(loop_t *loop, const settings_t *settings, query_task_t *queries);
/**
 * A planned stop begins: answers tell callers to close their connections; new requests are still
 * served.
 */
void caller_task_drain(caller_task_t *task);
/** The process ends at @p stop_us: requests whose deadline is later are refused as not run. */
void caller_task_stop_at(caller_task_t *task, uint64_t stop_us);
/** Requests that have not been answered yet. */
uint32_t caller_task_open_requests(const caller_task_t *task);
/** When the last request arrived; 0 before the first. */
uint64_t caller_task_last_request_us(const caller_task_t *task);

#endif
