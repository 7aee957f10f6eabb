/**
 * @file front_metrics.h
 * Metrics of a VM in forwarding mode, as Prometheus text.
 */
#ifndef DS_FRONT_METRICS_H
#define DS_FRONT_METRICS_H

#include "core/forward.h"
#include "core/handover.h"
#include "core/tenant_counters.h"
#include "net/pacing.h"
#include "tasks/link_task.h"
#include "tasks/platform_task.h"
#include "tasks/quota_task.h"
#include "tasks/store_reader.h"
#include "tasks/store_sync_task.h"

/** The modules whose counters are written; borrowed for the call. */
typedef struct front_metrics_sources_t {
	const forwarder_t *forwarder;
	const registry_t *registry;
	const link_counters_t *links;
	const http_memory_t *replies;	    /**< unfinished ones of searchers and store */
	const http_memory_t *requests;	    /**< unfinished ones of callers */
	const http_memory_t *open_requests; /**< requests that are being answered */
	pacing_counters_t pacing;	    /**< of callers' connections */
	const store_sync_task_t *store_sync;
	const platform_counters_t *store;
	const handovers_t *handovers;
	uint32_t caller_connections;	     /**< open now */
	uint64_t caller_connections_refused; /**< closed because there were too many */
	uint32_t
		gathers_for_others; /**< open requests that other VMs have handed over to this VM */
	store_reader_counters_t reader;
	const quota_task_t *quotas;
	GHashTable *tenants; /**< see core/tenant_counters.h */
} front_metrics_sources_t;

/** Append the metrics of admission control and of the send limits; none while it is not enabled. */
void front_metrics_write_admission(GString *out, const forwarder_t *forwarder,
				   const registry_t *registry, uint64_t now_us);
/** @return text that the caller frees */
GString *front_metrics_write(const front_metrics_sources_t *sources);

#endif
