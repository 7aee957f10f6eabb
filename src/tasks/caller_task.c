/**
 * @file caller_task.c
 * See caller_task.h. docs/API.md is the page for callers.
 */
#include "tasks/caller_task.h"

#include "commands/action.h"
#include "queries/problem.h"
#include "queries/search.h"

#include <stdlib.h>
#include <string.h>

#define BODY_LIMIT_BYTES 65536
#define TIMEOUT_MAX_MS 600000
#define ID_LIMIT 128
/* The load balancer has other VMs for the caller's next attempt. */
#define STOPPING_RETRY_AFTER_US 1000000

struct caller_task_t {
	loop_t *loop;
	query_task_t *queries;
	http_server_t *server;
	char *vm_name;
	uint64_t last_id;
	uint64_t last_request_us;
	uint64_t stop_us; /* when the process ends; UINT64_MAX: not known */
};

/** One kind of request that callers may send. */
typedef struct route_t {
	const char *method;
	const char *resource; /* path component after the service's name */
	service_kind_t kind;
	bool takes_id; /* a record id follows the resource */
	bool (*parse)(http_exchange_t *exchange, const char *id, request_t *request, err_t *err);
} route_t;

static bool parse_search(http_exchange_t *exchange, const char *id, request_t *request, err_t *err)
{
	(void)id;
	return search_parse(http_exchange_body(exchange), request, err);
}

static bool parse_record(http_exchange_t *exchange, const char *id, request_t *request, err_t *err)
{
	(void)exchange;
	if (!*id || strlen(id) > ID_LIMIT)
		return err_set(err, ERR_VALUE, "the record id must be of 1 to %d bytes", ID_LIMIT);
	request->record_id = g_strdup(id);
	return true;
}

static bool parse_action(http_exchange_t *exchange, const char *id, request_t *request, err_t *err)
{
	(void)id;
	return action_parse(http_exchange_header(exchange, "idempotency-key"),
			    http_exchange_body(exchange), request, err);
}

static const route_t routes[] = {
	{.method = "POST", .resource = "search", .kind = SERVICE_GATHER, .parse = parse_search},
	{.method = "GET",
	 .resource = "records",
	 .kind = SERVICE_LOOKUP,
	 .takes_id = true,
	 .parse = parse_record},
	{.method = "POST", .resource = "actions", .kind = SERVICE_ONCE, .parse = parse_action},
};

static void reply_problem(http_exchange_t *exchange, refusal_t refusal, const char *detail,
			  const char *request_id, uint64_t retry_after_us)
{
	g_autofree char *text = problem_format(refusal, detail, request_id, retry_after_us);

	if (request_id)
		http_exchange_add_header(exchange, "request-id", request_id);
	http_exchange_reply(exchange, refusal_class(refusal)->status, PROBLEM_CONTENT_TYPE, text,
			    strlen(text));
}

/* ---- headers common to all requests ---- */

static bool id_is_valid(const char *id)
{
	if (!*id || strlen(id) > ID_LIMIT)
		return false;
	for (; *id; id++)
		if (!g_ascii_isalnum(*id) && !strchr("-_.", *id))
			return false;
	return true;
}

static bool read_id(caller_task_t *task, http_exchange_t *exchange, request_t *request, err_t *err)
{
	const char *id = http_exchange_header(exchange, "request-id");

	if (id && !id_is_valid(id))
		return err_set(err, ERR_VALUE,
			       "Request-Id must be 1 to %d of letters, digits, '-', '_' and '.'",
			       ID_LIMIT);
	request->id = id ? g_strdup(id)
			 : g_strdup_printf("%s-%" G_GUINT64_FORMAT, task->vm_name, ++task->last_id);
	return true;
}

static bool read_class(http_exchange_t *exchange, request_t *request, err_t *err)
{
	const char *text = http_exchange_header(exchange, "request-class");

	request->class = CLASS_NORMAL;
	if (text && !request_class_parse(text, &request->class))
		return err_set(err, ERR_VALUE,
			       "Request-Class must be urgent, normal or background");
	return true;
}

