/**
 * @file parts_test.c
 * Unit tests of small modules: merging records, retry budget, connection shares, placement,
 * evacuations, feeds, retry delays, fingerprints.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "core/connection_share.h"
#include "core/feed_cache.h"
#include "core/vm_list.h"
#include "core/feed_choice.h"
#include "core/feed_message.h"
#include "core/evacuation.h"
#include "core/feed_timing.h"
#include "core/store_era.h"
#include "core/fingerprint.h"
#include "core/list_watch.h"
#include "core/placement.h"
#include "core/retry_after.h"
#include "core/top_records.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SECOND_US 1000000ull

static gint descending(gconstpointer a, gconstpointer b)
{
	return memcmp(b, a, RECORD_BYTES);
}

/* Compares with a plain sort, with many equal records and bytes above 127. */
static void test_top_records(void **state)
{
	GRand *rand = g_rand_new_with_seed(7);

	(void)state;
	for (int round = 0; round < 200; round++) {
		guint count = (guint)g_rand_int_range(rand, 0, 60);
		guint most = (guint)g_rand_int_range(rand, 0, 20);
		g_autofree char *all = g_malloc0((gsize)count * RECORD_BYTES + 1);
		top_records_t *top = top_records_new(most);
		GString *out = g_string_new(NULL);

		for (guint i = 0; i < count; i++)
			all[i * RECORD_BYTES + (i % 2 ? 0 : 15)] =
				(char)g_rand_int_range(rand, 0, 256);
		top_records_add(top, all, (gsize)(count / 2) * RECORD_BYTES);
		top_records_add(top, all + (gsize)(count / 2) * RECORD_BYTES,
				(gsize)(count - count / 2) * RECORD_BYTES);
		top_records_take(top, out);
		qsort(all, count, RECORD_BYTES, descending);
		assert_int_equal(out->len, MIN(count, most) * RECORD_BYTES);
		assert_memory_equal(out->str, all, out->len);
		top_records_free(top);
		g_string_free(out, TRUE);
	}
	g_rand_free(rand);
}

/* No window of ten seconds has more extra requests than the bound allows, however they and the
 * requests are distributed. */
static void test_retry_budget(void **state)
{
	const retry_bound_t bound = {.ratio = 0.2, .window_us = 10 * SECOND_US, .constant = 3};
	GRand *rand = g_rand_new_with_seed(3);
	retry_budget_t budget;
	uint32_t requests[600] = {0}, extras[600] = {0};

	(void)state;
	retry_budget_init(&budget, &bound);
	for (int tenth = 0; tenth < 600; tenth++) {
		uint64_t now_us = 5000 * SECOND_US + (uint64_t)tenth * SECOND_US / 10;
		int load = tenth / 100 % 2 ? 8 : 1;

		for (int i = g_rand_int_range(rand, 0, load); i > 0; i--) {
			retry_budget_note_request(&budget, now_us);
			requests[tenth]++;
		}
		while (retry_budget_take(&budget, &bound, RETRY_FOR_FAILURE, now_us))
			extras[tenth]++;
	}
	for (int start = 0; start + 100 <= 600; start++) {
		uint32_t most = 0, extra = 0;

		for (int i = start; i < start + 100; i++)
			extra += extras[i];
		/* The bound follows the largest number of requests in three windows: this one, and
		 * those that begin half a window and a whole window before it. */
		for (int back = 0; back <= 100; back += 50) {
			uint32_t sum = 0;

			for (int i = MAX(start - back, 0); i < start - back + 100; i++)
				sum += requests[i];
			most = MAX(most, sum);
		}
		if (extra > 0.2 * most + bound.constant + 1)
			fail_msg("window at %d: %u extra for %u requests", start, extra, most);
	}
	g_rand_free(rand);
}

static void test_budget_for_hedges(void **state)
{
	const retry_bound_t bound = {.ratio = 0.2, .window_us = 10 * SECOND_US, .constant = 10};
	retry_budget_t budget;

	(void)state;
	retry_budget_init(&budget, &bound);
	while (retry_budget_take(&budget, &bound, RETRY_FOR_HEDGE, 100 * SECOND_US))
		;
	assert_true(retry_budget_take(&budget, &bound, RETRY_FOR_FAILURE, 100 * SECOND_US));
	assert_false(retry_budget_take(&budget, &bound, RETRY_FOR_HEDGE, 101 * SECOND_US));
	assert_true(retry_budget_take(&budget, &bound, RETRY_FOR_HEDGE, 111 * SECOND_US));
}

/* ---- searchers ---- */

typedef struct site_t {
	registry_t *registry;
	GHashTable *regions;
	pool_t *pool;
} site_t;

static void ignore_changed(void *ctx, searcher_t *searcher)
{
	(void)ctx;
	(void)searcher;
}

