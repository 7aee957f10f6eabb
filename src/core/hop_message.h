/**
 * @file hop_message.h
 * Messages between a taker, the VM that received a request from its caller, and a VM that gathers
 * for it. A message is a length and a msgpack array; one connection carries many requests, in any
 * order.
 *
 *     taker     HOP_REQUEST   gather this request; at first one sub-request per shard
 *     gatherer  HOP_ACCEPTED  started, with this version of the configuration
 *     taker     HOP_GRANT     additional sub-requests per shard, to use if needed
 *     gatherer  HOP_ANSWER    the outcome
 *
 * The same connections carry tokens of the tenants' quotas (quota.h), between a VM and a pool:
 *
 *     VM    HOP_QUOTA_SHARE   the share of all quotas that the VM has accrued
 *     VM    HOP_QUOTA_ASK     a token for a request, or spare tokens for another pool
 *     pool  HOP_QUOTA_GRANT   the tokens, or none
 *     VM    HOP_QUOTA_RETURN  tokens of requests that were not run
 *
 * Instead of accepting a request a gatherer replies HOP_REJECTED: nothing of it ran. The taker
 * sends HOP_CANCEL when the answer is no longer needed.
 *
 * Different versions of the product are compatible: a message of an unknown type is ignored, and so
 * are fields beyond the known ones.
 */
#ifndef DS_HOP_MESSAGE_H
#define DS_HOP_MESSAGE_H

#include "core/forward.h"
#include "core/framing.h"

/* A caller's body and headers, or a merged answer, are a few hundred KB at most. */
#define HOP_FRAME_MAX_BYTES (4u << 20)

typedef enum hop_type_t {
	HOP_PING, /**< answered by HOP_PONG as soon as it is read */
	HOP_PONG,
	HOP_REQUEST,
	HOP_ACCEPTED,
	HOP_REJECTED,
	HOP_GRANT,
	HOP_CANCEL,
	HOP_ANSWER,
	HOP_LEAVING, /**< the gatherer is about to stop: it accepts no new requests and finishes
		      * those it has */
	HOP_QUOTA_SHARE,
	HOP_QUOTA_ASK,
	HOP_QUOTA_GRANT,
	HOP_QUOTA_RETURN,
	HOP_TYPES,
} hop_type_t;

/** Why a gatherer rejects a request. */
typedef enum hop_reason_t {
	HOP_NOT_READY,	  /**< it does not have the configuration or the searchers yet */
	HOP_OLDER_CONFIG, /**< its configuration is older than the one that routed the
			   * request */
	HOP_NOT_GATHERED, /**< its configuration does not route the request as a gather */
	HOP_STOPPING,	  /**< it is about to stop */
	HOP_BUSY,	  /**< it is overloaded with the requests it has */
	HOP_SUSPENDED,	  /**< it was suspended and cannot tell how old the request is */
	HOP_REASONS,
} hop_reason_t;

/** Borrowed bytes. */
typedef struct hop_bytes_t {
	const char *data;
	size_t bytes;
} hop_bytes_t;

/** A request that is handed over. */
typedef struct hop_request_t {
	uint64_t version;     /**< version of the configuration that routed it */
	uint64_t elapsed_us;  /**< since the caller's first byte arrived, including the network
			       * delay to the gatherer */
	uint64_t patience_us; /**< how long the caller waits in total; 0: not given */
	bool retried;	      /**< another gatherer may have sent sub-requests of it */
	hop_bytes_t id;	      /**< the caller's request ID */
	hop_bytes_t host;
	hop_bytes_t target;
	hop_bytes_t key;  /**< the caller's API key; empty: none */
	hop_bytes_t head; /**< sent to every searcher: request line and headers */
	hop_bytes_t body;
} hop_request_t;

/** The outcome of a gather. */
typedef struct hop_answer_t {
	forward_outcome_t end;
	uint32_t parts, missing;
	uint64_t retry_after_us; /**< if nothing ran: when the caller should retry */
	hop_bytes_t stamps;
	hop_bytes_t records;
	/* Why the gatherer's admission control has refused it, for the taker's log. Earlier
	 * versions do not send these. */
	bool refused_by_admission;
	hop_bytes_t shard;  /**< that lacked room; empty: none */
	hop_bytes_t tenant; /**< empty: none */
	uint32_t rank;
	uint64_t waited_us;
} hop_answer_t;

/** A VM's share of all quotas. */
typedef struct hop_quota_share_t {
	hop_bytes_t vm; /**< name of the sender */
	uint64_t accrued_us;
	uint32_t vms, pools;
} hop_quota_share_t;

/** Tokens of a tenant. */
typedef struct hop_quota_t {
	hop_bytes_t tenant;
	uint32_t count;
	bool spare;		 /**< HOP_QUOTA_ASK: only what the pool can do without */
	uint64_t retry_after_us; /**< HOP_QUOTA_GRANT of none: when there will be one; 0: not known
				  */
} hop_quota_t;

/** One message; its type determines which fields are valid. */
typedef struct hop_message_t {
	hop_type_t type;
	uint64_t serial; /**< serial number of the request on its connection */
	hop_request_t request;
	hop_answer_t answer;
	hop_reason_t reason;
	uint32_t more_attempts; /**< HOP_GRANT: additional sub-requests per shard */
	hop_quota_share_t share;
	hop_quota_t quota;
	uint64_t version; /**< HOP_ACCEPTED: version of the configuration that the gatherer uses */
} hop_message_t;

/** Appends @p message, preceded by its length. */
void hop_message_write(GByteArray *out, const hop_message_t *message);

/** Called with a complete message, which borrows from the bytes that were read. */
typedef void (*hop_message_handler_t)(void *ctx, const hop_message_t *message);

/** Reads the first message of @p data; @p used is set when it is complete. */
framing_result_t hop_message_read(const uint8_t *data, size_t bytes, size_t *used,
				  hop_message_handler_t handler, void *ctx);
const char *hop_reason_name(hop_reason_t reason);

#endif
