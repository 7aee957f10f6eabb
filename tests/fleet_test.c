/**
 * @file fleet_test.c
 * Who gathers, and what of the searchers' connections each VM takes, in fleets of 1 to 3,000 VMs.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "core/connection_share.h"
#include "core/gatherer_choice.h"

#include <stdio.h>
#include <string.h>

#define SEARCHER_CONNECTIONS 195

static const char *const centres[] = {"a1", "a2", "b1", "b2", "c1"};
static const char *const regions_of_centres[] = {"a", "a", "b", "b", "c"};

typedef struct site_t {
	fleet_t fleet;
	GHashTable *regions;
	GPtrArray *vms;
} site_t;

static void site_start(site_t *site)
{
	site->regions = g_hash_table_new(g_str_hash, g_str_equal);
	for (size_t i = 0; i < G_N_ELEMENTS(centres); i++)
		g_hash_table_insert(site->regions, (gpointer)centres[i],
				    (gpointer)regions_of_centres[i]);
	site->vms = g_ptr_array_new_with_free_func(vm_free);
	site->fleet = (fleet_t){
		.vms = site->vms, .regions = site->regions, .connections = SEARCHER_CONNECTIONS};
}

static void site_end(site_t *site)
{
	g_ptr_array_unref(site->vms);
	g_hash_table_unref(site->regions);
}

static void add(site_t *site, const char *centre, uint32_t processor_milli, uint32_t link_mbps)
{
	g_autofree char *name = g_strdup_printf("vm-%s-%u", centre, site->vms->len);
	const vm_t vm = {.name = name,
			 .data_centre = (char *)centre,
			 .address = "127.0.0.1",
			 .feed_port = 1,
			 .gather_port = 2,
			 .processor_milli = processor_milli,
			 .link_mbps = link_mbps};

	g_ptr_array_add(site->vms, vm_new(&vm));
}

/* Uneven data centres: the first has half of the VMs, the last hardly any. */
static void fill(site_t *site, uint32_t small, uint32_t large_each)
{
	for (uint32_t i = 0; i < small; i++)
		add(site, centres[i % 2 ? 0 : i % G_N_ELEMENTS(centres)], 120, 20);
	for (size_t i = 0; i < G_N_ELEMENTS(centres); i++)
		for (uint32_t j = 0; j < large_each; j++)
			add(site, centres[i], 500, 200);
}

/* A few VMs of one size: all gather, and nobody hands over. */
static void test_few_gather_themselves(void **state)
{
	(void)state;
	for (uint32_t count = 1; count <= 40; count++) {
		site_t site;
		g_autoptr(GPtrArray) all = NULL;

		site_start(&site);
		for (uint32_t i = 0; i < count; i++)
			add(&site, centres[i % 2], 250, 1000);
		all = gatherers_of_all(&site.fleet);
		assert_int_equal(all->len, count);
		for (uint32_t i = 0; i < count; i++) {
			const vm_t *vm = g_ptr_array_index(site.vms, i);
			g_autoptr(GPtrArray) none =
				gatherers_for(&site.fleet, vm->name, vm->data_centre);

			assert_int_equal(none->len, 0);
		}
		site_end(&site);
	}
}

/* Large VMs gather for small ones: those of the same data centre come first. */
static void test_large_gather(void **state)
{
	site_t site;
	g_autoptr(GPtrArray) gatherers = NULL;

	(void)state;
	site_start(&site);
	fill(&site, 270, 3);
	for (guint i = 0; i < site.vms->len; i++) {
		const vm_t *vm = g_ptr_array_index(site.vms, i);

		g_clear_pointer(&gatherers, g_ptr_array_unref);
		gatherers = gatherers_for(&site.fleet, vm->name, vm->data_centre);
		if (vm->processor_milli == 500) {
			assert_int_equal(gatherers->len, 0);
			continue;
		}
		assert_int_equal(gatherers->len, vm->data_centre[0] == 'c' ? 3 : 6);
		for (guint j = 0; j < 3; j++)
			assert_string_equal(((vm_t *)g_ptr_array_index(gatherers, j))->data_centre,
					    vm->data_centre);
	}
	site_end(&site);
}

/* One VM far above all others must not gather alone: a region loses its gatherers with it. */
static void test_one_is_not_enough(void **state)
{
	site_t site;
	g_autoptr(GPtrArray) gatherers = NULL;

	(void)state;
	site_start(&site);
	for (int i = 0; i < 10; i++)
		add(&site, "c1", 120, 20);
	add(&site, "c1", 4000, 1000);
	gatherers = gatherers_of_region(&site.fleet, "c");
	assert_true(gatherers->len >= 2);
	site_end(&site);
}

