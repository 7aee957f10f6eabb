/**
 * @file trial.h
 * Trials of suspect requests: which VM may send a suspect to a searcher, and when.
 *
 * A suspect may crash every searcher that starts to run it, so all VMs together send it to one
 * searcher at a time. A VM first claims a trial by its number; the platform's store grants each
 * number to one VM only. If that VM dies, the others wait for a fixed time. If the store does not
 * answer a claim, the VM runs the trial without it: its callers are served, and the same pauses
 * bound the number of searchers that it may crash.
 *
 * One state machine per suspect. It does no I/O, and the caller passes the time.
 */
#ifndef DS_TRIAL_H
#define DS_TRIAL_H

#include <stdbool.h>
#include <stdint.h>

/** What an attempt at a suspect request may do now. */
typedef enum trial_decision_t {
	TRIAL_BEGIN,	   /**< be sent to one searcher as a trial; trial_finish() must follow */
	TRIAL_NOT_NEEDED,  /**< be sent to one searcher without a trial */
	TRIAL_WAIT,	   /**< wait: a trial is running on some VM, or a claim is unanswered */
	TRIAL_RETRY_LATER, /**< be retried by its caller after a pause */
	TRIAL_MAY_CLAIM,   /**< call trial_claim() for the next trial */
} trial_decision_t;

/** The store's reply to a claim. */
typedef enum claim_reply_t {
	CLAIM_GRANTED,
	CLAIM_TAKEN,   /**< another VM holds the claim */
	CLAIM_REFUSED, /**< the store accepts no writes from this VM now */
	CLAIM_UNKNOWN, /**< no answer */
} claim_reply_t;

typedef enum trial_state_t {
	TRIAL_IDLE,
	TRIAL_CLAIMING,
	TRIAL_GRANTED,
	TRIAL_RUNNING,
	TRIAL_CLAIMED_ELSEWHERE, /**< another VM has claimed it */
} trial_state_t;

/** The trials of one request. All zero: never tried. */
typedef struct trial_t {
	trial_state_t state;
	uint32_t done;	   /**< number of the last finished trial on any VM */
	uint32_t ran;	   /**< finished trials that may have reached a searcher */
	uint32_t crashes;  /**< trials during which a searcher is known to have crashed */
	uint32_t number;   /**< trial that `state` applies to; equal to `done`: none is claimed */
	bool unclaimed;	   /**< the store did not answer the claim in time */
	bool local_used;   /**< see trial_begin_local() */
	uint64_t since_us; /**< time of the claim, or of the reply to it */
	uint64_t next_us;  /**< earliest begin of the next trial */
} trial_t;

/** Decide what an attempt may do; TRIAL_BEGIN begins the granted trial. */
trial_decision_t trial_decide(trial_t *trial, uint64_t now_us);
/** Whether a trial could begin now, or is about to begin on this VM. */
bool trial_is_due(const trial_t *trial, uint64_t now_us);
/** Claim the next trial; sets trial->number. */
void trial_claim(trial_t *trial, uint64_t now_us);
/** The store's reply to the claim of @p number; a late reply is ignored. */
void trial_claim_done(trial_t *trial, uint32_t number, claim_reply_t reply, uint64_t now_us);
/**
 * Begin a local trial, which needs no claim, of a request that only this VM suspects: nearly always
 * it ran concurrently with the request that crashed the searcher. Allowed once. @return whether
 * the trial has begun
 */
bool trial_begin_local(trial_t *trial);
/** Whether the running trial is numbered: it was claimed, or the store did not answer the claim. */
bool trial_is_counted(const trial_t *trial);
/** The trial has finished. @param ran it reached a searcher that may have run it */
void trial_finish(trial_t *trial, bool ran, uint64_t now_us);
/** Searchers crashed during @p crashes trials on all VMs, the last one at @p at_us. */
void trial_note_crashes(trial_t *trial, uint32_t crashes, uint64_t at_us);
/** Another VM reports that trials up to @p done have finished and that @p ran of them may have
 * reached a searcher. */
void trial_apply_update(trial_t *trial, uint32_t done, uint32_t ran, uint64_t now_us);
/** Let no trial begin before @p until_us. */
void trial_postpone(trial_t *trial, uint64_t until_us);

#endif
