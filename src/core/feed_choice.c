/**
 * @file feed_choice.c
 * See feed_choice.h.
 */
#include "core/feed_choice.h"

#include <string.h>
#include <xxhash.h>

/* Up to this number of VMs in a region, all watch the store: feeds would save hardly any calls, and
 * without feeds no VM depends on another. */
#define WATCH_ALL_MAX 4
/* Watchers of a larger region: two, so that one may fail, and one more per VMS_PER_WATCHER VMs.
 * With 40 subscribers each change of a searcher takes 40 x 250 B = 10 KB of a link of 14 Mbit/s. */
#define WATCHERS_MIN 2
#define VMS_PER_WATCHER 40

/* While the feeder writes to all subscribers its own requests wait. */
#define AT_ONCE_MAX_US 50000
/* One part in this many of the feeder's link is for objects that are sent in turn. */
#define TURN_LINK_DIVISOR 4
/* A feeder's status says that its subscribers have all changes, also while an object is sent in
 * turn; this time is part of what feed_timing.c allows for the age of the data. If the object takes
 * longer, each subscriber has to read it from the store, with a call of its own. */
#define IN_TURN_MAX_US 500000
/* A link of unknown bandwidth counts as slow as those of small VMs. */
#define LINK_DEFAULT_MBPS 14

static uint64_t hash_name(const char *name, const char *salt)
{
	return XXH64(name, strlen(name), XXH64(salt, strlen(salt), 0));
}

typedef struct vm_order_t {
	const char *salt;
	bool by_link;
} vm_order_t;

static gint compare_vms(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const vm_order_t *order = ctx;
	const vm_t *first = *(vm_t *const *)a, *second = *(vm_t *const *)b;
	uint64_t left = hash_name(first->name, order->salt);
	uint64_t right = hash_name(second->name, order->salt);

	/* Sending to subscribers delays a feeder's own requests: VMs with faster links first. */
	if (order->by_link && first->link_mbps != second->link_mbps)
		return first->link_mbps > second->link_mbps ? -1 : 1;
	return left < right ? -1 : left > right;
}

static void sort_vms(GPtrArray *vms, const char *salt, bool by_link)
{
	vm_order_t order = {.salt = salt, .by_link = by_link};

	g_ptr_array_sort_with_data(vms, compare_vms, &order);
}

static const char *region_of(const feed_vms_t *all, const char *data_centre)
{
	const char *region = g_hash_table_lookup((GHashTable *)all->regions, data_centre);

	return region ? region : data_centre;
}

static GPtrArray *vms_of_region(const feed_vms_t *all, const char *region)
{
	GPtrArray *same = g_ptr_array_new();

	for (guint i = 0; i < all->vms->len; i++) {
		vm_t *vm = g_ptr_array_index(all->vms, i);

		if (g_str_equal(region_of(all, vm->data_centre), region))
			g_ptr_array_add(same, vm);
	}
	return same;
}

static bool has_data_centre(const GPtrArray *vms, const char *data_centre)
{
	for (guint i = 0; i < vms->len; i++)
		if (g_str_equal(((const vm_t *)g_ptr_array_index(vms, i))->data_centre,
				data_centre))
			return true;
	return false;
}

/* The first @p max of @p sorted, from as many data centres as possible: the loss of one data centre
 * must not send all fed VMs to the store. */
static GPtrArray *choose_spread(const GPtrArray *sorted, guint max)
{
	GPtrArray *chosen = g_ptr_array_new();

	for (guint i = 0; i < sorted->len && chosen->len < max; i++) {
		vm_t *vm = g_ptr_array_index(sorted, i);

		if (!has_data_centre(chosen, vm->data_centre))
			g_ptr_array_add(chosen, vm);
	}
	for (guint i = 0; i < sorted->len && chosen->len < max; i++)
		if (!g_ptr_array_find(chosen, g_ptr_array_index(sorted, i), NULL))
			g_ptr_array_add(chosen, g_ptr_array_index(sorted, i));
	return chosen;
}

bool feed_is_used(const feed_vms_t *all, const char *data_centre)
{
	g_autoptr(GPtrArray) same = vms_of_region(all, region_of(all, data_centre));

	return same->len > WATCH_ALL_MAX;
}

static void append_where(GPtrArray *to, const GPtrArray *from, const char *data_centre, bool equal)
{
	for (guint i = 0; i < from->len; i++) {
		vm_t *vm = g_ptr_array_index(from, i);

		if (g_str_equal(vm->data_centre, data_centre) == equal)
			g_ptr_array_add(to, vm);
	}
}

