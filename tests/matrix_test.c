/**
 * @file matrix_test.c
 * The fault matrix: every specified fault at every step of a search, a look-up, an action and a
 * change of configuration, and every pair of faults. Writes docs/FAULTS.md or compares it.
 *
 * The guarantees to callers hold in every cell (world.h checks each answer). In addition, a search
 * or look-up must be answered completely if each group keeps a working searcher and the VM keeps
 * running.
 */
#include "matrix_page.h"
#include "world.h"

#include <stdio.h>
#include <string.h>

#define SERVICES "board=gather:3x3x2 profile=lookup:1x4x4 mail=once:1x3x1"
#define SEED 11
#define HEAL_AFTER_US 2500000
#define SETTLE_US 6000000
#define TIMEOUT_US 1500000

typedef struct scenario_t scenario_t;

/** One specified fault. */
typedef struct fault_t {
	const char *name;
	void (*inject)(scenario_t *scenario);
	bool expects_complete_answer; /**< a search or look-up must still be answered completely */
} fault_t;

/** When a fault is injected: at an event of the VM, or a time after the request. */
typedef struct step_t {
	const char *name;
	const char *event; /**< "send", "read", "write", "claimed"; NULL for `after_us` */
	uint32_t occurrence;
	uint64_t after_us;
} step_t;

/** The operation that runs when a fault is injected. */
typedef struct kind_t {
	const char *name;
	const char *service; /**< NULL: a change of configuration */
	const step_t *steps;
	size_t step_count;
} kind_t;

struct scenario_t {
	world_t *world;
	const fault_t *fault, *second;
	const step_t *step, *second_step;
	uint32_t seen, second_seen;
	bool injected, second_injected;
	proposal_outcome_t proposal_outcome, racing_outcome;
	uint64_t proposal_number, racing_number;
};

static replica_t *first_of(scenario_t *scenario, const char *service)
{
	for (guint i = 0; i < scenario->world->replicas->len; i++) {
		replica_t *replica = g_ptr_array_index(scenario->world->replicas, i);

		if (g_str_has_prefix(replica->name, service))
			return replica;
	}
	return NULL;
}

static void each_first(scenario_t *scenario, void (*change)(replica_t *replica))
{
	static const char *const services[] = {"board", "profile", "mail"};

	for (size_t i = 0; i < G_N_ELEMENTS(services); i++)
		change(first_of(scenario, services[i]));
}

static void make_slow(replica_t *replica)
{
	replica->slow = 100;
}

static void make_dead(replica_t *replica)
{
	replica->dead = true;
}

static void straggler(scenario_t *scenario)
{
	each_first(scenario, make_slow);
}

static void replica_lost(scenario_t *scenario)
{
	each_first(scenario, make_dead);
}

/* A new version with one more partition per group replaces the oldest one. */
static void repartition(scenario_t *scenario)
{
	for (guint i = 0; i < scenario->world->replicas->len; i++) {
		replica_t *replica = g_ptr_array_index(scenario->world->replicas, i);
		uint64_t *versions = replica->versions;
		uint64_t next = MAX(versions[0], versions[1]) + 1;

		replica->repartitioned_from = (uint32_t)next;
		versions[versions[0] > versions[1]] = next;
	}
}

static void versions_change(scenario_t *scenario)
{
	for (guint i = 0; i < scenario->world->replicas->len; i++) {
		replica_t *replica = g_ptr_array_index(scenario->world->replicas, i);

		replica->versions[0] = 3;
		replica->versions[1] = 4;
	}
}

static void platform_down(scenario_t *scenario)
{
	scenario->world->platform_down = true;
}

static void platform_slow(scenario_t *scenario)
{
	scenario->world->platform_slow_us = 700000;
}

static void platform_answer_lost(scenario_t *scenario)
{
	scenario->world->lose_replies++;
}

static void platform_write_late(scenario_t *scenario)
{
	scenario->world->late_writes++;
}

static void paused_past_lease(scenario_t *scenario)
{
	world_freeze(scenario->world, 0);
}

static void operators_race(scenario_t *scenario)
{
	world_propose(scenario->world, 1, "split", "ivo", &scenario->racing_outcome,
		      &scenario->racing_number);
}

static void silent(scenario_t *scenario)
{
	for (guint i = 0; i < scenario->world->replicas->len; i++)
		((replica_t *)g_ptr_array_index(scenario->world->replicas, i))->silent = true;
}

