/**
 * @file front_fleet_test.c
 * Random schedules of several VMs with the same searchers and one store, by seed: callers repeat a
 * poison request at any VM, beside other requests. Messages to and from the store are delayed, and
 * VMs are cut off from the store for a while. A searcher that crashes does so for all VMs, and
 * restarts for all of them. front_world.c checks that the poison request stops reaching searchers
 * and that no other request is blocked because of it.
 *
 *     front_fleet_test SEEDS [FIRST]
 */
#include "front_world.h"

#include <stdio.h>
#include <stdlib.h>

#define VMS_MAX 4
#define STEP_US 1000
#define RUN_US 24000000
#define SETTLE_US 8000000
/* Longest time between requests, over all VMs together. */
#define REQUEST_INTERVAL_MAX_US 60000
/* Longest time between attempts at the poison request, without retries; the caller's retry comes
 * almost at once. */
#define POISON_INTERVAL_MAX_US 3000000
#define RETRY_DELAY_MAX_US 30000
#define RETRIES_EACH 2
#define POPULAR 4
#define RESTART_MIN_US 1500000
#define RESTART_MAX_US 4000000
/* Longest delay of a write to the store, and from there to a watching VM, where the store groups
 * changes for 0.8 s. */
#define WRITE_DELAY_MAX_US 30000
#define WATCH_DELAY_MAX_US 850000
#define CUT_OFF_MAX_US 6000000
/* A VM that was cut off from the store is checked again this long after it reconnects. */
#define RECONNECT_GRACE_US 5000000

typedef enum message_type_t {
	MESSAGE_UPDATE,
	MESSAGE_CLAIM, /* to the store: create the claim; to a VM: whether it was created */
	MESSAGE_DROP_CLAIMS,
} message_type_t;

/** A message in transit between a VM and the store. */
typedef struct message_t {
	message_type_t type;
	uint64_t due_us;
	int to; /* a VM; -1: the store */
	int from;
	poison_update_t update; /* without strikes: the record is removed */
	char *service;
	uint32_t number; /* number of the claimed trial */
	bool granted;
} message_t;

typedef struct fleet_t {
	front_world_t *vms[VMS_MAX];
	uint64_t cut_off_until_us[VMS_MAX]; /* cut off from the store until then */
	int count;
	GPtrArray *messages; /* message_t */
	GHashTable *claims;  /* "FINGERPRINT NUMBER" of claims in the store */
	GHashTable *poison_requests;
	GRand *rand;
	uint64_t now_us;
} fleet_t;

static uint64_t random_up_to(fleet_t *fleet, uint64_t max_us)
{
	return (uint64_t)g_rand_int_range(fleet->rand, 0, (gint32)max_us);
}

static int random_vm(fleet_t *fleet)
{
	return g_rand_int_range(fleet->rand, 0, fleet->count);
}

/* ---- the store ---- */

static void message_free(void *data)
{
	message_t *message = data;

	g_free(message->service);
	g_free(message);
}

static void send_message(fleet_t *fleet, const message_t *from)
{
	message_t *message = g_memdup2(from, sizeof(*from));

	message->service = g_strdup(from->update.service);
	message->update.service = message->service;
	g_ptr_array_add(fleet->messages, message);
}

static int index_of(const fleet_t *fleet, const front_world_t *world)
{
	int index = 0;

	while (fleet->vms[index] != world)
		index++;
	return index;
}

/* A VM that is cut off sends its write once it has reconnected. */
static void on_publish(void *ctx, front_world_t *world, const poison_update_t *update)
{
	fleet_t *fleet = ctx;
	int from = index_of(fleet, world);
	uint64_t sent_us = MAX(fleet->now_us, fleet->cut_off_until_us[from]);
	const message_t message = {.due_us = sent_us + random_up_to(fleet, WRITE_DELAY_MAX_US),
				   .to = -1,
				   .from = from,
				   .update = *update};

	send_message(fleet, &message);
}

static void send_claim_message(fleet_t *fleet, message_type_t type, const front_world_t *world,
			       fingerprint_t fingerprint, uint32_t number)
{
	int from = index_of(fleet, world);
	uint64_t sent_us = MAX(fleet->now_us, fleet->cut_off_until_us[from]);
	const message_t message = {.type = type,
				   .due_us = sent_us + random_up_to(fleet, WRITE_DELAY_MAX_US),
				   .to = -1,
				   .from = from,
				   .update.fingerprint = fingerprint,
				   .number = number};

	send_message(fleet, &message);
}

