/**
 * @file store_sync_links.c
 * Links to feeders and backup feeders, in use or being tried. See store_sync.h.
 */
#include "core/store_sync_private.h"

/* After all feeders failed, the store is watched for this time before the next feeder is tried;
 * random, so that VMs do not all switch at once. */
#define FEEDER_RETRY_MIN_US 3000000
#define FEEDER_RETRY_MAX_US 6000000
/* A VM that starts first finds its feeders: it reads the list of VMs, then connects to one within
 * the region. If it has no feed, and no feeder has sent a part of its lists for this time, the VM
 * watches the store itself. */
#define START_TIMEOUT_US 1200000
/* As long as the store answers the calls for the list of VMs, this VM takes this time at most to
 * learn which feeders there are. */
#define FIND_FEEDERS_US 5000000
/* Until then, VMs that start together with this one may not listen yet: retry interval. */
#define START_RETRY_US 100000
/* Time to find a feeder that reaches the store: each sends its status within the status period. */
#define FIND_FEEDER_US 1000000
/* Backups tried one after the other before a pause: when no VM reaches the store, all VMs try
 * backups. */
#define BACKUPS_PER_ROUND 3
#define BACKUP_PAUSE_US 1500000

/* Maximum delay of a timer. */
#define TIMER_DELAY_MAX_US 50000

#define CANDIDATE_TIMEOUT_US (FEED_FIRST_STATUS_TIMEOUT_MS * 1000)

/* ---- links ---- */

void store_sync_stop_trying_backups(store_sync_t *sync)
{
	sync->backups_in_round = 0;
	store_sync_cancel_timer(sync, &sync->backup_timer);
}

static void close_link(store_sync_t *sync, store_sync_link_t **link, const char *reason)
{
	if (!*link)
		return;
	sync->ops->close(sync->ctx, *link, reason);
	g_free((*link)->vm);
	g_free(*link);
	*link = NULL;
}

static void close_candidate(store_sync_t *sync, const char *reason)
{
	store_sync_cancel_timer(sync, &sync->candidate_timer);
	close_link(sync, &sync->candidate, reason);
}

void store_sync_close_backup_candidate(store_sync_t *sync, const char *reason)
{
	if (sync->candidate && sync->candidate->backup)
		close_candidate(sync, reason);
}

static bool try_link(store_sync_t *sync, const char *vm, bool backup, uint64_t now_us)
{
	store_sync_link_t *link = g_new0(store_sync_link_t, 1);

	link->vm = g_strdup(vm);
	link->backup = backup;
	sync->candidate = link;
	if (!sync->ops->open(sync->ctx, link)) {
		g_free(link->vm);
		g_free(link);
		sync->candidate = NULL;
		return false;
	}
	/* Feeders that start together with this VM have no data to send yet. */
	if (!store_sync_timer_is_set(&sync->start_timer))
		store_sync_set_timer(sync, &sync->candidate_timer, now_us + CANDIDATE_TIMEOUT_US);
	return true;
}

/* ---- backups ---- */

static bool needs_backup(const store_sync_t *sync)
{
	return sync->feed ? sync->feeder_cut_off && sync->failed_checks
			  : sync->watches && sync->failing;
}

static char *next_backup(store_sync_t *sync)
{
	char *suggested = g_steal_pointer(&sync->suggested_backup);

	if (suggested)
		return suggested;
	if (!sync->backups->len)
		return NULL;
	return g_strdup(
		g_ptr_array_index(sync->backups, sync->backups_tried++ % sync->backups->len));
}

static void pause_backups(store_sync_t *sync, uint64_t now_us)
{
	sync->backups_in_round = 0;
	store_sync_set_timer(
		sync, &sync->backup_timer,
		now_us + store_sync_random_us(sync, BACKUP_PAUSE_US / 2, BACKUP_PAUSE_US));
}

void store_sync_try_backup(store_sync_t *sync, uint64_t now_us)
{
	g_autofree char *vm = NULL;

	if (sync->candidate || !needs_backup(sync) || !sync->backups->len)
		return;
	if (sync->backups_in_round >= BACKUPS_PER_ROUND) {
		pause_backups(sync, now_us);
		return;
	}
	sync->backups_in_round++;
	store_sync_cancel_timer(sync, &sync->backup_timer);
	vm = next_backup(sync);
	if (!vm || !try_link(sync, vm, true, now_us))
		pause_backups(sync, now_us);
}

static void on_backup_due(void *ctx, uint64_t now_us)
{
	store_sync_try_backup(ctx, now_us);
}

/* ---- feeders ---- */

/* The data would exceed its age limit before another feeder had failed and the store had replied.
 */
