/**
 * @file hop_client.c
 * See hop_client.h.
 */
#include "tasks/hop_client.h"

#include "net/sock.h"

/* Connections kept: one to hand requests to, and two for when that gatherer is slow or gone. */
#define LINKS 3
/* How often it is looked whether a connection is missing or has gone silent. A gatherer that starts
 * again is used within this time; all VMs of a data centre that ask at once are a hundred small
 * messages. */
#define LOOK_US 500000
/* A connection on which nothing came for so long after a gatherer was late, or after it was asked
 * whether it is there, may have gone silent for good: a new one shows whether the VM lives. */
#define SILENT_MOST_US 1500000

typedef struct hop_link_t {
	hop_client_t *client;
	gatherer_t *gatherer; /* referenced */
	sock_t *sock;
	framing_reader_t *reader;
	uint64_t heard_us; /* or opened */
} hop_link_t;

struct hop_client_t {
	loop_t *loop;
	handovers_t *handovers;
	GPtrArray *links; /* hop_link_t */
	GByteArray *frame;
	loop_timer_t look_timer;
	void (*heard)(void *ctx);
	void *heard_ctx;
};

static void link_free(hop_link_t *link)
{
	g_ptr_array_remove_fast(link->client->links, link);
	link->gatherer->link = NULL;
	gatherer_unref(link->gatherer);
	framing_reader_free(link->reader);
	g_free(link);
}

/* The socket is closed already, or is closed by the caller. */
static void link_lost(hop_link_t *link, const char *reason)
{
	hop_client_t *client = link->client;
	gatherer_t *gatherer = gatherer_ref(link->gatherer);

	g_message("event=gatherer-lost vm=%s state=%s out=%u reason=%s", gatherer->vm->name,
		  gatherer_state_name(gatherer->state), gatherer->outstanding, reason);
	link_free(link);
	handovers_connection_lost(client->handovers, gatherer, loop_now_us());
	gatherer_unref(gatherer);
	client->heard(client->heard_ctx);
}

static void on_message(void *ctx, const hop_message_t *message)
{
	hop_link_t *link = ctx;
	hop_client_t *client = link->client;

	handovers_receive(client->handovers, link->gatherer, message, loop_now_us());
}

static framing_result_t read_message(void *ctx, const uint8_t *data, size_t bytes, size_t *used)
{
	return hop_message_read(data, bytes, used, on_message, ctx);
}

static void on_opened(void *ctx)
{
	(void)ctx;
}

static void on_received(void *ctx, const char *data, size_t bytes)
{
	hop_link_t *link = ctx;
	hop_client_t *client = link->client;

	link->heard_us = loop_now_us();
	if (!framing_reader_add(link->reader, data, bytes)) {
		sock_close(link->sock);
		link_lost(link, "garbage");
		return;
	}
	client->heard(client->heard_ctx);
}

static void on_ended(void *ctx, sock_close_reason_t end)
{
	link_lost(ctx, sock_close_reason_name(end));
}

static void link_open(hop_client_t *client, gatherer_t *gatherer)
{
	static const sock_ops_t ops = {
		.opened = on_opened, .received = on_received, .ended = on_ended};
	hop_link_t *link = g_new0(hop_link_t, 1);

	link->client = client;
	link->sock = sock_connect(client->loop, gatherer->vm->address, gatherer->vm->gather_port,
				  &ops, link);
	if (!link->sock) {
		g_warning("event=gatherer-lost vm=%s reason=descriptors", gatherer->vm->name);
		g_free(link);
		return;
	}
	link->gatherer = gatherer_ref(gatherer);
	link->reader = framing_reader_new(read_message, link);
	link->heard_us = loop_now_us();
	gatherer->link = link;
	gatherer->state = GATHERER_PINGED;
	g_ptr_array_add(client->links, link);
	hop_client_write(client, gatherer, &(hop_message_t){.type = HOP_PING});
}

/* One that is late, and says nothing in this time either, or that is no longer chosen. One that
 * stops closes the connection itself, and what starts in its place is found then. */
static bool is_to_close(const hop_link_t *link, uint64_t now_us)
{
	gatherer_t *gatherer = link->gatherer;
	bool waits = gatherer->state == GATHERER_PINGED || gatherer->state == GATHERER_UNRESPONSIVE;
	const GPtrArray *chosen = handovers_gatherers(link->client->handovers);

	if (!g_ptr_array_find((GPtrArray *)chosen, gatherer, NULL))
		return gatherer->outstanding == 0;
	return waits && now_us > link->heard_us + SILENT_MOST_US;
}

static void close_useless(hop_client_t *client)
{
	uint64_t now_us = loop_now_us();

	for (guint i = client->links->len; i-- > 0;) {
		hop_link_t *link = g_ptr_array_index(client->links, i);

		if (!is_to_close(link, now_us))
			continue;
		sock_close(link->sock);
		link_lost(link, "useless");
	}
}

/* One that is late is asked whether it is there, so that it need not wait for the next request. */
static void ask_silent(hop_client_t *client)
{
	for (guint i = 0; i < client->links->len; i++) {
		const hop_link_t *link = g_ptr_array_index(client->links, i);

		if (link->gatherer->state == GATHERER_UNRESPONSIVE)
			hop_client_write(client, link->gatherer,
					 &(hop_message_t){.type = HOP_PING});
	}
}

void hop_client_look(hop_client_t *client)
{
	const GPtrArray *gatherers = handovers_gatherers(client->handovers);
	uint32_t useful = 0;

	close_useless(client);
	ask_silent(client);
	for (guint i = 0; i < gatherers->len && useful < LINKS; i++) {
		gatherer_t *gatherer = g_ptr_array_index(gatherers, i);

		if (gatherer->state == GATHERER_CLOSED)
			link_open(client, gatherer);
		useful += gatherer->state == GATHERER_READY;
	}
	if (gatherers->len || client->links->len)
		loop_timer_set(client->loop, &client->look_timer, LOOK_US);
}

static void on_look(void *ctx)
{
	hop_client_look(ctx);
}

hop_client_t *hop_client_new(loop_t *loop, handovers_t *handovers)
{
	hop_client_t *client = g_new0(hop_client_t, 1);

	client->loop = loop;
	client->handovers = handovers;
	client->links = g_ptr_array_new();
	client->frame = g_byte_array_new();
	client->look_timer = (loop_timer_t){.fire = on_look, .ctx = client};
	return client;
}

void hop_client_set_heard(hop_client_t *client, void (*heard)(void *ctx), void *ctx)
{
	client->heard = heard;
	client->heard_ctx = ctx;
}

void hop_client_write(hop_client_t *client, const gatherer_t *gatherer,
		      const hop_message_t *message)
{
	const hop_link_t *link = gatherer->link;

	if (!link)
		return;
	g_byte_array_set_size(client->frame, 0);
	hop_message_write(client->frame, message);
	sock_write(link->sock, client->frame->data, client->frame->len);
}
