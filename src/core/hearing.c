/**
 * @file hearing.c
 * See hearing.h.
 */
#include "core/hearing.h"

#include "core/follow.h"
#include "core/timers.h"

#include <string.h>

/* After all feeders failed the store is watched for a while; random, so that VMs do not all move.
 */
#define AGAIN_LEAST_US 3000000
#define AGAIN_MOST_US 6000000
/* A VM that starts first learns whom it may hear the store from: a read of the list of VMs, then a
 * connection within the region, a few ms each, or 0.7 s among the first of many VMs. Past this it
 * watches the store itself all the same. */
#define START_MOST_US 1200000
/* Until then, VMs that start together with this one may not listen yet: asked again so soon. */
#define START_AGAIN_US 100000
/* To ask the other feeders whether they hear the store: each says so within its news' period. */
#define SEEK_US 1000000
/* A watch answers at once that nothing has changed. */
#define PROBE_WAIT_MS 1
/* Backups asked one after the other; then a pause, since all VMs ask when the store is away for
 * all.
 */
#define BACKUPS_IN_A_ROW 3
#define BACKUP_PAUSE_US 1500000

/* Timers fire so late at the most. */
#define LATE_US 50000

#define RETRY_FIRST_US (FEED_RETRY_FIRST_MS * 1000)
#define ANSWER_US (FEED_ANSWER_MS * 1000)
#define TRIAL_US (FEED_TRIAL_MS * 1000)

/** One kind of objects being followed. */
typedef struct kind_t {
	hearing_t *hearing;
	uint32_t number;
	hearing_kind_t setting;
	follow_t follow;
	bool out;	   /* a call is */
	bool out_long;	   /* it is a watch that waits for a change */
	bool known;	   /* the list was read since this VM follows the store */
	bool parked;	   /* to be asked for once the store answers */
	uint32_t failures; /* in a row */
	uint64_t heard_us; /* when the store last answered for it */
	timer_entry_t next;
} kind_t;

struct hearing_t {
	feed_timing_t timing;
	const hearing_ops_t *ops;
	void *ctx;
	GRand *rand;
	timers_t timers;
	kind_t *kinds;
	uint32_t count;
	kind_t *probed;
	GPtrArray *feeders;	   /* names */
	GPtrArray *backups;	   /* names */
	uint32_t tries;		   /* feeders tried so far */
	hearing_link_t *feed;	   /* relied on; NULL: none is */
	hearing_link_t *trial;	   /* not yet; NULL: none is tried */
	bool feeds;		   /* others are to hear the store from this VM */
	bool follows;		   /* watches the store itself */
	bool failing;		   /* the store did not answer the last call */
	bool silent;		   /* a call since then had no answer at all */
	bool probing;		   /* only the probed kind is asked for */
	bool away;		   /* the store can't be heard */
	bool doubts;		   /* the feeder can't hear it */
	bool looking;		   /* a look is out */
	uint32_t looks;		   /* in vain, in a row */
	uint64_t fed_heard_us;	   /* when a feeder last heard the store, by its word */
	char *named;		   /* a VM that a backup says it hears the store from; NULL: none */
	uint32_t backups_tried;	   /* in all */
	uint32_t backups_row;	   /* without a pause */
	timer_entry_t start_timer; /* the store is watched if no feed is taken until then */
	timer_entry_t again_timer; /* the next feeder is tried */
	timer_entry_t stale_timer; /* the feed's news are too old */
	timer_entry_t trial_timer; /* the trial has not said anything */
	timer_entry_t look_timer;  /* the next look */
	timer_entry_t backup_timer; /* the next backup is tried */
};

static uint64_t random_us(hearing_t *hearing, uint64_t least_us, uint64_t most_us)
{
	return (uint64_t)g_rand_int_range(hearing->rand, (gint32)least_us, (gint32)most_us + 1);
}

static void set(hearing_t *hearing, timer_entry_t *timer, uint64_t at_us)
{
	timers_set(&hearing->timers, timer, at_us);
}

static void cancel(hearing_t *hearing, timer_entry_t *timer)
{
	timers_cancel(&hearing->timers, timer);
}

static bool is_set(const timer_entry_t *timer)
{
	return timer->place != 0;
}

