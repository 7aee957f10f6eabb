/**
 * @file searcher.h
 * One incarnation of a searcher as the registry knows it, and what this VM has measured of it.
 */
#ifndef DS_SEARCHER_H
#define DS_SEARCHER_H

#include "core/told_load.h"
#include "core/yield.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum searcher_state_t {
	SEARCHER_READY,
	SEARCHER_DRAINING, /**< it leaves: nothing new */
	SEARCHER_GONE,	   /**< no longer registered: nothing new */
	SEARCHER_ENDED,	   /**< its process has ended: what is out to it stays unknown */
} searcher_state_t;

/** Where it is, seen from this VM. */
typedef enum distance_t {
	DISTANCE_LOCAL,	 /**< this data centre */
	DISTANCE_REGION, /**< another one of this region */
	DISTANCE_FAR,
} distance_t;

/** What the registry says of a searcher; texts are owned by whoever made it. */
typedef struct searcher_entry_t {
	char *id;
	uint64_t born_ms; /**< when its process started, which tells starts under one id apart;
			   * 0: not said, the id is unique to one start */
	char *service;
	char *address; /**< an IP number */
	uint16_t port;
	char *data_centre;
	uint32_t slots; /**< requests it works on at once */
	bool draining;
	uint64_t cold_us; /**< how much longer it is cold */
	uint64_t changes; /**< grows with each change of the entry */
} searcher_entry_t;

typedef struct searcher_t {
	gint refs;
	char *id;
	uint64_t born_ms; /**< as in searcher_entry_t */
	char *service;
	char *address;
	uint16_t port;
	char *data_centre;
	char *region; /**< of the data centre; NULL: not known */
	uint32_t slots;
	searcher_state_t state;
	bool evacuated; /**< its data centre is: nothing new until that is taken back */
	distance_t distance;
	uint64_t cold_until_us;
	uint64_t cold_us;      /**< how much longer it was cold, by the last word of it */
	uint64_t changes;      /**< of its entry, as in searcher_entry_t */
	uint32_t cold_share;   /**< sub-requests that this VM may send it in a window while cold */
	uint32_t cold_fleet;   /**< of which state of the fleet that is worked out */
	uint64_t cold_next_us; /**< when the next one may follow */

	double latency_us;	 /**< of late, sent to answered */
	uint64_t sampled_us;	 /**< when latency_us was last fed; 0: never */
	GQueue outstanding;	 /**< attempts sent and not ended, oldest first */
	uint32_t failures;	 /**< in a row, without an answer in between */
	yield_t yield;		 /**< what it refuses, fails or loses */
	told_load_t load;	 /**< as it last told it */
	uint64_t avoid_until_us; /**< after failures: only if there is nobody else */
	uint64_t answered_us;	 /**< when it last answered this VM; 0: never */
	uint64_t served_us;	 /**< the latest sending that it has answered; 0: none */
	uint64_t stuck_until_us; /**< another VM found it in a pause that lasts until then */

	uint32_t probes; /**< suspect requests that are out to it with nothing else of this VM: 0 or
			    1 */
	uint32_t idle;	 /**< open connections that carry nothing */
	uint32_t connections;	   /**< all connections of this VM, opening ones too */
	uint32_t connections_most; /**< this VM's share of what the searcher takes */
	void *link;		   /**< the connections; set by the task that owns them */
} searcher_t;

void searcher_entry_clear(searcher_entry_t *entry);

/** @param region of its data centre; NULL: not known */
searcher_t *searcher_new(const searcher_entry_t *entry, distance_t distance, const char *region,
			 uint64_t now_us);
searcher_t *searcher_ref(searcher_t *searcher);
void searcher_unref(searcher_t *searcher);

/** Whether it may be sent new work at all. */
bool searcher_is_usable(const searcher_t *searcher);
/** Whether a connection to it is free or may be opened. */
bool searcher_has_capacity(const searcher_t *searcher);
/** An answer came @p latency_us after the sending. */
void searcher_note_answer(searcher_t *searcher, uint64_t latency_us, uint64_t now_us);
/** The same, but the answer came to another VM of this region. */
void searcher_note_heard(searcher_t *searcher, uint64_t latency_us, uint64_t now_us);
/** A connection failed, or an answer was no answer. */
void searcher_note_failure(searcher_t *searcher, uint64_t now_us);
/** A sub-request is out for so long that no pause explains it: it hangs, or nothing reaches it. */
void searcher_note_hang(searcher_t *searcher, uint64_t now_us);
/** It refused without running the request. */
void searcher_note_refusal(searcher_t *searcher, uint64_t now_us);
const char *searcher_state_name(searcher_state_t state);

#endif
