/**
 * @file active_config.c
 * See active_config.h. spec/config.pml is its model.
 */
#include "core/active_config.h"

uint64_t active_config_number(const active_config_t *active)
{
	return active->config ? active->config->number : 0;
}

active_config_result_t active_config_offer(active_config_t *active, uint64_t number, json_t *value,
					   err_t *err)
{
	config_t *config;

	/* A stale read, or a peer with old data, must not restore an old configuration. */
	if (number <= active_config_number(active))
		return ACTIVE_CONFIG_OUTDATED;
	config = config_parse(json_object_get(value, "config"), number, err);
	if (!config)
		return ACTIVE_CONFIG_INVALID;
	active_config_clear(active);
	active->config = config;
	active->value = json_incref(value);
	return ACTIVE_CONFIG_REPLACED;
}

void active_config_clear(active_config_t *active)
{
	config_unref(active->config);
	json_decref(active->value);
	*active = (active_config_t){0};
}
