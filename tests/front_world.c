/**
 * @file front_world.c
 * See front_world.h.
 */
#include "front_world.h"

#include <string.h>

#define NEAR_US 12000
#define FAR_US 40000
#define WAY_US 1000
#define SLOW_TIMES 10
#define RATIO 0.2
#define CONSTANT 6.0
#define WINDOW_US 10000000
#define NEVER UINT64_MAX
#define RECORD_BYTES 16
/* From a searcher's crash to its next start. */
#define BACK_US 2500000
/* After the third crash, all VMs must know the request within the users' settle time. */
#define KNOWN_US 5000000
#define CRASHES_MOST 3
#define LATE_MOST 3
/* The longest pause between trials of a suspect (8 s), the wait for one that was lost elsewhere (4
 * s), and for a caller with enough time (3 s). */
#define DEFERRED_MOST_US 15000000

/* A sub-request at a searcher, or on its way back. */
typedef struct pending_t {
	subrequest_t *sub;
	fake_t *fake;
	char *request;
	crasher_t *crasher; /* NULL: its request does no harm */
	uint64_t due_us;
	sub_outcome_t end;
	bool broken;
} pending_t;

static void pending_free(void *data)
{
	pending_t *pending = data;

	g_free(pending->request);
	g_free(pending);
}

