/**
 * @file reply.h
 * What came back from a searcher, parsed and checked. docs/UPSTREAM.md describes the wire.
 */
#ifndef DS_REPLY_H
#define DS_REPLY_H

#include "core/upstream.h"

#include <jansson.h>

typedef enum reply_kind_t {
	REPLY_ANSWER,		/**< ran: version, partitions and records, or an action's result */
	REPLY_VERSION_NOT_HELD, /**< did not run: the version named is not held */
	REPLY_SHED,		/**< did not run: the searcher says it did not start */
	REPLY_NOT_SENT,		/**< did not run: no byte can have reached the searcher */
	REPLY_CONNECTION_LOST,	/**< unknown: the connection ended after a byte may have left */
	REPLY_INVALID,		/**< unknown: something came that can't be understood */
} reply_kind_t;

typedef struct reply_t {
	reply_kind_t kind;
	uint64_t version;
	GArray *partitions;	   /**< uint32_t, rising; never NULL */
	json_t *records;	   /**< array, or NULL */
	upstream_report_t *report; /**< what it said of itself, or NULL */
} reply_t;

reply_t *reply_new(reply_kind_t kind);
void reply_free(reply_t *reply);
/** Parse a whole HTTP reply. Never NULL: what can't be understood is REPLY_INVALID. */
reply_t *reply_parse(int status, const char *body, size_t body_bytes);
/** Parse a health page. NULL when it can't be understood. */
upstream_report_t *reply_parse_health(int status, const char *body, size_t body_bytes);

#endif
