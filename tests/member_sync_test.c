/**
 * @file member_sync_test.c
 * How the VMs of a fleet learn the list of all VMs, in virtual time: a store with a link of limited
 * bandwidth and lists that lag behind, VMs of different sizes, and feeders chosen by
 * core/feed_choice.
 */
#include "core/feed_choice.h"
#include "core/member_sync.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>

#define MS_US 1000ull
#define START_US (100000 * MS_US)
#define CENTRES 6
#define REGIONS 3
#define ENTRY_BITS 2000ull
#define PAGE_ENTRIES 500
#define STORE_MBPS 1000
#define DELAY_US (15 * MS_US)
/* Lists from the store are up to this old. */
#define STALE_MAX_US (500 * MS_US)
#define CALL_TIMEOUT_US (1500 * MS_US)
/* A VM that has received nothing from its feeders for this time leaves them. */
#define FEED_TIMEOUT_US (1200 * MS_US)
#define FEED_RETRY_US (100 * MS_US)
/* A call that accepts a stale list costs a tenth. */
#define STALE_PRICE 0.1
/* What the users want a day to cost: 1,500 calls of 1,000 VMs. */
#define CALLS_PER_VM 1.5
/* After this time a VM that has found no feeder reads the lists of all objects itself. */
#define FIND_FEEDERS_US (5000 * MS_US)

struct sim_t;

typedef struct node_t {
	struct sim_t *sim;
	member_sync_t *sync;
	vm_t vm;
	char name[16];
	bool running;
	bool is_feeder;
	bool gave_up;	    /* no feeder has sent its list in time */
	GPtrArray *feeders; /* names, best first; NULL: none known */
	uint32_t feeders_tried;
	uint64_t asked_feeds_us; /* since when it tries these */
	struct node_t *feed;	 /* the feeder in use; NULL: none */
	GPtrArray *relayed;	 /* what a feeder's subscribers know */
	uint64_t listed_us;	 /* when it had a list of the whole fleet; 0: not yet */
} node_t;

typedef struct sim_t {
	uint64_t now_us;
	timers_t timers; /* event_t */
	GRand *rand;
	GHashTable *regions;
	node_t *nodes;
	GHashTable *by_name;
	uint32_t count;
	GPtrArray *stored[2];	   /* vm_t that the store lists, by member_list_t */
	GHashTable *written_at[2]; /* name to the time of its write */
	uint64_t store_free_us;	   /* when the store's link has sent all that was requested */
	uint64_t sent_bits;
	double price; /* of all calls, in calls */
} sim_t;

typedef void (*event_f)(sim_t *sim, node_t *node, uint64_t a, uint64_t b);

typedef struct event_t {
	timer_entry_t entry;
	sim_t *sim;
	node_t *node;
	event_f happens;
	uint64_t a, b;
} event_t;

static const char *const centres[CENTRES] = {"a1", "a2", "b1", "b2", "c1", "c2"};
static const char *const regions[CENTRES] = {"a", "a", "b", "b", "c", "c"};

static void on_event(void *ctx, uint64_t now_us)
{
	event_t *event = ctx;

	(void)now_us;
	event->happens(event->sim, event->node, event->a, event->b);
	g_free(event);
}

static void at(sim_t *sim, uint64_t at_us, event_f happens, node_t *node, uint64_t a, uint64_t b)
{
	event_t *event = g_new0(event_t, 1);

	*event = (event_t){.sim = sim, .node = node, .happens = happens, .a = a, .b = b};
	event->entry = (timer_entry_t){.fire = on_event, .ctx = event};
	timers_set(&sim->timers, &event->entry, at_us);
}

/* ---- the store ---- */

