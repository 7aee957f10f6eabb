/**
 * @file retry_budget.h
 * How many sub-requests beyond the first of each request a service may be sent.
 *
 * Under trouble, retries multiply the load that caused it. All VMs share one bound for each
 * service: a ratio of its requests within a sliding window, and a constant. Each VM keeps to the
 * ratio of its own requests, so the sum keeps to the ratio of all, whichever VMs come, go or
 * restart; of the constant it takes the part that its number of VMs gives it.
 */
#ifndef DS_RETRY_BUDGET_H
#define DS_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#define RETRY_BUDGET_SLOTS 20

/** What extra sub-requests are for. */
typedef enum retry_purpose_t {
	RETRY_FOR_SPEED,  /**< hedges: may take only part of the budget */
	RETRY_FOR_ANSWER, /**< the request has no other way to an answer */
} retry_purpose_t;

typedef struct retry_budget_t {
	uint64_t slot_us; /**< time covered by one slot */
	uint64_t newest;  /**< number of the slot being filled */
	uint32_t requests[RETRY_BUDGET_SLOTS];
	uint32_t extras[RETRY_BUDGET_SLOTS];
} retry_budget_t;

/** The bound as the deployment gives it. */
typedef struct retry_bound_t {
	double ratio;
	uint64_t window_us;
	double constant; /**< this VM's part of the bound's constant */
} retry_bound_t;

void retry_budget_init(retry_budget_t *budget, const retry_bound_t *bound);
void retry_budget_note_request(retry_budget_t *budget, uint64_t now_us);
/** Take one extra sub-request out of the budget; false when it is used up. */
bool retry_budget_take(retry_budget_t *budget, const retry_bound_t *bound, retry_purpose_t purpose,
		       uint64_t now_us);
/** How much of what hedges may take is left, 0 to 1. */
double retry_budget_share_left(retry_budget_t *budget, const retry_bound_t *bound, uint64_t now_us);
/** Extra sub-requests that may still be sent for @p purpose now. */
double retry_budget_left(retry_budget_t *budget, const retry_bound_t *bound,
			 retry_purpose_t purpose, uint64_t now_us);

#endif
