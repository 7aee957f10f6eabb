/**
 * @file hearing_links.c
 * Links to VMs that tell of the store: feeders, backups, and trials of both. See hearing.h.
 */
#include "core/hearing_private.h"

/* After all feeders failed the store is watched for a while; random, so that VMs do not all move.
 */
#define AGAIN_LEAST_US 3000000
#define AGAIN_MOST_US 6000000
/* A VM that starts first learns whom it may hear the store from: a read of the list of VMs, then a
 * connection within the region. Past this it watches the store itself all the same. */
#define START_MOST_US 1200000
/* Until then, VMs that start together with this one may not listen yet: asked again so soon. */
#define START_AGAIN_US 100000
/* To ask the other feeders whether they hear the store: each says so within its news' period. */
#define SEEK_US 1000000
/* Backups asked one after the other; then a pause, since all VMs ask when the store is away for
 * all.
 */
#define BACKUPS_IN_A_ROW 3
#define BACKUP_PAUSE_US 1500000

/* Timers fire so late at the most. */
#define LATE_US 50000

#define TRIAL_US (FEED_TRIAL_MS * 1000)

/* ---- links ---- */

void hearing_stop_seeking_backup(hearing_t *hearing)
{
	hearing->backups_row = 0;
	hearing_cancel_timer(hearing, &hearing->backup_timer);
}

static void close_link(hearing_t *hearing, hearing_link_t **link, const char *reason)
{
	if (!*link)
		return;
	hearing->ops->close(hearing->ctx, *link, reason);
	g_free((*link)->vm);
	g_free(*link);
	*link = NULL;
}

static void close_trial(hearing_t *hearing, const char *reason)
{
	hearing_cancel_timer(hearing, &hearing->trial_timer);
	close_link(hearing, &hearing->trial, reason);
}

void hearing_close_backup_trial(hearing_t *hearing, const char *reason)
{
	if (hearing->trial && hearing->trial->backup)
		close_trial(hearing, reason);
}

static bool try_link(hearing_t *hearing, const char *vm, bool backup, uint64_t now_us)
{
	hearing_link_t *link = g_new0(hearing_link_t, 1);

	link->vm = g_strdup(vm);
	link->backup = backup;
	hearing->trial = link;
	if (!hearing->ops->open(hearing->ctx, link)) {
		g_free(link->vm);
		g_free(link);
		hearing->trial = NULL;
		return false;
	}
	/* Feeders that start together with this VM have nothing to say yet. */
	if (!hearing_is_set(&hearing->start_timer))
		hearing_set_timer(hearing, &hearing->trial_timer, now_us + TRIAL_US);
	return true;
}

/* ---- backups ---- */

static bool needs_backup(const hearing_t *hearing)
{
	return hearing->feed ? hearing->doubts && hearing->looks
			     : hearing->follows && hearing->failing;
}

static char *next_backup(hearing_t *hearing)
{
	char *named = g_steal_pointer(&hearing->named);

	if (named)
		return named;
	if (!hearing->backups->len)
		return NULL;
	return g_strdup(g_ptr_array_index(hearing->backups,
					  hearing->backups_tried++ % hearing->backups->len));
}

static void pause_backups(hearing_t *hearing, uint64_t now_us)
{
	hearing->backups_row = 0;
	hearing_set_timer(hearing, &hearing->backup_timer,
			  now_us +
				  hearing_random_us(hearing, BACKUP_PAUSE_US / 2, BACKUP_PAUSE_US));
}

void hearing_seek_backup(hearing_t *hearing, uint64_t now_us)
{
	g_autofree char *vm = NULL;

	if (hearing->trial || !needs_backup(hearing) || !hearing->backups->len)
		return;
	if (hearing->backups_row >= BACKUPS_IN_A_ROW) {
		pause_backups(hearing, now_us);
		return;
	}
	hearing->backups_row++;
	hearing_cancel_timer(hearing, &hearing->backup_timer);
	vm = next_backup(hearing);
	if (!vm || !try_link(hearing, vm, true, now_us))
		pause_backups(hearing, now_us);
}

