/**
 * @file feed_choice.c
 * See feed_choice.h.
 */
#include "core/feed_choice.h"

#include <string.h>
#include <xxhash.h>

/* Up to so many VMs of a region all watch: a feed would save hardly any calls, and each VM
 * then depends on no other. */
#define WATCH_ALL_MOST 4
/* Watchers of a larger region: two, so that one may fail, and one more for each so many VMs:
 * 40 subscribers take 40 x 250 B for each change of a searcher, 10 KB, of a link of 14 Mbit/s. */
#define WATCHERS_LEAST 2
#define VMS_A_WATCHER 40

/* A subscriber's own requests wait while it reads, for tens of ms on the smallest links; a larger
 * one would hold up every sub-request there for seconds. */
#define TELL_MOST_BYTES (64u << 10)
/* The feeder's requests wait while it writes to all. Announced instead, each subscriber has to read
 * the object from the store, a call each. */
#define TELL_MOST_US 50000
/* One part in so many of its link goes to objects that subscribers ask for, one after the other. */
#define ASKED_SHARE 4
/* A link that is not known is taken to be as slow as those of small VMs. */
#define LINK_UNKNOWN_MBPS 14

static uint64_t hash_of(const char *name, const char *salt)
{
	return XXH64(name, strlen(name), XXH64(salt, strlen(salt), 0));
}

typedef struct order_t {
	const char *salt;
	bool by_link;
} order_t;

static gint by_hash(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const order_t *order = ctx;
	const vm_t *first = *(vm_t *const *)a, *second = *(vm_t *const *)b;
	uint64_t left = hash_of(first->name, order->salt);
	uint64_t right = hash_of(second->name, order->salt);

	/* What a feeder sends its subscribers holds up its own requests: larger links first. */
	if (order->by_link && first->link_mbps != second->link_mbps)
		return first->link_mbps > second->link_mbps ? -1 : 1;
	return left < right ? -1 : left > right;
}

static void sort(GPtrArray *vms, const char *salt, bool by_link)
{
	order_t order = {.salt = salt, .by_link = by_link};

	g_ptr_array_sort_with_data(vms, by_hash, &order);
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

static bool has_of(const GPtrArray *vms, const char *data_centre)
{
	for (guint i = 0; i < vms->len; i++)
		if (g_str_equal(((const vm_t *)g_ptr_array_index(vms, i))->data_centre,
				data_centre))
			return true;
	return false;
}

/* The first @p most of @p sorted, of as many data centres as can be: those that are fed must not
 * all turn to the store because one data centre is gone. */
static GPtrArray *spread_out(const GPtrArray *sorted, guint most)
{
	GPtrArray *chosen = g_ptr_array_new();

	for (guint i = 0; i < sorted->len && chosen->len < most; i++) {
		vm_t *vm = g_ptr_array_index(sorted, i);

		if (!has_of(chosen, vm->data_centre))
			g_ptr_array_add(chosen, vm);
	}
	for (guint i = 0; i < sorted->len && chosen->len < most; i++)
		if (!g_ptr_array_find(chosen, g_ptr_array_index(sorted, i), NULL))
			g_ptr_array_add(chosen, g_ptr_array_index(sorted, i));
	return chosen;
}

bool feed_is_used(const feed_vms_t *all, const char *data_centre)
{
	g_autoptr(GPtrArray) same = vms_of_region(all, region_of(all, data_centre));

	return same->len > WATCH_ALL_MOST;
}

static void append_where(GPtrArray *to, const GPtrArray *from, const char *data_centre, bool there)
{
	for (guint i = 0; i < from->len; i++) {
		vm_t *vm = g_ptr_array_index(from, i);

		if (g_str_equal(vm->data_centre, data_centre) == there)
			g_ptr_array_add(to, vm);
	}
}

/* All VMs agree on them. */
static GPtrArray *watchers_of(const feed_vms_t *all, const char *region)
{
	GPtrArray *same = vms_of_region(all, region);
	GPtrArray *chosen;

	if (same->len <= WATCH_ALL_MOST)
		return same;
	sort(same, region, true);
	chosen = spread_out(same, WATCHERS_LEAST + same->len / VMS_A_WATCHER);
	g_ptr_array_unref(same);
	return chosen;
}

GPtrArray *feed_choose(const feed_vms_t *all, const char *own_name, const char *data_centre)
{
	g_autoptr(GPtrArray) chosen = NULL;
	GPtrArray *ordered = g_ptr_array_new();

	if (!feed_is_used(all, data_centre))
		return ordered;
	chosen = watchers_of(all, region_of(all, data_centre));
	if (vm_find(chosen, own_name))
		return ordered;
	/* Each spreads itself over them by its own name, over those of its data centre first. */
	sort(chosen, own_name, false);
	append_where(ordered, chosen, data_centre, true);
	append_where(ordered, chosen, data_centre, false);
	return ordered;
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

	sort(watchers, own_name, false);
	append_new(to, watchers, seen);
}

/* Watchers hear it at first hand, those near by are asked first; of all others, one that is fed
 * says by whom. */
GPtrArray *feed_backups(const feed_vms_t *all, const char *own_name, const char *data_centre)
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
	sort(others, own_name, false);
	append_new(ordered, others, seen);
	return ordered;
}

uint64_t feed_pause_us(size_t bytes, uint32_t link_mbps)
{
	uint64_t bits = (uint64_t)bytes * 8;

	return bits * ASKED_SHARE / (link_mbps ? link_mbps : LINK_UNKNOWN_MBPS);
}

bool feed_may_tell(size_t bytes, uint32_t subscribers, uint32_t link_mbps)
{
	uint64_t bits = (uint64_t)bytes * 8 * MAX(subscribers, 1);

	return bytes <= TELL_MOST_BYTES &&
	       bits / (link_mbps ? link_mbps : LINK_UNKNOWN_MBPS) <= TELL_MOST_US;
}
