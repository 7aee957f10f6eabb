/**
 * @file plan.h
 * Computes what a change that an operator intends does, and what could go wrong, before anything
 * changes.
 *
 * The id of a plan consists of its verb, a name, and the number of the configuration that it is
 * based on ("take-out.osijek.7"), so any VM can compute the same plan again; nothing is stored
 * until the operator confirms the plan.
 */
#ifndef DS_PLAN_H
#define DS_PLAN_H

#include "core/active_config.h"
#include "core/engine.h"

typedef enum plan_verb_t {
	PLAN_TAKE_OUT,	 /**< a data centre or a searcher gets no new work */
	PLAN_BRING_BACK, /**< a data centre or a searcher gets new work again */
} plan_verb_t;

typedef struct plan_t {
	char *id;
	plan_verb_t verb;
	char *name;	     /**< of a data centre or a searcher */
	uint64_t base;	     /**< number of the configuration that it is based on */
	json_t *config;	     /**< the configuration to propose */
	json_t *effects;     /**< per service: searchers and capacity before and after */
	json_t *lost_groups; /**< groups that would lose their last working searcher,
			      * as "service/group" */
} plan_t;

/** Compute a plan. NULL with the reason in @p err. */
plan_t *plan_make(plan_verb_t verb, const char *name, const active_config_t *active,
		  const engine_t *engine, err_t *err);
/** Compute the plan @p id again; ERR_CONFLICT when its base is no longer in force. */
plan_t *plan_recompute(const char *id, const active_config_t *active, const engine_t *engine,
		       err_t *err);
void plan_free(plan_t *plan);
/** The plan as JSON for an operator; a new reference. */
json_t *plan_json(const plan_t *plan);
bool plan_verb_parse(const char *text, plan_verb_t *verb);

#endif