static void end_read(sim_t *sim, node_t *node, uint64_t list, uint64_t as_of_us)
{
	GPtrArray *vms = as_of_us ? vm_list_new() : NULL;

	for (guint i = 0; vms && i < sim->stored[list]->len; i++) {
		const vm_t *vm = g_ptr_array_index(sim->stored[list], i);
		const uint64_t *written_us = g_hash_table_lookup(sim->written_at[list], vm->name);

		if (*written_us <= as_of_us)
			g_ptr_array_add(vms, vm_new(vm));
	}
	member_sync_read_ended(node->sync, (member_list_t)list, vms, sim->now_us);
}

/* The pages of a list are sent one after the other, each on the store's link, which all share. */
static void read_page(sim_t *sim, node_t *node, uint64_t list, uint64_t first)
{
	uint64_t left = sim->stored[list]->len > first ? sim->stored[list]->len - first : 0;
	uint64_t entries = MIN(left, PAGE_ENTRIES), bits = entries * ENTRY_BITS;
	uint64_t sent_us = MAX(sim->now_us + DELAY_US, sim->store_free_us) + bits / STORE_MBPS;
	uint64_t arrives_us = sent_us + DELAY_US + bits / node->vm.link_mbps;

	sim->price += STALE_PRICE;
	sim->sent_bits += bits;
	sim->store_free_us = sent_us;
	if (arrives_us > sim->now_us + CALL_TIMEOUT_US)
		at(sim, sim->now_us + CALL_TIMEOUT_US, end_read, node, list, 0);
	else if (left > entries)
		at(sim, arrives_us, read_page, node, list, first + entries);
	else
		at(sim, arrives_us, end_read, node, list,
		   sim->now_us - (uint64_t)g_rand_int_range(sim->rand, 0, STALE_MAX_US));
}

static void end_read_own(sim_t *sim, node_t *node, uint64_t none, uint64_t none2)
{
	const vm_t *vm = vm_list_find(sim->stored[MEMBERS_ALL], node->name);
	GPtrArray *own = vm_list_new();

	(void)none;
	(void)none2;
	if (vm)
		vm_list_put(own, vm_new(vm));
	member_sync_read_ended(node->sync, MEMBERS_OWN, own, sim->now_us);
}

static void on_read(void *ctx, member_list_t list)
{
	node_t *node = ctx;
	sim_t *sim = node->sim;

	if (list != MEMBERS_OWN) {
		read_page(sim, node, list, 0);
		return;
	}
	sim->price += STALE_PRICE;
	at(sim, sim->now_us + 2 * DELAY_US, end_read_own, node, 0, 0);
}

static void store_write(sim_t *sim, node_t *node, uint64_t list, uint64_t write)
{
	GHashTable *written_at = sim->written_at[list];
	bool exists = vm_list_find(sim->stored[list], node->name);
	member_result_t result = MEMBER_WRITTEN;

	if (write == MEMBER_CREATE && exists) {
		result = MEMBER_EXISTS;
	} else if (write == MEMBER_DELETE) {
		vm_list_remove(sim->stored[list], node->name);
	} else {
		vm_list_put(sim->stored[list], vm_new(&node->vm));
		g_hash_table_insert(written_at, node->name,
				    g_memdup2(&sim->now_us, sizeof(sim->now_us)));
	}
	member_sync_write_ended(node->sync, (member_list_t)list, result, sim->now_us);
}

static void on_write(void *ctx, member_list_t list, member_write_t write)
{
	node_t *node = ctx;

	node->sim->price++;
	at(node->sim, node->sim->now_us + 2 * DELAY_US, store_write, node, list, write);
}

/* ---- feeds ---- */

static GPtrArray *copy_list(const GPtrArray *vms)
{
	GPtrArray *copy = vm_list_new();

	for (guint i = 0; i < vms->len; i++)
		g_ptr_array_add(copy, vm_new(g_ptr_array_index(vms, i)));
	return copy;
}

static void try_feeders(sim_t *sim, node_t *node, uint64_t none, uint64_t none2);

