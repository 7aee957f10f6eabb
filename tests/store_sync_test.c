/**
 * @file store_sync_test.c
 * The sources that VMs use for the store's data, simulated in virtual time: a store that becomes
 * unreachable in several ways, calls and links with a delay, and VMs that decide by
 * core/store_sync.
 */
#include "core/store_sync.h"
#include "core/timers.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>

#define MS_US 1000ull
#define KINDS 3
#define KIND_SEARCHERS 0
#define KIND_CONFIGURATION 1
#define KIND_RARE 2 /* watched with a long wait */
#define VMS_MAX 2000
/* A watch of KIND_RARE, with its slack. It may be the only pending call when its connection goes
 * silent, and nothing else shows that. */
#define RARE_US (20700 * MS_US)
#define STATUS_US (500 * MS_US)
/* One-way delay, including the connection that a call may need. */
#define DELAY_US (20 * MS_US)
/* A subscriber closes a link that was silent for this time. */
#define LINK_TIMEOUT_US (1700 * MS_US)
#define START_US (100000 * MS_US)
#define OUTAGES_MAX 4

/** How the store, or the network path to it, fails. */
typedef enum failure_t { SILENT, BUSY, RESET, SLOW, ANSWERS_LOST, FAILURES } failure_t;

/** A set of VMs, one bit each; only for the first 64. */
typedef uint64_t vm_set_t;

/** A failure of the store for some VMs, for a time. */
typedef struct outage_t {
	failure_t failure;
	vm_set_t vms;
	uint64_t from_us, until_us;
} outage_t;

struct sim_t;

typedef struct call_t {
	uint32_t serial; /* 0: no call is pending */
	store_sync_call_t asked;
	uint64_t since; /* revision that a watch starts from */
	bool waits;	/* the watch waits at the store for a change */
	uint64_t answered_us;
	bool dead; /* its connection has gone silent; the next call would use it too */
} call_t;

typedef struct node_t {
	struct sim_t *sim;
	uint32_t number;
	store_sync_t *sync;
	call_t calls[KINDS];
	uint64_t known[KINDS]; /* revision */
	uint32_t pages[KINDS]; /* of the list that is being read, so far */
	uint32_t asked;	       /* calls so far, including store checks */
	uint32_t asked_lists;  /* of them, pages of lists */
	uint32_t links;	       /* opened so far */
	uint32_t feeds;	       /* taken so far */
	uint32_t asked_links;  /* requests to links for announced objects */
	bool cut;	       /* cut off from the other VMs */
	vm_t vm;
	char name[8];
} node_t;

typedef struct sim_t {
	uint64_t now_us;
	timers_t timers; /* event_t */
	GRand *rand;
	outage_t outages[OUTAGES_MAX];
	uint32_t outage_count;
	uint64_t revision[KINDS];
	node_t nodes[VMS_MAX];
	uint32_t count;
	uint32_t serial;
	uint32_t list_pages; /* that a whole list takes, each a call; 0: one */
} sim_t;

typedef void (*event_f)(sim_t *sim, node_t *node, uint64_t a, uint64_t b);

typedef struct event_t {
	timer_entry_t entry;
	sim_t *sim;
	node_t *node;
	event_f happens;
	uint64_t a, b;
} event_t;

static void on_event(void *ctx, uint64_t now_us)
{
	event_t *event = ctx;
	sim_t *sim = event->sim;

	(void)now_us;
	event->happens(sim, event->node, event->a, event->b);
	g_free(event);
}

static void after(sim_t *sim, uint64_t delay_us, event_f happens, node_t *node, uint64_t a,
		  uint64_t b)
{
	event_t *event = g_new0(event_t, 1);

	*event = (event_t){.sim = sim, .node = node, .happens = happens, .a = a, .b = b};
	event->entry = (timer_entry_t){.fire = on_event, .ctx = event};
	timers_set(&sim->timers, &event->entry, sim->now_us + delay_us);
}

/* ---- the store ---- */

static const outage_t *outage_of(const sim_t *sim, const node_t *node)
{
	for (uint32_t i = 0; i < sim->outage_count; i++)
		if ((sim->outages[i].vms >> node->number & 1) &&
		    sim->now_us >= sim->outages[i].from_us &&
		    sim->now_us < sim->outages[i].until_us)
			return &sim->outages[i];
	return NULL;
}

static void reply(sim_t *sim, node_t *node, uint64_t kind, uint64_t serial);

static uint64_t delay_of(const sim_t *sim, const node_t *node)
{
	const outage_t *outage = outage_of(sim, node);

	return outage && outage->failure == SLOW ? DELAY_US * 15 : DELAY_US;
}

static void end_watch(sim_t *sim, node_t *node, uint64_t kind, uint64_t serial)
{
	call_t *call = &node->calls[kind];
	const outage_t *outage = outage_of(sim, node);

	if (call->serial != serial || !call->waits)
		return;
	call->waits = false;
	if (!outage || outage->failure == SLOW || outage->failure == BUSY)
		after(sim, delay_of(sim, node), reply, node, kind, serial);
}

static void refuse(sim_t *sim, node_t *node, uint64_t kind, uint64_t serial)
{
	(void)sim;
	if (node->calls[kind].serial != serial)
		return;
	node->calls[kind].serial = 0;
	store_sync_call_ended(node->sync, (uint32_t)kind, STORE_SYNC_FAILED, sim->now_us);
}

static void arrive(sim_t *sim, node_t *node, uint64_t kind, uint64_t serial)
{
	call_t *call = &node->calls[kind];
	const outage_t *outage = outage_of(sim, node);

	if (call->serial != serial || call->dead ||
	    (outage && (outage->failure == SILENT || outage->failure == ANSWERS_LOST)))
		return;
	if (outage && outage->failure != SLOW) {
		after(sim, DELAY_US, refuse, node, kind, serial);
		return;
	}
	call->waits = !call->asked.list && sim->revision[kind] <= call->since;
	if (call->waits)
		after(sim, call->asked.wait_ms * MS_US, end_watch, node, kind, serial);
	else
		after(sim, delay_of(sim, node), reply, node, kind, serial);
}

