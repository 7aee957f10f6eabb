/**
 * @file log.h
 * Logging through GLib to standard output: one line of key=value pairs per event.
 *
 * Lines are buffered and written together at the end of an iteration of the loop. Lines are dropped
 * when the reader stops reading, so that it never blocks requests, and when they exceed a rate
 * limit. Lines about failures and about what this VM knows (message level and above) have a limit
 * of their own, so that lines about successes (info level) can't displace them. The number of
 * dropped lines is logged in a line of its own. Decisions are few and explain much of what follows,
 * so they have a limit of their own too, which lines about requests can't use up. Refusals under
 * overload can be thousands per second and are much alike: they count as failures, but leave half
 * of that burst to the others.
 */
#ifndef DS_LOG_H
#define DS_LOG_H

#include <glib.h>

#define LOG_DECISIONS "decisions"
/** Log a line about a decision, at message level. */
#define log_decision(...) g_log(LOG_DECISIONS, G_LOG_LEVEL_MESSAGE, __VA_ARGS__)
/** Domain of lines, at message level, about requests that are refused under overload. */
#define LOG_REFUSALS "refusals"

/**
 * Write GLib's logs to standard output, with time, level and the name @p vm in each line.
 * @param level lowest level that is written: "debug", "info" or "warning"
 */
void log_start(const char *vm, const char *level);
void log_set_level(const char *level);
/** Write as much of the buffered lines as the reader takes without blocking. */
void log_flush(void *ctx);

#endif
