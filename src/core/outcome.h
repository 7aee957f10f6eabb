/**
 * @file outcome.h
 * The refusals: every reason why a request gets no answer, as it is reported to the caller.
 */
#ifndef DS_OUTCOME_H
#define DS_OUTCOME_H

#include <stdbool.h>

/** Whether the request was executed. RAN_UNKNOWN is never retried by this VM. */
typedef enum ran_t { RAN_NO, RAN_YES, RAN_UNKNOWN } ran_t;

const char *ran_name(ran_t ran);

/** Why a request was refused or failed. Indexes refusal_classes. */
typedef enum refusal_t {
	REFUSAL_NONE,
	REFUSAL_BAD_REQUEST,
	REFUSAL_TOO_LARGE,
	REFUSAL_SLOW_BODY,
	REFUSAL_LENGTH_REQUIRED,
	REFUSAL_WRONG_METHOD,
	REFUSAL_UNKNOWN_SERVICE,
	REFUSAL_UNAUTHORIZED,
	REFUSAL_NOT_READY,
	REFUSAL_QUEUE_FULL,
	REFUSAL_NO_TIME,
	REFUSAL_DISPLACED,
	REFUSAL_NO_UPSTREAM,
	REFUSAL_UPSTREAM_NOT_RUN,
	REFUSAL_DEADLINE,
	REFUSAL_KEY_TOO_OLD,
	REFUSAL_KEY_IN_USE,
	REFUSAL_KEY_RAN,
	REFUSAL_NO_CLAIM,
	REFUSAL_OUTCOME_UNKNOWN,
	REFUSAL_CONFLICT,
	REFUSAL_COUNT,
} refusal_t;

/** One kind of refusal as reported to callers. */
typedef struct refusal_class_t {
	const char *type; /**< stable; the `type` of the problem document */
	const char *title;
	int status; /**< HTTP status */
	ran_t ran;
	bool retryable;		/**< whether a later retry can help */
	const char *ran_reason; /**< why the value of `ran` holds */
} refusal_class_t;

const refusal_class_t *refusal_class(refusal_t refusal);

#endif