static void set_away(hearing_t *hearing, bool away)
{
	if (hearing->away == away)
		return;
	hearing->away = away;
	if (away)
		hearing->ops->lost(hearing->ctx);
	else
		hearing->ops->back(hearing->ctx);
}

/* ---- the store ---- */

/* While the store does not answer, a call that it swallows is waited for only as long as an answer
 * may take: a watch that was sent just before its return would hide it for all its time. */
static void ask(void *ctx, uint64_t now_us)
{
	kind_t *kind = ctx;
	hearing_t *hearing = kind->hearing;
	const feed_timing_t *timing = &hearing->timing;
	bool list = kind->follow.lists, brief = list || hearing->failing || kind->failures;
	hearing_call_t call = {.list = list, .timeout_us = timing->probe_us};

	if (!brief)
		call.timeout_us = (kind->setting.wait_ms + FEED_WATCH_SLACK_MS) * 1000ull;
	call.wait_ms = brief ? PROBE_WAIT_MS : kind->setting.wait_ms;
	kind->out = true;
	kind->out_long = !brief;
	if (hearing->probing && !is_set(&hearing->backup_timer))
		set(hearing, &hearing->backup_timer, now_us + ANSWER_US);
	hearing->ops->ask(hearing->ctx, kind->number, &call);
}

static void drop_call(kind_t *kind)
{
	cancel(kind->hearing, &kind->next);
	if (kind->out)
		kind->hearing->ops->cancel(kind->hearing->ctx, kind->number);
	kind->out = false;
}

static void ask_after(kind_t *kind, uint64_t delay_us, uint64_t now_us)
{
	drop_call(kind);
	set(kind->hearing, &kind->next, now_us + delay_us);
}

static void list_after(kind_t *kind, uint64_t delay_us, uint64_t now_us)
{
	kind->hearing->ops->list_anew(kind->hearing->ctx, kind->number);
	ask_after(kind, delay_us, now_us);
}

static void stop_seeking_backup(hearing_t *hearing)
{
	hearing->backups_row = 0;
	cancel(hearing, &hearing->backup_timer);
}

static void stop_probing(hearing_t *hearing)
{
	hearing->failing = hearing->silent = hearing->probing = false;
	stop_seeking_backup(hearing);
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
	cancel(hearing, &hearing->trial_timer);
	close_link(hearing, &hearing->trial, reason);
}

static void close_backup_trial(hearing_t *hearing, const char *reason)
{
	if (hearing->trial && hearing->trial->backup)
		close_trial(hearing, reason);
}

/* What the store swallowed while it was silent is asked for once more, and all that was put off. A
 * watch that waits for long may have lost its connection while no other call was out to show it. */
static void resume_others(hearing_t *hearing, const kind_t *heard, uint64_t now_us)
{
	for (uint32_t i = 0; i < hearing->count; i++) {
		kind_t *kind = &hearing->kinds[i];
		bool doubtful = kind->out && (hearing->silent || !kind->setting.often);

		if (kind->parked || (doubtful && kind != heard))
			ask_after(kind, 0, now_us);
		kind->parked = false;
		kind->failures = 0;
	}
}

static void note_heard(hearing_t *hearing, const kind_t *kind, uint64_t now_us)
{
	if (hearing->failing) {
		resume_others(hearing, kind, now_us);
		stop_probing(hearing);
		close_backup_trial(hearing, "store-back");
	}
	set_away(hearing, false);
}

static uint64_t retry_us(hearing_t *hearing, uint32_t failures)
{
	uint64_t most_us = RETRY_FIRST_US << MIN(failures - 1, 8);

	most_us = MIN(most_us, hearing->timing.retry_most_us);
	return random_us(hearing, most_us / 2, most_us);
}

/* The probed kind is asked for next, soon and briefly; the others wait for that. */
static void probe_soon(hearing_t *hearing, uint64_t now_us)
{
	kind_t *probed = hearing->probed;
	bool under_way = hearing->probing || (probed->out && !probed->out_long);

	hearing->probing = true;
	if (!under_way)
		ask_after(probed, retry_us(hearing, 1), now_us);
}