static void receive_list(sim_t *sim, node_t *node, uint64_t from, uint64_t none)
{
	node_t *feeder = (node_t *)(uintptr_t)from;

	(void)none;
	if (!feeder->relayed) {
		try_feeders(sim, node, 0, 0);
		return;
	}
	node->feed = feeder;
	member_sync_receive_list(node->sync, copy_list(feeder->relayed), sim->now_us);
}

static void try_feeders(sim_t *sim, node_t *node, uint64_t none, uint64_t none2)
{
	node_t *feeder = g_hash_table_lookup(
		sim->by_name,
		g_ptr_array_index(node->feeders, node->feeders_tried++ % node->feeders->len));

	if (node->feed)
		return;
	member_sync_subscribed(feeder->sync, sim->now_us);
	if (feeder->relayed) {
		at(sim,
		   sim->now_us + 2 * DELAY_US +
			   feeder->relayed->len * ENTRY_BITS / node->vm.link_mbps,
		   receive_list, node, (uint64_t)(uintptr_t)feeder, 0);
		return;
	}
	if (sim->now_us < node->asked_feeds_us + FEED_TIMEOUT_US)
		at(sim, sim->now_us + FEED_RETRY_US, try_feeders, node, none, none2);
	else
		node->gave_up = true;
}

static void use_feeders(node_t *node, const GPtrArray *ordered)
{
	sim_t *sim = node->sim;
	bool tries = node->feeders || node->feed;

	if (node->feeders)
		g_ptr_array_unref(node->feeders);
	node->feeders = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i < ordered->len; i++)
		g_ptr_array_add(node->feeders,
				g_strdup(((const vm_t *)g_ptr_array_index(ordered, i))->name));
	if (tries)
		return;
	node->asked_feeds_us = sim->now_us;
	at(sim, sim->now_us, try_feeders, node, 0, 0);
}

static void on_found_feeders(void *ctx, const GPtrArray *feeders)
{
	node_t *node = ctx;
	const feed_vms_t listed = {.vms = feeders, .regions = node->sim->regions};
	g_autoptr(GPtrArray) ordered =
		feed_order_feeders(&listed, node->name, node->vm.data_centre);

	use_feeders(node, ordered);
}

static void on_registered(void *ctx, bool written)
{
	(void)ctx;
	(void)written;
}

static bool on_awaits_feed(void *ctx)
{
	return !((node_t *)ctx)->gave_up;
}

/** A change of a feeder's list, and the feeder. */
typedef struct relay_t {
	node_t *feeder;
} relay_t;

static void relay_change(void *ctx, const char *name, const vm_t *vm)
{
	node_t *feeder = ((const relay_t *)ctx)->feeder;
	sim_t *sim = feeder->sim;

	for (uint32_t i = 0; i < sim->count; i++) {
		node_t *node = &sim->nodes[i];

		if (node->feed != feeder)
			continue;
		if (vm)
			member_sync_receive_vm(node->sync, vm_new(vm), sim->now_us);
		else
			member_sync_receive_removal(node->sync, name, sim->now_us);
	}
}

static void relay_list(node_t *feeder, const GPtrArray *vms)
{
	relay_t relay = {.feeder = feeder};

	if (feeder->relayed) {
		vm_list_compare(feeder->relayed, vms, relay_change, &relay);
		g_ptr_array_unref(feeder->relayed);
	}
	feeder->relayed = copy_list(vms);
	for (uint32_t i = 0; i < feeder->sim->count; i++)
		if (feeder->sim->nodes[i].feed == feeder)
			member_sync_receive_age(feeder->sim->nodes[i].sync, 0, feeder->sim->now_us);
}

/* A VM that is no longer chosen as a feeder is fed itself; its subscribers look for another feeder.
 */
