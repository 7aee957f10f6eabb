/**
 * @file feed_client.h
 * Hears from another VM what it knows of the platform's store.
 */
#ifndef DS_FEED_CLIENT_H
#define DS_FEED_CLIENT_H

#include "core/feed_message.h"
#include "net/loop.h"

typedef struct feed_client_t feed_client_t;

typedef struct feed_client_ops_t {
	feed_message_f message;
	/** The connection broke, went silent, or says what is no message. Told once. */
	void (*ended)(void *ctx, const char *reason);
} feed_client_ops_t;

/** Connect; NULL when no descriptor is left. */
feed_client_t *feed_client_new(loop_t *loop, const char *address, uint16_t port,
			       const feed_client_ops_t *ops, void *ctx);
/** Tell the other VM something: whole frames. */
void feed_client_write(feed_client_t *client, const GByteArray *frames);
/** Close and free; `ended` is not told. */
void feed_client_free(feed_client_t *client);

#endif
