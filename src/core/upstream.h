/**
 * @file upstream.h
 * The status of one searcher as known to this VM, and the limit on requests to it.
 */
#ifndef DS_UPSTREAM_H
#define DS_UPSTREAM_H

#include "core/config.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum upstream_state_t {
	UPSTREAM_UNKNOWN, /**< no report yet: gets no work */
	UPSTREAM_READY,
	UPSTREAM_COLD,	  /**< serves slowly: the limit is reduced and ramps up */
	UPSTREAM_LEAVING, /**< gets no new work */
	UPSTREAM_DOWN,	  /**< unreachable: gets no new work until a health probe succeeds */
} upstream_state_t;

/** One index version that a searcher reports to hold. */
typedef struct index_version_t {
	uint64_t version;
	uint32_t partition_count; /**< number of partitions in the whole version */
	GArray *partitions;	  /**< uint32_t, ascending */
} index_version_t;

/** A searcher's status report, from a health page or a reply. */
typedef struct upstream_report_t {
	upstream_state_t state;
	bool has_versions;
	GArray *held; /**< index_version_t; valid only if has_versions */
} upstream_report_t;

typedef struct upstream_t {
	gint refs;
	char *service;
	char *name;
	char *data_centre;
	char *address;
	uint16_t port;
	uint32_t group; /**< index of its group in the service's configuration */
	bool local;	/**< in this VM's data centre */
	bool withdrawn; /**< by the configuration: gets no new work */
	upstream_state_t state;
	bool leaving_reported; /**< kept until its process ends or an operator reopens it */
	uint32_t refusals;     /**< connections refused in a row */
	GArray *held;	       /**< index_version_t */

	uint32_t outstanding; /**< attempts sent and not ended */
	double limit;	      /**< adaptive bound on outstanding */
	uint32_t share;	      /**< fixed bound on outstanding: this VM's connections */
	double latency_us; /**< moving average of the time from sending an attempt to its answer */
	double median_us;  /**< running median of that time; controls the limit */
	double floor_us;   /**< slowly rising minimum of median_us: the latency when idle */
	uint64_t sampled_us;	     /**< when latency_us was last updated */
	uint64_t limit_decreased_us; /**< when limit was last decreased */
	uint32_t failures;	     /**< connection failures in a row */
	GQueue waiting; /**< waiter_t: attempts that may be sent here, ordered by class and age */

	uint64_t sent, answered, shed, cut, late; /**< counters */
} upstream_t;

void index_version_clear(void *held);
upstream_report_t *upstream_report_new(void);
void upstream_report_free(upstream_report_t *report);

upstream_t *upstream_new(const char *service, const upstream_config_t *config);
upstream_t *upstream_ref(upstream_t *upstream);
void upstream_unref(upstream_t *upstream);

/** Whether the searcher may get new work. */
bool upstream_usable(const upstream_t *upstream);
/** Whether the searcher may get one more attempt now, within its limit. */
bool upstream_has_capacity(const upstream_t *upstream);
/** The index version @p version if the searcher holds it, or NULL. */
const index_version_t *upstream_find_version(const upstream_t *upstream, uint64_t version);
/** Apply a status report; returns true if the searcher's versions or usability changed. */
bool upstream_apply_report(upstream_t *upstream, const upstream_report_t *report);
/**
 * A health probe failed, or a connection could not be made; returns true if the searcher went down.
 * @param refused the connection was refused: the process that listened there has ended
 */
bool upstream_record_failure(upstream_t *upstream, bool refused);

/** The cost of sending to this searcher, to compare replicas; lower is better. */
double upstream_cost(const upstream_t *upstream, uint64_t now_us, double typical_us);
/** Record an answer after @p latency_us, and adapt the limit. */
void upstream_record_answer(upstream_t *upstream, uint64_t now_us, uint64_t latency_us);
/** Record that the searcher shed or lost a request, and decrease the limit. */
void upstream_record_overload(upstream_t *upstream, uint64_t now_us);
/**
 * Record that an attempt was given up after @p latency_us without an answer, which makes that time
 * a lower bound of the latency.
 */
void upstream_record_min_latency(upstream_t *upstream, uint64_t now_us, uint64_t latency_us);

const char *upstream_state_name(upstream_state_t state);

#endif
