/**
 * @file log.c
 * See log.h.
 */
#include "log.h"

#include <poll.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* 200 KB a minute at lines of 160 bytes are 20 lines a second; a burst is for the moment in which
 * something breaks. */
#define FAILURES_A_SECOND 14.0
#define FAILURES_BURST 300.0
#define SUCCESSES_A_SECOND 6.0
#define SUCCESSES_BURST 40.0
#define DECISIONS_A_SECOND 10.0
#define DECISIONS_BURST 200.0
/* How often the number of lost lines is told, while lines are lost. */
#define LOST_TOLD_US 5000000
/* Kept for a reader that is slow; beyond it lines are lost. */
#define BUFFER_MOST_BYTES (64u << 10)
/* A pipe that can be written to takes so much without waiting. */
#define WRITE_MOST_BYTES 4096
#define WRITES_A_TURN 8

/* What a kind of lines may still use of its rate. */
typedef struct allowance_t {
	double a_second;
	double burst;
	double left;
	gint64 at_us;
	guint64 lost;
} allowance_t;

static GLogLevelFlags shown = G_LOG_LEVEL_INFO;
static char *vm_name;
static GString *waiting;
static allowance_t failures = {
	.a_second = FAILURES_A_SECOND, .burst = FAILURES_BURST, .left = FAILURES_BURST};
static allowance_t successes = {
	.a_second = SUCCESSES_A_SECOND, .burst = SUCCESSES_BURST, .left = SUCCESSES_BURST};

static allowance_t decisions = {
	.a_second = DECISIONS_A_SECOND, .burst = DECISIONS_BURST, .left = DECISIONS_BURST};

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

static bool take(allowance_t *allowance)
{
	gint64 now_us = g_get_monotonic_time();

	allowance->left += (double)(now_us - allowance->at_us) / 1e6 * allowance->a_second;
	allowance->left = MIN(allowance->left, allowance->burst);
	allowance->at_us = now_us;
	if (allowance->left < 1 || waiting->len > BUFFER_MOST_BYTES) {
		allowance->lost++;
		return false;
	}
	allowance->left -= 1;
	return true;
}

/* All but the fraction is formed once a second. */
static void append_time(void)
{
	static char second_text[32];
	static time_t second = -1;
	struct timespec now;
	struct tm parts;

	clock_gettime(CLOCK_REALTIME, &now);
	if (now.tv_sec != second) {
		second = now.tv_sec;
		gmtime_r(&second, &parts);
		strftime(second_text, sizeof(second_text), "%Y-%m-%dT%H:%M:%S.", &parts);
	}
	g_string_append_printf(waiting, "time=%s%06ldZ", second_text, now.tv_nsec / 1000);
}

static void append_line(GLogLevelFlags level, const char *text)
{
	append_time();
	g_string_append_printf(waiting, " level=%s vm=%s %s\n", level_name(level), vm_name, text);
}

static void append_lost(void)
{
	static gint64 told_us;
	gint64 now_us = g_get_monotonic_time();
	char text[128];

	if ((!failures.lost && !successes.lost && !decisions.lost) ||
	    now_us < told_us + LOST_TOLD_US)
		return;
	told_us = now_us;
	g_snprintf(text, sizeof(text),
		   "event=log-lost failures=%" G_GUINT64_FORMAT " successes=%" G_GUINT64_FORMAT
		   " decisions=%" G_GUINT64_FORMAT,
		   failures.lost, successes.lost, decisions.lost);
	failures.lost = 0;
	successes.lost = 0;
	decisions.lost = 0;
	append_line(G_LOG_LEVEL_MESSAGE, text);
}

static allowance_t *allowance_of(const char *domain, GLogLevelFlags level)
{
	if (domain && g_str_equal(domain, LOG_DECISIONS))
		return &decisions;
	return level >= G_LOG_LEVEL_INFO ? &successes : &failures;
}

static void write_line(const char *domain, GLogLevelFlags level, const char *text, gpointer unused)
{
	(void)unused;
	level &= G_LOG_LEVEL_MASK;
	if (level > shown)
		return;
	if (!take(allowance_of(domain, level)))
		return;
	append_lost();
	append_line(level, text);
	if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
		log_flush(NULL);
}

void log_flush(void *ctx)
{
	struct pollfd reader = {.fd = STDOUT_FILENO, .events = POLLOUT};

	(void)ctx;
	for (int i = 0; i < WRITES_A_TURN && waiting && waiting->len; i++) {
		ssize_t written;

		if (poll(&reader, 1, 0) != 1 || !(reader.revents & POLLOUT))
			return;
		written = write(STDOUT_FILENO, waiting->str, MIN(waiting->len, WRITE_MOST_BYTES));
		if (written <= 0)
			return; /* the next turn tries again */
		g_string_erase(waiting, 0, written);
	}
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
	if (!waiting)
		waiting = g_string_sized_new(WRITE_MOST_BYTES);
	log_set_level(level);
	g_log_set_default_handler(write_line, NULL);
}
