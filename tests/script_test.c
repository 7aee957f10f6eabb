/**
 * @file script_test.c
 * Runs the scripts under tests/scripts: "> command" lines, each followed by its expected output.
 *
 * Lines that start with '#' are comments: the faults, their effect on the caller, and the reason.
 */
#include "world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define PROPOSALS_MAX 8

typedef struct proposal_slot_t {
	char by[16];
	proposal_outcome_t end;
	uint64_t number;
} proposal_slot_t;

typedef struct runner_t {
	world_t *world;
	GString *out;
	proposal_slot_t proposals[PROPOSALS_MAX];
	uint32_t proposal_count;
} runner_t;

/** One command of the script language. */
typedef struct command_t {
	const char *name;
	void (*run)(runner_t *runner, char **args);
} command_t;

static void say(runner_t *runner, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void say(runner_t *runner, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	g_string_append_vprintf(runner->out, format, args);
	va_end(args);
	g_string_append_c(runner->out, '\n');
}

static uint32_t number(const char *text)
{
	return (uint32_t)strtoul(text, NULL, 10);
}

/* world VMS SEED SERVICE... */
static void run_world(runner_t *runner, char **args)
{
	g_autofree char *services = g_strjoinv(" ", args + 2);

	runner->world = world_new(services, number(args[0]), number(args[1]));
}

/* run MS */
static void run_run(runner_t *runner, char **args)
{
	world_run(runner->world, (uint64_t)number(args[0]) * 1000);
}

/* ask VM SERVICE NAME CLASS TIMEOUT_MS WHAT ; WHAT "@id" is a key issued when the world starts */
static void run_ask(runner_t *runner, char **args)
{
	request_class_t class;
	char key[64];

	if (!request_class_parse(args[3], &class))
		g_error("no class %s", args[3]);
	g_strlcpy(key, args[5], sizeof(key));
	if (*key == '@')
		snprintf(key, sizeof(key), "1700000001000-%s", args[5] + 1);
	world_ask(runner->world, number(args[0]), args[1], args[2], class,
		  (uint64_t)number(args[4]) * 1000, key);
}

/* result NAME */
static void run_result(runner_t *runner, char **args)
{
	const result_t *result = world_result(runner->world, args[0]);

	if (!result->answers) {
		say(runner, result->lost ? "lost with its VM" : "no answer yet");
	} else if (result->refusal != REFUSAL_NONE) {
		const refusal_class_t *class = refusal_class(result->refusal);

		say(runner, "refused %s ran=%s%s", class->type, ran_name(class->ran),
		    result->retry_after_us ? " come-back" : "");
	} else if (result->kind == SERVICE_ONCE) {
		say(runner, "ran");
	} else {
		say(runner, "%s snapshot=%u %u/%u", result->missing ? "partial" : "whole",
		    (uint32_t)result->version, result->answered, result->partitions);
	}
}

/* within NAME MS ; whether the request was answered within MS milliseconds */
static void run_within(runner_t *runner, char **args)
{
	const result_t *result = world_result(runner->world, args[0]);
	uint64_t took_us = result->answered_us - result->asked_us;

	say(runner, "%s",
	    result->answers && took_us <= (uint64_t)number(args[1]) * 1000 ? "yes" : "no");
}

/* before NAME NAME ; whether the first was answered before the second */
static void run_before(runner_t *runner, char **args)
{
	const result_t *first = world_result(runner->world, args[0]);
	const result_t *second = world_result(runner->world, args[1]);

	say(runner, "%s",
	    first->answers && (!second->answers || first->answered_us < second->answered_us)
		    ? "yes"
		    : "no");
}

static bool set_flag(replica_t *replica, const char *name, bool value)
{
	const struct {
		const char *name;
		bool *flag;
	} flags[] = {{"dead", &replica->dead},
		     {"frozen", &replica->frozen},
		     {"silent", &replica->silent},
		     {"shed", &replica->shed},
		     {"lie-ready", &replica->false_ready},
		     {"wrong-version", &replica->wrong_version},
		     {"truncate", &replica->truncate},
		     {"drop-reply", &replica->drop_reply},
		     {"claim-fewer", &replica->claim_fewer}};

	for (size_t i = 0; i < G_N_ELEMENTS(flags); i++) {
		if (!g_str_equal(flags[i].name, name))
			continue;
		*flags[i].flag = value;
		return true;
	}
	return false;
}

static void set_fault(runner_t *runner, replica_t *replica, const char *text)
{
	g_auto(GStrv) parts = g_strsplit(text, "=", 2);

	if (g_str_equal(parts[0], "leave"))
		world_leave(runner->world, replica);
	else if (g_str_equal(parts[0], "revive"))
		world_revive(runner->world, replica);
	else if (g_str_equal(parts[0], "slow"))
		replica->slow = number(parts[1]);
	else if (g_str_equal(parts[0], "versions"))
		sscanf(parts[1], "%" G_GUINT64_FORMAT ",%" G_GUINT64_FORMAT, &replica->versions[0],
		       &replica->versions[1]);
	else if (g_str_equal(parts[0], "repartitioned"))
		replica->repartitioned_from = number(parts[1]);
	else if (!set_flag(replica, parts[0], !parts[1] || g_str_equal(parts[1], "1")))
		g_error("no fault %s", text);
}

/* replica PATTERN FAULT... ; PATTERN may use '*' */
static void run_replica(runner_t *runner, char **args)
{
	uint32_t matched = 0;

	for (guint i = 0; i < runner->world->replicas->len; i++) {
		replica_t *replica = g_ptr_array_index(runner->world->replicas, i);

		if (!g_pattern_match_simple(args[0], replica->name) &&
		    !g_str_equal(args[0], replica->data_centre))
			continue;
		matched++;
		for (char **arg = args + 1; *arg; arg++)
			set_fault(runner, replica, *arg);
	}
	if (!matched)
		g_error("no replica %s", args[0]);
}

/* platform down|up|slow=MS|lose=N|late=N|stale=0|1 */
static void run_platform(runner_t *runner, char **args)
{
	world_t *world = runner->world;
	g_auto(GStrv) parts = g_strsplit(args[0], "=", 2);

	if (g_str_equal(parts[0], "slow"))
		world->platform_slow_us = (uint64_t)number(parts[1]) * 1000;
	else if (g_str_equal(parts[0], "lose"))
		world->lose_replies = number(parts[1]);
	else if (g_str_equal(parts[0], "late"))
		world->late_writes = number(parts[1]);
	else if (g_str_equal(parts[0], "stale"))
		world->platform_stale = number(parts[1]);
	else
		world->platform_down = g_str_equal(parts[0], "down");
}

/* vm N kill|restart|freeze|thaw|cut|join */
static void run_vm(runner_t *runner, char **args)
{
	world_t *world = runner->world;
	uint32_t vm = number(args[0]);

	if (g_str_equal(args[1], "kill"))
		world_kill(world, vm);
	else if (g_str_equal(args[1], "restart"))
		world_restart(world, vm);
	else if (g_str_equal(args[1], "freeze"))
		world_freeze(world, vm);
	else if (g_str_equal(args[1], "thaw"))
		world_thaw(world, vm);
	else
		world->vms[vm].cut_from_platform = g_str_equal(args[1], "cut");
}

/* effects ID */
static void run_effects(runner_t *runner, char **args)
{
	g_autofree char *key = g_strdup_printf("1700000001000-%s", args[0]);

	say(runner, "%u", world_effects(runner->world, key));
}

/* propose VM OUT BY ; OUT "-" withdraws nothing */
static void run_propose(runner_t *runner, char **args)
{
	proposal_slot_t *slot = &runner->proposals[runner->proposal_count++];

	g_strlcpy(slot->by, args[2], sizeof(slot->by));
	world_propose(runner->world, number(args[0]), g_str_equal(args[1], "-") ? "" : args[1],
		      args[2], &slot->end, &slot->number);
}

/* proposal BY */
static void run_proposal(runner_t *runner, char **args)
{
	static const char *const names[] = {[PROPOSAL_ACCEPTED] = "accepted",
					    [PROPOSAL_CONFLICT] = "conflict",
					    [PROPOSAL_UNKNOWN] = "unknown"};

	for (uint32_t i = 0; i < runner->proposal_count; i++)
		if (g_str_equal(runner->proposals[i].by, args[0]))
			say(runner, "%s %u", names[runner->proposals[i].end],
			    (uint32_t)runner->proposals[i].number);
}

/* config VM */
static void run_config(runner_t *runner, char **args)
{
	say(runner, "%u", (uint32_t)world_config_number(runner->world, number(args[0])));
}

/* work NAME MS ; whether the searcher got work in the last MS milliseconds */
static void run_work(runner_t *runner, char **args)
{
	const replica_t *replica = world_replica(runner->world, args[0]);
	uint64_t since_us = runner->world->now_us - (uint64_t)number(args[1]) * 1000;

	say(runner, "%s", replica->last_new_work_us >= since_us ? "yes" : "no");
}

/* extra SERVICE VM ; numbers of hedges, retries and restarts */
static void run_extra(runner_t *runner, char **args)
{
	const service_t *service =
		engine_service(runner->world->vms[number(args[1])].engine, args[0]);

	say(runner, "hedges=%u retries=%u restarts=%u", (uint32_t)service->counters.hedges,
	    (uint32_t)service->counters.retries, (uint32_t)service->counters.restarts);
}

/* check */
static void run_check(runner_t *runner, char **args)
{
	(void)args;
	world_check_end(runner->world);
	if (runner->world->violations->len)
		g_string_append(runner->out, runner->world->violations->str);
	else
		say(runner, "every promise holds");
}

static const command_t commands[] = {
	{"world", run_world},	  {"run", run_run},	      {"ask", run_ask},
	{"result", run_result},	  {"before", run_before},     {"within", run_within},
	{"replica", run_replica}, {"platform", run_platform}, {"vm", run_vm},
	{"effects", run_effects}, {"propose", run_propose},   {"proposal", run_proposal},
	{"config", run_config},	  {"work", run_work},	      {"extra", run_extra},
	{"check", run_check},
};

static void run_command(runner_t *runner, const char *line)
{
	g_auto(GStrv) words = g_strsplit(line, " ", 0);

	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (!g_str_equal(commands[i].name, words[0]))
			continue;
		commands[i].run(runner, words + 1);
		return;
	}
	g_error("no command %s", words[0]);
}

