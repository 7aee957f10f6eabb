/**
 * @file socket_state.h
 * Platform code: what the kernel knows of a socket.
 */
#ifndef DS_SOCKET_STATE_H
#define DS_SOCKET_STATE_H

#include <stdbool.h>

/** Whether the peer has closed its end and nothing is left to read. Reads nothing. */
bool socket_peer_closed(int fd);

#endif
