/**
 * @file dogwoodsaddle.c
 * The operators' command-line tool. It calls the admin addresses of daemons over HTTP.
 */
#include "core/config.h"
#include "tool/client.h"
#include "tool/explain.h"
#include "tool/timeline_view.h"
#include "version.h"

#include <argp.h>
#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define EXIT_REFUSED 1
#define EXIT_USAGE 2
#define EXIT_UNREACHABLE 3
#define WAIT_STEP_US 100000
/* One log file per VM, for thousands of VMs. */
#define LOG_FILES_MAX 10000

const char *argp_program_version = "dogwoodsaddle " DS_VERSION;

typedef struct tool_t {
	const char *admin, *token, *by, *note, *request;
	uint64_t since_ms;
	uint64_t timeout_ms;
	bool json;
	json_t *force;
	char **words; /* the command and its arguments */
	client_t *client;
} tool_t;

/** One command of the tool. */
typedef struct command_t {
	const char *name;
	const char *arguments;
	const char *help;
	uint32_t min_arguments, max_arguments;
	int (*run)(tool_t *tool, char **args);
} command_t;

/* ---- output ---- */

static void print_json(const json_t *body)
{
	char *text = json_dumps(body, JSON_INDENT(1) | JSON_ENCODE_ANY | JSON_REAL_PRECISION(6));

	puts(text ? text : "null");
	free(text);
}

static char *format_cell(const json_t *value)
{
	if (json_is_string(value))
		return g_strdup(json_string_value(value));
	if (json_is_real(value))
		return g_strdup_printf("%.1f", json_real_value(value));
	char *text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
	char *copy = g_strdup(text ? text : "");

	free(text);
	return copy;
}

static size_t column_width(const json_t *rows, const char *key)
{
	size_t width = strlen(key), i;
	json_t *row;

	json_array_foreach ((json_t *)rows, i, row) {
		g_autofree char *text = format_cell(json_object_get(row, key));

		width = MAX(width, strlen(text));
	}
	return width;
}

/* Prints a table with the keys of the first row as columns. */
static void print_table(const json_t *rows)
{
	const char *key;
	json_t *value, *row;
	size_t i;

	json_object_foreach (json_array_get(rows, 0), key, value)
		printf("%-*s  ", (int)column_width(rows, key), key);
	puts("");
	json_array_foreach ((json_t *)rows, i, row) {
		json_object_foreach (json_array_get(rows, 0), key, value) {
			g_autofree char *text = format_cell(json_object_get(row, key));

			printf("%-*s  ", (int)column_width(rows, key), text);
		}
		puts("");
	}
}

static int report_result(const tool_t *tool, int status, const json_t *reply)
{
	const char *detail = json_string_value(json_object_get(reply, "detail"));
	const char *title = json_string_value(json_object_get(reply, "title"));

	if (status == 200)
		return 0;
	if (!status) {
		fprintf(stderr, "no daemon could be reached: %s\n", tool->admin);
		return EXIT_UNREACHABLE;
	}
	fprintf(stderr, "refused: %s%s%s\n", title ? title : "", detail ? ": " : "",
		detail ? detail : "");
	return EXIT_REFUSED;
}

/* Requests a list from one daemon and prints it as a table. */
static int show_list(tool_t *tool, const char *path)
{
	int status = 0, code;
	json_t *reply = client_call_any(tool->client, path, NULL, &status);

	code = report_result(tool, status, reply);
	if (code == 0 && tool->json)
		print_json(reply);
	else if (code == 0)
		print_table(reply);
	json_decref(reply);
	return code;
}

static int run_services(tool_t *tool, char **args)
{
	(void)args;
	return show_list(tool, "/v1/services");
}

static int run_upstreams(tool_t *tool, char **args)
{
	(void)args;
	return show_list(tool, "/v1/upstreams");
}

static int run_members(tool_t *tool, char **args)
{
	(void)args;
	return show_list(tool, "/v1/members");
}

/* Prints a row for each daemon, including unreachable ones. */
static int run_status(tool_t *tool, char **args)
{
	json_t *rows = json_array();
	int code = 0;

	(void)args;
	for (uint32_t i = 0; i < client_count(tool->client); i++) {
		int status = 0;
		json_t *reply = client_call(tool->client, i, "/v1/status", NULL, &status);
		json_t *row = json_pack("{s:s, s:s}", "admin", client_address(tool->client, i),
					"answer", status == 200 ? "ok" : "none");

		if (status == 200)
			json_object_update(row, reply);
		else
			code = EXIT_UNREACHABLE;
		/* The first row determines the columns, so rows of daemons that answered go first.
		 */
		json_array_insert_new(rows, status == 200 ? 0 : json_array_size(rows), row);
		json_decref(reply);
	}
	if (tool->json)
		print_json(rows);
	else
		print_table(rows);
	json_decref(rows);
	return code;
}

