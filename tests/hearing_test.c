/**
 * @file hearing_test.c
 * Whom VMs hear the store from, played in virtual time: a store that goes away in every way, calls
 * and links with a delay, and VMs that each decide by core/hearing.
 */
#include "core/hearing.h"
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
#define KIND_RARE 2 /* watched for long */
#define VMS_MOST 40
/* A watch of KIND_RARE, with its slack: it may be the only call that was out when its connection
 * went silent, and nothing else shows that. */
#define RARE_US (20700 * MS_US)
#define NEWS_US (500 * MS_US)
/* One way, with the connection that a call may need. */
#define DELAY_US (20 * MS_US)
/* A subscriber that hears nothing for so long closes its link. */
#define LINK_SILENT_US (1700 * MS_US)
#define START_US (100000 * MS_US)
#define AWAYS_MOST 4

/** How the store, or the way to it, is away. */
typedef enum manner_t { SILENT, BUSY, RESET, SLOW, ANSWERS_LOST, MANNERS } manner_t;

/** Away for the VMs of a mask, from a moment to another. */
typedef uint64_t vms_t; /* a bit each */

typedef struct away_t {
	manner_t manner;
	vms_t vms;
	uint64_t from_us, until_us;
} away_t;

struct sim_t;

typedef struct call_t {
	uint32_t serial; /* 0: none is out */
	store_sync_call_t asked;
	uint64_t since; /* revision that a watch goes on from */
	bool waits;	/* at the store, for a change */
	uint64_t answered_us;
	bool dead; /* the connection that it uses, and the next call will, has gone silent */
} call_t;

typedef struct node_t {
	struct sim_t *sim;
	uint32_t number;
	store_sync_t *sync;
	call_t calls[KINDS];
	uint64_t known[KINDS]; /* revision */
	uint32_t asked;	       /* calls so far, looks too */
	uint32_t links;	       /* opened so far */
	uint32_t asked_links;  /* for what they have announced */
	bool cut;	       /* from other VMs */
	vm_t vm;
	char name[8];
} node_t;

typedef struct sim_t {
	uint64_t now_us;
	timers_t timers; /* event_t */
	GRand *rand;
	away_t aways[AWAYS_MOST];
	uint32_t away_count;
	uint64_t revision[KINDS];
	node_t nodes[VMS_MOST];
	uint32_t count;
	uint32_t serial;
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

static const away_t *away_for(const sim_t *sim, const node_t *node)
{
	for (uint32_t i = 0; i < sim->away_count; i++)
		if ((sim->aways[i].vms >> node->number & 1) &&
		    sim->now_us >= sim->aways[i].from_us && sim->now_us < sim->aways[i].until_us)
			return &sim->aways[i];
	return NULL;
}

static void reply(sim_t *sim, node_t *node, uint64_t kind, uint64_t serial);

static uint64_t delay_of(const sim_t *sim, const node_t *node)
{
	const away_t *away = away_for(sim, node);

	return away && away->manner == SLOW ? DELAY_US * 15 : DELAY_US;
}

static void watch_over(sim_t *sim, node_t *node, uint64_t kind, uint64_t serial)
{
	call_t *call = &node->calls[kind];
	const away_t *away = away_for(sim, node);

	if (call->serial != serial || !call->waits)
		return;
	call->waits = false;
	if (!away || away->manner == SLOW || away->manner == BUSY)
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
	const away_t *away = away_for(sim, node);

	if (call->serial != serial || call->dead ||
	    (away && (away->manner == SILENT || away->manner == ANSWERS_LOST)))
		return;
	if (away && away->manner != SLOW) {
		after(sim, DELAY_US, refuse, node, kind, serial);
		return;
	}
	call->waits = !call->asked.list && sim->revision[kind] <= call->since;
	if (call->waits)
		after(sim, call->asked.wait_ms * MS_US, watch_over, node, kind, serial);
	else
		after(sim, delay_of(sim, node), reply, node, kind, serial);
}

static void tell_subscribers(sim_t *sim, const node_t *node);

static void learn(sim_t *sim, node_t *node, uint32_t kind, uint64_t revision)
{
	if (revision <= node->known[kind])
		return;
	node->known[kind] = revision;
	if (store_sync_watches(node->sync))
		tell_subscribers(sim, node);
}

static void reply(sim_t *sim, node_t *node, uint64_t kind, uint64_t serial)
{
	call_t *call = &node->calls[kind];
	const away_t *away = away_for(sim, node);
	bool changed = sim->revision[kind] > call->since;
	store_sync_result_t end = call->asked.list ? STORE_SYNC_LISTED
				  : changed	   ? STORE_SYNC_CHANGED
						   : STORE_SYNC_OK;

	if (call->serial != serial || call->dead ||
	    (away && (away->manner == SILENT || away->manner == ANSWERS_LOST)))
		return;
	call->serial = 0;
	call->answered_us = sim->now_us;
	call->since = sim->revision[kind];
	learn(sim, node, (uint32_t)kind, sim->revision[kind]);
	store_sync_call_ended(node->sync, (uint32_t)kind, end, sim->now_us);
}

static void give_up(sim_t *sim, node_t *node, uint64_t kind, uint64_t serial)
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
		watch_over(sim, &sim->nodes[i], kind, sim->nodes[i].calls[kind].serial);
}

