/**
 * @file feed_server.h
 * Server of this VM's feed: relays the platform's store to its subscribers.
 */
#ifndef DS_FEED_SERVER_H
#define DS_FEED_SERVER_H

#include "core/feed_message.h"
#include "net/loop.h"

typedef struct feed_server_t feed_server_t;

typedef struct feed_server_ops_t {
	/** A subscriber sent an observation; it is relayed to the other subscribers, too. */
	feed_message_f observation;
	/** A VM has subscribed to this one. */
	void (*subscribed)(void *ctx);
	/**
	 * Get the feed status that a new subscriber is sent first.
	 * @return whether the status in @p status is to be sent
	 */
	bool (*get_status)(void *ctx, feed_message_t *status);
} feed_server_ops_t;

/**
 * Start listening for subscribers.
 * @param kinds number of kinds of objects
 * @param link_mbps bandwidth of this VM's network link; 0: unknown
 * @return NULL when the address can't be listened on
 */
feed_server_t *feed_server_new(loop_t *loop, const char *address, uint16_t port, uint32_t kinds,
			       uint32_t link_mbps, const feed_server_ops_t *ops, void *ctx);
/** Cache @p message for later subscribers, and send it to all current ones. */
void feed_server_publish(feed_server_t *server, const feed_message_t *message);
/** Cache @p message, an object, and send it to one subscriber after the other, with pauses. */
void feed_server_publish_in_turn(feed_server_t *server, const feed_message_t *message);
/** Send complete frames to all subscribers. */
void feed_server_write(feed_server_t *server, const GByteArray *frames);
/** Number of VMs that are subscribed to this one. */
uint32_t feed_server_subscribers(const feed_server_t *server);
/** Whether the list of this kind is cached whole. */
bool feed_server_has_list(const feed_server_t *server, uint32_t kind);
/** Clear the cached objects: this VM no longer watches the store itself. */
void feed_server_clear(feed_server_t *server);

#endif
