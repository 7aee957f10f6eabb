/**
 * @file explain.c
 * See explain.h.
 */
#include "tool/explain.h"

#include <stdio.h>
#include <string.h>

/* What happened to a searcher or VM this long before an answer may be its cause: the longest time
 * that callers wait is 3 s, and searchers are registered for some 4 s after they died. */
#define BEFORE_MS 8000
/* What comes shortly after still tells: a hang is known 0.3 s later, a removal up to 4 s. */
#define AFTER_MS 4000
/* Around the request, to see how the same searcher served others. */
#define AROUND_MS 1500

/** What an outcome means, and whether the request ran. */
typedef struct meaning_t {
	const char *outcome;
	const char *text;
} meaning_t;

static const meaning_t meanings[] = {
	{"answered", "answered; parts that are missing are named by lost="},
	{"not-ready", "not run: this VM had no configuration or list of searchers yet"},
	{"no-route", "not run: no route of its version fits the host and path"},
	{"no-searcher",
	 "not run: no searcher of the service could be sent work; passed_over= counts those that "
	 "its regions, an evacuation or their cold rest forbade"},
	{"leaving", "not run: this VM was about to end"},
	{"too-late", "not run: the caller's time was over when it was read"},
	{"full", "not run: no connection to a searcher would have become free in time"},
	{"rejected", "not run: every searcher asked refused it"},
	{"too-few", "may have run in part: too few parts could still be had"},
	{"failed", "may have run: the answer was lost, or was none"},
	{"timeout", "may have run: sent, and no answer in time"},
	{"blocked",
	 "not run: searchers have ended under this request, and it is not sent any more"},
	{"deferred", "not run: a searcher has ended under this request, and one attempt at a time "
		     "is tried, on all VMs"},
};

/** The window of an explanation. */
typedef struct view_t {
	const GPtrArray *lines;
	const char *request;
	const log_line_t *answer;
	GHashTable *searchers; /* ids that the request was sent to */
	char *gatherer;	       /* the VM that gathered it for the answer's; NULL when none did */
} view_t;

static void print_line(const log_line_t *line)
{
	uint64_t ms = log_line_ms(line);
	g_autoptr(GDateTime) time = g_date_time_new_from_unix_utc((gint64)(ms / 1000));
	g_autofree char *stamp = g_date_time_format(time, "%H:%M:%S");

	printf("  %s.%03u %-14s %s\n", stamp, (unsigned)(ms % 1000), line->vm, line->text);
}

/* By how much the line lies after the answer. */
static int64_t after_ms(const view_t *view, const log_line_t *line)
{
	return (int64_t)log_line_ms(line) - (int64_t)log_line_ms(view->answer);
}

static bool is_event(const log_line_t *line, const char *event)
{
	return log_line_has(line, "event", event);
}

static const char *meaning_of(const log_line_t *answer)
{
	for (size_t i = 0; i < G_N_ELEMENTS(meanings); i++)
		if (log_line_has(answer, "outcome", meanings[i].outcome))
			return meanings[i].text;
	return "an outcome that this version of the tool does not know";
}

static void note_asked(view_t *view, const char *asked)
{
	g_auto(GStrv) ids = g_strsplit(asked, "+", 0);

	for (char **id = ids; *id && !g_str_equal(*id, "nobody"); id++)
		g_hash_table_add(view->searchers, g_strdup(*id));
}

/* "lost=SERVICE:STATE:SEARCHER+...:REPLY" may stand several times in a line. */
static void note_lost(view_t *view, const char *text)
{
	for (const char *at = text; (at = strstr(at, " lost=")); at++) {
		g_autofree char *value = g_strndup(at + 6, strcspn(at + 6, " "));
		g_auto(GStrv) fields = g_strsplit(value, ":", 0);

		if (g_strv_length(fields) >= 3)
			note_asked(view, fields[2]);
	}
}

static void note_searchers(view_t *view, const log_line_t *line)
{
	char *searcher = log_line_value(line, "searcher");

	if (searcher)
		g_hash_table_add(view->searchers, searcher);
	note_lost(view, line->text);
}

/* The last answer line, or the last line at all when there is none. */
static bool find_answer(view_t *view)
{
	for (guint i = 0; i < view->lines->len; i++) {
		const log_line_t *line = g_ptr_array_index(view->lines, i);

		if (!log_line_has(line, "request", view->request))
			continue;
		note_searchers(view, line);
		if (!view->answer || is_event(line, "answer") || !is_event(view->answer, "answer"))
			view->answer = line;
	}
	return view->answer != NULL;
}

static void print_request(const view_t *view)
{
	printf("request %s: %s\n", view->request,
	       is_event(view->answer, "answer") ? meaning_of(view->answer)
						: "no line of its answer in these logs");
	for (guint i = 0; i < view->lines->len; i++) {
		const log_line_t *line = g_ptr_array_index(view->lines, i);

		if (log_line_has(line, "request", view->request))
			print_line(line);
	}
}

