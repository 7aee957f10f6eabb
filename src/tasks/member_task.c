/**
 * @file member_task.c
 * See member_task.h.
 *
 * A VM that has terminated stays registered: shares of connections and budgets are then too small,
 * never too large. A VM that is restarted finds its own registration, and writes nothing.
 */
#include "tasks/member_task.h"

#include <string.h>

#define CALL_TIMEOUT_US 1500000
/*
 * All VMs of a new fleet register within the first seconds; later, new VMs are rare. A list
 * read that may be stale costs a tenth of a call.
 */
#define INITIAL_LIST_PERIOD_US 1500000
#define INITIAL_LISTS 4
/* VMs of a new fleet start within 0.3 s of each other, and a call takes up to 0.1 s. */
#define OTHERS_REGISTER_DELAY_US 600000
#define LIST_PERIOD_US 12000000
/*
 * Retry delay at the start, doubled after each failure. A VM that starts refuses all requests until
 * the store answers: when all VMs are lost during an outage of the store, the delay between two
 * tries adds to the outage after the store has recovered.
 */
#define RETRY_INITIAL_US 100000
#define RETRY_MAX_US 1000000
#define STATUS_EXISTS 409
/*
 * After the store was restored from an older copy of its data, VMs that it has lost register again
 * within REREGISTER_MAX_US, each after a random delay, and count as registered for
 * LOST_VM_GRACE_US.
 */
#define REREGISTER_MAX_US 4000000
#define LOST_VM_GRACE_US 30000000

struct member_task_t {
	loop_t *loop;
	platform_task_t *platform;
	vm_t *own;
	const member_ops_t *ops;
	void *ctx;
	GPtrArray *vms;	       /* vm_t */
	GPtrArray *reading;    /* vm_t of the list whose pages are being read */
	char *after;	       /* last name of the pages read so far; NULL at the start of a list */
	uint32_t lists;	       /* lists reported since the start, failed ones too */
	uint64_t requested_us; /* when the list that is being read was requested */
	uint64_t listed_us;    /* when the last complete list was requested; 0: none yet */
	uint64_t restored_us;  /* when the store was restored from an older copy; 0: never */
	uint64_t member_us; /* since when lists contain this VM, and none has lost a VM; 0: not */
	bool registered;
	bool exists;	   /* an earlier run of this VM registered it, with other content */
	uint32_t failures; /* failed calls until this VM is registered */
	loop_timer_t list_timer;
	loop_timer_t register_timer;
};

static uint64_t retry_delay_us(member_task_t *task)
{
	uint64_t delay_us = RETRY_INITIAL_US << MIN(task->failures, 8);

	task->failures++;
	return MIN(delay_us, RETRY_MAX_US);
}

/* ---- registering ---- */

static void on_registered(void *ctx, const platform_result_t *result)
{
	member_task_t *task = ctx;
	bool exists = result->status == STATUS_EXISTS;
	bool done = result->status / 100 == 2;

	task->ops->answered(task->ctx, exists || done);
	if (done) {
		g_message("event=registered vm=%s outcome=written", task->own->name);
		task->registered = true;
		loop_timer_set(task->loop, &task->list_timer, OTHERS_REGISTER_DELAY_US);
		return;
	}
	task->exists = exists;
	g_info("event=register-failed status=%d outcome=again", result->status);
	loop_timer_set(task->loop, &task->register_timer, exists ? 0 : retry_delay_us(task));
}

static void register_own(void *ctx)
{
	member_task_t *task = ctx;
	g_autofree char *body = store_write_vm(task->own);
	g_autofree char *target =
		store_write_target(STORE_VMS, task->exists ? task->own->name : NULL);

	platform_task_send(task->platform, task->exists ? "PUT" : "POST", target, body,
			   CALL_TIMEOUT_US, on_registered, task);
}

/*
 * Writes this VM's registration only if the list lacks it or differs. Otherwise, when all VMs of a
 * fleet are restarted, each would make two calls for a registration that exists already.
 */
static void check_registration(member_task_t *task, const vm_t *listed)
{
	if (listed && vm_equal(listed, task->own)) {
		g_message("event=registered vm=%s outcome=found", task->own->name);
		task->registered = true;
		return;
	}
	task->exists = listed != NULL;
	register_own(task);
}

/* ---- the list of VMs ---- */

static void list(void *ctx);

static void read_vms(member_task_t *task, const store_page_t *page)
{
	for (guint i = 0; i < page->objects->len; i++) {
		const store_object_t *object = &g_array_index(page->objects, store_object_t, i);
		err_t err = {0};
		vm_t *vm = store_read_vm(object, &err);

		if (vm)
			g_ptr_array_add(task->reading, vm);
		else
			g_info("event=vm-ignored vm=\"%s\" reason=\"%s\"", object->name, err.text);
	}
	g_clear_pointer(&task->after, g_free);
	if (page->more && page->objects->len)
		task->after = g_strdup(
			g_array_index(page->objects, store_object_t, page->objects->len - 1).name);
}