static void change_all(sim_t *sim)
{
	for (uint32_t kind = 0; kind < KINDS; kind++)
		change(sim, NULL, kind, 0);
}

/* What is out, or waits at the store, is never answered; what comes later may be. */
static void swallow(sim_t *sim, node_t *node, uint64_t mask, uint64_t none)
{
	(void)node;
	(void)none;
	for (uint32_t i = 0; i < sim->count; i++)
		for (uint32_t kind = 0; kind < KINDS; kind++)
			if (mask >> i & 1)
				sim->nodes[i].calls[kind].waits = false;
}

/* All connections to the store that these VMs have, used or kept, go silent for good. */
static void silence_connections(sim_t *sim, vms_t vms)
{
	swallow(sim, NULL, vms, 0);
	for (uint32_t i = 0; i < sim->count; i++)
		for (uint32_t kind = 0; kind < KINDS; kind++)
			sim->nodes[i].calls[kind].dead |= vms >> i & 1;
}

static void play_away(sim_t *sim, manner_t manner, vms_t vms, uint64_t from_us, uint64_t for_us)
{
	sim->aways[sim->away_count++] = (away_t){
		.manner = manner, .vms = vms, .from_us = from_us, .until_us = from_us + for_us};
	if (manner == SILENT || manner == ANSWERS_LOST)
		after(sim, from_us - sim->now_us, swallow, NULL, vms, 0);
}

/* ---- links ---- */

typedef struct link_t {
	node_t *from, *to; /* the subscriber, and whom it hears */
	store_sync_link_t *link;
	uint64_t told_us;
	bool greeted;
	bool lists;
} link_t;

static GPtrArray *links;	/* link_t that are open */
static GPtrArray *closed_links; /* to which messages may still be on their way */

static void message(sim_t *sim, node_t *node, uint64_t a, uint64_t b);

static bool is_open(const link_t *link)
{
	return g_ptr_array_find(links, link, NULL);
}

static void tell(sim_t *sim, link_t *link)
{
	if (!link->to->cut && !link->from->cut)
		after(sim, DELAY_US, message, link->from, (uint64_t)(uintptr_t)link, 0);
}

static void news_due(sim_t *sim, node_t *node, uint64_t a, uint64_t none)
{
	link_t *link = (link_t *)(uintptr_t)a;

	if (!is_open(link))
		return;
	tell(sim, link);
	after(sim, NEWS_US, news_due, node, a, none);
}

static void message(sim_t *sim, node_t *node, uint64_t a, uint64_t b)
{
	link_t *link = (link_t *)(uintptr_t)a;
	store_sync_status_t status;

	(void)b;
	if (!is_open(link))
		return;
	status = store_sync_status(link->to->sync, sim->now_us);
	link->told_us = sim->now_us;
	if (!status.unreliable || link->lists)
		for (uint32_t kind = 0; kind < KINDS; kind++)
			learn(sim, node, kind, link->to->known[kind]);
	store_sync_link_status(node->sync, link->link, &status, sim->now_us);
	for (uint32_t kind = 0; kind < KINDS && is_open(link) && !link->lists && !status.unreliable;
	     kind++)
		store_sync_link_listed(node->sync, link->link, kind, sim->now_us);
	if (is_open(link))
		link->lists |= !status.unreliable;
}