static void note_failed(hearing_t *hearing, kind_t *kind, bool silent, uint64_t now_us)
{
	hearing->failing = true;
	hearing->silent |= silent;
	if (kind == hearing->probed) {
		hearing->probing = true;
		set(hearing, &kind->next, now_us + retry_us(hearing, kind->failures));
	} else {
		kind->parked = true;
		probe_soon(hearing, now_us);
	}
	if (kind->setting.often)
		set_away(hearing, true);
}

/* What was announced. */
static void read_again(hearing_t *hearing, kind_t *kind, uint64_t now_us)
{
	set(hearing, &kind->next, now_us + retry_us(hearing, kind->failures));
	if (hearing->feed)
		hearing->ops->ask_link(hearing->ctx, hearing->feed, kind->number);
}

void hearing_replied(hearing_t *hearing, uint32_t number, hearing_end_t end, uint64_t now_us)
{
	kind_t *kind = &hearing->kinds[number];

	kind->out = false;
	if (end >= HEARING_REFUSED) {
		kind->failures++;
		if (hearing->follows)
			note_failed(hearing, kind, end == HEARING_SILENT, now_us);
		else
			read_again(hearing, kind, now_us);
		return;
	}
	kind->failures = 0;
	kind->heard_us = now_us;
	if (end == HEARING_LISTED) {
		follow_listed(&kind->follow);
		kind->known = hearing->follows;
	}
	if (end == HEARING_GONE) {
		follow_again(&kind->follow);
		hearing->ops->list_anew(hearing->ctx, number);
	}
	if (hearing->follows)
		note_heard(hearing, kind, now_us);
	if (follow_next(&kind->follow) != FOLLOW_NOTHING)
		set(hearing, &kind->next,
		    now_us + (end == HEARING_CHANGED ? kind->setting.group_us : 0));
}

static void follow_store(void *ctx, uint64_t now_us)
{
	hearing_t *hearing = ctx;

	cancel(hearing, &hearing->start_timer);
	if (hearing->follows)
		return;
	hearing->follows = true;
	hearing->failing = hearing->probing = hearing->away;
	for (uint32_t i = 0; i < hearing->count; i++) {
		kind_t *kind = &hearing->kinds[i];

		follow_start(&kind->follow);
		kind->failures = 0;
		kind->parked = hearing->away && kind != hearing->probed;
		if (kind->parked)
			drop_call(kind);
		else
			list_after(kind, hearing->away ? retry_us(hearing, 1) : 0, now_us);
	}
}

/* What was announced is still read. */
static void stop_following(hearing_t *hearing)
{
	hearing->follows = false;
	stop_probing(hearing);
	for (uint32_t i = 0; i < hearing->count; i++) {
		kind_t *kind = &hearing->kinds[i];

		follow_stop(&kind->follow);
		kind->known = false;
		kind->parked = false;
		kind->failures = 0;
		if (follow_next(&kind->follow) == FOLLOW_NOTHING)
			drop_call(kind);
	}
}

void hearing_announced(hearing_t *hearing, uint32_t number, uint64_t now_us)
{
	kind_t *kind = &hearing->kinds[number];

	/* Not at once: many VMs are told in the same moment. */
	follow_announced(&kind->follow);
	list_after(kind, random_us(hearing, 0, RETRY_FIRST_US), now_us);
}

void hearing_told(hearing_t *hearing, uint32_t number)
{
	kind_t *kind = &hearing->kinds[number];

	if (hearing->follows || !kind->follow.owed)
		return;
	follow_listed(&kind->follow);
	kind->failures = 0;
	drop_call(kind);
}

void hearing_catch_up(hearing_t *hearing, uint32_t number, uint64_t now_us)
{
	kind_t *kind = &hearing->kinds[number];

	if (kind->follow.owed)
		return;
	follow_announced(&kind->follow);
	list_after(kind, 0, now_us);
}

/*
 * The reply to a watch from a revision that was given out before is no 410 once the store has given
 * it out again: it tells what came after, and nothing of what came in place of the changes that are
 * known. Not all at once: many VMs learn of it from the same reply's moment.
 */
void hearing_restored(hearing_t *hearing, uint64_t now_us)
{
	for (uint32_t i = 0; i < hearing->count; i++) {
		kind_t *kind = &hearing->kinds[i];

		if (follow_next(&kind->follow) == FOLLOW_NOTHING)
			continue;
		follow_again(&kind->follow);
		if (kind->parked)
			hearing->ops->list_anew(hearing->ctx, i);
		else
			list_after(kind, random_us(hearing, 0, RETRY_FIRST_US), now_us);
	}
}

