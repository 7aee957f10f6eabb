/**
 * @file hop_server.h
 * The gatherer's side of hand-over connections: receives requests that other VMs hand over to this
 * one, and sends the results back.
 */
#ifndef DS_HOP_SERVER_H
#define DS_HOP_SERVER_H

#include "core/hop_message.h"
#include "net/loop.h"

typedef struct hop_server_t hop_server_t;

/** A request that another VM has handed over. */
typedef struct hop_job_t {
	struct hop_conn_t *conn;
	uint64_t serial;
	uint64_t version;     /**< version of the configuration that it was routed by */
	uint64_t received_us; /**< when the first byte came from the caller, on this VM's clock */
	uint64_t arrived_us;  /**< earliest time at which it may have reached this VM */
	uint64_t patience_us; /**< how long the caller waits in all; 0: the caller did not say */
	bool is_resend;	      /**< another VM may have sent sub-requests of it */
	char *id;	      /**< the caller's request id; NULL for none */
	char *host;
	char *target;
	char *key;     /**< the caller's API key; NULL for none */
	GString *head; /**< sent to every searcher: request line and headers */
	GString *body;
	void *data; /**< for the gathering code, which sets it */
} hop_job_t;

typedef struct hop_server_ops_t {
	/** Whether to accept @p job; if not, sets @p reason. Must not send sub-requests yet. */
	bool (*accepts)(void *ctx, const hop_job_t *job, hop_reason_t *reason);
	/** Version of the configuration that an accepted job is gathered by. */
	uint64_t (*version)(void *ctx);
	/** @p job is accepted: gather it, and send the result by hop_server_answer(). */
	void (*gather)(void *ctx, hop_job_t *job);
	/** @p count more searchers of each shard may run @p job. */
	void (*grant)(void *ctx, hop_job_t *job, uint32_t count);
	/** A message to this VM's quota pool. Returns whether @p reply is to be sent. */
	bool (*quota)(void *ctx, const hop_message_t *message, hop_message_t *reply);
	/** No one waits for @p job any more; it is freed after the return. */
	void (*abandoned)(void *ctx, hop_job_t *job);
} hop_server_ops_t;

/** Returns NULL when the VM can't listen on @p address. */
hop_server_t *hop_server_new(loop_t *loop, const char *address, uint16_t port,
			     const hop_server_ops_t *ops, void *ctx);
/** Send the result of @p job, and free @p job. */
void hop_server_answer(hop_server_t *server, hop_job_t *job, const hop_answer_t *answer);
/**
 * Tell all connected VMs that this one stops. Requests that they hand over nevertheless are still
 * offered to the `accepts` callback.
 */
void hop_server_drain(hop_server_t *server);
/**
 * This VM was suspended. The arrival time of requests read since is unknown, so reject those not
 * yet accepted.
 */
void hop_server_resumed(hop_server_t *server);
/** Number of requests that are accepted or pending, and not answered. */
uint32_t hop_server_open(const hop_server_t *server);
/** When another VM last handed a request over; 0: never. */
uint64_t hop_server_last_request_us(const hop_server_t *server);

#endif
