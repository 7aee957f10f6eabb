/**
 * @file sharing.c
 * See sharing.h.
 */
#include "core/sharing.h"

/* Of the constant part of the bound on retries: requests for one service that reach a searcher of
 * another one count there, too. */
#define CONSTANT_USED 0.8
/* Of the connections and of the constant: for VMs that gather. The rest is for those that gather
 * for themselves because they reach no gatherer. */
#define GATHERERS_PART 0.75

static sharers_t sharers_of(const fleet_t *fleet, const GPtrArray *vms, const char *own_name)
{
	sharers_t sharers = {.counts = {.own_name = own_name, .regions = fleet->regions},
			     .part = 1};

	vm_counts_take(&sharers.counts, vms);
	/* Of all VMs it is one before it is listed, too. */
	sharers.own = vms->len == fleet->vms->len || vm_find(vms, own_name);
	return sharers;
}

void sharing_take(sharing_t *sharing, const fleet_t *fleet, const char *own_name, uint32_t constant)
{
	g_autoptr(GPtrArray) gatherers = gatherers_in_fleet(fleet);
	bool few = gatherers->len < fleet->vms->len;

	sharing->constant = CONSTANT_USED * constant;
	sharing->all = sharers_of(fleet, fleet->vms, own_name);
	sharing->gatherers = sharers_of(fleet, gatherers, own_name);
	if (!few)
		return;
	if (sharing->gatherers.own) {
		sharing->gatherers.part = GATHERERS_PART;
		return;
	}
	sharing->gatherers.part = 1 - GATHERERS_PART;
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
	uint32_t connections = routing ? routing_terms(routing, pool->service).connections : 0;
	uint32_t vms = sharers->counts.all;

	if (!sharers->own)
		connections = 0;
	connection_share_set(pool, (uint32_t)(connections * sharers->part), &sharers->counts);
	pool->bound.constant = vms ? sharing->constant * sharers->part / vms : 0;
	return routing && sharers->own && vms;
}

void sharing_take_members(sharing_t *sharing, const cold_members_t *members, bool changed,
			  uint64_t now_us)
{
	bool trusted = cold_share_is_trusted(members, now_us);

	sharing->fleet += changed || trusted != sharing->trusted;
	sharing->trusted = trusted;
}

void sharing_apply_cold(const sharing_t *sharing, const cold_members_t *members, pool_t *pool,
			uint64_t now_us)
{
	if (!pool->cold.per_s)
		return;
	for (guint i = 0; i < pool->searchers->len; i++) {
		searcher_t *searcher = g_ptr_array_index(pool->searchers, i);

		if (now_us >= searcher->cold_until_us ||
		    searcher->cold_fleet_version == sharing->fleet)
			continue;
		searcher->cold_fleet_version = sharing->fleet;
		searcher->cold_share =
			sharing->trusted ? cold_share_of(members, &pool->cold, searcher->id) : 0;
	}
}
