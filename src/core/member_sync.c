/**
 * @file member_sync.c
 * See member_sync.h.
 *
 * A VM that has terminated stays registered: shares of connections and budgets are then too small,
 * never too large. A VM that is restarted finds its own registration, and writes nothing.
 */
#include "core/member_sync.h"

#include <math.h>

/* All VMs of a new fleet register within the first seconds; later, new VMs are rare. */
#define INITIAL_LIST_PERIOD_US 1500000
#define INITIAL_LISTS 4
#define LIST_PERIOD_US 12000000
/* A feeder reads the list once a period; without a new one for this time it does not relay it. */
#define FED_LIST_VALID_US (LIST_PERIOD_US * 3 / 2)
/* VMs of a new fleet start within 0.3 s of each other, and a call takes up to 0.1 s. */
#define OTHERS_REGISTER_DELAY_US 600000
/*
 * The VMs of a new fleet read the list after random delays up to this time, most of them after long
 * ones, and those with fast links, which are chosen as feeders first, after short ones. Then the
 * first few make their feeders known to the others.
 */
#define READ_SPREAD_US 3000000
/* A link with which the delays are half as long. */
#define READ_SPREAD_LINK_MBPS 100
/* One feeder alone may have terminated. */
#define FEEDERS_MIN 2
/* While the store does not answer, a VM makes one call a try. After this number of tries in a row
 * it looks for its registration all the same: only the list of feeders may be unreadable. */
#define FEEDERS_TRIES 4
/* Period at which a VM that has found feeders checks whether it still awaits their lists. */
#define AWAIT_PERIOD_US 200000
/* Changes of the list that a feeder relays come in groups. */
#define CHANGE_GROUP_US 50000
/*
 * Retry delay at the start, doubled after each failure. A VM that starts refuses all requests until
 * the store answers: when all VMs are lost during an outage of the store, the delay between two
 * tries adds to the outage after the store has recovered.
 */
#define RETRY_INITIAL_US 100000
#define RETRY_MAX_US 1000000
/*
 * After the store was restored from an older copy of its data, VMs that it has lost register again
 * within REREGISTER_MAX_US, each after a random delay, and count as registered for
 * LOST_VM_GRACE_US.
 */
#define REREGISTER_MAX_US 4000000
#define LOST_VM_GRACE_US 30000000

typedef enum phase_t {
	FIND_FEEDERS, /* this VM knows no other VMs */
	AWAIT_FEED,   /* it has found feeders, and may receive the list from them */
	LISTED,	      /* it has the list of VMs */
} phase_t;

typedef enum entry_t {
	ENTRY_UNKNOWN,
	ENTRY_ABSENT,
	ENTRY_CURRENT,
	ENTRY_OUTDATED, /* of an earlier run of this VM, with other content */
} entry_t;

struct member_sync_t {
	const member_sync_ops_t *ops;
	void *ctx;
	vm_t *own;
	const GHashTable *regions; /* data centre to region */
	GRand *rand;
	timers_t timers;
	phase_t phase;
	GPtrArray *vms;	       /* sorted */
	GPtrArray *feeders;    /* the entries of feeders, sorted, as last read */
	entry_t feeder_entry;  /* this VM's own entry of them */
	bool writes_feeder;    /* a write of it is pending */
	uint32_t failed_reads; /* of the entries of feeders */
	uint64_t requested_us; /* when the last read of all VMs was requested */
	uint64_t listed_us;    /* when the list was requested from the store; 0: none yet */
	uint64_t restored_us;  /* when the store was restored from an older copy; 0: never */
	uint64_t member_us; /* since when lists contain this VM, and none has lost a VM; 0: not */
	bool fed;	    /* a feeder has sent the list, and its link is open */
	bool registered;
	bool writes_own;   /* a write of this VM's registration is pending */
	bool exists;	   /* an earlier run of this VM registered it, with other content */
	uint32_t failures; /* failed calls until this VM is registered */
	uint32_t lists;	   /* lists reported since the start, failed ones too */
	timer_entry_t list_timer;
	timer_entry_t register_timer;
	timer_entry_t change_timer;
};