static void send_to_subscribers(sim_t *sim, const node_t *node, bool new_ones);
static void send_page(sim_t *sim, const node_t *node, uint64_t kind);

static void update(sim_t *sim, node_t *node, uint32_t kind, uint64_t revision)
{
	if (revision <= node->known[kind])
		return;
	node->known[kind] = revision;
	if (store_sync_watches(node->sync))
		send_to_subscribers(sim, node, false);
}

/* Whether a page of a list was not the last one. */
static bool has_more_pages(const sim_t *sim, node_t *node, uint64_t kind)
{
	if (++node->pages[kind] < sim->list_pages)
		return true;
	node->pages[kind] = 0;
	return false;
}

static void reply(sim_t *sim, node_t *node, uint64_t kind, uint64_t serial)
{
	call_t *call = &node->calls[kind];
	const outage_t *outage = outage_of(sim, node);
	bool changed = sim->revision[kind] > call->since;
	store_sync_result_t end = call->asked.list ? STORE_SYNC_LISTED
				  : changed	   ? STORE_SYNC_CHANGED
						   : STORE_SYNC_OK;
	bool was_starting;

	if (call->serial != serial || call->dead ||
	    (outage && (outage->failure == SILENT || outage->failure == ANSWERS_LOST)))
		return;
	call->serial = 0;
	call->answered_us = sim->now_us;
	if (call->asked.list && has_more_pages(sim, node, kind)) {
		store_sync_call_ended(node->sync, (uint32_t)kind, STORE_SYNC_OK, sim->now_us);
		send_page(sim, node, kind);
		return;
	}
	call->since = sim->revision[kind];
	update(sim, node, (uint32_t)kind, sim->revision[kind]);
	was_starting = store_sync_is_starting(node->sync);
	store_sync_call_ended(node->sync, (uint32_t)kind, end, sim->now_us);
	if (was_starting && store_sync_has_data(node->sync))
		send_to_subscribers(sim, node, true);
}

static void time_out(sim_t *sim, node_t *node, uint64_t kind, uint64_t serial)
{
	if (node->calls[kind].serial != serial)
		return;
	node->calls[kind].serial = 0;
	node->calls[kind].dead = false;
	store_sync_call_ended(node->sync, (uint32_t)kind, STORE_SYNC_TIMED_OUT, sim->now_us);
}

static void change(sim_t *sim, node_t *node, uint64_t kind, uint64_t none)
{
	(void)node;
	(void)none;
	sim->revision[kind]++;
	for (uint32_t i = 0; i < sim->count; i++)
		end_watch(sim, &sim->nodes[i], kind, sim->nodes[i].calls[kind].serial);
}

static void change_all(sim_t *sim)
{
	for (uint32_t kind = 0; kind < KINDS; kind++)
		change(sim, NULL, kind, 0);
}

/* Calls that are pending or wait at the store are never answered; later ones may be. */
static void swallow(sim_t *sim, node_t *node, uint64_t mask, uint64_t none)
{
	(void)node;
	(void)none;
	for (uint32_t i = 0; i < sim->count; i++)
		for (uint32_t kind = 0; kind < KINDS; kind++)
			if (mask >> i & 1)
				sim->nodes[i].calls[kind].waits = false;
}

/* All connections of these VMs to the store, in use or idle, go silent for good. */
static void silence_connections(sim_t *sim, vm_set_t vms)
{
	swallow(sim, NULL, vms, 0);
	for (uint32_t i = 0; i < sim->count; i++)
		for (uint32_t kind = 0; kind < KINDS; kind++)
			sim->nodes[i].calls[kind].dead |= vms >> i & 1;
}

static void add_outage(sim_t *sim, failure_t failure, vm_set_t vms, uint64_t from_us,
		       uint64_t for_us)
{
	sim->outages[sim->outage_count++] = (outage_t){
		.failure = failure, .vms = vms, .from_us = from_us, .until_us = from_us + for_us};
	if (failure == SILENT || failure == ANSWERS_LOST)
		after(sim, from_us - sim->now_us, swallow, NULL, vms, 0);
}

/* ---- links ---- */

typedef struct link_t {
	node_t *from, *to; /* the subscriber, and its feeder */
	store_sync_link_t *link;
	uint64_t received_us;
	bool greeted;
	bool lists;
} link_t;

static GPtrArray *links;	/* link_t that are open */
static GPtrArray *closed_links; /* messages to them may still be under way */

static void message(sim_t *sim, node_t *node, uint64_t a, uint64_t b);

static bool is_open(const link_t *link)
{
	return g_ptr_array_find(links, link, NULL);
}

static void send(sim_t *sim, link_t *link)
{
	if (!link->to->cut && !link->from->cut)
		after(sim, DELAY_US, message, link->from, (uint64_t)(uintptr_t)link, 0);
}

static void status_due(sim_t *sim, node_t *node, uint64_t a, uint64_t none)
{
	link_t *link = (link_t *)(uintptr_t)a;

	if (!is_open(link))
		return;
	if (!store_sync_is_starting(link->to->sync))
		send(sim, link);
	after(sim, STATUS_US, status_due, node, a, none);
}

static void message(sim_t *sim, node_t *node, uint64_t a, uint64_t b)
{
	link_t *link = (link_t *)(uintptr_t)a;
	store_sync_status_t status;

	(void)b;
	if (!is_open(link))
		return;
	status = store_sync_status(link->to->sync, sim->now_us);
	link->received_us = sim->now_us;
	if (!status.unreliable || link->lists)
		for (uint32_t kind = 0; kind < KINDS; kind++)
			update(sim, node, kind, link->to->known[kind]);
	store_sync_link_status(node->sync, link->link, &status, sim->now_us);
	for (uint32_t kind = 0; kind < KINDS && is_open(link) && !link->lists && !status.unreliable;
	     kind++)
		store_sync_link_listed(node->sync, link->link, kind, sim->now_us);
	if (is_open(link))
		link->lists |= !status.unreliable;
}

