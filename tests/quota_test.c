/**
 * @file quota_test.c
 * Quotas of tenants over fleets of up to 2,000 VMs in virtual time: callers' requests come to any
 * VM, and VMs are cut off, killed, suspended, added, or disagree on which VMs there are.
 *
 * Two figures count. No window may hold more admitted requests than the quota and its tolerance
 * allow, whatever happens. And requests that one bucket for all VMs would admit must not be refused
 * while the VMs reach each other.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "core/quota.h"
#include "core/quota_choice.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#define STEP_US 1000
/* Timers fire up to this many steps late. */
#define TIMER_LAG_STEPS 5
#define SECOND_US 1000000ull
#define REGIONS 3
#define START_US (100 * SECOND_US)
/* From the start of the VMs to that of traffic. */
#define LEAD_US (10 * SECOND_US)
/* The first VMs; among them are all large ones. */
#define MAY_POOL_COUNT (6 * REGIONS)
#define NEAR_US 1000
#define FAR_US 12000
/* Until a VM gives up a link that has gone silent. */
#define SILENCE_US 1500000
/* Until a VM that starts has read the configuration; it accepts links before. */
#define CONFIGURED_AFTER_US 300000
#define LISTED_AFTER_US (5 * SECOND_US)
/* Share of the requests within the quota that may be refused while all VMs reach each other. */
#define REFUSED_SHARE_MAX 0.005

static const quota_tolerance_t tolerance = {
	.window_us = 5 * SECOND_US, .overage = 0.1, .slack = 20};
static const char *const centres[REGIONS] = {"a", "b", "c"};

typedef struct world_t world_t;

typedef struct node_t {
	world_t *world;
	vm_t *vm;
	quota_t *quota; /* NULL: not running */
	guint region;
	bool may_pool;
	guint group; /* VMs of different groups do not reach each other */
	uint64_t frozen_until_us;
	uint64_t configured_us; /* when it has read the configuration */
	bool is_configured;
	const GPtrArray *list; /* the VMs that it knows, vm_t */
} node_t;

typedef struct packet_t {
	uint64_t at_us;
	node_t *from, *to;
	GByteArray *bytes;
} packet_t;

typedef struct load_t {
	tenant_t *tenant;
	double per_s;
	GArray *admitted_us; /* uint64_t */
	double ideal_tokens; /* of one bucket for all VMs */
	uint64_t ideal_at_us;
	uint32_t owed, owed_refused;
} load_t;

struct world_t {
	uint64_t now_us;
	GRand *rand;
	GHashTable *regions; /* data centre to region */
	GPtrArray *nodes, *vms;
	GHashTable *by_name; /* node_t */
	GPtrArray *callers;  /* the nodes that requests come to */
	GSequence *packets;  /* packet_t by time */
	tenants_t *tenants;
	GArray *loads; /* load_t */
	double demand_factor;
	uint64_t messages;
	GPtrArray *asked; /* caller_t */
	uint32_t requests;
	uint64_t waited_us;
};

typedef struct caller_t {
	load_t *load;
	bool is_owed;
	uint64_t asked_us;
	world_t *world;
} caller_t;

/* ---- the network ---- */

static node_t *find_node(const world_t *world, const char *name)
{
	return g_hash_table_lookup(world->by_name, name);
}

static gint compare_packets(gconstpointer a, gconstpointer b, gpointer unused)
{
	uint64_t left = ((const packet_t *)a)->at_us, right = ((const packet_t *)b)->at_us;

	(void)unused;
	return left < right ? -1 : left > right;
}

static void packet_free(void *data)
{
	packet_t *packet = data;

	g_byte_array_unref(packet->bytes);
	g_free(packet);
}

static void post(node_t *from, node_t *to, const hop_message_t *message)
{
	world_t *world = from->world;
	packet_t *packet = g_new0(packet_t, 1);
	uint64_t delay_us = from->region == to->region ? NEAR_US : FAR_US;

	packet->at_us = world->now_us + delay_us + g_rand_int_range(world->rand, 0, 2000);
	packet->from = from;
	packet->to = to;
	packet->bytes = g_byte_array_new();
	hop_message_write(packet->bytes, message);
	world->messages++;
	g_sequence_insert_sorted(world->packets, packet, compare_packets, NULL);
}

static void on_send(void *ctx, const char *vm, const hop_message_t *message)
{
	node_t *from = ctx;

	post(from, find_node(from->world, vm), message);
}

static void on_message(void *ctx, const hop_message_t *message)
{
	packet_t *packet = ctx;
	node_t *to = packet->to;
	uint64_t now_us = to->world->now_us;
	hop_message_t reply;

	if (message->type == HOP_QUOTA_GRANT)
		quota_receive_grant(to->quota, packet->from->vm->name, message, now_us);
	else if (quota_serve(to->quota, message, &reply, now_us))
		post(to, packet->from, &reply);
}

