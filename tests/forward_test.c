/**
 * @file forward_test.c
 * Plays the scripts of tests/forward over the forwarder: no sockets, and time as the script says.
 *
 * A script holds commands and, after "> ", the lines that they must print. Commands:
 *
 * - `route NAME HOST PREFIX single|gather idempotent|once KEY=NUMBER... [region=NAME]...
 *   SERVICE[*WEIGHT]...`
 * - `routing VERSION`: put the routes so far in force
 * - `searcher ID SERVICE local|far [SLOTS [BORN_MS]]`: it is registered
 * - `drain ID, gone ID [BORN_MS]`: the store says so
 * - `bears SERVICE PER_S COLD_MS`: what its searchers are sent while cold, and for how long
 * - `cold ID MS [SHARE]`: by its entry; this VM may send it SHARE in a window
 * - `apply_evacuation DATA_CENTRE, reopen DATA_CENTRE`: its operator says so
 * - `unreadable ID`: its entry in the store can't be read any more
 * - `lost, back`: the store stops answering, or answers again
 * - `list ID...`: the store's whole list
 * - `restored`: the store has come back from a copy
 * - `copied ID SERVICE local|far`: an entry as it was there some time ago
 * - `room ID CONNECTIONS`: this VM's share of the searcher's connections
 * - `constant N`: this VM's part of the constant of the retry bound
 * - `idle ID CONNECTIONS`: this VM has so many connections to it that carry nothing
 * - `told TYPE ID MS [BORN_MS]`: another VM saw it answered, stuck or hung after so long
 * - `tell`: from now on, print what other VMs would be told
 * - `request ID HOST TARGET [PATIENCE_MS]`: a caller's attempt
 * - `leave ID`: its caller goes away
 * - `at MS`: time passes up to then
 * - `answer SEARCHER ID [BODY]`: also: fail, refuse, replaced, unsent, cut
 * - `breaks SEARCHER ID`: its connection ends without an answer
 * - `refuses SEARCHER`: nobody listens at its port any more
 * - `listens SEARCHER MS`: it has accepted a connection begun at that time
 * - `other TARGET STRIKES SERVICE [RENEWALS [TRIALS [RAN]]]`: another VM tells of a request on host
 * h
 * - `release TARGET`: the store knows no more of it
 * - `stored TARGET STRIKES`: the store has taken what was told
 * - `claims`: from now on, trials are claimed, and printed
 * - `claimed TARGET N granted|taken|refused|unknown`: the store's answer to a claim
 * - `poison`: print how many requests are remembered and refused
 * - `many N SECONDS ID HOST TARGET`: N requests, each answered at once by whom it is sent to
 */
#include "core/forward.h"
#include "playbook.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SCRIPTS "tests/forward"
#define BOUND_WINDOW_US 10000000

typedef struct play_t {
	GString *out;
	uint64_t now_us;
	registry_t *registry;
	forwarder_t *forwarder;
	routing_t *routing;   /* being put together */
	GHashTable *forwards; /* id to forward_t */
	GPtrArray *subs;      /* sub_t that are out */
	GHashTable *regions;
	uint64_t changes; /* of entries in the store, so far */
	bool quiet;	  /* `many` prints nothing */
	bool tells;
	bool claims; /* trials are claimed, and the script answers */
} play_t;

