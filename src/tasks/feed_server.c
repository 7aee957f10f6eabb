/**
 * @file feed_server.c
 * See feed_server.h.
 */
#include "tasks/feed_server.h"

#include "core/feed_cache.h"
#include "core/feed_choice.h"
#include "core/framing.h"
#include "net/sock.h"

/*
 * Subscribers' requests for single objects that are queued here. Further ones are dropped; their
 * subscribers send them again.
 */
#define OBJECT_REQUESTS_MAX 256

struct feed_server_t {
	loop_t *loop;
	uint32_t link_mbps;
	GQueue turns; /* object_turn_t */
	loop_timer_t turn_timer;
	feed_cache_t **caches; /* by kind */
	uint32_t kinds;
	GPtrArray *subscribers; /* subscriber_t */
	GByteArray *frame;	/* scratch buffer for frames to send */
	const feed_server_ops_t *ops;
	void *ctx;
};

typedef struct subscriber_t {
	feed_server_t *server;
	sock_t *sock;
	framing_reader_t *reader;
} subscriber_t;

/** An object that is to be sent to a subscriber, which may have requested it. */
typedef struct object_turn_t {
	subscriber_t *subscriber;
	uint32_t kind;
	char *name;
} object_turn_t;

static void object_turn_free(object_turn_t *turn)
{
	g_free(turn->name);
	g_free(turn);
}

static void drop_turns(feed_server_t *server, const subscriber_t *subscriber)
{
	GList *next;

	for (GList *item = server->turns.head; item; item = next) {
		object_turn_t *turn = item->data;

		next = item->next;
		if (turn->subscriber != subscriber)
			continue;
		g_queue_delete_link(&server->turns, item);
		object_turn_free(turn);
	}
}

static void subscriber_free(subscriber_t *subscriber)
{
	drop_turns(subscriber->server, subscriber);
	g_ptr_array_remove_fast(subscriber->server->subscribers, subscriber);
	framing_reader_free(subscriber->reader);
	g_free(subscriber);
}

static void write_to_subscribers(const feed_server_t *server, const subscriber_t *except,
				 const GByteArray *frames)
{
	for (guint i = 0; i < server->subscribers->len; i++) {
		subscriber_t *subscriber = g_ptr_array_index(server->subscribers, i);

		if (subscriber != except)
			sock_write(subscriber->sock, frames->data, frames->len);
	}
}

static void relay_message(feed_server_t *server, const subscriber_t *from,
			  const feed_message_t *message)
{
	if (!server->subscribers->len)
		return;
	g_byte_array_set_size(server->frame, 0);
	feed_message_write(server->frame, message);
	write_to_subscribers(server, from, server->frame);
}

/*
 * Objects are sent one at a time, with a pause after each: on this VM's network link they delay its
 * own requests. What is sent is the object as it is then.
 */
static void send_next_turn(void *ctx)
{
	feed_server_t *server = ctx;
	object_turn_t *turn = g_queue_pop_head(&server->turns);
	feed_message_t message;
	size_t bytes = 0;

	if (!turn)
		return;
	if (feed_cache_find(server->caches[turn->kind], turn->name, &message)) {
		g_byte_array_set_size(server->frame, 0);
		feed_message_write(server->frame, &message);
		sock_write(turn->subscriber->sock, server->frame->data, server->frame->len);
		bytes = server->frame->len;
	}
	object_turn_free(turn);
	loop_timer_set(server->loop, &server->turn_timer,
		       feed_turn_pause_us(bytes, server->link_mbps));
}

static bool has_turn(const subscriber_t *subscriber, const feed_message_t *message)
{
	for (const GList *item = subscriber->server->turns.head; item; item = item->next) {
		const object_turn_t *turn = item->data;

		if (turn->subscriber == subscriber && turn->kind == message->kind &&
		    g_str_equal(turn->name, message->name))
			return true;
	}
	return false;
}

static void add_turn(subscriber_t *subscriber, const feed_message_t *message)
{
	feed_server_t *server = subscriber->server;
	object_turn_t *turn;

	if (has_turn(subscriber, message))
		return;
	turn = g_new(object_turn_t, 1);
	*turn = (object_turn_t){
		.subscriber = subscriber, .kind = message->kind, .name = g_strdup(message->name)};
	g_queue_push_tail(&server->turns, turn);
	if (!server->turn_timer.entry.heap_position)
		send_next_turn(server);
}

