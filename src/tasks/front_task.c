/**
 * @file front_task.c
 * See front_task.h.
 */
#include "tasks/front_task.h"

#include "core/connection_share.h"
#include "headers.h"
#include "queries/front_log.h"
#include "queries/front_metrics.h"
#include "tasks/link_task.h"
#include "tasks/supply_task.h"

#include <string.h>

/* Of the constant part of the bound on retries: requests for one service that reach a searcher of
 * another one count there, too. */
#define CONSTANT_USED 0.8
/* Shares that were cut after a refusal are given back this often. */
#define SHARES_PERIOD_US 5000000
/* Names of unreadable entries that are remembered, so that each is logged once. */
#define UNREADABLE_MOST 256
/* Before a configuration says otherwise. */
#define FIRST_LIMITS                                                                               \
	((http_server_limits_t){.message = {.head_bytes = 16384, .body_bytes = 1u << 20},          \
				.receive_us = 5000000,                                             \
				.idle_us = 60000000})

struct front_task_t {
	loop_t *loop;
	http_server_t *callers;
	forwarder_t *forwarder;
	registry_t *registry;
	link_task_t *links;
	supply_task_t *supply;
	platform_task_t *platform;
	loop_timer_t forwarder_timer;
	loop_timer_t registry_timer;
	loop_timer_t shares_timer;
	uint64_t last_request_us;
	double retry_ratio;
	uint32_t retry_constant;
	char *vm_name;
	GHashTable *regions;	/* data centre to region */
	GHashTable *unreadable; /* names of entries that were said to be so */
	uint64_t entries_ignored;
	bool leaving;
	bool refusing;
};

/* One caller's request on its way. */
typedef struct relay_t {
	front_task_t *task;
	http_exchange_t *exchange;
	forward_t *forward;
	GString *common; /* what all its sub-requests share; made when the first is sent */
	caller_headers_t headers;
} relay_t;

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

static void run_registry(void *ctx)
{
	front_task_t *task = ctx;
	uint64_t now_us = loop_now_us();
	uint64_t next_us = registry_run(task->registry, now_us);

	if (next_us != UINT64_MAX)
		loop_timer_set(task->loop, &task->registry_timer, next_us - now_us);
}

/* ---- connections to searchers ---- */

static void set_pool_shares(front_task_t *task, pool_t *pool, const vm_counts_t *counts)
{
	const routing_t *routing = forwarder_routing(task->forwarder);

	connection_share_set(pool, routing ? routing_connections(routing, pool->service) : 0,
			     counts);
	if (!routing)
		return;
	for (guint i = 0; i < pool->searchers->len; i++)
		link_task_warm(task->links, g_ptr_array_index(pool->searchers, i));
}

static void set_shares(void *ctx)
{
	front_task_t *task = ctx;
	vm_counts_t counts = {.own_name = task->vm_name, .regions = task->regions};
	GHashTableIter iter;
	gpointer pool;

	loop_timer_set(task->loop, &task->shares_timer, SHARES_PERIOD_US);
	vm_counts_take(&counts, supply_task_vms(task->supply));
	g_hash_table_iter_init(&iter, registry_pools(task->registry));
	while (g_hash_table_iter_next(&iter, NULL, &pool))
		set_pool_shares(task, pool, &counts);
	registry_set_bound(task->registry, task->retry_ratio,
			   CONSTANT_USED * task->retry_constant / counts.all);
	vm_counts_clear(&counts);
}

/* Searchers change in groups; the shares are set once for all of them, in the same turn. */
static void shares_due(front_task_t *task)
{
	loop_timer_set(task->loop, &task->shares_timer, 0);
}

static void on_searcher_changed(void *ctx, searcher_t *searcher)
{
	front_task_t *task = ctx;

	g_message("event=searcher-%s searcher=%s service=%s address=%s:%u data_centre=%s",
		  searcher_state_name(searcher->state), searcher->id, searcher->service,
		  searcher->address, searcher->port, searcher->data_centre);
	shares_due(task);
	link_task_searcher_changed(task->links, searcher);
}

static void write_head(void *ctx, const sub_t *sub, GString *out)
{
	relay_t *relay = sub->forward->owner;

	(void)ctx;
	if (!relay->common) {
		relay->common = g_string_sized_new(512);
		headers_write_common(relay->common, http_exchange_message(relay->exchange));
	}
	g_string_append_len(out, relay->common->str, (gssize)relay->common->len);
	headers_write_sub(out, sub->searcher, sub_left_us(sub, loop_now_us()));
}

