/**
 * @file upstream.h
 * What this VM knows of one searcher, and how much it may ask of it.
 */
#ifndef DS_UPSTREAM_H
#define DS_UPSTREAM_H

#include "core/config.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum upstream_state_t {
	UPSTREAM_UNKNOWN, /**< nothing heard yet: no work */
	UPSTREAM_READY,
	UPSTREAM_COLD,	  /**< serves, slowly: starts at the least limit and ramps up */
	UPSTREAM_LEAVING, /**< gets nothing new */
	UPSTREAM_DOWN,	  /**< not reached: gets nothing new until a health probe succeeds */
} upstream_state_t;

/** One index version that a searcher says it holds. */
typedef struct index_version_t {
	uint64_t version;
	uint32_t partition_count; /**< partitions in the whole version */
	GArray *partitions;	  /**< uint32_t, rising */
} index_version_t;

/** What a searcher said of itself, in a health page or with an answer. */
typedef struct upstream_report_t {
	upstream_state_t state;
	bool has_versions;
	GArray *held; /**< index_version_t; only if has_versions */
} upstream_report_t;

typedef struct upstream_t {
	gint refs;
	char *service;
	char *name;
	char *data_centre;
	char *address;
	uint16_t port;
	uint32_t group; /**< its group's place in the service's configuration */
	bool local;	/**< in this VM's data centre */
	bool withdrawn; /**< by the configuration */
	upstream_state_t state;
	bool leaving_reported; /**< it said so itself; only its end or an operator clears it */
	uint32_t refusals;     /**< connections refused in a row */
	GArray *held;	       /**< index_version_t */

	uint32_t outstanding; /**< attempts sent and not ended */
	double limit;	      /**< adaptive bound on outstanding */
	uint32_t share;	      /**< hard bound on outstanding: this VM's connections */
	double latency_us;    /**< moving average, attempt sent to answer */
	double median_us;     /**< running median of the same: what the limit goes by */
	double floor_us;      /**< slowly rising minimum of median_us: what it takes when idle */
	uint64_t sampled_us;  /**< when latency_us was last fed */
	uint64_t limit_decreased_us; /**< when limit was last cut */
	uint32_t failures;	     /**< connection failures in a row */
	GQueue waiting;		     /**< waiters: attempts that may go here, by class and age */

	uint64_t sent, answered, shed, cut, late; /**< counters */
} upstream_t;

void index_version_clear(void *held);
upstream_report_t *upstream_report_new(void);
void upstream_report_free(upstream_report_t *report);

upstream_t *upstream_new(const char *service, const upstream_config_t *config);
upstream_t *upstream_ref(upstream_t *upstream);
void upstream_unref(upstream_t *upstream);

/** Whether it may be given new work. */
bool upstream_usable(const upstream_t *upstream);
/** Whether it may be given new work now, within its limit. */
bool upstream_has_capacity(const upstream_t *upstream);
const index_version_t *upstream_find_version(const upstream_t *upstream, uint64_t version);
/** Take in a report; true when what may be sent to it has changed. */
bool upstream_apply_report(upstream_t *upstream, const upstream_report_t *report);
/**
 * A health probe failed, or a connection could not be made; true when it went down by it.
 * @param refused the connection was refused: the process that listened there has ended
 */
bool upstream_record_failure(upstream_t *upstream, bool refused);

/** The cost of sending here, for comparing replicas: lower is better. */
double upstream_cost(const upstream_t *upstream, uint64_t now_us, double typical_us);
/** An answer came after @p latency_us; moves the limit. */
void upstream_record_answer(upstream_t *upstream, uint64_t now_us, uint64_t latency_us);
/** It shed a request, or swallowed one: cuts the limit. */
void upstream_record_overload(upstream_t *upstream, uint64_t now_us);
/** An attempt was given up after @p latency_us without an answer: it takes at least so long. */
void upstream_record_min_latency(upstream_t *upstream, uint64_t now_us, uint64_t latency_us);

const char *upstream_state_name(upstream_state_t state);

#endif
