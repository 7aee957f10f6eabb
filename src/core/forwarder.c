/**
 * @file forwarder.c
 * Accepts requests and processes finished sub-requests. See forward.h.
 */
#include "core/forward_private.h"

#include "core/retry_after.h"
#include "core/shedding.h"

/* A request's deadline and target are this much before those of its caller. The caller's clock
 * started when it sent the request; the network delay in each direction (some ms) and an iteration
 * of the event loop take up part of the caller's time. */
#define NETWORK_MARGIN_US 9000
/* For callers that give no timeout, on routes without one. */
#define DEFAULT_CALLER_TIMEOUT_US 5000000
/* When a caller has disconnected, searchers must not work for it for half a second: its
 * sub-requests are cancelled well before that. */
#define ABANDONED_CANCEL_US 250000
/* When to try parts again that wait for the end of a pause between sub-requests (send_limit.h). */
#define PAUSE_RECHECK_US 5000

static void on_dispatch_timer(void *ctx, uint64_t now_us);
static void dispatch_after_pause(forwarder_t *forwarder, const pool_t *pool, uint64_t now_us);

forwarder_t *forwarder_new(const forwarder_ops_t *ops, void *ctx, registry_t *registry,
			   uint32_t seed)
{
	forwarder_t *forwarder = g_new0(forwarder_t, 1);

	forwarder->ops = ops;
	forwarder->ctx = ctx;
	forwarder->registry = registry;
	forwarder->states =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, route_state_free);
	forwarder->rand = g_rand_new_with_seed(seed);
	forwarder->stop_us = UINT64_MAX;
	g_queue_init(&forwarder->open);
	forwarder->poison = poison_new(ops->poison, ctx, seed);
	timers_init(&forwarder->timers);
	timers_init(&forwarder->hang_timers);
	forwarder->dispatch_timer = (timer_entry_t){.fire = on_dispatch_timer, .ctx = forwarder};
	return forwarder;
}

void forwarder_free(forwarder_t *forwarder)
{
	routing_unref(forwarder->routing);
	g_hash_table_unref(forwarder->states);
	poison_free(forwarder->poison);
	if (forwarder->admission)
		admission_free(forwarder->admission);
	timers_clear(&forwarder->timers);
	timers_clear(&forwarder->hang_timers);
	g_rand_free(forwarder->rand);
	g_free(forwarder);
}

/*
 * Sets the limits together with the routing, not later with this VM's shares. A VM that was
 * suspended may read, in one iteration of the event loop, a version that names new, cold searchers
 * and all requests that have arrived meanwhile. Without the limit all of these would go to those
 * searchers.
 */
static void set_cold_limits(const forwarder_t *forwarder)
{
	const routing_t *routing = forwarder->routing;
	GHashTableIter iter;
	gpointer service, value;

	g_hash_table_iter_init(&iter, routing->services);
	while (g_hash_table_iter_next(&iter, &service, &value)) {
		const service_limits_t *terms = value;
		pool_t *pool = registry_pool(forwarder->registry, service);

		pool->cold = (cold_limit_t){.per_s = terms->cold_per_s,
					    .gathered = !routing_is_single(routing, service)};
		pool->cold_us = terms->cold_us;
	}
}

void forwarder_set_routing(forwarder_t *forwarder, routing_t *routing)
{
	routing_unref(forwarder->routing);
	forwarder->routing = routing;
	set_cold_limits(forwarder);
}

const routing_t *forwarder_routing(const forwarder_t *forwarder)
{
	return forwarder->routing;
}

uint64_t forwarder_next_us(const forwarder_t *forwarder)
{
	uint64_t next_timer_us =
		MIN(timers_next_us(&forwarder->timers), timers_next_us(&forwarder->hang_timers));

	return MIN(next_timer_us, poison_next_us(forwarder->poison));
}

static void end_at_stop(forward_t *forward)
{
	uint64_t stop_us = forward->forwarder->stop_us;

	if (forward->request.handed_over || forward->deadline_us <= stop_us)
		return;
	forward->deadline_us = stop_us;
	forward->ends_at_stop = true;
}

void forwarder_stop_at(forwarder_t *forwarder, uint64_t stop_us, uint64_t now_us)
{
	forwarder->stop_us = stop_us;
	for (GList *item = forwarder->open.head; item; item = item->next) {
		end_at_stop(item->data);
		forward_set_timer(item->data, now_us);
	}
}

