/**
 * @file front_log.h
 * Log lines about forwarded requests. docs/OPERATIONS.md shows how to read them.
 */
#ifndef DS_FRONT_LOG_H
#define DS_FRONT_LOG_H

#include "core/handover.h"

/**
 * Log the answer to a request: its outcome, the configuration version and the missing parts that
 * explain it, and the age of this VM's copy of the store.
 */
void front_log_answer(const char *id, const forward_t *forward, const forward_answer_t *answer,
		      int status, uint64_t store_age_us);
/** Log the end of a sub-request that is a hedge or a retry, or that got no answer. */
void front_log_subrequest(const subrequest_t *sub, const sub_reply_t *reply);

/** Log the answer to a request that was handed over to a gatherer. */
void front_log_gathered(const forward_request_t *request, const handover_t *handover,
			const forward_answer_t *answer, uint64_t store_age_us);
/**
 * Log a request that got no token of its tenant's quota.
 * @param retry_after_us 0: not known
 */
void front_log_refused(const forward_request_t *request, forward_outcome_t outcome,
		       const char *tenant, uint64_t retry_after_us);

#endif
