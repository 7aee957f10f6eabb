/**
 * @file outcome.c
 * See outcome.h. docs/API.md lists this table; pages_test checks that the two agree.
 */
#include "core/outcome.h"

#include <glib.h>

static const refusal_class_t refusal_classes[REFUSAL_COUNT] = {
	[REFUSAL_NONE] = {"none", "no refusal", 200, RAN_YES, false, "the answer itself says so"},
	[REFUSAL_BAD_REQUEST] = {"bad-request", "The request is not valid", 400, RAN_NO, false,
				 "checked before any upstream is chosen"},
	[REFUSAL_TOO_LARGE] = {"too-large", "The body is too large", 413, RAN_NO, false,
			       "refused before the body is read"},
	[REFUSAL_SLOW_BODY] = {"slow-body", "The body did not arrive in time", 408, RAN_NO, true,
			       "refused before the body was whole"},
	[REFUSAL_LENGTH_REQUIRED] = {"length-required", "Content-Length is required", 411, RAN_NO,
				     false, "refused before the body is read"},
	[REFUSAL_WRONG_METHOD] = {"wrong-method", "The path does not take this method", 405, RAN_NO,
				  false, "checked before any upstream is chosen"},
	[REFUSAL_UNKNOWN_SERVICE] = {"unknown-service", "No such service or path", 404, RAN_NO,
				     false, "checked before any upstream is chosen"},
	[REFUSAL_UNAUTHORIZED] = {"unauthorized", "An operator's token is required", 401, RAN_NO,
				  false, "checked before the command is read"},
	[REFUSAL_NOT_READY] = {"not-ready", "This VM has no configuration yet", 503, RAN_NO, true,
			       "without a configuration no upstream is known"},
	[REFUSAL_QUEUE_FULL] = {"queue-full", "Too many requests are waiting", 503, RAN_NO, true,
				"refused on arrival, before any upstream is chosen"},
	[REFUSAL_NO_TIME] = {"no-time", "It can't be answered before its deadline", 503, RAN_NO,
			     true,
			     "refused while waiting for admission, before any upstream is chosen"},
	[REFUSAL_DISPLACED] = {"displaced", "A more urgent request took its place", 503, RAN_NO,
			       true, "was still waiting for admission; no upstream was chosen"},
	[REFUSAL_NO_UPSTREAM] = {"no-upstream", "No upstream can serve it now", 503, RAN_NO, true,
				 "no sub-request was sent"},
	[REFUSAL_UPSTREAM_NOT_RUN] = {"upstream-not-run", "The upstream did not start it", 503,
				      RAN_NO, true,
				      "every upstream tried said that it did not start, or no byte "
				      "left on a connection to it"},
	[REFUSAL_DEADLINE] = {"deadline", "The deadline passed before any part was answered", 504,
			      RAN_UNKNOWN, true, "sub-requests were sent and none answered"},
	[REFUSAL_KEY_TOO_OLD] = {"key-too-old", "The idempotency key is older than claims are kept",
				 400, RAN_NO, false, "this request was refused before a claim"},
	[REFUSAL_KEY_IN_USE] = {"key-in-use", "The idempotency key was claimed by another attempt",
				409, RAN_UNKNOWN, false,
				"the attempt that holds the claim may have run it"},
	[REFUSAL_KEY_RAN] = {"key-ran", "The action with this idempotency key has run", 409,
			     RAN_YES, false, "its holder recorded that it ran"},
	[REFUSAL_NO_CLAIM] = {"no-claim", "The claim could not be settled at the platform", 503,
			      RAN_NO, true, "no upstream is contacted before the claim is ours"},
	[REFUSAL_OUTCOME_UNKNOWN] = {"outcome-unknown", "The upstream may have run it", 502,
				     RAN_UNKNOWN, false,
				     "a byte of it may have reached the upstream"},
	[REFUSAL_CONFLICT] = {"conflict", "Another change came first", 409, RAN_NO, false,
			      "the conditional write failed"},
};

const char *ran_name(ran_t ran)
{
	static const char *const names[] = {
		[RAN_NO] = "no", [RAN_YES] = "yes", [RAN_UNKNOWN] = "unknown"};

	return names[ran];
}

const refusal_class_t *refusal_class(refusal_t refusal)
{
	g_assert(refusal < REFUSAL_COUNT);
	return &refusal_classes[refusal];
}