/* Returns NULL, after printing the error, when a log can't be read. */
static GPtrArray *read_logs(char **paths)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(log_line_free);

	for (; *paths; paths++) {
		if (log_lines_read(*paths, lines))
			continue;
		fprintf(stderr, "can't read %s: %s\n", *paths, g_strerror(errno));
		g_ptr_array_unref(lines);
		return NULL;
	}
	return lines;
}

static int run_timeline(tool_t *tool, char **args)
{
	const timeline_filter_t filter = {.since_ms = tool->since_ms, .request = tool->request};

	g_autoptr(GPtrArray) lines = NULL;

	if (!*args)
		return timeline_view(tool->client, &filter, tool->json) ? EXIT_UNREACHABLE : 0;
	lines = read_logs(args);
	if (!lines)
		return EXIT_USAGE;
	timeline_view_logs(lines, &filter, tool->json);
	return 0;
}

static int run_explain(tool_t *tool, char **args)
{
	g_autoptr(GPtrArray) lines = read_logs(args + 1);

	(void)tool;
	if (!lines)
		return EXIT_USAGE;
	g_ptr_array_sort(lines, log_line_compare);
	if (explain_request(lines, args[0]))
		return 0;
	fprintf(stderr,
		"no line of these logs names request %s: check that the logs of all VMs are here, "
		"and whether one of them has event=log-lost\n",
		args[0]);
	return EXIT_REFUSED;
}

/* ---- configuration ---- */

static json_t *get_config(tool_t *tool, int *code)
{
	int status = 0;
	json_t *reply = client_call_any(tool->client, "/v1/config", NULL, &status);

	*code = report_result(tool, status, reply);
	return reply;
}

static int config_show(tool_t *tool)
{
	int code;
	json_t *reply = get_config(tool, &code);

	if (code == 0)
		print_json(tool->json ? reply
				      : json_object_get(json_object_get(reply, "value"), "config"));
	json_decref(reply);
	return code;
}

static int config_history(tool_t *tool)
{
	int code;
	json_t *reply = get_config(tool, &code), *value = json_object_get(reply, "value"), *item;
	size_t i;

	if (code == 0 && tool->json)
		print_json(json_object_get(value, "history"));
	else if (code == 0) {
		printf("in force: %lld by %s%s%s\n",
		       (long long)json_integer_value(json_object_get(reply, "number")),
		       json_string_value(json_object_get(value, "by")),
		       json_string_value(json_object_get(value, "note")) ? ": " : "",
		       json_string_value(json_object_get(value, "note"))
			       ? json_string_value(json_object_get(value, "note"))
			       : "");
		json_array_foreach (json_object_get(value, "history"), i, item)
			printf("%lld %s\n", (long long)json_integer_value(json_array_get(item, 1)),
			       json_string_value(json_array_get(item, 0)));
	}
	json_decref(reply);
	return code;
}

static json_t *read_json_file(const char *path)
{
	json_error_t where;
	json_t *body = json_load_file(path, JSON_REJECT_DUPLICATES, &where);

	if (!body)
		fprintf(stderr, "%s:%d: %s\n", path, where.line, where.text);
	return body;
}

/* Prints each value that differs, with its path. Returns how many differ. */
static uint32_t print_diff(const json_t *old, const json_t *proposed, const char *path)
{
	uint32_t count = 0;
	const char *key;
	json_t *value;

	if (json_equal(old, proposed))
		return 0;
	if (!json_is_object(old) || !json_is_object(proposed)) {
		g_autofree char *a = format_cell(old), *b = format_cell(proposed);

		printf("%s\n- %.400s\n+ %.400s\n", path, a, b);
		return 1;
	}
	json_object_foreach ((json_t *)old, key, value) {
		g_autofree char *child = g_strdup_printf("%s.%s", path, key);

		count += print_diff(value, json_object_get(proposed, key), child);
	}
	json_object_foreach ((json_t *)proposed, key, value) {
		g_autofree char *child = g_strdup_printf("%s.%s", path, key);

		if (!json_object_get(old, key))
			count += print_diff(NULL, value, child);
	}
	return count;
}