void forwarder_refuse_long(forwarder_t *forwarder)
{
	forwarder->refuses_long = true;
}

/* Whether the request's caller may have to wait beyond the stop of this VM, and it is too late to
 * take such requests. */
static bool is_refused_as_long(const forwarder_t *forwarder, const forward_request_t *request,
			       const route_t *route)
{
	return forwarder->refuses_long && !request->handed_over &&
	       forward_times(request, route).deadline_us > forwarder->stop_us;
}

void forwarder_run(forwarder_t *forwarder, uint64_t now_us)
{
	timers_run(&forwarder->hang_timers, now_us);
	poison_run(forwarder->poison, now_us);
	timers_run(&forwarder->timers, now_us);
}

uint32_t forwarder_open_requests(const forwarder_t *forwarder)
{
	return forwarder->open.length;
}

const forwarder_counters_t *forwarder_counters(const forwarder_t *forwarder)
{
	return &forwarder->counters;
}

void forwarder_visit_latency(const forwarder_t *forwarder, forwarder_latency_f visit, void *ctx)
{
	GHashTableIter iter;
	gpointer route, state;

	g_hash_table_iter_init(&iter, forwarder->states);
	while (g_hash_table_iter_next(&iter, &route, &state))
		visit(ctx, route, &((const route_state_t *)state)->latency);
}

static route_state_t *route_state_of(forwarder_t *forwarder, const route_t *route)
{
	route_state_t *state = g_hash_table_lookup(forwarder->states, route->name);

	if (state)
		return state;
	state = route_state_new();
	g_hash_table_insert(forwarder->states, g_strdup(route->name), state);
	return state;
}

/* ---- replies ---- */

void forwarder_share_observation(forwarder_t *forwarder, const subrequest_t *sub,
				 observation_type_t type, uint64_t now_us)
{
	const observation_t observation = {.type = type,
					   .searcher = sub->searcher->id,
					   .born_ms = sub->searcher->born_ms,
					   .after_us = now_us - sub->sending.sent_us};

	/* The time to connect says little about the searcher and is long when many VMs start
	 * together. */
	if (sub->opens_connection || !forwarder->ops->observed)
		return;
	if (observation_filter_passes(&forwarder->observation_filter, type, now_us))
		forwarder->ops->observed(forwarder->ctx, &observation);
}

void forwarder_take_observation(forwarder_t *forwarder, const observation_t *observation,
				uint64_t now_us)
{
	if (observation_filter_passes(&forwarder->observation_filter, observation->type, now_us))
		observation_apply(forwarder->registry, observation, now_us);
}

static send_load_t send_load_of(const searcher_t *searcher)
{
	return (send_load_t){.outstanding = searcher->outstanding.length,
			     .max = searcher->connections_max};
}

static void measure_answer(forwarder_t *forwarder, subrequest_t *sub, uint64_t took_us,
			   uint64_t now_us)
{
	double expected_us = placement_expected_us(sub->searcher, sub->pool, now_us);
	const send_load_t load = send_load_of(sub->searcher);
	bool is_unexpected = observation_is_unexpected(sub->searcher, expected_us, took_us, now_us);

	observation_filter_note(&forwarder->observation_filter, is_unexpected, now_us);
	route_state_note_hang(sub->route, false);
	route_state_note_time(sub->route, took_us, expected_us);
	if (is_unexpected)
		forwarder_share_observation(forwarder, sub, OBSERVATION_ANSWERED, now_us);
	searcher_record_answer(sub->searcher, took_us, now_us);
	/* The time to connect says little about the searcher's queue. */
	if (!sub->opens_connection)
		overload_note_answer(&forwarder->overload,
				     send_limit_note_answer(&sub->searcher->send_limit,
							    &sub->sample, &load, now_us),
				     now_us);
	quantile_add(&sub->pool->typical, took_us);
	placement_note_typical(sub->pool, now_us);
	latency_buckets_add(&sub->pool->latency, took_us);
}

/* Records what an outcome shows about the searcher's process, and about whether searchers survive
 * the request. */
