/**
 * @file front_matrix_test.c
 * The fault matrix of forwarding: every fault at every step of a gathered, an idempotent and an
 * at-most-once request, and every pair of faults. Writes docs/FAULTS-FORWARDING.md or compares it
 * with the results. front_world.c checks the promises as answers arrive.
 */
#include "front_world.h"
#include "matrix_page.h"

#include <stdio.h>

#define SEED 7
#define WARM_REQUESTS 40
#define WARM_INTERVAL_US 100000
#define CALLER_TIMEOUT_US 800000
#define HEAL_AFTER_US 1500000
#define SETTLE_US 8000000
/* Shorter than the time-out of the routes. */
#define STOP_US 500000
#define SUSPEND_US 1000000

typedef struct scenario_t scenario_t;

/** A fault that a scenario injects. */
typedef struct fault_t {
	const char *name;
	void (*inject)(scenario_t *scenario);
} fault_t;

/** A step of a request: reached once @p sent sub-requests are sent, @p replied replies received and
 * @p after_us has passed since the request arrived. */
typedef struct step_t {
	const char *name;
	uint32_t sent, replied;
	uint64_t after_us;
} step_t;

struct scenario_t {
	front_world_t *world;
	test_request_t *test_request;
	const char *service; /**< the service whose searchers the faults affect */
	const fault_t *faults[2];
	const step_t *steps[2];
	bool injected[2];
	uint32_t sent_before, replied_before;
	bool injecting;
};

static fake_searcher_t *find_searcher(const scenario_t *scenario, const char *where)
{
	g_autofree char *id = g_strdup_printf("%s-%s", scenario->service, where);

	return front_world_searcher(scenario->world, id);
}

#define NEAR_FAULT(name, behaviour)                                                                \
	static void near_##name(scenario_t *scenario)                                              \
	{                                                                                          \
		front_world_set_behaviour(scenario->world, find_searcher(scenario, "near"),        \
					  behaviour);                                              \
	}                                                                                          \
	static void both_##name(scenario_t *scenario)                                              \
	{                                                                                          \
		near_##name(scenario);                                                             \
		front_world_set_behaviour(scenario->world, find_searcher(scenario, "far"),         \
					  behaviour);                                              \
	}

NEAR_FAULT(slow, SLOW)
NEAR_FAULT(hangs, HANGS)
NEAR_FAULT(fails, FAILS)
NEAR_FAULT(refuses, REFUSES)
NEAR_FAULT(disconnects, DISCONNECTS)
NEAR_FAULT(terminated, TERMINATED)
NEAR_FAULT(replaced, REPLACED)

static void near_drains(scenario_t *scenario)
{
	front_world_drain(scenario->world, find_searcher(scenario, "near"));
}

static void both_removed(scenario_t *scenario)
{
	front_world_remove(scenario->world, find_searcher(scenario, "near"));
	front_world_remove(scenario->world, find_searcher(scenario, "far"));
}

static void entries_lapse(scenario_t *scenario)
{
	registry_store_lost(scenario->world->registry, scenario->world->now_us);
	registry_store_recovered(scenario->world->registry, scenario->world->now_us);
	both_removed(scenario);
}

static void new_version(scenario_t *scenario)
{
	front_world_configure(scenario->world);
}

static void caller_abandons(scenario_t *scenario)
{
	if (scenario->test_request)
		front_world_abandon(scenario->world, scenario->test_request);
}

static void vm_stops_accepting(scenario_t *scenario)
{
	front_world_stop(scenario->world, STOP_US);
}

static void vm_suspended(scenario_t *scenario)
{
	front_world_suspend(scenario->world, SUSPEND_US);
}

static void reported_hung(scenario_t *scenario)
{
	const observation_t observation = {.type = OBSERVATION_HUNG,
					   .searcher = find_searcher(scenario, "near")->id,
					   .after_us = 300000};

	forwarder_take_observation(scenario->world->forwarder, &observation,
				   scenario->world->now_us);
}

static void budget_exhausted(scenario_t *scenario)
{
	registry_set_bound(scenario->world->registry, 0, 0);
}

