/**
 * @file overload_test.c
 * Runs ramps of load up to ten times the capacity in virtual time, and checks the requirements of
 * docs/design/overload.md that concern callers' answers.
 *
 *     overload_test                    check all requirements with three seeds
 *     overload_test small              the same with the first ramps only, for slow builds
 *     overload_test table [CASE]       print the goodput of each ramp by factor
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "load_world.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#define SEEDS 3
/* Three searchers of each shard; load_scenario_t.offered counts in searchers. */
#define SEARCHERS 3
#define NORMAL_LOAD (1.0 / 3)
/* Requirement 1: mean over the seeds, and each seed. */
#define MIN_GOODPUT 0.95
#define MIN_GOODPUT_OF_A_SEED 0.90
/* Of the calculated capacity: refusing most requests at any load would keep the goodput even. */
#define MIN_PEAK 0.75
/* Share of the tries answered in time from 1 s after the ramp, as in the calm scenario of
 * load_test.c. */
#define MIN_NORMAL 0.985
#define RECOVERY_S 1
/* Requirement 2. */
#define MAX_REFUSAL_US 10000
/* Requirement 3. */
#define MAX_REJECTED 0.01
/* The page says "within 10 ms"; requests that more urgent ones displace from the queue later are
 * allowed for by a quantile. */
#define REFUSAL_QUANTILE 0.99

/* The first one keeps the peak from being that of an overload. */
static const double factors[] = {0.8, 1, 1.5, 2, 3, 5, 10};
#define FACTORS G_N_ELEMENTS(factors)

/** One ramp: normal load, one step for each factor, normal load again. */
typedef struct ramp_t {
	const char *name;
	uint32_t vms, shards, slots, connections;
	uint32_t normal_s, step_s;
	bool unequal;
	load_fault_t fault;
	double fault_odds;
} ramp_t;

/* With more VMs than connections, each VM has one connection to each searcher. The searchers have
 * more slots there, so that each VM gets about 0.7 requests per second at the capacity. */
static const ramp_t ramps[] = {
	{"2", 2, 10, 3, 31, 3, 3},
	{"9", 9, 10, 3, 31, 3, 3},
	{"30", 30, 10, 3, 31, 3, 3},
	{"300", 300, 36, 4, 334, 3, 3},
	{"2000", 2000, 36, 8, 2223, 2, 1},
	{"9-unequal", 9, 10, 3, 31, 3, 3, true},
	{"9-lost", 9, 10, 3, 31, 3, 3, false, LOAD_NO_ANSWER, 0.01},
};
#define RAMPS G_N_ELEMENTS(ramps)
/* Ramps that "overload_test small" checks. */
#define SMALL_RAMPS 2

/** The result of a ramp with one seed. */
typedef struct ramp_run_t {
	load_result_t result;
	double goodput[FACTORS]; /**< per second */
	double peak;
	double core_s; /**< processor time of the run */
} ramp_run_t;

static ramp_run_t *runs[RAMPS][SEEDS];

/* The two routes have the same rank and the same work, so that goodput does not depend on which of
 * them is served. */
static load_plan_t overload_plan(void)
{
	load_plan_t plan = load_plan_default();

	plan.admission = true;
	plan.connected = true;
	for (uint32_t i = 0; i < LOAD_ROUTES; i++) {
		plan.routes[i].rank = 1;
		plan.routes[i].work_us = 16700;
	}
	return plan;
}

static uint32_t step_from_s(const ramp_t *ramp, uint32_t step)
{
	return ramp->normal_s + step * ramp->step_s;
}

static load_plan_t ramp_plan(const ramp_t *ramp)
{
	load_plan_t plan = overload_plan();
	uint32_t end_s = step_from_s(ramp, FACTORS);

	plan.vms = ramp->vms;
	plan.shards = ramp->shards;
	plan.slots = ramp->slots;
	plan.max_queue = 4 * ramp->slots;
	plan.connections = ramp->connections;
	plan.unequal = plan.noisy = ramp->unequal;
	plan.steps[0] = (load_step_t){0, ramp->normal_s, NORMAL_LOAD, 0};
	for (uint32_t i = 0; i < FACTORS; i++)
		plan.steps[i + 1] = (load_step_t){step_from_s(ramp, i), step_from_s(ramp, i + 1),
						  factors[i], 0};
	plan.steps[FACTORS + 1] = (load_step_t){end_s, end_s + ramp->normal_s, NORMAL_LOAD, 0};
	plan.measure_from_s = ramp->normal_s;
	plan.measure_to_s = end_s;
	plan.end_s = end_s + ramp->normal_s;
	return plan;
}

