/**
 * @file pacing.h
 * Shares a limited part of the processor among connections whose peers send more than a usual
 * request needs.
 *
 * Such a connection is charged for what it costs. While the budget is used up, it waits: it is not
 * read, so that its peer can't send on either. Waiting connections go on in turn.
 */
#ifndef DS_PACING_H
#define DS_PACING_H

#include "net/loop.h"

typedef struct pacing_t pacing_t;

/** The place of one connection in the order; embedded in it, zero-initialised but for the callback.
 */
typedef struct pacing_turn_t {
	/** The connection may go on, until the budget is used up again. */
	void (*go_on)(void *ctx);
	void *ctx;
	pacing_t *pacing; /**< private; NULL: not waiting */
	GList link;	  /**< private */
} pacing_turn_t;

typedef struct pacing_counters_t {
	uint64_t waits;	  /**< how often a connection had to wait */
	uint32_t waiting; /**< connections that wait now */
} pacing_counters_t;

/** @param share_ppm part of one core that the connections may use together */
pacing_t *pacing_new(loop_t *loop, uint32_t share_ppm);
void pacing_charge(pacing_t *pacing, uint64_t work_ns);
/** Whether the budget is not used up. */
bool pacing_has_left(pacing_t *pacing);
/** Calls @p turn->go_on when it is this connection's turn, never before the caller returns. */
void pacing_wait(pacing_t *pacing, pacing_turn_t *turn);
/** The connection no longer waits; without effect if it doesn't. */
void pacing_cancel(pacing_turn_t *turn);
bool pacing_is_waiting(const pacing_turn_t *turn);
pacing_counters_t pacing_counters(const pacing_t *pacing);

#endif
