/**
 * @file problem.c
 * See problem.h.
 */
#include "queries/problem.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>

char *problem_format(refusal_t refusal, const char *detail, const char *request_id,
		     uint64_t retry_after_us)
{
	const refusal_class_t *class = refusal_class(refusal);
	json_t *body = json_pack("{s:s, s:s, s:i, s:s}", "type", class->type, "title", class->title,
				 "status", class->status, "ran", ran_name(class->ran));
	char *text, *copy;

	if (detail)
		json_object_set_new(body, "detail", json_string(detail));
	if (request_id)
		json_object_set_new(body, "request_id", json_string(request_id));
	if (retry_after_us)
		json_object_set_new(body, "retry_after_ms",
				    json_integer((json_int_t)((retry_after_us + 999) / 1000)));
	text = json_dumps(body, JSON_COMPACT);
	copy = g_strdup(text);
	free(text);
	json_decref(body);
	return copy;
}
