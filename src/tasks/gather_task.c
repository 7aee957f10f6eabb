/**
 * @file gather_task.c
 * See gather_task.h.
 */
#include "tasks/gather_task.h"

#include "tasks/hop_client.h"

/* Limit on the usual time from handing a request over until the gatherer confirms it. That time is
 * subtracted from the request's time, for the network round trip to the gatherer. */
#define HOP_ROUND_TRIP_MAX_US 20000

struct gather_task_t {
	loop_t *loop;
	vm_t *own;
	const gather_ops_t *ops;
	void *ctx;
	handovers_t *handovers;
	hop_client_t *client;
	loop_timer_t timer;
};

static void arm(gather_task_t *task)
{
	uint64_t next_us = handovers_next_us(task->handovers), now_us = loop_now_us();

	if (next_us == TIMERS_NEVER)
		loop_timer_cancel(&task->timer);
	else
		loop_timer_set(task->loop, &task->timer, next_us > now_us ? next_us - now_us : 0);
}

static void on_timer(void *ctx)
{
	gather_task_t *task = ctx;

	handovers_run(task->handovers, loop_now_us());
	arm(task);
}

static void on_received(void *ctx)
{
	arm(ctx);
}

/* ---- messages to gatherers ---- */

/*
 * Time for the round trip to the gatherer and for passing its answer on to the caller. A gatherer
 * answers with the parts it has shortly before the target. Without this allowance, answers that
 * lack parts, which are sent at the last moment, reach the caller up to 2 ms after the target from
 * VMs with 0.12 of a core.
 */
static uint64_t delivery_time_us(const gather_task_t *task, const gatherer_t *gatherer)
{
	uint64_t hop_us = MIN((uint64_t)gatherer->accept_latency.value_us, HOP_ROUND_TRIP_MAX_US);

	return hop_us + (uint64_t)vm_answer_us(task->own);
}

static void on_send(void *ctx, handover_t *handover)
{
	gather_task_t *task = ctx;
	relay_t *relay = handover->owner;
	hop_message_t message = {.type = HOP_REQUEST,
				 .serial = handover->serial,
				 .request = relay_hop_request(relay)};

	message.request.version = MAX(relay->version, handovers_version(task->handovers));
	message.request.elapsed_us = loop_now_us() - relay->request.received_us +
				     delivery_time_us(task, handover->gatherer);
	message.request.retried = handover->outcome_unknown;
	hop_client_write(task->client, handover->gatherer, &message);
}

static void on_grant(void *ctx, handover_t *handover, uint32_t count)
{
	gather_task_t *task = ctx;
	const hop_message_t message = {
		.type = HOP_GRANT, .serial = handover->serial, .more_attempts = count};

	hop_client_write(task->client, handover->gatherer, &message);
}

static void on_cancel(void *ctx, handover_t *handover)
{
	gather_task_t *task = ctx;
	const hop_message_t message = {.type = HOP_CANCEL, .serial = handover->serial};

	if (handover->gatherer)
		hop_client_write(task->client, handover->gatherer, &message);
}

static const char *id_of(const handover_t *handover)
{
	const relay_t *relay = handover->owner;

	return relay->request.id ? relay->request.id : "";
}

static void on_unresponsive(void *ctx, const handover_t *handover, uint64_t after_us)
{
	(void)ctx;
	g_message("event=gatherer-silent request=%s vm=%s after_us=%" G_GUINT64_FORMAT
		  " outcome=avoided",
		  id_of(handover), handover->gatherer->vm->name, after_us);
}

static void on_rejected(void *ctx, const handover_t *handover, hop_reason_t reason)
{
	(void)ctx;
	g_info("event=not-taken request=%s vm=%s reason=%s", id_of(handover),
	       handover->gatherer->vm->name, hop_reason_name(reason));
}

static void on_answer(void *ctx, handover_t *handover, const hop_answer_t *answer)
{
	gather_task_t *task = ctx;

	task->ops->answer(task->ctx, handover->owner, answer);
}

static void on_gather_here(void *ctx, handover_t *handover)
{
	gather_task_t *task = ctx;
	relay_t *relay = handover->owner;

	relay->handover = NULL;
	task->ops->gather_here(task->ctx, relay);
}

static void on_newer_version(void *ctx, uint64_t version)
{
	gather_task_t *task = ctx;

	task->ops->newer_version(task->ctx, version);
}

/* ---- interface ---- */

gather_task_t *gather_task_new(loop_t *loop, vm_t *own, const gather_ops_t *ops, void *ctx)
{
	static const handover_ops_t handover_ops = {.send = on_send,
						    .grant = on_grant,
						    .cancel = on_cancel,
						    .unresponsive = on_unresponsive,
						    .rejected = on_rejected,
						    .answer = on_answer,
						    .gather_here = on_gather_here,
						    .newer_version = on_newer_version};
	gather_task_t *task = g_new0(gather_task_t, 1);

	task->loop = loop;
	task->own = own;
	task->ops = ops;
	task->ctx = ctx;
	task->handovers = handovers_new(&handover_ops, task);
	task->client = hop_client_new(loop, task->handovers);
	hop_client_set_received(task->client, on_received, task);
	task->timer = (loop_timer_t){.fire = on_timer, .ctx = task};
	return task;
}

void gather_task_set_fleet(gather_task_t *task, const fleet_t *fleet)
{
	g_autoptr(GPtrArray) gatherers =
		gatherers_for(fleet, task->own->name, task->own->data_centre);

	handovers_set_gatherers(task->handovers, gatherers, task->own->data_centre);
	hop_client_update_links(task->client);
}

bool gather_task_hand_over(gather_task_t *task, relay_t *relay, const route_t *route,
			   uint64_t version)
{
	uint64_t now_us = loop_now_us();
	const handover_limits_t terms = {.deadline_us =
						 forward_times(&relay->request, route).deadline_us,
					 .target_us = route->target_us,
					 .attempts_max = route->max_attempts};

	if (terms.deadline_us <= now_us)
		return false;
	relay->version = version;
	relay->handover = handover_begin(task->handovers, &terms, relay, now_us);
	if (relay->handover)
		arm(task);
	return relay->handover != NULL;
}

void gather_task_stop_at(gather_task_t *task, uint64_t stop_us)
{
	handovers_stop_at(task->handovers, stop_us, loop_now_us());
	arm(task);
}

void gather_task_abandon(gather_task_t *task, relay_t *relay)
{
	handover_abandon(relay->handover);
	relay->handover = NULL;
	arm(task);
}

void gather_task_set_version(gather_task_t *task, uint64_t version)
{
	handovers_set_own_version(task->handovers, version);
}

const handovers_t *gather_task_handovers(const gather_task_t *task)
{
	return task->handovers;
}
