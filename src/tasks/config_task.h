/**
 * @file config_task.h
 * Keeps up with the platform's object `config/main`, and proposes changes of it.
 */
#ifndef DS_CONFIG_TASK_H
#define DS_CONFIG_TASK_H

#include "core/proposal.h"
#include "tasks/query_task.h"

#define CONFIG_PATH "config/main"

typedef struct config_task_t config_task_t;

/** How a proposal ended; strings are borrowed. */
typedef struct config_outcome_t {
	proposal_outcome_t end;
	uint64_t number;
	const char *other;
} config_outcome_t;

typedef void (*config_done_f)(void *ctx, const config_outcome_t *outcome);

config_task_t *config_task_new(loop_t *loop, platform_task_t *platform, query_task_t *queries,
			       timeline_t *timeline);
/** Whether this VM is one that watches the platform; the others ask it now and then. */
typedef bool (*config_watches_f)(void *ctx);
void config_task_set_watcher(config_task_t *task, config_watches_f watches, void *ctx);
/** Start watching. */
void config_task_start(config_task_t *task);
/** Propose @p config, already checked, to follow number @p base. @p done is called once. */
void config_task_propose(config_task_t *task, const proposal_origin_t *origin, uint64_t base,
			 json_t *config, config_done_f done, void *ctx);

#endif
