/**
 * @file poison_private.h
 * Shared by the parts of what is remembered of requests that crash searchers: poison.c keeps the
 * records and gives verdicts, poison_losses.c decides what counts as a strike, poison_share.c is
 * what VMs tell each other, poison_trials.c who may send a suspect to a searcher.
 */
#ifndef DS_POISON_PRIVATE_H
#define DS_POISON_PRIVATE_H

#include "core/poison.h"

/* Broken connections that wait to be explained, for each request: a gather loses many at once, and
 * one is enough for a strike. */
#define LOSSES_MOST 8
/* A VM serves some 30 to 100 requests a second: those of SERVED_KEEP_US, in 8 KB. */
#define SERVED_MOST 512
/* A request that has not come for so long may crash one searcher more, or be cleared because what
 * it met is mended. While it keeps coming, the block is renewed at half of it. */
#define BLOCK_US (30 * 60 * 1000000ull)

/** A connection that broke under a request; nobody knows yet whether its searcher ended. */
typedef struct loss_t {
	searcher_t *searcher; /* referenced */
	poison_sending_t sending;
	uint64_t lost_us;
	bool listens; /* something at its address does: its end is not likely, but possible */
} loss_t;

/** A request that was answered whole of late. */
typedef struct served_t {
	fingerprint_t fingerprint;
	uint64_t at_us;
} served_t;

typedef struct record_t {
	poison_t *poison;
	fingerprint_t fingerprint;
	uint32_t strikes; /* without an answer in between */
	uint32_t stored;  /* strikes that the store knows of; 0: none */
	uint32_t renewals;
	char *service;	    /* of the searcher that ended last; NULL before the first strike */
	uint64_t struck_us; /* the last strike, or when another VM's was heard of */
	uint64_t held_us;   /* the last strike or renewal: keeping and blocking run from here */
	uint64_t probe_us;  /* when it was last sent with a loss unexplained; 0: never */
	trial_t trial;
	uint64_t tell_us;	  /* when to tell; 0: nothing to tell, or the store is being told */
	uint32_t unanswered_ends; /* searchers that ended under attempts that nothing answered */
	uint64_t forget_us;
	bool listed; /* in the list that is being read */
	loss_t losses[LOSSES_MOST];
	uint32_t loss_count;
	timer_entry_t timer;
} record_t;

/** How often something may go to the store. */
typedef struct store_pace_t {
	uint64_t burst; /**< at once */
	uint64_t period_us;
} store_pace_t;

struct poison_t {
	const poison_ops_t *ops;
	void *ctx;
	GRand *rand;
	GHashTable *records;	      /* fingerprint to record_t */
	uint32_t losses;	      /* of all records */
	served_t served[SERVED_MOST]; /* each in the place that its fingerprint gives it */
	timers_t timers;
	uint64_t tell_slot_us;	/* up to when first strikes have used up their share of the store */
	uint64_t hurry_slot_us; /* the same of those that are told at once */
	uint64_t claim_slot_us; /* the same of claims */
	poison_counters_t counters;
};

/** The record of a request, or NULL. */
record_t *poison_record_find(const poison_t *poison, fingerprint_t fingerprint);
record_t *poison_record_add(poison_t *poison, fingerprint_t fingerprint);
/** Whether nothing speaks against its request. */
bool poison_record_is_empty(const record_t *record);
/** Set the record's timer for what is next. */
void poison_record_arm(record_t *record);
/** Keep it, and refuse it if it is to be refused, from @p from_us on. */
void poison_record_hold(record_t *record, uint64_t from_us);
void poison_record_drop(record_t *record);
/** Drop it, in the store, too. @param why for the log */
void poison_record_forget(record_t *record, const char *why);
/** Borrows from the record. */
poison_news_t poison_news_of(const record_t *record);
/** For the log. */
void poison_say(const record_t *record, const char *what);
void poison_set_strikes(record_t *record, uint32_t strikes, const char *service, uint64_t at_us);
/** How many trials are over may have changed. */
void poison_note_trials(record_t *record);
/** Whether it was answered whole here a moment ago. */
bool poison_was_served(const poison_t *poison, fingerprint_t fingerprint, uint64_t now_us);

void poison_losses_clear(record_t *record);
/** Drop those that will not be explained any more. */
void poison_losses_expire(record_t *record, uint64_t now_us);
/** When the first of them is due to be dropped, or TIMERS_NEVER. */
uint64_t poison_losses_next_us(const record_t *record);
/** Whether one of them is at a searcher that has probably ended. */
bool poison_losses_accuse(const record_t *record);

/** When the next call may go, if those before have used up the pace up to @p slot_us. */
uint64_t poison_pace_next_us(const store_pace_t *pace, uint64_t slot_us, uint64_t now_us);
/** It will go. */
void poison_pace_take(const store_pace_t *pace, uint64_t *slot_us, uint64_t now_us);

/** One searcher more has ended under it, which is no strike more. */
void poison_note_more_ends(record_t *record, uint64_t now_us);
/** When to tell the other VMs of a strike. */
uint64_t poison_next_tell_us(poison_t *poison, const record_t *record, uint64_t now_us);
void poison_tell(record_t *record);

/** For the log, if the trial that is out was claimed. */
void poison_say_trial(const record_t *record, const char *outcome, const char *searcher,
		      uint64_t now_us);

#endif