static const fault_t faults[] = {
	{"near one is slow", near_slow},
	{"near one hangs", near_hangs},
	{"near one fails", near_fails},
	{"near one refuses", near_refuses},
	{"near one cuts", near_disconnects},
	{"near one is lost", near_terminated},
	{"near one's address is another's", near_replaced},
	{"near one drains", near_drains},
	{"both are slow", both_slow},
	{"both hang", both_hangs},
	{"both fail", both_fails},
	{"both refuse", both_refuses},
	{"both cut", both_disconnects},
	{"both are lost", both_terminated},
	{"both addresses are others'", both_replaced},
	{"both are gone from the store", both_removed},
	{"both lapse while the store is away", entries_lapse},
	{"a new version", new_version},
	{"the caller leaves", caller_abandons},
	{"the VM leaves", vm_stops_accepting},
	{"the VM stands still", vm_suspended},
	{"another VM tells that the near one hangs", reported_hung},
	{"the budget is used up", budget_exhausted},
};

static const step_t steps[] = {
	{"before", 0, 0, 0},
	{"sent", 1, 0, 0},
	{"first reply", 1, 1, 0},
	{"late", 1, 0, 60000},
	{"near the target", 1, 0, 110000},
};
/* In this step and the later ones the near searcher is slow from the start; otherwise the request
 * would be answered before the step is reached. */
#define STEP_LATE 3

/** The kind of request that a fault affects. */
typedef struct kind_t {
	const char *title;
	const char *route;
	const char *service;
} kind_t;

static const kind_t kinds[] = {
	{"a merged answer of three parts", "find", "b"},
	{"an answer of one searcher, which may be asked again", "get", "s"},
	{"an answer of one searcher, at most once", "act", "s"},
};

static bool is_due(const scenario_t *scenario, const step_t *step)
{
	const front_world_t *world = scenario->world;

	return scenario->test_request && world->sent - scenario->sent_before >= step->sent &&
	       world->replied - scenario->replied_before >= step->replied &&
	       world->now_us >= scenario->test_request->sent_us + step->after_us;
}

static void on_stepped(void *ctx)
{
	scenario_t *scenario = ctx;

	for (int i = 0; scenario->injecting && i < 2; i++) {
		if (!scenario->faults[i] || scenario->injected[i] ||
		    !is_due(scenario, scenario->steps[i]))
			continue;
		scenario->injected[i] = true;
		scenario->faults[i]->inject(scenario);
	}
}

static void warm_up(front_world_t *world, const kind_t *kind)
{
	for (int i = 0; i < WARM_REQUESTS; i++) {
		front_world_request(world, kind->route, CALLER_TIMEOUT_US);
		front_world_advance(world, WARM_INTERVAL_US);
	}
}

static void heal_searchers(scenario_t *scenario)
{
	front_world_t *world = scenario->world;

	for (guint i = 0; i < world->fakes->len; i++) {
		fake_searcher_t *fake = g_ptr_array_index(world->fakes, i);

		front_world_set_behaviour(world, fake, SERVES);
	}
}

static void inject_before(scenario_t *scenario)
{
	for (int i = 0; i < 2; i++) {
		if (!scenario->faults[i] || scenario->steps[i] != &steps[0])
			continue;
		scenario->injected[i] = true;
		scenario->faults[i]->inject(scenario);
	}
}

/* Returns the outcome; prints the violations and counts the run as failed if there are any. */
static char *run_scenario(const kind_t *kind, const fault_t *const pair[2],
			  const step_t *const at[2], uint32_t *failed_runs)
{
	front_world_t *world = front_world_new(SEED);
	scenario_t scenario = {.world = world,
			       .service = kind->service,
			       .faults = {pair[0], pair[1]},
			       .steps = {at[0], at[1]}};
	char *outcome;

	warm_up(world, kind);
	scenario.sent_before = world->sent;
	scenario.replied_before = world->replied;
	world->after_step = on_stepped;
	world->ctx = &scenario;
	scenario.injecting = true;
	if ((at[1] ? at[1] : at[0]) >= &steps[STEP_LATE])
		near_slow(&scenario);
	inject_before(&scenario);
	scenario.test_request = front_world_request(world, kind->route, CALLER_TIMEOUT_US);
	on_stepped(&scenario);
	while (world->now_us < scenario.test_request->sent_us + HEAL_AFTER_US) {
		front_world_advance(world, 1000);
		on_stepped(&scenario);
	}
	scenario.injecting = false;
	heal_searchers(&scenario);
	front_world_advance(world, SETTLE_US);
	front_world_check_end(world);
	if (world->violations->len) {
		(*failed_runs)++;
		printf("BROKEN %s, %s at \"%s\"%s%s:\n%s", kind->title, pair[0]->name, at[0]->name,
		       pair[1] ? " and " : "", pair[1] ? pair[1]->name : "",
		       world->violations->str);
	}
	outcome = g_strdup(scenario.test_request->outcome->str);
	front_world_free(world);
	return outcome;
}

