/**
 * @file work_budget_test.c
 * How much work a budget allows over time.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "core/work_budget.h"

#define START_US 1000000
#define SECOND_US 1000000
#define SHARE_PPM 30000 /* 30 ms a second */

/* Callers that send without end take the whole processor. */
static void test_work_keeps_to_share(void **state)
{
	work_budget_t budget;
	uint64_t now_us = START_US, work_ns = 0;

	(void)state;
	work_budget_init(&budget, SHARE_PPM, now_us);
	while (now_us < START_US + 10 * SECOND_US) {
		if (work_budget_has_left(&budget, now_us)) {
			work_budget_charge(&budget, 100000, now_us);
			work_ns += 100000;
		} else {
			uint64_t wait_us = work_budget_wait_us(&budget, now_us);

			assert_true(wait_us > 0 && wait_us < SECOND_US);
			now_us += wait_us;
		}
	}
	assert_in_range(work_ns / 1000, 300000, 300000 + 7000);
}

/* After a pause, callers get all the time that was not used. */
static void test_unused_time_is_limited(void **state)
{
	work_budget_t budget;

	(void)state;
	work_budget_init(&budget, SHARE_PPM, START_US);
	work_budget_charge(&budget, 6000000, START_US + 3600 * (uint64_t)SECOND_US);
	assert_false(work_budget_has_left(&budget, START_US + 3600 * (uint64_t)SECOND_US));
	assert_true(work_budget_has_left(&budget, START_US + 3601 * (uint64_t)SECOND_US));
}

/* One long piece of work stops all callers for long. */
static void test_debt_is_limited(void **state)
{
	work_budget_t budget;

	(void)state;
	work_budget_init(&budget, SHARE_PPM, START_US);
	work_budget_charge(&budget, UINT64_MAX, START_US);
	assert_in_range(work_budget_wait_us(&budget, START_US), 1, 210000);
	assert_true(
		work_budget_has_left(&budget, START_US + work_budget_wait_us(&budget, START_US)));
}

/* The clock of a VM that was suspended goes on, and never back. */
static void test_earlier_time_adds_nothing(void **state)
{
	work_budget_t budget;

	(void)state;
	work_budget_init(&budget, SHARE_PPM, START_US);
	work_budget_charge(&budget, 6000000, START_US);
	assert_false(work_budget_has_left(&budget, START_US));
	assert_false(work_budget_has_left(&budget, START_US - SECOND_US / 2));
	assert_false(work_budget_has_left(&budget, START_US));
	assert_true(work_budget_has_left(&budget, START_US + 1000));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_work_keeps_to_share),
		cmocka_unit_test(test_unused_time_is_limited),
		cmocka_unit_test(test_debt_is_limited),
		cmocka_unit_test(test_earlier_time_adds_nothing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
