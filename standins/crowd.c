/**
 * @file crowd.c
 * Clients that don't behave: many connections that all send one kind of request, until a time is
 * over.
 *
 * A connection that the VM closes is opened again after a delay. With --ids each answered request
 * prints a line "ID STATUS". The last line counts connections, requests begun and answers by
 * status: "crowd connections=N sent=N 200=N 503=N ...".
 */
#include <argp.h>
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define EVENTS_MAX 256
#define RECONNECT_DELAY_US 200000
#define TICK_MS 10
#define STATUS_MAX 600
#define WRITE_BYTES 65536
/* Receive buffer of a client that reads slowly or not at all, so that few bytes are in transit. */
#define SMALL_BUFFER_BYTES 4096
#define FIELDS 900
#define ENDLESS SIZE_MAX

typedef enum reading_t { READ_ALL, READ_SLOWLY, READ_NOTHING } reading_t;

/** What the clients send: a head, then `rest` again and again, then `end`. */
typedef struct crowd_kind_t {
	const char *name;
	const char *headers; /**< after the request line and Host; NULL: the rest is the request */
	const char *rest;    /**< NULL: whole requests without a body, the next ones at once */
	const char *end;
	bool has_fields;    /**< FIELDS short header lines are added */
	bool is_endless;    /**< `rest` is repeated without end, otherwise --body times */
	uint32_t percent;   /**< of the request that is sent before the client stops; 0: all */
	size_t piece_bytes; /**< bytes of one write; 0: as many as the socket takes */
	uint32_t pause_ms;  /**< between two writes */
	reading_t reading;
} crowd_kind_t;

#define LENGTH "Content-Length: %zu\r\n\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

static const crowd_kind_t kinds[] = {
	{.name = "whole", .headers = LENGTH, .rest = "x"},
	{.name = "fields", .headers = LENGTH, .rest = "x", .has_fields = true},
	{.name = "pieces", .headers = LENGTH, .rest = "x", .piece_bytes = 64},
	{.name = "chunks", .headers = CHUNKED, .rest = "1\r\nx\r\n", .end = "0\r\n\r\n"},
	{.name = "oversize",
	 .headers = "Content-Length: 1000000000\r\n\r\n",
	 .rest = "x",
	 .is_endless = true},
	{.name = "oversize-chunks",
	 .headers = CHUNKED,
	 .rest = "10\r\n0123456789abcdef\r\n",
	 .is_endless = true},
	{.name = "head", .headers = "", .rest = "f: 1\r\n", .is_endless = true},
	{.name = "ahead", .reading = READ_NOTHING},
	{.name = "ahead-read"},
	{.name = "slow", .headers = LENGTH, .rest = "x", .piece_bytes = 1, .pause_ms = 100},
	{.name = "half-head", .headers = LENGTH, .has_fields = true, .percent = 50},
	{.name = "half-body", .headers = LENGTH, .rest = "x", .percent = 50},
	{.name = "unread", .headers = LENGTH, .rest = "x", .reading = READ_SLOWLY},
	{.name = "silent", .headers = "", .percent = 1},
};

typedef struct crowd_settings_t {
	int port, connections, seconds;
	size_t body_bytes;
	const char *kind, *name, *host, *path, *method;
	bool print_ids;
} crowd_settings_t;

typedef struct client_t {
	int fd;		 /* -1: not connected */
	uint64_t due_us; /* when to connect or to write again */
	bool wants_write;
	GString *start;	    /* head of the request being sent */
	size_t sent, total; /* bytes of that request */
	bool waits;	    /* the whole request was sent: waits for its answer */
	char id[64];
	char line[16]; /* the first bytes of the answer */
	size_t line_bytes;
} client_t;

typedef struct crowd_t {
	crowd_settings_t settings;
	const crowd_kind_t *kind;
	GString *rest; /* repeated often enough for one write */
	int epoll_fd;
	client_t *clients;
	uint64_t connects, requests, answers[STATUS_MAX];
} crowd_t;

static uint64_t now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

/* ---- what is sent ---- */

static void begin_request(crowd_t *crowd, client_t *client)
{
	const crowd_kind_t *kind = crowd->kind;
	const crowd_settings_t *settings = &crowd->settings;
	size_t rest_bytes = kind->rest ? strlen(kind->rest) : 0;

	crowd->requests++;
	client->sent = client->line_bytes = 0;
	client->waits = false;
	g_string_printf(client->start, "%s %s HTTP/1.1\r\nHost: %s\r\n", settings->method,
			settings->path, settings->host);
	if (!kind->headers) {
		g_string_append(client->start, "\r\n");
		client->total = ENDLESS;
		return;
	}
	g_snprintf(client->id, sizeof(client->id), "%s-%" G_GUINT64_FORMAT, settings->name,
		   crowd->requests);
	g_string_append_printf(client->start,
			       "Dogwoodsaddle-Request-Id: %s\r\n"
			       "Dogwoodsaddle-Request-Deadline: 2000\r\n",
			       client->id);
	for (int i = 0; kind->has_fields && i < FIELDS; i++)
		g_string_append_printf(client->start, "f%d: 1\r\n", i);
	if (g_str_equal(kind->headers, LENGTH))
		g_string_append_printf(client->start, LENGTH, settings->body_bytes);
	else
		g_string_append(client->start, kind->headers);
	client->total = kind->is_endless ? ENDLESS
					 : client->start->len + rest_bytes * settings->body_bytes +
						   (kind->end ? strlen(kind->end) : 0);
	if (kind->percent)
		client->total =
			(kind->rest ? client->total : client->start->len) * kind->percent / 100;
}

