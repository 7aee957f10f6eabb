/**
 * @file store_era.c
 * See store_era.h.
 */
#include "core/store_era.h"

store_era_change_t store_era_observe(store_era_t *era, uint64_t number)
{
	if (era->known && number < era->number)
		return STORE_ERA_OLDER;
	if (era->known && number == era->number)
		return STORE_ERA_SAME;
	/* Before the first era nothing was known that could be outdated. */
	if (!era->known) {
		*era = (store_era_t){.number = number, .known = true};
		return STORE_ERA_SAME;
	}
	era->number = number;
	return STORE_ERA_NEWER;
}
