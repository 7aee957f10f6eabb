/**
 * @file feed_client.c
 * See feed_client.h.
 */
#include "tasks/feed_client.h"

#include "core/framing.h"
#include "net/sock.h"

/*
 * A feeder sends its status twice a second. After three missing messages its VM has terminated, is
 * frozen or cut off, or the connection has failed silently. Changes must still arrive within 3 s,
 * so the feed is given up then.
 */
#define SILENCE_MAX_US 1700000

struct feed_client_t {
	loop_t *loop;
	const feed_client_ops_t *ops;
	void *ctx;
	sock_t *sock; /* NULL once it is closed */
	framing_reader_t *reader;
	loop_timer_t silence;
	bool in_callback;
	bool freed; /* feed_client_free() was called from inside a callback */
};

static void client_end(feed_client_t *client, const char *reason)
{
	loop_timer_cancel(&client->silence);
	if (client->sock)
		sock_close(client->sock);
	client->sock = NULL;
	client->ops->ended(client->ctx, reason);
}

static void dispose(feed_client_t *client)
{
	framing_reader_free(client->reader);
	g_free(client);
}

void feed_client_write(feed_client_t *client, const GByteArray *frames)
{
	if (client->sock)
		sock_write(client->sock, frames->data, frames->len);
}

void feed_client_free(feed_client_t *client)
{
	loop_timer_cancel(&client->silence);
	if (client->sock)
		sock_close(client->sock);
	client->sock = NULL;
	client->freed = true;
	if (!client->in_callback)
		dispose(client);
}

static void on_silence_timeout(void *ctx)
{
	client_end(ctx, "silent");
}

static void on_opened(void *ctx)
{
	(void)ctx;
}

static void on_message(void *ctx, const feed_message_t *message)
{
	feed_client_t *client = ctx;

	if (client->freed) /* by the callback of an earlier message in the same bytes */
		return;
	loop_timer_set(client->loop, &client->silence, SILENCE_MAX_US);
	client->ops->message(client->ctx, message);
}

static framing_result_t read_message(void *ctx, const uint8_t *data, size_t bytes, size_t *used)
{
	return feed_message_read(data, bytes, used, on_message, ctx);
}

static void on_received(void *ctx, const char *data, size_t bytes)
{
	feed_client_t *client = ctx;

	client->in_callback = true;
	if (!framing_reader_add(client->reader, data, bytes) && !client->freed)
		client_end(client, "garbage");
	client->in_callback = false;
	if (client->freed)
		dispose(client);
}

static void on_ended(void *ctx, sock_close_reason_t end)
{
	feed_client_t *client = ctx;

	client->sock = NULL;
	client_end(client, sock_close_reason_name(end));
}

feed_client_t *feed_client_new(loop_t *loop, const char *address, uint16_t port,
			       const feed_client_ops_t *ops, void *ctx)
{
	static const sock_ops_t sock_ops = {
		.opened = on_opened, .received = on_received, .ended = on_ended};
	feed_client_t *client = g_new0(feed_client_t, 1);

	client->loop = loop;
	client->ops = ops;
	client->ctx = ctx;
	client->reader = framing_reader_new(read_message, client);
	client->sock = sock_connect(loop, address, port, &sock_ops, client);
	if (!client->sock) {
		dispose(client);
		return NULL;
	}
	client->silence = (loop_timer_t){.fire = on_silence_timeout, .ctx = client};
	loop_timer_set(loop, &client->silence, SILENCE_MAX_US);
	return client;
}