/* ---- links to other VMs ---- */

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
	if (!is_set(&hearing->start_timer))
		set(hearing, &hearing->trial_timer, now_us + TRIAL_US);
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
	set(hearing, &hearing->backup_timer,
	    now_us + random_us(hearing, BACKUP_PAUSE_US / 2, BACKUP_PAUSE_US));
}

static void seek_backup(hearing_t *hearing, uint64_t now_us)
{
	g_autofree char *vm = NULL;

	if (hearing->trial || !needs_backup(hearing) || !hearing->backups->len)
		return;
	if (hearing->backups_row >= BACKUPS_IN_A_ROW) {
		pause_backups(hearing, now_us);
		return;
	}
	hearing->backups_row++;
	cancel(hearing, &hearing->backup_timer);
	vm = next_backup(hearing);
	if (!vm || !try_link(hearing, vm, true, now_us))
		pause_backups(hearing, now_us);
}

static void on_backup_due(void *ctx, uint64_t now_us)
{
	seek_backup(ctx, now_us);
}

/* ---- feeders ---- */

/* What is known would be too old before another feeder had failed and the store had answered. */
static bool is_pressing(const hearing_t *hearing, uint64_t now_us)
{
	return !is_set(&hearing->start_timer) &&
	       hearing_age_us(hearing, now_us) > hearing->timing.age_most_us + LATE_US;
}

/* All VMs of a region that turn to the store because one of them is gone would cost more calls than
 * the feed saved: the next feeder is asked first, unless all have failed in this round. */
static bool try_feeder(hearing_t *hearing, bool first, uint64_t now_us)
{
	uint32_t count = hearing->feeders->len;

	if (hearing->trial || !count)
		return hearing->trial != NULL;
	if (!first && (hearing->tries % count == 0 || is_pressing(hearing, now_us)))
		return false;
	return try_link(hearing, g_ptr_array_index(hearing->feeders, hearing->tries % count), false,
			now_us);
}

static void seek_feeder(void *ctx, uint64_t now_us)
{
	hearing_t *hearing = ctx;

	if (!hearing->feed)
		try_feeder(hearing, true, now_us);
}

/* The next feeder, or the store for a while. */
static void seek_other_way(hearing_t *hearing, uint64_t now_us)
{
	hearing->tries++;
	if (try_feeder(hearing, false, now_us))
		return;
	if (is_set(&hearing->start_timer)) {
		set(hearing, &hearing->again_timer, now_us + START_AGAIN_US);
		return;
	}
	follow_store(hearing, now_us);
	if (hearing->feeders->len)
		set(hearing, &hearing->again_timer,
		    now_us + random_us(hearing, AGAIN_LEAST_US, AGAIN_MOST_US));
}

static void stop_doubting(hearing_t *hearing)
{
	hearing->doubts = false;
	hearing->looks = 0;
	cancel(hearing, &hearing->look_timer);
}

static void drop_feed(hearing_t *hearing, const char *reason)
{
	cancel(hearing, &hearing->stale_timer);
	stop_doubting(hearing);
	close_link(hearing, &hearing->feed, reason);
}

static void leave_feed(hearing_t *hearing, const char *reason, uint64_t now_us)
{
	bool backup = hearing->feed->backup;

	drop_feed(hearing, reason);
	close_backup_trial(hearing, reason);
	if (backup && !hearing->feeders->len)
		follow_store(hearing, now_us);
	else
		seek_other_way(hearing, now_us);
}

/* The store turned this VM away when it was last looked at, or it would not have been fed so. */
static void lose_feed(hearing_t *hearing, const char *reason, uint64_t now_us)
{
	if (hearing->feed->backup)
		set_away(hearing, true);
	leave_feed(hearing, reason, now_us);
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
	set(hearing, &hearing->look_timer,
	    now_us + random_us(hearing, hearing->timing.look_least_us,
			       hearing->timing.look_most_us));
}

void hearing_looked(hearing_t *hearing, bool reached, uint64_t now_us)
{
	hearing->looking = false;
	if (!hearing->feed || (!hearing->doubts && !hearing->feed->backup))
		return;
	if (reached) {
		set_away(hearing, false);
		leave_feed(hearing, "store-reached", now_us);
		return;
	}
	hearing->looks++;
	look_later(hearing, now_us);
	if (!is_set(&hearing->backup_timer))
		seek_backup(hearing, now_us);
}

