/**
 * @file relay.h
 * One request that this VM processes, from a caller or handed over by another VM, and the head and
 * body that it sends to searchers for it.
 */
#ifndef DS_RELAY_H
#define DS_RELAY_H

#include "core/handover.h"
#include "core/quota.h"
#include "headers.h"
#include "tasks/hop_server.h"

typedef struct relay_t {
	http_exchange_t *exchange; /**< from a caller; NULL if another VM handed the request over */
	hop_job_t *job;		   /**< from another VM; NULL if a caller sent the request */
	forward_request_t request; /**< its texts are borrowed from the exchange or the job */
	forward_t *forward;	   /**< set while this VM sends sub-requests */
	handover_t *handover;	   /**< set while another VM gathers the request */
	quota_ask_t *quota_ask;	   /**< set while it waits for a token of its tenant's quota */
	char *charged;		   /**< tenant whose quota a token was taken of; NULL: none */
	uint64_t version;	   /**< configuration version that it was handed over by */
	GString *head;		   /**< created by the first call of relay_head() */
} relay_t;

/** Takes a reference to @p exchange. */
relay_t *relay_from_caller(http_exchange_t *exchange);
/** Borrows @p job, which must outlive the relay. */
relay_t *relay_from_vm(hop_job_t *job);
void relay_free(relay_t *relay);

/** The request line and the headers that all searchers get. */
const GString *relay_head(relay_t *relay);
const GString *relay_body(const relay_t *relay);
/** The hand-over message's request, for a gatherer; it borrows from @p relay. */
hop_request_t relay_hop_request(relay_t *relay);
void relay_answer_caller(const relay_t *relay, const forward_answer_t *answer);

#endif