/** @param new_ones also to those that have not received the lists yet */
static void send_to_subscribers(sim_t *sim, const node_t *node, bool new_ones)
{
	for (guint i = 0; i < links->len; i++) {
		link_t *link = g_ptr_array_index(links, i);

		if (link->to == node && (new_ones || link->lists))
			send(sim, link);
	}
}

static void part_received(sim_t *sim, node_t *node, uint64_t a, uint64_t kind)
{
	link_t *link = (link_t *)(uintptr_t)a;

	(void)node;
	if (!is_open(link))
		return;
	link->received_us = sim->now_us;
	store_sync_link_sent_part(link->link, (uint32_t)kind, sim->now_us);
}

static void send_page(sim_t *sim, const node_t *node, uint64_t kind)
{
	for (guint i = 0; i < links->len; i++) {
		link_t *link = g_ptr_array_index(links, i);

		if (link->to == node && !node->cut && !link->from->cut)
			after(sim, DELAY_US, part_received, link->from, (uint64_t)(uintptr_t)link,
			      kind);
	}
}

static void check_silence(sim_t *sim, node_t *node, uint64_t a, uint64_t none)
{
	link_t *link = (link_t *)(uintptr_t)a;

	if (!is_open(link))
		return;
	if (sim->now_us >= link->received_us + LINK_TIMEOUT_US)
		store_sync_link_ended(node->sync, link->link, "silent", sim->now_us);
	else
		after(sim, link->received_us + LINK_TIMEOUT_US - sim->now_us, check_silence, node,
		      a, none);
}

static void connected(sim_t *sim, node_t *node, uint64_t a, uint64_t none)
{
	link_t *link = (link_t *)(uintptr_t)a;

	if (!is_open(link))
		return;
	if (store_sync_has_data(link->to->sync))
		send(sim, link);
	after(sim, g_rand_int_range(sim->rand, 0, STATUS_US), status_due, node, a, none);
}

/* ---- callbacks of the VMs ---- */

static void on_cancel(void *ctx, uint32_t kind)
{
	call_t *call = &((node_t *)ctx)->calls[kind];

	call->dead &= !call->serial; /* a call that is dropped closes its connection */
	call->serial = 0;
}

static void on_call(void *ctx, uint32_t kind, const store_sync_call_t *asked)
{
	node_t *node = ctx;
	sim_t *sim = node->sim;
	call_t *call = &node->calls[kind];

	node->asked++;
	node->asked_lists += asked->list;
	on_cancel(node, kind);
	call->dead &= sim->now_us <= call->answered_us + FEED_IDLE_MAX_MS * MS_US;
	call->serial = ++sim->serial;
	call->asked = *asked;
	call->waits = false;
	after(sim, DELAY_US, arrive, node, kind, call->serial);
	after(sim, asked->timeout_us, time_out, node, kind, call->serial);
}

static void on_restart_list(void *ctx, uint32_t kind)
{
	((node_t *)ctx)->pages[kind] = 0;
	on_cancel(ctx, kind);
}

static void store_checked(sim_t *sim, node_t *node, uint64_t reached, uint64_t none)
{
	(void)none;
	if (reached)
		update(sim, node, KIND_CONFIGURATION, sim->revision[KIND_CONFIGURATION]);
	store_sync_check_ended(node->sync, reached, sim->now_us);
}

static void on_check_store(void *ctx, uint64_t timeout_us)
{
	node_t *node = ctx;
	const outage_t *outage = outage_of(node->sim, node);
	bool lost = outage && (outage->failure == SILENT || outage->failure == ANSWERS_LOST);

	node->asked++;
	after(node->sim, lost ? timeout_us : 2 * delay_of(node->sim, node), store_checked, node,
	      !outage || outage->failure == SLOW, 0);
}

static bool on_open(void *ctx, store_sync_link_t *sync_link)
{
	node_t *node = ctx;
	sim_t *sim = node->sim;
	link_t *link = g_new0(link_t, 1);

	node->links++;
	link->from = node;
	link->link = sync_link;
	link->received_us = sim->now_us;
	sync_link->data = link;
	for (uint32_t i = 0; i < sim->count; i++)
		if (g_str_equal(sim->nodes[i].name, sync_link->vm))
			link->to = &sim->nodes[i];
	g_ptr_array_add(links, link);
	after(sim, DELAY_US, connected, node, (uint64_t)(uintptr_t)link, 0);
	after(sim, LINK_TIMEOUT_US, check_silence, node, (uint64_t)(uintptr_t)link, 0);
	return true;
}

static void on_close(void *ctx, store_sync_link_t *sync_link, const char *reason)
{
	(void)ctx;
	(void)reason;
	g_ptr_array_remove_fast(links, sync_link->data);
	g_ptr_array_add(closed_links, sync_link->data);
}

static void on_request_announced(void *ctx, store_sync_link_t *link, uint32_t kind)
{
	(void)link;
	((node_t *)ctx)->asked_links += kind == KIND_CONFIGURATION;
}

static void on_feed_changed(void *ctx, const store_sync_link_t *link)
{
	(void)link;
	((node_t *)ctx)->feeds++;
}

static void on_nothing(void *ctx)
{
	(void)ctx;
}

/* ---- simulation ---- */

static void run_until(sim_t *sim, uint64_t end_us)
{
	assert_true(end_us >= sim->now_us);
	for (;;) {
		uint64_t next_us = timers_next_us(&sim->timers);

		for (uint32_t i = 0; i < sim->count; i++)
			next_us = MIN(next_us, store_sync_next_us(sim->nodes[i].sync));
		if (next_us > end_us)
			break;
		sim->now_us = MAX(sim->now_us, next_us);
		timers_run(&sim->timers, sim->now_us);
		for (uint32_t i = 0; i < sim->count; i++)
			store_sync_run(sim->nodes[i].sync, sim->now_us);
	}
	sim->now_us = end_us;
}

