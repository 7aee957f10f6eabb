/**
 * @file adoption.h
 * Which configuration is in force here: only ever a higher number, whoever brings it.
 */
#ifndef DS_ADOPTION_H
#define DS_ADOPTION_H

#include "core/config.h"

typedef enum adoption_end_t {
	ADOPTION_TAKEN,	  /**< it is now in force */
	ADOPTION_OLD,	  /**< not higher than what is in force: dropped */
	ADOPTION_INVALID, /**< not a configuration: dropped, what is in force stays */
} adoption_end_t;

typedef struct adoption_t {
	config_t *config; /**< in force, or NULL before the first */
	json_t *value;	  /**< the platform's value that it came from */
} adoption_t;

/** Offer the platform's value at @p number, from the platform or a peer. */
adoption_end_t adoption_offer(adoption_t *adoption, uint64_t number, json_t *value, err_t *err);
uint64_t adoption_number(const adoption_t *adoption);
void adoption_clear(adoption_t *adoption);

#endif
