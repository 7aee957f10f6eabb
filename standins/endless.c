/**
 * @file endless.c
 * See endless.h.
 */
#include "endless.h"

#include <string.h>

#define SLOW_PERIOD_US 10000
/* Bytes of one write, more than a socket's buffers take. */
#define BLOCK_BYTES (1u << 20)

struct endless_t {
	loop_t *loop;
	sock_t *sock;
	const endless_kind_t *kind;
	GString *block; /* the repeated bytes, many times */
	size_t sent;	/* in slow mode, bytes of `start` and then of `block` */
	loop_timer_t timer;
	bool slow;
};

#define CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

static const endless_kind_t kinds[] = {
	{"interim", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	{"head", "HTTP/1.1 200 OK\r\n", "X-Filler: 0123456789\r\n"},
	{"length", "HTTP/1.1 200 OK\r\nContent-Length: 4000000\r\n\r\n", "0123456789abcdef"},
	{"unframed", "HTTP/1.1 200 OK\r\n\r\n", "0123456789abcdef"},
	{"chunks", CHUNKED, "4\r\n0123\r\n"},
	{"extension", CHUNKED "1;x=", "0123456789abcdef"},
	{"trailers", CHUNKED "0\r\n", "X-Filler: 0123456789\r\n"},
	{"garbage", "", "0123456789abcdef"},
};

const endless_kind_t *endless_kind_find(const char *name)
{
	for (size_t i = 0; name && i < G_N_ELEMENTS(kinds); i++)
		if (g_str_equal(name, kinds[i].name))
			return &kinds[i];
	return NULL;
}

static void send_byte(endless_t *endless)
{
	size_t start = strlen(endless->kind->start);
	const char *at = endless->sent < start ? endless->kind->start + endless->sent
					       : endless->block->str + (endless->sent - start) %
									       endless->block->len;

	sock_write(endless->sock, at, 1);
	endless->sent++;
	loop_timer_set(endless->loop, &endless->timer, SLOW_PERIOD_US);
}

static void send_next(void *ctx)
{
	endless_t *endless = ctx;

	if (endless->slow) {
		send_byte(endless);
		return;
	}
	sock_write(endless->sock, endless->block->str, endless->block->len);
	if (sock_is_flushed(endless->sock))
		loop_timer_set(endless->loop, &endless->timer, 0);
}

endless_t *endless_new(loop_t *loop, sock_t *sock, const endless_kind_t *kind, bool slow)
{
	endless_t *endless = g_new0(endless_t, 1);

	endless->loop = loop;
	endless->sock = sock;
	endless->kind = kind;
	endless->slow = slow;
	endless->block = g_string_sized_new(BLOCK_BYTES);
	while (endless->block->len < (slow ? 1 : BLOCK_BYTES))
		g_string_append(endless->block, kind->rest);
	endless->timer = (loop_timer_t){.fire = send_next, .ctx = endless};
	if (!slow)
		sock_write(sock, kind->start, strlen(kind->start));
	loop_timer_set(loop, &endless->timer, 0);
	return endless;
}

void endless_free(endless_t *endless)
{
	if (!endless)
		return;
	loop_timer_cancel(&endless->timer);
	g_string_free(endless->block, TRUE);
	g_free(endless);
}

void endless_flushed(endless_t *endless)
{
	if (endless && !endless->slow)
		loop_timer_set(endless->loop, &endless->timer, 0);
}
