/**
 * @file reply.h
 * A reply of a searcher, parsed and validated. docs/UPSTREAM.md documents the wire format.
 */
#ifndef DS_REPLY_H
#define DS_REPLY_H

#include "core/upstream.h"

#include <jansson.h>

typedef enum reply_kind_t {
	REPLY_ANSWER, /**< ran; has version, partitions and records, or an action's result */
	REPLY_VERSION_NOT_HELD, /**< did not run: the searcher lacks the version */
	REPLY_SHED,		/**< did not run: the searcher says that it did not start */
	REPLY_NOT_SENT,		/**< did not run: no byte can have reached the searcher */
	REPLY_CONNECTION_LOST,	/**< unknown: lost after a byte may have been sent */
	REPLY_INVALID,		/**< unknown: the reply is invalid */
} reply_kind_t;

typedef struct reply_t {
	reply_kind_t kind;
	uint64_t version;
	GArray *partitions;	   /**< uint32_t, ascending; never NULL */
	json_t *records;	   /**< array, or NULL */
	upstream_report_t *report; /**< the searcher's status report, or NULL */
} reply_t;

reply_t *reply_new(reply_kind_t kind);
void reply_free(reply_t *reply);
/** Parse a complete HTTP reply. Never returns NULL: an invalid reply gives REPLY_INVALID. */
reply_t *reply_parse(int status, const char *body, size_t body_bytes);
/** Parse a health page. Returns NULL if it is invalid. */
upstream_report_t *reply_parse_health(int status, const char *body, size_t body_bytes);

#endif
