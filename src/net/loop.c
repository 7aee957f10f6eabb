/**
 * @file loop.c
 * See loop.h.
 */
#include "net/loop.h"

#include <signal.h>
#include <string.h>
#include <sys/timerfd.h>
#include <unistd.h>

#define SERVICE_BUFFER_BYTES (256u << 10)

typedef struct posted_t {
	loop_receive_f receive;
	void *task;
	void *message;
} posted_t;

struct loop_t {
	struct lws_context *context;
	GQueue mailbox;
	timers_t timers;
	int wake_fd;	   /* a timerfd, polled by libwebsockets */
	uint64_t armed_us; /* when it is set to fire */
	struct lws_protocols protocols[2];
	bool stopping;
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

static int on_wake(struct lws *wsi, enum lws_callback_reasons reason, void *user, void *in,
		   size_t len)
{
	uint64_t expirations;

	(void)wsi;
	(void)user;
	(void)in;
	(void)len;
	if (reason == LWS_CALLBACK_RAW_RX_FILE &&
	    read((int)lws_get_socket_fd(wsi), &expirations, sizeof(expirations)) < 0)
		g_debug("event=timer-read-nothing");
	return 0;
}

static void start_timers(loop_t *loop)
{
	struct lws_context_creation_info info = {
		.port = CONTEXT_PORT_NO_LISTEN,
		.protocols = loop->protocols,
		.vhost_name = "timers",
	};
	struct lws_vhost *vhost;
	lws_sock_file_fd_type fd;

	loop->protocols[0] = (struct lws_protocols){.name = "timers", .callback = on_wake};
	vhost = lws_create_vhost(loop->context, &info);
	loop->armed_us = TIMERS_NEVER;
	loop->wake_fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	fd.filefd = loop->wake_fd;
	if (!vhost || loop->wake_fd < 0 ||
	    !lws_adopt_descriptor_vhost(vhost, LWS_ADOPT_RAW_FILE_DESC, fd, "timers", NULL))
		g_error("event=loop-failed reason=timerfd");
	timers_init(&loop->timers);
}

loop_t *loop_new(void)
{
	struct lws_context_creation_info info = {
		.port = CONTEXT_PORT_NO_LISTEN,
		.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS,
		.fd_limit_per_thread = 4096,
		/* A reply longer than this buffer was seen to wait for the next event on another
		   socket. */
		.pt_serv_buf_size = SERVICE_BUFFER_BYTES,
		.max_http_header_pool = 2048,
		.max_http_header_data = 4096,
		.timeout_secs = 10,
	};
	loop_t *loop = g_new0(loop_t, 1);

	lws_set_log_level(LLL_ERR, log_lws);
	loop->context = lws_create_context(&info);
	if (!loop->context)
		g_error("event=loop-failed reason=context");
	g_queue_init(&loop->mailbox);
	start_timers(loop);
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
 * late, when the next event came on some socket.
 */
static void arm_wake(loop_t *loop)
{
	uint64_t next_us = timers_next_us(&loop->timers), now_us = loop_now_us();
	uint64_t delay_us = next_us > now_us ? next_us - now_us : 1;
	struct itimerspec at = {0};

	if (next_us == loop->armed_us)
		return;
	loop->armed_us = next_us;
	if (next_us != TIMERS_NEVER) {
		at.it_value.tv_sec = (time_t)(delay_us / 1000000);
		at.it_value.tv_nsec = (long)(delay_us % 1000000 * 1000);
	}
	timerfd_settime(loop->wake_fd, 0, &at, NULL);
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
		if (lws_service(loop->context, 0) < 0)
			break;
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

uint64_t loop_now_us(void)
{
	return (uint64_t)g_get_monotonic_time();
}

uint64_t loop_wall_ms(void)
{
	return (uint64_t)g_get_real_time() / 1000;
}
