/**
 * @file upstream_task.h
 * Owns the connections to searchers: sub-requests, their cancellation, and health probes.
 */
#ifndef DS_UPSTREAM_TASK_H
#define DS_UPSTREAM_TASK_H

#include "core/reply.h"
#include "net/http_memory.h"
#include "net/loop.h"

typedef struct upstream_task_t upstream_task_t;

/** One sub-request. Strings are owned by the message. */
typedef struct sub_request_t {
	uint64_t attempt_id;
	char *address;
	uint16_t port;
	uint32_t connections; /**< maximum of connections to this searcher for requests */
	const char *method;   /**< a string literal, not freed */
	char *path;
	char *headers;
	char *body; /**< NULL for none */
	bool fresh_connection;
} sub_request_t;

/** Result of a health probe. */
typedef enum probe_result_t {
	PROBE_REPORTED,
	PROBE_REFUSED,	    /**< no connection: no process listens there */
	PROBE_NO_REPORT,    /**< no report, or an unreadable one */
	PROBE_INCONCLUSIVE, /**< says nothing about the searcher */
} probe_result_t;

/** Callbacks for results, called from the loop. The callee owns replies and reports. */
typedef struct upstream_task_ops_t {
	void (*ended)(void *ctx, uint64_t attempt_id, reply_t *reply);
	/** @p report is NULL unless @p result is PROBE_REPORTED. */
	void (*probed)(void *ctx, void *upstream, upstream_report_t *report, probe_result_t result);
} upstream_task_ops_t;

upstream_task_t *upstream_task_new(loop_t *loop, http_memory_t *memory,
				   const upstream_task_ops_t *ops, void *ctx);
/** Post a sub-request; the task owns @p request from now on. */
void upstream_task_send(upstream_task_t *task, sub_request_t *request);
/** Post a cancellation; `ended` is not called for the attempt afterwards. */
void upstream_task_cancel(upstream_task_t *task, uint64_t attempt_id);
/** Post a health probe of @p address : @p port; @p upstream is passed to `probed`. */
void upstream_task_probe(upstream_task_t *task, void *upstream, const char *address, uint16_t port);

#endif
