/**
 * @file store_sync_task.h
 * Keeps this VM's copy of the store's objects current, by watching the platform's store or by a
 * feed from another VM that watches it. Relays the objects to VMs that subscribe to this one.
 *
 * A feeder may terminate, freeze or lose the store at any moment, and the store may refuse this VM.
 * core/store_sync decides which source the VM uses and which calls it sends; this task carries that
 * out.
 */
#ifndef DS_STORE_SYNC_TASK_H
#define DS_STORE_SYNC_TASK_H

#include "settings.h"
#include "core/observation.h"
#include "store.h"
#include "tasks/member_task.h"
#include "tasks/platform_task.h"

typedef struct store_sync_task_t store_sync_task_t;

typedef struct store_sync_task_ops_t {
	/** A complete list begins: `object` follows for each object, then `list_end`. */
	void (*list_begin)(void *ctx, store_kind_t kind);
	/** An object of a list, or a changed object; borrowed. */
	void (*object)(void *ctx, store_kind_t kind, const store_object_t *object);
	void (*list_end)(void *ctx, store_kind_t kind);
	/** No source of the store's data is available any more, or one has recovered. */
	void (*lost)(void *ctx);
	void (*recovered)(void *ctx);
	/**
	 * The store was restored from an older copy of its data; lists of its objects follow.
	 * @param watches whether this VM watches the store itself, and so receives them before VMs
	 * that are subscribed to a feeder
	 */
	void (*restored)(void *ctx, bool watches);
	/** Another VM of this region shared an observation of a searcher. */
	void (*observation)(void *ctx, const observation_t *observation);
	/** The list of registered VMs may have changed. */
	void (*members)(void *ctx);
} store_sync_task_ops_t;

/**
 * Register this VM, listen for subscribers, and start to read the store.
 * @return NULL when the feed's address can't be listened on
 */
store_sync_task_t *store_sync_task_new(loop_t *loop, const settings_t *settings,
				       platform_task_t *platform, const store_sync_task_ops_t *ops,
				       void *ctx);
/** This VM's copy may be stale, for example after a freeze: read the store again. */
void store_sync_task_refresh(store_sync_task_t *task);
/** Another VM has a newer configuration: read it now. */
void store_sync_task_read_configuration(store_sync_task_t *task);
/**
 * Share an observation, after a short delay, with the VMs of this region. Nothing is shared in a
 * region with too few VMs for it to be useful.
 */
void store_sync_task_publish(store_sync_task_t *task, const observation_t *observation);
/** The registered VMs, vm_t; empty until the first list is read. */
const GPtrArray *store_sync_task_vms(const store_sync_task_t *task);
/** What this VM knows of the VMs that share the rate limit on cold searchers with it; borrowed. */
cold_members_t store_sync_task_cold_members(const store_sync_task_t *task);
/** Age of the data: time since the store last answered the VM that watches it. */
uint64_t store_sync_task_age_us(const store_sync_task_t *task);
/** Number of kinds of objects that are kept current: the kinds below this. */
uint32_t store_sync_task_kind_count(const store_sync_task_t *task);
/** Time since the store last answered this VM itself for one kind. */
uint64_t store_sync_task_kind_age_us(const store_sync_task_t *task, store_kind_t kind);
/** The store era; 0 until one is observed. */
uint64_t store_sync_task_era(const store_sync_task_t *task);
/** Whether this VM is subscribed to a feeder. */
bool store_sync_task_is_fed(const store_sync_task_t *task);

#endif