static void tell_subscribers(sim_t *sim, const node_t *node)
{
	for (guint i = 0; i < links->len; i++) {
		link_t *link = g_ptr_array_index(links, i);

		if (link->to == node && link->lists)
			tell(sim, link);
	}
}

static void listen_long(sim_t *sim, node_t *node, uint64_t a, uint64_t none)
{
	link_t *link = (link_t *)(uintptr_t)a;

	if (!is_open(link))
		return;
	if (sim->now_us >= link->told_us + LINK_SILENT_US)
		store_sync_link_ended(node->sync, link->link, "silent", sim->now_us);
	else
		after(sim, link->told_us + LINK_SILENT_US - sim->now_us, listen_long, node, a,
		      none);
}

static void connected(sim_t *sim, node_t *node, uint64_t a, uint64_t none)
{
	link_t *link = (link_t *)(uintptr_t)a;

	if (!is_open(link))
		return;
	if (store_sync_has_data(link->to->sync))
		tell(sim, link);
	after(sim, g_rand_int_range(sim->rand, 0, NEWS_US), news_due, node, a, none);
}

/* ---- what a VM's decisions cause ---- */

static void on_cancel(void *ctx, uint32_t kind)
{
	call_t *call = &((node_t *)ctx)->calls[kind];

	call->dead &= !call->serial; /* a call that is given up closes its connection */
	call->serial = 0;
}

static void on_ask(void *ctx, uint32_t kind, const store_sync_call_t *asked)
{
	node_t *node = ctx;
	sim_t *sim = node->sim;
	call_t *call = &node->calls[kind];

	node->asked++;
	on_cancel(node, kind);
	call->dead &= sim->now_us <= call->answered_us + FEED_IDLE_MAX_MS * MS_US;
	call->serial = ++sim->serial;
	call->asked = *asked;
	call->waits = false;
	after(sim, DELAY_US, arrive, node, kind, call->serial);
	after(sim, asked->timeout_us, give_up, node, kind, call->serial);
}

static void on_list_anew(void *ctx, uint32_t kind)
{
	on_cancel(ctx, kind);
}

static void looked(sim_t *sim, node_t *node, uint64_t reached, uint64_t none)
{
	(void)none;
	if (reached)
		learn(sim, node, KIND_CONFIGURATION, sim->revision[KIND_CONFIGURATION]);
	store_sync_check_ended(node->sync, reached, sim->now_us);
}

static void on_look(void *ctx, uint64_t timeout_us)
{
	node_t *node = ctx;
	const away_t *away = away_for(node->sim, node);
	bool swallowed = away && (away->manner == SILENT || away->manner == ANSWERS_LOST);

	node->asked++;
	after(node->sim, swallowed ? timeout_us : 2 * delay_of(node->sim, node), looked, node,
	      !away || away->manner == SLOW, 0);
}

static bool on_open(void *ctx, store_sync_link_t *sync_link)
{
	node_t *node = ctx;
	sim_t *sim = node->sim;
	link_t *link = g_new0(link_t, 1);

	node->links++;
	link->from = node;
	link->link = sync_link;
	link->told_us = sim->now_us;
	sync_link->data = link;
	for (uint32_t i = 0; i < sim->count; i++)
		if (g_str_equal(sim->nodes[i].name, sync_link->vm))
			link->to = &sim->nodes[i];
	g_ptr_array_add(links, link);
	after(sim, DELAY_US, connected, node, (uint64_t)(uintptr_t)link, 0);
	after(sim, LINK_SILENT_US, listen_long, node, (uint64_t)(uintptr_t)link, 0);
	return true;
}

static void on_close(void *ctx, store_sync_link_t *sync_link, const char *reason)
{
	(void)ctx;
	(void)reason;
	g_ptr_array_remove_fast(links, sync_link->data);
	g_ptr_array_add(closed_links, sync_link->data);
}

static void on_ask_link(void *ctx, store_sync_link_t *link, uint32_t kind)
{
	(void)link;
	((node_t *)ctx)->asked_links += kind == KIND_CONFIGURATION;
}

