/**
 * @file playbook.h
 * Plays scripts of commands, and compares what they print with what stands in them after "> ".
 *
 * WRITE_SCRIPTS=1 in the environment writes what was printed into the scripts instead.
 */
#ifndef DS_TESTS_PLAYBOOK_H
#define DS_TESTS_PLAYBOOK_H

#include <glib.h>

/** One command of a script; words[0] is its name. */
typedef struct playbook_command_t {
	const char *name;
	void (*run)(void *play, char **words);
} playbook_command_t;

typedef struct playbook_ops_t {
	const char *folder; /**< where the scripts are */
	/** A fresh play that prints to @p out. */
	void *(*start)(GString *out);
	void (*end)(void *play);
	const playbook_command_t *commands;
	size_t command_count;
} playbook_ops_t;

/** Play all scripts; returns how many failed. */
int playbook_run(const char *group, const playbook_ops_t *ops);

#endif
