/**
 * @file sharing.c
 * See sharing.h.
 */
#include "core/sharing.h"

/* The VMs share out only this part of the constant of the retry bound: requests for one service
 * that reach a searcher of another service count there, too. */
#define CONSTANT_USED_SHARE 0.8
/* The part of the connections and of the constant that the gatherers share. The rest is for VMs
 * that gather for themselves because they reach no gatherer. */
#define GATHERERS_SHARE 0.75

static sharers_t sharers_of(const fleet_t *fleet, const GPtrArray *vms, const char *own_name)
{
	sharers_t sharers = {.counts = {.own_name = own_name, .regions = fleet->regions},
			     .fraction = 1};

	vm_counts_set(&sharers.counts, vms);
	/* If these are all VMs, this VM is one of them even before it is listed. */
	sharers.is_member = vms->len == fleet->vms->len || vm_find(vms, own_name);
	return sharers;
}

void sharing_update(sharing_t *sharing, const fleet_t *fleet, const char *own_name,
		    uint32_t constant)
{
	g_autoptr(GPtrArray) gatherers = gatherers_in_fleet(fleet);
	bool few = gatherers->len < fleet->vms->len;

	sharing->constant = CONSTANT_USED_SHARE * constant;
	sharing->all = sharers_of(fleet, fleet->vms, own_name);
	sharing->gatherers = sharers_of(fleet, gatherers, own_name);
	if (!few)
		return;
	if (sharing->gatherers.is_member) {
		sharing->gatherers.fraction = GATHERERS_SHARE;
		return;
	}
	sharing->gatherers.fraction = 1 - GATHERERS_SHARE;
	sharing->gatherers.counts.all = sharing->all.counts.all;
}

void sharing_clear(sharing_t *sharing)
{
	vm_counts_clear(&sharing->all.counts);
	vm_counts_clear(&sharing->gatherers.counts);
}

bool sharing_apply(const sharing_t *sharing, pool_t *pool, const routing_t *routing)
{
	bool single = routing && routing_is_single(routing, pool->service);
	const sharers_t *sharers = single ? &sharing->all : &sharing->gatherers;
	uint32_t connections =
		routing ? routing_service_limits(routing, pool->service).connections : 0;
	uint32_t vms = sharers->counts.all;

	if (!sharers->is_member)
		connections = 0;
	connection_share_set(pool, (uint32_t)(connections * sharers->fraction), &sharers->counts);
	pool->bound.constant = vms ? sharing->constant * sharers->fraction / vms : 0;
	return routing && sharers->is_member && vms;
}

void sharing_update_members(sharing_t *sharing, const cold_members_t *members, bool changed,
			    uint64_t now_us)
{
	bool list_current = cold_share_is_usable(members, now_us);

	sharing->fleet_version += changed || list_current != sharing->list_current;
	sharing->list_current = list_current;
}

void sharing_apply_cold(const sharing_t *sharing, const cold_members_t *members, pool_t *pool,
			uint64_t now_us)
{
	if (!pool->cold.per_s)
		return;
	for (guint i = 0; i < pool->searchers->len; i++) {
		searcher_t *searcher = g_ptr_array_index(pool->searchers, i);

		if (now_us >= searcher->cold_until_us ||
		    searcher->cold_fleet_version == sharing->fleet_version)
			continue;
		searcher->cold_fleet_version = sharing->fleet_version;
		searcher->cold_share = sharing->list_current
					       ? cold_share_of(members, &pool->cold, searcher->id)
					       : 0;
	}
}
