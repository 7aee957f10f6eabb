/**
 * @file feed_server.c
 * See feed_server.h.
 */
#include "tasks/feed_server.h"

#include "core/feed_book.h"
#include "net/sock.h"

struct feed_server_t {
	feed_book_t **books; /* by kind */
	uint32_t kinds;
	GPtrArray *subscribers; /* subscriber_t */
	GByteArray *frame;	/* being written */
};

typedef struct subscriber_t {
	feed_server_t *server;
	sock_t *sock;
} subscriber_t;

static void on_received(void *ctx, const char *data, size_t bytes)
{
	(void)ctx; /* subscribers have nothing to say */
	(void)data;
	(void)bytes;
}

static void on_ended(void *ctx, sock_end_t end)
{
	subscriber_t *subscriber = ctx;

	(void)end;
	g_ptr_array_remove_fast(subscriber->server->subscribers, subscriber);
	g_free(subscriber);
}

static void on_accepted(void *ctx, sock_t *sock)
{
	static const sock_ops_t ops = {.received = on_received, .ended = on_ended};
	feed_server_t *server = ctx;
	subscriber_t *subscriber = g_new0(subscriber_t, 1);

	subscriber->server = server;
	subscriber->sock = sock;
	g_ptr_array_add(server->subscribers, subscriber);
	sock_set_ops(sock, &ops, subscriber);
	g_byte_array_set_size(server->frame, 0);
	for (uint32_t kind = 0; kind < server->kinds; kind++)
		feed_book_write(server->books[kind], server->frame);
	sock_write(sock, server->frame->data, server->frame->len);
}

feed_server_t *feed_server_new(loop_t *loop, const char *address, uint16_t port, uint32_t kinds)
{
	feed_server_t *server = g_new0(feed_server_t, 1);

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
	if (message->type != FEED_NEWS && message->kind < server->kinds)
		feed_book_take(server->books[message->kind], message);
	if (!server->subscribers->len)
		return;
	g_byte_array_set_size(server->frame, 0);
	feed_message_write(server->frame, message);
	for (guint i = 0; i < server->subscribers->len; i++) {
		subscriber_t *subscriber = g_ptr_array_index(server->subscribers, i);

		sock_write(subscriber->sock, server->frame->data, server->frame->len);
	}
}

void feed_server_clear(feed_server_t *server)
{
	for (uint32_t kind = 0; kind < server->kinds; kind++)
		feed_book_clear(server->books[kind]);
}

bool feed_server_is_known(const feed_server_t *server)
{
	for (uint32_t kind = 0; kind < server->kinds; kind++)
		if (!feed_book_is_known(server->books[kind]))
			return false;
	return true;
}