static void site_start(site_t *site, const char *data_centre)
{
	static const registry_ops_t ops = {.changed = ignore_changed};
	static const char *const centres[] = {"a", "b", "c", "d", "e", "f"};
	static const char *const regions[] = {"1", "2", "3", "1", "2", "3"};
	const retry_bound_t bound = {.ratio = 0.2, .window_us = 10 * SECOND_US};
	locality_t place = {.data_centre = (char *)data_centre};

	site->regions = g_hash_table_new(g_str_hash, g_str_equal);
	for (size_t i = 0; i < G_N_ELEMENTS(centres); i++)
		g_hash_table_insert(site->regions, (gpointer)centres[i], (gpointer)regions[i]);
	place.regions = site->regions;
	site->registry = registry_new(&place, &bound, &ops, NULL);
	site->pool = registry_pool(site->registry, "s");
	for (size_t i = 0; i < 3; i++) {
		char id[8];
		const searcher_entry_t entry = {.id = id,
						.service = "s",
						.address = "127.0.0.1",
						.port = 1,
						.data_centre = (char *)centres[i],
						.slots = 4};

		snprintf(id, sizeof(id), "i-%zu", i);
		registry_put(site->registry, &entry, SECOND_US);
	}
}

static void site_end(site_t *site)
{
	registry_free(site->registry);
	g_hash_table_unref(site->regions);
}

/* Ninety VMs and 77 connections per searcher. The VMs of its region and half as many others hold
 * connections to a searcher, and their shares add up to no more than it accepts. */
static void test_shares_of_many(void **state)
{
	static const char *const centres[] = {"a", "b", "c", "d", "e", "f"};
	uint32_t held[3] = {0};

	(void)state;
	for (int vm = 0; vm < 90; vm++) {
		char name[16];
		site_t site;
		vm_counts_t counts = {.own_name = name, .all = 91};

		snprintf(name, sizeof(name), "vm-%d", vm);
		site_start(&site, centres[vm % 6]);
		counts.regions = site.regions;
		counts.by_region = g_hash_table_new(g_str_hash, g_str_equal);
		for (int region = 0; region < 3; region++)
			g_hash_table_insert(counts.by_region,
					    (gpointer)(region == 0   ? "1"
						       : region == 1 ? "2"
								     : "3"),
					    GUINT_TO_POINTER(30));
		connection_share_set(site.pool, 77, &counts);
		for (guint i = 0; i < 3; i++) {
			const searcher_t *searcher = g_ptr_array_index(site.pool->searchers, i);

			assert_true(searcher->connections_max >= 1);
			held[i] +=
				searcher->distance == DISTANCE_FAR ? 0 : searcher->connections_max;
		}
		g_hash_table_unref(counts.by_region);
		site_end(&site);
	}
	for (int i = 0; i < 3; i++)
		assert_in_range(held[i], 30, 69);
}

static void test_shares_of_few(void **state)
{
	site_t site;
	vm_counts_t counts = {.own_name = "vm", .all = 7};

	(void)state;
	site_start(&site, "a");
	counts.regions = site.regions;
	connection_share_set(site.pool, 25, &counts);
	for (guint i = 0; i < 3; i++)
		assert_int_equal(
			((searcher_t *)g_ptr_array_index(site.pool->searchers, i))->connections_max,
			3);
	connection_share_set(site.pool, 0, &counts);
	assert_int_equal(
		((searcher_t *)g_ptr_array_index(site.pool->searchers, 0))->connections_max, 1);
	site_end(&site);
}

/* The local searcher is chosen first, another searcher once the local one is slow, and the local
 * one again a long time after it was slow. */
static void test_placement(void **state)
{
	GRand *rand = g_rand_new_with_seed(1);
	uint64_t now_us = 100 * SECOND_US;
	candidates_t candidates = {0};
	searcher_t *near;
	site_t site;

	(void)state;
	site_start(&site, "a");
	candidates.pool = site.pool;
	near = g_ptr_array_index(site.pool->searchers, 0);
	for (guint i = 0; i < 3; i++) {
		searcher_t *searcher = g_ptr_array_index(site.pool->searchers, i);

		searcher->connections_max = 2;
		searcher->idle = 1;
	}
	assert_ptr_equal(placement_choose(&candidates, rand, now_us), near);
	for (int i = 0; i < 4; i++)
		searcher_record_answer(near, 150000, now_us += SECOND_US);
	assert_ptr_not_equal(placement_choose(&candidates, rand, now_us), near);
	now_us += 10 * SECOND_US;
	assert_ptr_equal(placement_choose(&candidates, rand, now_us), near);
	searcher_record_failure(near, now_us);
	assert_ptr_not_equal(placement_choose(&candidates, rand, now_us), near);
	site_end(&site);
	g_rand_free(rand);
}

/* ---- evacuations ---- */

