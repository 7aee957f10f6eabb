/**
 * @file config.c
 * See config.h.
 */
#include "core/config.h"

#include <arpa/inet.h>
#include <string.h>

#define NAME_LIMIT 63
#define ENTRY_VMS_MAX 10000

static const char *const kind_names[] = {
	[SERVICE_GATHER] = "gather", [SERVICE_LOOKUP] = "lookup", [SERVICE_ONCE] = "once"};
static const char *const class_names[CLASS_COUNT] = {
	[CLASS_URGENT] = "urgent", [CLASS_NORMAL] = "normal", [CLASS_BACKGROUND] = "background"};

const char *service_kind_name(service_kind_t kind)
{
	return kind_names[kind];
}

const char *request_class_name(request_class_t class)
{
	return class_names[class];
}

bool request_class_parse(const char *text, request_class_t *class)
{
	for (int i = 0; i < CLASS_COUNT; i++) {
		if (!g_str_equal(text, class_names[i]))
			continue;
		*class = (request_class_t)i;
		return true;
	}
	return false;
}

static void upstream_config_free(void *data)
{
	upstream_config_t *upstream = data;

	g_free(upstream->name);
	g_free(upstream->data_centre);
	g_free(upstream->address);
	g_free(upstream);
}

static void group_config_free(void *data)
{
	group_config_t *group = data;

	g_free(group->name);
	g_ptr_array_unref(group->upstreams);
	g_free(group);
}

static void service_config_free(void *data)
{
	service_config_t *service = data;

	g_free(service->name);
	g_ptr_array_unref(service->groups);
	g_free(service);
}

/* Names appear in paths, logs and metrics, so they consist of characters that need no quoting. */
static bool name_is_valid(const char *name)
{
	size_t length = strlen(name);

	return length > 0 && length <= NAME_LIMIT &&
	       strspn(name, "abcdefghijklmnopqrstuvwxyz0123456789-") == length;
}

static bool check_keys(const json_t *object, const char *const *known, const char *path, err_t *err)
{
	const char *key;
	json_t *value;

	if (!json_is_object(object))
		return err_set(err, ERR_VALUE, "%s: must be an object", path);
	json_object_foreach ((json_t *)object, key, value) {
		if (!g_strv_contains(known, key))
			return err_set(err, ERR_VALUE, "%s: unknown key \"%.40s\"", path, key);
	}
	return true;
}

static bool get_name(const json_t *object, const char *key, const char *path, char **out,
		     err_t *err)
{
	const char *text = json_string_value(json_object_get(object, key));

	if (!text || !name_is_valid(text))
		return err_set(err, ERR_VALUE,
			       "%s.%s: must be a name of 1 to %d of a-z, 0-9 and '-'", path, key,
			       NAME_LIMIT);
	*out = g_strdup(text);
	return true;
}

static bool get_integer(const json_t *object, const char *key, const char *path, uint32_t min,
			uint32_t max, uint32_t *out, err_t *err)
{
	const json_t *value = json_object_get(object, key);
	json_int_t number = json_integer_value(value);

	if (!json_is_integer(value) || number < min || number > max)
		return err_set(err, ERR_VALUE, "%s.%s: must be a whole number from %u to %u", path,
			       key, min, max);
	*out = (uint32_t)number;
	return true;
}

static bool is_withdrawn(const config_t *config, const upstream_config_t *upstream)
{
	for (guint i = 0; i < config->withdrawn->len; i++) {
		const char *name = g_ptr_array_index(config->withdrawn, i);

		if (g_str_equal(name, upstream->name) || g_str_equal(name, upstream->data_centre))
			return true;
	}
	return false;
}