static uint64_t random_us(member_sync_t *sync, uint64_t max_us)
{
	return (uint64_t)g_rand_int_range(sync->rand, 0, (gint32)max_us + 1);
}

static uint64_t retry_delay_us(member_sync_t *sync)
{
	uint64_t delay_us = RETRY_INITIAL_US << MIN(sync->failures, 8);

	sync->failures++;
	return MIN(delay_us, RETRY_MAX_US);
}

static void list_after(member_sync_t *sync, uint64_t delay_us, uint64_t now_us)
{
	timers_set(&sync->timers, &sync->list_timer, now_us + delay_us);
}

static void read_all(member_sync_t *sync, uint64_t now_us)
{
	sync->requested_us = now_us;
	sync->ops->read(sync->ctx, MEMBERS_ALL);
}

static bool fed_list_is_valid(const member_sync_t *sync, uint64_t now_us)
{
	return sync->fed && now_us < sync->listed_us + FED_LIST_VALID_US;
}

static void on_list_due(void *ctx, uint64_t now_us)
{
	member_sync_t *sync = ctx;

	if (sync->phase == FIND_FEEDERS)
		sync->ops->read(sync->ctx, MEMBERS_FEEDERS);
	else if (sync->phase == AWAIT_FEED && sync->ops->awaits_feed(sync->ctx))
		list_after(sync, AWAIT_PERIOD_US, now_us);
	else if (sync->phase == LISTED && sync->registered && fed_list_is_valid(sync, now_us))
		list_after(sync, LIST_PERIOD_US, now_us);
	else
		read_all(sync, now_us);
}

/* ---- this VM's registration ---- */

static void write_own(member_sync_t *sync)
{
	if (sync->writes_own)
		return;
	sync->writes_own = true;
	sync->ops->write(sync->ctx, MEMBERS_ALL, sync->exists ? MEMBER_REPLACE : MEMBER_CREATE);
}

static void on_register_due(void *ctx, uint64_t now_us)
{
	(void)now_us;
	write_own(ctx);
}

/*
 * Writes this VM's registration only if the list lacks it or differs. Otherwise, when all VMs of a
 * fleet are restarted, each would make two calls for a registration that exists already.
 */
static void check_registration(member_sync_t *sync, const vm_t *listed)
{
	if (sync->registered)
		return;
	if (listed && vm_equal(listed, sync->own)) {
		sync->registered = true;
		sync->ops->registered(sync->ctx, false);
		return;
	}
	sync->exists = listed != NULL;
	write_own(sync);
}

static uint64_t read_spread_us(member_sync_t *sync)
{
	uint32_t link_mbps = sync->own->link_mbps ? sync->own->link_mbps : READ_SPREAD_LINK_MBPS;

	return (uint64_t)(cbrt(g_rand_double(sync->rand)) * READ_SPREAD_US * READ_SPREAD_LINK_MBPS /
			  (READ_SPREAD_LINK_MBPS + link_mbps));
}

static void report(member_sync_t *sync, uint64_t now_us)
{
	sync->lists++;
	sync->phase = LISTED;
	list_after(sync,
		   sync->lists < INITIAL_LISTS && !sync->fed ? INITIAL_LIST_PERIOD_US
							     : LIST_PERIOD_US,
		   now_us);
	sync->ops->changed(sync->ctx);
}

/* The feeder may have read the list before this VM registered. */
static void add_own(member_sync_t *sync, uint64_t now_us)
{
	if (vm_list_find(sync->vms, sync->own->name))
		return;
	vm_list_put(sync->vms, vm_new(sync->own));
	sync->member_us = now_us;
}

static void on_registered(member_sync_t *sync, uint64_t now_us)
{
	sync->registered = true;
	sync->ops->registered(sync->ctx, true);
	if (sync->fed) {
		add_own(sync, now_us);
		report(sync, now_us);
	} else if (sync->phase == LISTED) {
		list_after(sync, OTHERS_REGISTER_DELAY_US, now_us);
	} else {
		sync->phase = FIND_FEEDERS;
		list_after(sync, OTHERS_REGISTER_DELAY_US + read_spread_us(sync), now_us);
	}
}

