/**
 * @file dogwoodsaddled.c
 * The daemon; all entry VMs run the same program.
 */
#include "log.h"
#include "settings.h"
#include "tasks/admin_task.h"
#include "tasks/caller_task.h"
#include "tasks/config_task.h"
#include "tasks/front_task.h"
#include "tasks/peer_task.h"
#include "version.h"

#include <argp.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>

#define EXIT_BAD_SETTINGS 2
#define STOP_CHECK_US 20000
/* Share of the grace time in which any request is accepted, so that the load balancer can find
 * other VMs first. Later, only requests that are over before the process ends. */
#define ACCEPT_ANY_SHARE 0.5
/* Any change has to be in force within 3 s, also one of the settings file. */
#define FILE_CHECK_US 2000000
/* The daemon stops by itself this long before the grace time ends and the process is killed. */
#define GRACE_MARGIN_US 150000
/* Time for the last answers to reach their callers before the process ends. */
#define LAST_ANSWERS_US 100000

/* Buffers from this size on go back to the system as soon as they are freed. By default the C
 * library raises the threshold, and memory once used for many large requests would stay with the
 * process. */
#define LARGE_BUFFER_BYTES (128 << 10)

const char *argp_program_version = "dogwoodsaddled " DS_VERSION;

typedef struct arguments_t {
	const char *config;
	bool check;
} arguments_t;

typedef struct daemon_t {
	arguments_t arguments;
	settings_t *settings;
	loop_t *loop;
	http_memory_t *replies; /* unfinished ones of searchers and the store */
	timeline_t *timeline;
	platform_task_t *platform;
	query_task_t *queries;
	config_task_t *configs;
	peer_task_t *peers;
	caller_task_t *callers;
	admin_task_t *admin;
	front_task_t *front; /* in forwarding mode, instead of the five tasks above */
	status_source_t source;
	loop_timer_t stop_timer;
	uint64_t drain_start_us;
	loop_timer_t file_timer;
	struct stat file_stat; /* of the settings file at its last check; size 0 before the first */
} daemon_t;

