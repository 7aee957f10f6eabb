/**
 * @file loop.c
 * See loop.h.
 */
#include "net/loop.h"

#include <signal.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

/* Shortest suspension reported: longer than the time between the two clock readings on a busy
 * machine, shorter than any suspension that matters. */
#define SUSPENDED_MIN_US 300000
/* A timer later than this was not delayed by load: a CPU quota delays it by a tenth of a second,
 * other processes by less. */
#define TIMER_LATE_MIN_US 600000
/* A wait that ends within this time found its events already pending. */
#define IMMEDIATE_WAIT_US 1000

/* Limit on the descriptors that libwebsockets polls itself: those of peers, and the epoll
 * descriptor that covers all others. */
#define LWS_FD_LIMIT 1024
/* Descriptors reported in one iteration; the others follow in the next one, after timers and
 * messages. */
#define READY_EVENTS_MAX 256

typedef struct posted_message_t {
	loop_receive_f receive;
	void *task;
	void *message;
} posted_message_t;

struct loop_t {
	struct lws_context *context;
	GQueue messages; /* of posted_message_t */
	timers_t timers;
	fd_watch_t timerfd;
	uint64_t armed_us; /* expiry of the timerfd; TIMERS_NEVER when it is not armed */
	struct lws_protocols protocols[2];
	int epoll_fd; /* polls all watched descriptors */
	struct epoll_event ready[READY_EVENTS_MAX];
	int ready_count; /* entries of `ready` being reported */
	void (*iteration_end)(void *ctx);
	void *iteration_end_ctx;
	void (*resumed)(void *ctx, uint64_t suspended_us);
	void *resumed_ctx;
	int64_t suspended_us; /* total time that the machine was suspended since it booted */
	bool stopping;
	uint64_t wait_start_us;	 /* when the loop began to wait for events */
	uint64_t first_event_us; /* time of the first event report after that; 0: none yet */
	uint64_t previous_first_event_us; /* first_event_us of the previous iteration */
};

/* Signal handlers get no context argument, so the flags and the context to wake are globals. */
static const int handled_signals[] = {SIGTERM, SIGINT, SIGHUP};
static volatile sig_atomic_t pending_signals[32];
static struct lws_context *volatile wake_context;

static void record_signal(int number)
{
	pending_signals[number] = 1;
	if (wake_context)
		lws_cancel_service(wake_context);
}

static void log_lws(int level, const char *line)
{
	g_log("lws", level & LLL_ERR ? G_LOG_LEVEL_WARNING : G_LOG_LEVEL_DEBUG,
	      "event=lws text=\"%.*s\"", (int)strcspn(line, "\n"), line);
}

/* ---- descriptors ---- */

/*
 * One epoll descriptor polls all watched descriptors, and libwebsockets polls only the epoll
 * descriptor. libwebsockets' own poll checks every descriptor at every wake-up, and a VM that
 * gathers for others has at least one connection to each of several hundred searchers.
 */

static bool set_events(const fd_watch_t *watch, int operation)
{
	uint32_t reads = watch->reads_paused ? EPOLLRDHUP : EPOLLIN;
	struct epoll_event event = {.events = reads | (watch->wants_write ? EPOLLOUT : 0),
				    .data.ptr = (void *)watch};

	return epoll_ctl(watch->loop->epoll_fd, operation, watch->fd, &event) == 0;
}

bool loop_watch(loop_t *loop, fd_watch_t *watch)
{
	watch->loop = loop;
	if (set_events(watch, EPOLL_CTL_ADD))
		return true;
	close(watch->fd);
	return false;
}

void loop_want_write(fd_watch_t *watch)
{
	if (watch->wants_write)
		return;
	watch->wants_write = true;
	set_events(watch, EPOLL_CTL_MOD);
}

void loop_pause_reads(fd_watch_t *watch, bool paused)
{
	if (watch->reads_paused == paused)
		return;
	watch->reads_paused = paused;
	set_events(watch, EPOLL_CTL_MOD);
}

/* Discards the watch's other events from the same epoll_wait(): they must not reach it any more. */
void loop_unwatch(fd_watch_t *watch)
{
	loop_t *loop = watch->loop;
	int fd = watch->fd;

	for (int i = 0; i < loop->ready_count; i++)
		if (loop->ready[i].data.ptr == watch)
			loop->ready[i].data.ptr = NULL;
	watch->event(watch, FD_CLOSED);
	close(fd);
}

static bool report_writable(fd_watch_t *watch)
{
	watch->wants_write = false;
	set_events(watch, EPOLL_CTL_MOD);
	return watch->event(watch, FD_WRITABLE);
}

/* A connection that failed while connecting is reported as writable, any other failed connection as
 * readable: the next system call on it returns the error. */
