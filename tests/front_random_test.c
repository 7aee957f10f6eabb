/**
 * @file front_random_test.c
 * Random schedules over forwarding: requests of all routes, callers that leave, and faults of
 * searchers, store, configuration and VM, by seed. Each seed is played once more with routes that
 * must stay in a region, evacuations, cold searchers and a store that comes back from a copy.
 * front_world.h checks the promises.
 *
 *     front_random_test SEEDS [FIRST]
 */
#include "front_world.h"

#include <stdio.h>
#include <stdlib.h>

#define STEPS 400
#define STEP_MOST_US 60000
#define SETTLE_US 20000000
#define STILL_MOST_US 2000000
/* At the end, this many requests of each route must be answered whole. */
#define LAST_REQUESTS 5

static fake_t *any_fake(front_world_t *world)
{
	gint index = g_rand_int_range(world->rand, 0, (gint32)world->fakes->len);

	return g_ptr_array_index(world->fakes, index);
}

static void any_request(front_world_t *world)
{
	static const char *const routes[] = {"find", "find", "get", "act"};

	front_world_request(world, routes[g_rand_int_range(world->rand, 0, 4)],
			    (uint64_t)g_rand_int_range(world->rand, 30000, 900000));
}

/* Some requests are asked for again and again, by callers who do no harm. */
#define POPULAR 4
/* Others crash the searchers that run them, and come back all the same. */
#define CRASHERS 3

static void any_repeated(front_world_t *world)
{
	static const char *const routes[] = {"find", "get"};
	g_autofree char *path =
		g_strdup_printf("popular-%d", g_rand_int_range(world->rand, 0, POPULAR));

	front_world_attempt(world, routes[g_rand_int_range(world->rand, 0, 2)], path,
			    (uint64_t)g_rand_int_range(world->rand, 30000, 900000));
}

static void any_crasher(front_world_t *world)
{
	static const char *const routes[CRASHERS] = {"find", "get", "act"};
	gint which = g_rand_int_range(world->rand, 0, CRASHERS);
	g_autofree char *path = g_strdup_printf("crash-%d", which);

	front_world_attempt(world, routes[which], path,
			    (uint64_t)g_rand_int_range(world->rand, 30000, 900000));
}

static void any_leaves(front_world_t *world)
{
	if (!world->played->len)
		return;
	front_world_leave(world, g_ptr_array_index(world->played,
						   g_rand_int_range(world->rand, 0,
								    (gint32)world->played->len)));
}

static void any_behaviour(front_world_t *world)
{
	front_world_behave(world, any_fake(world),
			   (behaviour_t)g_rand_int_range(world->rand, 0, BEHAVIOURS));
}

static void any_heals(front_world_t *world)
{
	front_world_behave(world, any_fake(world), SERVES);
}

static void any_sighting(front_world_t *world)
{
	const observation_t sighting = {
		.type = (observation_type_t)g_rand_int_range(world->rand, 0, OBSERVATION_TYPES),
		.searcher = any_fake(world)->id,
		.after_us = (uint64_t)g_rand_int_range(world->rand, 1, 500000)};

	forwarder_take_observation(world->forwarder, &sighting, world->now_us);
}

static void any_restarts(front_world_t *world)
{
	front_world_restart(world, any_fake(world));
}

static void store_goes(front_world_t *world)
{
	registry_store_lost(world->registry);
}

static void store_comes(front_world_t *world)
{
	registry_store_recovered(world->registry, world->now_us);
}

static void stands_still(front_world_t *world)
{
	front_world_stand_still(world, (uint64_t)g_rand_int_range(world->rand, 0, STILL_MOST_US));
}

#define COLD_MOST_US 3000000
#define COLD_SHARE_MOST 2

static void any_home_request(front_world_t *world)
{
	static const char *const routes[] = {"home", "kept"};

	front_world_request(world, routes[g_rand_int_range(world->rand, 0, 2)],
			    (uint64_t)g_rand_int_range(world->rand, 30000, 900000));
}

static void any_evacuates(front_world_t *world)
{
	front_world_evacuate(world, g_rand_boolean(world->rand), true);
}

