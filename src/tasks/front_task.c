/**
 * @file front_task.c
 * See front_task.h.
 */
#include "tasks/front_task.h"

#include "core/retry_after.h"
#include "core/sharing.h"
#include "core/tenant_counters.h"
#include "core/warm_set.h"
#include "headers.h"
#include "log.h"
#include "queries/front_log.h"
#include "queries/front_metrics.h"
#include "tasks/gather_task.h"
#include "tasks/hop_server.h"
#include "tasks/link_task.h"
#include "tasks/own_vm.h"
#include "tasks/poison_task.h"
#include "tasks/quota_task.h"
#include "tasks/relay.h"
#include "tasks/store_reader.h"
#include "tasks/store_sync_task.h"

#include <string.h>

/* Connection shares that were reduced after a refusal by a searcher are restored this often. */
#define SHARES_PERIOD_US 5000000
/* A handed-over request that has waited longer than this for the event loop is rejected, so that
 * the taker can use another gatherer: the request's target may be a tenth of a second. */
#define MAX_QUEUE_DELAY_US 60000
/* In force until a configuration has been read. */
#define INITIAL_LIMITS                                                                             \
	((http_server_limits_t){.message = {.head_bytes = 16384, .body_bytes = 1u << 20},          \
				.receive_us = 5000000,                                             \
				.idle_us = 60000000})

struct front_task_t {
	loop_t *loop;
	http_server_t *callers;
	forwarder_t *forwarder;
	registry_t *registry;
	store_reader_t *reader;
	link_task_t *links;
	gather_task_t *gathers; /* requests handed over to other VMs */
	hop_server_t *hops;	/* requests handed over by other VMs */
	quota_task_t *quotas;
	GHashTable *tenant_counters; /* see core/tenant_counters.h */
	store_sync_task_t *store_sync;
	poison_task_t *poison;
	platform_task_t *platform;
	loop_timer_t forwarder_timer;
	loop_timer_t shares_timer;
	sharing_t sharing;  /* this VM's shares, from the last known VMs and configuration */
	bool fleet_changed; /* `sharing` must be recomputed */
	uint64_t last_request_us;
	double retry_ratio;
	uint32_t retry_constant;
	char *vm_name;
	char *data_centre;
	GHashTable *regions; /* data centre to region */
	bool draining;
	bool stopped_accepting;
};

/* ---- time ---- */

static void arm_forwarder(front_task_t *task)
{
	uint64_t next_us = forwarder_next_us(task->forwarder), now_us = loop_now_us();

	if (next_us == TIMERS_NEVER)
		loop_timer_cancel(&task->forwarder_timer);
	else
		loop_timer_set(task->loop, &task->forwarder_timer,
			       next_us > now_us ? next_us - now_us : 0);
}

static void run_forwarder(void *ctx)
{
	front_task_t *task = ctx;

	forwarder_run(task->forwarder, loop_now_us());
	arm_forwarder(task);
}

static const char *own_region(const front_task_t *task)
{
	return g_hash_table_lookup(task->regions, task->data_centre);
}

/* ---- connections to searchers ---- */

static void set_pool_shares(front_task_t *task, pool_t *pool, const cold_members_t *members)
{
	const routing_t *routing = forwarder_routing(task->forwarder);
	bool warms = sharing_apply(&task->sharing, pool, routing);
	uint64_t now_us = loop_now_us();

	sharing_apply_cold(&task->sharing, members, pool, now_us);
	if (!warms)
		return;
	warm_set_choose(pool, task->vm_name);
	for (guint i = 0; i < pool->searchers->len; i++) {
		searcher_t *searcher = g_ptr_array_index(pool->searchers, i);

		if (warm_set_is_due(pool, searcher, now_us))
			link_task_warm(task->links, searcher);
	}
}

/* Choosing the gatherers ranks every VM, so it is not done on each change of a searcher. */
static void update_fleet(front_task_t *task)
{
	const routing_t *routing = forwarder_routing(task->forwarder);
	const fleet_t fleet = {.vms = store_sync_task_vms(task->store_sync),
			       .regions = task->regions,
			       .connections =
				       routing ? routing_min_gather_connections(routing) : 0};

	task->fleet_changed = false;
	gather_task_set_fleet(task->gathers, &fleet);
	quota_task_set_fleet(task->quotas, &fleet, own_region(task));
	sharing_clear(&task->sharing);
	sharing_update(&task->sharing, &fleet, task->vm_name, task->retry_constant);
}