/* The VMs that watch the store in @p region; all VMs compute the same. */
static GPtrArray *watchers_of(const feed_vms_t *all, const char *region)
{
	GPtrArray *same = vms_of_region(all, region);
	GPtrArray *chosen;

	if (same->len <= WATCH_ALL_MAX)
		return same;
	sort_vms(same, region, true);
	chosen = choose_spread(same, WATCHERS_MIN + same->len / VMS_PER_WATCHER);
	g_ptr_array_unref(same);
	return chosen;
}

/* Ordered by a hash with the VM's own name, to spread subscribers over the feeders; feeders of its
 * own data centre come first. */
static GPtrArray *order_feeders(GPtrArray *feeders, const char *own_name, const char *data_centre)
{
	GPtrArray *ordered = g_ptr_array_new();

	sort_vms(feeders, own_name, false);
	append_where(ordered, feeders, data_centre, true);
	append_where(ordered, feeders, data_centre, false);
	return ordered;
}

GPtrArray *feed_choose_feeders(const feed_vms_t *all, const char *own_name, const char *data_centre)
{
	g_autoptr(GPtrArray) chosen = NULL;

	if (!feed_is_used(all, data_centre))
		return g_ptr_array_new();
	chosen = watchers_of(all, region_of(all, data_centre));
	if (vm_find(chosen, own_name))
		return g_ptr_array_new();
	return order_feeders(chosen, own_name, data_centre);
}

GPtrArray *feed_order_feeders(const feed_vms_t *feeders, const char *own_name,
			      const char *data_centre)
{
	g_autoptr(GPtrArray) same = vms_of_region(feeders, region_of(feeders, data_centre));

	return order_feeders(same, own_name, data_centre);
}

static void append_new(GPtrArray *to, const GPtrArray *from, GHashTable *seen)
{
	for (guint i = 0; i < from->len; i++)
		if (g_hash_table_add(seen, g_ptr_array_index(from, i)))
			g_ptr_array_add(to, g_ptr_array_index(from, i));
}

static void append_watchers(GPtrArray *to, const feed_vms_t *all, const char *region,
			    const char *own_name, GHashTable *seen)
{
	g_autoptr(GPtrArray) watchers = watchers_of(all, region);

	sort_vms(watchers, own_name, false);
	append_new(to, watchers, seen);
}

/* Watchers come first, since they read the store themselves: those of the own region, then those of
 * the other regions. Then come all other VMs; one that is fed names its feeder. */
GPtrArray *feed_choose_backups(const feed_vms_t *all, const char *own_name, const char *data_centre)
{
	g_autoptr(GHashTable) seen = g_hash_table_new(NULL, NULL);
	g_autoptr(GHashTable) regions = g_hash_table_new(g_str_hash, g_str_equal);
	g_autoptr(GPtrArray) others = g_ptr_array_new();
	GPtrArray *ordered = g_ptr_array_new();
	const vm_t *own = vm_find(all->vms, own_name);

	if (own)
		g_hash_table_add(seen, (gpointer)own);
	g_hash_table_add(regions, (gpointer)region_of(all, data_centre));
	append_watchers(ordered, all, region_of(all, data_centre), own_name, seen);
	for (guint i = 0; i < all->vms->len; i++) {
		const vm_t *vm = g_ptr_array_index(all->vms, i);
		const char *region = region_of(all, vm->data_centre);

		g_ptr_array_add(others, (gpointer)vm);
		if (g_hash_table_add(regions, (gpointer)region))
			append_watchers(ordered, all, region, own_name, seen);
	}
	sort_vms(others, own_name, false);
	append_new(ordered, others, seen);
	return ordered;
}

static uint64_t send_us(size_t bytes, uint32_t link_mbps)
{
	return (uint64_t)bytes * 8 / (link_mbps ? link_mbps : LINK_DEFAULT_MBPS);
}

uint64_t feed_turn_pause_us(size_t bytes, uint32_t link_mbps)
{
	return send_us(bytes, link_mbps) * TURN_LINK_DIVISOR;
}

feed_delivery_t feed_delivery(size_t bytes, uint32_t subscribers, uint32_t link_mbps)
{
	uint64_t all_us = send_us(bytes, link_mbps) * MAX(subscribers, 1);

	if (all_us <= AT_ONCE_MAX_US)
		return FEED_AT_ONCE;
	return all_us * TURN_LINK_DIVISOR <= IN_TURN_MAX_US ? FEED_IN_TURN : FEED_ANNOUNCES;
}
