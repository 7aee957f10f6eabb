/**
 * @file front_fleet_test.c
 * Several VMs, the same searchers and one store: requests that crash searchers come again and again
 * at any VM, beside others. By seed, VMs are cut off from the store, which takes its time; a
 * searcher that a request has crashed is gone for all VMs, and back for all. front_world.h checks
 * that such a request stops reaching searchers, and that no other is refused for it.
 *
 *     front_fleet_test SEEDS [FIRST]
 */
#include "front_world.h"

#include <stdio.h>
#include <stdlib.h>

#define VMS_MOST 4
#define STEP_US 1000
#define PLAYED_US 24000000
#define SETTLE_US 8000000
/* From one request to the next, at all VMs together. */
#define REQUEST_MOST_US 60000
/* From one attempt at a request that crashes searchers to the next; its caller's retry comes at
 * once. */
#define CRASHER_MOST_US 3000000
#define RETRY_MOST_US 30000
#define RETRIES_EACH 2
#define POPULAR 4
#define BACK_LEAST_US 1500000
#define BACK_MOST_US 4000000
/* A write, and from there to a watcher: changes are grouped for 0.8 s. */
#define WRITE_MOST_US 30000
#define HEAR_MOST_US 850000
#define CUT_MOST_US 6000000
/* After it a VM that was cut off counts again. */
#define IN_TOUCH_US 5000000

typedef enum letter_type_t {
	LETTER_NEWS,
	LETTER_CLAIM, /* to the store: create it; to a VM: whether it was created */
	LETTER_DROP,
} letter_type_t;

/** Something on its way between a VM and the store. */
typedef struct letter_t {
	letter_type_t type;
	uint64_t due_us;
	int to; /* a VM; -1: the store */
	int from;
	poison_update_t news; /* without strikes: it is no more */
	char *service;
	uint32_t number; /* of a claim */
	bool granted;
} letter_t;

typedef struct fleet_t {
	front_world_t *vms[VMS_MOST];
	uint64_t cut_us[VMS_MOST]; /* off from the store until then */
	int count;
	GPtrArray *letters; /* letter_t */
	GHashTable *claims; /* "FINGERPRINT NUMBER" of those that the store holds */
	GHashTable *crashers;
	GRand *rand;
	uint64_t now_us;
} fleet_t;

static uint64_t up_to(fleet_t *fleet, uint64_t most_us)
{
	return (uint64_t)g_rand_int_range(fleet->rand, 0, (gint32)most_us);
}

static int any_vm(fleet_t *fleet)
{
	return g_rand_int_range(fleet->rand, 0, fleet->count);
}

/* ---- the store ---- */

static void letter_free(void *data)
{
	letter_t *letter = data;

	g_free(letter->service);
	g_free(letter);
}

static void post(fleet_t *fleet, const letter_t *from)
{
	letter_t *letter = g_memdup2(from, sizeof(*from));

	letter->service = g_strdup(from->news.service);
	letter->news.service = letter->service;
	g_ptr_array_add(fleet->letters, letter);
}

static int index_of(const fleet_t *fleet, const front_world_t *world)
{
	int index = 0;

	while (fleet->vms[index] != world)
		index++;
	return index;
}

/* A VM that is cut off is not answered, and writes once it is back. */
static void on_stores(void *ctx, front_world_t *world, const poison_update_t *news)
{
	fleet_t *fleet = ctx;
	int from = index_of(fleet, world);
	uint64_t sent_us = MAX(fleet->now_us, fleet->cut_us[from]);
	const letter_t letter = {.due_us = sent_us + up_to(fleet, WRITE_MOST_US),
				 .to = -1,
				 .from = from,
				 .news = *news};

	post(fleet, &letter);
}

static void post_claim(fleet_t *fleet, letter_type_t type, const front_world_t *world,
		       fingerprint_t fingerprint, uint32_t number)
{
	int from = index_of(fleet, world);
	uint64_t sent_us = MAX(fleet->now_us, fleet->cut_us[from]);
	const letter_t letter = {.type = type,
				 .due_us = sent_us + up_to(fleet, WRITE_MOST_US),
				 .to = -1,
				 .from = from,
				 .news.fingerprint = fingerprint,
				 .number = number};

	post(fleet, &letter);
}

