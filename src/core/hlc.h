/**
 * @file hlc.h
 * A hybrid logical clock: wall time in milliseconds and a counter, never behind a cause.
 */
#ifndef DS_HLC_H
#define DS_HLC_H

#include <stdint.h>

/** Upper 48 bits wall milliseconds, lower 16 bits a counter: ordered as an integer. */
typedef uint64_t hlc_t;

/** Advance @p clock for a local event or a message to send. */
hlc_t hlc_tick(hlc_t *clock, uint64_t wall_ms);
/** Advance @p clock past a received stamp. Stamps far in the future are not followed. */
hlc_t hlc_receive(hlc_t *clock, uint64_t wall_ms, hlc_t received);

#endif