/* Returns the bytes to be sent next. */
static const char *next_bytes(const crowd_t *crowd, const client_t *client, size_t *bytes)
{
	const crowd_kind_t *kind = crowd->kind;
	size_t start = client->start->len, unit = kind->rest ? strlen(kind->rest) : start;
	size_t end = kind->end ? strlen(kind->end) : 0, offset;
	size_t left = client->total - client->sent;

	if (kind->headers && client->sent < start) {
		*bytes = MIN(start - client->sent, left);
		return client->start->str + client->sent;
	}
	if (end && left <= end) {
		*bytes = left;
		return kind->end + end - left;
	}
	offset = (client->sent - (kind->headers ? start : 0)) % unit;
	*bytes = MIN(crowd->rest->len - offset, left - end);
	return crowd->rest->str + offset;
}

/* ---- connections ---- */

static void set_interest(const crowd_t *crowd, client_t *client, bool wants_write)
{
	bool reads = crowd->kind->reading == READ_ALL;
	struct epoll_event event = {.events = (reads ? EPOLLIN : 0) | (wants_write ? EPOLLOUT : 0),
				    .data.ptr = client};

	client->wants_write = wants_write;
	epoll_ctl(crowd->epoll_fd, EPOLL_CTL_MOD, client->fd, &event);
}

static void disconnect(client_t *client)
{
	close(client->fd);
	client->fd = -1;
	client->due_us = now_us() + RECONNECT_DELAY_US;
}