/* What was held against the request, by any VM. */
static void print_poison(const view_t *view, const char *fingerprint)
{
	for (guint i = 0; fingerprint && i < view->lines->len; i++) {
		const log_line_t *line = g_ptr_array_index(view->lines, i);

		if ((is_event(line, "poison") || is_event(line, "poison-trial")) &&
		    log_line_has(line, "fingerprint", fingerprint))
			print_line(line);
	}
}

/* Each attempt of a caller has an id of its own; the fingerprint shows that it is one request. */
static void print_attempts(const view_t *view)
{
	g_autofree char *fingerprint = log_line_value(view->answer, "fingerprint");
	uint32_t attempts = 0;

	print_poison(view, fingerprint);
	for (guint i = 0; fingerprint && i < view->lines->len; i++) {
		const log_line_t *line = g_ptr_array_index(view->lines, i);

		if (!is_event(line, "answer") || log_line_has(line, "request", view->request) ||
		    !log_line_has(line, "fingerprint", fingerprint))
			continue;
		if (!attempts++)
			printf("other attempts at the same request (fingerprint %s):\n",
			       fingerprint);
		print_line(line);
	}
}

/* Sub-requests of all VMs to it around that time, by outcome. */
static void print_service(const view_t *view, const char *searcher)
{
	g_autoptr(GHashTable) counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTableIter iter;
	gpointer outcome, count;

	for (guint i = 0; i < view->lines->len; i++) {
		const log_line_t *line = g_ptr_array_index(view->lines, i);
		char *value;

		if (ABS(after_ms(view, line)) > AROUND_MS || !is_event(line, "sub-request") ||
		    !log_line_has(line, "searcher", searcher))
			continue;
		value = log_line_value(line, "outcome");
		count = g_hash_table_lookup(counts, value);
		g_hash_table_insert(counts, value, GUINT_TO_POINTER(GPOINTER_TO_UINT(count) + 1));
	}
	printf("searcher %s, sub-requests logged by all VMs within %.1f s:", searcher,
	       AROUND_MS / 1000.0);
	g_hash_table_iter_init(&iter, counts);
	while (g_hash_table_iter_next(&iter, &outcome, &count))
		printf(" %s=%u", (const char *)outcome, GPOINTER_TO_UINT(count));
	puts(g_hash_table_size(counts) ? "" : " none");
}

/* Each VM logs the same change of a searcher: the first line of each kind is enough. */
static void print_searcher(const view_t *view, const char *searcher)
{
	g_autoptr(GHashTable) told = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	print_service(view, searcher);
	for (guint i = 0; i < view->lines->len; i++) {
		const log_line_t *line = g_ptr_array_index(view->lines, i);
		int64_t after = after_ms(view, line);
		char *event;

		if (after < -BEFORE_MS || after > AFTER_MS || is_event(line, "sub-request") ||
		    !log_line_has(line, "searcher", searcher))
			continue;
		event = log_line_value(line, "event");
		if (g_hash_table_add(told, event))
			print_line(line);
	}
}

/* What changed what the VM believes, or could do. */
static bool is_of_vm(const log_line_t *line)
{
	static const char *const events[] = {"start",	   "stopped",	     "leaving",
					     "woke",	   "paused",	     "reloaded",
					     "store-lost", "store-back",     "store-history-gone",
					     "feed-lost",  "feed-taken",     "configuration",
					     "feed-asked", "feed-announced", "store-call-failed",
					     "log-lost",   "gatherer-lost",  "gatherer-silent"};

	for (size_t i = 0; i < G_N_ELEMENTS(events); i++)
		if (is_event(line, events[i]))
			return true;
	return false;
}

static void print_vm(const view_t *view, const char *vm)
{
	printf("VM %s in the %u s before:\n", vm, BEFORE_MS / 1000);
	for (guint i = 0; i < view->lines->len; i++) {
		const log_line_t *line = g_ptr_array_index(view->lines, i);
		int64_t after = after_ms(view, line);

		if (after >= -BEFORE_MS && after <= 0 && g_str_equal(line->vm, vm) &&
		    is_of_vm(line))
			print_line(line);
	}
}

bool explain_request(const GPtrArray *lines, const char *request)
{
	g_autoptr(GHashTable) searchers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	view_t view = {.lines = lines, .request = request, .searchers = searchers};
	GHashTableIter iter;
	gpointer searcher;

	if (!find_answer(&view))
		return false;
	view.gatherer = log_line_value(view.answer, "gathered_by");
	print_request(&view);
	print_attempts(&view);
	g_hash_table_iter_init(&iter, searchers);
	while (g_hash_table_iter_next(&iter, &searcher, NULL))
		print_searcher(&view, searcher);
	print_vm(&view, view.answer->vm);
	if (view.gatherer && !g_str_equal(view.gatherer, "nobody"))
		print_vm(&view, view.gatherer);
	g_free(view.gatherer);
	return true;
}
