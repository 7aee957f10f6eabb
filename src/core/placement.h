/**
 * @file placement.h
 * Which searcher of a pool gets a sub-request.
 */
#ifndef DS_PLACEMENT_H
#define DS_PLACEMENT_H

#include "core/registry.h"

/** A sub-request that was sent; embedded in its owner, linked in its searcher's queue. */
typedef struct sending_t {
	uint64_t sent_us;
	GList link; /**< in searcher_t.out; data is the sending_t */
} sending_t;

/** What a sub-request to the pool usually takes. */
double placement_typical_us(const pool_t *pool);
/** How long one more part would wait for room, behind those that wait already. */
double placement_wait_us(const pool_t *pool);
/** Connections that this VM may have to all usable searchers of the pool. */
uint32_t placement_room_most(const pool_t *pool);
/** Expected time until an answer, for comparing searchers. */
double placement_cost_us(const searcher_t *searcher, const pool_t *pool, uint64_t now_us);
/** What a sub-request to it should take, by what was measured of late. */
double placement_expected_us(const searcher_t *searcher, const pool_t *pool, uint64_t now_us);
/** After how long without an answer it is taken to pause, or to hang. */
uint64_t placement_stuck_us(const searcher_t *searcher, const pool_t *pool, uint64_t now_us);
/** Whether its oldest sub-request is out for so long. */
bool placement_is_stuck(const searcher_t *searcher, const pool_t *pool, uint64_t now_us);
/** After how long without an answer it is taken to hang: well beyond a pause. */
uint64_t placement_hang_us(const searcher_t *searcher, const pool_t *pool, uint64_t now_us);
/**
 * The searcher with the least cost that has room, or NULL.
 * @param excluded searcher_t that were asked already
 */
searcher_t *placement_choose(const pool_t *pool, const GPtrArray *excluded, GRand *rand,
			     uint64_t now_us);
/** The same for a suspect request: one that no other suspect is out to, and that has nothing else
 * of this VM, if there is one. See poison.h. */
searcher_t *placement_choose_alone(const pool_t *pool, const GPtrArray *excluded, GRand *rand,
				   uint64_t now_us);
/** Whether suspect requests are out to all that may be sent work and are not @p excluded. */
bool placement_is_all_probed(const pool_t *pool, const GPtrArray *excluded);
/** Whether any searcher of the pool may be sent work now. */
bool placement_has_room(const pool_t *pool);
/** Whether any searcher outside @p excluded may be sent work, with room or without. */
bool placement_is_possible(const pool_t *pool, const GPtrArray *excluded);

#endif
