/**
 * @file script_runner.h
 * Runs scripts of commands and compares their output with the expected lines, which begin with
 * "> ".
 *
 * With WRITE_SCRIPTS=1 in the environment, the output is written into the scripts instead.
 */
#ifndef DS_TESTS_SCRIPT_RUNNER_H
#define DS_TESTS_SCRIPT_RUNNER_H

#include <glib.h>

/** One command of a script; words[0] is its name. */
typedef struct script_command_t {
	const char *name;
	void (*run)(void *fixture, char **words);
} script_command_t;

typedef struct script_runner_ops_t {
	const char *folder; /**< directory of the scripts */
	/** Create the state of a run, which prints to @p out. */
	void *(*start)(GString *out);
	void (*end)(void *fixture);
	const script_command_t *commands;
	size_t command_count;
} script_runner_ops_t;

/** Run all scripts. Returns how many failed. */
int script_runner_run(const char *group, const script_runner_ops_t *ops);

#endif
