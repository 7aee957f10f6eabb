/**
 * @file load_world.c
 * See load_world.h.
 */
#include "load_world.h"

#include "core/connection_share.h"
#include "core/forward.h"

#include <math.h>

#define MS 1000
#define VMS 9
#define DATA_CENTRES 3
#define SHARDS 10
#define SLOTS 3
#define CONNECTIONS 31
/* Queue length at which a searcher rejects sub-requests. */
#define MAX_QUEUE 12
#define NEAR_LATENCY_US 250
#define FAR_LATENCY_US (8 * MS)
#define CALLER_LATENCY_US (1 * MS)
#define HANDSHAKE_US (6 * MS)
#define PAUSE_US (250 * MS)
#define PAUSE_PERIOD_US (6000 * MS)
#define SLOW_FACTOR 4
/* A crashed searcher restarts after RESTART_US and is cold for COLD_US. */
#define RESTART_US (1500 * MS)
#define COLD_US (3000 * MS)
/* Sub-requests per second that a cold searcher can take, and the number within a second above which
 * it crashes. */
#define COLD_PER_S 4
#define MAX_COLD_REQUESTS (COLD_PER_S * 1.5 + 5)
#define RATIO 0.2
#define CONSTANT 58
#define WINDOW_US (10000 * MS)
#define BEGIN_US 1000000000
#define FAULT_FROM_US (5000 * MS)
#define MEASURE_FROM_US (6000 * MS)
#define MEASURE_TO_US (24000 * MS)
#define END_US (30000 * MS)
/* Shares of the requests that the VMs of each data centre get. */
static const double weights[DATA_CENTRES] = {0.18, 0.31, 0.51};

static const char *const data_centres[DATA_CENTRES] = {"north", "town", "lake"};

typedef struct route_plan_t {
	const char *name;
	double share; /* share of the requests */
	uint32_t work_us, target_us, patience_us;
	double least;
} route_plan_t;

static const route_plan_t route_plans[LOAD_ROUTES] = {
	{"broad", 0.75, 20 * MS, 200 * MS, 1000 * MS, 0.89},
	{"quick", 0.25, 6700, 100 * MS, 600 * MS, 0.75},
};

typedef struct load_world_t load_world_t;

/* A searcher process. */
typedef struct server_t {
	load_world_t *world;
	char id[16];
	char service[16];
	uint32_t data_centre;
	uint32_t slots;
	uint32_t busy;
	uint32_t max_queue;
	uint32_t connections;
	uint64_t pause_at_us; /* when its next pause starts; 0: it never pauses */
	bool faulty;
	uint64_t down_until_us, cold_until_us; /* after a crash */
	uint64_t changes;		       /* version of its entry */
	GArray *cold_us;		       /* arrival times of sub-requests while it is cold */
	timer_entry_t back;
	GQueue queue;	  /* job_t */
	double waited_us; /* total time that sub-requests spent in the queue */
} server_t;

typedef struct vm_sim_t {
	load_world_t *world;
	uint32_t data_centre;
	registry_t *registry;
	forwarder_t *forwarder;
} vm_sim_t;

/* A sub-request in transit, queued, running, or its reply in transit. */
typedef struct job_t {
	timer_entry_t timer;
	load_world_t *world;
	vm_sim_t *vm;
	server_t *server;
	subrequest_t *sub; /* NULL once the VM has cancelled it */
	uint32_t work_us;
	uint64_t deadline_us, queued_us;
	sub_outcome_t end;
	bool connects;
	bool no_answer; /* never answered: the VM gives it up and closes the connection */
} job_t;

/* A caller with all its attempts. */
typedef struct caller_t {
	timer_entry_t timer;
	load_world_t *world;
	vm_sim_t *vm;
	uint32_t route;
	uint64_t first_us, sent_us;
	uint32_t tries;
	char id[24];
	char target[8];
} caller_t;

struct load_world_t {
	const load_scenario_t *scenario;
	load_result_t *result;
	uint64_t now_us;
	timers_t timers;
	GRand *rand;
	vm_sim_t vms[VMS];
	GPtrArray *servers; /* server_t */
	GHashTable *by_id;
	GHashTable *first_keys; /* set of "request shard": has been sent before */
	GArray *extra_us[SHARDS];
	GArray *request_us;
	timer_entry_t arrival;
	timer_entry_t crash;
	double per_s;
	uint64_t end_us; /* end of the callers' traffic */
	uint32_t next_id;
};

