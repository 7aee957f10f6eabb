/**
 * @file tenants.c
 * See tenants.h.
 */
#include "core/tenants.h"

#include <string.h>
#include <xxhash.h>

struct tenants_t {
	GPtrArray *all; /* tenant_t */
	GHashTable *by_name;
	GHashTable *by_key;
};

bool tenant_has_quota(const tenant_t *tenant)
{
	return tenant && tenant->rate_per_s > 0;
}

bool tenant_allows(const tenant_t *tenant, const char *region)
{
	return !tenant || region_list_allows(tenant->regions, region);
}

static void tenant_free(void *data)
{
	tenant_t *tenant = data;

	g_free(tenant->name);
	region_list_free(tenant->regions);
	g_free(tenant);
}

/* The seed is secret: a caller who knew it could choose keys by their place in the table. */
static XXH64_hash_t hash_seed(void)
{
	static XXH64_hash_t seed;
	static gsize is_set;

	if (g_once_init_enter(&is_set)) {
		seed = ((XXH64_hash_t)g_random_int() << 32) | g_random_int();
		g_once_init_leave(&is_set, 1);
	}
	return seed;
}

static guint hash_key(gconstpointer key)
{
	return (guint)XXH64(key, strlen(key), hash_seed());
}

/* Compares every byte, whichever differ. */
static gboolean keys_equal(gconstpointer a, gconstpointer b)
{
	const char *left = a, *right = b;
	size_t bytes = strlen(left);
	unsigned char difference = 0;

	if (strlen(right) != bytes)
		return FALSE;
	for (size_t i = 0; i < bytes; i++)
		difference |= (unsigned char)left[i] ^ (unsigned char)right[i];
	return difference == 0;
}

tenants_t *tenants_new(void)
{
	tenants_t *tenants = g_new0(tenants_t, 1);

	tenants->all = g_ptr_array_new_with_free_func(tenant_free);
	tenants->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	tenants->by_key = g_hash_table_new_full(hash_key, keys_equal, g_free, NULL);
	return tenants;
}

void tenants_free(tenants_t *tenants)
{
	if (!tenants)
		return;
	g_hash_table_unref(tenants->by_key);
	g_hash_table_unref(tenants->by_name);
	g_ptr_array_unref(tenants->all);
	g_free(tenants);
}

tenant_t *tenants_add(tenants_t *tenants, const char *name)
{
	tenant_t *tenant;

	if (g_hash_table_contains(tenants->by_name, name))
		return NULL;
	tenant = g_new0(tenant_t, 1);
	tenant->name = g_strdup(name);
	g_ptr_array_add(tenants->all, tenant);
	g_hash_table_insert(tenants->by_name, tenant->name, tenant);
	return tenant;
}

bool tenants_add_key(tenants_t *tenants, const char *key, tenant_t *tenant)
{
	if (g_hash_table_contains(tenants->by_key, key))
		return false;
	g_hash_table_insert(tenants->by_key, g_strdup(key), tenant);
	return true;
}

const tenant_t *tenants_find_key(const tenants_t *tenants, const char *key)
{
	return key ? g_hash_table_lookup(tenants->by_key, key) : NULL;
}

const tenant_t *tenants_find(const tenants_t *tenants, const char *name)
{
	return g_hash_table_lookup(tenants->by_name, name);
}

const GPtrArray *tenants_all(const tenants_t *tenants)
{
	return tenants->all;
}