static void on_claims(void *ctx, front_world_t *world, fingerprint_t fingerprint, uint32_t number)
{
	post_claim(ctx, LETTER_CLAIM, world, fingerprint, number);
}

static void on_drops_claims(void *ctx, front_world_t *world, fingerprint_t fingerprint,
			    uint32_t number)
{
	post_claim(ctx, LETTER_DROP, world, fingerprint, number);
}

static char *claim_key(fingerprint_t fingerprint, uint32_t number)
{
	return g_strdup_printf("%" G_GINT64_MODIFIER "x %u", fingerprint, number);
}

/* Creates an object for each claim: of several VMs one gets it. */
static void store_takes_claim(fleet_t *fleet, const letter_t *letter)
{
	uint64_t from_us = MAX(fleet->now_us, fleet->cut_us[letter->from]);
	letter_t reply = *letter;

	reply.due_us = from_us + up_to(fleet, WRITE_MOST_US);
	reply.to = letter->from;
	reply.granted = g_hash_table_add(fleet->claims,
					 claim_key(letter->news.fingerprint, letter->number));
	post(fleet, &reply);
}

static void store_drops_claims(const fleet_t *fleet, const letter_t *letter)
{
	for (uint32_t number = 1; number <= letter->number; number++) {
		g_autofree char *key = claim_key(letter->news.fingerprint, number);

		g_hash_table_remove(fleet->claims, key);
	}
}

static void store_takes(fleet_t *fleet, const letter_t *letter)
{
	for (int i = 0; i < fleet->count; i++) {
		uint64_t from_us = MAX(fleet->now_us, fleet->cut_us[i]);
		const letter_t told = {.due_us = from_us + up_to(fleet, HEAR_MOST_US),
				       .to = i,
				       .from = -1,
				       .news = letter->news};

		post(fleet, &told);
	}
	if (letter->news.strikes)
		poison_publish_done(forwarder_poison(fleet->vms[letter->from]->forwarder),
				    &letter->news, true, fleet->now_us);
}

static void vm_hears(fleet_t *fleet, const letter_t *letter)
{
	poison_t *poison = forwarder_poison(fleet->vms[letter->to]->forwarder);

	if (letter->type == LETTER_CLAIM)
		poison_claim_done(poison, letter->news.fingerprint, letter->number,
				  letter->granted ? CLAIM_GRANTED : CLAIM_TAKEN, fleet->now_us);
	else if (letter->news.strikes)
		poison_apply_update(poison, &letter->news, fleet->now_us);
	else
		poison_apply_removal(poison, letter->news.fingerprint);
}

static void deliver(fleet_t *fleet)
{
	for (guint i = 0; i < fleet->letters->len;) {
		letter_t *letter = g_ptr_array_index(fleet->letters, i);

		if (letter->due_us > fleet->now_us) {
			i++;
			continue;
		}
		g_ptr_array_steal_index(fleet->letters, i);
		if (letter->to >= 0)
			vm_hears(fleet, letter);
		else if (letter->type == LETTER_CLAIM)
			store_takes_claim(fleet, letter);
		else if (letter->type == LETTER_DROP)
			store_drops_claims(fleet, letter);
		else
			store_takes(fleet, letter);
		letter_free(letter);
	}
}

static void any_cut(fleet_t *fleet)
{
	int vm = any_vm(fleet);

	fleet->cut_us[vm] = fleet->now_us + up_to(fleet, CUT_MOST_US);
	fleet->vms[vm]->in_touch_us = fleet->cut_us[vm] + IN_TOUCH_US;
}

/* ---- searchers ---- */

static void on_crashed(void *ctx, const fake_t *fake)
{
	fleet_t *fleet = ctx;
	g_autofree char *id = g_strdup(fake->id);
	uint64_t back_us = BACK_LEAST_US + up_to(fleet, BACK_MOST_US - BACK_LEAST_US);

	for (int i = 0; i < fleet->count; i++)
		front_world_crash(fleet->vms[i], front_world_fake(fleet->vms[i], id), back_us);
}

