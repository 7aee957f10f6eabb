/**
 * @file pages_test.c
 * Checks that the table in docs/API.md agrees with the refusals in outcome.c.
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

static void api_page_lists_every_refusal(void **state)
{
	g_autofree char *page = NULL;
	uint32_t rows = 0;

	(void)state;
	assert_true(g_file_get_contents("docs/API.md", &page, NULL, NULL));
	for (int i = REFUSAL_NONE + 1; i < REFUSAL_COUNT; i++) {
		const refusal_class_t *class = refusal_class((refusal_t)i);
		g_autofree char *row = g_strdup_printf(
			"\n| %s | %d | %s |%s| %s |\n", class->type, class->status,
			ran_name(class->ran), class->retryable ? " yes " : " ", class->ran_reason);

		if (!strstr(page, row))
			fail_msg("docs/API.md lacks:%s", row);
		rows++;
	}
	assert_int_equal(rows, REFUSAL_COUNT - 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {cmocka_unit_test(api_page_lists_every_refusal)};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