static void set_shares(void *ctx)
{
	front_task_t *task = ctx;
	const cold_members_t members = store_sync_task_cold_members(task->store_sync);
	GHashTableIter iter;
	gpointer pool;

	loop_timer_set(task->loop, &task->shares_timer, SHARES_PERIOD_US);
	sharing_update_members(&task->sharing, &members, task->fleet_changed, loop_now_us());
	if (task->fleet_changed)
		update_fleet(task);
	registry_set_bound(task->registry, task->retry_ratio, 0);
	g_hash_table_iter_init(&iter, registry_pools(task->registry));
	while (g_hash_table_iter_next(&iter, NULL, &pool))
		set_pool_shares(task, pool, &members);
}

/* Searchers change in groups: set the shares once per group, in the same iteration of the loop. */
static void schedule_set_shares(front_task_t *task)
{
	loop_timer_set(task->loop, &task->shares_timer, 0);
}

static void fleet_changed(front_task_t *task)
{
	task->fleet_changed = true;
	schedule_set_shares(task);
}

static void on_searcher_changed(void *ctx, searcher_t *searcher)
{
	front_task_t *task = ctx;

	g_message("event=searcher-%s searcher=%s service=%s address=%s:%u data_centre=%s "
		  "evacuated=%d",
		  searcher_state_name(searcher->state), searcher->id, searcher->service,
		  searcher->address, searcher->port, searcher->data_centre, searcher->evacuated);
	schedule_set_shares(task);
	if (searcher->state == SEARCHER_ENDED)
		forwarder_searcher_ended(task->forwarder, searcher, loop_now_us());
	link_task_searcher_changed(task->links, searcher);
}

static void write_head(void *ctx, const subrequest_t *sub, GString *out)
{
	const GString *head = relay_head(sub->forward->owner);

	(void)ctx;
	g_string_append_len(out, head->str, (gssize)head->len);
	headers_write_subrequest(out, sub->searcher, sub->forward->tenant,
				 subrequest_time_left_us(sub, loop_now_us()));
}

static const GString *body_of(void *ctx, const subrequest_t *sub)
{
	(void)ctx;
	return relay_body(sub->forward->owner);
}

static const char *id_of(void *ctx, const subrequest_t *sub)
{
	const relay_t *relay = sub->forward->owner;

	(void)ctx;
	return relay->request.id;
}

static void on_send(void *ctx, subrequest_t *sub)
{
	link_task_send(((front_task_t *)ctx)->links, sub);
}

static void on_cancel(void *ctx, subrequest_t *sub)
{
	link_task_cancel(((front_task_t *)ctx)->links, sub);
}

static void on_subrequest_ended(void *ctx, subrequest_t *sub, sub_reply_t *reply)
{
	front_task_t *task = ctx;

	front_log_subrequest(sub, reply);
	forwarder_subrequest_ended(task->forwarder, sub, reply, loop_now_us());
	arm_forwarder(task);
}

static void on_connection_refused(void *ctx, searcher_t *searcher)
{
	front_task_t *task = ctx;

	forwarder_searcher_ended(task->forwarder, searcher, loop_now_us());
	arm_forwarder(task);
}

static void on_connected(void *ctx, searcher_t *searcher, uint64_t since_us)
{
	forwarder_searcher_listens(((front_task_t *)ctx)->forwarder, searcher, since_us);
}

static void on_has_capacity(void *ctx, const char *service)
{
	front_task_t *task = ctx;

	forwarder_dispatch_waiting(task->forwarder, service, loop_now_us());
	arm_forwarder(task);
}

/* ---- observations of searchers, shared with the VMs of this region ---- */

static void on_observed(void *ctx, const observation_t *observation)
{
	front_task_t *task = ctx;

	if (observation->type == OBSERVATION_HUNG)
		g_message("event=searcher-hangs searcher=%s after_us=%" G_GUINT64_FORMAT
			  " outcome=avoided",
			  observation->searcher, observation->after_us);
	store_sync_task_publish(task->store_sync, observation);
}