static void wrong(front_world_t *world, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void wrong(front_world_t *world, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	g_string_append_vprintf(world->wrong, format, args);
	g_string_append_c(world->wrong, '\n');
	va_end(args);
}

static void stepped(front_world_t *world)
{
	if (world->stepped)
		world->stepped(world->ctx);
}

const char *behaviour_name(behaviour_t behaviour)
{
	static const char *const names[BEHAVIOURS] = {
		[SERVES] = "serves",   [SLOW] = "is slow",
		[HANGS] = "hangs",     [FAILS] = "fails",
		[REFUSES] = "refuses", [CUTS] = "cuts",
		[LOST] = "is lost",    [REPLACED] = "has lost its address"};

	return names[behaviour];
}

fake_t *front_world_fake(const front_world_t *world, const char *id)
{
	for (guint i = 0; i < world->fakes->len; i++) {
		fake_t *fake = g_ptr_array_index(world->fakes, i);

		if (g_str_equal(fake->id, id))
			return fake;
	}
	return NULL;
}

/* ---- what searchers see ---- */

static void count_run(front_world_t *world, const char *request, const char *service)
{
	char *key = g_strdup_printf("%s %s", request, service);
	guint runs = GPOINTER_TO_UINT(g_hash_table_lookup(world->runs, key)) + 1;

	g_hash_table_insert(world->runs, key, GUINT_TO_POINTER(runs));
	for (guint i = 0; i < world->played->len; i++) {
		const played_t *played = g_ptr_array_index(world->played, i);

		if (!g_str_equal(played->id, request))
			continue;
		if (runs > played->route->max_attempts)
			wrong(world, "%s ran %u times at %s", request, runs, service);
		if (played->said_not_run)
			wrong(world, "%s ran after it was said that it had not", request);
	}
}

static uint32_t within_window(const GArray *times, uint64_t now_us)
{
	uint32_t count = 0;

	for (guint i = times->len; i-- > 0;) {
		if (g_array_index(times, uint64_t, i) + WINDOW_US < now_us)
			break;
		count++;
	}
	return count;
}

/* ---- requests that crash searchers ---- */

static void crasher_free(void *data)
{
	crasher_t *crasher = data;

	g_free(crasher->path);
	g_hash_table_unref(crasher->late);
	g_free(crasher);
}

static crasher_t *crasher_of(front_world_t *world, const char *path)
{
	crasher_t *crasher = g_hash_table_lookup(world->crashers, path);

	if (crasher || !g_str_has_prefix(path, "crash"))
		return crasher;
	crasher = g_new0(crasher_t, 1);
	crasher->path = g_strdup(path);
	crasher->late = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_insert(world->crashers, crasher->path, crasher);
	return crasher;
}

/* However many searchers run it, callers of others must not pay for it again and again. */
static void check_late(front_world_t *world, crasher_t *crasher, const char *request)
{
	if (!crasher->known_us || world->now_us < MAX(crasher->known_us, world->in_touch_us))
		return;
	g_hash_table_add(crasher->late, g_strdup(request));
	if (g_hash_table_size(crasher->late) > LATE_MOST)
		wrong(world, "%s reaches a searcher, the attempt %u of %s since it is known",
		      request, g_hash_table_size(crasher->late), crasher->path);
}

static void note_crash(front_world_t *world, const pending_t *pending)
{
	crasher_t *crasher = pending->crasher;

	if (++crasher->crashed == CRASHES_MOST)
		crasher->known_us = world->now_us + KNOWN_US;
	if (world->crashed)
		world->crashed(world->ctx, pending->fake);
	else
		front_world_crash(world, pending->fake, BACK_US);
}

/* The bound of one service; all of the world's together are looser, so each request counts for all
 * three shards. */
static void check_bound(front_world_t *world, const char *request, const char *service)
{
	char *key = g_strdup_printf("%s %s", request, service);
	uint32_t extras, requests;

	if (g_hash_table_add(world->firsts, key))
		return;
	g_array_append_val(world->extras, world->now_us);
	extras = within_window(world->extras, world->now_us);
	requests = within_window(world->requests, world->now_us);
	if (extras > 4 * (RATIO * requests + CONSTANT))
		wrong(world, "%u extra sub-requests for %u requests", extras, requests);
}

static bool runs_it(behaviour_t behaviour)
{
	return behaviour != REFUSES && behaviour != LOST && behaviour != REPLACED;
}

static void set_end(const front_world_t *world, pending_t *pending, behaviour_t behaviour)
{
	static const sub_outcome_t ends[BEHAVIOURS] = {
		[SERVES] = SUB_ANSWERED, [SLOW] = SUB_ANSWERED,	   [HANGS] = SUB_UNKNOWN,
		[FAILS] = SUB_FAILED,	 [REFUSES] = SUB_NOT_RUN,  [CUTS] = SUB_UNKNOWN,
		[LOST] = SUB_NOT_SENT,	 [REPLACED] = SUB_REPLACED};
	uint64_t takes_us = pending->fake->near ? NEAR_US : FAR_US;

	pending->broken = behaviour == CUTS;
	if (behaviour == SLOW)
		takes_us *= SLOW_TIMES;
	if (!runs_it(behaviour))
		takes_us = WAY_US;
	pending->end = ends[behaviour];
	pending->due_us = behaviour == HANGS ? NEVER : world->now_us + takes_us;
}

/* In a window of this length, from its first sending on, a cold searcher gets its share at most. */
static void check_cold(front_world_t *world, fake_t *fake, const char *request)
{
	if (world->now_us >= fake->cold_until_us)
		return;
	if (!fake->cold_sent || world->now_us >= fake->cold_from_us + COLD_WINDOW_US) {
		fake->cold_from_us = world->now_us;
		fake->cold_sent = 0;
	}
	if (++fake->cold_sent > fake->cold_share)
		wrong(world, "%s is the sending %u of a window to %s, which is cold", request,
		      fake->cold_sent, fake->id);
}

/* Where it may go at all. */
static void check_place(front_world_t *world, const subrequest_t *sub, const fake_t *fake)
{
	const char *request = sub->forward->request.id;

	if (!route_allows(sub->forward->route, sub->searcher->region))
		wrong(world, "%s must stay here and is sent to %s", request, sub->searcher->id);
	if (fake && world->evacuated[fake->near])
		wrong(world, "%s is sent to %s, which is evacuated", request, fake->id);
}

static void on_send(void *ctx, subrequest_t *sub)
{
	front_world_t *world = ctx;
	pending_t *pending = g_new0(pending_t, 1);

	pending->sub = sub;
	pending->fake = front_world_fake(world, sub->searcher->id);
	pending->request = g_strdup(sub->forward->request.id);
	check_place(world, sub, pending->fake);
	if (!pending->fake) {
		wrong(world, "%s is sent to %s, which had gone", pending->request,
		      sub->searcher->id);
		pending->fake = g_ptr_array_index(world->fakes, 0);
	}
	check_cold(world, pending->fake, pending->request);
	set_end(world, pending, pending->fake->behaviour);
	sub->searcher->connections++;
	if (sub->searcher->state != SEARCHER_READY)
		wrong(world, "%s is sent to %s, which leaves", pending->request, pending->fake->id);
	if (pending->fake->behaviour != LOST) /* nobody listens: it does not arrive */
		check_bound(world, pending->request, sub->pool->service);
	if (runs_it(pending->fake->behaviour)) {
		pending->crasher = ((played_t *)sub->forward->owner)->crasher;
		count_run(world, pending->request, sub->pool->service);
	}
	if (pending->crasher) {
		pending->due_us = MIN(pending->due_us, world->now_us + FAR_US);
		check_late(world, pending->crasher, pending->request);
	}
	g_ptr_array_add(world->out, pending);
	world->sent++;
}

static void on_cancel(void *ctx, subrequest_t *sub)
{
	front_world_t *world = ctx;

	sub->searcher->connections--;
	for (guint i = 0; i < world->out->len; i++) {
		if (((pending_t *)g_ptr_array_index(world->out, i))->sub != sub)
			continue;
		g_ptr_array_remove_index(world->out, i);
		return;
	}
	wrong(world, "what is not out is cancelled at %s", sub->searcher->id);
}

/* What the connections to it show: a new one is refused, or accepted. */
static void look_for_process(front_world_t *world, searcher_t *searcher, behaviour_t behaviour)
{
	if (behaviour == LOST)
		forwarder_searcher_ended(world->forwarder, searcher, world->now_us);
	else
		forwarder_searcher_listens(world->forwarder, searcher, world->now_us);
}

static void reply(front_world_t *world, pending_t *pending)
{
	sub_reply_t *sub_reply = sub_reply_new(pending->end);
	subrequest_t *sub = pending->sub;
	searcher_t *searcher = searcher_ref(sub->searcher);
	bool shows = pending->broken || pending->end == SUB_NOT_SENT;
	behaviour_t behaviour = pending->fake->behaviour;

	sub->searcher->connections--;
	sub->searcher->idle = 1;
	sub_reply->broken = pending->broken;
	sub_reply->status = pending->end == SUB_ANSWERED ? 200 : 500;
	sub_reply->stamp = g_strdup_printf("%s.%s", sub->pool->service, pending->request);
	sub_reply->body = g_string_new(NULL);
	g_string_printf(sub_reply->body, "%-*s", RECORD_BYTES, sub->pool->service);
	g_ptr_array_remove(world->out, pending);
	world->replied++;
	forwarder_subrequest_ended(world->forwarder, sub, sub_reply, world->now_us);
	if (shows)
		look_for_process(world, searcher, behaviour);
	searcher_unref(searcher);
	stepped(world);
}

/* A searcher that runs such a request ends in place of an answer. */
static void arrive(front_world_t *world, pending_t *pending)
{
	if (pending->crasher && pending->fake->behaviour != LOST)
		note_crash(world, pending);
	else
		reply(world, pending);
}

/* ---- what callers see ---- */

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

static bool says_not_run(forward_outcome_t end)
{
	return end == FORWARD_NOT_READY || end == FORWARD_NO_SEARCHER ||
	       end == FORWARD_SHUTTING_DOWN || end == FORWARD_TOO_LATE || end == FORWARD_FULL ||
	       end == FORWARD_REJECTED || end == FORWARD_BLOCKED || end == FORWARD_DEFERRED;
}

static void check_stamps(front_world_t *world, const played_t *played,
			 const forward_answer_t *answer)
{
	g_auto(GStrv) stamps = g_strsplit(answer->stamps->str, ", ", 0);
	guint count = g_strv_length(stamps);

	if (count + answer->missing != answer->parts)
		wrong(world, "%s: %u parts and %u missing of %u", played->id, count,
		      answer->missing, answer->parts);
	if (count < played->route->min_coverage * answer->parts - 1e-9)
		wrong(world, "%s: %u of %u parts pass for a success", played->id, count,
		      answer->parts);
	if (answer->records->len != (gsize)count * RECORD_BYTES)
		wrong(world, "%s: %" G_GSIZE_FORMAT " bytes of %u parts", played->id,
		      answer->records->len, count);
	for (guint i = 0; i < count; i++) {
		if (!strchr(stamps[i], '.') || !g_str_has_suffix(stamps[i], played->id))
			wrong(world, "%s holds a part of another: %s", played->id, stamps[i]);
		for (guint j = 0; j < i; j++)
			if (g_str_equal(stamps[i], stamps[j]))
				wrong(world, "%s holds %s twice", played->id, stamps[i]);
	}
}

static void tell_outcome(played_t *played, const forward_answer_t *answer)
{
	if (answer->outcome != FORWARD_ANSWERED)
		g_string_assign(played->outcome, forward_outcome_name(answer->outcome));
	else if (answer->reply && answer->reply->status != 200)
		g_string_assign(played->outcome, "the searcher's failure");
	else if (answer->missing)
		g_string_printf(played->outcome, "%u of %u", answer->parts - answer->missing,
				answer->parts);
	else
		g_string_assign(played->outcome, "whole");
}

/* One that harms nobody must not be put off for as long as it is asked for. */
static void check_deferred(front_world_t *world, const played_t *played, forward_outcome_t end)
{
	const uint64_t *first_us = g_hash_table_lookup(world->deferred, &played->fingerprint);

	if (end != FORWARD_DEFERRED)
		g_hash_table_remove(world->deferred, &played->fingerprint);
	else if (!first_us)
		g_hash_table_insert(world->deferred,
				    g_memdup2(&played->fingerprint, sizeof(fingerprint_t)),
				    g_memdup2(&world->now_us, sizeof(uint64_t)));
	else if (world->now_us > *first_us + DEFERRED_MOST_US && !played->crasher)
		wrong(world, "%s is still put off after %u ms", played->id,
		      (uint32_t)((world->now_us - *first_us) / 1000));
}

static void on_answer(void *ctx, forward_t *forward, const forward_answer_t *answer)
{
	front_world_t *world = ctx;
	played_t *played = forward->owner;

	if (played->answered || played->left)
		wrong(world, "%s is answered once more", played->id);
	/* A VM that stands still can't answer; when it goes on it does so at once. */
	if (world->now_us >
	    played->sent_us + played->patience_us + world->still_us - played->still_us)
		wrong(world, "%s is answered past its time", played->id);
	played->answered = true;
	played->forward = NULL;
	tell_outcome(played, answer);
	if (answer->stamps)
		check_stamps(world, played, answer);
	check_deferred(world, played, answer->outcome);
	played->said_not_run = says_not_run(answer->outcome);
	if (answer->outcome == FORWARD_BLOCKED && !played->crasher)
		wrong(world, "%s is refused, and crashes nobody", played->id);
	if (played->said_not_run && was_run(world, played->id))
		wrong(world, "%s was said not to have run, and had", played->id);
}

played_t *front_world_request(front_world_t *world, const char *route, uint64_t patience_us)
{
	g_autofree char *path = g_strdup_printf("x%u", world->played->len);

	return front_world_attempt(world, route, path, patience_us);
}

static fingerprint_t fingerprint_of_target(const char *target)
{
	g_autoptr(GString) head = g_string_new(target);
	g_autoptr(GString) body = g_string_new(NULL);

	return fingerprint_of(head, body);
}

played_t *front_world_attempt(front_world_t *world, const char *route, const char *path,
			      uint64_t patience_us)
{
	played_t *played = g_new0(played_t, 1);
	g_autofree char *target = g_strdup_printf("/%s/%s", route, path);
	forward_request_t request = {.host = "h",
				     .target = target,
				     .fingerprint = fingerprint_of_target(target),
				     .received_us = world->now_us,
				     .patience_us = patience_us};
	forward_t *forward;

	played->id = g_strdup_printf("r%u", world->played->len);
	played->outcome = g_string_new("none");
	played->sent_us = world->now_us;
	played->patience_us = patience_us;
	played->still_us = world->still_us;
	played->crasher = crasher_of(world, path);
	played->fingerprint = request.fingerprint;
	played->route = routing_match(forwarder_routing(world->forwarder), "h", target);
	g_ptr_array_add(world->played, played);
	g_array_append_val(world->requests, world->now_us);
	request.id = played->id;
	forward = forwarder_submit(world->forwarder, &request, played, world->now_us);
	if (!played->answered)
		played->forward = forward;
	stepped(world);
	return played;
}

void front_world_leave(front_world_t *world, played_t *played)
{
	if (!played->forward)
		return;
	played->left = true;
	g_string_assign(played->outcome, "the caller left");
	forwarder_abandon(world->forwarder, played->forward, world->now_us);
	played->forward = NULL;
}

/* ---- time ---- */

static pending_t *next_pending(const front_world_t *world)
{
	pending_t *first = NULL;

	for (guint i = 0; i < world->out->len; i++) {
		pending_t *pending = g_ptr_array_index(world->out, i);

		if (!first || pending->due_us < first->due_us)
			first = pending;
	}
	return first;
}

static uint64_t next_start_us(const front_world_t *world)
{
	uint64_t first_us = NEVER;

	for (guint i = 0; i < world->fakes->len; i++) {
		const fake_t *fake = g_ptr_array_index(world->fakes, i);

		if (fake->back_us)
			first_us = MIN(first_us, fake->back_us);
	}
	return first_us;
}

static void start_again(front_world_t *world)
{
	for (guint i = 0; i < world->fakes->len; i++) {
		fake_t *fake = g_ptr_array_index(world->fakes, i);

		if (!fake->back_us || fake->back_us > world->now_us)
			continue;
		fake->back_us = 0;
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
		start_again(world);
		if (reply_us <= timer_us)
			arrive(world, pending);
		else
			forwarder_run(world->forwarder, world->now_us);
		registry_run(world->registry, world->now_us);
	}
	world->now_us = MAX(world->now_us, until_us);
}

void front_world_pass(front_world_t *world, uint64_t us)
{
	run_until(world, world->now_us + us);
}

void front_world_stand_still(front_world_t *world, uint64_t us)
{
	world->now_us += us;
	world->still_us += us;
}

/* ---- faults ---- */

static void put(front_world_t *world, fake_t *fake, bool draining)
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

void front_world_register(front_world_t *world, fake_t *fake)
{
	put(world, fake, false);
}

void front_world_drain(front_world_t *world, fake_t *fake)
{
	put(world, fake, true);
}

void front_world_remove(front_world_t *world, const fake_t *fake)
{
	registry_remove(world->registry, fake->id, 0, world->now_us);
	registry_run(world->registry, world->now_us);
}

void front_world_restart(front_world_t *world, fake_t *fake)
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

void front_world_chill(front_world_t *world, fake_t *fake, uint64_t cold_us, uint32_t share)
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
	/* What it was sent before it became cold does not count. */
	searcher->cold_us = 0;
	searcher->cold_next_us = 0;
	registry_put(world->registry, &entry, world->now_us);
}

