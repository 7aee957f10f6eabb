/**
 * @file front_requests.c
 * Requests, from their arrival to their answer: a caller's request gets a token of its tenant's
 * quota, is handed over to a gatherer or served here, and is answered; another VM's is served here.
 */
#include "tasks/front_private.h"

#include "core/retry_after.h"
#include "core/tenant_counters.h"
#include "log.h"
#include "queries/front_log.h"
#include "tasks/relay.h"

#include <string.h>

/* A handed-over request that has waited longer than this for the event loop is rejected, so that
 * the taker can use another gatherer: the request's target may be a tenth of a second. */
#define MAX_QUEUE_DELAY_US 60000

/* ---- answers ---- */

/* A token of a request that was not run goes to the next request of its tenant. */
static void give_back_token(front_task_t *task, const relay_t *relay, forward_outcome_t outcome)
{
	if (relay->charged && !forward_outcome_may_have_run(outcome))
		quota_task_give_back(task->quotas, relay->charged);
}

static hop_bytes_t bytes_of(const GString *text)
{
	return text ? (hop_bytes_t){.data = text->str, .bytes = text->len} : (hop_bytes_t){0};
}

static hop_bytes_t bytes_of_text(const char *text)
{
	return text ? (hop_bytes_t){.data = text, .bytes = strlen(text)} : (hop_bytes_t){0};
}

static void answer_taker(front_task_t *task, hop_job_t *job, const forward_answer_t *answer)
{
	const forward_refusal_t *refusal = &answer->refusal;
	const hop_answer_t hop_answer = {.end = answer->outcome,
					 .parts = answer->parts,
					 .missing = answer->missing,
					 .retry_after_us = answer->retry_after_us,
					 .stamps = bytes_of(answer->stamps),
					 .records = bytes_of(answer->records),
					 .refused_by_admission = refusal->by_admission,
					 .shard = bytes_of_text(refusal->shard),
					 .tenant = bytes_of_text(refusal->tenant),
					 .rank = refusal->rank,
					 .waited_us = refusal->waited_us};

	hop_server_answer(task->hops, job, &hop_answer);
}

void front_on_answer(void *ctx, forward_t *forward, const forward_answer_t *answer)
{
	front_task_t *task = ctx;
	relay_t *relay = forward->owner;
	int status =
		answer->reply ? answer->reply->status : forward_outcome_status(answer->outcome);

	front_log_answer(relay->request.id, forward, answer, status,
			 store_sync_task_age_us(task->store_sync));
	give_back_token(task, relay, answer->outcome);
	if (relay->job)
		answer_taker(task, relay->job, answer);
	else
		relay_answer_caller(relay, answer);
	relay_free(relay);
}

/* ---- requests of callers ---- */

static void reply_bad_request(http_exchange_t *exchange, const char *reason)
{
	g_info("event=request-refused status=400 reason=\"%s\"", reason);
	http_exchange_reply(exchange, 400, "text/plain", reason, strlen(reason));
}

static void submit(front_task_t *task, relay_t *relay)
{
	forward_t *forward =
		forwarder_submit(task->forwarder, &relay->request, relay, loop_now_us());

	if (forward) /* otherwise front_on_answer() was called already and freed the relay */
		relay->forward = forward;
	front_arm_forwarder(task);
}

/*
 * A gatherer uses a newer configuration than this VM. Served by the older one, a caller that has
 * seen a change in force could get an answer as if the change had been reverted. This VM is reading
 * the new version already, which takes a few tenths of a second.
 */
static void reject_config_behind(front_task_t *task, relay_t *relay)
{
	const forward_answer_t answer = {
		.outcome = FORWARD_NOT_READY,
		.retry_after_us = retry_after_us(MISSING_STATE, relay->request.patience_us,
						 registry_is_store_unreachable(task->registry))};

	g_message("event=answer request=%s outcome=not-ready reason=configuration-behind",
		  relay->request.id ? relay->request.id : "");
	give_back_token(task, relay, answer.outcome);
	relay_answer_caller(relay, &answer);
	relay_free(relay);
}

static bool is_config_behind(const front_task_t *task)
{
	return handovers_is_behind(gather_task_handovers(task->gathers));
}

static void on_gather_here(void *ctx, relay_t *relay)
{
	if (is_config_behind(ctx))
		reject_config_behind(ctx, relay);
	else
		submit(ctx, relay);
}

/* Gatherers are in this VM's region, which may not be the caller's. A request that must stay in
 * other regions is handed over to none of them. */
