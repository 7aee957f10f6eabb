/**
 * @file load_world.c
 * See load_world.h.
 */
#include "load_world.h"

#include "core/connection_share.h"
#include "core/forward.h"

#include <math.h>

#define MS 1000
#define DATA_CENTRES 3
#define CALLER_LATENCY_US (1 * MS)
#define HANDSHAKE_US (6 * MS)
#define PAUSE_US (250 * MS)
#define PAUSE_PERIOD_US (6000 * MS)
#define SLOW_FACTOR 4
#define NOISE_FACTOR 2.5
#define NOISE_US (600 * MS)
#define NOISE_PERIOD_US (8000 * MS)
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
/* Shares of the requests that the VMs of each data centre get. */
static const double weights[DATA_CENTRES] = {0.18, 0.31, 0.51};

static const char *const data_centres[DATA_CENTRES] = {"north", "town", "lake"};

/* Of the mean; the three searchers of a shard have one each, in random order. */
static const double speeds[DATA_CENTRES] = {0.55, 0.85, 1.6};

typedef struct load_world_t load_world_t;

/* A searcher process. */
typedef struct server_t {
	load_world_t *world;
	char id[16];
	char service[16];
	uint32_t shard;
	uint32_t data_centre;
	double speed;	      /* relative to the mean */
	uint64_t noise_at_us; /* when its next noise starts; 0: it has none */
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
	uint32_t index;
	timer_entry_t wake; /* when its forwarder has to run next */
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
	bool slowed;	    /* started while its searcher was slowed down */
	uint64_t target_us; /* of its try, as an absolute time */
	bool no_answer;	    /* never answered: the VM gives it up and closes the connection */
} job_t;

/* A caller with all its attempts. */
typedef struct caller_t {
	timer_entry_t timer;
	load_world_t *world;
	vm_sim_t *vm;
	uint32_t route;
	uint64_t first_us, sent_us;
	uint32_t tries;
	uint32_t tenant;
	uint64_t seen_parts; /* bit per part that its present try has sent */
	bool has_run;	     /* some searcher has started a part of its present try */
	char id[24];
	char target[8];
} caller_t;

/* Times, in ascending order, of which those within WINDOW_US are counted. */
typedef struct window_t {
	GArray *times_us;
	guint first; /* index of the first one within the window */
} window_t;

