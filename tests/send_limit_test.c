/**
 * @file send_limit_test.c
 * The limit on the sub-requests to one searcher, and the detection of an overload, in virtual time.
 *
 *     send_limit_test            all tests but the one below
 *     send_limit_test pauses     whether usual pauses of searchers count as an overload
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "core/overload.h"
#include "core/send_limit.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define MS ((uint64_t)1000)
#define SECOND_US ((uint64_t)1000000)
#define START_US (100 * SECOND_US)
#define BUDGET_US (100 * MS)
#define START_LIMIT 4.0
/* As many connections as no limit of these tests reaches. */
#define CONNECTIONS 1000
/* The documented minimum (docs/design/overload.md, component 1). */
#define MINIMUM 0.02

static const send_load_t busy = {.outstanding = 8, .max = CONNECTIONS};

static void limit_init(send_limit_t *limit)
{
	*limit = (send_limit_t){0};
	send_limit_set_start(limit, START_LIMIT);
}

/* A sub-request sent at @p sent_us is answered at @p now_us. */
static bool answer(send_limit_t *limit, uint64_t sent_us, uint64_t now_us)
{
	const send_sample_t sample = {
		.sent_us = sent_us, .budget_us = BUDGET_US, .was_limited = true};

	return send_limit_note_answer(limit, &sample, &busy, now_us);
}

static void reject(send_limit_t *limit, uint64_t sent_us, uint64_t now_us)
{
	const send_sample_t sample = {.sent_us = sent_us, .budget_us = BUDGET_US};

	send_limit_note_rejected(limit, &sample, &busy, now_us);
}

/* Lowers the limit to its minimum by @p now_us. */
static void lower_to_minimum(send_limit_t *limit, uint64_t now_us)
{
	for (uint32_t i = 0; i < 40; i++)
		reject(limit, now_us - 40 + i, now_us - 40 + i);
}

/* ---- lowering ---- */

/* Guards against: a pause of 300 ms, which delays all that is outstanding, takes a searcher out. */
static void a_pause_lowers_the_limit_once(void **state)
{
	const uint64_t pause_us = START_US + 300 * MS;
	send_limit_t limit;

	(void)state;
	limit_init(&limit);
	for (uint32_t i = 0; i < 8; i++)
		assert_true(answer(&limit, START_US + i, pause_us + i * MS));
	assert_float_equal(limit.limit, 8 * 0.8, 1e-9);
	assert_false(send_limit_is_at_minimum(&limit, pause_us + 8 * MS));
}

/* Guards against: late answers of one moment, of sub-requests sent before it, add up. */
static void late_answers_of_one_moment_lower_it_once(void **state)
{
	send_limit_t limit;
	double lowered;

	(void)state;
	limit_init(&limit);
	answer(&limit, START_US, START_US + 200 * MS);
	lowered = limit.limit;
	for (uint32_t i = 1; i < 8; i++)
		answer(&limit, START_US + i * 10 * MS, START_US + 200 * MS);
	assert_float_equal(limit.limit, lowered, 1e-9);
	/* One that was sent afterwards saw the limit that was in force. */
	answer(&limit, START_US + 210 * MS, START_US + 320 * MS);
	assert_true(limit.limit < lowered);
}

/* Guards against: a searcher that rejects sub-requests is sent as many as before. */
static void a_rejection_lowers_it(void **state)
{
	send_limit_t limit;

	(void)state;
	limit_init(&limit);
	assert_true(send_limit_has_room(&limit, 8, START_US));
	reject(&limit, START_US, START_US + 1);
	assert_float_equal(limit.limit, 8 * 0.7, 1e-9);
	assert_false(send_limit_has_room(&limit, 8, START_US + 1));
	assert_true(send_limit_has_room(&limit, 4, START_US + 1));
}

/* Guards against: a first late answer among hundreds outstanding begins with a useless limit. */
static void it_begins_at_a_multiple_of_its_start(void **state)
{
	const send_sample_t sample = {.sent_us = START_US, .budget_us = BUDGET_US};
	const send_load_t load = {.outstanding = 500, .max = CONNECTIONS};
	send_limit_t limit;

	(void)state;
	limit_init(&limit);
	send_limit_note_answer(&limit, &sample, &load, START_US + 2 * BUDGET_US);
	assert_float_equal(limit.limit, 4 * START_LIMIT * 0.8, 1e-9);
}

/* ---- raising ---- */