static void data_centres_cut(scenario_t *scenario)
{
	for (guint i = 0; i < scenario->world->replicas->len; i++) {
		replica_t *replica = g_ptr_array_index(scenario->world->replicas, i);

		/* The VM that gets the request is in Zagreb; packets to Osijek are lost. */
		if (g_str_equal(replica->data_centre, "osijek"))
			replica->frozen = true;
	}
}

static void vm_killed(scenario_t *scenario)
{
	if (!scenario->world->vms[0].dead)
		world_kill(scenario->world, 0);
}

static void thaw_vm(scenario_t *scenario)
{
	if (scenario->world->vms[0].frozen)
		world_thaw(scenario->world, 0);
}

static void vm_frozen(scenario_t *scenario)
{
	world_freeze(scenario->world, 0);
}

static void overloaded(scenario_t *scenario)
{
	for (guint i = 0; i < scenario->world->replicas->len; i++)
		((replica_t *)g_ptr_array_index(scenario->world->replicas, i))->shed = true;
}

static const fault_t faults[] = {
	{"straggler", straggler, true},
	{"replica lost", replica_lost, true},
	{"versions change", versions_change, true},
	{"repartition", repartition, true},
	{"platform down", platform_down, true},
	{"platform slow", platform_slow, true},
	{"platform answer lost", platform_answer_lost, true},
	{"platform write late", platform_write_late, true},
	{"paused past its lease", paused_past_lease, false},
	{"operators racing", operators_race, true},
	{"connections gone silent", silent, true},
	{"cut between data centres", data_centres_cut, true},
	{"VM killed", vm_killed, false},
	{"VM frozen", vm_frozen, false},
	{"all shed", overloaded, false},
};

static const step_t search_steps[] = {{"before", NULL, 0, 0},
				      {"first part sent", "send", 1, 0},
				      {"last part sent", "send", 3, 0},
				      {"parts answered", NULL, 0, 6000}};
static const step_t lookup_steps[] = {
	{"before", NULL, 0, 0}, {"sent", "send", 1, 0}, {"being answered", NULL, 0, 3000}};
static const step_t action_steps[] = {
	{"before", NULL, 0, 0},		  {"claim read", "read", 1, 0},
	{"claim written", "write", 1, 0}, {"claimed", "claimed", 1, 0},
	{"sent", "send", 1, 0},		  {"being run", NULL, 0, 6000}};
static const step_t change_steps[] = {{"before", NULL, 0, 0},
				      {"written", "write", 1, 0},
				      {"read back or accepted", NULL, 0, 3000},
				      {"being taken up", NULL, 0, 100000}};

static const kind_t kinds[] = {
	{"search", "board", search_steps, G_N_ELEMENTS(search_steps)},
	{"look-up", "profile", lookup_steps, G_N_ELEMENTS(lookup_steps)},
	{"action", "mail", action_steps, G_N_ELEMENTS(action_steps)},
	{"configuration change", NULL, change_steps, G_N_ELEMENTS(change_steps)},
};

/* ---- one cell ---- */

static void inject(scenario_t *scenario, const fault_t *fault)
{
	fault->inject(scenario);
	/*
	 * The two faults that freeze the VM differ only in length: for a moment, or past every
	 * lease and deadline.
	 */
	if (fault->inject == vm_frozen)
		world_run(scenario->world, 0);
}

static void on_step(void *ctx, vm_t *vm, const char *event)
{
	scenario_t *scenario = ctx;

	if (vm->index != 0)
		return;
	if (!scenario->injected && scenario->step->event &&
	    g_str_equal(scenario->step->event, event) &&
	    ++scenario->seen == scenario->step->occurrence) {
		scenario->injected = true;
		inject(scenario, scenario->fault);
	}
	if (scenario->second && !scenario->second_injected && scenario->second_step->event &&
	    g_str_equal(scenario->second_step->event, event) &&
	    ++scenario->second_seen == scenario->second_step->occurrence) {
		scenario->second_injected = true;
		inject(scenario, scenario->second);
	}
}

static void run_until_fault(scenario_t *scenario, const fault_t *fault, const step_t *step,
			    bool *done)
{
	if (*done || step->event)
		return;
	world_run(scenario->world, step->after_us);
	*done = true;
	inject(scenario, fault);
}

static void heal(scenario_t *scenario)
{
	world_t *world = scenario->world;

	thaw_vm(scenario);
	world->platform_down = false;
	world->platform_slow_us = 0;
	world->lose_replies = world->late_writes = 0;
	for (guint i = 0; i < world->replicas->len; i++) {
		replica_t *replica = g_ptr_array_index(world->replicas, i);

		if (replica->dead)
			world_revive(world, replica);
		replica->frozen = replica->silent = replica->shed = false;
		replica->slow = 0;
	}
	if (world->vms[0].dead)
		world_restart(world, 0);
}

