/**
 * @file poison_test.c
 * What is remembered of requests that crash searchers: how much, for how long, and what is told.
 * Their course, request by request, is in tests/forward/poison_*.txt.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "core/poison.h"

#define SECOND_US 1000000ull
#define HOUR_US (3600 * SECOND_US)
#define START_US 1000000000ull

/* By a trial, on a connection that was kept. */
#define SENT(at_us) ((poison_sending_t){.sent_us = (at_us), .on_trial = true, .reused = true})

typedef struct told_t {
	uint32_t tells;	  /* to the store */
	uint32_t forgets; /* by the store */
	uint32_t firsts;  /* of the tells: first strikes */
} told_t;

static void on_tell(void *ctx, const poison_update_t *news)
{
	told_t *told = ctx;

	told->tells++;
	told->firsts += news->strikes == 1;
}

static void on_forget(void *ctx, fingerprint_t fingerprint)
{
	(void)fingerprint;
	((told_t *)ctx)->forgets++;
}

static void on_changed(void *ctx, const poison_update_t *news, const char *what)
{
	(void)ctx;
	(void)news;
	(void)what;
}

static const poison_ops_t ops = {.publish = on_tell, .remove = on_forget, .changed = on_changed};

static searcher_t *searcher_of(const char *id, const char *service)
{
	const searcher_entry_t entry = {.id = (char *)id,
					.service = (char *)service,
					.address = "127.0.0.1",
					.data_centre = "here",
					.slots = 2};

	return searcher_new(&entry, DISTANCE_LOCAL, NULL, START_US);
}

/* One searcher more ends under it. */
static void strike(poison_t *poison, fingerprint_t fingerprint, uint64_t now_us)
{
	searcher_t *searcher = searcher_of("x", "s");

	poison_note_lost(poison, fingerprint, searcher, &SENT(now_us), now_us);
	poison_note_ended(poison, searcher, now_us);
	searcher_unref(searcher);
}

/*
 * Somebody sends thousands of different requests that each end a searcher. A VM must not grow with
 * them, nor the store: the oldest suspects are forgotten, there too, and what is refused stays.
 */
static void test_many_requests(void **state)
{
	told_t told = {0};
	poison_t *poison = poison_new(&ops, &told, 1);
	const poison_update_t blocked = {
		.fingerprint = 7, .strikes = POISON_STRIKES, .service = "s"};
	uint64_t now_us = START_US;

	(void)state;
	poison_apply_update(poison, &blocked, now_us);
	for (fingerprint_t i = 100; i < 100 + 5 * POISON_MAX_RECORDS; i++) {
		const poison_update_t news = {.fingerprint = i, .strikes = 1, .service = "s"};

		poison_apply_update(poison, &news, ++now_us);
		assert_true(poison_records(poison) <= POISON_MAX_RECORDS);
	}
	assert_int_equal(poison_records(poison), POISON_MAX_RECORDS);
	assert_int_equal(poison_check(poison, 7, now_us), POISON_BLOCKED);
	assert_int_equal(poison_check(poison, 100, now_us), POISON_CLEAR);
	assert_int_equal(told.forgets, 4 * POISON_MAX_RECORDS + 1);
	assert_int_equal(poison_counters(poison)->dropped, told.forgets);
	poison_free(poison);
}

/* All that is remembered goes by itself, and the store is told so: nobody has to tidy up. */
static void test_all_is_forgotten(void **state)
{
	told_t told = {0};
	poison_t *poison = poison_new(&ops, &told, 1);

	(void)state;
	for (fingerprint_t i = 1; i <= 20; i++) {
		const poison_update_t news = {
			.fingerprint = i, .strikes = 1 + (uint32_t)i % 3, .service = "s"};

		poison_apply_update(poison, &news, START_US);
	}
	poison_run(poison, START_US + HOUR_US);
	assert_int_equal(poison_records(poison), 0);
	assert_int_equal(told.forgets, 20);
	assert_true(poison_next_us(poison) == TIMERS_NEVER);
	poison_free(poison);
}

/*
 * The store comes back from a copy that lacks a refused request: VMs that start would send it, and
 * searchers would end once more. Each VM that knows it tells the store again, at a moment of its
 * own, unless it hears first that another has; with all of them telling at once, 300 VMs would
 * flood the store in the moment of its return.
 */
