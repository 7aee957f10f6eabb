/**
 * @file forward_test.c
 * Runs the scripts of tests/forward against the forwarder, without sockets and on a simulated
 * clock.
 *
 * A script holds commands and, after "> ", the lines that they must print. Commands:
 *
 * - `route NAME HOST PREFIX single|gather idempotent|once KEY=NUMBER... [region=NAME]...
 *   SERVICE[*WEIGHT]...`
 * - `tenant NAME KEY [rank=N] [rate=N] [region=NAME]...`: the configuration has tenants, this one
 *   among them
 * - `routing VERSION`: apply the routes and tenants given so far
 * - `searcher ID SERVICE local|far [SLOTS [BORN_MS]]`: a searcher registers
 * - `drain ID, gone ID [BORN_MS]`: the store reports that a searcher drains, or is gone
 * - `bears SERVICE PER_S COLD_MS`: requests per second that a searcher of the service can take
 *   while it is cold, and how long it is cold
 * - `cold ID MS [SHARE]`: a searcher's entry says that it is cold for MS; this VM may send it SHARE
 *   sub-requests per window
 * - `evacuate DATA_CENTRE, reopen DATA_CENTRE`: an operator evacuates or reopens a data centre
 * - `unreadable ID`: a searcher's entry in the store can't be read any more
 * - `lost, back`: the store stops answering, or answers again
 * - `list ID...`: the store sends its complete list
 * - `restored`: the store was restored from an older copy of its data
 * - `copied ID SERVICE local|far`: an outdated entry, from that copy
 * - `admission`: the searchers are overloaded: requests start, wait and are refused as a whole;
 *   before `routing`
 * - `counts`: print what admission control has counted
 * - `room ID CONNECTIONS`: set this VM's share of the searcher's connections
 * - `constant N`: set this VM's part of the constant of the retry bound
 * - `idle ID CONNECTIONS`: this VM has so many idle connections to the searcher
 * - `told TYPE ID MS [BORN_MS]`: another VM shares an observation of a searcher: answered, stuck or
 *   hung after MS
 * - `tell`: from now on, print the observations that are shared with other VMs
 * - `request ID HOST TARGET [PATIENCE_MS]`: a caller sends a request and waits for PATIENCE_MS
 * - `with KEY`: further requests carry this API key; `with -`: none
 * - `access HOST TARGET`: print what the configuration in force says of a request
 * - `leave ID`: the caller of a request disconnects
 * - `stops MS`: this VM stops at MS
 * - `late`: so late before the stop that requests which may last longer are refused
 * - `at MS`: advance the clock to MS
 * - `answer SEARCHER ID [BODY]`: a sub-request ends; also: fail, refuse, replaced, unsent, cut
 * - `breaks SEARCHER ID`: the connection of a sub-request closes without an answer
 * - `refuses SEARCHER`: the searcher's port refuses connections
 * - `listens SEARCHER MS`: the searcher has accepted a connection that was opened at MS
 * - `other TARGET STRIKES SERVICE [RENEWALS [TRIALS [RAN]]]`: an update from another VM about a
 *   poison request for host h
 * - `release TARGET`: the store no longer lists the request
 * - `stored TARGET STRIKES`: the store has accepted a published update
 * - `claims`: from now on, print claims of trials; the script answers them
 * - `claimed TARGET N granted|taken|refused|unknown`: the store answers a claim
 * - `poison`: print how many poison records there are, and how many requests are blocked
 * - `many N SECONDS ID HOST TARGET`: N requests over SECONDS, each answered at once by the searcher
 *   it is sent to
 */
#include "core/forward.h"
#include "script_runner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SCRIPTS "tests/forward"
#define START_US 1000000000ull
#define BOUND_WINDOW_US 10000000

typedef struct fixture_t {
	GString *out;
	uint64_t now_us;
	registry_t *registry;
	forwarder_t *forwarder;
	routing_t *routing;   /* not sealed yet */
	GHashTable *forwards; /* id to forward_t */
	GPtrArray *subs;      /* subrequest_t in flight */
	GHashTable *regions;
	uint64_t changes; /* changes of entries in the store, so far */
	char *key;	  /* API key of requests; NULL: none */
	bool quiet;	  /* `many` prints nothing */
	bool prints_observations;
	bool claims; /* the script answers claims of trials; otherwise they are granted at once */
} fixture_t;