static bool read_deadline(http_exchange_t *exchange, const service_t *service, request_t *request,
			  err_t *err)
{
	const char *text = http_exchange_header(exchange, "request-timeout-ms");
	guint64 timeout_ms = service->timeout_us / 1000;

	if (text && !g_ascii_string_to_unsigned(text, 10, 1, TIMEOUT_MAX_MS, &timeout_ms, NULL))
		return err_set(err, ERR_VALUE,
			       "Request-Timeout-Ms must be a whole number from 1 to %d",
			       TIMEOUT_MAX_MS);
	request->deadline_us = loop_now_us() + MIN(timeout_ms * 1000, service->timeout_us);
	return true;
}

/* ---- routing ---- */

static const route_t *find_route(const char *resource, bool has_id)
{
	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++)
		if (g_str_equal(routes[i].resource, resource) && routes[i].takes_id == has_id)
			return &routes[i];
	return NULL;
}

static void submit(caller_task_t *task, http_exchange_t *exchange, request_t *request)
{
	ticket_t *ticket = ticket_new(exchange, request->id);

	http_exchange_set_data(exchange, ticket);
	query_task_submit(task->queries, ticket, request);
}

static bool parse_request(caller_task_t *task, http_exchange_t *exchange, const route_t *route,
			  const service_t *service, const char *id, request_t *request, err_t *err)
{
	request->service = g_strdup(service->name);
	request->kind = service->kind;
	return read_id(task, exchange, request, err) && read_class(exchange, request, err) &&
	       read_deadline(exchange, service, request, err) &&
	       route->parse(exchange, id, request, err);
}

static void serve(caller_task_t *task, http_exchange_t *exchange, const route_t *route,
		  const service_t *service, const char *id)
{
	request_t *request = request_new();
	err_t err = {0};

	if (!parse_request(task, exchange, route, service, id, request, &err)) {
		reply_problem(exchange, REFUSAL_BAD_REQUEST, err.text, request->id, 0);
		request_free(request);
	} else if (request->deadline_us > task->stop_us) {
		reply_problem(exchange, REFUSAL_NO_TIME, "this VM stops before the deadline",
			      request->id, STOPPING_RETRY_AFTER_US);
		request_free(request);
	} else {
		submit(task, exchange, request);
	}
}

/* "/v1/services/NAME/RESOURCE[/ID]" */
static void route(caller_task_t *task, http_exchange_t *exchange)
{
	g_auto(GStrv) parts = g_strsplit(http_exchange_path(exchange), "/", 0);
	guint count = g_strv_length(parts);
	bool known = count >= 5 && count <= 6 && g_str_equal(parts[1], "v1") &&
		     g_str_equal(parts[2], "services");
	const service_t *service =
		known ? engine_service(query_task_engine(task->queries), parts[3]) : NULL;
	const route_t *found = known ? find_route(parts[4], count == 6) : NULL;
	g_autofree char *detail = NULL;

	if (known && !active_config_number(query_task_active_config(task->queries))) {
		reply_problem(exchange, REFUSAL_NOT_READY, NULL, NULL, 1000000);
		return;
	}
	if (!service || !found) {
		detail = known && !service
				 ? g_strdup_printf("no service is named \"%.63s\"", parts[3])
				 : g_strdup("paths are /v1/services/{service}/search, "
					    "/records/{id} and /actions");
		reply_problem(exchange, REFUSAL_UNKNOWN_SERVICE, detail, NULL, 0);
		return;
	}
	if (!g_str_equal(http_exchange_method(exchange), found->method)) {
		detail = g_strdup_printf("use %s", found->method);
		http_exchange_add_header(exchange, "allow", found->method);
		reply_problem(exchange, REFUSAL_WRONG_METHOD, detail, NULL, 0);
		return;
	}
	if (service->kind != found->kind) {
		detail = g_strdup_printf("\"%s\" is a %s service; /%s needs a %s one",
					 service->name, service_kind_name(service->kind),
					 found->resource, service_kind_name(found->kind));
		reply_problem(exchange, REFUSAL_BAD_REQUEST, detail, NULL, 0);
		return;
	}
	serve(task, exchange, found, service, count == 6 ? parts[5] : "");
}

