/**
 * @file send_limit.h
 * Limit on the sub-requests that this VM may have outstanding at one searcher.
 *
 * A searcher queues what it can't process at once. Without a limit the VMs together fill its queue
 * until every answer comes after its target, and it rejects the rest. While the VM's
 * searchers are overloaded (overload.h), the limit applies from the first late or rejected
 * sub-request on: it is lowered by each further one and raised while answers arrive within their
 * budget, until it no longer binds. All VMs see the same queue at the searcher,
 * so their limits adapt alike without messages.
 *
 * Answers for: load beyond what the searchers can do, and searchers of unequal or changing speed.
 */
#ifndef DS_SEND_LIMIT_H
#define DS_SEND_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/** Zeroed: no limit applies. */
typedef struct send_limit_t {
	double limit; /**< sub-requests; 0: none applies; below 1: one, with pauses between */
	double start; /**< this VM's share of what the searcher can process and queue in time */
	double latency_us;   /**< recent average latency */
	uint64_t lowered_us; /**< when it was last lowered */
	uint64_t sent_us;    /**< when the last sub-request was sent */
} send_limit_t;

/** What is known of a sub-request when it is sent. */
typedef struct send_sample_t {
	uint64_t sent_us;
	uint64_t budget_us; /**< latency at which the answer is still of use */
	bool was_limited;   /**< the limit was reached with it */
} send_sample_t;

/** The sub-requests of this VM at the searcher. */
typedef struct send_load_t {
	uint32_t outstanding;
	uint32_t max; /**< connections that this VM may open: a limit as high does not bind */
} send_load_t;

/** Set the share that a limit starts from: @p start sub-requests. */
void send_limit_set_start(send_limit_t *limit, double start);
/** The limit in force, in sub-requests; 0: none applies. */
double send_limit_now(const send_limit_t *limit, uint64_t now_us);
/** Whether the limit was lowered to its minimum and has hardly been raised since. */
bool send_limit_is_at_minimum(const send_limit_t *limit, uint64_t now_us);
/** Whether a sub-request may be sent beside @p outstanding others. */
bool send_limit_has_room(const send_limit_t *limit, uint32_t outstanding, uint64_t now_us);
/** Record that a sub-request is sent beside @p outstanding others. */
send_sample_t send_limit_note_sent(send_limit_t *limit, uint32_t outstanding, uint64_t budget_us,
				   uint64_t now_us);
/** Record that the searcher answered. @p load includes the answered sub-request. Returns whether
 * the answer was late. */
bool send_limit_note_answer(send_limit_t *limit, const send_sample_t *sample,
			    const send_load_t *load, uint64_t now_us);
/** Record that the searcher rejected the sub-request without running it. */
void send_limit_note_rejected(send_limit_t *limit, const send_sample_t *sample,
			      const send_load_t *load, uint64_t now_us);

#endif
