/**
 * @file front_metrics_test.c
 * Metrics of admission control and of the send limits.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "queries/front_metrics.h"

#include <string.h>

#define NOW_US 1000000000
#define CONNECTIONS 8
#define BUDGET_US 100000

typedef struct fixture_t {
	registry_t *registry;
	forwarder_t *forwarder;
	GHashTable *regions;
} fixture_t;

static void on_changed(void *ctx, searcher_t *searcher)
{
	(void)ctx;
	(void)searcher;
}

static void on_send(void *ctx, subrequest_t *sub)
{
	(void)ctx;
	(void)sub;
}

static void on_answer(void *ctx, forward_t *forward, const forward_answer_t *answer)
{
	(void)ctx;
	(void)forward;
	(void)answer;
}

static fixture_t fixture_new(void)
{
	static const registry_ops_t registry_ops = {.changed = on_changed};
	static const forwarder_ops_t ops = {
		.send = on_send, .cancel = on_send, .answer = on_answer};
	const retry_bound_t bound = {.ratio = 0.2, .window_us = 10000000};
	const locality_t place = {.data_centre = "here",
				  .regions = g_hash_table_new(g_str_hash, g_str_equal)};
	fixture_t fixture = {.regions = place.regions};

	fixture.registry = registry_new(&place, &bound, &registry_ops, NULL);
	fixture.forwarder = forwarder_new(&ops, NULL, fixture.registry, 1);
	registry_list_begin(fixture.registry);
	registry_list_end(fixture.registry, NOW_US);
	return fixture;
}

static void fixture_clear(fixture_t *fixture)
{
	forwarder_free(fixture->forwarder);
	registry_free(fixture->registry);
	g_hash_table_unref(fixture->regions);
}

static searcher_t *add_searcher(const fixture_t *fixture, const char *id, const char *service)
{
	const searcher_entry_t entry = {.id = (char *)id,
					.service = (char *)service,
					.address = "127.0.0.1",
					.port = 1,
					.data_centre = "here",
					.slots = 2,
					.changes = 1};
	searcher_t *searcher;

	registry_put(fixture->registry, &entry, NOW_US);
	searcher = registry_find(fixture->registry, id);
	searcher->connections_max = CONNECTIONS;
	registry_pool(fixture->registry, service)->overload =
		forwarder_overload(fixture->forwarder);
	return searcher;
}

static void assert_has(const GString *text, const char *line)
{
	if (!strstr(text->str, line))
		fail_msg("lacks %s:\n%s", line, text->str);
}

/* VMs without admission control would show limits that do not apply. */
static void test_nothing_while_not_enabled(void **state)
{
	fixture_t fixture = fixture_new();
	g_autoptr(GString) text = g_string_new(NULL);

	(void)state;
	add_searcher(&fixture, "a", "s1");
	front_metrics_write_admission(text, fixture.forwarder, fixture.registry, NOW_US);
	assert_string_equal(text->str, "");
	fixture_clear(&fixture);
}

static void reject(searcher_t *searcher, uint32_t times)
{
	const send_load_t load = {.outstanding = 1, .max = CONNECTIONS};

	for (uint32_t i = 0; i < times; i++) {
		send_sample_t sample =
			send_limit_note_sent(&searcher->send_limit, 0, BUDGET_US, NOW_US);

		send_limit_note_rejected(&searcher->send_limit, &sample, &load, NOW_US);
	}
}

/* An operator must be able to tell a shard whose searchers reject everything from one that is well,
 * whose searchers have no limit. */
static void test_limits(void **state)
{
	fixture_t fixture = fixture_new();
	g_autoptr(GString) text = g_string_new(NULL);
	searcher_t *gone;

	(void)state;
	forwarder_enable_admission(fixture.forwarder);
	add_searcher(&fixture, "a", "s1");
	add_searcher(&fixture, "b", "s1");
	gone = add_searcher(&fixture, "c", "s1");
	gone->state = SEARCHER_DRAINING;
	send_limit_set_start(&add_searcher(&fixture, "d", "s2")->send_limit, 1);
	reject(registry_find(fixture.registry, "d"), 100);
	front_metrics_write_admission(text, fixture.forwarder, fixture.registry, NOW_US);
	assert_has(text, "dogwoodsaddle_send_limit{service=\"s1\"} 16.00\n");
	assert_has(text, "dogwoodsaddle_send_limit_searchers_at_minimum{service=\"s1\"} 0\n");
	assert_has(text, "dogwoodsaddle_send_limit{service=\"s2\"} 0.0");
	assert_has(text, "dogwoodsaddle_send_limit_searchers_at_minimum{service=\"s2\"} 1\n");
	fixture_clear(&fixture);
}

/* A limit that has recovered with time no longer counts as at the minimum, although no answer has
 * raised it. */
static void test_recovered_limit(void **state)
{
	fixture_t fixture = fixture_new();
	g_autoptr(GString) text = g_string_new(NULL);

	(void)state;
	forwarder_enable_admission(fixture.forwarder);
	send_limit_set_start(&add_searcher(&fixture, "a", "s1")->send_limit, 1);
	reject(registry_find(fixture.registry, "a"), 100);
	front_metrics_write_admission(text, fixture.forwarder, fixture.registry, NOW_US + 60000000);
	assert_has(text, "dogwoodsaddle_send_limit{service=\"s1\"} 1.00\n");
	assert_has(text, "dogwoodsaddle_send_limit_searchers_at_minimum{service=\"s1\"} 0\n");
	fixture_clear(&fixture);
}

/* The number of lines must not depend on the ranks that operators choose. */
static void test_counters(void **state)
{
	fixture_t fixture = fixture_new();
	g_autoptr(GString) text = g_string_new(NULL);

	(void)state;
	forwarder_enable_admission(fixture.forwarder);
	front_metrics_write_admission(text, fixture.forwarder, fixture.registry, NOW_US);
	assert_string_equal(text->str, "dogwoodsaddle_overloaded 0\n"
				       "dogwoodsaddle_admission_waiting 0\n"
				       "dogwoodsaddle_admission_started_total 0\n"
				       "dogwoodsaddle_admission_expired_total 0\n"
				       "dogwoodsaddle_admission_refused_total{rank=\"0\"} 0\n"
				       "dogwoodsaddle_admission_refused_total{rank=\"1\"} 0\n"
				       "dogwoodsaddle_admission_refused_total{rank=\"2\"} 0\n"
				       "dogwoodsaddle_admission_refused_total{rank=\"3\"} 0\n"
				       "dogwoodsaddle_admission_refused_total{rank=\"4\"} 0\n"
				       "dogwoodsaddle_admission_refused_total{rank=\"5\"} 0\n"
				       "dogwoodsaddle_admission_refused_total{rank=\"6\"} 0\n"
				       "dogwoodsaddle_admission_refused_total{rank=\"7+\"} 0\n");
	fixture_clear(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_nothing_while_not_enabled),
		cmocka_unit_test(test_limits),
		cmocka_unit_test(test_recovered_limit),
		cmocka_unit_test(test_counters),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
