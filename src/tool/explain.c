/**
 * @file explain.c
 * See explain.h.
 */
#include "tool/explain.h"

#include <stdio.h>
#include <string.h>

/* An event of a searcher or VM may be the cause of an answer up to this long afterwards: callers
 * wait at most 3 s, and searchers stay registered for about 4 s after they died. */
#define CAUSE_BEFORE_MS 8000
/* Events shortly after the answer can show its cause too: a hang is detected 0.3 s later, and an
 * entry is removed from the store up to 4 s later. */
#define CAUSE_AFTER_MS 4000
/* Sub-requests to the same searcher within this time of the answer are counted, to show how it
 * served other requests. */
#define OUTCOMES_WITHIN_MS 1500

/** Explains an outcome, and whether the request ran. */
typedef struct meaning_t {
	const char *outcome;
	const char *text;
} meaning_t;

static const meaning_t meanings[] = {
	{"answered", "answered; parts that are missing are listed in lost="},
	{"not-ready", "not run: this VM had no configuration or list of searchers yet"},
	{"no-route", "not run: no route of that configuration version matches the host and path"},
	{"no-searcher",
	 "not run: no searcher of the service could be sent work; passed_over= counts those that "
	 "the route's regions, an evacuation or the rate limit on cold searchers excluded"},
	{"leaving", "not run: this VM was about to end"},
	{"too-late", "not run: the caller's time to wait was over when the request was read"},
	{"full", "not run: no connection to a searcher would have become free in time"},
	{"rejected", "not run: every searcher asked refused it"},
	{"too-few", "may have run in part: too few parts could still be answered"},
	{"failed", "may have run: the answer was lost, or none was valid"},
	{"timeout", "may have run: sent, and no answer came in time"},
	{"blocked",
	 "not run: searchers have ended under this request, and it is not sent any more"},
	{"deferred", "not run: a searcher has ended under this request, and only one attempt at a "
		     "time is sent, over all VMs"},
	{"unauthorized",
	 "not run: the route needs an API key, and that configuration version holds "
	 "none like the caller's"},
	{"over-quota",
	 "not run: its tenant's quota, which holds for all VMs together, was used up"},
	{"no-quota",
	 "not run: no VM that pools quotas answered, and this VM's own share was used up"},
};

/* Meanings of outcome=full with reason=admission. */
#define REFUSED_FOR_SHARD                                                                          \
	"not run: admission control refused it as a whole, because too few of the shards that it " \
	"needs had room"
#define REFUSED_BEHIND_OTHERS                                                                      \
	"not run: admission control refused it as a whole, because requests before it take the "   \
	"room that comes free in time"
#define NO_SHARD "none"

/** A request that is being explained. */
typedef struct explanation_t {
	const GPtrArray *lines;
	const char *request;
	const log_line_t *answer;
	GHashTable *searchers; /* ids of the searchers that the request was sent to */
	char *shard;	       /* the one for which admission control has refused it, or NULL */
	char *gatherer;	       /* the VM that the answering VM handed it over to, or NULL */
} explanation_t;

static void print_line(const log_line_t *line)
{
	uint64_t ms = log_line_ms(line);
	g_autoptr(GDateTime) time = g_date_time_new_from_unix_utc((gint64)(ms / 1000));
	g_autofree char *stamp = g_date_time_format(time, "%H:%M:%S");

	printf("  %s.%03u %-14s %s\n", stamp, (unsigned)(ms % 1000), line->vm, line->text);
}

/* Time from the answer to the line; negative when the line is earlier. */
static int64_t after_ms(const explanation_t *explanation, const log_line_t *line)
{
	return (int64_t)log_line_ms(line) - (int64_t)log_line_ms(explanation->answer);
}

static bool is_event(const log_line_t *line, const char *event)
{
	return log_line_has(line, "event", event);
}

