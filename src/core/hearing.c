/**
 * @file hearing.c
 * See hearing.h.
 */
#include "core/hearing_private.h"

/* A watch answers at once that nothing has changed. */
#define PROBE_WAIT_MS 1
#define RETRY_FIRST_US (FEED_RETRY_FIRST_MS * 1000)
#define ANSWER_US (FEED_ANSWER_MS * 1000)

uint64_t hearing_random_us(hearing_t *hearing, uint64_t least_us, uint64_t most_us)
{
	return (uint64_t)g_rand_int_range(hearing->rand, (gint32)least_us, (gint32)most_us + 1);
}

void hearing_set_timer(hearing_t *hearing, timer_entry_t *timer, uint64_t at_us)
{
	timers_set(&hearing->timers, timer, at_us);
}

void hearing_cancel_timer(hearing_t *hearing, timer_entry_t *timer)
{
	timers_cancel(&hearing->timers, timer);
}

bool hearing_is_set(const timer_entry_t *timer)
{
	return timer->heap_position != 0;
}

void hearing_set_away(hearing_t *hearing, bool away)
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
	if (hearing->probing && !hearing_is_set(&hearing->backup_timer))
		hearing_set_timer(hearing, &hearing->backup_timer, now_us + ANSWER_US);
	hearing->ops->ask(hearing->ctx, kind->number, &call);
}

static void drop_call(kind_t *kind)
{
	hearing_cancel_timer(kind->hearing, &kind->next);
	if (kind->out)
		kind->hearing->ops->cancel(kind->hearing->ctx, kind->number);
	kind->out = false;
}

static void ask_after(kind_t *kind, uint64_t delay_us, uint64_t now_us)
{
	drop_call(kind);
	hearing_set_timer(kind->hearing, &kind->next, now_us + delay_us);
}

static void list_after(kind_t *kind, uint64_t delay_us, uint64_t now_us)
{
	kind->hearing->ops->list_anew(kind->hearing->ctx, kind->number);
	ask_after(kind, delay_us, now_us);
}

static void stop_probing(hearing_t *hearing)
{
	hearing->failing = hearing->silent = hearing->probing = false;
	hearing_stop_seeking_backup(hearing);
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
		hearing_close_backup_trial(hearing, "store-back");
	}
	hearing_set_away(hearing, false);
}

static uint64_t retry_us(hearing_t *hearing, uint32_t failures)
{
	uint64_t most_us = RETRY_FIRST_US << MIN(failures - 1, 8);

	most_us = MIN(most_us, hearing->timing.retry_most_us);
	return hearing_random_us(hearing, most_us / 2, most_us);
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
		hearing_set_timer(hearing, &kind->next, now_us + retry_us(hearing, kind->failures));
	} else {
		kind->parked = true;
		probe_soon(hearing, now_us);
	}
	if (kind->setting.often)
		hearing_set_away(hearing, true);
}

/* What was announced. */
static void read_again(hearing_t *hearing, kind_t *kind, uint64_t now_us)
{
	hearing_set_timer(hearing, &kind->next, now_us + retry_us(hearing, kind->failures));
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
		hearing_set_timer(hearing, &kind->next,
				  now_us + (end == HEARING_CHANGED ? kind->setting.group_us : 0));
}

void hearing_follow_store(hearing_t *hearing, uint64_t now_us)
{
	hearing_cancel_timer(hearing, &hearing->start_timer);
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
void hearing_stop_following(hearing_t *hearing)
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
	list_after(kind, hearing_random_us(hearing, 0, RETRY_FIRST_US), now_us);
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
			list_after(kind, hearing_random_us(hearing, 0, RETRY_FIRST_US), now_us);
	}
}

/* ---- interface ---- */

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
		hearing_set_away(hearing, !answered);
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
	hearing_links_init(hearing);
	return hearing;
}

void hearing_free(hearing_t *hearing)
{
	hearing_close_links(hearing);
	timers_clear(&hearing->timers);
	g_ptr_array_unref(hearing->feeders);
	g_ptr_array_unref(hearing->backups);
	g_free(hearing->named);
	g_free(hearing->kinds);
	g_rand_free(hearing->rand);
	g_free(hearing);
}
