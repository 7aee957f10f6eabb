/**
 * @file settings.c
 * See settings.h.
 */
#include "settings.h"

#include <arpa/inet.h>
#include <math.h>
#include <stddef.h>
#include <string.h>

typedef enum setting_type_t {
	SETTING_NAME,
	SETTING_ADDRESS,
	SETTING_SECRET,
	SETTING_TEXT,
	SETTING_LEVEL,
	SETTING_TEXTS_END, /**< the types before it are stored as strings */
	SETTING_NUMBER,
	SETTING_ENDPOINT,
	SETTING_RATIO,
	SETTING_SWITCH, /**< yes or no */
} setting_type_t;

/** Which daemons use a key; a settings file with [front] selects forwarding mode. */
typedef enum setting_use_t {
	USE_ALWAYS,
	USE_OWN,   /**< daemons that serve their own query interface */
	USE_FRONT, /**< daemons in forwarding mode */
} setting_use_t;

/** How a number that is not whole is read: towards the value that keeps the bound it stands for. */
typedef enum setting_rounding_t {
	ROUND_NOT, /**< refused */
	ROUND_DOWN,
	ROUND_UP,
} setting_rounding_t;

/** A known key of the file. */
typedef struct setting_t {
	const char *group;
	const char *key;
	setting_type_t type;
	size_t offset;
	const char *fallback; /* default value; NULL when the key is required */
	setting_use_t use;
	uint32_t min, max; /* of a number or ratio */
	setting_rounding_t rounding;
} setting_t;

#define MB (1u << 20)
/* Shares of the memory. Buffers that grow are copied, and the parts of answers need most of the
 * rest. */
#define REPLIES_MEMORY_DIVISOR 4
#define REQUESTS_MEMORY_DIVISOR 8
#define OPEN_REQUESTS_MEMORY_DIVISOR 4
/* Assumed for a VM whose settings don't say it. */
#define UNKNOWN_PROCESSOR_MILLI 250

#define FRONT_GROUP "front"
#define REGIONS_GROUP "regions"
#define AT(field) offsetof(settings_t, field)

