/**
 * @file engine.c
 * Requests: admission, pinning of a snapshot, the answer.
 */
#include "core/engine_private.h"

#include <string.h>

/* Time reserved before the deadline to write the answer and deliver it over the network. */
#define ANSWER_MARGIN_US 4000
/* Range of the random Retry-After while no upstream or no claim is available. */
#define OUTAGE_RETRY_MIN_US 500000
#define OUTAGE_RETRY_MAX_US 2000000

/* ---- services ---- */

engine_t *engine_new(const engine_ops_t *ops, void *ctx, timeline_t *timeline, uint32_t seed,
		     const char *data_centre)
{
	engine_t *engine = g_new0(engine_t, 1);

	engine->ops = ops;
	engine->ctx = ctx;
	engine->timeline = timeline;
	engine->data_centre = g_strdup(data_centre);
	engine->rand = g_rand_new_with_seed(seed);
	engine->policy =
		(engine_policy_t){.hedge = true, .choose_by_cost = true, .adapt_limit = true};
	engine->services = g_ptr_array_new_with_free_func(service_free);
	engine->attempts = g_hash_table_new(g_int64_hash, g_int64_equal);
	timers_init(&engine->timers);
	return engine;
}

void engine_free(engine_t *engine)
{
	g_assert(engine->open_queries == 0);
	g_ptr_array_unref(engine->services);
	g_hash_table_unref(engine->attempts);
	timers_clear(&engine->timers);
	g_rand_free(engine->rand);
	g_free(engine->data_centre);
	g_free(engine);
}

void engine_set_policy(engine_t *engine, engine_policy_t policy)
{
	engine->policy = policy;
}

const GPtrArray *engine_services(const engine_t *engine)
{
	return engine->services;
}

service_t *engine_find_service(const engine_t *engine, const char *name)
{
	for (guint i = 0; i < engine->services->len; i++) {
		service_t *service = g_ptr_array_index(engine->services, i);

		if (g_str_equal(service->name, name))
			return service;
	}
	return NULL;
}

const service_t *engine_service(const engine_t *engine, const char *name)
{
	const service_t *service = engine_find_service(engine, name);

	return service && service->configured ? service : NULL;
}

service_t *engine_service_of(const query_t *query)
{
	return query->service;
}

static void reassign_from_unusable(engine_t *engine, const GPtrArray *upstreams, uint64_t now_us)
{
	for (guint i = 0; i < upstreams->len; i++) {
		upstream_t *upstream = g_ptr_array_index(upstreams, i);

		if (!upstream_usable(upstream))
			dispatch_reassign_waiting(engine, upstream, now_us);
	}
}

void engine_configure(engine_t *engine, const config_t *config, uint64_t now_us)
{
	g_autoptr(GPtrArray) before =
		g_ptr_array_new_with_free_func((GDestroyNotify)upstream_unref);
	g_autoptr(GHashTable) withdrawn_before = g_hash_table_new(NULL, NULL);

	for (guint i = 0; i < engine->services->len; i++) {
		service_t *service = g_ptr_array_index(engine->services, i);

		for (guint j = 0; j < service->upstreams->len; j++) {
			upstream_t *upstream = g_ptr_array_index(service->upstreams, j);

			if (upstream->withdrawn)
				g_hash_table_add(withdrawn_before, upstream);
			/* Upstreams that the new configuration does not name get no new work. */
			upstream->withdrawn = true;
			g_ptr_array_add(before, upstream_ref(upstream));
		}
		service->configured = false;
	}
	for (guint i = 0; i < config->services->len; i++) {
		const service_config_t *from = g_ptr_array_index(config->services, i);
		service_t *service = engine_find_service(engine, from->name);

		if (!service) {
			service = service_new(from->name);
			g_ptr_array_add(engine->services, service);
		}
		service_configure(engine, service, config, from, withdrawn_before);
	}
	reassign_from_unusable(engine, before, now_us);
	timeline_add(engine->timeline, "event=config-in-force number=%" G_GUINT64_FORMAT,
		     config->number);
}

