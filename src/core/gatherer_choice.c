/**
 * @file gatherer_choice.c
 * See gatherer_choice.h.
 */
#include "core/gatherer_choice.h"

#include <string.h>
#include <xxhash.h>

/* Greatest part time of a gatherer, relative to that of the best VMs. A gather of 90 parts takes 15
 * ms on half a core with 200 Mbit/s, and 80 ms on 0.12 of a core with 20 Mbit/s. A hand-over takes
 * 1 to 3 ms, so a VM that takes twice as long as the best still gathers. */
#define PART_TIME_RATIO_MAX 2.0
/* Connections of a searcher that each gatherer needs: one in use, one for a second concurrent
 * request, one for a retry. With fewer, parts wait for connections rather than for searchers. */
#define CONNECTIONS_PER_GATHERER 3
/* Share of a searcher's connections that gatherers may use. The rest is left for VMs that gather
 * themselves because they reach no gatherer, and for gatherers that start before others have closed
 * their connections. */
#define GATHERER_CONNECTIONS_SHARE 0.9
/* Minimum in each region, so that one may fail. */
#define GATHERERS_MIN 2

static const char *region_of(const fleet_t *fleet, const char *data_centre)
{
	return g_hash_table_lookup((GHashTable *)fleet->regions, data_centre);
}

bool fleet_is_in_region(const fleet_t *fleet, const vm_t *vm, const char *region)
{
	return !g_strcmp0(region_of(fleet, vm->data_centre), region);
}

GPtrArray *fleet_regions(const fleet_t *fleet)
{
	g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *regions = g_ptr_array_new();

	for (guint i = 0; i < fleet->vms->len; i++) {
		const vm_t *vm = g_ptr_array_index(fleet->vms, i);
		const char *region = region_of(fleet, vm->data_centre);

		if (region && g_hash_table_add(seen, (gpointer)region))
			g_ptr_array_add(regions, (gpointer)region);
	}
	return regions;
}

static gint compare_part_time(gconstpointer a, gconstpointer b)
{
	double first_us = vm_part_us(*(vm_t *const *)a);
	double second_us = vm_part_us(*(vm_t *const *)b);

	return first_us < second_us ? -1 : first_us > second_us;
}

static uint64_t rank_of(const vm_t *vm, const char *salt)
{
	return XXH64(vm->name, strlen(vm->name), XXH64(salt, strlen(salt), 0));
}

static gint compare_rank(gconstpointer a, gconstpointer b, gpointer salt)
{
	const vm_t *first = *(vm_t *const *)a, *second = *(vm_t *const *)b;
	uint64_t left = rank_of(first, salt), right = rank_of(second, salt);

	return left < right ? -1 : left > right;
}

/* Number of VMs in the region, including those that cannot gather for others. */
static guint count_in_region(const fleet_t *fleet, const char *region)
{
	guint count = 0;

	for (guint i = 0; i < fleet->vms->len; i++)
		count += fleet_is_in_region(fleet, g_ptr_array_index(fleet->vms, i), region);
	return count;
}

static GPtrArray *candidates_of(const fleet_t *fleet, const char *region)
{
	GPtrArray *candidates = g_ptr_array_new();

	for (guint i = 0; i < fleet->vms->len; i++) {
		vm_t *vm = g_ptr_array_index(fleet->vms, i);

		if (vm->gather_port && fleet_is_in_region(fleet, vm, region))
			g_ptr_array_add(candidates, vm);
	}
	return candidates;
}

/* Drops the VMs that are too slow compared to the second best VM. The best one is not the
 * reference, because a single VM that is far faster than all others cannot gather for a region
 * alone. */
static void drop_slow(GPtrArray *candidates)
{
	double max_us;

	if (candidates->len <= GATHERERS_MIN)
		return;
	g_ptr_array_sort(candidates, compare_part_time);
	max_us = PART_TIME_RATIO_MAX * vm_part_us(g_ptr_array_index(candidates, GATHERERS_MIN - 1));
	while (vm_part_us(g_ptr_array_index(candidates, candidates->len - 1)) > max_us)
		g_ptr_array_set_size(candidates, (gint)candidates->len - 1);
}

/* The region's share, in proportion to its VMs, of the number of gatherers that the searchers'
 * connections suffice for. */
static guint gatherers_max_in_region(const fleet_t *fleet, const char *region)
{
	double max = fleet->connections * GATHERER_CONNECTIONS_SHARE / CONNECTIONS_PER_GATHERER;
	double share = (double)count_in_region(fleet, region) / MAX(fleet->vms->len, 1);

	if (!fleet->connections)
		return fleet->vms->len;
	return MAX((guint)(max * share + 0.5), GATHERERS_MIN);
}

GPtrArray *gatherers_in_region(const fleet_t *fleet, const char *region)
{
	GPtrArray *gatherers = candidates_of(fleet, region);
	guint max = gatherers_max_in_region(fleet, region);

	drop_slow(gatherers);
	/* The rank of a VM does not depend on other VMs, so a new VM replaces at most one gatherer.
	 */
	g_ptr_array_sort_with_data(gatherers, compare_rank, (gpointer)(region ? region : ""));
	if (gatherers->len > max)
		g_ptr_array_set_size(gatherers, (gint)max);
	return gatherers;
}

GPtrArray *gatherers_in_fleet(const fleet_t *fleet)
{
	g_autoptr(GPtrArray) regions = fleet_regions(fleet);
	GPtrArray *all = g_ptr_array_new();

	for (guint i = 0; i < regions->len; i++)
		g_ptr_array_extend_and_steal(
			all, gatherers_in_region(fleet, g_ptr_array_index(regions, i)));
	return all;
}

static void append_matching(GPtrArray *to, const GPtrArray *from, const char *data_centre,
			    bool local)
{
	for (guint i = 0; i < from->len; i++) {
		vm_t *vm = g_ptr_array_index(from, i);

		if (g_str_equal(vm->data_centre, data_centre) == local)
			g_ptr_array_add(to, vm);
	}
}

GPtrArray *gatherers_for(const fleet_t *fleet, const char *name, const char *data_centre)
{
	g_autoptr(GPtrArray) gatherers = gatherers_in_region(fleet, region_of(fleet, data_centre));
	GPtrArray *ordered = g_ptr_array_new();

	if (vm_find(gatherers, name))
		return ordered;
	/* Ranks by the VM's own name, which spreads the VMs over the gatherers. */
	g_ptr_array_sort_with_data(gatherers, compare_rank, (gpointer)name);
	append_matching(ordered, gatherers, data_centre, true);
	append_matching(ordered, gatherers, data_centre, false);
	return ordered;
}
