/**
 * @file feed_server.c
 * See feed_server.h.
 */
#include "tasks/feed_server.h"

#include "core/feed_book.h"
#include "core/framing.h"
#include "net/sock.h"

struct feed_server_t {
	feed_book_t **books; /* by kind */
	uint32_t kinds;
	GPtrArray *subscribers; /* subscriber_t */
	GByteArray *frame;	/* being written */
	const feed_server_ops_t *ops;
	void *ctx;
};

typedef struct subscriber_t {
	feed_server_t *server;
	sock_t *sock;
	framing_reader_t *reader;
} subscriber_t;

static void subscriber_free(subscriber_t *subscriber)
{
	g_ptr_array_remove_fast(subscriber->server->subscribers, subscriber);
	framing_reader_free(subscriber->reader);
	g_free(subscriber);
}

static void write_to_others(const feed_server_t *server, const subscriber_t *but,
			    const GByteArray *frames)
{
	for (guint i = 0; i < server->subscribers->len; i++) {
		subscriber_t *subscriber = g_ptr_array_index(server->subscribers, i);

		if (subscriber != but)
			sock_write(subscriber->sock, frames->data, frames->len);
	}
}

static void hand_on(feed_server_t *server, const subscriber_t *from, const feed_message_t *message)
{
	if (!server->subscribers->len)
		return;
	g_byte_array_set_size(server->frame, 0);
	feed_message_write(server->frame, message);
	write_to_others(server, from, server->frame);
}

static void on_message(void *ctx, const feed_message_t *message)
{
	subscriber_t *subscriber = ctx;
	feed_server_t *server = subscriber->server;

	if (message->type != FEED_SIGHTING) {
		g_info("event=feed-message-ignored type=%d reason=not-for-feeders", message->type);
		return;
	}
	server->ops->heard(server->ctx, message);
	hand_on(server, subscriber, message);
}

static framing_t read_message(void *ctx, const uint8_t *data, size_t bytes, size_t *used)
{
	return feed_message_read(data, bytes, used, on_message, ctx);
}

static void on_received(void *ctx, const char *data, size_t bytes)
{
	subscriber_t *subscriber = ctx;

	if (framing_reader_take(subscriber->reader, data, bytes))
		return;
	g_message("event=subscriber-lost reason=garbage");
	sock_close(subscriber->sock);
	subscriber_free(subscriber);
}

static void on_ended(void *ctx, sock_end_t end)
{
	(void)end;
	subscriber_free(ctx);
}

static void on_accepted(void *ctx, sock_t *sock)
{
	static const sock_ops_t ops = {.received = on_received, .ended = on_ended};
	feed_server_t *server = ctx;
	subscriber_t *subscriber = g_new0(subscriber_t, 1);
	feed_message_t news = {.name = "", .text = ""};
	bool greeted = server->ops->greet(server->ctx, &news);

	subscriber->server = server;
	subscriber->sock = sock;
	subscriber->reader = framing_reader_new(read_message, subscriber);
	g_ptr_array_add(server->subscribers, subscriber);
	sock_set_ops(sock, &ops, subscriber);
	g_byte_array_set_size(server->frame, 0);
	if (greeted)
		feed_message_write(server->frame, &news);
	/* One that can't be relied on is left at once; its lists would only hold up its link. */
	for (uint32_t kind = 0; kind < server->kinds && !(greeted && news.away); kind++)
		feed_book_write(server->books[kind], server->frame);
	sock_write(sock, server->frame->data, server->frame->len);
}

feed_server_t *feed_server_new(loop_t *loop, const char *address, uint16_t port, uint32_t kinds,
			       const feed_server_ops_t *ops, void *ctx)
{
	feed_server_t *server = g_new0(feed_server_t, 1);

	server->ops = ops;
	server->ctx = ctx;
	server->kinds = kinds;
	server->books = g_new0(feed_book_t *, kinds);
	for (uint32_t kind = 0; kind < kinds; kind++)
		server->books[kind] = feed_book_new(kind);
	server->subscribers = g_ptr_array_new();
	server->frame = g_byte_array_new();
	if (listener_new(loop, address, port, on_accepted, server))
		return server;
	g_ptr_array_unref(server->subscribers);
	g_byte_array_unref(server->frame);
	g_free(server);
	return NULL;
}

void feed_server_tell(feed_server_t *server, const feed_message_t *message)
{
	if (message->type < FEED_NEWS && message->kind < server->kinds)
		feed_book_take(server->books[message->kind], message);
	hand_on(server, NULL, message);
}

void feed_server_write(feed_server_t *server, const GByteArray *frames)
{
	write_to_others(server, NULL, frames);
}

uint32_t feed_server_subscribers(const feed_server_t *server)
{
	return server->subscribers->len;
}

void feed_server_clear(feed_server_t *server)
{
	for (uint32_t kind = 0; kind < server->kinds; kind++)
		feed_book_clear(server->books[kind]);
}
