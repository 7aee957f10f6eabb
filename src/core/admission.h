/**
 * @file admission.h
 * Admission control for whole requests: which requests of this VM's queue start next, and which are
 * refused.
 *
 * The order is rank, then the tenant's virtual start time (start-time fair queueing), then arrival.
 * One start in eight goes to the request of a less urgent rank that has waited longest. A request
 * whose predicted start is too late for its target is refused on arrival. The prediction is the
 * work that waits ahead divided by the rate of starts, which is measured only while requests wait:
 * an idle system shows demand, not capacity.
 *
 * Does no I/O: the caller passes in the time.
 *
 * Answers for: 1 to 10 times the capacity, thousands of waiting requests, 10,000 tenants, and 1,000
 * refusals a second on an eighth of a processor. The cost of a call grows with the logarithm of
 * the number of waiting requests.
 */
#ifndef DS_ADMISSION_H
#define DS_ADMISSION_H

#include "core/timers.h"

typedef struct admission_t admission_t;

/** A request; embedded in its owner, zero-initialised apart from what the caller sets. */
typedef struct admission_entry_t {
	uint32_t rank;	       /**< 0 is the most urgent */
	const char *tenant;    /**< NULL: none. All requests without one count as one tenant */
	double weight;	       /**< of the tenant: the rate of its quota; 1 without a quota */
	uint32_t parts;	       /**< cost: number of sub-requests that it will send */
	uint64_t arrived_us;   /**< the order by age */
	uint64_t start_by_us;  /**< if started later, it would miss its target */
	uint64_t deadline_us;  /**< when the caller stops waiting */
	bool queued;	       /**< it waits; set by this module */
	void *owner;	       /**< for the caller's use */
	struct flow_t *flow;   /**< private: its tenant's queue */
	double virtual_start;  /**< private */
	double virtual_length; /**< private: cost / weight */
	double virtual_end;    /**< private */
	double virtual_before; /**< private: virtual end of the tenant's previous entry */
	uint64_t serial;       /**< private: orders entries of the same virtual start */
	GSequenceIter *place;  /**< private: in the order */
	GList age_link;	       /**< private */
	GList side_link;       /**< private: in the queue @p side */
	GQueue *side;	       /**< private: NULL if its predicted start is in time */
	timer_entry_t expiry;  /**< private */
} admission_entry_t;

typedef enum admission_verdict_t {
	ADMISSION_START,  /**< start it now */
	ADMISSION_WAIT,	  /**< it is queued */
	ADMISSION_REFUSE, /**< it can't start in time */
} admission_verdict_t;

/** Whether @p entry has room at enough searchers. Must not change the queue. */
typedef bool (*admission_can_start_f)(void *ctx, admission_entry_t *entry);

admission_t *admission_new(void);
/** Entries that still wait are no longer queued afterwards. */
void admission_free(admission_t *admission);
/**
 * Decide on a request that has arrived.
 *
 * With room, a request behind others that wait is queued without regard to the predicted wait,
 * because those may lack room at other searchers. The caller then calls admission_next(), which
 * finds out; what admission_next() can't start is refused by admission_expired().
 * @param has_room it could start now
 */
admission_verdict_t admission_offer(admission_t *admission, admission_entry_t *entry, bool has_room,
				    uint64_t now_us);
/**
 * Dequeue the next entry that may start: the first in order for which @p can_start is true. Call
 * whenever room may have been freed, until it returns NULL.
 *
 * A call tries a limited number of entries: the first ones in order, and a window over the others
 * that moves on with each call, so that requests without room don't block those behind them.
 * @return NULL: none
 */
admission_entry_t *admission_next(admission_t *admission, admission_can_start_f can_start,
				  void *ctx, uint64_t now_us);
/**
 * Dequeue an entry that would miss its target if it kept waiting: it has to be refused. Call when
 * admission_next_us() is due and after admission_next(), until it returns NULL.
 *
 * That includes entries whose predicted start has become too late since they were queued: the least
 * urgent and newest first.
 * @return NULL: none
 */
admission_entry_t *admission_expired(admission_t *admission, uint64_t now_us);
/** When admission_expired() is to be called next; TIMERS_NEVER: not needed. */
uint64_t admission_next_us(const admission_t *admission);
/** Remove an entry from the queue; without effect if it is not queued. */
void admission_withdraw(admission_t *admission, admission_entry_t *entry);
/**
 * After admission_offer() refused @p entry: dequeue the last entry in order, which gives up its
 * place, if its rank is less urgent. The caller refuses that entry and offers @p entry again.
 *
 * Only a queue that is full has a place to give up: entries of less urgent ranks start after
 * @p entry and do not delay it.
 * @return NULL: none
 */
admission_entry_t *admission_displaced(admission_t *admission, const admission_entry_t *entry,
				       uint64_t now_us);
/**
 * How long a refused caller should wait: until the next start, at the measured rate, that has not
 * been promised to another caller, and for at most a third of @p caller_left_us.
 *
 * When all starts within that third are promised, the delays are spread over its second half: the
 * later the caller returns, the more likely it is that the overload has ended.
 * @param caller_left_us how long the caller still waits; 0: unknown
 */
uint64_t admission_retry_after_us(admission_t *admission, uint64_t caller_left_us, uint64_t now_us);
/** Number of waiting entries. */
uint32_t admission_waiting(const admission_t *admission);

#endif