/* Returns the script with the actual output of its commands, to compare both as a whole. */
static char *run_script(const char *text)
{
	g_auto(GStrv) lines = g_strsplit(text, "\n", 0);
	runner_t runner = {.out = g_string_new(NULL)};

	for (char **line = lines; *line; line++) {
		if (g_str_has_prefix(*line, "> ")) {
			say(&runner, "%s", *line);
			run_command(&runner, *line + 2);
		} else if (**line == '#' || !**line) {
			say(&runner, "%s", *line);
		}
	}
	if (runner.world)
		world_free(runner.world);
	g_string_truncate(runner.out, runner.out->len - 1); /* one line break too many */
	return g_string_free(runner.out, FALSE);
}

static void script_test(void **state)
{
	const char *path = *state;
	g_autofree char *text = NULL, *got = NULL;

	assert_true(g_file_get_contents(path, &text, NULL, NULL));
	got = run_script(text);
	if (getenv("SCRIPTS_WRITE"))
		g_file_set_contents(path, got, -1, NULL);
	else
		assert_string_equal(got, text);
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	return g_strcmp0(*(char *const *)a, *(char *const *)b);
}

int main(int argc, char **argv)
{
	const char *folder = argc > 1 ? argv[1] : "tests/scripts";
	GDir *dir = g_dir_open(folder, 0, NULL);
	GPtrArray *names = g_ptr_array_new();
	struct CMUnitTest *tests;
	const char *name;

	while (dir && (name = g_dir_read_name(dir)))
		if (g_str_has_suffix(name, ".txt"))
			g_ptr_array_add(names, g_build_filename(folder, name, NULL));
	if (!names->len)
		g_error("no scripts in %s", folder);
	g_ptr_array_sort(names, compare_names);
	tests = g_new0(struct CMUnitTest, names->len);
	for (guint i = 0; i < names->len; i++)
		tests[i] = (struct CMUnitTest){
			.name = g_path_get_basename(g_ptr_array_index(names, i)),
			.test_func = script_test,
			.initial_state = g_ptr_array_index(names, i)};
	return _cmocka_run_group_tests("scripts", tests, names->len, NULL, NULL);
}
