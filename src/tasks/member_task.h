/**
 * @file member_task.h
 * Registers this VM in the platform's store, and keeps the list of registered VMs.
 */
#ifndef DS_MEMBER_TASK_H
#define DS_MEMBER_TASK_H

#include "core/cold_share.h"
#include "store.h"
#include "tasks/platform_task.h"

typedef struct member_task_t member_task_t;

typedef struct member_ops_t {
	/** The list of VMs was read again, or reading it failed. */
	void (*changed)(void *ctx);
	/** Whether the store answered a call of this VM's registration. */
	void (*answered)(void *ctx, bool answered);
} member_ops_t;

/** Start to register. Takes ownership of @p own. */
member_task_t *member_task_new(loop_t *loop, platform_task_t *platform, vm_t *own,
			       const member_ops_t *ops, void *ctx);
/**
 * The store was restored from an older copy of its data, and may have lost the registration of this
 * VM and of others.
 */
void member_task_restored(member_task_t *task);
/** The registered VMs, vm_t. The list may be some seconds old, and keeps VMs that have terminated.
 */
const GPtrArray *member_task_vms(const member_task_t *task);
const vm_t *member_task_own(const member_task_t *task);
/** What this VM knows of the VMs that share the rate limit on cold searchers with it; borrowed. */
cold_members_t member_task_cold_members(const member_task_t *task);

#endif