static const ramp_run_t *run_ramp(size_t index, uint32_t seed)
{
	const ramp_t *ramp = &ramps[index];
	load_plan_t plan = ramp_plan(ramp);
	load_scenario_t scenario = {.name = ramp->name,
				    .offered = SEARCHERS,
				    .fault = ramp->fault,
				    .fault_share = 1,
				    .fault_odds = ramp->fault_odds,
				    .plan = &plan};
	ramp_run_t *run = runs[index][seed];
	clock_t start = clock();

	if (run)
		return run;
	run = runs[index][seed] = g_new0(ramp_run_t, 1);
	load_run(&scenario, seed + 1, &run->result);
	run->core_s = (double)(clock() - start) / CLOCKS_PER_SEC;
	for (uint32_t i = 0; i < FACTORS; i++) {
		run->goodput[i] = load_goodput_per_s(&run->result, step_from_s(ramp, i),
						     step_from_s(ramp, i + 1));
		run->peak = MAX(run->peak, run->goodput[i]);
	}
	return run;
}

static uint32_t sum_failed(const load_result_t *result)
{
	uint32_t sum = 0;

	for (uint32_t second = 0; second < LOAD_SECONDS_MAX; second++)
		for (uint32_t i = 0; i < LOAD_ROUTES; i++)
			sum += result->seconds[second][i].failed;
	return sum;
}

/* Share of the tries that were answered in time, of those that ended from second @p from to @p to.
 */
static double in_time_share(const load_result_t *result, uint32_t from, uint32_t to)
{
	uint32_t good = 0, all = 0;

	for (uint32_t second = from; second < to; second++)
		for (uint32_t i = 0; i < LOAD_ROUTES; i++) {
			const load_second_t *s = &result->seconds[second][i];

			good += s->whole + s->partial;
			all += s->whole + s->partial + s->late + s->refused + s->failed;
		}
	return all ? (double)good / all : 0;
}

/* ---- table ---- */

static void print_factor(size_t index, uint32_t factor)
{
	const ramp_t *ramp = &ramps[index];
	double sum = 0, share = 0, least = G_MAXDOUBLE, most = 0;

	for (uint32_t seed = 0; seed < SEEDS; seed++) {
		const ramp_run_t *run = run_ramp(index, seed);
		double of_peak = run->goodput[factor] / run->peak;

		sum += run->goodput[factor];
		share += of_peak;
		least = MIN(least, of_peak);
		most = MAX(most, of_peak);
	}
	printf("  %-9s %4.1f times: goodput %7.1f /s, of the peak %.3f (%.3f to %.3f)\n",
	       ramp->name, factors[factor], sum / SEEDS, share / SEEDS, least, most);
}

static void print_ramp(size_t index)
{
	const ramp_t *ramp = &ramps[index];
	load_plan_t plan = ramp_plan(ramp);
	uint32_t end_s = step_from_s(ramp, FACTORS);

	printf("%s: %u VMs, %u shards, %u slots; capacity %.0f gathers/s\n", ramp->name, ramp->vms,
	       ramp->shards, ramp->slots, SEARCHERS * load_capacity_per_s(&plan));
	for (uint32_t i = 0; i < FACTORS; i++)
		print_factor(index, i);
	for (uint32_t seed = 0; seed < SEEDS; seed++) {
		const load_result_t *result = &run_ramp(index, seed)->result;

		printf("  %-9s seed %u: rejected %.4f of %u, failed %u, refusal p50 %.1f p99 %.1f "
		       "max %.1f ms, refused after a part was sent %u, had run %u, normal again "
		       "%.3f, retries in time %.3f of %u, %.1f s of a core\n",
		       ramp->name, seed + 1,
		       (double)result->rejected / MAX(result->sub_requests, 1),
		       result->sub_requests, sum_failed(result),
		       (double)histogram_quantile_us(&result->refusal, 0.5) / 1000,
		       (double)histogram_quantile_us(&result->refusal, REFUSAL_QUANTILE) / 1000,
		       (double)result->refusal.max_us / 1000, result->refused_after_send,
		       result->refused_after_run,
		       in_time_share(result, end_s + RECOVERY_S, end_s + ramp->normal_s),
		       (double)result->second_tries_in_time / MAX(result->second_tries, 1),
		       result->second_tries, run_ramp(index, seed)->core_s);
	}
	fflush(stdout);
}

