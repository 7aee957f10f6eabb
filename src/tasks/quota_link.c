/**
 * @file quota_link.c
 * See quota_link.h.
 */
#include "tasks/quota_link.h"

#include "net/sock.h"

/* Two checks without a byte from the pool, which answers each of them. */
#define SILENCE_MAX_US 1200000

struct quota_link_t {
	loop_t *loop;
	vm_t *vm;
	const quota_link_ops_t *ops;
	void *ctx;
	sock_t *sock; /* NULL: closed */
	framing_reader_t *reader;
	uint64_t last_received_us; /* or when it was opened */
	bool linked;
	bool stops; /* the pool's VM is about to stop */
};

static void set_linked(quota_link_t *link, bool linked)
{
	if (link->linked == linked)
		return;
	link->linked = linked;
	if (linked)
		g_message("event=quota-pool-linked vm=%s", link->vm->name);
	link->ops->linked(link->ctx, link, linked);
}

/* The socket is closed already, or the caller closes it. */
static void link_lost(quota_link_t *link, const char *reason)
{
	g_message("event=quota-pool-lost vm=%s reason=%s", link->vm->name, reason);
	link->sock = NULL;
	framing_reader_free(link->reader);
	link->reader = NULL;
	set_linked(link, false);
}

static void on_message(void *ctx, const hop_message_t *message)
{
	quota_link_t *link = ctx;

	if (message->type == HOP_QUOTA_GRANT) {
		link->ops->grant(link->ctx, link, message);
	} else if (message->type == HOP_PONG && !link->stops) {
		set_linked(link, true);
	} else if (message->type == HOP_LEAVING) {
		link->stops = true;
		set_linked(link, false);
	}
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
	quota_link_t *link = ctx;

	link->last_received_us = loop_now_us();
	if (framing_reader_add(link->reader, data, bytes))
		return;
	sock_close(link->sock);
	link_lost(link, "garbage");
}

static void on_ended(void *ctx, sock_close_reason_t end)
{
	link_lost(ctx, sock_close_reason_name(end));
}

quota_link_t *quota_link_new(loop_t *loop, const vm_t *vm, const quota_link_ops_t *ops, void *ctx)
{
	quota_link_t *link = g_new0(quota_link_t, 1);

	link->loop = loop;
	link->vm = vm_new(vm);
	link->ops = ops;
	link->ctx = ctx;
	return link;
}

void quota_link_free(quota_link_t *link)
{
	if (link->sock) {
		sock_close(link->sock);
		framing_reader_free(link->reader);
	}
	vm_free(link->vm);
	g_free(link);
}

static void open_link(quota_link_t *link)
{
	static const sock_ops_t ops = {
		.opened = on_opened, .received = on_received, .ended = on_ended};

	link->sock = sock_connect(link->loop, link->vm->address, link->vm->gather_port, &ops, link);
	if (!link->sock)
		return;
	link->reader = framing_reader_new(read_message, link);
	link->last_received_us = loop_now_us();
	link->stops = false;
}

void quota_link_check(quota_link_t *link)
{
	g_autoptr(GByteArray) frame = g_byte_array_new();

	if (link->sock && loop_now_us() > link->last_received_us + SILENCE_MAX_US) {
		sock_close(link->sock);
		link_lost(link, "silent");
	}
	if (!link->sock)
		open_link(link);
	hop_message_write(frame, &(hop_message_t){.type = HOP_PING});
	quota_link_write(link, frame);
}

void quota_link_write(quota_link_t *link, const GByteArray *frame)
{
	if (link->sock)
		sock_write(link->sock, frame->data, frame->len);
}

const vm_t *quota_link_vm(const quota_link_t *link)
{
	return link->vm;
}