static bool may_hand_over(const front_task_t *task, const forward_access_t *access)
{
	const char *region = front_own_region(task);

	return access->route->gathers && route_allows(access->route, region) &&
	       tenant_allows(access->tenant, region);
}

static void route_request(front_task_t *task, relay_t *relay)
{
	forward_access_t access;
	bool found = forwarder_look_up(task->forwarder, &relay->request, loop_now_us(), &access);

	if (found && may_hand_over(task, &access) &&
	    gather_task_hand_over(task->gathers, relay, access.route,
				  forwarder_routing(task->forwarder)->version))
		return;
	if (found && access.route->gathers)
		on_gather_here(task, relay);
	else if (handovers_is_long_behind(gather_task_handovers(task->gathers), loop_now_us()))
		reject_config_behind(task, relay);
	else
		submit(task, relay);
}

/* ---- tokens of tenants' quotas ---- */

static void refuse_without_token(front_task_t *task, relay_t *relay, quota_verdict_t verdict,
				 uint64_t token_after_us)
{
	bool store_unreachable = registry_is_store_unreachable(task->registry);
	const forward_answer_t answer = {
		.outcome = verdict == QUOTA_EXCEEDED ? FORWARD_OVER_QUOTA : FORWARD_NO_QUOTA,
		.retry_after_us =
			token_after_us ? token_after_us
				       : retry_after_us(MISSING_TOKEN, relay->request.patience_us,
							store_unreachable)};

	front_log_refused(&relay->request, answer.outcome, relay->charged, answer.retry_after_us);
	relay_answer_caller(relay, &answer);
	relay_free(relay);
}

void front_on_quota_decided(void *ctx, void *owner, quota_verdict_t verdict,
			    uint64_t retry_after_us)
{
	front_task_t *task = ctx;
	relay_t *relay = owner;
	tenant_counts_t *counts = tenant_counters_of(task->tenant_counters, relay->charged);

	relay->quota_ask = NULL;
	counts->admitted += verdict == QUOTA_GRANTED;
	counts->over_quota += verdict == QUOTA_EXCEEDED;
	if (verdict == QUOTA_GRANTED)
		route_request(task, relay);
	else
		refuse_without_token(task, relay, verdict, retry_after_us);
}

/* The relay may be over before the return. */
static void ask_for_token(front_task_t *task, relay_t *relay, const tenant_t *tenant)
{
	quota_ask_t *ask;

	relay->charged = g_strdup(tenant->name);
	ask = quota_task_ask(task->quotas, tenant, relay);
	if (ask)
		relay->quota_ask = ask;
}

static bool on_quota_message(void *ctx, const hop_message_t *message, hop_message_t *reply)
{
	return quota_task_serve(((front_task_t *)ctx)->quotas, message, reply);
}

/* ---- callers ---- */

static void on_request(void *ctx, http_exchange_t *exchange)
{
	front_task_t *task = ctx;
	const http_message_t *message = http_exchange_message(exchange);
	forward_access_t access;
	relay_t *relay;

	if (*http_message_target(message) != '/' ||
	    http_message_header_occurrences(message, "Host") != 1) {
		reply_bad_request(exchange, "a path and one Host are required");
		return;
	}
	relay = relay_from_caller(exchange);
	http_exchange_set_data(exchange, relay);
	if (forwarder_takes(task->forwarder, &relay->request))
		task->last_request_us = loop_now_us();
	/* The key may be one that the newer configuration adds. A caller retries after a 503, but
	 * not after a 401. */
	if (forwarder_lacks_key(task->forwarder, &relay->request) && is_config_behind(task))
		reject_config_behind(task, relay);
	else if (forwarder_look_up(task->forwarder, &relay->request, loop_now_us(), &access) &&
		 tenant_has_quota(access.tenant))
		ask_for_token(task, relay, access.tenant);
	else
		route_request(task, relay);
}

static void on_disconnected(void *ctx, http_exchange_t *exchange)
{
	front_task_t *task = ctx;
	relay_t *relay = http_exchange_data(exchange);

	if (!relay)
		return;
	g_info("event=caller-left request=%s", relay->request.id ? relay->request.id : "");
	if (relay->quota_ask)
		quota_task_abandon(task->quotas, relay->quota_ask);
	else if (relay->handover)
		gather_task_abandon(task->gathers, relay);
	else
		forwarder_abandon(task->forwarder, relay->forward, loop_now_us());
	relay_free(relay);
	front_arm_forwarder(task);
}