static int print_table(const char *only)
{
	printf("admission: %s\n", load_has_admission() ? "on" : "not in this build");
	for (size_t i = 0; i < RAMPS; i++)
		if (!only || !strcmp(only, ramps[i].name))
			print_ramp(i);
	return 0;
}

/* ---- ramps ---- */

static size_t ramp_index(void **state)
{
	return (size_t)((const ramp_t *)*state - ramps);
}

static double peak_share(const ramp_t *ramp, double peak)
{
	load_plan_t plan = ramp_plan(ramp);

	return peak / (SEARCHERS * load_capacity_per_s(&plan));
}

/* Guards against a goodput that falls as the load rises. */
static void test_goodput(void **state)
{
	const ramp_t *ramp = *state;
	bool failed = false;

	for (uint32_t i = 0; i < FACTORS; i++) {
		double sum = 0, least = 1;

		for (uint32_t seed = 0; seed < SEEDS; seed++) {
			const ramp_run_t *run = run_ramp(ramp_index(state), seed);
			double share = run->goodput[i] / run->peak;

			sum += share;
			least = MIN(least, share);
			if (peak_share(ramp, run->peak) < MIN_PEAK)
				fail_msg("%s, seed %u: the peak is %.3f of the capacity",
					 ramp->name, seed + 1, peak_share(ramp, run->peak));
		}
		if (factors[i] < 1 ||
		    (sum / SEEDS >= MIN_GOODPUT && least >= MIN_GOODPUT_OF_A_SEED))
			continue;
		print_error("%s: %.3f of the peak at %.1f times the capacity, least %.3f\n",
			    ramp->name, sum / SEEDS, factors[i], least);
		failed = true;
	}
	if (failed)
		fail();
}

/* Guards against refusals that come after a wait, or for requests that have run. */
static void test_refusals(void **state)
{
	const ramp_t *ramp = *state;

	for (uint32_t seed = 0; seed < SEEDS; seed++) {
		const load_result_t *result = &run_ramp(ramp_index(state), seed)->result;
		uint64_t took_us = histogram_quantile_us(&result->refusal, REFUSAL_QUANTILE);

		if (!result->refusal.count)
			fail_msg("%s, seed %u: nothing was refused", ramp->name, seed + 1);
		if (took_us > MAX_REFUSAL_US)
			fail_msg("%s, seed %u: 99 %% of the refusals take up to %.1f ms",
				 ramp->name, seed + 1, (double)took_us / 1000);
		if (result->refused_after_run)
			fail_msg("%s, seed %u: %u requests had run and were refused", ramp->name,
				 seed + 1, result->refused_after_run);
	}
}

/* Guards against sub-requests for which searchers have no place, and gathers that fail after their
 * parts have run. Where replies are lost, gathers also fail for that. */
static void test_rejections(void **state)
{
	const ramp_t *ramp = *state;

	for (uint32_t seed = 0; seed < SEEDS; seed++) {
		const load_result_t *result = &run_ramp(ramp_index(state), seed)->result;
		double share = (double)result->rejected / result->sub_requests;

		if (share >= MAX_REJECTED)
			fail_msg("%s, seed %u: searchers reject %.4f of the sub-requests",
				 ramp->name, seed + 1, share);
		if (!ramp->fault && sum_failed(result))
			fail_msg("%s, seed %u: %u requests fail", ramp->name, seed + 1,
				 sum_failed(result));
	}
}

/* Guards against queues or limits that outlast the overload. */
static void test_recovery(void **state)
{
	const ramp_t *ramp = *state;
	uint32_t end_s = step_from_s(ramp, FACTORS);

	for (uint32_t seed = 0; seed < SEEDS; seed++) {
		const load_result_t *result = &run_ramp(ramp_index(state), seed)->result;
		double share = in_time_share(result, end_s + RECOVERY_S, end_s + ramp->normal_s);

		if (share < MIN_NORMAL)
			fail_msg("%s, seed %u: %.3f in time from 1 s after the ramp", ramp->name,
				 seed + 1, share);
	}
}

/* ---- capacity that falls and recovers ---- */

