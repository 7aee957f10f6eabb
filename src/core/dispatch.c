/**
 * @file dispatch.c
 * Sub-requests: choice of the replica, queueing for capacity, hedges, rescues, retries and backoff.
 *
 * docs/decisions/0002-stragglers.md compares the alternatives and gives measurements.
 */
#include "core/engine_private.h"

#include <string.h>

/* Replicas whose cost exceeds this multiple of the lowest cost are not candidates. */
#define OUTLIER_RATIO 4.0
#define HEDGE_QUANTILE 0.95
#define HEDGE_SAMPLES_MIN 64
#define HEDGE_DELAY_INITIAL_US 20000
#define HEDGE_DELAY_MIN_US 1000
/* An attempt without an answer after this many hedge delays is taken for lost, not for slow. */
#define RESCUE_DELAYS 5
/* The histogram of attempt latencies fades whenever it holds this many samples. */
#define FADE_SAMPLES 4096
/* The backoff doubles from BACKOFF_US at most BACKOFF_DOUBLINGS times. */
#define BACKOFF_US 3000
#define BACKOFF_DOUBLINGS 5
/* How much later a request of the next lower class counts as admitted, in upstream queues. */
#define CLASS_HEAD_START_US 50000u

/* ---- replica choice ---- */

typedef struct replica_choice_t {
	upstream_t *list[64];
	double cost[64];
	uint32_t count;
} replica_choice_t;

static bool contains(const GPtrArray *list, const void *item)
{
	for (guint i = 0; i < list->len; i++)
		if (g_ptr_array_index(list, i) == item)
			return true;
	return false;
}

static void list_candidates(const engine_t *engine, const part_t *part, uint64_t now_us,
			    replica_choice_t *choice)
{
	const service_t *service = engine_service_of(part->query);
	double typical_us = (double)histogram_quantile_us(&service->attempt_latency, 0.5);
	double best = 0;
	uint32_t kept = 0;

	choice->count = 0;
	for (guint i = 0; i < part->replicas->len && choice->count < G_N_ELEMENTS(choice->list);
	     i++) {
		upstream_t *upstream = g_ptr_array_index(part->replicas, i);

		if (!upstream_usable(upstream) || contains(part->tried, upstream) ||
		    contains(part->excluded, upstream))
			continue;
		choice->list[choice->count] = upstream;
		choice->cost[choice->count] = upstream_cost(upstream, now_us, MAX(typical_us, 1));
		if (choice->count == 0 || choice->cost[choice->count] < best)
			best = choice->cost[choice->count];
		choice->count++;
	}
	if (!engine->policy.choose_by_cost)
		return;
	for (uint32_t i = 0; i < choice->count; i++) {
		if (choice->cost[i] > OUTLIER_RATIO * best)
			continue;
		choice->list[kept] = choice->list[i];
		choice->cost[kept++] = choice->cost[i];
	}
	choice->count = kept;
}

/*
 * Limits below 1 take effect only when summed over the replicas of a group. If every VM sent each
 * searcher one request regardless, six VMs would fill a searcher's two slots three times over.
 */
static bool group_has_capacity(const engine_t *engine, const part_t *part)
{
	uint32_t outstanding = 0;
	double limit = 0;

	if (!engine->policy.adapt_limit)
		return true;
	for (guint i = 0; i < part->replicas->len; i++) {
		const upstream_t *upstream = g_ptr_array_index(part->replicas, i);

		outstanding += upstream->outstanding;
		limit += upstream_usable(upstream) ? upstream->limit : 0;
	}
	return outstanding < MAX((uint32_t)(limit + 0.5), 1);
}

/* Of two random replicas with capacity, the cheaper one. */
static upstream_t *choose_replica(engine_t *engine, const part_t *part,
				  const replica_choice_t *choice)
{
	uint32_t open[64], count = 0, first, second;

	if (!group_has_capacity(engine, part))
		return NULL;

	for (uint32_t i = 0; i < choice->count; i++)
		if (upstream_has_capacity(choice->list[i]))
			open[count++] = i;
	if (count == 0)
		return NULL;
	if (!engine->policy.choose_by_cost)
		return choice->list[open[engine->round_robin++ % count]];
	if (count == 1)
		return choice->list[open[0]];
	first = (uint32_t)g_rand_int_range(engine->rand, 0, (gint32)count);
	second = (uint32_t)g_rand_int_range(engine->rand, 0, (gint32)count - 1);
	second += second >= first;
	return choice->cost[open[first]] <= choice->cost[open[second]] ? choice->list[open[first]]
								       : choice->list[open[second]];
}

