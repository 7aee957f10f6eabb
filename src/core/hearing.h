/**
 * @file hearing.h
 * Whom a VM hears the platform's store from, and how old that may grow.
 *
 * There are three ways: this VM watches the store itself; a feeder that watches it tells of it
 * (feed_choice.h says who); or, when neither can be heard, a backup does: any other VM that watches
 * the store, named perhaps by one that it feeds. No way may keep another shut: what is known is
 * bound to the bounds of feed_timing.h, whichever way the store is away, and for whom.
 *
 * Time and randomness come in; calls to the store and links to other VMs go out by callbacks. None
 * of these may call back before it returns.
 */
#ifndef DS_HEARING_H
#define DS_HEARING_H

#include "core/feed_timing.h"
#include "core/vm.h"

typedef struct hearing_t hearing_t;

/** A kind of objects; they are numbered from 0. */
typedef struct hearing_kind_t {
	uint32_t wait_ms;  /**< that a watch waits for a change */
	uint64_t group_us; /**< from an answer with changes to the next watch */
	bool often;	   /**< watched so often that it tells how old what is known is */
} hearing_kind_t;

/** A connection to another VM that tells of the store. */
typedef struct hearing_link_t {
	char *vm;
	bool backup;	   /**< it was not chosen to feed this VM */
	bool sure;	   /**< by its last word it hears the store */
	uint32_t listed;   /**< kinds whose whole list it has told, a bit each */
	uint64_t heard_us; /**< when it last heard the store, by its last word */
	void *data;	   /**< of whoever connects */
} hearing_link_t;

/** What this VM tells of how it hears the store. */
typedef struct hearing_news_t {
	bool away;	  /**< it can't be relied on for that */
	uint64_t age_us;  /**< since the store was last heard, by whoever watches it */
	const char *from; /**< the VM that it hears it from, or "" */
} hearing_news_t;

/** What is asked of the store. */
typedef struct hearing_call_t {
	bool list;	  /**< the next page of the list; else a watch */
	uint32_t wait_ms; /**< that a watch waits */
	uint64_t timeout_us;
} hearing_call_t;

/** What became of a call. */
typedef enum hearing_end_t {
	HEARING_HEARD,	 /**< a page of the list that is not its last, or no change */
	HEARING_CHANGED, /**< changes */
	HEARING_LISTED,	 /**< the list's last page */
	HEARING_GONE,	 /**< the history since the list is gone */
	HEARING_REFUSED, /**< an error in place of an answer, or the connection broke */
	HEARING_SILENT,	 /**< nothing in the time given */
} hearing_end_t;

typedef struct hearing_ops_t {
	/** Ask the store; a call of this kind that is out counts no more. */
	void (*ask)(void *ctx, uint32_t kind, const hearing_call_t *call);
	/** A call of this kind that is out counts no more. */
	void (*cancel)(void *ctx, uint32_t kind);
	/** The list of this kind is read from its start. */
	void (*list_anew)(void *ctx, uint32_t kind);
	/** Read the configuration once, beside all else. */
	void (*look)(void *ctx, uint64_t timeout_us);
	/** Connect to link->vm; false when that can't be tried. */
	bool (*open)(void *ctx, hearing_link_t *link);
	/** Close and free what link->data holds; the link is freed after that. */
	void (*close)(void *ctx, hearing_link_t *link, const char *reason);
	/** What was announced of this kind can't be read from the store: ask @p link for it. */
	void (*ask_link)(void *ctx, hearing_link_t *link, uint32_t kind);
	/** All is heard from @p link from here on. */
	void (*taken)(void *ctx, const hearing_link_t *link);
	/** The store can't be heard by any way, or is heard again. */
	void (*lost)(void *ctx);
	void (*back)(void *ctx);
} hearing_ops_t;

/** @param probed the kind that is asked for while the store does not answer */
hearing_t *hearing_new(const feed_timing_t *timing, const hearing_kind_t *kinds, uint32_t count,
		       uint32_t probed, const hearing_ops_t *ops, void *ctx, uint32_t seed);
void hearing_free(hearing_t *hearing);

/** Begin: others are about to be known, else the store is watched. */
void hearing_start(hearing_t *hearing, uint64_t now_us);
/** What is known may be old, as after this VM stood still. */
void hearing_refresh(hearing_t *hearing, uint64_t now_us);
/** The store came back from a copy: its revisions mean something else. */
void hearing_restored(hearing_t *hearing, uint64_t now_us);
/**
 * The VMs are known anew.
 * @param feeders vm_t, whom this VM is to hear the store from, best first; none: it watches
 * @param backups vm_t, whom it may hear it from otherwise, best first
 * @param feeds whether others are to hear it from this VM
 */
void hearing_set_vms(hearing_t *hearing, const GPtrArray *feeders, const GPtrArray *backups,
		     bool feeds, uint64_t now_us);
/** Watches of @p kind to come wait so long. */
void hearing_set_wait(hearing_t *hearing, uint32_t kind, uint32_t wait_ms);

/** The call that is out for @p kind has ended. */
void hearing_replied(hearing_t *hearing, uint32_t kind, hearing_end_t end, uint64_t now_us);
/** A call beside those of the kinds has, or has not, been answered. */
void hearing_answered(hearing_t *hearing, bool answered, uint64_t now_us);
/** The look has ended. */
void hearing_looked(hearing_t *hearing, bool reached, uint64_t now_us);
/** A feeder says that something of @p kind has changed, without what: read it. */
void hearing_announced(hearing_t *hearing, uint32_t kind, uint64_t now_us);
/** All that was announced of @p kind has been told since, and need not be read. */
void hearing_told(hearing_t *hearing, uint32_t kind);
/** Another VM is ahead of this one: read @p kind at once, unless that is under way. */
void hearing_catch_up(hearing_t *hearing, uint32_t kind, uint64_t now_us);

/** @p link has told its whole list of @p kind. */
void hearing_link_listed(hearing_t *hearing, hearing_link_t *link, uint32_t kind, uint64_t now_us);
/** @p link says how it hears the store. */
void hearing_link_news(hearing_t *hearing, hearing_link_t *link, const hearing_news_t *news,
		       uint64_t now_us);
/** @p link broke; it is closed. */
void hearing_link_ended(hearing_t *hearing, hearing_link_t *link, const char *reason,
			uint64_t now_us);

/** When something is due, or TIMERS_NEVER. */
uint64_t hearing_next_us(const hearing_t *hearing);
void hearing_run(hearing_t *hearing, uint64_t now_us);

hearing_news_t hearing_news(const hearing_t *hearing, uint64_t now_us);
/** Whether it has something to tell: all kinds were heard, at first hand or not. */
bool hearing_is_known(const hearing_t *hearing);
/** Whether this VM watches the store itself. */
bool hearing_follows(const hearing_t *hearing);
/** Whether the store can't be heard, by any way. */
bool hearing_is_away(const hearing_t *hearing);
/** The link by which all is heard, or NULL. */
const hearing_link_t *hearing_feed(const hearing_t *hearing);
/** Since the store was last heard, by whoever watches it. */
uint64_t hearing_age_us(const hearing_t *hearing, uint64_t now_us);
/** The same of one kind, by this VM itself. */
uint64_t hearing_kind_age_us(const hearing_t *hearing, uint32_t kind, uint64_t now_us);

#endif