#define SLOW_PEAK_FROM_S 2
#define SLOW_OVERLOAD_FROM_S 6
#define SLOW_FROM_S 10
#define SLOW_TO_S 16
#define SLOW_END_S 21
/* Share of the sub-requests at slowed-down searchers that may end past their target: twice that at
 * a tenth of the capacity, where none waits (0.08 to 0.10; 67 ms of work are close to the target of
 * 100 ms, and one in twenty meets a pause). */
#define MAX_SLOWED_LATE 0.20
/* Share of what the slowed-down searchers could do that they get at least. */
#define MIN_SLOWED_USED 0.5

static load_plan_t slow_plan(double factor)
{
	load_plan_t plan = overload_plan();

	plan.steps[0] = (load_step_t){0, SLOW_PEAK_FROM_S, NORMAL_LOAD, 0};
	plan.steps[1] = (load_step_t){SLOW_OVERLOAD_FROM_S, SLOW_END_S, 2, 0};
	plan.slowdowns[0] = (load_slowdown_t){SLOW_FROM_S, SLOW_TO_S, factor, 1};
	plan.end_s = SLOW_END_S;
	return plan;
}

static double slow_peak(const load_result_t *result)
{
	return MAX(load_goodput_per_s(result, SLOW_PEAK_FROM_S, SLOW_OVERLOAD_FROM_S),
		   load_goodput_per_s(result, SLOW_OVERLOAD_FROM_S, SLOW_FROM_S));
}

static void run_slow(double factor, uint32_t seed, load_result_t *result)
{
	load_plan_t plan = slow_plan(factor);
	load_scenario_t scenario = {.name = "slow", .offered = SEARCHERS, .plan = &plan};

	load_run(&scenario, seed + 1, result);
}

/* Guards against a goodput that falls by more than the capacity, or stays low after it is back. */
static void check_slow(double factor)
{
	double left = (SEARCHERS - 1 + 1 / factor) / SEARCHERS;
	double slow = 0, back = 0, peak = 0;
	load_plan_t plan = slow_plan(factor);

	for (uint32_t seed = 0; seed < SEEDS; seed++) {
		load_result_t result;

		run_slow(factor, seed, &result);
		slow += load_goodput_per_s(&result, SLOW_FROM_S, SLOW_TO_S) / slow_peak(&result);
		back += load_goodput_per_s(&result, SLOW_TO_S + RECOVERY_S, SLOW_END_S) /
			slow_peak(&result);
		peak += slow_peak(&result);
	}
	print_message("factor %.0f: %.3f of the peak while slow (%.3f of the capacity left), %.3f "
		      "after it\n",
		      factor, slow / SEEDS, left, back / SEEDS);
	assert_true(peak / SEEDS >= MIN_PEAK * SEARCHERS * load_capacity_per_s(&plan));
	assert_true(slow / SEEDS >= MIN_GOODPUT * left);
	assert_true(back / SEEDS >= MIN_GOODPUT);
}

static void test_slow_by_four(void **state)
{
	(void)state;
	check_slow(4);
}

static void test_slow_by_eight(void **state)
{
	(void)state;
	check_slow(8);
}

/* Guards against slow searchers that get more than they can do in time, or nothing. */
static void test_slow_searchers_load(void **state)
{
	load_plan_t plan = slow_plan(4);
	double able = plan.shards * load_capacity_per_s(&plan) / 4 * (SLOW_TO_S - SLOW_FROM_S);

	(void)state;
	for (uint32_t seed = 0; seed < SEEDS; seed++) {
		load_result_t result;
		double late, used;

		run_slow(4, seed, &result);
		late = (double)result.slowed_late / MAX(result.slowed, 1);
		used = (result.slowed - result.slowed_late) / able;
		if (late > MAX_SLOWED_LATE || used < MIN_SLOWED_USED)
			fail_msg("seed %u: %.3f of %u sub-requests end late, %.3f of what it can "
				 "do is used",
				 seed + 1, late, result.slowed, used);
	}
}

/* ---- ranks and tenants ---- */

#define RANK_FROM_S 3
#define RANK_MORE_FROM_S 9
#define RANK_END_S 15
#define LESS_URGENT 0
#define URGENT 1
/* Share of the urgent requests in time, while they alone are half of the capacity. */
#define MIN_URGENT 0.95
/* Share of the capacity that the lowest rank gets while urgent requests alone exceed it. One start
 * in eight goes to the one that has waited longest. */
#define MIN_LOWEST 0.05