/*
 * Failure: work is sent to an evacuated data centre. The connection on which a VM watches
 * evacuations went silent, and the operator wrote the evacuation right after that. The evacuation
 * must be known when both the VM's settle time and the evacuation's own time limit are over. By
 * then the watch must have timed out, the list been read, and the change been sent to the
 * subscribers.
 */
static void test_evacuation_watch(void **state)
{
	const uint32_t read_ms = 300, notify_ms = 500;

	(void)state;
	for (uint32_t settle_ms = 4000; settle_ms <= 8000; settle_ms += 1000)
		for (uint32_t evacuate_ms = 3000; evacuate_ms <= 9000; evacuate_ms += 1000) {
			feed_timing_t timing = feed_timing_for(5000, settle_ms, evacuate_ms);
			uint32_t known_ms = timing.evacuation_watch_ms + FEED_WATCH_SLACK_MS +
					    read_ms + notify_ms;

			assert_true(known_ms <= MAX(settle_ms, evacuate_ms));
		}
}

static void on_evacuation(void *ctx, const char *data_centre, bool evacuated)
{
	g_string_append_printf(ctx, "%s%s ", evacuated ? "+" : "-", data_centre);
}

static void list_evacuations(evacuations_t *evacuations, const char *data_centre, uint64_t now_us)
{
	evacuations_list_begin(evacuations);
	if (data_centre)
		evacuations_put(evacuations, data_centre);
	evacuations_list_end(evacuations, now_us);
}

/*
 * Failure: work is still sent to an evacuated data centre. The store was restored from an older
 * copy of its data that lacks the evacuation, so its list has none, until the operator writes it
 * again some seconds later. So an evacuation that is missing after a restore stays in force for
 * that long; one that its operator removes does not.
 */
static void test_evacuations(void **state)
{
	static const evacuations_ops_t ops = {.changed = on_evacuation};
	g_autoptr(GString) seen = g_string_new(NULL);
	evacuations_t *evacuations = evacuations_new(&ops, seen);

	(void)state;
	list_evacuations(evacuations, "a", SECOND_US);
	evacuations_put(evacuations, "b");
	evacuations_put(evacuations, "b");
	list_evacuations(evacuations, "b", 2 * SECOND_US);
	assert_string_equal(seen->str, "+a +b -a ");
	evacuations_store_restored(evacuations, 3 * SECOND_US);
	list_evacuations(evacuations, NULL, 3 * SECOND_US);
	assert_int_equal(evacuations_count(evacuations), 1);
	assert_int_equal(evacuations_run(evacuations, 7 * SECOND_US), 8 * SECOND_US);
	evacuations_put(evacuations, "b");
	assert_int_equal(evacuations_run(evacuations, 8 * SECOND_US), UINT64_MAX);
	assert_int_equal(evacuations_count(evacuations), 1);
	evacuations_store_restored(evacuations, 9 * SECOND_US);
	evacuations_remove(evacuations, "b");
	evacuations_put(evacuations, "c");
	list_evacuations(evacuations, NULL, 10 * SECOND_US);
	assert_int_equal(evacuations_run(evacuations, 14 * SECOND_US), UINT64_MAX);
	assert_string_equal(seen->str, "+a +b -a -b +c -c ");
	evacuations_free(evacuations);
}

/* ---- feeds ---- */

static GPtrArray *vms_new(int count)
{
	GPtrArray *vms = g_ptr_array_new_with_free_func(vm_free);

	for (int i = 0; i < count; i++) {
		g_autofree char *name = g_strdup_printf("vm-%d", i);
		const vm_t vm = {.name = name,
				 .data_centre = "here",
				 .address = "127.0.0.1",
				 .feed_port = 1,
				 .link_mbps = i % 7 ? 14 : 140};

		g_ptr_array_add(vms, vm_new(&vm));
	}
	return vms;
}

/*
 * One data centre of a region loses power. If both VMs that watch the store for the region were in
 * it, all others, 50 of them here, would turn to the store at once. So the feeders are spread over
 * the data centres, and a VM prefers a feeder in its own data centre.
 */
static void test_feed_of_region(void **state)
{
	g_autoptr(GHashTable) regions = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *vms = vms_new(70);
	const feed_vms_t all = {.vms = vms, .regions = regions};
	int watchers[2] = {0};

	(void)state;
	g_hash_table_insert(regions, "here", "one");
	g_hash_table_insert(regions, "there", "one");
	for (guint i = 0; i < vms->len; i += 3) {
		vm_t *vm = g_ptr_array_index(vms, i);

		g_free(vm->data_centre);
		vm->data_centre = g_strdup("there");
	}
	for (guint i = 0; i < vms->len; i++) {
		const vm_t *vm = g_ptr_array_index(vms, i);
		g_autoptr(GPtrArray) chosen = feed_choose_feeders(&all, vm->name, vm->data_centre);

		watchers[g_str_equal(vm->data_centre, "there")] += chosen->len == 0;
		if (chosen->len)
			assert_string_equal(((vm_t *)g_ptr_array_index(chosen, 0))->data_centre,
					    vm->data_centre);
	}
	assert_true(watchers[0] > 0 && watchers[1] > 0);
	assert_int_equal(watchers[0] + watchers[1], 3);
	assert_true(feed_is_used(&all, "there"));
	assert_false(feed_is_used(&all, "elsewhere"));
	g_ptr_array_unref(vms);
}