static bool is_near_age_max(const store_sync_t *sync, uint64_t now_us)
{
	return !store_sync_timer_is_set(&sync->start_timer) &&
	       store_sync_age_us(sync, now_us) > sync->timing.age_max_us + TIMER_DELAY_MAX_US;
}

static bool try_feeder(store_sync_t *sync, uint64_t now_us)
{
	uint32_t count = sync->feeders->len;

	if (sync->candidate || !count)
		return sync->candidate != NULL;
	return try_link(sync, g_ptr_array_index(sync->feeders, sync->feeders_tried % count), false,
			now_us);
}

static void on_feeder_retry_due(void *ctx, uint64_t now_us)
{
	store_sync_t *sync = ctx;

	if (!sync->feed)
		try_feeder(sync, now_us);
}

/*
 * Tries the next feeder, or watches the store for a while. If all VMs of a region watched the store
 * because one feeder is gone, that would cost more calls than the feed saves: so the next feeder is
 * tried first, unless all have failed in this round, or a change may be due before one more feeder
 * would have failed.
 */
static void try_next_source(store_sync_t *sync, bool near_age_max, uint64_t now_us)
{
	uint32_t count = sync->feeders->len;
	bool all_failed = !count || ++sync->feeders_tried % count == 0;

	if (!all_failed && !near_age_max && try_feeder(sync, now_us))
		return;
	if (store_sync_timer_is_set(&sync->start_timer)) {
		store_sync_set_timer(sync, &sync->feeder_retry_timer, now_us + START_RETRY_US);
		return;
	}
	store_sync_watch_store(sync, now_us);
	if (count)
		store_sync_set_timer(sync, &sync->feeder_retry_timer,
				     now_us + store_sync_random_us(sync, FEEDER_RETRY_MIN_US,
								   FEEDER_RETRY_MAX_US));
}

static void stop_store_checks(store_sync_t *sync)
{
	sync->feeder_cut_off = false;
	sync->failed_checks = 0;
	store_sync_cancel_timer(sync, &sync->check_timer);
}

static void close_feed(store_sync_t *sync, const char *reason)
{
	store_sync_cancel_timer(sync, &sync->feed_stale_timer);
	stop_store_checks(sync);
	close_link(sync, &sync->feed, reason);
}

static void leave_feed(store_sync_t *sync, const char *reason, bool near_age_max, uint64_t now_us)
{
	close_feed(sync, reason);
	store_sync_close_backup_candidate(sync, reason);
	try_next_source(sync, near_age_max, now_us);
}

/* A VM uses a backup feeder only if it did not reach the store at its last try. So when the backup
 * feed fails, the store counts as unreachable again. */
static void on_feed_failed(store_sync_t *sync, const char *reason, uint64_t now_us)
{
	bool near_age_max = is_near_age_max(sync, now_us);

	if (sync->feed->backup)
		store_sync_set_unreachable(sync, true);
	leave_feed(sync, reason, near_age_max, now_us);
}

static void check_store(void *ctx, uint64_t now_us)
{
	store_sync_t *sync = ctx;

	(void)now_us;
	if (sync->checking)
		return;
	sync->checking = true;
	sync->ops->check_store(sync->ctx, sync->timing.probe_timeout_us);
}

/*
 * A feeder that is cut off from the store keeps reporting that nothing has changed, but its data
 * grows older. Once it is older than a working feeder's can be, this VM goes to the store itself,
 * so that changes are in force in time. The configuration is read at once, whatever other feeders
 * report.
 */
static void on_feed_stale(void *ctx, uint64_t now_us)
{
	check_store(ctx, now_us);
	on_feed_failed(ctx, "news-old", now_us);
}

static void check_store_later(store_sync_t *sync, uint64_t now_us)
{
	store_sync_set_timer(sync, &sync->check_timer,
			     now_us + store_sync_random_us(sync, sync->timing.check_pause_min_us,
							   sync->timing.check_pause_max_us));
}

void store_sync_check_ended(store_sync_t *sync, bool reached, uint64_t now_us)
{
	sync->checking = false;
	if (!sync->feed || (!sync->feeder_cut_off && !sync->feed->backup))
		return;
	if (reached) {
		store_sync_set_unreachable(sync, false);
		leave_feed(sync, "store-reached", false, now_us);
		return;
	}
	sync->failed_checks++;
	check_store_later(sync, now_us);
	if (!store_sync_timer_is_set(&sync->backup_timer))
		store_sync_try_backup(sync, now_us);
}

/* The first store check comes before the data reaches its age limit: the store may be unreachable
 * only for the feeder, which notices that when its watch times out; a change may then be due within
 * a second. */
