/**
 * @file log_test.c
 * Limits on the number of log lines.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "log.h"

#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#define REFUSALS 2000
#define OTHERS 100
/* Half of the burst of failures, and the lines of half a second. */
#define REFUSALS_WRITTEN_MAX 157
/* All that the log may hold back. */
#define FLUSHES 64

static uint32_t count_of(const char *text, const char *part)
{
	uint32_t count = 0;

	for (const char *at = text; (at = strstr(at, part)); at += strlen(part))
		count++;
	return count;
}

/* Writes lines about refusals, then about other failures, to @p file. */
static void write_lines(int file)
{
	int saved = dup(STDOUT_FILENO);

	dup2(file, STDOUT_FILENO);
	log_start("vm", "info");
	for (int i = 0; i < REFUSALS; i++)
		g_log(LOG_REFUSALS, G_LOG_LEVEL_MESSAGE, "event=answer reason=admission");
	for (int i = 0; i < OTHERS; i++)
		g_message("event=sub-request outcome=unknown");
	for (int i = 0; i < FLUSHES; i++)
		log_flush(NULL);
	dup2(saved, STDOUT_FILENO);
	close(saved);
}

/* Under overload, refusals must fill neither the log nor the share of the lines about other
 * failures, which may show the cause of the overload. */
static void test_refusals_leave_room(void **state)
{
	g_autofree char *path = NULL;
	g_autofree char *text = NULL;
	int file = g_file_open_tmp("log-XXXXXX", &path, NULL);
	uint32_t refusals;

	(void)state;
	assert_true(file >= 0);
	write_lines(file);
	close(file);
	assert_true(g_file_get_contents(path, &text, NULL, NULL));
	g_unlink(path);
	refusals = count_of(text, "reason=admission\n");
	assert_in_range(refusals, 100, REFUSALS_WRITTEN_MAX);
	assert_int_equal(count_of(text, "outcome=unknown\n"), OTHERS);
	assert_true(count_of(text, "event=log-lost failures=") >= 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_refusals_leave_room),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