static void on_own_written(member_sync_t *sync, member_result_t result, uint64_t now_us)
{
	sync->writes_own = false;
	sync->exists = result == MEMBER_EXISTS;
	if (result == MEMBER_WRITTEN)
		on_registered(sync, now_us);
	else if (result == MEMBER_EXISTS)
		write_own(sync);
	else
		timers_set(&sync->timers, &sync->register_timer, now_us + retry_delay_us(sync));
}

/* ---- this VM's entry among the feeders ---- */

static void write_feeder(member_sync_t *sync, member_write_t write)
{
	sync->writes_feeder = true;
	sync->ops->write(sync->ctx, MEMBERS_FEEDERS, write);
}

/* A write that failed is repeated when the next list is reported. */
void member_sync_set_feeder(member_sync_t *sync, bool is_feeder)
{
	entry_t entry = sync->feeder_entry;

	if (sync->writes_feeder)
		return;
	if (!is_feeder && (entry == ENTRY_CURRENT || entry == ENTRY_OUTDATED))
		write_feeder(sync, MEMBER_DELETE);
	else if (is_feeder && entry == ENTRY_OUTDATED)
		write_feeder(sync, MEMBER_REPLACE);
	else if (is_feeder && entry != ENTRY_CURRENT)
		write_feeder(sync, MEMBER_CREATE);
}

static void on_feeder_written(member_sync_t *sync, member_result_t result)
{
	sync->writes_feeder = false;
	if (result == MEMBER_EXISTS)
		sync->feeder_entry = ENTRY_OUTDATED;
	else if (result == MEMBER_WRITTEN)
		sync->feeder_entry =
			sync->feeder_entry == ENTRY_CURRENT ? ENTRY_ABSENT : ENTRY_CURRENT;
}

void member_sync_write_ended(member_sync_t *sync, member_list_t list, member_result_t result,
			     uint64_t now_us)
{
	if (list == MEMBERS_ALL)
		on_own_written(sync, result, now_us);
	else
		on_feeder_written(sync, result);
}

/* ---- the lists ---- */

static const char *region_of(const member_sync_t *sync, const vm_t *vm)
{
	const char *region = g_hash_table_lookup((GHashTable *)sync->regions, vm->data_centre);

	return region ? region : vm->data_centre;
}

static void note_feeder_entry(member_sync_t *sync)
{
	const vm_t *entry = vm_list_find(sync->feeders, sync->own->name);

	if (!entry)
		sync->feeder_entry = ENTRY_ABSENT;
	else
		sync->feeder_entry = vm_equal(entry, sync->own) ? ENTRY_CURRENT : ENTRY_OUTDATED;
}

/* A VM that was a feeder itself before it was restarted reads the list for the others. */
static bool has_usable_feeders(const member_sync_t *sync)
{
	guint in_region = 0;

	for (guint i = 0; i < sync->feeders->len; i++)
		in_region += g_str_equal(region_of(sync, g_ptr_array_index(sync->feeders, i)),
					 region_of(sync, sync->own));
	return in_region >= FEEDERS_MIN && sync->feeder_entry == ENTRY_ABSENT;
}

static void on_feeders_read(member_sync_t *sync, GPtrArray *feeders, uint64_t now_us)
{
	if (feeders) {
		g_ptr_array_unref(sync->feeders);
		sync->feeders = feeders;
		note_feeder_entry(sync);
	}
	if (!feeders && ++sync->failed_reads % FEEDERS_TRIES) {
		list_after(sync, retry_delay_us(sync), now_us);
		return;
	}
	if (!feeders || !has_usable_feeders(sync)) {
		if (sync->registered)
			read_all(sync, now_us);
		else
			sync->ops->read(sync->ctx, MEMBERS_OWN);
		return;
	}
	sync->phase = AWAIT_FEED;
	list_after(sync, AWAIT_PERIOD_US, now_us);
	sync->ops->found_feeders(sync->ctx, sync->feeders);
}