static void on_observation_received(void *ctx, const observation_t *observation)
{
	front_task_t *task = ctx;

	if (observation->type == OBSERVATION_HUNG)
		g_info("event=searcher-hangs searcher=%s after_us=%" G_GUINT64_FORMAT
		       " told_by=other-vm",
		       observation->searcher, observation->after_us);
	forwarder_take_observation(task->forwarder, observation, loop_now_us());
}

/* ---- requests that crash searchers ---- */

static void on_poison_publish(void *ctx, const poison_update_t *update)
{
	poison_task_publish(((front_task_t *)ctx)->poison, update);
}

static void on_poison_remove(void *ctx, fingerprint_t fingerprint)
{
	poison_task_remove(((front_task_t *)ctx)->poison, fingerprint);
}

static void on_poison_changed(void *ctx, const poison_update_t *update, const char *what)
{
	char text[FINGERPRINT_TEXT_BYTES];

	(void)ctx;
	fingerprint_format(update->fingerprint, text);
	g_log(update->strikes > 1 ? LOG_DECISIONS : NULL, G_LOG_LEVEL_MESSAGE,
	      "event=poison fingerprint=%s outcome=%s strikes=%u service=%s", text, what,
	      update->strikes, update->service);
}

static void on_poison_claim(void *ctx, fingerprint_t fingerprint, uint32_t number)
{
	poison_task_claim(((front_task_t *)ctx)->poison, fingerprint, number);
}

static void on_poison_drop_claims(void *ctx, fingerprint_t fingerprint, uint32_t number)
{
	poison_task_drop_claims(((front_task_t *)ctx)->poison, fingerprint, number);
}

static void on_poison_trial(void *ctx, const poison_trial_t *trial)
{
	char text[FINGERPRINT_TEXT_BYTES];

	(void)ctx;
	fingerprint_format(trial->fingerprint, text);
	log_decision("event=poison-trial fingerprint=%s outcome=%s searcher=%s why=%s number=%u "
		     "strikes=%u took_us=%" G_GUINT64_FORMAT,
		     text, trial->outcome, trial->searcher, trial->why, trial->number,
		     trial->strikes, trial->took_us);
}

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

static void answer_taker(front_task_t *task, hop_job_t *job, const forward_answer_t *answer)
{
	const hop_answer_t hop_answer = {.end = answer->outcome,
					 .parts = answer->parts,
					 .missing = answer->missing,
					 .retry_after_us = answer->retry_after_us,
					 .stamps = bytes_of(answer->stamps),
					 .records = bytes_of(answer->records)};

	hop_server_answer(task->hops, job, &hop_answer);
}

static void on_answer(void *ctx, forward_t *forward, const forward_answer_t *answer)
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

	if (forward) /* otherwise on_answer() was called already and freed the relay */
		relay->forward = forward;
	arm_forwarder(task);
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
	return forwarder_routing(task->forwarder)->version <
	       handovers_version(gather_task_handovers(task->gathers));
}

static void on_gather_here(void *ctx, relay_t *relay)
{
	if (is_config_behind(ctx))
		reject_config_behind(ctx, relay);
	else
		submit(ctx, relay);
}

/*
 * The route of a request that is gathered, otherwise NULL. NULL also for a request that this VM
 * refuses: it is refused here, not handed over.
 */
static const route_t *gather_route(const front_task_t *task, const relay_t *relay,
				   const tenant_t **tenant)
{
	const routing_t *routing = forwarder_routing(task->forwarder);
	const route_t *route;

	if (task->stopped_accepting || !routing ||
	    forwarder_is_blocked(task->forwarder, relay->request.fingerprint, loop_now_us()))
		return NULL;
	route = routing_match(routing, relay->request.host, relay->request.target);
	return route && route->gathers &&
			       routing_authorize(routing, route, relay->request.key, tenant)
		       ? route
		       : NULL;
}

/* The key may be one that the newer configuration adds. A caller retries after a 503, but not after
 * a 401. */
static bool may_have_new_key(const front_task_t *task, const relay_t *relay)
{
	const routing_t *routing = forwarder_routing(task->forwarder);
	const tenant_t *tenant;
	const route_t *route;

	if (!routing || !is_config_behind(task))
		return false;
	route = routing_match(routing, relay->request.host, relay->request.target);
	return route && !routing_authorize(routing, route, relay->request.key, &tenant);
}

/* Gatherers are in this VM's region, which may not be the caller's. A request that must stay in
 * other regions is handed over to none of them. */
