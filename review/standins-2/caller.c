/**
 * @file caller.c
 * The callers and the operator of the review's scripts: sends requests to daemons that the script
 * has started, disturbs these daemons and the searchers, and checks the answers.
 *
 *   caller free FIRST_PORT COUNT                      exit 0 if these ports are free
 *   caller ready PORT                                 exit 0 if the daemon is ready
 *   caller foreign FIRST_PORT TROUBLE PID...          case 4
 *   caller limits FIRST_PORT TROUBLE PID...           case 5
 *   caller pipelined FIRST_PORT TROUBLE PID...        case 6
 *
 * FIRST_PORT is the store's, the next one is the stand-in's control port; see ../lib-2.sh for the
 * others. TROUBLE 0 leaves the disruption out. What is sent and answered goes to standard output.
 * Exit 0: the rule held, 1: it was broken, 2: the case could not run.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define EXIT_HELD 0
#define EXIT_BROKEN 1
#define EXIT_NOT_RUN 2

#define VMS_MAX 8
#define REPLY_MAX_BYTES 65536
#define TEXT_BYTES 1024
/* Longer than any request's deadline here. */
#define SOCKET_TIMEOUT_S 10

static int first_port;
static bool trouble;
static pid_t pids[VMS_MAX];
static int vm_count;
static uint64_t start_ms;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static atomic_int wrong_answers;

/** A reply as the caller sees it. */
typedef struct reply_t {
	int status; /* 0: the connection ended without a complete answer */
	bool close; /* the server announced that it closes the connection */
	char signature[TEXT_BYTES];
	char id[TEXT_BYTES];
	char stamps[TEXT_BYTES]; /* of a gather's parts */
} reply_t;

/** A connection to a server, kept open for several requests. */
typedef struct connection_t {
	int fd;
	size_t bytes;
	char data[REPLY_MAX_BYTES];
} connection_t;

/** A request of a caller. */
typedef struct request_t {
	char id[32];
	const char *method;
	const char *host;
	const char *path;
	int deadline_ms;
	size_t body_bytes;
} request_t;

/* ---- time and record ---- */

static uint64_t now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

static void sleep_ms(uint64_t ms)
{
	struct timespec time = {.tv_sec = (time_t)(ms / 1000),
				.tv_nsec = (long)(ms % 1000 * 1000000)};

	nanosleep(&time, NULL);
}

__attribute__((format(printf, 1, 2))) static void record(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	printf("%8.3f s  ", (double)(now_ms() - start_ms) / 1000);
	va_start(args, format);
	vprintf(format, args);
	va_end(args);
	printf("\n");
	fflush(stdout);
	pthread_mutex_unlock(&record_lock);
}

/* ---- connections ---- */

static int connect_to(int port)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	struct timeval timeout = {.tv_sec = SOCKET_TIMEOUT_S};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return fd;
	close(fd);
	return -1;
}

static connection_t *connection_open(int port)
{
	int fd = connect_to(port);
	connection_t *connection = fd < 0 ? NULL : calloc(1, sizeof(*connection));

	if (connection)
		connection->fd = fd;
	else if (fd >= 0)
		close(fd);
	return connection;
}

static void connection_close(connection_t *connection)
{
	if (!connection)
		return;
	close(connection->fd);
	free(connection);
}

