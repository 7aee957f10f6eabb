/**
 * @file platform_task.c
 * See platform_task.h.
 */
#include "tasks/platform_task.h"

#include "core/feed_timing.h"
#include "core/json_salvage.h"
#include "net/http_pool.h"
#include "store.h"

#include <stdio.h>
#include <stdlib.h>

#define CALL_SLOTS PLATFORM_FETCHES_MAX
#define CALL_TIMEOUT_US 1000000
#define WATCH_MS 4000
/*
 * A watch whose connection failed silently would hide changes: it is cancelled this long after its
 * own time-out.
 */
#define WATCH_GRACE_US 1500000
#define PENDING_CALLS_MAX 1024

typedef struct platform_call_t {
	platform_task_t *task;
	const char *method;
	char *path;
	char *body;
	platform_done_f done;
	void *ctx;
	uint64_t timeout_us;
	bool watch;
	int slot;
	http_call_t *call;
	loop_timer_t timer;
} platform_call_t;

struct platform_task_t {
	loop_t *loop;
	char *address;
	uint16_t port;
	http_pool_t *pool;
	http_pool_t *watch_pool;
	platform_call_t *slots[CALL_SLOTS];
	GQueue pending; /* platform_call_t */
	platform_counters_t counters;
	store_era_t era;
	void (*restored)(void *ctx);
	void *restored_ctx;
};

platform_task_t *platform_task_new(loop_t *loop, http_memory_t *memory, const char *address,
				   uint16_t port)
{
	platform_task_t *task = g_new0(platform_task_t, 1);

	task->loop = loop;
	task->address = g_strdup(address);
	task->port = port;
	task->pool = http_pool_new(loop, memory, CALL_SLOTS);
	task->watch_pool = http_pool_new(loop, memory, 1);
	g_queue_init(&task->pending);
	return task;
}

const platform_counters_t *platform_task_counters(const platform_task_t *task)
{
	return &task->counters;
}

static void call_free(platform_call_t *call)
{
	g_free(call->path);
	g_free(call->body);
	g_free(call);
}

static platform_end_t end_from_status(int status)
{
	switch (status) {
	case 200:
		return PLATFORM_OK;
	case 304:
		return PLATFORM_UNCHANGED;
	case 404:
		return PLATFORM_ABSENT;
	case 409:
		return PLATFORM_CONFLICT;
	default:
		return PLATFORM_UNKNOWN;
	}
}

/* Objects of other writers may contain invalid JSON; the rest of the reply is still used. */
static json_t *read_body(const platform_call_t *call, const GString *text)
{
	uint32_t damaged = 0;
	json_t *body = json_salvage(text->str, text->len, &damaged);

	if (damaged)
		g_info("event=store-reply-damaged path=%s values=%u outcome=left-out", call->path,
		       damaged);
	call->task->counters.damaged += damaged;
	return body;
}

void platform_task_set_restored(platform_task_t *task, void (*restored)(void *ctx), void *ctx)
{
	task->restored = restored;
	task->restored_ctx = ctx;
}

store_era_change_t platform_task_observe_era(platform_task_t *task, uint64_t number)
{
	store_era_change_t change = store_era_observe(&task->era, number);

	if (change != STORE_ERA_NEWER)
		return change;
	g_message("event=store-restored era=%" G_GUINT64_FORMAT " outcome=read-anew", number);
	if (task->restored)
		task->restored(task->restored_ctx);
	return change;
}

uint64_t platform_task_era(const platform_task_t *task)
{
	return task->era.number;
}

/*
 * Whether the reply belongs to the current store era. A reply that the store sent before it was
 * restored from an older copy may arrive afterwards: the objects in it are lost, and a write that
 * it confirms may be lost, too.
 */
static bool is_current(platform_task_t *task, const http_call_t *http)
{
	err_t err = {0};
	uint64_t era;

	if (!store_read_era(http_call_header(http), http_call_status(http), &era, &err)) {
		if (!*err.text)
			return true;
		task->counters.eras_malformed++;
		g_warning("event=store-era-ignored reason=\"%s\"", err.text);
		return true;
	}
	if (platform_task_observe_era(task, era) != STORE_ERA_OLDER)
		return true;
	task->counters.outdated++;
	return false;
}

static platform_reach_t reach_of(const http_call_t *http)
{
	switch (http_call_result(http)) {
	case HTTP_CALL_REPLIED:
		return PLATFORM_REPLIED;
	case HTTP_CALL_NOT_SENT:
		return PLATFORM_NOT_SENT;
	case HTTP_CALL_CANCELLED:
		return PLATFORM_TIMED_OUT;
	default:
		return PLATFORM_CONNECTION_LOST;
	}
}

const char *platform_reach_name(platform_reach_t reach)
{
	static const char *const names[] = {"replied", "not-sent", "cut", "silent"};

	return names[reach];
}

static void deliver_result(platform_call_t *call, const http_call_t *http)
{
	platform_result_t result = {.end = PLATFORM_UNKNOWN, .reach = reach_of(http)};
	json_t *body = NULL;

	if (result.reach == PLATFORM_REPLIED && is_current(call->task, http)) {
		const GString *text = http_call_reply(http);

		body = read_body(call, text);
		result.status = http_call_status(http);
		result.body = body;
		if (json_is_object(body))
			result.end = end_from_status(http_call_status(http));
		result.version = (uint64_t)json_integer_value(json_object_get(body, "version"));
		result.value = json_object_get(body, "value");
	}
	call->task->counters.unknown += result.end == PLATFORM_UNKNOWN;
	call->task->counters.reached[result.reach]++;
	call->done(call->ctx, &result);
	json_decref(body);
}

