/**
 * @file action.c
 * See action.h.
 */
#include "commands/action.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define KEY_MIN_BYTES 16
#define KEY_MAX_BYTES 128

/* Rejects keys that would break a header line or a path, and the joined values of a repeated
 * header.
 */
static bool key_is_valid(const char *key)
{
	for (; *key; key++)
		if (!g_ascii_isalnum(*key) && !strchr("-_.", *key))
			return false;
	return true;
}

bool action_parse(const char *key, const GString *body, request_t *request, err_t *err)
{
	size_t length = key ? strlen(key) : 0;

	if (!key)
		return err_set(err, ERR_VALUE, "Idempotency-Key is required");
	if (length < KEY_MIN_BYTES || length > KEY_MAX_BYTES || !key_is_valid(key))
		return err_set(
			err, ERR_VALUE,
			"Idempotency-Key must be given once: milliseconds since 1970 at its issue, "
			"'-', and an id; %d to %d of letters, digits, '-', '_' and '.'",
			KEY_MIN_BYTES, KEY_MAX_BYTES);
	request->key = g_strdup(key);
	request->body = g_strndup(body->str, body->len);
	return true;
}

char *action_format(const query_t *query)
{
	json_t *body = json_pack("{s:s, s:s, s:s}", "request_id", query->request->id, "ran", "yes",
				 "idempotency_key", query->request->key);
	char *text = json_dumps(body, JSON_COMPACT);
	char *copy = g_strdup(text);

	free(text);
	json_decref(body);
	return copy;
}

char *action_subrequest_headers(const query_t *query)
{
	return g_strdup_printf("idempotency-key: %s\r\n", query->request->key);
}
