/**
 * @file handover_test.c
 * Runs the scripts of tests/handover against the hand-over of requests to other VMs, without
 * sockets and with a simulated clock.
 *
 * A script holds commands and, after "> ", the lines that they must print. Commands:
 *
 *     gatherers NAME[@DATA_CENTRE]...   the gatherers for this VM, best first
 *     there NAME                        the gatherer answers a ping
 *     request ID DEADLINE_MS TARGET_MS ATTEMPTS
 *     taken NAME ID [VERSION], refuses NAME ID REASON, answer NAME ID END
 *     leaving NAME, lost NAME           the gatherer stops, or its connection ends
 *     leave ID                          the caller leaves
 *     at MS                             advances the clock to MS, firing each timer when it is due
 *     stand MS                          this VM is suspended until MS
 *     ends MS                           this VM stops at MS
 */
#include "core/handover.h"
#include "script_runner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SCRIPTS "tests/handover"
#define START_US 1000000000ull

typedef struct fixture_t {
	GString *out;
	uint64_t now_us;
	handovers_t *all;
	GHashTable *known; /* name to gatherer_t */
	GHashTable *open;  /* id to handover_t */
} fixture_t;

static const char *const reasons[] = {"not-ready", "older", "no-gather", "stops", "busy", "still"};

static const char *name_of(const handover_t *handover)
{
	return handover->gatherer ? handover->gatherer->vm->name : "nobody";
}

static void on_send(void *ctx, handover_t *handover)
{
	g_string_append_printf(((fixture_t *)ctx)->out, "> send %s to=%s again=%d%s\n",
			       (char *)handover->owner, name_of(handover),
			       handover->outcome_unknown,
			       handovers_version(handover->all) ? " not-by-older" : "");
}

static void on_grant(void *ctx, handover_t *handover, uint32_t more)
{
	g_string_append_printf(((fixture_t *)ctx)->out, "> go %s to=%s more=%u\n",
			       (char *)handover->owner, name_of(handover), more);
}

static void on_cancel(void *ctx, handover_t *handover)
{
	g_string_append_printf(((fixture_t *)ctx)->out, "> cancel %s to=%s\n",
			       (char *)handover->owner, name_of(handover));
}

static void on_unresponsive(void *ctx, const handover_t *handover, uint64_t after_us)
{
	g_string_append_printf(((fixture_t *)ctx)->out, "> silent %s after_ms=%d\n",
			       name_of(handover), (int)(after_us / 1000));
}

static void on_rejected(void *ctx, const handover_t *handover, hop_reason_t reason)
{
	(void)ctx;
	(void)handover;
	(void)reason;
}

static void on_answer(void *ctx, handover_t *handover, const hop_answer_t *answer)
{
	fixture_t *fixture = ctx;

	g_string_append_printf(fixture->out, "> answer %s %s retry_after_ms=%d\n",
			       (char *)handover->owner, forward_outcome_name(answer->end),
			       (int)(answer->retry_after_us / 1000));
	g_hash_table_remove(fixture->open, handover->owner);
}

static void on_gather_here(void *ctx, handover_t *handover)
{
	fixture_t *fixture = ctx;

	g_string_append_printf(fixture->out, "> here %s\n", (char *)handover->owner);
	g_hash_table_remove(fixture->open, handover->owner);
}

static void on_newer_version(void *ctx, uint64_t version)
{
	g_string_append_printf(((fixture_t *)ctx)->out, "> newer %d\n", (int)version);
}

static void *fixture_new(GString *out)
{
	static const handover_ops_t ops = {.send = on_send,
					   .grant = on_grant,
					   .cancel = on_cancel,
					   .unresponsive = on_unresponsive,
					   .rejected = on_rejected,
					   .answer = on_answer,
					   .gather_here = on_gather_here,
					   .newer_version = on_newer_version};
	fixture_t *fixture = g_new0(fixture_t, 1);

	fixture->out = out;
	fixture->now_us = START_US;
	fixture->all = handovers_new(&ops, fixture);
	fixture->known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       (GDestroyNotify)gatherer_unref);
	fixture->open = g_hash_table_new(g_str_hash, g_str_equal);
	return fixture;
}

static void fixture_free(void *ctx)
{
	fixture_t *fixture = ctx;
	gsize printed = fixture->out->len;
	g_autoptr(GList) open = g_hash_table_get_values(fixture->open);

	for (GList *item = open; item; item = item->next)
		handover_abandon(item->data);
	g_string_truncate(fixture->out, printed);
	handovers_free(fixture->all);
	g_hash_table_unref(fixture->known);
	g_hash_table_unref(fixture->open);
	g_free(fixture);
}

static void do_gatherers(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	g_autoptr(GPtrArray) vms = g_ptr_array_new_with_free_func(vm_free);
	const GPtrArray *gatherers;

	for (char **word = words + 1; *word; word++) {
		g_auto(GStrv) halves = g_strsplit(*word, "@", 2);
		const vm_t vm = {.name = halves[0],
				 .data_centre = halves[1] ? halves[1] : "here",
				 .address = "127.0.0.1",
				 .gather_port = 1};

		g_ptr_array_add(vms, vm_new(&vm));
	}
	handovers_set_gatherers(fixture->all, vms, "here");
	gatherers = handovers_gatherers(fixture->all);
	for (guint i = 0; i < gatherers->len; i++) {
		gatherer_t *gatherer = g_ptr_array_index(gatherers, i);

		g_hash_table_insert(fixture->known, g_strdup(gatherer->vm->name),
				    gatherer_ref(gatherer));
	}
}