static bool parse_upstream(config_t *config, group_config_t *group, const json_t *source,
			   const char *path, err_t *err)
{
	static const char *const known[] = {"name", "dc", "address", "port", NULL};
	upstream_config_t *upstream = g_new0(upstream_config_t, 1);
	const char *address = json_string_value(json_object_get(source, "address"));
	struct in_addr ignored;
	uint32_t port = 0;

	g_ptr_array_add(group->upstreams, upstream);
	if (!check_keys(source, known, path, err) ||
	    !get_name(source, "name", path, &upstream->name, err) ||
	    !get_name(source, "dc", path, &upstream->data_centre, err) ||
	    !get_integer(source, "port", path, 1, UINT16_MAX, &port, err))
		return false;
	if (!address || inet_pton(AF_INET, address, &ignored) != 1)
		return err_set(err, ERR_VALUE, "%s.address: must be an IPv4 number", path);
	upstream->address = g_strdup(address);
	upstream->port = (uint16_t)port;
	upstream->withdrawn = is_withdrawn(config, upstream);
	return true;
}

static bool parse_group(config_t *config, service_config_t *service, const json_t *source,
			const char *path, err_t *err)
{
	static const char *const known[] = {"name", "searchers", NULL};
	group_config_t *group = g_new0(group_config_t, 1);
	const json_t *searchers = json_object_get(source, "searchers");
	size_t i;
	json_t *item;

	group->upstreams = g_ptr_array_new_with_free_func(upstream_config_free);
	g_ptr_array_add(service->groups, group);
	if (!check_keys(source, known, path, err) ||
	    !get_name(source, "name", path, &group->name, err))
		return false;
	if (!json_is_array(searchers) || json_array_size(searchers) == 0)
		return err_set(err, ERR_VALUE, "%s.searchers: must be a list of at least one",
			       path);
	json_array_foreach (searchers, i, item) {
		g_autofree char *item_path = g_strdup_printf("%s.searchers[%zu]", path, i);

		if (!parse_upstream(config, group, item, item_path, err))
			return false;
	}
	return true;
}

static bool parse_kind(const json_t *source, const char *path, service_kind_t *kind, err_t *err)
{
	const char *text = json_string_value(json_object_get(source, "kind"));

	for (size_t i = 0; text && i < G_N_ELEMENTS(kind_names); i++) {
		if (!g_str_equal(text, kind_names[i]))
			continue;
		*kind = (service_kind_t)i;
		return true;
	}
	return err_set(err, ERR_VALUE, "%s.kind: must be gather, lookup or once", path);
}

static bool parse_service(config_t *config, const char *name, const json_t *source, err_t *err)
{
	static const char *const known[] = {"kind",	   "timeout_ms", "queue", "slots",
					    "connections", "groups",	 NULL};
	g_autofree char *path = g_strdup_printf("services.%.63s", name);
	service_config_t *service = g_new0(service_config_t, 1);
	const json_t *groups = json_object_get(source, "groups");
	uint32_t timeout_ms = 0;
	size_t i;
	json_t *item;

	service->groups = g_ptr_array_new_with_free_func(group_config_free);
	service->name = g_strdup(name);
	g_ptr_array_add(config->services, service);
	if (!name_is_valid(name))
		return err_set(err, ERR_VALUE, "%s: not a valid name", path);
	if (!check_keys(source, known, path, err) ||
	    !parse_kind(source, path, &service->kind, err) ||
	    !get_integer(source, "timeout_ms", path, 1, 60000, &timeout_ms, err) ||
	    !get_integer(source, "queue", path, 1, 100000, &service->queue_limit, err) ||
	    !get_integer(source, "slots", path, 1, 1000, &service->slots, err) ||
	    !get_integer(source, "connections", path, 1, 100000, &service->connections, err))
		return false;
	service->timeout_us = (uint64_t)timeout_ms * 1000;
	if (service->connections < config->entry_vms)
		return err_set(err, ERR_VALUE, "%s.connections: %u can't be shared by %u entry VMs",
			       path, service->connections, config->entry_vms);
	if (!json_is_array(groups) || json_array_size(groups) == 0)
		return err_set(err, ERR_VALUE, "%s.groups: must be a list of at least one", path);
	json_array_foreach (groups, i, item) {
		g_autofree char *item_path = g_strdup_printf("%s.groups[%zu]", path, i);

		if (!parse_group(config, service, item, item_path, err))
			return false;
	}
	return true;
}

