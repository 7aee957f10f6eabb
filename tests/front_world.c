/**
 * @file front_world.c
 * The simulated world of the forwarding tests; see front_world.h.
 */
#include "front_world.h"

#include <string.h>

#define NEAR_LATENCY_US 12000
#define FAR_LATENCY_US 40000
#define NETWORK_DELAY_US 1000
#define SLOW_FACTOR 10
#define EXTRA_RATIO 0.2
#define EXTRA_CONSTANT 6.0
#define EXTRA_WINDOW_US 10000000
#define NEVER UINT64_MAX
#define RECORD_BYTES 16
/* From a searcher's crash to its restart. */
#define RESTART_DELAY_US 2500000
/* All VMs must know a poison request this long after its third crash: the users' settle time. */
#define KNOWN_WITHIN_US 5000000
#define CRASHES_MAX 3
#define LATE_MAX 3
/* The longest pause between trials of a suspect request (8 s), plus the wait for a trial that was
 * lost at another VM (4 s), plus the wait for a caller with enough time (3 s). */
#define DEFERRED_MAX_US 15000000

/* An outstanding sub-request. */
typedef struct pending_t {
	subrequest_t *sub;
	fake_searcher_t *fake;
	char *request;
	poison_request_t *poison_request; /* NULL: the request crashes no searcher */
	uint64_t due_us;
	sub_outcome_t outcome;
	bool broken;
} pending_t;

static void pending_free(void *data)
{
	pending_t *pending = data;

	g_free(pending->request);
	g_free(pending);
}

