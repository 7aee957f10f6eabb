/**
 * @file observation.c
 * See observation.h.
 */
#include "core/observation.h"

/* An answer is unexpected if its latency is more than this many times the expected latency, or less
 * than the expected latency divided by this. The latencies of a service's routes differ by less;
 * those of slow searchers by much more. */
#define UNEXPECTED_FACTOR 2.5
/* Weight of one sub-request in the share of unexpected results: a gather of tens of parts moves
 * most of it.
 */
#define UNEXPECTED_WEIGHT 0.05
/* From this share of unexpected results on, a VM neither shares observations nor applies those of
 * others. A VM that is slow itself, or cut off from the network, sees nearly all searchers as slow
 * or silent; sharing that would turn the other VMs away from healthy searchers. */
#define UNEXPECTED_SHARE_MAX 0.6
/*
 * VMs that start together all connect at once and wait for each other's handshakes of 6 ms. If they
 * shared that as slowness, they would turn from the near searchers to the far ones, where they
 * would have to connect as well, beyond the connections that those can take. So slowness counts
 * only once a VM has its connections; by then the searchers are back to their usual latency, too.
 */
#define STARTUP_SETTLE_US 6000000
/* How long a searcher's pause lasts. */
#define SEARCHER_PAUSE_US 200000

bool observation_is_unexpected(const searcher_t *searcher, double expected_us, uint64_t took_us,
			       uint64_t now_us)
{
	double took = (double)MAX(took_us, 1);

	return took > expected_us * UNEXPECTED_FACTOR || took * UNEXPECTED_FACTOR < expected_us ||
	       now_us < searcher->avoid_until_us;
}

void observation_filter_note(observation_filter_t *filter, bool unexpected, uint64_t now_us)
{
	if (!filter->first_sent_us)
		filter->first_sent_us = now_us;
	filter->unexpected_share +=
		UNEXPECTED_WEIGHT * ((unexpected ? 1 : 0) - filter->unexpected_share);
}

bool observation_filter_passes(const observation_filter_t *filter, observation_type_t type,
			       uint64_t now_us)
{
	bool settled = filter->first_sent_us && now_us - filter->first_sent_us > STARTUP_SETTLE_US;

	return filter->unexpected_share < UNEXPECTED_SHARE_MAX &&
	       (settled || type == OBSERVATION_HUNG);
}

/* Whether the searcher has answered this VM since the VM that made the observation sent its
 * sub-request. */
static bool answered_since(const searcher_t *searcher, uint64_t after_us, uint64_t now_us)
{
	return searcher->answered_us && now_us - searcher->answered_us < after_us;
}

void observation_apply(registry_t *registry, const observation_t *observation, uint64_t now_us)
{
	searcher_t *searcher = registry_find(registry, observation->searcher);
	uint64_t after_us = observation->after_us;

	/* An observation of an earlier start of the searcher says nothing about this one. */
	if (!searcher || searcher->born_ms != observation->born_ms)
		return;
	if (observation->type == OBSERVATION_ANSWERED)
		searcher_record_latency(searcher, after_us, now_us);
	else if (answered_since(searcher, after_us, now_us))
		return;
	else if (observation->type == OBSERVATION_HUNG)
		searcher_record_hang(searcher, now_us);
	else if (after_us < SEARCHER_PAUSE_US)
		searcher->stuck_until_us = now_us + SEARCHER_PAUSE_US - after_us;
}

const char *observation_type_name(observation_type_t type)
{
	static const char *const names[OBSERVATION_TYPES] = {
		[OBSERVATION_ANSWERED] = "answered",
		[OBSERVATION_STUCK] = "stuck",
		[OBSERVATION_HUNG] = "hung",
	};

	return names[type];
}
