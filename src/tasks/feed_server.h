/**
 * @file feed_server.h
 * Tells other VMs what this one knows of the platform's store.
 */
#ifndef DS_FEED_SERVER_H
#define DS_FEED_SERVER_H

#include "core/feed_message.h"
#include "net/loop.h"

typedef struct feed_server_t feed_server_t;

typedef struct feed_server_ops_t {
	/** A subscriber tells a sighting; the others are told, too. */
	feed_message_f heard;
	/**
	 * What a new subscriber is told first.
	 * @return whether that is news, and @p news filled
	 */
	bool (*greet)(void *ctx, feed_message_t *news);
} feed_server_ops_t;

/**
 * NULL when the address can't be listened on.
 * @param kinds how many kinds of objects there are
 * @param link_mbps of this VM's link; 0: not known
 */
feed_server_t *feed_server_new(loop_t *loop, const char *address, uint16_t port, uint32_t kinds,
			       uint32_t link_mbps, const feed_server_ops_t *ops, void *ctx);
/** Keep @p message, and send it to all subscribers. */
void feed_server_publish(feed_server_t *server, const feed_message_t *message);
/** Send whole frames to all subscribers. */
void feed_server_write(feed_server_t *server, const GByteArray *frames);
/** VMs that are told what this one knows. */
uint32_t feed_server_subscribers(const feed_server_t *server);
/** Forget what was told: this VM no longer knows it at first hand. */
void feed_server_clear(feed_server_t *server);

#endif
