/**
 * @file plan.h
 * An operator's intent, worked out before anything changes: what it does and what could go wrong.
 *
 * A plan is named by what it says and the configuration that it rests on ("take-out.osijek.7"), so
 * any VM can work out the same plan again; nothing is kept until it is confirmed.
 */
#ifndef DS_PLAN_H
#define DS_PLAN_H

#include "core/adoption.h"
#include "core/engine.h"

typedef enum plan_verb_t {
	PLAN_TAKE_OUT,	 /**< a data centre or a searcher gets no new work */
	PLAN_BRING_BACK, /**< it does again */
} plan_verb_t;

typedef struct plan_t {
	char *id;
	plan_verb_t verb;
	char *name;	 /**< of a data centre or a searcher */
	uint64_t base;	 /**< number of the configuration that it rests on */
	json_t *config;	 /**< the configuration to propose */
	json_t *effects; /**< per service: searchers and capacity before and after */
	json_t *losses;	 /**< groups that would lose their last working searcher: "service/group" */
} plan_t;

/** Work out a plan. NULL with the reason in @p err. */
plan_t *plan_make(plan_verb_t verb, const char *name, const active_config_t *active,
		  const engine_t *engine, err_t *err);
/** Work out again the plan named @p id; ERR_CONFLICT when what it rests on has moved. */
plan_t *plan_again(const char *id, const active_config_t *active, const engine_t *engine,
		   err_t *err);
void plan_free(plan_t *plan);
/** The plan as an operator reads it. A new reference. */
json_t *plan_json(const plan_t *plan);
bool plan_verb_parse(const char *text, plan_verb_t *verb);

#endif
