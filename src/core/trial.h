/**
 * @file trial.h
 * Who may send a suspect request to a searcher, and when.
 *
 * A suspect may end every searcher that begins to run it, so all VMs together send it to one
 * searcher at a time. A VM claims a trial by its number first; the platform's store grants each
 * number to one VM only. A VM that is granted one and dies holds up the others for a fixed time. A
 * VM that the store does not answer goes on by itself: its callers are served, and what it may cost
 * is bounded by the same pauses.
 *
 * One state machine for each suspect. Decides only; time comes in.
 */
#ifndef DS_TRIAL_H
#define DS_TRIAL_H

#include <stdbool.h>
#include <stdint.h>

/** What an attempt at a suspect request may do now. */
typedef enum trial_turn_t {
	TRIAL_GO,    /**< be sent to one searcher; trial_over() must follow */
	TRIAL_NONE,  /**< be sent to one searcher: it is no trial, or not yet */
	TRIAL_WAIT,  /**< another attempt is being tried, here or elsewhere, or a claim is out */
	TRIAL_LATER, /**< come back after a pause */
	TRIAL_CLAIM, /**< the trial may be claimed: trial_claim() */
} trial_turn_t;

/** What the store said of a claim. */
typedef enum claim_reply_t {
	CLAIM_GRANTED,
	CLAIM_TAKEN,   /**< another VM has it */
	CLAIM_REFUSED, /**< it takes no writes of this VM now */
	CLAIM_UNKNOWN, /**< no answer */
} claim_reply_t;

typedef enum trial_state_t {
	TRIAL_IDLE,
	TRIAL_CLAIMING,
	TRIAL_GRANTED,
	TRIAL_OUT,
	TRIAL_ELSEWHERE, /**< another VM has claimed it */
} trial_state_t;

/** The trials of one request. Zero is one that was never tried. */
typedef struct trial_t {
	trial_state_t state;
	uint32_t done;	   /**< the number of the last trial that is over, on any VM */
	uint32_t ran;	   /**< of those, the ones that may have reached a searcher */
	uint32_t ends;	   /**< of those, the ones under which a searcher is known to have ended */
	uint32_t number;   /**< the one that `state` speaks of; `done`: none was claimed */
	bool unclaimed;	   /**< the store did not answer the claim in time */
	bool free_used;	   /**< see trial_take_free() */
	uint64_t since_us; /**< of the claim, or of hearing that another VM has it */
	uint64_t next_us;  /**< no trial begins before */
} trial_t;

/** What an attempt may do; a granted trial is begun with TRIAL_GO. */
trial_turn_t trial_turn(trial_t *trial, uint64_t now_us);
/** Whether a trial could begin now, or is about to on this VM. */
bool trial_is_due(const trial_t *trial, uint64_t now_us);
/** Claim the next one; its number is in `number`. */
void trial_claim(trial_t *trial, uint64_t now_us);
/** The store's word on the claim of @p number; one that comes late changes nothing. */
void trial_claimed(trial_t *trial, uint32_t number, claim_reply_t reply, uint64_t now_us);
/**
 * Begin one trial that nobody has to know of: of a request that only this VM suspects, which is
 * nearly always one that ran beside another. False after the first.
 */
bool trial_take_free(trial_t *trial);
/** Whether the one that is out was claimed, or would have been if the store had answered. */
bool trial_is_counted(const trial_t *trial);
/** The one that was begun is over. @param ran it reached a searcher that may have run it */
void trial_over(trial_t *trial, bool ran, uint64_t now_us);
/** Searchers have ended under @p ends trials, on all VMs, the last of them at @p at_us. */
void trial_note_ends(trial_t *trial, uint32_t ends, uint64_t at_us);
/** Another VM says that the trial @p done is over, and that @p ran may have reached a searcher. */
void trial_heard(trial_t *trial, uint32_t done, uint32_t ran, uint64_t now_us);
/** None is to begin before @p until_us. */
void trial_delay(trial_t *trial, uint64_t until_us);

#endif
