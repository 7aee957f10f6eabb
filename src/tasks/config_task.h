/**
 * @file config_task.h
 * Follows the platform's object `config/main`, the configuration, and proposes changes to it.
 */
#ifndef DS_CONFIG_TASK_H
#define DS_CONFIG_TASK_H

#include "core/proposal.h"
#include "tasks/query_task.h"

#define CONFIG_PATH "config/main"

typedef struct config_task_t config_task_t;

/** Result of a proposal; strings are borrowed. */
typedef struct config_proposal_result_t {
	proposal_outcome_t outcome;
	uint64_t number;
	const char *other; /**< conflict: who proposed the accepted configuration; may be NULL */
} config_proposal_result_t;

typedef void (*config_done_f)(void *ctx, const config_proposal_result_t *result);

config_task_t *config_task_new(loop_t *loop, platform_task_t *platform, query_task_t *queries,
			       timeline_t *timeline);
/** Whether this VM watches the platform's object; other VMs read it periodically. */
typedef bool (*config_watches_f)(void *ctx);
/** Without a watcher callback the task always watches. */
void config_task_set_watcher(config_task_t *task, config_watches_f watches, void *ctx);
/** Start to watch or periodically read the configuration. */
void config_task_start(config_task_t *task);
/**
 * Propose @p config, already validated, as the successor of number @p base.
 * @param done called once
 */
void config_task_propose(config_task_t *task, const proposal_origin_t *origin, uint64_t base,
			 json_t *config, config_done_f done, void *ctx);

#endif
