/**
 * @file member_task.h
 * Makes the calls to the store for the list of VMs and for this VM's own entry in it;
 * core/member_sync decides on them.
 */
#ifndef DS_MEMBER_TASK_H
#define DS_MEMBER_TASK_H

#include "core/feed_message.h"
#include "core/member_sync.h"
#include "store.h"
#include "tasks/platform_task.h"

typedef struct member_task_t member_task_t;

typedef struct member_ops_t {
	/** See member_sync_ops_t. */
	void (*found_feeders)(void *ctx, const GPtrArray *feeders);
	bool (*awaits_feed)(void *ctx);
	void (*changed)(void *ctx);
	/** Whether the store answered a call of this VM's registration. */
	void (*answered)(void *ctx, bool answered);
} member_ops_t;

/**
 * Start to register. Takes ownership of @p own.
 * @param regions data centre to region; must outlive the task
 */
member_task_t *member_task_new(loop_t *loop, platform_task_t *platform, vm_t *own,
			       const GHashTable *regions, const member_ops_t *ops, void *ctx);
/** See member_sync_restored(). */
void member_task_restored(member_task_t *task);
/** See member_sync_subscribed(). */
void member_task_subscribed(member_task_t *task);
/** See member_sync_set_feeder(). */
void member_task_set_feeder(member_task_t *task, bool is_feeder);

/** The feed has sent a message about the list of VMs. */
void member_task_receive(member_task_t *task, const feed_message_t *message);
/** See member_sync_receive_age(). */
void member_task_receive_age(member_task_t *task, uint64_t age_us);
/** See member_sync_feed_ended(). */
void member_task_feed_ended(member_task_t *task);

const member_sync_t *member_task_sync(const member_task_t *task);

#endif