static void stop_relaying(node_t *feeder)
{
	sim_t *sim = feeder->sim;

	for (uint32_t i = 0; feeder->relayed && i < sim->count; i++) {
		node_t *node = &sim->nodes[i];

		if (node->feed != feeder)
			continue;
		node->feed = NULL;
		member_sync_feed_ended(node->sync);
		node->asked_feeds_us = sim->now_us;
		at(sim, sim->now_us + FEED_RETRY_US, try_feeders, node, 0, 0);
	}
	g_clear_pointer(&feeder->relayed, g_ptr_array_unref);
}

static void on_changed(void *ctx)
{
	node_t *node = ctx;
	sim_t *sim = node->sim;
	const GPtrArray *vms = member_sync_vms(node->sync);
	const feed_vms_t all = {.vms = vms, .regions = sim->regions};
	g_autoptr(GPtrArray) feeders = feed_choose_feeders(&all, node->name, node->vm.data_centre);
	bool is_feeder = !feeders->len && feed_is_used(&all, node->vm.data_centre);

	if (vms->len == sim->count && !node->listed_us)
		node->listed_us = sim->now_us;
	if (is_feeder != node->is_feeder || is_feeder)
		member_sync_set_feeder(node->sync, is_feeder);
	node->is_feeder = is_feeder;
	if (is_feeder) {
		relay_list(node, vms);
		return;
	}
	stop_relaying(node);
	if (feeders->len)
		use_feeders(node, feeders);
}

/* ---- simulation ---- */

static void start_node(sim_t *sim, node_t *node, uint64_t none, uint64_t none2)
{
	(void)none;
	(void)none2;
	node->running = true;
	member_sync_start(node->sync, sim->now_us);
}

static void run_until(sim_t *sim, uint64_t end_us)
{
	for (;;) {
		uint64_t next_us = timers_next_us(&sim->timers);

		for (uint32_t i = 0; i < sim->count; i++)
			if (sim->nodes[i].running)
				next_us = MIN(next_us, member_sync_next_us(sim->nodes[i].sync));
		if (next_us > end_us)
			break;
		sim->now_us = MAX(sim->now_us, next_us);
		timers_run(&sim->timers, sim->now_us);
		for (uint32_t i = 0; i < sim->count; i++)
			if (sim->nodes[i].running)
				member_sync_run(sim->nodes[i].sync, sim->now_us);
	}
	sim->now_us = end_us;
}

/** @param large one VM in this many is large; 0: none */
static sim_t *sim_new(uint32_t count, uint32_t large, uint32_t seed)
{
	static const member_sync_ops_t ops = {.read = on_read,
					      .write = on_write,
					      .found_feeders = on_found_feeders,
					      .registered = on_registered,
					      .awaits_feed = on_awaits_feed,
					      .changed = on_changed};
	sim_t *sim = g_new0(sim_t, 1);

	sim->now_us = START_US;
	sim->rand = g_rand_new_with_seed(seed);
	timers_init(&sim->timers);
	sim->regions = g_hash_table_new(g_str_hash, g_str_equal);
	for (size_t i = 0; i < CENTRES; i++)
		g_hash_table_insert(sim->regions, (gpointer)centres[i], (gpointer)regions[i]);
	sim->nodes = g_new0(node_t, count);
	sim->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	sim->count = count;
	for (int list = 0; list < 2; list++) {
		sim->stored[list] = vm_list_new();
		sim->written_at[list] =
			g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	}
	for (uint32_t i = 0; i < count; i++) {
		node_t *node = &sim->nodes[i];
		bool is_large = large && i % large == 0;

		*node = (node_t){.sim = sim};
		snprintf(node->name, sizeof(node->name), "vm-%05u", i);
		node->vm = (vm_t){.name = node->name,
				  .data_centre = (char *)centres[i / 7 % CENTRES],
				  .address = "127.0.0.1",
				  .feed_port = 1,
				  .gather_port = 2,
				  .link_mbps = is_large ? 1000 : 20,
				  .processor_milli = is_large ? 1000 : 120};
		g_hash_table_insert(sim->by_name, node->name, node);
		node->sync = member_sync_new(vm_new(&node->vm), sim->regions, &ops, node, seed + i);
	}
	return sim;
}