static bool is_refused_by_admission(const log_line_t *line)
{
	return is_event(line, "answer") && log_line_has(line, "reason", "admission");
}

static const char *meaning_of(const log_line_t *answer)
{
	if (is_refused_by_admission(answer))
		return log_line_has(answer, "shard", NO_SHARD) ? REFUSED_BEHIND_OTHERS
							       : REFUSED_FOR_SHARD;
	for (size_t i = 0; i < G_N_ELEMENTS(meanings); i++)
		if (log_line_has(answer, "outcome", meanings[i].outcome))
			return meanings[i].text;
	return "an outcome that this version of the tool does not know";
}

static void add_tried_searchers(explanation_t *explanation, const char *tried)
{
	g_auto(GStrv) ids = g_strsplit(tried, "+", 0);

	for (char **id = ids; *id && !g_str_equal(*id, "nobody"); id++)
		g_hash_table_add(explanation->searchers, g_strdup(*id));
}

/* A line can hold "lost=SERVICE:STATE:SEARCHER+...:REPLY" several times. */
static void add_searchers_of_lost_parts(explanation_t *explanation, const char *text)
{
	for (const char *at = text; (at = strstr(at, " lost=")); at++) {
		g_autofree char *value = g_strndup(at + 6, strcspn(at + 6, " "));
		g_auto(GStrv) fields = g_strsplit(value, ":", 0);

		if (g_strv_length(fields) >= 3)
			add_tried_searchers(explanation, fields[2]);
	}
}

static void add_searchers_of_line(explanation_t *explanation, const log_line_t *line)
{
	char *searcher = log_line_value(line, "searcher");

	if (searcher)
		g_hash_table_add(explanation->searchers, searcher);
	add_searchers_of_lost_parts(explanation, line->text);
}

/* How well a line of the request tells what its caller got. The VM that handed a request over has
 * answered the caller, possibly otherwise than a gatherer has answered that VM. */
static int answer_weight(const log_line_t *line)
{
	g_autofree char *gatherer = log_line_value(line, "gathered_by");

	if (!is_event(line, "answer"))
		return 0;
	return gatherer ? 2 : 1;
}

/* Finds the last answer line of the request, or its last line when it has no answer line. */
static bool find_answer(explanation_t *explanation)
{
	for (guint i = 0; i < explanation->lines->len; i++) {
		const log_line_t *line = g_ptr_array_index(explanation->lines, i);

		if (!log_line_has(line, "request", explanation->request))
			continue;
		add_searchers_of_line(explanation, line);
		if (!explanation->answer ||
		    answer_weight(line) >= answer_weight(explanation->answer))
			explanation->answer = line;
	}
	return explanation->answer != NULL;
}

static void print_request(const explanation_t *explanation)
{
	printf("request %s: %s\n", explanation->request,
	       is_event(explanation->answer, "answer") ? meaning_of(explanation->answer)
						       : "these logs have no line of its answer");
	for (guint i = 0; i < explanation->lines->len; i++) {
		const log_line_t *line = g_ptr_array_index(explanation->lines, i);

		if (log_line_has(line, "request", explanation->request))
			print_line(line);
	}
}

/* Prints the value of @p key, in us, as milliseconds. */
static void print_ms(const log_line_t *line, const char *before, const char *key, const char *after)
{
	g_autofree char *value = log_line_value(line, key);

	if (value)
		printf("%s%" G_GUINT64_FORMAT " ms%s", before,
		       g_ascii_strtoull(value, NULL, 10) / 1000, after);
}

static void print_word(const log_line_t *line, const char *before, const char *key)
{
	g_autofree char *value = log_line_value(line, key);

	if (value)
		printf("%s%s", before, value);
}