static double uniform(load_world_t *world)
{
	return g_rand_double(world->rand);
}

static double exponential(load_world_t *world, double mean)
{
	return -mean * log(1 - uniform(world));
}

static void schedule(load_world_t *world, timer_entry_t *timer, uint64_t us,
		     void (*fire)(void *ctx, uint64_t now_us), void *ctx)
{
	timer->fire = fire;
	timer->ctx = ctx;
	timers_set(&world->timers, timer, world->now_us + us);
}

/* ---- searchers ---- */

static uint64_t latency_us(const job_t *job)
{
	return job->vm->data_centre == job->server->data_centre ? NEAR_LATENCY_US : FAR_LATENCY_US;
}

static bool is_fault_active(const load_world_t *world)
{
	return world->now_us >= BEGIN_US + FAULT_FROM_US;
}

static void reply_arrives(void *ctx, uint64_t now_us)
{
	job_t *job = ctx;
	subrequest_t *sub = job->sub;

	if (sub) {
		sub_reply_t *reply = sub_reply_new(job->end);

		reply->status = job->end == SUB_ANSWERED ? 200 : 500;
		reply->stamp = g_strdup(job->server->service);
		reply->body = g_string_new(NULL);
		if (job->end == SUB_UNKNOWN) {
			sub->searcher->connections--;
			job->server->connections--;
		} else {
			sub->searcher->idle++;
		}
		forwarder_subrequest_ended(job->vm->forwarder, sub, reply, now_us);
	}
	g_free(job);
}

static void send_reply(job_t *job, sub_outcome_t end)
{
	job->end = end;
	schedule(job->world, &job->timer, latency_us(job), reply_arrives, job);
}

static void start_next(server_t *server);

static void work_done(void *ctx, uint64_t now_us)
{
	job_t *job = ctx;
	load_world_t *world = job->world;
	server_t *server = job->server;
	bool faulty = server->faulty && is_fault_active(world) &&
		      uniform(world) < world->scenario->fault_odds;
	sub_outcome_t end = SUB_ANSWERED;

	server->busy--;
	if (faulty && world->scenario->fault == LOAD_ERRORS)
		end = SUB_FAILED;
	if (faulty && world->scenario->fault == LOAD_RESET)
		end = SUB_UNKNOWN;
	if (now_us >= job->deadline_us)
		end = SUB_FAILED; /* the searcher stopped at the deadline that it was sent */
	job->no_answer = faulty && world->scenario->fault == LOAD_NO_ANSWER;
	if (!job->no_answer)
		send_reply(job, end);
	else if (!job->sub)
		g_free(job);
	start_next(server);
}

/* All slots stop while the searcher pauses, which prolongs the running sub-requests. */
static uint64_t pause_left_us(server_t *server, uint64_t now_us)
{
	if (!server->pause_at_us)
		return 0;
	while (server->pause_at_us + PAUSE_US <= now_us)
		server->pause_at_us += PAUSE_PERIOD_US;
	return server->pause_at_us <= now_us ? server->pause_at_us + PAUSE_US - now_us : 0;
}

static uint64_t run_time_us(server_t *server, uint64_t work_us, uint64_t now_us)
{
	uint64_t first_us = pause_left_us(server, now_us);
	uint64_t from_us = now_us + first_us;

	if (server->pause_at_us > from_us && server->pause_at_us < from_us + work_us)
		work_us += PAUSE_US;
	return first_us + work_us;
}

static void start_work(job_t *job)
{
	server_t *server = job->server;
	load_world_t *world = job->world;
	uint64_t work_us = job->work_us, takes_us;

	if (server->faulty && is_fault_active(world) && world->scenario->fault == LOAD_SLOW)
		work_us *= SLOW_FACTOR;
	if (job->connects)
		work_us += HANDSHAKE_US;
	takes_us = run_time_us(server, work_us, world->now_us);
	if (world->now_us + takes_us > job->deadline_us)
		takes_us = job->deadline_us - world->now_us;
	server->busy++;
	schedule(world, &job->timer, takes_us, work_done, job);
}

