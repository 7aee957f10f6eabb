/**
 * @file tenant_counters.h
 * Requests by tenant, for metrics. Only a limited number of tenants is counted by name, so that the
 * metrics stay readable however many tenants there are.
 */
#ifndef DS_TENANT_COUNTERS_H
#define DS_TENANT_COUNTERS_H

#include <glib.h>
#include <stdint.h>

/* Tenants counted by name: the first ones with a request. */
#define TENANTS_NAMED_MAX 100
/* The others are counted under this name. No tenant has it: a tenant's name holds no space. */
#define TENANTS_OTHER "other tenants"

typedef struct tenant_counts_t {
	uint64_t admitted;
	uint64_t over_quota;
} tenant_counts_t;

/** Table of name to tenant_counts_t; free with g_hash_table_unref(). */
GHashTable *tenant_counters_new(void);
/** The counts of @p tenant, or of all that are not counted by name. */
tenant_counts_t *tenant_counters_of(GHashTable *counters, const char *tenant);

#endif
