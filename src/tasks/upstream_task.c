/**
 * @file upstream_task.c
 * See upstream_task.h.
 */
#include "tasks/upstream_task.h"

#include "net/http_pool.h"

#include <stdio.h>

#define SLOTS_MAX 32
#define PROBE_TIMEOUT_US 1000000

typedef struct endpoint_t {
	char *key;
	struct searcher_call_t *slots[SLOTS_MAX];
	GQueue pending; /* sub_request_t waiting for a slot; a slot that is closing is still busy */
	bool probing;
	bool probe_reuses_connection; /* the current probe uses the previous probe's connection */
} endpoint_t;

/** A sub-request in flight on a connection. */
typedef struct searcher_call_t {
	upstream_task_t *task;
	endpoint_t *endpoint;
	uint32_t slot;
	sub_request_t *request;
	http_call_t *call;
	bool cancelled;
} searcher_call_t;

typedef struct probe_t {
	upstream_task_t *task;
	endpoint_t *endpoint;
	void *upstream;
	char *address;
	uint16_t port;
	http_call_t *call;
	loop_timer_t timer;
} probe_t;

struct upstream_task_t {
	loop_t *loop;
	const upstream_task_ops_t *ops;
	void *ctx;
	http_pool_t *pool;
	http_pool_t *probe_pool;
	GHashTable *endpoints;	    /* key -> endpoint_t */
	GHashTable *searcher_calls; /* attempt id -> searcher_call_t */
};

static void sub_request_free(sub_request_t *request)
{
	g_free(request->address);
	g_free(request->path);
	g_free(request->headers);
	g_free(request->body);
	g_free(request);
}

upstream_task_t *upstream_task_new(loop_t *loop, http_memory_t *memory,
				   const upstream_task_ops_t *ops, void *ctx)
{
	upstream_task_t *task = g_new0(upstream_task_t, 1);

	task->loop = loop;
	task->ops = ops;
	task->ctx = ctx;
	task->pool = http_pool_new(loop, memory, SLOTS_MAX);
	task->probe_pool = http_pool_new(loop, memory, 1);
	task->endpoints = g_hash_table_new(g_str_hash, g_str_equal);
	task->searcher_calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	return task;
}

static endpoint_t *endpoint_of(upstream_task_t *task, const char *address, uint16_t port)
{
	char key[64];
	endpoint_t *endpoint;

	g_snprintf(key, sizeof(key), "%s:%u", address, port);
	endpoint = g_hash_table_lookup(task->endpoints, key);
	if (endpoint)
		return endpoint;
	endpoint = g_new0(endpoint_t, 1);
	endpoint->key = g_strdup(key);
	g_queue_init(&endpoint->pending);
	g_hash_table_insert(task->endpoints, endpoint->key, endpoint);
	return endpoint;
}

static reply_t *reply_of_call(const http_call_t *call)
{
	const GString *body = http_call_reply(call);

	switch (http_call_result(call)) {
	case HTTP_CALL_REPLIED:
		return reply_parse(http_call_status(call), body->str, body->len);
	case HTTP_CALL_NOT_SENT:
		return reply_new(REPLY_NOT_SENT);
	default:
		return reply_new(REPLY_CONNECTION_LOST);
	}
}

static void start_pending(upstream_task_t *task, endpoint_t *endpoint);

static void flight_finished(void *ctx, http_call_t *call)
{
	searcher_call_t *searcher_call = ctx;
	upstream_task_t *task = searcher_call->task;
	endpoint_t *endpoint = searcher_call->endpoint;

	endpoint->slots[searcher_call->slot] = NULL;
	if (!searcher_call->cancelled) {
		g_hash_table_remove(task->searcher_calls, &searcher_call->request->attempt_id);
		task->ops->ended(task->ctx, searcher_call->request->attempt_id,
				 reply_of_call(call));
	}
	sub_request_free(searcher_call->request);
	g_free(searcher_call);
	start_pending(task, endpoint);
}

static void start_flight(upstream_task_t *task, endpoint_t *endpoint, uint32_t slot,
			 sub_request_t *request)
{
	searcher_call_t *searcher_call = g_new0(searcher_call_t, 1);
	http_request_t http = {.method = request->method,
			       .address = request->address,
			       .port = request->port,
			       .path = request->path,
			       .headers = request->headers,
			       .body = request->body,
			       .body_bytes = request->body ? strlen(request->body) : 0,
			       .fresh_connection = request->fresh_connection,
			       .finished = flight_finished,
			       .ctx = searcher_call};

	*searcher_call = (searcher_call_t){
		.task = task, .endpoint = endpoint, .slot = slot, .request = request};
	endpoint->slots[slot] = searcher_call;
	g_hash_table_insert(task->searcher_calls, &request->attempt_id, searcher_call);
	searcher_call->call = http_pool_start(task->pool, slot, &http);
}

/*
 * The slots that a request may use. A fresh connection in a slot that holds an idle one would make
 * two connections, and the searcher's limit could be exceeded. So the last slot is reserved for
 * fresh connections. Actions always use fresh connections, and no idle ones are kept beside them.
 */
static void slot_range(const sub_request_t *request, uint32_t *first, uint32_t *end)
{
	uint32_t slots = MIN(request->connections, SLOTS_MAX);
	bool all_fresh = g_str_equal(request->method, "POST");

	*first = 0;
	*end = slots;
	if (all_fresh || slots < 2)
		return;
	if (request->fresh_connection)
		*first = slots - 1;
	else
		*end = slots - 1;
}