/* Guards against: a limit that little traffic never reached grows without bounds. */
static void it_is_raised_only_while_it_binds(void **state)
{
	uint64_t now_us = START_US + SECOND_US;
	send_sample_t sample;
	send_limit_t limit;
	double before;

	(void)state;
	limit_init(&limit);
	reject(&limit, START_US, START_US);
	before = send_limit_now(&limit, now_us);
	assert_true(before > 3);
	sample = send_limit_note_sent(&limit, 0, BUDGET_US, now_us);
	assert_false(sample.was_limited);
	send_limit_note_answer(&limit, &sample, &busy, now_us + 10 * MS);
	assert_float_equal(send_limit_now(&limit, now_us + 10 * MS), before, 1e-9);
	sample = send_limit_note_sent(&limit, (uint32_t)before - 1, BUDGET_US, now_us);
	assert_true(sample.was_limited);
	send_limit_note_answer(&limit, &sample, &busy, now_us + 10 * MS);
	assert_true(send_limit_now(&limit, now_us + 10 * MS) > before);
}

/* Guards against: a limit as high as the connections stays in force and in the metrics. */
static void it_ends_when_it_no_longer_binds(void **state)
{
	const send_load_t load = {.outstanding = 5, .max = 5};
	send_limit_t limit;
	uint32_t answers = 0;

	(void)state;
	limit_init(&limit);
	reject(&limit, START_US, START_US);
	limit.limit = 4.5;
	while (limit.limit && answers++ < 100) {
		const send_sample_t sample = {.sent_us = START_US + answers * MS,
					      .budget_us = BUDGET_US,
					      .was_limited = true};

		send_limit_note_answer(&limit, &sample, &load, START_US + (answers + 1) * MS);
	}
	assert_true(answers < 100);
	assert_true(send_limit_has_room(&limit, 100, START_US + SECOND_US));
	assert_float_equal(send_limit_now(&limit, START_US + SECOND_US), 0, 0);
}

/* Guards against: hundreds of VMs with a limit of 1 each fill a searcher of four slots. */
static void below_one_it_pauses_between_sub_requests(void **state)
{
	uint64_t now_us, sent = 0;
	send_limit_t limit = {0};

	(void)state;
	send_limit_set_start(&limit, 0.25);
	lower_to_minimum(&limit, START_US); /* it then recovers to its start */
	limit.latency_us = 10 * MS;
	now_us = START_US + 5 * SECOND_US;
	assert_false(send_limit_has_room(&limit, 1, now_us));
	for (uint64_t end_us = now_us + SECOND_US; now_us < end_us; now_us += MS) {
		send_sample_t sample;

		if (!send_limit_has_room(&limit, 0, now_us))
			continue;
		sample = send_limit_note_sent(&limit, 0, BUDGET_US, now_us);
		sample.was_limited = false; /* keeps the limit at its start */
		send_limit_note_answer(&limit, &sample, &busy, now_us + 10 * MS);
		sent++;
	}
	/* One each 10 ms / 0.25. */
	assert_in_range(sent, 24, 26);
}

/* Guards against: a searcher stays closed because nothing is sent that could raise its limit, and
 * time alone opens it for more than this VM's share. */
static void it_recovers_with_time_up_to_its_start(void **state)
{
	send_limit_t limit;

	(void)state;
	limit_init(&limit);
	lower_to_minimum(&limit, START_US);
	assert_true(send_limit_is_at_minimum(&limit, START_US));
	assert_float_equal(send_limit_now(&limit, START_US), MINIMUM, 1e-4);
	assert_float_equal(send_limit_now(&limit, START_US + SECOND_US), 4 * MINIMUM, 1e-3);
	assert_false(send_limit_is_at_minimum(&limit, START_US + SECOND_US));
	assert_float_equal(send_limit_now(&limit, START_US + 60 * SECOND_US), START_LIMIT, 1e-9);
	assert_float_equal(send_limit_now(&limit, START_US + 90000 * SECOND_US), START_LIMIT, 1e-9);
}

/* ---- two searchers of different speed ---- */

#define SLOTS 2
#define QUEUE_MAX 64
/* Virtual time advances in steps of this length. */
#define STEP_US 500
#define SERVICE_US (20 * MS)
#define SLOW_FACTOR 4

/** A searcher with two slots, and a queue in order of arrival. */
typedef struct server_t {
	send_limit_t limit;
	send_sample_t samples[QUEUE_MAX];
	uint64_t ends_us[QUEUE_MAX]; /* of those that run; 0: waits */
	uint32_t outstanding;
	uint64_t service_us;
	uint64_t answered_in_time;
} server_t;

