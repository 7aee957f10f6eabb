/**
 * @file admin_task.c
 * See admin_task.h. docs/OPERATING.md is the page for operators.
 */
#include "tasks/admin_task.h"

#include "commands/intent.h"
#include "commands/propose.h"
#include "queries/problem.h"

#include <stdlib.h>
#include <string.h>

#define BODY_LIMIT_BYTES (1u << 20)

struct admin_task_t {
	loop_t *loop;
	const status_source_t *source;
	config_task_t *configs;
	http_server_t *server;
};

/** One method and path served on the admin address. */
typedef struct admin_route_t {
	const char *method;
	const char *path;
	bool unauthenticated; /* served without the operators' token */
	void (*serve)(admin_task_t *task, http_exchange_t *exchange);
} admin_route_t;

static void reply_text(http_exchange_t *exchange, int status, const char *text)
{
	http_exchange_reply(exchange, status, "text/plain", text, strlen(text));
}

static void reply_json(http_exchange_t *exchange, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	http_exchange_reply(exchange, status, "application/json", text, strlen(text));
	free(text);
	json_decref(body);
}

static void reply_problem(http_exchange_t *exchange, refusal_t refusal, const char *detail)
{
	g_autofree char *text = problem_format(refusal, detail, NULL, 0);

	http_exchange_reply(exchange, refusal_class(refusal)->status, PROBLEM_CONTENT_TYPE, text,
			    strlen(text));
}

static void serve_health(admin_task_t *task, http_exchange_t *exchange)
{
	(void)task;
	reply_text(exchange, 200, "ok\n");
}

static void serve_ready(admin_task_t *task, http_exchange_t *exchange)
{
	if (task->source->leaving)
		reply_text(exchange, 503, "leaving\n");
	else if (!query_task_ready(task->source->queries))
		reply_text(exchange, 503, "not ready\n");
	else
		reply_text(exchange, 200, "ready\n");
}

static void serve_metrics(admin_task_t *task, http_exchange_t *exchange)
{
	g_autofree char *text = status_metrics(task->source);

	reply_text(exchange, 200, text);
}

static void serve_status(admin_task_t *task, http_exchange_t *exchange)
{
	reply_json(exchange, 200, status_vm(task->source));
}

static void serve_services(admin_task_t *task, http_exchange_t *exchange)
{
	reply_json(exchange, 200, status_services(task->source));
}

static void serve_upstreams(admin_task_t *task, http_exchange_t *exchange)
{
	reply_json(exchange, 200, status_upstreams(task->source));
}

static void serve_members(admin_task_t *task, http_exchange_t *exchange)
{
	reply_json(exchange, 200, status_members(task->source));
}

static void serve_config(admin_task_t *task, http_exchange_t *exchange)
{
	reply_json(exchange, 200, status_config(task->source));
}

static void serve_timeline(admin_task_t *task, http_exchange_t *exchange)
{
	const char *since = http_exchange_param(exchange, "since");

	reply_json(exchange, 200,
		   status_timeline(task->source, since ? strtoull(since, NULL, 10) : 0));
}

/* ---- proposing a configuration ---- */

static void on_proposed(void *ctx, const config_proposal_result_t *result)
{
	http_exchange_t *exchange = ctx;
	g_autofree char *detail = NULL;

	switch (result->outcome) {
	case PROPOSAL_ACCEPTED:
		reply_json(exchange, 200, json_pack("{s:I}", "number", (json_int_t)result->number));
		break;
	case PROPOSAL_CONFLICT:
		detail =
			g_strdup_printf("number %" G_GUINT64_FORMAT " by %s came first",
					result->number, result->other ? result->other : "somebody");
		reply_problem(exchange, REFUSAL_CONFLICT, detail);
		break;
	case PROPOSAL_UNKNOWN:
		reply_problem(exchange, REFUSAL_OUTCOME_UNKNOWN,
			      "the platform does not answer: the change may yet be accepted; see "
			      "`dogwoodsaddle config show` once the platform is back");
		break;
	}
	http_exchange_unref(exchange);
}

static void serve_propose(admin_task_t *task, http_exchange_t *exchange)
{
	const active_config_t *active_config = query_task_active_config(task->source->queries);
	err_t err = {0};
	propose_request_t *propose = propose_parse(http_exchange_body(exchange), &err);
	g_autofree char *detail = NULL;

	if (!propose) {
		reply_problem(exchange, REFUSAL_BAD_REQUEST, err.text);
		return;
	}
	if (propose->base != active_config_number(active_config)) {
		detail = g_strdup_printf("it rests on number %" G_GUINT64_FORMAT
					 ", but %" G_GUINT64_FORMAT " is in force here",
					 propose->base, active_config_number(active_config));
		reply_problem(exchange, REFUSAL_CONFLICT, detail);
	} else {
		const proposal_origin_t origin = {
			.id = propose->id, .by = propose->by, .note = propose->note};

		config_task_propose(task->configs, &origin, propose->base, propose->config,
				    on_proposed, http_exchange_ref(exchange));
	}
	propose_request_free(propose);
}

