/**
 * @file poison.h
 * Requests that crash the searchers that run them, remembered past their answers.
 *
 * When a searcher's process ends, everything that it worked on loses its connection: the request
 * that did it, and whatever ran beside it. Each of them gets a strike and is suspect. A suspect is
 * tried at one searcher at a time, by one VM of all (trial.h), alone where that can be had, until a
 * searcher of the service that was lost answers: that clears it, for no searcher survives a request
 * that crashes them. An end under a trial counts one strike more, any other end none. An answer
 * that is no success shows nothing: its run may have been cut short. With POISON_STRIKES it is
 * refused.
 *
 * What is refused is tried once more after a while, as chance may have ended a searcher under it
 * three times. If it ends one more, it is refused for as long as it keeps coming.
 *
 * All VMs share strikes through the platform's store. They are merged by their maximum, not their
 * sum: each VM counts on from what it knew when it sent, so copies of a request that are out at the
 * same time, on one VM or on several, count once.
 *
 * Bounded: POISON_RECORDS_MOST requests, some hundred bytes each, each kept for a fixed time.
 * Decides only: what is to be told or forgotten goes out by callbacks, and time comes in.
 */
#ifndef DS_POISON_H
#define DS_POISON_H

#include "core/fingerprint.h"
#include "core/searcher.h"
#include "core/timers.h"
#include "core/trial.h"

/*
 * The first end may be any request's that ran there, and the second one chance, or another
 * request's that was tried there by a VM that was cut off.
 */
#define POISON_STRIKES 3
/* Far more than are in flight when searchers end; with all of them a VM keeps 0.4 MB. */
#define POISON_RECORDS_MOST 1024

typedef struct poison_t poison_t;

typedef enum poison_verdict_t {
	POISON_CLEAR,
	POISON_SUSPECT, /**< send it to one searcher at a time until one answers */
	POISON_BLOCKED, /**< refuse it */
} poison_verdict_t;

/** What VMs tell each other of a request. */
typedef struct poison_news_t {
	fingerprint_t fingerprint;
	uint32_t strikes;
	uint32_t renewals;   /**< of its block, because it kept coming */
	uint32_t trials;     /**< that are over */
	uint32_t ran;	     /**< of those, the ones that may have reached a searcher */
	const char *service; /**< whose searcher ended last; borrowed */
} poison_news_t;

/** For the log: a trial of a request is begun, or over. */
typedef struct poison_trial_t {
	fingerprint_t fingerprint;
	uint32_t number, strikes;
	const char *why;      /**< it is begun */
	const char *outcome;  /**< "begun", or what it came to */
	const char *searcher; /**< that it was sent to; "": to none yet */
	uint64_t took_us;     /**< since it was granted */
} poison_trial_t;

typedef struct poison_ops_t {
	/** Let the other VMs know; poison_told() follows with the outcome, never before the return.
	 */
	void (*tell)(void *ctx, const poison_news_t *news);
	/** It was cleared, or its time is over: let the others forget it. */
	void (*forget)(void *ctx, fingerprint_t fingerprint);
	/** For the log: @p what has become of it. */
	void (*changed)(void *ctx, const poison_news_t *news, const char *what);
	/** Claim the trial @p number; poison_claimed() must follow. NULL: there is nobody else. */
	void (*claim)(void *ctx, fingerprint_t fingerprint, uint32_t number);
	/** The claims up to @p number are of no use any more. May be NULL. */
	void (*drop_claims)(void *ctx, fingerprint_t fingerprint, uint32_t number);
	/** May be NULL. */
	void (*trial)(void *ctx, const poison_trial_t *trial);
} poison_ops_t;

/** Counters, for metrics. */
typedef struct poison_counters_t {
	uint64_t strikes; /**< counted by this VM */
	uint64_t cleared; /**< suspects that a searcher answered here */
	uint64_t told;	  /**< times that the store was told of one */
	uint64_t dropped; /**< forgotten early, because there were too many */
	uint64_t claims;  /**< of trials, by this VM */
	uint64_t trials;  /**< begun by this VM after a claim */
} poison_counters_t;

/** @param ops may be NULL: nothing is told */
poison_t *poison_new(const poison_ops_t *ops, void *ctx, uint32_t seed);
void poison_free(poison_t *poison);