static void route_request(front_task_t *task, relay_t *relay)
{
	const tenant_t *tenant = NULL;
	const route_t *route = gather_route(task, relay, &tenant);

	if (route && route_allows(route, own_region(task)) &&
	    tenant_allows(tenant, own_region(task)) &&
	    gather_task_hand_over(task->gathers, relay, route,
				  forwarder_routing(task->forwarder)->version))
		return;
	if (route)
		on_gather_here(task, relay);
	else
		submit(task, relay);
}

/* ---- quotas of tenants ---- */

/* The tenant that a token is needed from. NULL if it has no quota, or if the request will be
 * refused for another reason. */
static const tenant_t *limited_tenant(const front_task_t *task, const relay_t *relay)
{
	const routing_t *routing = forwarder_routing(task->forwarder);
	const tenant_t *tenant = NULL;
	const route_t *route;

	if (task->stopped_accepting || !routing ||
	    forwarder_is_blocked(task->forwarder, relay->request.fingerprint, loop_now_us()))
		return NULL;
	route = routing_match(routing, relay->request.host, relay->request.target);
	if (!route || !routing_authorize(routing, route, relay->request.key, &tenant))
		return NULL;
	return tenant && tenant->rate_per_s > 0 ? tenant : NULL;
}

static void refuse_without_token(relay_t *relay, quota_verdict_t verdict, uint64_t retry_after_us)
{
	const forward_answer_t answer = {.outcome = verdict == QUOTA_EXCEEDED ? FORWARD_OVER_QUOTA
									      : FORWARD_NO_QUOTA,
					 .retry_after_us = retry_after_us};

	front_log_refused(&relay->request, answer.outcome, relay->charged, retry_after_us);
	relay_answer_caller(relay, &answer);
	relay_free(relay);
}

static void on_quota_decided(void *ctx, void *owner, quota_verdict_t verdict,
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
		refuse_without_token(relay, verdict, retry_after_us);
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
	const tenant_t *tenant;
	relay_t *relay;

	if (!task->stopped_accepting)
		task->last_request_us = loop_now_us();
	if (*http_message_target(message) != '/' ||
	    http_message_header_occurrences(message, "Host") != 1) {
		reply_bad_request(exchange, "a path and one Host are required");
		return;
	}
	relay = relay_from_caller(exchange);
	http_exchange_set_data(exchange, relay);
	if (may_have_new_key(task, relay)) {
		reject_config_behind(task, relay);
		return;
	}
	tenant = limited_tenant(task, relay);
	if (tenant)
		ask_for_token(task, relay, tenant);
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
	arm_forwarder(task);
}

/* ---- gathers handed over to other VMs ---- */

