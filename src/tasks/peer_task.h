/**
 * @file peer_task.h
 * Owns the sockets between daemons: one connection an exchange, a frame each way.
 *
 * A connection of its own for each exchange can't have gone silent while it was idle.
 */
#ifndef DS_PEER_TASK_H
#define DS_PEER_TASK_H

#include "core/gossip.h"
#include "settings.h"
#include "tasks/query_task.h"

typedef struct peer_task_t peer_task_t;

/** NULL when the peers' address can't be listened on. */
peer_task_t *peer_task_new(loop_t *loop, const settings_t *settings, query_task_t *queries,
			   timeline_t *timeline);
/** This VM begins a planned stop. */
void peer_task_leave(peer_task_t *task);
const gossip_t *peer_task_gossip(const peer_task_t *task);
/** Bytes sent to peers so far. */
uint64_t peer_task_bytes(const peer_task_t *task);

#endif