static double route_in_time(const load_result_t *result, uint32_t route, uint32_t from, uint32_t to,
			    uint32_t *good)
{
	uint32_t all = 0;

	*good = 0;
	for (uint32_t second = from; second < to; second++) {
		const load_second_t *s = &result->seconds[second][route];

		*good += s->whole + s->partial;
		all += s->whole + s->partial + s->late + s->refused + s->failed;
	}
	return (double)*good / MAX(all, 1);
}

/* Guards against urgent requests that wait behind others, and others that get nothing. */
static void test_ranks(void **state)
{
	load_plan_t plan = overload_plan();
	load_scenario_t scenario = {.name = "ranks", .offered = SEARCHERS, .plan = &plan};
	double capacity = SEARCHERS * load_capacity_per_s(&plan);

	(void)state;
	plan.routes[LESS_URGENT].rank = 2;
	plan.routes[URGENT].rank = 0;
	plan.steps[0] = (load_step_t){0, RANK_FROM_S, NORMAL_LOAD, 0};
	plan.steps[1] = (load_step_t){RANK_FROM_S, RANK_MORE_FROM_S, 2, 0};
	plan.steps[2] = (load_step_t){RANK_MORE_FROM_S, RANK_END_S, 10, 0};
	plan.end_s = RANK_END_S;
	for (uint32_t seed = 0; seed < SEEDS; seed++) {
		uint32_t good;
		load_result_t result;
		double urgent, lowest;

		load_run(&scenario, seed + 1, &result);
		urgent = route_in_time(&result, URGENT, RANK_FROM_S, RANK_MORE_FROM_S, &good);
		route_in_time(&result, LESS_URGENT, RANK_MORE_FROM_S, RANK_END_S, &good);
		lowest = good / (capacity * (RANK_END_S - RANK_MORE_FROM_S));
		if (urgent < MIN_URGENT || lowest < MIN_LOWEST)
			fail_msg("seed %u: %.3f of the urgent requests in time at 2 times the "
				 "capacity, lowest rank %.3f of the capacity at 10 times",
				 seed + 1, urgent, lowest);
	}
}

#define HOT_FROM_S 4
#define HOT_TO_S 9
#define HOT_FACTOR 60
#define HOT_TENANT 7
/* The usual load of all tenants together. */
#define TENANTS_LOAD 0.5
/* Samples above the quantile differ by chance; the histogram resolves a sixteenth. */
#define P99_RESOLUTION (1 + 1.0 / HISTOGRAM_STEPS)
#define MAX_SHARE_LOST 0.01
#define MAX_SHARE_LOST_OF_ONE 0.03
/* Of the capacity. The other tenants leave 0.56 of it, and an equal share would be 0.125. */
#define MIN_LENT 0.45

static load_plan_t tenants_plan(bool hot)
{
	static const char *const names[LOAD_TENANTS_MAX] = {"t0", "t1", "t2", "t3",
							    "t4", "t5", "t6", "t7"};
	load_plan_t plan = overload_plan();

	for (uint32_t i = 0; i < LOAD_TENANTS_MAX; i++)
		plan.tenants[i] = (load_tenant_t){names[i], 1.0 / LOAD_TENANTS_MAX, 0};
	if (hot)
		plan.steps[0] = (load_step_t){HOT_FROM_S, HOT_TO_S, HOT_FACTOR, HOT_TENANT + 1};
	plan.measure_from_s = HOT_FROM_S;
	plan.measure_to_s = HOT_TO_S;
	plan.end_s = HOT_TO_S;
	return plan;
}

static void run_tenants(bool hot, uint32_t seed, load_result_t *result)
{
	load_plan_t plan = tenants_plan(hot);
	load_scenario_t scenario = {
		.name = "tenants", .offered = SEARCHERS * TENANTS_LOAD, .plan = &plan};

	load_run(&scenario, seed + 1, result);
}

static void add_tenant(load_tenant_result_t *sum, const load_tenant_result_t *tenant)
{
	sum->in_time += tenant->in_time;
	sum->late += tenant->late;
	sum->refused += tenant->refused;
	sum->failed += tenant->failed;
	sum->took.count += tenant->took.count;
	sum->took.max_us = MAX(sum->took.max_us, tenant->took.max_us);
	for (uint32_t i = 0; i < HISTOGRAM_BUCKETS; i++)
		sum->took.buckets[i] += tenant->took.buckets[i];
}