static void any_reopens(front_world_t *world)
{
	front_world_evacuate(world, g_rand_boolean(world->rand), false);
}

static void any_chills(front_world_t *world)
{
	front_world_chill(world, any_fake(world),
			  (uint64_t)g_rand_int_range(world->rand, 100000, COLD_MOST_US),
			  (uint32_t)g_rand_int_range(world->rand, 0, COLD_SHARE_MOST + 1));
}

static void store_restored(front_world_t *world)
{
	front_world_restore(world, any_fake(world));
}

/** What may happen at a step, and how often. */
typedef struct action_t {
	void (*run)(front_world_t *world);
	uint32_t weight;
	bool of_places; /**< only where regions, evacuations, cold rests and copies are played */
} action_t;

static const action_t actions[] = {
	{any_request, 50},
	{any_repeated, 10},
	{any_leaves, 6},
	{any_behaviour, 8},
	{any_heals, 10},
	{any_sighting, 6},
	{any_restarts, 2},
	{store_goes, 1},
	{store_comes, 2},
	{stands_still, 1},
	{any_crasher, 8},
	{front_world_configure, 1},
	{any_home_request, 20, true},
	{any_evacuates, 2, true},
	{any_reopens, 4, true},
	{any_chills, 6, true},
	{store_restored, 2, true},
};

/* Each other seed does without: searchers are down for much of the others. */
static bool is_played(const action_t *action, uint32_t seed, bool places)
{
	return (places || !action->of_places) && (action->run != any_crasher || seed % 2);
}

static void act(front_world_t *world, uint32_t seed, bool places)
{
	uint32_t sum = 0, drawn;

	for (size_t i = 0; i < G_N_ELEMENTS(actions); i++)
		sum += is_played(&actions[i], seed, places) ? actions[i].weight : 0;
	drawn = (uint32_t)g_rand_int_range(world->rand, 0, (gint32)sum);
	for (size_t i = 0; i < G_N_ELEMENTS(actions); i++) {
		if (!is_played(&actions[i], seed, places))
			continue;
		if (drawn < actions[i].weight) {
			actions[i].run(world);
			return;
		}
		drawn -= actions[i].weight;
	}
}

static void expect_whole(front_world_t *world, const char *route)
{
	for (int i = 0; i < LAST_REQUESTS; i++) {
		played_t *played = front_world_request(world, route, 800000);

		front_world_pass(world, 1000000);
		if (!g_str_equal(played->outcome->str, "whole"))
			g_string_append_printf(world->wrong, "at the end %s is answered: %s\n",
					       route, played->outcome->str);
	}
}

static bool run_seed(uint32_t seed, bool places)
{
	front_world_t *world = front_world_new(seed);
	bool sound;

	for (int i = 0; i < STEPS; i++) {
		act(world, seed, places);
		front_world_pass(world, (uint64_t)g_rand_int_range(world->rand, 0, STEP_MOST_US));
	}
	store_comes(world);
	if (places) {
		front_world_evacuate(world, true, false);
		front_world_evacuate(world, false, false);
	}
	for (guint i = 0; i < world->fakes->len; i++)
		front_world_behave(world, g_ptr_array_index(world->fakes, i), SERVES);
	front_world_pass(world, SETTLE_US);
	expect_whole(world, "find");
	expect_whole(world, "get");
	expect_whole(world, "act");
	if (places) {
		expect_whole(world, "home");
		expect_whole(world, "kept");
	}
	front_world_check_end(world);
	sound = world->wrong->len == 0;
	if (!sound)
		printf("seed %u%s:\n%s", seed, places ? " with places" : "", world->wrong->str);
	front_world_free(world);
	return sound;
}

int main(int argc, char **argv)
{
	uint32_t seeds = argc > 1 ? (uint32_t)strtoul(argv[1], NULL, 10) : 250;
	uint32_t first = argc > 2 ? (uint32_t)strtoul(argv[2], NULL, 10) : 1;
	uint32_t failed = 0;

	for (uint32_t seed = first; seed < first + seeds; seed++)
		failed += !run_seed(seed, false) || !run_seed(seed, true);
	printf("schedules of forwarding: %u passed, %u failed\n", seeds - failed, failed);
	return failed ? 1 : 0;
}