/* Skips jobs that were cancelled or whose deadline has passed. */
static void start_next(server_t *server)
{
	uint64_t now_us = server->world->now_us;
	job_t *job;

	while (server->busy < server->slots && (job = g_queue_pop_head(&server->queue))) {
		server->waited_us += (double)(now_us - job->queued_us);
		if (!job->sub)
			g_free(job);
		else if (now_us >= job->deadline_us)
			send_reply(job, SUB_NOT_RUN);
		else
			start_work(job);
	}
}

static uint32_t count_since(const GArray *times, uint64_t from_us);

/* This VM's share of a cold searcher, with all VMs listed for long enough to be counted. */
static uint32_t cold_share_for(const vm_sim_t *vm, const server_t *server)
{
	static const cold_limit_t bound = {.per_s = COLD_PER_S, .gathered = true};
	g_autoptr(GPtrArray) vms = g_ptr_array_new_with_free_func(vm_free);
	cold_members_t members = {.vms = vms};

	for (uint32_t i = 0; i < VMS; i++) {
		g_autofree char *name = g_strdup_printf("vm-%u", i);
		const vm_t each = {.name = name, .data_centre = "", .address = ""};

		g_ptr_array_add(vms, vm_new(&each));
	}
	members.own_name = ((vm_t *)g_ptr_array_index(vms, vm - vm->world->vms))->name;
	return cold_share_of(&members, &bound, server->id);
}

static void update_server_entry(vm_sim_t *vm, const server_t *server, uint64_t now_us)
{
	const searcher_entry_t entry = {.id = (char *)server->id,
					.service = (char *)server->service,
					.address = "127.0.0.1",
					.port = 1,
					.data_centre = (char *)data_centres[server->data_centre],
					.slots = server->slots,
					.cold_us = COLD_US,
					.changes = server->changes};

	registry_find(vm->registry, server->id)->cold_share = cold_share_for(vm, server);
	/* Lets the registry see a new cold period, however long the last one was. */
	registry_find(vm->registry, server->id)->cold_us = 0;
	registry_put(vm->registry, &entry, now_us);
}

/* The searcher is available again, and cold: all VMs get its entry and their share of it. */
static void restart_server(void *ctx, uint64_t now_us)
{
	server_t *server = ctx;
	load_world_t *world = server->world;

	server->down_until_us = 0;
	server->cold_until_us = now_us + COLD_US;
	server->changes++;
	g_array_set_size(server->cold_us, 0);
	for (uint32_t i = 0; i < VMS; i++)
		update_server_entry(&world->vms[i], server, now_us);
}

static void crash_server(server_t *server)
{
	server->down_until_us = server->world->now_us + RESTART_US;
	schedule(server->world, &server->back, RESTART_US, restart_server, server);
}

static void crash_faulty_servers(void *ctx, uint64_t now_us)
{
	load_world_t *world = ctx;

	(void)now_us;
	for (guint i = 0; i < world->servers->len; i++) {
		server_t *server = g_ptr_array_index(world->servers, i);

		if (server->faulty)
			crash_server(server);
	}
}

static bool is_cold_overloaded(server_t *server, uint64_t now_us)
{
	if (now_us >= server->cold_until_us)
		return false;
	g_array_append_val(server->cold_us, now_us);
	return count_since(server->cold_us, now_us > 1000 * MS ? now_us - 1000 * MS : 0) >
	       MAX_COLD_REQUESTS;
}

static void arrive_at_server(void *ctx, uint64_t now_us)
{
	job_t *job = ctx;
	server_t *server = job->server;
	load_world_t *world = job->world;
	bool sheds = server->faulty && is_fault_active(world) &&
		     world->scenario->fault == LOAD_BUSY &&
		     uniform(world) < world->scenario->fault_odds;

	if (!server->down_until_us && is_cold_overloaded(server, now_us)) {
		world->result->cold_overloads++;
		crash_server(server);
	}
	if (server->down_until_us) {
		send_reply(job, SUB_NOT_SENT);
		return;
	}
	if (sheds || server->queue.length >= server->max_queue || now_us >= job->deadline_us) {
		send_reply(job, SUB_NOT_RUN);
		return;
	}
	job->queued_us = now_us;
	g_queue_push_tail(&server->queue, job);
	start_next(server);
}