/* ---- admission ---- */

static void query_end(engine_t *engine, query_t *query, uint64_t now_us)
{
	service_t *service = engine_service_of(query);

	query->finished = true;
	timers_cancel(&engine->timers, &query->deadline);
	restart_stop_waiting(engine, query);
	gate_withdraw(&service->gate, &query->gate_entry);
	dispatch_stop(engine, query, now_us);
	if (query->admitted_us)
		gate_leave(&service->gate, now_us - query->admitted_us);
	engine->open_queries--;
}

static void count_answer(service_t *service, const query_t *query, const answer_t *answer,
			 uint64_t now_us)
{
	service_counters_t *counters = &service->counters;

	counters->refusals[answer->refusal]++;
	if (answer->refusal != REFUSAL_NONE)
		return;
	histogram_add(&counters->latency, now_us - query->gate_entry.arrived_us);
	if (answer->missing && answer->missing->len)
		counters->answers_partial++;
	else
		counters->answers_complete++;
}

static void admit_waiting(engine_t *engine, service_t *service, uint64_t now_us);

static void query_finish(engine_t *engine, query_t *query, refusal_t refusal, uint64_t now_us)
{
	service_t *service = engine_service_of(query);
	answer_t answer = {.refusal = refusal};

	query_end(engine, query, now_us);
	query_answer(query, &answer);
	if (refusal_class(refusal)->retryable)
		answer.retry_after_us =
			refusal == REFUSAL_NO_UPSTREAM || refusal == REFUSAL_NO_CLAIM
				? (uint64_t)g_rand_double_range(engine->rand, OUTAGE_RETRY_MIN_US,
								OUTAGE_RETRY_MAX_US)
				: gate_retry_delay_us(&service->gate, now_us, engine->rand);
	count_answer(service, query, &answer, now_us);
	if (refusal != REFUSAL_NONE || answer.missing->len)
		timeline_add(
			engine->timeline,
			"event=answer request=%s service=%s refusal=%s snapshot=%" G_GUINT64_FORMAT
			" answered=%u missing=%u",
			query->request->id, service->name, refusal_class(refusal)->type,
			answer.version, answer.answered, answer.missing->len);
	engine->ops->answer(engine->ctx, query, &answer);
	query_unref(query);
	admit_waiting(engine, service, now_us);
}

/* ---- the course of an admitted query ---- */

static void refuse_or_answer(engine_t *engine, query_t *query, uint64_t now_us)
{
	if (query_answered(query) > 0)
		query_finish(engine, query, REFUSAL_NONE, now_us);
	else
		query_finish(engine, query, query->sent ? REFUSAL_DEADLINE : REFUSAL_NO_UPSTREAM,
			     now_us);
}

void engine_check_done(engine_t *engine, query_t *query, uint64_t now_us)
{
	if (query->finished || !query_is_done(query))
		return;
	if (!query_is_complete(query) && (restart_try(engine, query, now_us) ||
					  restart_wait_for_versions(engine, query, now_us)))
		return;
	refuse_or_answer(engine, query, now_us);
}

void engine_scatter(engine_t *engine, query_t *query, uint64_t now_us)
{
	uint32_t pin = query->restarts;

	/* Dispatching may end the query or restart it, which frees the parts of this pin. */
	for (guint i = 0; !query->finished && pin == query->restarts && i < query->parts->len; i++)
		dispatch_part(engine, g_ptr_array_index(query->parts, i), ATTEMPT_FIRST, now_us);
	engine_check_done(engine, query, now_us);
}

void engine_part_lost(engine_t *engine, part_t *part, uint64_t now_us)
{
	query_t *query = query_ref(part->query);

	part->lost = true;
	if (query->request->kind == SERVICE_ONCE)
		engine_action_ended(engine, query, REFUSAL_UPSTREAM_NOT_RUN, RAN_NO, now_us);
	else if (!restart_try(engine, query, now_us))
		engine_check_done(engine, query, now_us);
	query_unref(query);
}