static double tenant_in_time(const load_tenant_result_t *tenant)
{
	uint32_t all = tenant->in_time + tenant->late + tenant->refused + tenant->failed;

	return (double)tenant->in_time / MAX(all, 1);
}

/** All seeds of a run with tenants. */
typedef struct tenants_sum_t {
	load_tenant_result_t each[LOAD_TENANTS_MAX];
	load_tenant_result_t others;	/**< all but the hot one */
	double mean_p99_us, max_p99_us; /**< of the others, over the seeds */
} tenants_sum_t;

/* Static: a failed check leaves its test without a clean-up. */
static const tenants_sum_t *sum_tenants(bool hot)
{
	static tenants_sum_t sums[2];
	tenants_sum_t *sum = &sums[hot];

	if (sum->others.took.count)
		return sum;
	for (uint32_t seed = 0; seed < SEEDS; seed++) {
		load_tenant_result_t others = {0};
		load_result_t result;
		double p99_us;

		run_tenants(hot, seed, &result);
		for (uint32_t i = 0; i < LOAD_TENANTS_MAX; i++) {
			add_tenant(&sum->each[i], &result.tenants[i]);
			if (i != HOT_TENANT)
				add_tenant(&others, &result.tenants[i]);
		}
		add_tenant(&sum->others, &others);
		p99_us = (double)histogram_quantile_us(&others.took, 0.99);
		sum->mean_p99_us += p99_us / SEEDS;
		sum->max_p99_us = MAX(sum->max_p99_us, p99_us);
	}
	return sum;
}

/* Guards against a tenant that sends sixty times its usual load and slows down the others. */
static void test_hot_tenant(void **state)
{
	const tenants_sum_t *usual = sum_tenants(false);
	const tenants_sum_t *hot = sum_tenants(true);
	double in_time = tenant_in_time(&usual->others);

	(void)state;
	print_message(
		"others' p99 %.1f ms (most of a seed %.1f), with the hot tenant %.1f; in time "
		"%.3f, with it %.3f\n",
		usual->mean_p99_us / 1000, usual->max_p99_us / 1000, hot->mean_p99_us / 1000,
		in_time, tenant_in_time(&hot->others));
	assert_true(hot->mean_p99_us <= usual->max_p99_us * P99_RESOLUTION);
	assert_true(tenant_in_time(&hot->others) >= in_time - MAX_SHARE_LOST);
	for (uint32_t i = 0; i < LOAD_TENANTS_MAX; i++)
		if (i != HOT_TENANT &&
		    tenant_in_time(&hot->each[i]) < in_time - MAX_SHARE_LOST_OF_ONE)
			fail_msg("tenant %u: %.3f in time, usually %.3f", i,
				 tenant_in_time(&hot->each[i]), in_time);
}

/* Guards against capacity that stays unused because its tenants don't ask for it. */
static void test_lent_share(void **state)
{
	const tenants_sum_t *hot = sum_tenants(true);
	load_plan_t plan = overload_plan();
	double able = SEARCHERS * load_capacity_per_s(&plan) * (HOT_TO_S - HOT_FROM_S) * SEEDS;

	(void)state;
	if (hot->each[HOT_TENANT].in_time < MIN_LENT * able)
		fail_msg("the hot tenant gets %.3f of the capacity",
			 hot->each[HOT_TENANT].in_time / able);
}

/* Guards against tenants that get a share other than that of their quotas. */
static void test_weights(void **state)
{
	load_plan_t plan = overload_plan();
	load_scenario_t scenario = {.name = "weights", .offered = SEARCHERS * 3, .plan = &plan};
	double in_time[2] = {0};

	(void)state;
	plan.tenants[0] = (load_tenant_t){"large", 0.5, 300};
	plan.tenants[1] = (load_tenant_t){"small", 0.5, 100};
	plan.measure_from_s = 2;
	plan.measure_to_s = plan.end_s = 8;
	for (uint32_t seed = 0; seed < SEEDS; seed++) {
		load_result_t result;

		load_run(&scenario, seed + 1, &result);
		for (uint32_t i = 0; i < G_N_ELEMENTS(in_time); i++)
			in_time[i] += result.tenants[i].in_time;
	}
	if (in_time[0] < 2.4 * in_time[1] || in_time[0] > 3.6 * in_time[1])
		fail_msg("quotas of 300 and 100: %.0f and %.0f in time", in_time[0], in_time[1]);
}

/* ---- without overload ---- */

#define THIRD_S 5

