/**
 * @file front_metrics.h
 * Metrics of a VM that forwards by routes, as Prometheus text.
 */
#ifndef DS_FRONT_METRICS_H
#define DS_FRONT_METRICS_H

#include "core/forward.h"
#include "core/handover.h"
#include "tasks/link_task.h"
#include "tasks/platform_task.h"
#include "tasks/store_reader.h"
#include "tasks/supply_task.h"

/** Where the figures come from; borrowed for the call. */
typedef struct front_sources_t {
	const forwarder_t *forwarder;
	const registry_t *registry;
	const link_counters_t *links;
	const store_sync_task_t *supply;
	const platform_counters_t *store;
	const handovers_t *handovers;
	uint32_t hops_open; /**< requests that other VMs have handed over */
	store_reader_counters_t reader;
} front_sources_t;

GString *front_metrics_write(const front_sources_t *sources);

#endif
