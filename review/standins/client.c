/**
 * @file client.c
 * Clients that send requests at a steady rate, each attempt with an id of its own, and print what
 * they send and get: "MS sent ID PORT" and "MS answered ID PORT STATUS BYTES PARTS MISSING", with
 * status 0 for a connection that ended, -1 for no answer in time, and "garbage" with the first
 * bytes for bytes that are no answer in HTTP/1.1.
 */
#define _GNU_SOURCE
#include "peer.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PORTS_MAX 8

typedef struct settings_t {
	int ports[PORTS_MAX], port_count;
	int clients, per_s, for_ms, deadline_ms;
	const char *name, *method, *host, *path;
} settings_t;

static settings_t settings = {.clients = 10,
			      .per_s = 10,
			      .for_ms = 1000,
			      .deadline_ms = 1000,
			      .name = "c",
			      .method = "GET",
			      .host = "get.example",
			      .path = "/"};
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t begin_ms;

static void report(const char *id, int port, const char *status, const peer_message_t *reply)
{
	char stamps[4096] = "", missing[16] = "";
	int parts = 0;

	if (reply) {
		peer_header(reply, "Dogwoodsaddle-Part-Stamps", stamps, sizeof(stamps));
		peer_header(reply, "Dogwoodsaddle-Missing-Parts", missing, sizeof(missing));
		parts = *stamps != '\0';
		for (const char *at = stamps; *at; at++)
			parts += *at == ',';
	}
	pthread_mutex_lock(&lock);
	printf("%lld answered %s %d %s %zu %d %s\n", (long long)peer_now_ms(), id, port, status,
	       reply ? reply->body_bytes : 0, parts, *missing ? missing : "-");
	fflush(stdout);
	pthread_mutex_unlock(&lock);
}

static void report_sent(const char *id, int port)
{
	pthread_mutex_lock(&lock);
	printf("%lld sent %s %d\n", (long long)peer_now_ms(), id, port);
	pthread_mutex_unlock(&lock);
}

/* Whether the line is "HTTP/1.1 " and a status code of three digits. */
static bool is_status_line(const char *line)
{
	const char *status = line + strlen("HTTP/1.1 ");

	return !strncmp(line, "HTTP/1.1 ", strlen("HTTP/1.1 ")) &&
	       strspn(status, "0123456789") == 3 && *status >= '1' &&
	       (status[3] == ' ' || !status[3]);
}

static void report_garbage(const char *id, int port, const char *line)
{
	pthread_mutex_lock(&lock);
	printf("%lld garbage %s %d \"%.48s\"\n", (long long)peer_now_ms(), id, port, line);
	fflush(stdout);
	pthread_mutex_unlock(&lock);
}

/* Answers with these statuses have no body, whatever their headers say. */
static bool has_no_body(const char *status)
{
	return !strcmp(status, "204") || !strcmp(status, "304");
}

/* Returns whether the connection may be used again. */
static bool ask(peer_t *peer, int port, const char *id)
{
	char request[1024], status[16] = "", connection[32];
	bool post = !strcmp(settings.method, "POST");
	peer_message_t reply;
	int got;

	snprintf(request, sizeof(request),
		 "%s %s%s HTTP/1.1\r\nHost: %s\r\nDogwoodsaddle-Request-Id: %s\r\n"
		 "Dogwoodsaddle-Request-Deadline: %d\r\n%s\r\n%s",
		 settings.method, settings.path, id, settings.host, id, settings.deadline_ms,
		 post ? "Content-Length: 4\r\n" : "", post ? "work" : "");
	report_sent(id, port);
	if (!peer_write(peer, request, strlen(request))) {
		report(id, port, "0", NULL);
		return false;
	}
	got = peer_read(peer, &reply, peer_now_ms() + settings.deadline_ms);
	if (got != 1) {
		report(id, port, got ? "-1" : "0", NULL);
		return false;
	}
	if (!is_status_line(reply.start)) {
		report_garbage(id, port, reply.start);
		return false;
	}
	sscanf(reply.start, "HTTP/1.1 %15s", status);
	if (has_no_body(status)) {
		reply.total_bytes -= reply.body_bytes;
		reply.body_bytes = 0;
	}
	peer_header(&reply, "Connection", connection, sizeof(connection));
	report(id, port, status, &reply);
	peer_consume(peer, &reply);
	return strcmp(connection, "close") != 0;
}

static void *run(void *ctx)
{
	int number = (int)(intptr_t)ctx, port = settings.ports[number % settings.port_count];
	int64_t interval_us = 1000000ll * settings.clients / settings.per_s;
	int64_t due_us = interval_us * number / settings.clients;
	bool connected = false;
	peer_t peer;

	for (int i = 0; due_us < settings.for_ms * 1000ll; i++, due_us += interval_us) {
		int64_t wait_us = due_us - (peer_now_ms() - begin_ms) * 1000;
		char id[64];
		int fd;

		peer_sleep_us(wait_us);
		snprintf(id, sizeof(id), "%s-%d-%d", settings.name, number, i);
		if (!connected) {
			fd = peer_connect(port);
			if (fd < 0)
				continue;
			peer_init(&peer, fd);
		}
		connected = ask(&peer, port, id);
		if (!connected)
			peer_close(&peer);
	}
	if (connected)
		peer_close(&peer);
	return NULL;
}

static bool read_argument(const char *name, const char *value)
{
	if (!strcmp(name, "--port") && settings.port_count < PORTS_MAX)
		settings.ports[settings.port_count++] = atoi(value);
	else if (!strcmp(name, "--clients"))
		settings.clients = atoi(value);
	else if (!strcmp(name, "--per-s"))
		settings.per_s = atoi(value);
	else if (!strcmp(name, "--for-ms"))
		settings.for_ms = atoi(value);
	else if (!strcmp(name, "--deadline-ms"))
		settings.deadline_ms = atoi(value);
	else if (!strcmp(name, "--name"))
		settings.name = value;
	else if (!strcmp(name, "--method"))
		settings.method = value;
	else if (!strcmp(name, "--host"))
		settings.host = value;
	else if (!strcmp(name, "--path"))
		settings.path = value;
	else
		return false;
	return true;
}

int main(int argc, char **argv)
{
	pthread_t *threads;

	for (int i = 1; i < argc; i += 2)
		if (i + 1 == argc || !read_argument(argv[i], argv[i + 1]))
			return 2;
	if (!settings.port_count || settings.clients < 1 || settings.per_s < 1)
		return 2;
	threads = calloc((size_t)settings.clients, sizeof(*threads));
	begin_ms = peer_now_ms();
	for (int i = 0; i < settings.clients; i++)
		if (pthread_create(&threads[i], NULL, run, (void *)(intptr_t)i))
			return 2;
	for (int i = 0; i < settings.clients; i++)
		pthread_join(threads[i], NULL);
	free(threads);
	return 0;
}
