/**
 * @file poison_test.c
 * Records of poison requests: their number, retention and publication. Scenarios with single
 * requests are in tests/forward/poison_*.txt.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "core/poison.h"

#define SECOND_US 1000000ull
#define HOUR_US (3600 * SECOND_US)
#define START_US 1000000000ull

/* Sent by a claimed trial on an existing connection. */
#define SENT(at_us) ((poison_sending_t){.sent_us = (at_us), .on_trial = true, .reused = true})

typedef struct store_calls_t {
	uint32_t publishes;	/* updates written */
	uint32_t removes;	/* removals */
	uint32_t first_strikes; /* updates with one strike */
} store_calls_t;

static void on_publish(void *ctx, const poison_update_t *update)
{
	store_calls_t *calls = ctx;

	calls->publishes++;
	calls->first_strikes += update->strikes == 1;
}

static void on_remove(void *ctx, fingerprint_t fingerprint)
{
	(void)fingerprint;
	((store_calls_t *)ctx)->removes++;
}

static void on_changed(void *ctx, const poison_update_t *update, const char *what)
{
	(void)ctx;
	(void)update;
	(void)what;
}

static const poison_ops_t ops = {.publish = on_publish, .remove = on_remove, .changed = on_changed};

static searcher_t *searcher_of(const char *id, const char *service)
{
	const searcher_entry_t entry = {.id = (char *)id,
					.service = (char *)service,
					.address = "127.0.0.1",
					.data_centre = "here",
					.slots = 2};

	return searcher_new(&entry, DISTANCE_LOCAL, NULL, START_US);
}

/* Another searcher terminates while it runs the request. */
static void strike(poison_t *poison, fingerprint_t fingerprint, uint64_t now_us)
{
	searcher_t *searcher = searcher_of("x", "s");

	poison_note_lost(poison, fingerprint, searcher, &SENT(now_us), now_us);
	poison_note_ended(poison, searcher, now_us);
	searcher_unref(searcher);
}

/*
 * A caller sends thousands of different requests that each crash a searcher. Neither the VM's
 * memory nor the store may grow with them: the oldest suspects are evicted, also from the store,
 * while blocked requests stay.
 */
static void test_record_limit(void **state)
{
	store_calls_t calls = {0};
	poison_t *poison = poison_new(&ops, &calls, 1);
	const poison_update_t blocked = {
		.fingerprint = 7, .strikes = POISON_STRIKES, .service = "s"};
	uint64_t now_us = START_US;

	(void)state;
	poison_apply_update(poison, &blocked, now_us);
	for (fingerprint_t i = 100; i < 100 + 5 * POISON_MAX_RECORDS; i++) {
		const poison_update_t update = {.fingerprint = i, .strikes = 1, .service = "s"};

		poison_apply_update(poison, &update, ++now_us);
		assert_true(poison_records(poison) <= POISON_MAX_RECORDS);
	}
	assert_int_equal(poison_records(poison), POISON_MAX_RECORDS);
	assert_int_equal(poison_check(poison, 7, now_us), POISON_BLOCKED);
	assert_int_equal(poison_check(poison, 100, now_us), POISON_CLEAR);
	assert_int_equal(calls.removes, 4 * POISON_MAX_RECORDS + 1);
	assert_int_equal(poison_counters(poison)->dropped, calls.removes);
	poison_free(poison);
}

/* All records expire and are removed from the store, without any action by an operator. */
static void test_records_expire(void **state)
{
	store_calls_t calls = {0};
	poison_t *poison = poison_new(&ops, &calls, 1);

	(void)state;
	for (fingerprint_t i = 1; i <= 20; i++) {
		const poison_update_t update = {
			.fingerprint = i, .strikes = 1 + (uint32_t)i % 3, .service = "s"};

		poison_apply_update(poison, &update, START_US);
	}
	poison_run(poison, START_US + HOUR_US);
	assert_int_equal(poison_records(poison), 0);
	assert_int_equal(calls.removes, 20);
	assert_true(poison_next_us(poison) == TIMERS_NEVER);
	poison_free(poison);
}

/*
 * The store is restored from a backup copy that lacks a blocked request: VMs that start would send
 * it, and more searchers would crash. Each VM with a record republishes it at a random time, unless
 * it receives the update from another VM before. If all of them published at once, 300 VMs would
 * flood the store just after its recovery.
 */
