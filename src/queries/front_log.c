/**
 * @file front_log.c
 * See front_log.h.
 */
#include "queries/front_log.h"

#include "log.h"
#include "net/loop.h"

/* Limits how many of an answer's missing parts its log line lists. */
#define MISSING_PARTS_LOGGED 4

static void append_fingerprint(GString *line, fingerprint_t fingerprint)
{
	char text[FINGERPRINT_TEXT_BYTES];

	fingerprint_format(fingerprint, text);
	g_string_append_printf(line, " fingerprint=%s", text);
}

static void append_tried_searchers(GString *line, const forward_part_t *part)
{
	if (!part->tried || !part->tried->len)
		g_string_append(line, "nobody");
	for (guint i = 0; part->tried && i < part->tried->len; i++)
		g_string_append_printf(line, "%s%s", i ? "+" : "",
				       ((searcher_t *)g_ptr_array_index(part->tried, i))->id);
}

/* Counts the searchers that could have taken the part, but were excluded by the route's regions, by
 * an evacuation or by the rate limit on cold searchers. */
static void append_passed_over(GString *line, const forward_part_t *part)
{
	const passed_over_t passed = forward_passed_over(part, loop_now_us());

	if (passed.elsewhere + passed.evacuated + passed.cold)
		g_string_append_printf(line, " passed_over=%s:elsewhere=%u:evacuated=%u:cold=%u",
				       part->pool->service, passed.elsewhere, passed.evacuated,
				       passed.cold);
}

/* Appends the outcome of the missing parts; the first few are enough to show the cause. */
static void append_missing(GString *line, const forward_t *forward)
{
	uint32_t logged = 0;

	for (uint32_t i = 0; i < forward->part_count && logged < MISSING_PARTS_LOGGED; i++) {
		const forward_part_t *part = &forward->parts[i];

		if (part->state == PART_ANSWERED)
			continue;
		logged++;
		g_string_append_printf(line, " lost=%s:%s:", part->pool->service,
				       part_state_name(part->state));
		append_tried_searchers(line, part);
		g_string_append_printf(line, ":%s",
				       part->reply  ? sub_outcome_name(part->reply->outcome)
				       : part->shed ? "shard-short"
						    : "no-reply");
		append_passed_over(line, part);
	}
}

/* The shard, the time and the limits that decided about a request that admission control has
 * refused. */
static void append_refusal(GString *line, const forward_answer_t *answer)
{
	const forward_refusal_t *refusal = &answer->refusal;

	if (!refusal->by_admission)
		return;
	g_string_append_printf(line,
			       " reason=admission shard=%s wait_us=%" G_GUINT64_FORMAT
			       " rank=%u retry_after_us=%" G_GUINT64_FORMAT,
			       refusal->shard ? refusal->shard : "none", refusal->waited_us,
			       refusal->rank, answer->retry_after_us);
	if (refusal->tenant)
		g_string_append_printf(line, " tenant=%s", refusal->tenant);
}

/* Searchers that the shard which lacked room had, but that were excluded. */
static void append_short_shard_passed_over(GString *line, const forward_t *forward,
					   const forward_refusal_t *refusal)
{
	for (uint32_t i = 0; refusal->shard && i < forward->part_count; i++)
		if (g_str_equal(forward->parts[i].pool->service, refusal->shard))
			append_passed_over(line, &forward->parts[i]);
}

static void write_answer(const GString *line, const forward_answer_t *answer)
{
	bool complete = answer->outcome == FORWARD_ANSWERED && !answer->missing;

	g_log(answer->refusal.by_admission ? LOG_REFUSALS : NULL,
	      complete ? G_LOG_LEVEL_INFO : G_LOG_LEVEL_MESSAGE, "%s", line->str);
}

