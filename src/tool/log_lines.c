/**
 * @file log_lines.c
 * See log_lines.h.
 */
#include "tool/log_lines.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COUNTER_BITS 16

uint64_t log_line_ms(const log_line_t *line)
{
	return line->at >> COUNTER_BITS;
}

log_line_t *log_line_new(uint64_t at, const char *vm, const char *text)
{
	log_line_t *line = g_new0(log_line_t, 1);

	line->at = at;
	line->vm = g_strdup(vm);
	line->text = g_strdup(text);
	return line;
}

void log_line_free(void *data)
{
	log_line_t *line = data;

	g_free(line->vm);
	g_free(line->text);
	g_free(line);
}

gint log_line_compare(gconstpointer a, gconstpointer b)
{
	const log_line_t *x = *(log_line_t *const *)a, *y = *(log_line_t *const *)b;

	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return strcmp(x->vm, y->vm);
}

/* Returns the start of the value of @p key in @p text, or NULL. */
static const char *find_value(const char *text, const char *key)
{
	size_t bytes = strlen(key);

	for (const char *at = text; (at = strstr(at, key)); at += bytes)
		if ((at == text || at[-1] == ' ') && at[bytes] == '=')
			return at + bytes + 1;
	return NULL;
}

static char *copy_value(const char *text, const char *key)
{
	const char *value = find_value(text, key);

	return value ? g_strndup(value, strcspn(value, " ")) : NULL;
}

bool log_line_has(const log_line_t *line, const char *key, const char *value)
{
	const char *found = find_value(line->text, key);
	size_t bytes = strlen(value);

	return found && !strncmp(found, value, bytes) &&
	       (found[bytes] == ' ' || found[bytes] == '\0');
}

char *log_line_value(const log_line_t *line, const char *key)
{
	return copy_value(line->text, key);
}

/* Returns the line's time as in log_line_t, or 0 when it has no valid time. */
static uint64_t time_of_line(const char *text)
{
	g_autofree char *hlc = copy_value(text, "hlc");
	g_autofree char *time = copy_value(text, "time");
	g_autoptr(GDateTime) date = NULL;

	if (hlc)
		return strtoull(hlc, NULL, 10);
	date = time ? g_date_time_new_from_iso8601(time, NULL) : NULL;
	if (!date)
		return 0;
	return ((uint64_t)g_date_time_to_unix(date) * 1000 +
		(uint64_t)g_date_time_get_microsecond(date) / 1000)
	       << COUNTER_BITS;
}

static void add_line(const char *text, GPtrArray *lines)
{
	const char *from = strstr(text, "time=");
	const char *event = from ? strstr(from, " event=") : NULL;
	g_autofree char *vm = from ? copy_value(from, "vm") : NULL;
	uint64_t at = event && vm ? time_of_line(from) : 0;

	if (at)
		g_ptr_array_add(lines, log_line_new(at, vm, event + 1));
}

bool log_lines_read(const char *path, GPtrArray *lines)
{
	bool is_input = g_str_equal(path, "-");
	FILE *file = is_input ? stdin : fopen(path, "r");
	char *text = NULL;
	size_t capacity = 0;
	ssize_t bytes;
	bool complete;

	if (!file)
		return false;
	while ((bytes = getline(&text, &capacity, file)) > 0) {
		text[strcspn(text, "\r\n")] = '\0';
		add_line(text, lines);
	}
	complete = !ferror(file);
	free(text);
	if (!is_input)
		fclose(file);
	return complete;
}
