/**
 * @file peer_task.h
 * Gossip connections between daemons: one connection per exchange, with one frame each way.
 *
 * No connection is reused, as an idle one may have failed silently.
 */
#ifndef DS_PEER_TASK_H
#define DS_PEER_TASK_H

#include "core/gossip.h"
#include "settings.h"
#include "tasks/query_task.h"

typedef struct peer_task_t peer_task_t;

/**
 * Start listening on the peers' address, and gossip.
 * @return NULL when the address can't be listened on
 */
peer_task_t *peer_task_new(loop_t *loop, const settings_t *settings, query_task_t *queries,
			   timeline_t *timeline);
/** Announce to the peers that this VM begins a planned stop. */
void peer_task_leave(peer_task_t *task);
const gossip_t *peer_task_gossip(const peer_task_t *task);
/** Bytes sent to peers so far. */
uint64_t peer_task_bytes(const peer_task_t *task);

#endif
