/**
 * @file gather_task.h
 * Hands gathers over to the VMs that gather for this one.
 */
#ifndef DS_GATHER_TASK_H
#define DS_GATHER_TASK_H

#include "core/gatherer_choice.h"
#include "core/handover.h"
#include "net/loop.h"
#include "tasks/relay.h"

typedef struct gather_task_t gather_task_t;

typedef struct gather_ops_t {
	/** The end of a request that was handed over. */
	void (*answer)(void *ctx, relay_t *relay, const hop_answer_t *answer);
	/** Nobody took it: gather here. */
	void (*gather_here)(void *ctx, relay_t *relay);
	/** A gatherer knows a later configuration than any before. */
	void (*newer)(void *ctx, uint64_t version);
} gather_ops_t;

/** Takes @p own, this VM. */
gather_task_t *gather_task_new(loop_t *loop, vm_t *own, const gather_ops_t *ops, void *ctx);
/** The VMs, or what the choice of gatherers follows from, may have changed. */
void gather_task_set_fleet(gather_task_t *task, const fleet_t *fleet);
/**
 * Hand a gather over; false when it is gathered here.
 * @param version of the configuration that chose @p route
 */
bool gather_task_hand_over(gather_task_t *task, relay_t *relay, const route_t *route,
			   uint64_t version);
/** The caller has gone. */
void gather_task_abandon(gather_task_t *task, relay_t *relay);
const handovers_t *gather_task_handovers(const gather_task_t *task);

#endif
