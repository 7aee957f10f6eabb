/**
 * @file gather_place.c
 * See gather_place.h.
 */
#include "core/gather_place.h"

/* With less of a difference the bytes saved are few, and searchers that come and go would move all
 * gathers of a region to and fro. */
#define MOST_TIMES 2

/* Data centre to usable searchers of services that are gathered, in the region of @p own. */
static GHashTable *count_searchers(const registry_t *registry, const routing_t *routing,
				   GHashTable *regions, const char *own)
{
	const char *region = g_hash_table_lookup(regions, own);
	GHashTable *counts = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, registry_searchers((registry_t *)registry));
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const searcher_t *searcher = value;
		guint count;

		if (!searcher_is_usable(searcher) || !region || !searcher->region ||
		    !g_str_equal(searcher->region, region) ||
		    routing_is_single(routing, searcher->service))
			continue;
		count = GPOINTER_TO_UINT(g_hash_table_lookup(counts, searcher->data_centre));
		g_hash_table_insert(counts, searcher->data_centre, GUINT_TO_POINTER(count + 1));
	}
	return counts;
}

/* The table's own name of it: searchers go. */
static const char *name_of(GHashTable *regions, const char *data_centre)
{
	gpointer name = NULL;

	g_hash_table_lookup_extended(regions, data_centre, &name, NULL);
	return name;
}

const char *gather_place(const registry_t *registry, const routing_t *routing, GHashTable *regions,
			 const char *own)
{
	g_autoptr(GHashTable) counts = count_searchers(registry, routing, regions, own);
	guint own_count = GPOINTER_TO_UINT(g_hash_table_lookup(counts, own)), most = 0;
	const char *best = own;
	GHashTableIter iter;
	gpointer name, count;

	g_hash_table_iter_init(&iter, counts);
	while (g_hash_table_iter_next(&iter, &name, &count)) {
		if (GPOINTER_TO_UINT(count) <= MOST_TIMES * own_count ||
		    GPOINTER_TO_UINT(count) <= most)
			continue;
		most = GPOINTER_TO_UINT(count);
		best = name_of(regions, name);
	}
	return best;
}