static void server_start(server_t *server, uint64_t now_us)
{
	for (uint32_t i = 0; i < MIN(server->outstanding, SLOTS); i++)
		if (!server->ends_us[i])
			server->ends_us[i] = now_us + server->service_us;
}

static void server_answer(server_t *server, uint32_t index, uint64_t now_us)
{
	const send_load_t load = {.outstanding = server->outstanding, .max = CONNECTIONS};

	server->answered_in_time +=
		!send_limit_note_answer(&server->limit, &server->samples[index], &load, now_us);
	server->outstanding--;
	for (uint32_t i = index; i < server->outstanding; i++) {
		server->samples[i] = server->samples[i + 1];
		server->ends_us[i] = server->ends_us[i + 1];
	}
	server->ends_us[server->outstanding] = 0;
}

/* Sends all that the limit allows: demand is unlimited. */
static void server_step(server_t *server, uint64_t now_us)
{
	for (uint32_t i = MIN(server->outstanding, SLOTS); i > 0; i--)
		if (server->ends_us[i - 1] && server->ends_us[i - 1] <= now_us)
			server_answer(server, i - 1, now_us);
	while (server->outstanding < QUEUE_MAX &&
	       send_limit_has_room(&server->limit, server->outstanding, now_us)) {
		server->samples[server->outstanding] = send_limit_note_sent(
			&server->limit, server->outstanding, BUDGET_US, now_us);
		server->ends_us[server->outstanding++] = 0;
	}
	server_start(server, now_us);
}

/* Answers in time of each server from @p from_us to @p to_us. */
static void run_servers(server_t servers[2], uint64_t from_us, uint64_t to_us)
{
	servers[0].answered_in_time = servers[1].answered_in_time = 0;
	for (uint64_t now_us = from_us; now_us < to_us; now_us += STEP_US)
		for (uint32_t i = 0; i < 2; i++)
			server_step(&servers[i], now_us);
}

/* Guards against: a slow searcher is sent as much as a fast one, and its share is lost for good. */
static void a_slow_searcher_gets_less_until_it_is_fast(void **state)
{
	uint64_t now_us = START_US, fast;
	server_t servers[2] = {0};

	(void)state;
	for (uint32_t i = 0; i < 2; i++) {
		limit_init(&servers[i].limit);
		servers[i].service_us = SERVICE_US;
	}
	servers[1].service_us = SLOW_FACTOR * SERVICE_US;
	run_servers(servers, now_us, now_us + 5 * SECOND_US);
	now_us += 5 * SECOND_US;
	run_servers(servers, now_us, now_us + 10 * SECOND_US);
	now_us += 10 * SECOND_US;
	fast = servers[0].answered_in_time;
	printf("slow: in time %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT
	       ", outstanding %u of %u\n",
	       servers[1].answered_in_time, fast, servers[1].outstanding, servers[0].outstanding);
	assert_true(servers[1].outstanding < servers[0].outstanding);
	/* 10 s of two slots at 20 ms: 1,000. A quarter as many would be all that it can do. */
	assert_true(fast > 900);
	assert_in_range(servers[1].answered_in_time, 1, 1000 / SLOW_FACTOR);
	servers[1].service_us = SERVICE_US;
	run_servers(servers, now_us, now_us + 2 * SECOND_US);
	now_us += 2 * SECOND_US;
	run_servers(servers, now_us, now_us + 10 * SECOND_US);
	printf("fast again: in time %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT "\n",
	       servers[1].answered_in_time, servers[0].answered_in_time);
	assert_true((double)servers[1].answered_in_time >
		    0.95 * (double)servers[0].answered_in_time);
}

/* ---- overload ---- */

#define ANSWERS_PER_S 300
#define INTERVAL_US (SECOND_US / ANSWERS_PER_S)
#define RUNS 10

/* Answers at the usual rate, a share of them late, until @p to_us or until an overload begins or
 * ends. Returns that time. */
static uint64_t run_answers(overload_t *overload, GRand *rand, double late_share, uint64_t from_us,
			    uint64_t to_us)
{
	bool active = overload->active;
	uint64_t now_us = from_us;

	while (now_us < to_us && overload->active == active) {
		overload_note_answer(overload, g_rand_double(rand) < late_share, now_us);
		now_us += INTERVAL_US;
	}
	return now_us;
}