static void start_all(sim_t *sim)
{
	for (uint32_t i = 0; i < sim->count; i++)
		at(sim, sim->now_us + (uint64_t)g_rand_int_range(sim->rand, 0, 300 * MS_US),
		   start_node, &sim->nodes[i], 0, 0);
}

static void sim_free(sim_t *sim)
{
	for (uint32_t i = 0; i < sim->count; i++) {
		node_t *node = &sim->nodes[i];

		member_sync_free(node->sync);
		if (node->feeders)
			g_ptr_array_unref(node->feeders);
		if (node->relayed)
			g_ptr_array_unref(node->relayed);
	}
	while (sim->timers.heap->len) {
		event_t *event = ((timer_entry_t *)g_ptr_array_index(sim->timers.heap, 0))->ctx;

		timers_cancel(&sim->timers, &event->entry);
		g_free(event);
	}
	timers_clear(&sim->timers);
	for (int list = 0; list < 2; list++) {
		g_ptr_array_unref(sim->stored[list]);
		g_hash_table_unref(sim->written_at[list]);
	}
	g_hash_table_unref(sim->regions);
	g_hash_table_unref(sim->by_name);
	g_rand_free(sim->rand);
	g_free(sim->nodes);
	g_free(sim);
}

/* Lists the entries of a fleet that ran before, of the feeders too. */
static void store_entries(sim_t *sim, member_list_t list, const GPtrArray *vms)
{
	for (guint i = 0; i < vms->len; i++) {
		const vm_t *vm = g_ptr_array_index(vms, i);
		const uint64_t written_us = 1;

		vm_list_put(sim->stored[list], vm_new(vm));
		g_hash_table_insert(sim->written_at[list], (gpointer)vm->name,
				    g_memdup2(&written_us, sizeof(written_us)));
	}
}

static void store_fleet(sim_t *sim)
{
	g_autoptr(GPtrArray) all = g_ptr_array_new();
	g_autoptr(GPtrArray) feeders = g_ptr_array_new();
	const feed_vms_t listed = {.vms = all, .regions = sim->regions};

	for (uint32_t i = 0; i < sim->count; i++)
		g_ptr_array_add(all, &sim->nodes[i].vm);
	for (uint32_t i = 0; i < sim->count; i++) {
		g_autoptr(GPtrArray) others = feed_choose_feeders(&listed, sim->nodes[i].name,
								  sim->nodes[i].vm.data_centre);

		if (!others->len)
			g_ptr_array_add(feeders, &sim->nodes[i].vm);
	}
	store_entries(sim, MEMBERS_ALL, all);
	store_entries(sim, MEMBERS_FEEDERS, feeders);
}

/* Checks that all VMs know all, and what that took. */
static void check_start(const sim_t *sim, const char *what)
{
	uint64_t last_us = 0;
	uint32_t feeders = 0, gave_up = 0;

	for (uint32_t i = 0; i < sim->count; i++) {
		const node_t *node = &sim->nodes[i];

		assert_true(member_sync_is_registered(node->sync));
		assert_int_equal(member_sync_vms(node->sync)->len, sim->count);
		gave_up += node->gave_up;
		last_us = MAX(last_us, node->listed_us - START_US);
		feeders += node->is_feeder;
	}
	print_message("%u VMs, %u feeders, %s: %.2f calls a VM, %.2f s of the store's link, "
		      "all listed after %.2f s, %u gave up\n",
		      sim->count, feeders, what, sim->price / sim->count,
		      (double)sim->sent_bits / STORE_MBPS / 1e6, (double)last_us / 1e6, gave_up);
	assert_int_equal(gave_up, 0);
	assert_true(last_us < FIND_FEEDERS_US);
}

