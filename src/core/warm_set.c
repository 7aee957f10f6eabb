/**
 * @file warm_set.c
 * See warm_set.h.
 */
#include "core/warm_set.h"

#include <string.h>
#include <xxhash.h>

static uint64_t rank_of(const searcher_t *searcher, const char *own_name)
{
	return XXH64(searcher->id, strlen(searcher->id), XXH64(own_name, strlen(own_name), 0));
}

/* Far searchers are left out: first attempts do not go to them, and idle connections kept for
 * second attempts would crowd out those of nearby VMs. */
static bool may_be_warm(const searcher_t *searcher)
{
	return searcher_is_usable(searcher) && searcher->distance != DISTANCE_FAR;
}

/* Nearer ones first: bytes between data centres cost time and money. */
static bool goes_before(const searcher_t *searcher, const searcher_t *other, const char *own_name)
{
	if (searcher->distance != other->distance)
		return searcher->distance < other->distance;
	return rank_of(searcher, own_name) < rank_of(other, own_name);
}

/* The first searcher of those that are not chosen yet, or NULL. */
static searcher_t *next_best(const pool_t *pool, const char *own_name)
{
	searcher_t *best = NULL;

	for (guint i = 0; i < pool->searchers->len; i++) {
		searcher_t *searcher = g_ptr_array_index(pool->searchers, i);

		if (searcher->is_warm || !may_be_warm(searcher))
			continue;
		if (!best || goes_before(searcher, best, own_name))
			best = searcher;
	}
	return best;
}

void warm_set_choose(pool_t *pool, const char *own_name)
{
	searcher_t *searcher;

	for (guint i = 0; i < pool->searchers->len; i++)
		((searcher_t *)g_ptr_array_index(pool->searchers, i))->is_warm = false;
	for (int i = 0; i < WARM_SET_SIZE && (searcher = next_best(pool, own_name)); i++)
		searcher->is_warm = true;
}

bool warm_set_is_due(const pool_t *pool, const searcher_t *searcher, uint64_t now_us)
{
	if (!searcher->is_warm || searcher->connections)
		return false;
	return !searcher->was_warmed ||
	       (pool->last_sent_us && now_us < pool->last_sent_us + WARM_UNUSED_MAX_US);
}
