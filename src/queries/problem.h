/**
 * @file problem.h
 * Formats a refusal as a problem+json document.
 */
#ifndef DS_PROBLEM_H
#define DS_PROBLEM_H

#include "core/outcome.h"

#include <stdint.h>

#define PROBLEM_CONTENT_TYPE "application/problem+json"

/**
 * @param detail what is wrong with this request, or NULL
 * @param retry_after_us retry delay; 0 leaves it out
 * @return text that the caller frees with g_free()
 */
char *problem_format(refusal_t refusal, const char *detail, const char *request_id,
		     uint64_t retry_after_us);

#endif