static void test_restored_store_is_republished(void **state)
{
	const poison_update_t blocked = {
		.fingerprint = 7, .strikes = POISON_STRIKES, .service = "s"};
	uint32_t publishes = 0;

	(void)state;
	for (uint32_t vm = 0; vm < 100; vm++) {
		store_calls_t calls = {0};
		poison_t *poison = poison_new(&ops, &calls, vm);

		poison_apply_update(poison, &blocked, START_US);
		poison_store_restored(poison, vm >= 10, START_US);
		poison_list_begin(poison);
		poison_list_end(poison);
		assert_int_equal(poison_check(poison, 7, START_US), POISON_BLOCKED);
		poison_run(poison, START_US + SECOND_US);
		if (!calls.publishes)
			poison_apply_update(poison, &blocked, START_US + SECOND_US);
		poison_run(poison, START_US + 60 * SECOND_US);
		publishes += calls.publishes;
		assert_int_equal(calls.removes, 0);
		assert_int_equal(poison_records(poison), 1);
		poison_free(poison);
	}
	assert_in_range(publishes, 1, 9);
}

/* All strikes are published within a minute, each once. */
static void assert_all_published(poison_t *poison, const store_calls_t *calls, uint32_t count)
{
	for (uint32_t ms = 1000; ms < 60000; ms += 100)
		poison_run(poison, START_US + ms * 1000ull);
	assert_int_equal(calls->publishes, count);
}

/* When many searchers terminate together, a VM has many first strikes: the first few are published
 * in a burst, and the rest one by one. */
static void test_first_strikes_are_rate_limited(void **state)
{
	store_calls_t calls = {0};
	poison_t *poison = poison_new(&ops, &calls, 1);

	(void)state;
	for (fingerprint_t i = 1; i <= 100; i++)
		strike(poison, i, START_US);
	poison_run(poison, START_US + 200000);
	assert_int_equal(calls.publishes, 0);
	poison_run(poison, START_US + SECOND_US);
	assert_in_range(calls.publishes, 8, 10);
	assert_all_published(poison, &calls, 100);
	poison_free(poison);
}

/* A data centre is lost, and a hundred gathers lose their searchers before any part is answered:
 * each looks like a poison request. Few are published at once, and the rest like other first
 * strikes. */
static void test_urgent_strikes_are_rate_limited(void **state)
{
	store_calls_t calls = {0};
	poison_t *poison = poison_new(&ops, &calls, 1);

	(void)state;
	for (fingerprint_t i = 1; i <= 100; i++)
		for (int end = 0; end < 3; end++)
			strike(poison, i, START_US);
	poison_run(poison, START_US + 1000);
	assert_in_range(calls.publishes, 1, 3);
	poison_run(poison, START_US + SECOND_US);
	assert_in_range(calls.publishes, 8, 15);
	assert_all_published(poison, &calls, 100);
	poison_free(poison);
}

/* The last strike blocks a request: the other VMs must receive it within the settle time, whatever
 * else is published. */
static void test_last_strike_is_published_at_once(void **state)
{
	store_calls_t calls = {0};
	poison_t *poison = poison_new(&ops, &calls, 1);
	const poison_update_t update = {
		.fingerprint = 500, .strikes = POISON_STRIKES - 1, .service = "s"};

	(void)state;
	poison_apply_update(poison, &update, START_US);
	for (fingerprint_t i = 1; i <= 100; i++)
		strike(poison, i, START_US + 2 * SECOND_US);
	strike(poison, 500, START_US + 2 * SECOND_US);
	assert_int_equal(poison_check(poison, 500, START_US + 2 * SECOND_US), POISON_BLOCKED);
	poison_run(poison, START_US + 2 * SECOND_US + 1000);
	assert_int_equal(calls.publishes - calls.first_strikes, 1);
	poison_free(poison);
}

/* While the store does not answer, an update is retried once per second, and not more often. */
static void test_failed_update_is_retried(void **state)
{
	store_calls_t calls = {0};
	poison_t *poison = poison_new(&ops, &calls, 1);
	const poison_update_t update = {.fingerprint = 1, .strikes = 1, .service = "s"};

	(void)state;
	strike(poison, 1, START_US);
	for (uint32_t ms = 0; ms < 10000; ms += 100) {
		uint32_t before = calls.publishes;

		poison_run(poison, START_US + ms * 1000ull);
		if (calls.publishes > before)
			poison_publish_done(poison, &update, false, START_US + ms * 1000ull);
	}
	assert_in_range(calls.publishes, 9, 10);
	poison_free(poison);
}

