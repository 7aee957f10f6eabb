/**
 * @file intent.c
 * See intent.h.
 */
#include "commands/intent.h"

static const char *string_field(const json_t *body, const char *key)
{
	const char *text = json_string_value(json_object_get(body, key));

	return text ? text : "";
}

plan_t *intent_plan(const GString *body, const active_config_t *active_config,
		    const engine_t *engine, err_t *err)
{
	json_t *parsed = json_loadb(body->str, body->len, JSON_REJECT_DUPLICATES, NULL);
	plan_t *plan = NULL;
	plan_verb_t verb;

	if (!plan_verb_parse(string_field(parsed, "verb"), &verb))
		err_set(err, ERR_VALUE, "verb: must be take-out or bring-back");
	else
		plan = plan_make(verb, string_field(parsed, "name"), active_config, engine, err);
	json_decref(parsed);
	return plan;
}

static bool is_forced(const json_t *force, const char *group)
{
	size_t i;
	json_t *item;

	json_array_foreach ((json_t *)force, i, item)
		if (g_strcmp0(json_string_value(item), group) == 0)
			return true;
	return false;
}

/* The losses are those of the plan as made again at confirmation: searchers may have been lost
 * since the operator read the plan. */
static bool check_losses(const plan_t *plan, const json_t *force, err_t *err)
{
	size_t i;
	json_t *item;

	json_array_foreach (plan->lost_groups, i, item)
		if (!is_forced(force, json_string_value(item)))
			return err_set(err, ERR_VALUE,
				       "%s would lose its last working "
				       "searcher; force it by that name",
				       json_string_value(item));
	return true;
}

plan_t *intent_confirm(const GString *body, const active_config_t *active_config,
		       const engine_t *engine, char **by, err_t *err)
{
	json_t *parsed = json_loadb(body->str, body->len, JSON_REJECT_DUPLICATES, NULL);
	plan_t *plan = plan_recompute(string_field(parsed, "plan"), active_config, engine, err);

	*by = g_strdup(string_field(parsed, "by"));
	if (plan && !check_losses(plan, json_object_get(parsed, "force"), err)) {
		plan_free(plan);
		plan = NULL;
	}
	json_decref(parsed);
	return plan;
}
