/**
 * @file member_task.h
 * Registers this VM in the platform's store, and knows which others have.
 */
#ifndef DS_MEMBER_TASK_H
#define DS_MEMBER_TASK_H

#include "core/cold_share.h"
#include "store.h"
#include "tasks/platform_task.h"

typedef struct member_task_t member_task_t;

typedef struct member_ops_t {
	/** The list of VMs was read anew, or could not be read. */
	void (*changed)(void *ctx);
	/** The store has answered this VM's registration, or has not. */
	void (*answered)(void *ctx, bool answered);
} member_ops_t;

/** @p own is taken over. */
member_task_t *member_task_new(loop_t *loop, platform_task_t *platform, vm_t *own,
			       const member_ops_t *ops, void *ctx);
/** The store came back from a copy, and may have lost this VM and others. */
void member_task_restored(member_task_t *task);
/** The VMs registered, vm_t; perhaps some seconds old, and those that ended stay in it. */
const GPtrArray *member_task_vms(const member_task_t *task);
const vm_t *member_task_own(const member_task_t *task);
/** What is known of the VMs with whom cold searchers are shared; borrows. */
cold_members_t member_task_cold_members(const member_task_t *task);

#endif