static void start(scenario_t *scenario, const kind_t *kind)
{
	char key[64];

	if (!kind->service) {
		world_propose(scenario->world, 0, "zagreb", "ana", &scenario->proposal_outcome,
			      &scenario->proposal_number);
		return;
	}
	world_key(scenario->world, key, "matrix");
	world_ask(scenario->world, 0, kind->service, "q", CLASS_NORMAL, TIMEOUT_US,
		  g_str_equal(kind->service, "mail") ? key : "x1");
}

static void run_scenario(scenario_t *scenario, const kind_t *kind)
{
	world_t *world = scenario->world;
	bool frozen_briefly;

	/* Warm up: latencies are measured, connections open, the claims' bucket read. */
	for (int i = 0; i < 5; i++) {
		char name[16];

		snprintf(name, sizeof(name), "warm%d", i);
		world_ask(world, 0, "board", name, CLASS_NORMAL, TIMEOUT_US, "x");
		world_run(world, 100000);
	}
	world->on_step = on_step;
	world->ctx = scenario;
	if (!scenario->step->event && scenario->step->after_us == 0) {
		scenario->injected = true;
		inject(scenario, scenario->fault);
	}
	if (world->vms[0].dead || world->vms[0].frozen)
		goto settle; /* no VM takes the request */
	start(scenario, kind);
	run_until_fault(scenario, scenario->fault, scenario->step, &scenario->injected);
	if (scenario->second)
		run_until_fault(scenario, scenario->second, scenario->second_step,
				&scenario->second_injected);
	frozen_briefly = scenario->fault->inject == vm_frozen;
	world_run(world, frozen_briefly ? 300000 : HEAL_AFTER_US);
settle:
	world->on_step = NULL;
	heal(scenario);
	world_run(world, SETTLE_US);
	world_check_end(world);
}

/* Checks that two racing changes were not accepted under one number, that VMs 0 and 1 have
 * the same configuration number, and that an accepted change is in force. */
static void check_change(scenario_t *scenario, GString *out)
{
	world_t *world = scenario->world;
	bool both = scenario->proposal_outcome == PROPOSAL_ACCEPTED &&
		    scenario->racing_outcome == PROPOSAL_ACCEPTED &&
		    scenario->proposal_number == scenario->racing_number && scenario->racing_number;

	if (both)
		g_string_append(world->violations, "two changes were accepted as one number\n");
	if (world_config_number(world, 0) != world_config_number(world, 1))
		g_string_append(world->violations, "the VMs have different configurations\n");
	if (scenario->proposal_outcome == PROPOSAL_ACCEPTED &&
	    world_config_number(world, 1) < scenario->proposal_number)
		g_string_append(world->violations, "accepted, and not in force\n");
	g_string_append(out, scenario->proposal_outcome == PROPOSAL_ACCEPTED   ? "accepted"
			     : scenario->proposal_outcome == PROPOSAL_CONFLICT ? "conflict told"
									       : "unknown told");
}

static void describe(scenario_t *scenario, const kind_t *kind, GString *out)
{
	const result_t *result = world_result(scenario->world, "q");

	if (!kind->service && (scenario->proposal_number || scenario->injected)) {
		check_change(scenario, out);
	} else if (!result) {
		g_string_append(out, "not asked: nobody was there");
	} else if (result->lost) {
		g_string_append(out, "lost with its VM");
	} else if (result->refusal != REFUSAL_NONE) {
		g_string_append_printf(out, "%s, ran %s", refusal_class(result->refusal)->type,
				       ran_name(refusal_class(result->refusal)->ran));
	} else if (result->kind == SERVICE_ONCE) {
		g_string_append(out, "ran once");
	} else {
		g_string_append(out, result->missing ? "partial" : "whole");
	}
}

static bool is_complete_or_gone(const scenario_t *scenario)
{
	const result_t *result = world_result(scenario->world, "q");

	return !result || result->lost || (result->refusal == REFUSAL_NONE && result->missing == 0);
}