/* ---- attempts ---- */

static attempt_t *attempt_new(engine_t *engine, part_t *part, attempt_kind_t kind)
{
	attempt_t *attempt = g_new0(attempt_t, 1);

	attempt->id = ++engine->last_attempt_id;
	attempt->query = query_ref(part->query);
	attempt->part = part->index;
	attempt->kind = kind;
	attempt->waiters = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(part->attempts, attempt);
	g_hash_table_insert(engine->attempts, &attempt->id, attempt);
	return attempt;
}

static part_t *part_of(const attempt_t *attempt)
{
	return g_ptr_array_index(attempt->query->parts, attempt->part);
}

static void unlink_waiters(attempt_t *attempt)
{
	for (guint i = 0; i < attempt->waiters->len; i++) {
		waiter_t *waiter = g_ptr_array_index(attempt->waiters, i);

		g_queue_unlink(&waiter->upstream->waiting, &waiter->link);
		upstream_unref(waiter->upstream);
	}
	g_ptr_array_set_size(attempt->waiters, 0);
}

static void attempt_free(engine_t *engine, attempt_t *attempt)
{
	timers_cancel(&engine->timers, &attempt->timer);
	unlink_waiters(attempt);
	g_ptr_array_remove_fast(part_of(attempt)->attempts, attempt);
	g_hash_table_remove(engine->attempts, &attempt->id);
	if (attempt->upstream) {
		attempt->upstream->outstanding--;
		upstream_unref(attempt->upstream);
	}
	g_ptr_array_unref(attempt->waiters);
	query_unref(attempt->query);
	g_free(attempt);
}

static uint64_t hedge_delay_us(const service_t *service)
{
	if (service->attempt_latency.count < HEDGE_SAMPLES_MIN)
		return HEDGE_DELAY_INITIAL_US;
	return MAX(histogram_quantile_us(&service->attempt_latency, HEDGE_QUANTILE),
		   HEDGE_DELAY_MIN_US);
}

static void on_attempt_timer(void *ctx, uint64_t now_us);

static void attempt_send(engine_t *engine, attempt_t *attempt, upstream_t *upstream,
			 uint64_t now_us)
{
	service_t *service = engine_service_of(attempt->query);
	service_counters_t *counters = &service->counters;

	unlink_waiters(attempt);
	attempt->upstream = upstream_ref(upstream);
	attempt->sent_us = now_us;
	upstream->outstanding++;
	upstream->sent++;
	attempt->query->sent = true;
	g_ptr_array_add(part_of(attempt)->tried, upstream);
	if (attempt->kind == ATTEMPT_FIRST) {
		counters->first++;
		budget_earn(&service->hedge_budget);
		budget_earn(&service->retry_budget);
		budget_earn(&service->rescue_budget);
	} else if (attempt->kind == ATTEMPT_HEDGE) {
		counters->hedges++;
	} else {
		counters->retries++;
	}
	if (service->kind != SERVICE_ONCE && engine->policy.hedge) {
		attempt->timer.fire = on_attempt_timer;
		attempt->timer.ctx = attempt;
		timers_set(&engine->timers, &attempt->timer, now_us + hedge_delay_us(service));
	}
	engine->ops->send(engine->ctx, attempt);
}

/* ---- waiting for capacity ---- */

/*
 * An attempt of a more urgent class overtakes attempts of lower classes only if those were admitted
 * within CLASS_HEAD_START_US before it per class of difference. With strict priority, parts of the
 * lower classes would wait for as long as urgent requests keep arriving.
 */
static uint64_t queue_position_us(const attempt_t *attempt)
{
	const query_t *query = attempt->query;

	return query->admitted_us + query->request->class * CLASS_HEAD_START_US;
}

static bool is_queued_before(const attempt_t *a, const attempt_t *b)
{
	return queue_position_us(a) < queue_position_us(b);
}

static void enqueue_waiter(attempt_t *attempt, upstream_t *upstream)
{
	waiter_t *waiter = g_new0(waiter_t, 1);
	GList *after = upstream->waiting.tail;

	waiter->attempt = attempt;
	waiter->upstream = upstream_ref(upstream);
	waiter->link.data = waiter;
	g_ptr_array_add(attempt->waiters, waiter);
	while (after && is_queued_before(attempt, ((waiter_t *)after->data)->attempt))
		after = after->prev;
	if (after)
		g_queue_insert_after_link(&upstream->waiting, after, &waiter->link);
	else
		g_queue_push_head_link(&upstream->waiting, &waiter->link);
}

