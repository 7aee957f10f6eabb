/**
 * @file link_test.c
 * When the ends of sub-requests are reported, over connections on loopback.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "tasks/link_task.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

/* Longer than an end that is due takes to be reported. */
#define RUN_US 20000

/* The tasks around a link task: a sub-request to a searcher that accepts it and sends nothing. */
typedef struct fixture_t {
	loop_t *loop;
	link_task_t *links;
	int listener;
	searcher_t *searcher;
	subrequest_t *sub;
	GString *body;
	uint32_t ended;
	sub_outcome_t outcome;
	bool broken;
} fixture_t;

static void write_head(void *ctx, const subrequest_t *sub, GString *out)
{
	(void)ctx;
	(void)sub;
	g_string_append(out, "GET /q HTTP/1.1\r\nHost: h\r\n\r\n");
}

static const GString *body_of(void *ctx, const subrequest_t *sub)
{
	(void)sub;
	return ((fixture_t *)ctx)->body;
}

static const char *id_of(void *ctx, const subrequest_t *sub)
{
	(void)ctx;
	(void)sub;
	return "1";
}

static void on_ended(void *ctx, subrequest_t *sub, sub_reply_t *reply)
{
	fixture_t *fixture = ctx;

	(void)sub;
	fixture->ended++;
	fixture->outcome = reply->outcome;
	fixture->broken = reply->broken;
	sub_reply_free(reply);
}

static void on_searcher(void *ctx, searcher_t *searcher)
{
	(void)ctx;
	(void)searcher;
}

static void on_connected(void *ctx, searcher_t *searcher, uint64_t since_us)
{
	(void)ctx;
	(void)searcher;
	(void)since_us;
}

static void on_has_capacity(void *ctx, const char *service)
{
	(void)ctx;
	(void)service;
}

static int listen_on_loopback(uint16_t *port)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t size = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_int_equal(bind(fd, (struct sockaddr *)&address, size), 0);
	assert_int_equal(listen(fd, 8), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&address, &size), 0);
	*port = ntohs(address.sin_port);
	return fd;
}

static int set_up(void **state)
{
	static const link_task_ops_t ops = {.write_head = write_head,
					    .body = body_of,
					    .id = id_of,
					    .ended = on_ended,
					    .connection_refused = on_searcher,
					    .connected = on_connected,
					    .has_capacity = on_has_capacity};
	/* A loop and a link task last as long as the process. */
	static fixture_t lasting;
	searcher_entry_t entry = {
		.id = "s", .service = "shard", .address = "127.0.0.1", .data_centre = "here"};
	fixture_t *fixture = &lasting;

	if (!fixture->loop) {
		fixture->loop = loop_new();
		fixture->links = link_task_new(fixture->loop, NULL, &ops, fixture);
	}
	fixture->ended = 0;
	fixture->listener = listen_on_loopback(&entry.port);
	fixture->searcher = searcher_new(&entry, DISTANCE_LOCAL, NULL, loop_now_us());
	fixture->body = g_string_new(NULL);
	fixture->sub = g_new0(subrequest_t, 1);
	fixture->sub->searcher = fixture->searcher;
	*state = fixture;
	return 0;
}

static void end_searcher(const fixture_t *fixture)
{
	fixture->searcher->state = SEARCHER_ENDED;
	link_task_searcher_changed(fixture->links, fixture->searcher);
}

static int tear_down(void **state)
{
	fixture_t *fixture = *state;

	end_searcher(fixture);
	searcher_unref(fixture->searcher);
	close(fixture->listener);
	g_string_free(fixture->body, TRUE);
	g_free(fixture->sub);
	return 0;
}

static void stop(void *ctx)
{
	loop_stop(ctx);
}

static void on_signal(void *ctx, int number)
{
	(void)ctx;
	(void)number;
}

static void run(const fixture_t *fixture)
{
	loop_timer_t timer = {.fire = stop, .ctx = fixture->loop};

	loop_timer_set(fixture->loop, &timer, RUN_US);
	loop_run(fixture->loop, on_signal, NULL);
}

/* Cancels the sub-request and overwrites it, as memory that is used again would be. */
static void cancel(const fixture_t *fixture)
{
	link_task_cancel(fixture->links, fixture->sub);
	memset(fixture->sub, 0, sizeof(*fixture->sub));
}

static void send_without_descriptors(const fixture_t *fixture)
{
	struct rlimit limit, none;

	assert_int_equal(getrlimit(RLIMIT_NOFILE, &limit), 0);
	none = limit;
	none.rlim_cur = 0;
	assert_int_equal(setrlimit(RLIMIT_NOFILE, &none), 0);
	link_task_send(fixture->links, fixture->sub);
	assert_int_equal(setrlimit(RLIMIT_NOFILE, &limit), 0);
}

static void test_lost_with_its_searcher(void **state)
{
	fixture_t *fixture = *state;

	link_task_send(fixture->links, fixture->sub);
	run(fixture);
	end_searcher(fixture);
	assert_int_equal(fixture->ended, 0);
	run(fixture);
	assert_int_equal(fixture->ended, 1);
	assert_int_equal(fixture->outcome, SUB_UNKNOWN);
	assert_true(fixture->broken);
}

/* A cancelled sub-request is reported as lost, in memory that another one uses by then. */
static void test_cancelled_after_its_searcher_ended(void **state)
{
	fixture_t *fixture = *state;

	link_task_send(fixture->links, fixture->sub);
	run(fixture);
	end_searcher(fixture);
	cancel(fixture);
	run(fixture);
	assert_int_equal(fixture->ended, 0);
}

static void test_not_sent_without_descriptors(void **state)
{
	fixture_t *fixture = *state;

	send_without_descriptors(fixture);
	assert_int_equal(fixture->ended, 0);
	run(fixture);
	assert_int_equal(fixture->ended, 1);
	assert_int_equal(fixture->outcome, SUB_NOT_SENT);
}

/* A cancelled sub-request is reported as not sent, in memory that another one uses by then. */
static void test_cancelled_after_it_was_not_sent(void **state)
{
	fixture_t *fixture = *state;

	send_without_descriptors(fixture);
	cancel(fixture);
	run(fixture);
	assert_int_equal(fixture->ended, 0);
}

#define LINK_TEST(test) cmocka_unit_test_setup_teardown(test, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		LINK_TEST(test_lost_with_its_searcher),
		LINK_TEST(test_cancelled_after_its_searcher_ended),
		LINK_TEST(test_not_sent_without_descriptors),
		LINK_TEST(test_cancelled_after_it_was_not_sent),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