static void add_node(sim_t *sim, const feed_timing_t *timing, bool feeds, uint32_t seed)
{
	static const store_sync_ops_t ops = {.call = on_call,
					     .cancel = on_cancel,
					     .restart_list = on_restart_list,
					     .check_store = on_check_store,
					     .open = on_open,
					     .close = on_close,
					     .request_announced = on_request_announced,
					     .feed_changed = on_feed_changed,
					     .unreachable = on_nothing,
					     .recovered = on_nothing};
	uint32_t wait_ms = feeds ? timing->feeder_watch_ms : timing->watch_ms;
	const store_sync_kind_t kinds[KINDS] = {
		[KIND_SEARCHERS] = {.wait_ms = wait_ms, .group_us = 800 * MS_US, .frequent = true},
		[KIND_CONFIGURATION] = {.wait_ms = wait_ms,
					.group_us = 100 * MS_US,
					.frequent = true},
		[KIND_RARE] = {.wait_ms = 20000}};
	node_t *node = &sim->nodes[sim->count];

	*node = (node_t){.sim = sim, .number = sim->count};
	snprintf(node->name, sizeof(node->name), "vm-%u", sim->count++);
	node->vm.name = node->name;
	node->sync = store_sync_new(timing, kinds, KINDS, KIND_CONFIGURATION, &ops, node, seed);
	store_sync_start(node->sync, sim->now_us);
}

/**
 * @param feeders the timing of VMs that feed others
 * @param watchers number of VMs that watch the store and feed all others
 */
static sim_t *sim_with(const feed_timing_t *timing, const feed_timing_t *feeders, uint32_t count,
		       uint32_t watchers, uint32_t seed)
{
	sim_t *sim = g_new0(sim_t, 1);

	sim->now_us = START_US;
	sim->rand = g_rand_new_with_seed(seed);
	timers_init(&sim->timers);
	links = g_ptr_array_new();
	closed_links = g_ptr_array_new_with_free_func(g_free);
	for (uint32_t kind = 0; kind < KINDS; kind++)
		sim->revision[kind] = 1;
	for (uint32_t i = 0; i < count; i++)
		add_node(sim, i < watchers ? feeders : timing, watchers < count && i < watchers,
			 seed + i);
	return sim;
}

static sim_t *sim_new(const feed_timing_t *timing, uint32_t count, uint32_t watchers, uint32_t seed)
{
	return sim_with(timing, timing, count, watchers, seed);
}

static void set_all_vms(sim_t *sim, uint32_t watchers)
{
	for (uint32_t i = 0; i < sim->count; i++) {
		g_autoptr(GPtrArray) feeders = g_ptr_array_new();
		g_autoptr(GPtrArray) others = g_ptr_array_new();

		for (uint32_t j = 0; j < sim->count; j++) {
			node_t *other = &sim->nodes[(i + 1 + j) % sim->count];

			if (i >= watchers && other->number < watchers)
				g_ptr_array_add(feeders, &other->vm);
			if (other->number != i)
				g_ptr_array_insert(others,
						   g_rand_int_range(sim->rand, 0, others->len + 1),
						   &other->vm);
		}
		store_sync_set_vms(sim->nodes[i].sync, feeders, others,
				   watchers < sim->count && i < watchers, sim->now_us);
	}
}

/* The remaining events belong to closed links or dropped calls. */
static void sim_free(sim_t *sim)
{
	for (uint32_t i = 0; i < sim->count; i++)
		store_sync_free(sim->nodes[i].sync);
	while (sim->timers.heap->len) {
		event_t *event = ((timer_entry_t *)g_ptr_array_index(sim->timers.heap, 0))->ctx;

		timers_cancel(&sim->timers, &event->entry);
		g_free(event);
	}
	timers_clear(&sim->timers);
	g_ptr_array_unref(links);
	g_ptr_array_unref(closed_links);
	g_rand_free(sim->rand);
	g_free(sim);
}

/* ---- bounds ---- */

typedef struct bounds_t {
	uint32_t apply_ms, settle_ms;
} bounds_t;

static const bounds_t all_bounds[] = {{2500, 2000}, {3000, 4000}, {3000, 5000}, {4000, 5000},
				      {5000, 6000}, {6000, 6000}, {6000, 8000}, {9000, 4000}};

static feed_timing_t timing_of(const bounds_t *bounds)
{
	return feed_timing_for(bounds->apply_ms, bounds->settle_ms, 0);
}

/* Every VM of @p vms has the latest change of each of the first @p kinds. */
static void expect_kinds(const sim_t *sim, uint32_t kinds, vm_set_t vms, const char *what,
			 uint64_t detail)
{
	for (uint32_t i = 0; i < sim->count; i++)
		for (uint32_t kind = 0; kind < kinds; kind++)
			if ((vms >> i & 1) && sim->nodes[i].known[kind] != sim->revision[kind])
				fail_msg("%s (%" G_GUINT64_FORMAT
					 " ms): vm-%u knows %" G_GUINT64_FORMAT
					 " of kind %u, not %" G_GUINT64_FORMAT,
					 what, detail, i, sim->nodes[i].known[kind], kind,
					 sim->revision[kind]);
}

static void expect_known(const sim_t *sim, vm_set_t vms, const char *what, uint64_t detail)
{
	expect_kinds(sim, KINDS, vms, what, detail);
}

#define ALL_VMS UINT64_MAX

/* A change @p after_ms after the end of an outage must be known once the settle time after the
 * outage and the apply time after the change have passed. */
static void run_outage(const bounds_t *bounds, failure_t failure, uint32_t watchers, uint32_t count,
		       uint64_t outage_ms, uint64_t after_ms)
{
	static const char *const names[FAILURES] = {"silent", "busy", "reset", "slow",
						    "answers lost"};
	const feed_timing_t timing = timing_of(bounds);
	sim_t *sim = sim_new(&timing, count, watchers, (uint32_t)(outage_ms * 7 + after_ms));
	uint64_t outage_us = START_US + 9000 * MS_US + outage_ms % 977 * MS_US;
	uint64_t recovered_us = outage_us + outage_ms * MS_US;
	uint64_t acked_us = recovered_us + after_ms * MS_US;

	set_all_vms(sim, watchers);
	add_outage(sim, failure, ALL_VMS, outage_us, outage_ms * MS_US);
	run_until(sim, acked_us);
	change_all(sim);
	run_until(sim, MAX(recovered_us + bounds->settle_ms * MS_US,
			   acked_us + bounds->apply_ms * MS_US));
	expect_known(sim, ALL_VMS, names[failure], outage_ms);
	sim_free(sim);
}