/* Runs one cell; returns true if every guarantee held. */
static bool run_cell(const kind_t *kind, const fault_t *fault, const step_t *step,
		     const fault_t *second, const step_t *second_step, GString *out)
{
	scenario_t scenario = {
		.fault = fault, .step = step, .second = second, .second_step = second_step};
	bool good;

	scenario.world = world_new(SERVICES, 2, SEED);
	scenario.proposal_outcome = scenario.racing_outcome = PROPOSAL_UNKNOWN;
	run_scenario(&scenario, kind);
	describe(&scenario, kind, out);
	if (!second && fault->expects_complete_answer && kind->service &&
	    !g_str_equal(kind->service, "mail") && !is_complete_or_gone(&scenario))
		g_string_append(scenario.world->violations,
				"not whole, though every group was served\n");
	good = scenario.world->violations->len == 0;
	if (!good) {
		g_string_append(out, " **BROKEN**");
		fprintf(stderr, "%s / %s / %s%s%s: %s", kind->name, fault->name, step->name,
			second ? " + " : "", second ? second->name : "",
			scenario.world->violations->str);
	}
	world_free(scenario.world);
	return good;
}

/* ---- the page ---- */

static uint32_t write_table(const kind_t *kind, GString *page)
{
	uint32_t broken = 0;

	g_string_append_printf(page, "\n## A fault during a %s\n\n| fault |", kind->name);
	for (size_t s = 0; s < kind->step_count; s++)
		g_string_append_printf(page, " %s |", kind->steps[s].name);
	g_string_append(page, "\n|---|");
	for (size_t s = 0; s < kind->step_count; s++)
		g_string_append(page, "---|");
	g_string_append(page, "\n");
	for (size_t f = 0; f < G_N_ELEMENTS(faults); f++) {
		g_string_append_printf(page, "| %s |", faults[f].name);
		for (size_t s = 0; s < kind->step_count; s++) {
			g_string_append(page, " ");
			broken += !run_cell(kind, &faults[f], &kind->steps[s], NULL, NULL, page);
			g_string_append(page, " |");
		}
		g_string_append(page, "\n");
	}
	return broken;
}

static uint32_t run_pairs(const kind_t *kind, uint32_t *count)
{
	g_autoptr(GString) ignored = g_string_new(NULL);
	uint32_t broken = 0;

	for (size_t a = 0; a < G_N_ELEMENTS(faults); a++)
		for (size_t b = 0; b < G_N_ELEMENTS(faults); b++)
			for (size_t s = 1; s < kind->step_count; s++) {
				if (a == b)
					continue;
				broken += !run_cell(kind, &faults[a], &kind->steps[s - 1],
						    &faults[b], &kind->steps[s], ignored);
				++*count;
			}
	return broken;
}

static const char *const head = "# Faults\n\n"
				"Generated by `build-san/matrix_test write`; `make check` fails "
				"when it no longer matches.\n\n"
				"Each cell is one run over the real decisions with small fakes: "
				"the fault comes at that step, stays\n"
				"for 2.5 s (a frozen VM: 0.3 s) and heals; the cell says what the "
				"caller or operator was told. In\n"
				"each run every promise is checked: one answer, of one snapshot, "
				"with true coverage; an action at\n"
				"most once; \"not run\" only when it did not run; no new work to a "
				"searcher that leaves; a\n"
				"configuration that never goes back. \"paused past its lease\": "
				"the VM sleeps for longer than every\n"
				"deadline. \"not asked\": the fault comes first and takes the VM "
				"that would have been asked.\n";

static const char *const tail =
	"\n## A fault during a planned stop\n\n"
	"With real processes: `tests/system/planned_stop.sh` (slow callers, a balancer that goes "
	"on sending,\n"
	"a searcher lost and the platform down while stopping). Not yet: the other faults.\n\n"
	"## A fault during an intent\n\n"
	"An intent is one conditional write so far, so the table of a configuration change holds "
	"for\n"
	"it. With real processes: `tests/system/operators.sh` (operators racing, a stale plan, a\n"
	"searcher lost before the confirmation, all under load). Not yet: intents of several "
	"steps.\n";

int main(int argc, char **argv)
{
	GString *page = g_string_new(head);
	uint32_t broken = 0, pairs = 0;

	for (size_t k = 0; k < G_N_ELEMENTS(kinds); k++)
		broken += write_table(&kinds[k], page);
	for (size_t k = 0; k < G_N_ELEMENTS(kinds); k++)
		broken += run_pairs(&kinds[k], &pairs);
	g_string_append_printf(page,
			       "\n## Pairs\n\nEvery two faults, one step apart, during each of the "
			       "four: %u runs, %u broke a "
			       "promise.\n",
			       pairs, broken);
	g_string_append(page, tail);
	broken += !matrix_page_matches("docs/FAULTS.md", page, argc, argv);
	printf("fault matrix: %u pairs, %u broken\n", pairs, broken);
	return broken ? 1 : 0;
}