/* ---- VMs ---- */

static uint32_t count_since(const GArray *times, uint64_t from_us)
{
	uint32_t count = 0;

	for (guint i = times->len; i-- > 0 && g_array_index(times, uint64_t, i) >= from_us;)
		count++;
	return count;
}

static void count_arrival(load_world_t *world, const subrequest_t *sub)
{
	g_autofree char *key = g_strdup_printf("%s %u", sub->forward->request.id, sub->part);
	uint64_t from_us = world->now_us - WINDOW_US;
	double share;

	world->result->sub_requests++;
	if (g_hash_table_add(world->first_keys, g_steal_pointer(&key)))
		return;
	world->result->extras++;
	g_array_append_val(world->extra_us[sub->part], world->now_us);
	share = count_since(world->extra_us[sub->part], from_us) /
		(RATIO * count_since(world->request_us, from_us) + CONSTANT);
	world->result->peak_extra_share = MAX(world->result->peak_extra_share, share);
}

/* Missing in some revisions that scripts/loads.sh compares with. Those send searchers the caller's
 * remaining time as deadline. */
__attribute__((weak)) uint64_t subrequest_time_left_us(const subrequest_t *sub, uint64_t now_us);

static uint64_t deadline_left_us(const subrequest_t *sub, uint64_t now_us)
{
	return subrequest_time_left_us ? subrequest_time_left_us(sub, now_us)
				       : forward_time_left_us(sub->forward, now_us);
}

static uint32_t draw_work_us(load_world_t *world, uint32_t mean_us)
{
	double factor = 1 + 0.35 * (uniform(world) + uniform(world) + uniform(world) - 1.5) * 2;

	return (uint32_t)(mean_us * MAX(factor, 0.1) * (uniform(world) < 0.01 ? 5 : 1));
}

static void on_send(void *ctx, subrequest_t *sub)
{
	vm_sim_t *vm = ctx;
	load_world_t *world = vm->world;
	const caller_t *caller = sub->forward->owner;
	job_t *job = g_new0(job_t, 1);

	job->world = world;
	job->vm = vm;
	job->sub = sub;
	job->server = g_hash_table_lookup(world->by_id, sub->searcher->id);
	job->work_us = world->scenario ? draw_work_us(world, route_plans[caller->route].work_us)
				       : (uint32_t)exponential(world, 10 * MS);
	job->deadline_us = world->now_us + deadline_left_us(sub, world->now_us);
	job->connects = !sub->searcher->idle;
	if (job->connects) {
		sub->searcher->connections++;
		job->server->connections++;
	} else {
		sub->searcher->idle--;
	}
	sub->connection = job;
	if (!job->server
		     ->down_until_us) /* otherwise the connection is refused, and nothing arrives */
		count_arrival(world, sub);
	schedule(world, &job->timer, latency_us(job) * (job->connects ? 3 : 1), arrive_at_server,
		 job);
}

/* The VM closes the connection; the searcher drops the job if it is queued, and runs it to its end
 * if it is running. */
static void on_cancel(void *ctx, subrequest_t *sub)
{
	job_t *job = sub->connection;

	(void)ctx;
	job->sub = NULL;
	sub->searcher->connections--;
	job->server->connections--;
	if (job->no_answer)
		g_free(job);
}

static void retry(void *ctx, uint64_t now_us);

static bool schedule_retry(caller_t *caller, uint64_t retry_after_us)
{
	const route_plan_t *route = &route_plans[caller->route];
	load_world_t *world = caller->world;
	uint64_t gone_us = world->now_us - caller->first_us;
	uint64_t left_us = route->patience_us > gone_us ? route->patience_us - gone_us : 0;

	if (caller->tries > 1 || left_us < 10 * MS)
		return false;
	schedule(world, &caller->timer, MIN(retry_after_us, left_us / 3) + 2 * CALLER_LATENCY_US,
		 retry, caller);
	return true;
}

static bool is_counted(const caller_t *caller)
{
	return caller->first_us >= BEGIN_US + MEASURE_FROM_US &&
	       caller->first_us < BEGIN_US + MEASURE_TO_US;
}

