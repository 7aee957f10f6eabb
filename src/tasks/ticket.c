/**
 * @file ticket.c
 * See ticket.h.
 */
#include "tasks/ticket.h"

ticket_t *ticket_new(http_exchange_t *exchange, const char *request_id)
{
	ticket_t *ticket = g_new0(ticket_t, 1);

	ticket->refs = 1;
	ticket->exchange = http_exchange_ref(exchange);
	ticket->request_id = g_strdup(request_id);
	return ticket;
}

ticket_t *ticket_ref(ticket_t *ticket)
{
	ticket->refs++;
	return ticket;
}

void ticket_unref(ticket_t *ticket)
{
	if (--ticket->refs)
		return;
	http_exchange_unref(ticket->exchange);
	g_free(ticket->request_id);
	g_free(ticket);
}

void ticket_reply_free(ticket_reply_t *reply)
{
	ticket_unref(reply->ticket);
	g_free(reply->body);
	g_free(reply->snapshot);
	g_free(reply->coverage);
	g_free(reply);
}
