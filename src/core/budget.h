/**
 * @file budget.h
 * Token bucket for extra work: a share of the ordinary work done, with a small burst.
 */
#ifndef DS_BUDGET_H
#define DS_BUDGET_H

#include <stdbool.h>

typedef struct budget_t {
	double share; /**< tokens earned by one ordinary sub-request */
	double burst; /**< maximum number of tokens */
	double tokens;
} budget_t;

void budget_init(budget_t *budget, double share, double burst);
/** Add the tokens for one ordinary sub-request. */
void budget_earn(budget_t *budget);
/** Take one token; false if there is none. */
bool budget_spend(budget_t *budget);

#endif
