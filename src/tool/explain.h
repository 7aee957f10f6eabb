/**
 * @file explain.h
 * Explains why a request failed, from its id and the logs of all VMs.
 */
#ifndef DS_EXPLAIN_H
#define DS_EXPLAIN_H

#include "tool/log_lines.h"

/**
 * Print what the logs say about a request: its answer, its sub-requests, the events of the
 * searchers that it was sent to, and the events of its VM shortly before the answer.
 * @param lines log_line_t, sorted by log_line_compare()
 * @return false when no line names the request
 */
bool explain_request(const GPtrArray *lines, const char *request);

#endif
