/**
 * @file store_sync.c
 * See store_sync.h.
 */
#include "core/store_sync_private.h"

/* With this wait, the store answers a watch at once, also when nothing has changed. */
#define PROBE_WAIT_MS 1
#define RETRY_MIN_US (FEED_RETRY_MIN_MS * 1000)
#define REPLY_MAX_US (FEED_REPLY_MAX_MS * 1000)

uint64_t store_sync_random_us(store_sync_t *sync, uint64_t min_us, uint64_t max_us)
{
	return (uint64_t)g_rand_int_range(sync->rand, (gint32)min_us, (gint32)max_us + 1);
}

void store_sync_set_timer(store_sync_t *sync, timer_entry_t *timer, uint64_t at_us)
{
	timers_set(&sync->timers, timer, at_us);
}

void store_sync_cancel_timer(store_sync_t *sync, timer_entry_t *timer)
{
	timers_cancel(&sync->timers, timer);
}

bool store_sync_timer_is_set(const timer_entry_t *timer)
{
	return timer->heap_position != 0;
}

void store_sync_set_unreachable(store_sync_t *sync, bool unreachable)
{
	if (sync->unreachable == unreachable)
		return;
	sync->unreachable = unreachable;
	if (unreachable)
		sync->ops->unreachable(sync->ctx);
	else
		sync->ops->recovered(sync->ctx);
}

/* ---- the store ---- */

/* While the store does not answer, a call times out after the time that a reply may take, not after
 * the wait of a watch: a watch that the store lost just before its recovery would hide the recovery
 * for all of its wait. */
static void start_call(void *ctx, uint64_t now_us)
{
	sync_kind_t *kind = ctx;
	store_sync_t *sync = kind->sync;
	const feed_timing_t *timing = &sync->timing;
	bool list = kind->list_watch.list_due;
	bool brief = list || sync->failing || kind->failures || kind->resumed;
	store_sync_call_t call = {.list = list, .timeout_us = timing->probe_timeout_us};

	if (!brief)
		call.timeout_us = (kind->config.wait_ms + FEED_WATCH_SLACK_MS) * 1000ull;
	call.wait_ms = brief ? PROBE_WAIT_MS : kind->config.wait_ms;
	kind->resumed = false;
	kind->pending = true;
	kind->pending_watch = !brief;
	if (sync->probing && !store_sync_timer_is_set(&sync->backup_timer))
		store_sync_set_timer(sync, &sync->backup_timer, now_us + REPLY_MAX_US);
	sync->ops->call(sync->ctx, kind->number, &call);
}

static void drop_call(sync_kind_t *kind)
{
	store_sync_cancel_timer(kind->sync, &kind->next);
	if (kind->pending)
		kind->sync->ops->cancel(kind->sync->ctx, kind->number);
	kind->pending = false;
}

static void call_after(sync_kind_t *kind, uint64_t delay_us, uint64_t now_us)
{
	drop_call(kind);
	store_sync_set_timer(kind->sync, &kind->next, now_us + delay_us);
}

static void list_after(sync_kind_t *kind, uint64_t delay_us, uint64_t now_us)
{
	kind->sync->ops->restart_list(kind->sync->ctx, kind->number);
	call_after(kind, delay_us, now_us);
}

static void stop_probing(store_sync_t *sync)
{
	sync->failing = sync->timed_out = sync->probing = false;
	store_sync_stop_trying_backups(sync);
}

/* Repeats the calls that may have got lost while the store did not reply, and starts the postponed
 * ones. A watch with a long wait may have lost its connection while no other call was pending that
 * would have shown it. Kinds that determine the age of the data are requested without a wait: until
 * they are answered, the data counts as older than the outage. */
static void resume_calls(store_sync_t *sync, const sync_kind_t *answered, uint64_t now_us)
{
	for (uint32_t i = 0; i < sync->count; i++) {
		sync_kind_t *kind = &sync->kinds[i];
		bool may_be_lost = kind->pending && (sync->timed_out || !kind->config.frequent);
		bool waits_to_retry = kind->failures && !kind->pending;

		if (kind != answered && (kind->postponed || may_be_lost || waits_to_retry)) {
			kind->resumed = kind->config.frequent;
			call_after(kind, 0, now_us);
		}
		kind->postponed = false;
		kind->failures = 0;
	}
}

static void on_store_answered(store_sync_t *sync, const sync_kind_t *kind, uint64_t now_us)
{
	if (sync->failing) {
		resume_calls(sync, kind, now_us);
		stop_probing(sync);
		store_sync_close_backup_candidate(sync, "store-back");
	}
	store_sync_set_unreachable(sync, false);
}

static uint64_t retry_us(store_sync_t *sync, uint32_t failures)
{
	uint64_t max_us = RETRY_MIN_US << MIN(failures - 1, 8);

	max_us = MIN(max_us, sync->timing.retry_max_us);
	return store_sync_random_us(sync, max_us / 2, max_us);
}

