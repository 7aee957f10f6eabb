/**
 * @file send_limit.c
 * See send_limit.h.
 */
#include "core/send_limit.h"

#include <glib.h>
#include <math.h>

/* A late answer lowers the limit less than a rejection: it may be due to a pause of the searcher or
 * to a long request. */
#define LATE_FACTOR 0.8
#define REJECTED_FACTOR 0.7
/* Raise by each answer in time, in sub-requests, while the limit is around 1. */
#define RAISE 0.1
/* At this limit a VM still sends enough to notice that the searcher has recovered. */
#define LIMIT_MIN 0.02
/* The first late answer lowers the limit to at most this multiple of its start: not all VMs have
 * requests for the searcher at the same time. */
#define START_FACTOR 4
/* A limit below its start doubles in this time. */
#define RECOVERY_DOUBLING_US 500000.0
/* A limit up to this multiple of the minimum counts as at the minimum: one that recovers with time
 * is exactly there only for a moment, which metrics would miss. */
#define AT_MINIMUM_FACTOR 2
/* Weight of one answer in the average latency. */
#define LATENCY_WEIGHT 0.2

void send_limit_set_start(send_limit_t *limit, double start)
{
	limit->start = start;
}

/*
 * The limit in force. Below its start it recovers with time alone: callers that are refused for it
 * cause no answers that could raise it, and the shares of all VMs together are no more than what
 * the searcher can process and queue at its usual speed.
 */
static double limit_now(const send_limit_t *limit, uint64_t now_us)
{
	double age_us = (double)(now_us - limit->lowered_us);
	double recovered = limit->limit * exp2(age_us / RECOVERY_DOUBLING_US);

	return MAX(limit->limit, MIN(recovered, limit->start));
}

double send_limit_now(const send_limit_t *limit, uint64_t now_us)
{
	return limit->limit > 0 ? limit_now(limit, now_us) : 0;
}

bool send_limit_is_at_minimum(const send_limit_t *limit, uint64_t now_us)
{
	return limit->limit > 0 && limit_now(limit, now_us) <= AT_MINIMUM_FACTOR * LIMIT_MIN;
}

bool send_limit_has_room(const send_limit_t *limit, uint32_t outstanding, uint64_t now_us)
{
	double most;

	if (!limit->limit)
		return true;
	most = limit_now(limit, now_us);
	if (most < 1)
		return !outstanding &&
		       (double)(now_us - limit->sent_us) >= limit->latency_us / most;
	return outstanding + 1 <= most;
}

send_sample_t send_limit_note_sent(send_limit_t *limit, uint32_t outstanding, uint64_t budget_us,
				   uint64_t now_us)
{
	limit->sent_us = now_us;
	return (send_sample_t){.sent_us = now_us,
			       .budget_us = budget_us,
			       .was_limited =
				       limit->limit && outstanding + 2 > limit_now(limit, now_us)};
}

/* Sub-requests that were sent before the limit was last lowered saw the queue of that time. */
static void lower(send_limit_t *limit, const send_sample_t *sample, const send_load_t *load,
		  double factor, uint64_t now_us)
{
	double from = limit->limit ? limit_now(limit, now_us) : 0;

	if (sample->sent_us < limit->lowered_us)
		return;
	if (!from)
		from = MIN(load->outstanding, START_FACTOR * limit->start);
	limit->limit = MAX(from * factor, LIMIT_MIN);
	limit->lowered_us = now_us;
}

static void raise_limit(send_limit_t *limit, const send_load_t *load, uint64_t now_us)
{
	limit->limit = limit_now(limit, now_us);
	limit->limit += RAISE * MIN(limit->limit, 1 / limit->limit);
	if (limit->limit >= load->max)
		limit->limit = 0;
}

bool send_limit_note_answer(send_limit_t *limit, const send_sample_t *sample,
			    const send_load_t *load, uint64_t now_us)
{
	double took_us = (double)(now_us - sample->sent_us);
	bool late = took_us > (double)sample->budget_us;

	limit->latency_us += LATENCY_WEIGHT * (took_us - limit->latency_us);
	if (late)
		lower(limit, sample, load, LATE_FACTOR, now_us);
	else if (sample->was_limited && limit->limit)
		raise_limit(limit, load, now_us);
	return late;
}

void send_limit_note_rejected(send_limit_t *limit, const send_sample_t *sample,
			      const send_load_t *load, uint64_t now_us)
{
	lower(limit, sample, load, REJECTED_FACTOR, now_us);
}