/* Guards against a call that the store lost just before its recovery and that times out only after
 * the wait of a watch: the next change comes late. */
static void test_change_after_an_outage_is_late(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(all_bounds); i++)
		for (int failure = 0; failure < FAILURES; failure++)
			for (uint64_t outage_ms = 50; outage_ms < 14000; outage_ms += 137) {
				run_outage(&all_bounds[i], (failure_t)failure, 1, 1, outage_ms, 1);
				run_outage(&all_bounds[i], (failure_t)failure, 1, 1, outage_ms,
					   outage_ms * 31 % 5000);
			}
}

/* The same failures where a few VMs watch the store and feed the others. */
static void test_change_after_an_outage_is_late_on_fed_vms(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(all_bounds); i++)
		for (int failure = 0; failure < FAILURES; failure++)
			for (uint64_t outage_ms = 50; outage_ms < 14000; outage_ms += 437)
				run_outage(&all_bounds[i], (failure_t)failure, 2, 6, outage_ms,
					   outage_ms * 31 % 3000);
}

/* Connections go silent, and the store changes right after that: no VM may miss the change. */
static void test_silent_connections_hide_a_change(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(all_bounds); i++)
		for (uint64_t at_ms = 9000; at_ms < 16000; at_ms += 101)
			for (uint32_t count = 1; count <= 6; count += 5) {
				const feed_timing_t timing = timing_of(&all_bounds[i]);
				sim_t *sim =
					sim_new(&timing, count, MIN(count, 2), (uint32_t)at_ms);

				set_all_vms(sim, MIN(count, 2));
				run_until(sim, START_US + at_ms * MS_US);
				silence_connections(sim, ALL_VMS);
				change_all(sim);
				run_until(sim, sim->now_us + MAX(all_bounds[i].settle_ms,
								 all_bounds[i].apply_ms) *
								     MS_US);
				expect_known(sim, ALL_VMS, "silent connections", at_ms);
				sim_free(sim);
			}
}

/* The connections of some VMs go silent several times, and the change comes a while later: a call
 * that was repeated after one failure is lost in the next. */
static void test_silent_connections_of_some_hide_a_change(void **state)
{
	static const vm_set_t some[] = {1, 2, 3, 0x16, 0x3e, ALL_VMS};
	const uint32_t watchers = 2, gap_ms = 3300, times = 3;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(all_bounds); i++)
		for (size_t j = 0; j < G_N_ELEMENTS(some); j++)
			for (uint64_t at_ms = 9000; at_ms < 14000; at_ms += 503) {
				const feed_timing_t timing = timing_of(&all_bounds[i]);
				sim_t *sim = sim_new(&timing, 6, watchers, (uint32_t)at_ms);
				uint64_t silent_us = 0;

				set_all_vms(sim, watchers);
				run_until(sim, START_US + at_ms * MS_US);
				for (uint32_t time = 0; time < times; time++) {
					if (time > 0)
						run_until(sim, silent_us + gap_ms * MS_US);
					silent_us = sim->now_us;
					silence_connections(sim, some[j]);
				}
				run_until(sim, silent_us + at_ms * 7 % 6000 * MS_US);
				change_all(sim);
				run_until(sim, MAX(silent_us + all_bounds[i].settle_ms * MS_US,
						   sim->now_us + all_bounds[i].apply_ms * MS_US));
				expect_known(sim, ALL_VMS, "silent connections of some", at_ms);
				sim_free(sim);
			}
}

/* A feeder that does not reach the store sends nothing new, so its subscribers get a change as late
 * as the feeder, although they could reach the store themselves. */
static void run_cut_feeders(const bounds_t *bounds, failure_t failure, uint32_t feeders,
			    uint64_t at_ms)
{
	const feed_timing_t timing = timing_of(bounds);
	sim_t *sim = sim_new(&timing, 6, 2, (uint32_t)at_ms);
	uint64_t cut_us = START_US + at_ms * MS_US;

	set_all_vms(sim, 2);
	add_outage(sim, failure, feeders, cut_us, 20000 * MS_US);
	run_until(sim, cut_us + at_ms * 13 % 4000 * MS_US);
	change_all(sim);
	run_until(sim, sim->now_us + bounds->apply_ms * MS_US);
	expect_known(sim, ALL_VMS & ~(vm_set_t)3, "feeders cut off", at_ms);
	sim_free(sim);
}

static void test_feeder_that_is_cut_off_hides_a_change(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(all_bounds); i++)
		for (int failure = 0; failure < FAILURES; failure++)
			for (uint32_t feeders = 1; feeders <= 3; feeders += 2)
				for (uint64_t at_ms = 9000; at_ms < 14000; at_ms += 173)
					run_cut_feeders(&all_bounds[i], (failure_t)failure, feeders,
							at_ms);
}

/* The feeders that are cut off notice it late, as they would with other settings: only the age in
 * their status shows it. */
static void run_late_feeders(const bounds_t *bounds, uint32_t settle_ms, uint64_t at_ms)
{
	const feed_timing_t late = feed_timing_for(30000, settle_ms, 0);
	const feed_timing_t timing = timing_of(bounds);
	sim_t *sim = sim_with(&timing, &late, 6, 2, (uint32_t)at_ms);
	uint64_t due_us = START_US + (at_ms + bounds->apply_ms) * MS_US;

	set_all_vms(sim, 2);
	add_outage(sim, SILENT, 3, START_US + at_ms * MS_US, 30000 * MS_US);
	run_until(sim, START_US + at_ms * MS_US);
	change_all(sim);
	/* In half of the runs the feeders go silent before the age of their last status exceeds its
	 * limit. */
	run_until(sim, due_us - 1000 * MS_US);
	sim->nodes[0].cut = sim->nodes[1].cut = at_ms % 2;
	run_until(sim, due_us);
	expect_known(sim, ALL_VMS & ~(vm_set_t)3, "late feeders", at_ms);
	sim_free(sim);
}

