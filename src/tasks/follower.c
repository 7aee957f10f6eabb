/**
 * @file follower.c
 * See follower.h.
 */
#include "tasks/follower.h"

struct follower_t {
	platform_task_t *platform;
	store_kind_t kind;
	const follower_ops_t *ops;
	void *ctx;
	char *after;	       /* the list's last name so far; NULL at its start */
	uint64_t since;	       /* revision up to which everything is known */
	uint64_t asked_us;     /* when the call that is out was sent */
	struct fetch_t *fetch; /* the call that is out; NULL: none */
};

/** A call; its reply counts while it is its follower's. */
typedef struct fetch_t {
	follower_t *follower;
	bool lists;
} fetch_t;

/*
 * Whatever is under way is ignored. After the VM stood still, the reply to its old watch is read
 * before anything new is asked; taken for a page of the list it would drop every searcher, and
 * every request would be refused until searchers change.
 */
void follower_list_anew(follower_t *follower)
{
	follower_cancel(follower);
	g_clear_pointer(&follower->after, g_free);
}

static void give_objects(follower_t *follower, const store_page_t *page)
{
	for (guint i = 0; i < page->objects->len; i++)
		follower->ops->object(follower->ctx,
				      &g_array_index(page->objects, store_object_t, i));
}

static store_sync_result_t take_list_page(follower_t *follower, const store_page_t *page)
{
	const store_object_t *last;

	if (!follower->after) {
		/* Changes while later pages are read come again by the watch. */
		follower->since = page->as_of;
		follower->ops->list_begin(follower->ctx);
	}
	give_objects(follower, page);
	g_clear_pointer(&follower->after, g_free);
	if (page->more && page->objects->len) {
		last = &g_array_index(page->objects, store_object_t, page->objects->len - 1);
		follower->after = g_strdup(last->name);
		return STORE_SYNC_OK;
	}
	follower->ops->list_end(follower->ctx);
	return STORE_SYNC_LISTED;
}

static store_sync_result_t take_events(follower_t *follower, const store_page_t *page)
{
	give_objects(follower, page);
	follower->since = MAX(follower->since, page->as_of);
	return page->objects->len ? STORE_SYNC_CHANGED : STORE_SYNC_OK;
}

static store_sync_result_t take_result(follower_t *follower, bool lists,
				       const platform_result_t *result)
{
	store_page_t page = {0};
	store_sync_result_t end = STORE_SYNC_FAILED;

	if (result->reach == PLATFORM_SILENT)
		return STORE_SYNC_TIMED_OUT;
	if (result->status == 410) {
		g_message("event=store-history-gone kind=%s since=%" G_GUINT64_FORMAT,
			  store_kind_name(follower->kind), follower->since);
		return STORE_SYNC_HISTORY_GONE;
	}
	if (result->status == 200 && store_read_page(result->body, &page))
		end = lists ? take_list_page(follower, &page) : take_events(follower, &page);
	store_page_clear(&page);
	return end;
}

/* What was asked while the store did not answer, when, and how it ended. */
static void log_failure(const follower_t *follower, bool lists, const platform_result_t *result)
{
	g_message("event=store-call-failed kind=%s call=%s reason=%s status=%d "
		  "took_us=%" G_GUINT64_FORMAT,
		  store_kind_name(follower->kind), lists ? "list" : "watch",
		  platform_reach_name(result->reach), result->status,
		  loop_now_us() - follower->asked_us);
}

static void on_fetched(void *ctx, const platform_result_t *result)
{
	fetch_t *fetch = ctx;
	follower_t *follower = fetch->follower;
	bool current = follower->fetch == fetch;
	bool lists = fetch->lists;
	store_sync_result_t end;

	g_free(fetch);
	if (!current)
		return;
	follower->fetch = NULL;
	end = take_result(follower, lists, result);
	if (end >= STORE_SYNC_FAILED)
		log_failure(follower, lists, result);
	follower->ops->ended(follower->ctx, end);
}

void follower_cancel(follower_t *follower)
{
	fetch_t *fetch = g_steal_pointer(&follower->fetch);

	if (fetch)
		platform_task_abandon(follower->platform, fetch);
}

void follower_ask(follower_t *follower, const store_sync_call_t *call)
{
	g_autofree char *target =
		call->list ? store_list_target(follower->kind, follower->after)
			   : store_watch_target(follower->kind, follower->since, call->wait_ms);
	fetch_t *fetch = g_new(fetch_t, 1);

	follower_cancel(follower);
	*fetch = (fetch_t){.follower = follower, .lists = call->list};
	follower->fetch = fetch;
	follower->asked_us = loop_now_us();
	platform_task_fetch(follower->platform, target, call->timeout_us, on_fetched, fetch);
}

follower_t *follower_new(platform_task_t *platform, store_kind_t kind, const follower_ops_t *ops,
			 void *ctx)
{
	follower_t *follower = g_new0(follower_t, 1);

	follower->platform = platform;
	follower->kind = kind;
	follower->ops = ops;
	follower->ctx = ctx;
	return follower;
}