/* A suspended VM receives its messages when it runs again. */
static void deliver(world_t *world)
{
	while (!g_sequence_is_empty(world->packets)) {
		GSequenceIter *first = g_sequence_get_begin_iter(world->packets);
		packet_t *packet = g_sequence_get(first);
		node_t *to = packet->to;
		size_t used;

		if (packet->at_us > world->now_us)
			return;
		if (to->frozen_until_us > world->now_us) {
			packet->at_us = to->frozen_until_us;
			g_sequence_sort_changed(first, compare_packets, NULL);
			continue;
		}
		if (to->quota && packet->from->group == to->group)
			assert_int_equal(hop_message_read(packet->bytes->data, packet->bytes->len,
							  &used, on_message, packet),
					 FRAMING_COMPLETE);
		g_sequence_remove(first);
	}
}

/* ---- requests ---- */

static double zipf(guint rank)
{
	return pow(rank + 1, -1.2);
}

/* Whether one bucket for all VMs admits the request. */
static bool is_owed(load_t *load, uint64_t now_us)
{
	const tenant_t *tenant = load->tenant;
	double elapsed_s = (double)(now_us - load->ideal_at_us) / 1e6;

	load->ideal_at_us = now_us;
	load->ideal_tokens =
		MIN(load->ideal_tokens + tenant->rate_per_s * elapsed_s, tenant->burst);
	if (load->ideal_tokens < 1)
		return false;
	load->ideal_tokens--;
	return true;
}

static void on_decided(void *ctx, void *owner, quota_verdict_t verdict, uint64_t retry_after_us)
{
	caller_t *caller = owner;
	world_t *world = caller->world;

	(void)ctx;
	(void)retry_after_us;
	if (verdict == QUOTA_GRANTED)
		g_array_append_val(caller->load->admitted_us, world->now_us);
	else
		caller->load->owed_refused += caller->is_owed;
	world->waited_us += world->now_us - caller->asked_us;
}

static bool serves(const node_t *node)
{
	uint64_t now_us = node->world->now_us;

	return node->quota && node->frozen_until_us <= now_us && node->is_configured;
}

static void request(world_t *world, load_t *load)
{
	node_t *node;
	caller_t *caller;

	for (int tries = 0; tries < 1000; tries++) {
		node = g_ptr_array_index(
			world->callers,
			(guint)g_rand_int_range(world->rand, 0, (gint32)world->callers->len));
		if (serves(node))
			break;
	}
	if (!serves(node))
		return;
	caller = g_new0(caller_t, 1);
	g_ptr_array_add(world->asked, caller);
	caller->load = load;
	caller->world = world;
	caller->asked_us = world->now_us;
	caller->is_owed = is_owed(load, world->now_us);
	load->owed += caller->is_owed;
	world->requests++;
	quota_ask(node->quota, load->tenant, caller, world->now_us);
}

static void make_requests(world_t *world)
{
	for (guint i = 0; i < world->loads->len; i++) {
		load_t *load = &g_array_index(world->loads, load_t, i);
		double expected = load->per_s * world->demand_factor * STEP_US / 1e6;

		for (; expected > 0; expected--)
			if (g_rand_double(world->rand) < expected)
				request(world, load);
	}
}

/* ---- VMs ---- */

static void set_link(node_t *from, node_t *to, bool linked)
{
	if (from != to && from->quota && from->group == to->group)
		quota_set_linked(from->quota, to->vm->name, linked && to->quota);
}

/* Sets the links of a VM to those that may be pools, and theirs to it; if it may be one, those of
 * all others, too. */
static void set_links(node_t *node, bool linked)
{
	const GPtrArray *nodes = node->world->nodes;
	guint last = node->may_pool ? nodes->len : MIN(nodes->len, MAY_POOL_COUNT);

	for (guint i = 0; i < last; i++) {
		node_t *other = g_ptr_array_index(nodes, i);

		set_link(node, other, linked);
		set_link(other, node, linked);
	}
}

static GPtrArray *names_of(GPtrArray *vms)
{
	GPtrArray *names = g_ptr_array_new();

	for (guint i = 0; i < vms->len; i++)
		g_ptr_array_add(names, ((vm_t *)g_ptr_array_index(vms, i))->name);
	g_ptr_array_unref(vms);
	return names;
}

/* The VM has received @p list. */
static void set_list(node_t *node, const GPtrArray *list)
{
	const fleet_t fleet = {.vms = list, .regions = node->world->regions};
	const char *region = centres[node->region];
	g_autoptr(GPtrArray) pools = names_of(quota_pools_in_region(&fleet, region));
	g_autoptr(GPtrArray) others = names_of(quota_pools_elsewhere(&fleet, region));
	const quota_vms_t vms = {.count = list->len,
				 .is_listed = vm_find(list, node->vm->name) != NULL,
				 .pools = pools,
				 .others = others};

	node->list = list;
	if (!node->quota)
		return;
	quota_set_vms(node->quota, &vms, node->world->now_us);
	set_links(node, true);
}

