/**
 * @file follower.h
 * Asks the platform's store about one kind of objects, and hands over what it says: a whole list,
 * then its changes. What is asked, and when, is for others to say (core/hearing.h).
 *
 * When the store does not answer, what is known is kept; the watch goes on from the same revision
 * once it is back.
 */
#ifndef DS_FOLLOWER_H
#define DS_FOLLOWER_H

#include "core/hearing.h"
#include "store.h"
#include "tasks/platform_task.h"

typedef struct follower_t follower_t;

typedef struct follower_ops_t {
	void (*list_begin)(void *ctx);
	/** An object of the list, or one that has changed; borrowed. */
	void (*object)(void *ctx, const store_object_t *object);
	void (*list_end)(void *ctx);
	/** The call has ended, and all that it said was handed over. */
	void (*ended)(void *ctx, store_sync_result_t end);
} follower_ops_t;

follower_t *follower_new(platform_task_t *platform, store_kind_t kind, const follower_ops_t *ops,
			 void *ctx);
/** One call; one that is out counts no more. */
void follower_ask(follower_t *follower, const store_sync_call_t *call);
/** The call that is out counts no more: `ended` does not follow. */
void follower_cancel(follower_t *follower);
/** The list is read from its start. */
void follower_list_anew(follower_t *follower);

#endif