static const GString *body_of(void *ctx, const sub_t *sub)
{
	relay_t *relay = sub->forward->owner;

	(void)ctx;
	return http_exchange_body(relay->exchange);
}

static const char *id_of(void *ctx, const sub_t *sub)
{
	relay_t *relay = sub->forward->owner;

	(void)ctx;
	return relay->headers.id;
}

static void on_send(void *ctx, sub_t *sub)
{
	link_task_send(((front_task_t *)ctx)->links, sub);
}

static void on_cancel(void *ctx, sub_t *sub)
{
	link_task_cancel(((front_task_t *)ctx)->links, sub);
}

static void on_sub_ended(void *ctx, sub_t *sub, sub_reply_t *reply)
{
	front_task_t *task = ctx;

	front_log_sub(sub, reply);
	forwarder_sub_ended(task->forwarder, sub, reply, loop_now_us());
	arm_forwarder(task);
}

static void on_room(void *ctx, const char *service)
{
	front_task_t *task = ctx;

	forwarder_room(task->forwarder, service, loop_now_us());
	arm_forwarder(task);
}

/* ---- what VMs of this data centre see of searchers ---- */

static void on_sighted(void *ctx, const sighting_t *sighting)
{
	front_task_t *task = ctx;

	if (sighting->type == SIGHTING_HUNG)
		g_message("event=searcher-hangs searcher=%s after_us=%" G_GUINT64_FORMAT
			  " outcome=avoided",
			  sighting->searcher, sighting->after_us);
	supply_task_tell(task->supply, sighting);
}

static void on_sighting(void *ctx, const sighting_t *sighting)
{
	front_task_t *task = ctx;

	if (sighting->type == SIGHTING_HUNG)
		g_info("event=searcher-hangs searcher=%s after_us=%" G_GUINT64_FORMAT
		       " told_by=other-vm",
		       sighting->searcher, sighting->after_us);
	forwarder_take_sighting(task->forwarder, sighting, loop_now_us());
}

/* ---- answers ---- */

static void relay_free(relay_t *relay)
{
	if (relay->common)
		g_string_free(relay->common, TRUE);
	http_exchange_unref(relay->exchange);
	g_free(relay);
}

static void on_answer(void *ctx, forward_t *forward, const forward_answer_t *answer)
{
	relay_t *relay = forward->owner;
	http_exchange_t *exchange = relay->exchange;
	const char *text = forward_end_name(answer->end);
	const GString *body = answer->records;
	int status = forward_end_status(answer->end);

	(void)ctx;
	if (answer->reply)
		status = answer->reply->status;
	front_log_answer(relay->headers.id, forward, answer, status,
			 supply_task_age_us(relay->task->supply));
	http_exchange_set_data(exchange, NULL);
	if (answer->retry_after_us)
		headers_add_retry_after(exchange, answer->retry_after_us);
	if (answer->stamps)
		headers_add_gathered(exchange, answer);
	if (answer->reply) {
		headers_add_reply(exchange, answer->reply);
		body = answer->reply->body;
	}
	http_exchange_reply(exchange, status, body ? NULL : "text/plain", body ? body->str : text,
			    body ? body->len : strlen(text));
	relay_free(relay);
}

/* ---- requests ---- */

static void refuse(http_exchange_t *exchange, const char *reason)
{
	g_info("event=request-refused status=400 reason=\"%s\"", reason);
	http_exchange_reply(exchange, 400, "text/plain", reason, strlen(reason));
}

static void on_request(void *ctx, http_exchange_t *exchange)
{
	front_task_t *task = ctx;
	const http_message_t *message = http_exchange_message(exchange);
	const char *target = http_message_target(message);
	forward_request_t request;
	forward_t *forward;
	relay_t *relay;

	if (!task->refusing)
		task->last_request_us = loop_now_us();
	if (*target != '/' || http_message_header_times(message, "Host") != 1) {
		refuse(exchange, "a path and one Host are required");
		return;
	}
	relay = g_new0(relay_t, 1);
	relay->task = task;
	relay->exchange = http_exchange_ref(exchange);
	headers_read_caller(message, &relay->headers);
	http_exchange_set_data(exchange, relay);
	request = (forward_request_t){.id = relay->headers.id,
				      .host = relay->headers.host,
				      .target = target,
				      .received_us = http_exchange_begun_us(exchange),
				      .patience_us = relay->headers.patience_us};
	forward = forwarder_submit(task->forwarder, &request, relay, loop_now_us());
	if (forward) /* else it was answered at once, and the relay is gone */
		relay->forward = forward;
	arm_forwarder(task);
}

