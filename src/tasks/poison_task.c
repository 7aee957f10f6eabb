/**
 * @file poison_task.c
 * See poison_task.h.
 *
 * Writes are unconditional. A VM that receives an update with fewer strikes than it has recorded
 * writes its own again, so whichever write comes last, all VMs end with the highest number.
 */
#include "tasks/poison_task.h"

#define CALL_TIMEOUT_US 1500000
#define STATUS_EXISTS 409
#define STATUS_ABSENT 404
/* Another VM or an operator may create or delete the object between two calls. */
#define MAX_TRIES 3

struct poison_task_t {
	platform_task_t *platform;
	poison_t *poison;
	const char *vm_name;
};

/** One call to the store. */
typedef struct poison_call_t {
	poison_task_t *task;
	poison_update_t update;
	char *service;
	bool exists; /* the object exists in the store, as far as is known */
	uint32_t tries;
} poison_call_t;

/** A claim that the store has not answered yet. */
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

static poison_call_t *call_new(poison_task_t *task, const poison_update_t *update)
{
	poison_call_t *call = g_new0(poison_call_t, 1);

	call->task = task;
	call->update = *update;
	call->service = g_strdup(update->service);
	call->update.service = call->service;
	return call;
}

static void call_free(poison_call_t *call)
{
	g_free(call->service);
	g_free(call);
}

/* ---- publishing ---- */

static void put(poison_call_t *call);

static void on_put(void *ctx, const platform_result_t *result)
{
	poison_call_t *call = ctx;
	bool written = result->status / 100 == 2;
	bool wrong_method = result->status == (call->exists ? STATUS_ABSENT : STATUS_EXISTS);

	if (wrong_method && ++call->tries < MAX_TRIES) {
		call->exists = !call->exists;
		put(call);
		return;
	}
	if (!written)
		g_info("event=poison-not-told status=%d outcome=again", result->status);
	poison_publish_done(call->task->poison, &call->update, written, loop_now_us());
	call_free(call);
}

static void put(poison_call_t *call)
{
	char name[FINGERPRINT_TEXT_BYTES];
	g_autofree char *body = store_write_poison(&call->update);
	g_autofree char *target = NULL;

	fingerprint_format(call->update.fingerprint, name);
	target = store_write_target(STORE_POISON, call->exists ? name : NULL);
	platform_task_send(call->task->platform, call->exists ? "PUT" : "POST", target, body,
			   CALL_TIMEOUT_US, on_put, call);
}

void poison_task_publish(poison_task_t *task, const poison_update_t *update)
{
	poison_call_t *call = call_new(task, update);

	call->exists = update->strikes > 1 || update->renewals;
	put(call);
}

/* ---- removing ---- */

/* If the object stays in the store, the next list brings it back, and its record expires and is
 * removed once more. */
static void on_deleted(void *ctx, const platform_result_t *result)
{
	(void)ctx;
	if (result->status / 100 != 2 && result->status != STATUS_ABSENT)
		g_message("event=poison-not-removed status=%d", result->status);
}

void poison_task_remove(poison_task_t *task, fingerprint_t fingerprint)
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

/* A claim that is not deleted only delays the next trial of that number for a while. */
static void on_claim_deleted(void *ctx, const platform_result_t *result)
{
	(void)ctx;
	(void)result;
}

void poison_task_drop_claims(poison_task_t *task, fingerprint_t fingerprint, uint32_t number)
{
	for (uint32_t i = 1; i <= number; i++) {
		g_autofree char *target = store_claim_target(fingerprint, i);

		platform_task_send(task->platform, "DELETE", target, NULL, CALL_TIMEOUT_US,
				   on_claim_deleted, task);
	}
}

/* ---- receiving updates ---- */

void poison_task_apply(poison_task_t *task, const store_object_t *object, uint64_t now_us)
{
	poison_update_t update;
	err_t err = {0};

	if (!store_read_poison(object, &update, &err)) {
		g_info("event=poison-ignored name=\"%s\" reason=\"%s\"", object->name, err.text);
		return;
	}
	if (object->removed)
		poison_apply_removal(task->poison, update.fingerprint);
	else
		poison_apply_update(task->poison, &update, now_us);
}
