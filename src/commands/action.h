/**
 * @file action.h
 * Callers' one command: an action that runs at most once under an idempotency key.
 */
#ifndef DS_ACTION_H
#define DS_ACTION_H

#include "core/query.h"

/** Take the key and body of an action into @p request. @p key may be NULL when none was sent. */
bool action_parse(const char *key, const GString *body, request_t *request, err_t *err);
/** The answer to an action that ran, for the caller to g_free(). */
char *action_format(const query_t *query);
/** Header lines of the sub-request that carries it. */
char *action_sub_headers(const query_t *query);

#endif