static void on_claim(void *ctx, front_world_t *world, fingerprint_t fingerprint, uint32_t number)
{
	send_claim_message(ctx, MESSAGE_CLAIM, world, fingerprint, number);
}

static void on_drop_claims(void *ctx, front_world_t *world, fingerprint_t fingerprint,
			   uint32_t number)
{
	send_claim_message(ctx, MESSAGE_DROP_CLAIMS, world, fingerprint, number);
}

static char *claim_key(fingerprint_t fingerprint, uint32_t number)
{
	return g_strdup_printf("%" G_GINT64_MODIFIER "x %u", fingerprint, number);
}

/* Creates an object for each claim, so that only one of several VMs is granted it. */
static void store_create_claim(fleet_t *fleet, const message_t *message)
{
	uint64_t from_us = MAX(fleet->now_us, fleet->cut_off_until_us[message->from]);
	message_t reply = *message;

	reply.due_us = from_us + random_up_to(fleet, WRITE_DELAY_MAX_US);
	reply.to = message->from;
	reply.granted = g_hash_table_add(fleet->claims,
					 claim_key(message->update.fingerprint, message->number));
	send_message(fleet, &reply);
}

static void store_drop_claims(const fleet_t *fleet, const message_t *message)
{
	for (uint32_t number = 1; number <= message->number; number++) {
		g_autofree char *key = claim_key(message->update.fingerprint, number);

		g_hash_table_remove(fleet->claims, key);
	}
}

static void store_apply_update(fleet_t *fleet, const message_t *message)
{
	for (int i = 0; i < fleet->count; i++) {
		uint64_t from_us = MAX(fleet->now_us, fleet->cut_off_until_us[i]);
		const message_t notice = {.due_us =
						  from_us + random_up_to(fleet, WATCH_DELAY_MAX_US),
					  .to = i,
					  .from = -1,
					  .update = message->update};

		send_message(fleet, &notice);
	}
	if (message->update.strikes)
		poison_publish_done(forwarder_poison(fleet->vms[message->from]->forwarder),
				    &message->update, true, fleet->now_us);
}

static void vm_receive(fleet_t *fleet, const message_t *message)
{
	poison_t *poison = forwarder_poison(fleet->vms[message->to]->forwarder);

	if (message->type == MESSAGE_CLAIM)
		poison_claim_done(poison, message->update.fingerprint, message->number,
				  message->granted ? CLAIM_GRANTED : CLAIM_TAKEN, fleet->now_us);
	else if (message->update.strikes)
		poison_apply_update(poison, &message->update, fleet->now_us);
	else
		poison_apply_removal(poison, message->update.fingerprint);
}

static void deliver(fleet_t *fleet)
{
	for (guint i = 0; i < fleet->messages->len;) {
		message_t *message = g_ptr_array_index(fleet->messages, i);

		if (message->due_us > fleet->now_us) {
			i++;
			continue;
		}
		g_ptr_array_steal_index(fleet->messages, i);
		if (message->to >= 0)
			vm_receive(fleet, message);
		else if (message->type == MESSAGE_CLAIM)
			store_create_claim(fleet, message);
		else if (message->type == MESSAGE_DROP_CLAIMS)
			store_drop_claims(fleet, message);
		else
			store_apply_update(fleet, message);
		message_free(message);
	}
}

static void cut_off_random_vm(fleet_t *fleet)
{
	int vm = random_vm(fleet);

	fleet->cut_off_until_us[vm] = fleet->now_us + random_up_to(fleet, CUT_OFF_MAX_US);
	fleet->vms[vm]->poison_checked_from_us = fleet->cut_off_until_us[vm] + RECONNECT_GRACE_US;
}

/* ---- searchers ---- */

static void on_crashed(void *ctx, const fake_searcher_t *fake)
{
	fleet_t *fleet = ctx;
	g_autofree char *id = g_strdup(fake->id);
	uint64_t restart_us = RESTART_MIN_US + random_up_to(fleet, RESTART_MAX_US - RESTART_MIN_US);

	for (int i = 0; i < fleet->count; i++)
		front_world_crash(fleet->vms[i], front_world_searcher(fleet->vms[i], id),
				  restart_us);
}

/* ---- callers ---- */

