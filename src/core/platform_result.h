/**
 * @file platform_result.h
 * How a call on the platform's object API ended. docs/PLATFORM.md describes the wire.
 */
#ifndef DS_PLATFORM_RESULT_H
#define DS_PLATFORM_RESULT_H

#include <jansson.h>
#include <stdint.h>

typedef enum platform_end_t {
	PLATFORM_OK,	    /**< read: version and value; write: the new version */
	PLATFORM_ABSENT,    /**< read: there is no such object; version 0 */
	PLATFORM_CONFLICT,  /**< write: the version named is not the current one */
	PLATFORM_UNCHANGED, /**< watch: nothing new in the time given */
	PLATFORM_UNKNOWN,   /**< no answer: a write may or may not have taken effect */
} platform_end_t;

/** How far a call got, as its connection shows. */
typedef enum platform_reach_t {
	PLATFORM_REPLIED,
	PLATFORM_NOT_SENT, /**< no connection, or none in time to write on */
	PLATFORM_CUT,	   /**< the connection broke before the reply was whole */
	PLATFORM_SILENT,   /**< given up: no whole reply in the time that it had */
	PLATFORM_REACHES,
} platform_reach_t;

typedef struct platform_result_t {
	platform_end_t end;
	platform_reach_t reach;
	uint64_t version;
	json_t *value; /**< borrowed; NULL for none */
	int status;    /**< as it was sent; 0 when no whole reply came */
	json_t *body;  /**< the whole reply, borrowed; NULL when it is not JSON */
} platform_result_t;

#endif