static const struct {
	uint32_t vms, large;
} fleets[] = {{100, 20}, {1000, 20}, {2000, 0}};

/* All VMs of a new fleet start together. If each read the list from the store whenever others may
 * have registered, the bytes would grow with the square of the fleet, and the reads would time out.
 */
static void test_new_fleet(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(fleets); i++) {
		sim_t *sim = sim_new(fleets[i].vms, fleets[i].large, 11);

		start_all(sim);
		run_until(sim, START_US + 8000 * MS_US);
		check_start(sim, fleets[i].large ? "new" : "new, all small");
		assert_true(sim->price <= CALLS_PER_VM * sim->count);
		sim_free(sim);
	}
}

/* All VMs are restarted together: each finds its feeders by one call, and feeders read the list. */
static void test_restarted_fleet(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(fleets); i++) {
		sim_t *sim = sim_new(fleets[i].vms, fleets[i].large, 12);

		store_fleet(sim);
		start_all(sim);
		run_until(sim, START_US + 8000 * MS_US);
		check_start(sim, fleets[i].large ? "restarted" : "restarted, all small");
		assert_true(sim->price <= (1 + STALE_PRICE) * sim->count);
		sim_free(sim);
	}
}

/* While nothing changes, only feeders read the list. A VM that is added or removed is known to all
 * after their next read. */
static void test_running_fleet(void **state)
{
	const uint64_t minute_us = 60000 * MS_US;
	sim_t *sim = sim_new(1001, 20, 13);
	node_t *added = &sim->nodes[1000];
	double price;

	(void)state;
	sim->count = 1000;
	start_all(sim);
	run_until(sim, START_US + 8000 * MS_US);
	price = sim->price;
	run_until(sim, sim->now_us + minute_us);
	price = (sim->price - price) / sim->count;
	print_message("%u VMs, running: %.3f calls a VM and minute\n", sim->count, price);
	assert_true(price <= STALE_PRICE);
	sim->count = 1001;
	start_node(sim, added, 0, 0);
	vm_list_remove(sim->stored[MEMBERS_ALL], sim->nodes[17].name);
	run_until(sim, sim->now_us + 15000 * MS_US);
	for (uint32_t i = 0; i < sim->count; i++) {
		const GPtrArray *vms = member_sync_vms(sim->nodes[i].sync);

		assert_non_null(vm_list_find(vms, added->name));
		assert_int_equal(vm_list_find(vms, sim->nodes[17].name) != NULL, i == 17);
	}
	sim_free(sim);
}

/* The calls of one VM, in the order of the calls. */
typedef struct calls_t {
	GString *made;
	bool awaits_feed;
	GHashTable *regions;
	member_sync_t *sync;
} calls_t;

static void log_read(void *ctx, member_list_t list)
{
	g_string_append_printf(((calls_t *)ctx)->made, "read %d; ", list);
}

static void log_write(void *ctx, member_list_t list, member_write_t write)
{
	g_string_append_printf(((calls_t *)ctx)->made, "write %d %d; ", list, write);
}

static void log_found(void *ctx, const GPtrArray *feeders)
{
	g_string_append_printf(((calls_t *)ctx)->made, "found %u; ", feeders->len);
}

static bool log_awaits(void *ctx)
{
	return ((calls_t *)ctx)->awaits_feed;
}

static void log_changed(void *ctx)
{
	g_string_append(((calls_t *)ctx)->made, "changed; ");
}

static const member_sync_ops_t log_ops = {.read = log_read,
					  .write = log_write,
					  .found_feeders = log_found,
					  .registered = on_registered,
					  .awaits_feed = log_awaits,
					  .changed = log_changed};

static vm_t *vm_named(const char *name)
{
	const vm_t vm = {.name = (char *)name,
			 .data_centre = "a1",
			 .address = "127.0.0.1",
			 .feed_port = 1,
			 .link_mbps = 20};

	return vm_new(&vm);
}