static void report_list(member_task_t *task)
{
	task->lists++;
	task->ops->changed(task->ctx);
	loop_timer_set(task->loop, &task->list_timer,
		       task->lists < INITIAL_LISTS ? INITIAL_LIST_PERIOD_US : LIST_PERIOD_US);
}

static const char *name_at(const GPtrArray *vms, guint index)
{
	return ((const vm_t *)g_ptr_array_index(vms, index))->name;
}

/* Both lists are sorted by name, as the store lists them. */
static bool contains_all(const GPtrArray *vms, const GPtrArray *former)
{
	guint next = 0;

	for (guint i = 0; i < former->len; i++) {
		while (next < vms->len && strcmp(name_at(vms, next), name_at(former, i)) < 0)
			next++;
		if (next == vms->len || !g_str_equal(name_at(vms, next), name_at(former, i)))
			return false;
	}
	return true;
}

/*
 * This VM's share of the rate limit on cold searchers is valid only while the list of VMs grows: a
 * list that has lost a VM restarts the wait.
 */
static void update_list_times(member_task_t *task, const GPtrArray *former)
{
	uint64_t now_us = loop_now_us();

	task->listed_us = task->requested_us;
	if (!vm_find(task->vms, task->own->name))
		task->member_us = 0;
	else if (!task->member_us || !contains_all(task->vms, former))
		task->member_us = now_us;
}

static gint by_name(gconstpointer a, gconstpointer b)
{
	return strcmp((*(vm_t *const *)a)->name, (*(vm_t *const *)b)->name);
}

/*
 * VMs that a restored store has lost will register again soon. If they were dropped from the list
 * meanwhile, each other VM would take a larger share of the searchers' connections and of the
 * retries.
 */
static void retain_missing(member_task_t *task, const GPtrArray *former)
{
	if (!task->restored_us || loop_now_us() > task->restored_us + LOST_VM_GRACE_US)
		return;
	for (guint i = 0; i < former->len; i++) {
		const vm_t *vm = g_ptr_array_index(former, i);

		if (!vm_find(task->vms, vm->name))
			g_ptr_array_add(task->vms, vm_new(vm));
	}
	g_ptr_array_sort(task->vms, by_name);
}

/*
 * Until this VM is registered, no list is reported: other VMs that start at the same time may not
 * be registered either, and each would take itself for the first VM.
 */
static void end_list(member_task_t *task)
{
	GPtrArray *former = task->vms;
	const vm_t *listed = vm_find(task->reading, task->own->name);

	task->vms = task->reading;
	task->reading = former;
	retain_missing(task, former);
	update_list_times(task, former);
	g_ptr_array_set_size(former, 0);
	if (!task->registered) {
		task->ops->answered(task->ctx, true);
		check_registration(task, listed);
	}
	if (task->registered)
		report_list(task);
}

static void list_failed(member_task_t *task, int status)
{
	g_info("event=vms-not-listed status=%d outcome=again", status);
	g_clear_pointer(&task->after, g_free);
	if (task->registered) {
		report_list(task);
		return;
	}
	task->ops->answered(task->ctx, false);
	loop_timer_set(task->loop, &task->list_timer, retry_delay_us(task));
}

static void on_listed(void *ctx, const platform_result_t *result)
{
	member_task_t *task = ctx;
	store_page_t page = {0};
	bool read = result->status == 200 && store_read_page(result->body, &page);

	if (read)
		read_vms(task, &page);
	store_page_clear(&page);
	if (!read)
		list_failed(task, result->status);
	else if (task->after)
		list(task);
	else
		end_list(task);
}

static void list(void *ctx)
{
	member_task_t *task = ctx;
	g_autofree char *target = store_stale_list_target(STORE_VMS, task->after);

	if (!task->after) {
		g_ptr_array_set_size(task->reading, 0);
		task->requested_us = loop_now_us();
	}
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
	task->reading = g_ptr_array_new_with_free_func(vm_free);
	task->list_timer = (loop_timer_t){.fire = list, .ctx = task};
	task->register_timer = (loop_timer_t){.fire = register_own, .ctx = task};
	list(task);
	return task;
}

void member_task_restored(member_task_t *task)
{
	task->restored_us = loop_now_us();
	task->registered = false;
	loop_timer_set(task->loop, &task->list_timer,
		       (uint64_t)g_random_int_range(0, REREGISTER_MAX_US));
}

const GPtrArray *member_task_vms(const member_task_t *task)
{
	return task->vms;
}

const vm_t *member_task_own(const member_task_t *task)
{
	return task->own;
}

cold_members_t member_task_cold_members(const member_task_t *task)
{
	return (cold_members_t){.vms = task->vms,
				.own_name = task->own->name,
				.member_us = task->member_us,
				.listed_us = task->listed_us};
}