static void count_answer(caller_t *caller, const forward_answer_t *answer)
{
	load_route_t *route = &caller->world->result->routes[caller->route];
	uint64_t took_us = caller->world->now_us + CALLER_LATENCY_US - caller->first_us;
	bool is_late = took_us > route_plans[caller->route].target_us;

	if (!is_counted(caller))
		return;
	route->asked++;
	histogram_add(&route->took, took_us);
	if (answer->outcome != FORWARD_ANSWERED) {
		route->refused += answer->retry_after_us > 0;
		route->failed += answer->retry_after_us == 0;
		return;
	}
	route->late += is_late;
	route->partial += !is_late && answer->missing;
	route->whole += !is_late && !answer->missing;
}

static void on_answer(void *ctx, forward_t *forward, const forward_answer_t *answer)
{
	caller_t *caller = forward->owner;

	(void)ctx;
	if (answer->outcome != FORWARD_ANSWERED && schedule_retry(caller, answer->retry_after_us))
		return;
	count_answer(caller, answer);
	g_free(caller);
}

/* ---- callers ---- */

static uint32_t draw_vm(load_world_t *world)
{
	double at = uniform(world);
	uint32_t data_centre = 0;

	while (data_centre + 1 < DATA_CENTRES && at >= weights[data_centre])
		at -= weights[data_centre++];
	return data_centre + DATA_CENTRES * (uint32_t)(uniform(world) * (VMS / DATA_CENTRES));
}

static void submit(caller_t *caller, uint64_t now_us)
{
	const route_plan_t *plan = &route_plans[caller->route];
	uint64_t gone_us = now_us - caller->first_us;
	forward_request_t request = {.id = caller->id,
				     .host = "h",
				     .target = caller->target,
				     .received_us = now_us,
				     .patience_us = plan->patience_us - gone_us};
	load_world_t *world = caller->world;

	caller->vm = &world->vms[world->scenario ? draw_vm(world) : 0];
	caller->tries++;
	g_snprintf(caller->id, sizeof(caller->id), "q%u", world->next_id++);
	g_array_append_val(world->request_us, now_us);
	forwarder_submit(caller->vm->forwarder, &request, caller, now_us);
}

static void retry(void *ctx, uint64_t now_us)
{
	submit(ctx, now_us);
}

static void next_arrival(void *ctx, uint64_t now_us)
{
	load_world_t *world = ctx;
	caller_t *caller;

	if (now_us >= world->end_us)
		return;
	caller = g_new0(caller_t, 1);
	caller->world = world;
	caller->first_us = now_us;
	caller->route = world->scenario && uniform(world) >= route_plans[0].share;
	g_strlcpy(caller->target, caller->route ? "/1/" : "/0/", sizeof(caller->target));
	submit(caller, now_us);
	schedule(world, &world->arrival, (uint64_t)exponential(world, 1e6 / world->per_s),
		 next_arrival, world);
}

/* ---- set-up ---- */

static void on_changed(void *ctx, searcher_t *searcher)
{
	(void)ctx;
	(void)searcher;
}

static void add_server(load_world_t *world, uint32_t shard, uint32_t data_centre)
{
	server_t *server = g_new0(server_t, 1);

	server->world = world;
	server->data_centre = data_centre;
	server->slots = SLOTS;
	server->max_queue = MAX_QUEUE;
	server->pause_at_us = BEGIN_US + (uint64_t)(uniform(world) * PAUSE_PERIOD_US);
	g_snprintf(server->id, sizeof(server->id), "s%u-%u", shard, data_centre);
	g_snprintf(server->service, sizeof(server->service), "s%u", shard);
	g_queue_init(&server->queue);
	server->cold_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_ptr_array_add(world->servers, server);
	g_hash_table_insert(world->by_id, server->id, server);
}

/* One searcher of each shard has no fault, in a different data centre from shard to shard. With
 * LOAD_CRASH, all searchers of the first shards are faulty. */
