/**
 * @file quota_choice.c
 * See quota_choice.h.
 */
#include "core/quota_choice.h"

/* Those in use, and as many in reserve. */
#define CANDIDATES_PER_REGION (2 * QUOTA_POOLS_PER_REGION)

/* Gatherers are the VMs that are large enough, in an order that a new VM hardly changes. */
GPtrArray *quota_pools_in_region(const fleet_t *fleet, const char *region)
{
	GPtrArray *pools = gatherers_in_region(fleet, region);

	if (pools->len > CANDIDATES_PER_REGION)
		g_ptr_array_set_size(pools, CANDIDATES_PER_REGION);
	return pools;
}

GPtrArray *quota_pools_elsewhere(const fleet_t *fleet, const char *region)
{
	g_autoptr(GPtrArray) regions = fleet_regions(fleet);
	GPtrArray *all = g_ptr_array_new();

	for (guint i = 0; i < regions->len; i++) {
		const char *other = g_ptr_array_index(regions, i);

		if (g_strcmp0(other, region))
			g_ptr_array_extend_and_steal(all, quota_pools_in_region(fleet, other));
	}
	return all;
}