/* A request is cleared while its update is being written: once the write succeeds, the entry is
 * removed from the store again. */
static void test_cleared_while_publishing(void **state)
{
	store_calls_t calls = {0};
	poison_t *poison = poison_new(&ops, &calls, 1);
	const poison_update_t update = {.fingerprint = 1, .strikes = 1, .service = "s"};

	(void)state;
	strike(poison, 1, START_US);
	poison_run(poison, START_US + SECOND_US);
	assert_int_equal(calls.publishes, 1);
	poison_note_answered(poison, 1, "s", START_US + SECOND_US);
	assert_int_equal(calls.removes, 0);
	poison_publish_done(poison, &update, true, START_US + SECOND_US);
	assert_int_equal(calls.removes, 1);
	poison_free(poison);
}

/* A newly read list lacks the entries that were removed while the watch was interrupted. */
static void test_list(void **state)
{
	store_calls_t calls = {0};
	poison_t *poison = poison_new(&ops, &calls, 1);
	const poison_update_t kept = {.fingerprint = 1, .strikes = POISON_STRIKES, .service = "s"};
	const poison_update_t gone = {.fingerprint = 2, .strikes = POISON_STRIKES, .service = "s"};

	(void)state;
	poison_apply_update(poison, &kept, START_US);
	poison_apply_update(poison, &gone, START_US);
	strike(poison, 3, START_US); /* not published yet */
	poison_list_begin(poison);
	poison_apply_update(poison, &kept, START_US);
	poison_list_end(poison);
	assert_int_equal(poison_check(poison, 1, START_US), POISON_BLOCKED);
	assert_int_equal(poison_check(poison, 2, START_US), POISON_CLEAR);
	assert_int_equal(poison_check(poison, 3, START_US), POISON_SUSPECT);
	poison_free(poison);
}

