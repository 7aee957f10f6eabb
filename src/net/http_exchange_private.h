/**
 * @file http_exchange_private.h
 * One request and its reply, as http_server.c and http_exchange.c share it.
 */
#ifndef DS_HTTP_EXCHANGE_PRIVATE_H
#define DS_HTTP_EXCHANGE_PRIVATE_H

#include "net/http_server.h"

typedef struct connection_t connection_t;

struct http_exchange_t {
	gint refs;
	http_server_t *server;
	connection_t *connection; /* NULL once the caller has gone */
	http_message_t *message;
	char *path;	    /* decoded when first asked for */
	GHashTable *params; /* likewise */
	GPtrArray *joined;  /* values of repeated headers */
	void *data;
	uint64_t serial;
	uint64_t begun_us;
	bool replied;
	GString *reply_headers; /* whole lines; NULL when none */
};

#endif
