/**
 * @file tenants.h
 * The tenants of one configuration version, and the API keys by which their requests are known.
 */
#ifndef DS_TENANTS_H
#define DS_TENANTS_H

#include "core/region_list.h"

#include <stdint.h>

typedef struct tenant_t {
	char *name;
	bool has_rank;	    /**< rank replaces that of the route */
	uint32_t rank;	    /**< 0 is the most urgent and served first */
	double rate_per_s;  /**< quota of all VMs together; 0: no quota */
	double burst;	    /**< requests that the quota admits at once, beyond the rate */
	GPtrArray *regions; /**< names of the regions its requests must stay in; NULL: any region */
} tenant_t;

/** Whether each request of the tenant needs a token of its quota; a NULL tenant has none. */
bool tenant_has_quota(const tenant_t *tenant);
/** Whether the tenant's requests may be sent to @p region; a NULL tenant binds none. */
bool tenant_allows(const tenant_t *tenant, const char *region);

typedef struct tenants_t tenants_t;

tenants_t *tenants_new(void);
void tenants_free(tenants_t *tenants);
/** Add a tenant, to be filled in. Returns NULL if there is one of that name. */
tenant_t *tenants_add(tenants_t *tenants, const char *name);
/** Returns false if a tenant has that key already. */
bool tenants_add_key(tenants_t *tenants, const char *key, tenant_t *tenant);
/**
 * The tenant that holds @p key, or NULL. Takes the same time for all keys of one length that no
 * tenant holds, so that the time does not tell how much of a key was guessed.
 */
const tenant_t *tenants_find_key(const tenants_t *tenants, const char *key);
const tenant_t *tenants_find(const tenants_t *tenants, const char *name);
/** tenant_t */
const GPtrArray *tenants_all(const tenants_t *tenants);

#endif
