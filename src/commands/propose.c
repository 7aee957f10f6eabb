/**
 * @file propose.c
 * See propose.h.
 */
#include "commands/propose.h"

static bool check(const json_t *body, err_t *err)
{
	static const char *const known[] = {"base", "by", "note", "config", NULL};
	const char *key;
	json_t *value;
	config_t *config;

	if (!json_is_object(body))
		return err_set(err, ERR_SYNTAX, "the body must be a JSON object");
	json_object_foreach ((json_t *)body, key, value) {
		if (!g_strv_contains(known, key))
			return err_set(err, ERR_VALUE, "unknown field \"%.40s\"", key);
	}
	if (!json_is_integer(json_object_get(body, "base")) ||
	    json_integer_value(json_object_get(body, "base")) < 0)
		return err_set(err, ERR_VALUE, "base: must be the number that the change rests on");
	if (!json_is_string(json_object_get(body, "by")))
		return err_set(err, ERR_VALUE, "by: must name who proposes it");
	config = config_parse(json_object_get(body, "config"), 1, err);
	if (!config)
		return false;
	config_unref(config);
	return true;
}

propose_request_t *propose_parse(const GString *body, err_t *err)
{
	json_t *parsed = json_loadb(body->str, body->len, JSON_REJECT_DUPLICATES, NULL);
	propose_request_t *propose = NULL;
	const char *note;

	if (check(parsed, err)) {
		propose = g_new0(propose_request_t, 1);
		propose->base = (uint64_t)json_integer_value(json_object_get(parsed, "base"));
		propose->id = g_uuid_string_random();
		propose->by = g_strdup(json_string_value(json_object_get(parsed, "by")));
		note = json_string_value(json_object_get(parsed, "note"));
		propose->note = g_strdup(note ? note : "");
		propose->config = json_incref(json_object_get(parsed, "config"));
	}
	json_decref(parsed);
	return propose;
}

void propose_request_free(propose_request_t *propose)
{
	g_free(propose->id);
	g_free(propose->by);
	g_free(propose->note);
	json_decref(propose->config);
	g_free(propose);
}
