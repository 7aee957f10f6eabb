/**
 * @file hop_server.h
 * Takes requests that other VMs hand over to be gathered here, and tells them the end.
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
	uint64_t version;     /**< of the configuration that it was routed by */
	uint64_t received_us; /**< when its first byte came from the caller, on this VM's clock */
	uint64_t arrived_us;  /**< the earliest that it may have come here */
	uint64_t patience_us; /**< how long its caller waits in all; 0: it did not say */
	bool again;	      /**< another VM may have sent sub-requests of it */
	char *id;	      /**< the caller's; NULL when there is none */
	char *host;
	char *target;
	GString *head; /**< what goes to every searcher: request line and headers */
	GString *body;
	void *data; /**< set by whoever gathers */
} hop_job_t;

typedef struct hop_server_ops_t {
	/** Whether @p job is taken; if not, @p reason says why. Nothing is sent yet. */
	bool (*takes)(void *ctx, const hop_job_t *job, hop_reason_t *reason);
	/** The configuration that it is gathered by. */
	uint64_t (*version)(void *ctx);
	/** It is taken: gather it, and say the end with hop_server_answer(). */
	void (*gather)(void *ctx, hop_job_t *job);
	/** So many more searchers of each shard may run it. */
	void (*more)(void *ctx, hop_job_t *job, uint32_t more);
	/** Nobody waits for it any more; it is freed after the return. */
	void (*gone)(void *ctx, hop_job_t *job);
} hop_server_ops_t;

/** NULL when the address can't be listened on. */
hop_server_t *hop_server_new(loop_t *loop, const char *address, uint16_t port,
			     const hop_server_ops_t *ops, void *ctx);
/** The end of @p job, which is freed. */
void hop_server_answer(hop_server_t *server, hop_job_t *job, const hop_answer_t *answer);
/** Tell all VMs that this one stops. What is handed over all the same is still asked for. */
void hop_server_leave(hop_server_t *server);
/** This VM stood still: what was read since can't be dated, and is not taken. */
void hop_server_stood_still(hop_server_t *server);
/** Requests taken and not answered. */
uint32_t hop_server_open(const hop_server_t *server);
/** When a request was last handed over; 0: never. */
uint64_t hop_server_last_us(const hop_server_t *server);

#endif