static void run_third(const ramp_t *ramp, bool admission, uint32_t seed, load_result_t *result)
{
	load_plan_t plan = ramp_plan(ramp);
	load_scenario_t scenario = {
		.name = "third", .offered = SEARCHERS * NORMAL_LOAD, .plan = &plan};

	memset(plan.steps, 0, sizeof(plan.steps));
	plan.measure_from_s = 0;
	plan.measure_to_s = plan.end_s = THIRD_S;
	plan.admission = admission;
	load_run(&scenario, seed + 1, result);
}

static bool is_same(const load_result_t *a, const load_result_t *b)
{
	for (uint32_t i = 0; i < LOAD_ROUTES; i++)
		if (memcmp(&a->routes[i].took, &b->routes[i].took, sizeof(a->routes[i].took)) != 0)
			return false;
	return !memcmp(a->seconds, b->seconds, sizeof(a->seconds)) &&
	       !memcmp(a->sub_requests_by_s, b->sub_requests_by_s, sizeof(a->sub_requests_by_s));
}

/* Guards against a change of the path without overload. Holds trivially in a build without
 * admission, which test_has_admission fails. */
static void test_third(void **state)
{
	const ramp_t *ramp = *state;

	for (uint32_t seed = 0; seed < SEEDS; seed++) {
		load_result_t without, with;

		run_third(ramp, false, seed, &without);
		run_third(ramp, true, seed, &with);
		if (!is_same(&with, &without))
			fail_msg("%s, seed %u: %u sub-requests, in time %.4f; without admission "
				 "%u and %.4f",
				 ramp->name, seed + 1, with.sub_requests,
				 in_time_share(&with, 0, THIRD_S), without.sub_requests,
				 in_time_share(&without, 0, THIRD_S));
	}
}

/* Guards against a build in which all other checks measure the forwarder without admission. */
static void test_has_admission(void **state)
{
	(void)state;
	if (!load_has_admission())
		fail_msg("this build has no forwarder_enable_admission()");
}

#define CHECKS_OF_A_RAMP 5

static void add_ramp_tests(struct CMUnitTest *tests, const ramp_t *ramp)
{
	const struct CMUnitTest checks[CHECKS_OF_A_RAMP] = {
		cmocka_unit_test(test_goodput), cmocka_unit_test(test_refusals),
		cmocka_unit_test(test_rejections), cmocka_unit_test(test_recovery),
		cmocka_unit_test(test_third)};

	for (size_t i = 0; i < CHECKS_OF_A_RAMP; i++) {
		tests[i] = checks[i];
		tests[i].name = g_strdup_printf("%s of %s", checks[i].name, ramp->name);
		tests[i].initial_state = (void *)ramp;
	}
}

static int check_all(size_t ramp_count)
{
	const struct CMUnitTest others[] = {
		cmocka_unit_test(test_has_admission), cmocka_unit_test(test_slow_by_four),
		cmocka_unit_test(test_slow_by_eight), cmocka_unit_test(test_slow_searchers_load),
		cmocka_unit_test(test_ranks),	      cmocka_unit_test(test_hot_tenant),
		cmocka_unit_test(test_lent_share),    cmocka_unit_test(test_weights),
	};
	struct CMUnitTest tests[G_N_ELEMENTS(others) + CHECKS_OF_A_RAMP * RAMPS];
	size_t count = G_N_ELEMENTS(others) + CHECKS_OF_A_RAMP * ramp_count;
	int failed;

	memcpy(tests, others, sizeof(others));
	for (size_t i = 0; i < ramp_count; i++)
		add_ramp_tests(&tests[G_N_ELEMENTS(others) + CHECKS_OF_A_RAMP * i], &ramps[i]);
	failed = _cmocka_run_group_tests("overload", tests, count, NULL, NULL);
	for (size_t i = G_N_ELEMENTS(others); i < count; i++)
		g_free((char *)tests[i].name);
	return failed;
}

int main(int argc, char **argv)
{
	int status;

	if (argc > 1 && !strcmp(argv[1], "table"))
		status = print_table(argc > 2 ? argv[2] : NULL);
	else
		status = check_all(argc > 1 && !strcmp(argv[1], "small") ? SMALL_RAMPS : RAMPS);
	for (size_t i = 0; i < RAMPS; i++)
		for (uint32_t seed = 0; seed < SEEDS; seed++)
			g_free(runs[i][seed]);
	return status;
}