static void start(node_t *node)
{
	static const quota_ops_t ops = {.send = on_send, .decided = on_decided};
	world_t *world = node->world;

	node->quota = quota_new(&tolerance, node->vm->name, LISTED_AFTER_US, &ops, node,
				g_rand_int(world->rand));
	node->configured_us = world->now_us + CONFIGURED_AFTER_US;
	node->is_configured = false;
	set_list(node, node->list);
}

static void stop(node_t *node)
{
	quota_t *quota = node->quota;

	if (!quota)
		return;
	node->quota = NULL;
	set_links(node, false);
	quota_free(quota);
}

static void add_node(world_t *world)
{
	node_t *node = g_new0(node_t, 1);
	guint index = world->nodes->len;
	g_autofree char *name = g_strdup_printf("vm-%u", index);
	bool is_large = index % 6 < REGIONS && index < MAY_POOL_COUNT;
	const vm_t vm = {.name = name,
			 .data_centre = (char *)centres[index % REGIONS],
			 .address = "127.0.0.1",
			 .gather_port = 1,
			 .processor_milli = is_large ? 500 : 120,
			 .link_mbps = is_large ? 200 : 20};

	node->world = world;
	node->vm = vm_new(&vm);
	node->region = index % REGIONS;
	node->may_pool = index < MAY_POOL_COUNT;
	g_ptr_array_add(world->nodes, node);
	g_hash_table_insert(world->by_name, node->vm->name, node);
	g_ptr_array_add(world->vms, node->vm);
}

static void add_loads(world_t *world, guint tenants, double per_s)
{
	double sum = 0;

	for (guint i = 0; i < tenants; i++)
		sum += zipf(i);
	for (guint i = 0; i < tenants; i++) {
		g_autofree char *name = g_strdup_printf("tenant-%u", i);
		load_t load = {.tenant = tenants_add(world->tenants, name),
			       .per_s = per_s * zipf(i) / sum,
			       .admitted_us = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
			       .ideal_at_us = START_US};

		load.tenant->rate_per_s = MAX(1, ceil(1.6 * load.per_s));
		load.tenant->burst = load.tenant->rate_per_s;
		load.ideal_tokens = load.tenant->burst;
		g_array_append_val(world->loads, load);
	}
}

static world_t *world_new(guint vms, guint tenants, double per_s, uint32_t seed)
{
	world_t *world = g_new0(world_t, 1);

	world->now_us = START_US;
	world->rand = g_rand_new_with_seed(seed);
	world->regions = g_hash_table_new(g_str_hash, g_str_equal);
	for (guint i = 0; i < REGIONS; i++)
		g_hash_table_insert(world->regions, (gpointer)centres[i], (gpointer)centres[i]);
	world->nodes = g_ptr_array_new();
	world->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	world->callers = world->nodes;
	world->vms = g_ptr_array_new();
	world->packets = g_sequence_new(packet_free);
	world->asked = g_ptr_array_new_with_free_func(g_free);
	world->tenants = tenants_new();
	world->loads = g_array_new(FALSE, FALSE, sizeof(load_t));
	add_loads(world, tenants, per_s);
	for (guint i = 0; i < vms; i++)
		add_node(world);
	for (guint i = 0; i < vms; i++) {
		node_t *node = g_ptr_array_index(world->nodes, i);

		node->list = world->vms;
		start(node);
	}
	return world;
}

static void world_free(world_t *world)
{
	for (guint i = 0; i < world->nodes->len; i++) {
		node_t *node = g_ptr_array_index(world->nodes, i);

		if (node->quota)
			quota_free(node->quota);
		vm_free(node->vm);
		g_free(node);
	}
	for (guint i = 0; i < world->loads->len; i++)
		g_array_unref(g_array_index(world->loads, load_t, i).admitted_us);
	g_hash_table_unref(world->by_name);
	g_ptr_array_unref(world->nodes);
	g_ptr_array_unref(world->vms);
	g_sequence_free(world->packets);
	g_ptr_array_unref(world->asked);
	tenants_free(world->tenants);
	g_array_unref(world->loads);
	g_hash_table_unref(world->regions);
	g_rand_free(world->rand);
	g_free(world);
}

static void run_vms(world_t *world)
{
	for (guint i = 0; i < world->nodes->len; i++) {
		node_t *node = g_ptr_array_index(world->nodes, i);

		if (!node->quota || node->frozen_until_us > world->now_us)
			continue;
		if (!node->is_configured && node->configured_us <= world->now_us) {
			node->is_configured = true;
			quota_set_tenants(node->quota, world->tenants);
		}
		if (quota_next_us(node->quota) <= world->now_us)
			quota_run(node->quota, world->now_us);
	}
}

static void run(world_t *world, uint64_t for_us)
{
	uint64_t until_us = world->now_us + for_us;

	while (world->now_us < until_us) {
		world->now_us += STEP_US;
		deliver(world);
		if (world->now_us % (TIMER_LAG_STEPS * STEP_US) == 0)
			run_vms(world);
		if (world->demand_factor > 0)
			make_requests(world);
	}
}

/* ---- figures ---- */

