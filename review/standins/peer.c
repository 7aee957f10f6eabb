/**
 * @file peer.c
 * See peer.h.
 */
#define _GNU_SOURCE
#include "peer.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define FIRST_ROOM 8192
#define BACKLOG 512

int64_t peer_now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void peer_sleep_us(int64_t us)
{
	struct timespec left = {.tv_sec = us / 1000000, .tv_nsec = us % 1000000 * 1000};

	while (us > 0 && nanosleep(&left, &left) && errno == EINTR)
		;
}

static struct sockaddr_in loopback(int port)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return address;
}

int peer_listen(int port)
{
	struct sockaddr_in address = loopback(port);
	int on = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (!bind(fd, (struct sockaddr *)&address, sizeof(address)) && !listen(fd, BACKLOG))
		return fd;
	close(fd);
	return -1;
}

int peer_connect(int port)
{
	struct sockaddr_in address = loopback(port);
	int on = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (!connect(fd, (struct sockaddr *)&address, sizeof(address)))
		return fd;
	close(fd);
	return -1;
}

void peer_init(peer_t *peer, int fd)
{
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	*peer = (peer_t){.fd = fd, .room = FIRST_ROOM, .data = malloc(FIRST_ROOM)};
}

void peer_close(peer_t *peer)
{
	close(peer->fd);
	free(peer->data);
	peer->data = NULL;
}

bool peer_write(const peer_t *peer, const char *data, size_t bytes)
{
	while (bytes) {
		ssize_t sent = send(peer->fd, data, bytes, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		data += sent;
		bytes -= (size_t)sent;
	}
	return true;
}

void peer_header(const peer_message_t *message, const char *name, char *out, size_t room)
{
	size_t name_bytes = strlen(name);
	const char *line = message->fields;

	*out = '\0';
	while (line && *line) {
		const char *end = strstr(line, "\r\n");
		size_t bytes = end ? (size_t)(end - line) : strlen(line);

		if (bytes > name_bytes && line[name_bytes] == ':' &&
		    !strncasecmp(line, name, name_bytes)) {
			const char *value = line + name_bytes + 1;
			size_t value_bytes = bytes - name_bytes - 1;

			while (value_bytes && *value == ' ') {
				value++;
				value_bytes--;
			}
			snprintf(out, room, "%.*s", (int)value_bytes, value);
			return;
		}
		line = end ? end + 2 : NULL;
	}
}

static bool parse(peer_t *peer, peer_message_t *message)
{
	char *head_end, *line_end, length[32];

	peer->data[peer->bytes] = '\0';
	head_end = strstr(peer->data, "\r\n\r\n");
	if (!head_end)
		return false;
	/* The head is restored below, as the body may still be incomplete. */
	*head_end = '\0';
	line_end = strstr(peer->data, "\r\n");
	*message = (peer_message_t){.start = peer->data, .body = head_end + 4};
	message->fields = line_end ? line_end + 2 : head_end;
	peer_header(message, "Content-Length", length, sizeof(length));
	message->body_bytes = strtoul(length, NULL, 10);
	message->total_bytes = (size_t)(message->body - peer->data) + message->body_bytes;
	if (peer->bytes < message->total_bytes) {
		*head_end = '\r';
		return false;
	}
	if (line_end)
		*line_end = '\0';
	return true;
}

int peer_read(peer_t *peer, peer_message_t *message, int64_t deadline_ms)
{
	while (!peer->bytes || !parse(peer, message)) {
		struct pollfd wait = {.fd = peer->fd, .events = POLLIN};
		int64_t left_ms = deadline_ms - peer_now_ms();
		ssize_t got;

		if (left_ms <= 0)
			return -1;
		if (poll(&wait, 1, (int)left_ms) <= 0)
			continue;
		if (peer->bytes + 1 >= peer->room) {
			peer->room *= 2;
			peer->data = realloc(peer->data, peer->room);
		}
		got = recv(peer->fd, peer->data + peer->bytes, peer->room - peer->bytes - 1, 0);
		if (got <= 0)
			return 0;
		peer->bytes += (size_t)got;
	}
	return 1;
}

void peer_consume(peer_t *peer, const peer_message_t *message)
{
	peer->bytes -= message->total_bytes;
	memmove(peer->data, peer->data + message->total_bytes, peer->bytes);
}

bool peer_has_left(const peer_t *peer)
{
	char byte;
	ssize_t got = recv(peer->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return !got || (got < 0 && errno != EAGAIN && errno != EINTR);
}