static void open_connection(crowd_t *crowd, client_t *client)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_port = htons((uint16_t)crowd->settings.port),
				      .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	struct epoll_event event = {.events = EPOLLOUT | EPOLLIN, .data.ptr = client};
	int on = 1, small = SMALL_BUFFER_BYTES;

	client->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (client->fd < 0) {
		client->due_us = now_us() + RECONNECT_DELAY_US;
		return;
	}
	if (crowd->kind->piece_bytes)
		setsockopt(client->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (crowd->kind->reading != READ_ALL)
		setsockopt(client->fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	if (connect(client->fd, (struct sockaddr *)&address, sizeof(address)) &&
	    errno != EINPROGRESS) {
		disconnect(client);
		return;
	}
	crowd->connects++;
	client->due_us = 0;
	epoll_ctl(crowd->epoll_fd, EPOLL_CTL_ADD, client->fd, &event);
	begin_request(crowd, client);
	set_interest(crowd, client, true);
}

static void write_next(crowd_t *crowd, client_t *client)
{
	const crowd_kind_t *kind = crowd->kind;
	size_t bytes;
	const char *data = next_bytes(crowd, client, &bytes);
	ssize_t sent;

	if (kind->piece_bytes)
		bytes = MIN(bytes, kind->piece_bytes);
	sent = bytes ? send(client->fd, data, bytes, MSG_NOSIGNAL) : 0;
	if (sent < 0 && errno != EAGAIN) {
		disconnect(client);
		return;
	}
	client->sent += sent > 0 ? (size_t)sent : 0;
	client->waits = client->sent == client->total;
	if (client->waits) {
		set_interest(crowd, client, false);
	} else if (kind->pause_ms) {
		client->due_us = now_us() + kind->pause_ms * 1000;
		set_interest(crowd, client, false);
	}
}

static void end_request(crowd_t *crowd, client_t *client)
{
	int status = atoi(client->line + strlen("HTTP/1.1 "));

	if (status > 0 && status < STATUS_MAX)
		crowd->answers[status]++;
	if (crowd->settings.print_ids)
		printf("%s %d\n", client->id, status);
	if (!client->waits) /* answered before it was sent: the VM closes the connection */
		return;
	begin_request(crowd, client);
	set_interest(crowd, client, true);
}

static void read_bytes(crowd_t *crowd, client_t *client, size_t most)
{
	char data[WRITE_BYTES];
	ssize_t got = recv(client->fd, data, MIN(most, sizeof(data)), 0);
	size_t room = sizeof(client->line) - 1 - client->line_bytes, first;

	if (got < 0 && errno == EAGAIN)
		return;
	if (got <= 0) {
		disconnect(client);
		return;
	}
	if (!crowd->kind->headers) /* the answers are not told apart */
		return;
	first = MIN(room, (size_t)got);
	memcpy(client->line + client->line_bytes, data, first);
	client->line_bytes += first;
	if (room && client->line_bytes == sizeof(client->line) - 1)
		end_request(crowd, client);
}

/* ---- the crowd ---- */

static void run_event(crowd_t *crowd, client_t *client, uint32_t events)
{
	if (client->fd >= 0 && (events & EPOLLIN))
		read_bytes(crowd, client, WRITE_BYTES);
	if (client->fd >= 0 && (events & (EPOLLERR | EPOLLHUP)))
		disconnect(client);
	if (client->fd >= 0 && (events & EPOLLOUT) && client->wants_write)
		write_next(crowd, client);
}

static void run_timed(crowd_t *crowd)
{
	uint64_t now = now_us();

	for (int i = 0; i < crowd->settings.connections; i++) {
		client_t *client = &crowd->clients[i];

		if (client->fd >= 0 && crowd->kind->reading == READ_SLOWLY)
			read_bytes(crowd, client, 1);
		if (!client->due_us || now < client->due_us)
			continue;
		client->due_us = 0;
		if (client->fd < 0)
			open_connection(crowd, client);
		else if (!client->waits)
			set_interest(crowd, client, true);
	}
}

static void run(crowd_t *crowd)
{
	struct epoll_event events[EVENTS_MAX];
	uint64_t end_us = now_us() + (uint64_t)crowd->settings.seconds * 1000000, tick_us = 0;

	while (now_us() < end_us) {
		int count = epoll_wait(crowd->epoll_fd, events, EVENTS_MAX, TICK_MS);

		for (int i = 0; i < count; i++)
			run_event(crowd, events[i].data.ptr, events[i].events);
		if (now_us() < tick_us)
			continue;
		tick_us = now_us() + TICK_MS * 1000;
		run_timed(crowd);
	}
}

static const struct argp_option options[] = {
	{"port", 'p', "PORT", 0, "the VM's port", 0},
	{"connections", 'c', "COUNT", 0, "clients, each with a connection", 0},
	{"seconds", 's', "SECONDS", 0, "how long", 0},
	{"kind", 'k', "KIND", 0, "what they send", 0},
	{"body", 'b', "BYTES", 0, "bytes of a body", 0},
	{"name", 'n', "NAME", 0, "start of the requests' ids", 0},
	{"host", 'h', "HOST", 0, "host of the route", 0},
	{"path", 'a', "PATH", 0, "path of the requests", 0},
	{"method", 'm', "METHOD", 0, "method of the requests", 0},
	{"ids", 'i', 0, 0, "print each request's id and status", 0},
	{0},
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	crowd_settings_t *settings = state->input;

	switch (key) {
	case 'p':
		settings->port = atoi(arg);
		return 0;
	case 'c':
		settings->connections = atoi(arg);
		return 0;
	case 's':
		settings->seconds = atoi(arg);
		return 0;
	case 'b':
		settings->body_bytes = strtoul(arg, NULL, 10);
		return 0;
	case 'k':
		settings->kind = arg;
		return 0;
	case 'n':
		settings->name = arg;
		return 0;
	case 'h':
		settings->host = arg;
		return 0;
	case 'a':
		settings->path = arg;
		return 0;
	case 'm':
		settings->method = arg;
		return 0;
	case 'i':
		settings->print_ids = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const crowd_kind_t *find_kind(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		if (!g_strcmp0(name, kinds[i].name))
			return &kinds[i];
	return NULL;
}

static void print_counts(const crowd_t *crowd)
{
	printf("crowd connections=%" G_GUINT64_FORMAT " sent=%" G_GUINT64_FORMAT, crowd->connects,
	       crowd->requests);
	for (int i = 0; i < STATUS_MAX; i++)
		if (crowd->answers[i])
			printf(" %d=%" G_GUINT64_FORMAT, i, crowd->answers[i]);
	printf("\n");
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		options, parse_option, NULL, "Clients that don't behave.", 0, 0, 0};
	crowd_t crowd = {.settings = {.connections = 1,
				      .seconds = 1,
				      .body_bytes = 262144,
				      .name = "crowd",
				      .host = "a",
				      .path = "/",
				      .method = "POST"}};

	argp_parse(&argp, argc, argv, 0, NULL, &crowd.settings);
	crowd.kind = find_kind(crowd.settings.kind);
	if (!crowd.kind) {
		fprintf(stderr, "crowd: no such kind\n");
		return 1;
	}
	crowd.epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	crowd.clients = g_new0(client_t, crowd.settings.connections);
	for (int i = 0; i < crowd.settings.connections; i++) {
		crowd.clients[i].fd = -1;
		crowd.clients[i].due_us = 1;
		crowd.clients[i].start = g_string_new(NULL);
	}
	begin_request(&crowd, &crowd.clients[0]); /* the bytes of pipelined requests */
	crowd.requests = 0;
	crowd.rest = g_string_new(NULL);
	while (crowd.rest->len < WRITE_BYTES)
		g_string_append(crowd.rest, crowd.kind->rest	  ? crowd.kind->rest
					    : crowd.kind->headers ? " "
								  : crowd.clients[0].start->str);
	run(&crowd);
	print_counts(&crowd);
	return 0;
}
