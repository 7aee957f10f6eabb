/**
 * @file caller.c
 * Callers that keep their connections for as long as a VM does, and print what became of each
 * request.
 *
 * Each connection sends its requests at a steady rate, the next one only when the one before is
 * over. It is opened again only after the VM has closed it. No request is sent a second time. Each
 * prints a line "ID PORT STATUS SENT_MS END_MS", times in ms since 1970. Instead of a status:
 * "closed" if the connection ended without an answer, "unsent" if it could not be opened, "invalid"
 * if bytes arrived that are no answer in HTTP/1.1.
 */
#include "net/http_conn.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PORTS_MAX 8

typedef struct caller_settings_t {
	int ports[PORTS_MAX], port_count;
	int connections, interval_ms, duration_ms, deadline_ms;
	const char *name, *host, *path, *method;
} caller_settings_t;

typedef struct caller_t {
	struct callers_t *all;
	int number, port;
	http_conn_t *conn; /* NULL: closed */
	loop_timer_t timer;
	char id[64]; /* of the outstanding request; empty: none */
	int sent;
	uint64_t sent_ms;
} caller_t;

typedef struct callers_t {
	caller_settings_t settings;
	loop_t *loop;
	uint64_t end_us;
	int running;
} callers_t;

static void schedule(caller_t *caller)
{
	callers_t *all = caller->all;

	if (loop_now_us() < all->end_us)
		loop_timer_set(all->loop, &caller->timer,
			       (uint64_t)all->settings.interval_ms * 1000);
	else if (--all->running == 0)
		loop_stop(all->loop);
}

static void finish(caller_t *caller, const char *result)
{
	printf("%s %d %s %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT "\n", caller->id, caller->port,
	       result, caller->sent_ms, loop_wall_ms());
	*caller->id = '\0';
	schedule(caller);
}

static void on_replied(void *ctx, const http_message_t *reply, bool reusable)
{
	caller_t *caller = ctx;
	char status[16];

	g_snprintf(status, sizeof(status), "%d", http_message_status(reply));
	if (!reusable)
		caller->conn = NULL;
	finish(caller, status);
}

static void on_ended(void *ctx, http_conn_close_reason_t reason)
{
	caller_t *caller = ctx;
	bool unsent = reason == HTTP_CONN_REFUSED || reason == HTTP_CONN_CONNECT_FAILED;

	caller->conn = NULL;
	if (reason == HTTP_CONN_PROTOCOL_ERROR && !*caller->id)
		printf("idle %d invalid %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT "\n",
		       caller->port, loop_wall_ms(), loop_wall_ms());
	if (*caller->id)
		finish(caller, unsent				    ? "unsent"
			       : reason == HTTP_CONN_PROTOCOL_ERROR ? "invalid"
								    : "closed");
}

static void ask(void *ctx)
{
	static const http_conn_ops_t ops = {.replied = on_replied, .ended = on_ended};
	static const char body[] = "body";
	caller_t *caller = ctx;
	const caller_settings_t *settings = &caller->all->settings;
	g_autofree char *head = NULL;

	g_snprintf(caller->id, sizeof(caller->id), "%s-%d-%d", settings->name, caller->number,
		   ++caller->sent);
	caller->sent_ms = loop_wall_ms();
	if (!caller->conn)
		caller->conn = http_conn_open(caller->all->loop, NULL, "127.0.0.1",
					      (uint16_t)caller->port, &ops, caller);
	if (!caller->conn) {
		finish(caller, "unsent");
		return;
	}
	head = g_strdup_printf("%s %s HTTP/1.1\r\nHost: %s\r\nDogwoodsaddle-Request-Id: %s\r\n"
			       "Dogwoodsaddle-Request-Deadline: %d\r\nContent-Length: %zu\r\n\r\n",
			       settings->method, settings->path, settings->host, caller->id,
			       settings->deadline_ms, strlen(body));
	http_conn_send(caller->conn, head, strlen(head), body, strlen(body), false);
}

static const struct argp_option options[] = {
	{"port", 'p', "PORT", 0, "a VM's port for callers; may be repeated", 0},
	{"connections", 'c', "COUNT", 0, "connections to each of the ports", 0},
	{"interval-ms", 'i', "MS", 0, "from an answer to the connection's next request", 0},
	{"duration-ms", 'd', "MS", 0, "how long to send requests", 0},
	{"deadline-ms", 't', "MS", 0, "deadline that requests state", 0},
	{"name", 'n', "NAME", 0, "start of the requests' ids", 0},
	{"host", 'h', "HOST", 0, "host of the route", 0},
	{"path", 'a', "PATH", 0, "path of the requests", 0},
	{"method", 'm', "METHOD", 0, "method of the requests", 0},
	{0},
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	caller_settings_t *settings = state->input;
	int *const numbers[] = {['c'] = &settings->connections,
				['d'] = &settings->duration_ms,
				['i'] = &settings->interval_ms,
				['t'] = &settings->deadline_ms};
	const char **const texts[] = {['a'] = &settings->path,
				      ['h'] = &settings->host,
				      ['m'] = &settings->method,
				      ['n'] = &settings->name};

	if (key == 'p' && settings->port_count < PORTS_MAX)
		settings->ports[settings->port_count++] = atoi(arg);
	else if (key > 0 && (size_t)key < G_N_ELEMENTS(numbers) && numbers[key])
		*numbers[key] = atoi(arg);
	else if (key > 0 && (size_t)key < G_N_ELEMENTS(texts) && texts[key])
		*texts[key] = arg;
	else
		return ARGP_ERR_UNKNOWN;
	return 0;
}

static void on_signal(void *ctx, int number)
{
	(void)number;
	loop_stop(((callers_t *)ctx)->loop);
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		options, parse_option, NULL, "Callers on kept connections.", 0, 0, 0};
	callers_t all = {.settings = {.connections = 1,
				      .interval_ms = 100,
				      .duration_ms = 1000,
				      .deadline_ms = 1000,
				      .name = "call",
				      .host = "get.example",
				      .path = "/get/x",
				      .method = "GET"}};
	caller_t *callers;

	argp_parse(&argp, argc, argv, 0, NULL, &all.settings);
	all.loop = loop_new();
	all.running = all.settings.port_count * all.settings.connections;
	all.end_us = loop_now_us() + (uint64_t)all.settings.duration_ms * 1000;
	callers = g_new0(caller_t, all.running);
	setvbuf(stdout, NULL, _IOLBF, 0);
	for (int i = 0; i < all.running; i++) {
		callers[i].all = &all;
		callers[i].number = i;
		callers[i].port = all.settings.ports[i % all.settings.port_count];
		callers[i].timer = (loop_timer_t){.fire = ask, .ctx = &callers[i]};
		loop_timer_set(all.loop, &callers[i].timer,
			       (uint64_t)(all.settings.interval_ms * 1000LL * i / all.running));
	}
	if (all.running)
		loop_run(all.loop, on_signal, &all);
	g_free(callers);
	return 0;
}
