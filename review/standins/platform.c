/**
 * @file platform.c
 * A stand-in for the users' platform: its store and its searchers, in one process with a thread for
 * each connection.
 *
 * Each searcher runs SLOTS requests at a time, queues QUEUE more and answers 503 with
 * Dogwoodsaddle-Not-Executed beyond that. A faulty searcher sends a share of its answers twice: the
 * second copy is sent late, when the next answer on the connection is due.
 *
 * Commands on standard input:
 *   put KIND NAME FILE     writes an object whose spec is in FILE, as an operator does
 *   silent N, open N       the store's port number N (from 0) takes calls and answers none; answers
 *   mute N                 connections that are open to port number N get nothing more; new ones
 * work state NAME STATE       a searcher reports ready or draining remove KIND NAME       removes
 * an object, as the platform does extra PERCENT          the share of the faulty searchers' answers
 * that are sent twice shed PERCENT           the share of requests that faulty searchers refuse
 * though they have room Standard output: a line for each sub-request that is run or refused, and
 * each late copy.
 */
#define _GNU_SOURCE
#include "peer.h"

#include <jansson.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PORTS_MAX 8
#define SEARCHERS_MAX 64
#define EVENTS_MAX 4096
#define OBJECTS_MAX 512
#define NAME_BYTES 64
#define RECORDS 4
#define RECORD_BYTES 16
/* Idle connections are closed after this time. */
#define IDLE_MS 60000

typedef struct object_t {
	char kind[NAME_BYTES], name[NAME_BYTES];
	json_t *json;
	bool used;
} object_t;

typedef struct event_t {
	char kind[NAME_BYTES];
	uint64_t revision;
	json_t *json;
} event_t;

typedef struct searcher_t {
	char id[NAME_BYTES], service[NAME_BYTES], zone[NAME_BYTES];
	int port;
	int64_t born_ms;
	bool faulty;
	int running, waiting;
	pthread_cond_t freed;
} searcher_t;

typedef struct connection_t {
	int fd;
	int store;	      /* index of the store's port; -1: a searcher's connection */
	searcher_t *searcher; /* NULL: a connection to the store */
} connection_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static object_t objects[OBJECTS_MAX];
static event_t events[EVENTS_MAX];
static uint32_t event_count;
static uint64_t revision = 1;
static bool silent[PORTS_MAX];
static uint32_t mutes[PORTS_MAX]; /* how often the connections to a port were muted */
static searcher_t searchers[SEARCHERS_MAX];
static int searcher_count, store_ports[PORTS_MAX], store_count;
static int slots = 2, queue = 4, work_ms = 20, extra_percent, shed_percent, spoil_percent;
static unsigned int seed = 1;

static void record(const char *format, ...)
{
	char text[512];
	va_list args;

	va_start(args, format);
	vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	printf("%lld %s\n", (long long)peer_now_ms(), text);
	fflush(stdout);
}

/* ---- the store ---- */

static object_t *find(const char *kind, const char *name)
{
	for (int i = 0; i < OBJECTS_MAX; i++)
		if (objects[i].used && !strcmp(objects[i].kind, kind) &&
		    !strcmp(objects[i].name, name))
			return &objects[i];
	return NULL;
}

static void add_event(const char *kind, json_t *object, bool deleted)
{
	event_t *event = &events[event_count++ % EVENTS_MAX];

	json_decref(event->json);
	snprintf(event->kind, sizeof(event->kind), "%s", kind);
	event->revision = revision;
	event->json = json_pack("{s:O,s:b}", "object", object, "deleted", deleted);
	pthread_cond_broadcast(&changed);
}

