/**
 * @file poison_task.c
 * See poison_task.h.
 *
 * Writes are unconditional: a VM that hears of fewer strikes than it knows writes its own again, so
 * whatever comes last, all of them end with the most.
 */
#include "tasks/poison_task.h"

#define CALL_TIMEOUT_US 1500000
#define STATUS_EXISTS 409
#define STATUS_ABSENT 404
/* Whether the object exists may change between two calls, by another VM or an operator. */
#define TRIES_MOST 3

struct poison_task_t {
	platform_task_t *platform;
	poison_t *poison;
	const char *vm_name;
};

/** One call to the store. */
typedef struct poison_call_t {
	poison_task_t *task;
	poison_update_t news;
	char *service;
	bool replaces; /* the object exists, as far as is known */
	uint32_t tries;
} poison_call_t;

/** A claim that the store has not answered. */
typedef struct claim_call_t {
	poison_task_t *task;
	fingerprint_t fingerprint;
	uint32_t number;
} claim_call_t;

poison_task_t *poison_task_new(platform_task_t *platform, poison_t *poison, const char *vm_name)
{
	poison_task_t *task = g_new0(poison_task_t, 1);

	task->platform = platform;
	task->poison = poison;
	task->vm_name = vm_name;
	return task;
}

static poison_call_t *call_new(poison_task_t *task, const poison_update_t *news)
{
	poison_call_t *call = g_new0(poison_call_t, 1);

	call->task = task;
	call->news = *news;
	call->service = g_strdup(news->service);
	call->news.service = call->service;
	return call;
}

static void call_free(poison_call_t *call)
{
	g_free(call->service);
	g_free(call);
}

/* ---- telling ---- */

static void put(poison_call_t *call);

static void on_put(void *ctx, const platform_result_t *result)
{
	poison_call_t *call = ctx;
	bool taken = result->status / 100 == 2;
	bool other_way = result->status == (call->replaces ? STATUS_ABSENT : STATUS_EXISTS);

	if (other_way && ++call->tries < TRIES_MOST) {
		call->replaces = !call->replaces;
		put(call);
		return;
	}
	if (!taken)
		g_info("event=poison-not-told status=%d outcome=again", result->status);
	poison_publish_done(call->task->poison, &call->news, taken, loop_now_us());
	call_free(call);
}

static void put(poison_call_t *call)
{
	char name[FINGERPRINT_TEXT_BYTES];
	g_autofree char *body = store_write_poison(&call->news);
	g_autofree char *target = NULL;

	fingerprint_format(call->news.fingerprint, name);
	target = store_write_target(STORE_POISON, call->replaces ? name : NULL);
	platform_task_send(call->task->platform, call->replaces ? "PUT" : "POST", target, body,
			   CALL_TIMEOUT_US, on_put, call);
}

void poison_task_tell(poison_task_t *task, const poison_update_t *news)
{
	poison_call_t *call = call_new(task, news);

	call->replaces = news->strikes > 1 || news->renewals;
	put(call);
}

/* ---- forgetting ---- */

/* One that stays there is told again by the store's list, and forgotten once more by its time. */
static void on_deleted(void *ctx, const platform_result_t *result)
{
	(void)ctx;
	if (result->status / 100 != 2 && result->status != STATUS_ABSENT)
		g_message("event=poison-not-removed status=%d", result->status);
}

void poison_task_forget(poison_task_t *task, fingerprint_t fingerprint)
{
	char name[FINGERPRINT_TEXT_BYTES];
	g_autofree char *target = NULL;

	fingerprint_format(fingerprint, name);
	target = store_write_target(STORE_POISON, name);
	platform_task_send(task->platform, "DELETE", target, NULL, CALL_TIMEOUT_US, on_deleted,
			   task);
}

/* ---- claims of trials ---- */

static claim_reply_t claim_reply_of(int status)
{
	if (!status)
		return CLAIM_UNKNOWN;
	if (status / 100 == 2)
		return CLAIM_GRANTED;
	return status == STATUS_EXISTS ? CLAIM_TAKEN : CLAIM_REFUSED;
}

static void on_claimed(void *ctx, const platform_result_t *result)
{
	claim_call_t *call = ctx;

	poison_claim_done(call->task->poison, call->fingerprint, call->number,
			  claim_reply_of(result->status), loop_now_us());
	g_free(call);
}

void poison_task_claim(poison_task_t *task, fingerprint_t fingerprint, uint32_t number)
{
	g_autofree char *body = store_write_claim(fingerprint, number, task->vm_name);
	g_autofree char *target = store_claim_target(fingerprint, 0);
	claim_call_t *call = g_new(claim_call_t, 1);

	*call = (claim_call_t){.task = task, .fingerprint = fingerprint, .number = number};
	platform_task_send(task->platform, "POST", target, body, CALL_TIMEOUT_US, on_claimed, call);
}

/* A claim that stays holds up the next trial of that number for a while, and no more. */
static void on_claim_dropped(void *ctx, const platform_result_t *result)
{
	(void)ctx;
	(void)result;
}

void poison_task_drop_claims(poison_task_t *task, fingerprint_t fingerprint, uint32_t number)
{
	for (uint32_t i = 1; i <= number; i++) {
		g_autofree char *target = store_claim_target(fingerprint, i);

		platform_task_send(task->platform, "DELETE", target, NULL, CALL_TIMEOUT_US,
				   on_claim_dropped, task);
	}
}

/* ---- hearing ---- */

void poison_task_take(poison_task_t *task, const store_object_t *object, uint64_t now_us)
{
	poison_update_t news;
	err_t err = {0};

	if (!store_read_poison(object, &news, &err)) {
		g_info("event=poison-ignored name=\"%s\" reason=\"%s\"", object->name, err.text);
		return;
	}
	if (object->removed)
		poison_apply_removal(task->poison, news.fingerprint);
	else
		poison_apply_update(task->poison, &news, now_us);
}