/*
 * Capacity at one searcher is capacity of its group, too: an attempt waits in the queue of every
 * candidate of its group.
 */
void dispatch_send_waiting(engine_t *engine, upstream_t *upstream, uint64_t now_us)
{
	GList *item = upstream->waiting.head;

	while (item && upstream_has_capacity(upstream)) {
		attempt_t *attempt = ((waiter_t *)item->data)->attempt;

		item = item->next;
		if (group_has_capacity(engine, part_of(attempt)))
			attempt_send(engine, attempt, upstream, now_us);
	}
}

void dispatch_reassign_waiting(engine_t *engine, upstream_t *upstream, uint64_t now_us)
{
	while (upstream->waiting.head) {
		attempt_t *attempt = ((waiter_t *)upstream->waiting.head->data)->attempt;
		part_t *part = part_of(attempt);
		attempt_kind_t kind = attempt->kind;
		query_t *query = query_ref(attempt->query);

		attempt_free(engine, attempt);
		if (!query->finished)
			dispatch_part(engine, part, kind, now_us);
		query_unref(query);
	}
}

/* ---- parts ---- */

static void on_backoff(void *ctx, uint64_t now_us)
{
	part_t *part = ctx;

	g_ptr_array_set_size(part->tried, 0);
	dispatch_part(part->query->engine, part, ATTEMPT_RETRY, now_us);
}

/*
 * Every replica has been asked once. Replicas that shed the request or lost its connection may be
 * asked again after a backoff.
 */
static void back_off(engine_t *engine, part_t *part, uint64_t now_us)
{
	double base = (double)(BACKOFF_US << MIN(part->backoffs, BACKOFF_DOUBLINGS));

	part->backoffs++;
	part->backoff.fire = on_backoff;
	part->backoff.ctx = part;
	timers_set(&engine->timers, &part->backoff,
		   now_us + (uint64_t)g_rand_double_range(engine->rand, base / 2, base));
}

static bool any_replica_left(const part_t *part)
{
	for (guint i = 0; i < part->replicas->len; i++) {
		const upstream_t *upstream = g_ptr_array_index(part->replicas, i);

		if (upstream_usable(upstream) && !contains(part->excluded, upstream))
			return true;
	}
	return false;
}

void dispatch_part(engine_t *engine, part_t *part, attempt_kind_t kind, uint64_t now_us)
{
	attempt_t *attempt;
	upstream_t *upstream;
	replica_choice_t choice;

	list_candidates(engine, part, now_us, &choice);
	if (choice.count == 0) {
		if (part->attempts->len || part->backoff.heap_position)
			return;
		if (any_replica_left(part))
			back_off(engine, part, now_us);
		else
			engine_part_lost(engine, part, now_us);
		return;
	}
	attempt = attempt_new(engine, part, kind);
	upstream = choose_replica(engine, part, &choice);
	if (upstream) {
		attempt_send(engine, attempt, upstream, now_us);
		return;
	}
	for (uint32_t i = 0; i < choice.count; i++)
		enqueue_waiter(attempt, choice.list[i]);
}

/* ---- rescue ---- */

static bool any_replica_has_capacity(const engine_t *engine, const part_t *part, uint64_t now_us)
{
	replica_choice_t choice;

	if (!group_has_capacity(engine, part))
		return false;
	list_candidates(engine, part, now_us, &choice);
	for (uint32_t i = 0; i < choice.count; i++)
		if (upstream_has_capacity(choice.list[i]))
			return true;
	return false;
}

static void hedge(engine_t *engine, part_t *part, uint64_t now_us)
{
	service_t *service = engine_service_of(part->query);

	/* Under overload a hedge would take the capacity of another query's first attempt. */
	if (gate_waiting(&service->gate) || part->attempts->len > 1 ||
	    !any_replica_has_capacity(engine, part, now_us) ||
	    !budget_spend(&service->hedge_budget))
		return;
	dispatch_part(engine, part, ATTEMPT_HEDGE, now_us);
}

/*
 * If a device on the path drops the state of a connection, requests on that connection are lost
 * without an error. When many connections fail this way at once, the hedge budget is too small and
 * parts would stay unanswered until the deadline. Therefore an attempt that is far older than a
 * slow answer may be replaced from a separate budget, even at a replica that was already tried.
 * This is enough since the new attempt uses another connection, and the dead connection is closed
 * when the old attempt is cancelled.
 */
