/**
 * @file hlc.h
 * A hybrid logical clock: wall time in milliseconds and a counter. A stamp is later than the
 * stamps of the events that caused it.
 */
#ifndef DS_HLC_H
#define DS_HLC_H

#include <stdint.h>

/** Upper 48 bits: wall time in milliseconds; lower 16 bits: a counter. Compares as an integer. */
typedef uint64_t hlc_t;

/** Advance @p clock for a local event or a message to send. */
hlc_t hlc_tick(hlc_t *clock, uint64_t wall_ms);
/** Advance @p clock past a received stamp. Stamps far in the future are ignored. */
hlc_t hlc_receive(hlc_t *clock, uint64_t wall_ms, hlc_t received);

#endif
