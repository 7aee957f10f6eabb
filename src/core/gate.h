/**
 * @file gate.h
 * Admission gate of one service: limits how many requests run at once, queues some of the others,
 * and rejects the rest.
 *
 * Rejecting on arrival is preferred to rejecting after a wait: the caller can go elsewhere sooner.
 */
#ifndef DS_GATE_H
#define DS_GATE_H

#include "core/config.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** A request that asks for admission; embedded in its owner. */
typedef struct gate_entry_t {
	request_class_t class;
	uint64_t arrived_us;
	uint64_t deadline_us;
	GList link; /**< in a waiting queue; data is the entry */
	bool waiting;
	void *owner;
} gate_entry_t;

typedef enum gate_verdict_t {
	GATE_RUN,     /**< admitted now */
	GATE_WAIT,    /**< queued; gate_next() returns it later, or its owner withdraws it */
	GATE_FULL,    /**< too many requests wait already */
	GATE_NO_TIME, /**< the request would not be answered before its deadline */
} gate_verdict_t;

typedef struct gate_t {
	GQueue waiting[CLASS_COUNT]; /**< sorted by deadline */
	uint32_t queue_limit;	     /**< maximum entries per class */
	uint32_t running;
	double capacity;	/**< requests that may run at once */
	double run_us;		/**< exponential moving average of a request's run time */
	uint32_t pick_count;	/**< calls of gate_next() with free capacity */
	uint64_t retry_slot_us; /**< time slot of the last rejected caller */
} gate_t;

void gate_init(gate_t *gate);
/** Decide on the admission of @p entry. On GATE_RUN it counts as running. */
gate_verdict_t gate_offer(gate_t *gate, gate_entry_t *entry, uint64_t now_us);
/**
 * The waiting entry that @p entry, rejected with GATE_FULL, may displace, or NULL. That is the
 * newest entry of the lowest class below its own, if that entry has just arrived. An entry that has
 * waited longer keeps its place: otherwise urgent requests would starve the rest, and its rejection
 * would come late.
 */
gate_entry_t *gate_displaceable(const gate_t *gate, const gate_entry_t *entry, uint64_t now_us);
/** Admit the next waiting entry if there is free capacity; it then counts as running. NULL if none.
 */
gate_entry_t *gate_next(gate_t *gate);
/** Remove a waiting entry from its queue. */
void gate_withdraw(gate_t *gate, gate_entry_t *entry);
/** A running request finished after @p run_us. */
void gate_leave(gate_t *gate, uint64_t run_us);
/** Number of waiting entries. */
uint32_t gate_waiting(const gate_t *gate);
/** Retry delay for a rejected caller; delays are spread over the time in which capacity frees up.
 */
uint64_t gate_retry_delay_us(gate_t *gate, uint64_t now_us, GRand *rand);

#endif
