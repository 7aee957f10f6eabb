/**
 * @file admin_task.h
 * HTTP server for operators: health, readiness, metrics, status queries and commands.
 */
#ifndef DS_ADMIN_TASK_H
#define DS_ADMIN_TASK_H

#include "queries/status.h"
#include "tasks/config_task.h"

typedef struct admin_task_t admin_task_t;

/**
 * Start listening on the admin address. @p source must outlive the task.
 * @return NULL when the address can't be listened on
 */
admin_task_t *admin_task_new(loop_t *loop, const status_source_t *source, config_task_t *configs);

#endif