static void test_stale_feed_hides_a_change(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(all_bounds); i++)
		for (uint64_t at_ms = 9000; at_ms < 19000; at_ms += 73) {
			run_late_feeders(&all_bounds[i], 30000, at_ms);
			run_late_feeders(&all_bounds[i], all_bounds[i].apply_ms + 500, at_ms);
		}
}

/* A suspended feeder sends nothing at all. */
static void test_suspended_feeder_hides_a_change(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(all_bounds); i++)
		for (uint64_t at_ms = 9000; at_ms < 12000; at_ms += 73) {
			const feed_timing_t timing = timing_of(&all_bounds[i]);
			sim_t *sim = sim_new(&timing, 6, 2, (uint32_t)at_ms);

			set_all_vms(sim, 2);
			run_until(sim, START_US + at_ms * MS_US);
			sim->nodes[0].cut = true;
			sim->nodes[1].cut = at_ms % 2;
			change_all(sim);
			run_until(sim, sim->now_us + all_bounds[i].apply_ms * MS_US);
			expect_known(sim, ALL_VMS & ~(vm_set_t)3, "suspended feeders", at_ms);
			sim_free(sim);
		}
}

/* VMs that can't reach the store keep old data, although other VMs have the change. */
static void run_cut_off(const bounds_t *bounds, failure_t failure, uint32_t watchers,
			uint32_t count, vm_set_t cut_off, uint64_t at_ms, uint64_t lead_ms)
{
	const feed_timing_t timing = timing_of(bounds);
	sim_t *sim = sim_new(&timing, count, watchers, (uint32_t)at_ms);
	uint64_t outage_us = START_US + at_ms * MS_US;

	set_all_vms(sim, watchers);
	add_outage(sim, failure, cut_off, outage_us, 60000 * MS_US);
	run_until(sim, outage_us + lead_ms * MS_US);
	for (int times = 0; times < 3; times++) {
		change_all(sim);
		run_until(sim, sim->now_us + bounds->apply_ms * MS_US);
		expect_known(sim, ALL_VMS, "VMs turned away by the store", at_ms);
	}
	sim_free(sim);
}

static void test_vms_that_cannot_reach_the_store_stay_behind(void **state)
{
	static const failure_t failures[] = {SILENT, BUSY, RESET, ANSWERS_LOST};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(all_bounds); i++)
		for (size_t failure = 0; failure < G_N_ELEMENTS(failures); failure++)
			for (uint64_t at_ms = 9000; at_ms < 12000; at_ms += 371) {
				uint64_t lead_ms = all_bounds[i].settle_ms + at_ms % 7 * 1100;

				run_cut_off(&all_bounds[i], failures[failure], 4, 4, 8, at_ms,
					    lead_ms);
				run_cut_off(&all_bounds[i], failures[failure], 4, 4, 13, at_ms,
					    lead_ms);
				run_cut_off(&all_bounds[i], failures[failure], 2, 10, 0x3f0, at_ms,
					    lead_ms);
				run_cut_off(&all_bounds[i], failures[failure], 2, 10, 0x0ff, at_ms,
					    lead_ms);
				run_cut_off(&all_bounds[i], failures[failure], 12, 12, 0x7ff, at_ms,
					    lead_ms);
			}
}

/* Only one VM reaches the store: a VM that has found it names it to the others. */
static void test_one_vm_in_forty_reaches_the_store(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(all_bounds); i++)
		for (uint64_t at_ms = 9000; at_ms < 10000; at_ms += 143)
			run_cut_off(&all_bounds[i], BUSY, 40, 40, ALL_VMS >> 25, at_ms, 8000);
}

/* Bounds the calls of each VM in an outage, since all VMs make them: three in two seconds, two more
 * of each kind at first, and three links to other VMs a second. */
static void test_calls_in_an_outage_are_unbounded(void **state)
{
	static const bounds_t bounds = {3000, 5000};
	const feed_timing_t timing = timing_of(&bounds);

	(void)state;
	for (int failure = 0; failure < FAILURES; failure++) {
		sim_t *sim = sim_new(&timing, 6, 2, 1);

		if (failure == SLOW) {
			sim_free(sim);
			continue;
		}
		set_all_vms(sim, 2);
		run_until(sim, START_US + 10000 * MS_US);
		for (uint32_t i = 0; i < sim->count; i++)
			sim->nodes[i].asked = sim->nodes[i].links = 0;
		add_outage(sim, (failure_t)failure, ALL_VMS, sim->now_us, 60000 * MS_US);
		run_until(sim, sim->now_us + 20000 * MS_US);
		for (uint32_t i = 0; i < sim->count; i++) {
			assert_in_range(sim->nodes[i].asked, 1, 30 + 2 * KINDS);
			assert_in_range(sim->nodes[i].links, 0, 60);
		}
		sim_free(sim);
	}
}

/* A VM that can't reach the store can't read an object that its backup only announces: it requests
 * the object from the backup. */
static void test_announced_change_is_read_from_a_store_that_refuses(void **state)
{
	static const bounds_t bounds = {3000, 5000};
	const feed_timing_t timing = timing_of(&bounds);
	sim_t *sim = sim_new(&timing, 4, 4, 1);
	node_t *node = &sim->nodes[3];

	(void)state;
	set_all_vms(sim, 4);
	add_outage(sim, BUSY, 8, START_US + 9000 * MS_US, 60000 * MS_US);
	run_until(sim, START_US + 16000 * MS_US);
	assert_non_null(store_sync_feed(node->sync));
	store_sync_announced(node->sync, KIND_CONFIGURATION, sim->now_us);
	run_until(sim, sim->now_us + 1000 * MS_US);
	assert_in_range(node->asked_links, 1, 4);
	store_sync_announced_received(node->sync, KIND_CONFIGURATION);
	node->asked_links = 0;
	run_until(sim, sim->now_us + 5000 * MS_US);
	assert_int_equal(node->asked_links, 0);
	sim_free(sim);
}