/* The lock is held. Takes ownership of @p spec. */
static object_t *put(const char *kind, const char *name, json_t *spec)
{
	object_t *object = find(kind, name);

	for (int i = 0; !object && i < OBJECTS_MAX; i++)
		if (!objects[i].used)
			object = &objects[i];
	if (!object)
		return NULL;
	if (object->used && json_equal(json_object_get(object->json, "spec"), spec)) {
		json_decref(spec);
		return object;
	}
	if (object->used)
		json_decref(object->json);
	object->used = true;
	snprintf(object->kind, sizeof(object->kind), "%s", kind);
	snprintf(object->name, sizeof(object->name), "%s", name);
	revision++;
	object->json =
		json_pack("{s:{s:s,s:I,s:I,s:[],s:b},s:o,s:n}", "meta", "name", name, "revision",
			  (json_int_t)revision, "create-rev", (json_int_t)revision, "finalizers",
			  "deleting", 0, "spec", spec, "status");
	add_event(kind, object->json, false);
	return object;
}

static void drop(object_t *object)
{
	revision++;
	add_event(object->kind, object->json, true);
	json_decref(object->json);
	object->used = false;
}

static json_t *list(const char *kind, const char *after)
{
	json_t *items = json_array();

	/* Names are listed in order, so that a list can be continued after one. */
	for (int i = 0; i < OBJECTS_MAX; i++) {
		size_t at = 0;

		if (!objects[i].used || strcmp(objects[i].kind, kind) ||
		    strcmp(objects[i].name, after) <= 0)
			continue;
		while (at < json_array_size(items) &&
		       strcmp(json_string_value(json_object_get(
				      json_object_get(json_array_get(items, at), "meta"), "name")),
			      objects[i].name) < 0)
			at++;
		json_array_insert(items, at, objects[i].json);
	}
	return json_pack("{s:o,s:b,s:I}", "items", items, "more", 0, "as-of", (json_int_t)revision);
}

static json_t *events_since(const char *kind, uint64_t since)
{
	json_t *found = json_array();
	uint32_t from = event_count > EVENTS_MAX ? event_count - EVENTS_MAX : 0;

	for (uint32_t i = from; i < event_count; i++) {
		const event_t *event = &events[i % EVENTS_MAX];

		if (event->revision > since && !strcmp(event->kind, kind))
			json_array_append(found, event->json);
	}
	return found;
}

static json_t *watch(const char *kind, uint64_t since, int wait_ms)
{
	struct timespec until;
	json_t *found = events_since(kind, since);

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += wait_ms / 1000;
	until.tv_nsec += wait_ms % 1000 * 1000000;
	if (until.tv_nsec >= 1000000000) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000;
	}
	while (!json_array_size(found) && !pthread_cond_timedwait(&changed, &lock, &until)) {
		json_decref(found);
		found = events_since(kind, since);
	}
	return json_pack("{s:o,s:I}", "events", found, "as-of", (json_int_t)revision);
}

static void query_value(const char *query, const char *key, char *out, size_t room)
{
	size_t key_bytes = strlen(key);

	*out = '\0';
	while (query && *query) {
		if (!strncmp(query, key, key_bytes) && query[key_bytes] == '=') {
			snprintf(out, room, "%.*s", (int)strcspn(query + key_bytes + 1, "&"),
				 query + key_bytes + 1);
			return;
		}
		query = strchr(query, '&');
		query = query ? query + 1 : NULL;
	}
}

static json_t *read_objects(const char *kind, const char *name, const char *query, int *status)
{
	char since[32], wait[32], after[NAME_BYTES];
	const object_t *object;

	query_value(query, "watch", since, sizeof(since));
	query_value(query, "wait-ms", wait, sizeof(wait));
	query_value(query, "after", after, sizeof(after));
	if (*name) {
		object = find(kind, name);
		*status = object ? 200 : 404;
		return object ? json_incref(object->json) : json_object();
	}
	return *since ? watch(kind, strtoull(since, NULL, 10), atoi(wait)) : list(kind, after);
}

static json_t *write_object(const char *method, const char *kind, const char *name,
			    const json_t *body, int *status)
{
	const char *named =
		json_string_value(json_object_get(json_object_get(body, "meta"), "name"));
	json_t *spec = json_object_get(body, "spec");
	bool create = !strcmp(method, "POST");
	object_t *object;

	if (create)
		name = named ? named : "";
	object = find(kind, name);
	if (create && object)
		*status = 409;
	else if (!create && !object)
		*status = 404;
	else if (!strcmp(method, "DELETE"))
		drop(object);
	else
		object = put(kind, name, spec ? json_incref(spec) : json_null());
	return *status == 200 && object && object->used ? json_incref(object->json) : json_object();
}