static void report_ready(fd_watch_t *watch, uint32_t events)
{
	bool failed = events & (EPOLLERR | EPOLLHUP);
	bool writable = watch->wants_write && (failed || (events & EPOLLOUT));
	bool arrived = (events & EPOLLIN) && !watch->reads_paused;
	bool readable = arrived || (events & EPOLLRDHUP) || (failed && !writable);
	bool keep = true;

	if (readable)
		keep = watch->event(watch, FD_READABLE);
	if (keep && writable)
		keep = report_writable(watch);
	if (!keep)
		loop_unwatch(watch);
}

static void report_all_ready(loop_t *loop)
{
	if (!loop->first_event_us)
		loop->first_event_us = loop_now_us();
	loop->ready_count = epoll_wait(loop->epoll_fd, loop->ready, READY_EVENTS_MAX, 0);
	for (int i = 0; i < loop->ready_count; i++)
		if (loop->ready[i].data.ptr)
			report_ready(loop->ready[i].data.ptr, loop->ready[i].events);
	loop->ready_count = 0;
}

static int on_epoll(struct lws *wsi, enum lws_callback_reasons reason, void *user, void *in,
		    size_t len)
{
	(void)user;
	(void)in;
	(void)len;
	if (reason == LWS_CALLBACK_RAW_RX_FILE)
		report_all_ready(lws_context_user(lws_get_context(wsi)));
	return 0;
}

static bool on_timerfd(fd_watch_t *watch, fd_event_t event)
{
	uint64_t expirations;

	if (event == FD_READABLE && read(watch->fd, &expirations, sizeof(expirations)) < 0)
		g_debug("event=timer-read-nothing");
	return true;
}

static void start_epoll(loop_t *loop)
{
	struct lws_context_creation_info info = {
		.port = CONTEXT_PORT_NO_LISTEN,
		.protocols = loop->protocols,
		.vhost_name = "descriptors",
	};
	lws_sock_file_fd_type fd;
	struct lws_vhost *vhost;

	loop->protocols[0] = (struct lws_protocols){.name = "epoll", .callback = on_epoll};
	vhost = lws_create_vhost(loop->context, &info);
	loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	fd.filefd = loop->epoll_fd;
	if (!vhost || loop->epoll_fd < 0 ||
	    !lws_adopt_descriptor_vhost(vhost, LWS_ADOPT_RAW_FILE_DESC, fd, "epoll", NULL))
		g_error("event=loop-failed reason=epoll");
}

static void start_timers(loop_t *loop)
{
	loop->armed_us = TIMERS_NEVER;
	loop->timerfd =
		(fd_watch_t){.fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC),
			     .event = on_timerfd};
	if (loop->timerfd.fd < 0 || !loop_watch(loop, &loop->timerfd))
		g_error("event=loop-failed reason=timerfd");
	timers_init(&loop->timers);
}

loop_t *loop_new(void)
{
	struct lws_context_creation_info info = {
		.port = CONTEXT_PORT_NO_LISTEN,
		/* With IPv6 enabled, a context opens no socket on a machine without IPv6. */
		.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DISABLE_IPV6,
		.fd_limit_per_thread = LWS_FD_LIMIT,
		.timeout_secs = 10,
	};
	loop_t *loop = g_new0(loop_t, 1);

	info.user = loop;
	lws_set_log_level(LLL_ERR, log_lws);
	loop->context = lws_create_context(&info);
	if (!loop->context)
		g_error("event=loop-failed reason=context");
	g_queue_init(&loop->messages);
	start_epoll(loop);
	start_timers(loop);
	return loop;
}

struct lws_context *loop_context(loop_t *loop)
{
	return loop->context;
}

void loop_post(loop_t *loop, loop_receive_f receive, void *task, void *message)
{
	posted_message_t *posted = g_new(posted_message_t, 1);

	*posted = (posted_message_t){.receive = receive, .task = task, .message = message};
	g_queue_push_tail(&loop->messages, posted);
}

static void loop_deliver(loop_t *loop)
{
	posted_message_t *posted;

	while ((posted = g_queue_pop_head(&loop->messages))) {
		posted->receive(posted->task, posted->message);
		g_free(posted);
	}
}

/*
 * All timers share one timerfd. libwebsockets' own timers can fire up to half a second late, when
 * the next event occurs on some socket. Cancelling a timer leaves the timerfd armed: one unneeded
 * wake-up costs less than a system call for each request that ends in time.
 */
static void arm_timerfd(loop_t *loop)
{
	uint64_t next_us = timers_next_us(&loop->timers), now_us = loop_now_us();
	uint64_t delay_us = next_us > now_us ? next_us - now_us : 1;
	struct itimerspec at = {0};

	if (loop->armed_us <= now_us)
		loop->armed_us = TIMERS_NEVER;
	if (next_us >= loop->armed_us)
		return;
	loop->armed_us = next_us;
	at.it_value.tv_sec = (time_t)(delay_us / 1000000);
	at.it_value.tv_nsec = (long)(delay_us % 1000000 * 1000);
	timerfd_settime(loop->timerfd.fd, 0, &at, NULL);
}