static void print_refusal(const explanation_t *explanation)
{
	const log_line_t *answer = explanation->answer;

	if (explanation->shard)
		printf("shard %s lacked room at its searchers", explanation->shard);
	else
		printf("no shard lacked room when it was refused");
	if (log_line_has(answer, "wait_us", "0"))
		printf("; refused on arrival");
	else
		print_ms(answer, "; it waited ", "wait_us", " for room");
	print_word(answer, "; rank ", "rank");
	print_word(answer, ", tenant ", "tenant");
	print_word(answer, "\nthe caller was told ", "status");
	print_ms(answer, " and to come back in ", "retry_after_us", "");
	puts("");
}

static void print_counts(GHashTable *counts)
{
	g_autoptr(GList) names = g_list_sort(g_hash_table_get_keys(counts), (GCompareFunc)strcmp);

	for (GList *item = names; item; item = item->next)
		printf(" %s=%u", (const char *)item->data,
		       GPOINTER_TO_UINT(g_hash_table_lookup(counts, item->data)));
	puts(names ? "" : " none");
}

/* Takes ownership of @p name. */
static void add_count(GHashTable *counts, char *name)
{
	guint count = GPOINTER_TO_UINT(g_hash_table_lookup(counts, name));

	g_hash_table_insert(counts, name, GUINT_TO_POINTER(count + 1));
}

/* Whether the line is the first one of its request. Requests without an id can't be told apart. */
static bool is_first_line(GHashTable *requests, const log_line_t *line)
{
	char *request = log_line_value(line, "request");

	if (request && *request)
		return g_hash_table_add(requests, request);
	g_free(request);
	return true;
}

/* Prints for which shards all VMs have refused requests around the answer. The gatherer and the VM
 * that handed the request over log the same refusal. */
static void print_refusals_around(const explanation_t *explanation)
{
	g_autoptr(GHashTable) counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_autoptr(GHashTable) requests =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (guint i = 0; i < explanation->lines->len; i++) {
		const log_line_t *line = g_ptr_array_index(explanation->lines, i);

		if (ABS(after_ms(explanation, line)) <= OUTCOMES_WITHIN_MS &&
		    is_refused_by_admission(line) && is_first_line(requests, line))
			add_count(counts, log_line_value(line, "shard"));
	}
	printf("requests refused by admission control, by shard, logged by all VMs within %.1f s:",
	       OUTCOMES_WITHIN_MS / 1000.0);
	print_counts(counts);
}

/* The request was sent to none of the shard's searchers; what became of them shows why it lacked
 * room. */
static void add_searchers_of_shard(explanation_t *explanation)
{
	for (guint i = 0; explanation->shard && i < explanation->lines->len; i++) {
		const log_line_t *line = g_ptr_array_index(explanation->lines, i);
		int64_t after = after_ms(explanation, line);
		char *searcher;

		if (after < -CAUSE_BEFORE_MS || after > CAUSE_AFTER_MS ||
		    !log_line_has(line, "service", explanation->shard))
			continue;
		searcher = log_line_value(line, "searcher");
		if (searcher)
			g_hash_table_add(explanation->searchers, searcher);
	}
}

static void explain_refusal(explanation_t *explanation)
{
	char *shard = log_line_value(explanation->answer, "shard");

	explanation->shard = g_strcmp0(shard, NO_SHARD) ? shard : NULL;
	if (!explanation->shard)
		g_free(shard);
	print_refusal(explanation);
	print_refusals_around(explanation);
	add_searchers_of_shard(explanation);
}

/* Prints the strikes and trials of the request on any VM. */
static void print_poison(const explanation_t *explanation, const char *fingerprint)
{
	for (guint i = 0; fingerprint && i < explanation->lines->len; i++) {
		const log_line_t *line = g_ptr_array_index(explanation->lines, i);

		if ((is_event(line, "poison") || is_event(line, "poison-trial")) &&
		    log_line_has(line, "fingerprint", fingerprint))
			print_line(line);
	}
}

