/**
 * @file feed_message.h
 * Messages between a feeder and its subscribers: a length and a msgpack array each.
 *
 * A feeder sends a new subscriber the whole list of each kind of objects, then changes as they
 * come, and at regular intervals a status with the age of the data, whether or not anything
 * changes. Both sides send observations of searchers.
 */
#ifndef DS_FEED_MESSAGE_H
#define DS_FEED_MESSAGE_H

#include "core/framing.h"

/* The largest object of the store has 1 MB; its name and the framing need little more. */
#define FEED_FRAME_MAX_BYTES ((1u << 20) + 4096)

typedef enum feed_type_t {
	FEED_LIST_BEGIN,
	FEED_OBJECT,	/**< an object of the list, or a changed one */
	FEED_ANNOUNCED, /**< an object that is too large to be sent to all: the subscriber reads it
			 * from the store; it has no text on the wire */
	FEED_REMOVED,	/**< an object was removed from the store */
	FEED_LIST_END,
	FEED_STATUS,	  /**< sent twice a second: the age of the data and the feeder's state */
	FEED_OBSERVATION, /**< an observation of a searcher; sent in both directions, and relayed to
			   * the other subscribers */
	FEED_REQUEST,	  /**< a subscriber that can't read the store requests an object */
	FEED_TYPES,
} feed_type_t;

/** One message; its texts are borrowed. */
typedef struct feed_message_t {
	feed_type_t type;
	uint32_t kind;	  /**< kind of the objects; observation: its type; status: age of the
			   * feeder's list of VMs in milliseconds plus one, 0: it relays none */
	const char *name; /**< object: its name; observation: the searcher; status: the VM that
			   * feeds the sender, or "" */
	const char *text; /**< object: its content, after a removal the last one; observation:
			   * the searcher's start time in decimal; or "" */
	uint64_t age_us;  /**< status: since the store last answered the VM that watches it;
			   * observation: since the sub-request was sent */
	bool unreliable;  /**< status: the sender can't be relied on as a feeder */
	uint64_t era;	  /**< the store era of the data; unused for observations */
} feed_message_t;

/** Append the frame of @p message to @p out. */
void feed_message_write(GByteArray *out, const feed_message_t *message);

/** Called with each whole message. */
typedef void (*feed_message_f)(void *ctx, const feed_message_t *message);

/**
 * Decode the frame at the start of @p data and pass its message to @p handle.
 * @param used set to the bytes of the frame, if it is complete
 */
framing_result_t feed_message_read(const uint8_t *data, size_t bytes, size_t *used,
				   feed_message_f handle, void *ctx);

#endif