static void note_survival(forwarder_t *forwarder, const subrequest_t *sub, const sub_reply_t *reply,
			  uint64_t now_us)
{
	poison_t *poison = forwarder->poison;
	const poison_sending_t sending = {.sent_us = sub->sending.sent_us,
					  .on_trial = sub->on_trial,
					  .reused = !sub->opens_connection,
					  .answered = sub->forward && sub->forward->answered};

	switch (reply->outcome) {
	case SUB_ANSWERED:
		poison_note_answered(poison, sub->fingerprint, sub->pool->service, now_us);
		poison_note_alive(poison, sub->searcher, sub->sending.sent_us);
		break;
	case SUB_FAILED:
	case SUB_NOT_RUN:
		poison_note_alive(poison, sub->searcher, sub->sending.sent_us);
		break;
	case SUB_REPLACED:
		poison_note_ended(poison, sub->searcher, now_us);
		break;
	default:
		if (reply->broken && !sub->superseded)
			poison_note_lost(poison, sub->fingerprint, sub->searcher, &sending, now_us);
	}
}

void forwarder_searcher_ended(forwarder_t *forwarder, const searcher_t *searcher, uint64_t now_us)
{
	poison_note_ended(forwarder->poison, searcher, now_us);
}

void forwarder_searcher_listens(forwarder_t *forwarder, const searcher_t *searcher,
				uint64_t since_us)
{
	poison_note_listens(forwarder->poison, searcher, since_us);
}

poison_t *forwarder_poison(const forwarder_t *forwarder)
{
	return forwarder->poison;
}

static const route_t *route_of(const forwarder_t *forwarder, const forward_request_t *request)
{
	return forwarder->routing
		       ? routing_match(forwarder->routing, request->host, request->target)
		       : NULL;
}

bool forwarder_takes(const forwarder_t *forwarder, const forward_request_t *request)
{
	const route_t *route = route_of(forwarder, request);

	return !forwarder->refuses_long ||
	       (route && !is_refused_as_long(forwarder, request, route));
}

bool forwarder_look_up(const forwarder_t *forwarder, const forward_request_t *request,
		       uint64_t now_us, forward_access_t *access)
{
	*access = (forward_access_t){.route = route_of(forwarder, request)};
	return access->route && !is_refused_as_long(forwarder, request, access->route) &&
	       poison_check(forwarder->poison, request->fingerprint, now_us) != POISON_BLOCKED &&
	       routing_authorize(forwarder->routing, access->route, request->key, &access->tenant);
}

bool forwarder_lacks_key(const forwarder_t *forwarder, const forward_request_t *request)
{
	const route_t *route = route_of(forwarder, request);
	const tenant_t *tenant;

	return route && !routing_authorize(forwarder->routing, route, request->key, &tenant);
}

/* A reply from another searcher at the same address carries that one's load. */
static void note_load(forwarder_t *forwarder, searcher_t *searcher, const sub_reply_t *reply,
		      uint64_t now_us)
{
	forwarder->counters.loads_malformed += reply->load_malformed;
	if (!reply->load_reported || reply->outcome == SUB_REPLACED)
		return;
	forwarder->counters.loads_reported++;
	searcher->load = reply->load;
	searcher->load.at_us = now_us;
}

static void measure(forwarder_t *forwarder, subrequest_t *sub, const sub_reply_t *reply,
		    uint64_t now_us)
{
	uint64_t took_us = now_us - sub->sending.sent_us;
	send_load_t load;

	forwarder->counters.sub_outcomes[reply->outcome]++;
	note_survival(forwarder, sub, reply, now_us);
	note_load(forwarder, sub->searcher, reply, now_us);
	switch (reply->outcome) {
	case SUB_ANSWERED:
		measure_answer(forwarder, sub, took_us, now_us);
		break;
	case SUB_NOT_RUN:
		load = send_load_of(sub->searcher);
		send_limit_note_rejected(&sub->searcher->send_limit, &sub->sample, &load, now_us);
		overload_note_answer(&forwarder->overload, true, now_us);
		searcher_record_refusal(sub->searcher, now_us);
		break;
	case SUB_REPLACED:
		registry_mark_replaced(forwarder->registry, sub->searcher);
		break;
	default:
		searcher_record_failure(sub->searcher, now_us);
	}
}

static void take_reply(subrequest_t *sub, sub_reply_t *reply, uint64_t now_us)
{
	forward_t *forward = sub->forward;

	part_take_reply(&forward->parts[sub->part], sub, reply, now_us);
	forward_advance(forward, now_us);
}

void forwarder_subrequest_ended(forwarder_t *forwarder, subrequest_t *sub, sub_reply_t *reply,
				uint64_t now_us)
{
	pool_t *pool = sub->pool;

	measure(forwarder, sub, reply, now_us);
	if (sub->forward)
		take_reply(sub, reply, now_us);
	else
		sub_reply_free(reply);
	subrequest_free(sub);
	forwarder_dispatch_waiting(forwarder, pool->service, now_us);
	forwarder_start_waiting(forwarder, now_us);
}