/* Each attempt of a caller has its own request id; attempts at one request share a fingerprint. */
static void print_attempts(const explanation_t *explanation)
{
	g_autofree char *fingerprint = log_line_value(explanation->answer, "fingerprint");
	uint32_t attempts = 0;

	print_poison(explanation, fingerprint);
	for (guint i = 0; fingerprint && i < explanation->lines->len; i++) {
		const log_line_t *line = g_ptr_array_index(explanation->lines, i);

		if (!is_event(line, "answer") ||
		    log_line_has(line, "request", explanation->request) ||
		    !log_line_has(line, "fingerprint", fingerprint))
			continue;
		if (!attempts++)
			printf("other attempts at the same request (fingerprint %s):\n",
			       fingerprint);
		print_line(line);
	}
}

/* Prints how many sub-requests of all VMs to the searcher had each outcome within
 * OUTCOMES_WITHIN_MS of the answer. */
static void print_searcher_outcomes(const explanation_t *explanation, const char *searcher)
{
	g_autoptr(GHashTable) counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (guint i = 0; i < explanation->lines->len; i++) {
		const log_line_t *line = g_ptr_array_index(explanation->lines, i);

		if (ABS(after_ms(explanation, line)) > OUTCOMES_WITHIN_MS ||
		    !is_event(line, "sub-request") || !log_line_has(line, "searcher", searcher))
			continue;
		add_count(counts, log_line_value(line, "outcome"));
	}
	printf("searcher %s, sub-requests logged by all VMs within %.1f s:", searcher,
	       OUTCOMES_WITHIN_MS / 1000.0);
	print_counts(counts);
}

/* All VMs log the same changes of a searcher, so only the first line of each event is printed. */
static void print_searcher(const explanation_t *explanation, const char *searcher)
{
	g_autoptr(GHashTable) printed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	print_searcher_outcomes(explanation, searcher);
	for (guint i = 0; i < explanation->lines->len; i++) {
		const log_line_t *line = g_ptr_array_index(explanation->lines, i);
		int64_t after = after_ms(explanation, line);
		char *event;

		if (after < -CAUSE_BEFORE_MS || after > CAUSE_AFTER_MS ||
		    is_event(line, "sub-request") || !log_line_has(line, "searcher", searcher))
			continue;
		event = log_line_value(line, "event");
		if (g_hash_table_add(printed, event))
			print_line(line);
	}
}

/* Whether the event changed what the VM knew or was able to do. */
static bool is_vm_event(const log_line_t *line)
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

static void print_vm(const explanation_t *explanation, const char *vm)
{
	printf("VM %s in the %u s before:\n", vm, CAUSE_BEFORE_MS / 1000);
	for (guint i = 0; i < explanation->lines->len; i++) {
		const log_line_t *line = g_ptr_array_index(explanation->lines, i);
		int64_t after = after_ms(explanation, line);

		if (after >= -CAUSE_BEFORE_MS && after <= 0 && g_str_equal(line->vm, vm) &&
		    is_vm_event(line))
			print_line(line);
	}
}

bool explain_request(const GPtrArray *lines, const char *request)
{
	g_autoptr(GHashTable) searchers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	explanation_t explanation = {.lines = lines, .request = request, .searchers = searchers};
	GHashTableIter iter;
	gpointer searcher;

	if (!find_answer(&explanation))
		return false;
	explanation.gatherer = log_line_value(explanation.answer, "gathered_by");
	print_request(&explanation);
	if (is_refused_by_admission(explanation.answer))
		explain_refusal(&explanation);
	print_attempts(&explanation);
	g_hash_table_iter_init(&iter, searchers);
	while (g_hash_table_iter_next(&iter, &searcher, NULL))
		print_searcher(&explanation, searcher);
	print_vm(&explanation, explanation.answer->vm);
	if (explanation.gatherer && !g_str_equal(explanation.gatherer, "nobody"))
		print_vm(&explanation, explanation.gatherer);
	g_free(explanation.gatherer);
	g_free(explanation.shard);
	return true;
}