static bool parse_withdrawn(config_t *config, const json_t *list, err_t *err)
{
	size_t i;
	json_t *item;

	if (list && !json_is_array(list))
		return err_set(err, ERR_VALUE, "out: must be a list of names");
	json_array_foreach (list, i, item) {
		if (!json_is_string(item))
			return err_set(err, ERR_VALUE, "out[%zu]: must be a name", i);
		g_ptr_array_add(config->withdrawn, g_strdup(json_string_value(item)));
	}
	return true;
}

/* Two searchers of the same name in a service would share one runtime state and one limit. */
static bool check_unique_names(const service_config_t *service, err_t *err)
{
	g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < service->groups->len; i++) {
		const group_config_t *group = g_ptr_array_index(service->groups, i);

		for (guint j = 0; j < group->upstreams->len; j++) {
			const upstream_config_t *upstream = g_ptr_array_index(group->upstreams, j);

			if (!g_hash_table_add(seen, upstream->name))
				return err_set(err, ERR_VALUE,
					       "services.%s: searcher \"%s\" is listed twice",
					       service->name, upstream->name);
		}
	}
	return true;
}

/* With a mistyped name in "out", a searcher that should be withdrawn would silently stay in use. */
static bool check_withdrawn_names(const config_t *config, err_t *err)
{
	g_autoptr(GHashTable) known = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < config->services->len; i++) {
		const service_config_t *service = g_ptr_array_index(config->services, i);

		for (guint j = 0; j < service->groups->len; j++) {
			const group_config_t *group = g_ptr_array_index(service->groups, j);

			for (guint k = 0; k < group->upstreams->len; k++) {
				const upstream_config_t *upstream =
					g_ptr_array_index(group->upstreams, k);

				g_hash_table_add(known, upstream->name);
				g_hash_table_add(known, upstream->data_centre);
			}
		}
	}
	for (guint i = 0; i < config->withdrawn->len; i++) {
		const char *name = g_ptr_array_index(config->withdrawn, i);

		if (!g_hash_table_contains(known, name))
			return err_set(err, ERR_VALUE,
				       "out: no data centre or searcher is named \"%.63s\"", name);
	}
	return true;
}

static bool parse_into(config_t *config, const json_t *source, err_t *err)
{
	static const char *const known[] = {"entry_vms", "services", "out", NULL};
	const json_t *services = json_object_get(source, "services");
	const char *name;
	json_t *item;

	if (!check_keys(source, known, "configuration", err) ||
	    !get_integer(source, "entry_vms", "configuration", 1, ENTRY_VMS_MAX, &config->entry_vms,
			 err) ||
	    !parse_withdrawn(config, json_object_get(source, "out"), err))
		return false;
	if (!json_is_object(services) || json_object_size(services) == 0)
		return err_set(err, ERR_VALUE,
			       "services: must be an object of at least one service");
	json_object_foreach ((json_t *)services, name, item) {
		if (!parse_service(config, name, item, err) ||
		    !check_unique_names(
			    g_ptr_array_index(config->services, config->services->len - 1), err))
			return false;
	}
	return check_withdrawn_names(config, err);
}

config_t *config_parse(const json_t *source, uint64_t number, err_t *err)
{
	config_t *config = g_new0(config_t, 1);

	config->refs = 1;
	config->number = number;
	config->services = g_ptr_array_new_with_free_func(service_config_free);
	config->withdrawn = g_ptr_array_new_with_free_func(g_free);
	if (parse_into(config, source, err)) {
		config->source = json_incref((json_t *)source);
		return config;
	}
	config_unref(config);
	return NULL;
}

void config_unref(config_t *config)
{
	if (!config || --config->refs)
		return;
	g_ptr_array_unref(config->services);
	g_ptr_array_unref(config->withdrawn);
	json_decref(config->source);
	g_free(config);
}

uint32_t config_connection_share(const config_t *config, const service_config_t *service)
{
	return MAX(service->connections / config->entry_vms, 1);
}

uint32_t config_request_share(const config_t *config, const service_config_t *service)
{
	return MAX(config_connection_share(config, service) - 1, 1);
}