static bool serve_store(const peer_t *peer, const peer_message_t *request, int store,
			uint32_t mutes_before)
{
	char method[16] = "", target[256] = "", kind[NAME_BYTES] = "", name[NAME_BYTES] = "";
	char head[256], *text, *query;
	json_t *body, *reply;
	bool written;
	int status = 200;

	sscanf(request->start, "%15s %255s", method, target);
	query = strchr(target, '?');
	if (query)
		*query++ = '\0';
	sscanf(target, "/objects/%63[^/]/%63s", kind, name);
	body = json_loadb(request->body, request->body_bytes, JSON_DECODE_ANY, NULL);
	pthread_mutex_lock(&lock);
	if (!strcmp(method, "GET"))
		reply = read_objects(kind, name, query, &status);
	else
		reply = write_object(method, kind, name, body, &status);
	while (silent[store] || mutes[store] != mutes_before)
		pthread_cond_wait(&changed, &lock);
	text = json_dumps(reply, JSON_COMPACT);
	json_decref(reply);
	json_decref(body);
	pthread_mutex_unlock(&lock);
	snprintf(head, sizeof(head),
		 "HTTP/1.1 %d Status\r\nContent-Type: application/json\r\nContent-Length: "
		 "%zu\r\n\r\n",
		 status, strlen(text));
	written = peer_write(peer, head, strlen(head)) && peer_write(peer, text, strlen(text));
	free(text);
	return written;
}

/* ---- searchers ---- */

static void register_searcher(const searcher_t *searcher, const char *state)
{
	char address[32];

	snprintf(address, sizeof(address), "127.0.0.1:%d", searcher->port);
	put("servers", searcher->id,
	    json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i,s:I}", "service", searcher->service,
		      "address", address, "zone", searcher->zone, "version", "v1", "slots", slots,
		      "state", state, "cold-remaining-ms", 0, "seq", 1, "born",
		      (json_int_t)searcher->born_ms));
}

static void set_state(const char *id, const char *state)
{
	for (int i = 0; i < searcher_count; i++)
		if (!strcmp(searchers[i].id, id))
			register_searcher(&searchers[i], state);
}

/* Returns false if the searcher is full. */
static bool enter(searcher_t *searcher)
{
	bool entered = true;

	pthread_mutex_lock(&lock);
	if ((searcher->faulty && (int)(rand_r(&seed) % 100) < shed_percent) ||
	    (searcher->running >= slots && searcher->waiting >= queue)) {
		entered = false;
	} else {
		searcher->waiting++;
		while (searcher->running >= slots)
			pthread_cond_wait(&searcher->freed, &lock);
		searcher->waiting--;
		searcher->running++;
	}
	pthread_mutex_unlock(&lock);
	return entered;
}

static void leave(searcher_t *searcher)
{
	pthread_mutex_lock(&lock);
	searcher->running--;
	pthread_cond_signal(&searcher->freed);
	pthread_mutex_unlock(&lock);
}

static bool sends_twice(const searcher_t *searcher)
{
	bool twice;

	pthread_mutex_lock(&lock);
	twice = searcher->faulty && (int)(rand_r(&seed) % 100) < extra_percent;
	pthread_mutex_unlock(&lock);
	return twice;
}

/* Replaces one byte of the status code by a digit or a space. */
static void spoil(const searcher_t *searcher, char *reply)
{
	static const char wrong[] = "0123456789 ";
	size_t status_at = strlen("HTTP/1.1 ");

	pthread_mutex_lock(&lock);
	if (searcher->faulty && (int)(rand_r(&seed) % 100) < spoil_percent) {
		reply[status_at + (size_t)rand_r(&seed) % 3] =
			wrong[(size_t)rand_r(&seed) % (sizeof(wrong) - 1)];
		record("spoiled %s %.12s", searcher->id, reply);
	}
	pthread_mutex_unlock(&lock);
}

