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
	char *after;	       /* last name of the list's pages read so far; NULL at its start */
	uint64_t since;	       /* revision up to which all changes are known */
	uint64_t sent_us;      /* when the outstanding call was sent */
	struct fetch_t *fetch; /* the outstanding call; NULL: none */
};

/** A call; its reply is ignored unless it is still its follower's outstanding call. */
typedef struct fetch_t {
	follower_t *follower;
	bool is_list; /* a list call; else a watch */
} fetch_t;

/*
 * The outstanding call is cancelled because its reply must be ignored. After the VM was suspended,
 * the reply to its old watch is read before a new call is sent. If it were taken for a page of the
 * list, every searcher would be removed, and every request refused until searchers change.
 */
void follower_restart_list(follower_t *follower)
{
	follower_cancel(follower);
	g_clear_pointer(&follower->after, g_free);
}

static void pass_objects(follower_t *follower, const store_page_t *page)
{
	for (guint i = 0; i < page->objects->len; i++)
		follower->ops->object(follower->ctx,
				      &g_array_index(page->objects, store_object_t, i));
}

static store_sync_result_t apply_list_page(follower_t *follower, const store_page_t *page)
{
	const store_object_t *last;

	if (!follower->after) {
		/* The watch repeats changes that happen while later pages are read. */
		follower->since = page->as_of;
		follower->ops->list_begin(follower->ctx);
	}
	pass_objects(follower, page);
	g_clear_pointer(&follower->after, g_free);
	if (page->more && page->objects->len) {
		last = &g_array_index(page->objects, store_object_t, page->objects->len - 1);
		follower->after = g_strdup(last->name);
		return STORE_SYNC_OK;
	}
	follower->ops->list_end(follower->ctx);
	return STORE_SYNC_LISTED;
}

static store_sync_result_t apply_changes(follower_t *follower, const store_page_t *page)
{
	pass_objects(follower, page);
	follower->since = MAX(follower->since, page->as_of);
	return page->objects->len ? STORE_SYNC_CHANGED : STORE_SYNC_OK;
}

static store_sync_result_t apply_result(follower_t *follower, bool is_list,
					const platform_result_t *result)
{
	store_page_t page = {0};
	store_sync_result_t sync_result = STORE_SYNC_FAILED;

	if (result->reach == PLATFORM_TIMED_OUT)
		return STORE_SYNC_TIMED_OUT;
	if (result->status == 410) {
		g_message("event=store-history-gone kind=%s since=%" G_GUINT64_FORMAT,
			  store_kind_name(follower->kind), follower->since);
		return STORE_SYNC_HISTORY_GONE;
	}
	if (result->status == 200 && store_read_page(result->body, &page))
		sync_result =
			is_list ? apply_list_page(follower, &page) : apply_changes(follower, &page);
	store_page_clear(&page);
	return sync_result;
}

/* Logs which call failed while the store did not answer, why, and how long it took. */
static void log_failure(const follower_t *follower, bool is_list, const platform_result_t *result)
{
	g_message("event=store-call-failed kind=%s call=%s reason=%s status=%d "
		  "took_us=%" G_GUINT64_FORMAT,
		  store_kind_name(follower->kind), is_list ? "list" : "watch",
		  platform_reach_name(result->reach), result->status,
		  loop_now_us() - follower->sent_us);
}

static void on_fetched(void *ctx, const platform_result_t *result)
{
	fetch_t *fetch = ctx;
	follower_t *follower = fetch->follower;
	bool current = follower->fetch == fetch;
	bool is_list = fetch->is_list;
	store_sync_result_t sync_result;

	g_free(fetch);
	if (!current)
		return;
	follower->fetch = NULL;
	sync_result = apply_result(follower, is_list, result);
	if (sync_result >= STORE_SYNC_FAILED)
		log_failure(follower, is_list, result);
	follower->ops->ended(follower->ctx, sync_result);
}

void follower_cancel(follower_t *follower)
{
	fetch_t *fetch = g_steal_pointer(&follower->fetch);

	if (fetch)
		platform_task_cancel(follower->platform, fetch);
}

void follower_call(follower_t *follower, const store_sync_call_t *call)
{
	g_autofree char *target =
		call->list ? store_list_target(follower->kind, follower->after)
			   : store_watch_target(follower->kind, follower->since, call->wait_ms);
	fetch_t *fetch = g_new(fetch_t, 1);

	follower_cancel(follower);
	*fetch = (fetch_t){.follower = follower, .is_list = call->list};
	follower->fetch = fetch;
	follower->sent_us = loop_now_us();
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
