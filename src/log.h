/**
 * @file log.h
 * Logs: one line of key=value pairs an event, to standard error, through GLib.
 */
#ifndef DS_LOG_H
#define DS_LOG_H

/** Send GLib's logs to standard error with time, level and @p vm, from @p level up. */
void log_start(const char *vm, const char *level);
void log_set_level(const char *level);

#endif
