/**
 * @file link_task.h
 * Owns the connections to registered searchers, and sends sub-requests over them.
 *
 * A searcher accepts few connections from all VMs together and resets any beyond that; each new
 * connection costs it a handshake. So connections are few and kept alive, and of the idle ones the
 * most recently used is chosen.
 */
#ifndef DS_LINK_TASK_H
#define DS_LINK_TASK_H

#include "core/forward.h"
#include "net/http_memory.h"
#include "net/loop.h"

typedef struct link_task_t link_task_t;

typedef struct link_task_ops_t {
	/** Write the head of @p sub's request. Called once on sending, as are body() and id(). */
	void (*write_head)(void *ctx, const subrequest_t *sub, GString *out);
	const GString *(*body)(void *ctx, const subrequest_t *sub);
	const char *(*id)(void *ctx, const subrequest_t *sub);
	/** @p sub has ended; the callee owns @p reply. */
	void (*ended)(void *ctx, subrequest_t *sub, sub_reply_t *reply);
	/** The searcher refused a connection: no process listens on its port any more. */
	void (*connection_refused)(void *ctx, searcher_t *searcher);
	/** The searcher accepted a connection that was begun at @p since_us. */
	void (*connected)(void *ctx, searcher_t *searcher, uint64_t since_us);
	/** A searcher of @p service has capacity again. */
	void (*has_capacity)(void *ctx, const char *service);
} link_task_ops_t;

typedef struct link_counters_t {
	uint64_t opened, refused, reset, garbage, oversized, cancelled, foreign;
} link_counters_t;

/** @param memory limits the memory of unfinished replies; NULL: not limited */
link_task_t *link_task_new(loop_t *loop, http_memory_t *memory, const link_task_ops_t *ops,
			   void *ctx);
/** Send @p sub. `ended` is called for it later, never before this returns. */
void link_task_send(link_task_t *task, subrequest_t *sub);
/** Close the connection of @p sub; `ended` is not called for it. */
void link_task_cancel(link_task_t *task, subrequest_t *sub);
/** Open a connection to @p searcher ahead of need. */
void link_task_warm(link_task_t *task, searcher_t *searcher);
/** The searcher's state has changed: requests may wait for it, or its connections be useless. */
void link_task_searcher_changed(link_task_t *task, searcher_t *searcher);
const link_counters_t *link_task_counters(const link_task_t *task);

#endif
