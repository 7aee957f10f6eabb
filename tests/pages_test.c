/**
 * @file pages_test.c
 * docs/API.md prints the table of refusals; here the two are kept the same.
 */
#include "core/outcome.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

static void every_refusal_stands_in_the_page(void **state)
{
	g_autofree char *page = NULL;
	uint32_t rows = 0;

	(void)state;
	assert_true(g_file_get_contents("docs/API.md", &page, NULL, NULL));
	for (int i = REFUSAL_NONE + 1; i < REFUSAL_COUNT; i++) {
		const refusal_class_t *class = refusal_class((refusal_t)i);
		g_autofree char *row = g_strdup_printf(
			"\n| %s | %d | %s |%s| %s |\n", class->type, class->status,
			ran_name(class->ran), class->come_back ? " yes " : " ", class->why);

		if (!strstr(page, row))
			fail_msg("docs/API.md lacks:%s", row);
		rows++;
	}
	assert_int_equal(rows, REFUSAL_COUNT - 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {cmocka_unit_test(every_refusal_stands_in_the_page)};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
