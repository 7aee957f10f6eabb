/**
 * @file quota_choice.h
 * Chooses the VMs that pool the shares of quotas. Each VM chooses alone, from its list of VMs;
 * where the lists differ, shares go to different pools for a moment, and none counts twice.
 */
#ifndef DS_QUOTA_CHOICE_H
#define DS_QUOTA_CHOICE_H

#include "core/gatherer_choice.h"

/* Two, so that the loss of one leaves tokens in its region. With more, a small tenant's tokens
 * would lie in too many places. */
#define QUOTA_POOLS_PER_REGION 2

/** The VMs of @p region that may pool quotas, vm_t, best first: the first ones that can be reached
 * do. The result borrows from the fleet. */
GPtrArray *quota_pools_in_region(const fleet_t *fleet, const char *region);
/** The same of all other regions. */
GPtrArray *quota_pools_elsewhere(const fleet_t *fleet, const char *region);

#endif
