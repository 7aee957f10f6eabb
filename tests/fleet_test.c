/**
 * @file fleet_test.c
 * Which VMs gather, and each VM's share of the searchers' connections, in fleets of 1 to 3,000 VMs.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "core/cold_share.h"
#include "core/sharing.h"
#include "core/warm_set.h"

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

/* Data centres of uneven size: the first has half of the small VMs, the last hardly any. */
static void fill(site_t *site, uint32_t small, uint32_t large_each)
{
	for (uint32_t i = 0; i < small; i++)
		add(site, centres[i % 2 ? 0 : i % G_N_ELEMENTS(centres)], 120, 20);
	for (size_t i = 0; i < G_N_ELEMENTS(centres); i++)
		for (uint32_t j = 0; j < large_each; j++)
			add(site, centres[i], 500, 200);
}

/* With a few VMs of one size, all gather, and none hands over. */
static void test_few_gather_themselves(void **state)
{
	(void)state;
	for (uint32_t count = 1; count <= 40; count++) {
		site_t site;
		g_autoptr(GPtrArray) all = NULL;

		site_start(&site);
		for (uint32_t i = 0; i < count; i++)
			add(&site, centres[i % 2], 250, 1000);
		all = gatherers_in_fleet(&site.fleet);
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

/* Large VMs gather for small ones; those of the same data centre come first. */
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

/* A single VM that is far larger than all others must not be the only gatherer: if it fails, the
 * region has none. */
static void test_gatherers_min(void **state)
{
	site_t site;
	g_autoptr(GPtrArray) gatherers = NULL;

	(void)state;
	site_start(&site);
	for (int i = 0; i < 10; i++)
		add(&site, "c1", 120, 20);
	add(&site, "c1", 4000, 1000);
	gatherers = gatherers_in_region(&site.fleet, "c");
	assert_true(gatherers->len >= 2);
	site_end(&site);
}

/* Daemons of an earlier version do not gather for others. */
static void test_earlier_versions(void **state)
{
	site_t site;
	g_autoptr(GPtrArray) gatherers = NULL;

	(void)state;
	site_start(&site);
	fill(&site, 30, 2);
	for (guint i = 0; i < site.vms->len; i++)
		((vm_t *)g_ptr_array_index(site.vms, i))->gather_port = 0;
	gatherers = gatherers_in_fleet(&site.fleet);
	assert_int_equal(gatherers->len, 0);
	site_end(&site);
}

/* When a VM is added and one removed, at most two gatherers change. */
static void test_stable(void **state)
{
	site_t site;
	g_autoptr(GPtrArray) before = NULL;
	g_autoptr(GPtrArray) after = NULL;
	guint same = 0;

	(void)state;
	site_start(&site);
	fill(&site, 400, 0);
	before = gatherers_in_fleet(&site.fleet);
	add(&site, "a1", 120, 20);
	g_ptr_array_remove_index(site.vms, 17);
	after = gatherers_in_fleet(&site.fleet);
	for (guint i = 0; i < after->len; i++)
		same += vm_find(before, ((vm_t *)g_ptr_array_index(after, i))->name) != NULL;
	assert_true(same + 2 >= before->len);
	site_end(&site);
}

/* ---- connections opened ahead of need ---- */

#define SHARDS 90
#define REPLICAS 45
#define SINGLE_REPLICAS 90

/** The searchers of one service, and how many VMs connect to each ahead of need. */
typedef struct warmed_t {
	pool_t pool;
	uint32_t counts[SINGLE_REPLICAS];
} warmed_t;

static void warmed_start(warmed_t *warmed, const char *service, guint searchers)
{
	*warmed = (warmed_t){
		.pool.searchers = g_ptr_array_new_with_free_func((GDestroyNotify)searcher_unref)};
	for (guint i = 0; i < searchers; i++) {
		g_autofree char *id = g_strdup_printf("%s-%u", service, i);
		const searcher_entry_t entry = {.id = id,
						.service = (char *)service,
						.address = "127.0.0.1",
						.port = 1,
						.data_centre = (char *)centres[i % 5],
						.slots = 7};

		g_ptr_array_add(warmed->pool.searchers, searcher_new(&entry, 0, NULL, 0));
	}
}

/* Counts the connections that @p vm opens after @p now_us without having used the service. */
static uint32_t warm(warmed_t *warmed, const vm_t *vm, uint64_t now_us)
{
	uint32_t opened = 0;

	for (guint i = 0; i < warmed->pool.searchers->len; i++) {
		searcher_t *searcher = g_ptr_array_index(warmed->pool.searchers, i);

		searcher->was_warmed = false;
		if (g_str_equal(searcher->data_centre, vm->data_centre))
			searcher->distance = DISTANCE_LOCAL;
		else if (searcher->data_centre[0] == vm->data_centre[0])
			searcher->distance = DISTANCE_REGION;
		else
			searcher->distance = DISTANCE_FAR;
	}
	/* Searchers close connections that are not used; the VM looks again each few seconds. */
	for (int look = 0; look < 5; look++) {
		warm_set_choose(&warmed->pool, vm->name);
		for (guint i = 0; i < warmed->pool.searchers->len; i++) {
			searcher_t *searcher = g_ptr_array_index(warmed->pool.searchers, i);

			if (!warm_set_is_due(&warmed->pool, searcher, now_us))
				continue;
			searcher->was_warmed = true;
			warmed->counts[i]++;
			opened++;
		}
	}
	return opened;
}

static uint32_t largest_data_centre(const site_t *site)
{
	uint32_t most = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(centres); i++) {
		uint32_t vms = 0;

		for (guint j = 0; j < site->vms->len; j++)
			vms += g_str_equal(((vm_t *)g_ptr_array_index(site->vms, j))->data_centre,
					   centres[i]);
		most = MAX(most, vms);
	}
	return most;
}

/* With connections of every VM to every searcher, a start costs VMs x searchers of them, most of
 * which are closed unused, and searchers reset those beyond their limit. */
static void test_warm_sets(void **state)
{
	static const uint32_t sizes[] = {100, 1000, 2000};
	/* What the users want of a fleet of 1,000 VMs in a day, in proportion. */
	const double connections_per_vm = 50;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		g_autoptr(GPtrArray) gatherers = NULL;
		warmed_t shard, single;
		uint64_t opened = 0;
		uint32_t most = 0, most_single = 0, even_share;
		site_t site;

		site_start(&site);
		fill(&site, sizes[i], 4);
		gatherers = gatherers_in_fleet(&site.fleet);
		warmed_start(&shard, "shard", REPLICAS);
		warmed_start(&single, "single", SINGLE_REPLICAS);
		for (guint j = 0; j < gatherers->len; j++)
			opened += SHARDS * warm(&shard, g_ptr_array_index(gatherers, j), 1);
		for (guint j = 0; j < site.vms->len; j++)
			opened += 2 * warm(&single, g_ptr_array_index(site.vms, j), 1);
		for (guint j = 0; j < REPLICAS; j++)
			most = MAX(most, shard.counts[j]);
		for (guint j = 0; j < SINGLE_REPLICAS; j++)
			most_single = MAX(most_single, single.counts[j]);
		/* The VMs of a data centre share the searchers there. */
		even_share = largest_data_centre(&site) * WARM_SET_SIZE /
			     (SINGLE_REPLICAS / G_N_ELEMENTS(centres));
		print_message("%u VMs: %" G_GUINT64_FORMAT " connections ahead of need, at most %u "
			      "to a searcher of a shard\n",
			      site.vms->len, opened, most);
		assert_true(opened <= connections_per_vm * MAX(site.vms->len, 1000));
		assert_true(most <= SEARCHER_CONNECTIONS / 4);
		assert_true(most_single <= 2 * even_share);
		/* Once the VM has used the service, its connections are opened again. */
		single.pool.last_sent_us = 1;
		assert_int_equal(warm(&single, g_ptr_array_index(site.vms, 0), 2),
				 5 * WARM_SET_SIZE);
		g_ptr_array_unref(shard.pool.searchers);
		g_ptr_array_unref(single.pool.searchers);
		site_end(&site);
	}
}

