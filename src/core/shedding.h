/**
 * @file shedding.h
 * Load shedding: which parts a gather leaves out because their shard is overloaded.
 *
 * A shard is overloaded when some of its searchers have left or are slow and the others get more
 * work than they can do. If parts were sent to it all the same, they would wait until just before
 * the target; the searcher would then work on answers that nobody waits for, every answer would
 * take as long as its target, and a gather that asks two such shards would fail. Each VM knows how
 * long its own parts would wait for one of its connections, and the searchers' connection limit
 * ties that wait to the shard's capacity. So each VM sheds the parts that exceed its share of the
 * capacity, without any communication between VMs.
 */
#ifndef DS_SHEDDING_H
#define DS_SHEDDING_H

#include "core/forward.h"

/** Whether the request would still reach its required coverage without one more part. */
bool shedding_is_allowed(const forward_t *forward);
/** Whether a part that has to wait for a free connection now would be answered after the target. */
bool shedding_waits_too_long(const forward_part_t *part, uint64_t now_us);
/** Whether a part sent now would be answered after the target. */
bool shedding_is_too_late(const forward_part_t *part, uint64_t now_us);
/** A part of the shard found no free connection. */
void shedding_note_wait(pool_t *pool, uint64_t now_us);
/** A part of the shard was sent, or shed. */
void shedding_note_part(pool_t *pool, bool shed);
/** Whether a part of the shard recently found no free connection: then its searchers should not
 * work on parts that would be answered too late. */
bool shedding_is_on(const pool_t *pool, uint64_t now_us);

#endif