static void print_line(fixture_t *fixture, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void print_line(fixture_t *fixture, const char *format, ...)
{
	va_list args;

	if (fixture->quiet)
		return;
	va_start(args, format);
	g_string_append(fixture->out, "> ");
	g_string_append_vprintf(fixture->out, format, args);
	g_string_append_c(fixture->out, '\n');
	va_end(args);
}

static void on_send(void *ctx, subrequest_t *sub)
{
	const tenant_t *tenant = sub->forward->tenant;
	fixture_t *fixture = ctx;

	g_ptr_array_add(fixture->subs, sub);
	sub->searcher->connections++;
	print_line(fixture, "send %s part=%u %s to=%s left_ms=%" G_GUINT64_FORMAT "%s%s%s",
		   sub->forward->request.id, sub->part, sub_purpose_name(sub->purpose),
		   sub->searcher->id, subrequest_time_left_us(sub, fixture->now_us) / 1000,
		   tenant ? " tenant=" : "", tenant ? tenant->name : "",
		   sub->resent ? " resent" : "");
}

static void on_cancel(void *ctx, subrequest_t *sub)
{
	fixture_t *fixture = ctx;

	sub->searcher->connections--;
	g_ptr_array_remove(fixture->subs, sub);
	print_line(fixture, "cancel to=%s", sub->searcher->id);
}

static void append_refusal(GString *text, const forward_refusal_t *refusal)
{
	if (!refusal->by_admission)
		return;
	g_string_append_printf(text, " reason=admission shard=%s wait_ms=%" G_GUINT64_FORMAT,
			       refusal->shard ? refusal->shard : "none", refusal->waited_us / 1000);
	if (refusal->tenant)
		g_string_append_printf(text, " tenant=%s", refusal->tenant);
}

static void on_answer(void *ctx, forward_t *forward, const forward_answer_t *answer)
{
	fixture_t *fixture = ctx;
	g_autoptr(GString) text = g_string_new(NULL);

	if (answer->stamps)
		g_string_append_printf(text, " stamps=\"%s\" missing=%u records=%s",
				       answer->stamps->str, answer->missing, answer->records->str);
	if (answer->reply)
		g_string_append_printf(text, " status=%d", answer->reply->status);
	if (answer->retry_after_us)
		g_string_append_printf(text, " back_in_ms=%" G_GUINT64_FORMAT,
				       answer->retry_after_us / 1000);
	append_refusal(text, &answer->refusal);
	print_line(fixture, "reply %s %s%s", forward->request.id,
		   forward_outcome_name(answer->outcome), text->str);
	g_hash_table_remove(fixture->forwards, forward->request.id);
}

static void on_observed(void *ctx, const observation_t *observation)
{
	fixture_t *fixture = ctx;

	if (fixture->prints_observations)
		print_line(fixture, "tell %s %s after_ms=%" G_GUINT64_FORMAT,
			   observation_type_name(observation->type), observation->searcher,
			   observation->after_us / 1000);
}

static void on_poison_publish(void *ctx, const poison_update_t *update)
{
	g_autofree char *trials =
		update->trials ? g_strdup_printf(" trials=%u ran=%u", update->trials, update->ran)
			       : g_strdup("");

	print_line(ctx, "store strikes=%u renewals=%u service=%s%s", update->strikes,
		   update->renewals, update->service, trials);
}

static void on_poison_remove(void *ctx, fingerprint_t fingerprint)
{
	(void)fingerprint;
	print_line(ctx, "store forgets");
}

static void on_poison_claim(void *ctx, fingerprint_t fingerprint, uint32_t number)
{
	fixture_t *fixture = ctx;

	if (fixture->claims)
		print_line(fixture, "claims trial=%u", number);
	else
		poison_claim_done(forwarder_poison(fixture->forwarder), fingerprint, number,
				  CLAIM_GRANTED, fixture->now_us);
}

static void on_poison_drop_claims(void *ctx, fingerprint_t fingerprint, uint32_t number)
{
	(void)fingerprint;
	if (((fixture_t *)ctx)->claims)
		print_line(ctx, "drops claims to=%u", number);
}

static void on_poison_trial(void *ctx, const poison_trial_t *trial)
{
	if (((fixture_t *)ctx)->claims)
		print_line(ctx, "trial %u %s why=%s", trial->number, trial->outcome, trial->why);
}

static void on_poison_changed(void *ctx, const poison_update_t *update, const char *what)
{
	print_line(ctx, "poison %s strikes=%u", what, update->strikes);
}

static void on_changed(void *ctx, searcher_t *searcher)
{
	fixture_t *fixture = ctx;

	print_line(fixture, "searcher %s %s%s", searcher->id, searcher_state_name(searcher->state),
		   searcher->evacuated ? " evacuated" : "");
	if (fixture->forwarder && searcher->state == SEARCHER_ENDED)
		forwarder_searcher_ended(fixture->forwarder, searcher, fixture->now_us);
	if (fixture->forwarder)
		forwarder_dispatch_waiting(fixture->forwarder, searcher->service, fixture->now_us);
}

static void *fixture_new(GString *out)
{
	static const registry_ops_t registry_ops = {.changed = on_changed};
	static const poison_ops_t poison_ops = {.publish = on_poison_publish,
						.remove = on_poison_remove,
						.changed = on_poison_changed,
						.claim = on_poison_claim,
						.drop_claims = on_poison_drop_claims,
						.trial = on_poison_trial};
	static const forwarder_ops_t ops = {.send = on_send,
					    .cancel = on_cancel,
					    .answer = on_answer,
					    .observed = on_observed,
					    .poison = &poison_ops};
	fixture_t *fixture = g_new0(fixture_t, 1);
	const retry_bound_t bound = {.ratio = 0.2, .window_us = BOUND_WINDOW_US, .constant = 2};
	locality_t place = {.data_centre = "here"};

	fixture->out = out;
	fixture->now_us = 1000000000;
	fixture->regions = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_insert(fixture->regions, "here", "one");
	g_hash_table_insert(fixture->regions, "there", "two");
	place.regions = fixture->regions;
	fixture->registry = registry_new(&place, &bound, &registry_ops, fixture);
	fixture->forwarder = forwarder_new(&ops, fixture, fixture->registry, 1);
	fixture->forwards = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fixture->subs = g_ptr_array_new();
	return fixture;
}

static void advance_to(fixture_t *fixture, uint64_t until_us)
{
	uint64_t next_us;

	while ((next_us = MIN(forwarder_next_us(fixture->forwarder),
			      registry_run(fixture->registry, fixture->now_us))) <= until_us) {
		fixture->now_us = MAX(next_us, fixture->now_us);
		forwarder_run(fixture->forwarder, fixture->now_us);
		registry_run(fixture->registry, fixture->now_us);
	}
	fixture->now_us = until_us;
}

static void fixture_free(void *ctx)
{
	fixture_t *fixture = ctx;
	g_autoptr(GList) open = g_hash_table_get_values(fixture->forwards);

	/* Requests that the script left open are abandoned, and print nothing. */
	fixture->quiet = true;
	for (GList *item = open; item; item = item->next)
		if (item->data)
			forwarder_abandon(fixture->forwarder, item->data, fixture->now_us);
	advance_to(fixture, fixture->now_us + 10 * BOUND_WINDOW_US);
	g_ptr_array_unref(fixture->subs);
	g_hash_table_unref(fixture->forwards);
	forwarder_free(fixture->forwarder);
	registry_free(fixture->registry);
	routing_unref(fixture->routing);
	g_hash_table_unref(fixture->regions);
	g_free(fixture->key);
	g_free(fixture);
}

static void route_option(route_t *route, const char *word)
{
	const char *equals = strchr(word, '=');
	double value = g_ascii_strtod(equals + 1, NULL);

	if (g_str_has_prefix(word, "region="))
		route_add_region(route, equals + 1);
	else if (g_str_has_prefix(word, "public="))
		route->is_public = value > 0;
	else if (g_str_has_prefix(word, "timeout_ms="))
		route->timeout_us = (uint64_t)value * 1000;
	else if (g_str_has_prefix(word, "target_ms="))
		route->target_us = (uint64_t)value * 1000;
	else if (g_str_has_prefix(word, "attempts="))
		route->max_attempts = (uint32_t)value;
	else if (g_str_has_prefix(word, "rank="))
		route->rank = (uint32_t)value;
	else if (g_str_has_prefix(word, "top="))
		route->top = (uint32_t)value;
	else if (g_str_has_prefix(word, "least="))
		route->min_coverage = value;
}

static void do_route(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	route_t *route;

	if (!fixture->routing)
		fixture->routing = routing_new(0);
	route = routing_add(fixture->routing);
	route->name = g_strdup(words[1]);
	route->host = g_strdup(words[2]);
	route->prefix = g_strdup(words[3]);
	route->gathers = g_str_equal(words[4], "gather");
	route->idempotent = g_str_equal(words[5], "idempotent");
	route->max_attempts = 1;
	for (char **word = words + 6; *word; word++) {
		char *star = strchr(*word, '*');

		if (strchr(*word, '=')) {
			route_option(route, *word);
			continue;
		}
		if (star)
			*star = '\0';
		route_add_target(route, *word, star ? g_ascii_strtod(star + 1, NULL) : 1);
	}
}

static void do_tenant(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	tenant_t *tenant;

	if (!fixture->routing)
		fixture->routing = routing_new(0);
	if (!fixture->routing->tenants)
		fixture->routing->tenants = tenants_new();
	tenant = tenants_add(fixture->routing->tenants, words[1]);
	tenants_add_key(fixture->routing->tenants, words[2], tenant);
	for (char **word = words + 3; *word; word++) {
		if (g_str_has_prefix(*word, "region="))
			region_list_add(&tenant->regions, *word + strlen("region="));
		else if (g_str_has_prefix(*word, "rank=")) {
			tenant->has_rank = true;
			tenant->rank = (uint32_t)atoi(*word + strlen("rank="));
		} else if (g_str_has_prefix(*word, "rate=")) {
			tenant->rate_per_s = g_ascii_strtod(*word + strlen("rate="), NULL);
		}
	}
}

static void do_with(void *ctx, char **words)
{
	fixture_t *fixture = ctx;

	g_free(fixture->key);
	fixture->key = g_str_equal(words[1], "-") ? NULL : g_strdup(words[1]);
}

static void do_routing(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	fixture->routing->version = strtoull(words[1], NULL, 10);
	routing_seal(fixture->routing);
	forwarder_set_routing(fixture->forwarder, fixture->routing);
	fixture->routing = NULL;
}

static void put_entry(fixture_t *fixture, const char *id, const char *service, bool local,
		      const char *slots, bool draining, uint64_t born_ms, uint64_t changes)
{
	const searcher_entry_t entry = {.id = (char *)id,
					.born_ms = born_ms,
					.service = (char *)service,
					.address = "127.0.0.1",
					.port = 1,
					.data_centre = local ? "here" : "there",
					.slots = slots ? (uint32_t)atoi(slots) : 2,
					.draining = draining,
					.changes = changes};
	searcher_t *searcher;

	registry_put(fixture->registry, &entry, fixture->now_us);
	searcher = registry_find(fixture->registry, id);
	if (searcher)
		searcher->connections_max = MAX(searcher->connections_max, 8);
}

static void do_searcher(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	if (!registry_is_ready(fixture->registry)) {
		registry_list_begin(fixture->registry);
		registry_list_end(fixture->registry, fixture->now_us);
	}
	put_entry(fixture, words[1], words[2], g_str_equal(words[3], "local"), words[4], false,
		  words[4] && words[5] ? strtoull(words[5], NULL, 10) : 0, ++fixture->changes);
}

static void do_copied(void *ctx, char **words)
{
	put_entry(ctx, words[1], words[2], g_str_equal(words[3], "local"), NULL, false, 0, 0);
}

static void do_restored(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	(void)words;
	registry_store_restored(fixture->registry, fixture->now_us);
}

static void do_drain(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	searcher_t *searcher = registry_find(fixture->registry, words[1]);

	put_entry(fixture, words[1], searcher->service, true, NULL, true, searcher->born_ms,
		  ++fixture->changes);
}

static void do_gone(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	registry_remove(fixture->registry, words[1], words[2] ? strtoull(words[2], NULL, 10) : 0,
			fixture->now_us);
	registry_run(fixture->registry, fixture->now_us);
}

static void do_bears(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	const service_limits_t terms = {.cold_per_s = g_ascii_strtod(words[2], NULL),
					.cold_us = strtoull(words[3], NULL, 10) * 1000};

	routing_set_service_limits(fixture->routing, words[1], &terms);
}

static void do_cold(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	searcher_t *searcher = registry_find(fixture->registry, words[1]);
	const searcher_entry_t entry = {.id = searcher->id,
					.born_ms = searcher->born_ms,
					.service = searcher->service,
					.address = searcher->address,
					.data_centre = searcher->data_centre,
					.slots = searcher->slots,
					.cold_us = strtoull(words[2], NULL, 10) * 1000,
					.changes = searcher->changes + 1};

	if (words[3])
		searcher->cold_share = (uint32_t)atoi(words[3]);
	registry_put(fixture->registry, &entry, fixture->now_us);
}

static void do_evacuate(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	registry_set_evacuated(fixture->registry, words[1], g_str_equal(words[0], "evacuate"),
			       fixture->now_us);
}

static void do_unreadable(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	registry_put_unreadable(fixture->registry, words[1]);
}

static void do_list(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	registry_list_begin(fixture->registry);
	for (char **id = words + 1; *id; id++) {
		searcher_t *searcher = registry_find(fixture->registry, *id);

		if (searcher)
			put_entry(fixture, *id, searcher->service, true, NULL, false,
				  searcher->born_ms, searcher->changes);
	}
	registry_list_end(fixture->registry, fixture->now_us);
}

static void do_store_lost(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	(void)words;
	registry_store_lost(fixture->registry, fixture->now_us);
}

static void do_store_recovered(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	(void)words;
	registry_store_recovered(fixture->registry, fixture->now_us);
}

static void do_admission(void *ctx, char **words)
{
	forwarder_t *forwarder = ((fixture_t *)ctx)->forwarder;

	(void)words;
	forwarder_enable_admission(forwarder);
	while (!forwarder_overload(forwarder)->active)
		overload_note_answer(forwarder_overload(forwarder), true, 0);
}

static void do_counts(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	const forwarder_counters_t *counters = forwarder_counters(fixture->forwarder);
	g_autoptr(GString) refused = g_string_new(NULL);

	(void)words;
	for (uint32_t rank = 0; rank < ADMISSION_RANKS_COUNTED; rank++)
		if (counters->admission_refused[rank])
			g_string_append_printf(refused, " refused_%u=%" G_GUINT64_FORMAT, rank,
					       counters->admission_refused[rank]);
	print_line(fixture,
		   "waiting=%u started=%" G_GUINT64_FORMAT " expired=%" G_GUINT64_FORMAT "%s",
		   admission_waiting(forwarder_admission(fixture->forwarder)),
		   counters->admission_started, counters->admission_expired, refused->str);
}

static void do_room(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	searcher_t *searcher = registry_find(fixture->registry, words[1]);

	searcher->connections_max = (uint32_t)atoi(words[2]);
	forwarder_dispatch_waiting(fixture->forwarder, searcher->service, fixture->now_us);
}

static void do_constant(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	registry_set_bound(fixture->registry, 0.2, g_ascii_strtod(words[1], NULL));
}

static void do_idle(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	registry_find(fixture->registry, words[1])->idle = (uint32_t)atoi(words[2]);
}

static void do_told(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	observation_t observation = {.searcher = words[2],
				     .after_us = strtoull(words[3], NULL, 10) * 1000,
				     .born_ms = words[4] ? strtoull(words[4], NULL, 10) : 0};

	while (!g_str_equal(observation_type_name(observation.type), words[1]))
		observation.type++;
	forwarder_take_observation(fixture->forwarder, &observation, fixture->now_us);
}

static void do_tell(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	(void)words;
	fixture->prints_observations = true;
}

static fingerprint_t fingerprint_of_target(const char *host, const char *target)
{
	g_autoptr(GString) head = g_string_new(NULL);
	g_autoptr(GString) body = g_string_new(NULL);

	g_string_printf(head, "GET %s HTTP/1.1\r\nHost: %s\r\n", target, host);
	return fingerprint_of(head, body, NULL);
}

static void submit(fixture_t *fixture, const char *id, const char *host, const char *target,
		   const char *patience_ms)
{
	/* The request borrows the key, which lives as long as the table's entry. */
	char *key = g_strdup(id);
	const forward_request_t request = {
		.id = key,
		.host = host,
		.target = target,
		.key = fixture->key,
		.fingerprint = fingerprint_of_target(host, target),
		.received_us = fixture->now_us,
		.patience_us = patience_ms ? strtoull(patience_ms, NULL, 10) * 1000 : 0};
	forward_t *forward;

	g_hash_table_insert(fixture->forwards, key, NULL);
	forward = forwarder_submit(fixture->forwarder, &request, NULL, fixture->now_us);
	if (forward)
		g_hash_table_insert(fixture->forwards, g_strdup(id), forward);
}

static void do_access(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	const forward_request_t request = {
		.host = words[1], .target = words[2], .key = fixture->key};
	forward_access_t access;

	if (!forwarder_look_up(fixture->forwarder, &request, fixture->now_us, &access))
		print_line(fixture, "access refused%s",
			   forwarder_lacks_key(fixture->forwarder, &request) ? " lacks-key" : "");
	else
		print_line(fixture, "access route=%s%s%s%s", access.route->name,
			   access.tenant ? " tenant=" : "",
			   access.tenant ? access.tenant->name : "",
			   tenant_has_quota(access.tenant) ? " quota" : "");
}

static void do_request(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	submit(fixture, words[1], words[2], words[3], words[4]);
}

static void do_leave(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	forwarder_abandon(fixture->forwarder, g_hash_table_lookup(fixture->forwards, words[1]),
			  fixture->now_us);
	g_hash_table_remove(fixture->forwards, words[1]);
}

static void do_stops(void *ctx, char **words)
{
	fixture_t *fixture = ctx;

	forwarder_stop_at(fixture->forwarder, START_US + strtoull(words[1], NULL, 10) * 1000,
			  fixture->now_us);
}

static void do_late(void *ctx, char **words)
{
	(void)words;
	forwarder_refuse_long(((fixture_t *)ctx)->forwarder);
}

static void do_at(void *ctx, char **words)
{
	fixture_t *fixture = ctx;

	advance_to(fixture, START_US + strtoull(words[1], NULL, 10) * 1000);
}

static subrequest_t *find_sub(fixture_t *fixture, const char *searcher, const char *id)
{
	for (guint i = 0; i < fixture->subs->len; i++) {
		subrequest_t *sub = g_ptr_array_index(fixture->subs, i);
		bool same = sub->forward ? g_str_equal(sub->forward->request.id, id)
					 : g_str_equal(id, "-");

		if (same && g_str_equal(sub->searcher->id, searcher))
			return sub;
	}
	return NULL;
}

static void end_sub(fixture_t *fixture, subrequest_t *sub, sub_outcome_t end, const char *body)
{
	sub_reply_t *reply = sub_reply_new(end);

	g_ptr_array_remove(fixture->subs, sub);
	sub->searcher->connections--;
	reply->status = end == SUB_ANSWERED ? 200 : 500;
	reply->stamp = g_strdup_printf("by-%s", sub->searcher->id);
	reply->body = g_string_new(body);
	forwarder_subrequest_ended(fixture->forwarder, sub, reply, fixture->now_us);
}

static void do_end(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	static const char *const names[] = {"answer",	"fail",	  "refuse",
					    "replaced", "unsent", "cut"};
	static const sub_outcome_t ends[] = {SUB_ANSWERED, SUB_FAILED,	 SUB_NOT_RUN,
					     SUB_REPLACED, SUB_NOT_SENT, SUB_UNKNOWN};
	subrequest_t *sub = find_sub(fixture, words[1], words[2]);

	if (!sub) {
		print_line(fixture, "nothing is out to %s for %s", words[1], words[2]);
		return;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		if (g_str_equal(words[0], names[i]))
			end_sub(fixture, sub, ends[i], words[3] ? words[3] : "");
}

static void do_breaks(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	subrequest_t *sub = find_sub(fixture, words[1], words[2]);
	sub_reply_t *reply;

	if (!sub) {
		print_line(fixture, "nothing is out to %s for %s", words[1], words[2]);
		return;
	}
	reply = sub_reply_new(SUB_UNKNOWN);
	reply->broken = true;
	g_ptr_array_remove(fixture->subs, sub);
	sub->searcher->connections--;
	forwarder_subrequest_ended(fixture->forwarder, sub, reply, fixture->now_us);
}

static void do_refuses(void *ctx, char **words)
{
	fixture_t *fixture = ctx;

	forwarder_searcher_ended(fixture->forwarder, registry_find(fixture->registry, words[1]),
				 fixture->now_us);
}

static void do_listens(void *ctx, char **words)
{
	fixture_t *fixture = ctx;

	forwarder_searcher_listens(fixture->forwarder, registry_find(fixture->registry, words[1]),
				   1000000000 + strtoull(words[2], NULL, 10) * 1000);
}

static poison_update_t update_of_words(char **words)
{
	guint count = g_strv_length(words);

	return (poison_update_t){
		.fingerprint = fingerprint_of_target("h", words[1]),
		.strikes = words[2] ? (uint32_t)atoi(words[2]) : 0,
		.service = words[2] ? words[3] : NULL,
		.renewals = words[2] && words[3] && words[4] ? (uint32_t)atoi(words[4]) : 0,
		.trials = count > 5 ? (uint32_t)atoi(words[5]) : 0,
		.ran = count > 6 ? (uint32_t)atoi(words[6]) : 0};
}

static void do_other(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	const poison_update_t update = update_of_words(words);

	poison_apply_update(forwarder_poison(fixture->forwarder), &update, fixture->now_us);
}

static void do_release(void *ctx, char **words)
{
	fixture_t *fixture = ctx;

	poison_apply_removal(forwarder_poison(fixture->forwarder),
			     fingerprint_of_target("h", words[1]));
}

static void do_stored(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	const poison_update_t update = update_of_words(words);

	poison_publish_done(forwarder_poison(fixture->forwarder), &update, true, fixture->now_us);
}

static void do_claims(void *ctx, char **words)
{
	(void)words;
	((fixture_t *)ctx)->claims = true;
}

static void do_claimed(void *ctx, char **words)
{
	static const char *const replies[] = {[CLAIM_GRANTED] = "granted",
					      [CLAIM_TAKEN] = "taken",
					      [CLAIM_REFUSED] = "refused",
					      [CLAIM_UNKNOWN] = "unknown"};
	fixture_t *fixture = ctx;
	uint32_t reply = 0;

	while (!g_str_equal(replies[reply], words[3]))
		reply++;
	poison_claim_done(forwarder_poison(fixture->forwarder),
			  fingerprint_of_target("h", words[1]), (uint32_t)atoi(words[2]),
			  (claim_reply_t)reply, fixture->now_us);
}

static void do_poison(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	const poison_t *poison = forwarder_poison(fixture->forwarder);

	(void)words;
	print_line(fixture, "remembered=%u refused=%u", poison_records(poison),
		   poison_blocked(poison, fixture->now_us));
}

static void do_many(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	guint count = (guint)atoi(words[1]);
	uint64_t step_us = (uint64_t)(g_ascii_strtod(words[2], NULL) * 1e6 / count);

	fixture->quiet = true;
	for (guint i = 0; i < count; i++) {
		submit(fixture, words[3], words[4], words[5], NULL);
		while (fixture->subs->len)
			end_sub(fixture, g_ptr_array_index(fixture->subs, 0), SUB_ANSWERED, "");
		advance_to(fixture, fixture->now_us + step_us);
	}
	fixture->quiet = false;
}

static const script_command_t commands[] = {
	{"route", do_route},
	{"routing", do_routing},
	{"searcher", do_searcher},
	{"drain", do_drain},
	{"gone", do_gone},
	{"bears", do_bears},
	{"cold", do_cold},
	{"evacuate", do_evacuate},
	{"reopen", do_evacuate},
	{"list", do_list},
	{"unreadable", do_unreadable},
	{"copied", do_copied},
	{"restored", do_restored},
	{"lost", do_store_lost},
	{"back", do_store_recovered},
	{"admission", do_admission},
	{"counts", do_counts},
	{"room", do_room},
	{"constant", do_constant},
	{"idle", do_idle},
	{"told", do_told},
	{"tell", do_tell},
	{"tenant", do_tenant},
	{"with", do_with},
	{"request", do_request},
	{"access", do_access},
	{"leave", do_leave},
	{"stops", do_stops},
	{"late", do_late},
	{"at", do_at},
	{"answer", do_end},
	{"fail", do_end},
	{"refuse", do_end},
	{"replaced", do_end},
	{"unsent", do_end},
	{"cut", do_end},
	{"breaks", do_breaks},
	{"refuses", do_refuses},
	{"listens", do_listens},
	{"other", do_other},
	{"release", do_release},
	{"stored", do_stored},
	{"claims", do_claims},
	{"claimed", do_claimed},
	{"poison", do_poison},
	{"many", do_many},
};

int main(void)
{
	const script_runner_ops_t ops = {.folder = SCRIPTS,
					 .start = fixture_new,
					 .end = fixture_free,
					 .commands = commands,
					 .command_count = G_N_ELEMENTS(commands)};

	return script_runner_run("forward", &ops);
}