static void on_gone(void *ctx, http_exchange_t *exchange)
{
	front_task_t *task = ctx;
	relay_t *relay = http_exchange_data(exchange);

	if (!relay)
		return;
	g_info("event=caller-left request=%s", relay->headers.id ? relay->headers.id : "");
	forwarder_abandon(task->forwarder, relay->forward, loop_now_us());
	relay_free(relay);
	arm_forwarder(task);
}

/* ---- what the store says ---- */

/* One line a name, until it is read again: each list repeats what is wrong. */
static void say_unreadable(front_task_t *task, const char *name, const char *reason)
{
	g_autofree char *escaped = g_strescape(name, NULL);

	task->entries_ignored++;
	if (g_hash_table_size(task->unreadable) >= UNREADABLE_MOST ||
	    !g_hash_table_add(task->unreadable, g_strdup(name)))
		return;
	g_warning("event=searcher-ignored searcher=\"%s\" reason=\"%s\"", escaped, reason);
}

static void take_searcher(front_task_t *task, const store_object_t *object)
{
	searcher_entry_t entry;
	err_t err = {0};

	if (object->removed) {
		g_hash_table_remove(task->unreadable, object->name);
		registry_remove(task->registry, object->name, store_born_ms(object), loop_now_us());
		run_registry(task);
		return;
	}
	if (!store_read_searcher(object, &entry, &err)) {
		say_unreadable(task, object->name, err.text);
		registry_put_unreadable(task->registry, object->name);
		return;
	}
	g_hash_table_remove(task->unreadable, object->name);
	registry_put(task->registry, &entry, loop_now_us());
	searcher_entry_clear(&entry);
}

static void on_store_lost(void *ctx)
{
	registry_store_lost(((front_task_t *)ctx)->registry);
}

static void on_store_back(void *ctx)
{
	front_task_t *task = ctx;

	registry_store_back(task->registry, loop_now_us());
	run_registry(task);
}

static void apply(front_task_t *task, routing_t *routing)
{
	const http_server_limits_t limits = {.message = {.head_bytes = routing->limits.head_bytes,
							 .body_bytes = routing->limits.body_bytes},
					     .receive_us = routing->limits.receive_us,
					     .idle_us = routing->limits.idle_us};

	g_message("event=configuration version=%" G_GUINT64_FORMAT " routes=%u outcome=in-force",
		  routing->version, routing->routes->len);
	forwarder_set_routing(task->forwarder, routing);
	http_server_set_limits(task->callers, &limits);
	shares_due(task);
}

/* A version once in force is never followed by an older one. */
static void take_configuration(front_task_t *task, const store_object_t *object)
{
	const routing_t *current = forwarder_routing(task->forwarder);
	routing_t *routing;
	err_t err = {0};

	if (!store_is_configuration(object))
		return;
	routing = store_read_routing(object->content, &err);
	if (!routing) {
		g_warning("event=configuration outcome=ignored reason=\"%s\"", err.text);
		return;
	}
	if (current && routing->version <= current->version) {
		g_info("event=configuration version=%" G_GUINT64_FORMAT
		       " outcome=ignored reason=not-newer",
		       routing->version);
		routing_unref(routing);
		return;
	}
	apply(task, routing);
}

static void on_list_begin(void *ctx, store_kind_t kind)
{
	if (kind == STORE_SEARCHERS)
		registry_list_begin(((front_task_t *)ctx)->registry);
}

static void on_object(void *ctx, store_kind_t kind, const store_object_t *object)
{
	if (kind == STORE_SEARCHERS)
		take_searcher(ctx, object);
	else
		take_configuration(ctx, object);
}

static void on_list_end(void *ctx, store_kind_t kind)
{
	front_task_t *task = ctx;

	if (kind != STORE_SEARCHERS)
		return;
	registry_list_end(task->registry, loop_now_us());
	run_registry(task);
}

static void on_members(void *ctx)
{
	shares_due(ctx);
}

/* ---- readiness ---- */

static void on_ready_request(void *ctx, http_exchange_t *exchange)
{
	front_task_t *task = ctx;
	bool ready = !task->leaving && forwarder_routing(task->forwarder) &&
		     registry_is_known(task->registry);
	const char *text = ready ? "ready\n" : "not ready\n";

	http_exchange_reply(exchange, ready ? 200 : 503, "text/plain", text, strlen(text));
}