/* A loss that is resolved without a strike leaves no record. */
static void test_resolved_without_strike(void **state)
{
	poison_t *poison = poison_new(&ops, &(store_calls_t){0}, 1);
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

/* Searchers are referenced only by unresolved losses, which are bounded in number and expire. */
static void test_losses_are_bounded(void **state)
{
	poison_t *poison = poison_new(&ops, &(store_calls_t){0}, 1);
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
#define MAX_SUSPECTS 500
#define TRIAL_US 20000
#define SUSPECT_REQUEST_INTERVAL_US 300000
/* Writes per second that the store accepts from all VMs together. */
#define MAX_WRITES_PER_S 400

typedef struct suspects_sim_t {
	struct suspects_sim_vm_t {
		struct suspects_sim_t *sim;
		poison_t *poison;
	} vms[VMS];
	uint32_t suspects;
	uint64_t now_us;
	bool claimed[MAX_SUSPECTS + 1];
	bool cleared[MAX_SUSPECTS + 1];
	uint32_t running_vm[MAX_SUSPECTS +
			    1]; /* number, from 1, of the VM that has it on trial; 0: none */
	uint64_t begun_us[MAX_SUSPECTS + 1];
	uint32_t writes;
} suspects_sim_t;

static void suspects_sim_publish(void *ctx, const poison_update_t *update)
{
	(void)update;
	((struct suspects_sim_vm_t *)ctx)->sim->writes++;
}

static void suspects_sim_claim(void *ctx, fingerprint_t fingerprint, uint32_t number)
{
	struct suspects_sim_vm_t *vm = ctx;
	suspects_sim_t *sim = vm->sim;
	bool taken = sim->claimed[fingerprint];

	sim->writes++;
	sim->claimed[fingerprint] = true;
	poison_claim_done(vm->poison, fingerprint, number, taken ? CLAIM_TAKEN : CLAIM_GRANTED,
			  sim->now_us);
}

static void suspects_sim_remove(void *ctx, fingerprint_t fingerprint)
{
	suspects_sim_t *sim = ((struct suspects_sim_vm_t *)ctx)->sim;

	sim->writes++;
	sim->cleared[fingerprint] = true;
}

static void suspects_sim_drop_claims(void *ctx, fingerprint_t fingerprint, uint32_t number)
{
	(void)fingerprint;
	((struct suspects_sim_vm_t *)ctx)->sim->writes += number;
}

static void suspects_sim_start(suspects_sim_t *sim, uint32_t suspects)
{
	static const poison_ops_t suspects_sim_ops = {.publish = suspects_sim_publish,
						      .remove = suspects_sim_remove,
						      .changed = on_changed,
						      .claim = suspects_sim_claim,
						      .drop_claims = suspects_sim_drop_claims};

	*sim = (suspects_sim_t){.suspects = suspects, .now_us = START_US};
	for (uint32_t i = 0; i < VMS; i++) {
		sim->vms[i].sim = sim;
		sim->vms[i].poison = poison_new(&suspects_sim_ops, &sim->vms[i], i);
		for (fingerprint_t f = 1; f <= suspects; f++)
			poison_apply_update(
				sim->vms[i].poison,
				&(poison_update_t){.fingerprint = f, .strikes = 1, .service = "s"},
				START_US);
	}
}

/* A caller sends the request to one VM; at most one trial may run at a time over all VMs. */
static void suspects_sim_request(suspects_sim_t *sim, fingerprint_t fingerprint)
{
	uint32_t vm = (uint32_t)((sim->now_us / SUSPECT_REQUEST_INTERVAL_US + fingerprint) % VMS);
	trial_decision_t turn = poison_decide(sim->vms[vm].poison, fingerprint, true, sim->now_us);

	if (turn != TRIAL_BEGIN)
		return;
	assert_int_equal(sim->running_vm[fingerprint], 0);
	sim->running_vm[fingerprint] = vm + 1;
	sim->begun_us[fingerprint] = sim->now_us;
}

static void suspects_sim_answer(suspects_sim_t *sim, fingerprint_t fingerprint)
{
	poison_t *tried = sim->vms[sim->running_vm[fingerprint] - 1].poison;

	poison_note_answered(tried, fingerprint, "s", sim->now_us);
	for (uint32_t i = 0; i < VMS; i++)
		poison_apply_removal(sim->vms[i].poison, fingerprint);
	sim->running_vm[fingerprint] = 0;
}

static void suspects_sim_run(suspects_sim_t *sim, uint64_t us)
{
	for (uint64_t end_us = sim->now_us + us; sim->now_us < end_us; sim->now_us += 10000) {
		for (fingerprint_t f = 1; f <= sim->suspects; f++) {
			if (sim->running_vm[f] && sim->now_us >= sim->begun_us[f] + TRIAL_US)
				suspects_sim_answer(sim, f);
			else if (!sim->cleared[f] && !sim->running_vm[f] &&
				 (sim->now_us / 10000 + f) %
						 (SUSPECT_REQUEST_INTERVAL_US / 10000) ==
					 0)
				suspects_sim_request(sim, f);
		}
	}
}

static uint32_t suspects_sim_remaining(const suspects_sim_t *sim)
{
	uint32_t left = 0;

	for (fingerprint_t f = 1; f <= sim->suspects; f++)
		left += !sim->cleared[f];
	return left;
}

/* One request crashes searchers, and all concurrent requests become suspect. If each were claimed
 * at once, the store would reject other writes; with too few claims their callers would be
 * deferred. */
static void test_many_suspects(void **state)
{
	static const struct {
		uint32_t suspects;
		uint64_t cleared_us;
	} cases[] = {{50, SECOND_US}, {MAX_SUSPECTS, 10 * SECOND_US}};
	suspects_sim_t *sim = g_new(suspects_sim_t, 1);

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		suspects_sim_start(sim, cases[i].suspects);
		for (uint64_t us = 0; us < cases[i].cleared_us; us += SECOND_US) {
			sim->writes = 0;
			suspects_sim_run(sim, SECOND_US);
			assert_in_range(sim->writes, 0, MAX_WRITES_PER_S);
		}
		assert_int_equal(suspects_sim_remaining(sim), 0);
		for (uint32_t vm = 0; vm < VMS; vm++) {
			assert_int_equal(poison_records(sim->vms[vm].poison), 0);
			poison_free(sim->vms[vm].poison);
		}
	}
	g_free(sim);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_record_limit),
		cmocka_unit_test(test_records_expire),
		cmocka_unit_test(test_restored_store_is_republished),
		cmocka_unit_test(test_first_strikes_are_rate_limited),
		cmocka_unit_test(test_urgent_strikes_are_rate_limited),
		cmocka_unit_test(test_last_strike_is_published_at_once),
		cmocka_unit_test(test_failed_update_is_retried),
		cmocka_unit_test(test_cleared_while_publishing),
		cmocka_unit_test(test_list),
		cmocka_unit_test(test_resolved_without_strike),
		cmocka_unit_test(test_losses_are_bounded),
		cmocka_unit_test(test_many_suspects),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