/* The first look comes before the news are too old: the store may have turned away only the feeder,
 * which then notices after its watch was in vain, when a change may be due in a second. */
static uint64_t first_look_us(hearing_t *hearing, uint64_t age_us)
{
	uint64_t most_us = hearing->timing.age_most_us;
	uint64_t used_us = age_us + SEEK_US;
	uint64_t left_us = most_us > used_us ? most_us - used_us : 0;

	return random_us(hearing, 0, MIN(left_us, hearing->timing.look_most_us));
}

/* Of a feeder that is relied on. */
static void doubt(hearing_t *hearing, uint64_t age_us, uint64_t now_us)
{
	if (hearing->doubts)
		return;
	hearing->doubts = true;
	set_away(hearing, true);
	set(hearing, &hearing->look_timer, now_us + first_look_us(hearing, age_us));
}

static void trust(hearing_t *hearing)
{
	if (!hearing->doubts)
		return;
	stop_doubting(hearing);
	stop_seeking_backup(hearing);
	close_backup_trial(hearing, "feeder-back");
	set_away(hearing, false);
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
		seek_backup(hearing, now_us);
	else if (!hearing->feed)
		seek_other_way(hearing, now_us);
}

static void on_trial_silent(void *ctx, uint64_t now_us)
{
	end_trial(ctx, "says-nothing", now_us);
}

static void note_news(hearing_t *hearing, hearing_link_t *link)
{
	hearing->fed_heard_us = link->heard_us;
	set(hearing, &hearing->stale_timer,
	    link->heard_us + feed_age_most_us(&hearing->timing, link->backup));
}

/* What is known at first hand is no longer kept up with. */
static void take_trial(hearing_t *hearing, uint64_t now_us)
{
	hearing_link_t *link = g_steal_pointer(&hearing->trial);

	cancel(hearing, &hearing->trial_timer);
	cancel(hearing, &hearing->start_timer);
	cancel(hearing, &hearing->again_timer);
	drop_feed(hearing, "another-taken");
	hearing->feed = link;
	stop_following(hearing);
	note_news(hearing, link);
	if (link->backup)
		look_later(hearing, now_us);
	hearing->ops->taken(hearing->ctx, link);
	set_away(hearing, false);
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
	cancel(hearing, &hearing->trial_timer);
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
	cancel(hearing, &hearing->stale_timer);
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
		cancel(hearing, &hearing->again_timer);
		if (hearing->trial && !hearing->trial->backup)
			close_trial(hearing, "chosen-to-watch");
		if (hearing->feed && !hearing->feed->backup)
			drop_feed(hearing, "chosen-to-watch");
	} else if (!is_set(&hearing->again_timer)) {
		seek_feeder(hearing, now_us);
	}
	if (!hearing->feed && (!hearing->trial || hearing->trial->backup))
		follow_store(hearing, now_us);
}

void hearing_set_wait(hearing_t *hearing, uint32_t kind, uint32_t wait_ms)
{
	hearing->kinds[kind].setting.wait_ms = wait_ms;
}

/* Before anything is followed or fed, this is all that is known of the store. A VM that starts
 * while the store is away tries it seldom, and must not wait for the next try once it is back. */
void hearing_answered(hearing_t *hearing, bool answered, uint64_t now_us)
{
	if (hearing->follows && answered && hearing->probing && !hearing->probed->out)
		ask_after(hearing->probed, 0, now_us);
	else if (!hearing->follows && !hearing->feed)
		set_away(hearing, !answered);
}

void hearing_start(hearing_t *hearing, uint64_t now_us)
{
	set(hearing, &hearing->start_timer, now_us + START_MOST_US);
}

void hearing_refresh(hearing_t *hearing, uint64_t now_us)
{
	if (hearing->feed) {
		leave_feed(hearing, "refresh", now_us);
		return;
	}
	if (hearing->trial)
		close_trial(hearing, "refresh");
	hearing->follows = false;
	follow_store(hearing, now_us);
}

uint64_t hearing_next_us(const hearing_t *hearing)
{
	return timers_next_us(&hearing->timers);
}