/* The first waiting part for which no searcher is left, or NULL. */
static forward_part_t *part_without_candidates(const pool_t *pool)
{
	for (GList *item = pool->waiting.head; item; item = item->next) {
		forward_part_t *part = item->data;
		const candidates_t candidates = part_candidates(part);

		if (!placement_has_candidate(&candidates))
			return part;
	}
	return NULL;
}

/* When the last searcher for a waiting part leaves, the part is given up at once instead of waiting
 * to its deadline. */
static void lose_without_candidates(pool_t *pool, uint64_t now_us)
{
	forward_part_t *part;

	while ((part = part_without_candidates(pool))) {
		forward_t *forward = part->forward;

		part_lose(part);
		if (!forward_try_answer(forward, now_us))
			forward_set_timer(forward, now_us);
	}
}

void forwarder_dispatch_waiting(forwarder_t *forwarder, const char *service, uint64_t now_us)
{
	pool_t *pool = registry_pool(forwarder->registry, service);
	GList *next;

	for (GList *item = pool->waiting.head; item; item = next) {
		forward_part_t *part = item->data;
		forward_t *forward = part->forward;
		searcher_t *searcher = part_choose(part, now_us);

		next = item->next;
		if (!searcher && !part->tried && !forward_is_bound(forward) &&
		    forward->probe != part)
			break; /* this part may use any searcher, and none has a free connection:
				* no other part will find one either */
		if (!searcher)
			continue;
		part_send_waiting(part, searcher, now_us);
		if (forward_try_answer(forward, now_us))
			next = pool->waiting.head; /* its other parts left the queue, too */
		else
			forward_set_timer(forward, now_us);
	}
	lose_without_candidates(pool, now_us);
	dispatch_after_pause(forwarder, pool, now_us);
}

static void dispatch_at(forwarder_t *forwarder, uint64_t at_us)
{
	timer_entry_t *timer = &forwarder->dispatch_timer;

	if (at_us != UINT64_MAX && (!timer->heap_position || at_us < timer->at_us))
		timers_set(&forwarder->timers, timer, at_us);
}

/* Only for parts that their requests need, which come first in the queue: others would take the
 * room of requests that have not started. */
static void dispatch_after_pause(forwarder_t *forwarder, const pool_t *pool, uint64_t now_us)
{
	const forward_part_t *first = pool->waiting.head ? pool->waiting.head->data : NULL;

	if (first && !shedding_is_allowed(first->forward) && placement_has_paused(pool, now_us))
		dispatch_at(forwarder, now_us + PAUSE_RECHECK_US);
}

void forwarder_dispatch_later(forwarder_t *forwarder, const forward_part_t *part, uint64_t now_us)
{
	const candidates_t candidates = part_candidates(part);

	dispatch_at(forwarder, placement_next_cold_send_us(&candidates, now_us));
	dispatch_after_pause(forwarder, part->pool, now_us);
}

/* Waiting parts are normally dispatched when an answer frees a connection. A cold searcher that is
 * sent nothing sends no answer, nor does one whose send limit demands a pause, so without this
 * timer parts that wait for it would wait to their deadline. */
static void on_dispatch_timer(void *ctx, uint64_t now_us)
{
	forwarder_t *forwarder = ctx;
	g_autoptr(GList) pools = g_hash_table_get_values(registry_pools(forwarder->registry));

	for (GList *item = pools; item; item = item->next) {
		const pool_t *pool = item->data;

		if (pool->waiting.length)
			forwarder_dispatch_waiting(forwarder, pool->service, now_us);
		if (pool->waiting.length)
			forwarder_dispatch_later(forwarder, pool->waiting.head->data, now_us);
	}
}

/* ---- requests ---- */

static void part_init(forward_t *forward, uint32_t index, const char *service, uint64_t now_us)
{
	forward_part_t *part = &forward->parts[index];

	part->forward = forward;
	part->pool = registry_pool(forward->forwarder->registry, service);
	part->state = PART_WAITING;
	part->pool->overload = forward->forwarder->admission ? &forward->forwarder->overload : NULL;
	if (!forward->request.is_resend)
		retry_budget_note_request(&part->pool->budget, now_us);
	else if (!retry_budget_take(&part->pool->budget, &part->pool->bound, RETRY_FOR_FAILURE,
				    now_us))
		part_lose(part);
}

