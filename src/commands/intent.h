/**
 * @file intent.h
 * Operators' commands: plan an intent, and confirm a plan.
 */
#ifndef DS_INTENT_H
#define DS_INTENT_H

#include "core/plan.h"

/** Read {"verb", "name"} and work out its plan. NULL with the fault in @p err. */
plan_t *intent_plan(const GString *body, const active_config_t *adoption, const engine_t *engine,
		    err_t *err);
/**
 * Read {"plan", "by", "force"} and work out the plan again, refusing it when it would lose a
 * group's last working searcher and `force` does not name that group.
 * @param by who confirms; set for the caller to g_free()
 */
plan_t *intent_confirm(const GString *body, const active_config_t *adoption, const engine_t *engine,
		       char **by, err_t *err);

#endif
