/**
 * @file front_matrix_test.c
 * The fault matrix of forwarding: every fault at every step of a merged answer, of one that may be
 * repeated and of one that may not, and every pair of faults. Writes docs/FAULTS-FORWARDING.md or
 * compares it. front_world.h checks the promises as answers come.
 */
#include "front_world.h"
#include "matrix_page.h"

#include <stdio.h>

#define SEED 7
#define WARM_REQUESTS 40
#define WARM_EACH_US 100000
#define PATIENCE_US 800000
#define HEAL_AFTER_US 1500000
#define SETTLE_US 8000000
#define STILL_US 1000000

typedef struct scene_t scene_t;

/** One fault. */
typedef struct fault_t {
	const char *name;
	void (*inject)(scene_t *scene);
} fault_t;

/** One step of a request: after so many sendings and replies of it, or so long after it came. */
typedef struct step_t {
	const char *name;
	uint32_t sent, replied;
	uint64_t after_us;
} step_t;

struct scene_t {
	front_world_t *world;
	played_t *played;
	const char *service; /**< the one that faults hit */
	const fault_t *faults[2];
	const step_t *steps[2];
	bool injected[2];
	uint32_t sent_before, replied_before;
	bool armed;
};

static fake_t *fake_of(const scene_t *scene, const char *where)
{
	g_autofree char *id = g_strdup_printf("%s-%s", scene->service, where);

	return front_world_fake(scene->world, id);
}

#define NEAR_FAULT(name, behaviour)                                                                \
	static void near_##name(scene_t *scene)                                                    \
	{                                                                                          \
		front_world_behave(scene->world, fake_of(scene, "near"), behaviour);               \
	}                                                                                          \
	static void both_##name(scene_t *scene)                                                    \
	{                                                                                          \
		near_##name(scene);                                                                \
		front_world_behave(scene->world, fake_of(scene, "far"), behaviour);                \
	}

NEAR_FAULT(slow, SLOW)
NEAR_FAULT(hangs, HANGS)
NEAR_FAULT(fails, FAILS)
NEAR_FAULT(refuses, REFUSES)
NEAR_FAULT(cuts, CUTS)
NEAR_FAULT(lost, LOST)
NEAR_FAULT(replaced, REPLACED)

static void near_drains(scene_t *scene)
{
	front_world_drain(scene->world, fake_of(scene, "near"));
}

static void both_gone(scene_t *scene)
{
	front_world_remove(scene->world, fake_of(scene, "near"));
	front_world_remove(scene->world, fake_of(scene, "far"));
}

static void store_lapses(scene_t *scene)
{
	registry_store_lost(scene->world->registry);
	registry_store_recovered(scene->world->registry, scene->world->now_us);
	both_gone(scene);
}

static void new_version(scene_t *scene)
{
	front_world_configure(scene->world);
}

static void caller_leaves(scene_t *scene)
{
	if (scene->played)
		front_world_leave(scene->world, scene->played);
}

static void vm_leaves(scene_t *scene)
{
	forwarder_stop_accepting(scene->world->forwarder);
}

static void vm_stands_still(scene_t *scene)
{
	front_world_stand_still(scene->world, STILL_US);
}

static void told_hung(scene_t *scene)
{
	const observation_t sighting = {.type = OBSERVATION_HUNG,
					.searcher = fake_of(scene, "near")->id,
					.after_us = 300000};

	forwarder_take_observation(scene->world->forwarder, &sighting, scene->world->now_us);
}

static void budget_gone(scene_t *scene)
{
	registry_set_bound(scene->world->registry, 0, 0);
}

static const fault_t faults[] = {
	{"near one is slow", near_slow},
	{"near one hangs", near_hangs},
	{"near one fails", near_fails},
	{"near one refuses", near_refuses},
	{"near one cuts", near_cuts},
	{"near one is lost", near_lost},
	{"near one's address is another's", near_replaced},
	{"near one drains", near_drains},
	{"both are slow", both_slow},
	{"both hang", both_hangs},
	{"both fail", both_fails},
	{"both refuse", both_refuses},
	{"both cut", both_cuts},
	{"both are lost", both_lost},
	{"both addresses are others'", both_replaced},
	{"both are gone from the store", both_gone},
	{"both lapse while the store is away", store_lapses},
	{"a new version", new_version},
	{"the caller leaves", caller_leaves},
	{"the VM leaves", vm_leaves},
	{"the VM stands still", vm_stands_still},
	{"another VM tells that the near one hangs", told_hung},
	{"the budget is used up", budget_gone},
};

static const step_t steps[] = {
	{"before", 0, 0, 0},
	{"sent", 1, 0, 0},
	{"first reply", 1, 1, 0},
	{"late", 1, 0, 60000},
	{"near the target", 1, 0, 110000},
};
/* From this step on the near searcher is slow from the start, or the request would be over. */
#define STEP_LATE 3

/** What is under way. */
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

static bool is_due(const scene_t *scene, const step_t *step)
{
	const front_world_t *world = scene->world;

	return scene->played && world->sent - scene->sent_before >= step->sent &&
	       world->replied - scene->replied_before >= step->replied &&
	       world->now_us >= scene->played->sent_us + step->after_us;
}

