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

/* Failures and successes together: 20 lines per second, which are 200 KB per minute at 160 bytes
 * per line. The bursts are for the moment in which something breaks. */
#define FAILURES_PER_S 14.0
#define FAILURES_BURST 300.0
/* Refusals under overload are dropped when fewer tokens are left, so that lines about other
 * failures are still written then. */
#define REFUSALS_RESERVE (FAILURES_BURST / 2)
#define SUCCESSES_PER_S 6.0
#define SUCCESSES_BURST 40.0
#define DECISIONS_PER_S 10.0
#define DECISIONS_BURST 200.0
/* Interval at which the number of dropped lines is logged, while lines are dropped. */
#define LOST_REPORT_INTERVAL_US 5000000
/* Lines are buffered for a slow reader up to this size; further lines are dropped. */
#define BUFFER_MAX_BYTES (64u << 10)
/* A pipe that can be written to takes this much without blocking. */
#define WRITE_MAX_BYTES 4096
#define WRITES_PER_ITERATION 8

/* Token bucket that limits the rate of one kind of lines. */
typedef struct log_rate_limit_t {
	double per_s;
	double burst;
	double tokens;
	gint64 refilled_us;
	guint64 dropped;
} log_rate_limit_t;

static GLogLevelFlags max_level = G_LOG_LEVEL_INFO;
static char *vm_name;
static GString *buffer;
static log_rate_limit_t failures = {
	.per_s = FAILURES_PER_S, .burst = FAILURES_BURST, .tokens = FAILURES_BURST};
static log_rate_limit_t successes = {
	.per_s = SUCCESSES_PER_S, .burst = SUCCESSES_BURST, .tokens = SUCCESSES_BURST};

static log_rate_limit_t decisions = {
	.per_s = DECISIONS_PER_S, .burst = DECISIONS_BURST, .tokens = DECISIONS_BURST};

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

/* @p reserve: tokens that must be left */
static bool take_token(log_rate_limit_t *limit, double reserve)
{
	gint64 now_us = g_get_monotonic_time();

	limit->tokens += (double)(now_us - limit->refilled_us) / 1e6 * limit->per_s;
	limit->tokens = MIN(limit->tokens, limit->burst);
	limit->refilled_us = now_us;
	if (limit->tokens < 1 + reserve || buffer->len > BUFFER_MAX_BYTES) {
		limit->dropped++;
		return false;
	}
	limit->tokens -= 1;
	return true;
}

/* Formats the time; the part without the fraction is formatted only once per second. */
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
	g_string_append_printf(buffer, "time=%s%06ldZ", second_text, now.tv_nsec / 1000);
}

static void append_line(GLogLevelFlags level, const char *text)
{
	append_time();
	g_string_append_printf(buffer, " level=%s vm=%s %s\n", level_name(level), vm_name, text);
}

static void append_lost(void)
{
	static gint64 reported_us;
	gint64 now_us = g_get_monotonic_time();
	char text[128];

	if ((!failures.dropped && !successes.dropped && !decisions.dropped) ||
	    now_us < reported_us + LOST_REPORT_INTERVAL_US)
		return;
	reported_us = now_us;
	g_snprintf(text, sizeof(text),
		   "event=log-lost failures=%" G_GUINT64_FORMAT " successes=%" G_GUINT64_FORMAT
		   " decisions=%" G_GUINT64_FORMAT,
		   failures.dropped, successes.dropped, decisions.dropped);
	failures.dropped = 0;
	successes.dropped = 0;
	decisions.dropped = 0;
	append_line(G_LOG_LEVEL_MESSAGE, text);
}

static log_rate_limit_t *rate_limit_of(const char *domain, GLogLevelFlags level)
{
	if (domain && g_str_equal(domain, LOG_DECISIONS))
		return &decisions;
	return level >= G_LOG_LEVEL_INFO ? &successes : &failures;
}

static double reserve_of(const char *domain)
{
	return domain && g_str_equal(domain, LOG_REFUSALS) ? REFUSALS_RESERVE : 0;
}

static void write_line(const char *domain, GLogLevelFlags level, const char *text, gpointer unused)
{
	(void)unused;
	level &= G_LOG_LEVEL_MASK;
	if (level > max_level)
		return;
	if (!take_token(rate_limit_of(domain, level), reserve_of(domain)))
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
	for (int i = 0; i < WRITES_PER_ITERATION && buffer && buffer->len; i++) {
		ssize_t written;

		if (poll(&reader, 1, 0) != 1 || !(reader.revents & POLLOUT))
			return;
		written = write(STDOUT_FILENO, buffer->str, MIN(buffer->len, WRITE_MAX_BYTES));
		if (written <= 0)
			return; /* retried in the loop's next iteration */
		g_string_erase(buffer, 0, written);
	}
}

void log_set_level(const char *level)
{
	if (g_str_equal(level, "debug"))
		max_level = G_LOG_LEVEL_DEBUG;
	else if (g_str_equal(level, "warning"))
		max_level = G_LOG_LEVEL_WARNING;
	else
		max_level = G_LOG_LEVEL_INFO;
}

void log_start(const char *vm, const char *level)
{
	g_free(vm_name);
	vm_name = g_strdup(vm);
	if (!buffer)
		buffer = g_string_sized_new(WRITE_MAX_BYTES);
	log_set_level(level);
	g_log_set_default_handler(write_line, NULL);
}
