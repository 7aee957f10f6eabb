/**
 * @file work_budget.h
 * Processor time that may be spent on one kind of work: a token bucket that may go into debt.
 *
 * Work is charged after it was done, since its cost is not known before. Does no I/O: the caller
 * passes in the time.
 */
#ifndef DS_WORK_BUDGET_H
#define DS_WORK_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

typedef struct work_budget_t {
	uint32_t share_ppm; /**< processor time per time, in millionths */
	int64_t left_ns;    /**< negative: debt */
	uint64_t updated_us;
} work_budget_t;

/** @param share_ppm part of one core; the budget begins full */
void work_budget_init(work_budget_t *budget, uint32_t share_ppm, uint64_t now_us);
/** Takes @p work_ns, whatever is left. */
void work_budget_charge(work_budget_t *budget, uint64_t work_ns, uint64_t now_us);
/** Whether more work may be done now. */
bool work_budget_has_left(work_budget_t *budget, uint64_t now_us);
/** Time until more work may be done; 0: now. */
uint64_t work_budget_wait_us(work_budget_t *budget, uint64_t now_us);

#endif
