/**
 * @file hop_client.c
 * See hop_client.h.
 */
#include "tasks/hop_client.h"

#include "net/sock.h"

/* Number of ready connections to keep: one gatherer to hand requests to, and two in reserve for
 * when that gatherer is slow or gone. */
#define READY_LINKS 3
/* Period of the check for missing and unresponsive connections. A restarted gatherer is used again
 * within this time. If all VMs of a data centre ping at once, that is a hundred small messages. */
#define CHECK_PERIOD_US 500000
/* If a gatherer is late or was pinged, and its connection delivers nothing for this long, the
 * connection itself may be dead without an error. A new connection shows whether the VM lives. */
#define SILENCE_TIMEOUT_US 1500000

typedef struct hop_link_t {
	hop_client_t *client;
	gatherer_t *gatherer; /* referenced */
	sock_t *sock;
	framing_reader_t *reader;
	uint64_t last_received_us; /* or when the connection was opened, if later */
} hop_link_t;

struct hop_client_t {
	loop_t *loop;
	handovers_t *handovers;
	GPtrArray *links; /* hop_link_t */
	GByteArray *frame;
	loop_timer_t check_timer;
	void (*received)(void *ctx);
	void *received_ctx;
};

static void link_free(hop_link_t *link)
{
	g_ptr_array_remove_fast(link->client->links, link);
	link->gatherer->link = NULL;
	gatherer_unref(link->gatherer);
	framing_reader_free(link->reader);
	g_free(link);
}

/* The socket is closed already, or the caller closes it. */
static void link_lost(hop_link_t *link, const char *reason)
{
	hop_client_t *client = link->client;
	gatherer_t *gatherer = gatherer_ref(link->gatherer);

	g_message("event=gatherer-lost vm=%s state=%s out=%u reason=%s", gatherer->vm->name,
		  gatherer_state_name(gatherer->state), gatherer->outstanding, reason);
	link_free(link);
	handovers_connection_lost(client->handovers, gatherer, loop_now_us());
	gatherer_unref(gatherer);
	client->received(client->received_ctx);
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

	link->last_received_us = loop_now_us();
	if (!framing_reader_add(link->reader, data, bytes)) {
		sock_close(link->sock);
		link_lost(link, "garbage");
		return;
	}
	client->received(client->received_ctx);
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
	link->last_received_us = loop_now_us();
	gatherer->link = link;
	gatherer->state = GATHERER_PINGED;
	g_ptr_array_add(client->links, link);
	hop_client_write(client, gatherer, &(hop_message_t){.type = HOP_PING});
}

/*
 * Whether to close a connection: its gatherer is late, or has not answered the first ping, and has
 * sent nothing within the time-out either; or it is no longer chosen and has no request of this VM
 * left. A gatherer that stops closes the connection itself; the process that replaces it is found
 * after that.
 */
static bool should_close_link(const hop_link_t *link, uint64_t now_us)
{
	gatherer_t *gatherer = link->gatherer;
	bool unresponsive =
		gatherer->state == GATHERER_PINGED || gatherer->state == GATHERER_UNRESPONSIVE;
	const GPtrArray *chosen = handovers_gatherers(link->client->handovers);

	if (!g_ptr_array_find((GPtrArray *)chosen, gatherer, NULL))
		return gatherer->outstanding == 0;
	return unresponsive && now_us > link->last_received_us + SILENCE_TIMEOUT_US;
}

static void close_unneeded_links(hop_client_t *client)
{
	uint64_t now_us = loop_now_us();

	for (guint i = client->links->len; i-- > 0;) {
		hop_link_t *link = g_ptr_array_index(client->links, i);

		if (!should_close_link(link, now_us))
			continue;
		sock_close(link->sock);
		link_lost(link, "useless");
	}
}

/* A late gatherer is pinged, so that it becomes ready again on its answer and not only with the
 * next request. */
static void ping_unresponsive(hop_client_t *client)
{
	for (guint i = 0; i < client->links->len; i++) {
		const hop_link_t *link = g_ptr_array_index(client->links, i);

		if (link->gatherer->state == GATHERER_UNRESPONSIVE)
			hop_client_write(client, link->gatherer,
					 &(hop_message_t){.type = HOP_PING});
	}
}

void hop_client_update_links(hop_client_t *client)
{
	const GPtrArray *gatherers = handovers_gatherers(client->handovers);
	uint32_t ready = 0;

	close_unneeded_links(client);
	ping_unresponsive(client);
	for (guint i = 0; i < gatherers->len && ready < READY_LINKS; i++) {
		gatherer_t *gatherer = g_ptr_array_index(gatherers, i);

		if (gatherer->state == GATHERER_CLOSED)
			link_open(client, gatherer);
		ready += gatherer->state == GATHERER_READY;
	}
	if (gatherers->len || client->links->len)
		loop_timer_set(client->loop, &client->check_timer, CHECK_PERIOD_US);
}

static void on_check_timer(void *ctx)
{
	hop_client_update_links(ctx);
}

hop_client_t *hop_client_new(loop_t *loop, handovers_t *handovers)
{
	hop_client_t *client = g_new0(hop_client_t, 1);

	client->loop = loop;
	client->handovers = handovers;
	client->links = g_ptr_array_new();
	client->frame = g_byte_array_new();
	client->check_timer = (loop_timer_t){.fire = on_check_timer, .ctx = client};
	return client;
}

void hop_client_set_received(hop_client_t *client, void (*received)(void *ctx), void *ctx)
{
	client->received = received;
	client->received_ctx = ctx;
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
