/**
 * @file budget.c
 * See budget.h.
 */
#include "core/budget.h"

void budget_init(budget_t *budget, double share, double burst)
{
	*budget = (budget_t){.share = share, .burst = burst, .tokens = burst};
}

void budget_earn(budget_t *budget)
{
	budget->tokens += budget->share;
	if (budget->tokens > budget->burst)
		budget->tokens = budget->burst;
}

bool budget_spend(budget_t *budget)
{
	if (budget->tokens < 1)
		return false;
	budget->tokens -= 1;
	return true;
}