static bool send_all(int fd, const char *data, size_t bytes)
{
	while (bytes) {
		ssize_t sent = send(fd, data, bytes, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		data += sent;
		bytes -= (size_t)sent;
	}
	return true;
}

static bool send_request(connection_t *connection, const request_t *request)
{
	char *text = calloc(1, 1024 + request->body_bytes);
	char length[64] = "";
	int head_bytes;
	bool sent;

	if (!text)
		return false;
	if (request->body_bytes)
		snprintf(length, sizeof(length), "Content-Length: %zu\r\n", request->body_bytes);
	head_bytes = snprintf(text, 1024,
			      "%s %s HTTP/1.1\r\nHost: %s\r\nDogwoodsaddle-Request-Id: %s\r\n"
			      "Dogwoodsaddle-Request-Deadline: %d\r\n%s\r\n",
			      request->method, request->path, request->host, request->id,
			      request->deadline_ms, length);
	memset(text + head_bytes, 'x', request->body_bytes);
	sent = send_all(connection->fd, text, (size_t)head_bytes + request->body_bytes);
	free(text);
	return sent;
}

/* Copies the value of a header of the head that ends at @p end; empty: the head has none. */
static void read_header(const char *head, const char *end, const char *name, char *out)
{
	size_t name_bytes = strlen(name);
	const char *line = strstr(head, "\r\n");

	out[0] = '\0';
	while (line && line < end) {
		line += 2;
		if (!strncasecmp(line, name, name_bytes) && line[name_bytes] == ':') {
			const char *value = line + name_bytes + 1;
			size_t bytes;

			value += strspn(value, " ");
			bytes = strcspn(value, "\r");
			snprintf(out, TEXT_BYTES, "%.*s", (int)bytes, value);
			return;
		}
		line = strstr(line, "\r\n");
	}
}

/* Returns the bytes of the first complete reply in the buffer; 0: there is none yet. */
static size_t parse_reply(const connection_t *connection, reply_t *reply)
{
	const char *end = strstr(connection->data, "\r\n\r\n");
	char text[TEXT_BYTES];
	size_t bytes;

	if (!end)
		return 0;
	read_header(connection->data, end, "Content-Length", text);
	bytes = (size_t)(end - connection->data) + 4 + strtoul(text, NULL, 10);
	if (connection->bytes < bytes)
		return 0;
	reply->status = atoi(connection->data + strlen("HTTP/1.1 "));
	read_header(connection->data, end, "Dogwoodsaddle-Response-Signature", reply->signature);
	read_header(connection->data, end, "Dogwoodsaddle-Request-Id", reply->id);
	read_header(connection->data, end, "Dogwoodsaddle-Part-Stamps", reply->stamps);
	read_header(connection->data, end, "Connection", text);
	reply->close = !strcasecmp(text, "close");
	return bytes;
}

static bool receive_reply(connection_t *connection, reply_t *reply)
{
	size_t bytes;

	*reply = (reply_t){0};
	while (!(bytes = parse_reply(connection, reply))) {
		size_t room = sizeof(connection->data) - 1 - connection->bytes;
		ssize_t got = recv(connection->fd, connection->data + connection->bytes, room, 0);

		if (got <= 0)
			return false;
		connection->bytes += (size_t)got;
		connection->data[connection->bytes] = '\0';
	}
	connection->bytes -= bytes;
	memmove(connection->data, connection->data + bytes, connection->bytes + 1);
	return true;
}

/* ---- the stand-in and the daemons ---- */

static int front_port(int vm)
{
	return first_port + 200 + 10 * vm;
}

/* Sends one call on a connection of its own; the reply's text goes to @p out. */
static bool call(int port, const char *method, const char *path, const char *body, char *out,
		 size_t out_bytes)
{
	connection_t *connection = connection_open(port);
	char head[512];
	size_t got = 0;
	ssize_t read;
	bool sent;

	if (!connection)
		return false;
	snprintf(head, sizeof(head),
		 "%s %s HTTP/1.1\r\nHost: loopback\r\nConnection: close\r\n"
		 "Content-Length: %zu\r\n\r\n",
		 method, path, strlen(body));
	sent = send_all(connection->fd, head, strlen(head)) &&
	       send_all(connection->fd, body, strlen(body));
	while (sent && got + 1 < out_bytes &&
	       (read = recv(connection->fd, out + got, out_bytes - 1 - got, 0)) > 0)
		got += (size_t)read;
	out[got] = '\0';
	connection_close(connection);
	return !strncmp(out, "HTTP/1.1 200", strlen("HTTP/1.1 200"));
}

static void control(const char *action, const char *id)
{
	char path[256];
	static char reply[REPLY_MAX_BYTES];

	snprintf(path, sizeof(path), "/do?action=%s&id=%s&n=0", action, id);
	if (!call(first_port + 1, "GET", path, "", reply, sizeof(reply))) {
		record("the stand-in does not answer");
		exit(EXIT_NOT_RUN);
	}
	record("stand-in: %s %s", action, id);
}

static bool is_fed(int vm)
{
	static char reply[REPLY_MAX_BYTES];
	const char *found;

	if (!call(front_port(vm) + 2, "GET", "/metrics", "", reply, sizeof(reply)))
		return false;
	found = strstr(reply, "dogwoodsaddle_store_is_fed ");
	return found && atoi(found + strlen("dogwoodsaddle_store_is_fed ")) == 1;
}

static void send_signal(int vm, int number, const char *name)
{
	kill(pids[vm], number);
	record("VM %d gets %s", vm, name);
}

/* ---- requests on connections of their own ---- */

/** A request that is sent on a connection of its own by a thread. */
typedef struct sender_t {
	pthread_t thread;
	int vm;
	const char *service; /* that may answer it; a prefix of the shards' names for a gather */
	request_t request;
} sender_t;

/* Whether a signature of the stand-in, i-SERVICE-ZONE.ID, names the request and its service. */
static bool is_own_signature(const sender_t *sender, const char *signature)
{
	char prefix[64], suffix[64];
	size_t bytes = strlen(signature), suffix_bytes;

	snprintf(prefix, sizeof(prefix), "i-%s", sender->service);
	snprintf(suffix, sizeof(suffix), ".%s", sender->request.id);
	suffix_bytes = strlen(suffix);
	return !strncmp(signature, prefix, strlen(prefix)) && bytes > suffix_bytes &&
	       !strcmp(signature + bytes - suffix_bytes, suffix);
}

static bool is_own_answer(const sender_t *sender, const reply_t *reply)
{
	char stamps[TEXT_BYTES], *rest = stamps, *stamp;

	if (!*reply->stamps)
		return is_own_signature(sender, reply->signature) &&
		       !strcmp(reply->id, sender->request.id);
	snprintf(stamps, sizeof(stamps), "%s", reply->stamps);
	while ((stamp = strtok_r(rest, ", ", &rest)))
		if (!is_own_signature(sender, stamp))
			return false;
	return true;
}

static int send_once(const sender_t *sender)
{
	connection_t *connection = connection_open(front_port(sender->vm));
	const request_t *request = &sender->request;
	reply_t reply = {0};

	if (!connection)
		return 0;
	record("%s %s is sent to VM %d", request->id, request->path, sender->vm);
	if (send_request(connection, request) && receive_reply(connection, &reply))
		record("%s is answered %d signature=%s id=%s stamps=%s", request->id, reply.status,
		       reply.signature, reply.id, reply.stamps);
	else
		record("%s gets no answer", request->id);
	if (reply.status / 100 == 2 && !is_own_answer(sender, &reply)) {
		atomic_fetch_add(&wrong_answers, 1);
		record("BROKEN: %s asked %s of service %s, and got the answer above", request->id,
		       request->path, sender->service);
	}
	connection_close(connection);
	return reply.status;
}

static void *run_sender(void *ctx)
{
	send_once(ctx);
	return NULL;
}

static void start_senders(sender_t *senders, int count)
{
	for (int i = 0; i < count; i++)
		if (pthread_create(&senders[i].thread, NULL, run_sender, &senders[i]))
			exit(EXIT_NOT_RUN);
}

static void join_senders(sender_t *senders, int count)
{
	for (int i = 0; i < count; i++)
		pthread_join(senders[i].thread, NULL);
}

/* ---- configurations ---- */

#define ROUTE_BYTES 512

/* @p targets: the members of the route that name its services */
static void write_route(char *out, const char *name, const char *targets)
{
	snprintf(out, ROUTE_BYTES,
		 "{\"name\":\"%s\",\"host\":\"get.example\",\"path-prefix\":\"/%s/\","
		 "\"route-type\":\"idempotent\",\"timeout-ms\":3900,"
		 "\"target-latency-ms\":3000,\"priority\":1,\"max-attempts\":2,%s}",
		 name, name, targets);
}

/* @p body_max: the longest body that callers may send */
static void configure(int version, int body_max)
{
	static const char gather[] = "\"top-k\":5,\"min-coverage\":0.6,\"fanout-services\":["
				     "\"shard-0\",\"shard-1\",\"shard-2\",\"shard-3\","
				     "\"shard-4\",\"shard-5\",\"shard-6\",\"shard-7\"]";
	static char reply[REPLY_MAX_BYTES], body[4096];
	char get[ROUTE_BYTES], q[ROUTE_BYTES], find[ROUTE_BYTES];

	write_route(get, "get", "\"service\":\"single\"");
	write_route(q, "q", "\"service\":\"shard-0\"");
	write_route(find, "find", gather);
	snprintf(body, sizeof(body),
		 "{\"meta\":{\"name\":\"main\"},\"spec\":{\"version\":%d,"
		 "\"routes\":[%s,%s,%s],"
		 "\"services\":[{\"name\":\"single\",\"max-connections\":140},"
		 "{\"name\":\"shard-0\",\"max-connections\":140}],"
		 "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":%d,"
		 "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}",
		 version, get, q, find, body_max);
	if (!call(first_port, "PUT", "/objects/config/main", body, reply, sizeof(reply))) {
		record("the store does not take the configuration");
		exit(EXIT_NOT_RUN);
	}
	record("the store has acknowledged version %d, max-body-bytes %d", version, body_max);
}

/* ---- case 4: an answer that belongs to another request ---- */

/* Requests that wait at the dark searchers when the VM is frozen, a few more for each next VM:
 * their number decides which memory is reused. */
#define WAITING_MIN 14
#define WAITING_MAX 20
#define WARM_REQUESTS 64
#define WARM_ROUNDS 3
#define AFTER_MS 2000
#define BODY_MAX 262144

static sender_t sender_for(int vm, const char *kind, int number, bool single)
{
	sender_t sender = {
		.vm = vm,
		.service = single ? "single-" : "shard-0-",
		.request = {.method = "GET", .host = "get.example", .deadline_ms = 3900}};

	sender.request.path = single ? "/get/x" : "/q/x";
	snprintf(sender.request.id, sizeof(sender.request.id), "%s%d-%d", kind, vm, number);
	return sender;
}

static void warm_up(int vm)
{
	sender_t senders[WARM_REQUESTS];

	for (int round = 0; round < WARM_ROUNDS; round++) {
		for (int i = 0; i < WARM_REQUESTS; i++)
			senders[i] = sender_for(vm, "warm", 100 * round + i, i % 8 == 0);
		start_senders(senders, WARM_REQUESTS);
		join_senders(senders, WARM_REQUESTS);
	}
}

static void ask_afterwards(int vm)
{
	sender_t sender = sender_for(vm, "after", 0, false);
	uint64_t end_ms = now_ms() + AFTER_MS;

	sender.service = "shard-";
	sender.request.path = "/find/x";
	for (int n = 0; now_ms() < end_ms && kill(pids[vm], 0) == 0; n++) {
		snprintf(sender.request.id, sizeof(sender.request.id), "after%d-%d", vm, n);
		send_once(&sender);
		sleep_ms(5);
	}
}

/* The VM stands still for 1.6 s. Meanwhile the searcher of "single" starts again under its id. */
static void freeze_while_searcher_restarts(int vm)
{
	send_signal(vm, SIGSTOP, "SIGSTOP");
	sleep_ms(400);
	control("born", "");
	control("ok", "i-");
	control("ready", "i-single-here");
	sleep_ms(1200);
	send_signal(vm, SIGCONT, "SIGCONT");
}

/*
 * A request times out at a searcher that went dark; its connection stays open. The searcher starts
 * again under its id while the VM is frozen. Other requests wait at other dark searchers.
 */
static void try_foreign(int vm)
{
	sender_t waiting[WAITING_MAX], early = sender_for(vm, "early", 0, true);
	int count = WAITING_MIN + 2 * vm % (WAITING_MAX - WAITING_MIN + 2);

	warm_up(vm);
	if (trouble) {
		control("hang", "i-single-here");
		control("hang", "i-shard-0-");
	}
	early.request.deadline_ms = 600;
	send_once(&early);
	sleep_ms(100);
	for (int i = 0; i < count; i++)
		waiting[i] = sender_for(vm, "waiting", i, false);
	start_senders(waiting, count);
	sleep_ms(100);
	if (trouble)
		freeze_while_searcher_restarts(vm);
	ask_afterwards(vm);
	join_senders(waiting, count);
	if (kill(pids[vm], 0))
		record("VM %d has ended by itself", vm);
}

static bool is_any_fed(void)
{
	for (int vm = 0; vm < vm_count; vm++)
		if (is_fed(vm))
			return true;
	return false;
}

static int run_foreign(void)
{
	configure(2, BODY_MAX);
	control("remove", "i-single-there");
	sleep_ms(5000);
	if (!is_any_fed()) {
		record("no VM is fed");
		return EXIT_NOT_RUN;
	}
	for (int vm = 0; vm < vm_count && !atomic_load(&wrong_answers); vm++)
		if (is_fed(vm))
			try_foreign(vm);
	record("%d answers belong to other requests", atomic_load(&wrong_answers));
	return atomic_load(&wrong_answers) ? EXIT_BROKEN : EXIT_HELD;
}

/* ---- case 5: limits of a former configuration ---- */

#define KEPT_CONNECTIONS 20
#define SMALL_BODY_MAX 8192
#define LARGE_BODY_BYTES 20000
/* config-apply-ms, and some more. */
#define APPLIED_MS 4000

static int ask_on(connection_t *connection, const char *kind, int number, size_t body_bytes)
{
	request_t request = {.method = "POST",
			     .host = "get.example",
			     .path = "/get/x",
			     .deadline_ms = 2000,
			     .body_bytes = body_bytes};
	reply_t reply = {0};

	snprintf(request.id, sizeof(request.id), "%s-%d", kind, number);
	record("%s %s with a body of %zu bytes is sent", request.id, request.path, body_bytes);
	if (!connection || !send_request(connection, &request) ||
	    !receive_reply(connection, &reply)) {
		record("%s gets no answer", request.id);
		return 0;
	}
	record("%s is answered %d signature=%s", request.id, reply.status, reply.signature);
	return reply.status;
}

/* Version 3 allows longer bodies than version 2. */
static int run_limits(void)
{
	connection_t *connections[KEPT_CONNECTIONS], *fresh;
	int denied = 0, served = 0;

	configure(2, trouble ? SMALL_BODY_MAX : BODY_MAX);
	sleep_ms(APPLIED_MS);
	for (int i = 0; i < KEPT_CONNECTIONS; i++) {
		connections[i] = connection_open(front_port(i % vm_count));
		served += ask_on(connections[i], "before", i, 100) == 200;
	}
	if (served < KEPT_CONNECTIONS)
		return EXIT_NOT_RUN;
	configure(3, BODY_MAX);
	sleep_ms(APPLIED_MS);
	fresh = connection_open(front_port(0));
	if (ask_on(fresh, "fresh", 0, LARGE_BODY_BYTES) != 200)
		return EXIT_NOT_RUN;
	connection_close(fresh);
	for (int i = 0; i < KEPT_CONNECTIONS; i++) {
		int status = ask_on(connections[i], "after", i, LARGE_BODY_BYTES);

		denied += status / 100 == 4 && status != 408 && status != 421 && status != 429;
		connection_close(connections[i]);
	}
	record("%d of %d requests that version 3 allows were denied", denied, KEPT_CONNECTIONS);
	return denied > 5 ? EXIT_BROKEN : EXIT_HELD;
}

/* ---- case 6: requests that were read before a planned stop ---- */

#define PIPELINING_CALLERS 6
/* loss-slack-ms */
#define LOSS_SLACK_MS 200

static request_t pipelined_request(int caller, int number)
{
	request_t request = {
		.method = "GET", .host = "get.example", .path = "/get/x", .deadline_ms = 3000};

	snprintf(request.id, sizeof(request.id), "c%d-%d", caller, number);
	return request;
}

/* Each caller sends two requests in a row on one connection; SIGTERM comes after them. */
static int run_pipelined(void)
{
	connection_t *connections[PIPELINING_CALLERS];
	uint64_t sent_ms;
	int lost = 0;

	configure(2, BODY_MAX);
	sleep_ms(APPLIED_MS);
	for (int i = 0; i < PIPELINING_CALLERS; i++) {
		connections[i] = connection_open(front_port(0));
		for (int n = 0; n < 2; n++) {
			request_t request = pipelined_request(i, n);

			if (!connections[i] || !send_request(connections[i], &request))
				return EXIT_NOT_RUN;
			record("%s is sent", request.id);
		}
	}
	sent_ms = now_ms();
	sleep_ms(100);
	if (trouble)
		send_signal(0, SIGTERM, "SIGTERM");
	for (int i = 0; i < PIPELINING_CALLERS; i++) {
		for (int n = 0; n < 2; n++) {
			reply_t reply;
			bool whole = receive_reply(connections[i], &reply);
			uint64_t after_ms = now_ms() - sent_ms;

			record("c%d-%d: status %d, %d ms after it was sent", i, n, reply.status,
			       (int)after_ms);
			lost += !whole && after_ms > LOSS_SLACK_MS;
		}
		connection_close(connections[i]);
	}
	record("%d requests got no answer, later than %d ms after they were sent", lost,
	       LOSS_SLACK_MS);
	return lost ? EXIT_BROKEN : EXIT_HELD;
}

/* ---- start ---- */

static int check_free(int first, int count)
{
	for (int port = first; port < first + count; port++) {
		struct sockaddr_in address = {.sin_family = AF_INET,
					      .sin_port = htons((uint16_t)port)};
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		int bound;

		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		bound = bind(fd, (struct sockaddr *)&address, sizeof(address));
		close(fd);
		if (bound)
			return EXIT_BROKEN;
	}
	return EXIT_HELD;
}

static int check_ready(int port)
{
	static char reply[REPLY_MAX_BYTES];

	return call(port, "GET", "/ready", "", reply, sizeof(reply)) ? EXIT_HELD : EXIT_BROKEN;
}

int main(int argc, char **argv)
{
	if (argc == 4 && !strcmp(argv[1], "free"))
		return check_free(atoi(argv[2]), atoi(argv[3]));
	if (argc == 3 && !strcmp(argv[1], "ready"))
		return check_ready(atoi(argv[2]));
	if (argc < 5)
		return EXIT_NOT_RUN;
	start_ms = now_ms();
	first_port = atoi(argv[2]);
	trouble = atoi(argv[3]) != 0;
	for (int i = 4; i < argc && vm_count < VMS_MAX; i++)
		pids[vm_count++] = (pid_t)atoi(argv[i]);
	if (!strcmp(argv[1], "foreign"))
		return run_foreign();
	if (!strcmp(argv[1], "limits"))
		return run_limits();
	if (!strcmp(argv[1], "pipelined"))
		return run_pipelined();
	return EXIT_NOT_RUN;
}
