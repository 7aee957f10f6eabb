/**
 * @file peer.h
 * HTTP/1.1 over blocking sockets, for the stand-ins of the review.
 */
#ifndef REVIEW_PEER_H
#define REVIEW_PEER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A connection and the bytes that were received on it. */
typedef struct peer_t {
	int fd;
	char *data;
	size_t bytes, room;
} peer_t;

/** A request or a response; the strings point into the connection's buffer. */
typedef struct peer_message_t {
	char *start;  /**< first line */
	char *fields; /**< the header lines */
	char *body;
	size_t body_bytes;
	size_t total_bytes;
} peer_message_t;

/** Milliseconds since 1970. */
int64_t peer_now_ms(void);
void peer_sleep_us(int64_t us);
/** Returns a listening socket on 127.0.0.1, or -1. */
int peer_listen(int port);
/** Returns a connected socket, or -1. */
int peer_connect(int port);
void peer_init(peer_t *peer, int fd);
void peer_close(peer_t *peer);
bool peer_write(const peer_t *peer, const char *data, size_t bytes);
/**
 * Wait for a whole message.
 * @return 1: read; 0: the connection ended; -1: @p deadline_ms has passed
 */
int peer_read(peer_t *peer, peer_message_t *message, int64_t deadline_ms);
/** Drop the message that was read last. */
void peer_consume(peer_t *peer, const peer_message_t *message);
/** Copy the value of a header, or an empty text. */
void peer_header(const peer_message_t *message, const char *name, char *out, size_t room);
/** Whether the other side has closed the connection. */
bool peer_has_left(const peer_t *peer);

#endif