static void timer_fired(void *ctx, uint64_t now_us)
{
	loop_timer_t *timer = ctx;

	(void)now_us;
	timer->fire(timer->ctx);
}

void loop_timer_set(loop_t *loop, loop_timer_t *timer, uint64_t delay_us)
{
	timer->loop = loop;
	timer->entry.fire = timer_fired;
	timer->entry.ctx = timer;
	timers_set(&loop->timers, &timer->entry, loop_now_us() + delay_us);
}

void loop_timer_cancel(loop_timer_t *timer)
{
	if (timer->loop)
		timers_cancel(&timer->loop->timers, &timer->entry);
}

/* Messages may set timers and timers may post messages; both are processed before the next wait. */
static void run_messages_and_timers(loop_t *loop)
{
	loop_deliver(loop);
	timers_run(&loop->timers, loop_now_us());
	loop_deliver(loop);
}

void loop_set_iteration_end(loop_t *loop, void (*iteration_end)(void *ctx), void *ctx)
{
	loop->iteration_end = iteration_end;
	loop->iteration_end_ctx = ctx;
}

/* The two clocks are read one after the other, so the difference may decrease slightly. */
static int64_t total_suspended_us(void)
{
	return (int64_t)loop_now_us() - g_get_monotonic_time();
}

void loop_set_resumed(loop_t *loop, void (*resumed)(void *ctx, uint64_t suspended_us), void *ctx)
{
	loop->resumed = resumed;
	loop->resumed_ctx = ctx;
	loop->suspended_us = total_suspended_us();
}

/*
 * After a halt of the machine the process continues as if nothing had happened: it would send work
 * to searchers that left in the meantime. CLOCK_BOOTTIME counts the time of a suspension and
 * CLOCK_MONOTONIC does not; after any other halt the armed timer is late.
 */
static void check_suspension(loop_t *loop)
{
	int64_t total_us = total_suspended_us();
	int64_t added_us = total_us - loop->suspended_us;

	uint64_t now_us = loop_now_us();
	bool late = loop->armed_us != TIMERS_NEVER && now_us > loop->armed_us + TIMER_LATE_MIN_US;

	loop->suspended_us = total_us;
	if (added_us > SUSPENDED_MIN_US)
		loop->resumed(loop->resumed_ctx, (uint64_t)added_us);
	else if (late)
		loop->resumed(loop->resumed_ctx, now_us - loop->armed_us);
}

void loop_hold_signals(void)
{
	signal(SIGPIPE, SIG_IGN);
	for (size_t i = 0; i < G_N_ELEMENTS(handled_signals); i++)
		signal(handled_signals[i], record_signal);
}

static void deliver_signals(void (*on_signal)(void *ctx, int signal_number), void *ctx)
{
	for (size_t i = 0; i < G_N_ELEMENTS(handled_signals); i++) {
		int number = handled_signals[i];

		if (!pending_signals[number])
			continue;
		pending_signals[number] = 0;
		on_signal(ctx, number);
	}
}

void loop_run(loop_t *loop, void (*on_signal)(void *ctx, int signal_number), void *ctx)
{
	wake_context = loop->context;
	loop_hold_signals();
	loop->stopping = false;
	deliver_signals(on_signal, ctx);
	run_messages_and_timers(loop);
	while (!loop->stopping) {
		arm_timerfd(loop);
		loop->previous_first_event_us = loop->first_event_us;
		loop->first_event_us = 0;
		loop->wait_start_us = loop_now_us();
		if (loop->iteration_end)
			loop->iteration_end(loop->iteration_end_ctx);
		if (lws_service(loop->context, 0) < 0)
			break;
		if (loop->resumed)
			check_suspension(loop);
		deliver_signals(on_signal, ctx);
		run_messages_and_timers(loop);
	}
	wake_context = NULL;
}

void loop_stop(loop_t *loop)
{
	loop->stopping = true;
}

/* Events that were pending before the wait began may have arrived at any time since the previous
 * iteration began. */
uint64_t loop_arrival_us(const loop_t *loop)
{
	bool pending = loop->first_event_us < loop->wait_start_us + IMMEDIATE_WAIT_US;

	if (!loop->first_event_us) /* called from a timer */
		return loop_now_us();
	return pending && loop->previous_first_event_us ? loop->previous_first_event_us
							: loop->first_event_us;
}

uint64_t loop_now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

uint64_t loop_wall_ms(void)
{
	return (uint64_t)g_get_real_time() / 1000;
}