struct load_world_t {
	const load_scenario_t *scenario;
	load_plan_t plan;
	uint32_t tenant_count;
	load_result_t *result;
	uint64_t now_us;
	timers_t timers;
	GRand *rand;
	vm_sim_t *vms;
	uint32_t vm_count;
	timers_t wakes;
	GPtrArray *due;	    /* vm_sim_t whose forwarders have to run now */
	GPtrArray *servers; /* server_t */
	GHashTable *by_id;
	window_t extras[LOAD_SHARDS_MAX];
	window_t requests;
	timer_entry_t arrival;
	timer_entry_t crash;
	double per_s;
	uint64_t end_us; /* end of the callers' traffic */
	uint32_t next_id;
	routing_t *routing;
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

static double elapsed_s(const load_world_t *world)
{
	return (double)(world->now_us - BEGIN_US) / 1e6;
}

static uint32_t current_second(const load_world_t *world)
{
	return MIN((uint32_t)elapsed_s(world), LOAD_SECONDS_MAX - 1);
}

static bool is_measured(const load_world_t *world)
{
	double now_s = elapsed_s(world);

	return now_s >= world->plan.measure_from_s && now_s < world->plan.measure_to_s;
}

static void window_note(window_t *window, uint64_t now_us)
{
	g_array_append_val(window->times_us, now_us);
}

static uint32_t window_count(window_t *window, uint64_t now_us)
{
	while (window->first < window->times_us->len &&
	       g_array_index(window->times_us, uint64_t, window->first) + WINDOW_US < now_us)
		window->first++;
	return window->times_us->len - window->first;
}

/* Each call into the forwarder of @p vm may change when it has to run next. */
static void update_wake(vm_sim_t *vm)
{
	uint64_t next_us = forwarder_next_us(vm->forwarder);
	timers_t *wakes = &vm->world->wakes;

	if (next_us == TIMERS_NEVER)
		timers_cancel(wakes, &vm->wake);
	else if (!vm->wake.heap_position || vm->wake.at_us != next_us)
		timers_set(wakes, &vm->wake, next_us);
}

/* ---- searchers ---- */

static uint64_t latency_us(const job_t *job)
{
	const load_plan_t *plan = &job->world->plan;

	return job->vm->data_centre == job->server->data_centre ? plan->near_us : plan->far_us;
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
		update_wake(job->vm);
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
	world->result->slowed += job->slowed;
	world->result->slowed_late += job->slowed && now_us + latency_us(job) > job->target_us;
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

static bool is_noisy(server_t *server, uint64_t now_us)
{
	if (!server->noise_at_us)
		return false;
	while (server->noise_at_us + NOISE_US <= now_us)
		server->noise_at_us += NOISE_PERIOD_US;
	return server->noise_at_us <= now_us;
}

/* The slowed-down searcher of a shard is in a different data centre from shard to shard. */
static double slowdown_of(const server_t *server)
{
	const load_world_t *world = server->world;
	const load_plan_t *plan = &world->plan;
	double now_s = elapsed_s(world), factor = 1;

	if (server->data_centre != server->shard % DATA_CENTRES)
		return 1;
	for (uint32_t i = 0; i < LOAD_SLOWDOWNS_MAX && plan->slowdowns[i].factor > 0; i++) {
		const load_slowdown_t *slow = &plan->slowdowns[i];

		if (now_s >= slow->from_s && now_s < slow->to_s &&
		    server->shard < slow->share * plan->shards)
			factor *= slow->factor;
	}
	return factor;
}

static uint64_t slowed_work_us(job_t *job)
{
	server_t *server = job->server;
	double factor = slowdown_of(server);

	job->slowed = factor > 1;
	if (is_noisy(server, job->world->now_us))
		factor *= NOISE_FACTOR;
	return (uint64_t)(job->work_us * factor / server->speed);
}

static void start_work(job_t *job)
{
	server_t *server = job->server;
	load_world_t *world = job->world;
	uint64_t work_us = slowed_work_us(job), takes_us;

	if (job->sub && job->sub->forward)
		((caller_t *)job->sub->forward->owner)->has_run = true;
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

	for (uint32_t i = 0; i < vm->world->vm_count; i++) {
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
	for (uint32_t i = 0; i < world->vm_count; i++)
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
	if (server->queue.length >= server->max_queue) {
		world->result->rejected++;
		world->result->rejected_by_s[current_second(world)]++;
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
	caller_t *caller = sub->forward->owner;
	uint64_t bit = 1ull << sub->part;
	double share;

	world->result->sub_requests++;
	world->result->sub_requests_by_s[current_second(world)]++;
	if (!(caller->seen_parts & bit)) {
		caller->seen_parts |= bit;
		return;
	}
	world->result->extras++;
	window_note(&world->extras[sub->part], world->now_us);
	share = window_count(&world->extras[sub->part], world->now_us) /
		(RATIO * window_count(&world->requests, world->now_us) + CONSTANT);
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
	job->target_us = caller->sent_us + world->plan.routes[caller->route].target_us;
	job->work_us = world->scenario
			       ? draw_work_us(world, world->plan.routes[caller->route].work_us)
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
	load_world_t *world = caller->world;
	const load_route_plan_t *route = &world->plan.routes[caller->route];
	uint64_t gone_us = world->now_us - caller->first_us;
	uint64_t left_us = route->patience_us > gone_us ? route->patience_us - gone_us : 0;

	if (caller->tries >= world->plan.max_tries || left_us < 10 * MS)
		return false;
	schedule(world, &caller->timer, MIN(retry_after_us, left_us / 3) + 2 * CALLER_LATENCY_US,
		 retry, caller);
	return true;
}

static bool is_counted(const caller_t *caller)
{
	const load_plan_t *plan = &caller->world->plan;
	double first_s = (double)(caller->first_us - BEGIN_US) / 1e6;

	return first_s >= plan->measure_from_s && first_s < plan->measure_to_s;
}

static void count_refusal(const caller_t *caller)
{
	load_result_t *result = caller->world->result;

	histogram_add(&result->refusal, caller->world->now_us - caller->sent_us);
	result->refused_after_send += caller->seen_parts != 0;
	result->refused_after_run += caller->has_run;
}

static void count_tenant(const caller_t *caller, const forward_answer_t *answer, uint64_t took_us,
			 bool in_time)
{
	load_tenant_result_t *tenant = &caller->world->result->tenants[caller->tenant];

	if (!is_measured(caller->world))
		return;
	if (answer->outcome == FORWARD_ANSWERED) {
		histogram_add(&tenant->took, took_us);
		tenant->in_time += in_time;
		tenant->late += !in_time;
	} else {
		tenant->refused += answer->retry_after_us > 0;
		tenant->failed += answer->retry_after_us == 0;
	}
}

/* Counts one try, whether or not the caller sends another one. */
static void count_try(const caller_t *caller, const forward_answer_t *answer)
{
	load_world_t *world = caller->world;
	load_result_t *result = world->result;
	load_second_t *second = &result->seconds[current_second(world)][caller->route];
	uint64_t took_us = world->now_us + CALLER_LATENCY_US - caller->sent_us;
	bool answered = answer->outcome == FORWARD_ANSWERED;
	bool in_time = answered && took_us <= world->plan.routes[caller->route].target_us;

	second->whole += in_time && !answer->missing;
	second->partial += in_time && answer->missing;
	second->late += answered && !in_time;
	second->refused += !answered && answer->retry_after_us;
	second->failed += !answered && !answer->retry_after_us;
	if (!answered && answer->retry_after_us)
		count_refusal(caller);
	result->second_tries += caller->tries > 1;
	result->second_tries_in_time += caller->tries > 1 && in_time;
	count_tenant(caller, answer, took_us, in_time);
}

static void count_answer(caller_t *caller, const forward_answer_t *answer)
{
	load_route_t *route = &caller->world->result->routes[caller->route];
	uint64_t took_us = caller->world->now_us + CALLER_LATENCY_US - caller->first_us;
	bool is_late = took_us > caller->world->plan.routes[caller->route].target_us;

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
	count_try(caller, answer);
	if (answer->outcome != FORWARD_ANSWERED && schedule_retry(caller, answer->retry_after_us))
		return;
	count_answer(caller, answer);
	g_free(caller);
}

/* ---- callers ---- */

static uint32_t vms_in(const load_world_t *world, uint32_t data_centre)
{
	return (world->vm_count + DATA_CENTRES - 1 - data_centre) / DATA_CENTRES;
}

/* Data centres without a VM take no requests: the last one that has VMs gets the rest. */
static uint32_t draw_vm(load_world_t *world)
{
	double at = uniform(world);
	uint32_t data_centre = 0;

	while (data_centre + 1 < MIN(DATA_CENTRES, world->vm_count) && at >= weights[data_centre])
		at -= weights[data_centre++];
	return data_centre + DATA_CENTRES * (uint32_t)(uniform(world) * vms_in(world, data_centre));
}

static void submit(caller_t *caller, uint64_t now_us)
{
	load_world_t *world = caller->world;
	const load_route_plan_t *plan = &world->plan.routes[caller->route];
	uint64_t gone_us = now_us - caller->first_us;
	vm_sim_t *vm = &world->vms[world->scenario ? draw_vm(world) : 0];
	forward_request_t request = {.id = caller->id,
				     .host = "h",
				     .target = caller->target,
				     .key = world->plan.tenants[caller->tenant].name,
				     .received_us = now_us,
				     .patience_us = plan->patience_us - gone_us};

	caller->vm = vm;
	caller->sent_us = now_us;
	caller->seen_parts = 0;
	caller->has_run = false;
	caller->tries++;
	g_snprintf(caller->id, sizeof(caller->id), "q%u", world->next_id++);
	window_note(&world->requests, now_us);
	world->result->seconds[current_second(world)][caller->route].sent++;
	forwarder_submit(vm->forwarder, &request, caller, now_us);
	update_wake(vm);
}

static void retry(void *ctx, uint64_t now_us)
{
	submit(ctx, now_us);
}

/* Factor of the steps that apply to @p tenant now; 0: of those that apply to all requests. */
static double step_factor(const load_world_t *world, uint32_t tenant)
{
	const load_plan_t *plan = &world->plan;
	double now_s = elapsed_s(world), factor = 1;

	for (uint32_t i = 0; i < LOAD_STEPS_MAX && plan->steps[i].factor > 0; i++) {
		const load_step_t *step = &plan->steps[i];

		if (step->tenant == tenant && now_s >= step->from_s && now_s < step->to_s)
			factor *= step->factor;
	}
	return factor;
}

/* Sum of the tenants' shares of the usual load, with the steps of each. */
static double tenant_sum(const load_world_t *world)
{
	double sum = 0;

	for (uint32_t i = 0; i < world->tenant_count; i++)
		sum += world->plan.tenants[i].share * step_factor(world, i + 1);
	return sum;
}

static uint32_t draw_tenant(load_world_t *world)
{
	uint32_t tenant = 0;
	double at;

	if (!world->tenant_count)
		return 0;
	at = uniform(world) * tenant_sum(world);
	while (tenant + 1 < world->tenant_count) {
		at -= world->plan.tenants[tenant].share * step_factor(world, tenant + 1);
		if (at < 0)
			break;
		tenant++;
	}
	return tenant;
}

static double requests_per_s(const load_world_t *world)
{
	double factor = step_factor(world, 0);

	if (world->tenant_count)
		factor *= tenant_sum(world);
	return world->per_s * factor;
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
	caller->route = world->scenario && uniform(world) >= world->plan.routes[0].share;
	caller->tenant = draw_tenant(world);
	g_strlcpy(caller->target, caller->route ? "/1/" : "/0/", sizeof(caller->target));
	submit(caller, now_us);
	schedule(world, &world->arrival, (uint64_t)exponential(world, 1e6 / requests_per_s(world)),
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
	server->shard = shard;
	server->data_centre = data_centre;
	server->speed = 1;
	server->slots = world->plan.slots;
	server->max_queue = world->plan.max_queue;
	server->pause_at_us = BEGIN_US + (uint64_t)(uniform(world) * PAUSE_PERIOD_US);
	if (world->plan.noisy)
		server->noise_at_us = BEGIN_US + (uint64_t)(uniform(world) * NOISE_PERIOD_US);
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
		bool spared = server->data_centre == server->shard % DATA_CENTRES;

		if (world->scenario->fault == LOAD_CRASH)
			server->faulty =
				server->shard < world->scenario->fault_share * world->plan.shards;
		else
			server->faulty = !spared && uniform(world) < world->scenario->fault_share;
	}
}

static void choose_speeds(load_world_t *world)
{
	uint32_t turn = 0;

	for (guint i = 0; i < world->servers->len; i++) {
		server_t *server = g_ptr_array_index(world->servers, i);

		if (i % DATA_CENTRES == 0)
			turn = (uint32_t)(uniform(world) * DATA_CENTRES);
		server->speed = speeds[(turn + server->data_centre) % DATA_CENTRES];
	}
}

static void add_route(routing_t *routing, const load_route_plan_t *plan, uint32_t index,
		      uint32_t shards, bool gathers)
{
	route_t *route = routing_add(routing);

	route->name = g_strdup(plan->name);
	route->host = g_strdup("h");
	route->prefix = g_strdup_printf("/%u/", index);
	route->gathers = gathers;
	route->idempotent = true;
	route->rank = plan->rank;
	route->max_attempts = gathers ? 2 : 1;
	route->timeout_us = gathers ? plan->patience_us : 0;
	route->target_us = plan->target_us;
	route->min_coverage = plan->min_coverage;
	route->top = 5;
	for (uint32_t i = 0; i < shards; i++) {
		g_autofree char *service = g_strdup_printf("s%u", i);

		route_add_target(route, service, 1);
	}
}

/* The API key of a tenant is its name. */
static tenants_t *tenants_for(const load_world_t *world)
{
	tenants_t *tenants = tenants_new();

	for (uint32_t i = 0; i < world->tenant_count; i++) {
		const load_tenant_t *plan = &world->plan.tenants[i];
		tenant_t *tenant = tenants_add(tenants, plan->name);

		tenant->rate_per_s = plan->rate_per_s;
		tenants_add_key(tenants, plan->name, tenant);
	}
	return tenants;
}

static routing_t *routing_for(const load_world_t *world)
{
	routing_t *routing = routing_new(1);
	bool gathers = world->scenario;

	for (uint32_t i = 0; i < LOAD_ROUTES; i++)
		add_route(routing, &world->plan.routes[i], i, gathers ? world->plan.shards : 1,
			  gathers);
	if (world->tenant_count)
		routing->tenants = tenants_for(world);
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

static void open_connections(load_world_t *world, registry_t *registry)
{
	for (guint i = 0; i < world->servers->len; i++) {
		server_t *server = g_ptr_array_index(world->servers, i);
		searcher_t *searcher = registry_find(registry, server->id);

		searcher->connections = searcher->idle = 1;
		server->connections++;
	}
}

/* Missing in revisions before core/admission, and until it is merged. */
__attribute__((weak)) void forwarder_enable_admission(forwarder_t *forwarder);

bool load_has_admission(void)
{
	return forwarder_enable_admission != NULL;
}

static void on_wake(void *ctx, uint64_t now_us)
{
	vm_sim_t *vm = ctx;

	(void)now_us;
	g_ptr_array_add(vm->world->due, vm);
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
	vm->index = index;
	vm->wake = (timer_entry_t){.fire = on_wake, .ctx = vm};
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
	if (world->plan.connected)
		open_connections(world, vm->registry);
	if (world->plan.admission && forwarder_enable_admission)
		forwarder_enable_admission(vm->forwarder);
	forwarder_set_routing(vm->forwarder, routing_ref(world->routing));
}

static load_world_t *world_new(const load_scenario_t *scenario, uint32_t seed,
			       load_result_t *result)
{
	load_world_t *world = g_new0(load_world_t, 1);

	*result = (load_result_t){0};
	world->plan = scenario && scenario->plan ? *scenario->plan : load_plan_default();
	world->vm_count = scenario ? world->plan.vms : 1;
	while (world->tenant_count < LOAD_TENANTS_MAX &&
	       world->plan.tenants[world->tenant_count].name)
		world->tenant_count++;
	world->vms = g_new0(vm_sim_t, world->vm_count);
	world->due = g_ptr_array_new();
	for (uint32_t i = 0; i < LOAD_ROUTES; i++)
		result->routes[i].name = world->plan.routes[i].name;
	world->scenario = scenario;
	world->result = result;
	world->now_us = BEGIN_US;
	world->rand = g_rand_new_with_seed(seed);
	world->servers = g_ptr_array_new_with_free_func(g_free);
	world->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	world->requests.times_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (uint32_t i = 0; i < LOAD_SHARDS_MAX; i++)
		world->extras[i].times_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	timers_init(&world->timers);
	timers_init(&world->wakes);
	world->routing = routing_for(world);
	return world;
}

static gint compare_vms(gconstpointer left, gconstpointer right)
{
	const vm_sim_t *a = *(vm_sim_t *const *)left, *b = *(vm_sim_t *const *)right;

	return (a->index > b->index) - (a->index < b->index);
}

/* In the order of the VMs: those that run at the same time share one sequence of random numbers. */
static void run_due_vms(load_world_t *world)
{
	timers_run(&world->wakes, world->now_us);
	g_ptr_array_sort(world->due, compare_vms);
	for (guint i = 0; i < world->due->len; i++) {
		vm_sim_t *vm = g_ptr_array_index(world->due, i);

		forwarder_run(vm->forwarder, world->now_us);
		update_wake(vm);
	}
	g_ptr_array_set_size(world->due, 0);
}

/* Runs until all requests of the callers have finished. */
static void run(load_world_t *world)
{
	uint64_t next_us;

	next_arrival(world, world->now_us);
	while ((next_us = MIN(timers_next_us(&world->timers), timers_next_us(&world->wakes))) !=
	       TIMERS_NEVER) {
		world->now_us = MAX(world->now_us, next_us);
		timers_run(&world->timers, world->now_us);
		run_due_vms(world);
	}
}

static void world_free(load_world_t *world)
{
	for (uint32_t i = 0; i < world->vm_count; i++) {
		forwarder_free(world->vms[i].forwarder);
		registry_free(world->vms[i].registry);
	}
	g_free(world->vms);
	g_ptr_array_unref(world->due);
	routing_unref(world->routing);
	timers_clear(&world->timers);
	timers_clear(&world->wakes);
	g_hash_table_unref(world->by_id);
	g_ptr_array_unref(world->servers);
	g_array_unref(world->requests.times_us);
	for (uint32_t i = 0; i < LOAD_SHARDS_MAX; i++)
		g_array_unref(world->extras[i].times_us);
	g_rand_free(world->rand);
	g_free(world);
}

load_plan_t load_plan_default(void)
{
	return (load_plan_t){
		.vms = 9,
		.shards = 10,
		.slots = 3,
		.max_queue = 12,
		.connections = 31,
		.near_us = 250,
		.far_us = 8 * MS,
		.max_tries = 2,
		.routes = {{"broad", 0.75, 1, 20 * MS, 200 * MS, 1000 * MS, 0.89},
			   {"quick", 0.25, 2, 6700, 100 * MS, 600 * MS, 0.75}},
		.measure_from_s = 6,
		.measure_to_s = 24,
		.end_s = 30,
	};
}

double load_capacity_per_s(const load_plan_t *plan)
{
	double work_us = 0;

	for (uint32_t i = 0; i < LOAD_ROUTES; i++)
		work_us += plan->routes[i].share * plan->routes[i].work_us;
	/* One sub-request in a hundred takes five times as long; pauses reduce the capacity. */
	work_us *= 1.04;
	if (plan->noisy)
		work_us /= 1 - (double)NOISE_US / NOISE_PERIOD_US * (1 - 1 / NOISE_FACTOR);
	return plan->slots * 1e6 / work_us * (1 - (double)PAUSE_US / PAUSE_PERIOD_US);
}

void load_run(const load_scenario_t *scenario, uint32_t seed, load_result_t *result)
{
	load_world_t *world = world_new(scenario, seed, result);

	for (uint32_t shard = 0; shard < world->plan.shards; shard++)
		for (uint32_t i = 0; i < DATA_CENTRES; i++)
			if (shard >= scenario->short_shards || i == shard % DATA_CENTRES)
				add_server(world, shard, i);
	choose_faulty(world);
	if (world->plan.unequal)
		choose_speeds(world);
	for (uint32_t i = 0; i < world->vm_count; i++)
		start_vm(world, i, world->vm_count, world->plan.connections);
	if (scenario->fault == LOAD_CRASH)
		schedule(world, &world->crash, FAULT_FROM_US, crash_faulty_servers, world);
	world->per_s = scenario->offered * load_capacity_per_s(&world->plan);
	world->end_us = BEGIN_US + (uint64_t)(world->plan.end_s * 1e6);
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

double load_goodput_per_s(const load_result_t *result, uint32_t from, uint32_t to)
{
	uint32_t good = 0;

	for (uint32_t second = from; second < MIN(to, LOAD_SECONDS_MAX); second++)
		for (uint32_t i = 0; i < LOAD_ROUTES; i++)
			good += result->seconds[second][i].whole +
				result->seconds[second][i].partial;
	return to > from ? (double)good / (to - from) : 0;
}