static void rescue(engine_t *engine, part_t *part, attempt_t *attempt, uint64_t now_us)
{
	service_t *service = engine_service_of(part->query);

	upstream_record_min_latency(attempt->upstream, now_us, now_us - attempt->sent_us);
	upstream_record_overload(attempt->upstream, now_us);
	if (!budget_spend(&service->rescue_budget))
		return;
	timeline_add(engine->timeline,
		     "event=rescue request=%s service=%s upstream=%s waited_us=%" G_GUINT64_FORMAT,
		     part->query->request->id, service->name, attempt->upstream->name,
		     now_us - attempt->sent_us);
	if (!any_replica_has_capacity(engine, part, now_us))
		g_ptr_array_set_size(part->tried, 0);
	dispatch_part(engine, part, ATTEMPT_RETRY, now_us);
}

static void on_attempt_timer(void *ctx, uint64_t now_us)
{
	attempt_t *attempt = ctx;
	engine_t *engine = attempt->query->engine;
	service_t *service = engine_service_of(attempt->query);
	uint64_t rescue_us = RESCUE_DELAYS * hedge_delay_us(service);

	if (now_us < attempt->sent_us + rescue_us) {
		timers_set(&engine->timers, &attempt->timer, attempt->sent_us + rescue_us);
		hedge(engine, part_of(attempt), now_us);
		return;
	}
	rescue(engine, part_of(attempt), attempt, now_us);
}

/* ---- results of attempts ---- */

static void cancel_attempt(engine_t *engine, attempt_t *attempt, uint64_t now_us)
{
	upstream_t *upstream = attempt->upstream ? upstream_ref(attempt->upstream) : NULL;
	uint64_t waited_us = now_us - attempt->sent_us;

	if (upstream) {
		engine->ops->cancel(engine->ctx, attempt);
		/*
		 * The latency is at least this long; without the sample a straggler would look
		 * untried.
		 */
		upstream_record_min_latency(upstream, now_us, waited_us);
	}
	attempt_free(engine, attempt);
	if (!upstream)
		return;
	dispatch_send_waiting(engine, upstream, now_us);
	upstream_unref(upstream);
}

static void drop_waiting_attempts(engine_t *engine, const part_t *part)
{
	for (guint i = part->attempts->len; i-- > 0;) {
		attempt_t *attempt = g_ptr_array_index(part->attempts, i);

		if (!attempt->upstream)
			attempt_free(engine, attempt);
	}
}

static void cancel_attempts(engine_t *engine, part_t *part, uint64_t now_us)
{
	drop_waiting_attempts(engine, part);
	while (part->attempts->len)
		cancel_attempt(engine, g_ptr_array_index(part->attempts, 0), now_us);
	timers_cancel(&engine->timers, &part->backoff);
}

void dispatch_stop(engine_t *engine, query_t *query, uint64_t now_us)
{
	/*
	 * Waiting attempts go first; otherwise capacity that is freed below would be given to
	 * another part of this query.
	 */
	for (guint i = 0; i < query->parts->len; i++)
		drop_waiting_attempts(engine, g_ptr_array_index(query->parts, i));
	for (guint i = 0; i < query->parts->len; i++)
		cancel_attempts(engine, g_ptr_array_index(query->parts, i), now_us);
}

static void record_latency(engine_t *engine, service_t *service, upstream_t *upstream,
			   const attempt_t *attempt, uint64_t now_us)
{
	uint64_t latency_us = now_us - attempt->sent_us;

	upstream_record_answer(upstream, now_us, latency_us);
	if (!engine->policy.adapt_limit)
		upstream->limit = upstream->share;
	histogram_add(&service->attempt_latency, latency_us);
	if (service->attempt_latency.count >= FADE_SAMPLES)
		histogram_decay(&service->attempt_latency);
}

static void part_answered(engine_t *engine, part_t *part, attempt_kind_t kind, const reply_t *reply,
			  uint64_t now_us)
{
	query_t *query = query_ref(part->query);

	if (kind == ATTEMPT_HEDGE)
		engine_service_of(query)->counters.hedges_won++;
	query_merge(query, part, reply);
	cancel_attempts(engine, part, now_us);
	if (query->request->kind == SERVICE_ONCE)
		engine_action_ended(engine, query, REFUSAL_NONE, RAN_YES, now_us);
	else
		engine_check_done(engine, query, now_us);
	query_unref(query);
}