/* Small data centres need no feed. In large ones a few VMs watch the store, all VMs choose the same
 * feeders, and the subscribers spread over them. */
static void test_feed_choice(void **state)
{
	GPtrArray *few = vms_new(4), *many = vms_new(100);
	g_autoptr(GHashTable) regions = g_hash_table_new(g_str_hash, g_str_equal);
	const feed_vms_t all_few = {.vms = few, .regions = regions};
	const feed_vms_t all_many = {.vms = many, .regions = regions};
	GPtrArray *chosen = feed_choose_feeders(&all_few, "vm-1", "here");
	GHashTable *loads = g_hash_table_new(g_str_hash, g_str_equal);
	int watchers = 0;

	(void)state;
	assert_int_equal(chosen->len, 0);
	g_ptr_array_unref(chosen);
	for (guint i = 0; i < many->len; i++) {
		vm_t *first;

		chosen = feed_choose_feeders(&all_many, ((vm_t *)g_ptr_array_index(many, i))->name,
					     "here");
		watchers += chosen->len == 0;
		if (chosen->len) {
			first = g_ptr_array_index(chosen, 0);
			assert_int_equal(first->link_mbps, 140);
			g_hash_table_insert(loads, first->name,
					    GUINT_TO_POINTER(GPOINTER_TO_UINT(g_hash_table_lookup(
								     loads, first->name)) +
							     1));
		}
		g_ptr_array_unref(chosen);
	}
	assert_int_equal(watchers, 4);
	assert_int_equal(g_hash_table_size(loads), 4);
	chosen = feed_choose_feeders(&all_many, "vm-1", "elsewhere");
	assert_int_equal(chosen->len, 0);
	g_ptr_array_unref(chosen);
	g_hash_table_unref(loads);
	g_ptr_array_unref(few);
	g_ptr_array_unref(many);
}

/*
 * A configuration of 30 KB is sent to 16 VMs over a fast link. Over a slow link that would delay
 * the feeder's requests by 0.3 s, and all of the turns would take over a second: it is only
 * announced. Each VM then reads it from the store, and calls grow with the fleet at each version.
 */
static void test_feed_sizes(void **state)
{
	static const uint32_t small_mbps = 14, large_mbps = 1000;
	/* Configurations of the users' largest fleet, and of one twice its size. */
	static const size_t configurations[] = {100000, 256000};
	/* As many as subscribe to one feeder, however large the fleet. */
	static const uint32_t subscribers = 40;

	(void)state;
	assert_int_equal(feed_delivery(30000, 16, 200), FEED_AT_ONCE);
	assert_int_equal(feed_delivery(30000, 16, small_mbps), FEED_ANNOUNCES);
	assert_int_equal(feed_delivery(300, 16, small_mbps), FEED_AT_ONCE);
	assert_int_equal(feed_delivery(24000, 2, 0), FEED_AT_ONCE);
	assert_int_equal(feed_delivery(24000, 16, 0), FEED_ANNOUNCES);
	assert_int_equal(feed_delivery(24000, 8, 0), FEED_IN_TURN);
	assert_int_equal(feed_delivery(550000, 16, small_mbps), FEED_ANNOUNCES);
	for (size_t i = 0; i < G_N_ELEMENTS(configurations); i++) {
		size_t bytes = configurations[i];
		uint64_t all_us = subscribers * feed_turn_pause_us(bytes, large_mbps);

		assert_int_not_equal(feed_delivery(bytes, subscribers, large_mbps), FEED_ANNOUNCES);
		assert_true(all_us <= 500000);
		/* The feeder's own requests wait for one object at a time. */
		assert_true(feed_turn_pause_us(bytes, large_mbps) / 4 <= 50000);
	}
}

/*
 * The store is down. VMs that are subscribed to a feeder must not all turn to the store: they rely
 * on the feeder's data, however old, while their own store checks fail, and check often enough to
 * read a change in time. A feeder that is not in use yet is dropped at once, as is one whose data
 * is old although it says that it reaches the store.
 */
