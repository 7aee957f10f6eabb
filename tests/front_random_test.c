/**
 * @file front_random_test.c
 * Random schedules of forwarding, by seed: requests on all routes, callers that disconnect, and
 * faults of searchers, store, configuration and VM. Each seed runs a second time with routes that
 * must stay in a region, evacuations, cold searchers and a store that is restored from an older
 * copy of its data. front_world.c checks the promises.
 *
 *     front_random_test SEEDS [FIRST]
 */
#include "front_world.h"

#include <stdio.h>
#include <stdlib.h>

#define STEPS 400
#define STEP_MAX_US 60000
#define SETTLE_US 20000000
#define SUSPEND_MAX_US 2000000
/* At the end, this many requests of each route must get a complete answer. */
#define FINAL_REQUESTS 5

static fake_searcher_t *random_searcher(front_world_t *world)
{
	gint index = g_rand_int_range(world->rand, 0, (gint32)world->fakes->len);

	return g_ptr_array_index(world->fakes, index);
}

static void submit_request(front_world_t *world)
{
	static const char *const routes[] = {"find", "find", "get", "act"};

	front_world_request(world, routes[g_rand_int_range(world->rand, 0, 4)],
			    (uint64_t)g_rand_int_range(world->rand, 30000, 900000));
}

/* Number of requests that callers repeat often and that crash no searcher. */
#define POPULAR 4
/* Number of poison requests, which callers repeat too. */
#define POISON_REQUESTS 3

static void submit_popular_request(front_world_t *world)
{
	static const char *const routes[] = {"find", "get"};
	g_autofree char *path =
		g_strdup_printf("popular-%d", g_rand_int_range(world->rand, 0, POPULAR));

	front_world_attempt(world, routes[g_rand_int_range(world->rand, 0, 2)], path,
			    (uint64_t)g_rand_int_range(world->rand, 30000, 900000));
}

static void submit_poison_request(front_world_t *world)
{
	static const char *const routes[POISON_REQUESTS] = {"find", "get", "act"};
	gint which = g_rand_int_range(world->rand, 0, POISON_REQUESTS);
	g_autofree char *path = g_strdup_printf("crash-%d", which);

	front_world_attempt(world, routes[which], path,
			    (uint64_t)g_rand_int_range(world->rand, 30000, 900000));
}

static void abandon_request(front_world_t *world)
{
	if (!world->test_requests->len)
		return;
	front_world_abandon(world,
			    g_ptr_array_index(world->test_requests,
					      g_rand_int_range(world->rand, 0,
							       (gint32)world->test_requests->len)));
}

static void change_behaviour(front_world_t *world)
{
	front_world_set_behaviour(world, random_searcher(world),
				  (behaviour_t)g_rand_int_range(world->rand, 0, BEHAVIOURS));
}

static void heal_searcher(front_world_t *world)
{
	front_world_set_behaviour(world, random_searcher(world), SERVES);
}

static void report_observation(front_world_t *world)
{
	const observation_t observation = {
		.type = (observation_type_t)g_rand_int_range(world->rand, 0, OBSERVATION_TYPES),
		.searcher = random_searcher(world)->id,
		.after_us = (uint64_t)g_rand_int_range(world->rand, 1, 500000)};

	forwarder_take_observation(world->forwarder, &observation, world->now_us);
}

static void restart_searcher(front_world_t *world)
{
	front_world_restart(world, random_searcher(world));
}

static void lose_store(front_world_t *world)
{
	registry_store_lost(world->registry, world->now_us);
}

static void recover_store(front_world_t *world)
{
	registry_store_recovered(world->registry, world->now_us);
}

static void suspend_vm(front_world_t *world)
{
	front_world_suspend(world, (uint64_t)g_rand_int_range(world->rand, 0, SUSPEND_MAX_US));
}

#define COLD_MAX_US 3000000
#define COLD_SHARE_MAX 2

static void submit_home_request(front_world_t *world)
{
	static const char *const routes[] = {"home", "kept"};

	front_world_request(world, routes[g_rand_int_range(world->rand, 0, 2)],
			    (uint64_t)g_rand_int_range(world->rand, 30000, 900000));
}