/*
 * VMs that a restored store has lost will register again soon. If they were dropped from the list
 * meanwhile, each other VM would take a larger share of the searchers' connections and of the
 * retries.
 */
static void retain_missing(member_sync_t *sync, const GPtrArray *former, uint64_t now_us)
{
	if (!sync->restored_us || now_us > sync->restored_us + LOST_VM_GRACE_US)
		return;
	for (guint i = 0; i < former->len; i++) {
		const vm_t *vm = g_ptr_array_index(former, i);

		if (!vm_list_find(sync->vms, vm->name))
			vm_list_put(sync->vms, vm_new(vm));
	}
}

/*
 * This VM's share of the rate limit on cold searchers is valid only while the list of VMs grows: a
 * list that has lost a VM restarts the wait.
 */
static void update_member_time(member_sync_t *sync, const GPtrArray *former, uint64_t now_us)
{
	if (!vm_list_find(sync->vms, sync->own->name))
		sync->member_us = 0;
	else if (!sync->member_us || !vm_list_contains_all(sync->vms, former))
		sync->member_us = now_us;
}

/*
 * Until this VM is registered, no list is reported: other VMs that start at the same time may not
 * be registered either, and each would take itself for the first VM.
 */
static void take_list(member_sync_t *sync, GPtrArray *vms, uint64_t now_us)
{
	GPtrArray *former = sync->vms;

	sync->vms = vms;
	retain_missing(sync, former, now_us);
	if (sync->registered && sync->fed)
		add_own(sync, now_us);
	update_member_time(sync, former, now_us);
	g_ptr_array_unref(former);
	if (sync->registered)
		report(sync, now_us);
}

/* No feeders were found: this VM reads the list of all VMs itself, once it is registered. */
static void on_own_read(member_sync_t *sync, GPtrArray *own, uint64_t now_us)
{
	if (!own) {
		list_after(sync, retry_delay_us(sync), now_us);
		return;
	}
	check_registration(sync, vm_list_find(own, sync->own->name));
	if (sync->registered)
		read_all(sync, now_us);
	g_ptr_array_unref(own);
}

static void on_all_read(member_sync_t *sync, GPtrArray *vms, uint64_t now_us)
{
	if (vms) {
		sync->listed_us = sync->requested_us;
		check_registration(sync, vm_list_find(vms, sync->own->name));
		take_list(sync, vms, now_us);
	} else if (sync->phase == LISTED && sync->registered) {
		report(sync, now_us);
	} else {
		if (sync->phase != LISTED)
			sync->phase = FIND_FEEDERS;
		list_after(sync, retry_delay_us(sync), now_us);
	}
}

void member_sync_read_ended(member_sync_t *sync, member_list_t list, GPtrArray *vms,
			    uint64_t now_us)
{
	if (list == MEMBERS_FEEDERS)
		on_feeders_read(sync, vms, now_us);
	else if (list == MEMBERS_OWN)
		on_own_read(sync, vms, now_us);
	else
		on_all_read(sync, vms, now_us);
}

/* ---- the list as a feeder relays it ---- */

/*
 * The age of the feeder's list comes with its next status. After the store was restored, feeders
 * retain VMs that it has lost: their lists do not show whether this VM is registered.
 */
void member_sync_receive_list(member_sync_t *sync, GPtrArray *vms, uint64_t now_us)
{
	sync->fed = true;
	if (now_us > LIST_PERIOD_US)
		sync->listed_us = MIN(sync->listed_us, now_us - LIST_PERIOD_US);
	if (!sync->restored_us)
		check_registration(sync, vm_list_find(vms, sync->own->name));
	take_list(sync, vms, now_us);
}

static void on_changes_due(void *ctx, uint64_t now_us)
{
	(void)now_us;
	((member_sync_t *)ctx)->ops->changed(((member_sync_t *)ctx)->ctx);
}

