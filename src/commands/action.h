/**
 * @file action.h
 * Reads and answers callers' actions, which run at most once per idempotency key.
 */
#ifndef DS_ACTION_H
#define DS_ACTION_H

#include "core/query.h"

/**
 * Check the key of an action, and copy its key and body into @p request.
 * @param key value of the Idempotency-Key header; NULL when it was not sent
 */
bool action_parse(const char *key, const GString *body, request_t *request, err_t *err);
/** @return the answer to an action that ran, which the caller frees with g_free() */
char *action_format(const query_t *query);
/** @return header lines of an action's sub-request, which the caller frees with g_free() */
char *action_subrequest_headers(const query_t *query);

#endif
