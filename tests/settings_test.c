/**
 * @file settings_test.c
 * Numbers of the settings file that are not whole: the platform computes some of them, and a VM
 * that refused one would not start.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "settings.h"

#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

/* Reads the settings of a VM that forwards by routes, with @p more at their end. */
static settings_t *read_with(const char *more, GPtrArray *errors)
{
	g_autofree char *text = g_strdup_printf("[front]\ncallers = 127.0.0.1:1001\n"
						"ready = 127.0.0.1:1002\nmetrics = 127.0.0.1:1003\n"
						"feed = 127.0.0.1:1005\nstore = 127.0.0.1:1006\n"
						"[vm]\nname = vm-1\ndata_centre = here\n%s",
						more);
	g_autofree char *path = NULL;
	settings_t *settings;
	int fd = g_file_open_tmp("settings-XXXXXX", &path, NULL);

	assert_true(fd >= 0);
	close(fd);
	assert_true(g_file_set_contents(path, text, -1, NULL));
	settings = settings_read(path, errors);
	g_unlink(path);
	return settings;
}

typedef struct number_case_t {
	const char *more;
	size_t offset;
	uint32_t value;
} number_case_t;

/* Bounds are rounded towards the value that keeps them. */
static void test_decimals(void **state)
{
	static const number_case_t cases[] = {
		{"link_mbps = 3.4\n", offsetof(settings_t, link_mbps), 4},
		{"link_mbps = 0.4\n", offsetof(settings_t, link_mbps), 1},
		{"link_mbps = 20.0\n", offsetof(settings_t, link_mbps), 20},
		{"[retries]\nconstant = 33.1578947368421\n", offsetof(settings_t, retry_constant),
		 33},
		{"[retries]\nconstant = 0.9\n", offsetof(settings_t, retry_constant), 0},
		{"[retries]\nwindow_s = 9.5\n", offsetof(settings_t, retry_window_s), 10},
		{"[quotas]\nwindow_s = 5.5\n", offsetof(settings_t, quota_window_s), 5},
		{"[quotas]\nslack = 6.666\n", offsetof(settings_t, quota_slack), 6},
		{"[store]\napply_ms = 2999.9\n", offsetof(settings_t, apply_ms), 2999},
		{"[store]\nleave_ms = 1.2e3\n", offsetof(settings_t, leave_ms), 1200},
		{"[store]\nsettle_ms = 6000.4\n", offsetof(settings_t, settle_ms), 6000},
		{"[store]\nevacuate_ms = 5000.6\n", offsetof(settings_t, evacuate_ms), 5000},
		{"[stop]\ngrace_s = 6.7\n", offsetof(settings_t, grace_s), 6},
		{"[stop]\ndrain_ms = 100.2\n", offsetof(settings_t, drain_ms), 101},
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autoptr(GPtrArray) errors = g_ptr_array_new_with_free_func(g_free);
		settings_t *settings = read_with(cases[i].more, errors);
		uint32_t value;

		if (!settings)
			fail_msg("%s: %s", cases[i].more, (char *)g_ptr_array_index(errors, 0));
		memcpy(&value, (char *)settings + cases[i].offset, sizeof(value));
		if (value != cases[i].value)
			fail_msg("%s: %u", cases[i].more, value);
		settings_free(settings);
	}
}

typedef struct error_case_t {
	const char *more, *error;
} error_case_t;

/* What can't be rounded safely is refused, with the key and the valid values. */
static void test_refused(void **state)
{
	static const error_case_t cases[] = {
		{"cores = 1.5\n", "[vm] cores: must be a whole number from 0 to 1024, not \"1.5\""},
		{"[retries]\nconstant = -0.5\n", "[retries] constant: must be a number from 0"},
		{"[retries]\nconstant = many\n", "[retries] constant: must be a number from 0"},
		{"[retries]\nconstant = nan\n", "[retries] constant: must be a number from 0"},
		{"[retries]\nconstant = 1e9\n", "[retries] constant: must be a number from 0"},
		{"[store]\napply_ms = 99.9\n", "[store] apply_ms: must be a number from 100"},
		{"[stop]\ngrace_s = 0.5\n", "[stop] grace_s: must be a number from 1"},
		{"[quotas]\nwindow_s = 0.9\n", "[quotas] window_s: must be a number from 1"},
		{"[admission]\nenabled = maybe\n", "[admission] enabled: "},
		{"[quotas]\noverage = -0.1\n", "[quotas] overage: must be a number from 0 to 100"},
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autoptr(GPtrArray) errors = g_ptr_array_new_with_free_func(g_free);

		assert_null(read_with(cases[i].more, errors));
		assert_int_equal(errors->len, 1);
		if (!strstr(g_ptr_array_index(errors, 0), cases[i].error))
			fail_msg("%s: %s", cases[i].more, (char *)g_ptr_array_index(errors, 0));
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_decimals),
		cmocka_unit_test(test_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
