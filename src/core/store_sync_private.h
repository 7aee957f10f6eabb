/**
 * @file store_sync_private.h
 * Shared by the modules behind store_sync.h: calls to the store (store_sync.c), and links to
 * feeders (store_sync_links.c).
 */
#ifndef DS_STORE_SYNC_PRIVATE_H
#define DS_STORE_SYNC_PRIVATE_H

#include "core/list_watch.h"
#include "core/store_sync.h"
#include "core/timers.h"

/** The state of one kind of objects. */
typedef struct sync_kind_t {
	store_sync_t *sync;
	uint32_t number;
	store_sync_kind_t config;
	list_watch_t list_watch;
	bool pending;		 /* a call is pending */
	bool pending_watch;	 /* the pending call is a watch that waits for a change */
	bool list_read;		 /* the list was read since this VM began to watch the store */
	bool postponed;		 /* to be requested once the store answers */
	bool resumed;		 /* to be requested without a wait: the store answers again */
	uint32_t failures;	 /* in a row */
	uint64_t last_answer_us; /* when the store last answered for it */
	timer_entry_t next;
} sync_kind_t;

struct store_sync_t {
	feed_timing_t timing;
	const store_sync_ops_t *ops;
	void *ctx;
	GRand *rand;
	timers_t timers;
	sync_kind_t *kinds;
	uint32_t count;
	sync_kind_t *probe_kind;
	GPtrArray *feeders;	      /* names */
	GPtrArray *backups;	      /* names */
	uint32_t feeders_tried;	      /* number of feeders tried so far; selects the next */
	store_sync_link_t *feed;      /* the link in use; NULL: none */
	store_sync_link_t *candidate; /* the link being tried; NULL: none */
	bool is_feeder;		      /* other VMs are to subscribe to this VM */
	bool watches;		      /* this VM watches the store itself */
	bool failing;		      /* the store did not answer the last call */
	bool timed_out;		      /* a call since then timed out */
	bool probing;		      /* only the probed kind is requested */
	bool unreachable;	      /* no source reaches the store */
	bool others_answered;	/* the store answered the last call that this module did not make */
	uint64_t started_us;	/* when store_sync_start() was called */
	uint64_t cut_off_us;	/* when the feeder in use last reported that it does not reach the
				   store */
	bool feeder_cut_off;	/* the feeder in use does not reach the store */
	bool checking;		/* a store check is pending */
	uint32_t failed_checks; /* failed store checks in a row */
	uint64_t feed_last_answer_us; /* when the store last answered a feeder, by its status */
	char *suggested_backup;	      /* the VM that a rejected backup says feeds it; NULL: none */
	uint32_t backups_tried;	      /* in total */
	uint32_t backups_in_round;    /* since the last pause */
	timer_entry_t start_timer;    /* the store is watched if there is no feed until then */
	timer_entry_t feeder_retry_timer; /* the next feeder is tried */
	timer_entry_t feed_stale_timer;	  /* the feed's data reaches its age limit */
	timer_entry_t candidate_timer;	  /* the candidate has not sent a status in time */
	timer_entry_t check_timer;	  /* the next store check */
	timer_entry_t backup_timer;	  /* the next backup is tried */
};

uint64_t store_sync_random_us(store_sync_t *sync, uint64_t min_us, uint64_t max_us);
void store_sync_set_timer(store_sync_t *sync, timer_entry_t *timer, uint64_t at_us);
void store_sync_cancel_timer(store_sync_t *sync, timer_entry_t *timer);
bool store_sync_timer_is_set(const timer_entry_t *timer);
/** Set whether no source reaches the store, and call back when that changes. */
void store_sync_set_unreachable(store_sync_t *sync, bool unreachable);

/** Watch the store, unless it is watched already: starts with the lists of all kinds, or only with
 * the probed kind while the store is unreachable. */
void store_sync_watch_store(store_sync_t *sync, uint64_t now_us);
/** A feeder relays changes from now on; announced objects are still read from the store. */
void store_sync_stop_watching(store_sync_t *sync);

/** Set the callbacks of the timers of store_sync_links.c. */
void store_sync_links_init(store_sync_t *sync);
/** Try the next backup, unless the store or the feed works or another candidate is being tried. */
void store_sync_try_backup(store_sync_t *sync, uint64_t now_us);
/** The store answers again, or the feeder reaches it again. */
void store_sync_stop_trying_backups(store_sync_t *sync);
void store_sync_close_backup_candidate(store_sync_t *sync, const char *reason);
void store_sync_close_links(store_sync_t *sync);

#endif