static void test_restored_store_is_told_again(void **state)
{
	const poison_update_t blocked = {
		.fingerprint = 7, .strikes = POISON_STRIKES, .service = "s"};
	uint32_t tells = 0;

	(void)state;
	for (uint32_t vm = 0; vm < 100; vm++) {
		told_t told = {0};
		poison_t *poison = poison_new(&ops, &told, vm);

		poison_apply_update(poison, &blocked, START_US);
		poison_store_restored(poison, vm >= 10, START_US);
		poison_list_begin(poison);
		poison_list_end(poison);
		assert_int_equal(poison_check(poison, 7, START_US), POISON_BLOCKED);
		poison_run(poison, START_US + SECOND_US);
		if (!told.tells)
			poison_apply_update(poison, &blocked, START_US + SECOND_US);
		poison_run(poison, START_US + 60 * SECOND_US);
		tells += told.tells;
		assert_int_equal(told.forgets, 0);
		assert_int_equal(poison_records(poison), 1);
		poison_free(poison);
	}
	assert_in_range(tells, 1, 9);
}

/* Within a minute, each once. */
static void assert_all_told(poison_t *poison, const told_t *told, uint32_t count)
{
	for (uint32_t ms = 1000; ms < 60000; ms += 100)
		poison_run(poison, START_US + ms * 1000ull);
	assert_int_equal(told->tells, count);
}

/* When many searchers end together, a VM has many first strikes: the store is told of the first few
 * at once, and of the rest one by one. */
static void test_first_strikes_are_told_slowly(void **state)
{
	told_t told = {0};
	poison_t *poison = poison_new(&ops, &told, 1);

	(void)state;
	for (fingerprint_t i = 1; i <= 100; i++)
		strike(poison, i, START_US);
	poison_run(poison, START_US + 200000);
	assert_int_equal(told.tells, 0);
	poison_run(poison, START_US + SECOND_US);
	assert_in_range(told.tells, 8, 10);
	assert_all_told(poison, &told, 100);
	poison_free(poison);
}

/* A data centre is lost, and a hundred gathers lose their searchers with nothing in: each looks
 * like one that crashes them. The store is told of few at once, and of the rest like of other first
 * strikes. */
static void test_waves_are_told_slowly(void **state)
{
	told_t told = {0};
	poison_t *poison = poison_new(&ops, &told, 1);

	(void)state;
	for (fingerprint_t i = 1; i <= 100; i++)
		for (int end = 0; end < 3; end++)
			strike(poison, i, START_US);
	poison_run(poison, START_US + 1000);
	assert_in_range(told.tells, 1, 3);
	poison_run(poison, START_US + SECOND_US);
	assert_in_range(told.tells, 8, 15);
	assert_all_told(poison, &told, 100);
	poison_free(poison);
}

/* The last strike refuses a request: the others must know within the settle time, whatever else is
 * told. */
static void test_last_strike_is_told_at_once(void **state)
{
	told_t told = {0};
	poison_t *poison = poison_new(&ops, &told, 1);
	const poison_update_t news = {
		.fingerprint = 500, .strikes = POISON_STRIKES - 1, .service = "s"};

	(void)state;
	poison_apply_update(poison, &news, START_US);
	for (fingerprint_t i = 1; i <= 100; i++)
		strike(poison, i, START_US + 2 * SECOND_US);
	strike(poison, 500, START_US + 2 * SECOND_US);
	assert_int_equal(poison_check(poison, 500, START_US + 2 * SECOND_US), POISON_BLOCKED);
	poison_run(poison, START_US + 2 * SECOND_US + 1000);
	assert_int_equal(told.tells - told.firsts, 1);
	poison_free(poison);
}

/* A store that does not answer is told again, second by second, and no more than that. */
static void test_store_does_not_answer(void **state)
{
	told_t told = {0};
	poison_t *poison = poison_new(&ops, &told, 1);
	const poison_update_t news = {.fingerprint = 1, .strikes = 1, .service = "s"};

	(void)state;
	strike(poison, 1, START_US);
	for (uint32_t ms = 0; ms < 10000; ms += 100) {
		uint32_t before = told.tells;

		poison_run(poison, START_US + ms * 1000ull);
		if (told.tells > before)
			poison_publish_done(poison, &news, false, START_US + ms * 1000ull);
	}
	assert_in_range(told.tells, 9, 10);
	poison_free(poison);
}

/* Written while it is cleared: what has come to the store too late is taken out again. */
static void test_cleared_while_told(void **state)
{
	told_t told = {0};
	poison_t *poison = poison_new(&ops, &told, 1);
	const poison_update_t news = {.fingerprint = 1, .strikes = 1, .service = "s"};

	(void)state;
	strike(poison, 1, START_US);
	poison_run(poison, START_US + SECOND_US);
	assert_int_equal(told.tells, 1);
	poison_note_answered(poison, 1, "s", START_US + SECOND_US);
	assert_int_equal(told.forgets, 0);
	poison_publish_done(poison, &news, true, START_US + SECOND_US);
	assert_int_equal(told.forgets, 1);
	poison_free(poison);
}

