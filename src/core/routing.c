/**
 * @file routing.c
 * See routing.h.
 */
#include "core/routing.h"

#include <string.h>

static void target_clear(void *data)
{
	g_free(((route_target_t *)data)->service);
}

static void route_free(void *data)
{
	route_t *route = data;

	g_free(route->name);
	g_free(route->host);
	g_free(route->prefix);
	g_array_unref(route->targets);
	region_list_free(route->regions);
	g_free(route);
}

routing_t *routing_new(uint64_t version)
{
	routing_t *routing = g_new0(routing_t, 1);

	routing->refs = 1;
	routing->version = version;
	routing->routes = g_ptr_array_new_with_free_func(route_free);
	routing->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	routing->by_host = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 (GDestroyNotify)g_ptr_array_unref);
	routing->singles = g_hash_table_new(g_str_hash, g_str_equal);
	return routing;
}

routing_t *routing_ref(routing_t *routing)
{
	routing->refs++;
	return routing;
}

void routing_unref(routing_t *routing)
{
	if (!routing || --routing->refs)
		return;
	g_hash_table_unref(routing->by_host);
	g_hash_table_unref(routing->singles);
	g_hash_table_unref(routing->services);
	g_ptr_array_unref(routing->routes);
	tenants_free(routing->tenants);
	g_free(routing);
}

route_t *routing_add(routing_t *routing)
{
	route_t *route = g_new0(route_t, 1);

	route->targets = g_array_new(FALSE, TRUE, sizeof(route_target_t));
	g_array_set_clear_func(route->targets, target_clear);
	g_ptr_array_add(routing->routes, route);
	return route;
}

void route_add_target(route_t *route, const char *service, double weight)
{
	const route_target_t target = {.service = g_strdup(service), .weight = weight};

	g_array_append_val(route->targets, target);
}

bool route_add_region(route_t *route, const char *region)
{
	return region_list_add(&route->regions, region);
}

bool route_allows(const route_t *route, const char *region)
{
	return region_list_allows(route->regions, region);
}

static bool is_region(GHashTable *regions, const char *name)
{
	GHashTableIter iter;
	gpointer region;

	g_hash_table_iter_init(&iter, regions);
	while (g_hash_table_iter_next(&iter, NULL, &region))
		if (g_str_equal(region, name))
			return true;
	return false;
}

uint32_t routing_unknown_regions(const routing_t *routing, GHashTable *regions,
				 const route_t **route, const char **region)
{
	uint32_t unknown = 0;

	for (guint i = 0; i < routing->routes->len; i++) {
		const route_t *each = g_ptr_array_index(routing->routes, i);

		for (guint j = 0; each->regions && j < each->regions->len; j++) {
			const char *name = g_ptr_array_index(each->regions, j);

			if (is_region(regions, name))
				continue;
			if (!unknown++) {
				*route = each;
				*region = name;
			}
		}
	}
	return unknown;
}

void routing_set_service_limits(routing_t *routing, const char *service,
				const service_limits_t *terms)
{
	g_hash_table_insert(routing->services, g_strdup(service), g_memdup2(terms, sizeof(*terms)));
}

static gint longer_prefix_first(gconstpointer a, gconstpointer b)
{
	const route_t *left = *(route_t *const *)a, *right = *(route_t *const *)b;
	size_t left_bytes = strlen(left->prefix), right_bytes = strlen(right->prefix);

	return left_bytes == right_bytes ? 0 : left_bytes > right_bytes ? -1 : 1;
}

static void note_singles(routing_t *routing, const route_t *route)
{
	if (route->gathers)
		return;
	for (guint i = 0; i < route->targets->len; i++)
		g_hash_table_add(routing->singles,
				 g_array_index(route->targets, route_target_t, i).service);
}

void routing_seal(routing_t *routing)
{
	GHashTableIter iter;
	gpointer routes;

	for (guint i = 0; i < routing->routes->len; i++) {
		route_t *route = g_ptr_array_index(routing->routes, i);
		GPtrArray *same = g_hash_table_lookup(routing->by_host, route->host);

		if (!same) {
			same = g_ptr_array_new();
			g_hash_table_insert(routing->by_host, route->host, same);
		}
		g_ptr_array_add(same, route);
		note_singles(routing, route);
	}
	g_hash_table_iter_init(&iter, routing->by_host);
	while (g_hash_table_iter_next(&iter, NULL, &routes))
		g_ptr_array_sort(routes, longer_prefix_first);
}

const route_t *routing_match(const routing_t *routing, const char *host, const char *target)
{
	g_autofree char *name = g_ascii_strdown(host, (gssize)strcspn(host, ":"));
	const GPtrArray *routes = g_hash_table_lookup(routing->by_host, name);
	size_t path_bytes = strcspn(target, "?#");

	for (guint i = 0; routes && i < routes->len; i++) {
		const route_t *route = g_ptr_array_index(routes, i);
		size_t prefix_bytes = strlen(route->prefix);

		if (prefix_bytes <= path_bytes && !strncmp(target, route->prefix, prefix_bytes))
			return route;
	}
	return NULL;
}

bool routing_authorize(const routing_t *routing, const route_t *route, const char *key,
		       const tenant_t **tenant)
{
	*tenant = routing->tenants ? tenants_find_key(routing->tenants, key) : NULL;
	return !routing->tenants || route->is_public || *tenant;
}

service_limits_t routing_service_limits(const routing_t *routing, const char *service)
{
	const service_limits_t *terms = g_hash_table_lookup(routing->services, service);

	return terms ? *terms : (service_limits_t){0};
}

bool routing_is_single(const routing_t *routing, const char *service)
{
	return g_hash_table_contains(routing->singles, service);
}

static uint32_t min_connections(const routing_t *routing, const route_t *route, uint32_t min)
{
	for (guint i = 0; i < route->targets->len; i++) {
		const char *service = g_array_index(route->targets, route_target_t, i).service;
		uint32_t connections = routing_service_limits(routing, service).connections;

		if (connections && (!min || connections < min))
			min = connections;
	}
	return min;
}

uint32_t routing_min_gather_connections(const routing_t *routing)
{
	uint32_t min = 0;

	for (guint i = 0; i < routing->routes->len; i++) {
		const route_t *route = g_ptr_array_index(routing->routes, i);

		if (route->gathers)
			min = min_connections(routing, route, min);
	}
	return min;
}
