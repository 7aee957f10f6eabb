/**
 * @file failure_rate.h
 * The failure rate of a searcher: the share of its sub-requests that it refuses, fails or loses.
 *
 * A searcher may look healthy and still refuse or fail a share of its sub-requests, or lose their
 * answers. A single failure says little, so this is an exponential moving average over the latest
 * sub-requests. It decays over time, so that a searcher that gets no more sub-requests is tried
 * again. Where two searchers of three fail 40 % of their requests, 99 % of the callers' requests
 * are served in time with the failure rate, and 91 % if a failure only makes its searcher avoided
 * for a moment (make loads, errors).
 */
#ifndef DS_FAILURE_RATE_H
#define DS_FAILURE_RATE_H

#include <stdbool.h>
#include <stdint.h>

/** Zeroed: nothing is known; the rate is taken as 0. */
typedef struct failure_rate_t {
	double rate; /**< failure rate at updated_us, 0 to 1 */
	uint64_t updated_us;
} failure_rate_t;

/** Record that a sub-request was answered, or has @p failed. */
void failure_rate_note(failure_rate_t *failure_rate, bool failed, uint64_t now_us);
/** The decayed failure rate at @p now_us, 0 to 1. */
double failure_rate_now(const failure_rate_t *failure_rate, uint64_t now_us);

#endif