static gatherer_t *find_gatherer(fixture_t *fixture, const char *name)
{
	gatherer_t *gatherer = g_hash_table_lookup(fixture->known, name);

	if (!gatherer)
		g_error("no gatherer %s", name);
	return gatherer;
}

static void receive(fixture_t *fixture, const char *name, const char *id, hop_message_t message)
{
	static uint64_t serial_of_none;
	const handover_t *handover = id ? g_hash_table_lookup(fixture->open, id) : NULL;

	message.serial = handover ? handover->serial : serial_of_none;
	handovers_receive(fixture->all, find_gatherer(fixture, name), &message, fixture->now_us);
}

static void do_there(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	gatherer_t *gatherer = find_gatherer(fixture, words[1]);

	if (gatherer->state == GATHERER_CLOSED)
		gatherer->state = GATHERER_PINGED;
	receive(fixture, words[1], NULL, (hop_message_t){.type = HOP_PONG});
}

static void do_request(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	const handover_limits_t limits = {.deadline_us = fixture->now_us +
							 strtoull(words[2], NULL, 10) * 1000,
					  .target_us = strtoull(words[3], NULL, 10) * 1000,
					  .attempts_max = (uint32_t)atoi(words[4])};
	char *id = (char *)g_intern_string(words[1]);
	handover_t *handover = handover_begin(fixture->all, &limits, id, fixture->now_us);

	if (handover)
		g_hash_table_insert(fixture->open, id, handover);
	else
		g_string_append_printf(fixture->out, "> nobody takes %s\n", id);
}

static void do_taken(void *ctx, char **words)
{
	hop_message_t message = {.type = HOP_ACCEPTED};

	message.version = words[3] ? strtoull(words[3], NULL, 10) : 0;
	receive(ctx, words[1], words[2], message);
}

static void do_refuses(void *ctx, char **words)
{
	hop_message_t message = {.type = HOP_REJECTED};

	for (int i = 0; i < HOP_REASONS; i++)
		if (g_str_equal(reasons[i], words[3]))
			message.reason = (hop_reason_t)i;
	receive(ctx, words[1], words[2], message);
}

static void do_answer(void *ctx, char **words)
{
	hop_message_t message = {.type = HOP_ANSWER};

	for (int end = 0; end < FORWARD_OUTCOMES; end++)
		if (g_str_equal(forward_outcome_name((forward_outcome_t)end), words[3]))
			message.answer.end = (forward_outcome_t)end;
	message.answer.retry_after_us =
		forward_outcome_status(message.answer.end) == 503 ? 100000 : 0;
	receive(ctx, words[1], words[2], message);
}

static void do_leaving(void *ctx, char **words)
{
	receive(ctx, words[1], NULL, (hop_message_t){.type = HOP_LEAVING});
}

static void do_lost(void *ctx, char **words)
{
	fixture_t *fixture = ctx;

	handovers_connection_lost(fixture->all, find_gatherer(fixture, words[1]), fixture->now_us);
}

static void do_leave(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	handover_t *handover = g_hash_table_lookup(fixture->open, words[1]);

	g_hash_table_remove(fixture->open, words[1]);
	handover_abandon(handover);
}

static void do_at(void *ctx, char **words)
{
	fixture_t *fixture = ctx;
	uint64_t until_us = START_US + strtoull(words[1], NULL, 10) * 1000;

	while (handovers_next_us(fixture->all) <= until_us) {
		fixture->now_us = MAX(fixture->now_us, handovers_next_us(fixture->all));
		handovers_run(fixture->all, fixture->now_us);
	}
	fixture->now_us = until_us;
}

static void do_stand(void *ctx, char **words)
{
	fixture_t *fixture = ctx;

	fixture->now_us = START_US + strtoull(words[1], NULL, 10) * 1000;
	handovers_run(fixture->all, fixture->now_us);
}

static void do_ends(void *ctx, char **words)
{
	fixture_t *fixture = ctx;

	handovers_stop_at(fixture->all, START_US + strtoull(words[1], NULL, 10) * 1000,
			  fixture->now_us);
}

static void do_own(void *ctx, char **words)
{
	handovers_set_own_version(((fixture_t *)ctx)->all, strtoull(words[1], NULL, 10));
}

static void do_behind(void *ctx, char **words)
{
	const fixture_t *fixture = ctx;
	bool behind = handovers_is_behind(fixture->all);
	bool for_long = handovers_is_long_behind(fixture->all, fixture->now_us);

	(void)words;
	g_string_append_printf(fixture->out, "> behind %s\n",
			       for_long ? "long"
			       : behind ? "yes"
					: "no");
}

static const script_command_t commands[] = {
	{"gatherers", do_gatherers},
	{"there", do_there},
	{"request", do_request},
	{"taken", do_taken},
	{"refuses", do_refuses},
	{"answer", do_answer},
	{"leaving", do_leaving},
	{"lost", do_lost},
	{"leave", do_leave},
	{"at", do_at},
	{"stand", do_stand},
	{"ends", do_ends},
	{"own", do_own},
	{"behind", do_behind},
};

int main(void)
{
	const script_runner_ops_t ops = {.folder = SCRIPTS,
					 .start = fixture_new,
					 .end = fixture_free,
					 .commands = commands,
					 .command_count = G_N_ELEMENTS(commands)};

	return script_runner_run("handover", &ops);
}
