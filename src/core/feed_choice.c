/**
 * @file feed_choice.c
 * See feed_choice.h.
 */
#include "core/feed_choice.h"

#include <string.h>
#include <xxhash.h>

/* Up to so many VMs of a data centre all watch: a feed would save hardly any calls, and each VM
 * then depends on no other. */
#define WATCH_ALL_MOST 4
/* Watchers of a larger data centre: two, so that one may fail, and one more for each so many VMs:
 * 40 subscribers take 40 x 250 B for each change of a searcher, 10 KB, of a link of 14 Mbit/s. */
#define WATCHERS_LEAST 2
#define VMS_A_WATCHER 40

/* A subscriber's own requests wait while it reads: 37 ms on a link of 14 Mbit/s. One of 550 KB held
 * such a link up for 4 s when 14 others were told it there, and with it every sub-request. */
#define TELL_MOST_BYTES (64u << 10)
/* The feeder's requests wait while it writes to all. Announced instead, each subscriber has to read
 * the object from the store: in a fleet of 295 VMs 287 calls for each change. */
#define TELL_MOST_US 50000
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

static GPtrArray *vms_of(const GPtrArray *vms, const char *data_centre)
{
	GPtrArray *same = g_ptr_array_new();

	for (guint i = 0; i < vms->len; i++) {
		vm_t *vm = g_ptr_array_index(vms, i);

		if (g_str_equal(vm->data_centre, data_centre))
			g_ptr_array_add(same, vm);
	}
	return same;
}

bool feed_is_used(const GPtrArray *vms, const char *data_centre)
{
	g_autoptr(GPtrArray) same = vms_of(vms, data_centre);

	return same->len > WATCH_ALL_MOST;
}

GPtrArray *feed_choose(const GPtrArray *vms, const char *own_name, const char *data_centre)
{
	GPtrArray *chosen = vms_of(vms, data_centre);
	guint watchers;

	if (chosen->len <= WATCH_ALL_MOST) {
		g_ptr_array_set_size(chosen, 0);
		return chosen;
	}
	watchers = WATCHERS_LEAST + chosen->len / VMS_A_WATCHER;
	/* All VMs agree on the watchers; each spreads itself over them by its own name. */
	sort(chosen, data_centre, true);
	g_ptr_array_set_size(chosen, (gint)MIN(watchers, chosen->len));
	if (vm_find(chosen, own_name))
		g_ptr_array_set_size(chosen, 0);
	sort(chosen, own_name, false);
	return chosen;
}

bool feed_may_tell(size_t bytes, uint32_t subscribers, uint32_t link_mbps)
{
	uint64_t bits = (uint64_t)bytes * 8 * MAX(subscribers, 1);

	return bytes <= TELL_MOST_BYTES &&
	       bits / (link_mbps ? link_mbps : LINK_UNKNOWN_MBPS) <= TELL_MOST_US;
}