/* ---- intents ---- */

static refusal_t refusal_of(const err_t *err)
{
	return err->code == ERR_CONFLICT ? REFUSAL_CONFLICT : REFUSAL_BAD_REQUEST;
}

static void serve_plan(admin_task_t *task, http_exchange_t *exchange)
{
	const query_task_t *queries = task->source->queries;
	err_t err = {0};
	plan_t *plan = intent_plan(http_exchange_body(exchange), query_task_active_config(queries),
				   query_task_engine(queries), &err);

	if (!plan) {
		reply_problem(exchange, refusal_of(&err), err.text);
		return;
	}
	reply_json(exchange, 200, plan_json(plan));
	plan_free(plan);
}

static void serve_confirm(admin_task_t *task, http_exchange_t *exchange)
{
	const query_task_t *queries = task->source->queries;
	g_autofree char *by = NULL, *id = NULL;
	err_t err = {0};
	plan_t *plan =
		intent_confirm(http_exchange_body(exchange), query_task_active_config(queries),
			       query_task_engine(queries), &by, &err);

	if (!plan) {
		reply_problem(exchange, refusal_of(&err), err.text);
		return;
	}
	id = g_uuid_string_random();
	config_task_propose(task->configs,
			    &(proposal_origin_t){.id = id, .by = by, .note = plan->id}, plan->base,
			    plan->config, on_proposed, http_exchange_ref(exchange));
	plan_free(plan);
}

static const admin_route_t routes[] = {
	{.method = "GET", .path = "/healthz", .unauthenticated = true, .serve = serve_health},
	{.method = "GET", .path = "/readyz", .unauthenticated = true, .serve = serve_ready},
	{.method = "GET", .path = "/metrics", .unauthenticated = true, .serve = serve_metrics},
	{.method = "GET", .path = "/v1/status", .serve = serve_status},
	{.method = "GET", .path = "/v1/services", .serve = serve_services},
	{.method = "GET", .path = "/v1/upstreams", .serve = serve_upstreams},
	{.method = "GET", .path = "/v1/members", .serve = serve_members},
	{.method = "GET", .path = "/v1/timeline", .serve = serve_timeline},
	{.method = "GET", .path = "/v1/config", .serve = serve_config},
	{.method = "POST", .path = "/v1/config", .serve = serve_propose},
	{.method = "POST", .path = "/v1/plan", .serve = serve_plan},
	{.method = "POST", .path = "/v1/confirm", .serve = serve_confirm},
};

/* Compares all bytes in constant time, so that the time taken reveals nothing of the token. */
static bool has_token(const admin_task_t *task, http_exchange_t *exchange)
{
	const char *given = http_exchange_header(exchange, "authorization");
	g_autofree char *expected =
		g_strdup_printf("Bearer %s", task->source->settings->operators_token);
	size_t length = strlen(expected);
	unsigned char difference = 0;

	if (!given || strlen(given) != length)
		return false;
	for (size_t i = 0; i < length; i++)
		difference |= (unsigned char)(given[i] ^ expected[i]);
	return difference == 0;
}

static void on_request(void *ctx, http_exchange_t *exchange)
{
	admin_task_t *task = ctx;
	bool path_known = false;

	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
		if (!g_str_equal(routes[i].path, http_exchange_path(exchange)))
			continue;
		path_known = true;
		if (!g_str_equal(routes[i].method, http_exchange_method(exchange)))
			continue;
		if (!routes[i].unauthenticated && !has_token(task, exchange))
			reply_problem(exchange, REFUSAL_UNAUTHORIZED, NULL);
		else
			routes[i].serve(task, exchange);
		return;
	}
	reply_problem(exchange, path_known ? REFUSAL_WRONG_METHOD : REFUSAL_UNKNOWN_SERVICE, NULL);
}

admin_task_t *admin_task_new(loop_t *loop, const status_source_t *source, config_task_t *configs)
{
	static const http_server_ops_t ops = {.request = on_request};
	admin_task_t *task = g_new0(admin_task_t, 1);

	task->loop = loop;
	task->source = source;
	task->configs = configs;
	task->server = http_server_new(loop, source->settings->listen_address,
				       (uint16_t)source->settings->admin_port,
				       &HTTP_SERVER_INTERNAL_LIMITS(BODY_LIMIT_BYTES), &ops, task);
	if (task->server) {
		http_server_pace(task->server,
				 pacing_new(loop, settings_excess_ppm(source->settings)));
		http_server_limit_probes(task->server);
		return task;
	}
	g_free(task);
	return NULL;
}
