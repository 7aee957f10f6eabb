/**
 * @file reply.c
 * See reply.h.
 */
#include "core/reply.h"

#include <string.h>

#define PARTITIONS_MAX 65536
#define VERSIONS_MAX 64

reply_t *reply_new(reply_kind_t kind)
{
	reply_t *reply = g_new0(reply_t, 1);

	reply->kind = kind;
	reply->partitions = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	return reply;
}

void reply_free(reply_t *reply)
{
	if (!reply)
		return;
	g_array_unref(reply->partitions);
	json_decref(reply->records);
	if (reply->report)
		upstream_report_free(reply->report);
	g_free(reply);
}

static gint compare_u32(gconstpointer a, gconstpointer b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

/* Sorts the list, and rejects duplicates since a partition listed twice must not count twice. */
static bool parse_partitions(const json_t *list, GArray *out)
{
	size_t i;
	json_t *item;

	if (!json_is_array(list) || json_array_size(list) > PARTITIONS_MAX)
		return false;
	json_array_foreach (list, i, item) {
		json_int_t number = json_integer_value(item);
		uint32_t partition = (uint32_t)number;

		if (!json_is_integer(item) || number < 0 || number >= PARTITIONS_MAX)
			return false;
		g_array_append_val(out, partition);
	}
	g_array_sort(out, compare_u32);
	for (guint j = 1; j < out->len; j++)
		if (g_array_index(out, uint32_t, j) == g_array_index(out, uint32_t, j - 1))
			return false;
	return true;
}

static bool parse_state(const json_t *body, upstream_state_t *state)
{
	const char *text = json_string_value(json_object_get(body, "state"));

	if (!text)
		return false;
	if (g_str_equal(text, "ready"))
		*state = UPSTREAM_READY;
	else if (g_str_equal(text, "cold"))
		*state = UPSTREAM_COLD;
	else if (g_str_equal(text, "leaving"))
		*state = UPSTREAM_LEAVING;
	else
		return false;
	return true;
}

static bool parse_index_version(const json_t *item, GArray *list)
{
	index_version_t held = {0};
	json_int_t version = json_integer_value(json_object_get(item, "version"));
	json_int_t of = json_integer_value(json_object_get(item, "of"));

	if (version <= 0 || of <= 0 || of > PARTITIONS_MAX)
		return false;
	held.version = (uint64_t)version;
	held.partition_count = (uint32_t)of;
	held.partitions = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g_array_append_val(list, held);
	return parse_partitions(json_object_get(item, "partitions"), held.partitions);
}

static bool parse_versions(const json_t *body, upstream_report_t *report)
{
	const json_t *versions = json_object_get(body, "versions");
	size_t i;
	json_t *item;

	if (!versions)
		return true;
	if (!json_is_array(versions) || json_array_size(versions) > VERSIONS_MAX)
		return false;
	report->has_versions = true;
	json_array_foreach (versions, i, item) {
		if (!parse_index_version(item, report->held))
			return false;
	}
	return true;
}

static upstream_report_t *parse_report(const json_t *body)
{
	upstream_report_t *report = upstream_report_new();

	if (parse_state(body, &report->state) && parse_versions(body, report))
		return report;
	upstream_report_free(report);
	return NULL;
}

static bool parse_answer(const json_t *body, reply_t *reply)
{
	json_t *records = json_object_get(body, "records");
	const char *ran = json_string_value(json_object_get(body, "ran"));
	json_int_t version = json_integer_value(json_object_get(body, "version"));

	if (ran)
		return g_str_equal(ran, "yes");
	if (version <= 0 || !json_is_array(records))
		return false;
	reply->version = (uint64_t)version;
	reply->records = json_incref(records);
	return parse_partitions(json_object_get(body, "partitions"), reply->partitions);
}

static reply_kind_t classify_reply(int status, const json_t *body, reply_t *reply)
{
	const char *error = json_string_value(json_object_get(body, "error"));
	const char *ran = json_string_value(json_object_get(body, "ran"));

	if (status == 200 && parse_answer(body, reply))
		return REPLY_ANSWER;
	if (status == 409 && error && g_str_equal(error, "version-not-held"))
		return REPLY_VERSION_NOT_HELD;
	/*
	 * A 503 means "not run" only if the searcher says so in the body; the status proves
	 * nothing.
	 */
	if (status == 503 && ran && g_str_equal(ran, "no"))
		return REPLY_SHED;
	return REPLY_INVALID;
}

reply_t *reply_parse(int status, const char *body, size_t body_bytes)
{
	reply_t *reply = reply_new(REPLY_INVALID);
	json_t *parsed = json_loadb(body, body_bytes, JSON_REJECT_DUPLICATES, NULL);

	if (json_is_object(parsed)) {
		reply->kind = classify_reply(status, parsed, reply);
		reply->report = parse_report(parsed);
	}
	json_decref(parsed);
	return reply;
}

upstream_report_t *reply_parse_health(int status, const char *body, size_t body_bytes)
{
	json_t *parsed;
	upstream_report_t *report;

	if (status != 200)
		return NULL;
	parsed = json_loadb(body, body_bytes, JSON_REJECT_DUPLICATES, NULL);
	report = parse_report(parsed);
	json_decref(parsed);
	return report;
}
