/**
 * @file supply_task.h
 * Supplies a VM with what the platform's store holds: by watching it, or by hearing of it from
 * another VM that does. What is known is handed on to VMs that ask this one.
 *
 * Whoever feeds this VM may end, freeze or lose the store at any moment, and the store may turn
 * this VM away: whom it hears then, and what it asks, is core/hearing's to say. Here that is
 * carried out.
 */
#ifndef DS_SUPPLY_TASK_H
#define DS_SUPPLY_TASK_H

#include "settings.h"
#include "core/sighting.h"
#include "store.h"
#include "tasks/member_task.h"
#include "tasks/platform_task.h"

typedef struct store_sync_task_t store_sync_task_t;

typedef struct store_sync_task_ops_t {
	void (*list_begin)(void *ctx, store_kind_t kind);
	void (*object)(void *ctx, store_kind_t kind, const store_object_t *object);
	void (*list_end)(void *ctx, store_kind_t kind);
	/** The store can't be heard, or is heard again. */
	void (*lost)(void *ctx);
	void (*back)(void *ctx);
	/** The store has come back from a copy; lists of it follow. @param watches whether this VM
	 * hears it itself, and so does before those that are fed */
	void (*restored)(void *ctx, bool watches);
	/** Another VM of this region has seen this of a searcher. */
	void (*sighting)(void *ctx, const observation_t *sighting);
	/** The number of VMs may have changed. */
	void (*members)(void *ctx);
} store_sync_task_ops_t;

/** NULL when the feed's address can't be listened on. */
store_sync_task_t *store_sync_task_new(loop_t *loop, const settings_t *settings,
				       platform_task_t *platform, const store_sync_task_ops_t *ops,
				       void *ctx);
/** What is known may be old, as after a freeze: read it anew. */
void store_sync_task_refresh(store_sync_task_t *task);
/** Another VM knows a later configuration: read it now. */
void store_sync_task_read_configuration(store_sync_task_t *task);
/** Tell the VMs of this region, soon, if they are so many that it is of use. */
void store_sync_task_publish(store_sync_task_t *task, const observation_t *sighting);
/** VMs registered, vm_t; empty until the first list. */
const GPtrArray *store_sync_task_vms(const store_sync_task_t *task);
/** What is known of the VMs with whom cold searchers are shared; borrows. */
cold_members_t store_sync_task_cold_members(const store_sync_task_t *task);
/** Since the store was last heard, by whoever watches it. */
uint64_t store_sync_task_age_us(const store_sync_task_t *task);
/** The kinds of objects that are supplied: 0 to this. */
uint32_t store_sync_task_kind_count(const store_sync_task_t *task);
/** Since this VM itself last heard the store of one kind. */
uint64_t store_sync_task_kind_age_us(const store_sync_task_t *task, store_kind_t kind);
/** The store's era; 0 before any is heard of. */
uint64_t store_sync_task_era(const store_sync_task_t *task);
/** Whether another VM feeds this one. */
bool store_sync_task_is_fed(const store_sync_task_t *task);

#endif
