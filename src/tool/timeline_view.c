/**
 * @file timeline_view.c
 * See timeline_view.h.
 */
#include "tool/timeline_view.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void add_events(const json_t *reply, uint64_t since, GPtrArray *rows)
{
	const char *vm = json_string_value(json_object_get(reply, "vm"));
	size_t i;
	json_t *event;

	json_array_foreach (json_object_get(reply, "events"), i, event) {
		uint64_t at = (uint64_t)json_integer_value(json_object_get(event, "at"));
		const char *text = json_string_value(json_object_get(event, "text"));

		if (at >= since && text)
			g_ptr_array_add(rows, log_line_new(at, vm ? vm : "?", text));
	}
}

static void print_rows(GPtrArray *rows, const timeline_filter_t *filter, bool json)
{
	json_t *list = json_array();

	g_ptr_array_sort(rows, log_line_compare);

	for (guint i = 0; i < rows->len; i++) {
		const log_line_t *row = g_ptr_array_index(rows, i);
		g_autoptr(GDateTime) time =
			g_date_time_new_from_unix_utc((gint64)log_line_ms(row) / 1000);
		g_autofree char *stamp = g_date_time_format(time, "%H:%M:%S");

		if (filter->request && !log_line_has(row, "request", filter->request))
			continue;
		if (json)
			json_array_append_new(list, json_pack("{s:I, s:s, s:s}", "at",
							      (json_int_t)row->at, "vm", row->vm,
							      "text", row->text));
		else
			printf("%s.%03u+%-3u %-12s %s\n", stamp,
			       (unsigned)(log_line_ms(row) % 1000), (unsigned)(row->at & 0xffff),
			       row->vm, row->text);
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
	g_autoptr(GPtrArray) rows = g_ptr_array_new_with_free_func(log_line_free);
	uint64_t now_ms = (uint64_t)g_get_real_time() / 1000;
	uint64_t since = filter->since_ms ? (now_ms - filter->since_ms) << 16 : 0;
	uint32_t unreachable = 0;

	for (uint32_t i = 0; i < client_count(client); i++) {
		int status = 0;
		json_t *reply = client_call(client, i, "/v1/timeline", NULL, &status);

		if (status == 200) {
			add_events(reply, since, rows);
		} else {
			unreachable++;
			fprintf(stderr,
				"daemon %s could not be reached; its events are missing here\n",
				client_address(client, i));
		}
		json_decref(reply);
	}
	print_rows(rows, filter, json);
	return unreachable;
}

void timeline_view_logs(GPtrArray *lines, const timeline_filter_t *filter, bool json)
{
	print_rows(lines, filter, json);
}
