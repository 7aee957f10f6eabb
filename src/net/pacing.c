/**
 * @file pacing.c
 * See pacing.h.
 */
#include "net/pacing.h"

#include "core/work_budget.h"

/* Least cost of a turn: switching a descriptor's events off and on, and the event. */
#define TURN_NS 5000
/* Least time between two rounds of turns, so that a round serves several connections. */
#define ROUND_US 5000

struct pacing_t {
	loop_t *loop;
	work_budget_t budget;
	GQueue turns; /* pacing_turn_t */
	loop_timer_t round;
	uint64_t waits;
};

static void arm(pacing_t *pacing)
{
	uint64_t wait_us = work_budget_wait_us(&pacing->budget, loop_now_us());

	if (pacing->turns.head)
		loop_timer_set(pacing->loop, &pacing->round, MAX(wait_us, ROUND_US));
}

/* Those that have to wait again are put behind the others, so the round ends. */
static void run_round(void *ctx)
{
	pacing_t *pacing = ctx;
	guint left = pacing->turns.length;

	for (; left && pacing->turns.head && pacing_has_left(pacing); left--) {
		pacing_turn_t *turn = pacing->turns.head->data;

		pacing_cancel(turn);
		pacing_charge(pacing, TURN_NS);
		turn->go_on(turn->ctx);
	}
	arm(pacing);
}

pacing_t *pacing_new(loop_t *loop, uint32_t share_ppm)
{
	pacing_t *pacing = g_new0(pacing_t, 1);

	pacing->loop = loop;
	pacing->round = (loop_timer_t){.fire = run_round, .ctx = pacing};
	g_queue_init(&pacing->turns);
	work_budget_init(&pacing->budget, share_ppm, loop_now_us());
	return pacing;
}

void pacing_charge(pacing_t *pacing, uint64_t work_ns)
{
	work_budget_charge(&pacing->budget, work_ns, loop_now_us());
}

bool pacing_has_left(pacing_t *pacing)
{
	return work_budget_has_left(&pacing->budget, loop_now_us());
}

void pacing_wait(pacing_t *pacing, pacing_turn_t *turn)
{
	if (turn->pacing)
		return;
	turn->pacing = pacing;
	turn->link = (GList){.data = turn};
	g_queue_push_tail_link(&pacing->turns, &turn->link);
	pacing->waits++;
	if (pacing->turns.length == 1)
		arm(pacing);
}

void pacing_cancel(pacing_turn_t *turn)
{
	if (!turn->pacing)
		return;
	g_queue_unlink(&turn->pacing->turns, &turn->link);
	turn->pacing = NULL;
}

bool pacing_is_waiting(const pacing_turn_t *turn)
{
	return turn->pacing != NULL;
}

pacing_counters_t pacing_counters(const pacing_t *pacing)
{
	return (pacing_counters_t){.waits = pacing->waits, .waiting = pacing->turns.length};
}