/* Requests the probed kind next, soon and with a short time-out; the other kinds wait for it. */
static void probe_soon(store_sync_t *sync, uint64_t now_us)
{
	sync_kind_t *probe_kind = sync->probe_kind;
	bool under_way = sync->probing || (probe_kind->pending && !probe_kind->pending_watch);

	sync->probing = true;
	if (!under_way)
		call_after(probe_kind, retry_us(sync, 1), now_us);
}

static void on_call_failed(store_sync_t *sync, sync_kind_t *kind, bool timed_out, uint64_t now_us)
{
	sync->failing = true;
	sync->timed_out |= timed_out;
	if (kind == sync->probe_kind) {
		sync->probing = true;
		store_sync_set_timer(sync, &kind->next, now_us + retry_us(sync, kind->failures));
	} else {
		kind->postponed = true;
		probe_soon(sync, now_us);
	}
	if (kind->config.frequent)
		store_sync_set_unreachable(sync, true);
}

/* Retries the read of announced objects that failed. */
static void retry_announced(store_sync_t *sync, sync_kind_t *kind, uint64_t now_us)
{
	store_sync_set_timer(sync, &kind->next, now_us + retry_us(sync, kind->failures));
	if (sync->feed)
		sync->ops->request_announced(sync->ctx, sync->feed, kind->number);
}

void store_sync_call_ended(store_sync_t *sync, uint32_t number, store_sync_result_t result,
			   uint64_t now_us)
{
	sync_kind_t *kind = &sync->kinds[number];

	kind->pending = false;
	if (result >= STORE_SYNC_FAILED) {
		kind->failures++;
		if (sync->watches)
			on_call_failed(sync, kind, result == STORE_SYNC_TIMED_OUT, now_us);
		else
			retry_announced(sync, kind, now_us);
		return;
	}
	kind->failures = 0;
	kind->last_answer_us = now_us;
	if (result == STORE_SYNC_LISTED) {
		list_watch_listed(&kind->list_watch);
		kind->list_read = sync->watches;
	}
	if (result == STORE_SYNC_HISTORY_GONE) {
		list_watch_relist(&kind->list_watch);
		sync->ops->restart_list(sync->ctx, number);
	}
	if (sync->watches)
		on_store_answered(sync, kind, now_us);
	if (list_watch_next(&kind->list_watch) != LIST_WATCH_NOTHING)
		store_sync_set_timer(
			sync, &kind->next,
			now_us + (result == STORE_SYNC_CHANGED ? kind->config.group_us : 0));
}

void store_sync_watch_store(store_sync_t *sync, uint64_t now_us)
{
	store_sync_cancel_timer(sync, &sync->start_timer);
	if (sync->watches)
		return;
	sync->watches = true;
	sync->failing = sync->probing = sync->unreachable;
	for (uint32_t i = 0; i < sync->count; i++) {
		sync_kind_t *kind = &sync->kinds[i];

		list_watch_start(&kind->list_watch);
		kind->failures = 0;
		kind->postponed = sync->unreachable && kind != sync->probe_kind;
		if (kind->postponed)
			drop_call(kind);
		else
			list_after(kind, sync->unreachable ? retry_us(sync, 1) : 0, now_us);
	}
}

/* Announced objects are still read from the store. */
void store_sync_stop_watching(store_sync_t *sync)
{
	sync->watches = false;
	stop_probing(sync);
	for (uint32_t i = 0; i < sync->count; i++) {
		sync_kind_t *kind = &sync->kinds[i];

		list_watch_stop(&kind->list_watch);
		kind->list_read = false;
		kind->postponed = false;
		kind->failures = 0;
		if (list_watch_next(&kind->list_watch) == LIST_WATCH_NOTHING)
			drop_call(kind);
	}
}

void store_sync_announced(store_sync_t *sync, uint32_t number, uint64_t now_us)
{
	sync_kind_t *kind = &sync->kinds[number];

	/* With a random delay: many VMs receive the announcement at the same moment. */
	list_watch_announced(&kind->list_watch);
	list_after(kind, store_sync_random_us(sync, 0, RETRY_MIN_US), now_us);
}

void store_sync_announced_received(store_sync_t *sync, uint32_t number)
{
	sync_kind_t *kind = &sync->kinds[number];

	if (sync->watches || !kind->list_watch.announced)
		return;
	list_watch_listed(&kind->list_watch);
	kind->failures = 0;
	drop_call(kind);
}

void store_sync_catch_up(store_sync_t *sync, uint32_t number, uint64_t now_us)
{
	sync_kind_t *kind = &sync->kinds[number];

	if (kind->list_watch.announced)
		return;
	list_watch_announced(&kind->list_watch);
	list_after(kind, 0, now_us);
}

/*
 * After a restore the store gives out revision numbers again. A watch from a revision of before the
 * restore is not rejected with a 410, and misses what was changed under the reused numbers. So the
 * lists are read again, with a random delay, since many VMs notice the restore at the same moment.
 */
void store_sync_restored(store_sync_t *sync, uint64_t now_us)
{
	for (uint32_t i = 0; i < sync->count; i++) {
		sync_kind_t *kind = &sync->kinds[i];

		if (list_watch_next(&kind->list_watch) == LIST_WATCH_NOTHING)
			continue;
		list_watch_relist(&kind->list_watch);
		if (kind->postponed)
			sync->ops->restart_list(sync->ctx, i);
		else
			list_after(kind, store_sync_random_us(sync, 0, RETRY_MIN_US), now_us);
	}
}

