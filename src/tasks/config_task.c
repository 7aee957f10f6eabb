/**
 * @file config_task.c
 * See config_task.h.
 */
#include "tasks/config_task.h"

#define RETRY_MIN_US 200000
#define RETRY_MAX_US 1000000
#define PERIODIC_READ_MIN_US 3000000
#define PERIODIC_READ_MAX_US 5000000

struct config_task_t {
	loop_t *loop;
	platform_task_t *platform;
	query_task_t *queries;
	timeline_t *timeline;
	GRand *rand;
	loop_timer_t retry;
	config_watches_f watches; /* NULL: always watch */
	void *watches_ctx;
	bool unreachable; /* the platform did not answer the last watch or read */
};

/** A proposal in progress. */
typedef struct pending_proposal_t {
	config_task_t *task;
	proposal_t *proposal;
	json_t *value; /* as last written; applied on this VM once the platform accepts it */
	config_done_f done;
	void *ctx;
} pending_proposal_t;

static void watch(void *ctx);

static void note_unreachable(config_task_t *task, bool unreachable)
{
	if (task->unreachable != unreachable)
		timeline_add(task->timeline, "event=platform-%s", unreachable ? "lost" : "back");
	task->unreachable = unreachable;
}

static void on_watch(void *ctx, const platform_result_t *result)
{
	config_task_t *task = ctx;
	uint64_t delay_us = 0;

	note_unreachable(task, result->end == PLATFORM_UNKNOWN);
	if (result->end == PLATFORM_OK)
		query_task_offer_config(task->queries, result->version, json_incref(result->value));
	/* Jitter: after an outage all VMs would otherwise retry at the same moment. */
	if (result->end == PLATFORM_UNKNOWN || result->end == PLATFORM_ABSENT)
		delay_us = (uint64_t)g_rand_double_range(task->rand, RETRY_MIN_US, RETRY_MAX_US);
	loop_timer_set(task->loop, &task->retry, delay_us);
}

/* Peers announce new configurations by gossip; the periodic read serves VMs that no peer reaches.
 */
static void on_periodic_read(void *ctx, const platform_result_t *result)
{
	config_task_t *task = ctx;

	note_unreachable(task, result->end == PLATFORM_UNKNOWN);
	if (result->end == PLATFORM_OK)
		query_task_offer_config(task->queries, result->version, json_incref(result->value));
	loop_timer_set(task->loop, &task->retry,
		       (uint64_t)g_rand_double_range(task->rand, PERIODIC_READ_MIN_US,
						     PERIODIC_READ_MAX_US));
}

/*
 * The watch takes its number when it starts: by then the configuration that on_watch() offered has
 * been processed.
 */
static void watch(void *ctx)
{
	config_task_t *task = ctx;

	/* Before the first configuration every VM watches: there is nothing to lose by it. */
	if (task->watches && active_config_number(query_task_active_config(task->queries)) &&
	    !task->watches(task->watches_ctx))
		platform_task_read(task->platform, CONFIG_PATH, on_periodic_read, task);
	else
		platform_task_watch(task->platform, CONFIG_PATH,
				    active_config_number(query_task_active_config(task->queries)),
				    on_watch, task);
}

void config_task_set_watcher(config_task_t *task, config_watches_f watches, void *ctx)
{
	task->watches = watches;
	task->watches_ctx = ctx;
}

config_task_t *config_task_new(loop_t *loop, platform_task_t *platform, query_task_t *queries,
			       timeline_t *timeline)
{
	config_task_t *task = g_new0(config_task_t, 1);

	task->loop = loop;
	task->platform = platform;
	task->queries = queries;
	task->timeline = timeline;
	task->rand = g_rand_new();
	task->retry = (loop_timer_t){.fire = watch, .ctx = task};
	return task;
}

void config_task_start(config_task_t *task)
{
	watch(task);
}

/* ---- proposals ---- */

static void on_read(void *ctx, const platform_result_t *result)
{
	proposal_read_done(((pending_proposal_t *)ctx)->proposal, result);
}

static void on_write(void *ctx, const platform_result_t *result)
{
	proposal_write_done(((pending_proposal_t *)ctx)->proposal, result);
}

static void do_read(void *ctx, proposal_t *proposal)
{
	pending_proposal_t *pending = ctx;

	(void)proposal;
	platform_task_read(pending->task->platform, CONFIG_PATH, on_read, pending);
}

static void do_write(void *ctx, proposal_t *proposal, uint64_t if_version, const json_t *value)
{
	pending_proposal_t *pending = ctx;

	(void)proposal;
	json_decref(pending->value);
	pending->value = json_incref((json_t *)value);
	platform_task_write(pending->task->platform, CONFIG_PATH, if_version, value, on_write,
			    pending);
}

static void do_ended(void *ctx, proposal_t *proposal, proposal_outcome_t outcome, uint64_t number,
		     const char *other)
{
	pending_proposal_t *pending = ctx;
	config_task_t *task = pending->task;
	const config_proposal_result_t result = {
		.outcome = outcome, .number = number, .other = other};

	timeline_add(task->timeline, "event=config-proposal end=%s number=%" G_GUINT64_FORMAT,
		     outcome == PROPOSAL_ACCEPTED   ? "accepted"
		     : outcome == PROPOSAL_CONFLICT ? "conflict"
						    : "unknown",
		     number);
	if (outcome == PROPOSAL_ACCEPTED)
		query_task_offer_config(task->queries, number, json_incref(pending->value));
	pending->done(pending->ctx, &result);
	json_decref(pending->value);
	proposal_free(proposal);
	g_free(pending);
}

void config_task_propose(config_task_t *task, const proposal_origin_t *origin, uint64_t base,
			 json_t *config, config_done_f done, void *ctx)
{
	static const proposal_ops_t ops = {.read = do_read, .write = do_write, .ended = do_ended};
	const active_config_t *active_config = query_task_active_config(task->queries);
	pending_proposal_t *pending = g_new0(pending_proposal_t, 1);
	const json_t *history = active_config_number(active_config) == base
					? json_object_get(active_config->value, "history")
					: NULL;

	pending->task = task;
	pending->done = done;
	pending->ctx = ctx;
	pending->proposal = proposal_new(&ops, pending, origin, base, history, config);
	proposal_start(pending->proposal);
}