const http_server_ops_t front_caller_ops = {.request = on_request, .disconnected = on_disconnected};

/* ---- gathers handed over to other VMs ---- */

/* An empty text is none. The caller frees the result. */
static char *text_of(hop_bytes_t bytes)
{
	return bytes.bytes ? g_strndup(bytes.data, bytes.bytes) : NULL;
}

static void on_gathered(void *ctx, relay_t *relay, const hop_answer_t *answer)
{
	front_task_t *task = ctx;
	g_autoptr(GString) stamps =
		g_string_new_len(answer->stamps.data, (gssize)answer->stamps.bytes);
	g_autoptr(GString) records =
		g_string_new_len(answer->records.data, (gssize)answer->records.bytes);
	g_autofree char *shard = text_of(answer->shard);
	g_autofree char *tenant = text_of(answer->tenant);
	bool answered = answer->end == FORWARD_ANSWERED;
	const forward_answer_t forward_answer = {
		.outcome = answer->end,
		.stamps = answered ? stamps : NULL,
		.records = answered ? records : NULL,
		.parts = answer->parts,
		.missing = answer->missing,
		.retry_after_us = answer->retry_after_us,
		.refusal = {.by_admission = answer->refused_by_admission,
			    .shard = shard,
			    .tenant = tenant,
			    .rank = answer->rank,
			    .waited_us = answer->waited_us}};

	front_log_gathered(&relay->request, relay->handover, &forward_answer,
			   store_sync_task_age_us(task->store_sync));
	give_back_token(task, relay, forward_answer.outcome);
	relay_answer_caller(relay, &forward_answer);
	relay_free(relay);
}

static void on_newer_version(void *ctx, uint64_t version)
{
	front_task_t *task = ctx;
	const routing_t *routing = forwarder_routing(task->forwarder);

	if (routing && routing->version < version)
		store_sync_task_read_configuration(task->store_sync);
}

const gather_ops_t front_gather_ops = {
	.answer = on_gathered, .gather_here = on_gather_here, .newer_version = on_newer_version};

/* ---- gathers handed over by other VMs ---- */

/* A configuration older than the one that the request was routed by is not used: the request would
 * be served as if a change that is in force had never been made. */
static bool hop_accepts(void *ctx, const hop_job_t *job, hop_reason_t *reason)
{
	front_task_t *task = ctx;
	const routing_t *routing = forwarder_routing(task->forwarder);
	const route_t *route;

	if (!routing || !registry_is_ready(task->registry)) {
		*reason = HOP_NOT_READY;
		return false;
	}
	if (task->refuses_long) {
		*reason = HOP_STOPPING;
		return false;
	}
	if (routing->version < job->version) {
		store_sync_task_read_configuration(task->store_sync);
		*reason = HOP_OLDER_CONFIG;
		return false;
	}
	route = routing_match(routing, job->host, job->target);
	if (!route || !route->gathers || !route_allows(route, front_own_region(task))) {
		*reason = HOP_NOT_GATHERED;
		return false;
	}
	*reason = HOP_BUSY;
	return loop_now_us() < job->arrived_us + MAX_QUEUE_DELAY_US;
}

static uint64_t hop_version(void *ctx)
{
	return forwarder_routing(((front_task_t *)ctx)->forwarder)->version;
}

static void hop_gather(void *ctx, hop_job_t *job)
{
	relay_t *relay = relay_from_vm(job);

	job->data = relay;
	submit(ctx, relay);
}

static void hop_grant(void *ctx, hop_job_t *job, uint32_t count)
{
	front_task_t *task = ctx;
	const relay_t *relay = job->data;

	if (!relay->forward)
		return;
	forward_allow_attempts(relay->forward, count, loop_now_us());
	front_arm_forwarder(task);
}

static void hop_abandoned(void *ctx, hop_job_t *job)
{
	front_task_t *task = ctx;
	relay_t *relay = job->data;

	g_info("event=taker-left request=%s", job->id ? job->id : "");
	forwarder_abandon(task->forwarder, relay->forward, loop_now_us());
	relay_free(relay);
	front_arm_forwarder(task);
}

const hop_server_ops_t front_hop_ops = {.accepts = hop_accepts,
					.version = hop_version,
					.gather = hop_gather,
					.grant = hop_grant,
					.quota = on_quota_message,
					.abandoned = hop_abandoned};
