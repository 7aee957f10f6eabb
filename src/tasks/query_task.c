/**
 * @file query_task.c
 * See query_task.h.
 */
#include "tasks/query_task.h"

#include "commands/action.h"
#include "core/claims.h"
#include "queries/problem.h"
#include "queries/search.h"
#include "tasks/upstream_task.h"

#include <string.h>
#include <unistd.h>

#define PROBE_PERIOD_US 500000
#define REFRESH_MIN_US 50000

struct query_task_t {
	loop_t *loop;
	const query_task_ops_t *ops;
	void *ctx;
	const query_task_announce_ops_t *announce_ops; /* NULL until it is set */
	void *announce_ctx;
	engine_t *engine;
	claims_t *claims;
	active_config_t active_config;
	platform_task_t *platform;
	upstream_task_t *upstreams;
	timeline_t *timeline;
	GRand *rand;
	loop_timer_t engine_timer;
	loop_timer_t claims_timer;
	loop_timer_t probe_timer;
	uint64_t refreshed_us;
};

typedef struct submit_message_t {
	ticket_t *ticket;
	request_t *request;
} submit_message_t;

typedef struct config_message_t {
	uint64_t number;
	json_t *value;
} config_message_t;

/** An outstanding platform call of the claims. */
typedef struct bucket_call_t {
	query_task_t *task;
	uint32_t bucket;
} bucket_call_t;

/* The engine's clock is never behind a timer that has fired, and never goes backwards. */
static void arm(query_task_t *task)
{
	uint64_t now = loop_now_us();
	uint64_t engine_us = engine_next_us(task->engine), claims_us = claims_next_us(task->claims);

	if (engine_us == TIMERS_NEVER)
		loop_timer_cancel(&task->engine_timer);
	else
		loop_timer_set(task->loop, &task->engine_timer,
			       engine_us > now ? engine_us - now : 0);
	if (claims_us == TIMERS_NEVER)
		loop_timer_cancel(&task->claims_timer);
	else
		loop_timer_set(task->loop, &task->claims_timer,
			       claims_us > now ? claims_us - now : 0);
}

static void on_engine_timer(void *ctx)
{
	query_task_t *task = ctx;

	engine_run(task->engine, loop_now_us());
	arm(task);
}

static void on_claims_timer(void *ctx)
{
	query_task_t *task = ctx;

	claims_run(task->claims, loop_now_us(), loop_wall_ms());
	arm(task);
}

/* ---- callbacks of the engine ---- */

static const service_t *service_of(const attempt_t *attempt)
{
	return attempt->query->service;
}

static void do_send(void *ctx, const attempt_t *attempt)
{
	query_task_t *task = ctx;
	const request_t *request = attempt->query->request;
	bool once = service_of(attempt)->kind == SERVICE_ONCE;
	sub_request_t *sub = g_new0(sub_request_t, 1);

	sub->attempt_id = attempt->id;
	sub->address = g_strdup(attempt->upstream->address);
	sub->port = attempt->upstream->port;
	sub->connections = attempt->upstream->share;
	sub->method = once ? "POST" : "GET";
	sub->path = once ? g_strdup("/action") : search_subrequest_path(attempt, loop_now_us());
	sub->headers = once ? action_subrequest_headers(attempt->query) : NULL;
	sub->body = once ? g_strdup(request->body) : NULL;
	/*
	 * A keep-alive connection may have failed silently: the outcome of an action sent on it
	 * would be unknown. A rescue sent on it would be lost like the attempt that it replaces.
	 */
	sub->fresh_connection = once || attempt->kind == ATTEMPT_RETRY;
	upstream_task_send(task->upstreams, sub);
}

static void do_cancel(void *ctx, const attempt_t *attempt)
{
	query_task_t *task = ctx;

	upstream_task_cancel(task->upstreams, attempt->id);
}

static char *format_answer(const query_t *query, const answer_t *answer)
{
	switch (query->request->kind) {
	case SERVICE_LOOKUP:
		return record_format(query, answer);
	case SERVICE_ONCE:
		return action_format(query);
	default:
		return search_format(query, answer);
	}
}