static GPtrArray *list_of(const char *first, const char *second)
{
	GPtrArray *vms = vm_list_new();

	vm_list_put(vms, vm_named(first));
	vm_list_put(vms, vm_named(second));
	return vms;
}

static void expect_calls(calls_t *calls, const char *expected)
{
	assert_string_equal(calls->made->str, expected);
	g_string_truncate(calls->made, 0);
}

/* Starts the VM "own", which reads the list of feeders. */
static member_sync_t *calls_start(calls_t *calls)
{
	*calls = (calls_t){.made = g_string_new(NULL),
			   .awaits_feed = true,
			   .regions = g_hash_table_new(g_str_hash, g_str_equal)};
	calls->sync = member_sync_new(vm_named("own"), calls->regions, &log_ops, calls, 1);
	member_sync_start(calls->sync, START_US);
	member_sync_run(calls->sync, START_US);
	expect_calls(calls, "read 1; ");
	return calls->sync;
}

static void calls_end(calls_t *calls)
{
	member_sync_free(calls->sync);
	g_hash_table_unref(calls->regions);
	g_string_free(calls->made, TRUE);
}

/* What a VM does when its feeders were restarted at other addresses, or their lists stop coming. */
static void test_feeders_fail(void **state)
{
	calls_t calls;
	member_sync_t *sync = calls_start(&calls);
	uint64_t now_us = START_US;

	(void)state;
	member_sync_read_ended(sync, MEMBERS_FEEDERS, list_of("f1", "f2"), now_us);
	expect_calls(&calls, "found 2; ");
	assert_non_null(member_sync_find(sync, "f1"));
	assert_int_equal(member_sync_vms(sync)->len, 0);
	member_sync_run(sync, now_us += 5000 * MS_US);
	expect_calls(&calls, "");
	/* No feeder answers. */
	calls.awaits_feed = false;
	member_sync_run(sync, now_us += 1000 * MS_US);
	expect_calls(&calls, "read 0; ");
	member_sync_read_ended(sync, MEMBERS_ALL, list_of("f1", "own"), now_us);
	expect_calls(&calls, "changed; ");
	/* A feeder sends a list from before this VM registered. */
	member_sync_receive_list(sync, list_of("f1", "f2"), now_us);
	expect_calls(&calls, "changed; ");
	assert_int_equal(member_sync_vms(sync)->len, 3);
	member_sync_receive_age(sync, 1000 * MS_US, now_us);
	for (int i = 0; i < 4; i++) {
		member_sync_run(sync, now_us += 12000 * MS_US);
		member_sync_receive_age(sync, 1000 * MS_US, now_us);
	}
	expect_calls(&calls, "");
	/* Its list is no longer read, or its link is closed. */
	member_sync_run(sync, now_us += 12000 * MS_US);
	expect_calls(&calls, "");
	member_sync_run(sync, now_us += 12000 * MS_US);
	expect_calls(&calls, "read 0; ");
	member_sync_read_ended(sync, MEMBERS_ALL, list_of("f1", "own"), now_us);
	member_sync_receive_age(sync, 0, now_us);
	member_sync_feed_ended(sync);
	g_string_truncate(calls.made, 0);
	member_sync_run(sync, now_us += 12000 * MS_US);
	expect_calls(&calls, "read 0; ");
	calls_end(&calls);
}

/* The store was restored from a copy that lacks this VM. Feeders retain the VMs that it has lost.
 */
