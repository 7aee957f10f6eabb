/**
 * @file timeline_view.h
 * The rings of all daemons, merged into one causal order.
 */
#ifndef DS_TIMELINE_VIEW_H
#define DS_TIMELINE_VIEW_H

#include "tool/client.h"
#include "tool/log_lines.h"

/** Which events to show; NULL and 0 for all. */
typedef struct timeline_filter_t {
	uint64_t since_ms;   /**< only the last so many milliseconds */
	const char *request; /**< only events that name this request */
} timeline_filter_t;

/** Print the merged events; returns how many daemons could not be reached. */
uint32_t timeline_view(client_t *client, const timeline_filter_t *filter, bool json);
/** The same from logs; @p lines are log_line_t, and are sorted. */
void timeline_view_logs(GPtrArray *lines, const timeline_filter_t *filter, bool json);

#endif
