/**
 * @file observation.h
 * What a VM has just observed of a searcher, shared with the other VMs of its data centre.
 *
 * With many VMs, each sends to a given searcher about once a second. On its own, each VM needs
 * several late answers, and so seconds, to learn that a searcher is slow or hangs, and a slow
 * period is over by then. All VMs together learn it within a few hundred ms. Only unexpected
 * results are shared. VMs of one data centre have the same network path to a searcher, so what one
 * measures holds for all.
 */
#ifndef DS_OBSERVATION_H
#define DS_OBSERVATION_H

#include "core/placement.h"

typedef enum observation_type_t {
	OBSERVATION_ANSWERED, /**< answered much later or sooner than expected */
	OBSERVATION_STUCK, /**< no answer yet although one was due: the searcher pauses, or worse */
	OBSERVATION_HUNG,  /**< no answer for longer than any pause lasts */
	OBSERVATION_TYPES,
} observation_type_t;

typedef struct observation_t {
	observation_type_t type;
	const char *searcher; /**< its id; borrowed */
	uint64_t born_ms;     /**< when its process started; 0: not given */
	uint64_t after_us;    /**< time from sending a sub-request to its answer, or until now */
} observation_t;

/** Decides whether this VM's observations reflect the searchers, or only problems of this VM
 * itself. Zeroed at the start. */
typedef struct observation_filter_t {
	double unexpected_share; /**< share of its latest sub-requests with an unexpected result, as
				    a moving average */
	uint64_t first_sent_us;	 /**< when the first sub-request was recorded; 0: none yet */
} observation_filter_t;

/** Whether the latency @p took_us differs so much from @p expected_us that the answer is worth
 * sharing with other VMs. Always true for a searcher that this VM avoids. */
bool observation_is_unexpected(const searcher_t *searcher, double expected_us, uint64_t took_us,
			       uint64_t now_us);
/** Record that a sub-request has ended or hangs, and whether that was @p unexpected. */
void observation_filter_note(observation_filter_t *filter, bool unexpected, uint64_t now_us);
/** Whether to share observations of @p type, and to apply those of other VMs. */
bool observation_filter_passes(const observation_filter_t *filter, observation_type_t type,
			       uint64_t now_us);
/** Apply an observation by another VM of this region. */
void observation_apply(registry_t *registry, const observation_t *observation, uint64_t now_us);
const char *observation_type_name(observation_type_t type);

#endif
