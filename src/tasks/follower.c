/**
 * @file follower.c
 * See follower.h.
 */
#include "tasks/follower.h"

#include "core/feed_timing.h"
#include "core/follow.h"

/* Changes come in groups: searchers that start, leave or lapse together. Each wake-up of a watch is
 * a priced call, so after one with changes the next waits; what happens meanwhile comes with it. A
 * change is then known within a second. */
#define GROUP_US 800000
/* Of what operators write, which changes seldom: VMs that watch the configuration should know it at
 * the same time, or callers are answered by the new and the old version by turns. */
#define OPERATOR_GROUP_US 100000
/* A slow store was seen to take 0.4 s for an answer (a hundred times its usual 4 ms). */
#define LIST_TIMEOUT_US 1500000
/* Between tries; random, so that VMs do not all come back in one moment. At the most, the news that
 * waited for the end of an outage are so much later: a change must be in force a few seconds after
 * the store has accepted it, and from a watcher to the VMs that it feeds it takes a second more. */
#define RETRY_FIRST_US 200000
#define RETRY_MOST_US 1500000

/* As if it had failed so often: the next tries are RETRY_MOST_US apart. */
#define FAILURES_AWAY 4

struct follower_t {
	loop_t *loop;
	platform_task_t *platform;
	store_kind_t kind;
	const follower_ops_t *ops;
	void *ctx;
	GRand *rand;
	loop_timer_t retry;
	char *after; /* the list's last name so far; NULL at its start */
	follow_t follow;
	bool away;	/* the last call was not answered */
	uint64_t since; /* revision up to which everything is known */
	uint64_t heard_us;
	uint64_t asked_us; /* when the call whose reply is awaited was sent */
	uint32_t failures; /* in a row */
	bool changed;	   /* the last watch brought changes */
	uint32_t serial;   /* of the call whose reply is awaited */
	uint32_t wait_ms;  /* for which a watch waits for a change */
};

typedef struct fetch_t {
	follower_t *follower;
	uint32_t serial;
} fetch_t;

static void ask(void *ctx);

static void note_answer(follower_t *follower, bool answered)
{
	if (answered)
		follower->heard_us = loop_now_us();
	if (answered == !follower->away)
		return;
	follower->away = !answered;
	g_message("event=store-%s kind=%s since=%" G_GUINT64_FORMAT, answered ? "back" : "lost",
		  store_kind_name(follower->kind), follower->since);
	if (answered)
		follower->ops->back(follower->ctx);
	else
		follower->ops->lost(follower->ctx);
}

/*
 * Whatever is under way is ignored. After the VM stood still, the reply to its old watch is read
 * before anything new is asked; taken for a page of the list it would drop every searcher, and
 * every request would be refused until searchers change.
 */
static void start_list(follower_t *follower)
{
	follower->serial++;
	g_free(follower->after);
	follower->after = NULL;
}

static void give_objects(follower_t *follower, const store_page_t *page)
{
	for (guint i = 0; i < page->objects->len; i++)
		follower->ops->object(follower->ctx,
				      &g_array_index(page->objects, store_object_t, i));
}

static void take_list_page(follower_t *follower, const store_page_t *page)
{
	const store_object_t *last;

	if (!follower->after) {
		/* Changes while later pages are read come again by the watch. */
		follower->since = page->as_of;
		follower->ops->list_begin(follower->ctx);
	}
	give_objects(follower, page);
	if (page->more && page->objects->len) {
		last = &g_array_index(page->objects, store_object_t, page->objects->len - 1);
		g_free(follower->after);
		follower->after = g_strdup(last->name);
		return;
	}
	follow_listed(&follower->follow);
	follower->ops->list_end(follower->ctx);
}

static void take_page(follower_t *follower, const store_page_t *page)
{
	if (follower->follow.lists) {
		take_list_page(follower, page);
		return;
	}
	give_objects(follower, page);
	follower->changed = page->objects->len > 0;
	follower->since = MAX(follower->since, page->as_of);
}

/* True when the reply was of use. */
static bool take_result(follower_t *follower, const platform_result_t *result)
{
	store_page_t page = {0};

	if (result->status == 410) {
		g_message("event=store-history-gone kind=%s since=%" G_GUINT64_FORMAT,
			  store_kind_name(follower->kind), follower->since);
		follow_again(&follower->follow);
		start_list(follower);
		return true;
	}
	if (result->status != 200 || !store_read_page(result->body, &page))
		return false;
	take_page(follower, &page);
	store_page_clear(&page);
	return true;
}

static uint64_t group_us(const follower_t *follower)
{
	bool by_operator =
		follower->kind == STORE_CONFIGURATION || follower->kind == STORE_EVACUATIONS;

	return by_operator ? OPERATOR_GROUP_US : GROUP_US;
}