static void on_backup_due(void *ctx, uint64_t now_us)
{
	hearing_seek_backup(ctx, now_us);
}

/* ---- feeders ---- */

/* What is known would be too old before another feeder had failed and the store had answered. */
static bool is_pressing(const hearing_t *hearing, uint64_t now_us)
{
	return !hearing_is_set(&hearing->start_timer) &&
	       hearing_age_us(hearing, now_us) > hearing->timing.age_most_us + LATE_US;
}

static bool try_feeder(hearing_t *hearing, uint64_t now_us)
{
	uint32_t count = hearing->feeders->len;

	if (hearing->trial || !count)
		return hearing->trial != NULL;
	return try_link(hearing, g_ptr_array_index(hearing->feeders, hearing->tries % count), false,
			now_us);
}

static void seek_feeder(void *ctx, uint64_t now_us)
{
	hearing_t *hearing = ctx;

	if (!hearing->feed)
		try_feeder(hearing, now_us);
}

/*
 * The next feeder, or the store for a while. All VMs of a region that turn to the store because one
 * of them is gone would cost more calls than the feed saved: the next feeder is asked first, unless
 * all have failed in this round, or a change may be due before one more would have failed.
 */
static void seek_other_way(hearing_t *hearing, bool pressing, uint64_t now_us)
{
	uint32_t count = hearing->feeders->len;
	bool all_failed = !count || ++hearing->tries % count == 0;

	if (!all_failed && !pressing && try_feeder(hearing, now_us))
		return;
	if (hearing_is_set(&hearing->start_timer)) {
		hearing_set_timer(hearing, &hearing->again_timer, now_us + START_AGAIN_US);
		return;
	}
	hearing_follow_store(hearing, now_us);
	if (count)
		hearing_set_timer(
			hearing, &hearing->again_timer,
			now_us + hearing_random_us(hearing, AGAIN_LEAST_US, AGAIN_MOST_US));
}

static void stop_doubting(hearing_t *hearing)
{
	hearing->doubts = false;
	hearing->looks = 0;
	hearing_cancel_timer(hearing, &hearing->look_timer);
}

static void drop_feed(hearing_t *hearing, const char *reason)
{
	hearing_cancel_timer(hearing, &hearing->stale_timer);
	stop_doubting(hearing);
	close_link(hearing, &hearing->feed, reason);
}

static void leave_feed(hearing_t *hearing, const char *reason, bool pressing, uint64_t now_us)
{
	drop_feed(hearing, reason);
	hearing_close_backup_trial(hearing, reason);
	seek_other_way(hearing, pressing, now_us);
}

/* The store turned this VM away when it was last looked at, or it would not have been fed so. */
static void lose_feed(hearing_t *hearing, const char *reason, uint64_t now_us)
{
	bool pressing = is_pressing(hearing, now_us);

	if (hearing->feed->backup)
		hearing_set_away(hearing, true);
	leave_feed(hearing, reason, pressing, now_us);
}

static void look(void *ctx, uint64_t now_us)
{
	hearing_t *hearing = ctx;

	(void)now_us;
	if (hearing->looking)
		return;
	hearing->looking = true;
	hearing->ops->look(hearing->ctx, hearing->timing.probe_us);
}

/*
 * A feeder that is cut off from the store goes on telling that nothing has changed. Its news grow
 * old meanwhile; past what they are on a sound feeder this VM turns to the store itself, and a
 * change is in force in time: at once the configuration, whatever other feeders say.
 */
static void on_stale(void *ctx, uint64_t now_us)
{
	look(ctx, now_us);
	lose_feed(ctx, "news-old", now_us);
}

static void look_later(hearing_t *hearing, uint64_t now_us)
{
	hearing_set_timer(hearing, &hearing->look_timer,
			  now_us + hearing_random_us(hearing, hearing->timing.look_least_us,
						     hearing->timing.look_most_us));
}