void engine_action_ended(engine_t *engine, query_t *query, refusal_t refusal, ran_t ran,
			 uint64_t now_us)
{
	if (query->finished)
		return;
	query->ran = ran;
	engine->ops->claim_outcome(engine->ctx, query, ran);
	query_finish(engine, query, refusal, now_us);
}

static bool action_was_sent(const query_t *query)
{
	for (guint i = 0; i < query->parts->len; i++) {
		const part_t *part = g_ptr_array_index(query->parts, i);

		for (guint j = 0; j < part->attempts->len; j++)
			if (((const attempt_t *)g_ptr_array_index(part->attempts, j))->upstream)
				return true;
	}
	return false;
}

static void on_deadline(void *ctx, uint64_t now_us)
{
	query_t *query = ctx;
	engine_t *engine = query->engine;

	if (query->gate_entry.waiting) {
		query_finish(engine, query, REFUSAL_NO_TIME, now_us);
	} else if (query->request->kind != SERVICE_ONCE) {
		refuse_or_answer(engine, query, now_us);
	} else if (!query->snapshot) { /* no claim result yet; a late claim is released */
		query_finish(engine, query, REFUSAL_NO_CLAIM, now_us);
	} else if (action_was_sent(query)) {
		engine_action_ended(engine, query, REFUSAL_OUTCOME_UNKNOWN, RAN_UNKNOWN, now_us);
	} else {
		engine_action_ended(engine, query, REFUSAL_UPSTREAM_NOT_RUN, RAN_NO, now_us);
	}
}

static uint64_t answer_deadline_us(const request_t *request, uint64_t now_us)
{
	uint64_t left_us = request->deadline_us > now_us ? request->deadline_us - now_us : 0;

	return request->deadline_us - MIN(ANSWER_MARGIN_US, left_us / 10);
}

static void start_query(engine_t *engine, query_t *query, uint64_t now_us)
{
	service_t *service = engine_service_of(query);

	query->admitted_us = now_us;
	timers_set(&engine->timers, &query->deadline, answer_deadline_us(query->request, now_us));
	if (query->request->kind == SERVICE_ONCE) {
		engine->ops->claim(engine->ctx, query);
		return;
	}
	service_refresh_snapshot(service);
	if (!service->snapshot) {
		query_finish(engine, query, REFUSAL_NO_UPSTREAM, now_us);
		return;
	}
	query_pin(query, service->snapshot);
	engine_scatter(engine, query, now_us);
}

static refusal_t refusal_of_claim(claim_result_t end)
{
	switch (end) {
	case CLAIM_ACQUIRED:
		return REFUSAL_NONE;
	case CLAIM_HELD_ELSEWHERE:
		return REFUSAL_KEY_IN_USE;
	case CLAIM_RAN:
		return REFUSAL_KEY_RAN;
	case CLAIM_TOO_OLD:
		return REFUSAL_KEY_TOO_OLD;
	case CLAIM_BAD_KEY:
		return REFUSAL_BAD_REQUEST;
	case CLAIM_UNAVAILABLE:
		return REFUSAL_NO_CLAIM;
	}
	g_assert_not_reached();
}

void engine_claimed(engine_t *engine, query_t *query, claim_result_t end, uint64_t now_us)
{
	service_t *service = engine_service_of(query);

	engine_enter(engine, now_us);
	if (query->finished) {
		/* Answered as not run while the claim was in flight: release the claim. */
		if (end == CLAIM_ACQUIRED)
			engine->ops->claim_outcome(engine->ctx, query, RAN_NO);
		return;
	}
	if (end != CLAIM_ACQUIRED) {
		query_finish(engine, query, refusal_of_claim(end), now_us);
		return;
	}
	service_refresh_snapshot(service);
	/*
	 * If this VM was paused between claim and send, it continues here long after the deadline.
	 * The caller has no answer yet and must be answered "not run". If the action were sent now,
	 * that answer would be false by the time the caller retries through another VM.
	 */
	if (now_us >= query->deadline.at_us || !service->snapshot) {
		engine_action_ended(engine, query,
				    service->snapshot ? REFUSAL_UPSTREAM_NOT_RUN
						      : REFUSAL_NO_UPSTREAM,
				    RAN_NO, now_us);
		return;
	}
	query_pin(query, service->snapshot);
	if (query->parts->len == 0) {
		engine_action_ended(engine, query, REFUSAL_NO_UPSTREAM, RAN_NO, now_us);
		return;
	}
	dispatch_part(engine, g_ptr_array_index(query->parts, 0), ATTEMPT_FIRST, now_us);
}