static void submit_request(fleet_t *fleet)
{
	static const char *const routes[] = {"find", "get", "act"};
	front_world_t *world = fleet->vms[random_vm(fleet)];
	gint which = g_rand_int_range(fleet->rand, 0, 3);
	g_autofree char *path =
		g_strdup_printf("popular-%d", g_rand_int_range(fleet->rand, 0, POPULAR));

	if (which < 2 && g_rand_int_range(fleet->rand, 0, 4) == 0)
		front_world_attempt(world, routes[which], path, 800000);
	else
		front_world_request(world, routes[which], 800000);
}

static void advance_to(fleet_t *fleet, uint64_t until_us)
{
	while (fleet->now_us < until_us) {
		fleet->now_us += STEP_US;
		deliver(fleet);
		for (int i = 0; i < fleet->count; i++)
			front_world_advance(fleet->vms[i], STEP_US);
	}
}

static void run_schedule(fleet_t *fleet, const char *route, const char *path)
{
	uint64_t end_us = fleet->now_us + RUN_US;
	uint64_t poison_us = fleet->now_us + random_up_to(fleet, POISON_INTERVAL_MAX_US);
	uint32_t retries = 0;

	while (fleet->now_us < end_us) {
		advance_to(fleet, fleet->now_us + 1 + random_up_to(fleet, REQUEST_INTERVAL_MAX_US));
		submit_request(fleet);
		if (g_rand_int_range(fleet->rand, 0, 200) == 0)
			cut_off_random_vm(fleet);
		if (fleet->now_us < poison_us)
			continue;
		front_world_attempt(fleet->vms[random_vm(fleet)], route, path, 800000);
		retries = (retries + 1) % RETRIES_EACH;
		poison_us = fleet->now_us + random_up_to(fleet, retries ? RETRY_DELAY_MAX_US
									: POISON_INTERVAL_MAX_US);
	}
	advance_to(fleet, fleet->now_us + SETTLE_US);
}

/* ---- a seed ---- */

static fleet_t *fleet_new(uint32_t seed)
{
	fleet_t *fleet = g_new0(fleet_t, 1);

	fleet->rand = g_rand_new_with_seed(seed);
	fleet->count = g_rand_int_range(fleet->rand, 1, VMS_MAX + 1);
	fleet->messages = g_ptr_array_new();
	fleet->claims = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (int i = 0; i < fleet->count; i++) {
		front_world_t *world = front_world_new(seed * VMS_MAX + (uint32_t)i);

		world->ctx = fleet;
		world->crashed = on_crashed;
		world->publish = on_publish;
		world->claim = on_claim;
		world->drop_claims = on_drop_claims;
		if (!fleet->poison_requests)
			fleet->poison_requests = g_hash_table_ref(world->poison_requests);
		g_hash_table_unref(world->poison_requests);
		world->poison_requests = g_hash_table_ref(fleet->poison_requests);
		fleet->vms[i] = world;
		fleet->now_us = world->now_us;
	}
	return fleet;
}

static void fleet_free(fleet_t *fleet)
{
	for (int i = 0; i < fleet->count; i++)
		front_world_free(fleet->vms[i]);
	for (guint i = 0; i < fleet->messages->len; i++)
		message_free(g_ptr_array_index(fleet->messages, i));
	g_ptr_array_unref(fleet->messages);
	g_hash_table_unref(fleet->poison_requests);
	g_hash_table_unref(fleet->claims);
	g_rand_free(fleet->rand);
	g_free(fleet);
}

static bool run_seed(uint32_t seed)
{
	static const char *const routes[] = {"find", "get", "act"};
	fleet_t *fleet = fleet_new(seed);
	bool passed = true;

	run_schedule(fleet, routes[seed % 3], "crash");
	for (int i = 0; i < fleet->count; i++) {
		const front_world_t *world = fleet->vms[i];

		front_world_check_end(fleet->vms[i]);
		if (world->violations->len)
			printf("seed %u, VM %d of %d:\n%s", seed, i, fleet->count,
			       world->violations->str);
		passed = passed && !world->violations->len;
	}
	fleet_free(fleet);
	return passed;
}

int main(int argc, char **argv)
{
	uint32_t seeds = argc > 1 ? (uint32_t)strtoul(argv[1], NULL, 10) : 250;
	uint32_t first = argc > 2 ? (uint32_t)strtoul(argv[2], NULL, 10) : 1;
	uint32_t failed = 0;

	for (uint32_t seed = first; seed < first + seeds; seed++)
		failed += !run_seed(seed);
	printf("schedules of several VMs: %u passed, %u failed\n", seeds - failed, failed);
	return failed ? 1 : 0;
}