static void on_gathered(void *ctx, relay_t *relay, const hop_answer_t *answer)
{
	front_task_t *task = ctx;
	g_autoptr(GString) stamps =
		g_string_new_len(answer->stamps.data, (gssize)answer->stamps.bytes);
	g_autoptr(GString) records =
		g_string_new_len(answer->records.data, (gssize)answer->records.bytes);
	bool answered = answer->end == FORWARD_ANSWERED;
	const forward_answer_t forward_answer = {.outcome = answer->end,
						 .stamps = answered ? stamps : NULL,
						 .records = answered ? records : NULL,
						 .parts = answer->parts,
						 .missing = answer->missing,
						 .retry_after_us = answer->retry_after_us};

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
	if (task->stopped_accepting) {
		*reason = HOP_STOPPING;
		return false;
	}
	if (routing->version < job->version) {
		store_sync_task_read_configuration(task->store_sync);
		*reason = HOP_OLDER_CONFIG;
		return false;
	}
	route = routing_match(routing, job->host, job->target);
	if (!route || !route->gathers || !route_allows(route, own_region(task))) {
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
	arm_forwarder(task);
}

static void hop_abandoned(void *ctx, hop_job_t *job)
{
	front_task_t *task = ctx;
	relay_t *relay = job->data;

	g_info("event=taker-left request=%s", job->id ? job->id : "");
	forwarder_abandon(task->forwarder, relay->forward, loop_now_us());
	relay_free(relay);
	arm_forwarder(task);
}

/* ---- changes in the store ---- */

static void on_configured(void *ctx, const routing_t *routing)
{
	front_task_t *task = ctx;
	const http_server_limits_t limits = {.message = {.head_bytes = routing->limits.head_bytes,
							 .body_bytes = routing->limits.body_bytes},
					     .receive_us = routing->limits.receive_us,
					     .idle_us = routing->limits.idle_us};

	http_server_set_limits(task->callers, &limits);
	quota_task_set_routing(task->quotas, routing);
	fleet_changed(task);
}

static void on_list_begin(void *ctx, store_kind_t kind)
{
	store_reader_list_begin(((front_task_t *)ctx)->reader, kind);
}

static void on_object(void *ctx, store_kind_t kind, const store_object_t *object)
{
	front_task_t *task = ctx;

	store_reader_apply(task->reader, kind, object);
	arm_forwarder(task);
}

static void on_list_end(void *ctx, store_kind_t kind)
{
	store_reader_list_end(((front_task_t *)ctx)->reader, kind);
}

static void on_store_lost(void *ctx)
{
	store_reader_store_lost(((front_task_t *)ctx)->reader);
}

static void on_store_back(void *ctx)
{
	store_reader_store_recovered(((front_task_t *)ctx)->reader);
}

static void on_store_restored(void *ctx, bool watches)
{
	front_task_t *task = ctx;

	store_reader_store_restored(task->reader, watches);
	arm_forwarder(task);
}

static void on_members(void *ctx)
{
	fleet_changed(ctx);
}

/* ---- readiness ---- */

static void on_ready_request(void *ctx, http_exchange_t *exchange)
{
	front_task_t *task = ctx;
	bool ready = !task->draining && forwarder_routing(task->forwarder) &&
		     registry_is_ready(task->registry);
	const char *text = ready ? "ready\n" : "not ready\n";

	http_exchange_reply(exchange, ready ? 200 : 503, "text/plain", text, strlen(text));
}

static void on_metrics_request(void *ctx, http_exchange_t *exchange)
{
	front_task_t *task = ctx;
	const front_metrics_sources_t sources = {.forwarder = task->forwarder,
						 .registry = task->registry,
						 .links = link_task_counters(task->links),
						 .store_sync = task->store_sync,
						 .store = platform_task_counters(task->platform),
						 .handovers = gather_task_handovers(task->gathers),
						 .gathers_for_others = hop_server_open(task->hops),
						 .reader = store_reader_counters(task->reader),
						 .quotas = task->quotas,
						 .tenants = task->tenant_counters};
	g_autoptr(GString) text = front_metrics_write(&sources);

	http_exchange_reply(exchange, 200, "text/plain; version=0.0.4", text->str, text->len);
}

/* ---- start and stop ---- */

static bool listen_all(front_task_t *task, const settings_t *settings)
{
	static const http_server_ops_t caller_ops = {.request = on_request,
						     .disconnected = on_disconnected};
	static const http_server_ops_t ready_ops = {.request = on_ready_request};
	static const http_server_ops_t metrics_ops = {.request = on_metrics_request};
	static const hop_server_ops_t hop_ops = {.accepts = hop_accepts,
						 .version = hop_version,
						 .gather = hop_gather,
						 .grant = hop_grant,
						 .quota = on_quota_message,
						 .abandoned = hop_abandoned};
	const endpoint_setting_t *gather = &settings->front_gather;
	const endpoint_setting_t *front = &settings->front_callers;
	const endpoint_setting_t *ready = &settings->front_ready;
	const endpoint_setting_t *metrics = &settings->front_metrics;

	task->callers = http_server_new(task->loop, front->address, front->port, &INITIAL_LIMITS,
					&caller_ops, task);
	task->hops = hop_server_new(task->loop, gather->address, gather->port, &hop_ops, task);
	return task->callers && task->hops &&
	       http_server_new(task->loop, ready->address, ready->port,
			       &HTTP_SERVER_INTERNAL_LIMITS(0), &ready_ops, task) &&
	       http_server_new(task->loop, metrics->address, metrics->port,
			       &HTTP_SERVER_INTERNAL_LIMITS(0), &metrics_ops, task);
}

static void start_registry(front_task_t *task, const settings_t *settings)
{
	static const registry_ops_t ops = {.changed = on_searcher_changed};
	const locality_t place = {.data_centre = settings->data_centre,
				  .regions = settings->regions};
	const retry_bound_t bound = {.ratio = settings->retry_ratio,
				     .window_us = (uint64_t)settings->retry_window_s * 1000000};

	task->registry = registry_new(&place, &bound, &ops, task);
	registry_await_evacuations(task->registry, settings->evacuate_ms > 0);
}

static void start_reader(front_task_t *task)
{
	static const store_reader_ops_t ops = {.configured = on_configured};
	const store_reader_parts_t parts = {.registry = task->registry,
					    .forwarder = task->forwarder,
					    .poison = task->poison,
					    .regions = task->regions};

	task->reader = store_reader_new(task->loop, &parts, &ops, task);
}

front_task_t *front_task_new(loop_t *loop, const settings_t *settings, platform_task_t *platform)
{
	static const poison_ops_t poison_ops = {.publish = on_poison_publish,
						.remove = on_poison_remove,
						.changed = on_poison_changed,
						.claim = on_poison_claim,
						.drop_claims = on_poison_drop_claims,
						.trial = on_poison_trial};
	static const forwarder_ops_t forwarder_ops = {.send = on_send,
						      .cancel = on_cancel,
						      .answer = on_answer,
						      .observed = on_observed,
						      .poison = &poison_ops};
	static const link_task_ops_t link_ops = {.write_head = write_head,
						 .body = body_of,
						 .id = id_of,
						 .ended = on_subrequest_ended,
						 .connection_refused = on_connection_refused,
						 .connected = on_connected,
						 .has_capacity = on_has_capacity};
	static const store_sync_task_ops_t store_sync_ops = {.list_begin = on_list_begin,
							     .object = on_object,
							     .list_end = on_list_end,
							     .lost = on_store_lost,
							     .recovered = on_store_back,
							     .restored = on_store_restored,
							     .observation = on_observation_received,
							     .members = on_members};
	static const gather_ops_t gather_ops = {.answer = on_gathered,
						.gather_here = on_gather_here,
						.newer_version = on_newer_version};
	front_task_t *task = g_new0(front_task_t, 1);

	task->loop = loop;
	task->platform = platform;
	task->retry_ratio = settings->retry_ratio;
	task->retry_constant = settings->retry_constant;
	task->vm_name = g_strdup(settings->vm_name);
	task->data_centre = g_strdup(settings->data_centre);
	task->regions = g_hash_table_ref(settings->regions);
	start_registry(task, settings);
	task->links = link_task_new(loop, &link_ops, task);
	task->forwarder = forwarder_new(&forwarder_ops, task, task->registry, g_random_int());
	task->poison = poison_task_new(platform, forwarder_poison(task->forwarder), task->vm_name);
	start_reader(task);
	task->quotas = quota_task_new(loop, settings, on_quota_decided, task);
	task->tenant_counters = tenant_counters_new();
	task->gathers = gather_task_new(loop, own_vm_new(settings), &gather_ops, task);
	task->forwarder_timer = (loop_timer_t){.fire = run_forwarder, .ctx = task};
	task->shares_timer = (loop_timer_t){.fire = set_shares, .ctx = task};
	task->fleet_changed = true;
	if (!listen_all(task, settings))
		return NULL;
	task->store_sync = store_sync_task_new(loop, settings, platform, &store_sync_ops, task);
	return task->store_sync ? task : NULL;
}

void front_task_configure(front_task_t *task, const settings_t *settings)
{
	task->retry_ratio = settings->retry_ratio;
	task->retry_constant = settings->retry_constant;
	fleet_changed(task);
}

void front_task_refresh(front_task_t *task)
{
	hop_server_resumed(task->hops);
	store_sync_task_refresh(task->store_sync);
	run_forwarder(task);
}

void front_task_drain(front_task_t *task)
{
	task->draining = true;
	http_server_drain(task->callers);
	hop_server_drain(task->hops);
}

void front_task_stop_accepting(front_task_t *task)
{
	task->stopped_accepting = true;
	forwarder_stop_accepting(task->forwarder);
}

void front_task_close_idle(front_task_t *task)
{
	http_server_close_idle(task->callers);
}

uint32_t front_task_open_requests(const front_task_t *task)
{
	return http_server_open_exchanges(task->callers) + hop_server_open(task->hops);
}

uint64_t front_task_last_request_us(const front_task_t *task)
{
	return MAX(task->last_request_us, hop_server_last_request_us(task->hops));
}
