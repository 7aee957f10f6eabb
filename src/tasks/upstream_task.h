/**
 * @file upstream_task.h
 * Owns the connections to searchers: sub-requests, their cancellation, and health probes.
 */
#ifndef DS_UPSTREAM_TASK_H
#define DS_UPSTREAM_TASK_H

#include "core/reply.h"
#include "net/loop.h"

typedef struct upstream_task_t upstream_task_t;

/** One sub-request. Strings are owned by the message. */
typedef struct sub_request_t {
	uint64_t attempt_id;
	char *address;
	uint16_t port;
	uint32_t connections; /**< most connections to this searcher for requests */
	const char *method;   /**< a literal */
	char *path;
	char *headers;
	char *body; /**< NULL for none */
	bool fresh_connection;
} sub_request_t;

/** What a health probe has shown. */
typedef enum probe_end_t {
	PROBE_REPORTED,
	PROBE_REFUSED, /**< nobody listens there */
	PROBE_SILENT,  /**< no report, or one that can't be read */
	PROBE_UNKNOWN, /**< it says nothing of the searcher */
} probe_end_t;

/** Where results go; called from the loop. The receiver takes replies and reports. */
typedef struct upstream_task_ops_t {
	void (*ended)(void *ctx, uint64_t attempt_id, reply_t *reply);
	/** @p report is NULL but for PROBE_REPORTED. */
	void (*probed)(void *ctx, void *upstream, upstream_report_t *report, probe_end_t end);
} upstream_task_ops_t;

upstream_task_t *upstream_task_new(loop_t *loop, const upstream_task_ops_t *ops, void *ctx);
/** Post a sub-request, which is taken over. */
void upstream_task_send(upstream_task_t *task, sub_request_t *request);
/** Post a cancellation; no `ended` follows for it. */
void upstream_task_cancel(upstream_task_t *task, uint64_t attempt_id);
/** Post a health probe of @p address : @p port; @p upstream comes back with the report. */
void upstream_task_probe(upstream_task_t *task, void *upstream, const char *address, uint16_t port);

#endif
