/**
 * @file forward_outcome.c
 * Names and HTTP statuses of the outcomes of a forwarded request. See forward.h.
 */
#include "core/forward.h"

const char *forward_outcome_name(forward_outcome_t outcome)
{
	static const char *const names[FORWARD_OUTCOMES] = {
		[FORWARD_ANSWERED] = "answered",
		[FORWARD_NOT_READY] = "not-ready",
		[FORWARD_NO_ROUTE] = "no-route",
		[FORWARD_NO_SEARCHER] = "no-searcher",
		[FORWARD_SHUTTING_DOWN] = "leaving",
		[FORWARD_TOO_LATE] = "too-late",
		[FORWARD_FULL] = "full",
		[FORWARD_REJECTED] = "rejected",
		[FORWARD_TOO_FEW] = "too-few",
		[FORWARD_FAILED] = "failed",
		[FORWARD_TIMEOUT] = "timeout",
		[FORWARD_BLOCKED] = "blocked",
		[FORWARD_DEFERRED] = "deferred",
		[FORWARD_UNAUTHORIZED] = "unauthorized",
		[FORWARD_OVER_QUOTA] = "over-quota",
		[FORWARD_NO_QUOTA] = "no-quota",
	};

	return names[outcome];
}

int forward_outcome_status(forward_outcome_t outcome)
{
	static const int statuses[FORWARD_OUTCOMES] = {
		[FORWARD_ANSWERED] = 200,      [FORWARD_NOT_READY] = 503,
		[FORWARD_NO_ROUTE] = 404,      [FORWARD_NO_SEARCHER] = 503,
		[FORWARD_SHUTTING_DOWN] = 503, [FORWARD_TOO_LATE] = 503,
		[FORWARD_FULL] = 503,	       [FORWARD_REJECTED] = 503,
		[FORWARD_TOO_FEW] = 502,       [FORWARD_FAILED] = 502,
		[FORWARD_TIMEOUT] = 504,       [FORWARD_BLOCKED] = 503,
		[FORWARD_DEFERRED] = 503,      [FORWARD_UNAUTHORIZED] = 401,
		[FORWARD_OVER_QUOTA] = 429,    [FORWARD_NO_QUOTA] = 503,
	};

	return statuses[outcome];
}

/* The other outcomes promise their callers that the request did not run. */
bool forward_outcome_may_have_run(forward_outcome_t outcome)
{
	return outcome == FORWARD_ANSWERED || outcome == FORWARD_TOO_FEW ||
	       outcome == FORWARD_FAILED || outcome == FORWARD_TIMEOUT;
}