static int config_diff(tool_t *tool, const char *path)
{
	json_t *proposed = read_json_file(path), *reply;
	int code;

	if (!proposed)
		return EXIT_USAGE;
	reply = get_config(tool, &code);
	if (code == 0 && !print_diff(json_object_get(json_object_get(reply, "value"), "config"),
				     proposed, "config"))
		puts("no difference");
	json_decref(reply);
	json_decref(proposed);
	return code;
}

static int post(tool_t *tool, const char *path, json_t *body)
{
	int status = 0, code;
	json_t *reply = client_call_any(tool->client, path, body, &status);

	code = report_result(tool, status, reply);
	if (code == 0)
		print_json(reply);
	json_decref(reply);
	json_decref(body);
	return code;
}

static int config_propose(tool_t *tool, const char *path)
{
	json_t *proposed = read_json_file(path), *reply;
	int code;

	if (!proposed)
		return EXIT_USAGE;
	reply = get_config(tool, &code);
	if (code == 0)
		code = post(tool, "/v1/config",
			    json_pack("{s:O, s:s, s:s, s:O}", "base",
				      json_object_get(reply, "number"), "by", tool->by, "note",
				      tool->note, "config", proposed));
	json_decref(reply);
	json_decref(proposed);
	return code;
}

static bool in_force_everywhere(tool_t *tool, json_int_t number)
{
	for (uint32_t i = 0; i < client_count(tool->client); i++) {
		int status = 0;
		json_t *reply = client_call(tool->client, i, "/v1/status", NULL, &status);
		bool in_force = json_integer_value(json_object_get(reply, "config")) >= number;

		json_decref(reply);
		if (!in_force)
			return false;
	}
	return true;
}

static int config_wait(tool_t *tool, const char *number)
{
	uint64_t start_us = (uint64_t)g_get_monotonic_time();

	while (!in_force_everywhere(tool, atoll(number))) {
		if ((uint64_t)g_get_monotonic_time() - start_us > tool->timeout_ms * 1000) {
			fprintf(stderr, "not in force everywhere after %" G_GUINT64_FORMAT " ms\n",
				tool->timeout_ms);
			return EXIT_REFUSED;
		}
		usleep(WAIT_STEP_US);
	}
	printf("%s is in force everywhere\n", number);
	return 0;
}

static int run_config(tool_t *tool, char **args)
{
	if (g_str_equal(args[0], "show") && !args[1])
		return config_show(tool);
	if (g_str_equal(args[0], "history") && !args[1])
		return config_history(tool);
	if (g_str_equal(args[0], "diff") && args[1])
		return config_diff(tool, args[1]);
	if (g_str_equal(args[0], "propose") && args[1])
		return config_propose(tool, args[1]);
	if (g_str_equal(args[0], "wait") && args[1])
		return config_wait(tool, args[1]);
	fputs("usage: dogwoodsaddle config show | history | diff FILE | propose FILE | wait "
	      "NUMBER\n",
	      stderr);
	return EXIT_USAGE;
}

/* ---- intents ---- */

static int run_take_out(tool_t *tool, char **args)
{
	return post(tool, "/v1/plan", json_pack("{s:s, s:s}", "verb", "take-out", "name", args[0]));
}

static int run_bring_back(tool_t *tool, char **args)
{
	return post(tool, "/v1/plan",
		    json_pack("{s:s, s:s}", "verb", "bring-back", "name", args[0]));
}

static int run_confirm(tool_t *tool, char **args)
{
	return post(tool, "/v1/confirm",
		    json_pack("{s:s, s:s, s:O}", "plan", args[0], "by", tool->by, "force",
			      tool->force));
}

static int run_completion(tool_t *tool, char **args);

static const command_t commands[] = {
	{"status", "", "each daemon: ready, leaving, configuration in force", 0, 0, run_status},
	{"services", "", "services as one daemon sees them", 0, 0, run_services},
	{"upstreams", "", "searchers as one daemon sees them", 0, 0, run_upstreams},
	{"members", "", "the other daemons as one of them sees them", 0, 0, run_members},
	{"timeline", "[LOG...]", "events of all daemons, or of logs, in causal order", 0,
	 LOG_FILES_MAX, run_timeline},
	{"explain", "REQUEST LOG...", "why a request failed, from the logs of all VMs", 2,
	 LOG_FILES_MAX, run_explain},
	{"config", "show|history|diff FILE|propose FILE|wait NUMBER", "the configuration", 1, 2,
	 run_config},
	{"take-out", "NAME", "plan: a data centre or searcher gets no new work", 1, 1,
	 run_take_out},
	{"bring-back", "NAME", "plan: a data centre or searcher gets work again", 1, 1,
	 run_bring_back},
	{"confirm", "PLAN", "carry a plan out", 1, 1, run_confirm},
	{"completion", "", "a completion script for bash", 0, 0, run_completion},
};