static uint32_t write_table(const kind_t *kind, GString *page)
{
	uint32_t failed_runs = 0;

	g_string_append_printf(page, "\n## A fault during %s\n\n| fault |", kind->title);
	for (size_t s = 0; s < G_N_ELEMENTS(steps); s++)
		g_string_append_printf(page, " %s |", steps[s].name);
	g_string_append(page, "\n|---|---|---|---|---|---|\n");
	for (size_t f = 0; f < G_N_ELEMENTS(faults); f++) {
		g_string_append_printf(page, "| %s |", faults[f].name);
		for (size_t s = 0; s < G_N_ELEMENTS(steps); s++) {
			const fault_t *const one[2] = {&faults[f], NULL};
			const step_t *const at[2] = {&steps[s], NULL};
			g_autofree char *outcome = run_scenario(kind, one, at, &failed_runs);

			g_string_append_printf(page, " %s |", outcome);
		}
		g_string_append_c(page, '\n');
	}
	return failed_runs;
}

static uint32_t run_pairs(const kind_t *kind, uint32_t *pairs)
{
	uint32_t failed_runs = 0;

	for (size_t f = 0; f < G_N_ELEMENTS(faults); f++) {
		for (size_t g = 0; g < G_N_ELEMENTS(faults); g++) {
			for (size_t s = 0; s + 1 < G_N_ELEMENTS(steps); s++) {
				const fault_t *const both[2] = {&faults[f], &faults[g]};
				const step_t *const at[2] = {&steps[s], &steps[s + 1]};

				g_free(run_scenario(kind, both, at, &failed_runs));
				(*pairs)++;
			}
		}
	}
	return failed_runs;
}

static const char head[] =
	"# Faults of forwarding\n\n"
	"Generated by `build-san/front_matrix_test write`; `make check` fails when it no longer "
	"matches.\n\n"
	"Each cell is one run over the real decisions with fake searchers, two for each service: "
	"one near\n"
	"(12 ms) and one far (40 ms). The fault comes at that step and heals 1.5 s after the "
	"request came;\n"
	"the cell says what the caller was told. The target is 150 ms, the timeout 700, the "
	"caller's\n"
	"patience 800, two of three parts are enough; in the last two columns the near one is slow "
	"(120 ms)\n"
	"from the start. In each run every promise is checked: one answer, in time (a VM that "
	"stands still\n"
	"answers when it goes on), of its own parts with true coverage; at most once what may not "
	"be\n"
	"repeated; \"not run\" only when nothing ran, then or later; no more tries than allowed; "
	"nothing sent\n"
	"to one that leaves; nothing left open or out at the end.\n";

int main(int argc, char **argv)
{
	GString *page = g_string_new(head);
	uint32_t failed_runs = 0, pairs = 0;

	for (size_t k = 0; k < G_N_ELEMENTS(kinds); k++)
		failed_runs += write_table(&kinds[k], page);
	for (size_t k = 0; k < G_N_ELEMENTS(kinds); k++)
		failed_runs += run_pairs(&kinds[k], &pairs);
	g_string_append_printf(page,
			       "\n## Pairs\n\nEvery two faults, one step apart, during each of the "
			       "three: %u runs, %u broke a promise.\n",
			       pairs, failed_runs);
	failed_runs += !matrix_page_matches("docs/FAULTS-FORWARDING.md", page, argc, argv);
	g_string_free(page, TRUE);
	printf("fault matrix of forwarding: %u pairs, %u broken\n", pairs, failed_runs);
	return failed_runs ? 1 : 0;
}