static const setting_t known[] = {
	{.group = "vm", .key = "name", .type = SETTING_NAME, .offset = AT(vm_name)},
	{.group = "vm", .key = "data_centre", .type = SETTING_NAME, .offset = AT(data_centre)},
	{.group = "vm",
	 .key = "link_mbps",
	 .type = SETTING_NUMBER,
	 .offset = AT(link_mbps),
	 .fallback = "0",
	 .min = 0,
	 .max = 1000000,
	 .rounding = ROUND_UP},
	{.group = "vm",
	 .key = "cores",
	 .type = SETTING_NUMBER,
	 .offset = AT(cores),
	 .fallback = "0",
	 .min = 0,
	 .max = 1024},
	{.group = "vm",
	 .key = "core_share",
	 .type = SETTING_RATIO,
	 .offset = AT(core_share),
	 .fallback = "1",
	 .max = 1},
	{.group = "vm",
	 .key = "memory_mb",
	 .type = SETTING_NUMBER,
	 .offset = AT(memory_mb),
	 .fallback = "256",
	 .min = 16,
	 .max = 1000000,
	 .rounding = ROUND_DOWN},
	{.group = "vm",
	 .key = "excess_percent",
	 .type = SETTING_NUMBER,
	 .offset = AT(excess_percent),
	 .fallback = "25",
	 .min = 1,
	 .max = 100},
	{.group = "listen",
	 .use = USE_OWN,
	 .key = "address",
	 .type = SETTING_ADDRESS,
	 .offset = AT(listen_address)},
	{.group = "listen",
	 .use = USE_OWN,
	 .key = "callers_port",
	 .type = SETTING_NUMBER,
	 .offset = AT(callers_port),
	 .min = 1,
	 .max = 65535},
	{.group = "listen",
	 .use = USE_OWN,
	 .key = "admin_port",
	 .type = SETTING_NUMBER,
	 .offset = AT(admin_port),
	 .min = 1,
	 .max = 65535},
	{.group = "listen",
	 .use = USE_OWN,
	 .key = "peers_port",
	 .type = SETTING_NUMBER,
	 .offset = AT(peers_port),
	 .min = 1,
	 .max = 65535},
	{.group = "platform",
	 .use = USE_OWN,
	 .key = "address",
	 .type = SETTING_ADDRESS,
	 .offset = AT(platform_address)},
	{.group = "platform",
	 .use = USE_OWN,
	 .key = "port",
	 .type = SETTING_NUMBER,
	 .offset = AT(platform_port),
	 .min = 1,
	 .max = 65535},
	{.group = "operators",
	 .use = USE_OWN,
	 .key = "token",
	 .type = SETTING_SECRET,
	 .offset = AT(operators_token)},
	{.group = "peers",
	 .use = USE_OWN,
	 .key = "key",
	 .type = SETTING_SECRET,
	 .offset = AT(peers_key)},
	{.group = "peers",
	 .use = USE_OWN,
	 .key = "previous_key",
	 .type = SETTING_TEXT,
	 .offset = AT(peers_previous_key),
	 .fallback = ""},
	{.group = "peers",
	 .use = USE_OWN,
	 .key = "seeds",
	 .type = SETTING_TEXT,
	 .offset = AT(peers_seeds),
	 .fallback = ""},
	{.group = "stop",
	 .key = "drain_ms",
	 .type = SETTING_NUMBER,
	 .offset = AT(drain_ms),
	 .fallback = "3000",
	 .min = 0,
	 .max = 600000,
	 .rounding = ROUND_UP},
	{.group = "stop",
	 .key = "quiet_ms",
	 .type = SETTING_NUMBER,
	 .offset = AT(quiet_ms),
	 .fallback = "500",
	 .min = 0,
	 .max = 60000,
	 .rounding = ROUND_UP},
	{.group = "stop",
	 .key = "grace_s",
	 .type = SETTING_NUMBER,
	 .offset = AT(grace_s),
	 .fallback = "600",
	 .min = 1,
	 .max = 3600,
	 .rounding = ROUND_DOWN},
	{.group = "front",
	 .key = "callers",
	 .type = SETTING_ENDPOINT,
	 .offset = AT(front_callers),
	 .use = USE_FRONT},
	{.group = "front",
	 .key = "ready",
	 .type = SETTING_ENDPOINT,
	 .offset = AT(front_ready),
	 .use = USE_FRONT},
	{.group = "front",
	 .key = "metrics",
	 .type = SETTING_ENDPOINT,
	 .offset = AT(front_metrics),
	 .use = USE_FRONT},
	{.group = "front",
	 .key = "feed",
	 .type = SETTING_ENDPOINT,
	 .offset = AT(front_feed),
	 .use = USE_FRONT},
	{.group = "front",
	 .key = "gather",
	 .type = SETTING_ENDPOINT,
	 .offset = AT(front_gather),
	 .fallback = "",
	 .use = USE_FRONT},
	{.group = "front",
	 .key = "store",
	 .type = SETTING_ENDPOINT,
	 .offset = AT(front_store),
	 .use = USE_FRONT},
	{.group = "retries",
	 .key = "ratio",
	 .type = SETTING_RATIO,
	 .offset = AT(retry_ratio),
	 .fallback = "0.1",
	 .use = USE_FRONT,
	 .max = 1},
	{.group = "retries",
	 .key = "constant",
	 .type = SETTING_NUMBER,
	 .offset = AT(retry_constant),
	 .fallback = "0",
	 .use = USE_FRONT,
	 .min = 0,
	 .max = 1000000,
	 .rounding = ROUND_DOWN},
	{.group = "retries",
	 .key = "window_s",
	 .type = SETTING_NUMBER,
	 .offset = AT(retry_window_s),
	 .fallback = "10",
	 .use = USE_FRONT,
	 .min = 1,
	 .max = 3600,
	 .rounding = ROUND_UP},
	{.group = "quotas",
	 .key = "window_s",
	 .type = SETTING_NUMBER,
	 .offset = AT(quota_window_s),
	 .fallback = "5",
	 .use = USE_FRONT,
	 .min = 1,
	 .max = 3600,
	 .rounding = ROUND_DOWN},
	{.group = "quotas",
	 .key = "overage",
	 .type = SETTING_RATIO,
	 .offset = AT(quota_overage),
	 .fallback = "0.1",
	 .use = USE_FRONT,
	 .max = 100},
	{.group = "quotas",
	 .key = "slack",
	 .type = SETTING_NUMBER,
	 .offset = AT(quota_slack),
	 .fallback = "0",
	 .use = USE_FRONT,
	 .min = 0,
	 .max = 1000000,
	 .rounding = ROUND_DOWN},
	{.group = "admission",
	 .key = "enabled",
	 .type = SETTING_SWITCH,
	 .offset = AT(admission_enabled),
	 .fallback = "no",
	 .use = USE_FRONT},
	{.group = "store",
	 .key = "apply_ms",
	 .type = SETTING_NUMBER,
	 .offset = AT(apply_ms),
	 .fallback = "3000",
	 .use = USE_FRONT,
	 .min = 100,
	 .max = 3600000,
	 .rounding = ROUND_DOWN},
	{.group = "store",
	 .key = "leave_ms",
	 .type = SETTING_NUMBER,
	 .offset = AT(leave_ms),
	 .fallback = "0",
	 .use = USE_FRONT,
	 .min = 0,
	 .max = 3600000,
	 .rounding = ROUND_DOWN},
	{.group = "store",
	 .key = "settle_ms",
	 .type = SETTING_NUMBER,
	 .offset = AT(settle_ms),
	 .fallback = "5000",
	 .use = USE_FRONT,
	 .min = 100,
	 .max = 3600000,
	 .rounding = ROUND_DOWN},
	{.group = "store",
	 .key = "evacuate_ms",
	 .type = SETTING_NUMBER,
	 .offset = AT(evacuate_ms),
	 .fallback = "0",
	 .use = USE_FRONT,
	 .min = 0,
	 .max = 3600000,
	 .rounding = ROUND_DOWN},
	{.group = "log",
	 .key = "level",
	 .type = SETTING_LEVEL,
	 .offset = AT(log_level),
	 .fallback = "info"},
	{.group = "policy",
	 .key = "hedge",
	 .type = SETTING_NUMBER,
	 .offset = AT(hedge),
	 .fallback = "1",
	 .min = 0,
	 .max = 1},
	{.group = "policy",
	 .key = "choose_by_cost",
	 .type = SETTING_NUMBER,
	 .offset = AT(choose_by_cost),
	 .fallback = "1",
	 .min = 0,
	 .max = 1},
	{.group = "policy",
	 .key = "adapt_limit",
	 .type = SETTING_NUMBER,
	 .offset = AT(adapt_limit),
	 .fallback = "1",
	 .min = 0,
	 .max = 1},
};

