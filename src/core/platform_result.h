/**
 * @file platform_result.h
 * Result of a call to the platform's object API. docs/PLATFORM.md describes the protocol.
 */
#ifndef DS_PLATFORM_RESULT_H
#define DS_PLATFORM_RESULT_H

#include <jansson.h>
#include <stdint.h>

typedef enum platform_end_t {
	PLATFORM_OK,	    /**< read: version and value; write: the new version */
	PLATFORM_ABSENT,    /**< read: no such object; version 0 */
	PLATFORM_CONFLICT,  /**< write: the given version is not the current one */
	PLATFORM_UNCHANGED, /**< watch: no change within the given time */
	PLATFORM_UNKNOWN,   /**< no answer: a write may or may not have taken effect */
} platform_end_t;

/** How far a call got on its connection. */
typedef enum platform_reach_t {
	PLATFORM_REPLIED,
	PLATFORM_NOT_SENT,	  /**< no connection was available in time to write the request */
	PLATFORM_CONNECTION_LOST, /**< broke before the reply was complete */
	PLATFORM_TIMED_OUT,	  /**< timed out: no complete reply in the time allowed */
	PLATFORM_REACHES,
} platform_reach_t;

typedef struct platform_result_t {
	platform_end_t end;
	platform_reach_t reach;
	uint64_t version;
	json_t *value; /**< borrowed; NULL for none */
	int status;    /**< HTTP status as received; 0 when no complete reply came */
	json_t *body;  /**< the complete reply, borrowed; NULL when it is not JSON */
} platform_result_t;

#endif
