/**
 * @file admin_task.h
 * Owns the operators' address: health, readiness, metrics, queries and commands.
 */
#ifndef DS_ADMIN_TASK_H
#define DS_ADMIN_TASK_H

#include "queries/status.h"
#include "tasks/config_task.h"

typedef struct admin_task_t admin_task_t;

/** NULL when the address can't be listened on. @p source must outlive the task. */
admin_task_t *admin_task_new(loop_t *loop, const status_source_t *source, config_task_t *configs);

#endif
