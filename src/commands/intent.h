/**
 * @file intent.h
 * Operators' commands that take a searcher or data centre out of service or bring it back: make a
 * plan, and confirm it.
 */
#ifndef DS_INTENT_H
#define DS_INTENT_H

#include "core/plan.h"

/**
 * Parse {"verb", "name"} and make the plan.
 * @return NULL with the error in @p err
 */
plan_t *intent_plan(const GString *body, const active_config_t *active_config,
		    const engine_t *engine, err_t *err);
/**
 * Parse {"plan", "by", "force"} and make the plan again. A plan that would take a group's last
 * working searcher is refused unless `force` names that group.
 * @param by set to who confirms the plan; the caller frees it with g_free()
 */
plan_t *intent_confirm(const GString *body, const active_config_t *active_config,
		       const engine_t *engine, char **by, err_t *err);

#endif
