/**
 * @file list_watch.c
 * See list_watch.h.
 */
#include "core/list_watch.h"

void list_watch_start(list_watch_t *list_watch)
{
	list_watch->watching = true;
	list_watch->list_due = true;
}

/*
 * Announced objects are still read. A VM that switches to a feed first gets the announcement of a
 * large configuration that has changed, and a moment later the end of the lists. If it dropped the
 * pending read then, it would keep the old version until the configuration changes once more, and
 * so still have it 7 s after the new version was accepted.
 */
void list_watch_stop(list_watch_t *list_watch)
{
	list_watch->watching = false;
	list_watch->list_due = list_watch->announced;
}

/*
 * Does not change whether the VM watches. A VM that reads the list after an announcement while it
 * still watches the store must watch on afterwards: the feed may end before the VM switches to it.
 */
void list_watch_announced(list_watch_t *list_watch)
{
	list_watch->announced = true;
	list_watch->list_due = true;
}

void list_watch_relist(list_watch_t *list_watch)
{
	list_watch->list_due = true;
}

void list_watch_listed(list_watch_t *list_watch)
{
	list_watch->list_due = false;
	list_watch->announced = false;
}

list_watch_request_t list_watch_next(const list_watch_t *list_watch)
{
	if (list_watch->list_due)
		return LIST_WATCH_LIST;
	return list_watch->watching ? LIST_WATCH_WATCH : LIST_WATCH_NOTHING;
}
