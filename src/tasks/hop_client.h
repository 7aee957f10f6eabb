/**
 * @file hop_client.h
 * Keeps a few connections to this VM's gatherers, and passes the gatherers' messages to
 * handovers_t.
 */
#ifndef DS_HOP_CLIENT_H
#define DS_HOP_CLIENT_H

#include "core/handover.h"
#include "net/loop.h"

typedef struct hop_client_t hop_client_t;

/** Connects to the gatherers of @p handovers, and passes their messages to @p handovers. */
hop_client_t *hop_client_new(loop_t *loop, handovers_t *handovers);
/** Open and close connections as needed; call it when the gatherers may have changed. */
void hop_client_update_links(hop_client_t *client);
/** Send @p message to @p gatherer if the connection to it is still open. */
void hop_client_write(hop_client_t *client, const gatherer_t *gatherer,
		      const hop_message_t *message);
/** Set the callback that runs after data from a gatherer was handled or its connection was lost. */
void hop_client_set_received(hop_client_t *client, void (*received)(void *ctx), void *ctx);

#endif
