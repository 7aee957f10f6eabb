/**
 * @file searcher.h
 * One incarnation of a searcher as the registry knows it, and what this VM has measured of it.
 */
#ifndef DS_SEARCHER_H
#define DS_SEARCHER_H

#include "core/reported_load.h"
#include "core/failure_rate.h"
#include "core/send_limit.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum searcher_state_t {
	SEARCHER_READY,
	SEARCHER_DRAINING, /**< about to stop: gets no new sub-requests */
	SEARCHER_GONE,	   /**< no longer registered: gets no new sub-requests */
	SEARCHER_ENDED,	   /**< its process has terminated: the outcome of outstanding sub-requests
			    * stays unknown */
} searcher_state_t;

/** Distance from this VM. */
typedef enum distance_t {
	DISTANCE_LOCAL,	 /**< this data centre */
	DISTANCE_REGION, /**< another data centre of this region */
	DISTANCE_FAR,
} distance_t;

/** A searcher's entry in the registry; the strings are owned by whoever made the entry. */
typedef struct searcher_entry_t {
	char *id;
	uint64_t born_ms; /**< when its process started, which distinguishes incarnations under one
			   * id; 0: not given, the id is unique to one incarnation */
	char *service;
	char *address; /**< an IP address */
	uint16_t port;
	char *data_centre;
	uint32_t slots; /**< requests it processes concurrently */
	bool draining;
	uint64_t cold_us; /**< remaining time until it is warm */
	uint64_t changes; /**< increases with each change of the entry */
} searcher_entry_t;

typedef struct searcher_t {
	gint refs;
	char *id;
	uint64_t born_ms; /**< as in searcher_entry_t */
	char *service;
	char *address;
	uint16_t port;
	char *data_centre;
	char *region; /**< region of the data centre; NULL: not known */
	uint32_t slots;
	searcher_state_t state;
	bool evacuated; /**< its data centre is evacuated: no new sub-requests until the evacuation
			 * ends */
	distance_t distance;
	uint64_t cold_until_us;
	uint64_t cold_us;    /**< remaining cold time in its latest entry */
	uint64_t changes;    /**< change counter of its latest entry, as in searcher_entry_t */
	uint32_t cold_share; /**< sub-requests that this VM may send it per window while it is
			      * cold */
	uint32_t cold_fleet_version; /**< version of the fleet that cold_share was computed for */
	uint64_t cold_next_us; /**< when this VM may send it the next sub-request while it is cold
				*/

	double latency_us;	      /**< recent average, from sending to answer */
	uint64_t sampled_us;	      /**< when latency_us was last updated; 0: never */
	GQueue outstanding;	      /**< attempts sent and not ended, oldest first */
	uint32_t failures;	      /**< consecutive failures without an answer in between */
	send_limit_t send_limit;      /**< limit on the outstanding sub-requests of this VM */
	failure_rate_t failure_rate;  /**< rate at which it refuses, fails or loses requests */
	reported_load_t load;	      /**< load that it last reported */
	uint64_t avoid_until_us;      /**< backoff after failures: chosen only if there is no other
				       * candidate */
	uint64_t answered_us;	      /**< when this VM last received an answer from it; 0: never */
	uint64_t last_served_sent_us; /**< latest send time of all sub-requests that it has
				       * answered; 0: none */
	uint64_t stuck_until_us; /**< another VM reported it as stuck; its pause is expected to last
				  * until then */

	uint32_t probes; /**< outstanding suspect requests that share it with no other request of
			  * this VM: 0 or 1 */
	uint32_t idle;	 /**< open connections without a request */
	uint32_t connections;	  /**< all connections of this VM, including those being opened */
	uint32_t connections_max; /**< this VM's share of the connections that the searcher accepts
				   */
	bool is_warm;		  /**< chosen to be connected to ahead of need, see warm_set.h */
	bool was_warmed;	  /**< a connection was opened ahead of need */
	void *link;		  /**< the connections; set by the task that owns them */
} searcher_t;

void searcher_entry_clear(searcher_entry_t *entry);

/** @param region region of its data centre; NULL: not known */
searcher_t *searcher_new(const searcher_entry_t *entry, distance_t distance, const char *region,
			 uint64_t now_us);
searcher_t *searcher_ref(searcher_t *searcher);
void searcher_unref(searcher_t *searcher);

/** Whether it may get new sub-requests: ready and not evacuated. */
bool searcher_is_usable(const searcher_t *searcher);
/** Whether a connection to it is idle or another one may be opened. */
bool searcher_has_capacity(const searcher_t *searcher);
/** Records an answer that arrived @p latency_us after the sub-request was sent. */
void searcher_record_answer(searcher_t *searcher, uint64_t latency_us, uint64_t now_us);
/** Records the latency of an answer, which may have been to another VM of this region. */
void searcher_record_latency(searcher_t *searcher, uint64_t latency_us, uint64_t now_us);
/** Records a failed connection or an invalid answer. */
void searcher_record_failure(searcher_t *searcher, uint64_t now_us);
/** Records that a sub-request has been outstanding longer than any pause explains: the searcher is
 * hung or unreachable. */
void searcher_record_hang(searcher_t *searcher, uint64_t now_us);
/** Records that the searcher refused a request without running it. */
void searcher_record_refusal(searcher_t *searcher, uint64_t now_us);
const char *searcher_state_name(searcher_state_t state);

#endif
