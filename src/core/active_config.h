/**
 * @file active_config.h
 * The configuration in force on this VM. It is replaced only by one with a higher number, whichever
 * source that comes from.
 */
#ifndef DS_ACTIVE_CONFIG_H
#define DS_ACTIVE_CONFIG_H

#include "core/config.h"

typedef enum active_config_result_t {
	ACTIVE_CONFIG_REPLACED, /**< it is now in force */
	ACTIVE_CONFIG_OUTDATED, /**< its number is not higher than that in force: dropped */
	ACTIVE_CONFIG_INVALID,	/**< not a valid configuration: dropped, the one in force stays */
} active_config_result_t;

typedef struct active_config_t {
	config_t *config; /**< the one in force; NULL before the first */
	json_t *value;	  /**< the platform's value that holds it */
} active_config_t;

/** Put the platform's value at @p number in force if it is newer and valid. It comes from the
 * platform or a peer. */
active_config_result_t active_config_offer(active_config_t *active, uint64_t number, json_t *value,
					   err_t *err);
/** The number of the configuration in force; 0 before the first. */
uint64_t active_config_number(const active_config_t *active);
void active_config_clear(active_config_t *active);

#endif
