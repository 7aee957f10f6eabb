/**
 * @file fleet_test.c
 * Who gathers, and what of the searchers' connections each VM takes, in fleets of 1 to 3,000 VMs.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "core/sharing.h"

#include <stdio.h>
#include <string.h>

#define SEARCHER_CONNECTIONS 195
#define CONSTANT 630

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

/** What one VM takes, as it works it out by itself. */
typedef struct taken_t {
	uint32_t connections; /* of one searcher */
	double constant;      /* of the bound on retries */
	bool warms;
} taken_t;

static taken_t taken_by(const site_t *site, const vm_t *vm, const routing_t *routing,
			const char *service)
{
	searcher_entry_t entry = {.id = "s",
				  .service = (char *)service,
				  .address = "127.0.0.1",
				  .port = 1,
				  .data_centre = "a1",
				  .slots = 2};
	const retry_bound_t bound = {.ratio = 0.2, .window_us = 1000000};
	const place_t place = {.data_centre = vm->data_centre, .regions = site->regions};
	static const registry_ops_t ops = {0};
	registry_t *registry = registry_new(&place, &bound, &ops, NULL);
	pool_t *pool = registry_pool(registry, service);
	searcher_t *searcher = searcher_new(&entry, DISTANCE_FAR, NULL, 0);
	sharing_t sharing;
	taken_t taken;

	g_ptr_array_add(pool->searchers, searcher);
	sharing_take(&sharing, &site->fleet, vm->name, CONSTANT);
	taken.warms = sharing_apply(&sharing, pool, routing);
	taken.connections = searcher->connections_most;
	taken.constant = pool->bound.constant;
	sharing_clear(&sharing);
	registry_free(registry);
	return taken;
}

static route_t *add_route(routing_t *routing, const char *name, bool gathers)
{
	route_t *route = routing_add(routing);

	route->name = g_strdup(name);
	route->host = g_strdup(name);
	route->prefix = g_strdup("/");
	route->gathers = gathers;
	return route;
}

/* A gather over one shard, and a service that is asked alone. */
static routing_t *routing_of_two(void)
{
	routing_t *routing = routing_new(1);

	route_add_target(add_route(routing, "gather", true), "shard", 1);
	route_add_target(add_route(routing, "single", false), "alone", 1);
	routing_set_connections(routing, "shard", SEARCHER_CONNECTIONS);
	routing_set_connections(routing, "alone", SEARCHER_CONNECTIONS);
	routing_seal(routing);
	return routing;
}

/*
 * VMs that gather would otherwise connect to a searcher more often than it takes, and it would
 * reset what is beyond; and all VMs together would break the bound on retries. At any size of the
 * fleet, and of any mix of large and small VMs. Where there are more VMs than connections, each
 * holds one.
 */
static void check_sums(const site_t *site, const routing_t *routing, const char *service)
{
	uint64_t connections = 0;
	double constant = 0;

	for (guint i = 0; i < site->vms->len; i++) {
		taken_t taken = taken_by(site, g_ptr_array_index(site->vms, i), routing, service);

		connections += taken.warms ? taken.connections : 0;
		constant += taken.constant;
	}
	assert_true(connections <= MAX(SEARCHER_CONNECTIONS, site->vms->len));
	assert_true(constant <= CONSTANT);
}

static void test_sums(void **state)
{
	static const uint32_t sizes[] = {1, 2, 5, 7, 30, 60, 100, 295, 600};
	routing_t *routing = routing_of_two();

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		for (uint32_t large = 0; large <= 4; large += 2) {
			site_t site;

			site_start(&site);
			fill(&site, sizes[i], large);
			check_sums(&site, routing, "shard");
			check_sums(&site, routing, "alone");
			site_end(&site);
		}
	}
	routing_unref(routing);
}

/* The same for 3,000 VMs, by those that gather: each VM works it out for all, which takes its time.
 */
static void test_sums_of_thousands(void **state)
{
	routing_t *routing = routing_of_two();
	g_autoptr(GPtrArray) gatherers = NULL;
	uint64_t connections = 0;
	site_t site;

	(void)state;
	site_start(&site);
	fill(&site, 3000, 4);
	gatherers = gatherers_of_all(&site.fleet);
	for (guint i = 0; i < gatherers->len; i++)
		connections += taken_by(&site, g_ptr_array_index(gatherers, i), routing, "shard")
				       .connections;
	assert_true(gatherers->len >= 6);
	assert_true(connections <= SEARCHER_CONNECTIONS);
	site_end(&site);
	routing_unref(routing);
}

/* Of a shard, VMs that gather hold connections ahead and the others none; of a service that is
 * asked alone, all do. */
static void test_who_warms(void **state)
{
	routing_t *routing = routing_of_two();
	site_t site;

	(void)state;
	site_start(&site);
	fill(&site, 60, 2);
	for (guint i = 0; i < site.vms->len; i++) {
		const vm_t *vm = g_ptr_array_index(site.vms, i);
		taken_t shard = taken_by(&site, vm, routing, "shard");

		assert_int_equal(shard.warms, vm->processor_milli == 500);
		if (!shard.warms)
			assert_int_equal(shard.connections, 1);
		assert_true(taken_by(&site, vm, routing, "alone").warms);
	}
	site_end(&site);
	routing_unref(routing);
}

/*
 * Three hundred VMs start together, and no list of them is known yet: each may hold one connection
 * and has no part of the constant, however many they are, and not a share of what a number that was
 * assumed gives.
 */
static void test_before_the_list(void **state)
{
	routing_t *routing = routing_of_two();
	const vm_t vm = {.name = "vm", .data_centre = "a1"};
	site_t site;
	taken_t taken;

	(void)state;
	site_start(&site);
	taken = taken_by(&site, &vm, routing, "shard");
	assert_int_equal(taken.connections, 1);
	assert_false(taken.warms);
	assert_true(taken.constant <= 0);
	site_end(&site);
	routing_unref(routing);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_few_gather_themselves),
		cmocka_unit_test(test_large_gather),
		cmocka_unit_test(test_one_is_not_enough),
		cmocka_unit_test(test_earlier_versions),
		cmocka_unit_test(test_stable),
		cmocka_unit_test(test_sums),
		cmocka_unit_test(test_sums_of_thousands),
		cmocka_unit_test(test_who_warms),
		cmocka_unit_test(test_before_the_list),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
