/**
 * @file propose.h
 * An operator's command: propose a configuration.
 */
#ifndef DS_PROPOSE_H
#define DS_PROPOSE_H

#include "core/config.h"

/** A proposal as it came in; owned. */
typedef struct propose_t {
	uint64_t base;
	char *id;
	char *by;
	char *note;
	json_t *config;
} propose_t;

/**
 * Read {"base", "by", "note", "config"} and check the configuration with the code that will put it
 * in force. NULL with the fault in @p err.
 */
propose_t *propose_parse(const GString *body, err_t *err);
void propose_free(propose_t *propose);

#endif
