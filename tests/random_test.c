/**
 * @file random_test.c
 * Seeded random schedules: requests of every kind while faults begin and end, alone and combined.
 *
 * Under all faults each request gets one answer, of one snapshot, with the true coverage; an action
 * runs at most once, and is answered "not run" only if it did not run. A seed that violates this is
 * printed with the violation, and becomes a script under tests/scripts.
 */
#include "world.h"

#include <stdio.h>
#include <stdlib.h>

#define STEPS 160
#define STEP_US 20000
#define SETTLE_US 8000000

typedef void (*fault_f)(world_t *world, replica_t *replica);

static void flip_dead(world_t *world, replica_t *replica)
{
	if (replica->dead)
		world_revive(world, replica);
	else
		replica->dead = true;
}

static void flip_frozen(world_t *world, replica_t *replica)
{
	(void)world;
	replica->frozen = !replica->frozen;
}

static void flip_silent(world_t *world, replica_t *replica)
{
	(void)world;
	replica->silent = !replica->silent;
}

static void flip_shed(world_t *world, replica_t *replica)
{
	(void)world;
	replica->shed = !replica->shed;
}

static void flip_slow(world_t *world, replica_t *replica)
{
	(void)world;
	replica->slow = replica->slow > 0 ? 0 : 10;
}

static void flip_slow_at_random(world_t *world, replica_t *replica)
{
	(void)world;
	replica->slow_one_in = replica->slow_one_in ? 0 : 10;
}

static void flip_wrong_version(world_t *world, replica_t *replica)
{
	(void)world;
	replica->wrong_version = !replica->wrong_version;
}

static void flip_truncate(world_t *world, replica_t *replica)
{
	(void)world;
	replica->truncate = !replica->truncate;
}

static void flip_drop_reply(world_t *world, replica_t *replica)
{
	(void)world;
	replica->drop_reply = !replica->drop_reply;
}

/* A new version replaces the replica's oldest one, so versions change while queries run. */
static void next_version(world_t *world, replica_t *replica)
{
	uint64_t newest = MAX(replica->versions[0], replica->versions[1]);

	(void)world;
	replica->versions[newest == replica->versions[0]] = newest + 1;
}

/* From version 4 on every group has one more partition. */
static void repartition(world_t *world, replica_t *replica)
{
	(void)replica;
	for (guint i = 0; i < world->replicas->len; i++)
		((replica_t *)g_ptr_array_index(world->replicas, i))->repartitioned_from = 4;
}

static void start_leaving(world_t *world, replica_t *replica)
{
	if (!replica->leaving_since_us)
		world_leave(world, replica);
}

/* The searcher leaves while its health page keeps reporting "ready". */
static void leave_with_false_health(world_t *world, replica_t *replica)
{
	start_leaving(world, replica);
	replica->false_ready = true;
}

/* The searcher reports fewer partitions of the index than there are. */
static void flip_claim_fewer(world_t *world, replica_t *replica)
{
	(void)world;
	replica->claim_fewer = !replica->claim_fewer;
}

static void flip_platform(world_t *world, replica_t *replica)
{
	(void)replica;
	world->platform_down = !world->platform_down;
}

static void flip_platform_slow(world_t *world, replica_t *replica)
{
	(void)replica;
	world->platform_slow_us = world->platform_slow_us ? 0 : 400000;
}

static void lose_a_reply(world_t *world, replica_t *replica)
{
	(void)replica;
	world->lose_replies++;
}

static void make_a_write_late(world_t *world, replica_t *replica)
{
	(void)replica;
	world->late_writes++;
}

static void flip_vm(world_t *world, replica_t *replica)
{
	uint32_t vm = (uint32_t)g_rand_int_range(world->rand, 0, (gint32)world->vm_count);

	(void)replica;
	if (world->vms[vm].dead)
		world_restart(world, vm);
	else
		world_kill(world, vm);
}

static void flip_freeze(world_t *world, replica_t *replica)
{
	uint32_t vm = (uint32_t)g_rand_int_range(world->rand, 0, (gint32)world->vm_count);

	(void)replica;
	if (world->vms[vm].dead)
		return;
	if (world->vms[vm].frozen)
		world_thaw(world, vm);
	else
		world_freeze(world, vm);
}

