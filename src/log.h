/**
 * @file log.h
 * Logs: one line of key=value pairs an event, to standard output, through GLib.
 *
 * Lines are kept until the end of a turn of the loop and written together. A reader that stops
 * reading costs lines, never a request; so does more than a bounded rate of them, of which those
 * about failures and beliefs (message level and above) are kept before those about successes
 * (info). How many were lost is told in a line of its own. Decisions are few and explain much of
 * what follows: they have a rate of their own, which lines about requests can't use up.
 */
#ifndef DS_LOG_H
#define DS_LOG_H

#include <glib.h>

#define LOG_DECISIONS "decisions"
/** A line about a decision, at message level. */
#define log_decision(...) g_log(LOG_DECISIONS, G_LOG_LEVEL_MESSAGE, __VA_ARGS__)

/** Send GLib's logs to standard output with time, level and @p vm, from @p level up. */
void log_start(const char *vm, const char *level);
void log_set_level(const char *level);
/** Write what the reader takes without waiting. */
void log_flush(void *ctx);

#endif
