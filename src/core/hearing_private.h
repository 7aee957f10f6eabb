/**
 * @file hearing_private.h
 * What the modules of hearing.h share: asking the store (hearing.c), and links to other VMs
 * (hearing_links.c).
 */
#ifndef DS_HEARING_PRIVATE_H
#define DS_HEARING_PRIVATE_H

#include "core/follow.h"
#include "core/hearing.h"
#include "core/timers.h"

/** One kind of objects being followed. */
typedef struct kind_t {
	hearing_t *hearing;
	uint32_t number;
	hearing_kind_t setting;
	follow_t follow;
	bool out;	   /* a call is */
	bool out_long;	   /* it is a watch that waits for a change */
	bool known;	   /* the list was read since this VM follows the store */
	bool parked;	   /* to be asked for once the store answers */
	uint32_t failures; /* in a row */
	uint64_t heard_us; /* when the store last answered for it */
	timer_entry_t next;
} kind_t;

struct hearing_t {
	feed_timing_t timing;
	const hearing_ops_t *ops;
	void *ctx;
	GRand *rand;
	timers_t timers;
	kind_t *kinds;
	uint32_t count;
	kind_t *probed;
	GPtrArray *feeders;	   /* names */
	GPtrArray *backups;	   /* names */
	uint32_t tries;		   /* feeders tried so far */
	hearing_link_t *feed;	   /* relied on; NULL: none is */
	hearing_link_t *trial;	   /* not yet; NULL: none is tried */
	bool feeds;		   /* others are to hear the store from this VM */
	bool follows;		   /* watches the store itself */
	bool failing;		   /* the store did not answer the last call */
	bool silent;		   /* a call since then had no answer at all */
	bool probing;		   /* only the probed kind is asked for */
	bool away;		   /* the store can't be heard */
	bool doubts;		   /* the feeder can't hear it */
	bool looking;		   /* a look is out */
	uint32_t looks;		   /* in vain, in a row */
	uint64_t fed_heard_us;	   /* when a feeder last heard the store, by its word */
	char *named;		   /* a VM that a backup says it hears the store from; NULL: none */
	uint32_t backups_tried;	   /* in all */
	uint32_t backups_row;	   /* without a pause */
	timer_entry_t start_timer; /* the store is watched if no feed is taken until then */
	timer_entry_t again_timer; /* the next feeder is tried */
	timer_entry_t stale_timer; /* the feed's news are too old */
	timer_entry_t trial_timer; /* the trial has not said anything */
	timer_entry_t look_timer;  /* the next look */
	timer_entry_t backup_timer; /* the next backup is tried */
};

uint64_t hearing_random_us(hearing_t *hearing, uint64_t least_us, uint64_t most_us);
void hearing_set_timer(hearing_t *hearing, timer_entry_t *timer, uint64_t at_us);
void hearing_cancel_timer(hearing_t *hearing, timer_entry_t *timer);
bool hearing_is_set(const timer_entry_t *timer);
/** The store can, or can't, be heard by any way. */
void hearing_set_away(hearing_t *hearing, bool away);

/** Watch the store, unless that is done: all lists first, or the probed kind while it is away. */
void hearing_follow_store(hearing_t *hearing, uint64_t now_us);
/** Another VM tells of it from here on; what was announced is still read. */
void hearing_stop_following(hearing_t *hearing);

/** Set the timers' callbacks. */
void hearing_links_init(hearing_t *hearing);
/** Try the next backup, if neither the store nor the feeder can be heard and none is being tried.
 */
void hearing_seek_backup(hearing_t *hearing, uint64_t now_us);
/** The store or the feeder is heard again. */
void hearing_stop_seeking_backup(hearing_t *hearing);
void hearing_close_backup_trial(hearing_t *hearing, const char *reason);
void hearing_close_links(hearing_t *hearing);

#endif