static void admit_waiting(engine_t *engine, service_t *service, uint64_t now_us)
{
	gate_entry_t *entry;

	service->gate.capacity = service_capacity(service);
	while ((entry = gate_next(&service->gate)))
		start_query(engine, entry->owner, now_us);
}

/* The latest start that lets a waiting request be answered in time; then it is refused. */
static uint64_t admission_deadline_us(const service_t *service, const request_t *request,
				      uint64_t now_us)
{
	uint64_t run_us = (uint64_t)service->gate.run_us;

	return MAX(now_us, request->deadline_us > run_us ? request->deadline_us - run_us : 0);
}

static void admit_or_queue(engine_t *engine, query_t *query, uint64_t now_us)
{
	service_t *service = engine_service_of(query);
	gate_entry_t *entry = &query->gate_entry, *displaced;
	gate_verdict_t verdict = gate_offer(&service->gate, entry, now_us);

	if (verdict == GATE_FULL &&
	    (displaced = gate_displaceable(&service->gate, entry, now_us))) {
		query_finish(engine, displaced->owner, REFUSAL_DISPLACED, now_us);
		verdict = gate_offer(&service->gate, entry, now_us);
	}
	switch (verdict) {
	case GATE_RUN:
		start_query(engine, query, now_us);
		break;
	case GATE_WAIT:
		timers_set(&engine->timers, &query->deadline,
			   admission_deadline_us(service, query->request, now_us));
		break;
	case GATE_FULL:
		query_finish(engine, query, REFUSAL_QUEUE_FULL, now_us);
		break;
	case GATE_NO_TIME:
		query_finish(engine, query, REFUSAL_NO_TIME, now_us);
		break;
	}
}

query_t *engine_submit(engine_t *engine, request_t *request, void *owner, uint64_t now_us)
{
	service_t *service = engine_find_service(engine, request->service);
	query_t *query = query_new(request);

	engine_enter(engine, now_us);
	g_assert(service);
	query_ref(query);
	query->service = service;
	query->engine = engine;
	query->owner = owner;
	query->deadline.fire = on_deadline;
	query->deadline.ctx = query;
	query->gate_entry = (gate_entry_t){.class = request->class,
					   .arrived_us = now_us,
					   .deadline_us = request->deadline_us,
					   .owner = query};
	engine->open_queries++;
	service->counters.requests[request->class]++;
	service_refresh_snapshot(service);
	service->gate.capacity = service_capacity(service);
	if (!service->snapshot)
		query_finish(engine, query, REFUSAL_NO_UPSTREAM, now_us);
	else
		admit_or_queue(engine, query, now_us);
	return query;
}

void engine_abandon(engine_t *engine, query_t *query, uint64_t now_us)
{
	service_t *service = engine_service_of(query);

	if (query->finished)
		return;
	service->counters.abandoned++;
	query->owner = NULL;
	/* A claimed or sent action runs to its end, so that its outcome is recorded. */
	if (query->request->kind == SERVICE_ONCE && query->admitted_us)
		return;
	query_end(engine, query, now_us);
	query_unref(query);
	admit_waiting(engine, service, now_us);
}

uint64_t engine_next_us(const engine_t *engine)
{
	return timers_next_us(&engine->timers);
}

void engine_run(engine_t *engine, uint64_t now_us)
{
	engine_enter(engine, now_us);
	timers_run(&engine->timers, now_us);
}

uint32_t engine_open_queries(const engine_t *engine)
{
	return engine->open_queries;
}

uint64_t engine_stray_replies(const engine_t *engine)
{
	return engine->stray_replies;
}
