/**
 * @file quota_task.c
 * See quota_task.h.
 */
#include "tasks/quota_task.h"

#include "core/quota_choice.h"
#include "tasks/quota_link.h"

/* How often the links to pools are checked. */
#define CHECK_PERIOD_US 500000

struct quota_task_t {
	loop_t *loop;
	quota_t *quota;
	routing_t *routing; /* owns the tenants that the quota uses; NULL: none */
	char *own_name;
	GPtrArray *links; /* quota_link_t */
	quota_decided_f decided;
	void *ctx;
	loop_timer_t timer;
	loop_timer_t check_timer;
};

static void arm(quota_task_t *task)
{
	uint64_t next_us = quota_next_us(task->quota), now_us = loop_now_us();

	if (next_us == TIMERS_NEVER)
		loop_timer_cancel(&task->timer);
	else
		loop_timer_set(task->loop, &task->timer, next_us > now_us ? next_us - now_us : 0);
}

static void on_timer(void *ctx)
{
	quota_task_t *task = ctx;

	quota_run(task->quota, loop_now_us());
	arm(task);
}

/* ---- links ---- */

static quota_link_t *find_link(const quota_task_t *task, const char *vm)
{
	for (guint i = 0; i < task->links->len; i++) {
		quota_link_t *link = g_ptr_array_index(task->links, i);

		if (g_str_equal(quota_link_vm(link)->name, vm))
			return link;
	}
	return NULL;
}

static void on_linked(void *ctx, const quota_link_t *link, bool linked)
{
	quota_task_t *task = ctx;

	quota_set_linked(task->quota, quota_link_vm(link)->name, linked);
}

static void on_grant(void *ctx, const quota_link_t *link, const hop_message_t *message)
{
	quota_task_t *task = ctx;

	quota_receive_grant(task->quota, quota_link_vm(link)->name, message, loop_now_us());
	arm(task);
}

static void on_check_timer(void *ctx)
{
	quota_task_t *task = ctx;

	for (guint i = 0; i < task->links->len; i++)
		quota_link_check(g_ptr_array_index(task->links, i));
	if (task->links->len)
		loop_timer_set(task->loop, &task->check_timer, CHECK_PERIOD_US);
}

static void on_send(void *ctx, const char *vm, const hop_message_t *message)
{
	g_autoptr(GByteArray) frame = g_byte_array_new();
	quota_link_t *link = find_link(ctx, vm);

	if (!link)
		return;
	hop_message_write(frame, message);
	quota_link_write(link, frame);
}

/* Keeps the links to @p vms, opens new ones, and closes the others. */
static void link_to(quota_task_t *task, const GPtrArray *vms)
{
	static const quota_link_ops_t ops = {.linked = on_linked, .grant = on_grant};

	for (guint i = task->links->len; i-- > 0;) {
		quota_link_t *link = g_ptr_array_index(task->links, i);
		const vm_t *vm = vm_find(vms, quota_link_vm(link)->name);

		if (!vm || !vm_equal(vm, quota_link_vm(link))) {
			on_linked(task, link, false);
			g_ptr_array_remove_index(task->links, i);
		}
	}
	for (guint i = 0; i < vms->len; i++) {
		const vm_t *vm = g_ptr_array_index(vms, i);

		if (!g_str_equal(vm->name, task->own_name) && !find_link(task, vm->name))
			g_ptr_array_add(task->links, quota_link_new(task->loop, vm, &ops, task));
	}
}

/* ---- tenants and VMs ---- */

static void on_decided(void *ctx, void *owner, quota_verdict_t verdict, uint64_t retry_after_us)
{
	quota_task_t *task = ctx;

	task->decided(task->ctx, owner, verdict, retry_after_us);
}

static bool has_quotas(const routing_t *routing)
{
	const GPtrArray *tenants =
		routing && routing->tenants ? tenants_all(routing->tenants) : NULL;

	for (guint i = 0; tenants && i < tenants->len; i++)
		if (tenant_has_quota(g_ptr_array_index(tenants, i)))
			return true;
	return false;
}

