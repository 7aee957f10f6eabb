/**
 * @file gate.h
 * Admission to one service: how many requests run at once, who waits, and who is refused.
 *
 * Refusing on arrival is preferred to refusing after a wait: the caller can go elsewhere sooner.
 */
#ifndef DS_GATE_H
#define DS_GATE_H

#include "core/config.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** A request at the gate; embedded in its owner. */
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
	GATE_WAIT,    /**< waits; gate_next() will give it out, or its owner withdraws it */
	GATE_FULL,    /**< its class's queue is full */
	GATE_NO_TIME, /**< it would not be answered before its deadline */
} gate_verdict_t;

typedef struct gate_t {
	GQueue waiting[CLASS_COUNT]; /**< by deadline */
	uint32_t queue_limit;	     /**< entries a class */
	uint32_t running;
	double capacity; /**< requests that may run at once */
	double run_us;	 /**< moving average of a request's run */
	uint32_t turn;
	uint64_t return_slot_us; /**< when the next refused caller may come back */
} gate_t;

void gate_init(gate_t *gate);
/** Decide on @p entry. On GATE_RUN it counts as running. */
gate_verdict_t gate_offer(gate_t *gate, gate_entry_t *entry, uint64_t now_us);
/**
 * Whom @p entry, refused as GATE_FULL, may displace, or NULL: the newest of the lowest lower class,
 * if it has just come. One that has waited for a while keeps its place, or urgent work would starve
 * the rest, and its refusal would come late.
 */
gate_entry_t *gate_displaceable(const gate_t *gate, const gate_entry_t *entry, uint64_t now_us);
/** The next to run if there is room; it then counts as running. NULL if none. */
gate_entry_t *gate_next(gate_t *gate);
/** A waiting entry is given up. */
void gate_withdraw(gate_t *gate, gate_entry_t *entry);
/** A running request has ended after @p run_us. */
void gate_leave(gate_t *gate, uint64_t run_us);
uint32_t gate_waiting(const gate_t *gate);
/** When a refused caller should come back: spread over the time in which there is room. */
uint64_t gate_return_after_us(gate_t *gate, uint64_t now_us, GRand *rand);

#endif
