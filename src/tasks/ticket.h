/**
 * @file ticket.h
 * One caller's request between the caller task and the query task.
 */
#ifndef DS_TICKET_H
#define DS_TICKET_H

#include "core/query.h"
#include "net/http_server.h"

typedef struct ticket_t {
	gint refs;
	http_exchange_t *exchange; /**< the caller task's */
	char *request_id;
	query_t *query; /**< the query task's; NULL until submitted */
	bool gone;	/**< the caller went away */
} ticket_t;

ticket_t *ticket_new(http_exchange_t *exchange, const char *request_id);
ticket_t *ticket_ref(ticket_t *ticket);
void ticket_unref(ticket_t *ticket);

/** An answer on its way back to the caller task. */
typedef struct ticket_reply_t {
	ticket_t *ticket;
	int status;
	const char *content_type; /**< a literal */
	char *body;
	char *snapshot; /**< for headers; NULL for none */
	char *coverage;
	bool complete;
	uint64_t retry_after_us;
} ticket_reply_t;

void ticket_reply_free(ticket_reply_t *reply);

#endif