static uint64_t first_check_us(store_sync_t *sync, uint64_t age_us)
{
	uint64_t max_us = sync->timing.age_max_us;
	uint64_t used_us = age_us + FIND_FEEDER_US;
	uint64_t left_us = max_us > used_us ? max_us - used_us : 0;

	return store_sync_random_us(sync, 0, MIN(left_us, sync->timing.check_pause_max_us));
}

/* The feeder in use does not reach the store. */
static void on_feeder_cut_off(store_sync_t *sync, uint64_t age_us, uint64_t now_us)
{
	if (sync->feeder_cut_off)
		return;
	sync->feeder_cut_off = true;
	sync->cut_off_us = now_us;
	store_sync_set_unreachable(sync, true);
	store_sync_set_timer(sync, &sync->check_timer, now_us + first_check_us(sync, age_us));
}

static void on_feeder_recovered(store_sync_t *sync)
{
	if (!sync->feeder_cut_off)
		return;
	stop_store_checks(sync);
	store_sync_stop_trying_backups(sync);
	store_sync_close_backup_candidate(sync, "feeder-back");
	store_sync_set_unreachable(sync, false);
}

/* ---- candidates ---- */

static bool has_all_lists(const store_sync_t *sync, const store_sync_link_t *link)
{
	return link->lists_done == (1u << sync->count) - 1;
}

static void reject_candidate(store_sync_t *sync, const char *reason, uint64_t now_us)
{
	bool backup = sync->candidate->backup;

	close_candidate(sync, reason);
	if (backup)
		store_sync_try_backup(sync, now_us);
	else if (!sync->feed)
		try_next_source(sync, is_near_age_max(sync, now_us), now_us);
}

static void on_candidate_timeout(void *ctx, uint64_t now_us)
{
	reject_candidate(ctx, "says-nothing", now_us);
}

static void record_status(store_sync_t *sync, store_sync_link_t *link)
{
	sync->feed_last_answer_us = link->last_answer_us;
	store_sync_set_timer(sync, &sync->feed_stale_timer,
			     link->last_answer_us + feed_age_max_us(&sync->timing, link->backup));
}

/* From here on the feed replaces this VM's own watches. */
static void switch_to_candidate(store_sync_t *sync, uint64_t now_us)
{
	store_sync_link_t *link = g_steal_pointer(&sync->candidate);

	store_sync_cancel_timer(sync, &sync->candidate_timer);
	store_sync_cancel_timer(sync, &sync->start_timer);
	store_sync_cancel_timer(sync, &sync->feeder_retry_timer);
	close_feed(sync, "another-taken");
	sync->feed = link;
	store_sync_stop_watching(sync);
	record_status(sync, link);
	if (link->backup)
		check_store_later(sync, now_us);
	sync->ops->feed_changed(sync->ctx, link);
	store_sync_set_unreachable(sync, false);
}

static void switch_if_complete(store_sync_t *sync, store_sync_link_t *link, uint64_t now_us)
{
	if (link == sync->candidate && link->status_ok && has_all_lists(sync, link))
		switch_to_candidate(sync, now_us);
}

void store_sync_link_sent_part(store_sync_link_t *link, uint32_t kind, uint64_t now_us)
{
	if (!(link->lists_done & 1u << kind))
		link->progress_us = now_us;
}

void store_sync_link_listed(store_sync_t *sync, store_sync_link_t *link, uint32_t kind,
			    uint64_t now_us)
{
	link->lists_done |= 1u << kind;
	switch_if_complete(sync, link, now_us);
}

/*
 * Whether the store has answered the candidate since this VM's own feeder lost it. Other VMs notice
 * an outage later, as their watches end, and report until then that they reach the store.
 */
static bool reaches_store(const store_sync_t *sync, const store_sync_link_t *link)
{
	return !sync->feed || link->last_answer_us >= sync->cut_off_us;
}

static void evaluate_candidate(store_sync_t *sync, store_sync_link_t *link,
			       const store_sync_status_t *status, uint64_t now_us)
{
	store_sync_cancel_timer(sync, &sync->candidate_timer);
	if (reaches_store(sync, link) &&
	    feed_evaluate(&sync->timing, link->backup, false, status->unreliable, status->age_us) ==
		    FEED_KEEP) {
		link->status_ok = true;
		switch_if_complete(sync, link, now_us);
		return;
	}
	if (link->backup && *status->from) {
		g_free(sync->suggested_backup);
		sync->suggested_backup = g_strdup(status->from);
	}
	reject_candidate(sync, status->unreliable ? "store-away" : "news-old", now_us);
}

static void evaluate_feed(store_sync_t *sync, store_sync_link_t *link,
			  const store_sync_status_t *status, uint64_t now_us)
{
	feed_action_t action = feed_evaluate(&sync->timing, link->backup, true, status->unreliable,
					     status->age_us);

	if (action == FEED_LEAVE) {
		on_feed_failed(sync, status->unreliable ? "store-away" : "news-old", now_us);
		return;
	}
	record_status(sync, link);
	if (action == FEED_KEEP) {
		on_feeder_recovered(sync);
		return;
	}
	store_sync_cancel_timer(sync, &sync->feed_stale_timer);
	on_feeder_cut_off(sync, status->age_us, now_us);
}

