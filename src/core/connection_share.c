/**
 * @file connection_share.c
 * See connection_share.h.
 */
#include "core/connection_share.h"

#include "core/feed_choice.h"

#include <string.h>
#include <xxhash.h>

/* Left free of a searcher's connections: VMs that start before others have closed theirs, and a
 * searcher that takes fewer while its queue is long. */
#define USED 0.9
/* One to work on and one for a second request; with less for each VM, not every VM may hold any. */
#define ENOUGH_EACH 2

/* VMs that were added a moment ago are not in the list yet. */
#define VMS_SPARE 1

void vm_counts_take(vm_counts_t *counts, const GPtrArray *vms)
{
	counts->all = 0;
	if (!vms->len)
		return;
	counts->all = vms->len + VMS_SPARE;
	counts->by_region = g_hash_table_new(g_str_hash, g_str_equal);
	for (guint i = 0; i < vms->len; i++) {
		const vm_t *vm = g_ptr_array_index(vms, i);
		gpointer region =
			g_hash_table_lookup((GHashTable *)counts->regions, vm->data_centre);
		guint count;

		if (!region)
			continue;
		count = GPOINTER_TO_UINT(g_hash_table_lookup(counts->by_region, region));
		g_hash_table_insert(counts->by_region, region, GUINT_TO_POINTER(count + 1));
	}
}

void vm_counts_clear(vm_counts_t *counts)
{
	if (counts->by_region)
		g_hash_table_unref(counts->by_region);
	counts->by_region = NULL;
}

static uint32_t vms_in(const vm_counts_t *vms, const char *data_centre)
{
	const char *region = g_hash_table_lookup((GHashTable *)vms->regions, data_centre);

	if (!region || !vms->by_region)
		return 0;
	return GPOINTER_TO_UINT(g_hash_table_lookup(vms->by_region, region));
}

static uint64_t rank_of(const searcher_t *searcher, const vm_counts_t *vms)
{
	return XXH64(searcher->id, strlen(searcher->id),
		     XXH64(vms->own_name, strlen(vms->own_name), 0));
}

/* The usable searcher elsewhere that this VM's name ranks first. */
static const searcher_t *backup_of(const pool_t *pool, const vm_counts_t *vms)
{
	const searcher_t *best = NULL;

	for (guint i = 0; i < pool->searchers->len; i++) {
		const searcher_t *searcher = g_ptr_array_index(pool->searchers, i);

		if (searcher->distance != DISTANCE_FAR || !searcher_is_usable(searcher))
			continue;
		if (!best || rank_of(searcher, vms) < rank_of(best, vms))
			best = searcher;
	}
	return best;
}

/* VMs of its region hold it, and of the others one in as many as there are searchers elsewhere. */
static uint32_t holders_of(const pool_t *pool, const searcher_t *searcher, const vm_counts_t *vms)
{
	uint32_t near = vms_in(vms, searcher->data_centre), elsewhere = 0;

	for (guint i = 0; i < pool->searchers->len; i++) {
		const searcher_t *other = g_ptr_array_index(pool->searchers, i);
		const char *here =
			g_hash_table_lookup((GHashTable *)vms->regions, searcher->data_centre);
		const char *there =
			g_hash_table_lookup((GHashTable *)vms->regions, other->data_centre);

		elsewhere += g_strcmp0(here, there) != 0;
	}
	return near + (vms->all - MIN(near, vms->all)) / MAX(elsewhere, 1);
}

static bool has_near(const pool_t *pool)
{
	for (guint i = 0; i < pool->searchers->len; i++) {
		const searcher_t *searcher = g_ptr_array_index(pool->searchers, i);

		if (searcher->distance != DISTANCE_FAR && searcher_is_usable(searcher))
			return true;
	}
	return false;
}

/*
 * Before the store has listed the VMs each takes one connection, whatever their number: assumed too
 * few, many that start together would take several times what a searcher has.
 */
void connection_share_set(pool_t *pool, uint32_t connections, const vm_counts_t *vms)
{
	double used = vms->all ? connections * USED : 0;
	uint32_t each = (uint32_t)(used / MAX(vms->all, 1));
	const searcher_t *backup = backup_of(pool, vms);
	bool spread = each < ENOUGH_EACH && vms->by_region && has_near(pool);

	for (guint i = 0; i < pool->searchers->len; i++) {
		searcher_t *searcher = g_ptr_array_index(pool->searchers, i);
		bool held = searcher->distance != DISTANCE_FAR || searcher == backup;

		if (!spread)
			searcher->connections_max = MAX(each, 1);
		else if (!held)
			searcher->connections_max = 1;
		else
			searcher->connections_max =
				MAX((uint32_t)(used / MAX(holders_of(pool, searcher, vms), 1)), 1);
	}
}
