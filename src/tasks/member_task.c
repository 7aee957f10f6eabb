/**
 * @file member_task.c
 * See member_task.h.
 */
#include "tasks/member_task.h"

#define CALL_TIMEOUT_US 1500000
#define STATUS_ABSENT 404
#define STATUS_EXISTS 409

/** A list that is being read. */
typedef struct member_read_t {
	struct member_task_t *task;
	member_list_t list;
	GPtrArray *vms; /* of the pages read so far */
	char *after;	/* last name of these pages; NULL at the start of the list */
} member_read_t;

typedef struct member_write_call_t {
	struct member_task_t *task;
	member_list_t list;
	member_write_t write;
} member_write_call_t;

struct member_task_t {
	loop_t *loop;
	platform_task_t *platform;
	const member_ops_t *ops;
	void *ctx;
	member_sync_t *sync;
	loop_timer_t timer;
	GPtrArray *receiving; /* the list that a feeder is sending; NULL: none */
};

static const store_kind_t kinds_of_lists[] = {
	[MEMBERS_ALL] = STORE_VMS, [MEMBERS_FEEDERS] = STORE_FEEDERS};

/* To be called after each call into the member sync, which may have changed its next timer. */
static void arm_timer(member_task_t *task)
{
	uint64_t next_us = member_sync_next_us(task->sync), now_us = loop_now_us();

	if (next_us == TIMERS_NEVER)
		loop_timer_cancel(&task->timer);
	else
		loop_timer_set(task->loop, &task->timer, next_us > now_us ? next_us - now_us : 0);
}

static void run_sync(void *ctx)
{
	member_task_t *task = ctx;

	member_sync_run(task->sync, loop_now_us());
	arm_timer(task);
}

/* Only the calls of a VM that is not registered show whether the store answers it. */
static void note_answered(member_task_t *task, bool answered)
{
	if (!member_sync_is_registered(task->sync))
		task->ops->answered(task->ctx, answered);
}

/* ---- reads ---- */

static vm_t *read_vm(const store_object_t *object)
{
	err_t err = {0};
	vm_t *vm = store_read_vm(object, &err);

	if (!vm)
		g_info("event=vm-ignored vm=\"%s\" reason=\"%s\"", object->name, err.text);
	return vm;
}

static void add_page(member_read_t *read, const store_page_t *page)
{
	for (guint i = 0; i < page->objects->len; i++) {
		vm_t *vm = read_vm(&g_array_index(page->objects, store_object_t, i));

		if (vm)
			vm_list_put(read->vms, vm);
	}
	g_clear_pointer(&read->after, g_free);
	if (page->more && page->objects->len)
		read->after = g_strdup(
			g_array_index(page->objects, store_object_t, page->objects->len - 1).name);
}

static void end_read(member_read_t *read, bool failed)
{
	member_task_t *task = read->task;

	if (failed)
		g_clear_pointer(&read->vms, g_ptr_array_unref);
	note_answered(task, !failed);
	member_sync_read_ended(task->sync, read->list, read->vms, loop_now_us());
	g_free(read->after);
	g_free(read);
	arm_timer(task);
}

static void read_page(member_read_t *read);

static void on_page(void *ctx, const platform_result_t *result)
{
	member_read_t *read = ctx;
	store_page_t page = {0};
	bool valid = result->status == 200 && store_read_page(result->body, &page);

	if (valid)
		add_page(read, &page);
	else
		g_info("event=vms-not-listed kind=%s status=%d outcome=again",
		       store_kind_name(kinds_of_lists[read->list]), result->status);
	store_page_clear(&page);
	if (valid && read->after)
		read_page(read);
	else
		end_read(read, !valid);
}

static void read_page(member_read_t *read)
{
	g_autofree char *target = store_stale_list_target(kinds_of_lists[read->list], read->after);

	platform_task_fetch(read->task->platform, target, CALL_TIMEOUT_US, on_page, read);
}

static void on_own(void *ctx, const platform_result_t *result)
{
	member_read_t *read = ctx;
	store_object_t object;
	bool found = result->status == 200 && store_read_object(result->body, &object);
	vm_t *own = found ? read_vm(&object) : NULL;

	if (own)
		vm_list_put(read->vms, own);
	end_read(read, !found && result->status != STATUS_ABSENT);
}

static void read_own(member_read_t *read)
{
	g_autofree char *target =
		store_stale_object_target(STORE_VMS, member_sync_own(read->task->sync)->name);

	platform_task_fetch(read->task->platform, target, CALL_TIMEOUT_US, on_own, read);
}

static void on_read(void *ctx, member_list_t list)
{
	member_read_t *read = g_new0(member_read_t, 1);

	*read = (member_read_t){.task = ctx, .list = list, .vms = vm_list_new()};
	if (list == MEMBERS_OWN)
		read_own(read);
	else
		read_page(read);
}

/* ---- writes ---- */

static member_result_t result_of(const member_write_call_t *call, int status)
{
	if (status / 100 == 2 || (call->write == MEMBER_DELETE && status == STATUS_ABSENT))
		return MEMBER_WRITTEN;
	return status == STATUS_EXISTS ? MEMBER_EXISTS : MEMBER_FAILED;
}