/* Beside store-lost and store-back: what was asked in between, when, and how it ended. */
static void log_failure(const follower_t *follower, const platform_result_t *result)
{
	g_message("event=store-call-failed kind=%s call=%s reason=%s status=%d "
		  "took_us=%" G_GUINT64_FORMAT " failures=%u",
		  store_kind_name(follower->kind), follower->follow.lists ? "list" : "watch",
		  platform_reach_name(result->reach), result->status,
		  loop_now_us() - follower->asked_us, follower->failures);
}

/* After a failure, a random time that doubles up to a bound; else at once, or when the group is
 * over.
 */
static uint64_t next_delay_us(follower_t *follower, bool answered)
{
	uint64_t most_us = RETRY_FIRST_US << MIN(follower->failures, 8);

	if (answered) {
		follower->failures = 0;
		return follower->changed ? group_us(follower) : 0;
	}
	follower->failures++;
	most_us = MIN(most_us, RETRY_MOST_US);
	return (uint64_t)g_rand_int_range(follower->rand, (gint32)most_us / 2, (gint32)most_us);
}

static void on_fetched(void *ctx, const platform_result_t *result)
{
	fetch_t *fetch = ctx;
	follower_t *follower = fetch->follower;
	bool current = fetch->serial == follower->serial;
	bool answered;

	g_free(fetch);
	if (!current)
		return;
	follower->changed = false;
	answered = take_result(follower, result);
	if (!answered)
		log_failure(follower, result);
	note_answer(follower, answered);
	if (follow_next(&follower->follow) == FOLLOW_NOTHING)
		return;
	loop_timer_set(follower->loop, &follower->retry, next_delay_us(follower, answered));
}

static void ask(void *ctx)
{
	follower_t *follower = ctx;
	bool lists = follower->follow.lists;
	g_autofree char *target =
		lists ? store_list_target(follower->kind, follower->after)
		      : store_watch_target(follower->kind, follower->since, follower->wait_ms);
	fetch_t *fetch = g_new(fetch_t, 1);

	follower->asked_us = loop_now_us();
	*fetch = (fetch_t){.follower = follower, .serial = ++follower->serial};
	platform_task_fetch(follower->platform, target,
			    lists ? LIST_TIMEOUT_US
				  : (follower->wait_ms + FEED_WATCH_SLACK_MS) * 1000ull,
			    on_fetched, fetch);
}

follower_t *follower_new(loop_t *loop, platform_task_t *platform, store_kind_t kind,
			 const follower_ops_t *ops, void *ctx)
{
	follower_t *follower = g_new0(follower_t, 1);

	follower->loop = loop;
	follower->platform = platform;
	follower->kind = kind;
	follower->ops = ops;
	follower->ctx = ctx;
	follower->rand = g_rand_new();
	follower->retry = (loop_timer_t){.fire = ask, .ctx = follower};
	return follower;
}

void follower_set_wait(follower_t *follower, uint32_t wait_ms)
{
	follower->wait_ms = wait_ms;
}

void follower_refresh(follower_t *follower, bool away)
{
	follow_start(&follower->follow);
	start_list(follower);
	if (away)
		follower->failures = FAILURES_AWAY;
	loop_timer_set(follower->loop, &follower->retry, away ? next_delay_us(follower, false) : 0);
}

/* Not at once: many VMs are told in the same moment. */
void follower_read_once(follower_t *follower)
{
	follow_announced(&follower->follow);
	start_list(follower);
	loop_timer_set(follower->loop, &follower->retry,
		       (uint64_t)g_rand_int_range(follower->rand, 0, RETRY_FIRST_US));
}

/* What is under way may end before the change; then this is called again. */
void follower_catch_up(follower_t *follower)
{
	if (follower->follow.owed)
		return;
	follow_announced(&follower->follow);
	start_list(follower);
	loop_timer_set(follower->loop, &follower->retry, 0);
}

/*
 * The reply to a watch from a revision that was given out before is no 410 once the store has given
 * it out again: it tells what came after, and nothing of what came in place of the changes that are
 * known. Not all at once: many VMs learn of it from the same reply's moment.
 */
void follower_restored(follower_t *follower)
{
	if (follow_next(&follower->follow) == FOLLOW_NOTHING)
		return;
	follow_again(&follower->follow);
	start_list(follower);
	loop_timer_set(follower->loop, &follower->retry,
		       (uint64_t)g_rand_int_range(follower->rand, 0, RETRY_FIRST_US));
}

void follower_pause(follower_t *follower)
{
	follow_stop(&follower->follow);
	if (follow_next(&follower->follow) != FOLLOW_NOTHING)
		return;
	follower->serial++;
	loop_timer_cancel(&follower->retry);
}

uint64_t follower_heard_us(const follower_t *follower)
{
	return follower->heard_us;
}
