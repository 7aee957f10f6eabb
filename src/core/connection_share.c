/**
 * @file connection_share.c
 * See connection_share.h.
 */
#include "core/connection_share.h"

#include "core/feed_choice.h"

#include <string.h>
#include <xxhash.h>

/* The VMs share out only this part of a searcher's connections. The rest is for VMs that start
 * before others have closed their connections, and for searchers that accept fewer while their
 * queue is long. */
#define CONNECTIONS_USED_SHARE 0.9
/* One connection for a request and one for a second request. If there are fewer for each VM, not
 * every VM may hold connections to every searcher. */
#define MIN_CONNECTIONS_EACH 2

/* Sub-requests for each slot of a searcher, of all VMs: one that runs and one that waits. */
#define SENDS_PER_SLOT 2.0

/* Added to the count: VMs that were added a moment ago are not in the list yet. */
#define UNLISTED_VMS 1

void vm_counts_set(vm_counts_t *counts, const GPtrArray *vms)
{
	counts->all = 0;
	if (!vms->len)
		return;
	counts->all = vms->len + UNLISTED_VMS;
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

/* The usable searcher in another region that ranks first for this VM's name. */
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

/* The number of VMs that hold connections to @p searcher: all VMs of its region, and one of every n
 * other VMs, where n is the number of searchers outside its region. */
static uint32_t holders_of(const pool_t *pool, const searcher_t *searcher, const vm_counts_t *vms)
{
	uint32_t near_vms = vms_in(vms, searcher->data_centre), elsewhere = 0;

	for (guint i = 0; i < pool->searchers->len; i++) {
		const searcher_t *other = g_ptr_array_index(pool->searchers, i);
		const char *here =
			g_hash_table_lookup((GHashTable *)vms->regions, searcher->data_centre);
		const char *there =
			g_hash_table_lookup((GHashTable *)vms->regions, other->data_centre);

		elsewhere += g_strcmp0(here, there) != 0;
	}
	return near_vms + (vms->all - MIN(near_vms, vms->all)) / MAX(elsewhere, 1);
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
 * Until the store has listed the VMs, each VM takes one connection. If it assumed too small a
 * number of VMs, many VMs that start together would take several times the connections that a
 * searcher has.
 */
void connection_share_set(pool_t *pool, uint32_t connections, const vm_counts_t *vms)
{
	double used = vms->all ? connections * CONNECTIONS_USED_SHARE : 0;
	uint32_t each = (uint32_t)(used / MAX(vms->all, 1));
	const searcher_t *backup = backup_of(pool, vms);
	bool spread = each < MIN_CONNECTIONS_EACH && vms->by_region && has_near(pool);

	for (guint i = 0; i < pool->searchers->len; i++) {
		searcher_t *searcher = g_ptr_array_index(pool->searchers, i);
		uint32_t holders = spread ? holders_of(pool, searcher, vms) : vms->all;

		send_limit_set_start(&searcher->send_limit,
				     SENDS_PER_SLOT * searcher->slots / MAX(holders, 1));
	}
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