static void test_feed_verdict(void **state)
{
	const feed_timing_t timing = feed_timing_for(6000, 8000, 0);

	(void)state;
	assert_int_equal(feed_evaluate(&timing, false, true, false, 100000), FEED_KEEP);
	assert_int_equal(feed_evaluate(&timing, false, true, true, 100000), FEED_KEEP_AND_CHECK);
	assert_int_equal(feed_evaluate(&timing, false, true, true, timing.age_max_us + 1),
			 FEED_KEEP_AND_CHECK);
	assert_int_equal(feed_evaluate(&timing, false, true, false, timing.age_max_us + 1),
			 FEED_LEAVE);
	assert_int_equal(feed_evaluate(&timing, false, false, true, 100000), FEED_LEAVE);
	assert_int_equal(feed_evaluate(&timing, false, false, false, 100000), FEED_KEEP);
	for (uint32_t apply_ms = 1000; apply_ms <= 60000; apply_ms += 500) {
		const feed_timing_t any = feed_timing_for(apply_ms, 8000, 0);

		assert_true(any.check_pause_max_us <= apply_ms * 1000ull);
		assert_true(any.check_pause_min_us < any.check_pause_max_us);
	}
}

/* ---- list and watch of the store ---- */

/*
 * Failure: callers are served by an old configuration until the next change. A VM that watched the
 * store subscribes to a feeder. The feeder announces a configuration that is too large to be sent,
 * and then reports that the VM is up to date. The VM stops watching; it must still do the read that
 * the announcement asked for.
 */
static void test_announced_before_the_feed_is_used(void **state)
{
	list_watch_t list_watch = {0};

	(void)state;
	list_watch_start(&list_watch);
	list_watch_listed(&list_watch);
	assert_int_equal(list_watch_next(&list_watch), LIST_WATCH_WATCH);
	list_watch_announced(&list_watch);
	list_watch_stop(&list_watch);
	assert_int_equal(list_watch_next(&list_watch), LIST_WATCH_LIST);
	list_watch_listed(&list_watch);
	assert_int_equal(list_watch_next(&list_watch), LIST_WATCH_NOTHING);
}

/*
 * Failure: callers are served by an old configuration. A VM that watches the store reads it once
 * more because of an announcement, and the feeder is gone before the feed is in use: the VM learns
 * of no change unless it continues to watch.
 */
static void test_announced_by_a_feed_that_ends(void **state)
{
	list_watch_t list_watch = {0};

	(void)state;
	list_watch_start(&list_watch);
	list_watch_listed(&list_watch);
	list_watch_announced(&list_watch);
	assert_int_equal(list_watch_next(&list_watch), LIST_WATCH_LIST);
	list_watch_listed(&list_watch);
	assert_int_equal(list_watch_next(&list_watch), LIST_WATCH_WATCH);
}

static void test_list_watch_stop(void **state)
{
	list_watch_t list_watch = {0};

	(void)state;
	assert_int_equal(list_watch_next(&list_watch), LIST_WATCH_NOTHING);
	list_watch_start(&list_watch);
	list_watch_stop(&list_watch);
	assert_int_equal(list_watch_next(&list_watch), LIST_WATCH_NOTHING);
	list_watch_announced(&list_watch);
	list_watch_listed(&list_watch);
	list_watch_start(&list_watch);
	list_watch_listed(&list_watch);
	list_watch_relist(&list_watch);
	assert_int_equal(list_watch_next(&list_watch), LIST_WATCH_LIST);
}

/* A reply that was on its way while the store was restored from an older copy of its data is
 * outdated: if it were applied, the VM would go on with revisions that mean something else now. */
static void test_store_era(void **state)
{
	store_era_t era = {0};

	(void)state;
	assert_int_equal(store_era_observe(&era, 3), STORE_ERA_SAME);
	assert_int_equal(store_era_observe(&era, 3), STORE_ERA_SAME);
	assert_int_equal(store_era_observe(&era, 4), STORE_ERA_NEWER);
	assert_int_equal(store_era_observe(&era, 3), STORE_ERA_OLDER);
	assert_int_equal(store_era_observe(&era, 4), STORE_ERA_SAME);
	assert_int_equal(era.number, 4);
}

static void append_message(void *ctx, const feed_message_t *message)
{
	g_string_append_printf(ctx, "%d %u %s %s %" G_GUINT64_FORMAT ";", message->type,
			       message->kind, message->name, message->text, message->era);
}