void front_world_restore(front_world_t *world, const fake_t *fake)
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

void front_world_behave(front_world_t *world, fake_t *fake, behaviour_t behaviour)
{
	if (fake->behaviour == REPLACED && behaviour != REPLACED)
		front_world_restart(world, fake);
	fake->behaviour = behaviour;
	for (guint i = 0; i < world->out->len; i++) {
		pending_t *pending = g_ptr_array_index(world->out, i);

		if (pending->fake != fake)
			continue;
		if (behaviour == HANGS && !pending->crasher)
			pending->due_us = NEVER;
		if (behaviour != LOST && behaviour != CUTS)
			continue;
		pending->end = SUB_UNKNOWN;
		pending->broken = true;
		pending->due_us = world->now_us + WAY_US;
	}
}

void front_world_crash(front_world_t *world, fake_t *fake, uint64_t back_us)
{
	front_world_behave(world, fake, LOST);
	fake->back_us = world->now_us + back_us;
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
	fake_t *fake = data;

	g_free(fake->id);
	g_free(fake->service);
	g_free(fake);
}

static void add_fake(front_world_t *world, const char *service, bool near)
{
	fake_t *fake = g_new0(fake_t, 1);

	fake->id = g_strdup_printf("%s-%s", service, near ? "near" : "far");
	fake->service = g_strdup(service);
	fake->near = near;
	g_ptr_array_add(world->fakes, fake);
	front_world_register(world, fake);
}

