/**
 * @file member_task.c
 * See member_task.h.
 *
 * A VM that ended stays registered: a share of connections or of a budget is then too small, never
 * too large. One that starts again finds its object and replaces it.
 */
#include "tasks/member_task.h"

#define CALL_TIMEOUT_US 1500000
/* All VMs of a new deployment register within the first seconds; later on, new ones are rare, and a
 * read that may be old costs a tenth of a call. */
#define LIST_FIRST_US 1500000
#define LIST_FIRST_TIMES 4
/* VMs of a new deployment start within 0.3 s of each other, and a call takes up to 0.1 s. */
#define OTHERS_REGISTER_US 600000
#define LIST_LATER_US 12000000
/* Between tries to register, doubled each time. A VM that starts knows nothing until the store
 * answers, and refuses everything: after a loss of all VMs during an outage of the store, tries
 * each second lost 0.7 s of its return, 150 requests. */
#define RETRY_FIRST_US 100000
#define RETRY_MOST_US 1000000
#define STATUS_EXISTS 409

struct member_task_t {
	loop_t *loop;
	platform_task_t *platform;
	vm_t *own;
	const member_ops_t *ops;
	void *ctx;
	GPtrArray *vms; /* vm_t */
	uint32_t lists; /* read so far */
	bool registered;
	uint32_t failures; /* to register, in a row */
	loop_timer_t list_timer;
	loop_timer_t register_timer;
};

static void put_own(void *ctx);

/* One that starts again finds the others registered; a new one may be among the first of many. */
static void first_list_after(member_task_t *task, uint64_t delay_us)
{
	if (!task->lists)
		loop_timer_set(task->loop, &task->list_timer, delay_us);
}

static uint64_t retry_delay_us(member_task_t *task)
{
	uint64_t most_us = RETRY_FIRST_US << MIN(task->failures, 8);

	task->failures++;
	return MIN(most_us, RETRY_MOST_US);
}

static void on_registered(void *ctx, const platform_result_t *result)
{
	member_task_t *task = ctx;
	bool exists = result->status == STATUS_EXISTS;
	bool done = result->status / 100 == 2;

	task->ops->answered(task->ctx, exists || done);
	if (done) {
		g_message("event=registered vm=%s", task->own->name);
		if (!task->registered)
			first_list_after(task, OTHERS_REGISTER_US);
		return;
	}
	if (exists)
		first_list_after(task, 0);
	task->registered = exists;
	g_info("event=register-failed status=%d outcome=again", result->status);
	loop_timer_set(task->loop, &task->register_timer, exists ? 0 : retry_delay_us(task));
}

static void put_own(void *ctx)
{
	member_task_t *task = ctx;
	g_autofree char *body = store_write_vm(task->own);
	g_autofree char *target =
		store_write_target(STORE_VMS, task->registered ? task->own->name : NULL);

	platform_task_send(task->platform, task->registered ? "PUT" : "POST", target, body,
			   CALL_TIMEOUT_US, on_registered, task);
}

static void take_list(member_task_t *task, const store_page_t *page)
{
	task->lists++;
	g_ptr_array_set_size(task->vms, 0);
	for (guint i = 0; i < page->objects->len; i++) {
		const store_object_t *object = &g_array_index(page->objects, store_object_t, i);
		err_t err = {0};
		vm_t *vm = store_read_vm(object, &err);

		if (vm)
			g_ptr_array_add(task->vms, vm);
		else
			g_info("event=vm-ignored vm=\"%s\" reason=\"%s\"", object->name, err.text);
	}
}

static void on_listed(void *ctx, const platform_result_t *result)
{
	member_task_t *task = ctx;
	store_page_t page = {0};

	if (result->status == 200 && store_read_page(result->body, &page))
		take_list(task, &page);
	else
		g_info("event=vms-not-listed status=%d outcome=again", result->status);
	store_page_clear(&page);
	task->ops->changed(task->ctx);
	loop_timer_set(task->loop, &task->list_timer,
		       task->lists < LIST_FIRST_TIMES ? LIST_FIRST_US : LIST_LATER_US);
}

static void list(void *ctx)
{
	member_task_t *task = ctx;
	g_autofree char *target = store_old_list_target(STORE_VMS);

	platform_task_fetch(task->platform, target, CALL_TIMEOUT_US, on_listed, task);
}

member_task_t *member_task_new(loop_t *loop, platform_task_t *platform, vm_t *own,
			       const member_ops_t *ops, void *ctx)
{
	member_task_t *task = g_new0(member_task_t, 1);

	task->loop = loop;
	task->platform = platform;
	task->own = own;
	task->ops = ops;
	task->ctx = ctx;
	task->vms = g_ptr_array_new_with_free_func(vm_free);
	task->list_timer = (loop_timer_t){.fire = list, .ctx = task};
	task->register_timer = (loop_timer_t){.fire = put_own, .ctx = task};
	put_own(task);
	loop_timer_set(loop, &task->list_timer, LIST_FIRST_US);
	return task;
}

const GPtrArray *member_task_vms(const member_task_t *task)
{
	return task->vms;
}

const vm_t *member_task_own(const member_task_t *task)
{
	return task->own;
}
