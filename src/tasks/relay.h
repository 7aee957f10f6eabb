/**
 * @file relay.h
 * One request on its way through this VM, from a caller or handed over by another VM, and what of
 * it goes to searchers.
 */
#ifndef DS_RELAY_H
#define DS_RELAY_H

#include "core/handover.h"
#include "headers.h"
#include "tasks/hop_server.h"

typedef struct relay_t {
	http_exchange_t *exchange; /**< a caller's; NULL when another VM handed it over */
	hop_job_t *job;		   /**< handed over by another VM; NULL when a caller sent it */
	forward_request_t request; /**< texts are borrowed from the exchange or the job */
	forward_t *forward;	   /**< while this VM asks searchers */
	handover_t *handover;	   /**< while another VM gathers it */
	uint64_t version;	   /**< of the configuration that it was handed over under */
	GString *head;		   /**< made when it is first asked for */
} relay_t;

/** Takes a reference to @p exchange. */
relay_t *relay_of_caller(http_exchange_t *exchange);
/** Borrows @p job, which outlives it. */
relay_t *relay_of_vm(hop_job_t *job);
void relay_free(relay_t *relay);

/** The request line and the headers that go to every searcher alike. */
const GString *relay_head(relay_t *relay);
const GString *relay_body(const relay_t *relay);
/** What another VM is told so that it can gather it; borrows. */
hop_request_t relay_hop_request(relay_t *relay);
/** Answer the caller. */
void relay_answer_caller(const relay_t *relay, const forward_answer_t *answer);

#endif
