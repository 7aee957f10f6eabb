/**
 * @file yield.h
 * What share of the sub-requests that a searcher is sent comes to nothing there.
 *
 * A searcher may look healthy and still refuse a share of what it is sent, fail it, or lose its
 * answer. One of these says little, so the latest ones are counted, and the count fades when no
 * more is sent: the way back. Where two searchers of three fail 40 %, 91 % of the requests were
 * served in time while a failure only had its searcher avoided for a moment, and 99 % so (make
 * loads, errors).
 */
#ifndef DS_YIELD_H
#define DS_YIELD_H

#include <stdbool.h>
#include <stdint.h>

/** Zeroed: nothing is known, and nothing is taken to be lost. */
typedef struct failure_rate_t {
	double rate; /**< share, when last noted */
	uint64_t updated_us;
} failure_rate_t;

/** A sub-request was answered, or came to nothing. */
void failure_rate_note(failure_rate_t *failure_rate, bool failed, uint64_t now_us);
/** The share that is lost of late, 0 to 1. */
double failure_rate_now(const failure_rate_t *failure_rate, uint64_t now_us);

#endif