/* ---- what this VM sees ---- */

/** How a sub-request was sent. */
typedef struct poison_sending_t {
	uint64_t sent_us;
	bool on_trial; /**< by a trial that was claimed */
	bool kept;     /**< on a connection that was open before: its searcher was alive */
	bool answered; /**< other parts of its attempt were, before it was lost */
} poison_sending_t;

/** A sub-request's connection ended without an answer. */
void poison_note_lost(poison_t *poison, fingerprint_t fingerprint, searcher_t *searcher,
		      const poison_sending_t *sending, uint64_t now_us);
/** Nobody listens at its port any more, or a newer start of it is known. */
void poison_note_ended(poison_t *poison, const searcher_t *searcher, uint64_t now_us);
/** It has answered what was sent to it at @p since_us. */
void poison_note_alive(poison_t *poison, const searcher_t *searcher, uint64_t since_us);
/** Something at its address has accepted a connection that was begun at @p since_us: the searcher,
 * or a proxy before it. */
void poison_note_listens(poison_t *poison, const searcher_t *searcher, uint64_t since_us);
/** A searcher of @p service has answered it. */
void poison_note_answered(poison_t *poison, fingerprint_t fingerprint, const char *service,
			  uint64_t now_us);
/** It was answered whole: searchers of all its services survive it, for now. */
void poison_note_served(poison_t *poison, fingerprint_t fingerprint, uint64_t now_us);

/* ---- what other VMs say ---- */

void poison_take(poison_t *poison, const poison_news_t *news, uint64_t now_us);
/** The store knows it no more: it was cleared, or an operator lets it through. */
void poison_release(poison_t *poison, fingerprint_t fingerprint);
/** The store's whole list: poison_take() for each, then the end. */
void poison_list_begin(poison_t *poison);
void poison_list_end(poison_t *poison);
/**
 * The store came back from a copy, and may have lost what it was told. @param last others tell it
 * before this VM does, if they know as much
 */
void poison_store_restored(poison_t *poison, bool last, uint64_t now_us);
/** The store has taken what `tell` said, or has not answered. */
void poison_told(poison_t *poison, const poison_news_t *news, bool taken, uint64_t now_us);

/* ---- what follows ---- */

poison_verdict_t poison_judge(const poison_t *poison, fingerprint_t fingerprint, uint64_t now_us);
/** The service whose searcher ended last under a suspect, or NULL. */
const char *poison_service(const poison_t *poison, fingerprint_t fingerprint);
/**
 * Whether an attempt at a suspect may be sent to one searcher now. After TRIAL_GO
 * poison_trial_over() must follow.
 * @param has_time enough is left of its caller's time for the outcome to show something
 */
trial_turn_t poison_turn(poison_t *poison, fingerprint_t fingerprint, bool has_time,
			 uint64_t now_us);
/** The store's word on a claim. */
void poison_claimed(poison_t *poison, fingerprint_t fingerprint, uint32_t number,
		    claim_reply_t reply, uint64_t now_us);
/** Whether an attempt at it is out that was claimed. */
bool poison_is_on_trial(const poison_t *poison, fingerprint_t fingerprint);
/** How an attempt that had its turn has ended. */
typedef struct trial_end_t {
	bool ran;	      /**< a searcher may have run it */
	const char *outcome;  /**< for the log */
	const char *searcher; /**< that it was sent to; "": to none */
} trial_end_t;

/** The attempt that had its turn is over, and was not answered. */
void poison_trial_over(poison_t *poison, fingerprint_t fingerprint, const trial_end_t *end,
		       uint64_t now_us);
/** How soon an attempt at a suspect that had no turn may come back. */
uint64_t poison_retry_us(const poison_t *poison, fingerprint_t fingerprint, uint64_t now_us);
/** It was refused; returns for how much longer it is, if it does not come again. */
uint64_t poison_note_refused(poison_t *poison, fingerprint_t fingerprint, uint64_t now_us);

uint64_t poison_next_us(const poison_t *poison);
void poison_run(poison_t *poison, uint64_t now_us);
/** Requests that are remembered, and those of them that are refused now. */
uint32_t poison_records(const poison_t *poison);
uint32_t poison_blocked(const poison_t *poison, uint64_t now_us);
const poison_counters_t *poison_counters(const poison_t *poison);

#endif
