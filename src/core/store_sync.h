/**
 * @file store_sync.h
 * Keeps a VM's copy of the platform's store in sync, and chooses the source that it comes from.
 *
 * There are three sources: this VM watches the store itself; a feeder, which watches the store,
 * relays its changes (feed_choice.h chooses the feeders); or, when neither the store nor a feeder
 * answers, a backup feeder does: any other VM that watches the store. A VM that is asked to be a
 * backup feeder but is fed itself names its feeder. Using or trying one source must not prevent a
 * switch to another: the age of the data keeps the limits of feed_timing.h, however the store fails
 * and for whichever VMs.
 *
 * The caller passes in the time and a seed; calls to the store and links to other VMs are made by
 * callbacks. A callback must not call into this module before it returns.
 */
#ifndef DS_STORE_SYNC_H
#define DS_STORE_SYNC_H

#include "core/feed_timing.h"
#include "core/vm.h"

typedef struct store_sync_t store_sync_t;

/** A kind of objects; kinds are numbered from 0. */
typedef struct store_sync_kind_t {
	uint32_t wait_ms;  /**< how long a watch waits for a change */
	uint64_t group_us; /**< delay from a reply with changes to the next watch */
	bool frequent;	   /**< its watches end often enough to determine the age of the data */
} store_sync_kind_t;

/** A connection to a feeder. */
typedef struct store_sync_link_t {
	char *vm;
	bool backup;		 /**< a backup: not one of this VM's chosen feeders */
	bool status_ok;		 /**< its last status was acceptable */
	uint32_t lists_done;	 /**< kinds whose whole list it has sent, one bit each */
	uint64_t last_answer_us; /**< when the store last answered, by its last status */
	uint64_t progress_us;	 /**< when it last sent a part of a list that it has not sent
				  * whole; 0: never */
	void *data;		 /**< belongs to the open and close callbacks */
} store_sync_link_t;

/** The feed status that this VM sends to its subscribers. */
typedef struct store_sync_status_t {
	bool unreliable;  /**< this VM can't be relied on as a feeder */
	uint64_t age_us;  /**< since the store last answered the VM that watches it */
	const char *from; /**< the VM that feeds this VM, or "" */
} store_sync_status_t;

/** A call to the store. */
typedef struct store_sync_call_t {
	bool list;	  /**< reads the next page of the list; else it is a watch */
	uint32_t wait_ms; /**< how long a watch waits for a change */
	uint64_t timeout_us;
} store_sync_call_t;

/** The result of a call to the store. */
typedef enum store_sync_result_t {
	STORE_SYNC_OK,	    /**< a page of the list before its last, or a watch without changes */
	STORE_SYNC_CHANGED, /**< a watch with changes */
	STORE_SYNC_LISTED,  /**< the last page of the list */
	STORE_SYNC_HISTORY_GONE, /**< the store no longer has the history since the list */
	STORE_SYNC_FAILED,	 /**< an error reply, or the connection broke */
	STORE_SYNC_TIMED_OUT,	 /**< no reply within the time-out */
} store_sync_result_t;

typedef struct store_sync_ops_t {
	/** Start a call to the store; replaces the pending call of this kind, if any. */
	void (*call)(void *ctx, uint32_t kind, const store_sync_call_t *call);
	/** Drop the pending call of this kind; its reply is ignored. */
	void (*cancel)(void *ctx, uint32_t kind);
	/** Read the list of this kind from its first page on. */
	void (*restart_list)(void *ctx, uint32_t kind);
	/** Store check: read the configuration once, apart from the calls of the kinds. */
	void (*check_store)(void *ctx, uint64_t timeout_us);
	/** Connect to link->vm; false when no attempt is possible. */
	bool (*open)(void *ctx, store_sync_link_t *link);
	/** Close the connection and free link->data; the caller then frees the link. */
	void (*close)(void *ctx, store_sync_link_t *link, const char *reason);
	/** Announced objects of this kind can't be read from the store: request them from @p link.
	 */
	void (*request_announced)(void *ctx, store_sync_link_t *link, uint32_t kind);
	/** @p link is the feed from now on. */
	void (*feed_changed)(void *ctx, const store_sync_link_t *link);
	/** No source reaches the store any more, or one does again. */
	void (*unreachable)(void *ctx);
	void (*recovered)(void *ctx);
} store_sync_ops_t;

