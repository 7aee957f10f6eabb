/**
 * @file retry_budget.h
 * Budget for extra sub-requests: how many sub-requests a service may be sent beyond the first one
 * of each request.
 *
 * Under overload, retries multiply the load that caused it. All VMs share one limit per service: a
 * ratio of its requests within a sliding window, plus a constant. Each VM keeps to the ratio of its
 * own requests, so the sum keeps to the ratio of all requests whichever VMs join, leave or restart.
 * Of the constant, each VM uses the share that the number of VMs gives it.
 */
#ifndef DS_RETRY_BUDGET_H
#define DS_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#define RETRY_BUDGET_SLOTS 20

/** What extra sub-requests are for. */
typedef enum retry_purpose_t {
	RETRY_FOR_HEDGE,   /**< hedges; may use only a part of the budget */
	RETRY_FOR_FAILURE, /**< without it the request gets no answer */
} retry_purpose_t;

typedef struct retry_budget_t {
	uint64_t slot_us; /**< time covered by one slot */
	uint64_t newest;  /**< number of the current slot */
	uint32_t requests[RETRY_BUDGET_SLOTS];
	uint32_t extras[RETRY_BUDGET_SLOTS];
} retry_budget_t;

/** The configured limit. */
typedef struct retry_bound_t {
	double ratio;
	uint64_t window_us;
	double constant; /**< this VM's share of the constant */
} retry_bound_t;

void retry_budget_init(retry_budget_t *budget, const retry_bound_t *bound);
void retry_budget_note_request(retry_budget_t *budget, uint64_t now_us);
/** Take one extra sub-request from the budget; false if it is exhausted. */
bool retry_budget_take(retry_budget_t *budget, const retry_bound_t *bound, retry_purpose_t purpose,
		       uint64_t now_us);
/** Remaining share of the hedges' part of the budget, 0 to 1. */
double retry_budget_share_left(retry_budget_t *budget, const retry_bound_t *bound, uint64_t now_us);
/** Number of extra sub-requests that may still be sent for @p purpose now. */
double retry_budget_left(retry_budget_t *budget, const retry_bound_t *bound,
			 retry_purpose_t purpose, uint64_t now_us);

#endif
