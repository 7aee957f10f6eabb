/**
 * @file loop.c
 * See loop.h.
 */
#include "net/loop.h"

#include <signal.h>
#include <string.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

/* Longer than the clocks are read apart on a busy machine, shorter than anything that matters. */
#define STILL_LEAST_US 300000
/* A timer so late was not held up by load: a processor's quota takes a tenth of a second away,
 * other processes less. */
#define LATE_LEAST_US 600000
/* A wait that ends so soon found its events there already. */
#define AT_ONCE_US 1000

/* Beyond the most descriptors that any VM of the deployments has, 8192. */
#define FD_LIMIT 8192

typedef struct posted_t {
	loop_receive_f receive;
	void *task;
	void *message;
} posted_t;

struct loop_t {
	struct lws_context *context;
	GQueue mailbox;
	timers_t timers;
	fd_watch_t wake;   /* a timerfd */
	uint64_t armed_us; /* when it is set to fire; TIMERS_NEVER when it is not */
	struct lws_protocols protocols[2];
	struct lws_vhost *vhost; /* of all watched descriptors */
	void (*turn_done)(void *ctx);
	void *turn_ctx;
	void (*woke)(void *ctx, uint64_t still_us);
	void *woke_ctx;
	int64_t still_us; /* time that the machine has stood still since it started */
	bool stopping;
	uint64_t wait_us;   /* when it began to wait for events */
	uint64_t woke_us;   /* when the first event after that was told; 0: not yet */
	uint64_t before_us; /* woke_us of the turn before */
};

/* Signal handlers take no context: the flags and the context to wake stand alone here. */
static volatile sig_atomic_t pending_signals[32];
static struct lws_context *volatile wake_context;

static void note_signal(int number)
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

static int on_fd(struct lws *wsi, enum lws_callback_reasons reason, void *user, void *in,
		 size_t len)
{
	fd_watch_t *watch = lws_get_opaque_user_data(wsi);
	loop_t *loop = lws_context_user(lws_get_context(wsi));

	(void)user;
	(void)in;
	(void)len;
	if (!watch)
		return 0;
	if (!loop->woke_us)
		loop->woke_us = loop_now_us();
	switch (reason) {
	case LWS_CALLBACK_RAW_RX_FILE:
		return watch->event(watch, FD_READABLE) ? 0 : -1;
	case LWS_CALLBACK_RAW_WRITEABLE_FILE:
		return watch->event(watch, FD_WRITABLE) ? 0 : -1;
	case LWS_CALLBACK_RAW_CLOSE_FILE:
		lws_set_opaque_user_data(wsi, NULL);
		watch->event(watch, FD_CLOSED);
		return 0;
	default:
		return 0;
	}
}

bool loop_watch(loop_t *loop, fd_watch_t *watch)
{
	lws_sock_file_fd_type fd = {.filefd = watch->fd};

	watch->wsi =
		lws_adopt_descriptor_vhost(loop->vhost, LWS_ADOPT_RAW_FILE_DESC, fd, "fd", NULL);
	if (!watch->wsi)
		return false;
	lws_set_opaque_user_data(watch->wsi, watch);
	return true;
}

void loop_want_write(fd_watch_t *watch)
{
	lws_callback_on_writable(watch->wsi);
}

void loop_unwatch(fd_watch_t *watch)
{
	lws_set_timeout(watch->wsi, PENDING_TIMEOUT_CLOSE_SEND, LWS_TO_KILL_SYNC);
}

static bool on_wake(fd_watch_t *watch, fd_event_t event)
{
	uint64_t expirations;

	if (event == FD_READABLE && read(watch->fd, &expirations, sizeof(expirations)) < 0)
		g_debug("event=timer-read-nothing");
	return true;
}

static void start_watches(loop_t *loop)
{
	struct lws_context_creation_info info = {
		.port = CONTEXT_PORT_NO_LISTEN,
		.protocols = loop->protocols,
		.vhost_name = "descriptors",
	};

	loop->protocols[0] = (struct lws_protocols){.name = "fd", .callback = on_fd};
	loop->vhost = lws_create_vhost(loop->context, &info);
	loop->armed_us = TIMERS_NEVER;
	loop->wake = (fd_watch_t){.fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC),
				  .event = on_wake};
	if (!loop->vhost || loop->wake.fd < 0 || !loop_watch(loop, &loop->wake))
		g_error("event=loop-failed reason=timerfd");
	timers_init(&loop->timers);
}

