/**
 * @file script_runner.c
 * See script_runner.h.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "script_runner.h"

static const script_runner_ops_t *runner_ops;

static void run_line(void *fixture, const char *line)
{
	g_auto(GStrv) words = g_strsplit(line, " ", 0);

	for (size_t i = 0; i < runner_ops->command_count; i++) {
		if (!g_str_equal(runner_ops->commands[i].name, words[0]))
			continue;
		runner_ops->commands[i].run(fixture, words);
		return;
	}
	fail_msg("unknown command: %s", line);
}

/* Returns the script with the lines that were actually printed. */
static char *run_script(char **lines)
{
	GString *out = g_string_new(NULL);
	void *fixture = runner_ops->start(out);

	for (char **line = lines; *line; line++) {
		if (g_str_has_prefix(*line, "> "))
			continue;
		g_string_append(out, *line);
		if (line[1])
			g_string_append_c(out, '\n');
		if (**line && **line != '#')
			run_line(fixture, *line);
	}
	runner_ops->end(fixture);
	return g_string_free(out, FALSE);
}

static void test_script(void **state)
{
	const char *path = *state;
	g_autofree char *text = NULL;
	g_autofree char *got = NULL;
	g_auto(GStrv) lines = NULL;

	assert_true(g_file_get_contents(path, &text, NULL, NULL));
	lines = g_strsplit(text, "\n", 0);
	got = run_script(lines);
	if (g_getenv("WRITE_SCRIPTS"))
		g_file_set_contents(path, got, -1, NULL);
	else
		assert_string_equal(got, text);
}

int script_runner_run(const char *group, const script_runner_ops_t *ops)
{
	GArray *tests = g_array_new(FALSE, TRUE, sizeof(struct CMUnitTest));
	GDir *dir = g_dir_open(ops->folder, 0, NULL);
	const char *name;
	int failed;

	runner_ops = ops;
	while (dir && (name = g_dir_read_name(dir))) {
		struct CMUnitTest test = {.name = g_strdup(name),
					  .test_func = test_script,
					  .initial_state =
						  g_build_filename(ops->folder, name, NULL)};

		g_array_append_val(tests, test);
	}
	if (!tests->len)
		g_error("no scripts in %s", ops->folder);
	failed = _cmocka_run_group_tests(group, (struct CMUnitTest *)(void *)tests->data,
					 tests->len, NULL, NULL);
	g_dir_close(dir);
	return failed;
}
