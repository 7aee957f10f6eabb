/**
 * @file follower.h
 * Runs list and watch calls to the platform's store for one kind of object, and passes on the
 * objects received: a complete list, then changes. core/store_sync.h decides which call to send,
 * and when.
 *
 * While the store does not answer, known objects are kept; once it has recovered, the watch
 * continues from the same revision.
 */
#ifndef DS_FOLLOWER_H
#define DS_FOLLOWER_H

#include "core/store_sync.h"
#include "store.h"
#include "tasks/platform_task.h"

typedef struct follower_t follower_t;

typedef struct follower_ops_t {
	void (*list_begin)(void *ctx);
	/** An object of the list, or a changed object; borrowed. */
	void (*object)(void *ctx, const store_object_t *object);
	void (*list_end)(void *ctx);
	/** The call has ended, and all objects of its reply were passed on. */
	void (*ended)(void *ctx, store_sync_result_t result);
} follower_ops_t;

follower_t *follower_new(platform_task_t *platform, store_kind_t kind, const follower_ops_t *ops,
			 void *ctx);
/** Send a call. A call that is still outstanding is cancelled. */
void follower_call(follower_t *follower, const store_sync_call_t *call);
/** Cancel the outstanding call, if any: `ended` is not called for it. */
void follower_cancel(follower_t *follower);
/** Cancel the outstanding call; the next list call reads the list from its start. */
void follower_restart_list(follower_t *follower);

#endif