/* The most requests that any window holds beyond the quota, as a share of what the tolerance
 * allows; 1 and less keeps to it. */
static double worst_window(const load_t *load)
{
	const tenant_t *tenant = load->tenant;
	double quota = tenant->rate_per_s * (double)tolerance.window_us / 1e6 + tenant->burst;
	const uint64_t *times = (const uint64_t *)load->admitted_us->data;
	double worst = -INFINITY;
	guint first = 0;

	for (guint last = 0; last < load->admitted_us->len; last++) {
		while (times[last] - times[first] >= tolerance.window_us)
			first++;
		worst = MAX(worst, last - first + 1 - quota);
	}
	return worst / (tolerance.overage * quota + tolerance.slack);
}

static double worst_of_all(const world_t *world)
{
	double worst = -INFINITY;

	for (guint i = 0; i < world->loads->len; i++)
		worst = MAX(worst, worst_window(&g_array_index(world->loads, load_t, i)));
	return worst;
}

static double refused_share(const world_t *world)
{
	uint32_t owed = 0, refused = 0;

	for (guint i = 0; i < world->loads->len; i++) {
		owed += g_array_index(world->loads, load_t, i).owed;
		refused += g_array_index(world->loads, load_t, i).owed_refused;
	}
	return (double)refused / MAX(owed, 1);
}

/* Of what one bucket for all VMs admits, the share by which the VMs admit less. */
static double admitted_less(const world_t *world)
{
	uint32_t owed = 0, less = 0;

	for (guint i = 0; i < world->loads->len; i++) {
		const load_t *load = &g_array_index(world->loads, load_t, i);

		owed += load->owed;
		less += load->owed - MIN(load->owed, load->admitted_us->len);
	}
	return (double)less / MAX(owed, 1);
}

static void report(const world_t *world, const char *what)
{
	double seconds = (double)(world->now_us - START_US) / 1e6;

	print_message("%s: %u VMs, %u tenants: %u requests, refused within the quota %.4f, "
		      "admitted less than one bucket %.4f; tolerance used %.2f; %.1f messages a "
		      "second and VM; "
		      "waited %.1f ms each\n",
		      what, world->nodes->len, world->loads->len, world->requests,
		      refused_share(world), admitted_less(world), worst_of_all(world),
		      (double)world->messages / seconds / world->nodes->len,
		      (double)world->waited_us / 1e3 / MAX(world->requests, 1));
}

static void check_bound(world_t *world, const char *what)
{
	report(world, what);
	assert_true(worst_of_all(world) <= 1);
	world_free(world);
}

/* ---- the tests ---- */

static const tenant_t modest = {.name = "t", .rate_per_s = 2, .burst = 4};

static void add_share(quota_pool_t *pool, uint64_t accrued_us, uint64_t now_us)
{
	const quota_share_t share = {.vm = "vm", .accrued_us = accrued_us, .vms = 1, .pools = 1};

	quota_pool_add(pool, &share, now_us);
}

/* More tokens than any pool of these tests has. */
#define TAKEN_MAX 1000

static guint take_all(quota_pool_t *pool, const tenant_t *tenant, uint64_t now_us)
{
	guint taken = 0;

	while (taken < TAKEN_MAX && quota_pool_take(pool, tenant, now_us))
		taken++;
	return taken;
}

/* A pool starts empty, since its tokens may have been spent before it was started again; it then
 * has what is handed over to it, and no more than its capacity. */
static void test_pool(void **state)
{
	const quota_tolerance_t strict = {.window_us = 5 * SECOND_US};
	quota_pool_t *pool = quota_pool_new(&strict);
	uint64_t now_us = START_US;

	(void)state;
	assert_false(quota_pool_take(pool, &modest, now_us));
	assert_true(quota_pool_promise_us(pool, &modest, now_us) == UINT64_MAX);
	add_share(pool, 500000, now_us += SECOND_US);
	assert_int_equal(take_all(pool, &modest, now_us), 1);
	add_share(pool, 250000, now_us += SECOND_US / 4);
	/* Half a token is there, and two come each second: one for each refused request. */
	for (uint64_t nth = 0; nth < 3; nth++)
		assert_int_equal(quota_pool_promise_us(pool, &modest, now_us),
				 SECOND_US / 4 + nth * SECOND_US / 2 + QUOTA_PERIOD_US / 2);
	for (int i = 0; i < 20; i++)
		add_share(pool, 500000, now_us += SECOND_US / 2);
	assert_int_equal(take_all(pool, &modest, now_us), (int)quota_capacity(&strict, &modest));
	/* Promises that nobody came back for end once tokens are left over. */
	for (int i = 0; i < 100; i++)
		quota_pool_promise_us(pool, &modest, now_us);
	for (int i = 0; i < 4; i++)
		add_share(pool, 500000, now_us += SECOND_US / 2);
	assert_true(take_all(pool, &modest, now_us) > 1);
	assert_true(quota_pool_promise_us(pool, &modest, now_us) <= SECOND_US);
	/* A long absence is not made up for. */
	add_share(pool, 60 * SECOND_US, now_us += SECOND_US / 2);
	assert_int_equal(take_all(pool, &modest, now_us), 1);
	/* A request that was not run gives its token back. */
	quota_pool_put(pool, &modest, 1, now_us);
	assert_int_equal(take_all(pool, &modest, now_us), 1);
	quota_pool_free(pool);
}

