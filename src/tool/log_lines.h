/**
 * @file log_lines.h
 * Reads log lines of daemons, as collected from their standard output.
 */
#ifndef DS_LOG_LINES_H
#define DS_LOG_LINES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** One event of one VM. */
typedef struct log_line_t {
	/** Milliseconds since 1970 << 16 | counter: the hybrid logical clock of the line where it
	 * has one (hlc=), else the VM's time of day. */
	uint64_t at;
	char *vm;
	char *text; /**< "event=... key=value ..." */
} log_line_t;

/** @return the line's time in milliseconds since 1970 */
uint64_t log_line_ms(const log_line_t *line);
log_line_t *log_line_new(uint64_t at, const char *vm, const char *text);
void log_line_free(void *line);
/** Comparison for g_ptr_array_sort(): orders lines by time, then by VM. */
gint log_line_compare(gconstpointer a, gconstpointer b);
/** Whether the line has the pair "key=value" with exactly this value. */
bool log_line_has(const log_line_t *line, const char *key, const char *value);
/**
 * Values in quotes that contain spaces are not supported.
 * @return the value of @p key, which the caller frees with g_free(); NULL when the line has none
 */
char *log_line_value(const log_line_t *line, const char *key);
/**
 * Append the events of the file at @p path ("-": standard input). Text before "time=" is ignored,
 * because log collectors put their own text there; lines without an event are skipped.
 * @return false when the file can't be read; errno holds the reason
 */
bool log_lines_read(const char *path, GPtrArray *lines);

#endif