/* A list that was read anew lacks what was removed while nobody watched. */
static void test_list(void **state)
{
	told_t told = {0};
	poison_t *poison = poison_new(&ops, &told, 1);
	const poison_update_t kept = {.fingerprint = 1, .strikes = POISON_STRIKES, .service = "s"};
	const poison_update_t gone = {.fingerprint = 2, .strikes = POISON_STRIKES, .service = "s"};

	(void)state;
	poison_apply_update(poison, &kept, START_US);
	poison_apply_update(poison, &gone, START_US);
	strike(poison, 3, START_US); /* the store was not told of this one yet */
	poison_list_begin(poison);
	poison_apply_update(poison, &kept, START_US);
	poison_list_end(poison);
	assert_int_equal(poison_check(poison, 1, START_US), POISON_BLOCKED);
	assert_int_equal(poison_check(poison, 2, START_US), POISON_CLEAR);
	assert_int_equal(poison_check(poison, 3, START_US), POISON_SUSPECT);
	poison_free(poison);
}

/* What is explained without a strike leaves nothing behind. */
static void test_explained_without_a_strike(void **state)
{
	poison_t *poison = poison_new(&ops, &(told_t){0}, 1);
	searcher_t *searcher = searcher_of("x", "s");

	(void)state;
	poison_note_lost(poison, 1, searcher, &SENT(START_US), START_US);
	poison_note_listens(poison, searcher, START_US + 1);
	assert_int_equal(poison_check(poison, 1, START_US + 1), POISON_CLEAR);
	poison_note_ended(poison, searcher, START_US + SECOND_US);
	assert_int_equal(poison_records(poison), 0);
	assert_int_equal(searcher->refs, 1);
	searcher_unref(searcher);
	poison_free(poison);
}

/* Searchers are held only as long as losses under them are unexplained. */
static void test_losses_are_few_and_short(void **state)
{
	poison_t *poison = poison_new(&ops, &(told_t){0}, 1);
	searcher_t *searcher = searcher_of("x", "s");

	(void)state;
	for (int i = 0; i < 100; i++)
		poison_note_lost(poison, 1, searcher, &SENT(START_US), START_US);
	assert_int_equal(searcher->refs, 1 + 8);
	poison_note_lost(poison, 0, searcher, &SENT(START_US), START_US);
	assert_int_equal(poison_records(poison), 1);
	poison_run(poison, START_US + 10 * SECOND_US);
	assert_int_equal(searcher->refs, 1);
	assert_int_equal(poison_records(poison), 0);
	searcher_unref(searcher);
	poison_free(poison);
}

/* ---- many suspects at once ---- */

#define VMS 9
#define SUSPECTS_MOST 500
#define TRIAL_US 20000
#define ASKED_EACH_US 300000
/* What the store takes in a second, of all VMs. */
#define WRITES_A_SECOND 400

typedef struct crowd_t {
	struct crowd_vm_t {
		struct crowd_t *crowd;
		poison_t *poison;
	} vms[VMS];
	uint32_t suspects;
	uint64_t now_us;
	bool claimed[SUSPECTS_MOST + 1];
	bool cleared[SUSPECTS_MOST + 1];
	uint32_t out[SUSPECTS_MOST + 1]; /* of the VM, from 1 on, that has it on trial */
	uint64_t out_us[SUSPECTS_MOST + 1];
	uint32_t writes;
} crowd_t;

static void crowd_tell(void *ctx, const poison_update_t *news)
{
	(void)news;
	((struct crowd_vm_t *)ctx)->crowd->writes++;
}

static void crowd_claim(void *ctx, fingerprint_t fingerprint, uint32_t number)
{
	struct crowd_vm_t *vm = ctx;
	crowd_t *crowd = vm->crowd;
	bool taken = crowd->claimed[fingerprint];

	crowd->writes++;
	crowd->claimed[fingerprint] = true;
	poison_claim_done(vm->poison, fingerprint, number, taken ? CLAIM_TAKEN : CLAIM_GRANTED,
			  crowd->now_us);
}

static void crowd_forget(void *ctx, fingerprint_t fingerprint)
{
	crowd_t *crowd = ((struct crowd_vm_t *)ctx)->crowd;

	crowd->writes++;
	crowd->cleared[fingerprint] = true;
}

static void crowd_drop_claims(void *ctx, fingerprint_t fingerprint, uint32_t number)
{
	(void)fingerprint;
	((struct crowd_vm_t *)ctx)->crowd->writes += number;
}