/* A subscriber reads what was sent, however the bytes are split; invalid data is detected. */
static void test_feed(void **state)
{
	feed_cache_t *cache = feed_cache_new(1);
	GByteArray *bytes = g_byte_array_new();
	GString *read = g_string_new(NULL);
	size_t at = 0, used = 0;

	(void)state;
	feed_cache_apply(cache, &(feed_message_t){.type = FEED_OBJECT, .kind = 1, .name = "early"});
	feed_cache_write(cache, bytes);
	assert_int_equal(bytes->len, 0);
	feed_cache_apply(cache, &(feed_message_t){.type = FEED_LIST_BEGIN, .kind = 1, .era = 2});
	feed_cache_apply(
		cache, &(feed_message_t){.type = FEED_OBJECT, .kind = 1, .name = "a", .text = "x"});
	feed_cache_apply(cache, &(feed_message_t){.type = FEED_LIST_END, .kind = 1});
	feed_cache_apply(
		cache, &(feed_message_t){.type = FEED_OBJECT, .kind = 1, .name = "b", .text = "y"});
	feed_cache_apply(cache, &(feed_message_t){.type = FEED_REMOVED, .kind = 1, .name = "a"});
	feed_cache_write(cache, bytes);
	for (guint have = 0; have <= bytes->len; have++) {
		framing_result_t got =
			feed_message_read(bytes->data + at, have - at, &used, append_message, read);

		assert_int_not_equal(got, FRAMING_INVALID);
		if (got == FRAMING_COMPLETE)
			at += used;
	}
	assert_string_equal(read->str, "0 1   2;1 1 b y 2;4 1   2;");
	assert_int_equal(feed_message_read((const uint8_t *)"\xff\xff\xff\xff", 4, &used,
					   append_message, read),
			 FRAMING_INVALID);
	assert_int_equal(feed_message_read((const uint8_t *)"\0\0\0\2\x92\x01", 6, &used,
					   append_message, read),
			 FRAMING_INVALID);
	feed_cache_clear(cache);
	assert_false(feed_cache_is_complete(cache));
	feed_cache_free(cache);
	g_byte_array_unref(bytes);
	g_string_free(read, TRUE);
}

static void read_all(const GByteArray *bytes, GString *read)
{
	for (size_t at = 0, used = 0; at < bytes->len; at += used)
		assert_int_equal(feed_message_read(bytes->data + at, bytes->len - at, &used,
						   append_message, read),
				 FRAMING_COMPLETE);
}

static void put_vm(GPtrArray *vms, const char *name, uint16_t port)
{
	const vm_t vm = {.name = (char *)name,
			 .data_centre = "a",
			 .address = "127.0.0.1",
			 .feed_port = port};

	vm_list_put(vms, vm_new(&vm));
}

static void append_change(void *ctx, const char *name, const vm_t *vm)
{
	g_string_append_printf(ctx, "%s %d; ", name, vm ? vm->feed_port : -1);
}

/* A feeder sends its subscribers only what has changed. */
static void test_lists_of_vms_are_compared(void **state)
{
	g_autoptr(GPtrArray) former = vm_list_new();
	g_autoptr(GPtrArray) vms = vm_list_new();
	g_autoptr(GString) changes = g_string_new(NULL);

	(void)state;
	put_vm(former, "d", 1);
	put_vm(former, "b", 1);
	put_vm(former, "a", 1);
	put_vm(former, "c", 1);
	put_vm(vms, "b", 1);
	put_vm(vms, "e", 1);
	put_vm(vms, "c", 9);
	put_vm(vms, "c", 2);
	put_vm(vms, "aa", 1);
	vm_list_compare(former, vms, append_change, changes);
	assert_string_equal(changes->str, "a -1; aa 1; c 2; d -1; e 1; ");
	assert_false(vm_list_contains_all(vms, former));
	vm_list_remove(former, "a");
	vm_list_remove(former, "d");
	vm_list_remove(former, "unknown");
	assert_true(vm_list_contains_all(vms, former));
	assert_null(vm_list_find(vms, "a"));
	assert_int_equal(vm_list_find(vms, "c")->feed_port, 2);
}

/* A subscriber that connects while its feeder reads a list receives the rest of it as it comes.
 * Without what was read before, it would take that rest for the whole list. */
static void test_subscriber_connects_during_a_list(void **state)
{
	feed_cache_t *cache = feed_cache_new(1);
	g_autoptr(GByteArray) first = g_byte_array_new();
	g_autoptr(GByteArray) second = g_byte_array_new();
	g_autoptr(GString) read = g_string_new(NULL);
	feed_message_t found;

	(void)state;
	feed_cache_apply(cache, &(feed_message_t){.type = FEED_LIST_BEGIN, .kind = 1});
	feed_cache_apply(
		cache, &(feed_message_t){.type = FEED_OBJECT, .kind = 1, .name = "a", .text = "x"});
	feed_cache_write(cache, first);
	read_all(first, read);
	assert_string_equal(read->str, "0 1   0;1 1 a x 0;");
	assert_true(feed_cache_find(cache, "a", &found));
	feed_cache_apply(cache, &(feed_message_t){.type = FEED_LIST_END, .kind = 1});
	feed_cache_apply(cache, &(feed_message_t){.type = FEED_LIST_BEGIN, .kind = 1});
	feed_cache_apply(
		cache, &(feed_message_t){.type = FEED_OBJECT, .kind = 1, .name = "b", .text = "y"});
	feed_cache_write(cache, second);
	g_string_truncate(read, 0);
	read_all(second, read);
	assert_string_equal(read->str, "0 1   0;1 1 a x 0;4 1   0;0 1   0;1 1 b y 0;");
	feed_cache_free(cache);
}