static void choose_faulty(load_world_t *world)
{
	for (guint i = 0; i < world->servers->len; i++) {
		server_t *server = g_ptr_array_index(world->servers, i);
		uint32_t shard = (uint32_t)g_ascii_strtoull(server->service + 1, NULL, 10);
		bool spared = server->data_centre == shard % DATA_CENTRES;

		if (world->scenario->fault == LOAD_CRASH)
			server->faulty = shard < world->scenario->fault_share * SHARDS;
		else
			server->faulty = !spared && uniform(world) < world->scenario->fault_share;
	}
}

static void add_route(routing_t *routing, uint32_t index, uint32_t shards, bool gathers)
{
	const route_plan_t *plan = &route_plans[index];
	route_t *route = routing_add(routing);

	route->name = g_strdup(plan->name);
	route->host = g_strdup("h");
	route->prefix = g_strdup_printf("/%u/", index);
	route->gathers = gathers;
	route->idempotent = true;
	route->rank = index + 1;
	route->max_attempts = gathers ? 2 : 1;
	route->timeout_us = gathers ? plan->patience_us : 0;
	route->target_us = plan->target_us;
	route->min_coverage = plan->least;
	route->top = 5;
	for (uint32_t i = 0; i < shards; i++) {
		g_autofree char *service = g_strdup_printf("s%u", i);

		route_add_target(route, service, 1);
	}
}

static routing_t *routing_for(uint32_t shards, bool gathers)
{
	routing_t *routing = routing_new(1);

	for (uint32_t i = 0; i < LOAD_ROUTES; i++)
		add_route(routing, i, shards, gathers);
	routing_seal(routing);
	return routing;
}

static void register_server(registry_t *registry, const server_t *server)
{
	const searcher_entry_t entry = {.id = (char *)server->id,
					.service = (char *)server->service,
					.address = "127.0.0.1",
					.port = 1,
					.data_centre = (char *)data_centres[server->data_centre],
					.slots = server->slots};

	registry_put(registry, &entry, BEGIN_US);
}

static void share_connections(registry_t *registry, uint32_t connections, uint32_t vms)
{
	const vm_counts_t counts = {.own_name = "vm", .all = vms};
	GHashTableIter iter;
	gpointer pool;

	g_hash_table_iter_init(&iter, registry_pools(registry));
	while (g_hash_table_iter_next(&iter, NULL, &pool))
		connection_share_set(pool, connections, &counts);
}

static void bound_cold(registry_t *registry)
{
	GHashTableIter iter;
	gpointer pool;

	g_hash_table_iter_init(&iter, registry_pools(registry));
	while (g_hash_table_iter_next(&iter, NULL, &pool))
		((pool_t *)pool)->cold = (cold_limit_t){.per_s = COLD_PER_S, .gathered = true};
}

static void start_vm(load_world_t *world, uint32_t index, uint32_t vms, uint32_t connections)
{
	static const registry_ops_t registry_ops = {.changed = on_changed};
	static const forwarder_ops_t ops = {
		.send = on_send, .cancel = on_cancel, .answer = on_answer};
	const retry_bound_t bound = {
		.ratio = RATIO, .window_us = WINDOW_US, .constant = 0.8 * CONSTANT / (vms + 1)};
	vm_sim_t *vm = &world->vms[index];
	g_autoptr(GHashTable) regions = g_hash_table_new(g_str_hash, g_str_equal);
	locality_t place = {.regions = regions};

	vm->world = world;
	vm->data_centre = index % DATA_CENTRES;
	for (uint32_t i = 0; i < DATA_CENTRES; i++)
		g_hash_table_insert(regions, (char *)data_centres[i], (char *)data_centres[i]);
	place.data_centre = (char *)data_centres[vm->data_centre];
	vm->registry = registry_new(&place, &bound, &registry_ops, vm);
	registry_list_begin(vm->registry);
	for (guint i = 0; i < world->servers->len; i++)
		register_server(vm->registry, g_ptr_array_index(world->servers, i));
	registry_list_end(vm->registry, BEGIN_US);
	share_connections(vm->registry, connections, vms + 1);
	if (world->scenario && world->scenario->fault == LOAD_CRASH)
		bound_cold(vm->registry);
	vm->forwarder = forwarder_new(&ops, vm, vm->registry, index + 1);
	forwarder_set_routing(vm->forwarder,
			      routing_for(world->scenario ? SHARDS : 1, world->scenario));
}