static void on_taken(void *ctx, const store_sync_link_t *link)
{
	(void)ctx;
	(void)link;
}

static void on_nothing(void *ctx)
{
	(void)ctx;
}

/* ---- the course of a play ---- */

static void run_until(sim_t *sim, uint64_t end_us)
{
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
	static const store_sync_ops_t ops = {.call = on_ask,
					     .cancel = on_cancel,
					     .restart_list = on_list_anew,
					     .check_store = on_look,
					     .open = on_open,
					     .close = on_close,
					     .request_announced = on_ask_link,
					     .feed_changed = on_taken,
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

/** @param feeders the timing of VMs that feed others
 * @param watchers VMs that watch the store; all others are fed by these */
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

static void introduce(sim_t *sim, uint32_t watchers)
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

/* The events left are of links that are closed, or of calls that count no more. */
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

/* Every VM of @p vms knows the latest change of the first @p kinds. */
static void expect_kinds(const sim_t *sim, uint32_t kinds, vms_t vms, const char *what,
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

static void expect_known(const sim_t *sim, vms_t vms, const char *what, uint64_t detail)
{
	expect_kinds(sim, KINDS, vms, what, detail);
}

#define ALL_VMS UINT64_MAX

/* Changes behind the end of an outage, in force when both have settled and are due. */
static void play_outage(const bounds_t *bounds, manner_t manner, uint32_t watchers, uint32_t count,
			uint64_t away_ms, uint64_t behind_ms)
{
	static const char *const names[MANNERS] = {"silent", "busy", "reset", "slow",
						   "answers lost"};
	const feed_timing_t timing = timing_of(bounds);
	sim_t *sim = sim_new(&timing, count, watchers, (uint32_t)(away_ms * 7 + behind_ms));
	uint64_t away_us = START_US + 9000 * MS_US + away_ms % 977 * MS_US;
	uint64_t back_us = away_us + away_ms * MS_US;
	uint64_t acked_us = back_us + behind_ms * MS_US;

	introduce(sim, watchers);
	play_away(sim, manner, ALL_VMS, away_us, away_ms * MS_US);
	run_until(sim, acked_us);
	change_all(sim);
	run_until(sim,
		  MAX(back_us + bounds->settle_ms * MS_US, acked_us + bounds->apply_ms * MS_US));
	expect_known(sim, ALL_VMS, names[manner], away_ms);
	sim_free(sim);
}

/* A call that the store swallowed just before its return was waited for at a watch's length. */
static void test_change_behind_an_outage_is_late(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(all_bounds); i++)
		for (int manner = 0; manner < MANNERS; manner++)
			for (uint64_t away_ms = 50; away_ms < 14000; away_ms += 137) {
				play_outage(&all_bounds[i], (manner_t)manner, 1, 1, away_ms, 1);
				play_outage(&all_bounds[i], (manner_t)manner, 1, 1, away_ms,
					    away_ms * 31 % 5000);
			}
}

/* The same where a few VMs watch and feed the others. */
static void test_change_behind_an_outage_is_late_on_fed_vms(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(all_bounds); i++)
		for (int manner = 0; manner < MANNERS; manner++)
			for (uint64_t away_ms = 50; away_ms < 14000; away_ms += 437)
				play_outage(&all_bounds[i], (manner_t)manner, 2, 6, away_ms,
					    away_ms * 31 % 3000);
}

/* Connections that went silent hide what came right after. */
static void test_silent_connections_hide_a_change(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(all_bounds); i++)
		for (uint64_t at_ms = 9000; at_ms < 16000; at_ms += 101)
			for (uint32_t count = 1; count <= 6; count += 5) {
				const feed_timing_t timing = timing_of(&all_bounds[i]);
				sim_t *sim =
					sim_new(&timing, count, MIN(count, 2), (uint32_t)at_ms);

				introduce(sim, MIN(count, 2));
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

/* The same on some VMs, again and again, and the change a while later: a call that is made anew
 * after one silence goes silent in the next. */
static void test_silent_connections_of_some_hide_a_change(void **state)
{
	static const vms_t some[] = {1, 2, 3, 0x16, 0x3e, ALL_VMS};
	const uint32_t watchers = 2, gap_ms = 3300, times = 3;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(all_bounds); i++)
		for (size_t j = 0; j < G_N_ELEMENTS(some); j++)
			for (uint64_t at_ms = 9000; at_ms < 14000; at_ms += 503) {
				const feed_timing_t timing = timing_of(&all_bounds[i]);
				sim_t *sim = sim_new(&timing, 6, watchers, (uint32_t)at_ms);
				uint64_t silent_us = 0;

				introduce(sim, watchers);
				run_until(sim, START_US + at_ms * MS_US);
				for (uint32_t time = 0; time < times; time++) {
					silent_us = sim->now_us;
					silence_connections(sim, some[j]);
					run_until(sim, sim->now_us + gap_ms * MS_US);
				}
				run_until(sim, silent_us + at_ms * 7 % 6000 * MS_US);
				change_all(sim);
				run_until(sim, MAX(silent_us + all_bounds[i].settle_ms * MS_US,
						   sim->now_us + all_bounds[i].apply_ms * MS_US));
				expect_known(sim, ALL_VMS, "silent connections of some", at_ms);
				sim_free(sim);
			}
}

/* VMs that reach the store are as late as a feeder that does not: their feeder says nothing new. */
static void play_cut_feeders(const bounds_t *bounds, manner_t manner, uint32_t feeders,
			     uint64_t at_ms)
{
	const feed_timing_t timing = timing_of(bounds);
	sim_t *sim = sim_new(&timing, 6, 2, (uint32_t)at_ms);
	uint64_t cut_us = START_US + at_ms * MS_US;

	introduce(sim, 2);
	play_away(sim, manner, feeders, cut_us, 20000 * MS_US);
	run_until(sim, cut_us + at_ms * 13 % 4000 * MS_US);
	change_all(sim);
	run_until(sim, sim->now_us + bounds->apply_ms * MS_US);
	expect_known(sim, ALL_VMS & ~(vms_t)3, "feeders cut off", at_ms);
	sim_free(sim);
}

static void test_feeder_that_is_cut_off_hides_a_change(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(all_bounds); i++)
		for (int manner = 0; manner < MANNERS; manner++)
			for (uint32_t feeders = 1; feeders <= 3; feeders += 2)
				for (uint64_t at_ms = 9000; at_ms < 14000; at_ms += 173)
					play_cut_feeders(&all_bounds[i], (manner_t)manner, feeders,
							 at_ms);
}