static void on_stepped(void *ctx)
{
	scene_t *scene = ctx;

	for (int i = 0; scene->armed && i < 2; i++) {
		if (!scene->faults[i] || scene->injected[i] || !is_due(scene, scene->steps[i]))
			continue;
		scene->injected[i] = true;
		scene->faults[i]->inject(scene);
	}
}

static void warm(front_world_t *world, const kind_t *kind)
{
	for (int i = 0; i < WARM_REQUESTS; i++) {
		front_world_request(world, kind->route, PATIENCE_US);
		front_world_pass(world, WARM_EACH_US);
	}
}

static void heal(scene_t *scene)
{
	front_world_t *world = scene->world;

	for (guint i = 0; i < world->fakes->len; i++) {
		fake_t *fake = g_ptr_array_index(world->fakes, i);

		front_world_behave(world, fake, SERVES);
	}
}

static void inject_before(scene_t *scene)
{
	for (int i = 0; i < 2; i++) {
		if (!scene->faults[i] || scene->steps[i] != &steps[0])
			continue;
		scene->injected[i] = true;
		scene->faults[i]->inject(scene);
	}
}

/* Returns the outcome; the promises that were broken are printed and counted. */
static char *play(const kind_t *kind, const fault_t *const pair[2], const step_t *const at[2],
		  uint32_t *broken)
{
	front_world_t *world = front_world_new(SEED);
	scene_t scene = {.world = world,
			 .service = kind->service,
			 .faults = {pair[0], pair[1]},
			 .steps = {at[0], at[1]}};
	char *outcome;

	warm(world, kind);
	scene.sent_before = world->sent;
	scene.replied_before = world->replied;
	world->stepped = on_stepped;
	world->ctx = &scene;
	scene.armed = true;
	if ((at[1] ? at[1] : at[0]) >= &steps[STEP_LATE])
		near_slow(&scene);
	inject_before(&scene);
	scene.played = front_world_request(world, kind->route, PATIENCE_US);
	on_stepped(&scene);
	while (world->now_us < scene.played->sent_us + HEAL_AFTER_US) {
		front_world_pass(world, 1000);
		on_stepped(&scene);
	}
	scene.armed = false;
	heal(&scene);
	front_world_pass(world, SETTLE_US);
	front_world_check_end(world);
	if (world->wrong->len) {
		(*broken)++;
		printf("BROKEN %s, %s at \"%s\"%s%s:\n%s", kind->title, pair[0]->name, at[0]->name,
		       pair[1] ? " and " : "", pair[1] ? pair[1]->name : "", world->wrong->str);
	}
	outcome = g_strdup(scene.played->outcome->str);
	front_world_free(world);
	return outcome;
}

static uint32_t write_table(const kind_t *kind, GString *page)
{
	uint32_t broken = 0;

	g_string_append_printf(page, "\n## A fault during %s\n\n| fault |", kind->title);
	for (size_t s = 0; s < G_N_ELEMENTS(steps); s++)
		g_string_append_printf(page, " %s |", steps[s].name);
	g_string_append(page, "\n|---|---|---|---|---|---|\n");
	for (size_t f = 0; f < G_N_ELEMENTS(faults); f++) {
		g_string_append_printf(page, "| %s |", faults[f].name);
		for (size_t s = 0; s < G_N_ELEMENTS(steps); s++) {
			const fault_t *const one[2] = {&faults[f], NULL};
			const step_t *const at[2] = {&steps[s], NULL};
			g_autofree char *outcome = play(kind, one, at, &broken);

			g_string_append_printf(page, " %s |", outcome);
		}
		g_string_append_c(page, '\n');
	}
	return broken;
}

static uint32_t run_pairs(const kind_t *kind, uint32_t *pairs)
{
	uint32_t broken = 0;

	for (size_t f = 0; f < G_N_ELEMENTS(faults); f++) {
		for (size_t g = 0; g < G_N_ELEMENTS(faults); g++) {
			for (size_t s = 0; s + 1 < G_N_ELEMENTS(steps); s++) {
				const fault_t *const both[2] = {&faults[f], &faults[g]};
				const step_t *const at[2] = {&steps[s], &steps[s + 1]};

				g_free(play(kind, both, at, &broken));
				(*pairs)++;
			}
		}
	}
	return broken;
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
	uint32_t broken = 0, pairs = 0;

	for (size_t k = 0; k < G_N_ELEMENTS(kinds); k++)
		broken += write_table(&kinds[k], page);
	for (size_t k = 0; k < G_N_ELEMENTS(kinds); k++)
		broken += run_pairs(&kinds[k], &pairs);
	g_string_append_printf(page,
			       "\n## Pairs\n\nEvery two faults, one step apart, during each of the "
			       "three: %u runs, %u broke a promise.\n",
			       pairs, broken);
	broken += !matrix_page_matches("docs/FAULTS-FORWARDING.md", page, argc, argv);
	g_string_free(page, TRUE);
	printf("fault matrix of forwarding: %u pairs, %u broken\n", pairs, broken);
	return broken ? 1 : 0;
}