static int run_completion(tool_t *tool, char **args)
{
	(void)tool;
	(void)args;
	printf("complete -W '");
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		printf("%s ", commands[i].name);
	puts("show history diff propose wait --admin --token --json --by --note --force --since-ms "
	     "--request --timeout-ms' dogwoodsaddle");
	return 0;
}

/* ---- arguments ---- */

static const struct argp_option options[] = {
	{"admin", 'a', "IP:PORT,...", 0, "daemons' admin addresses (DOGWOODSADDLE_ADMIN)", 0},
	{"token", 't', "TOKEN", 0, "operator's token (DOGWOODSADDLE_TOKEN)", 0},
	{"json", 'j', 0, 0, "print the answer as JSON", 0},
	{"by", 'b', "NAME", 0, "operator's name for the history (USER)", 0},
	{"note", 'n', "TEXT", 0, "what a proposal is for", 0},
	{"force", 'f', "SERVICE/GROUP", 0, "confirm although this group is lost; may be repeated",
	 0},
	{"since-ms", 's', "N", 0, "timeline: only the last N milliseconds", 0},
	{"request", 'r', "ID", 0, "timeline: only this request", 0},
	{"timeout-ms", 'w', "N", 0, "config wait: time-out in milliseconds (10000)", 0},
	{0},
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	tool_t *tool = state->input;

	switch (key) {
	case 'a':
		tool->admin = arg;
		return 0;
	case 't':
		tool->token = arg;
		return 0;
	case 'j':
		tool->json = true;
		return 0;
	case 'b':
		tool->by = arg;
		return 0;
	case 'n':
		tool->note = arg;
		return 0;
	case 'f':
		json_array_append_new(tool->force, json_string(arg));
		return 0;
	case 's':
		tool->since_ms = strtoull(arg, NULL, 10);
		return 0;
	case 'r':
		tool->request = arg;
		return 0;
	case 'w':
		tool->timeout_ms = strtoull(arg, NULL, 10);
		return 0;
	case ARGP_KEY_ARGS:
		tool->words = state->argv + state->next;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static char *list_commands(int key, const char *text, void *input)
{
	GString *help;

	(void)input;
	if (key != ARGP_KEY_HELP_POST_DOC)
		return (char *)text;
	help = g_string_new("Commands:\n");
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		g_string_append_printf(help, "  %s %s\n      %s\n", commands[i].name,
				       commands[i].arguments, commands[i].help);
	g_string_append(
		help,
		"\nExit status: 0 done, 1 refused, 2 wrong use, 3 a daemon could not be reached.");
	return g_string_free(help, FALSE);
}

static const command_t *find_command(char **words)
{
	for (size_t i = 0; words && words[0] && i < G_N_ELEMENTS(commands); i++) {
		uint32_t count = g_strv_length(words + 1);

		if (g_str_equal(commands[i].name, words[0]) && count >= commands[i].min_arguments &&
		    count <= commands[i].max_arguments)
			return &commands[i];
	}
	return NULL;
}

static const char *from_environment(const char *name, const char *fallback)
{
	const char *value = getenv(name);

	return value ? value : fallback;
}

int main(int argc, char **argv)
{
	static const struct argp argp = {options,
					 parse_option,
					 "COMMAND [ARGUMENT...]",
					 "Operate dogwoodsaddle.\v",
					 NULL,
					 list_commands,
					 NULL};
	tool_t tool = {.admin = from_environment("DOGWOODSADDLE_ADMIN", "127.0.0.1:8081"),
		       .token = from_environment("DOGWOODSADDLE_TOKEN", ""),
		       .by = from_environment("USER", "unknown"),
		       .note = "",
		       .timeout_ms = 10000,
		       .force = json_array()};
	const command_t *command;

	argp_parse(&argp, argc, argv, 0, NULL, &tool);
	command = find_command(tool.words);
	if (!command) {
		fputs("no such command, or a wrong number of arguments: see dogwoodsaddle --help\n",
		      stderr);
		return EXIT_USAGE;
	}
	tool.client = client_new(tool.admin, tool.token);
	return command->run(&tool, tool.words + 1);
}