/** @param probe_kind the kind that is requested while the store does not answer */
store_sync_t *store_sync_new(const feed_timing_t *timing, const store_sync_kind_t *kinds,
			     uint32_t count, uint32_t probe_kind, const store_sync_ops_t *ops,
			     void *ctx, uint32_t seed);
void store_sync_free(store_sync_t *sync);

/** Start: wait a short time for the list of VMs, then watch the store unless a feed is in use. */
void store_sync_start(store_sync_t *sync, uint64_t now_us);
/** The data may be old, for example because this VM was suspended: read it anew. */
void store_sync_refresh(store_sync_t *sync, uint64_t now_us);
/** The store was restored from an older copy of its data: its revisions no longer match those
 * known here. */
void store_sync_restored(store_sync_t *sync, uint64_t now_us);
/**
 * Set the feeders and backups after a change of the list of VMs.
 * @param feeders vm_t, the chosen feeders of this VM, best first; empty: it watches the store
 * @param backups vm_t, the backup feeders, best first
 * @param is_feeder whether other VMs are to subscribe to this VM
 */
void store_sync_set_vms(store_sync_t *sync, const GPtrArray *feeders, const GPtrArray *backups,
			bool is_feeder, uint64_t now_us);
/** Set how long future watches of @p kind wait for a change. */
void store_sync_set_wait(store_sync_t *sync, uint32_t kind, uint32_t wait_ms);

/** The pending call of @p kind has ended. */
void store_sync_call_ended(store_sync_t *sync, uint32_t kind, store_sync_result_t result,
			   uint64_t now_us);
/** Another call to the store, apart from those of the kinds, was or was not answered. */
void store_sync_other_call_ended(store_sync_t *sync, bool answered, uint64_t now_us);
/** The store check has ended. */
void store_sync_check_ended(store_sync_t *sync, bool reached, uint64_t now_us);
/** A feeder has announced a change of @p kind without its content: read the list. */
void store_sync_announced(store_sync_t *sync, uint32_t kind, uint64_t now_us);
/** The feeder has since sent all announced objects of @p kind: they need not be read. */
void store_sync_announced_received(store_sync_t *sync, uint32_t kind);
/** Another VM has newer data: read @p kind at once, unless a read is under way. */
void store_sync_catch_up(store_sync_t *sync, uint32_t kind, uint64_t now_us);

/** @p link has sent an object of @p kind, or the beginning of its list. */
void store_sync_link_sent_part(store_sync_link_t *link, uint32_t kind, uint64_t now_us);
/** @p link has sent its whole list of @p kind. */
void store_sync_link_listed(store_sync_t *sync, store_sync_link_t *link, uint32_t kind,
			    uint64_t now_us);
/** @p link has sent its feed status. */
void store_sync_link_status(store_sync_t *sync, store_sync_link_t *link,
			    const store_sync_status_t *status, uint64_t now_us);
/** @p link broke: close it. */
void store_sync_link_ended(store_sync_t *sync, store_sync_link_t *link, const char *reason,
			   uint64_t now_us);

/** When the next timer is due, or TIMERS_NEVER. */
uint64_t store_sync_next_us(const store_sync_t *sync);
void store_sync_run(store_sync_t *sync, uint64_t now_us);

/** The status to send to subscribers. */
store_sync_status_t store_sync_status(const store_sync_t *sync, uint64_t now_us);
/** Whether this VM has data for subscribers: it is fed, or has read the list of every kind. */
bool store_sync_has_data(const store_sync_t *sync);
/** Whether this VM is a feeder that is still reading the lists. It has no status yet. */
bool store_sync_is_starting(const store_sync_t *sync);
/** Whether this VM watches the store itself. */
bool store_sync_watches(const store_sync_t *sync);
/** Whether no source reaches the store. */
bool store_sync_is_unreachable(const store_sync_t *sync);
/** The link in use as the feed, or NULL. */
const store_sync_link_t *store_sync_feed(const store_sync_t *sync);
/** Age of the data: time since the store last answered the VM that watches it. */
uint64_t store_sync_age_us(const store_sync_t *sync, uint64_t now_us);
/** Time since the store last answered this VM's own calls of @p kind. */
uint64_t store_sync_kind_age_us(const store_sync_t *sync, uint32_t kind, uint64_t now_us);

#endif