/* A pool that starts has a part of the tolerance to begin with, once for each VM that joins it. */
static void test_pool_starts(void **state)
{
	quota_pool_t *pool = quota_pool_new(&tolerance);
	uint64_t now_us = START_US;
	guint first;

	(void)state;
	add_share(pool, 1, now_us);
	first = take_all(pool, &modest, now_us);
	assert_true(first >= 1 && first <= 0.3 * (0.1 * 14 + 20));
	for (int i = 0; i < 3; i++)
		add_share(pool, 1, now_us += SECOND_US / 4);
	assert_int_equal(take_all(pool, &modest, now_us), 0);
	quota_pool_free(pool);
}

/* A lower limit holds from the next request on, whatever the pool held before. */
static void test_lowered(void **state)
{
	const tenant_t lowered = {.name = "t", .rate_per_s = 0.5, .burst = 1};
	quota_pool_t *pool = quota_pool_new(&tolerance);
	uint64_t now_us = START_US;
	tenants_t *tenants = tenants_new();

	(void)state;
	tenants_add(tenants, "t");
	for (int i = 0; i < 60; i++)
		add_share(pool, 500000, now_us += SECOND_US / 2);
	assert_true(quota_pool_take(pool, &modest, now_us));
	assert_true(take_all(pool, &lowered, now_us) <= quota_capacity(&tolerance, &lowered));
	quota_pool_retain(pool, tenants);
	assert_false(quota_pool_take(pool, &lowered, now_us));
	/* A VM that no longer hands anything over takes its capacity along. */
	add_share(pool, 500000, now_us += SECOND_US / 2);
	assert_int_equal(take_all(pool, &lowered, now_us + 2 * SECOND_US), 0);
	quota_pool_free(pool);
	tenants_free(tenants);
}

/* Tokens for another pool: only those above a quarter of the capacity. */
static void test_spare(void **state)
{
	quota_pool_t *pool = quota_pool_new(&tolerance);
	double capacity = quota_capacity(&tolerance, &modest);
	uint64_t now_us = START_US;
	uint32_t spare;

	(void)state;
	for (int i = 0; i < 60; i++)
		add_share(pool, 500000, now_us += SECOND_US / 2);
	assert_int_equal(quota_pool_lacks(pool, &modest, now_us), 0);
	spare = quota_pool_take_spare(pool, &modest, 1000, now_us);
	assert_int_equal(spare, (int)(capacity * 3 / 4));
	assert_int_equal(quota_pool_take_spare(pool, &modest, 1000, now_us), 0);
	assert_true(take_all(pool, &modest, now_us) >= (guint)(capacity / 4));
	assert_true(quota_pool_lacks(pool, &modest, now_us) > 0);
	quota_pool_free(pool);
}

typedef struct sent_t {
	const char *other_pool; /* linked besides "pool"; NULL: none */
	hop_message_t last;
	guint count;
	quota_verdict_t verdict;
	guint decided;
} sent_t;

static void record_sent(void *ctx, const char *vm, const hop_message_t *message)
{
	sent_t *sent = ctx;

	if (g_strcmp0(vm, sent->other_pool))
		assert_string_equal(vm, "pool");
	sent->last = *message;
	sent->count++;
}

static void record_decided(void *ctx, void *owner, quota_verdict_t verdict, uint64_t retry_after_us)
{
	sent_t *sent = ctx;

	(void)owner;
	(void)retry_after_us;
	sent->verdict = verdict;
	sent->decided++;
}

static const quota_ops_t recording = {.send = record_sent, .decided = record_decided};

/* Until the others know of a VM that was added, they share all of the quotas among themselves; one
 * that starts again is known. */
static void test_added_vm(void **state)
{
	g_autoptr(GPtrArray) none = g_ptr_array_new();
	quota_vms_t vms = {.count = 4, .pools = none, .others = none};
	tenants_t *tenants = tenants_new();

	(void)state;
	for (int again = 0; again < 2; again++) {
		quota_t *quota = quota_new(&tolerance, "new", LISTED_AFTER_US, &recording, NULL, 1);
		uint64_t now_us = START_US;

		quota_set_tenants(quota, tenants);
		vms.is_listed = again;
		quota_set_vms(quota, &vms, now_us);
		vms.is_listed = true;
		quota_set_vms(quota, &vms, now_us += SECOND_US);
		for (; now_us < START_US + LISTED_AFTER_US; now_us += SECOND_US / 10)
			quota_run(quota, now_us);
		assert_int_equal(quota_own_fraction(quota, now_us) > 0, again);
		for (; now_us < START_US + 2 * LISTED_AFTER_US; now_us += SECOND_US / 10)
			quota_run(quota, now_us);
		assert_true(quota_own_fraction(quota, now_us) == 0.25);
		quota_free(quota);
	}
	tenants_free(tenants);
}