/* Guards against: admission begins when the searchers' queues are full already. */
static void an_overload_begins_within_100_ms(void **state)
{
	(void)state;
	for (uint32_t seed = 1; seed <= RUNS; seed++) {
		g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
		overload_t overload = {0};
		uint64_t end_us;

		/* Most answers of an overload that nobody limits are late. */
		end_us = run_answers(&overload, rand, 0.8, START_US, START_US + SECOND_US);
		assert_true(overload.active);
		assert_in_range(end_us - START_US, 0, 100 * MS);
	}
}

/* Guards against: pauses of searchers, which make 5 % of the answers late, have requests refused.
 */
static void usual_pauses_are_no_overload(void **state)
{
	uint32_t begun = 0;

	(void)state;
	for (uint32_t seed = 1; seed <= RUNS; seed++) {
		g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
		overload_t overload = {0};
		uint64_t end_us =
			run_answers(&overload, rand, 0.05, START_US, START_US + 60 * SECOND_US);

		if (overload.active)
			printf("seed %u: begun after %" G_GUINT64_FORMAT " ms\n", seed,
			       (end_us - START_US) / MS);
		begun += overload.active;
	}
	assert_int_equal(begun, 0);
}

/* Guards against: callers are refused for seconds after the load has fallen. */
static void it_ends_within_1500_ms_of_the_overload(void **state)
{
	(void)state;
	for (uint32_t seed = 1; seed <= RUNS; seed++) {
		g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
		overload_t overload = {0};
		uint64_t now_us = START_US, end_us;

		while (now_us < START_US + 4 * SECOND_US) {
			overload_note_answer(&overload, g_rand_double(rand) < 0.3, now_us);
			now_us += INTERVAL_US;
		}
		assert_true(overload.active);
		end_us = run_answers(&overload, rand, 0, now_us, now_us + 10 * SECOND_US);
		assert_false(overload.active);
		assert_in_range(end_us - now_us, 0, 1500 * MS);
	}
}

/* Guards against: an overload that admission control keeps from the searchers ends, and begins
 * again, while requests wait or are refused. */
static void it_does_not_end_during_a_shortage(void **state)
{
	g_autoptr(GRand) rand = g_rand_new_with_seed(1);
	overload_t overload = {0};
	uint64_t now_us = run_answers(&overload, rand, 1, START_US, START_US + SECOND_US);

	(void)state;
	assert_true(overload.active);
	for (uint32_t i = 0; i < 10 * ANSWERS_PER_S; i++, now_us += INTERVAL_US) {
		/* A request waits or is refused each 500 ms. */
		if (i % (ANSWERS_PER_S / 2) == 0)
			overload_note_shortage(&overload, now_us);
		overload_note_answer(&overload, false, now_us);
		assert_true(overload.active);
	}
	run_answers(&overload, rand, 0, now_us, now_us + 2 * SECOND_US);
	assert_false(overload.active);
}

/* Guards against: a shortage alone, without late answers, begins an overload. */
static void a_shortage_begins_no_overload(void **state)
{
	overload_t overload = {0};

	(void)state;
	overload_note_shortage(&overload, START_US);
	overload_note_answer(&overload, false, START_US);
	assert_false(overload.active);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_pause_lowers_the_limit_once),
		cmocka_unit_test(late_answers_of_one_moment_lower_it_once),
		cmocka_unit_test(a_rejection_lowers_it),
		cmocka_unit_test(it_begins_at_a_multiple_of_its_start),
		cmocka_unit_test(it_is_raised_only_while_it_binds),
		cmocka_unit_test(it_ends_when_it_no_longer_binds),
		cmocka_unit_test(below_one_it_pauses_between_sub_requests),
		cmocka_unit_test(it_recovers_with_time_up_to_its_start),
		cmocka_unit_test(a_slow_searcher_gets_less_until_it_is_fast),
		cmocka_unit_test(an_overload_begins_within_100_ms),
		cmocka_unit_test(it_ends_within_1500_ms_of_the_overload),
		cmocka_unit_test(it_does_not_end_during_a_shortage),
		cmocka_unit_test(a_shortage_begins_no_overload),
	};

	const struct CMUnitTest pauses[] = {
		cmocka_unit_test(usual_pauses_are_no_overload),
	};

	if (argc > 1 && !strcmp(argv[1], "pauses"))
		return cmocka_run_group_tests(pauses, NULL, NULL);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
