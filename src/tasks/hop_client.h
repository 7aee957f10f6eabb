/**
 * @file hop_client.h
 * Keeps a few connections to the VMs that gather for this one, and tells what they say.
 */
#ifndef DS_HOP_CLIENT_H
#define DS_HOP_CLIENT_H

#include "core/handover.h"
#include "net/loop.h"

typedef struct hop_client_t hop_client_t;

/** Connects to the gatherers of @p handovers, and tells those of what is heard. */
hop_client_t *hop_client_new(loop_t *loop, handovers_t *handovers);
/** The gatherers may have changed. */
void hop_client_look(hop_client_t *client);
/** Send @p message to @p gatherer, if its connection is still open. */
void hop_client_write(hop_client_t *client, const gatherer_t *gatherer,
		      const hop_message_t *message);
/** Called when a gatherer has said something. */
void hop_client_set_heard(hop_client_t *client, void (*heard)(void *ctx), void *ctx);

#endif
