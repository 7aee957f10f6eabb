/**
 * @file poison_private.h
 * Internals shared by the poison modules: poison.c keeps the records and gives verdicts,
 * poison_losses.c decides which lost connections count as strikes, poison_share.c exchanges updates
 * with other VMs, and poison_trials.c decides which attempt may send a suspect to a searcher.
 */
#ifndef DS_POISON_PRIVATE_H
#define DS_POISON_PRIVATE_H

#include "core/poison.h"

/* Unresolved connection losses kept per request: a gather loses many connections at once, and one
 * is enough for a strike. */
#define MAX_LOSSES 8
/* A VM serves some 30 to 100 requests per second. The table holds those of SERVED_VALID_US and
 * takes 8 KB. */
#define SERVED_SLOTS 512
/* A blocked request that no caller sent for this long is let through again: it may crash one more
 * searcher, or be cleared because the fault that it triggered was fixed. While callers keep sending
 * it, the block is renewed after half of this time. */
#define BLOCK_DURATION_US (30 * 60 * 1000000ull)

/** A connection that was lost while a request was in flight; unresolved until it is known whether
 * the searcher terminated. */
typedef struct loss_t {
	searcher_t *searcher; /* referenced */
	poison_sending_t sending;
	uint64_t lost_us;
	bool listens; /* its address accepts connections: a crash is unlikely, but possible */
} loss_t;

/** A request of which all parts were answered recently. */
typedef struct served_t {
	fingerprint_t fingerprint;
	uint64_t at_us;
} served_t;

typedef struct record_t {
	poison_t *poison;
	fingerprint_t fingerprint;
	uint32_t strikes; /* since the last answer */
	uint32_t stored;  /* strikes in the store; 0: none */
	uint32_t renewals;
	char *service;	    /* of the searcher that crashed last; NULL before the first strike */
	uint64_t struck_us; /* the last strike, or the last update with more strikes from a VM */
	uint64_t period_start_us; /* last strike or renewal: start of retention and block */
	uint64_t probe_us;	  /* when it was last sent with a loss unresolved; 0: never */
	trial_t trial;
	uint64_t publish_us; /* when to publish; 0: nothing to publish, or a call is in flight */
	uint32_t unanswered_crashes; /* crashes during attempts of which no part was answered */
	uint64_t expires_us;
	bool listed; /* seen in the store's list that is being read */
	loss_t losses[MAX_LOSSES];
	uint32_t loss_count;
	timer_entry_t timer;
} record_t;

/** Rate limit for one kind of call to the store. */
typedef struct store_rate_t {
	uint64_t burst; /**< calls that may go at once */
	uint64_t period_us;
} store_rate_t;

struct poison_t {
	const poison_ops_t *ops;
	void *ctx;
	GRand *rand;
	GHashTable *records;	       /* fingerprint to record_t */
	uint32_t losses;	       /* of all records */
	served_t served[SERVED_SLOTS]; /* indexed by fingerprint modulo the size */
	timers_t timers;
	uint64_t publish_slot_us; /* first strikes have used their rate limit up to this time */
	uint64_t urgent_slot_us;  /* the same for first strikes that are published at once */
	uint64_t claim_slot_us;	  /* the same for claims */
	poison_counters_t counters;
};

/** The record of a request, or NULL. */
record_t *poison_record_find(const poison_t *poison, fingerprint_t fingerprint);
record_t *poison_record_add(poison_t *poison, fingerprint_t fingerprint);
/** Whether the record has neither strikes nor unresolved losses. */
bool poison_record_is_empty(const record_t *record);
/** Set the record's timer to its next event. */
void poison_record_arm(record_t *record);
/** Restart the record's retention period, and its block if it has one, at @p from_us. */
void poison_record_retain(record_t *record, uint64_t from_us);
/** Remove the record on this VM only. */
void poison_record_remove(record_t *record);
/** Remove the record on this VM and in the store. @param why for the log */
void poison_record_remove_shared(record_t *record, const char *why);
/** The record's state to publish; borrows its texts. */
poison_update_t poison_update_of(const record_t *record);
/** Log a change of the record. */
void poison_log_change(const record_t *record, const char *what);
void poison_set_strikes(record_t *record, uint32_t strikes, const char *service, uint64_t at_us);
/** Postpone the retrial of a blocked request once MAX_EARLY_TRIALS trials have run; call it when
 * strikes or trials have changed. */
void poison_limit_trials(record_t *record);
/** Whether all parts of the request were answered on this VM within SERVED_VALID_US. */
bool poison_was_served_recently(const poison_t *poison, fingerprint_t fingerprint, uint64_t now_us);

void poison_losses_clear(record_t *record);
/** Remove losses that are too old to be resolved. */
void poison_losses_expire(record_t *record, uint64_t now_us);
/** When the oldest loss expires, or TIMERS_NEVER. */
uint64_t poison_losses_next_us(const record_t *record);
/** Whether the searcher of one of the losses has probably terminated. */
bool poison_losses_suggest_crash(const record_t *record);

/** When the next call may go if earlier calls have used the rate limit up to @p slot_us. */
uint64_t poison_rate_next_us(const store_rate_t *rate, uint64_t slot_us, uint64_t now_us);
/** Account for one call: advance @p slot_us. */
void poison_rate_take(const store_rate_t *rate, uint64_t *slot_us, uint64_t now_us);

/** Another searcher crashed while running the request, without adding a strike. */
void poison_note_further_crash(record_t *record, uint64_t now_us);
/** When to publish a strike to the other VMs. */
uint64_t poison_next_publish_us(poison_t *poison, const record_t *record, uint64_t now_us);
void poison_publish(record_t *record);

/** Log the trial that is running, if it was claimed. */
void poison_log_trial(const record_t *record, const char *outcome, const char *searcher,
		      uint64_t now_us);

#endif