static void do_answer(void *ctx, query_t *query, const answer_t *answer)
{
	query_task_t *task = ctx;
	ticket_t *ticket = query->owner;
	ticket_reply_t *reply;

	if (!ticket)
		return;
	if (ticket->query) {
		query_unref(ticket->query);
		ticket->query = NULL;
	}
	reply = g_new0(ticket_reply_t, 1);
	reply->ticket = ticket; /* takes the engine's reference */
	query->owner = NULL;
	reply->status = refusal_class(answer->refusal)->status;
	reply->retry_after_us = answer->retry_after_us;
	if (answer->refusal == REFUSAL_NONE) {
		reply->content_type = "application/json";
		reply->body = format_answer(query, answer);
	} else {
		reply->content_type = PROBLEM_CONTENT_TYPE;
		reply->body = problem_format(answer->refusal, NULL, query->request->id,
					     answer->retry_after_us);
	}
	if (answer->refusal == REFUSAL_NONE && query->request->kind != SERVICE_ONCE) {
		reply->snapshot = g_strdup_printf("%" G_GUINT64_FORMAT, answer->version);
		reply->coverage = g_strdup_printf("%u/%u", answer->answered, answer->partitions);
		reply->complete = answer->missing->len == 0;
	}
	task->ops->reply(task->ctx, reply);
}

static void do_claim(void *ctx, query_t *query)
{
	query_task_t *task = ctx;

	claims_claim(task->claims, query->request->service, query->request->key, query_ref(query),
		     loop_now_us(), loop_wall_ms());
}

static void do_claim_outcome(void *ctx, query_t *query, ran_t ran)
{
	query_task_t *task = ctx;

	claims_record_outcome(task->claims, query->request->service, query->request->key, ran,
			      loop_now_us(), loop_wall_ms());
}

/*
 * Many queries notice a change of versions at the same time; one probe of the searchers serves all
 * of them.
 */
static void do_refresh(void *ctx, const service_t *service)
{
	query_task_t *task = ctx;
	uint64_t now = loop_now_us();

	(void)service;
	if (now - task->refreshed_us < REFRESH_MIN_US)
		return;
	task->refreshed_us = now;
	loop_timer_set(task->loop, &task->probe_timer, 0);
}

static void do_leaving(void *ctx, const upstream_t *upstream)
{
	query_task_t *task = ctx;

	if (task->announce_ops)
		task->announce_ops->leaving(task->announce_ctx, upstream->service, upstream->name);
}

static const engine_ops_t engine_ops = {.send = do_send,
					.cancel = do_cancel,
					.answer = do_answer,
					.claim = do_claim,
					.claim_outcome = do_claim_outcome,
					.refresh = do_refresh,
					.leaving = do_leaving};

/* ---- callbacks of the claims ---- */

static char *bucket_path(uint32_t bucket)
{
	return g_strdup_printf("claims/%u", bucket);
}

static bucket_call_t *bucket_call_new(query_task_t *task, uint32_t bucket)
{
	bucket_call_t *call = g_new(bucket_call_t, 1);

	*call = (bucket_call_t){.task = task, .bucket = bucket};
	return call;
}

static void bucket_read_done(void *ctx, const platform_result_t *result)
{
	bucket_call_t *call = ctx;

	claims_read_done(call->task->claims, call->bucket, result, loop_now_us(), loop_wall_ms());
	arm(call->task);
	g_free(call);
}

static void bucket_write_done(void *ctx, const platform_result_t *result)
{
	bucket_call_t *call = ctx;

	claims_write_done(call->task->claims, call->bucket, result, loop_now_us(), loop_wall_ms());
	arm(call->task);
	g_free(call);
}

static void do_bucket_read(void *ctx, uint32_t bucket)
{
	query_task_t *task = ctx;
	g_autofree char *path = bucket_path(bucket);

	platform_task_read(task->platform, path, bucket_read_done, bucket_call_new(task, bucket));
}

static void do_bucket_write(void *ctx, uint32_t bucket, uint64_t if_version, const json_t *value)
{
	query_task_t *task = ctx;
	g_autofree char *path = bucket_path(bucket);

	platform_task_write(task->platform, path, if_version, value, bucket_write_done,
			    bucket_call_new(task, bucket));
}

