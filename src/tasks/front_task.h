/**
 * @file front_task.h
 * Owns the callers' sockets of a VM that forwards by routes, and the forwarder behind them.
 */
#ifndef DS_FRONT_TASK_H
#define DS_FRONT_TASK_H

#include "settings.h"
#include "tasks/platform_task.h"

typedef struct front_task_t front_task_t;

/** NULL when an address can't be listened on. */
front_task_t *front_task_new(loop_t *loop, const settings_t *settings, platform_task_t *platform);
/** Take what a reload may change: the bound on retries. */
void front_task_configure(front_task_t *task, const settings_t *settings);
/** What is known may be old: the VM stood still. It is read again. */
void front_task_refresh(front_task_t *task);
/** A planned stop begins: not ready, answers tell callers to close, requests are still served. */
void front_task_leave(front_task_t *task);
/** Take nothing new: requests to come are refused as not run, and don't count as requests. */
void front_task_refuse(front_task_t *task);
/** Close kept connections on which nothing has begun: the end of a planned stop is near. */
void front_task_close_idle(front_task_t *task);
/** Requests not wholly answered yet. */
uint32_t front_task_open(const front_task_t *task);
uint64_t front_task_last_request_us(const front_task_t *task);

#endif