static const struct argp_option options[] = {
	{"config", 'c', "FILE", 0, "settings file of this VM (INI); default: DOGWOODSADDLE_CONFIG",
	 0},
	{"check", 'k', 0, 0, "check the settings and exit: 0 if they are valid, 2 if not", 0},
	{0},
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	arguments_t *arguments = state->input;

	switch (key) {
	case 'c':
		arguments->config = arg;
		return 0;
	case 'k':
		arguments->check = true;
		return 0;
	case ARGP_KEY_END:
		if (!arguments->config)
			argp_error(state, "--config FILE is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static settings_t *read_settings(const char *path)
{
	g_autoptr(GPtrArray) errors = g_ptr_array_new_with_free_func(g_free);
	settings_t *settings = settings_read(path, errors);

	for (guint i = 0; i < errors->len; i++)
		fprintf(stderr, "%s\n", (const char *)g_ptr_array_index(errors, i));
	return settings;
}

static void log_event(void *ctx, hlc_t at, const char *text)
{
	(void)ctx;
	g_log(NULL, G_LOG_LEVEL_MESSAGE, "%s hlc=%" G_GUINT64_FORMAT, text, at);
}

static uint64_t grace_us(const daemon_t *self)
{
	return (uint64_t)self->settings->grace_s * 1000000;
}

/* When the daemon ends at the latest. */
static uint64_t stop_us(const daemon_t *self)
{
	return self->drain_start_us + grace_us(self) - GRACE_MARGIN_US;
}

/*
 * Stops the daemon once it has drained. The load balancer and callers on keep-alive connections
 * send requests until they notice the drain, so the listener stays open until the drain time is
 * over and no request has arrived for the quiet time. Closing it at once would reset connections
 * that the kernel has accepted already.
 */
static void check_drained(void *ctx)
{
	daemon_t *self = ctx;
	uint64_t now = loop_now_us();
	uint64_t quiet_us = (uint64_t)self->settings->quiet_ms * 1000;
	bool idle = self->front ? front_task_open_requests(self->front) == 0
				: caller_task_open_requests(self->callers) == 0 &&
					  query_task_idle(self->queries);
	uint64_t last_us = self->front ? front_task_last_request_us(self->front)
				       : caller_task_last_request_us(self->callers);
	bool drained = now - self->drain_start_us >= (uint64_t)self->settings->drain_ms * 1000;
	bool quiet = now - last_us >= quiet_us;
	uint64_t any_until_us =
		self->drain_start_us + (uint64_t)(ACCEPT_ANY_SHARE * (double)grace_us(self));

	if (self->front && drained)
		front_task_close_idle(self->front);
	if (self->front && now >= any_until_us)
		front_task_refuse_long(self->front);
	if ((drained && quiet && idle) || now >= stop_us(self)) {
		timeline_add(self->timeline, "event=stopped");
		loop_stop(self->loop);
		return;
	}
	loop_timer_set(self->loop, &self->stop_timer, STOP_CHECK_US);
}

/* Requests that would last longer get their answer shortly before the process ends. */
static void set_end_of_requests(daemon_t *self)
{
	uint64_t end_us = stop_us(self) - LAST_ANSWERS_US;

	if (self->front)
		front_task_stop_at(self->front, end_us);
	else
		caller_task_stop_at(self->callers, end_us);
}

static void begin_drain(daemon_t *self)
{
	if (self->source.leaving)
		return;
	self->source.leaving = true;
	self->drain_start_us = loop_now_us();
	timeline_add(self->timeline, "event=leaving drain_ms=%u", self->settings->drain_ms);
	if (self->front) {
		front_task_drain(self->front);
	} else {
		caller_task_drain(self->callers);
		peer_task_leave(self->peers);
	}
	self->stop_timer = (loop_timer_t){.fire = check_drained, .ctx = self};
	set_end_of_requests(self);
	loop_timer_set(self->loop, &self->stop_timer, STOP_CHECK_US);
}

/* Only the log level, the stop times, the operators' token and, in forwarding mode, the bound on
 * retries change without a restart. */
static void reload(daemon_t *self)
{
	settings_t *updated = read_settings(self->arguments.config);

	if (!updated) {
		g_warning("event=reload-refused reason=settings");
		return;
	}
	log_set_level(updated->log_level);
	self->settings->drain_ms = updated->drain_ms;
	self->settings->quiet_ms = updated->quiet_ms;
	self->settings->grace_s = updated->grace_s;
	if (self->front)
		front_task_configure(self->front, updated);
	if (self->source.leaving)
		set_end_of_requests(self);
	g_free(self->settings->operators_token);
	self->settings->operators_token = g_steal_pointer(&updated->operators_token);
	settings_free(updated);
	timeline_add(self->timeline, "event=reloaded");
}

/* Reloads the settings when the file has changed, because it can change without a signal. */
static void check_settings_file(void *ctx)
{
	daemon_t *self = ctx;
	struct stat now;

	loop_timer_set(self->loop, &self->file_timer, FILE_CHECK_US);
	if (stat(self->arguments.config, &now))
		return; /* the file is being replaced: the next check reads the new one */
	if (now.st_mtim.tv_sec == self->file_stat.st_mtim.tv_sec &&
	    now.st_mtim.tv_nsec == self->file_stat.st_mtim.tv_nsec &&
	    now.st_size == self->file_stat.st_size)
		return;
	if (self->file_stat.st_size)
		reload(self);
	self->file_stat = now;
}

static void on_signal(void *ctx, int number)
{
	daemon_t *self = ctx;

	if (number == SIGHUP)
		reload(self);
	else
		begin_drain(self);
}

static void on_resumed(void *ctx, uint64_t suspended_us)
{
	daemon_t *self = ctx;

	timeline_add(self->timeline, "event=woke still_us=%" G_GUINT64_FORMAT, suspended_us);
	if (self->front)
		front_task_refresh(self->front);
}

static bool is_watcher(void *ctx)
{
	return gossip_is_watcher(peer_task_gossip(((daemon_t *)ctx)->peers));
}

static bool start_front(daemon_t *self)
{
	const endpoint_setting_t *store = &self->settings->front_store;

	self->platform = platform_task_new(self->loop, self->replies, store->address, store->port);
	self->front = front_task_new(self->loop, self->settings, self->replies, self->platform);
	if (self->front)
		return true;
	g_warning("event=start-failed reason=listen address=%s port=%u",
		  self->settings->front_callers.address, self->settings->front_callers.port);
	return false;
}

static bool start_tasks(daemon_t *self)
{
	settings_t *settings = self->settings;

	self->platform = platform_task_new(self->loop, self->replies, settings->platform_address,
					   (uint16_t)settings->platform_port);
	self->queries =
		query_task_new(self->loop, settings, self->replies, self->platform, self->timeline);
	self->configs = config_task_new(self->loop, self->platform, self->queries, self->timeline);
	self->peers = peer_task_new(self->loop, settings, self->queries, self->timeline);
	self->source = (status_source_t){.settings = settings,
					 .queries = self->queries,
					 .platform = self->platform,
					 .timeline = self->timeline,
					 .peers = self->peers};
	self->admin = admin_task_new(self->loop, &self->source, self->configs);
	self->callers = caller_task_new(self->loop, settings, self->queries);
	if (!self->admin || !self->callers || !self->peers) {
		g_warning("event=start-failed reason=listen address=%s callers_port=%u "
			  "admin_port=%u peers_port=%u",
			  settings->listen_address, settings->callers_port, settings->admin_port,
			  settings->peers_port);
		return false;
	}
	config_task_set_watcher(self->configs, is_watcher, self);
	config_task_start(self->configs);
	return true;
}

int main(int argc, char **argv)
{
	static const struct argp argp = {options, parse_option,
					 NULL,	  "The dogwoodsaddle daemon: one on each entry VM.",
					 0,	  0,
					 0};
	daemon_t self = {0};

	mallopt(M_MMAP_THRESHOLD, LARGE_BUFFER_BYTES);
	loop_hold_signals();
	self.arguments.config = getenv("DOGWOODSADDLE_CONFIG");
	argp_parse(&argp, argc, argv, 0, NULL, &self.arguments);
	self.settings = read_settings(self.arguments.config);
	if (!self.settings)
		return EXIT_BAD_SETTINGS;
	if (self.arguments.check)
		return 0;
	log_start(self.settings->vm_name, self.settings->log_level);
	self.loop = loop_new();
	self.replies = http_memory_new(settings_replies_bytes(self.settings));
	self.timeline = timeline_new(loop_wall_ms);
	self.timeline->sink = log_event;
	timeline_add(self.timeline, "event=start version=%s data_centre=%s", DS_VERSION,
		     self.settings->data_centre);
	if (!(self.settings->forwarding_mode ? start_front(&self) : start_tasks(&self)))
		return 1;
	self.file_timer = (loop_timer_t){.fire = check_settings_file, .ctx = &self};
	check_settings_file(&self);
	loop_set_iteration_end(self.loop, log_flush, NULL);
	loop_set_resumed(self.loop, on_resumed, &self);
	loop_run(self.loop, on_signal, &self);
	log_flush(NULL);
	return 0;
}