void store_sync_link_status(store_sync_t *sync, store_sync_link_t *link,
			    const store_sync_status_t *status, uint64_t now_us)
{
	link->last_answer_us = now_us > status->age_us ? now_us - status->age_us : 0;
	if (link == sync->candidate)
		evaluate_candidate(sync, link, status, now_us);
	else
		evaluate_feed(sync, link, status, now_us);
}

void store_sync_link_ended(store_sync_t *sync, store_sync_link_t *link, const char *reason,
			   uint64_t now_us)
{
	if (link == sync->candidate)
		reject_candidate(sync, reason, now_us);
	else
		on_feed_failed(sync, reason, now_us);
}

/* ---- interface ---- */

static void set_names(GPtrArray *names, const GPtrArray *vms)
{
	g_ptr_array_set_size(names, 0);
	for (guint i = 0; i < vms->len; i++)
		g_ptr_array_add(names, g_strdup(((const vm_t *)g_ptr_array_index(vms, i))->name));
}

void store_sync_set_vms(store_sync_t *sync, const GPtrArray *feeders, const GPtrArray *backups,
			bool is_feeder, uint64_t now_us)
{
	bool found = !sync->feeders->len && feeders->len;

	sync->is_feeder = is_feeder;
	if (found && store_sync_timer_is_set(&sync->start_timer))
		store_sync_set_timer(sync, &sync->start_timer, now_us + START_TIMEOUT_US);
	set_names(sync->feeders, feeders);
	set_names(sync->backups, backups);
	if (!feeders->len) {
		store_sync_cancel_timer(sync, &sync->feeder_retry_timer);
		if (sync->candidate && !sync->candidate->backup)
			close_candidate(sync, "chosen-to-watch");
		if (sync->feed && !sync->feed->backup)
			close_feed(sync, "chosen-to-watch");
	} else if (!store_sync_timer_is_set(&sync->feeder_retry_timer)) {
		on_feeder_retry_due(sync, now_us);
	}
	if (!sync->feed && (!sync->candidate || sync->candidate->backup))
		store_sync_watch_store(sync, now_us);
}

void store_sync_refresh(store_sync_t *sync, uint64_t now_us)
{
	if (sync->feed) {
		leave_feed(sync, "refresh", false, now_us);
		return;
	}
	if (sync->candidate)
		close_candidate(sync, "refresh");
	sync->watches = false;
	store_sync_watch_store(sync, now_us);
}

void store_sync_start(store_sync_t *sync, uint64_t now_us)
{
	sync->started_us = now_us;
	store_sync_set_timer(sync, &sync->start_timer, now_us + START_TIMEOUT_US);
}

static bool is_finding_feeders(const store_sync_t *sync, uint64_t now_us)
{
	return !sync->feeders->len && sync->others_answered &&
	       now_us < sync->started_us + FIND_FEEDERS_US;
}

/*
 * The lists of a large fleet take seconds to read and to send on. If the VMs that start together
 * gave up on their feeders meanwhile, each of them would read these lists from the store.
 */
static void on_start_timeout(void *ctx, uint64_t now_us)
{
	store_sync_t *sync = ctx;
	const store_sync_link_t *link = sync->candidate;

	if (is_finding_feeders(sync, now_us))
		store_sync_set_timer(sync, &sync->start_timer, now_us + START_RETRY_US);
	else if (link && !link->backup && now_us < link->progress_us + START_TIMEOUT_US)
		store_sync_set_timer(sync, &sync->start_timer,
				     link->progress_us + START_TIMEOUT_US);
	else
		store_sync_watch_store(sync, now_us);
}

void store_sync_links_init(store_sync_t *sync)
{
	sync->start_timer = (timer_entry_t){.fire = on_start_timeout, .ctx = sync};
	sync->feeder_retry_timer = (timer_entry_t){.fire = on_feeder_retry_due, .ctx = sync};
	sync->feed_stale_timer = (timer_entry_t){.fire = on_feed_stale, .ctx = sync};
	sync->candidate_timer = (timer_entry_t){.fire = on_candidate_timeout, .ctx = sync};
	sync->check_timer = (timer_entry_t){.fire = check_store, .ctx = sync};
	sync->backup_timer = (timer_entry_t){.fire = on_backup_due, .ctx = sync};
}

void store_sync_close_links(store_sync_t *sync)
{
	close_candidate(sync, "end");
	close_link(sync, &sync->feed, "end");
}