/* A pool does not answer in time, or its answer comes after the caller has left: the token of the
 * late answer goes back to it. */
static void test_late_grant(void **state)
{
	g_autoptr(GPtrArray) pools = g_ptr_array_new();
	g_autoptr(GPtrArray) none = g_ptr_array_new();
	const quota_vms_t vms = {.count = 2, .is_listed = true, .pools = pools, .others = none};
	tenants_t *tenants = tenants_new();
	tenant_t *tenant = tenants_add(tenants, "t");
	sent_t sent = {0};
	quota_t *quota = quota_new(&tolerance, "vm", LISTED_AFTER_US, &recording, &sent, 1);
	hop_message_t grant;

	(void)state;
	tenant->rate_per_s = 1;
	g_ptr_array_add(pools, "pool");
	quota_set_tenants(quota, tenants);
	quota_set_vms(quota, &vms, START_US);
	/* Without a link there is nobody to ask. */
	assert_null(quota_ask(quota, tenant, NULL, START_US));
	assert_int_equal(sent.verdict, QUOTA_UNREACHABLE);
	quota_set_linked(quota, "pool", true);
	for (int left = 0; left < 2; left++) {
		quota_ask_t *ask = quota_ask(quota, tenant, NULL, START_US);
		guint decided = sent.decided;

		assert_non_null(ask);
		assert_int_equal(sent.last.type, HOP_QUOTA_ASK);
		grant = sent.last;
		grant.type = HOP_QUOTA_GRANT;
		if (left)
			quota_abandon(ask);
		else
			quota_run(quota, START_US + SECOND_US / 10);
		assert_int_equal(sent.decided, decided + !left);
		quota_receive_grant(quota, "pool", &grant, START_US + SECOND_US / 10);
		assert_int_equal(sent.last.type, HOP_QUOTA_RETURN);
		assert_int_equal(sent.last.quota.count, 1);
		assert_int_equal(sent.decided, decided + !left);
	}
	assert_int_equal(sent.verdict, QUOTA_UNREACHABLE);
	quota_free(quota);
	tenants_free(tenants);
}

/* The other pools leave the list while this one waits for spare tokens of the first of them,
 * whichever that is. */
static void test_pools_leave(void **state)
{
	g_autoptr(GPtrArray) pools = g_ptr_array_new();
	g_autoptr(GPtrArray) none = g_ptr_array_new();
	const quota_vms_t vms = {.count = 3, .is_listed = true, .pools = pools, .others = none};
	const quota_vms_t alone = {.count = 1, .is_listed = true, .pools = none, .others = none};
	tenants_t *tenants = tenants_new();
	tenant_t *tenant = tenants_add(tenants, "t");
	const hop_message_t ask = {.type = HOP_QUOTA_ASK,
				   .quota = {.tenant = {.data = "t", .bytes = 1}, .count = 1}};
	sent_t sent = {.other_pool = "other pool"};
	quota_t *quota = quota_new(&tolerance, "vm", LISTED_AFTER_US, &recording, &sent, 1);
	uint64_t now_us = START_US;
	hop_message_t reply;

	(void)state;
	tenant->rate_per_s = 10;
	/* The pool lacks tokens all the while, whatever it is handed. */
	tenant->burst = 1000;
	g_ptr_array_add(pools, "vm");
	g_ptr_array_add(pools, "pool");
	g_ptr_array_add(pools, (gpointer)sent.other_pool);
	quota_set_tenants(quota, tenants);
	quota_set_vms(quota, &vms, now_us);
	quota_set_linked(quota, "pool", true);
	quota_set_linked(quota, sent.other_pool, true);
	for (; now_us < START_US + 3 * SECOND_US; now_us += SECOND_US / 10)
		quota_run(quota, now_us);
	/* Until the pool has no token left. */
	for (int i = 0; i < TAKEN_MAX; i++)
		quota_serve(quota, &ask, &reply, now_us);
	assert_true(sent.last.quota.spare);
	quota_set_vms(quota, &alone, now_us);
	for (uint64_t end_us = now_us + SECOND_US; now_us < end_us; now_us += SECOND_US / 100)
		quota_run(quota, now_us);
	quota_free(quota);
	tenants_free(tenants);
}

/* A VM that has just started accepts links before it has the configuration. Without it the VM knows
 * no quota, and must not admit what it does not limit; with another version it may. */
static void test_pool_without_configuration(void **state)
{
	const hop_message_t ask = {.type = HOP_QUOTA_ASK,
				   .serial = 1,
				   .quota = {.tenant = {.data = "t", .bytes = 1}, .count = 1}};
	quota_t *quota = quota_new(&tolerance, "pool", LISTED_AFTER_US, &recording, NULL, 1);
	tenants_t *tenants = tenants_new();
	hop_message_t reply;

	(void)state;
	assert_true(quota_serve(quota, &ask, &reply, START_US));
	assert_int_equal(reply.type, HOP_QUOTA_GRANT);
	assert_int_equal(reply.quota.count, 0);
	quota_set_tenants(quota, tenants);
	assert_true(quota_serve(quota, &ask, &reply, START_US));
	assert_int_equal(reply.quota.count, 1);
	quota_free(quota);
	tenants_free(tenants);
}

