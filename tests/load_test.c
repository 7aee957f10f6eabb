/**
 * @file load_test.c
 * Runs the scenarios of load and faults in virtual time and checks which answers callers get.
 *
 *     load_test                   check each scenario with three seeds
 *     load_test table [SEEDS]     print a row per scenario, for scripts/loads.sh
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "load_world.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEEDS 3

/** A scenario, and the minimum share of its requests that is answered in time with enough parts. */
typedef struct load_case_t {
	load_scenario_t scenario;
	double least;
} load_case_t;

static const load_case_t cases[] = {
	{{"calm", "all shards whole, a third of what they can do", 0, 1.0}, 0.985},
	{{"one-short", "one shard offered 150 % of what it can do", 1, 1.5}, 0.95},
	{{"two-short", "two shards offered 115 %", 2, 1.15}, 0.95},
	{{"three-short", "three shards of ten offered 120 %", 3, 1.2}, 0.85},
	{{"busy", "two searchers of three refuse 60 %", 0, 1.0, LOAD_BUSY, 1, 0.6}, 0.90},
	{{"errors", "two of three fail 40 %", 0, 0.7, LOAD_ERRORS, 1, 0.4}, 0.98},
	{{"mute", "two of three never answer 40 %", 0, 0.7, LOAD_NO_ANSWER, 1, 0.4}, 0.95},
	{{"reset", "two of three cut 40 %", 0, 0.7, LOAD_RESET, 1, 0.4}, 0.98},
	{{"slow", "half of the searchers take four times as long", 0, 0.7, LOAD_SLOW, 0.75, 1},
	 0.95},
	/* Requests of the route "broad" need more than eight shards of ten. They can't be served
	 * for 3.5 s of the counted 18 s, until the crashed searchers are warm; from then on all
	 * are. */
	{{"crash", "all searchers of two shards end and come back cold", 0, 0.7, LOAD_CRASH, 0.2,
	  1},
	 0.82},
};

static double served(const load_result_t *result)
{
	uint32_t asked = 0, good = 0;

	for (uint32_t i = 0; i < LOAD_ROUTES; i++) {
		asked += result->routes[i].asked;
		good += result->routes[i].whole + result->routes[i].partial;
	}
	return (double)good / asked;
}

static void test_case(void **state)
{
	const load_case_t *load = *state;
	double sum = 0;

	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		load_result_t result;

		load_run(&load->scenario, seed, &result);
		sum += served(&result);
		if (result.cold_overloads)
			fail_msg("%s, seed %u: %u searchers end for having been pressed while cold",
				 load->scenario.name, seed, result.cold_overloads);
		if (result.peak_extra_share > 1)
			fail_msg("%s, seed %u: %.2f of the bound on extra sub-requests",
				 load->scenario.name, seed, result.peak_extra_share);
	}
	if (sum / SEEDS < load->least)
		fail_msg("%s: %.3f of the requests served, %.3f wanted", load->scenario.name,
			 sum / SEEDS, load->least);
}

/* Checks the simulation against queueing theory: M/M/1 at 70 % load has load^2 / (1 - load) = 1.63
 * requests waiting. The results of runs of 600 s vary by some 6 %. */
static void test_queueing_theory(void **state)
{
	const double loads[] = {0.5, 0.7};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
		double expected = loads[i] * loads[i] / (1 - loads[i]);
		double sum = 0;

		for (uint32_t seed = 1; seed <= 4; seed++)
			sum += load_run_single(loads[i], seed, 600);
		if (fabs(sum / 4 / expected - 1) > 0.1)
			fail_msg("at %.1f: %.3f wait, theory says %.3f", loads[i], sum / 4,
				 expected);
	}
}

static void print_route(const load_route_t *route)
{
	printf("  %-6s asked %5u in time %.3f (partial %.3f) late %.3f refused %.3f failed %.3f "
	       "p50 %3.0f ms p99 %4.0f ms\n",
	       route->name, route->asked, load_route_served(route),
	       (double)route->partial / route->asked, (double)route->late / route->asked,
	       (double)route->refused / route->asked, (double)route->failed / route->asked,
	       (double)histogram_quantile_us(&route->took, 0.5) / 1000,
	       (double)histogram_quantile_us(&route->took, 0.99) / 1000);
}

static void print_case(const load_case_t *load, uint32_t seeds)
{
	double sum = 0, squares = 0, extra = 0, mean, spread;
	load_result_t result;

	for (uint32_t seed = 1; seed <= seeds; seed++) {
		double share;

		load_run(&load->scenario, seed, &result);
		share = served(&result);
		sum += share;
		squares += share * share;
		extra += (double)result.extras / result.sub_requests;
	}
	mean = sum / seeds;
	spread = seeds > 1 ? sqrt(MAX(squares - sum * mean, 0) / (seeds - 1)) : 0;
	printf("%-12s served %.3f sd %.3f extra %.3f: %s\n", load->scenario.name, mean, spread,
	       extra / seeds, load->scenario.what);
	for (uint32_t i = 0; i < LOAD_ROUTES; i++)
		print_route(&result.routes[i]);
}

int main(int argc, char **argv)
{
	struct CMUnitTest tests[G_N_ELEMENTS(cases) + 1] = {cmocka_unit_test(test_queueing_theory)};

	if (argc > 1 && !strcmp(argv[1], "table")) {
		for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
			print_case(&cases[i], argc > 2 ? (uint32_t)atoi(argv[2]) : SEEDS);
		return 0;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		tests[i + 1] = (struct CMUnitTest){.name = cases[i].scenario.name,
						   .test_func = test_case,
						   .initial_state = (void *)&cases[i]};
	return cmocka_run_group_tests(tests, NULL, NULL);
}