static void create_parts(forward_t *forward, uint64_t now_us)
{
	const GArray *targets = forward->route->targets;

	forward->part_count = forward->route->gathers ? targets->len : 1;
	forward->parts = g_new0(forward_part_t, forward->part_count);
	if (!forward->route->gathers) {
		uint32_t chosen = targets->len > 1
					  ? route_state_choose_target(forward->state, targets,
								      forward->forwarder->rand)
					  : 0;

		part_init(forward, 0, g_array_index(targets, route_target_t, chosen).service,
			  now_us);
		return;
	}
	for (uint32_t i = 0; i < forward->part_count; i++)
		part_init(forward, i, g_array_index(targets, route_target_t, i).service, now_us);
}

/* Runs before anything is sent: a request that cannot succeed must not put searchers to work. */
static void lose_unservable(forward_t *forward)
{
	for (uint32_t i = 0; i < forward->part_count; i++) {
		forward_part_t *part = &forward->parts[i];
		const candidates_t candidates = part_candidates(part);

		if (part->state == PART_WAITING && !placement_has_candidate(&candidates))
			part_lose(part);
	}
}

forward_times_t forward_times(const forward_request_t *request, const route_t *route)
{
	uint64_t wait_us = request->patience_us ? request->patience_us : DEFAULT_CALLER_TIMEOUT_US;
	uint64_t target_us = route->target_us;

	if (route->timeout_us)
		wait_us = MIN(wait_us, route->timeout_us);
	return (forward_times_t){
		.deadline_us = request->received_us + (wait_us > 2 * NETWORK_MARGIN_US
							       ? wait_us - NETWORK_MARGIN_US
							       : wait_us / 2),
		.partial_us = request->received_us + (target_us > 2 * NETWORK_MARGIN_US
							      ? target_us - NETWORK_MARGIN_US
							      : target_us / 2)};
}

static void set_times(forward_t *forward)
{
	forward_times_t times = forward_times(&forward->request, forward->route);

	forward->deadline_us = times.deadline_us;
	forward->partial_us = times.partial_us;
	end_at_stop(forward);
}

static void answer_unrouted(forwarder_t *forwarder, const forward_request_t *request, void *owner,
			    forward_outcome_t outcome)
{
	forward_t forward = {.forwarder = forwarder, .request = *request, .owner = owner};
	forward_answer_t answer = {.outcome = outcome};
	bool store_unreachable = registry_is_store_unreachable(forwarder->registry);

	if (outcome == FORWARD_NOT_READY)
		answer.retry_after_us =
			retry_after_us(MISSING_STATE, request->patience_us, store_unreachable);
	if (outcome == FORWARD_SHUTTING_DOWN)
		answer.retry_after_us =
			retry_after_us(MISSING_VM, request->patience_us, store_unreachable);
	forwarder->counters.outcomes[outcome]++;
	forwarder->ops->answer(forwarder->ctx, &forward, &answer);
}

/*
 * Whether so many parts would not be answered in time that the others are not enough. If this were
 * found only after the others were sent, the request could no longer be refused as not run:
 * searchers would have worked for nothing, and the caller would get a failure instead of a retry
 * delay.
 */
static bool is_coverage_unreachable(const forward_t *forward, uint64_t now_us)
{
	uint32_t lost_or_late = forward->lost;

	for (uint32_t i = 0; i < forward->part_count; i++) {
		const forward_part_t *part = &forward->parts[i];
		const candidates_t candidates = part_candidates(part);

		if (part->state != PART_WAITING)
			continue;
		if (placement_has_capacity(&candidates, now_us))
			lost_or_late += part_would_outlast_stop(part, now_us);
		else
			lost_or_late += part_would_miss_deadline(part, now_us);
	}
	return !forward_has_enough(forward, forward->part_count - lost_or_late);
}

static double wait_us(const forward_part_t *part, uint64_t now_us)
{
	const candidates_t candidates = part_candidates(part);

	return placement_queue_delay_us(&candidates, now_us);
}

/* The part without a free connection that would wait longest, or NULL. */
static forward_part_t *longest_wait(const forward_t *forward, uint64_t now_us)
{
	forward_part_t *longest = NULL;

	for (uint32_t i = 0; i < forward->part_count; i++) {
		forward_part_t *part = &forward->parts[i];

		if (part->state != PART_WAITING || part->is_queued)
			continue;
		if (!longest || wait_us(part, now_us) > wait_us(longest, now_us))
			longest = part;
	}
	return longest;
}

