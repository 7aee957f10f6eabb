/**
 * @file plan.c
 * See plan.h. docs/decisions/0007-intents.md compares the alternatives.
 */
#include "core/plan.h"

#include <stdlib.h>
#include <string.h>

static const char *const verb_names[] = {
	[PLAN_TAKE_OUT] = "take-out", [PLAN_BRING_BACK] = "bring-back"};

bool plan_verb_parse(const char *text, plan_verb_t *verb)
{
	for (size_t i = 0; i < G_N_ELEMENTS(verb_names); i++) {
		if (!g_str_equal(text, verb_names[i]))
			continue;
		*verb = (plan_verb_t)i;
		return true;
	}
	return false;
}

static bool is_listed(const json_t *list, const char *name)
{
	size_t i;
	json_t *item;

	json_array_foreach ((json_t *)list, i, item)
		if (g_strcmp0(json_string_value(item), name) == 0)
			return true;
	return false;
}

static json_t *list_without(const json_t *list, const char *name)
{
	json_t *rest = json_array(), *item;
	size_t i;

	json_array_foreach ((json_t *)list, i, item)
		if (g_strcmp0(json_string_value(item), name) != 0)
			json_array_append(rest, item);
	return rest;
}

/* The new "out" list of the configuration; NULL when the plan changes nothing. */
static json_t *new_out_list(plan_verb_t verb, const char *name, const json_t *out, err_t *err)
{
	json_t *list;

	if (is_listed(out, name) == (verb == PLAN_TAKE_OUT)) {
		err_set(err, ERR_VALUE, "\"%.63s\" is %s already", name,
			verb == PLAN_TAKE_OUT ? "out" : "in");
		return NULL;
	}
	list = list_without(out, name);
	if (verb == PLAN_TAKE_OUT)
		json_array_append_new(list, json_string(name));
	return list;
}

/* Whether the upstream works now: its state is known, and it is neither leaving nor down.
 * count_searchers() checks whether the configuration declares it in. */
static bool is_working(const service_t *service, const upstream_config_t *config)
{
	for (guint i = 0; service && i < service->upstreams->len; i++) {
		const upstream_t *upstream = g_ptr_array_index(service->upstreams, i);

		if (!g_str_equal(upstream->name, config->name))
			continue;
		return !upstream->leaving_reported &&
		       (upstream->state == UPSTREAM_READY || upstream->state == UPSTREAM_COLD);
	}
	return false;
}

/** Number of working searchers of a group or service, before and after the plan. */
typedef struct searcher_count_t {
	int before, after;
} searcher_count_t;

static searcher_count_t count_searchers(const service_t *service, const group_config_t *old_group,
					const group_config_t *new_group)
{
	searcher_count_t count = {0};

	for (guint i = 0; i < old_group->upstreams->len; i++) {
		const upstream_config_t *old = g_ptr_array_index(old_group->upstreams, i);
		const upstream_config_t *new = g_ptr_array_index(new_group->upstreams, i);
		bool working = is_working(service, old);

		count.before += working && !old->withdrawn;
		count.after += working && !new->withdrawn;
	}
	return count;
}

static void assess_service(plan_t *plan, const engine_t *engine, const service_config_t *old,
			   const service_config_t *new)
{
	const service_t *service = engine_service(engine, old->name);
	searcher_count_t sum = {0};

	for (guint i = 0; i < old->groups->len; i++) {
		const group_config_t *group = g_ptr_array_index(old->groups, i);
		searcher_count_t count =
			count_searchers(service, group, g_ptr_array_index(new->groups, i));

		sum.before += count.before;
		sum.after += count.after;
		if (count.after == 0 && count.before > 0)
			json_array_append_new(plan->lost_groups,
					      json_sprintf("%s/%s", old->name, group->name));
	}
	if (sum.before == sum.after)
		return;
	json_array_append_new(plan->effects,
			      json_pack("{s:s, s:i, s:i, s:i}", "service", old->name,
					"searchers_before", sum.before, "searchers_after",
					sum.after, "capacity_left_percent",
					sum.before ? 100 * sum.after / sum.before : 0));
}

static bool assess_services(plan_t *plan, const active_config_t *active, const engine_t *engine,
			    err_t *err)
{
	config_t *fresh = config_parse(plan->config, plan->base + 1, err);

	if (!fresh)
		return false;
	for (guint i = 0; i < fresh->services->len; i++)
		assess_service(plan, engine, g_ptr_array_index(active->config->services, i),
			       g_ptr_array_index(fresh->services, i));
	config_unref(fresh);
	return true;
}

plan_t *plan_make(plan_verb_t verb, const char *name, const active_config_t *active,
		  const engine_t *engine, err_t *err)
{
	plan_t *plan;
	json_t *out;

	if (!active->config) {
		err_set(err, ERR_IO, "this VM has no configuration yet");
		return NULL;
	}
	out = new_out_list(verb, name, json_object_get(active->config->source, "out"), err);
	if (!out)
		return NULL;
	plan = g_new0(plan_t, 1);
	plan->verb = verb;
	plan->name = g_strdup(name);
	plan->base = active_config_number(active);
	plan->id = g_strdup_printf("%s.%s.%" G_GUINT64_FORMAT, verb_names[verb], name, plan->base);
	plan->config = json_copy(active->config->source);
	json_object_set_new(plan->config, "out", out);
	plan->effects = json_array();
	plan->lost_groups = json_array();
	if (assess_services(plan, active, engine, err))
		return plan;
	plan_free(plan);
	return NULL;
}

plan_t *plan_recompute(const char *id, const active_config_t *active, const engine_t *engine,
		       err_t *err)
{
	g_auto(GStrv) parts = g_strsplit(id, ".", 0);
	plan_verb_t verb;

	if (g_strv_length(parts) != 3 || !plan_verb_parse(parts[0], &verb)) {
		err_set(err, ERR_VALUE, "\"%.100s\" is not the name of a plan", id);
		return NULL;
	}
	if (strtoull(parts[2], NULL, 10) != active_config_number(active)) {
		err_set(err, ERR_CONFLICT,
			"the plan rests on configuration %s, and %" G_GUINT64_FORMAT
			" is in force: make it anew",
			parts[2], active_config_number(active));
		return NULL;
	}
	return plan_make(verb, parts[1], active, engine, err);
}

void plan_free(plan_t *plan)
{
	g_free(plan->id);
	g_free(plan->name);
	json_decref(plan->config);
	json_decref(plan->effects);
	json_decref(plan->lost_groups);
	g_free(plan);
}

json_t *plan_json(const plan_t *plan)
{
	return json_pack(
		"{s:s, s:s, s:s, s:I, s:O, s:O, s:s}", "plan", plan->id, "verb",
		verb_names[plan->verb], "name", plan->name, "rests_on", (json_int_t)plan->base,
		"effects", plan->effects, "groups_lost", plan->lost_groups, "step",
		plan->verb == PLAN_TAKE_OUT
			? "propose a configuration that gives it no new work; what is under way "
			  "is finished"
			: "propose a configuration that gives it work again");
}