typedef struct size_case_t {
	guint vms, tenants;
	double per_s;
} size_case_t;

static const size_case_t sizes[] = {{6, 10, 60}, {75, 80, 120}, {986, 80, 300}, {2000, 200, 600}};

/* Small tenants have far fewer tokens than there are VMs, and must still get what they are owed. */
static void test_usual_demand(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		world_t *world = world_new(sizes[i].vms, sizes[i].tenants, sizes[i].per_s, 1);

		run(world, LEAD_US);
		world->demand_factor = 1;
		run(world, 20 * SECOND_US);
		assert_true(refused_share(world) <= REFUSED_SHARE_MAX);
		check_bound(world, "usual");
	}
}

/* Tenants send many times their quota: no more is admitted, and no less. */
static void test_hot_tenants(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		world_t *world = world_new(sizes[i].vms, sizes[i].tenants, sizes[i].per_s, 2);

		run(world, LEAD_US);
		world->demand_factor = 1;
		run(world, 5 * SECOND_US);
		world->demand_factor = 8;
		run(world, 10 * SECOND_US);
		check_bound(world, "hot");
	}
}

static void set_all_links(world_t *world, bool linked)
{
	for (guint i = 0; i < world->nodes->len; i++) {
		node_t *node = g_ptr_array_index(world->nodes, i);

		for (guint j = 0; j < MAY_POOL_COUNT; j++) {
			const node_t *other = g_ptr_array_index(world->nodes, j);

			quota_set_linked(node->quota, other->vm->name, linked);
		}
	}
}

/* Every VM is cut off from every other, and its shares are all that it has. */
static void test_all_cut_off(void **state)
{
	(void)state;
	for (size_t i = 1; i < G_N_ELEMENTS(sizes); i++) {
		world_t *world = world_new(sizes[i].vms, sizes[i].tenants, sizes[i].per_s, 3);

		run(world, LEAD_US);
		world->demand_factor = 8;
		run(world, 3 * SECOND_US);
		for (guint j = 0; j < world->nodes->len; j++)
			((node_t *)g_ptr_array_index(world->nodes, j))->group = j + 1;
		run(world, SILENCE_US);
		set_all_links(world, false);
		run(world, 6 * SECOND_US);
		for (guint j = 0; j < world->nodes->len; j++)
			((node_t *)g_ptr_array_index(world->nodes, j))->group = 0;
		set_all_links(world, true);
		run(world, 6 * SECOND_US);
		check_bound(world, "all cut off and back");
	}
}

static GPtrArray *pools_of_all(const world_t *world)
{
	const fleet_t fleet = {.vms = world->vms, .regions = world->regions};
	GPtrArray *nodes = g_ptr_array_new();

	for (guint i = 0; i < REGIONS; i++) {
		g_autoptr(GPtrArray) pools = quota_pools_in_region(&fleet, centres[i]);

		for (guint j = 0; j < QUOTA_POOLS_PER_REGION; j++) {
			const vm_t *vm = g_ptr_array_index(pools, j);

			g_ptr_array_add(nodes, find_node(world, vm->name));
		}
	}
	return nodes;
}

/* All pools are killed again and again; others take over, and the same ones come back. */
static void test_pools_lost(void **state)
{
	(void)state;
	for (size_t i = 1; i < G_N_ELEMENTS(sizes); i++) {
		world_t *world = world_new(sizes[i].vms, sizes[i].tenants, sizes[i].per_s, 4);
		g_autoptr(GPtrArray) pools = NULL;

		run(world, LEAD_US);
		pools = pools_of_all(world);
		world->demand_factor = 4;
		for (int round = 0; round < 4; round++) {
			for (guint j = 0; j < pools->len; j++)
				stop(g_ptr_array_index(pools, j));
			run(world, 2 * SECOND_US);
			for (guint j = 0; j < pools->len; j++)
				start(g_ptr_array_index(pools, j));
			run(world, 2 * SECOND_US);
		}
		check_bound(world, "pools lost and back");
	}
}

/* One of the two pools of each region is lost: the other has tokens for its requests. */
static void test_one_pool_lost(void **state)
{
	world_t *world = world_new(75, 80, 120, 5);
	g_autoptr(GPtrArray) pools = NULL;

	(void)state;
	run(world, LEAD_US);
	world->demand_factor = 1;
	run(world, 5 * SECOND_US);
	pools = pools_of_all(world);
	for (guint i = 0; i < pools->len; i += QUOTA_POOLS_PER_REGION)
		stop(g_ptr_array_index(pools, i));
	run(world, 10 * SECOND_US);
	assert_true(refused_share(world) <= 0.02);
	check_bound(world, "one pool lost");
}