/*
 * Where several shards are overloaded, a request leaves out the most overloaded one: of the parts
 * without a free connection, the one with the longest expected wait is queued or shed first. If the
 * order of the shards decided, the first shard would be left out of nearly all requests and have
 * connections to spare, while the others would not be relieved.
 */
static void start_parts(forward_t *forward, uint64_t now_us)
{
	forward_part_t *part;

	for (uint32_t i = 0; i < forward->part_count; i++)
		if (forward->parts[i].state == PART_WAITING)
			part_start(&forward->parts[i], SUB_FIRST, now_us);
	while ((part = longest_wait(forward, now_us)))
		part_wait(part, now_us);
}

bool forward_start(forward_t *forward, uint64_t now_us)
{
	if (!forward_is_suspect(forward, now_us))
		start_parts(forward, now_us);
	return forward_advance(forward, now_us);
}

/* Returns NULL if the request is over. */
static forward_t *admit_or_start(forward_t *forward, uint64_t now_us)
{
	admission_verdict_t verdict = ADMISSION_START;

	if (forward_is_admission_controlled(forward) && !forward_is_suspect(forward, now_us))
		verdict = forward_admit(forward, now_us);
	if (verdict == ADMISSION_WAIT)
		return forward;
	return verdict == ADMISSION_REFUSE || forward_start(forward, now_us) ? NULL : forward;
}

forward_t *forwarder_submit(forwarder_t *forwarder, const forward_request_t *request, void *owner,
			    uint64_t now_us)
{
	const tenant_t *tenant;
	const route_t *route;
	forward_t *forward;

	forwarder->counters.requests++;
	if (!forwarder->routing || !registry_is_ready(forwarder->registry)) {
		answer_unrouted(forwarder, request, owner, FORWARD_NOT_READY);
		return NULL;
	}
	route = routing_match(forwarder->routing, request->host, request->target);
	if (!route) {
		answer_unrouted(forwarder, request, owner, FORWARD_NO_ROUTE);
		return NULL;
	}
	if (!routing_authorize(forwarder->routing, route, request->key, &tenant)) {
		answer_unrouted(forwarder, request, owner, FORWARD_UNAUTHORIZED);
		return NULL;
	}
	if (is_refused_as_long(forwarder, request, route)) {
		answer_unrouted(forwarder, request, owner, FORWARD_SHUTTING_DOWN);
		return NULL;
	}
	forward = g_new0(forward_t, 1);
	forward->forwarder = forwarder;
	forward->request = *request;
	forward->tenant = tenant;
	forward->owner = owner;
	forward->routing = routing_ref(forwarder->routing);
	forward->route = route;
	forward->state = route_state_of(forwarder, route);
	route_state_note_caller_wait(forward->state, request->patience_us);
	forward->timer = (timer_entry_t){.fire = forward_on_timer, .ctx = forward};
	forward->max_attempts = request->max_attempts
					? MIN(request->max_attempts, route->max_attempts)
					: route->max_attempts;
	forward->link.data = forward;
	g_queue_push_tail_link(&forwarder->open, &forward->link);
	set_times(forward);
	create_parts(forward, now_us);
	/* The request was read late, after a long iteration of the event loop: a searcher would
	 * work on it for nothing. */
	if (forward_time_left_us(forward, now_us) == 0) {
		forward_refuse(forward, FORWARD_TOO_LATE, now_us);
		return NULL;
	}
	lose_unservable(forward);
	if (forward_try_answer(forward, now_us))
		return NULL;
	if (is_coverage_unreachable(forward, now_us)) {
		forward_refuse(forward, forward_no_room_outcome(forward), now_us);
		return NULL;
	}
	return admit_or_start(forward, now_us);
}

void forward_allow_attempts(forward_t *forward, uint32_t more, uint64_t now_us)
{
	uint32_t left = forward->route->max_attempts - forward->max_attempts;

	forward->max_attempts += MIN(more, left);
	for (uint32_t i = 0; i < forward->part_count; i++)
		part_allow_attempts(&forward->parts[i], now_us);
	forward_set_timer(forward, now_us);
}

void forwarder_abandon(forwarder_t *forwarder, forward_t *forward, uint64_t now_us)
{
	forwarder->counters.callers_left++;
	forward->finished = true;
	forward_release(forward, ABANDONED_CANCEL_US, now_us);
	forward_free(forward, now_us);
}