static const fault_f faults[] = {flip_dead,
				 flip_frozen,
				 flip_silent,
				 flip_shed,
				 flip_slow,
				 next_version,
				 flip_slow_at_random,
				 flip_wrong_version,
				 flip_truncate,
				 flip_drop_reply,
				 repartition,
				 start_leaving,
				 leave_with_false_health,
				 flip_claim_fewer,
				 flip_platform,
				 flip_platform_slow,
				 lose_a_reply,
				 make_a_write_late,
				 flip_vm,
				 flip_freeze};

static void inject(world_t *world)
{
	uint32_t which = (uint32_t)g_rand_int_range(world->rand, 0, G_N_ELEMENTS(faults));
	uint32_t index = (uint32_t)g_rand_int_range(world->rand, 0, (gint32)world->replicas->len);

	faults[which](world, g_ptr_array_index(world->replicas, index));
}

static void submit_random_request(world_t *world, uint32_t step)
{
	static const char *const services[] = {"board", "profile", "mail"};
	uint32_t vm = (uint32_t)g_rand_int_range(world->rand, 0, (gint32)world->vm_count);
	const char *service = services[g_rand_int_range(world->rand, 0, 3)];
	request_class_t class = (request_class_t)g_rand_int_range(world->rand, 0, CLASS_COUNT);
	uint64_t timeout_us = (uint64_t)g_rand_int_range(world->rand, 20, 1500) * 1000;
	char name[32], key[64], id[32];

	if (world->vms[vm].dead || world->vms[vm].frozen ||
	    !engine_service(world->vms[vm].engine, service))
		return;
	snprintf(name, sizeof(name), "q%u", step);
	/* Few ids and keys, so that requests repeat them through several VMs. */
	snprintf(id, sizeof(id), "id%d", g_rand_int_range(world->rand, 0, 8));
	if (g_str_equal(service, "mail")) {
		snprintf(key, sizeof(key), "%" G_GUINT64_FORMAT "-%s",
			 (uint64_t)1700000000000 + step / 40 * 1000, id);
		world_ask(world, vm, service, name, class, timeout_us, key);
	} else {
		world_ask(world, vm, service, name, class, timeout_us, id);
	}
}

static void heal(world_t *world)
{
	for (guint i = 0; i < world->replicas->len; i++) {
		replica_t *replica = g_ptr_array_index(world->replicas, i);

		if (replica->dead)
			world_revive(world, replica);
		replica->frozen = replica->silent = replica->shed = false;
		replica->drop_reply = replica->truncate = replica->wrong_version = false;
		replica->slow = 0;
	}
	world->platform_down = false;
	world->platform_slow_us = 0;
	for (uint32_t i = 0; i < world->vm_count; i++) {
		if (world->vms[i].dead)
			world_restart(world, i);
		else if (world->vms[i].frozen)
			world_thaw(world, i);
	}
}

static bool run_seed(uint32_t seed, bool verbose)
{
	world_t *world =
		world_new("board=gather:3x3x2 profile=lookup:1x4x4 mail=once:1x3x1", 3, seed);
	/* Runs with a low fault rate show that the checks pass without faults, too. */
	double fault_rate = g_rand_double_range(world->rand, 0, 0.25);
	bool good;

	for (uint32_t step = 0; step < STEPS; step++) {
		if (g_rand_double(world->rand) < fault_rate)
			inject(world);
		submit_random_request(world, step);
		submit_random_request(world, step + 1000);
		world_run(world, (uint64_t)g_rand_int_range(world->rand, 0, 2 * STEP_US));
	}
	heal(world);
	world_run(world, SETTLE_US);
	world_check_end(world);
	good = world->violations->len == 0;
	if (!good)
		printf("seed %u: %s", seed, world->violations->str);
	if (verbose)
		printf("seed %u: %u requests\n", seed, world->results->len);
	world_free(world);
	return good;
}

int main(int argc, char **argv)
{
	uint32_t seeds = argc > 1 ? (uint32_t)atoi(argv[1]) : 300;
	uint32_t first = argc > 2 ? (uint32_t)atoi(argv[2]) : 1;
	uint32_t bad = 0;

	for (uint32_t seed = first; seed < first + seeds; seed++)
		bad += !run_seed(seed, seeds == 1);
	printf("%u seeds, %u broke a promise\n", seeds, bad);
	return bad ? 1 : 0;
}