/* The same of feeders that notice late, as by other settings: their news say how old they are. */
static void play_late_feeders(const bounds_t *bounds, uint32_t settle_ms, uint64_t at_ms)
{
	const feed_timing_t late = feed_timing_for(30000, settle_ms, 0);
	const feed_timing_t timing = timing_of(bounds);
	sim_t *sim = sim_with(&timing, &late, 6, 2, (uint32_t)at_ms);
	uint64_t due_us = START_US + (at_ms + bounds->apply_ms) * MS_US;

	introduce(sim, 2);
	play_away(sim, SILENT, 3, START_US + at_ms * MS_US, 30000 * MS_US);
	run_until(sim, START_US + at_ms * MS_US);
	change_all(sim);
	/* In half of the plays they fall silent before their last news are too old. */
	run_until(sim, due_us - 1000 * MS_US);
	sim->nodes[0].cut = sim->nodes[1].cut = at_ms % 2;
	run_until(sim, due_us);
	expect_known(sim, ALL_VMS & ~(vms_t)3, "late feeders", at_ms);
	sim_free(sim);
}

static void test_old_news_of_a_feeder_hide_a_change(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(all_bounds); i++)
		for (uint64_t at_ms = 9000; at_ms < 19000; at_ms += 73) {
			play_late_feeders(&all_bounds[i], 30000, at_ms);
			play_late_feeders(&all_bounds[i], all_bounds[i].apply_ms + 500, at_ms);
		}
}