static void on_written(void *ctx, const platform_result_t *platform_result)
{
	member_write_call_t *call = ctx;
	member_task_t *task = call->task;
	member_result_t result = result_of(call, platform_result->status);

	if (result == MEMBER_WRITTEN && call->list == MEMBERS_FEEDERS)
		g_message("event=feeder-entry outcome=%s",
			  call->write == MEMBER_DELETE ? "removed" : "written");
	if (result == MEMBER_FAILED)
		g_info("event=register-failed kind=%s status=%d outcome=again",
		       store_kind_name(kinds_of_lists[call->list]), platform_result->status);
	note_answered(task, result != MEMBER_FAILED);
	member_sync_write_ended(task->sync, call->list, result, loop_now_us());
	g_free(call);
	arm_timer(task);
}

static void on_write(void *ctx, member_list_t list, member_write_t write)
{
	static const char *const methods[] = {
		[MEMBER_CREATE] = "POST", [MEMBER_REPLACE] = "PUT", [MEMBER_DELETE] = "DELETE"};
	member_task_t *task = ctx;
	const vm_t *own = member_sync_own(task->sync);
	g_autofree char *body = write == MEMBER_DELETE ? NULL : store_write_vm(own);
	g_autofree char *target =
		store_write_target(kinds_of_lists[list], write == MEMBER_CREATE ? NULL : own->name);
	member_write_call_t *call = g_new(member_write_call_t, 1);

	*call = (member_write_call_t){.task = task, .list = list, .write = write};
	platform_task_send(task->platform, methods[write], target, body, CALL_TIMEOUT_US,
			   on_written, call);
}

/* ---- the feed ---- */

static void receive_change(member_task_t *task, const feed_message_t *message)
{
	json_t *content = json_loads(message->text, JSON_DECODE_ANY, NULL);
	const store_object_t object = {.name = message->name, .content = content};
	vm_t *vm = message->type == FEED_OBJECT ? read_vm(&object) : NULL;

	json_decref(content);
	if (vm && task->receiving)
		vm_list_put(task->receiving, vm);
	else if (vm)
		member_sync_receive_vm(task->sync, vm, loop_now_us());
	else if (message->type == FEED_REMOVED)
		member_sync_receive_removal(task->sync, message->name, loop_now_us());
}

void member_task_receive(member_task_t *task, const feed_message_t *message)
{
	if (message->type == FEED_LIST_BEGIN) {
		g_clear_pointer(&task->receiving, g_ptr_array_unref);
		task->receiving = vm_list_new();
	} else if (message->type != FEED_LIST_END) {
		receive_change(task, message);
	} else if (task->receiving) {
		member_sync_receive_list(task->sync, g_steal_pointer(&task->receiving),
					 loop_now_us());
	}
	arm_timer(task);
}

void member_task_receive_age(member_task_t *task, uint64_t age_us)
{
	member_sync_receive_age(task->sync, age_us, loop_now_us());
}

void member_task_feed_ended(member_task_t *task)
{
	g_clear_pointer(&task->receiving, g_ptr_array_unref);
	member_sync_feed_ended(task->sync);
}

/* ---- interface ---- */

static void on_found_feeders(void *ctx, const GPtrArray *feeders)
{
	member_task_t *task = ctx;

	g_info("event=feeders-found feeders=%u", feeders->len);
	task->ops->found_feeders(task->ctx, feeders);
}

static void on_registered(void *ctx, bool written)
{
	g_message("event=registered vm=%s outcome=%s",
		  member_sync_own(((member_task_t *)ctx)->sync)->name,
		  written ? "written" : "found");
}

static bool on_awaits_feed(void *ctx)
{
	member_task_t *task = ctx;

	return task->ops->awaits_feed(task->ctx);
}

static void on_changed(void *ctx)
{
	member_task_t *task = ctx;

	task->ops->changed(task->ctx);
}

member_task_t *member_task_new(loop_t *loop, platform_task_t *platform, vm_t *own,
			       const GHashTable *regions, const member_ops_t *ops, void *ctx)
{
	static const member_sync_ops_t sync_ops = {.read = on_read,
						   .write = on_write,
						   .found_feeders = on_found_feeders,
						   .registered = on_registered,
						   .awaits_feed = on_awaits_feed,
						   .changed = on_changed};
	member_task_t *task = g_new0(member_task_t, 1);

	task->loop = loop;
	task->platform = platform;
	task->ops = ops;
	task->ctx = ctx;
	task->timer = (loop_timer_t){.fire = run_sync, .ctx = task};
	task->sync = member_sync_new(own, regions, &sync_ops, task, g_random_int());
	member_sync_start(task->sync, loop_now_us());
	arm_timer(task);
	return task;
}

void member_task_restored(member_task_t *task)
{
	member_sync_restored(task->sync, loop_now_us());
	arm_timer(task);
}

void member_task_subscribed(member_task_t *task)
{
	member_sync_subscribed(task->sync, loop_now_us());
	arm_timer(task);
}

void member_task_set_feeder(member_task_t *task, bool is_feeder)
{
	member_sync_set_feeder(task->sync, is_feeder);
}

const member_sync_t *member_task_sync(const member_task_t *task)
{
	return task->sync;
}