/* After the store recovers no VM keeps a backup feed, and fed VMs are fed as before. */
static void test_backups_are_kept_after_the_store_recovers(void **state)
{
	static const bounds_t bounds = {3000, 5000};
	const feed_timing_t timing = timing_of(&bounds);
	sim_t *sim = sim_new(&timing, 6, 2, 1);

	(void)state;
	set_all_vms(sim, 2);
	run_until(sim, START_US + 9000 * MS_US);
	add_outage(sim, BUSY, 0x0f, sim->now_us, 12000 * MS_US);
	run_until(sim, sim->now_us + 24000 * MS_US);
	for (uint32_t i = 0; i < sim->count; i++) {
		const store_sync_link_t *feed = store_sync_feed(sim->nodes[i].sync);

		assert_int_equal(store_sync_watches(sim->nodes[i].sync), i < 2);
		assert_int_equal(feed != NULL, i >= 2);
		assert_false(feed && feed->backup);
	}
	sim_free(sim);
}

/* Random failures, in any order and overlapping: after they end every VM gets the latest change. */
static void run_failures(const bounds_t *bounds, uint32_t count, uint32_t watchers, uint32_t seed)
{
	const feed_timing_t timing = timing_of(bounds);
	sim_t *sim = sim_new(&timing, count, watchers, seed);
	uint64_t end_us = START_US + 30000 * MS_US;

	set_all_vms(sim, watchers);
	for (int i = 0; i < OUTAGES_MAX; i++) {
		uint64_t from_us = START_US + g_rand_int_range(sim->rand, 500, 24000) * MS_US;
		uint64_t for_us = g_rand_int_range(sim->rand, 20, 12000) * MS_US;

		add_outage(sim, (failure_t)g_rand_int_range(sim->rand, 0, FAILURES),
			   g_rand_int(sim->rand), from_us, MIN(for_us, end_us - from_us));
	}
	while (sim->now_us < end_us) {
		node_t *node = &sim->nodes[g_rand_int_range(sim->rand, 0, (gint32)count)];

		run_until(sim, sim->now_us + g_rand_int_range(sim->rand, 1, 1500) * MS_US);
		switch (g_rand_int_range(sim->rand, 0, 7)) {
		case 0:
			node->cut = !node->cut;
			break;
		case 1:
			store_sync_refresh(node->sync, sim->now_us);
			break;
		case 2:
			store_sync_catch_up(node->sync, KIND_CONFIGURATION, sim->now_us);
			break;
		case 3:
			store_sync_restored(node->sync, sim->now_us);
			break;
		case 4:
			set_all_vms(sim, watchers);
			break;
		case 5:
			silence_connections(sim, (vm_set_t)1 << node->number);
			break;
		default:
			change(sim, NULL, (uint64_t)g_rand_int_range(sim->rand, 0, KINDS), 0);
		}
	}
	for (uint32_t i = 0; i < count; i++)
		sim->nodes[i].cut = false;
	change_all(sim);
	run_until(sim, sim->now_us + MAX(bounds->settle_ms, bounds->apply_ms) * MS_US);
	expect_kinds(sim, KIND_RARE, ALL_VMS, "random failures", seed);
	run_until(sim, sim->now_us + RARE_US);
	expect_known(sim, ALL_VMS, "random failures", seed);
	sim_free(sim);
}

static void test_vm_without_a_source_after_failures(void **state)
{
	(void)state;
	for (uint32_t seed = 1; seed <= 400; seed++) {
		run_failures(&all_bounds[seed % G_N_ELEMENTS(all_bounds)], 6, 2, seed);
		run_failures(&all_bounds[seed % G_N_ELEMENTS(all_bounds)], 4, 4, seed);
	}
}

/* All VMs of a region start together, and a list takes seconds to read. Without a limit on who
 * reads it, the calls grow with VMs x searchers, and the store's rate makes the start last as long.
 */
static void test_start_with_long_lists(void **state)
{
	static const uint32_t sizes[] = {100, 1000, 2000};
	const bounds_t bounds = {6000, 8000};
	const feed_timing_t timing = timing_of(&bounds);
	g_autoptr(GPtrArray) none = g_ptr_array_new();

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		uint32_t watchers = 2 + sizes[i] / 40, lists = 0;
		sim_t *sim = sim_new(&timing, sizes[i], watchers, 7);

		sim->list_pages = 60;
		for (uint32_t j = 0; j < sim->count; j++) {
			g_autoptr(GPtrArray) feeders = g_ptr_array_new();

			for (uint32_t k = 0; j >= watchers && k < watchers; k++)
				g_ptr_array_add(feeders, &sim->nodes[(j + k) % watchers].vm);
			store_sync_set_vms(sim->nodes[j].sync, feeders, none, j < watchers,
					   sim->now_us);
		}
		run_until(sim, START_US + 6000 * MS_US);
		for (uint32_t j = 0; j < sim->count; j++) {
			lists += sim->nodes[j].asked_lists;
			for (uint32_t kind = 0; kind < KINDS; kind++)
				assert_int_equal(sim->nodes[j].known[kind], sim->revision[kind]);
		}
		print_message("%u VMs, %u of which watch: %u pages of lists read\n", sim->count,
			      watchers, lists);
		assert_int_equal(lists, watchers * KINDS * sim->list_pages);
		sim_free(sim);
	}
}

/* The feeders that start together with a VM do not reach the store, or are gone: the VM does not
 * wait for them longer than for a feeder that says nothing. */