/* A VM that can't read an announced object from the store requests it from its feeder, which must
 * have kept it. */
static void test_announced_object_is_kept(void **state)
{
	feed_cache_t *cache = feed_cache_new(1);
	g_autoptr(GByteArray) bytes = g_byte_array_new();
	g_autoptr(GString) read = g_string_new(NULL);
	feed_message_t found;

	(void)state;
	feed_cache_apply(cache, &(feed_message_t){.type = FEED_LIST_BEGIN, .kind = 1});
	feed_cache_apply(cache, &(feed_message_t){.type = FEED_ANNOUNCED,
						  .kind = 1,
						  .name = "main",
						  .text = "a large object"});
	feed_cache_apply(cache, &(feed_message_t){.type = FEED_LIST_END, .kind = 1});
	feed_cache_write(cache, bytes);
	read_all(bytes, read);
	assert_string_equal(read->str, "0 1   0;2 1 main  0;4 1   0;");
	assert_true(feed_cache_find(cache, "main", &found));
	assert_int_equal(found.type, FEED_OBJECT);
	assert_string_equal(found.text, "a large object");
	assert_false(feed_cache_find(cache, "other", &found));
	assert_true(feed_turn_pause_us(550000, 14) > 4 * 300000);
	assert_true(feed_turn_pause_us(550000, 1000) < 20000);
	feed_cache_free(cache);
}

/* Whatever time limits a deployment sets, a VM whose feeder is cut off from the store reads the
 * store itself before a change is due, and so does a VM whose watch went silent, before its settle
 * time is over. While nothing fails, neither happens. */
static void test_feed_timing(void **state)
{
	const uint32_t grouped_ms = 800, news_ms = 500, answer_ms = 100;

	(void)state;
	for (uint32_t apply_ms = 2500; apply_ms <= 20000; apply_ms += 500) {
		for (uint32_t settle_ms = 2000; settle_ms <= 20000; settle_ms += 500) {
			feed_timing_t timing = feed_timing_for(apply_ms, settle_ms, 0);
			uint32_t sound_ms =
				timing.feeder_watch_ms + grouped_ms + news_ms + answer_ms;

			assert_true(timing.age_max_us < apply_ms * 1000ull);
			assert_true(timing.watch_ms + FEED_WATCH_SLACK_MS < settle_ms);
			assert_true(timing.feeder_watch_ms <= timing.watch_ms);
			assert_true(sound_ms * 1000ull <= timing.age_max_us);
		}
	}
}

/* A caller respects a retry delay of up to a third of its remaining time, and retries once. If it
 * retries before the missing resource can be there, it is refused again; a longer delay is ignored,
 * and it retries at its own time. */
static void test_retry_after(void **state)
{
	const uint64_t patient_us = 4 * SECOND_US, hasty_us = SECOND_US / 2;

	(void)state;
	assert_int_equal(retry_after_us(MISSING_CAPACITY, patient_us, false), 60000);
	assert_int_equal(retry_after_us(MISSING_CAPACITY, hasty_us, true), 60000);
	assert_int_equal(retry_after_us(MISSING_VM, patient_us, true), 10000);
	assert_int_equal(retry_after_us(MISSING_TOKEN, patient_us, false), 500000);
	assert_int_equal(retry_after_us(MISSING_TOKEN, hasty_us, false), 160000);
	assert_int_equal(retry_after_us(MISSING_STATE, patient_us, false), 300000);
	assert_int_equal(retry_after_us(MISSING_STATE, patient_us, true), 1280000);
	assert_int_equal(retry_after_us(MISSING_STATE, hasty_us, false), 160000);
	assert_int_equal(retry_after_us(MISSING_STATE, 0, true), 300000);
	assert_int_equal(retry_after_us(MISSING_SEARCHERS, patient_us, false), 600000);
	assert_int_equal(retry_after_us(MISSING_SEARCHERS, patient_us, true), 1280000);
}

/* ---- API keys ---- */

