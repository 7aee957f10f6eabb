/**
 * @file search.h
 * Callers' queries: a search over all partitions and the look-up of one record.
 */
#ifndef DS_SEARCH_H
#define DS_SEARCH_H

#include "core/engine.h"

#include <glib.h>

/** Read a search's JSON body into @p request. */
bool search_parse(const GString *body, request_t *request, err_t *err);
/** The answer as JSON, for the caller to g_free(). */
char *search_format(const query_t *query, const answer_t *answer);
/** The answer to a look-up. */
char *record_format(const query_t *query, const answer_t *answer);
/** The path of an attempt's sub-request at a searcher, for the caller to g_free(). */
char *search_sub_path(const attempt_t *attempt, uint64_t now_us);

#endif
