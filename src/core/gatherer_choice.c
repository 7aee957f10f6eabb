/**
 * @file gatherer_choice.c
 * See gatherer_choice.h.
 */
#include "core/gatherer_choice.h"

#include <string.h>
#include <xxhash.h>

/* VMs that take up to so many times as long as the best gather like those. A gather of 90 parts
 * takes 15 ms on half a core with 200 Mbit/s and 80 ms on 0.12 with 20; to hand it over takes 1 to
 * 3 ms, so a VM twice as slow as the best is not worth sparing. */
#define LIKE_TIMES 2.0
/* Of a searcher's connections, for VMs that gather: one to work on, one for a second request of the
 * same moment, one for a second try. With less, parts wait for connections, not for searchers. */
#define CONNECTIONS_EACH 3
/* Left free for VMs that gather for themselves because they reach no gatherer, and for those that
 * start before others have closed theirs. */
#define CONNECTIONS_USED 0.9
/* In each region, so that one may fail. */
#define LEAST 2

static const char *region_of(const fleet_t *fleet, const char *data_centre)
{
	return g_hash_table_lookup((GHashTable *)fleet->regions, data_centre);
}

static gint by_part_time(gconstpointer a, gconstpointer b)
{
	double first_us = vm_part_us(*(vm_t *const *)a);
	double second_us = vm_part_us(*(vm_t *const *)b);

	return first_us < second_us ? -1 : first_us > second_us;
}

static uint64_t rank_of(const vm_t *vm, const char *salt)
{
	return XXH64(vm->name, strlen(vm->name), XXH64(salt, strlen(salt), 0));
}

static gint by_rank(gconstpointer a, gconstpointer b, gpointer salt)
{
	const vm_t *first = *(vm_t *const *)a, *second = *(vm_t *const *)b;
	uint64_t left = rank_of(first, salt), right = rank_of(second, salt);

	return left < right ? -1 : left > right;
}

/* All of the region, those that cannot gather for others too. */
static guint count_of_region(const fleet_t *fleet, const char *region)
{
	guint count = 0;

	for (guint i = 0; i < fleet->vms->len; i++) {
		const vm_t *vm = g_ptr_array_index(fleet->vms, i);

		count += g_strcmp0(region_of(fleet, vm->data_centre), region) == 0;
	}
	return count;
}

static GPtrArray *candidates_of(const fleet_t *fleet, const char *region)
{
	GPtrArray *candidates = g_ptr_array_new();

	for (guint i = 0; i < fleet->vms->len; i++) {
		vm_t *vm = g_ptr_array_index(fleet->vms, i);

		if (vm->gather_port && !g_strcmp0(region_of(fleet, vm->data_centre), region))
			g_ptr_array_add(candidates, vm);
	}
	return candidates;
}

/* The second best is the measure: one VM far above all others can't gather for a region alone. */
static void keep_strong(GPtrArray *candidates)
{
	double most_us;

	if (candidates->len <= LEAST)
		return;
	g_ptr_array_sort(candidates, by_part_time);
	most_us = LIKE_TIMES * vm_part_us(g_ptr_array_index(candidates, LEAST - 1));
	while (vm_part_us(g_ptr_array_index(candidates, candidates->len - 1)) > most_us)
		g_ptr_array_set_size(candidates, (gint)candidates->len - 1);
}

/* The region's share, by its VMs, of as many as the searchers' connections are enough for. */
static guint most_of_region(const fleet_t *fleet, const char *region)
{
	double most = fleet->connections * CONNECTIONS_USED / CONNECTIONS_EACH;
	double share = (double)count_of_region(fleet, region) / MAX(fleet->vms->len, 1);

	if (!fleet->connections)
		return fleet->vms->len;
	return MAX((guint)(most * share + 0.5), LEAST);
}

GPtrArray *gatherers_of_region(const fleet_t *fleet, const char *region)
{
	GPtrArray *gatherers = candidates_of(fleet, region);
	guint most = most_of_region(fleet, region);

	keep_strong(gatherers);
	/* By a rank that no other VM changes: of those chosen, one that comes replaces one. */
	g_ptr_array_sort_with_data(gatherers, by_rank, (gpointer)(region ? region : ""));
	if (gatherers->len > most)
		g_ptr_array_set_size(gatherers, (gint)most);
	return gatherers;
}

GPtrArray *gatherers_of_all(const fleet_t *fleet)
{
	g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *all = g_ptr_array_new();

	for (guint i = 0; i < fleet->vms->len; i++) {
		const vm_t *vm = g_ptr_array_index(fleet->vms, i);
		const char *region = region_of(fleet, vm->data_centre);

		if (!region || !g_hash_table_add(seen, (gpointer)region))
			continue;
		g_ptr_array_extend_and_steal(all, gatherers_of_region(fleet, region));
	}
	return all;
}

static void append_where(GPtrArray *to, const GPtrArray *from, const char *data_centre, bool local)
{
	for (guint i = 0; i < from->len; i++) {
		vm_t *vm = g_ptr_array_index(from, i);

		if (g_str_equal(vm->data_centre, data_centre) == local)
			g_ptr_array_add(to, vm);
	}
}

GPtrArray *gatherers_for(const fleet_t *fleet, const char *name, const char *data_centre)
{
	g_autoptr(GPtrArray) gatherers = gatherers_of_region(fleet, region_of(fleet, data_centre));
	GPtrArray *ordered = g_ptr_array_new();

	if (vm_find(gatherers, name))
		return ordered;
	/* Each VM spreads itself over them by its own name. */
	g_ptr_array_sort_with_data(gatherers, by_rank, (gpointer)name);
	append_where(ordered, gatherers, data_centre, true);
	append_where(ordered, gatherers, data_centre, false);
	return ordered;
}
