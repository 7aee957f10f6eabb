/**
 * @file poison.h
 * Records of poison requests: requests that crash the searchers that run them.
 *
 * When a searcher process terminates, all requests in flight to it lose their connections: the one
 * that crashed it and those that ran concurrently. Each of them gets a strike and becomes suspect.
 * A suspect is sent to one searcher at a time, by one VM of all (trial.h), and where possible to a
 * searcher that runs nothing else of this VM. A successful answer from a searcher of the service
 * that crashed clears the suspect, because no searcher survives a poison request. A crash during a
 * trial adds one strike, any other crash of a suspect's searcher none. An unsuccessful answer
 * proves nothing: the run may have been cut short. With POISON_STRIKES strikes the request is
 * blocked.
 *
 * A blocked request gets one more trial (retrial) after a delay, because three searchers may have
 * crashed by coincidence while they ran it. If another searcher crashes, the request stays blocked
 * for as long as callers keep sending it.
 *
 * VMs share strikes through the platform's store and merge them by their maximum, not by their sum:
 * each VM counts up from the strikes that it knew when it sent the request, so copies of a request
 * that are in flight at the same time, on one VM or on several, count once.
 *
 * Bounded to POISON_MAX_RECORDS requests of some hundred bytes each, kept for a fixed time. This
 * module does no I/O: updates and removals go out through callbacks, and the caller passes the
 * time.
 */
#ifndef DS_POISON_H
#define DS_POISON_H

#include "core/fingerprint.h"
#include "core/searcher.h"
#include "core/timers.h"
#include "core/trial.h"

/*
 * The first crash may have been caused by any request that ran on the searcher. The second may be a
 * coincidence, or caused by another request on trial there, sent by a VM that was cut off.
 */
#define POISON_STRIKES 3
/* Far more requests than are in flight when searchers crash; all records together take 0.4 MB. */
#define POISON_MAX_RECORDS 1024

typedef struct poison_t poison_t;

typedef enum poison_verdict_t {
	POISON_CLEAR,
	POISON_SUSPECT, /**< send it to one searcher at a time until one answers */
	POISON_BLOCKED, /**< reject it without sending it */
} poison_verdict_t;

/** The state of a request's record as VMs share it through the store. */
typedef struct poison_update_t {
	fingerprint_t fingerprint;
	uint32_t strikes;
	uint32_t renewals;   /**< how often the block was renewed because callers kept retrying */
	uint32_t trials;     /**< finished trials */
	uint32_t ran;	     /**< finished trials that may have reached a searcher */
	const char *service; /**< service of the searcher that crashed last; borrowed */
} poison_update_t;

/** Log entry: a trial of a request has begun or finished. */
typedef struct poison_trial_t {
	fingerprint_t fingerprint;
	uint32_t number, strikes;
	const char *why;      /**< reason for the trial */
	const char *outcome;  /**< "begun", or the result */
	const char *searcher; /**< searcher that it was sent to; "": none yet */
	uint64_t took_us;     /**< time since the claim was granted */
} poison_trial_t;

typedef struct poison_ops_t {
	/**
	 * Write @p update to the store for the other VMs. poison_publish_done() must follow, but
	 * not before this returns.
	 */
	void (*publish)(void *ctx, const poison_update_t *update);
	/** Remove the request from the store: it was cleared, or its record expired. */
	void (*remove)(void *ctx, fingerprint_t fingerprint);
	/** For the log: the record changed; @p what names the change. */
	void (*changed)(void *ctx, const poison_update_t *update, const char *what);
	/** Claim trial @p number; poison_claim_done() must follow. NULL: there are no other VMs. */
	void (*claim)(void *ctx, fingerprint_t fingerprint, uint32_t number);
	/** Delete the claims up to @p number, which are no longer needed. May be NULL. */
	void (*drop_claims)(void *ctx, fingerprint_t fingerprint, uint32_t number);
	/** For the log: a claimed trial has begun or finished. May be NULL. */
	void (*trial)(void *ctx, const poison_trial_t *trial);
} poison_ops_t;

/** Counters, for metrics. */
typedef struct poison_counters_t {
	uint64_t strikes;   /**< counted by this VM */
	uint64_t cleared;   /**< suspects that a searcher answered to this VM */
	uint64_t published; /**< updates written to the store */
	uint64_t dropped;   /**< records evicted because there were too many */
	uint64_t claims;    /**< trials claimed by this VM */
	uint64_t trials;    /**< claimed trials begun by this VM */
} poison_counters_t;

/** @param ops may be NULL: nothing is published or logged */
poison_t *poison_new(const poison_ops_t *ops, void *ctx, uint32_t seed);
void poison_free(poison_t *poison);

