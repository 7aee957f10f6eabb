/**
 * @file feed_client.h
 * Subscribes to another VM's feed: receives changes of the platform's store from it.
 */
#ifndef DS_FEED_CLIENT_H
#define DS_FEED_CLIENT_H

#include "core/feed_message.h"
#include "net/loop.h"

typedef struct feed_client_t feed_client_t;

typedef struct feed_client_ops_t {
	feed_message_f message;
	/** The connection broke, timed out, or sent invalid data. Called once. */
	void (*ended)(void *ctx, const char *reason);
} feed_client_ops_t;

/** Connect to a feeder; NULL when no file descriptor is available. */
feed_client_t *feed_client_new(loop_t *loop, const char *address, uint16_t port,
			       const feed_client_ops_t *ops, void *ctx);
/** Send complete frames to the feeder. */
void feed_client_write(feed_client_t *client, const GByteArray *frames);
/** Close and free; `ended` is not called. */
void feed_client_free(feed_client_t *client);

#endif
