/**
 * @file timeline_view.h
 * Prints the timelines of all daemons, merged in causal order.
 */
#ifndef DS_TIMELINE_VIEW_H
#define DS_TIMELINE_VIEW_H

#include "tool/client.h"
#include "tool/log_lines.h"

/** Which events to print; NULL and 0 select all. */
typedef struct timeline_filter_t {
	uint64_t since_ms;   /**< only events of the last so many milliseconds */
	const char *request; /**< only events that name this request */
} timeline_filter_t;

/**
 * Print the merged events of all daemons.
 * @return number of unreachable daemons
 */
uint32_t timeline_view(client_t *client, const timeline_filter_t *filter, bool json);
/**
 * Print the events of logs.
 * @param lines log_line_t; sorted by the call
 */
void timeline_view_logs(GPtrArray *lines, const timeline_filter_t *filter, bool json);

#endif
