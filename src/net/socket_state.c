/**
 * @file socket_state.c
 * See socket_state.h.
 */
#include "net/socket_state.h"

#include <errno.h>
#include <sys/socket.h>

bool socket_peer_closed(int fd)
{
	char byte;
	ssize_t got = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}
