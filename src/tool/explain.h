/**
 * @file explain.h
 * From a failed request's id to its cause, by the logs collected from all VMs.
 */
#ifndef DS_EXPLAIN_H
#define DS_EXPLAIN_H

#include "tool/log_lines.h"

/**
 * Print what the logs say of a request: its answer, its sub-requests, what became of the searchers
 * it was sent to, and what its VM went through before.
 * @param lines log_line_t, sorted
 * @return false when no line names it
 */
bool explain_request(const GPtrArray *lines, const char *request);

#endif