static load_world_t *world_new(const load_scenario_t *scenario, uint32_t seed,
			       load_result_t *result)
{
	load_world_t *world = g_new0(load_world_t, 1);

	*result = (load_result_t){0};
	for (uint32_t i = 0; i < LOAD_ROUTES; i++)
		result->routes[i].name = route_plans[i].name;
	world->scenario = scenario;
	world->result = result;
	world->now_us = BEGIN_US;
	world->rand = g_rand_new_with_seed(seed);
	world->servers = g_ptr_array_new_with_free_func(g_free);
	world->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	world->first_keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	world->request_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (uint32_t i = 0; i < SHARDS; i++)
		world->extra_us[i] = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	timers_init(&world->timers);
	return world;
}

static uint64_t next_us(const load_world_t *world)
{
	uint64_t next = timers_next_us(&world->timers);

	for (uint32_t i = 0; i < VMS; i++)
		if (world->vms[i].forwarder)
			next = MIN(next, forwarder_next_us(world->vms[i].forwarder));
	return next;
}

/* Runs until all requests of the callers have finished. */
static void run(load_world_t *world)
{
	uint64_t next;

	next_arrival(world, world->now_us);
	while ((next = next_us(world)) != TIMERS_NEVER) {
		world->now_us = MAX(world->now_us, next);
		timers_run(&world->timers, world->now_us);
		for (uint32_t i = 0; i < VMS; i++)
			if (world->vms[i].forwarder)
				forwarder_run(world->vms[i].forwarder, world->now_us);
	}
}

static void world_free(load_world_t *world)
{
	for (uint32_t i = 0; i < VMS; i++) {
		if (!world->vms[i].forwarder)
			continue;
		forwarder_free(world->vms[i].forwarder);
		registry_free(world->vms[i].registry);
	}
	timers_clear(&world->timers);
	g_hash_table_unref(world->by_id);
	g_hash_table_unref(world->first_keys);
	g_ptr_array_unref(world->servers);
	g_array_unref(world->request_us);
	for (uint32_t i = 0; i < SHARDS; i++)
		g_array_unref(world->extra_us[i]);
	g_rand_free(world->rand);
	g_free(world);
}

static double capacity_per_s(void)
{
	double work_us = 0;

	for (uint32_t i = 0; i < LOAD_ROUTES; i++)
		work_us += route_plans[i].share * route_plans[i].work_us;
	/* One sub-request in a hundred takes five times as long; pauses reduce the capacity. */
	work_us *= 1.04;
	return SLOTS * 1e6 / work_us * (1 - (double)PAUSE_US / PAUSE_PERIOD_US);
}

void load_run(const load_scenario_t *scenario, uint32_t seed, load_result_t *result)
{
	load_world_t *world = world_new(scenario, seed, result);

	for (uint32_t shard = 0; shard < SHARDS; shard++)
		for (uint32_t i = 0; i < DATA_CENTRES; i++)
			if (shard >= scenario->short_shards || i == shard % DATA_CENTRES)
				add_server(world, shard, i);
	choose_faulty(world);
	for (uint32_t i = 0; i < VMS; i++)
		start_vm(world, i, VMS, CONNECTIONS);
	if (scenario->fault == LOAD_CRASH)
		schedule(world, &world->crash, FAULT_FROM_US, crash_faulty_servers, world);
	world->per_s = scenario->offered * capacity_per_s();
	world->end_us = BEGIN_US + END_US;
	run(world);
	world_free(world);
}

double load_run_single(double load, uint32_t seed, uint32_t seconds)
{
	load_result_t result;
	load_world_t *world = world_new(NULL, seed, &result);
	server_t *server;
	double waiting;

	add_server(world, 0, 0);
	server = g_ptr_array_index(world->servers, 0);
	server->slots = 1;
	server->max_queue = UINT32_MAX;
	server->pause_at_us = 0;
	start_vm(world, 0, 1, 1000000);
	world->per_s = load * 100;
	world->end_us = BEGIN_US + (uint64_t)seconds * 1000000;
	run(world);
	waiting = server->waited_us / ((double)seconds * 1e6);
	world_free(world);
	return waiting;
}

double load_route_served(const load_route_t *route)
{
	return route->asked ? (double)(route->whole + route->partial) / route->asked : 0;
}
