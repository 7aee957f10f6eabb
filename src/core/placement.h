/**
 * @file placement.h
 * Which searcher of a pool gets a sub-request.
 */
#ifndef DS_PLACEMENT_H
#define DS_PLACEMENT_H

#include "core/registry.h"
#include "core/routing.h"

/** A sub-request that was sent; embedded in its owner, linked in its searcher's queue. */
typedef struct sending_t {
	uint64_t sent_us;
	GList link; /**< in searcher_t.out; data is the sending_t */
} sending_t;

/** Whom a sub-request may be sent to, of the searchers of one service. */
typedef struct candidates_t {
	const pool_t *pool;
	const route_t *route;	/**< its regions bind; NULL: none do */
	const GPtrArray *asked; /**< searcher_t that are not asked again; NULL: none */
} candidates_t;

/** What a sub-request to the pool usually takes. */
double placement_typical_us(const pool_t *pool);
/** How long one more part would wait for room, behind those that wait already. */
double placement_wait_us(const candidates_t *candidates, uint64_t now_us);
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
/** The candidate with the least cost that has room, or NULL. */
searcher_t *placement_choose(const candidates_t *candidates, GRand *rand, uint64_t now_us);
/** The same for a suspect request: one that no other suspect is out to, and that has nothing else
 * of this VM, if there is one. See poison.h. */
searcher_t *placement_choose_alone(const candidates_t *candidates, GRand *rand, uint64_t now_us);
/** Whether suspect requests are out to all candidates. */
bool placement_is_all_probed(const candidates_t *candidates);
/** Whether any candidate may be sent work now. */
bool placement_has_room(const candidates_t *candidates, uint64_t now_us);
/** When the next candidate that is cold may be sent a sub-request; UINT64_MAX: none is held back
 * for being cold. */
uint64_t placement_warm_us(const candidates_t *candidates, uint64_t now_us);
/** Whether all candidates are held back for being cold. */
bool placement_is_all_cold(const candidates_t *candidates, uint64_t now_us);
/** Ready searchers of a service that a part was not sent to, by why. */
typedef struct passed_over_t {
	uint32_t elsewhere; /**< in regions that its route must not leave its own for */
	uint32_t evacuated;
	uint32_t cold; /**< they have had what this VM may send them */
} passed_over_t;

passed_over_t placement_passed_over(const candidates_t *candidates, uint64_t now_us);
/** A sub-request is sent to @p searcher. */
void placement_note_sent(const pool_t *pool, searcher_t *searcher, uint64_t now_us);
/** Whether there is any candidate, with room or without. */
bool placement_is_possible(const candidates_t *candidates);

#endif
