/**
 * @file client.h
 * The tool's calls on daemons' admin addresses, one after the other.
 */
#ifndef DS_CLIENT_H
#define DS_CLIENT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct client_t client_t;

/** @param addresses "ip:port,ip:port": any daemon; the first that answers is used where one will do
 */
client_t *client_new(const char *addresses, const char *token);
uint32_t client_count(const client_t *client);
const char *client_address(const client_t *client, uint32_t index);
/**
 * Call the daemon at @p index.
 * @param body NULL for GET
 * @param status HTTP status, 0 when it can't be reached
 * @return the reply's JSON, or NULL
 */
json_t *client_call(client_t *client, uint32_t index, const char *path, const json_t *body,
		    int *status);
/** Call the first daemon that can be reached. */
json_t *client_call_any(client_t *client, const char *path, const json_t *body, int *status);

#endif