static void do_claim_ended(void *ctx, void *owner, claim_result_t result)
{
	query_task_t *task = ctx;
	query_t *query = owner;

	engine_claimed(task->engine, query, result, loop_now_us());
	query_unref(query);
}

static const claims_ops_t claims_ops = {
	.read = do_bucket_read, .write = do_bucket_write, .ended = do_claim_ended};

/* ---- messages from searchers ---- */

static void on_attempt_ended(void *ctx, uint64_t attempt_id, reply_t *reply)
{
	query_task_t *task = ctx;

	engine_attempt_ended(task->engine, attempt_id, reply, loop_now_us());
	arm(task);
}

static void on_probed(void *ctx, void *upstream, upstream_report_t *report, probe_result_t result)
{
	query_task_t *task = ctx;

	if (result == PROBE_REPORTED) {
		engine_health(task->engine, upstream, report, loop_now_us());
		upstream_report_free(report);
	} else if (result != PROBE_INCONCLUSIVE) {
		engine_health_failed(task->engine, upstream, result == PROBE_REFUSED,
				     loop_now_us());
	}
	upstream_unref(upstream);
	arm(task);
}

static const upstream_task_ops_t upstream_ops = {.ended = on_attempt_ended, .probed = on_probed};

static void probe_all(void *ctx)
{
	query_task_t *task = ctx;
	const GPtrArray *services = engine_services(task->engine);

	for (guint i = 0; i < services->len; i++) {
		const service_t *service = g_ptr_array_index(services, i);

		for (guint j = 0; service->configured && j < service->upstreams->len; j++) {
			upstream_t *upstream = g_ptr_array_index(service->upstreams, j);

			upstream_task_probe(task->upstreams, upstream_ref(upstream),
					    upstream->address, upstream->port);
		}
	}
	loop_timer_set(task->loop, &task->probe_timer,
		       (uint64_t)g_rand_double_range(task->rand, PROBE_PERIOD_US * 0.75,
						     PROBE_PERIOD_US * 1.25));
}

/* ---- messages from the caller, config and peer tasks ---- */

static void receive_submit(void *self, void *message)
{
	query_task_t *task = self;
	submit_message_t *submit = message;
	ticket_t *ticket = submit->ticket;
	query_t *query;

	/* The reply takes the engine's reference to the ticket; receive_abandon() drops it. */
	query = engine_submit(task->engine, submit->request, ticket, loop_now_us());
	if (query->finished)
		query_unref(query);
	else
		ticket->query = query;
	g_free(submit);
	arm(task);
}

void query_task_submit(query_task_t *task, ticket_t *ticket, request_t *request)
{
	submit_message_t *submit = g_new0(submit_message_t, 1);

	submit->ticket = ticket;
	submit->request = request;
	loop_post(task->loop, receive_submit, task, submit);
}

static void receive_abandon(void *self, void *message)
{
	query_task_t *task = self;
	ticket_t *ticket = message;

	if (ticket->query && ticket->query->owner == ticket) {
		engine_abandon(task->engine, ticket->query, loop_now_us());
		query_unref(ticket->query);
		ticket->query = NULL;
		ticket_unref(ticket); /* the engine's reference */
	}
	ticket_unref(ticket); /* the message's reference */
	arm(task);
}

void query_task_abandon(query_task_t *task, ticket_t *ticket)
{
	loop_post(task->loop, receive_abandon, task, ticket_ref(ticket));
}

static void receive_config(void *self, void *message)
{
	query_task_t *task = self;
	config_message_t *offer = message;
	bool first = active_config_number(&task->active_config) == 0;
	err_t err = {0};

	switch (active_config_offer(&task->active_config, offer->number, offer->value, &err)) {
	case ACTIVE_CONFIG_REPLACED:
		engine_configure(task->engine, task->active_config.config, loop_now_us());
		if (task->announce_ops)
			task->announce_ops->config(task->announce_ctx, offer->number, offer->value);
		if (first)
			probe_all(task);
		break;
	case ACTIVE_CONFIG_INVALID:
		timeline_add(task->timeline,
			     "event=config-invalid number=%" G_GUINT64_FORMAT " why=\"%s\"",
			     offer->number, err.text);
		break;
	case ACTIVE_CONFIG_OUTDATED:
		break;
	}
	json_decref(offer->value);
	g_free(offer);
	arm(task);
}

