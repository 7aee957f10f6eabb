/**
 * @file timeline_view.c
 * See timeline_view.h.
 */
#include "tool/timeline_view.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct row_t {
	uint64_t at; /* hybrid logical clock: milliseconds << 16 | counter */
	char *vm;
	char *text;
} row_t;

static gint compare_rows(gconstpointer a, gconstpointer b)
{
	const row_t *x = *(row_t *const *)a, *y = *(row_t *const *)b;

	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return strcmp(x->vm, y->vm);
}

static void row_free(void *data)
{
	row_t *row = data;

	g_free(row->vm);
	g_free(row->text);
	g_free(row);
}

/* The value ends at a blank: "request=ab" is not in "request=abc". */
static bool names_request(const char *text, const char *request)
{
	g_autofree char *pair = g_strdup_printf(" request=%s ", request);
	g_autofree char *padded = g_strdup_printf("%s ", text);

	return strstr(padded, pair) != NULL;
}

static void collect(const json_t *reply, const timeline_filter_t *filter, uint64_t since,
		    GPtrArray *rows)
{
	const char *vm = json_string_value(json_object_get(reply, "vm"));
	size_t i;
	json_t *event;

	json_array_foreach (json_object_get(reply, "events"), i, event) {
		uint64_t at = (uint64_t)json_integer_value(json_object_get(event, "at"));
		const char *text = json_string_value(json_object_get(event, "text"));
		row_t *row;

		if (at < since || !text ||
		    (filter->request && !names_request(text, filter->request)))
			continue;
		row = g_new0(row_t, 1);
		*row = (row_t){.at = at, .vm = g_strdup(vm ? vm : "?"), .text = g_strdup(text)};
		g_ptr_array_add(rows, row);
	}
}

static void print_rows(const GPtrArray *rows, bool json)
{
	json_t *list = json_array();

	for (guint i = 0; i < rows->len; i++) {
		const row_t *row = g_ptr_array_index(rows, i);
		g_autoptr(GDateTime) time =
			g_date_time_new_from_unix_utc((gint64)(row->at >> 16) / 1000);
		g_autofree char *stamp = g_date_time_format(time, "%H:%M:%S");

		if (json)
			json_array_append_new(list, json_pack("{s:I, s:s, s:s}", "at",
							      (json_int_t)row->at, "vm", row->vm,
							      "text", row->text));
		else
			printf("%s.%03u+%-3u %-12s %s\n", stamp, (unsigned)((row->at >> 16) % 1000),
			       (unsigned)(row->at & 0xffff), row->vm, row->text);
	}
	if (json) {
		char *text = json_dumps(list, JSON_INDENT(1));

		puts(text);
		free(text);
	}
	json_decref(list);
}

uint32_t timeline_view(client_t *client, const timeline_filter_t *filter, bool json)
{
	g_autoptr(GPtrArray) rows = g_ptr_array_new_with_free_func(row_free);
	uint64_t now_ms = (uint64_t)g_get_real_time() / 1000;
	uint64_t since = filter->since_ms ? (now_ms - filter->since_ms) << 16 : 0;
	uint32_t unreached = 0;

	for (uint32_t i = 0; i < client_count(client); i++) {
		int status = 0;
		json_t *reply = client_call(client, i, "/v1/timeline", NULL, &status);

		if (status == 200) {
			collect(reply, filter, since, rows);
		} else {
			unreached++;
			fprintf(stderr, "not reached: %s; its events are missing here\n",
				client_address(client, i));
		}
		json_decref(reply);
	}
	g_ptr_array_sort(rows, compare_rows);
	print_rows(rows, json);
	return unreached;
}