static bool start_in_free_slot(upstream_task_t *task, endpoint_t *endpoint, sub_request_t *request)
{
	uint32_t slot, end;

	slot_range(request, &slot, &end);
	while (slot < end && endpoint->slots[slot])
		slot++;
	if (slot == end)
		return false;
	start_flight(task, endpoint, slot, request);
	return true;
}

static void start_pending(upstream_task_t *task, endpoint_t *endpoint)
{
	GQueue waiting = endpoint->pending;
	sub_request_t *request;

	g_queue_init(&endpoint->pending);
	while ((request = g_queue_pop_head(&waiting)))
		if (!start_in_free_slot(task, endpoint, request))
			g_queue_push_tail(&endpoint->pending, request);
}

static void receive_request(void *self, void *message)
{
	upstream_task_t *task = self;
	sub_request_t *request = message;
	endpoint_t *endpoint = endpoint_of(task, request->address, request->port);

	g_queue_push_tail(&endpoint->pending, request);
	start_pending(task, endpoint);
}

static bool drop_pending(upstream_task_t *task, uint64_t attempt_id)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, task->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		endpoint_t *endpoint = value;

		for (GList *item = endpoint->pending.head; item; item = item->next) {
			sub_request_t *request = item->data;

			if (request->attempt_id != attempt_id)
				continue;
			g_queue_delete_link(&endpoint->pending, item);
			sub_request_free(request);
			return true;
		}
	}
	return false;
}

/* Closing the connection is what cancels a sub-request at the searcher. It also gets rid of a
 * connection that may be dead. */
static void receive_cancel(void *self, void *message)
{
	upstream_task_t *task = self;
	uint64_t *attempt_id = message;
	searcher_call_t *searcher_call = g_hash_table_lookup(task->searcher_calls, attempt_id);

	if (searcher_call) {
		g_hash_table_remove(task->searcher_calls, attempt_id);
		searcher_call->cancelled = true;
		http_call_cancel(searcher_call->call);
	} else {
		drop_pending(task, *attempt_id);
	}
	g_free(attempt_id);
}

void upstream_task_send(upstream_task_t *task, sub_request_t *request)
{
	loop_post(task->loop, receive_request, task, request);
}

void upstream_task_cancel(upstream_task_t *task, uint64_t attempt_id)
{
	uint64_t *message = g_new(uint64_t, 1);

	*message = attempt_id;
	loop_post(task->loop, receive_cancel, task, message);
}

/* ---- health probes ---- */

static probe_result_t probe_result_of(const http_call_t *call, const upstream_report_t *report)
{
	if (http_call_result(call) == HTTP_CALL_NOT_SENT)
		return PROBE_REFUSED;
	return report ? PROBE_REPORTED : PROBE_NO_REPORT;
}

static void probe_finished(void *ctx, http_call_t *call)
{
	probe_t *probe = ctx;
	upstream_task_t *task = probe->task;
	upstream_report_t *report = NULL;
	const GString *body = http_call_reply(call);
	bool replied = http_call_result(call) == HTTP_CALL_REPLIED;

	loop_timer_cancel(&probe->timer);
	probe->endpoint->probing = false;
	probe->endpoint->probe_reuses_connection = replied;
	if (replied)
		report = reply_parse_health(http_call_status(call), body->str, body->len);
	task->ops->probed(task->ctx, probe->upstream, report, probe_result_of(call, report));
	g_free(probe->address);
	g_free(probe);
}

static void probe_timeout(void *ctx)
{
	http_call_cancel(((probe_t *)ctx)->call);
}

static void receive_probe(void *self, void *message)
{
	upstream_task_t *task = self;
	probe_t *probe = message;
	http_request_t http = {.method = "GET",
			       .address = probe->address,
			       .port = probe->port,
			       .path = "/health",
			       .finished = probe_finished,
			       .ctx = probe};

	probe->endpoint = endpoint_of(task, probe->address, probe->port);
	/*
	 * The previous probe is still outstanding. If it opened its own connection, the searcher is
	 * unresponsive. If it reused a keep-alive connection, only that connection may be dead.
	 * If that counted as a failure too, one dead connection would make three failures. If all
	 * connections died at once, whole groups of healthy searchers would count as down, and
	 * answers would be partial for a second. The probe's own time-out counts once, and the next
	 * probe opens a new connection.
	 */
	if (probe->endpoint->probing) {
		task->ops->probed(task->ctx, probe->upstream, NULL,
				  probe->endpoint->probe_reuses_connection ? PROBE_INCONCLUSIVE
									   : PROBE_NO_REPORT);
		g_free(probe->address);
		g_free(probe);
		return;
	}
	probe->endpoint->probing = true;
	probe->timer.fire = probe_timeout;
	probe->timer.ctx = probe;
	loop_timer_set(task->loop, &probe->timer, PROBE_TIMEOUT_US);
	probe->call = http_pool_start(task->probe_pool, 0, &http);
}

void upstream_task_probe(upstream_task_t *task, void *upstream, const char *address, uint16_t port)
{
	probe_t *probe = g_new0(probe_t, 1);

	probe->task = task;
	probe->upstream = upstream;
	probe->address = g_strdup(address);
	probe->port = port;
	loop_post(task->loop, receive_probe, task, probe);
}
