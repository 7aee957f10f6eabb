/**
 * @file log.c
 * See log.h.
 */
#include "log.h"

#include <glib.h>
#include <stdio.h>

static GLogLevelFlags shown = G_LOG_LEVEL_INFO;
static char *vm_name;

static const char *level_name(GLogLevelFlags level)
{
	switch (level & G_LOG_LEVEL_MASK) {
	case G_LOG_LEVEL_ERROR:
		return "error";
	case G_LOG_LEVEL_CRITICAL:
		return "critical";
	case G_LOG_LEVEL_WARNING:
		return "warning";
	case G_LOG_LEVEL_DEBUG:
		return "debug";
	default:
		return "info";
	}
}

static void write_line(const char *domain, GLogLevelFlags level, const char *text, gpointer unused)
{
	g_autoptr(GDateTime) now = g_date_time_new_now_utc();
	g_autofree char *stamp = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%f");

	(void)domain;
	(void)unused;
	if ((level & G_LOG_LEVEL_MASK) > shown)
		return;
	fprintf(stderr, "time=%sZ level=%s vm=%s %s\n", stamp, level_name(level), vm_name, text);
}

void log_set_level(const char *level)
{
	if (g_str_equal(level, "debug"))
		shown = G_LOG_LEVEL_DEBUG;
	else if (g_str_equal(level, "warning"))
		shown = G_LOG_LEVEL_WARNING;
	else
		shown = G_LOG_LEVEL_INFO;
}

void log_start(const char *vm, const char *level)
{
	g_free(vm_name);
	vm_name = g_strdup(vm);
	log_set_level(level);
	g_log_set_default_handler(write_line, NULL);
}
