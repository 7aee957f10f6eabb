/**
 * @file search.h
 * Reads and answers callers' queries: a search over all partitions, or the look-up of one record.
 */
#ifndef DS_SEARCH_H
#define DS_SEARCH_H

#include "core/engine.h"

#include <glib.h>

/** Parse the JSON body of a search into @p request. */
bool search_parse(const GString *body, request_t *request, err_t *err);
/** @return the answer to a search as JSON, which the caller frees with g_free() */
char *search_format(const query_t *query, const answer_t *answer);
/** @return the answer to a look-up as JSON, which the caller frees with g_free() */
char *record_format(const query_t *query, const answer_t *answer);
/** @return the path of an attempt's sub-request, which the caller frees with g_free() */
char *search_subrequest_path(const attempt_t *attempt, uint64_t now_us);

#endif