static void say(play_t *play, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void say(play_t *play, const char *format, ...)
{
	va_list args;

	if (play->quiet)
		return;
	va_start(args, format);
	g_string_append(play->out, "> ");
	g_string_append_vprintf(play->out, format, args);
	g_string_append_c(play->out, '\n');
	va_end(args);
}

static void on_send(void *ctx, sub_t *sub)
{

	play_t *play = ctx;

	g_ptr_array_add(play->subs, sub);
	sub->searcher->connections++;
	say(play, "send %s part=%u %s to=%s left_ms=%" G_GUINT64_FORMAT, sub->forward->request.id,
	    sub->part, sub_purpose_name(sub->purpose), sub->searcher->id,
	    sub_left_us(sub, play->now_us) / 1000);
}

static void on_cancel(void *ctx, sub_t *sub)
{
	play_t *play = ctx;

	sub->searcher->connections--;
	g_ptr_array_remove(play->subs, sub);
	say(play, "cancel to=%s", sub->searcher->id);
}

static void on_answer(void *ctx, forward_t *forward, const forward_answer_t *answer)
{
	play_t *play = ctx;
	g_autoptr(GString) text = g_string_new(NULL);

	if (answer->stamps)
		g_string_append_printf(text, " stamps=\"%s\" missing=%u records=%s",
				       answer->stamps->str, answer->missing, answer->records->str);
	if (answer->reply)
		g_string_append_printf(text, " status=%d", answer->reply->status);
	if (answer->retry_after_us)
		g_string_append_printf(text, " back_in_ms=%" G_GUINT64_FORMAT,
				       answer->retry_after_us / 1000);
	say(play, "reply %s %s%s", forward->request.id, forward_end_name(answer->end), text->str);
	g_hash_table_remove(play->forwards, forward->request.id);
}

static void on_sighted(void *ctx, const sighting_t *sighting)
{
	play_t *play = ctx;

	if (play->tells)
		say(play, "tell %s %s after_ms=%" G_GUINT64_FORMAT,
		    sighting_type_name(sighting->type), sighting->searcher,
		    sighting->after_us / 1000);
}

static void on_poison_tell(void *ctx, const poison_news_t *news)
{
	g_autofree char *trials =
		news->trials ? g_strdup_printf(" trials=%u ran=%u", news->trials, news->ran)
			     : g_strdup("");

	say(ctx, "store strikes=%u renewals=%u service=%s%s", news->strikes, news->renewals,
	    news->service, trials);
}

static void on_poison_forget(void *ctx, fingerprint_t fingerprint)
{
	(void)fingerprint;
	say(ctx, "store forgets");
}

static void on_poison_claim(void *ctx, fingerprint_t fingerprint, uint32_t number)
{
	play_t *play = ctx;

	if (play->claims)
		say(play, "claims trial=%u", number);
	else
		poison_claimed(forwarder_poison(play->forwarder), fingerprint, number,
			       CLAIM_GRANTED, play->now_us);
}

static void on_poison_drop_claims(void *ctx, fingerprint_t fingerprint, uint32_t number)
{
	(void)fingerprint;
	if (((play_t *)ctx)->claims)
		say(ctx, "drops claims to=%u", number);
}

static void on_poison_trial(void *ctx, const poison_trial_t *trial)
{
	if (((play_t *)ctx)->claims)
		say(ctx, "trial %u %s why=%s", trial->number, trial->outcome, trial->why);
}

static void on_poison_changed(void *ctx, const poison_news_t *news, const char *what)
{
	say(ctx, "poison %s strikes=%u", what, news->strikes);
}

static void on_changed(void *ctx, searcher_t *searcher)
{
	play_t *play = ctx;

	say(play, "searcher %s %s%s", searcher->id, searcher_state_name(searcher->state),
	    searcher->evacuated ? " evacuated" : "");
	if (play->forwarder && searcher->state == SEARCHER_ENDED)
		forwarder_searcher_ended(play->forwarder, searcher, play->now_us);
	if (play->forwarder)
		forwarder_room(play->forwarder, searcher->service, play->now_us);
}

static void *play_new(GString *out)
{
	static const registry_ops_t registry_ops = {.changed = on_changed};
	static const poison_ops_t poison_ops = {.tell = on_poison_tell,
						.forget = on_poison_forget,
						.changed = on_poison_changed,
						.claim = on_poison_claim,
						.drop_claims = on_poison_drop_claims,
						.trial = on_poison_trial};
	static const forwarder_ops_t ops = {.send = on_send,
					    .cancel = on_cancel,
					    .answer = on_answer,
					    .sighted = on_sighted,
					    .poison = &poison_ops};
	play_t *play = g_new0(play_t, 1);
	const retry_bound_t bound = {.ratio = 0.2, .window_us = BOUND_WINDOW_US, .constant = 2};
	locality_t place = {.data_centre = "here"};

	play->out = out;
	play->now_us = 1000000000;
	play->regions = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_insert(play->regions, "here", "one");
	g_hash_table_insert(play->regions, "there", "two");
	place.regions = play->regions;
	play->registry = registry_new(&place, &bound, &registry_ops, play);
	play->forwarder = forwarder_new(&ops, play, play->registry, 1);
	play->forwards = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	play->subs = g_ptr_array_new();
	return play;
}

static void pass_to(play_t *play, uint64_t until_us)
{
	uint64_t next_us;

	while ((next_us = MIN(forwarder_next_us(play->forwarder),
			      registry_run(play->registry, play->now_us))) <= until_us) {
		play->now_us = MAX(next_us, play->now_us);
		forwarder_run(play->forwarder, play->now_us);
		registry_run(play->registry, play->now_us);
	}
	play->now_us = until_us;
}

static void play_free(void *ctx)
{
	play_t *play = ctx;
	g_autoptr(GList) open = g_hash_table_get_values(play->forwards);

	/* What the script left open ends without a word. */
	play->quiet = true;
	for (GList *item = open; item; item = item->next)
		if (item->data)
			forwarder_abandon(play->forwarder, item->data, play->now_us);
	pass_to(play, play->now_us + 10 * BOUND_WINDOW_US);
	g_ptr_array_unref(play->subs);
	g_hash_table_unref(play->forwards);
	forwarder_free(play->forwarder);
	registry_free(play->registry);
	routing_unref(play->routing);
	g_hash_table_unref(play->regions);
	g_free(play);
}

static void route_option(route_t *route, const char *word)
{
	const char *equals = strchr(word, '=');
	double value = g_ascii_strtod(equals + 1, NULL);

	if (g_str_has_prefix(word, "region="))
		route_add_region(route, equals + 1);
	else if (g_str_has_prefix(word, "timeout_ms="))
		route->timeout_us = (uint64_t)value * 1000;
	else if (g_str_has_prefix(word, "target_ms="))
		route->target_us = (uint64_t)value * 1000;
	else if (g_str_has_prefix(word, "attempts="))
		route->attempts_most = (uint32_t)value;
	else if (g_str_has_prefix(word, "rank="))
		route->rank = (uint32_t)value;
	else if (g_str_has_prefix(word, "top="))
		route->top = (uint32_t)value;
	else if (g_str_has_prefix(word, "least="))
		route->coverage_least = value;
}

static void do_route(void *ctx, char **words)
{
	play_t *play = ctx;
	route_t *route;

	if (!play->routing)
		play->routing = routing_new(0);
	route = routing_add(play->routing);
	route->name = g_strdup(words[1]);
	route->host = g_strdup(words[2]);
	route->prefix = g_strdup(words[3]);
	route->gathers = g_str_equal(words[4], "gather");
	route->idempotent = g_str_equal(words[5], "idempotent");
	route->attempts_most = 1;
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

static void do_routing(void *ctx, char **words)
{
	play_t *play = ctx;
	play->routing->version = strtoull(words[1], NULL, 10);
	routing_seal(play->routing);
	forwarder_set_routing(play->forwarder, play->routing);
	play->routing = NULL;
}

static void put(play_t *play, const char *id, const char *service, bool local, const char *slots,
		bool draining, uint64_t born_ms, uint64_t changes)
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

	registry_put(play->registry, &entry, play->now_us);
	searcher = registry_find(play->registry, id);
	if (searcher)
		searcher->connections_max = MAX(searcher->connections_max, 8);
}

static void do_searcher(void *ctx, char **words)
{
	play_t *play = ctx;
	if (!registry_is_ready(play->registry)) {
		registry_list_begin(play->registry);
		registry_list_end(play->registry, play->now_us);
	}
	put(play, words[1], words[2], g_str_equal(words[3], "local"), words[4], false,
	    words[4] && words[5] ? strtoull(words[5], NULL, 10) : 0, ++play->changes);
}

static void do_copied(void *ctx, char **words)
{
	put(ctx, words[1], words[2], g_str_equal(words[3], "local"), NULL, false, 0, 0);
}

static void do_restored(void *ctx, char **words)
{
	play_t *play = ctx;
	(void)words;
	registry_store_restored(play->registry, play->now_us);
}

static void do_drain(void *ctx, char **words)
{
	play_t *play = ctx;
	searcher_t *searcher = registry_find(play->registry, words[1]);

	put(play, words[1], searcher->service, true, NULL, true, searcher->born_ms,
	    ++play->changes);
}

static void do_gone(void *ctx, char **words)
{
	play_t *play = ctx;
	registry_remove(play->registry, words[1], words[2] ? strtoull(words[2], NULL, 10) : 0,
			play->now_us);
	registry_run(play->registry, play->now_us);
}

static void do_bears(void *ctx, char **words)
{
	play_t *play = ctx;
	const service_terms_t terms = {.cold_per_s = g_ascii_strtod(words[2], NULL),
				       .cold_us = strtoull(words[3], NULL, 10) * 1000};

	routing_set_terms(play->routing, words[1], &terms);
}

static void do_cold(void *ctx, char **words)
{
	play_t *play = ctx;
	searcher_t *searcher = registry_find(play->registry, words[1]);
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
	registry_put(play->registry, &entry, play->now_us);
}

static void do_evacuate(void *ctx, char **words)
{
	play_t *play = ctx;
	registry_set_evacuated(play->registry, words[1], g_str_equal(words[0], "evacuate"),
			       play->now_us);
}

static void do_unreadable(void *ctx, char **words)
{
	play_t *play = ctx;
	registry_put_unreadable(play->registry, words[1]);
}

static void do_list(void *ctx, char **words)
{
	play_t *play = ctx;
	registry_list_begin(play->registry);
	for (char **id = words + 1; *id; id++) {
		searcher_t *searcher = registry_find(play->registry, *id);

		if (searcher)
			put(play, *id, searcher->service, true, NULL, false, searcher->born_ms,
			    searcher->changes);
	}
	registry_list_end(play->registry, play->now_us);
}

static void do_lost(void *ctx, char **words)
{
	play_t *play = ctx;
	(void)words;
	registry_store_lost(play->registry);
}

static void do_back(void *ctx, char **words)
{
	play_t *play = ctx;
	(void)words;
	registry_store_recovered(play->registry, play->now_us);
}

static void do_room(void *ctx, char **words)
{
	play_t *play = ctx;
	searcher_t *searcher = registry_find(play->registry, words[1]);

	searcher->connections_max = (uint32_t)atoi(words[2]);
	forwarder_room(play->forwarder, searcher->service, play->now_us);
}

static void do_constant(void *ctx, char **words)
{
	play_t *play = ctx;
	registry_set_bound(play->registry, 0.2, g_ascii_strtod(words[1], NULL));
}

static void do_idle(void *ctx, char **words)
{
	play_t *play = ctx;
	registry_find(play->registry, words[1])->idle = (uint32_t)atoi(words[2]);
}

static void do_told(void *ctx, char **words)
{
	play_t *play = ctx;
	sighting_t sighting = {.searcher = words[2],
			       .after_us = strtoull(words[3], NULL, 10) * 1000,
			       .born_ms = words[4] ? strtoull(words[4], NULL, 10) : 0};

	while (!g_str_equal(sighting_type_name(sighting.type), words[1]))
		sighting.type++;
	forwarder_take_sighting(play->forwarder, &sighting, play->now_us);
}

static void do_tell(void *ctx, char **words)
{
	play_t *play = ctx;
	(void)words;
	play->tells = true;
}

static fingerprint_t fingerprint_of_target(const char *host, const char *target)
{
	g_autoptr(GString) head = g_string_new(NULL);
	g_autoptr(GString) body = g_string_new(NULL);

	g_string_printf(head, "GET %s HTTP/1.1\r\nHost: %s\r\n", target, host);
	return fingerprint_of(head, body);
}

static void submit(play_t *play, const char *id, const char *host, const char *target,
		   const char *patience_ms)
{
	/* The key lives as long as the table's entry; the request borrows it. */
	char *key = g_strdup(id);
	const forward_request_t request = {
		.id = key,
		.host = host,
		.target = target,
		.fingerprint = fingerprint_of_target(host, target),
		.received_us = play->now_us,
		.patience_us = patience_ms ? strtoull(patience_ms, NULL, 10) * 1000 : 0};
	forward_t *forward;

	g_hash_table_insert(play->forwards, key, NULL);
	forward = forwarder_submit(play->forwarder, &request, NULL, play->now_us);
	if (forward)
		g_hash_table_insert(play->forwards, g_strdup(id), forward);
}

static void do_request(void *ctx, char **words)
{
	play_t *play = ctx;
	submit(play, words[1], words[2], words[3], words[4]);
}

static void do_leave(void *ctx, char **words)
{
	play_t *play = ctx;
	forwarder_abandon(play->forwarder, g_hash_table_lookup(play->forwards, words[1]),
			  play->now_us);
	g_hash_table_remove(play->forwards, words[1]);
}

static void do_at(void *ctx, char **words)
{
	play_t *play = ctx;
	pass_to(play, 1000000000 + strtoull(words[1], NULL, 10) * 1000);
}

static sub_t *find_sub(play_t *play, const char *searcher, const char *id)
{
	for (guint i = 0; i < play->subs->len; i++) {
		sub_t *sub = g_ptr_array_index(play->subs, i);
		bool same = sub->forward ? g_str_equal(sub->forward->request.id, id)
					 : g_str_equal(id, "-");

		if (same && g_str_equal(sub->searcher->id, searcher))
			return sub;
	}
	return NULL;
}

static void end_sub(play_t *play, sub_t *sub, sub_end_t end, const char *body)
{
	sub_reply_t *reply = sub_reply_new(end);

	g_ptr_array_remove(play->subs, sub);
	sub->searcher->connections--;
	reply->status = end == SUB_ANSWERED ? 200 : 500;
	reply->stamp = g_strdup_printf("by-%s", sub->searcher->id);
	reply->body = g_string_new(body);
	forwarder_sub_ended(play->forwarder, sub, reply, play->now_us);
}

static void do_end(void *ctx, char **words)
{
	play_t *play = ctx;
	static const char *const names[] = {"answer",	"fail",	  "refuse",
					    "replaced", "unsent", "cut"};
	static const sub_end_t ends[] = {SUB_ANSWERED, SUB_FAILED,   SUB_NOT_RUN,
					 SUB_REPLACED, SUB_NOT_SENT, SUB_UNKNOWN};
	sub_t *sub = find_sub(play, words[1], words[2]);

	if (!sub) {
		say(play, "nothing is out to %s for %s", words[1], words[2]);
		return;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		if (g_str_equal(words[0], names[i]))
			end_sub(play, sub, ends[i], words[3] ? words[3] : "");
}

static void do_breaks(void *ctx, char **words)
{
	play_t *play = ctx;
	sub_t *sub = find_sub(play, words[1], words[2]);
	sub_reply_t *reply;

	if (!sub) {
		say(play, "nothing is out to %s for %s", words[1], words[2]);
		return;
	}
	reply = sub_reply_new(SUB_UNKNOWN);
	reply->broken = true;
	g_ptr_array_remove(play->subs, sub);
	sub->searcher->connections--;
	forwarder_sub_ended(play->forwarder, sub, reply, play->now_us);
}

static void do_refuses(void *ctx, char **words)
{
	play_t *play = ctx;

	forwarder_searcher_ended(play->forwarder, registry_find(play->registry, words[1]),
				 play->now_us);
}

static void do_listens(void *ctx, char **words)
{
	play_t *play = ctx;

	forwarder_searcher_listens(play->forwarder, registry_find(play->registry, words[1]),
				   1000000000 + strtoull(words[2], NULL, 10) * 1000);
}

static poison_news_t news_of_words(char **words)
{
	guint count = g_strv_length(words);

	return (poison_news_t){
		.fingerprint = fingerprint_of_target("h", words[1]),
		.strikes = words[2] ? (uint32_t)atoi(words[2]) : 0,
		.service = words[2] ? words[3] : NULL,
		.renewals = words[2] && words[3] && words[4] ? (uint32_t)atoi(words[4]) : 0,
		.trials = count > 5 ? (uint32_t)atoi(words[5]) : 0,
		.ran = count > 6 ? (uint32_t)atoi(words[6]) : 0};
}

static void do_other(void *ctx, char **words)
{
	play_t *play = ctx;
	const poison_news_t news = news_of_words(words);

	poison_take(forwarder_poison(play->forwarder), &news, play->now_us);
}

static void do_release(void *ctx, char **words)
{
	play_t *play = ctx;

	poison_release(forwarder_poison(play->forwarder), fingerprint_of_target("h", words[1]));
}

static void do_stored(void *ctx, char **words)
{
	play_t *play = ctx;
	const poison_news_t news = news_of_words(words);

	poison_told(forwarder_poison(play->forwarder), &news, true, play->now_us);
}

static void do_claims(void *ctx, char **words)
{
	(void)words;
	((play_t *)ctx)->claims = true;
}

static void do_claimed(void *ctx, char **words)
{
	static const char *const replies[] = {[CLAIM_GRANTED] = "granted",
					      [CLAIM_TAKEN] = "taken",
					      [CLAIM_REFUSED] = "refused",
					      [CLAIM_UNKNOWN] = "unknown"};
	play_t *play = ctx;
	uint32_t reply = 0;

	while (!g_str_equal(replies[reply], words[3]))
		reply++;
	poison_claimed(forwarder_poison(play->forwarder), fingerprint_of_target("h", words[1]),
		       (uint32_t)atoi(words[2]), (claim_reply_t)reply, play->now_us);
}

static void do_poison(void *ctx, char **words)
{
	play_t *play = ctx;
	const poison_t *poison = forwarder_poison(play->forwarder);

	(void)words;
	say(play, "remembered=%u refused=%u", poison_records(poison),
	    poison_blocked(poison, play->now_us));
}

static void do_many(void *ctx, char **words)
{
	play_t *play = ctx;
	guint count = (guint)atoi(words[1]);
	uint64_t step_us = (uint64_t)(g_ascii_strtod(words[2], NULL) * 1e6 / count);

	play->quiet = true;
	for (guint i = 0; i < count; i++) {
		submit(play, words[3], words[4], words[5], NULL);
		while (play->subs->len)
			end_sub(play, g_ptr_array_index(play->subs, 0), SUB_ANSWERED, "");
		pass_to(play, play->now_us + step_us);
	}
	play->quiet = false;
}

static const playbook_command_t commands[] = {
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
	{"lost", do_lost},
	{"back", do_back},
	{"room", do_room},
	{"constant", do_constant},
	{"idle", do_idle},
	{"told", do_told},
	{"tell", do_tell},
	{"request", do_request},
	{"leave", do_leave},
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
	const playbook_ops_t ops = {.folder = SCRIPTS,
				    .start = play_new,
				    .end = play_free,
				    .commands = commands,
				    .command_count = G_N_ELEMENTS(commands)};

	return playbook_run("forward", &ops);
}
