/**
 * @file adoption.c
 * See adoption.h. spec/config.pml is its model.
 */
#include "core/adoption.h"

uint64_t adoption_number(const adoption_t *adoption)
{
	return adoption->config ? adoption->config->number : 0;
}

adoption_end_t adoption_offer(adoption_t *adoption, uint64_t number, json_t *value, err_t *err)
{
	config_t *config;

	/* A stale read or a peer that lags must not bring an old configuration back. */
	if (number <= adoption_number(adoption))
		return ADOPTION_OLD;
	config = config_parse(json_object_get(value, "config"), number, err);
	if (!config)
		return ADOPTION_INVALID;
	adoption_clear(adoption);
	adoption->config = config;
	adoption->value = json_incref(value);
	return ADOPTION_TAKEN;
}

void adoption_clear(adoption_t *adoption)
{
	config_unref(adoption->config);
	json_decref(adoption->value);
	*adoption = (adoption_t){0};
}