void front_log_answer(const char *id, const forward_t *forward, const forward_answer_t *answer,
		      int status, uint64_t store_age_us)
{
	bool complete = answer->outcome == FORWARD_ANSWERED && !answer->missing;
	g_autoptr(GString) line = g_string_sized_new(256);
	uint64_t took_us = loop_now_us() - forward->request.received_us;

	g_string_append_printf(
		line,
		"event=answer request=%s route=%s outcome=%s status=%d took_us=%" G_GUINT64_FORMAT
		" patience_us=%" G_GUINT64_FORMAT " parts=%u missing=%u version=%" G_GUINT64_FORMAT
		" store_age_us=%" G_GUINT64_FORMAT,
		id ? id : "", forward->route ? forward->route->name : "",
		forward_outcome_name(answer->outcome), status, took_us,
		forward->request.patience_us, answer->parts, answer->missing,
		forward->routing ? forward->routing->version : 0, store_age_us);
	append_refusal(line, answer);
	append_fingerprint(line, forward->request.fingerprint);
	/* Of a request that admission control refused, no part was sent. */
	if (answer->refusal.by_admission)
		append_short_shard_passed_over(line, forward, &answer->refusal);
	else if (!complete)
		append_missing(line, forward);
	write_answer(line, answer);
}

void front_log_gathered(const forward_request_t *request, const handover_t *handover,
			const forward_answer_t *answer, uint64_t store_age_us)
{
	g_autoptr(GString) line = g_string_sized_new(256);
	uint64_t now_us = loop_now_us();

	g_string_append_printf(
		line,
		"event=answer request=%s outcome=%s status=%d took_us=%" G_GUINT64_FORMAT
		" patience_us=%" G_GUINT64_FORMAT " parts=%u missing=%u gathered_by=%s asked=%u "
		"taken=%d gather_us=%" G_GUINT64_FORMAT " store_age_us=%" G_GUINT64_FORMAT,
		request->id ? request->id : "", forward_outcome_name(answer->outcome),
		forward_outcome_status(answer->outcome), now_us - request->received_us,
		request->patience_us, answer->parts, answer->missing,
		handover->gatherer ? handover->gatherer->vm->name : "nobody", handover->tried->len,
		handover->accepted, now_us - handover->begun_us, store_age_us);
	append_refusal(line, answer);
	append_fingerprint(line, request->fingerprint);
	write_answer(line, answer);
}

void front_log_refused(const forward_request_t *request, forward_outcome_t outcome,
		       const char *tenant, uint64_t retry_after_us)
{
	g_message("event=answer request=%s outcome=%s status=%d took_us=%" G_GUINT64_FORMAT
		  " tenant=%s retry_after_us=%" G_GUINT64_FORMAT,
		  request->id ? request->id : "", forward_outcome_name(outcome),
		  forward_outcome_status(outcome), loop_now_us() - request->received_us, tenant,
		  retry_after_us);
}

/* Appends the load that the searcher last reported before this reply, and the age of that report.
 */
static void append_load(GString *line, const reported_load_t *load)
{
	if (load->at_us)
		g_string_append_printf(line,
				       " load=%u+%u/%u load_slowness_percent=%u "
				       "load_age_us=%" G_GUINT64_FORMAT,
				       load->running, load->waiting, load->slots,
				       load->slowness_percent,
				       reported_load_age_us(load, loop_now_us()));
}

void front_log_subrequest(const subrequest_t *sub, const sub_reply_t *reply)
{
	bool failed = reply->outcome != SUB_ANSWERED;
	g_autoptr(GString) line = NULL;

	if (!failed && sub->purpose == SUB_FIRST)
		return;
	line = g_string_sized_new(256);
	g_string_append_printf(line,
			       "event=sub-request request=%s service=%s searcher=%s purpose=%s "
			       "outcome=%s status=%d took_us=%" G_GUINT64_FORMAT
			       " out=%u connection=%" G_GUINT64_FORMAT,
			       sub->forward ? sub->forward->request.id : "-", sub->pool->service,
			       sub->searcher->id, sub_purpose_name(sub->purpose),
			       sub_outcome_name(reply->outcome), reply->status,
			       loop_now_us() - sub->sending.sent_us,
			       sub->searcher->outstanding.length, sub->connection_serial);
	append_load(line, &sub->searcher->load);
	append_fingerprint(line, sub->fingerprint);
	g_log(NULL, failed ? G_LOG_LEVEL_MESSAGE : G_LOG_LEVEL_INFO, "%s", line->str);
}