/* ---- observations of this VM ---- */

/** How a sub-request was sent. */
typedef struct poison_sending_t {
	uint64_t sent_us;
	bool on_trial; /**< sent by a claimed trial */
	bool reused;   /**< sent on an existing connection, so the searcher was alive */
	bool answered; /**< other parts of the attempt were answered before this one was lost */
} poison_sending_t;

/** A sub-request's connection closed without an answer. */
void poison_note_lost(poison_t *poison, fingerprint_t fingerprint, searcher_t *searcher,
		      const poison_sending_t *sending, uint64_t now_us);
/** The searcher terminated: its port refuses connections, or a newer incarnation is known. */
void poison_note_ended(poison_t *poison, const searcher_t *searcher, uint64_t now_us);
/** The searcher answered a request that was sent to it at @p since_us. */
void poison_note_alive(poison_t *poison, const searcher_t *searcher, uint64_t since_us);
/** The searcher, or a proxy in front of it, accepted a connection attempted at @p since_us. */
void poison_note_listens(poison_t *poison, const searcher_t *searcher, uint64_t since_us);
/** A searcher of @p service answered the request. */
void poison_note_answered(poison_t *poison, fingerprint_t fingerprint, const char *service,
			  uint64_t now_us);
/** All parts of the request were answered: searchers of all its services survive it for now. */
void poison_note_served(poison_t *poison, fingerprint_t fingerprint, uint64_t now_us);

/* ---- updates from the store ---- */

/** Merge the state that the store holds of a request. */
void poison_apply_update(poison_t *poison, const poison_update_t *update, uint64_t now_us);
/** The store no longer lists the request: it was cleared, or an operator removed it. */
void poison_apply_removal(poison_t *poison, fingerprint_t fingerprint);
/** Read the store's whole list: begin, poison_apply_update() for each entry, then end. */
void poison_list_begin(poison_t *poison);
void poison_list_end(poison_t *poison);
/**
 * The store was restored from an older copy of its data and may have lost updates.
 * @param after_watchers publish later than the VMs that watch the store, which may publish the same
 */
void poison_store_restored(poison_t *poison, bool after_watchers, uint64_t now_us);
/** Result of `publish`. @param written the store accepted the update; false: no answer or an error
 */
void poison_publish_done(poison_t *poison, const poison_update_t *update, bool written,
			 uint64_t now_us);

/* ---- decisions ---- */

poison_verdict_t poison_check(const poison_t *poison, fingerprint_t fingerprint, uint64_t now_us);
/** The service of the searcher that crashed last while it ran a suspect, or NULL. */
const char *poison_last_service(const poison_t *poison, fingerprint_t fingerprint);
/**
 * Decide whether an attempt at a suspect may be sent to one searcher now. After TRIAL_BEGIN
 * poison_trial_finished() must follow.
 * @param has_time the caller waits long enough for a trial to be conclusive
 */
trial_decision_t poison_decide(poison_t *poison, fingerprint_t fingerprint, bool has_time,
			       uint64_t now_us);
/** The store's reply to a claim. */
void poison_claim_done(poison_t *poison, fingerprint_t fingerprint, uint32_t number,
		       claim_reply_t reply, uint64_t now_us);
/** Whether a claimed trial of the request is running on this VM. */
bool poison_has_claimed_trial(const poison_t *poison, fingerprint_t fingerprint);
/** How a trial finished. */
typedef struct trial_result_t {
	bool ran;	      /**< a searcher may have run it */
	const char *outcome;  /**< for the log */
	const char *searcher; /**< searcher that it was sent to; "": none */
} trial_result_t;

/** The attempt that had permission to send finished without an answer. */
void poison_trial_finished(poison_t *poison, fingerprint_t fingerprint,
			   const trial_result_t *result, uint64_t now_us);
/** Retry delay for an attempt at a suspect that got no permission to send. */
uint64_t poison_retry_delay_us(const poison_t *poison, fingerprint_t fingerprint, uint64_t now_us);
/** An attempt at a blocked request was rejected. @return the remaining time of the block if no
 * further attempt renews it; with POISON_STRIKES strikes, at most the time until the retrial */
uint64_t poison_note_refused(poison_t *poison, fingerprint_t fingerprint, uint64_t now_us);

uint64_t poison_next_us(const poison_t *poison);
void poison_run(poison_t *poison, uint64_t now_us);
/** Number of records, and number of those that are blocked now. */
uint32_t poison_records(const poison_t *poison);
uint32_t poison_blocked(const poison_t *poison, uint64_t now_us);
const poison_counters_t *poison_counters(const poison_t *poison);

#endif