void hearing_looked(hearing_t *hearing, bool reached, uint64_t now_us)
{
	hearing->looking = false;
	if (!hearing->feed || (!hearing->doubts && !hearing->feed->backup))
		return;
	if (reached) {
		hearing_set_away(hearing, false);
		leave_feed(hearing, "store-reached", false, now_us);
		return;
	}
	hearing->looks++;
	look_later(hearing, now_us);
	if (!hearing_is_set(&hearing->backup_timer))
		hearing_seek_backup(hearing, now_us);
}

/* The first look comes before the news are too old: the store may have turned away only the feeder,
 * which then notices after its watch was in vain, when a change may be due in a second. */
static uint64_t first_look_us(hearing_t *hearing, uint64_t age_us)
{
	uint64_t most_us = hearing->timing.age_most_us;
	uint64_t used_us = age_us + SEEK_US;
	uint64_t left_us = most_us > used_us ? most_us - used_us : 0;

	return hearing_random_us(hearing, 0, MIN(left_us, hearing->timing.look_most_us));
}

/* Of a feeder that is relied on. */
static void doubt(hearing_t *hearing, uint64_t age_us, uint64_t now_us)
{
	if (hearing->doubts)
		return;
	hearing->doubts = true;
	hearing_set_away(hearing, true);
	hearing_set_timer(hearing, &hearing->look_timer, now_us + first_look_us(hearing, age_us));
}

static void trust(hearing_t *hearing)
{
	if (!hearing->doubts)
		return;
	stop_doubting(hearing);
	hearing_stop_seeking_backup(hearing);
	hearing_close_backup_trial(hearing, "feeder-back");
	hearing_set_away(hearing, false);
}

/* ---- trials ---- */

static bool is_whole(const hearing_t *hearing, const hearing_link_t *link)
{
	return link->listed == (1u << hearing->count) - 1;
}

static void end_trial(hearing_t *hearing, const char *reason, uint64_t now_us)
{
	bool backup = hearing->trial->backup;

	close_trial(hearing, reason);
	if (backup)
		hearing_seek_backup(hearing, now_us);
	else if (!hearing->feed)
		seek_other_way(hearing, is_pressing(hearing, now_us), now_us);
}

static void on_trial_silent(void *ctx, uint64_t now_us)
{
	end_trial(ctx, "says-nothing", now_us);
}

static void note_news(hearing_t *hearing, hearing_link_t *link)
{
	hearing->fed_heard_us = link->heard_us;
	hearing_set_timer(hearing, &hearing->stale_timer,
			  link->heard_us + feed_age_most_us(&hearing->timing, link->backup));
}

/* What is known at first hand is no longer kept up with. */
static void take_trial(hearing_t *hearing, uint64_t now_us)
{
	hearing_link_t *link = g_steal_pointer(&hearing->trial);

	hearing_cancel_timer(hearing, &hearing->trial_timer);
	hearing_cancel_timer(hearing, &hearing->start_timer);
	hearing_cancel_timer(hearing, &hearing->again_timer);
	drop_feed(hearing, "another-taken");
	hearing->feed = link;
	hearing_stop_following(hearing);
	note_news(hearing, link);
	if (link->backup)
		look_later(hearing, now_us);
	hearing->ops->taken(hearing->ctx, link);
	hearing_set_away(hearing, false);
}

static void take_if_whole(hearing_t *hearing, hearing_link_t *link, uint64_t now_us)
{
	if (link == hearing->trial && link->sure && is_whole(hearing, link))
		take_trial(hearing, now_us);
}

void hearing_link_listed(hearing_t *hearing, hearing_link_t *link, uint32_t kind, uint64_t now_us)
{
	link->listed |= 1u << kind;
	take_if_whole(hearing, link, now_us);
}

static void judge_trial(hearing_t *hearing, hearing_link_t *link, const hearing_news_t *news,
			uint64_t now_us)
{
	hearing_cancel_timer(hearing, &hearing->trial_timer);
	if (feed_judge(&hearing->timing, link->backup, false, news->away, news->age_us) ==
	    FEED_KEEP) {
		link->sure = true;
		take_if_whole(hearing, link, now_us);
		return;
	}
	if (link->backup && *news->from) {
		g_free(hearing->named);
		hearing->named = g_strdup(news->from);
	}
	end_trial(hearing, news->away ? "store-away" : "news-old", now_us);
}

