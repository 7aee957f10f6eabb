/**
 * @file front_task.c
 * See front_task.h.
 */
#include "tasks/front_private.h"

#include "core/tenant_counters.h"
#include "core/warm_set.h"
#include "headers.h"
#include "log.h"
#include "queries/front_log.h"
#include "queries/front_metrics.h"
#include "tasks/own_vm.h"
#include "tasks/relay.h"

#include <string.h>

/* Connection shares that were reduced after a refusal by a searcher are restored this often. */
#define SHARES_PERIOD_US 5000000
/* In force until a configuration has been read. */
#define INITIAL_LIMITS                                                                             \
	((http_server_limits_t){.message = {.head_bytes = 16384, .body_bytes = 1u << 20},          \
				.receive_us = 5000000,                                             \
				.idle_us = 60000000})

/* ---- time ---- */

void front_arm_forwarder(front_task_t *task)
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
	front_arm_forwarder(task);
}

const char *front_own_region(const front_task_t *task)
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
	quota_task_set_fleet(task->quotas, &fleet, front_own_region(task));
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
	front_arm_forwarder(task);
}

static void on_connection_refused(void *ctx, searcher_t *searcher)
{
	front_task_t *task = ctx;

	forwarder_searcher_ended(task->forwarder, searcher, loop_now_us());
	front_arm_forwarder(task);
}

static void on_connected(void *ctx, searcher_t *searcher, uint64_t since_us)
{
	forwarder_searcher_listens(((front_task_t *)ctx)->forwarder, searcher, since_us);
}

static void on_has_capacity(void *ctx, const char *service)
{
	front_task_t *task = ctx;

	forwarder_dispatch_waiting(task->forwarder, service, loop_now_us());
	front_arm_forwarder(task);
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

/* ---- changes in the store ---- */

static void on_configured(void *ctx, const routing_t *routing)
{
	front_task_t *task = ctx;
	const http_server_limits_t limits = {.message = {.head_bytes = routing->limits.head_bytes,
							 .body_bytes = routing->limits.body_bytes},
					     .receive_us = routing->limits.receive_us,
					     .idle_us = routing->limits.idle_us};

	http_server_set_limits(task->callers, &limits);
	gather_task_set_version(task->gathers, routing->version);
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
	front_arm_forwarder(task);
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
	front_arm_forwarder(task);
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
	const front_metrics_sources_t sources = {
		.forwarder = task->forwarder,
		.registry = task->registry,
		.links = link_task_counters(task->links),
		.replies = task->replies,
		.requests = task->requests,
		.open_requests = task->open_requests,
		.pacing = pacing_counters(task->pacing),
		.store_sync = task->store_sync,
		.store = platform_task_counters(task->platform),
		.handovers = gather_task_handovers(task->gathers),
		.caller_connections = http_server_connections(task->callers),
		.caller_connections_refused = http_server_connections_refused(task->callers),
		.gathers_for_others = hop_server_open(task->hops),
		.reader = store_reader_counters(task->reader),
		.quotas = task->quotas,
		.tenants = task->tenant_counters};
	g_autoptr(GString) text = front_metrics_write(&sources);

	http_exchange_reply(exchange, 200, "text/plain; version=0.0.4", text->str, text->len);
}

/* ---- start and stop ---- */

static bool listen_internal(front_task_t *task, const endpoint_setting_t *at,
			    const http_server_ops_t *ops)
{
	http_server_t *server = http_server_new(task->loop, at->address, at->port,
						&HTTP_SERVER_INTERNAL_LIMITS(0), ops, task);

	if (!server)
		return false;
	http_server_pace(server, task->pacing);
	http_server_limit_probes(server);
	return true;
}

static bool listen_all(front_task_t *task, const settings_t *settings)
{
	static const http_server_ops_t ready_ops = {.request = on_ready_request};
	static const http_server_ops_t metrics_ops = {.request = on_metrics_request};
	const endpoint_setting_t *gather = &settings->front_gather;
	const endpoint_setting_t *front = &settings->front_callers;
	const endpoint_setting_t *ready = &settings->front_ready;
	const endpoint_setting_t *metrics = &settings->front_metrics;

	task->callers = http_server_new(task->loop, front->address, front->port, &INITIAL_LIMITS,
					&front_caller_ops, task);
	if (task->callers) {
		http_server_leave_descriptors(task->callers);
		http_server_limit_memory(task->callers, task->requests, task->open_requests);
		http_server_pace(task->callers, task->pacing);
	}
	task->hops =
		hop_server_new(task->loop, gather->address, gather->port, &front_hop_ops, task);
	return task->callers && task->hops && listen_internal(task, ready, &ready_ops) &&
	       listen_internal(task, metrics, &metrics_ops);
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

front_task_t *front_task_new(loop_t *loop, const settings_t *settings, http_memory_t *replies,
			     platform_task_t *platform)
{
	static const poison_ops_t poison_ops = {.publish = on_poison_publish,
						.remove = on_poison_remove,
						.changed = on_poison_changed,
						.claim = on_poison_claim,
						.drop_claims = on_poison_drop_claims,
						.trial = on_poison_trial};
	static const forwarder_ops_t forwarder_ops = {.send = on_send,
						      .cancel = on_cancel,
						      .answer = front_on_answer,
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
	front_task_t *task = g_new0(front_task_t, 1);

	task->loop = loop;
	task->platform = platform;
	task->replies = replies;
	task->requests = http_memory_new(settings_requests_bytes(settings));
	task->pacing = pacing_new(loop, settings_excess_ppm(settings));
	task->open_requests = http_memory_new(settings_open_requests_bytes(settings));
	task->retry_ratio = settings->retry_ratio;
	task->retry_constant = settings->retry_constant;
	task->vm_name = g_strdup(settings->vm_name);
	task->data_centre = g_strdup(settings->data_centre);
	task->regions = g_hash_table_ref(settings->regions);
	start_registry(task, settings);
	task->links = link_task_new(loop, replies, &link_ops, task);
	task->forwarder = forwarder_new(&forwarder_ops, task, task->registry, g_random_int());
	if (settings->admission_enabled)
		forwarder_enable_admission(task->forwarder);
	task->poison = poison_task_new(platform, forwarder_poison(task->forwarder), task->vm_name);
	start_reader(task);
	task->quotas = quota_task_new(loop, settings, front_on_quota_decided, task);
	task->tenant_counters = tenant_counters_new();
	task->gathers = gather_task_new(loop, own_vm_new(settings), &front_gather_ops, task);
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

void front_task_stop_at(front_task_t *task, uint64_t stop_us)
{
	forwarder_stop_at(task->forwarder, stop_us, loop_now_us());
	gather_task_stop_at(task->gathers, stop_us);
	front_arm_forwarder(task);
}

void front_task_refuse_long(front_task_t *task)
{
	task->refuses_long = true;
	forwarder_refuse_long(task->forwarder);
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
