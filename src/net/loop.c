/**
 * @file loop.c
 * See loop.h.
 */
#include "net/loop.h"

#include <signal.h>
#include <string.h>

typedef struct posted_t {
	loop_receive_f receive;
	void *task;
	void *message;
} posted_t;

struct loop_t {
	struct lws_context *context;
	GQueue mailbox;
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

loop_t *loop_new(void)
{
	struct lws_context_creation_info info = {
		.port = CONTEXT_PORT_NO_LISTEN,
		.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS,
		.fd_limit_per_thread = 4096,
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
	return loop;
}

void loop_free(loop_t *loop)
{
	lws_context_destroy(loop->context);
	g_queue_clear_full(&loop->mailbox, g_free);
	g_free(loop);
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

static void timer_fired(lws_sorted_usec_list_t *sul)
{
	loop_timer_t *timer = lws_container_of(sul, loop_timer_t, sul);

	timer->fire(timer->ctx);
}

void loop_timer_set(loop_t *loop, loop_timer_t *timer, uint64_t delay_us)
{
	lws_sul_schedule(loop->context, 0, &timer->sul, timer_fired, (lws_usec_t)MAX(delay_us, 1));
}

void loop_timer_cancel(loop_timer_t *timer)
{
	lws_sul_cancel(&timer->sul);
}

void loop_run(loop_t *loop, void (*on_signal)(void *ctx, int signal_number), void *ctx)
{
	static const int watched[] = {SIGTERM, SIGINT, SIGHUP};

	wake_context = loop->context;
	signal(SIGPIPE, SIG_IGN);
	for (size_t i = 0; i < G_N_ELEMENTS(watched); i++)
		signal(watched[i], note_signal);

	loop->stopping = false;
	loop_deliver(loop);
	while (!loop->stopping) {
		if (lws_service(loop->context, 0) < 0)
			break;
		for (size_t i = 0; i < G_N_ELEMENTS(watched); i++) {
			if (!pending_signals[watched[i]])
				continue;
			pending_signals[watched[i]] = 0;
			on_signal(ctx, watched[i]);
		}
		loop_deliver(loop);
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
