/**
 * @file propose.h
 * Reads an operator's request to propose a configuration.
 */
#ifndef DS_PROPOSE_H
#define DS_PROPOSE_H

#include "core/config.h"

/** The request's fields; the strings and the JSON value are owned. */
typedef struct propose_request_t {
	uint64_t base; /**< number of the configuration that the change is based on */
	char *id;
	char *by;
	char *note;
	json_t *config;
} propose_request_t;

/**
 * Parse {"base", "by", "note", "config"}, and check the configuration with the same parser that
 * VMs use when they activate it.
 * @return NULL with the error in @p err
 */
propose_request_t *propose_parse(const GString *body, err_t *err);
void propose_request_free(propose_request_t *propose);

#endif
