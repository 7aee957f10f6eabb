/**
 * @file gather_task.h
 * Hands requests to be gathered over to this VM's gatherers: VMs that gather for it.
 */
#ifndef DS_GATHER_TASK_H
#define DS_GATHER_TASK_H

#include "core/gatherer_choice.h"
#include "core/handover.h"
#include "net/loop.h"
#include "tasks/relay.h"

typedef struct gather_task_t gather_task_t;

typedef struct gather_ops_t {
	/** Result of a request that was handed over. */
	void (*answer)(void *ctx, relay_t *relay, const hop_answer_t *answer);
	/** No gatherer accepted the request: gather it in this VM. */
	void (*gather_here)(void *ctx, relay_t *relay);
	/** A gatherer reported a newer configuration version than any gatherer before. */
	void (*newer_version)(void *ctx, uint64_t version);
} gather_ops_t;

/** @param own this VM; owned by the task from now on */
gather_task_t *gather_task_new(loop_t *loop, vm_t *own, const gather_ops_t *ops, void *ctx);
/** Choose the gatherers again: the VMs or other inputs to the choice may have changed. */
void gather_task_set_fleet(gather_task_t *task, const fleet_t *fleet);
/**
 * Hand a request over to a gatherer. Returns false if this VM has to gather it.
 * @param version version of the configuration that chose @p route
 */
bool gather_task_hand_over(gather_task_t *task, relay_t *relay, const route_t *route,
			   uint64_t version);
/** This VM stops at @p stop_us: requests handed over are answered by then. */
void gather_task_stop_at(gather_task_t *task, uint64_t stop_us);
/** Sets the version of the configuration in force on this VM. */
void gather_task_set_version(gather_task_t *task, uint64_t version);
/** The caller has disconnected: cancel the hand-over. */
void gather_task_abandon(gather_task_t *task, relay_t *relay);
const handovers_t *gather_task_handovers(const gather_task_t *task);

#endif
