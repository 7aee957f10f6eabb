/**
 * @file retry_budget.c
 * See retry_budget.h.
 */
#include "core/retry_budget.h"

#include <string.h>

/* A tenth of the ratio is left unused, because the windows of the VMs and of the limit do not begin
 * together. */
#define RETRY_RATIO_UTILISATION 0.9
/* Share of the budget that hedges may use; the rest is left for failed requests. */
#define RETRY_BUDGET_HEDGE_SHARE 0.9
void retry_budget_init(retry_budget_t *budget, const retry_bound_t *bound)
{
	memset(budget, 0, sizeof(*budget));
	budget->slot_us = bound->window_us / RETRY_BUDGET_SLOTS;
	if (!budget->slot_us)
		budget->slot_us = 1;
}

/* Clears the slots that have left the window; returns the index of the current slot. */
static uint32_t retry_budget_advance(retry_budget_t *budget, uint64_t now_us)
{
	uint64_t slot = now_us / budget->slot_us;

	if (slot > budget->newest + RETRY_BUDGET_SLOTS)
		budget->newest = slot - RETRY_BUDGET_SLOTS;
	while (budget->newest < slot) {
		uint32_t index = (uint32_t)(++budget->newest % RETRY_BUDGET_SLOTS);

		budget->requests[index] = 0;
		budget->extras[index] = 0;
	}
	return (uint32_t)(budget->newest % RETRY_BUDGET_SLOTS);
}

void retry_budget_note_request(retry_budget_t *budget, uint64_t now_us)
{
	budget->requests[retry_budget_advance(budget, now_us)]++;
}

static uint32_t sum(const uint32_t *slots)
{
	uint32_t total = 0;

	for (uint32_t i = 0; i < RETRY_BUDGET_SLOTS; i++)
		total += slots[i];
	return total;
}

/* Extra sub-requests that the requests in the window allow; call retry_budget_advance() first. */
static double allowance(const retry_budget_t *budget, const retry_bound_t *bound,
			retry_purpose_t purpose)
{
	double allowed =
		RETRY_RATIO_UTILISATION * bound->ratio * sum(budget->requests) + bound->constant;

	return purpose == RETRY_FOR_HEDGE ? RETRY_BUDGET_HEDGE_SHARE * allowed : allowed;
}

double retry_budget_left(retry_budget_t *budget, const retry_bound_t *bound,
			 retry_purpose_t purpose, uint64_t now_us)
{
	retry_budget_advance(budget, now_us);
	return allowance(budget, bound, purpose) - sum(budget->extras);
}

double retry_budget_share_left(retry_budget_t *budget, const retry_bound_t *bound, uint64_t now_us)
{
	double left = retry_budget_left(budget, bound, RETRY_FOR_HEDGE, now_us);

	return left > 0 ? left / allowance(budget, bound, RETRY_FOR_HEDGE) : 0;
}

bool retry_budget_take(retry_budget_t *budget, const retry_bound_t *bound, retry_purpose_t purpose,
		       uint64_t now_us)
{
	if (retry_budget_left(budget, bound, purpose, now_us) < 1)
		return false;
	budget->extras[retry_budget_advance(budget, now_us)]++;
	return true;
}