/** The file while it is being read. */
typedef struct reader_t {
	const char *path;
	GKeyFile *file;
	char **lines;
	GPtrArray *errors;
} reader_t;

/* Finds the line of a key, or of the group's header when @p key is NULL, because GKeyFile keeps no
 * line numbers. Returns 0 when it is not in the file. */
static int find_line(const reader_t *reader, const char *group, const char *key)
{
	g_autofree char *header = g_strdup_printf("[%s]", group);
	bool inside = false;

	for (int i = 0; reader->lines[i]; i++) {
		g_autofree char *line = g_strstrip(g_strdup(reader->lines[i]));
		size_t length;

		if (*line == '[') {
			inside = g_str_equal(line, header);
			if (inside && !key)
				return i + 1;
			continue;
		}
		length = key ? strlen(key) : 0;
		if (inside && key && strncmp(line, key, length) == 0 &&
		    (g_ascii_isspace(line[length]) || line[length] == '='))
			return i + 1;
	}
	return 0;
}

static void add_error(reader_t *reader, const char *group, const char *key, const char *format, ...)
	G_GNUC_PRINTF(4, 5);

static void add_error(reader_t *reader, const char *group, const char *key, const char *format, ...)
{
	int line = find_line(reader, group, key);
	g_autofree char *text = NULL;
	va_list args;

	if (!line)
		line = find_line(reader, group, NULL);
	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	g_ptr_array_add(reader->errors, g_strdup_printf("%s:%d: [%s] %s: %s", reader->path,
							MAX(line, 1), group, key ? key : "", text));
}

static const setting_t *find_setting(const char *group, const char *key)
{
	for (size_t i = 0; i < G_N_ELEMENTS(known); i++)
		if (g_str_equal(known[i].group, group) && (!key || g_str_equal(known[i].key, key)))
			return &known[i];
	return NULL;
}