static void played_free(void *data)
{
	played_t *played = data;

	g_free(played->id);
	g_string_free(played->outcome, TRUE);
	g_free(played);
}

static void on_poison_tell(void *ctx, const poison_update_t *news)
{
	front_world_t *world = ctx;

	if (world->stores)
		world->stores(world->ctx, world, news);
}

static void on_poison_forget(void *ctx, fingerprint_t fingerprint)
{
	const poison_update_t news = {.fingerprint = fingerprint};

	on_poison_tell(ctx, &news);
}

static void on_poison_claim(void *ctx, fingerprint_t fingerprint, uint32_t number)
{
	front_world_t *world = ctx;

	if (world->claims)
		world->claims(world->ctx, world, fingerprint, number);
	else
		poison_claim_done(forwarder_poison(world->forwarder), fingerprint, number,
				  CLAIM_GRANTED, world->now_us);
}

static void on_poison_drop_claims(void *ctx, fingerprint_t fingerprint, uint32_t number)
{
	front_world_t *world = ctx;

	if (world->drops_claims)
		world->drops_claims(world->ctx, world, fingerprint, number);
}

static void on_poison_changed(void *ctx, const poison_update_t *news, const char *what)
{
	front_world_t *world = ctx;

	if (g_str_equal(what, "cleared") || g_str_equal(what, "released"))
		g_hash_table_remove(world->deferred, &news->fingerprint);
}