static void test_start_without_feeders(void **state)
{
	const bounds_t bounds = {6000, 8000};
	const feed_timing_t timing = timing_of(&bounds);

	(void)state;
	for (int gone = 0; gone < 2; gone++) {
		sim_t *sim = sim_new(&timing, 12, 2, 8);

		sim->list_pages = 4;
		set_all_vms(sim, 2);
		for (uint32_t i = 0; i < 2; i++)
			sim->nodes[i].cut = gone;
		add_outage(sim, SILENT, 3, START_US, 30000 * MS_US);
		run_until(sim, START_US + (1200 + 3000) * MS_US);
		for (uint32_t i = 2; i < sim->count; i++)
			assert_int_equal(sim->nodes[i].known[KIND_SEARCHERS], 1);
		sim_free(sim);
	}
}

/* A feeder has sent one list and sends its changes, but never the other lists: the VM reads them
 * itself. */
static void test_start_with_a_feeder_that_stops(void **state)
{
	const bounds_t bounds = {6000, 8000};
	const feed_timing_t timing = timing_of(&bounds);
	sim_t *sim = sim_new(&timing, 6, 2, 9);
	node_t *node = &sim->nodes[5];
	store_sync_link_t *link;

	(void)state;
	set_all_vms(sim, 2);
	run_until(sim, START_US + 10 * MS_US);
	link = ((link_t *)g_ptr_array_index(links, links->len - 1))->link;
	assert_ptr_equal(((link_t *)link->data)->from, node);
	((link_t *)link->data)->to->cut = true;
	store_sync_link_listed(node->sync, link, KIND_SEARCHERS, sim->now_us);
	for (uint32_t ms = 0; ms < 1400; ms += 100) {
		store_sync_link_sent_part(link, KIND_SEARCHERS, sim->now_us);
		run_until(sim, sim->now_us + 100 * MS_US);
	}
	assert_true(store_sync_watches(node->sync));
	sim_free(sim);
}

/*
 * VMs whose feeder has lost the store try others. One that watches the store for itself notices
 * later that it has lost it, too: it must not be taken for a feeder. A VM that left its own feeder
 * for it would soon have neither, and call the store by itself.
 */
static void test_backup_has_not_noticed_the_outage(void **state)
{
	static const bounds_t bounds = {3000, 5000};
	const feed_timing_t timing = timing_of(&bounds);
	g_autoptr(GPtrArray) none = g_ptr_array_new();

	(void)state;
	for (uint32_t seed = 0; seed < 60; seed++) {
		sim_t *sim = sim_new(&timing, 7, 2, seed);

		set_all_vms(sim, 2);
		store_sync_set_vms(sim->nodes[2].sync, none, none, false, sim->now_us);
		run_until(sim, START_US + 10000 * MS_US + seed * 71 * MS_US);
		for (uint32_t i = 0; i < sim->count; i++)
			sim->nodes[i].asked = sim->nodes[i].feeds = 0;
		add_outage(sim, RESET, ALL_VMS, sim->now_us, 60000 * MS_US);
		run_until(sim, sim->now_us + 4000 * MS_US);
		for (uint32_t i = 3; i < sim->count; i++) {
			assert_int_equal(sim->nodes[i].feeds, 0);
			assert_in_range(sim->nodes[i].asked, 1, 4);
		}
		sim_free(sim);
	}
}

static void run_age_after_outage(const bounds_t *bounds, failure_t failure, uint64_t outage_ms)
{
	const feed_timing_t timing = timing_of(bounds);
	uint64_t max_us = (timing.watch_ms + FEED_WATCH_SLACK_MS) * MS_US;
	sim_t *sim = sim_new(&timing, 1, 1, (uint32_t)outage_ms);
	store_sync_t *sync = sim->nodes[0].sync;
	uint64_t replies_due_us = 0;

	set_all_vms(sim, 1);
	run_until(sim, START_US + 9000 * MS_US);
	add_outage(sim, failure, ALL_VMS, sim->now_us, outage_ms * MS_US);
	run_until(sim, sim->now_us + outage_ms * MS_US);
	for (uint64_t end_us = sim->now_us + 10000 * MS_US; sim->now_us < end_us;) {
		run_until(sim, sim->now_us + 10 * MS_US);
		if (store_sync_is_unreachable(sync))
			replies_due_us = sim->now_us + FEED_REPLY_MAX_MS * MS_US;
		else if (sim->now_us > replies_due_us)
			assert_in_range(store_sync_age_us(sync, sim->now_us), 0, max_us);
	}
	sim_free(sim);
}

/* Guards against a kind that is requested again after an outage by a watch that waits: the VM's
 * data counts as old for all of that wait, and its subscribers leave it just as the store recovers.
 */
static void test_data_counts_as_old_after_an_outage(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(all_bounds); i++)
		for (int failure = 0; failure < FAILURES; failure++)
			for (uint64_t outage_ms = 50; outage_ms < 14000; outage_ms += 137)
				run_age_after_outage(&all_bounds[i], (failure_t)failure, outage_ms);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_data_counts_as_old_after_an_outage),
		cmocka_unit_test(test_change_after_an_outage_is_late),
		cmocka_unit_test(test_change_after_an_outage_is_late_on_fed_vms),
		cmocka_unit_test(test_silent_connections_hide_a_change),
		cmocka_unit_test(test_silent_connections_of_some_hide_a_change),
		cmocka_unit_test(test_feeder_that_is_cut_off_hides_a_change),
		cmocka_unit_test(test_stale_feed_hides_a_change),
		cmocka_unit_test(test_suspended_feeder_hides_a_change),
		cmocka_unit_test(test_vms_that_cannot_reach_the_store_stay_behind),
		cmocka_unit_test(test_one_vm_in_forty_reaches_the_store),
		cmocka_unit_test(test_calls_in_an_outage_are_unbounded),
		cmocka_unit_test(test_announced_change_is_read_from_a_store_that_refuses),
		cmocka_unit_test(test_backups_are_kept_after_the_store_recovers),
		cmocka_unit_test(test_vm_without_a_source_after_failures),
		cmocka_unit_test(test_backup_has_not_noticed_the_outage),
		cmocka_unit_test(test_start_with_long_lists),
		cmocka_unit_test(test_start_without_feeders),
		cmocka_unit_test(test_start_with_a_feeder_that_stops),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
