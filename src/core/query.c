/**
 * @file query.c
 * See query.h.
 */
#include "core/query.h"

#include <string.h>
#include <xxhash.h>

request_t *request_new(void)
{
	return g_new0(request_t, 1);
}

void request_free(request_t *request)
{
	g_free(request->id);
	g_free(request->service);
	g_free(request->text);
	g_free(request->record_id);
	g_free(request->key);
	g_free(request->body);
	g_free(request);
}

static void part_free(void *data)
{
	part_t *part = data;

	g_assert(part->attempts->len == 0);
	g_ptr_array_unref(part->replicas);
	g_ptr_array_unref(part->tried);
	g_ptr_array_unref(part->excluded);
	g_ptr_array_unref(part->attempts);
	g_free(part);
}

query_t *query_new(request_t *request)
{
	query_t *query = g_new0(query_t, 1);

	query->refs = 1;
	query->request = request;
	query->parts = g_ptr_array_new_with_free_func(part_free);
	query->missing = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	query->single_partition = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	query->records = json_array();
	query->merged_ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return query;
}

query_t *query_ref(query_t *query)
{
	query->refs++;
	return query;
}

void query_unref(query_t *query)
{
	if (--query->refs)
		return;
	request_free(query->request);
	g_ptr_array_unref(query->parts);
	snapshot_unref(query->snapshot);
	g_array_unref(query->missing);
	g_array_unref(query->single_partition);
	json_decref(query->records);
	g_hash_table_unref(query->merged_ids);
	g_free(query);
}

static void add_part(query_t *query, const target_t *target, const GArray *partitions)
{
	part_t *part = g_new0(part_t, 1);

	part->query = query;
	part->index = query->parts->len;
	part->partitions = partitions;
	part->replicas = g_ptr_array_ref(target->replicas);
	part->tried = g_ptr_array_new();
	part->excluded = g_ptr_array_new();
	part->attempts = g_ptr_array_new();
	g_ptr_array_add(query->parts, part);
}

/* Pins exactly one partition: for a lookup the one that holds its record, for an action
 * (SERVICE_ONCE) one chosen by a hash of its key, which spreads actions over the partitions. */
static void pin_one(query_t *query)
{
	const request_t *request = query->request;
	const char *id = request->kind == SERVICE_LOOKUP ? request->record_id : request->key;
	uint32_t partition =
		(uint32_t)(XXH64(id, strlen(id), 0) % query->snapshot->partition_count);
	const target_t *target = snapshot_target_of(query->snapshot, partition);

	g_array_set_size(query->single_partition, 0);
	g_array_append_val(query->single_partition, partition);
	if (target)
		add_part(query, target, query->single_partition);
	else
		g_array_append_val(query->missing, partition);
}

static void pin_all(query_t *query)
{
	const snapshot_t *snapshot = query->snapshot;

	for (guint i = 0; i < snapshot->targets->len; i++) {
		const target_t *target = g_ptr_array_index(snapshot->targets, i);

		add_part(query, target, target->partitions);
	}
}

void query_pin(query_t *query, snapshot_t *snapshot)
{
	snapshot_t *old = query->snapshot;

	query->snapshot = snapshot_ref(snapshot);
	g_ptr_array_set_size(query->parts, 0);
	g_array_set_size(query->missing, 0);
	json_array_clear(query->records);
	g_hash_table_remove_all(query->merged_ids);
	if (query->request->kind == SERVICE_GATHER)
		pin_all(query);
	else
		pin_one(query);
	snapshot_unref(old);
}

bool query_accepts(const query_t *query, const part_t *part, const reply_t *reply)
{
	if (query->request->kind == SERVICE_ONCE)
		return true;
	if (reply->version != query->snapshot->version ||
	    reply->partitions->len != part->partitions->len)
		return false;
	return memcmp(reply->partitions->data, part->partitions->data,
		      part->partitions->len * sizeof(uint32_t)) == 0;
}

void query_merge(query_t *query, part_t *part, const reply_t *reply)
{
	size_t i;
	json_t *record;

	part->answered = true;
	json_array_foreach (reply->records, i, record) {
		const char *id = json_string_value(json_object_get(record, "id"));

		/*
		 * A record that came from two partitions and was kept twice would cause a duplicate
		 * reminder.
		 */
		if (id && !g_hash_table_add(query->merged_ids, g_strdup(id)))
			continue;
		json_array_append(query->records, record);
	}
}

bool query_is_done(const query_t *query)
{
	for (guint i = 0; i < query->parts->len; i++) {
		const part_t *part = g_ptr_array_index(query->parts, i);

		if (!part->answered && !part->lost)
			return false;
	}
	return true;
}

bool query_is_complete(const query_t *query)
{
	const GArray *missing =
		query->request->kind == SERVICE_GATHER ? query->snapshot->missing : query->missing;

	for (guint i = 0; i < query->parts->len; i++)
		if (!((const part_t *)g_ptr_array_index(query->parts, i))->answered)
			return false;
	return missing->len == 0;
}

uint32_t query_answered(const query_t *query)
{
	uint32_t answered = 0;

	for (guint i = 0; i < query->parts->len; i++) {
		const part_t *part = g_ptr_array_index(query->parts, i);

		if (part->answered)
			answered += part->partitions->len;
	}
	return answered;
}

static gint compare_u32(gconstpointer a, gconstpointer b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

void query_answer(query_t *query, answer_t *answer)
{
	if (query->snapshot && query->request->kind == SERVICE_GATHER) {
		g_array_set_size(query->missing, 0);
		g_array_append_vals(query->missing, query->snapshot->missing->data,
				    query->snapshot->missing->len);
	}
	for (guint i = 0; i < query->parts->len; i++) {
		const part_t *part = g_ptr_array_index(query->parts, i);

		if (!part->answered)
			g_array_append_vals(query->missing, part->partitions->data,
					    part->partitions->len);
	}
	g_array_sort(query->missing, compare_u32);
	answer->version = query->snapshot ? query->snapshot->version : 0;
	answer->answered = query_answered(query);
	answer->partitions = answer->answered + query->missing->len;
	answer->missing = query->missing;
	answer->records = query->records;
}
