/**
 * @file follower.h
 * Keeps up with one kind of objects in the platform's store: a whole list, then its changes.
 *
 * When the store does not answer, what is known is kept; the watch goes on from the same revision
 * once it is back. When the store has forgotten that revision, the list is read again.
 */
#ifndef DS_FOLLOWER_H
#define DS_FOLLOWER_H

#include "store.h"
#include "tasks/platform_task.h"

typedef struct follower_t follower_t;

typedef struct follower_ops_t {
	void (*list_begin)(void *ctx);
	/** An object of the list, or one that has changed; borrowed. */
	void (*object)(void *ctx, const store_object_t *object);
	void (*list_end)(void *ctx);
	/** The store stopped answering, or answers again. */
	void (*lost)(void *ctx);
	void (*back)(void *ctx);
} follower_ops_t;

follower_t *follower_new(loop_t *loop, platform_task_t *platform, store_kind_t kind,
			 const follower_ops_t *ops, void *ctx);
/** How long watches to come wait for a change; to be set before the first. */
void follower_set_wait(follower_t *follower, uint32_t wait_ms);
/**
 * Start, or start anew because what is known may be old: read the whole list.
 * @param away the store has just not answered: try soon, and seldom, instead of now
 */
void follower_refresh(follower_t *follower, bool away);
/** Something has changed: read the whole list once more, soon. */
void follower_read_once(follower_t *follower);
/** Another VM is ahead: read the whole list at once, unless that is under way. */
void follower_catch_up(follower_t *follower);
/** The store came back from a copy: what is under way is of no use, nor are its revisions. */
void follower_restored(follower_t *follower);
/** Ask nothing more until the next follower_refresh(). */
void follower_pause(follower_t *follower);
/** When the store last answered; 0: never. */
uint64_t follower_heard_us(const follower_t *follower);

#endif