void quota_task_set_routing(quota_task_t *task, const routing_t *routing)
{
	routing_t *old = task->routing;

	task->routing = routing_ref((routing_t *)routing);
	quota_set_tenants(task->quota, has_quotas(routing) ? routing->tenants : NULL);
	routing_unref(old);
}

static GPtrArray *names_of(const GPtrArray *vms)
{
	GPtrArray *names = g_ptr_array_new();

	for (guint i = 0; i < vms->len; i++)
		g_ptr_array_add(names, ((vm_t *)g_ptr_array_index(vms, i))->name);
	return names;
}

/* Only a pool asks those of other regions, for tokens that they can spare. */
static GPtrArray *vms_to_link(const quota_task_t *task, GPtrArray *near, GPtrArray *elsewhere)
{
	GPtrArray *vms = g_ptr_array_new();

	if (!has_quotas(task->routing))
		return vms;
	g_ptr_array_extend(vms, near, NULL, NULL);
	if (vm_find(near, task->own_name))
		g_ptr_array_extend(vms, elsewhere, NULL, NULL);
	return vms;
}

void quota_task_set_fleet(quota_task_t *task, const fleet_t *fleet, const char *own_region)
{
	g_autoptr(GPtrArray) near = quota_pools_in_region(fleet, own_region);
	g_autoptr(GPtrArray) elsewhere = quota_pools_elsewhere(fleet, own_region);
	g_autoptr(GPtrArray) near_names = names_of(near);
	g_autoptr(GPtrArray) elsewhere_names = names_of(elsewhere);
	g_autoptr(GPtrArray) links = NULL;
	const quota_vms_t vms = {.count = fleet->vms->len,
				 .is_listed = vm_find(fleet->vms, task->own_name) != NULL,
				 .pools = near_names,
				 .others = elsewhere_names};

	quota_set_vms(task->quota, &vms, loop_now_us());
	links = vms_to_link(task, near, elsewhere);
	link_to(task, links);
	on_check_timer(task);
	arm(task);
}

/* ---- interface ---- */

quota_task_t *quota_task_new(loop_t *loop, const settings_t *settings, quota_decided_f decided,
			     void *ctx)
{
	static const quota_ops_t ops = {.send = on_send, .decided = on_decided};
	const quota_tolerance_t tolerance = {.window_us =
						     (uint64_t)settings->quota_window_s * 1000000,
					     .overage = settings->quota_overage,
					     .slack = settings->quota_slack};
	quota_task_t *task = g_new0(quota_task_t, 1);

	task->loop = loop;
	task->own_name = g_strdup(settings->vm_name);
	task->quota = quota_new(&tolerance, settings->vm_name, (uint64_t)settings->apply_ms * 1000,
				&ops, task, g_random_int());
	task->links = g_ptr_array_new_with_free_func((GDestroyNotify)quota_link_free);
	task->decided = decided;
	task->ctx = ctx;
	task->timer = (loop_timer_t){.fire = on_timer, .ctx = task};
	task->check_timer = (loop_timer_t){.fire = on_check_timer, .ctx = task};
	return task;
}

quota_ask_t *quota_task_ask(quota_task_t *task, const tenant_t *tenant, void *owner)
{
	quota_ask_t *ask = quota_ask(task->quota, tenant, owner, loop_now_us());

	arm(task);
	return ask;
}

void quota_task_abandon(quota_task_t *task, quota_ask_t *ask)
{
	quota_abandon(ask);
	arm(task);
}

void quota_task_give_back(quota_task_t *task, const char *tenant)
{
	quota_give_back(task->quota, tenant, loop_now_us());
}

bool quota_task_serve(quota_task_t *task, const hop_message_t *message, hop_message_t *reply)
{
	bool replies = quota_serve(task->quota, message, reply, loop_now_us());

	arm(task);
	return replies;
}

const quota_counters_t *quota_task_counters(const quota_task_t *task)
{
	return quota_counters(task->quota);
}

double quota_task_own_fraction(const quota_task_t *task)
{
	return quota_own_fraction(task->quota, loop_now_us());
}