void hearing_run(hearing_t *hearing, uint64_t now_us)
{
	timers_run(&hearing->timers, now_us);
}

bool hearing_is_known(const hearing_t *hearing)
{
	for (uint32_t i = 0; i < hearing->count; i++)
		if (!hearing->kinds[i].known)
			return hearing->feed != NULL;
	return true;
}

/*
 * A feeder whose news would be left for their age can't be relied on, and says so: then its
 * subscribers look for themselves, and stay. After an outage it hears one kind of objects again
 * before the other; saying that it heard the store, with the age of the other, made all subscribers
 * leave it in the moment of the store's return. One that is fed says by whom: what is told at third
 * hand could be told in a circle.
 */
hearing_news_t hearing_news(const hearing_t *hearing, uint64_t now_us)
{
	uint64_t age_us = hearing_age_us(hearing, now_us);
	bool old = age_us > feed_age_most_us(&hearing->timing, !hearing->feeds);
	bool fed = hearing->feed && !hearing->away;

	return (hearing_news_t){.away = hearing->feed || hearing->away || old ||
					!hearing_is_known(hearing),
				.age_us = age_us,
				.from = fed ? hearing->feed->vm : ""};
}

bool hearing_follows(const hearing_t *hearing)
{
	return hearing->follows;
}

bool hearing_is_away(const hearing_t *hearing)
{
	return hearing->away;
}

const hearing_link_t *hearing_feed(const hearing_t *hearing)
{
	return hearing->feed;
}

uint64_t hearing_kind_age_us(const hearing_t *hearing, uint32_t kind, uint64_t now_us)
{
	return now_us - hearing->kinds[kind].heard_us;
}

/* A feed that was just left still tells how old what is known is. */
uint64_t hearing_age_us(const hearing_t *hearing, uint64_t now_us)
{
	uint64_t oldest_us = now_us;

	if (hearing->feed)
		return now_us - hearing->fed_heard_us;
	for (uint32_t i = 0; i < hearing->count; i++)
		if (hearing->kinds[i].setting.often)
			oldest_us = MIN(oldest_us, hearing->kinds[i].heard_us);
	return now_us - MAX(oldest_us, hearing->fed_heard_us);
}

hearing_t *hearing_new(const feed_timing_t *timing, const hearing_kind_t *kinds, uint32_t count,
		       uint32_t probed, const hearing_ops_t *ops, void *ctx, uint32_t seed)
{
	hearing_t *hearing = g_new0(hearing_t, 1);

	hearing->timing = *timing;
	hearing->ops = ops;
	hearing->ctx = ctx;
	hearing->rand = g_rand_new_with_seed(seed);
	timers_init(&hearing->timers);
	hearing->kinds = g_new0(kind_t, count);
	hearing->count = count;
	hearing->probed = &hearing->kinds[probed];
	hearing->feeders = g_ptr_array_new_with_free_func(g_free);
	hearing->backups = g_ptr_array_new_with_free_func(g_free);
	for (uint32_t i = 0; i < count; i++)
		hearing->kinds[i] = (kind_t){.hearing = hearing,
					     .number = i,
					     .setting = kinds[i],
					     .next = {.fire = ask, .ctx = &hearing->kinds[i]}};
	hearing->start_timer = (timer_entry_t){.fire = follow_store, .ctx = hearing};
	hearing->again_timer = (timer_entry_t){.fire = seek_feeder, .ctx = hearing};
	hearing->stale_timer = (timer_entry_t){.fire = on_stale, .ctx = hearing};
	hearing->trial_timer = (timer_entry_t){.fire = on_trial_silent, .ctx = hearing};
	hearing->look_timer = (timer_entry_t){.fire = look, .ctx = hearing};
	hearing->backup_timer = (timer_entry_t){.fire = on_backup_due, .ctx = hearing};
	return hearing;
}

void hearing_free(hearing_t *hearing)
{
	close_trial(hearing, "end");
	close_link(hearing, &hearing->feed, "end");
	timers_clear(&hearing->timers);
	g_ptr_array_unref(hearing->feeders);
	g_ptr_array_unref(hearing->backups);
	g_free(hearing->named);
	g_free(hearing->kinds);
	g_rand_free(hearing->rand);
	g_free(hearing);
}