/** The share of the fleet's limits that one VM computes for itself. */
typedef struct vm_share_t {
	uint32_t connections; /* to one searcher */
	double constant;      /* its part of the constant of the retry limit */
	bool warms;
} vm_share_t;

static vm_share_t vm_share_of(const site_t *site, const vm_t *vm, const routing_t *routing,
			      const char *service)
{
	searcher_entry_t entry = {.id = "s",
				  .service = (char *)service,
				  .address = "127.0.0.1",
				  .port = 1,
				  .data_centre = "a1",
				  .slots = 2};
	const retry_bound_t bound = {.ratio = 0.2, .window_us = 1000000};
	const locality_t locality = {.data_centre = vm->data_centre, .regions = site->regions};
	static const registry_ops_t ops = {0};
	registry_t *registry = registry_new(&locality, &bound, &ops, NULL);
	pool_t *pool = registry_pool(registry, service);
	searcher_t *searcher = searcher_new(&entry, DISTANCE_FAR, NULL, 0);
	sharing_t sharing;
	vm_share_t share;

	g_ptr_array_add(pool->searchers, searcher);
	sharing_update(&sharing, &site->fleet, vm->name, CONSTANT);
	share.warms = sharing_apply(&sharing, pool, routing);
	share.connections = searcher->connections_max;
	share.constant = pool->bound.constant;
	sharing_clear(&sharing);
	registry_free(registry);
	return share;
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

/* A gather over one shard, and a service that is queried alone. */
static routing_t *routing_of_two(void)
{
	const service_limits_t terms = {.connections = SEARCHER_CONNECTIONS};
	routing_t *routing = routing_new(1);

	route_add_target(add_route(routing, "gather", true), "shard", 1);
	route_add_target(add_route(routing, "single", false), "alone", 1);
	routing_set_service_limits(routing, "shard", &terms);
	routing_set_service_limits(routing, "alone", &terms);
	routing_seal(routing);
	return routing;
}

/*
 * Otherwise gatherers would open more connections to a searcher than it accepts, which resets the
 * excess ones, and all VMs together would exceed the retry limit. This must hold for any size of
 * the fleet and any mix of large and small VMs. Where there are more VMs than connections, each
 * holds one.
 */
static void check_sums(const site_t *site, const routing_t *routing, const char *service)
{
	uint64_t connections = 0;
	double constant = 0;

	for (guint i = 0; i < site->vms->len; i++) {
		vm_share_t share =
			vm_share_of(site, g_ptr_array_index(site->vms, i), routing, service);

		connections += share.warms ? share.connections : 0;
		constant += share.constant;
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

/* The same limits hold for 3,000 VMs. Only the gatherers are checked: each share is computed from
 * the whole list of VMs, which takes long. */
static void test_sums_of_thousands(void **state)
{
	routing_t *routing = routing_of_two();
	g_autoptr(GPtrArray) gatherers = NULL;
	uint64_t connections = 0;
	site_t site;

	(void)state;
	site_start(&site);
	fill(&site, 3000, 4);
	gatherers = gatherers_in_fleet(&site.fleet);
	for (guint i = 0; i < gatherers->len; i++)
		connections += vm_share_of(&site, g_ptr_array_index(gatherers, i), routing, "shard")
				       .connections;
	assert_true(gatherers->len >= 6);
	assert_true(connections <= SEARCHER_CONNECTIONS);
	site_end(&site);
	routing_unref(routing);
}

/* For a shard, gatherers open connections ahead of requests and other VMs do not; for a service
 * whose requests are not gathered, all VMs do. */
static void test_connections_ahead(void **state)
{
	routing_t *routing = routing_of_two();
	site_t site;

	(void)state;
	site_start(&site);
	fill(&site, 60, 2);
	for (guint i = 0; i < site.vms->len; i++) {
		const vm_t *vm = g_ptr_array_index(site.vms, i);
		vm_share_t shard = vm_share_of(&site, vm, routing, "shard");

		assert_int_equal(shard.warms, vm->processor_milli == 500);
		if (!shard.warms)
			assert_int_equal(shard.connections, 1);
		assert_true(vm_share_of(&site, vm, routing, "alone").warms);
	}
	site_end(&site);
	routing_unref(routing);
}

/*
 * Three hundred VMs start at the same time, before any list of them is known. Each may hold one
 * connection and has no part of the constant of the retry limit, however many they are: neither
 * follows from an assumed number of VMs.
 */
static void test_before_the_list(void **state)
{
	routing_t *routing = routing_of_two();
	const vm_t vm = {.name = "vm", .data_centre = "a1"};
	site_t site;
	vm_share_t taken;

	(void)state;
	site_start(&site);
	taken = vm_share_of(&site, &vm, routing, "shard");
	assert_int_equal(taken.connections, 1);
	assert_false(taken.warms);
	assert_true(taken.constant <= 0);
	site_end(&site);
	routing_unref(routing);
}

/* ---- cold searchers ---- */

#define COLD_SEARCHERS 3
#define SIMULATED_S 120
#define SECOND_US 1000000ull
#define COLD_STEP_US 20000
#define STALE_MOST_US 9000000

/** A simulated VM: when it registers, and which list of VMs it has read. */
typedef struct cold_sender_t {
	uint64_t registers_us; /* at the store, after its start */
	uint64_t next_list_us;
	cold_members_t members;
	GPtrArray *listed;		 /* vm_t, borrowed */
	uint32_t shares[COLD_SEARCHERS]; /* computed from that list */
	uint64_t next_us[COLD_SEARCHERS];
	bool cut; /* cannot reach the store: its list is not updated any more */
} cold_sender_t;

/* Reads the list of all VMs that had registered by @p as_of_us. */
static void refresh_list(const GPtrArray *vms, const cold_sender_t *all, cold_sender_t *one,
			 const cold_limit_t *bound, uint64_t as_of_us, uint64_t now_us)
{
	static const char *const ids[COLD_SEARCHERS] = {"s-1", "s-2", "s-3"};

	g_ptr_array_set_size(one->listed, 0);
	for (guint i = 0; i < vms->len; i++)
		if (all[i].registers_us <= as_of_us)
			g_ptr_array_add(one->listed, g_ptr_array_index(vms, i));
	one->members.listed_us = now_us;
	if (!one->members.member_us && vm_find(one->listed, one->members.own_name))
		one->members.member_us = now_us;
	for (int i = 0; i < COLD_SEARCHERS; i++)
		one->shares[i] = cold_share_of(&one->members, bound, ids[i]);
}

/* Sends as much as allowed to each searcher and appends the times to @p sent. */
static void send_to_cold(cold_sender_t *one, const cold_limit_t *bound, uint64_t now_us,
			 GArray **sent)
{
	if (!cold_share_is_usable(&one->members, now_us))
		return;
	for (int i = 0; i < COLD_SEARCHERS; i++) {
		if (!one->shares[i] || now_us < one->next_us[i])
			continue;
		one->next_us[i] = now_us + cold_share_window_us(bound) / one->shares[i];
		g_array_append_val(sent[i], now_us);
	}
}

static uint32_t most_in_a_second(const GArray *sent)
{
	uint32_t most = 0;

	for (guint i = 0, from = 0; i < sent->len; i++) {
		while (g_array_index(sent, uint64_t, from) + SECOND_US <=
		       g_array_index(sent, uint64_t, i))
			from++;
		most = MAX(most, i - from + 1);
	}
	return most;
}

static void simulate_cold_senders(guint count, double per_s, uint32_t seed, uint32_t *most,
				  uint32_t *sum)
{
	const cold_limit_t bound = {.per_s = per_s, .gathered = seed % 2 == 0};
	g_autoptr(GPtrArray) vms = g_ptr_array_new_with_free_func(vm_free);
	cold_sender_t *all = g_new0(cold_sender_t, count);
	GArray *sent[COLD_SEARCHERS];
	GRand *rand = g_rand_new_with_seed(seed);

	*most = *sum = 0;
	for (int i = 0; i < COLD_SEARCHERS; i++)
		sent[i] = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (guint i = 0; i < count; i++) {
		g_autofree char *name = g_strdup_printf("vm-%u", i);
		bool large = g_rand_int_range(rand, 0, 5) == 0;
		/* Most start together; others start later, one by one or many at once. */
		double at_s = i < count / 2 ? 0 : (i % 3 ? 45 : g_rand_double_range(rand, 0, 100));
		const vm_t vm = {.name = name,
				 .data_centre = i % 7 ? "a" : "b",
				 .address = "10.0.0.1",
				 .link_mbps = large ? 140 : 14,
				 .processor_milli = large ? 500 : 120};

		g_ptr_array_add(vms, vm_new(&vm));
		all[i].listed = g_ptr_array_new();
		all[i].members.own_name = ((vm_t *)g_ptr_array_index(vms, i))->name;
		all[i].members.vms = all[i].listed;
		all[i].registers_us =
			(uint64_t)((at_s + g_rand_double_range(rand, 0.1, 1.5)) * SECOND_US);
		all[i].next_list_us = all[i].registers_us;
		all[i].cut = i % 11 == 10;
	}
	for (uint64_t now_us = COLD_STEP_US; now_us < SIMULATED_S * SECOND_US;
	     now_us += COLD_STEP_US) {
		for (guint i = 0; i < count; i++) {
			cold_sender_t *one = &all[i];

			if (now_us >= one->next_list_us) {
				uint64_t stale_us = (uint64_t)g_rand_int_range(
					rand, 0, one->members.listed_us ? STALE_MOST_US : 1);

				refresh_list(vms, all, one, &bound, now_us - MIN(stale_us, now_us),
					     now_us);
				one->next_list_us =
					one->cut && now_us > 40 * SECOND_US
						? UINT64_MAX
						: now_us + (one->members.listed_us ? 12 : 2) *
								   SECOND_US;
			}
			send_to_cold(one, &bound, now_us, sent);
		}
	}
	for (int i = 0; i < COLD_SEARCHERS; i++) {
		*most = MAX(*most, most_in_a_second(sent[i]));
		*sum += sent[i]->len;
		g_array_unref(sent[i]);
	}
	for (guint i = 0; i < count; i++)
		g_ptr_array_unref(all[i].listed);
	g_rand_free(rand);
	g_free(all);
}

/*
 * Guards against a cold searcher that crashes again because each VM sent it what seemed to be its
 * share, computed from a list of VMs that others had not read or no longer used. VMs start
 * together, one by one and by the hundred, read outdated lists, and lose the store; each sends as
 * much as allowed. Together they never exceed what the searcher can take, and small fleets use it
 * once their list is known.
 */
static void test_cold_shares(void **state)
{
	static const guint counts[] = {1, 2, 6, 7, 40, 300, 3000};
	static const double rates[] = {0.25, 1, 4, 50};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++)
		for (size_t j = 0; j < G_N_ELEMENTS(rates); j++) {
			uint32_t most, sum, bears = (uint32_t)MAX(rates[j], 1);

			if (counts[i] == 3000 && rates[j] != 4)
				continue;
			simulate_cold_senders(counts[i], rates[j], (uint32_t)(i + j), &most, &sum);
			if (most > bears)
				fail_msg("%u VMs, %.2f a second: %u in one second", counts[i],
					 rates[j], most);
			if (counts[i] <= 7 && !sum)
				fail_msg("%u VMs, %.2f a second: nothing is sent", counts[i],
					 rates[j]);
		}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_few_gather_themselves),
		cmocka_unit_test(test_large_gather),
		cmocka_unit_test(test_gatherers_min),
		cmocka_unit_test(test_earlier_versions),
		cmocka_unit_test(test_stable),
		cmocka_unit_test(test_warm_sets),
		cmocka_unit_test(test_sums),
		cmocka_unit_test(test_sums_of_thousands),
		cmocka_unit_test(test_connections_ahead),
		cmocka_unit_test(test_before_the_list),
		cmocka_unit_test(test_cold_shares),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
