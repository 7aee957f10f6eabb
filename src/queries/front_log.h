/**
 * @file front_log.h
 * The log lines of a forwarded request. docs/OPERATIONS.md shows how to read them.
 */
#ifndef DS_FRONT_LOG_H
#define DS_FRONT_LOG_H

#include "core/handover.h"

/** The one line of an answer: its outcome, what decided it, and how old that was. */
void front_log_answer(const char *id, const forward_t *forward, const forward_answer_t *answer,
		      int status, uint64_t store_age_us);
/** The end of a second try, or of any sub-request that was no answer. */
void front_log_sub(const subrequest_t *sub, const sub_reply_t *reply);

/** The answer to a request that another VM gathered. */
void front_log_gathered(const forward_request_t *request, const handover_t *handover,
			const forward_answer_t *answer, uint64_t store_age_us);

#endif