/* Retry the part, unless another attempt for it is still waiting or sent. */
static void retry_part(engine_t *engine, part_t *part, bool costs_budget, uint64_t now_us)
{
	service_t *service = engine_service_of(part->query);

	if (part->attempts->len)
		return;
	if (costs_budget && !budget_spend(&service->retry_budget)) {
		engine_part_lost(engine, part, now_us);
		return;
	}
	dispatch_part(engine, part, ATTEMPT_RETRY, now_us);
}

/*
 * Whether the query finished or restarted since, so that an attempt's failure no longer concerns
 * it.
 */
static bool query_has_moved_on(const query_t *query, uint32_t restarts)
{
	return query->finished || query->restarts != restarts;
}

static void record_failure(engine_t *engine, const query_t *query, upstream_t *upstream,
			   reply_kind_t kind, uint64_t now_us)
{
	service_t *service = engine_service_of(query);

	switch (kind) {
	case REPLY_ANSWER: /* for another version or other partitions: never merged */
	case REPLY_INVALID:
		service->counters.mismatched++;
		timeline_add(engine->timeline,
			     "event=reply-rejected request=%s service=%s upstream=%s",
			     query->request->id, service->name, upstream->name);
		break;
	case REPLY_VERSION_NOT_HELD:
		break;
	case REPLY_SHED:
		upstream->shed++;
		upstream_record_overload(upstream, now_us);
		break;
	case REPLY_NOT_SENT:
	case REPLY_CONNECTION_LOST:
		upstream->cut++;
		if (!upstream_record_failure(upstream, kind == REPLY_NOT_SENT))
			break;
		service->snapshot_stale = true;
		timeline_add(engine->timeline,
			     "event=upstream-down service=%s upstream=%s reason=connect",
			     service->name, upstream->name);
		dispatch_reassign_waiting(engine, upstream, now_us);
		break;
	}
}

static void part_failed(engine_t *engine, part_t *part, upstream_t *upstream, reply_kind_t kind,
			uint64_t now_us)
{
	bool transient =
		kind == REPLY_SHED || kind == REPLY_NOT_SENT || kind == REPLY_CONNECTION_LOST;
	bool may_have_run =
		kind == REPLY_CONNECTION_LOST || kind == REPLY_INVALID || kind == REPLY_ANSWER;

	if (may_have_run && part->query->request->kind == SERVICE_ONCE) {
		engine_action_ended(engine, part->query, REFUSAL_OUTCOME_UNKNOWN, RAN_UNKNOWN,
				    now_us);
		return;
	}
	if (!transient)
		g_ptr_array_add(part->excluded, upstream);
	if (!part->answered && !part->lost)
		retry_part(engine, part, may_have_run, now_us);
}

void engine_attempt_ended(engine_t *engine, uint64_t attempt_id, reply_t *reply, uint64_t now_us)
{
	attempt_t *attempt;
	upstream_t *upstream;
	query_t *query;
	uint32_t restarts, index;
	attempt_kind_t kind;

	engine_enter(engine, now_us);
	attempt = g_hash_table_lookup(engine->attempts, &attempt_id);
	/* Ids are never reused, so an unknown id means a late, duplicate or misrouted reply. */
	if (!attempt || !attempt->upstream) {
		engine->stray_replies++;
		reply_free(reply);
		return;
	}
	upstream = upstream_ref(attempt->upstream);
	query = query_ref(attempt->query);
	restarts = query->restarts;
	index = attempt->part;
	kind = attempt->kind;
	if (reply->kind == REPLY_ANSWER)
		record_latency(engine, engine_service_of(query), upstream, attempt, now_us);
	attempt_free(engine, attempt);

	if (reply->kind == REPLY_ANSWER &&
	    query_accepts(query, g_ptr_array_index(query->parts, index), reply)) {
		upstream->failures = 0;
		part_answered(engine, g_ptr_array_index(query->parts, index), kind, reply, now_us);
		if (reply->report)
			engine_apply_report(engine, upstream, reply->report, now_us);
	} else {
		if (reply->report)
			engine_apply_report(engine, upstream, reply->report, now_us);
		record_failure(engine, query, upstream, reply->kind, now_us);
		if (!query_has_moved_on(query, restarts))
			part_failed(engine, g_ptr_array_index(query->parts, index), upstream,
				    reply->kind, now_us);
	}
	dispatch_send_waiting(engine, upstream, now_us);
	reply_free(reply);
	query_unref(query);
	upstream_unref(upstream);
}
