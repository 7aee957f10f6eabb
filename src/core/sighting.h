/**
 * @file sighting.h
 * What a VM has just seen of a searcher, told to other VMs of its data centre.
 *
 * With many VMs each asks a searcher about once a second. Alone, each needs several late answers
 * and seconds to learn that a searcher is slow or hangs, and a slow spell is over by then; all of
 * them together learn it within a few hundred ms. Told is only what differs from what was expected.
 * VMs of one data centre have the same way to a searcher, so what one measures holds for all.
 */
#ifndef DS_SIGHTING_H
#define DS_SIGHTING_H

#include "core/placement.h"

typedef enum observation_type_t {
	OBSERVATION_ANSWERED, /**< much later or sooner than expected */
	OBSERVATION_STUCK,    /**< no answer yet, though one was due: a pause, or worse */
	OBSERVATION_HUNG,     /**< no answer for longer than any pause */
	OBSERVATION_TYPES,
} observation_type_t;

typedef struct observation_t {
	observation_type_t type;
	const char *searcher; /**< its id; borrowed */
	uint64_t born_ms;     /**< which start of it; 0: not said */
	uint64_t after_us;    /**< from sending a sub-request to the answer, or to now */
} observation_t;

/** Whether what this VM sees tells of the searchers, or only of itself. Zeroed at the start. */
typedef struct observation_filter_t {
	double unexpected_share; /**< share of its latest sub-requests that ended, or last,
				    unexpectedly */
	uint64_t first_sent_us;	 /**< when it sent its first sub-request; 0: not yet */
} observation_filter_t;

/** Whether an answer after @p took_us, of which @p expected_us was expected, is news to others. */
bool observation_is_unexpected(const searcher_t *searcher, double expected_us, uint64_t took_us,
			       uint64_t now_us);
/** A sub-request has ended, or hangs; @p unexpected: as was not expected. */
void observation_filter_note(observation_filter_t *filter, bool unexpected, uint64_t now_us);
/** Whether to tell @p type, or to believe another VM's. */
bool observation_filter_passes(const observation_filter_t *filter, observation_type_t type,
			       uint64_t now_us);
/** Another VM of this region has seen this. */
void observation_apply(registry_t *registry, const observation_t *observation, uint64_t now_us);
const char *observation_type_name(observation_type_t type);

#endif
