/**
 * @file ticket.h
 * A caller's request, shared by the caller task and the query task.
 */
#ifndef DS_TICKET_H
#define DS_TICKET_H

#include "core/query.h"
#include "net/http_server.h"

typedef struct ticket_t {
	gint refs;
	http_exchange_t *exchange; /**< owned by the caller task */
	char *request_id;
	query_t *query; /**< owned by the query task; NULL until submitted */
	bool gone;	/**< the caller disconnected */
} ticket_t;

ticket_t *ticket_new(http_exchange_t *exchange, const char *request_id);
ticket_t *ticket_ref(ticket_t *ticket);
void ticket_unref(ticket_t *ticket);

/** An answer that the query task posts to the caller task. */
typedef struct ticket_reply_t {
	ticket_t *ticket;
	int status;
	const char *content_type; /**< a string literal, not freed */
	char *body;
	char *snapshot; /**< for headers; NULL for none */
	char *coverage;
	bool complete;
	uint64_t retry_after_us;
} ticket_reply_t;

void ticket_reply_free(ticket_reply_t *reply);

#endif