/* ---- interface ---- */

void store_sync_set_wait(store_sync_t *sync, uint32_t kind, uint32_t wait_ms)
{
	sync->kinds[kind].config.wait_ms = wait_ms;
}

/* Handles the end of a call to the store that the store sync did not make. Until this VM watches
 * the store or has a feed, only these calls show whether the store answers. A VM that starts while
 * the store is unreachable probes it seldom: once one of these calls is answered, the next probe is
 * sent at once. */
void store_sync_other_call_ended(store_sync_t *sync, bool answered, uint64_t now_us)
{
	sync->others_answered = answered;
	if (sync->watches && answered && sync->probing && !sync->probe_kind->pending)
		call_after(sync->probe_kind, 0, now_us);
	else if (!sync->watches && !sync->feed)
		store_sync_set_unreachable(sync, !answered);
}

uint64_t store_sync_next_us(const store_sync_t *sync)
{
	return timers_next_us(&sync->timers);
}

void store_sync_run(store_sync_t *sync, uint64_t now_us)
{
	timers_run(&sync->timers, now_us);
}

bool store_sync_has_data(const store_sync_t *sync)
{
	for (uint32_t i = 0; i < sync->count; i++)
		if (!sync->kinds[i].list_read)
			return sync->feed != NULL;
	return true;
}

bool store_sync_is_starting(const store_sync_t *sync)
{
	return sync->is_feeder && sync->watches && !sync->failing && !store_sync_has_data(sync);
}

/*
 * A feeder reports itself as unreliable while its data is older than subscribers accept. Its
 * subscribers then check the store themselves and keep the feed. This matters after an outage, when
 * the store's replies for one kind of object arrive before those for the other. If the feeder then
 * reported that it reaches the store, with the age of the other kind, all subscribers would leave
 * it just as the store recovers.
 *
 * A VM that is fed always reports itself as unreliable, and names its feeder. If fed VMs fed
 * others, data could be relayed in a circle.
 */
store_sync_status_t store_sync_status(const store_sync_t *sync, uint64_t now_us)
{
	uint64_t age_us = store_sync_age_us(sync, now_us);
	bool old = age_us > feed_age_max_us(&sync->timing, !sync->is_feeder);
	bool fed = sync->feed && !sync->unreachable;

	return (store_sync_status_t){.unreliable = sync->feed || sync->unreachable || old ||
						   !store_sync_has_data(sync),
				     .age_us = age_us,
				     .from = fed ? sync->feed->vm : ""};
}

bool store_sync_watches(const store_sync_t *sync)
{
	return sync->watches;
}

bool store_sync_is_unreachable(const store_sync_t *sync)
{
	return sync->unreachable;
}

const store_sync_link_t *store_sync_feed(const store_sync_t *sync)
{
	return sync->feed;
}

uint64_t store_sync_kind_age_us(const store_sync_t *sync, uint32_t kind, uint64_t now_us)
{
	return now_us - sync->kinds[kind].last_answer_us;
}

/* The last status of a feed that was just left still counts for the age of the data. */
uint64_t store_sync_age_us(const store_sync_t *sync, uint64_t now_us)
{
	uint64_t oldest_us = now_us;

	if (sync->feed)
		return now_us - sync->feed_last_answer_us;
	for (uint32_t i = 0; i < sync->count; i++)
		if (sync->kinds[i].config.frequent)
			oldest_us = MIN(oldest_us, sync->kinds[i].last_answer_us);
	return now_us - MAX(oldest_us, sync->feed_last_answer_us);
}

store_sync_t *store_sync_new(const feed_timing_t *timing, const store_sync_kind_t *kinds,
			     uint32_t count, uint32_t probe_kind, const store_sync_ops_t *ops,
			     void *ctx, uint32_t seed)
{
	store_sync_t *sync = g_new0(store_sync_t, 1);

	sync->timing = *timing;
	sync->ops = ops;
	sync->ctx = ctx;
	sync->rand = g_rand_new_with_seed(seed);
	timers_init(&sync->timers);
	sync->kinds = g_new0(sync_kind_t, count);
	sync->count = count;
	sync->probe_kind = &sync->kinds[probe_kind];
	sync->feeders = g_ptr_array_new_with_free_func(g_free);
	sync->backups = g_ptr_array_new_with_free_func(g_free);
	for (uint32_t i = 0; i < count; i++)
		sync->kinds[i] =
			(sync_kind_t){.sync = sync,
				      .number = i,
				      .config = kinds[i],
				      .next = {.fire = start_call, .ctx = &sync->kinds[i]}};
	store_sync_links_init(sync);
	return sync;
}

void store_sync_free(store_sync_t *sync)
{
	store_sync_close_links(sync);
	timers_clear(&sync->timers);
	g_ptr_array_unref(sync->feeders);
	g_ptr_array_unref(sync->backups);
	g_free(sync->suggested_backup);
	g_free(sync->kinds);
	g_rand_free(sync->rand);
	g_free(sync);
}
