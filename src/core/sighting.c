/**
 * @file sighting.c
 * See sighting.h.
 */
#include "core/sighting.h"

/* Beyond what the routes of one service differ by, and well below what a slow searcher takes. */
#define NEWS_TIMES 2.5
/* Weight of one sub-request in the share of odd ones: one gather of tens of parts moves most of it.
 */
#define ODD_WEIGHT 0.05
/* A VM that is slow itself, or cut off, sees nearly all searchers slow or dark; told, that would
 * turn the others away from sound ones. */
#define ODD_MOST 0.6
/*
 * VMs that start together all connect at once, and wait for each other's handshakes of 6 ms. Told
 * as slowness, that turns them from the near searchers to the far ones, where they have to connect
 * as well, beyond what those take. So slowness counts only once a VM has its connections; by then
 * the searchers' own are back to the usual, too.
 */
#define SETTLE_US 6000000
/* How long searchers pause. */
#define PAUSE_US 200000

bool sighting_is_news(const searcher_t *searcher, double expected_us, uint64_t took_us,
		      uint64_t now_us)
{
	double took = (double)MAX(took_us, 1);

	return took > expected_us * NEWS_TIMES || took * NEWS_TIMES < expected_us ||
	       now_us < searcher->avoid_until_us;
}

void sighting_filter_note(sighting_filter_t *filter, bool odd, uint64_t now_us)
{
	if (!filter->first_us)
		filter->first_us = now_us;
	filter->odd += ODD_WEIGHT * ((odd ? 1 : 0) - filter->odd);
}

bool sighting_filter_passes(const sighting_filter_t *filter, sighting_type_t type, uint64_t now_us)
{
	bool settled = filter->first_us && now_us - filter->first_us > SETTLE_US;

	return filter->odd < ODD_MOST && (settled || type == SIGHTING_HUNG);
}

/* An answer to this VM that came after the other one had sent its sub-request. */
static bool answered_since(const searcher_t *searcher, uint64_t after_us, uint64_t now_us)
{
	return searcher->answered_us && now_us - searcher->answered_us < after_us;
}

void sighting_take(registry_t *registry, const sighting_t *sighting, uint64_t now_us)
{
	searcher_t *searcher = registry_find(registry, sighting->searcher);
	uint64_t after_us = sighting->after_us;

	/* What was seen of an earlier start says nothing of this one. */
	if (!searcher || searcher->born_ms != sighting->born_ms)
		return;
	if (sighting->type == SIGHTING_ANSWERED)
		searcher_record_latency(searcher, after_us, now_us);
	else if (answered_since(searcher, after_us, now_us))
		return;
	else if (sighting->type == SIGHTING_HUNG)
		searcher_record_hang(searcher, now_us);
	else if (after_us < PAUSE_US)
		searcher->stuck_until_us = now_us + PAUSE_US - after_us;
}

const char *sighting_type_name(sighting_type_t type)
{
	static const char *const names[SIGHTING_TYPES] = {
		[SIGHTING_ANSWERED] = "answered",
		[SIGHTING_STUCK] = "stuck",
		[SIGHTING_HUNG] = "hung",
	};

	return names[type];
}
