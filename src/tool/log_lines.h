/**
 * @file log_lines.h
 * Lines of daemons' logs, as collected from their standard output.
 */
#ifndef DS_LOG_LINES_H
#define DS_LOG_LINES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** One event of one VM. */
typedef struct log_line_t {
	/** Milliseconds since 1970 << 16 | counter: the line's causal stamp where it has one, else
	 * the VM's time of day. */
	uint64_t at;
	char *vm;
	char *text; /**< "event=... key=value ..." */
} log_line_t;

/** Its time in milliseconds since 1970. */
uint64_t log_line_ms(const log_line_t *line);
log_line_t *log_line_new(uint64_t at, const char *vm, const char *text);
void log_line_free(void *line);
/** Order by time, then by VM: for g_ptr_array_sort(). */
gint log_line_compare(gconstpointer a, gconstpointer b);
/** Whether the line has the pair "key=value", whole. */
bool log_line_has(const log_line_t *line, const char *key, const char *value);
/** The value of @p key, to be freed; NULL when the line has none. Not for quoted texts. */
char *log_line_value(const log_line_t *line, const char *key);
/**
 * Append the events of the file at @p path ("-": standard input). Text before "time=" is left out,
 * as collectors put their own there; lines that are no events are passed over.
 * @return false when it can't be read; errno says why
 */
bool log_lines_read(const char *path, GPtrArray *lines);

#endif
