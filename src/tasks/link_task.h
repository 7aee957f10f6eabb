/**
 * @file link_task.h
 * Owns the connections to registered searchers, and carries sub-requests on them.
 *
 * A searcher takes few connections from all VMs together, and resets what is beyond; a new one
 * costs it a handshake. So connections are few, kept, and used by the one used last.
 */
#ifndef DS_LINK_TASK_H
#define DS_LINK_TASK_H

#include "core/forward.h"
#include "net/loop.h"

typedef struct link_task_t link_task_t;

typedef struct link_task_ops_t {
	/** Write the head of @p sub's request. These three are asked once, when it is sent. */
	void (*write_head)(void *ctx, const subrequest_t *sub, GString *out);
	const GString *(*body)(void *ctx, const subrequest_t *sub);
	const char *(*id)(void *ctx, const subrequest_t *sub);
	/** Takes @p reply. */
	void (*ended)(void *ctx, subrequest_t *sub, sub_reply_t *reply);
	/** Nobody listens at the searcher's port any more. */
	void (*refused)(void *ctx, searcher_t *searcher);
	/** It has accepted a connection that was begun at @p since_us. */
	void (*listens)(void *ctx, searcher_t *searcher, uint64_t since_us);
	/** A searcher of @p service has room again. */
	void (*room)(void *ctx, const char *service);
} link_task_ops_t;

typedef struct link_counters_t {
	uint64_t opened, refused, reset, garbage, cancelled, foreign;
} link_counters_t;

link_task_t *link_task_new(loop_t *loop, const link_task_ops_t *ops, void *ctx);
/** Send @p sub; its end is told later, never before the return. */
void link_task_send(link_task_t *task, subrequest_t *sub);
/** Close the connection of @p sub; its end is not told. */
void link_task_cancel(link_task_t *task, subrequest_t *sub);
/** Open a first connection, if there is none. */
void link_task_warm(link_task_t *task, searcher_t *searcher);
/** The searcher's state has changed: requests may wait for it, or connections idle in vain. */
void link_task_searcher_changed(link_task_t *task, searcher_t *searcher);
const link_counters_t *link_task_counters(const link_task_t *task);

#endif
