/**
 * @file hop_message.h
 * What a VM that takes requests and one that gathers for it say to each other: a length and a
 * msgpack array, many requests on one connection, in any order.
 *
 *     taker     HOP_REQUEST  gather this; at first one sub-request a shard
 *     gatherer  HOP_TAKEN    it is under way, by this version of the configuration
 *     taker     HOP_GO       as many more sub-requests a shard, if they are of use
 *     gatherer  HOP_ANSWER   the end of it
 *
 * Instead of taking a request a gatherer says HOP_NOT_TAKEN: nothing of it ran. The taker says
 * HOP_CANCEL when nobody waits any more.
 *
 * Versions of the product understand each other: a message of an unknown type is passed over, as
 * are fields beyond those that are known.
 */
#ifndef DS_HOP_MESSAGE_H
#define DS_HOP_MESSAGE_H

#include "core/forward.h"
#include "core/framing.h"

/* A caller's body and headers, or a merged answer, are a few hundred KB at most. */
#define HOP_FRAME_MOST_BYTES (4u << 20)

typedef enum hop_type_t {
	HOP_PING, /**< answered by HOP_PONG as soon as it is read */
	HOP_PONG,
	HOP_REQUEST,
	HOP_TAKEN,
	HOP_NOT_TAKEN,
	HOP_GO,
	HOP_CANCEL,
	HOP_ANSWER,
	HOP_LEAVING, /**< the gatherer stops: nothing new; what it has it finishes */
	HOP_TYPES,
} hop_type_t;

/** Why a gatherer does not take a request. */
typedef enum hop_reason_t {
	HOP_NOT_READY,	 /**< it does not know the configuration or the searchers yet */
	HOP_OLDER,	 /**< its configuration is older than the one that the request came under */
	HOP_NO_GATHER,	 /**< by its configuration the request is no gather */
	HOP_STOPS,	 /**< it is about to end */
	HOP_BUSY,	 /**< it is behind with what it has */
	HOP_STOOD_STILL, /**< it was suspended, and can't say how old the request is */
	HOP_REASONS,
} hop_reason_t;

/** Bytes that are borrowed. */
typedef struct hop_bytes_t {
	const char *data;
	size_t bytes;
} hop_bytes_t;

/** A request that is handed over. */
typedef struct hop_request_t {
	uint64_t version;     /**< of the configuration that it was routed by */
	uint64_t elapsed_us;  /**< since its first byte came from the caller, with the way here */
	uint64_t patience_us; /**< how long the caller waits in all; 0: it did not say */
	bool again;	      /**< another gatherer may have sent sub-requests of it */
	hop_bytes_t id;	      /**< the caller's */
	hop_bytes_t host;
	hop_bytes_t target;
	hop_bytes_t head; /**< what goes to every searcher: request line and headers */
	hop_bytes_t body;
} hop_request_t;

/** The end of a gather. */
typedef struct hop_answer_t {
	forward_end_t end;
	uint32_t parts, missing;
	uint64_t retry_after_us; /**< not run: when to come back */
	hop_bytes_t stamps;
	hop_bytes_t records;
} hop_answer_t;

/** One message; which fields hold is said by its type. */
typedef struct hop_message_t {
	hop_type_t type;
	uint64_t serial; /**< of the request, on its connection */
	hop_request_t request;
	hop_answer_t answer;
	hop_reason_t reason;
	uint32_t more;	  /**< HOP_GO: sub-requests a shard beyond the first */
	uint64_t version; /**< HOP_TAKEN: of the configuration that it is gathered by */
} hop_message_t;

/** Append @p message, with its length before it. */
void hop_message_write(GByteArray *out, const hop_message_t *message);

/** Called with a whole message; it borrows from the bytes that were read. */
typedef void (*hop_message_f)(void *ctx, const hop_message_t *message);

/** Read the first message of @p data; @p used is set when there is one. */
framing_result_t hop_message_read(const uint8_t *data, size_t bytes, size_t *used,
				  hop_message_f take, void *ctx);
const char *hop_reason_name(hop_reason_t reason);

#endif