void query_task_offer_config(query_task_t *task, uint64_t number, json_t *value)
{
	config_message_t *offer = g_new(config_message_t, 1);

	*offer = (config_message_t){.number = number, .value = value};
	loop_post(task->loop, receive_config, task, offer);
}

typedef struct leave_notice_message_t {
	char *service;
	char *upstream;
} leave_notice_message_t;

static void receive_leave_notice(void *self, void *message)
{
	query_task_t *task = self;
	leave_notice_message_t *notice = message;

	engine_leave_notice(task->engine, notice->service, notice->upstream, loop_now_us());
	g_free(notice->service);
	g_free(notice->upstream);
	g_free(notice);
	arm(task);
}

void query_task_leave_notice(query_task_t *task, const char *service, const char *upstream)
{
	leave_notice_message_t *notice = g_new(leave_notice_message_t, 1);

	*notice = (leave_notice_message_t){.service = g_strdup(service),
					   .upstream = g_strdup(upstream)};
	loop_post(task->loop, receive_leave_notice, task, notice);
}

void query_task_set_announce_ops(query_task_t *task, const query_task_announce_ops_t *ops,
				 void *ctx)
{
	task->announce_ops = ops;
	task->announce_ctx = ctx;
}

/* ---- set-up and status ---- */

query_task_t *query_task_new(loop_t *loop, const settings_t *settings, http_memory_t *replies,
			     platform_task_t *platform, timeline_t *timeline)
{
	query_task_t *task = g_new0(query_task_t, 1);
	guint32 seed = g_random_int();
	/* Unique to this run: a restarted VM must not take an earlier run's claim for its own. */
	g_autofree char *holder = g_strdup_printf("%s.%" G_GUINT64_FORMAT ".%08x",
						  settings->vm_name, loop_wall_ms(), seed);

	task->loop = loop;
	task->platform = platform;
	task->timeline = timeline;
	task->rand = g_rand_new();
	task->engine = engine_new(&engine_ops, task, timeline, seed, settings->data_centre);
	engine_set_policy(task->engine,
			  (engine_policy_t){.hedge = settings->hedge,
					    .choose_by_cost = settings->choose_by_cost,
					    .adapt_limit = settings->adapt_limit});
	task->claims = claims_new(&claims_ops, task, holder, seed + 1);
	task->upstreams = upstream_task_new(loop, replies, &upstream_ops, task);
	task->engine_timer = (loop_timer_t){.fire = on_engine_timer, .ctx = task};
	task->claims_timer = (loop_timer_t){.fire = on_claims_timer, .ctx = task};
	task->probe_timer = (loop_timer_t){.fire = probe_all, .ctx = task};
	return task;
}

void query_task_set_ops(query_task_t *task, const query_task_ops_t *ops, void *ctx)
{
	task->ops = ops;
	task->ctx = ctx;
}

const engine_t *query_task_engine(const query_task_t *task)
{
	return task->engine;
}

const active_config_t *query_task_active_config(const query_task_t *task)
{
	return &task->active_config;
}

static bool has_searcher_status(const service_t *service)
{
	for (guint i = 0; i < service->upstreams->len; i++) {
		const upstream_t *upstream = g_ptr_array_index(service->upstreams, i);

		/* A searcher that is down has a known status. One that was not probed yet would
		 * make answers partial. */
		if (upstream->state == UPSTREAM_UNKNOWN && upstream->failures == 0)
			return false;
	}
	return true;
}

bool query_task_ready(const query_task_t *task)
{
	const GPtrArray *services = engine_services(task->engine);

	if (!task->active_config.config)
		return false;
	for (guint i = 0; i < services->len; i++)
		if (!has_searcher_status(g_ptr_array_index(services, i)))
			return false;
	return true;
}

bool query_task_idle(const query_task_t *task)
{
	return engine_open_queries(task->engine) == 0 && claims_idle(task->claims);
}

uint64_t query_task_claim_writes(const query_task_t *task)
{
	return claims_writes(task->claims);
}

uint64_t query_task_claims_won(const query_task_t *task)
{
	return claims_won(task->claims);
}