static void on_metrics_request(void *ctx, http_exchange_t *exchange)
{
	front_task_t *task = ctx;
	const front_sources_t sources = {.forwarder = task->forwarder,
					 .registry = task->registry,
					 .links = link_task_counters(task->links),
					 .supply = task->supply,
					 .store = platform_task_counters(task->platform),
					 .entries_ignored = task->entries_ignored};
	g_autoptr(GString) text = front_metrics_write(&sources);

	http_exchange_reply(exchange, 200, "text/plain; version=0.0.4", text->str, text->len);
}

/* ---- start and stop ---- */

static bool listen_all(front_task_t *task, const settings_t *settings)
{
	static const http_server_ops_t caller_ops = {.request = on_request, .gone = on_gone};
	static const http_server_ops_t ready_ops = {.request = on_ready_request};
	static const http_server_ops_t metrics_ops = {.request = on_metrics_request};
	const endpoint_setting_t *front = &settings->front_callers;
	const endpoint_setting_t *ready = &settings->front_ready;
	const endpoint_setting_t *metrics = &settings->front_metrics;

	task->callers = http_server_new(task->loop, front->address, front->port, &FIRST_LIMITS,
					&caller_ops, task);
	return task->callers &&
	       http_server_new(task->loop, ready->address, ready->port, &HTTP_SERVER_OWN_LIMITS(0),
			       &ready_ops, task) &&
	       http_server_new(task->loop, metrics->address, metrics->port,
			       &HTTP_SERVER_OWN_LIMITS(0), &metrics_ops, task);
}

static void start_registry(front_task_t *task, const settings_t *settings)
{
	static const registry_ops_t ops = {.changed = on_searcher_changed};
	const place_t place = {.data_centre = settings->data_centre, .regions = settings->regions};
	const retry_bound_t bound = {.ratio = settings->retry_ratio,
				     .window_us = (uint64_t)settings->retry_window_s * 1000000};

	task->registry = registry_new(&place, &bound, &ops, task);
}

front_task_t *front_task_new(loop_t *loop, const settings_t *settings, platform_task_t *platform)
{
	static const forwarder_ops_t forwarder_ops = {
		.send = on_send, .cancel = on_cancel, .answer = on_answer, .sighted = on_sighted};
	static const link_task_ops_t link_ops = {.write_head = write_head,
						 .body = body_of,
						 .id = id_of,
						 .ended = on_sub_ended,
						 .room = on_room};
	static const supply_ops_t supply_ops = {.list_begin = on_list_begin,
						.object = on_object,
						.list_end = on_list_end,
						.lost = on_store_lost,
						.back = on_store_back,
						.sighting = on_sighting,
						.members = on_members};
	front_task_t *task = g_new0(front_task_t, 1);

	task->loop = loop;
	task->platform = platform;
	task->retry_ratio = settings->retry_ratio;
	task->retry_constant = settings->retry_constant;
	task->vm_name = g_strdup(settings->vm_name);
	task->regions = g_hash_table_ref(settings->regions);
	task->unreadable = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	start_registry(task, settings);
	task->links = link_task_new(loop, &link_ops, task);
	task->forwarder = forwarder_new(&forwarder_ops, task, task->registry, g_random_int());
	task->forwarder_timer = (loop_timer_t){.fire = run_forwarder, .ctx = task};
	task->registry_timer = (loop_timer_t){.fire = run_registry, .ctx = task};
	task->shares_timer = (loop_timer_t){.fire = set_shares, .ctx = task};
	if (!listen_all(task, settings))
		return NULL;
	task->supply = supply_task_new(loop, settings, platform, &supply_ops, task);
	return task->supply ? task : NULL;
}

void front_task_configure(front_task_t *task, const settings_t *settings)
{
	task->retry_ratio = settings->retry_ratio;
	task->retry_constant = settings->retry_constant;
	shares_due(task);
}

void front_task_refresh(front_task_t *task)
{
	supply_task_refresh(task->supply);
	run_forwarder(task);
}

void front_task_leave(front_task_t *task)
{
	task->leaving = true;
	http_server_leave(task->callers);
}

void front_task_refuse(front_task_t *task)
{
	task->refusing = true;
	forwarder_leave(task->forwarder);
}

void front_task_close_idle(front_task_t *task)
{
	http_server_close_idle(task->callers);
}

uint32_t front_task_open(const front_task_t *task)
{
	return http_server_open_exchanges(task->callers);
}

uint64_t front_task_last_request_us(const front_task_t *task)
{
	return task->last_request_us;
}