static void start_pending(platform_task_t *task);

static void call_finished(void *ctx, http_call_t *http)
{
	platform_call_t *call = ctx;
	platform_task_t *task = call->task;

	loop_timer_cancel(&call->timer);
	if (!call->watch)
		task->slots[call->slot] = NULL;
	deliver_result(call, http);
	call_free(call);
	start_pending(task);
}

static void call_timeout(void *ctx)
{
	http_call_cancel(((platform_call_t *)ctx)->call);
}

static void start(platform_call_t *call)
{
	platform_task_t *task = call->task;
	http_request_t http = {.method = call->method,
			       .address = task->address,
			       .port = task->port,
			       .path = call->path,
			       .headers = call->body ? "Content-Type: application/json\r\n" : NULL,
			       .reply_header = STORE_ERA_HEADER,
			       .idle_max_us = FEED_IDLE_MAX_MS * 1000,
			       .body = call->body,
			       .body_bytes = call->body ? strlen(call->body) : 0,
			       .finished = call_finished,
			       .ctx = call};

	call->timer.fire = call_timeout;
	call->timer.ctx = call;
	loop_timer_set(task->loop, &call->timer, call->timeout_us);
	call->call = http_pool_start(call->watch ? task->watch_pool : task->pool,
				     (uint32_t)call->slot, &http);
}

static void start_pending(platform_task_t *task)
{
	for (int slot = 0; slot < CALL_SLOTS && task->pending.head; slot++) {
		if (task->slots[slot])
			continue;
		task->slots[slot] = g_queue_pop_head(&task->pending);
		task->slots[slot]->slot = slot;
		start(task->slots[slot]);
	}
}

static void receive_call(void *self, void *message)
{
	platform_task_t *task = self;
	platform_call_t *call = message;

	if (call->watch) {
		start(call);
		return;
	}
	if (task->pending.length >= PENDING_CALLS_MAX) {
		const platform_result_t result = {.end = PLATFORM_UNKNOWN,
						  .reach = PLATFORM_NOT_SENT};

		call->done(call->ctx, &result);
		call_free(call);
		return;
	}
	g_queue_push_tail(&task->pending, call);
	start_pending(task);
}

static void post(platform_task_t *task, const platform_call_t *from)
{
	platform_call_t *call = g_memdup2(from, sizeof(*from));

	call->task = task;
	loop_post(task->loop, receive_call, task, call);
}

void platform_task_read(platform_task_t *task, const char *path, platform_done_f done, void *ctx)
{
	task->counters.reads++;
	post(task, &(platform_call_t){.method = "GET",
				      .path = g_strdup_printf("/objects/%s", path),
				      .done = done,
				      .ctx = ctx,
				      .timeout_us = CALL_TIMEOUT_US});
}

void platform_task_fetch(platform_task_t *task, const char *target, uint64_t timeout_us,
			 platform_done_f done, void *ctx)
{
	task->counters.fetches++;
	post(task, &(platform_call_t){.method = "GET",
				      .path = g_strdup(target),
				      .done = done,
				      .ctx = ctx,
				      .timeout_us = timeout_us});
}

void platform_task_cancel(platform_task_t *task, const void *ctx)
{
	for (int slot = 0; slot < CALL_SLOTS; slot++)
		if (task->slots[slot] && task->slots[slot]->ctx == ctx)
			http_call_cancel(task->slots[slot]->call);
}

void platform_task_send(platform_task_t *task, const char *method, const char *target,
			const char *body, uint64_t timeout_us, platform_done_f done, void *ctx)
{
	task->counters.writes++;
	post(task, &(platform_call_t){.method = method,
				      .path = g_strdup(target),
				      .body = g_strdup(body),
				      .done = done,
				      .ctx = ctx,
				      .timeout_us = timeout_us});
}

void platform_task_write(platform_task_t *task, const char *path, uint64_t if_version,
			 const json_t *value, platform_done_f done, void *ctx)
{
	char *text = json_dumps(value, JSON_COMPACT);

	task->counters.writes++;
	post(task,
	     &(platform_call_t){.method = "PUT",
				.path = g_strdup_printf("/objects/%s?if_version=%" G_GUINT64_FORMAT,
							path, if_version),
				.body = g_strdup(text),
				.done = done,
				.ctx = ctx,
				.timeout_us = CALL_TIMEOUT_US});
	free(text);
}

void platform_task_watch(platform_task_t *task, const char *path, uint64_t version,
			 platform_done_f done, void *ctx)
{
	task->counters.watches++;
	post(task, &(platform_call_t){.method = "GET",
				      .path = g_strdup_printf("/objects/%s?watch=%" G_GUINT64_FORMAT
							      "&timeout_ms=%d",
							      path, version, WATCH_MS),
				      .done = done,
				      .ctx = ctx,
				      .watch = true,
				      .timeout_us = WATCH_MS * 1000 + WATCH_GRACE_US});
}
