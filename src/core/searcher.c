/**
 * @file searcher.c
 * See searcher.h.
 */
#include "core/searcher.h"

#include <math.h>

/* The weight of a sample grows with the time since the previous one. Where answers are seconds
 * apart, a searcher that turned slow is avoided after two answers. Where answers are frequent, a
 * single one delayed by a pause hardly counts, and a lasting slowdown is still detected within a
 * second. */
#define SEARCHER_LATENCY_TIME_CONSTANT_US 2500000.0
#define LATENCY_WEIGHT_MIN 0.05
/* Backoff after a failure, doubled with each consecutive failure. */
#define AVOID_FIRST_US 100000
#define AVOID_MAX_US 2000000
/* A hung searcher gets a longer backoff: a request that finds it still hung waits in vain, while
 * recovery is detected within a second or two. */
#define AVOID_HUNG_FIRST_US 1000000
#define AVOID_HUNG_MAX_US 4000000

void searcher_entry_clear(searcher_entry_t *entry)
{
	g_free(entry->id);
	g_free(entry->service);
	g_free(entry->address);
	g_free(entry->data_centre);
	*entry = (searcher_entry_t){0};
}

searcher_t *searcher_new(const searcher_entry_t *entry, distance_t distance, const char *region,
			 uint64_t now_us)
{
	searcher_t *searcher = g_new0(searcher_t, 1);

	searcher->refs = 1;
	searcher->id = g_strdup(entry->id);
	searcher->born_ms = entry->born_ms;
	searcher->service = g_strdup(entry->service);
	searcher->address = g_strdup(entry->address);
	searcher->port = entry->port;
	searcher->data_centre = g_strdup(entry->data_centre);
	searcher->region = g_strdup(region);
	searcher->slots = MAX(entry->slots, 1);
	searcher->distance = distance;
	searcher->cold_until_us = now_us + entry->cold_us;
	searcher->cold_us = entry->cold_us;
	searcher->changes = entry->changes;
	searcher->connections_max = 1;
	g_queue_init(&searcher->outstanding);
	return searcher;
}

searcher_t *searcher_ref(searcher_t *searcher)
{
	searcher->refs++;
	return searcher;
}

void searcher_unref(searcher_t *searcher)
{
	if (!searcher || --searcher->refs)
		return;
	g_free(searcher->id);
	g_free(searcher->service);
	g_free(searcher->address);
	g_free(searcher->data_centre);
	g_free(searcher->region);
	g_free(searcher);
}

bool searcher_is_usable(const searcher_t *searcher)
{
	return searcher->state == SEARCHER_READY && !searcher->evacuated;
}

bool searcher_has_capacity(const searcher_t *searcher)
{
	return searcher->idle > 0 || searcher->connections < searcher->connections_max;
}

void searcher_record_answer(searcher_t *searcher, uint64_t latency_us, uint64_t now_us)
{
	searcher->answered_us = now_us;
	searcher->last_served_sent_us = MAX(searcher->last_served_sent_us, now_us - latency_us);
	searcher->stuck_until_us = 0;
	failure_rate_note(&searcher->failure_rate, false, now_us);
	searcher_record_latency(searcher, latency_us, now_us);
}

void searcher_record_latency(searcher_t *searcher, uint64_t latency_us, uint64_t now_us)
{
	double age_us = (double)(now_us - searcher->sampled_us);
	double weight =
		MAX(1 - exp(-age_us / SEARCHER_LATENCY_TIME_CONSTANT_US), LATENCY_WEIGHT_MIN);
	double sample_us = (double)MAX(latency_us, 1);

	/* Averages ratios, so that a sample of twice and one of half the latency cancel out. */
	if (searcher->sampled_us)
		searcher->latency_us *= pow(sample_us / searcher->latency_us, weight);
	else
		searcher->latency_us = sample_us;
	searcher->sampled_us = now_us;
	searcher->failures = 0;
	searcher->avoid_until_us = 0;
}

void searcher_record_failure(searcher_t *searcher, uint64_t now_us)
{
	uint64_t avoid_us = AVOID_FIRST_US << MIN(searcher->failures, 8);

	failure_rate_note(&searcher->failure_rate, true, now_us);
	searcher->failures++;
	searcher->avoid_until_us = now_us + MIN(avoid_us, AVOID_MAX_US);
}

void searcher_record_hang(searcher_t *searcher, uint64_t now_us)
{
	uint64_t avoid_us = AVOID_HUNG_FIRST_US << MIN(searcher->failures, 8);

	/* Several sub-requests that hang at the same time count as one failure. */
	if (now_us < searcher->avoid_until_us)
		return;
	searcher->failures++;
	searcher->avoid_until_us = now_us + MIN(avoid_us, AVOID_HUNG_MAX_US);
}

void searcher_record_refusal(searcher_t *searcher, uint64_t now_us)
{
	failure_rate_note(&searcher->failure_rate, true, now_us);
}

const char *searcher_state_name(searcher_state_t state)
{
	static const char *const names[] = {
		[SEARCHER_READY] = "ready",
		[SEARCHER_DRAINING] = "draining",
		[SEARCHER_GONE] = "gone",
		[SEARCHER_ENDED] = "ended",
	};

	return names[state];
}
