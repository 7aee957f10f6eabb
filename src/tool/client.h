/**
 * @file client.h
 * HTTP calls of the tool to daemons' admin addresses, one at a time.
 */
#ifndef DS_CLIENT_H
#define DS_CLIENT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct client_t client_t;

/**
 * @param addresses "ip:port,ip:port": admin addresses of daemons; client_call_any() uses the first
 * that answers
 * @param token operator's token, sent with each call
 */
client_t *client_new(const char *addresses, const char *token);
uint32_t client_count(const client_t *client);
const char *client_address(const client_t *client, uint32_t index);
/**
 * Call the daemon at @p index and wait for its reply.
 * @param body of a POST; NULL for a GET
 * @param status set to the HTTP status; 0 when the daemon is unreachable
 * @return the reply's JSON, or NULL
 */
json_t *client_call(client_t *client, uint32_t index, const char *path, const json_t *body,
		    int *status);
/** Call the first daemon that is reachable. */
json_t *client_call_any(client_t *client, const char *path, const json_t *body, int *status);

#endif
