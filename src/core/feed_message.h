/**
 * @file feed_message.h
 * What a VM that watches the platform's store tells those that do not: a length and a msgpack
 * array.
 *
 * A subscriber is sent the whole list of each kind of objects, then changes as they come, and news
 * of how old all of that is, whether or not anything changes. Both sides tell sightings of
 * searchers.
 */
#ifndef DS_FEED_MESSAGE_H
#define DS_FEED_MESSAGE_H

#include "core/framing.h"

/* The largest object of the store is 1 MB; its name and the framing are small. */
#define FEED_FRAME_MOST_BYTES ((1u << 20) + 4096)

typedef enum feed_type_t {
	FEED_LIST_BEGIN,
	FEED_OBJECT,  /**< of the list, or changed */
	FEED_CHANGED, /**< an object that is too large to be told to all: read it from the store; it
		       * has no text on the wire */
	FEED_REMOVED, /**< an object is no more */
	FEED_LIST_END,
	FEED_NEWS,     /**< sent twice a second: how old the above is */
	FEED_SIGHTING, /**< of a searcher; either way, and handed on to the other subscribers */
	FEED_ASK,      /**< by a subscriber that can't read the store: tell it an object */
	FEED_TYPES,
} feed_type_t;

/** One message; texts are borrowed. */
typedef struct feed_message_t {
	feed_type_t type;
	uint32_t kind;	  /**< of the objects; of a sighting its type; for news, unused */
	const char *name; /**< of the object; of the searcher of a sighting; of news, the VM that it
			   * is heard from, or "" */
	const char *text; /**< the object's content, that it had before its removal, too; of a
			   * sighting which start of the searcher, in decimal; or "" */
	uint64_t age_us;  /**< news: since the store was last heard, by whoever watches it;
			   * sightings: since the sub-request was sent */
	bool away;	  /**< news: whoever says so can't be relied on to hear the store */
	uint64_t era;	  /**< of the store that this is a word of; not of sightings */
} feed_message_t;

/** Append the frame of @p message to @p out. */
void feed_message_write(GByteArray *out, const feed_message_t *message);

/** Called with a whole message. */
typedef void (*feed_message_f)(void *ctx, const feed_message_t *message);

/**
 * Read the frame at the start of @p data and hand its message over.
 * @param used bytes of the frame, when there was one
 */
framing_t feed_message_read(const uint8_t *data, size_t bytes, size_t *used, feed_message_f take,
			    void *ctx);

#endif