loop_t *loop_new(void)
{
	struct lws_context_creation_info info = {
		.port = CONTEXT_PORT_NO_LISTEN,
		/* Where IPv6 is not to be had, a context that may use it opens no socket. */
		.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DISABLE_IPV6,
		.fd_limit_per_thread = FD_LIMIT,
		.timeout_secs = 10,
	};
	loop_t *loop = g_new0(loop_t, 1);

	info.user = loop;
	lws_set_log_level(LLL_ERR, log_lws);
	loop->context = lws_create_context(&info);
	if (!loop->context)
		g_error("event=loop-failed reason=context");
	g_queue_init(&loop->mailbox);
	start_watches(loop);
	return loop;
}

struct lws_context *loop_context(loop_t *loop)
{
	return loop->context;
}

void loop_post(loop_t *loop, loop_receive_f receive, void *task, void *message)
{
	posted_t *posted = g_new(posted_t, 1);

	*posted = (posted_t){.receive = receive, .task = task, .message = message};
	g_queue_push_tail(&loop->mailbox, posted);
}

static void loop_deliver(loop_t *loop)
{
	posted_t *posted;

	while ((posted = g_queue_pop_head(&loop->mailbox))) {
		posted->receive(posted->task, posted->message);
		g_free(posted);
	}
}

/*
 * Timers of our own on one timerfd: libwebsockets' timers were seen to fire up to half a second
 * late, when the next event came on some socket. A timer that was cancelled leaves the descriptor
 * armed: one wake-up for nothing costs less than a system call for each request that ends in time.
 */
static void arm_wake(loop_t *loop)
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
	timerfd_settime(loop->wake.fd, 0, &at, NULL);
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

/* Messages may set timers and timers post messages; both are done before the next wait. */
static void loop_turn(loop_t *loop)
{
	loop_deliver(loop);
	timers_run(&loop->timers, loop_now_us());
	loop_deliver(loop);
}

void loop_set_turn(loop_t *loop, void (*done)(void *ctx), void *ctx)
{
	loop->turn_done = done;
	loop->turn_ctx = ctx;
}

/* The two clocks are read one after the other: the difference may go back a little. */
static int64_t still_us(void)
{
	return (int64_t)loop_now_us() - g_get_monotonic_time();
}

void loop_set_woke(loop_t *loop, void (*woke)(void *ctx, uint64_t still_us), void *ctx)
{
	loop->woke = woke;
	loop->woke_ctx = ctx;
	loop->still_us = still_us();
}

/*
 * A machine that stood still goes on as if nothing had happened: it would send work to searchers
 * that left meanwhile. After a suspension one clock has counted that time and the other has not;
 * after any other halt the timer that was armed is late.
 */
static void check_still(loop_t *loop)
{
	int64_t now_still_us = still_us();
	int64_t more_us = now_still_us - loop->still_us;

	uint64_t now_us = loop_now_us();
	bool late = loop->armed_us != TIMERS_NEVER && now_us > loop->armed_us + LATE_LEAST_US;

	loop->still_us = now_still_us;
	if (more_us > STILL_LEAST_US)
		loop->woke(loop->woke_ctx, (uint64_t)more_us);
	else if (late)
		loop->woke(loop->woke_ctx, now_us - loop->armed_us);
}

void loop_run(loop_t *loop, void (*on_signal)(void *ctx, int signal_number), void *ctx)
{
	static const int watched[] = {SIGTERM, SIGINT, SIGHUP};

	wake_context = loop->context;
	signal(SIGPIPE, SIG_IGN);
	for (size_t i = 0; i < G_N_ELEMENTS(watched); i++)
		signal(watched[i], note_signal);

	loop->stopping = false;
	loop_turn(loop);
	while (!loop->stopping) {
		arm_wake(loop);
		loop->before_us = loop->woke_us;
		loop->woke_us = 0;
		loop->wait_us = loop_now_us();
		if (loop->turn_done)
			loop->turn_done(loop->turn_ctx);
		if (lws_service(loop->context, 0) < 0)
			break;
		if (loop->woke)
			check_still(loop);
		for (size_t i = 0; i < G_N_ELEMENTS(watched); i++) {
			if (!pending_signals[watched[i]])
				continue;
			pending_signals[watched[i]] = 0;
			on_signal(ctx, watched[i]);
		}
		loop_turn(loop);
	}
	wake_context = NULL;
}

void loop_stop(loop_t *loop)
{
	loop->stopping = true;
}

/* Events that were there before the wait began came at any time since the turn before began. */
uint64_t loop_arrival_us(const loop_t *loop)
{
	bool at_once = loop->woke_us < loop->wait_us + AT_ONCE_US;

	if (!loop->woke_us) /* from a timer */
		return loop_now_us();
	return at_once && loop->before_us ? loop->before_us : loop->woke_us;
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