/* A feeder that stands still says nothing at all. */
static void test_feeder_that_stands_still_hides_a_change(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(all_bounds); i++)
		for (uint64_t at_ms = 9000; at_ms < 12000; at_ms += 73) {
			const feed_timing_t timing = timing_of(&all_bounds[i]);
			sim_t *sim = sim_new(&timing, 6, 2, (uint32_t)at_ms);

			introduce(sim, 2);
			run_until(sim, START_US + at_ms * MS_US);
			sim->nodes[0].cut = true;
			sim->nodes[1].cut = at_ms % 2;
			change_all(sim);
			run_until(sim, sim->now_us + all_bounds[i].apply_ms * MS_US);
			expect_known(sim, ALL_VMS & ~(vms_t)3, "feeders stand still", at_ms);
			sim_free(sim);
		}
}

/* VMs that the store turns away stay as they were, though others have the change. */
static void play_turned_away(const bounds_t *bounds, manner_t manner, uint32_t watchers,
			     uint32_t count, vms_t turned_away, uint64_t at_ms, uint64_t lead_ms)
{
	const feed_timing_t timing = timing_of(bounds);
	sim_t *sim = sim_new(&timing, count, watchers, (uint32_t)at_ms);
	uint64_t away_us = START_US + at_ms * MS_US;

	introduce(sim, watchers);
	play_away(sim, manner, turned_away, away_us, 60000 * MS_US);
	run_until(sim, away_us + lead_ms * MS_US);
	for (int times = 0; times < 3; times++) {
		change_all(sim);
		run_until(sim, sim->now_us + bounds->apply_ms * MS_US);
		expect_known(sim, ALL_VMS, "turned away", at_ms);
	}
	sim_free(sim);
}

static void test_vms_that_are_turned_away_stay_behind(void **state)
{
	static const manner_t manners[] = {SILENT, BUSY, RESET, ANSWERS_LOST};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(all_bounds); i++)
		for (size_t manner = 0; manner < G_N_ELEMENTS(manners); manner++)
			for (uint64_t at_ms = 9000; at_ms < 12000; at_ms += 371) {
				uint64_t lead_ms = all_bounds[i].settle_ms + at_ms % 7 * 1100;

				play_turned_away(&all_bounds[i], manners[manner], 4, 4, 8, at_ms,
						 lead_ms);
				play_turned_away(&all_bounds[i], manners[manner], 4, 4, 13, at_ms,
						 lead_ms);
				play_turned_away(&all_bounds[i], manners[manner], 2, 10, 0x3f0,
						 at_ms, lead_ms);
				play_turned_away(&all_bounds[i], manners[manner], 2, 10, 0x0ff,
						 at_ms, lead_ms);
				play_turned_away(&all_bounds[i], manners[manner], 12, 12, 0x7ff,
						 at_ms, lead_ms);
			}
}

/* Nearly all are: whoever found the one that hears the store says so to the others. */
static void test_one_vm_in_forty_hears_the_store(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(all_bounds); i++)
		for (uint64_t at_ms = 9000; at_ms < 10000; at_ms += 143)
			play_turned_away(&all_bounds[i], BUSY, 40, 40, ALL_VMS >> 25, at_ms, 8000);
}

/* Calls in an outage are counted, and all VMs make them: three in two seconds, beside two of each
 * kind at first, and three links to other VMs a second. */
static void test_an_outage_is_tried_without_end(void **state)
{
	static const bounds_t bounds = {3000, 5000};
	const feed_timing_t timing = timing_of(&bounds);

	(void)state;
	for (int manner = 0; manner < MANNERS; manner++) {
		sim_t *sim = sim_new(&timing, 6, 2, 1);

		if (manner == SLOW) {
			sim_free(sim);
			continue;
		}
		introduce(sim, 2);
		run_until(sim, START_US + 10000 * MS_US);
		for (uint32_t i = 0; i < sim->count; i++)
			sim->nodes[i].asked = sim->nodes[i].links = 0;
		play_away(sim, (manner_t)manner, ALL_VMS, sim->now_us, 60000 * MS_US);
		run_until(sim, sim->now_us + 20000 * MS_US);
		for (uint32_t i = 0; i < sim->count; i++) {
			assert_in_range(sim->nodes[i].asked, 1, 30 + 2 * KINDS);
			assert_in_range(sim->nodes[i].links, 0, 60);
		}
		sim_free(sim);
	}
}

