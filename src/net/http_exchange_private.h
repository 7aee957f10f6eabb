/**
 * @file http_exchange_private.h
 * One request and its reply; shared by http_server.c and http_exchange.c.
 */
#ifndef DS_HTTP_EXCHANGE_PRIVATE_H
#define DS_HTTP_EXCHANGE_PRIVATE_H

#include "net/http_server.h"

typedef struct connection_t connection_t;

struct http_exchange_t {
	gint refs;
	http_server_t *server;
	connection_t *connection; /* NULL once the exchange has ended */
	http_message_t *message;
	char *path;		  /* decoded on first use */
	GHashTable *params;	  /* decoded on first use */
	GPtrArray *joined_values; /* of repeated headers */
	void *data;
	uint64_t serial;
	uint64_t start_us;
	bool replied;
	GString *reply_headers; /* complete header lines; NULL when there are none */
	http_memory_share_t share;
};

#endif