static void test_restored_store(void **state)
{
	calls_t calls;
	member_sync_t *sync = calls_start(&calls);
	uint64_t now_us = START_US;

	(void)state;
	member_sync_read_ended(sync, MEMBERS_FEEDERS, list_of("f1", "f2"), now_us);
	member_sync_receive_list(sync, list_of("f1", "own"), now_us);
	expect_calls(&calls, "found 2; changed; ");
	member_sync_restored(sync, now_us);
	member_sync_receive_list(sync, list_of("f1", "own"), now_us);
	expect_calls(&calls, "");
	member_sync_run(sync, now_us += 4000 * MS_US);
	expect_calls(&calls, "read 0; ");
	member_sync_read_ended(sync, MEMBERS_ALL, list_of("f1", "f2"), now_us);
	expect_calls(&calls, "write 0 0; ");
	assert_non_null(vm_list_find(member_sync_vms(sync), "own"));
	member_sync_write_ended(sync, MEMBERS_ALL, MEMBER_WRITTEN, now_us);
	expect_calls(&calls, "changed; ");
	assert_true(member_sync_is_registered(sync));
	calls_end(&calls);
}

/* The store is down when the VM starts: one call a try, and the list of feeders first once it is
 * back. */
static void test_start_without_store(void **state)
{
	calls_t calls;
	member_sync_t *sync = calls_start(&calls);
	uint64_t now_us = START_US;

	(void)state;
	for (int i = 0; i < 3; i++) {
		member_sync_read_ended(sync, MEMBERS_FEEDERS, NULL, now_us);
		expect_calls(&calls, "");
		member_sync_run(sync, now_us += 1000 * MS_US);
		expect_calls(&calls, "read 1; ");
	}
	member_sync_read_ended(sync, MEMBERS_FEEDERS, NULL, now_us);
	expect_calls(&calls, "read 2; ");
	member_sync_read_ended(sync, MEMBERS_OWN, NULL, now_us);
	member_sync_run(sync, now_us += 1000 * MS_US);
	expect_calls(&calls, "read 1; ");
	member_sync_read_ended(sync, MEMBERS_FEEDERS, list_of("f1", "f2"), now_us);
	expect_calls(&calls, "found 2; ");
	calls_end(&calls);
}

/* A VM's entry among the feeders follows its role, also when an earlier run of it left another. */
static void test_own_feeder_entry(void **state)
{
	calls_t calls;
	member_sync_t *sync = calls_start(&calls);
	GPtrArray *entries = list_of("f1", "f2");
	vm_t *earlier = vm_named("own");

	(void)state;
	earlier->feed_port = 7;
	vm_list_put(entries, earlier);
	member_sync_read_ended(sync, MEMBERS_FEEDERS, entries, START_US);
	/* It is a feeder itself, and reads the list for the others. */
	expect_calls(&calls, "read 2; ");
	member_sync_set_feeder(sync, true);
	member_sync_set_feeder(sync, true);
	expect_calls(&calls, "write 1 1; ");
	member_sync_write_ended(sync, MEMBERS_FEEDERS, MEMBER_WRITTEN, START_US);
	member_sync_set_feeder(sync, true);
	expect_calls(&calls, "");
	member_sync_set_feeder(sync, false);
	expect_calls(&calls, "write 1 2; ");
	member_sync_write_ended(sync, MEMBERS_FEEDERS, MEMBER_FAILED, START_US);
	member_sync_set_feeder(sync, false);
	expect_calls(&calls, "write 1 2; ");
	member_sync_write_ended(sync, MEMBERS_FEEDERS, MEMBER_WRITTEN, START_US);
	member_sync_set_feeder(sync, false);
	expect_calls(&calls, "");
	member_sync_set_feeder(sync, true);
	expect_calls(&calls, "write 1 0; ");
	member_sync_write_ended(sync, MEMBERS_FEEDERS, MEMBER_EXISTS, START_US);
	member_sync_set_feeder(sync, true);
	expect_calls(&calls, "write 1 1; ");
	calls_end(&calls);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_new_fleet),	 cmocka_unit_test(test_restarted_fleet),
		cmocka_unit_test(test_running_fleet),	 cmocka_unit_test(test_feeders_fail),
		cmocka_unit_test(test_restored_store),	 cmocka_unit_test(test_start_without_store),
		cmocka_unit_test(test_own_feeder_entry),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