static void write_body(const searcher_t *searcher, char *body)
{
	for (int i = 0; i < RECORDS; i++)
		snprintf(body + (size_t)i * RECORD_BYTES, RECORD_BYTES + 1, "%08u%08u",
			 (unsigned int)(searcher - searchers) + 1, (unsigned int)i);
}

/* Runs or refuses the request; writes the answer to @p out. */
static void answer(searcher_t *searcher, const peer_t *peer, const peer_message_t *request,
		   char *out, size_t room)
{
	char id[NAME_BYTES], expected[NAME_BYTES], body[RECORDS * RECORD_BYTES + 1] = "";

	peer_header(request, "Dogwoodsaddle-Request-Id", id, sizeof(id));
	peer_header(request, "Dogwoodsaddle-Expected-Instance", expected, sizeof(expected));
	if (*expected && strcmp(expected, searcher->id)) {
		snprintf(out, room,
			 "HTTP/1.1 421 Misdirected\r\nDogwoodsaddle-Request-Id: %s\r\n"
			 "Content-Length: 0\r\n\r\n",
			 id);
		return;
	}
	if (!enter(searcher)) {
		record("refused %s %s", id, searcher->id);
		snprintf(out, room,
			 "HTTP/1.1 503 Full\r\nDogwoodsaddle-Request-Id: %s\r\n"
			 "Dogwoodsaddle-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
			 id);
		return;
	}
	if (peer_has_left(peer)) {
		leave(searcher);
		*out = '\0';
		return;
	}
	record("ran %s %s %s %s", id, searcher->id, searcher->service, request->start);
	peer_sleep_us(work_ms * 1000ll);
	leave(searcher);
	write_body(searcher, body);
	snprintf(out, room,
		 "HTTP/1.1 200 OK\r\nDogwoodsaddle-Request-Id: %s\r\n"
		 "Dogwoodsaddle-Response-Signature: %s.%s\r\nContent-Length: %zu\r\n\r\n%s",
		 id, searcher->id, id, strlen(body), body);
}

static void serve_searcher(peer_t *peer, searcher_t *searcher)
{
	char reply[1024], late[1024] = "";
	peer_message_t request;

	while (peer_read(peer, &request, peer_now_ms() + IDLE_MS) == 1) {
		answer(searcher, peer, &request, reply, sizeof(reply));
		peer_consume(peer, &request);
		if (*reply)
			spoil(searcher, reply);
		if (*late) {
			record("extra %s", searcher->id);
			if (!peer_write(peer, late, strlen(late)))
				return;
		}
		snprintf(late, sizeof(late), "%s", sends_twice(searcher) ? reply : "");
		if (!*reply || !peer_write(peer, reply, strlen(reply)))
			return;
	}
}

/* ---- connections ---- */

static void *serve(void *ctx)
{
	connection_t *connection = ctx;
	uint32_t mutes_before = connection->searcher ? 0 : mutes[connection->store];
	peer_message_t request;
	peer_t peer;

	peer_init(&peer, connection->fd);
	if (connection->searcher)
		serve_searcher(&peer, connection->searcher);
	while (!connection->searcher && peer_read(&peer, &request, peer_now_ms() + IDLE_MS) == 1) {
		if (!serve_store(&peer, &request, connection->store, mutes_before))
			break;
		peer_consume(&peer, &request);
	}
	peer_close(&peer);
	free(connection);
	return NULL;
}

static void start_thread(void *(*run)(void *), void *ctx)
{
	pthread_attr_t attributes;
	pthread_t thread;

	pthread_attr_init(&attributes);
	pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attributes, 256 * 1024);
	if (pthread_create(&thread, &attributes, run, ctx))
		fprintf(stderr, "platform: no thread\n");
	pthread_attr_destroy(&attributes);
}