front_world_t *front_world_new(uint32_t seed)
{
	static const registry_ops_t registry_ops = {.changed = on_changed};
	static const poison_ops_t poison_ops = {.publish = on_poison_tell,
						.remove = on_poison_forget,
						.changed = on_poison_changed,
						.claim = on_poison_claim,
						.drop_claims = on_poison_drop_claims};
	static const forwarder_ops_t ops = {
		.send = on_send, .cancel = on_cancel, .answer = on_answer, .poison = &poison_ops};
	static const char *const services[] = {"a", "b", "c", "s"};
	const retry_bound_t bound = {.ratio = RATIO, .window_us = WINDOW_US, .constant = CONSTANT};
	front_world_t *world = g_new0(front_world_t, 1);
	g_autoptr(GHashTable) regions = g_hash_table_new(g_str_hash, g_str_equal);
	const locality_t place = {.data_centre = "here", .regions = regions};

	g_hash_table_insert(regions, "here", "one");
	g_hash_table_insert(regions, "there", "two");
	world->now_us = 1000000000;
	world->rand = g_rand_new_with_seed(seed);
	world->wrong = g_string_new(NULL);
	world->fakes = g_ptr_array_new_with_free_func(fake_free);
	world->played = g_ptr_array_new_with_free_func(played_free);
	world->out = g_ptr_array_new_with_free_func(pending_free);
	world->crashers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, crasher_free);
	world->deferred = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	world->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	world->firsts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	world->extras = g_array_new(FALSE, FALSE, sizeof(uint64_t));
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
	for (guint i = 0; i < world->played->len; i++) {
		const played_t *played = g_ptr_array_index(world->played, i);

		if (!played->answered && !played->left)
			wrong(world, "%s has no answer", played->id);
	}
	if (forwarder_open_requests(world->forwarder))
		wrong(world, "%u requests are still open",
		      forwarder_open_requests(world->forwarder));
	if (world->out->len)
		wrong(world, "%u sub-requests are still out", world->out->len);
}

void front_world_free(front_world_t *world)
{
	forwarder_free(world->forwarder);
	registry_free(world->registry);
	g_ptr_array_unref(world->out);
	g_ptr_array_unref(world->played);
	g_ptr_array_unref(world->fakes);
	g_hash_table_unref(world->crashers);
	g_hash_table_unref(world->deferred);
	g_hash_table_unref(world->runs);
	g_hash_table_unref(world->firsts);
	g_array_unref(world->extras);
	g_array_unref(world->requests);
	g_rand_free(world->rand);
	g_string_free(world->wrong, TRUE);
	g_free(world);
}