static void on_request(subscriber_t *subscriber, const feed_message_t *message)
{
	const feed_server_t *server = subscriber->server;

	if (message->kind < server->kinds && server->turns.length < OBJECT_REQUESTS_MAX)
		add_turn(subscriber, message);
}

static void on_message(void *ctx, const feed_message_t *message)
{
	subscriber_t *subscriber = ctx;
	feed_server_t *server = subscriber->server;

	if (message->type == FEED_REQUEST) {
		on_request(subscriber, message);
		return;
	}
	if (message->type != FEED_OBSERVATION) {
		g_info("event=feed-message-ignored type=%d reason=not-for-feeders", message->type);
		return;
	}
	server->ops->observation(server->ctx, message);
	relay_message(server, subscriber, message);
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

static void on_ended(void *ctx, sock_close_reason_t end)
{
	(void)end;
	subscriber_free(ctx);
}

static void on_accepted(void *ctx, sock_t *sock)
{
	static const sock_ops_t ops = {.received = on_received, .ended = on_ended};
	feed_server_t *server = ctx;
	subscriber_t *subscriber = g_new0(subscriber_t, 1);
	feed_message_t status = {.name = "", .text = ""};
	bool has_status = server->ops->get_status(server->ctx, &status);

	subscriber->server = server;
	subscriber->sock = sock;
	subscriber->reader = framing_reader_new(read_message, subscriber);
	g_ptr_array_add(server->subscribers, subscriber);
	sock_set_ops(sock, &ops, subscriber);
	g_byte_array_set_size(server->frame, 0);
	if (has_status)
		feed_message_write(server->frame, &status);
	/*
	 * A subscriber leaves a feeder that is cut off from the store at once: sending the lists
	 * would only occupy the network link.
	 */
	for (uint32_t kind = 0; kind < server->kinds && !(has_status && status.unreliable); kind++)
		feed_cache_write(server->caches[kind], server->frame);
	sock_write(sock, server->frame->data, server->frame->len);
	server->ops->subscribed(server->ctx);
}

feed_server_t *feed_server_new(loop_t *loop, const char *address, uint16_t port, uint32_t kinds,
			       uint32_t link_mbps, const feed_server_ops_t *ops, void *ctx)
{
	feed_server_t *server = g_new0(feed_server_t, 1);

	server->loop = loop;
	server->link_mbps = link_mbps;
	server->turn_timer = (loop_timer_t){.fire = send_next_turn, .ctx = server};
	server->ops = ops;
	server->ctx = ctx;
	server->kinds = kinds;
	server->caches = g_new0(feed_cache_t *, kinds);
	for (uint32_t kind = 0; kind < kinds; kind++)
		server->caches[kind] = feed_cache_new(kind);
	server->subscribers = g_ptr_array_new();
	server->frame = g_byte_array_new();
	if (listener_new(loop, address, port, on_accepted, server))
		return server;
	g_ptr_array_unref(server->subscribers);
	g_byte_array_unref(server->frame);
	g_free(server);
	return NULL;
}

void feed_server_publish(feed_server_t *server, const feed_message_t *message)
{
	feed_message_t sent = *message;

	if (message->type < FEED_STATUS && message->kind < server->kinds)
		feed_cache_apply(server->caches[message->kind], message);
	if (message->type == FEED_ANNOUNCED)
		sent.text = "";
	relay_message(server, NULL, &sent);
}

void feed_server_publish_in_turn(feed_server_t *server, const feed_message_t *message)
{
	feed_cache_apply(server->caches[message->kind], message);
	for (guint i = 0; i < server->subscribers->len; i++)
		add_turn(g_ptr_array_index(server->subscribers, i), message);
}

void feed_server_write(feed_server_t *server, const GByteArray *frames)
{
	write_to_subscribers(server, NULL, frames);
}

uint32_t feed_server_subscribers(const feed_server_t *server)
{
	return server->subscribers->len;
}

bool feed_server_has_list(const feed_server_t *server, uint32_t kind)
{
	return feed_cache_is_complete(server->caches[kind]);
}

void feed_server_clear(feed_server_t *server)
{
	for (uint32_t kind = 0; kind < server->kinds; kind++)
		feed_cache_clear(server->caches[kind]);
}
