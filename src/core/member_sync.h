/**
 * @file member_sync.h
 * Decides where a VM learns the list of all VMs from, and which calls it makes to the store for it
 * and for its own entry.
 *
 * If every VM read this list from the store, the bytes would grow with the square of the fleet, and
 * occupy the store's link for seconds whenever many VMs start. So feeders (feed_choice.h) read it
 * and relay it to the other VMs. Each feeder has an entry in a second, short list. A VM that starts
 * reads the short list first, and the list of all VMs only if it finds no feeders there.
 *
 * The caller passes in the time and a seed; calls to the store are made by callbacks. A callback
 * must not call into this module before it returns.
 */
#ifndef DS_MEMBER_SYNC_H
#define DS_MEMBER_SYNC_H

#include "core/cold_share.h"
#include "core/timers.h"
#include "core/vm_list.h"

typedef struct member_sync_t member_sync_t;

typedef enum member_list_t {
	MEMBERS_ALL,	 /**< all VMs */
	MEMBERS_FEEDERS, /**< the VMs that feed others */
	MEMBERS_OWN,	 /**< this VM's own entry of all VMs, to be read only */
} member_list_t;

typedef enum member_write_t {
	MEMBER_CREATE,
	MEMBER_REPLACE,
	MEMBER_DELETE,
} member_write_t;

typedef enum member_result_t {
	MEMBER_WRITTEN,
	MEMBER_EXISTS, /**< an object of this name exists already */
	MEMBER_FAILED,
} member_result_t;

typedef struct member_sync_ops_t {
	/** Read a list whole. */
	void (*read)(void *ctx, member_list_t list);
	/** Write this VM's own entry of a list. */
	void (*write)(void *ctx, member_list_t list, member_write_t write);
	/** The entries of all feeders were read; there are some that this VM may use. */
	void (*found_feeders)(void *ctx, const GPtrArray *feeders);
	/** The store has this VM's registration: just written, or found. */
	void (*registered)(void *ctx, bool written);
	/** Whether this VM may still receive the lists from a feeder, or does. */
	bool (*awaits_feed)(void *ctx);
	/**
	 * The list of VMs was read again or has changed, or reading it failed. This callback may
	 * call member_sync_set_feeder().
	 */
	void (*changed)(void *ctx);
} member_sync_ops_t;

/**
 * @param own this VM; the module takes ownership of it
 * @param regions data centre to region; must outlive the module
 */
member_sync_t *member_sync_new(vm_t *own, const GHashTable *regions, const member_sync_ops_t *ops,
			       void *ctx, uint32_t seed);
void member_sync_free(member_sync_t *sync);
void member_sync_start(member_sync_t *sync, uint64_t now_us);

/** A read has ended. Takes ownership of @p vms, a sorted list; NULL: it failed. */
void member_sync_read_ended(member_sync_t *sync, member_list_t list, GPtrArray *vms,
			    uint64_t now_us);
void member_sync_write_ended(member_sync_t *sync, member_list_t list, member_result_t result,
			     uint64_t now_us);
/** Another VM has subscribed to this one's feed. */
void member_sync_subscribed(member_sync_t *sync, uint64_t now_us);
/** Whether this VM is to feed others, by the list of VMs. */
void member_sync_set_feeder(member_sync_t *sync, bool is_feeder);
/** The store was restored from an older copy of its data, and may have lost VMs. */
void member_sync_restored(member_sync_t *sync, uint64_t now_us);

/** A feeder has sent the whole list of VMs. Takes ownership of @p vms, a sorted list. */
void member_sync_receive_list(member_sync_t *sync, GPtrArray *vms, uint64_t now_us);
/** A feeder has sent a VM that is new or has changed. Takes ownership of @p vm. */
void member_sync_receive_vm(member_sync_t *sync, vm_t *vm, uint64_t now_us);
/** A feeder has sent that a VM was removed. */
void member_sync_receive_removal(member_sync_t *sync, const char *name, uint64_t now_us);
/** The list of the feeder that sent the whole list was requested from the store @p age_us ago. */
void member_sync_receive_age(member_sync_t *sync, uint64_t age_us, uint64_t now_us);
/** The link to the feeder that sent the whole list is closed. */
void member_sync_feed_ended(member_sync_t *sync);

/** The registered VMs. The list may be some seconds old, and keeps VMs that have terminated. */
const GPtrArray *member_sync_vms(const member_sync_t *sync);
/** A registered VM, or a feeder that was found; NULL: not known. */
const vm_t *member_sync_find(const member_sync_t *sync, const char *name);
const vm_t *member_sync_own(const member_sync_t *sync);
/** Whether the store has this VM's registration. */
bool member_sync_is_registered(const member_sync_t *sync);
/** What this VM knows of the VMs that share the rate limit on cold searchers with it; borrowed. */
cold_members_t member_sync_cold_members(const member_sync_t *sync);

/** When the next timer is due, or TIMERS_NEVER. */
uint64_t member_sync_next_us(const member_sync_t *sync);
void member_sync_run(member_sync_t *sync, uint64_t now_us);

#endif