static void check_unknown(reader_t *reader)
{
	g_auto(GStrv) groups = g_key_file_get_groups(reader->file, NULL);

	for (char **group = groups; *group; group++) {
		g_auto(GStrv) keys = g_key_file_get_keys(reader->file, *group, NULL, NULL);

		if (g_str_equal(*group, REGIONS_GROUP))
			continue;
		if (!find_setting(*group, NULL)) {
			add_error(reader, *group, NULL,
				  "unknown section; known are vm, listen, platform, operators, "
				  "peers, front, regions, retries, quotas, admission, store, stop, "
				  "log and "
				  "policy");
			continue;
		}
		for (char **key = keys; key && *key; key++)
			if (!find_setting(*group, *key))
				add_error(reader, *group, *key, "unknown key");
	}
}

/* The keys of this section are names of data centres. */
static void read_region_settings(reader_t *reader, settings_t *settings)
{
	g_auto(GStrv) keys = g_key_file_get_keys(reader->file, REGIONS_GROUP, NULL, NULL);

	settings->regions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (char **key = keys; key && *key; key++)
		g_hash_table_insert(settings->regions, g_strdup(*key),
				    g_key_file_get_string(reader->file, REGIONS_GROUP, *key, NULL));
}

static bool is_setting_name(const char *text)
{
	return *text && strlen(text) < 64 &&
	       strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789-") == strlen(text);
}

static const char *text_setting_error(setting_type_t type, const char *text)
{
	struct in_addr ignored;

	switch (type) {
	case SETTING_NAME:
		return is_setting_name(text) ? NULL : "must be 1 to 63 of a-z, 0-9 and '-'";
	case SETTING_ADDRESS:
		return inet_pton(AF_INET, text, &ignored) == 1 ? NULL : "must be an IPv4 number";
	case SETTING_SECRET:
		return strlen(text) >= 16 ? NULL : "must be a secret of at least 16 characters";
	case SETTING_LEVEL:
		return g_str_equal(text, "debug") || g_str_equal(text, "info") ||
				       g_str_equal(text, "warning")
			       ? NULL
			       : "must be debug, info or warning";
	default:
		return NULL;
	}
}

static double rounded(double number, setting_rounding_t rounding)
{
	if (rounding == ROUND_DOWN)
		return floor(number);
	return rounding == ROUND_UP ? ceil(number) : number;
}

static void read_number_setting(reader_t *reader, const setting_t *setting, const char *text,
				uint32_t *out)
{
	char *end;
	double number = g_ascii_strtod(text, &end);

	if (end != text && !*end)
		number = rounded(number, setting->rounding);
	/* "14.0" is a whole number too, because some writers always write the decimal point. */
	if (end != text && !*end && number == floor(number) && number >= setting->min &&
	    number <= setting->max)
		*out = (uint32_t)number;
	else
		add_error(reader, setting->group, setting->key,
			  "must be a %snumber from %u to %u, not \"%s\"",
			  setting->rounding == ROUND_NOT ? "whole " : "", setting->min,
			  setting->max, text);
}

static void read_endpoint_setting(reader_t *reader, const setting_t *setting, const char *text,
				  endpoint_setting_t *out)
{
	const char *colon = strrchr(text, ':');
	struct in_addr ignored;
	guint64 port = 0;

	if (!*text && setting->fallback) /* derived from other settings once all are read */
		return;
	if (colon && (size_t)(colon - text) < sizeof(out->address)) {
		g_strlcpy(out->address, text, (gsize)(colon - text) + 1);
		g_ascii_string_to_unsigned(colon + 1, 10, 1, G_MAXUINT16, &port, NULL);
	}
	out->port = (uint16_t)port;
	if (!port || inet_pton(AF_INET, out->address, &ignored) != 1)
		add_error(reader, setting->group, setting->key,
			  "must be an IPv4 number and a port, as in 10.1.0.9:8021, not \"%s\"",
			  text);
}

static void read_ratio_setting(reader_t *reader, const setting_t *setting, const char *text,
			       double *out)
{
	char *end;

	*out = g_ascii_strtod(text, &end);
	if (end == text || *end || !(*out >= setting->min && *out <= setting->max))
		add_error(reader, setting->group, setting->key,
			  "must be a number from %u to %u, not \"%s\"", setting->min, setting->max,
			  text);
}

