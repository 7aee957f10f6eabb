/**
 * @file overload.h
 * Whether this VM's searchers are overloaded, from the answers to all of its sub-requests.
 *
 * Admission control and the send limits apply only then. A pause of a searcher, or the loss of a
 * few, delays some answers too; callers are then served best by waiting for a retry or a hedge.
 *
 * Answers for: load beyond what the searchers can do, from its first tenth of a second on.
 */
#ifndef DS_OVERLOAD_H
#define DS_OVERLOAD_H

#include <stdbool.h>
#include <stdint.h>

/** Zeroed: not overloaded. */
typedef struct overload_t {
	double late_share; /**< share of the latest sub-requests that were late or rejected */
	bool active;
	uint64_t seen_us; /**< when a sign of overload was last seen */
} overload_t;

/** Record that a sub-request was answered or rejected. @p late: after its budget, or rejected */
void overload_note_answer(overload_t *overload, bool late, uint64_t now_us);
/** Record that a request had to wait or was refused for lack of room. */
void overload_note_shortage(overload_t *overload, uint64_t now_us);

#endif