static void *accept_all(void *ctx)
{
	connection_t *listener = ctx;
	int fd;

	while ((fd = accept4(listener->fd, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		connection_t *connection = malloc(sizeof(*connection));

		*connection = *listener;
		connection->fd = fd;
		start_thread(serve, connection);
	}
	free(listener);
	return NULL;
}

static bool listen_at(int port, int store, searcher_t *searcher)
{
	connection_t *listener = malloc(sizeof(*listener));

	*listener = (connection_t){.fd = peer_listen(port), .store = store, .searcher = searcher};
	if (listener->fd < 0) {
		fprintf(stderr, "platform: cannot listen on port %d\n", port);
		free(listener);
		return false;
	}
	start_thread(accept_all, listener);
	return true;
}

/* ---- commands ---- */

static void execute(const char *line)
{
	char word[16] = "", first[NAME_BYTES] = "", second[NAME_BYTES] = "", file[256] = "";
	json_t *spec;

	sscanf(line, "%15s %63s %63s %255s", word, first, second, file);
	pthread_mutex_lock(&lock);
	if (!strcmp(word, "put")) {
		spec = json_load_file(file, 0, NULL);
		if (spec && put(first, second, spec))
			record("acknowledged %s/%s %s", first, second, file);
	} else if (!strcmp(word, "silent") || !strcmp(word, "open")) {
		silent[atoi(first) % PORTS_MAX] = !strcmp(word, "silent");
		record("store-port %s %s", first, word);
		pthread_cond_broadcast(&changed);
	} else if (!strcmp(word, "mute")) {
		mutes[atoi(first) % PORTS_MAX]++;
		record("store-port %s muted", first);
	} else if (!strcmp(word, "state")) {
		set_state(first, second);
		record("acknowledged servers/%s %s", first, second);
	} else if (!strcmp(word, "remove") && find(first, second)) {
		drop(find(first, second));
		record("acknowledged %s/%s removed", first, second);
	} else if (!strcmp(word, "extra")) {
		extra_percent = atoi(first);
		record("faulty searchers send %d in 100 answers twice", extra_percent);
	} else if (!strcmp(word, "spoil")) {
		spoil_percent = atoi(first);
		record("faulty searchers spoil %d in 100 answers", spoil_percent);
	} else if (!strcmp(word, "shed")) {
		shed_percent = atoi(first);
		record("faulty searchers refuse %d in 100 requests", shed_percent);
	}
	pthread_mutex_unlock(&lock);
}

static bool add_searcher(const char *text)
{
	searcher_t *searcher = &searchers[searcher_count];
	char faulty[16] = "";

	if (searcher_count == SEARCHERS_MAX ||
	    sscanf(text, "%63[^:]:%63[^:]:%63[^:]:%d:%15s", searcher->id, searcher->service,
		   searcher->zone, &searcher->port, faulty) < 4)
		return false;
	searcher->faulty = !strcmp(faulty, "faulty");
	pthread_cond_init(&searcher->freed, NULL);
	searcher_count++;
	return true;
}

static int usage(void)
{
	fprintf(stderr, "platform [--store PORT]... [--searcher ID:SERVICE:ZONE:PORT[:faulty]]... "
			"[--slots N] [--queue N] [--work-ms N]\n");
	return 2;
}

static bool read_argument(const char *name, const char *value)
{
	if (!strcmp(name, "--store") && store_count < PORTS_MAX)
		store_ports[store_count++] = atoi(value);
	else if (!strcmp(name, "--searcher"))
		return add_searcher(value);
	else if (!strcmp(name, "--slots"))
		slots = atoi(value);
	else if (!strcmp(name, "--queue"))
		queue = atoi(value);
	else if (!strcmp(name, "--work-ms"))
		work_ms = atoi(value);
	else
		return false;
	return true;
}

int main(int argc, char **argv)
{
	char line[512];

	for (int i = 1; i < argc; i += 2)
		if (i + 1 == argc || !read_argument(argv[i], argv[i + 1]))
			return usage();
	for (int i = 0; i < store_count; i++)
		if (!listen_at(store_ports[i], i, NULL))
			return 2;
	for (int i = 0; i < searcher_count; i++) {
		if (!listen_at(searchers[i].port, -1, &searchers[i]))
			return 2;
		pthread_mutex_lock(&lock);
		searchers[i].born_ms = peer_now_ms();
		register_searcher(&searchers[i], "ready");
		pthread_mutex_unlock(&lock);
	}
	while (fgets(line, sizeof(line), stdin))
		execute(line);
	pause();
	return 0;
}