/* A VM that the store turns away can't read what its backup only announces: it asks the backup. */
static void test_announced_change_is_read_from_a_store_that_refuses(void **state)
{
	static const bounds_t bounds = {3000, 5000};
	const feed_timing_t timing = timing_of(&bounds);
	sim_t *sim = sim_new(&timing, 4, 4, 1);
	node_t *node = &sim->nodes[3];

	(void)state;
	introduce(sim, 4);
	play_away(sim, BUSY, 8, START_US + 9000 * MS_US, 60000 * MS_US);
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

/* Once the store is heard again nobody goes on by a backup, and fed VMs are fed as before. */
static void test_backups_are_left_when_the_store_is_back(void **state)
{
	static const bounds_t bounds = {3000, 5000};
	const feed_timing_t timing = timing_of(&bounds);
	sim_t *sim = sim_new(&timing, 6, 2, 1);

	(void)state;
	introduce(sim, 2);
	run_until(sim, START_US + 9000 * MS_US);
	play_away(sim, BUSY, 0x0f, sim->now_us, 12000 * MS_US);
	run_until(sim, sim->now_us + 24000 * MS_US);
	for (uint32_t i = 0; i < sim->count; i++) {
		const store_sync_link_t *feed = store_sync_feed(sim->nodes[i].sync);

		assert_int_equal(store_sync_watches(sim->nodes[i].sync), i < 2);
		assert_int_equal(feed != NULL, i >= 2);
		assert_false(feed && feed->backup);
	}
	sim_free(sim);
}

/* Whatever happens, in any order and at once: when all is well again every VM hears the store. */
static void play_troubles(const bounds_t *bounds, uint32_t count, uint32_t watchers, uint32_t seed)
{
	const feed_timing_t timing = timing_of(bounds);
	sim_t *sim = sim_new(&timing, count, watchers, seed);
	uint64_t end_us = START_US + 30000 * MS_US;

	introduce(sim, watchers);
	for (int i = 0; i < AWAYS_MOST; i++) {
		uint64_t from_us = START_US + g_rand_int_range(sim->rand, 500, 24000) * MS_US;
		uint64_t for_us = g_rand_int_range(sim->rand, 20, 12000) * MS_US;

		play_away(sim, (manner_t)g_rand_int_range(sim->rand, 0, MANNERS),
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
			introduce(sim, watchers);
			break;
		case 5:
			silence_connections(sim, (vms_t)1 << node->number);
			break;
		default:
			change(sim, NULL, (uint64_t)g_rand_int_range(sim->rand, 0, KINDS), 0);
		}
	}
	for (uint32_t i = 0; i < count; i++)
		sim->nodes[i].cut = false;
	change_all(sim);
	run_until(sim, sim->now_us + MAX(bounds->settle_ms, bounds->apply_ms) * MS_US);
	expect_kinds(sim, KIND_RARE, ALL_VMS, "troubles", seed);
	run_until(sim, sim->now_us + RARE_US);
	expect_known(sim, ALL_VMS, "troubles", seed);
	sim_free(sim);
}

static void test_vm_that_hears_nobody_after_troubles(void **state)
{
	(void)state;
	for (uint32_t seed = 1; seed <= 400; seed++) {
		play_troubles(&all_bounds[seed % G_N_ELEMENTS(all_bounds)], 6, 2, seed);
		play_troubles(&all_bounds[seed % G_N_ELEMENTS(all_bounds)], 4, 4, seed);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_change_behind_an_outage_is_late),
		cmocka_unit_test(test_change_behind_an_outage_is_late_on_fed_vms),
		cmocka_unit_test(test_silent_connections_hide_a_change),
		cmocka_unit_test(test_silent_connections_of_some_hide_a_change),
		cmocka_unit_test(test_feeder_that_is_cut_off_hides_a_change),
		cmocka_unit_test(test_old_news_of_a_feeder_hide_a_change),
		cmocka_unit_test(test_feeder_that_stands_still_hides_a_change),
		cmocka_unit_test(test_vms_that_are_turned_away_stay_behind),
		cmocka_unit_test(test_one_vm_in_forty_hears_the_store),
		cmocka_unit_test(test_an_outage_is_tried_without_end),
		cmocka_unit_test(test_announced_change_is_read_from_a_store_that_refuses),
		cmocka_unit_test(test_backups_are_left_when_the_store_is_back),
		cmocka_unit_test(test_vm_that_hears_nobody_after_troubles),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
