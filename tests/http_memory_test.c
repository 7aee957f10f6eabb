/**
 * @file http_memory_test.c
 * Which messages are given up when all hold too much.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "net/http_memory.h"

#include <stdbool.h>

#define MAX_BYTES 1000

typedef struct holder_t {
	http_memory_share_t share;
	bool given_up;
} holder_t;

static void on_give_up(void *ctx)
{
	((holder_t *)ctx)->given_up = true;
}

static void holder_init(holder_t *holder)
{
	*holder = (holder_t){.share = {.give_up = on_give_up, .ctx = holder}};
}

/* Small messages are lost because others are endless. */
static void test_largest_is_given_up(void **state)
{
	http_memory_t *memory = http_memory_new(MAX_BYTES);
	holder_t large, small;

	(void)state;
	holder_init(&large);
	holder_init(&small);
	http_memory_hold(memory, &large.share, 900);
	http_memory_hold(memory, &small.share, 100);
	assert_false(large.given_up);
	http_memory_hold(memory, &small.share, 101);
	assert_true(large.given_up);
	assert_false(small.given_up);
	assert_int_equal(http_memory_used(memory), 101);
	assert_int_equal(http_memory_counters(memory)->given_up, 1);
	http_memory_release(&small.share);
	http_memory_free(memory);
}

/* A single message that exceeds the limit is kept. */
static void test_own_message_is_given_up(void **state)
{
	http_memory_t *memory = http_memory_new(MAX_BYTES);
	holder_t holder;

	(void)state;
	holder_init(&holder);
	http_memory_hold(memory, &holder.share, MAX_BYTES + 1);
	assert_true(holder.given_up);
	assert_int_equal(http_memory_used(memory), 0);
	http_memory_free(memory);
}

/* Memory of messages that are over counts for ever. */
static void test_released_memory_is_free(void **state)
{
	http_memory_t *memory = http_memory_new(MAX_BYTES);
	holder_t holder;

	(void)state;
	holder_init(&holder);
	for (int i = 0; i < 3; i++) {
		http_memory_hold(memory, &holder.share, MAX_BYTES);
		http_memory_hold(memory, &holder.share, MAX_BYTES / 2);
		assert_int_equal(http_memory_used(memory), MAX_BYTES / 2);
		http_memory_release(&holder.share);
		http_memory_release(&holder.share);
		assert_int_equal(http_memory_used(memory), 0);
	}
	assert_false(holder.given_up);
	http_memory_free(memory);
}

/* Large messages that are never given up leave no room for small ones. */
static void test_small_is_admitted_beside_large(void **state)
{
	http_memory_t *memory = http_memory_new(MAX_BYTES);
	http_memory_share_t kept = {0};

	(void)state;
	assert_true(http_memory_admit(memory, 2 * MAX_BYTES)); /* a single one of any size */
	http_memory_hold(memory, &kept, MAX_BYTES / 2);
	assert_false(http_memory_admit(memory, MAX_BYTES / 4));
	assert_true(http_memory_admit(memory, MAX_BYTES / 40));
	assert_int_equal(http_memory_counters(memory)->refused, 1);
	http_memory_hold(memory, &kept, MAX_BYTES);
	assert_false(http_memory_admit(memory, 1));
	http_memory_release(&kept);
	assert_true(http_memory_admit(memory, MAX_BYTES));
	http_memory_free(memory);
}

/* A message that must not be given up is, because it holds the most. */
static void test_kept_message_is_not_given_up(void **state)
{
	http_memory_t *memory = http_memory_new(MAX_BYTES);
	http_memory_share_t kept = {0};
	holder_t holder;

	(void)state;
	holder_init(&holder);
	http_memory_hold(memory, &holder.share, 100);
	http_memory_hold(memory, &kept, 2 * MAX_BYTES);
	assert_true(holder.given_up);
	assert_int_equal(http_memory_used(memory), 2 * MAX_BYTES);
	http_memory_release(&kept);
	http_memory_free(memory);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_largest_is_given_up),
		cmocka_unit_test(test_own_message_is_given_up),
		cmocka_unit_test(test_released_memory_is_free),
		cmocka_unit_test(test_small_is_admitted_beside_large),
		cmocka_unit_test(test_kept_message_is_not_given_up),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
