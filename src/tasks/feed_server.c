/**
 * @file feed_server.c
 * See feed_server.h.
 */
#include "tasks/feed_server.h"

#include "core/feed_book.h"
#include "core/feed_choice.h"
#include "core/framing.h"
#include "net/sock.h"

/* Objects that subscribers have asked for and not been told; more are dropped, and asked for again.
 */
#define ASKED_MOST 256

struct feed_server_t {
	loop_t *loop;
	uint32_t link_mbps;
	GQueue asked; /* asked_t */
	loop_timer_t asked_timer;
	feed_cache_t **books; /* by kind */
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

/** An object that a subscriber can't read from the store. */
typedef struct asked_t {
	subscriber_t *subscriber;
	uint32_t kind;
	char *name;
} asked_t;

static void asked_free(asked_t *asked)
{
	g_free(asked->name);
	g_free(asked);
}

static void drop_asked(feed_server_t *server, const subscriber_t *subscriber)
{
	GList *next;

	for (GList *item = server->asked.head; item; item = next) {
		asked_t *asked = item->data;

		next = item->next;
		if (asked->subscriber != subscriber)
			continue;
		g_queue_delete_link(&server->asked, item);
		asked_free(asked);
	}
}

static void subscriber_free(subscriber_t *subscriber)
{
	drop_asked(subscriber->server, subscriber);
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

/* One after the other: what goes to them holds up this VM's own requests. */
static void tell_asked(void *ctx)
{
	feed_server_t *server = ctx;
	asked_t *asked = g_queue_pop_head(&server->asked);
	feed_message_t message;
	size_t bytes = 0;

	if (!asked)
		return;
	if (feed_cache_find(server->books[asked->kind], asked->name, &message)) {
		g_byte_array_set_size(server->frame, 0);
		feed_message_write(server->frame, &message);
		sock_write(asked->subscriber->sock, server->frame->data, server->frame->len);
		bytes = server->frame->len;
	}
	asked_free(asked);
	loop_timer_set(server->loop, &server->asked_timer,
		       feed_request_pause_us(bytes, server->link_mbps));
}

static bool is_asked(const subscriber_t *subscriber, const feed_message_t *message)
{
	for (const GList *item = subscriber->server->asked.head; item; item = item->next) {
		const asked_t *asked = item->data;

		if (asked->subscriber == subscriber && asked->kind == message->kind &&
		    g_str_equal(asked->name, message->name))
			return true;
	}
	return false;
}

static void take_asked(subscriber_t *subscriber, const feed_message_t *message)
{
	feed_server_t *server = subscriber->server;
	asked_t *asked;

	if (message->kind >= server->kinds || server->asked.length >= ASKED_MOST ||
	    is_asked(subscriber, message))
		return;
	asked = g_new(asked_t, 1);
	*asked = (asked_t){
		.subscriber = subscriber, .kind = message->kind, .name = g_strdup(message->name)};
	g_queue_push_tail(&server->asked, asked);
	if (!server->asked_timer.entry.place)
		tell_asked(server);
}

static void on_message(void *ctx, const feed_message_t *message)
{
	subscriber_t *subscriber = ctx;
	feed_server_t *server = subscriber->server;

	if (message->type == FEED_REQUEST) {
		take_asked(subscriber, message);
		return;
	}
	if (message->type != FEED_OBSERVATION) {
		g_info("event=feed-message-ignored type=%d reason=not-for-feeders", message->type);
		return;
	}
	server->ops->heard(server->ctx, message);
	hand_on(server, subscriber, message);
}

static framing_result_t read_message(void *ctx, const uint8_t *data, size_t bytes, size_t *used)
{
	return feed_message_read(data, bytes, used, on_message, ctx);
}

static void on_received(void *ctx, const char *data, size_t bytes)
{
	subscriber_t *subscriber = ctx;

	if (framing_reader_add(subscriber->reader, data, bytes))
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
	for (uint32_t kind = 0; kind < server->kinds && !(greeted && news.unreliable); kind++)
		feed_cache_write(server->books[kind], server->frame);
	sock_write(sock, server->frame->data, server->frame->len);
}

feed_server_t *feed_server_new(loop_t *loop, const char *address, uint16_t port, uint32_t kinds,
			       uint32_t link_mbps, const feed_server_ops_t *ops, void *ctx)
{
	feed_server_t *server = g_new0(feed_server_t, 1);

	server->loop = loop;
	server->link_mbps = link_mbps;
	server->asked_timer = (loop_timer_t){.fire = tell_asked, .ctx = server};
	server->ops = ops;
	server->ctx = ctx;
	server->kinds = kinds;
	server->books = g_new0(feed_cache_t *, kinds);
	for (uint32_t kind = 0; kind < kinds; kind++)
		server->books[kind] = feed_cache_new(kind);
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
	feed_message_t told = *message;

	if (message->type < FEED_STATUS && message->kind < server->kinds)
		feed_cache_apply(server->books[message->kind], message);
	if (message->type == FEED_ANNOUNCED)
		told.text = "";
	hand_on(server, NULL, &told);
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
		feed_cache_clear(server->books[kind]);
}