static void judge_feed(hearing_t *hearing, hearing_link_t *link, const hearing_news_t *news,
		       uint64_t now_us)
{
	feed_verdict_t verdict =
		feed_judge(&hearing->timing, link->backup, true, news->away, news->age_us);

	if (verdict == FEED_LEAVE) {
		lose_feed(hearing, news->away ? "store-away" : "news-old", now_us);
		return;
	}
	note_news(hearing, link);
	if (verdict == FEED_KEEP) {
		trust(hearing);
		return;
	}
	hearing_cancel_timer(hearing, &hearing->stale_timer);
	doubt(hearing, news->age_us, now_us);
}

void hearing_link_news(hearing_t *hearing, hearing_link_t *link, const hearing_news_t *news,
		       uint64_t now_us)
{
	link->heard_us = now_us > news->age_us ? now_us - news->age_us : 0;
	if (link == hearing->trial)
		judge_trial(hearing, link, news, now_us);
	else
		judge_feed(hearing, link, news, now_us);
}

void hearing_link_ended(hearing_t *hearing, hearing_link_t *link, const char *reason,
			uint64_t now_us)
{
	if (link == hearing->trial)
		end_trial(hearing, reason, now_us);
	else
		lose_feed(hearing, reason, now_us);
}

/* ---- interface ---- */

static void set_names(GPtrArray *names, const GPtrArray *vms)
{
	g_ptr_array_set_size(names, 0);
	for (guint i = 0; i < vms->len; i++)
		g_ptr_array_add(names, g_strdup(((const vm_t *)g_ptr_array_index(vms, i))->name));
}

void hearing_set_vms(hearing_t *hearing, const GPtrArray *feeders, const GPtrArray *backups,
		     bool feeds, uint64_t now_us)
{
	hearing->feeds = feeds;
	set_names(hearing->feeders, feeders);
	set_names(hearing->backups, backups);
	if (!feeders->len) {
		hearing_cancel_timer(hearing, &hearing->again_timer);
		if (hearing->trial && !hearing->trial->backup)
			close_trial(hearing, "chosen-to-watch");
		if (hearing->feed && !hearing->feed->backup)
			drop_feed(hearing, "chosen-to-watch");
	} else if (!hearing_is_set(&hearing->again_timer)) {
		seek_feeder(hearing, now_us);
	}
	if (!hearing->feed && (!hearing->trial || hearing->trial->backup))
		hearing_follow_store(hearing, now_us);
}

void hearing_refresh(hearing_t *hearing, uint64_t now_us)
{
	if (hearing->feed) {
		leave_feed(hearing, "refresh", false, now_us);
		return;
	}
	if (hearing->trial)
		close_trial(hearing, "refresh");
	hearing->follows = false;
	hearing_follow_store(hearing, now_us);
}

void hearing_start(hearing_t *hearing, uint64_t now_us)
{
	hearing_set_timer(hearing, &hearing->start_timer, now_us + START_MOST_US);
}

static void on_start_over(void *ctx, uint64_t now_us)
{
	hearing_follow_store(ctx, now_us);
}

void hearing_links_init(hearing_t *hearing)
{
	hearing->start_timer = (timer_entry_t){.fire = on_start_over, .ctx = hearing};
	hearing->again_timer = (timer_entry_t){.fire = seek_feeder, .ctx = hearing};
	hearing->stale_timer = (timer_entry_t){.fire = on_stale, .ctx = hearing};
	hearing->trial_timer = (timer_entry_t){.fire = on_trial_silent, .ctx = hearing};
	hearing->look_timer = (timer_entry_t){.fire = look, .ctx = hearing};
	hearing->backup_timer = (timer_entry_t){.fire = on_backup_due, .ctx = hearing};
}

void hearing_close_links(hearing_t *hearing)
{
	close_trial(hearing, "end");
	close_link(hearing, &hearing->feed, "end");
}
