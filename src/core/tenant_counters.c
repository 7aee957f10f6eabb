/**
 * @file tenant_counters.c
 * See tenant_counters.h.
 */
#include "core/tenant_counters.h"

GHashTable *tenant_counters_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

tenant_counts_t *tenant_counters_of(GHashTable *counters, const char *tenant)
{
	tenant_counts_t *counts = g_hash_table_lookup(counters, tenant);

	if (counts)
		return counts;
	if (g_hash_table_size(counters) >= TENANTS_NAMED_MAX && !g_str_equal(tenant, TENANTS_OTHER))
		return tenant_counters_of(counters, TENANTS_OTHER);
	counts = g_new0(tenant_counts_t, 1);
	g_hash_table_insert(counters, g_strdup(tenant), counts);
	return counts;
}