/* More than half of the VMs are killed at once, and start again. */
static void test_most_killed(void **state)
{
	world_t *world = world_new(75, 80, 120, 6);

	(void)state;
	run(world, LEAD_US);
	world->demand_factor = 1;
	run(world, 5 * SECOND_US);
	for (guint i = 0; i < world->nodes->len; i++)
		if (i % 20 < 11)
			stop(g_ptr_array_index(world->nodes, i));
	run(world, 2 * SECOND_US);
	for (guint i = 0; i < world->nodes->len; i++)
		if (i % 20 < 11)
			start(g_ptr_array_index(world->nodes, i));
	run(world, 10 * SECOND_US);
	check_bound(world, "most killed");
}

/* All VMs are killed twice within a window, and start at once: none knows what was spent before. */
static void test_all_killed_twice(void **state)
{
	world_t *world = world_new(75, 80, 120, 10);

	(void)state;
	run(world, LEAD_US);
	world->demand_factor = 20;
	run(world, SECOND_US);
	for (int times = 0; times < 2; times++) {
		for (guint i = 0; i < world->nodes->len; i++)
			stop(g_ptr_array_index(world->nodes, i));
		run(world, SECOND_US / 5);
		for (guint i = 0; i < world->nodes->len; i++)
			start(g_ptr_array_index(world->nodes, i));
		run(world, 3 * SECOND_US / 2);
	}
	run(world, 5 * SECOND_US);
	check_bound(world, "all killed twice");
}

/* After all VMs had lost power, callers of small tenants must not wait until the pools have filled.
 */
static void test_after_power_loss(void **state)
{
	world_t *world = world_new(75, 80, 120, 11);

	(void)state;
	run(world, 2 * SECOND_US);
	world->demand_factor = 1;
	run(world, 3 * SECOND_US);
	check_bound(world, "after power loss");
}

/* VMs are added, and only half of the others know of them. */
static void test_lists_differ(void **state)
{
	world_t *world = world_new(75, 80, 120, 7);
	g_autoptr(GPtrArray) longer = NULL;

	(void)state;
	run(world, LEAD_US);
	world->demand_factor = 8;
	run(world, 5 * SECOND_US);
	for (int i = 0; i < 12; i++)
		add_node(world);
	longer = g_ptr_array_copy(world->vms, NULL, NULL);
	for (guint i = 75; i < world->nodes->len; i++) {
		node_t *node = g_ptr_array_index(world->nodes, i);

		node->list = longer;
		start(node);
	}
	for (guint i = 0; i < 75; i += 2)
		set_list(g_ptr_array_index(world->nodes, i), longer);
	run(world, 10 * SECOND_US);
	check_bound(world, "lists differ");
}

/* VMs stand still, the pools among them, and go on as if nothing had happened. */
static void test_suspended(void **state)
{
	world_t *world = world_new(75, 80, 120, 8);

	(void)state;
	run(world, LEAD_US);
	world->demand_factor = 8;
	run(world, 3 * SECOND_US);
	for (guint i = 0; i < world->nodes->len; i++)
		if (i % 3 == 0 || i < 6)
			((node_t *)g_ptr_array_index(world->nodes, i))->frozen_until_us =
				world->now_us + 4 * SECOND_US;
	run(world, 12 * SECOND_US);
	check_bound(world, "suspended");
}

/* All requests of all tenants come to one region. */
static void test_one_region(void **state)
{
	world_t *world = world_new(75, 80, 120, 9);
	g_autoptr(GPtrArray) near = g_ptr_array_new();

	(void)state;
	run(world, LEAD_US);
	for (guint i = 0; i < world->nodes->len; i++)
		if (((node_t *)g_ptr_array_index(world->nodes, i))->region == 0)
			g_ptr_array_add(near, g_ptr_array_index(world->nodes, i));
	world->callers = near;
	world->demand_factor = 1;
	run(world, 15 * SECOND_US);
	assert_true(refused_share(world) <= 0.02);
	check_bound(world, "one region");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_pool),
		cmocka_unit_test(test_pool_starts),
		cmocka_unit_test(test_lowered),
		cmocka_unit_test(test_spare),
		cmocka_unit_test(test_added_vm),
		cmocka_unit_test(test_late_grant),
		cmocka_unit_test(test_pool_without_configuration),
		cmocka_unit_test(test_pools_leave),
		cmocka_unit_test(test_usual_demand),
		cmocka_unit_test(test_hot_tenants),
		cmocka_unit_test(test_all_cut_off),
		cmocka_unit_test(test_pools_lost),
		cmocka_unit_test(test_one_pool_lost),
		cmocka_unit_test(test_most_killed),
		cmocka_unit_test(test_all_killed_twice),
		cmocka_unit_test(test_after_power_loss),
		cmocka_unit_test(test_lists_differ),
		cmocka_unit_test(test_suspended),
		cmocka_unit_test(test_one_region),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