/* Keys that share all but their last byte, as an operator's generator may make them. */
static void test_keys_of_many_tenants(void **state)
{
	tenants_t *tenants = tenants_new();
	char name[32], key[64];

	(void)state;
	for (int i = 0; i < 10000; i++) {
		tenant_t *tenant;

		g_snprintf(name, sizeof(name), "t%d", i);
		g_snprintf(key, sizeof(key), "a-long-common-beginning-%05d", i);
		tenant = tenants_add(tenants, name);
		assert_true(tenant && tenants_add_key(tenants, key, tenant));
		assert_false(tenants_add_key(tenants, key, tenant));
		assert_null(tenants_add(tenants, name));
	}
	for (int i = 0; i < 10000; i += 37) {
		g_snprintf(name, sizeof(name), "t%d", i);
		g_snprintf(key, sizeof(key), "a-long-common-beginning-%05d", i);
		assert_ptr_equal(tenants_find_key(tenants, key), tenants_find(tenants, name));
	}
	assert_null(tenants_find_key(tenants, "a-long-common-beginning-10000"));
	assert_null(tenants_find_key(tenants, "a-long-common-beginning-0000"));
	assert_null(tenants_find_key(tenants, ""));
	assert_null(tenants_find_key(tenants, NULL));
	tenants_free(tenants);
}

/* ---- fingerprints ---- */

static fingerprint_t fingerprint_with_key(const char *head, const char *body, const char *key)
{
	g_autoptr(GString) head_text = g_string_new(head);
	g_autoptr(GString) body_text = g_string_new(body);

	return fingerprint_of(head_text, body_text, key);
}

static fingerprint_t fingerprint_with(const char *head, const char *body)
{
	return fingerprint_with_key(head, body, NULL);
}

/* Attempts at one request differ in their ids, in headers that their callers' libraries add, and in
 * the order of headers. */
static void test_fingerprint_of_attempts(void **state)
{
	fingerprint_t first = fingerprint_with("GET /a/1 HTTP/1.1\r\nHost: h\r\nId: 1\r\n", "");

	(void)state;
	assert_true(first != 0);
	assert_true(first ==
		    fingerprint_with("GET /a/1 HTTP/1.1\r\nId: 2\r\nX: y\r\nhost: h\r\n", ""));
	assert_true(first != fingerprint_with("GET /a/2 HTTP/1.1\r\nHost: h\r\n", ""));
	assert_true(first != fingerprint_with("PUT /a/1 HTTP/1.1\r\nHost: h\r\n", ""));
	assert_true(first != fingerprint_with("GET /a/1 HTTP/1.1\r\nHost: g\r\n", ""));
	assert_true(first != fingerprint_with("GET /a/1 HTTP/1.1\r\nHost: h\r\n", "b"));
	assert_true(first != fingerprint_with("GET /a/1 HTTP/1.1\r\nHost: h\r\n"
					      "Authorization: x\r\n",
					      ""));
	assert_true(fingerprint_with_key("GET / HTTP/1.1\r\n", "", "k") !=
		    fingerprint_with_key("GET / HTTP/1.1\r\n", "k", NULL));
	assert_true(fingerprint_with_key("GET / HTTP/1.1\r\n", "", "k") !=
		    fingerprint_with_key("GET / HTTP/1.1\r\n", "", "l"));
	fingerprint_with("", "");
}

static void test_fingerprint_as_text(void **state)
{
	char text[FINGERPRINT_TEXT_BYTES];

	(void)state;
	fingerprint_format(0x0123456789abcdefull, text);
	assert_string_equal(text, "0123456789abcdef");
	assert_true(fingerprint_parse(text) == 0x0123456789abcdefull);
	assert_true(fingerprint_parse("") == 0);
	assert_true(fingerprint_parse("0123456789abcde") == 0);
	assert_true(fingerprint_parse("0123456789abcdeg") == 0);
	assert_true(fingerprint_parse("0123456789abcdef0") == 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_top_records),
		cmocka_unit_test(test_retry_budget),
		cmocka_unit_test(test_budget_for_hedges),
		cmocka_unit_test(test_shares_of_many),
		cmocka_unit_test(test_shares_of_few),
		cmocka_unit_test(test_placement),
		cmocka_unit_test(test_keys_of_many_tenants),
		cmocka_unit_test(test_evacuation_watch),
		cmocka_unit_test(test_evacuations),
		cmocka_unit_test(test_feed_of_region),
		cmocka_unit_test(test_feed_choice),
		cmocka_unit_test(test_feed_sizes),
		cmocka_unit_test(test_feed_verdict),
		cmocka_unit_test(test_announced_before_the_feed_is_used),
		cmocka_unit_test(test_announced_by_a_feed_that_ends),
		cmocka_unit_test(test_list_watch_stop),
		cmocka_unit_test(test_store_era),
		cmocka_unit_test(test_feed),
		cmocka_unit_test(test_subscriber_connects_during_a_list),
		cmocka_unit_test(test_lists_of_vms_are_compared),
		cmocka_unit_test(test_announced_object_is_kept),
		cmocka_unit_test(test_feed_timing),
		cmocka_unit_test(test_retry_after),
		cmocka_unit_test(test_fingerprint_of_attempts),
		cmocka_unit_test(test_fingerprint_as_text),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