static void evacuate(front_world_t *world)
{
	front_world_evacuate(world, g_rand_boolean(world->rand), true);
}

static void reopen(front_world_t *world)
{
	front_world_evacuate(world, g_rand_boolean(world->rand), false);
}

static void make_cold(front_world_t *world)
{
	front_world_set_cold(world, random_searcher(world),
			     (uint64_t)g_rand_int_range(world->rand, 100000, COLD_MAX_US),
			     (uint32_t)g_rand_int_range(world->rand, 0, COLD_SHARE_MAX + 1));
}

static void restore_store(front_world_t *world)
{
	front_world_restore(world, random_searcher(world));
}

/** An action that may happen at a step, and its weight. */
typedef struct action_t {
	void (*run)(front_world_t *world);
	uint32_t weight;
	bool needs_placement; /**< only with regions, evacuations, cold searchers, copies */
} action_t;

static const action_t actions[] = {
	{submit_request, 50},
	{submit_popular_request, 10},
	{abandon_request, 6},
	{change_behaviour, 8},
	{heal_searcher, 10},
	{report_observation, 6},
	{restart_searcher, 2},
	{lose_store, 1},
	{recover_store, 2},
	{suspend_vm, 1},
	{submit_poison_request, 8},
	{front_world_configure, 1},
	{submit_home_request, 20, true},
	{evacuate, 2, true},
	{reopen, 4, true},
	{make_cold, 6, true},
	{restore_store, 2, true},
};

/* Only odd seeds have poison requests, because searchers are down for much of such a run. */
static bool is_enabled(const action_t *action, uint32_t seed, bool placement)
{
	return (placement || !action->needs_placement) &&
	       (action->run != submit_poison_request || seed % 2);
}

static void run_random_action(front_world_t *world, uint32_t seed, bool placement)
{
	uint32_t sum = 0, drawn;

	for (size_t i = 0; i < G_N_ELEMENTS(actions); i++)
		sum += is_enabled(&actions[i], seed, placement) ? actions[i].weight : 0;
	drawn = (uint32_t)g_rand_int_range(world->rand, 0, (gint32)sum);
	for (size_t i = 0; i < G_N_ELEMENTS(actions); i++) {
		if (!is_enabled(&actions[i], seed, placement))
			continue;
		if (drawn < actions[i].weight) {
			actions[i].run(world);
			return;
		}
		drawn -= actions[i].weight;
	}
}

static void expect_complete(front_world_t *world, const char *route)
{
	for (int i = 0; i < FINAL_REQUESTS; i++) {
		test_request_t *test_request = front_world_request(world, route, 800000);

		front_world_advance(world, 1000000);
		if (!g_str_equal(test_request->outcome->str, "whole"))
			g_string_append_printf(world->violations, "at the end %s is answered: %s\n",
					       route, test_request->outcome->str);
	}
}

static bool run_seed(uint32_t seed, bool placement)
{
	front_world_t *world = front_world_new(seed);
	bool passed;

	for (int i = 0; i < STEPS; i++) {
		run_random_action(world, seed, placement);
		front_world_advance(world, (uint64_t)g_rand_int_range(world->rand, 0, STEP_MAX_US));
	}
	recover_store(world);
	if (placement) {
		front_world_evacuate(world, true, false);
		front_world_evacuate(world, false, false);
	}
	for (guint i = 0; i < world->fakes->len; i++)
		front_world_set_behaviour(world, g_ptr_array_index(world->fakes, i), SERVES);
	front_world_advance(world, SETTLE_US);
	expect_complete(world, "find");
	expect_complete(world, "get");
	expect_complete(world, "act");
	if (placement) {
		expect_complete(world, "home");
		expect_complete(world, "kept");
	}
	front_world_check_end(world);
	passed = world->violations->len == 0;
	if (!passed)
		printf("seed %u%s:\n%s", seed, placement ? " with places" : "",
		       world->violations->str);
	front_world_free(world);
	return passed;
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