static void crowd_start(crowd_t *crowd, uint32_t suspects)
{
	static const poison_ops_t crowd_ops = {.publish = crowd_tell,
					       .remove = crowd_forget,
					       .changed = on_changed,
					       .claim = crowd_claim,
					       .drop_claims = crowd_drop_claims};

	*crowd = (crowd_t){.suspects = suspects, .now_us = START_US};
	for (uint32_t i = 0; i < VMS; i++) {
		crowd->vms[i].crowd = crowd;
		crowd->vms[i].poison = poison_new(&crowd_ops, &crowd->vms[i], i);
		for (fingerprint_t f = 1; f <= suspects; f++)
			poison_apply_update(
				crowd->vms[i].poison,
				&(poison_update_t){.fingerprint = f, .strikes = 1, .service = "s"},
				START_US);
	}
}

/* A caller asks for it at one VM; one trial at a time may be out, on all of them. */
static void crowd_ask(crowd_t *crowd, fingerprint_t fingerprint)
{
	uint32_t vm = (uint32_t)((crowd->now_us / ASKED_EACH_US + fingerprint) % VMS);
	trial_decision_t turn =
		poison_decide(crowd->vms[vm].poison, fingerprint, true, crowd->now_us);

	if (turn != TRIAL_BEGIN)
		return;
	assert_int_equal(crowd->out[fingerprint], 0);
	crowd->out[fingerprint] = vm + 1;
	crowd->out_us[fingerprint] = crowd->now_us;
}

static void crowd_answer(crowd_t *crowd, fingerprint_t fingerprint)
{
	poison_t *tried = crowd->vms[crowd->out[fingerprint] - 1].poison;

	poison_note_answered(tried, fingerprint, "s", crowd->now_us);
	for (uint32_t i = 0; i < VMS; i++)
		poison_apply_removal(crowd->vms[i].poison, fingerprint);
	crowd->out[fingerprint] = 0;
}

static void crowd_pass(crowd_t *crowd, uint64_t us)
{
	for (uint64_t end_us = crowd->now_us + us; crowd->now_us < end_us; crowd->now_us += 10000) {
		for (fingerprint_t f = 1; f <= crowd->suspects; f++) {
			if (crowd->out[f] && crowd->now_us >= crowd->out_us[f] + TRIAL_US)
				crowd_answer(crowd, f);
			else if (!crowd->cleared[f] && !crowd->out[f] &&
				 (crowd->now_us / 10000 + f) % (ASKED_EACH_US / 10000) == 0)
				crowd_ask(crowd, f);
		}
	}
}

static uint32_t crowd_left(const crowd_t *crowd)
{
	uint32_t left = 0;

	for (fingerprint_t f = 1; f <= crowd->suspects; f++)
		left += !crowd->cleared[f];
	return left;
}

/* Searchers end under one request, and all that ran beside it is suspect: with a claim for each at
 * once the store would refuse other writes, and with too few their callers would be put off. */
static void test_hundreds_of_suspects(void **state)
{
	static const struct {
		uint32_t suspects;
		uint64_t cleared_us;
	} cases[] = {{50, SECOND_US}, {SUSPECTS_MOST, 10 * SECOND_US}};
	crowd_t *crowd = g_new(crowd_t, 1);

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		crowd_start(crowd, cases[i].suspects);
		for (uint64_t us = 0; us < cases[i].cleared_us; us += SECOND_US) {
			crowd->writes = 0;
			crowd_pass(crowd, SECOND_US);
			assert_in_range(crowd->writes, 0, WRITES_A_SECOND);
		}
		assert_int_equal(crowd_left(crowd), 0);
		for (uint32_t vm = 0; vm < VMS; vm++) {
			assert_int_equal(poison_records(crowd->vms[vm].poison), 0);
			poison_free(crowd->vms[vm].poison);
		}
	}
	g_free(crowd);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_many_requests),
		cmocka_unit_test(test_all_is_forgotten),
		cmocka_unit_test(test_restored_store_is_told_again),
		cmocka_unit_test(test_first_strikes_are_told_slowly),
		cmocka_unit_test(test_waves_are_told_slowly),
		cmocka_unit_test(test_last_strike_is_told_at_once),
		cmocka_unit_test(test_store_does_not_answer),
		cmocka_unit_test(test_cleared_while_told),
		cmocka_unit_test(test_list),
		cmocka_unit_test(test_explained_without_a_strike),
		cmocka_unit_test(test_losses_are_few_and_short),
		cmocka_unit_test(test_hundreds_of_suspects),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
