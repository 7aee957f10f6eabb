/**
 * @file shedding.h
 * Which parts a gather goes without because their shard can't serve all that it is offered.
 *
 * The load it answers: searchers of a shard have left or are slow, and what is left of it gets more
 * work than it can do. Sent all the same, parts wait until just before the target; the searcher
 * then works on them for nobody, every answer takes as long as its target, and a gather that asks
 * two such shards fails. Each VM knows how long its own parts would wait for one of its
 * connections, which the searchers' limit on connections ties to what the shard can do. So the VMs
 * leave out what is too much for their share of it, without talking to each other.
 */
#ifndef DS_SHEDDING_H
#define DS_SHEDDING_H

#include "core/forward.h"

/** Whether the request would still have the coverage that it needs without one more part. */
bool shedding_is_allowed(const forward_t *forward);
/** Whether a part that has to wait for room now would be answered after the target. */
bool shedding_waits_too_long(const part_t *part, uint64_t now_us);
/** Whether a part sent now would be answered after the target. */
bool shedding_is_too_late(const part_t *part, uint64_t now_us);
/** A part of the shard found no room. */
void shedding_note_wait(pool_t *pool, uint64_t now_us);
/** A part of the shard was sent, or left out. */
void shedding_note_part(pool_t *pool, bool shed);
/** Whether that was just now: its searchers should not work on what comes too late. */
bool shedding_is_on(const pool_t *pool, uint64_t now_us);

#endif
