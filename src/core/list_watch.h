/**
 * @file list_watch.h
 * Decides a VM's next request to the platform's store for one kind of objects: its whole list, a
 * watch for changes, or nothing because a feeder relays the changes.
 */
#ifndef DS_LIST_WATCH_H
#define DS_LIST_WATCH_H

#include <stdbool.h>

typedef enum list_watch_request_t {
	LIST_WATCH_NOTHING,
	LIST_WATCH_LIST,
	LIST_WATCH_WATCH,
} list_watch_request_t;

/** Zero-initialised: no request is needed yet. */
typedef struct list_watch_t {
	bool watching;	/**< changes are watched at the store itself */
	bool list_due;	/**< the list must be read, or its read is not complete */
	bool announced; /**< a feeder announced a change without its content: the list must be read
			 */
} list_watch_t;

/** Watch the store, starting with its whole list. */
void list_watch_start(list_watch_t *list_watch);
/** A feeder relays changes from now on. */
void list_watch_stop(list_watch_t *list_watch);
/** A feeder, or another VM, reports a change without its content. */
void list_watch_announced(list_watch_t *list_watch);
/** The store no longer has the history since the list: read the list again. */
void list_watch_relist(list_watch_t *list_watch);
/** The list was read completely. */
void list_watch_listed(list_watch_t *list_watch);
list_watch_request_t list_watch_next(const list_watch_t *list_watch);

#endif