/* ---- HTTP server callbacks ---- */

static void on_request(void *ctx, http_exchange_t *exchange)
{
	caller_task_t *task = ctx;

	task->last_request_us = loop_now_us();
	route(task, exchange);
}

static void on_disconnected(void *ctx, http_exchange_t *exchange)
{
	caller_task_t *task = ctx;
	ticket_t *ticket = http_exchange_data(exchange);

	if (!ticket)
		return;
	ticket->gone = true;
	query_task_abandon(task->queries, ticket);
}

static char *error_body(void *ctx, int status, const char *detail)
{
	refusal_t refusal = status == 413   ? REFUSAL_TOO_LARGE
			    : status == 408 ? REFUSAL_SLOW_BODY
			    : status == 411 ? REFUSAL_LENGTH_REQUIRED
			    : status == 503 ? REFUSAL_QUEUE_FULL
					    : REFUSAL_BAD_REQUEST;

	(void)ctx;
	return problem_format(refusal, detail, NULL,
			      refusal == REFUSAL_QUEUE_FULL ? HTTP_SERVER_RETRY_AFTER_US : 0);
}

static void receive_reply(void *self, void *message)
{
	ticket_reply_t *reply = message;
	http_exchange_t *exchange = reply->ticket->exchange;

	(void)self;
	http_exchange_set_data(exchange, NULL);
	http_exchange_add_header(exchange, "request-id", reply->ticket->request_id);
	if (reply->snapshot) {
		http_exchange_add_header(exchange, "snapshot", reply->snapshot);
		http_exchange_add_header(exchange, "coverage", reply->coverage);
		http_exchange_add_header(exchange, "complete", reply->complete ? "true" : "false");
	}
	if (reply->retry_after_us) {
		g_autofree char *seconds = g_strdup_printf(
			"%" G_GUINT64_FORMAT, (reply->retry_after_us + 999999) / 1000000);

		http_exchange_add_header(exchange, "retry-after", seconds);
	}
	http_exchange_reply(exchange, reply->status, reply->content_type, reply->body,
			    strlen(reply->body));
	ticket_reply_free(reply);
}

static void on_reply(void *ctx, ticket_reply_t *reply)
{
	caller_task_t *task = ctx;

	loop_post(task->loop, receive_reply, task, reply);
}

caller_task_t *caller_task_new(loop_t *loop, const settings_t *settings, query_task_t *queries)
{
	static const http_server_ops_t server_ops = {.request = on_request,
						     .disconnected = on_disconnected,
						     .error_body = error_body,
						     .requires_length = true};
	static const query_task_ops_t query_ops = {.reply = on_reply};
	caller_task_t *task = g_new0(caller_task_t, 1);

	task->loop = loop;
	task->queries = queries;
	task->vm_name = g_strdup(settings->vm_name);
	task->stop_us = UINT64_MAX;
	task->last_id = loop_wall_ms() << 8; /* ids aren't reused after a restart */
	query_task_set_ops(queries, &query_ops, task);
	task->server =
		http_server_new(loop, settings->listen_address, (uint16_t)settings->callers_port,
				&HTTP_SERVER_INTERNAL_LIMITS(BODY_LIMIT_BYTES), &server_ops, task);
	if (task->server) {
		http_server_leave_descriptors(task->server);
		http_server_pace(task->server, pacing_new(loop, settings_excess_ppm(settings)));
		http_server_limit_memory(task->server,
					 http_memory_new(settings_requests_bytes(settings)),
					 http_memory_new(settings_open_requests_bytes(settings)));
		return task;
	}
	g_free(task->vm_name);
	g_free(task);
	return NULL;
}

void caller_task_drain(caller_task_t *task)
{
	http_server_drain(task->server);
}

void caller_task_stop_at(caller_task_t *task, uint64_t stop_us)
{
	task->stop_us = stop_us;
}

uint32_t caller_task_open_requests(const caller_task_t *task)
{
	return http_server_open_exchanges(task->server);
}

uint64_t caller_task_last_request_us(const caller_task_t *task)
{
	return task->last_request_us;
}
