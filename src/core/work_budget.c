/**
 * @file work_budget.c
 * See work_budget.h.
 */
#include "core/work_budget.h"

#include <glib.h>

/* Unused time is kept for a burst of this length. */
#define KEPT_US 200000
/* Debt beyond this is forgotten: one long piece of work must not stop the others for long. */
#define DEBT_MAX_US 200000
/* (us * ppm) / PPM_US_PER_NS = ns */
#define PPM_US_PER_NS 1000

static int64_t time_ns(const work_budget_t *budget, uint64_t time_us)
{
	return (int64_t)(time_us * budget->share_ppm / PPM_US_PER_NS);
}

static void refill(work_budget_t *budget, uint64_t now_us)
{
	uint64_t passed_us = now_us > budget->updated_us ? now_us - budget->updated_us : 0;

	budget->left_ns += time_ns(budget, MIN(passed_us, KEPT_US + DEBT_MAX_US));
	budget->left_ns = MIN(budget->left_ns, time_ns(budget, KEPT_US));
	budget->updated_us = MAX(now_us, budget->updated_us);
}

void work_budget_init(work_budget_t *budget, uint32_t share_ppm, uint64_t now_us)
{
	*budget = (work_budget_t){.share_ppm = MAX(share_ppm, 1), .updated_us = now_us};
	budget->left_ns = time_ns(budget, KEPT_US);
}

void work_budget_charge(work_budget_t *budget, uint64_t work_ns, uint64_t now_us)
{
	refill(budget, now_us);
	budget->left_ns -= (int64_t)MIN(work_ns, INT64_MAX / 2);
	budget->left_ns = MAX(budget->left_ns, -time_ns(budget, DEBT_MAX_US));
}

bool work_budget_has_left(work_budget_t *budget, uint64_t now_us)
{
	refill(budget, now_us);
	return budget->left_ns > 0;
}

uint64_t work_budget_wait_us(work_budget_t *budget, uint64_t now_us)
{
	refill(budget, now_us);
	if (budget->left_ns > 0)
		return 0;
	return (uint64_t)(-budget->left_ns + 1) * PPM_US_PER_NS / budget->share_ppm + 1;
}