static void read_switch_setting(reader_t *reader, const setting_t *setting, const char *text,
				bool *out)
{
	*out = g_str_equal(text, "yes");
	if (!*out && !g_str_equal(text, "no"))
		add_error(reader, setting->group, setting->key, "must be yes or no, not \"%s\"",
			  text);
}

static bool is_used(const setting_t *setting, const settings_t *settings)
{
	return setting->use == USE_ALWAYS ||
	       (setting->use == USE_FRONT) == settings->forwarding_mode;
}

static void read_setting(reader_t *reader, const setting_t *setting, settings_t *settings)
{
	g_autofree char *text =
		g_key_file_get_string(reader->file, setting->group, setting->key, NULL);
	void *field = (char *)settings + setting->offset;
	const char *problem;

	if (!text)
		text = g_strdup(setting->fallback);
	if (!text) {
		add_error(reader, setting->group, setting->key, "is required");
		return;
	}
	g_strstrip(text);
	switch (setting->type) {
	case SETTING_NUMBER:
		read_number_setting(reader, setting, text, field);
		return;
	case SETTING_ENDPOINT:
		read_endpoint_setting(reader, setting, text, field);
		return;
	case SETTING_RATIO:
		read_ratio_setting(reader, setting, text, field);
		return;
	case SETTING_SWITCH:
		read_switch_setting(reader, setting, text, field);
		return;
	default:
		break;
	}
	problem = text_setting_error(setting->type, text);
	if (problem)
		add_error(reader, setting->group, setting->key, "%s", problem);
	else
		*(char **)field = g_steal_pointer(&text);
}

/* Sets the default of [front] gather. The platform names the first and the last of the free ports;
 * the metrics use the first one, and gathers the port after it. */
static void set_gather_default(settings_t *settings)
{
	if (settings->front_gather.port || !settings->forwarding_mode)
		return;
	settings->front_gather = settings->front_metrics;
	settings->front_gather.port++;
}

settings_t *settings_read(const char *path, GPtrArray *errors)
{
	reader_t reader = {.path = path, .errors = errors};
	g_autoptr(GKeyFile) file = g_key_file_new();
	g_autoptr(GError) error = NULL;
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;
	settings_t *settings;

	if (!g_file_get_contents(path, &text, NULL, &error) ||
	    !g_key_file_load_from_data(file, text, strlen(text), G_KEY_FILE_NONE, &error)) {
		g_ptr_array_add(errors, g_strdup_printf("%s:1: %s", path, error->message));
		return NULL;
	}
	lines = g_strsplit(text, "\n", 0);
	reader.file = file;
	reader.lines = lines;
	settings = g_new0(settings_t, 1);
	settings->forwarding_mode = g_key_file_has_group(file, FRONT_GROUP);
	read_region_settings(&reader, settings);
	check_unknown(&reader);
	for (size_t i = 0; i < G_N_ELEMENTS(known); i++)
		if (is_used(&known[i], settings))
			read_setting(&reader, &known[i], settings);
	set_gather_default(settings);
	if (errors->len == 0)
		return settings;
	settings_free(settings);
	return NULL;
}

uint32_t settings_processor_milli(const settings_t *settings)
{
	return (uint32_t)(settings->cores * settings->core_share * 1000);
}

uint64_t settings_replies_bytes(const settings_t *settings)
{
	return (uint64_t)settings->memory_mb * MB / REPLIES_MEMORY_DIVISOR;
}

uint64_t settings_requests_bytes(const settings_t *settings)
{
	return (uint64_t)settings->memory_mb * MB / REQUESTS_MEMORY_DIVISOR;
}

uint64_t settings_open_requests_bytes(const settings_t *settings)
{
	return (uint64_t)settings->memory_mb * MB / OPEN_REQUESTS_MEMORY_DIVISOR;
}

uint32_t settings_excess_ppm(const settings_t *settings)
{
	uint32_t milli = settings_processor_milli(settings);

	return (milli ? milli : UNKNOWN_PROCESSOR_MILLI) * settings->excess_percent * 10;
}

void settings_free(settings_t *settings)
{
	for (size_t i = 0; i < G_N_ELEMENTS(known); i++)
		if (known[i].type < SETTING_TEXTS_END)
			g_free(*(char **)((char *)settings + known[i].offset));
	g_hash_table_unref(settings->regions);
	g_free(settings);
}