static void report_violation(front_world_t *world, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void report_violation(front_world_t *world, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	g_string_append_vprintf(world->violations, format, args);
	g_string_append_c(world->violations, '\n');
	va_end(args);
}

static void notify_step(front_world_t *world)
{
	if (world->after_step)
		world->after_step(world->ctx);
}

const char *behaviour_name(behaviour_t behaviour)
{
	static const char *const names[BEHAVIOURS] = {
		[SERVES] = "serves",	  [SLOW] = "is slow",
		[HANGS] = "hangs",	  [FAILS] = "fails",
		[REFUSES] = "refuses",	  [DISCONNECTS] = "cuts",
		[TERMINATED] = "is lost", [REPLACED] = "has lost its address"};

	return names[behaviour];
}

fake_searcher_t *front_world_searcher(const front_world_t *world, const char *id)
{
	for (guint i = 0; i < world->fakes->len; i++) {
		fake_searcher_t *fake = g_ptr_array_index(world->fakes, i);

		if (g_str_equal(fake->id, id))
			return fake;
	}
	return NULL;
}

/* ---- runs at searchers ---- */

static void count_run(front_world_t *world, const char *request, const char *service)
{
	char *key = g_strdup_printf("%s %s", request, service);
	guint runs = GPOINTER_TO_UINT(g_hash_table_lookup(world->runs, key)) + 1;

	g_hash_table_insert(world->runs, key, GUINT_TO_POINTER(runs));
	for (guint i = 0; i < world->test_requests->len; i++) {
		const test_request_t *test_request = g_ptr_array_index(world->test_requests, i);

		if (!g_str_equal(test_request->id, request))
			continue;
		if (runs > test_request->route->max_attempts)
			report_violation(world, "%s ran %u times at %s", request, runs, service);
		if (test_request->reported_not_run)
			report_violation(world, "%s ran after it was said that it had not",
					 request);
	}
}

static uint32_t count_in_window(const GArray *times, uint64_t now_us)
{
	uint32_t count = 0;

	for (guint i = times->len; i-- > 0;) {
		if (g_array_index(times, uint64_t, i) + EXTRA_WINDOW_US < now_us)
			break;
		count++;
	}
	return count;
}

/* ---- poison requests ---- */

static void poison_request_free(void *data)
{
	poison_request_t *poison_request = data;

	g_free(poison_request->path);
	g_hash_table_unref(poison_request->late);
	g_free(poison_request);
}

static poison_request_t *poison_request_for(front_world_t *world, const char *path)
{
	poison_request_t *poison_request = g_hash_table_lookup(world->poison_requests, path);

	if (poison_request || !g_str_has_prefix(path, "crash"))
		return poison_request;
	poison_request = g_new0(poison_request_t, 1);
	poison_request->path = g_strdup(path);
	poison_request->late = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_insert(world->poison_requests, poison_request->path, poison_request);
	return poison_request;
}

/* Once all VMs must know a poison request, only LATE_MAX more attempts may reach searchers: other
 * callers must not lose their searchers to it again and again. */
static void check_late(front_world_t *world, poison_request_t *poison_request, const char *request)
{
	if (!poison_request->known_by_us ||
	    world->now_us < MAX(poison_request->known_by_us, world->poison_checked_from_us))
		return;
	g_hash_table_add(poison_request->late, g_strdup(request));
	if (g_hash_table_size(poison_request->late) > LATE_MAX)
		report_violation(
			world, "%s reaches a searcher, the attempt %u of %s since it is known",
			request, g_hash_table_size(poison_request->late), poison_request->path);
}

static void record_crash(front_world_t *world, const pending_t *pending)
{
	poison_request_t *poison_request = pending->poison_request;

	if (++poison_request->crashes == CRASHES_MAX)
		poison_request->known_by_us = world->now_us + KNOWN_WITHIN_US;
	if (world->crashed)
		world->crashed(world->ctx, pending->fake);
	else
		front_world_crash(world, pending->fake, RESTART_DELAY_US);
}

/* Checks the bound on extra sub-requests. The bound holds for each service; this check covers all
 * services together and is looser, since it counts each request for every service. */
static void check_extra_bound(front_world_t *world, const char *request, const char *service)
{
	char *key = g_strdup_printf("%s %s", request, service);
	uint32_t extra_sends, requests;

	if (g_hash_table_add(world->first_sends, key))
		return;
	g_array_append_val(world->extra_sends, world->now_us);
	extra_sends = count_in_window(world->extra_sends, world->now_us);
	requests = count_in_window(world->requests, world->now_us);
	if (extra_sends > 4 * (EXTRA_RATIO * requests + EXTRA_CONSTANT))
		report_violation(world, "%u extra sub-requests for %u requests", extra_sends,
				 requests);
}

static bool executes(behaviour_t behaviour)
{
	return behaviour != REFUSES && behaviour != TERMINATED && behaviour != REPLACED;
}

static void set_outcome(const front_world_t *world, pending_t *pending, behaviour_t behaviour)
{
	static const sub_outcome_t outcomes[BEHAVIOURS] = {
		[SERVES] = SUB_ANSWERED,     [SLOW] = SUB_ANSWERED,    [HANGS] = SUB_UNKNOWN,
		[FAILS] = SUB_FAILED,	     [REFUSES] = SUB_NOT_RUN,  [DISCONNECTS] = SUB_UNKNOWN,
		[TERMINATED] = SUB_NOT_SENT, [REPLACED] = SUB_REPLACED};
	uint64_t latency_us = pending->fake->near ? NEAR_LATENCY_US : FAR_LATENCY_US;

	pending->broken = behaviour == DISCONNECTS;
	if (behaviour == SLOW)
		latency_us *= SLOW_FACTOR;
	if (!executes(behaviour))
		latency_us = NETWORK_DELAY_US;
	pending->outcome = outcomes[behaviour];
	pending->due_us = behaviour == HANGS ? NEVER : world->now_us + latency_us;
}

/* Checks that a cold searcher gets at most its share in a window of COLD_WINDOW_US, which starts
 * with the first sub-request sent to it. */
static void check_cold(front_world_t *world, fake_searcher_t *fake, const char *request)
{
	if (world->now_us >= fake->cold_until_us)
		return;
	if (!fake->cold_sent || world->now_us >= fake->cold_window_start_us + COLD_WINDOW_US) {
		fake->cold_window_start_us = world->now_us;
		fake->cold_sent = 0;
	}
	if (++fake->cold_sent > fake->cold_share)
		report_violation(world, "%s is the sending %u of a window to %s, which is cold",
				 request, fake->cold_sent, fake->id);
}

/* Checks that the route allows the searcher's region and that its data centre is not evacuated. */
static void check_placement(front_world_t *world, const subrequest_t *sub,
			    const fake_searcher_t *fake)
{
	const char *request = sub->forward->request.id;

	if (!route_allows(sub->forward->route, sub->searcher->region))
		report_violation(world, "%s must stay here and is sent to %s", request,
				 sub->searcher->id);
	if (fake && world->evacuated[fake->near])
		report_violation(world, "%s is sent to %s, which is evacuated", request, fake->id);
}

static void on_send(void *ctx, subrequest_t *sub)
{
	front_world_t *world = ctx;
	pending_t *pending = g_new0(pending_t, 1);

	pending->sub = sub;
	pending->fake = front_world_searcher(world, sub->searcher->id);
	pending->request = g_strdup(sub->forward->request.id);
	check_placement(world, sub, pending->fake);
	if (!pending->fake) {
		report_violation(world, "%s is sent to %s, which had gone", pending->request,
				 sub->searcher->id);
		pending->fake = g_ptr_array_index(world->fakes, 0);
	}
	check_cold(world, pending->fake, pending->request);
	set_outcome(world, pending, pending->fake->behaviour);
	sub->searcher->connections++;
	if (sub->searcher->state != SEARCHER_READY)
		report_violation(world, "%s is sent to %s, which leaves", pending->request,
				 pending->fake->id);
	/* When no process listens, the sub-request does not arrive. */
	if (pending->fake->behaviour != TERMINATED)
		check_extra_bound(world, pending->request, sub->pool->service);
	if (executes(pending->fake->behaviour)) {
		pending->poison_request = ((test_request_t *)sub->forward->owner)->poison_request;
		count_run(world, pending->request, sub->pool->service);
	}
	if (pending->poison_request) {
		pending->due_us = MIN(pending->due_us, world->now_us + FAR_LATENCY_US);
		check_late(world, pending->poison_request, pending->request);
	}
	g_ptr_array_add(world->outstanding, pending);
	world->sent++;
}

static void on_cancel(void *ctx, subrequest_t *sub)
{
	front_world_t *world = ctx;

	sub->searcher->connections--;
	for (guint i = 0; i < world->outstanding->len; i++) {
		if (((pending_t *)g_ptr_array_index(world->outstanding, i))->sub != sub)
			continue;
		g_ptr_array_remove_index(world->outstanding, i);
		return;
	}
	report_violation(world, "what is not out is cancelled at %s", sub->searcher->id);
}

/* Reports what a new connection to the searcher shows: it is refused or accepted. */
static void report_process_state(front_world_t *world, searcher_t *searcher, behaviour_t behaviour)
{
	if (behaviour == TERMINATED)
		forwarder_searcher_ended(world->forwarder, searcher, world->now_us);
	else
		forwarder_searcher_listens(world->forwarder, searcher, world->now_us);
}

static void reply(front_world_t *world, pending_t *pending)
{
	sub_reply_t *sub_reply = sub_reply_new(pending->outcome);
	subrequest_t *sub = pending->sub;
	searcher_t *searcher = searcher_ref(sub->searcher);
	bool shows_process = pending->broken || pending->outcome == SUB_NOT_SENT;
	behaviour_t behaviour = pending->fake->behaviour;

	sub->searcher->connections--;
	sub->searcher->idle = 1;
	sub_reply->broken = pending->broken;
	sub_reply->status = pending->outcome == SUB_ANSWERED ? 200 : 500;
	sub_reply->stamp = g_strdup_printf("%s.%s", sub->pool->service, pending->request);
	sub_reply->body = g_string_new(NULL);
	g_string_printf(sub_reply->body, "%-*s", RECORD_BYTES, sub->pool->service);
	g_ptr_array_remove(world->outstanding, pending);
	world->replied++;
	forwarder_subrequest_ended(world->forwarder, sub, sub_reply, world->now_us);
	if (shows_process)
		report_process_state(world, searcher, behaviour);
	searcher_unref(searcher);
	notify_step(world);
}

/* Ends a sub-request that is due: a searcher that runs a poison request crashes instead of
 * answering. */
static void finish_pending(front_world_t *world, pending_t *pending)
{
	if (pending->poison_request && pending->fake->behaviour != TERMINATED)
		record_crash(world, pending);
	else
		reply(world, pending);
}

/* ---- answers to callers ---- */

static bool was_run(const front_world_t *world, const char *request)
{
	static const char *const services[] = {"a", "b", "c", "s"};

	for (size_t i = 0; i < G_N_ELEMENTS(services); i++) {
		g_autofree char *key = g_strdup_printf("%s %s", request, services[i]);

		if (g_hash_table_contains(world->runs, key))
			return true;
	}
	return false;
}

static bool outcome_means_not_run(forward_outcome_t outcome)
{
	return outcome == FORWARD_NOT_READY || outcome == FORWARD_NO_SEARCHER ||
	       outcome == FORWARD_SHUTTING_DOWN || outcome == FORWARD_TOO_LATE ||
	       outcome == FORWARD_FULL || outcome == FORWARD_REJECTED ||
	       outcome == FORWARD_BLOCKED || outcome == FORWARD_DEFERRED;
}

static void check_stamps(front_world_t *world, const test_request_t *test_request,
			 const forward_answer_t *answer)
{
	g_auto(GStrv) stamps = g_strsplit(answer->stamps->str, ", ", 0);
	guint count = g_strv_length(stamps);

	if (count + answer->missing != answer->parts)
		report_violation(world, "%s: %u parts and %u missing of %u", test_request->id,
				 count, answer->missing, answer->parts);
	if (count < test_request->route->min_coverage * answer->parts - 1e-9)
		report_violation(world, "%s: %u of %u parts pass for a success", test_request->id,
				 count, answer->parts);
	if (answer->records->len != (gsize)count * RECORD_BYTES)
		report_violation(world, "%s: %" G_GSIZE_FORMAT " bytes of %u parts",
				 test_request->id, answer->records->len, count);
	for (guint i = 0; i < count; i++) {
		if (!strchr(stamps[i], '.') || !g_str_has_suffix(stamps[i], test_request->id))
			report_violation(world, "%s holds a part of another: %s", test_request->id,
					 stamps[i]);
		for (guint j = 0; j < i; j++)
			if (g_str_equal(stamps[i], stamps[j]))
				report_violation(world, "%s holds %s twice", test_request->id,
						 stamps[i]);
	}
}

static void record_outcome(test_request_t *test_request, const forward_answer_t *answer)
{
	if (answer->outcome != FORWARD_ANSWERED)
		g_string_assign(test_request->outcome, forward_outcome_name(answer->outcome));
	else if (answer->reply && answer->reply->status != 200)
		g_string_assign(test_request->outcome, "the searcher's failure");
	else if (answer->missing)
		g_string_printf(test_request->outcome, "%u of %u", answer->parts - answer->missing,
				answer->parts);
	else
		g_string_assign(test_request->outcome, "whole");
}

/* A request that crashes no searcher must not be deferred forever while callers retry it. */
static void check_deferred(front_world_t *world, const test_request_t *test_request,
			   forward_outcome_t outcome)
{
	const uint64_t *first_us = g_hash_table_lookup(world->deferred, &test_request->fingerprint);

	if (outcome != FORWARD_DEFERRED)
		g_hash_table_remove(world->deferred, &test_request->fingerprint);
	else if (!first_us)
		g_hash_table_insert(world->deferred,
				    g_memdup2(&test_request->fingerprint, sizeof(fingerprint_t)),
				    g_memdup2(&world->now_us, sizeof(uint64_t)));
	else if (world->now_us > *first_us + DEFERRED_MAX_US && !test_request->poison_request)
		report_violation(world, "%s is still put off after %u ms", test_request->id,
				 (uint32_t)((world->now_us - *first_us) / 1000));
}

static void on_answer(void *ctx, forward_t *forward, const forward_answer_t *answer)
{
	front_world_t *world = ctx;
	test_request_t *test_request = forward->owner;

	if (test_request->answered || test_request->abandoned)
		report_violation(world, "%s is answered once more", test_request->id);
	/* A suspended VM can't answer in time; it must answer at once when it resumes. */
	if (world->now_us > test_request->sent_us + test_request->patience_us +
				    world->suspended_us - test_request->suspended_us)
		report_violation(world, "%s is answered past its time", test_request->id);
	test_request->answered = true;
	test_request->forward = NULL;
	record_outcome(test_request, answer);
	if (answer->stamps)
		check_stamps(world, test_request, answer);
	check_deferred(world, test_request, answer->outcome);
	test_request->reported_not_run = outcome_means_not_run(answer->outcome);
	if (answer->outcome == FORWARD_BLOCKED && !test_request->poison_request)
		report_violation(world, "%s is refused, and crashes nobody", test_request->id);
	if (test_request->reported_not_run && was_run(world, test_request->id))
		report_violation(world, "%s was said not to have run, and had", test_request->id);
}

test_request_t *front_world_request(front_world_t *world, const char *route, uint64_t patience_us)
{
	g_autofree char *path = g_strdup_printf("x%u", world->test_requests->len);

	return front_world_attempt(world, route, path, patience_us);
}

static fingerprint_t fingerprint_of_target(const char *target)
{
	g_autoptr(GString) head = g_string_new(target);
	g_autoptr(GString) body = g_string_new(NULL);

	return fingerprint_of(head, body, NULL);
}

test_request_t *front_world_attempt(front_world_t *world, const char *route, const char *path,
				    uint64_t patience_us)
{
	test_request_t *test_request = g_new0(test_request_t, 1);
	g_autofree char *target = g_strdup_printf("/%s/%s", route, path);
	forward_request_t request = {.host = "h",
				     .target = target,
				     .fingerprint = fingerprint_of_target(target),
				     .received_us = world->now_us,
				     .patience_us = patience_us};
	forward_t *forward;

	test_request->id = g_strdup_printf("r%u", world->test_requests->len);
	test_request->outcome = g_string_new("none");
	test_request->sent_us = world->now_us;
	test_request->patience_us = patience_us;
	test_request->suspended_us = world->suspended_us;
	test_request->poison_request = poison_request_for(world, path);
	test_request->fingerprint = request.fingerprint;
	test_request->route = routing_match(forwarder_routing(world->forwarder), "h", target);
	g_ptr_array_add(world->test_requests, test_request);
	g_array_append_val(world->requests, world->now_us);
	request.id = test_request->id;
	forward = forwarder_submit(world->forwarder, &request, test_request, world->now_us);
	if (!test_request->answered)
		test_request->forward = forward;
	notify_step(world);
	return test_request;
}

void front_world_abandon(front_world_t *world, test_request_t *test_request)
{
	if (!test_request->forward)
		return;
	test_request->abandoned = true;
	g_string_assign(test_request->outcome, "the caller left");
	forwarder_abandon(world->forwarder, test_request->forward, world->now_us);
	test_request->forward = NULL;
}

/* ---- time ---- */

static pending_t *next_pending(const front_world_t *world)
{
	pending_t *first = NULL;

	for (guint i = 0; i < world->outstanding->len; i++) {
		pending_t *pending = g_ptr_array_index(world->outstanding, i);

		if (!first || pending->due_us < first->due_us)
			first = pending;
	}
	return first;
}

static uint64_t next_start_us(const front_world_t *world)
{
	uint64_t first_us = NEVER;

	for (guint i = 0; i < world->fakes->len; i++) {
		const fake_searcher_t *fake = g_ptr_array_index(world->fakes, i);

		if (fake->restart_us)
			first_us = MIN(first_us, fake->restart_us);
	}
	return first_us;
}

static void restart_terminated(front_world_t *world)
{
	for (guint i = 0; i < world->fakes->len; i++) {
		fake_searcher_t *fake = g_ptr_array_index(world->fakes, i);

		if (!fake->restart_us || fake->restart_us > world->now_us)
			continue;
		fake->restart_us = 0;
		front_world_restart(world, fake);
	}
}

static void run_until(front_world_t *world, uint64_t until_us)
{
	for (;;) {
		pending_t *pending = next_pending(world);
		uint64_t reply_us = pending ? pending->due_us : NEVER;
		uint64_t timer_us = MIN(forwarder_next_us(world->forwarder),
					registry_run(world->registry, world->now_us));

		timer_us = MIN(timer_us, next_start_us(world));
		if (MIN(reply_us, timer_us) > until_us)
			break;
		world->now_us = MAX(world->now_us, MIN(reply_us, timer_us));
		restart_terminated(world);
		if (reply_us <= timer_us)
			finish_pending(world, pending);
		else
			forwarder_run(world->forwarder, world->now_us);
		registry_run(world->registry, world->now_us);
	}
	world->now_us = MAX(world->now_us, until_us);
}

void front_world_advance(front_world_t *world, uint64_t us)
{
	run_until(world, world->now_us + us);
}

void front_world_stop(front_world_t *world, uint64_t us)
{
	forwarder_stop_at(world->forwarder, world->now_us + us, world->now_us);
	forwarder_refuse_long(world->forwarder);
}

void front_world_suspend(front_world_t *world, uint64_t us)
{
	world->now_us += us;
	world->suspended_us += us;
}

/* ---- faults ---- */

static void register_entry(front_world_t *world, fake_searcher_t *fake, bool draining)
{
	const searcher_entry_t entry = {.id = fake->id,
					.service = fake->service,
					.address = "127.0.0.1",
					.port = 1,
					.data_centre = fake->near ? "here" : "there",
					.slots = 2,
					.draining = draining,
					.changes = ++fake->changes};

	registry_put(world->registry, &entry, world->now_us);
	registry_find(world->registry, fake->id)->connections_max = 4;
}

void front_world_register(front_world_t *world, fake_searcher_t *fake)
{
	register_entry(world, fake, false);
}

void front_world_drain(front_world_t *world, fake_searcher_t *fake)
{
	register_entry(world, fake, true);
}

void front_world_remove(front_world_t *world, const fake_searcher_t *fake)
{
	registry_remove(world->registry, fake->id, 0, world->now_us);
	registry_run(world->registry, world->now_us);
}

void front_world_restart(front_world_t *world, fake_searcher_t *fake)
{
	front_world_drain(world, fake);
	front_world_remove(world, fake);
	g_free(fake->id);
	fake->id = g_strdup_printf("%s-%s-%u", fake->service, fake->near ? "near" : "far",
				   ++fake->starts);
	fake->changes = 0;
	fake->cold_until_us = 0;
	fake->behaviour = SERVES;
	front_world_register(world, fake);
}

void front_world_evacuate(front_world_t *world, bool near, bool evacuated)
{
	world->evacuated[near] = evacuated;
	registry_set_evacuated(world->registry, near ? "here" : "there", evacuated, world->now_us);
}

void front_world_set_cold(front_world_t *world, fake_searcher_t *fake, uint64_t cold_us,
			  uint32_t share)
{
	searcher_t *searcher = registry_find(world->registry, fake->id);
	const searcher_entry_t entry = {.id = fake->id,
					.service = fake->service,
					.address = "127.0.0.1",
					.port = 1,
					.data_centre = fake->near ? "here" : "there",
					.slots = 2,
					.cold_us = cold_us,
					.changes = ++fake->changes};

	if (!searcher || searcher->state != SEARCHER_READY)
		return;
	registry_pool(world->registry, fake->service)->cold.per_s = 1;
	fake->cold_until_us = world->now_us + cold_us;
	fake->cold_share = share;
	fake->cold_sent = 0;
	searcher->cold_share = share;
	/* Sub-requests that were sent before the searcher became cold do not count. */
	searcher->cold_us = 0;
	searcher->cold_next_us = 0;
	registry_put(world->registry, &entry, world->now_us);
}

void front_world_restore(front_world_t *world, const fake_searcher_t *fake)
{
	g_autofree char *former = g_strdup_printf("%s-%s-%u", fake->service,
						  fake->near ? "near" : "far", fake->starts - 1);
	const searcher_entry_t entry = {.id = former,
					.service = fake->service,
					.address = "127.0.0.1",
					.port = 1,
					.data_centre = fake->near ? "here" : "there",
					.slots = 2,
					.changes = 1};

	registry_store_restored(world->registry, world->now_us);
	if (fake->starts > 1)
		registry_put(world->registry, &entry, world->now_us);
}

void front_world_set_behaviour(front_world_t *world, fake_searcher_t *fake, behaviour_t behaviour)
{
	if (fake->behaviour == REPLACED && behaviour != REPLACED)
		front_world_restart(world, fake);
	fake->behaviour = behaviour;
	for (guint i = 0; i < world->outstanding->len; i++) {
		pending_t *pending = g_ptr_array_index(world->outstanding, i);

		if (pending->fake != fake)
			continue;
		if (behaviour == HANGS && !pending->poison_request)
			pending->due_us = NEVER;
		if (behaviour != TERMINATED && behaviour != DISCONNECTS)
			continue;
		pending->outcome = SUB_UNKNOWN;
		pending->broken = true;
		pending->due_us = world->now_us + NETWORK_DELAY_US;
	}
}

void front_world_crash(front_world_t *world, fake_searcher_t *fake, uint64_t restart_us)
{
	front_world_set_behaviour(world, fake, TERMINATED);
	fake->restart_us = world->now_us + restart_us;
}

static void on_changed(void *ctx, searcher_t *searcher)
{
	front_world_t *world = ctx;

	if (world->forwarder)
		forwarder_dispatch_waiting(world->forwarder, searcher->service, world->now_us);
}

/* ---- set-up ---- */

static route_t *add_route(routing_t *routing, const char *name)
{
	route_t *route = routing_add(routing);

	route->name = g_strdup(name);
	route->host = g_strdup("h");
	route->prefix = g_strdup_printf("/%s/", name);
	route->idempotent = true;
	route->max_attempts = 2;
	route->timeout_us = 700000;
	route->target_us = 150000;
	return route;
}

static void add_home_routes(routing_t *routing)
{
	route_t *home = add_route(routing, "home"), *kept = add_route(routing, "kept");

	route_add_target(home, "s", 1);
	route_add_region(home, "one");
	kept->gathers = true;
	kept->top = 8;
	kept->min_coverage = 0.6;
	route_add_target(kept, "a", 1);
	route_add_target(kept, "b", 1);
	route_add_region(kept, "one");
}

void front_world_configure(front_world_t *world)
{
	routing_t *routing = routing_new(++world->version);
	route_t *find = add_route(routing, "find");
	route_t *act = add_route(routing, "act");

	find->gathers = true;
	find->top = 8;
	find->min_coverage = 0.6;
	route_add_target(find, "a", 1);
	route_add_target(find, "b", 1);
	if (world->version == 1)
		route_add_target(find, "c", 1);
	route_add_target(add_route(routing, "get"), "s", 1);
	add_home_routes(routing);
	act->idempotent = false;
	act->max_attempts = 1;
	route_add_target(act, "s", 1);
	routing_seal(routing);
	forwarder_set_routing(world->forwarder, routing);
}

static void fake_free(void *data)
{
	fake_searcher_t *fake = data;

	g_free(fake->id);
	g_free(fake->service);
	g_free(fake);
}

static void add_fake(front_world_t *world, const char *service, bool near)
{
	fake_searcher_t *fake = g_new0(fake_searcher_t, 1);

	fake->id = g_strdup_printf("%s-%s", service, near ? "near" : "far");
	fake->service = g_strdup(service);
	fake->near = near;
	g_ptr_array_add(world->fakes, fake);
	front_world_register(world, fake);
}

static void test_request_free(void *data)
{
	test_request_t *test_request = data;

	g_free(test_request->id);
	g_string_free(test_request->outcome, TRUE);
	g_free(test_request);
}

static void on_poison_publish(void *ctx, const poison_update_t *update)
{
	front_world_t *world = ctx;

	if (world->publish)
		world->publish(world->ctx, world, update);
}

static void on_poison_remove(void *ctx, fingerprint_t fingerprint)
{
	const poison_update_t update = {.fingerprint = fingerprint};

	on_poison_publish(ctx, &update);
}

static void on_poison_claim(void *ctx, fingerprint_t fingerprint, uint32_t number)
{
	front_world_t *world = ctx;

	if (world->claim)
		world->claim(world->ctx, world, fingerprint, number);
	else
		poison_claim_done(forwarder_poison(world->forwarder), fingerprint, number,
				  CLAIM_GRANTED, world->now_us);
}

static void on_poison_drop_claims(void *ctx, fingerprint_t fingerprint, uint32_t number)
{
	front_world_t *world = ctx;

	if (world->drop_claims)
		world->drop_claims(world->ctx, world, fingerprint, number);
}

static void on_poison_changed(void *ctx, const poison_update_t *update, const char *what)
{
	front_world_t *world = ctx;

	if (g_str_equal(what, "cleared") || g_str_equal(what, "released"))
		g_hash_table_remove(world->deferred, &update->fingerprint);
}

front_world_t *front_world_new(uint32_t seed)
{
	static const registry_ops_t registry_ops = {.changed = on_changed};
	static const poison_ops_t poison_ops = {.publish = on_poison_publish,
						.remove = on_poison_remove,
						.changed = on_poison_changed,
						.claim = on_poison_claim,
						.drop_claims = on_poison_drop_claims};
	static const forwarder_ops_t ops = {
		.send = on_send, .cancel = on_cancel, .answer = on_answer, .poison = &poison_ops};
	static const char *const services[] = {"a", "b", "c", "s"};
	const retry_bound_t bound = {
		.ratio = EXTRA_RATIO, .window_us = EXTRA_WINDOW_US, .constant = EXTRA_CONSTANT};
	front_world_t *world = g_new0(front_world_t, 1);
	g_autoptr(GHashTable) regions = g_hash_table_new(g_str_hash, g_str_equal);
	const locality_t place = {.data_centre = "here", .regions = regions};

	g_hash_table_insert(regions, "here", "one");
	g_hash_table_insert(regions, "there", "two");
	world->now_us = 1000000000;
	world->rand = g_rand_new_with_seed(seed);
	world->violations = g_string_new(NULL);
	world->fakes = g_ptr_array_new_with_free_func(fake_free);
	world->test_requests = g_ptr_array_new_with_free_func(test_request_free);
	world->outstanding = g_ptr_array_new_with_free_func(pending_free);
	world->poison_requests =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, poison_request_free);
	world->deferred = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	world->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	world->first_sends = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	world->extra_sends = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	world->requests = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	world->registry = registry_new(&place, &bound, &registry_ops, world);
	registry_list_begin(world->registry);
	for (size_t i = 0; i < G_N_ELEMENTS(services); i++) {
		add_fake(world, services[i], true);
		add_fake(world, services[i], false);
	}
	registry_list_end(world->registry, world->now_us);
	world->forwarder = forwarder_new(&ops, world, world->registry, seed);
	front_world_configure(world);
	return world;
}

void front_world_check_end(front_world_t *world)
{
	for (guint i = 0; i < world->test_requests->len; i++) {
		const test_request_t *test_request = g_ptr_array_index(world->test_requests, i);

		if (!test_request->answered && !test_request->abandoned)
			report_violation(world, "%s has no answer", test_request->id);
	}
	if (forwarder_open_requests(world->forwarder))
		report_violation(world, "%u requests are still open",
				 forwarder_open_requests(world->forwarder));
	if (world->outstanding->len)
		report_violation(world, "%u sub-requests are still out", world->outstanding->len);
}

void front_world_free(front_world_t *world)
{
	forwarder_free(world->forwarder);
	registry_free(world->registry);
	g_ptr_array_unref(world->outstanding);
	g_ptr_array_unref(world->test_requests);
	g_ptr_array_unref(world->fakes);
	g_hash_table_unref(world->poison_requests);
	g_hash_table_unref(world->deferred);
	g_hash_table_unref(world->runs);
	g_hash_table_unref(world->first_sends);
	g_array_unref(world->extra_sends);
	g_array_unref(world->requests);
	g_rand_free(world->rand);
	g_string_free(world->violations, TRUE);
	g_free(world);
}