/* ---- callers ---- */

static void any_request(fleet_t *fleet)
{
	static const char *const routes[] = {"find", "get", "act"};
	front_world_t *world = fleet->vms[any_vm(fleet)];
	gint which = g_rand_int_range(fleet->rand, 0, 3);
	g_autofree char *path =
		g_strdup_printf("popular-%d", g_rand_int_range(fleet->rand, 0, POPULAR));

	if (which < 2 && g_rand_int_range(fleet->rand, 0, 4) == 0)
		front_world_attempt(world, routes[which], path, 800000);
	else
		front_world_request(world, routes[which], 800000);
}

static void pass_to(fleet_t *fleet, uint64_t until_us)
{
	while (fleet->now_us < until_us) {
		fleet->now_us += STEP_US;
		deliver(fleet);
		for (int i = 0; i < fleet->count; i++)
			front_world_pass(fleet->vms[i], STEP_US);
	}
}

static void play(fleet_t *fleet, const char *route, const char *path)
{
	uint64_t end_us = fleet->now_us + PLAYED_US;
	uint64_t crasher_us = fleet->now_us + up_to(fleet, CRASHER_MOST_US);
	uint32_t retries = 0;

	while (fleet->now_us < end_us) {
		pass_to(fleet, fleet->now_us + 1 + up_to(fleet, REQUEST_MOST_US));
		any_request(fleet);
		if (g_rand_int_range(fleet->rand, 0, 200) == 0)
			any_cut(fleet);
		if (fleet->now_us < crasher_us)
			continue;
		front_world_attempt(fleet->vms[any_vm(fleet)], route, path, 800000);
		retries = (retries + 1) % RETRIES_EACH;
		crasher_us =
			fleet->now_us + up_to(fleet, retries ? RETRY_MOST_US : CRASHER_MOST_US);
	}
	pass_to(fleet, fleet->now_us + SETTLE_US);
}

/* ---- a seed ---- */

static fleet_t *fleet_new(uint32_t seed)
{
	fleet_t *fleet = g_new0(fleet_t, 1);

	fleet->rand = g_rand_new_with_seed(seed);
	fleet->count = g_rand_int_range(fleet->rand, 1, VMS_MOST + 1);
	fleet->letters = g_ptr_array_new();
	fleet->claims = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (int i = 0; i < fleet->count; i++) {
		front_world_t *world = front_world_new(seed * VMS_MOST + (uint32_t)i);

		world->ctx = fleet;
		world->crashed = on_crashed;
		world->stores = on_stores;
		world->claims = on_claims;
		world->drops_claims = on_drops_claims;
		if (!fleet->crashers)
			fleet->crashers = g_hash_table_ref(world->crashers);
		g_hash_table_unref(world->crashers);
		world->crashers = g_hash_table_ref(fleet->crashers);
		fleet->vms[i] = world;
		fleet->now_us = world->now_us;
	}
	return fleet;
}

static void fleet_free(fleet_t *fleet)
{
	for (int i = 0; i < fleet->count; i++)
		front_world_free(fleet->vms[i]);
	for (guint i = 0; i < fleet->letters->len; i++)
		letter_free(g_ptr_array_index(fleet->letters, i));
	g_ptr_array_unref(fleet->letters);
	g_hash_table_unref(fleet->crashers);
	g_hash_table_unref(fleet->claims);
	g_rand_free(fleet->rand);
	g_free(fleet);
}

static bool run_seed(uint32_t seed)
{
	static const char *const routes[] = {"find", "get", "act"};
	fleet_t *fleet = fleet_new(seed);
	bool sound = true;

	play(fleet, routes[seed % 3], "crash");
	for (int i = 0; i < fleet->count; i++) {
		const front_world_t *world = fleet->vms[i];

		front_world_check_end(fleet->vms[i]);
		if (world->wrong->len)
			printf("seed %u, VM %d of %d:\n%s", seed, i, fleet->count,
			       world->wrong->str);
		sound = sound && !world->wrong->len;
	}
	fleet_free(fleet);
	return sound;
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