/* Daemons of an earlier version gather for nobody. */
static void test_earlier_versions(void **state)
{
	site_t site;
	g_autoptr(GPtrArray) gatherers = NULL;

	(void)state;
	site_start(&site);
	fill(&site, 30, 2);
	for (guint i = 0; i < site.vms->len; i++)
		((vm_t *)g_ptr_array_index(site.vms, i))->gather_port = 0;
	gatherers = gatherers_of_all(&site.fleet);
	assert_int_equal(gatherers->len, 0);
	site_end(&site);
}

/* When VMs come and go, hardly any gatherer changes. */
static void test_stable(void **state)
{
	site_t site;
	g_autoptr(GPtrArray) before = NULL;
	g_autoptr(GPtrArray) after = NULL;
	guint same = 0;

	(void)state;
	site_start(&site);
	fill(&site, 400, 0);
	before = gatherers_of_all(&site.fleet);
	add(&site, "a1", 120, 20);
	g_ptr_array_remove_index(site.vms, 17);
	after = gatherers_of_all(&site.fleet);
	for (guint i = 0; i < after->len; i++)
		same += vm_find(before, ((vm_t *)g_ptr_array_index(after, i))->name) != NULL;
	assert_true(same + 2 >= before->len);
	site_end(&site);
}

/* What one VM takes of a searcher, as it works it out by itself. */
static uint32_t share_of(const site_t *site, const GPtrArray *gatherers, const vm_t *vm,
			 const char *centre)
{
	searcher_entry_t entry = {.id = "s",
				  .service = "x",
				  .address = "127.0.0.1",
				  .port = 1,
				  .data_centre = (char *)centre,
				  .slots = 2};
	vm_counts_t counts = {.own_name = vm->name, .regions = site->regions};
	const retry_bound_t bound = {.ratio = 0.2, .window_us = 1000000};
	const place_t place = {.data_centre = vm->data_centre, .regions = site->regions};
	static const registry_ops_t ops = {0};
	registry_t *registry = registry_new(&place, &bound, &ops, NULL);
	pool_t *pool = registry_pool(registry, "x");
	searcher_t *searcher = searcher_new(&entry, DISTANCE_FAR, 0);
	uint32_t most;

	g_ptr_array_add(pool->searchers, searcher);
	vm_counts_take(&counts, gatherers);
	connection_share_set(pool, SEARCHER_CONNECTIONS, &counts);
	most = searcher->connections_most;
	vm_counts_clear(&counts);
	registry_free(registry);
	return most;
}

/*
 * VMs that gather would otherwise connect to a searcher more often than it takes, and it would
 * reset what is beyond: at any size of the fleet, and of any mix of large and small VMs.
 */
static void test_connections_are_enough(void **state)
{
	static const uint32_t sizes[] = {1, 2, 5, 7, 30, 60, 100, 295, 600, 1200, 3000};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		for (uint32_t large = 0; large <= 4; large += 2) {
			site_t site;
			g_autoptr(GPtrArray) gatherers = NULL;
			uint64_t sum = 0;

			site_start(&site);
			fill(&site, sizes[i], large);
			gatherers = gatherers_of_all(&site.fleet);
			assert_true(gatherers->len >= 1);
			for (guint j = 0; j < gatherers->len; j++)
				sum += share_of(&site, gatherers, g_ptr_array_index(gatherers, j),
						"a1");
			assert_true(sum <= SEARCHER_CONNECTIONS);
			site_end(&site);
		}
	}
}

/*
 * Three hundred VMs start together, and no list of them is known yet: each may hold one connection,
 * however many they are, and not a share of what a number that was assumed gives.
 */
static void test_before_the_list(void **state)
{
	site_t site;
	g_autoptr(GPtrArray) none = g_ptr_array_new();
	const vm_t vm = {.name = "vm", .data_centre = "a1"};

	(void)state;
	site_start(&site);
	assert_int_equal(share_of(&site, none, &vm, "a1"), 1);
	site_end(&site);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_few_gather_themselves),
		cmocka_unit_test(test_large_gather),
		cmocka_unit_test(test_one_is_not_enough),
		cmocka_unit_test(test_earlier_versions),
		cmocka_unit_test(test_stable),
		cmocka_unit_test(test_connections_are_enough),
		cmocka_unit_test(test_before_the_list),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
