/**
 * @file json_salvage.c
 * See json_salvage.h.
 */
#include "core/json_salvage.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

/* The JSON that this program reads has at most eight levels. A damaged value nested deeper than
 * MAX_SALVAGE_DEPTH is dropped as a whole. */
#define MAX_SALVAGE_DEPTH 16

/* The part of a text that is not parsed yet. */
typedef struct span_t {
	const char *at;
	const char *end;
} span_t;

static void skip_blanks(span_t *span)
{
	while (span->at < span->end && strchr(" \t\r\n", *span->at) && *span->at)
		span->at++;
}

static bool skip_byte(span_t *span, char byte)
{
	skip_blanks(span);
	if (span->at == span->end || *span->at != byte)
		return false;
	span->at++;
	return true;
}

/* A backslash escapes the byte after it; no other escape rule affects where a string ends. */
static bool skip_string(span_t *span)
{
	for (span->at++; span->at < span->end; span->at++) {
		if (*span->at == '\\')
			span->at++;
		else if (*span->at == '"')
			return span->at++ < span->end;
	}
	span->at = span->end;
	return false;
}

static bool ends_scalar(char byte)
{
	return byte == ',' || byte == '}' || byte == ']';
}

/* Skips to the bracket that closes the first one, whatever is between them. */
static bool skip_brackets(span_t *span)
{
	uint32_t open = 0;

	while (span->at < span->end) {
		if (*span->at == '"') {
			if (!skip_string(span))
				return false;
			continue;
		}
		open += *span->at == '{' || *span->at == '[';
		open -= *span->at == '}' || *span->at == ']';
		span->at++;
		if (!open)
			return true;
	}
	return false;
}

static bool skip_value(span_t *span)
{
	skip_blanks(span);
	if (span->at == span->end)
		return false;
	if (*span->at == '"')
		return skip_string(span);
	if (*span->at == '{' || *span->at == '[')
		return skip_brackets(span);
	while (span->at < span->end && !ends_scalar(*span->at))
		span->at++;
	return true;
}

static json_t *salvage(const char *text, size_t bytes, uint32_t depth, uint32_t *damaged);

/* Parses the value at the start of @p span and moves @p span behind it; NULL if the value has no
 * end. */
static json_t *salvage_next(span_t *span, uint32_t depth, uint32_t *damaged)
{
	const char *from;
	json_t *value;

	skip_blanks(span);
	from = span->at;
	if (!skip_value(span))
		return NULL;
	value = salvage(from, (size_t)(span->at - from), depth + 1, damaged);
	if (value)
		return value;
	(*damaged)++;
	return json_null();
}

static bool salvage_member(json_t *object, span_t *span, uint32_t depth, uint32_t *damaged)
{
	const char *from;
	json_t *key, *value;

	skip_blanks(span);
	from = span->at;
	if (from == span->end || *from != '"' || !skip_string(span))
		return false;
	key = json_loadb(from, (size_t)(span->at - from), JSON_DECODE_ANY, NULL);
	value = skip_byte(span, ':') ? salvage_next(span, depth, damaged) : NULL;
	if (key && value)
		json_object_set(object, json_string_value(key), value);
	json_decref(key);
	json_decref(value);
	return value != NULL;
}

/* A damaged member is replaced by null; if a separator between members is damaged, the whole object
 * is. */
static bool salvage_members(json_t *object, span_t *span, uint32_t depth, uint32_t *damaged)
{
	if (skip_byte(span, '}'))
		return true;
	do {
		if (!salvage_member(object, span, depth, damaged))
			return false;
	} while (skip_byte(span, ','));
	return skip_byte(span, '}');
}

static json_t *salvage_object(span_t span, uint32_t depth, uint32_t *damaged)
{
	json_t *object = json_object();

	span.at++;
	if (salvage_members(object, &span, depth, damaged))
		return object;
	json_decref(object);
	return NULL;
}

static bool salvage_elements(json_t *array, span_t *span, uint32_t depth, uint32_t *damaged)
{
	if (skip_byte(span, ']'))
		return true;
	do {
		json_t *value = salvage_next(span, depth, damaged);

		if (!value)
			return false;
		json_array_append_new(array, value);
	} while (skip_byte(span, ','));
	return skip_byte(span, ']');
}

static json_t *salvage_array(span_t span, uint32_t depth, uint32_t *damaged)
{
	json_t *array = json_array();

	span.at++;
	if (salvage_elements(array, &span, depth, damaged))
		return array;
	json_decref(array);
	return NULL;
}

/* The library parses valid values; only damaged ones are parsed here member by member. */
static json_t *salvage(const char *text, size_t bytes, uint32_t depth, uint32_t *damaged)
{
	span_t span = {.at = text, .end = text + bytes};
	json_t *whole = json_loadb(text, bytes, JSON_DECODE_ANY, NULL);

	if (whole || depth > MAX_SALVAGE_DEPTH)
		return whole;
	skip_blanks(&span);
	if (span.at == span.end)
		return NULL;
	if (*span.at == '{')
		return salvage_object(span, depth, damaged);
	return *span.at == '[' ? salvage_array(span, depth, damaged) : NULL;
}

json_t *json_salvage(const char *text, size_t bytes, uint32_t *damaged)
{
	return salvage(text, bytes, 0, damaged);
}