static void note_change(member_sync_t *sync, uint64_t now_us)
{
	if (sync->registered && !sync->change_timer.heap_position)
		timers_set(&sync->timers, &sync->change_timer, now_us + CHANGE_GROUP_US);
}

void member_sync_receive_vm(member_sync_t *sync, vm_t *vm, uint64_t now_us)
{
	if (!sync->fed) {
		vm_free(vm);
		return;
	}
	vm_list_put(sync->vms, vm);
	note_change(sync, now_us);
}

void member_sync_receive_removal(member_sync_t *sync, const char *name, uint64_t now_us)
{
	if (!sync->fed || g_str_equal(name, sync->own->name))
		return;
	vm_list_remove(sync->vms, name);
	if (sync->member_us)
		sync->member_us = now_us;
	note_change(sync, now_us);
}

void member_sync_receive_age(member_sync_t *sync, uint64_t age_us, uint64_t now_us)
{
	if (sync->fed && now_us > age_us)
		sync->listed_us = now_us - age_us;
}

/* The subscriber has read the list, and chose this VM as its feeder by it. */
void member_sync_subscribed(member_sync_t *sync, uint64_t now_us)
{
	if (sync->phase != FIND_FEEDERS || !sync->registered || !sync->list_timer.heap_position)
		return;
	timers_cancel(&sync->timers, &sync->list_timer);
	read_all(sync, now_us);
}

void member_sync_feed_ended(member_sync_t *sync)
{
	sync->fed = false;
}

/* ---- interface ---- */

void member_sync_restored(member_sync_t *sync, uint64_t now_us)
{
	sync->restored_us = now_us;
	sync->registered = false;
	if (sync->feeder_entry == ENTRY_CURRENT)
		sync->feeder_entry = ENTRY_UNKNOWN;
	list_after(sync, random_us(sync, REREGISTER_MAX_US), now_us);
}

const GPtrArray *member_sync_vms(const member_sync_t *sync)
{
	return sync->vms;
}

const vm_t *member_sync_find(const member_sync_t *sync, const char *name)
{
	const vm_t *vm = vm_list_find(sync->vms, name);

	return vm ? vm : vm_list_find(sync->feeders, name);
}

const vm_t *member_sync_own(const member_sync_t *sync)
{
	return sync->own;
}

bool member_sync_is_registered(const member_sync_t *sync)
{
	return sync->registered;
}

cold_members_t member_sync_cold_members(const member_sync_t *sync)
{
	return (cold_members_t){.vms = sync->vms,
				.own_name = sync->own->name,
				.member_us = sync->member_us,
				.listed_us = sync->listed_us};
}

uint64_t member_sync_next_us(const member_sync_t *sync)
{
	return timers_next_us(&sync->timers);
}

void member_sync_run(member_sync_t *sync, uint64_t now_us)
{
	timers_run(&sync->timers, now_us);
}

void member_sync_start(member_sync_t *sync, uint64_t now_us)
{
	list_after(sync, 0, now_us);
}

member_sync_t *member_sync_new(vm_t *own, const GHashTable *regions, const member_sync_ops_t *ops,
			       void *ctx, uint32_t seed)
{
	member_sync_t *sync = g_new0(member_sync_t, 1);

	sync->ops = ops;
	sync->ctx = ctx;
	sync->own = own;
	sync->regions = regions;
	sync->rand = g_rand_new_with_seed(seed);
	timers_init(&sync->timers);
	sync->vms = vm_list_new();
	sync->feeders = vm_list_new();
	sync->list_timer = (timer_entry_t){.fire = on_list_due, .ctx = sync};
	sync->register_timer = (timer_entry_t){.fire = on_register_due, .ctx = sync};
	sync->change_timer = (timer_entry_t){.fire = on_changes_due, .ctx = sync};
	return sync;
}

void member_sync_free(member_sync_t *sync)
{
	timers_clear(&sync->timers);
	g_ptr_array_unref(sync->vms);
	g_ptr_array_unref(sync->feeders);
	vm_free(sync->own);
	g_rand_free(sync->rand);
	g_free(sync);
}
