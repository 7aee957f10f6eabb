/**
 * @file front_task.h
 * Owns the callers' sockets of a VM that forwards by routes, and the forwarder that serves them.
 */
#ifndef DS_FRONT_TASK_H
#define DS_FRONT_TASK_H

#include "settings.h"
#include "tasks/platform_task.h"

typedef struct front_task_t front_task_t;

/**
 * Returns NULL when the VM can't listen on an address.
 * @param replies limits the memory of unfinished replies of searchers
 */
front_task_t *front_task_new(loop_t *loop, const settings_t *settings, http_memory_t *replies,
			     platform_task_t *platform);
/** Apply the settings that a reload may change: the limit on retries. */
void front_task_configure(front_task_t *task, const settings_t *settings);
/** The VM was suspended, so its copy of the store's data may be out of date: read it again. */
void front_task_refresh(front_task_t *task);
/** Begin a planned stop: report not ready, tell callers to close, but still serve requests. */
void front_task_drain(front_task_t *task);
/** The process ends at @p stop_us: requests get their answers by then, or are refused as not run.
 */
void front_task_stop_at(front_task_t *task, uint64_t stop_us);
/** Refuse, as not run, new requests that may last beyond the stop. They do not count for
 * front_task_last_request_us(). */
void front_task_refuse_long(front_task_t *task);
/** Near the end of a planned stop: close keep-alive connections on which no request has begun. */
void front_task_close_idle(front_task_t *task);
/** Number of requests that are not yet answered completely. */
uint32_t front_task_open_requests(const front_task_t *task);
uint64_t front_task_last_request_us(const front_task_t *task);

#endif
