/**
 * @file search.c
 * See search.h. docs/API.md shows the JSON documents.
 */
#include "queries/search.h"

#include <stdlib.h>

#define TEXT_MAX_BYTES 256
#define LIMIT_MAX 100000

static bool parse_fields(const json_t *body, request_t *request, err_t *err)
{
	const char *key;
	json_t *value;

	json_object_foreach ((json_t *)body, key, value) {
		if (g_str_equal(key, "text")) {
			if (!json_is_string(value) || json_string_length(value) > TEXT_MAX_BYTES)
				return err_set(err, ERR_VALUE,
					       "text: must be a string of at most %d bytes",
					       TEXT_MAX_BYTES);
			request->text = g_strdup(json_string_value(value));
		} else if (g_str_equal(key, "limit")) {
			json_int_t limit = json_integer_value(value);

			if (!json_is_integer(value) || limit < 1 || limit > LIMIT_MAX)
				return err_set(err, ERR_VALUE,
					       "limit: must be a whole number from 1 to %d",
					       LIMIT_MAX);
			request->limit = (uint32_t)limit;
		} else {
			return err_set(err, ERR_VALUE,
				       "unknown field \"%.40s\"; known are text and limit", key);
		}
	}
	return true;
}

bool search_parse(const GString *body, request_t *request, err_t *err)
{
	json_error_t where;
	json_t *parsed = json_loadb(body->str, body->len, JSON_REJECT_DUPLICATES, &where);
	bool valid;

	if (!parsed)
		return err_set(err, ERR_SYNTAX, "the body is not JSON: line %d column %d: %.100s",
			       where.line, where.column, where.text);
	if (!json_is_object(parsed))
		valid = err_set(err, ERR_VALUE, "the body must be a JSON object");
	else
		valid = parse_fields(parsed, request, err);
	json_decref(parsed);
	return valid;
}

static json_t *missing_json(const answer_t *answer)
{
	json_t *list = json_array();

	for (guint i = 0; i < answer->missing->len; i++)
		json_array_append_new(list,
				      json_integer(g_array_index(answer->missing, uint32_t, i)));
	return list;
}

static json_t *first_records(const json_t *records, uint32_t limit)
{
	json_t *list = json_array();
	size_t i;
	json_t *item;

	json_array_foreach ((json_t *)records, i, item) {
		if (limit && i >= limit)
			break;
		json_array_append(list, item);
	}
	return list;
}

static json_t *envelope(const query_t *query, const answer_t *answer)
{
	return json_pack("{s:s, s:I, s:b, s:{s:i, s:i, s:o}}", "request_id", query->request->id,
			 "snapshot", (json_int_t)answer->version, "complete",
			 answer->missing->len == 0, "coverage", "partitions", answer->partitions,
			 "answered", answer->answered, "missing", missing_json(answer));
}

static char *dump_and_free(json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);
	char *copy = g_strdup(text);

	free(text);
	json_decref(body);
	return copy;
}

char *search_format(const query_t *query, const answer_t *answer)
{
	json_t *body = envelope(query, answer);

	json_object_set_new(body, "found",
			    json_integer((json_int_t)json_array_size(answer->records)));
	json_object_set_new(body, "records", first_records(answer->records, query->request->limit));
	return dump_and_free(body);
}

char *record_format(const query_t *query, const answer_t *answer)
{
	json_t *body = envelope(query, answer);
	json_t *record = json_array_get(answer->records, 0);

	json_object_set(body, "record", record ? record : json_null());
	return dump_and_free(body);
}

static char *partition_list(const part_t *part)
{
	GString *list = g_string_new(NULL);

	for (guint i = 0; i < part->partitions->len; i++)
		g_string_append_printf(list, "%s%u", i ? "," : "",
				       g_array_index(part->partitions, uint32_t, i));
	return g_string_free(list, FALSE);
}

char *search_subrequest_path(const attempt_t *attempt, uint64_t now_us)
{
	const query_t *query = attempt->query;
	const request_t *request = query->request;
	g_autofree char *partitions =
		partition_list(g_ptr_array_index(query->parts, attempt->part));
	const char *field = request->kind == SERVICE_LOOKUP ? "id" : "text";
	const char *value = request->kind == SERVICE_LOOKUP ? request->record_id : request->text;
	g_autofree char *escaped = g_uri_escape_string(value ? value : "", NULL, FALSE);
	uint64_t left_us = request->deadline_us > now_us ? request->deadline_us - now_us : 0;

	return g_strdup_printf("/search?version=%" G_GUINT64_FORMAT
			       "&partitions=%s&%s=%s&timeout_ms=%" G_GUINT64_FORMAT,
			       query->snapshot->version, partitions, field, escaped,
			       left_us / 1000 + 1);
}
