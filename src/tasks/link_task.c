/**
 * @file link_task.c
 * See link_task.h.
 */
#include "tasks/link_task.h"

#include "headers.h"
#include "net/http_conn.h"

/* A connection takes a round trip (48 ms at most) and a handshake of up to 6 ms, or longer where
 * the searcher is slow; past this nobody is there. Nothing was sent, so the request may go
 * elsewhere. */
#define CONNECT_MOST_US 400000
/* A kept connection that idled for longer may have gone silent: for a second try it is replaced. */
#define TRUSTED_IDLE_US 3000000
/* All connections to a process that ends break at the same moment, give or take a turn of the loop
 * or a lost packet. */
#define BREAK_TOGETHER_US 1000000

typedef struct link_conn_t {
	struct link_t *link;
	http_conn_t *conn;
	subrequest_t *sub; /* NULL when idle */
	char *id;	   /* of the request that is out */
	loop_timer_t connect_timer;
	uint64_t begun_us, used_us;
	bool opened;
	bool answered; /* it has carried a reply */
} link_conn_t;

/* All connections to one searcher. */
typedef struct link_t {
	link_task_t *task;
	searcher_t *searcher;
	GPtrArray *conns; /* link_conn_t, the one used last at the end */
	uint64_t lost_us; /* when one last broke under a sub-request; 0: never, or looked into */
} link_t;

struct link_task_t {
	loop_t *loop;
	const link_task_ops_t *ops;
	void *ctx;
	GString *head;
	link_counters_t counters;
};

link_task_t *link_task_new(loop_t *loop, const link_task_ops_t *ops, void *ctx)
{
	link_task_t *task = g_new0(link_task_t, 1);

	task->loop = loop;
	task->ops = ops;
	task->ctx = ctx;
	task->head = g_string_sized_new(1024);
	return task;
}

const link_counters_t *link_task_counters(const link_task_t *task)
{
	return &task->counters;
}

static link_t *link_of(link_task_t *task, searcher_t *searcher)
{
	link_t *link = searcher->link;

	if (link)
		return link;
	link = g_new0(link_t, 1);
	link->task = task;
	link->searcher = searcher_ref(searcher);
	link->conns = g_ptr_array_new();
	searcher->link = link;
	return link;
}

static void count(link_t *link)
{
	uint32_t idle = 0;

	for (guint i = 0; i < link->conns->len; i++)
		idle += !((link_conn_t *)g_ptr_array_index(link->conns, i))->sub;
	link->searcher->idle = idle;
	link->searcher->connections = link->conns->len;
}

static void free_if_done(link_t *link)
{
	if (link->conns->len || link->searcher->state < SEARCHER_GONE)
		return;
	link->searcher->link = NULL;
	searcher_unref(link->searcher);
	g_ptr_array_unref(link->conns);
	g_free(link);
}

/* The connection itself is closed already, or is closed by the caller. */
static void forget(link_conn_t *conn)
{
	link_t *link = conn->link;

	loop_timer_cancel(&conn->connect_timer);
	g_ptr_array_remove(link->conns, conn);
	g_free(conn->id);
	g_free(conn);
	count(link);
	free_if_done(link);
}

static void end_sub(link_task_t *task, subrequest_t *sub, sub_reply_t *reply)
{
	if (sub)
		task->ops->ended(task->ctx, sub, reply);
	else
		sub_reply_free(reply);
}

static void on_opened(void *ctx)
{
	link_conn_t *conn = ctx;

	link_task_t *task = conn->link->task;

	conn->opened = true;
	loop_timer_cancel(&conn->connect_timer);
	task->ops->listens(task->ctx, conn->link->searcher, conn->begun_us);
}

static void on_replied(void *ctx, const http_message_t *message, bool reusable)
{
	link_conn_t *conn = ctx;
	link_task_t *task = conn->link->task;
	searcher_t *searcher = conn->link->searcher;
	subrequest_t *sub = conn->sub;
	bool foreign = false;
	sub_reply_t *reply = headers_read_reply(message, conn->id, &foreign);

	conn->sub = NULL;
	conn->answered = true;
	conn->used_us = loop_now_us();
	task->counters.foreign += foreign;
	if (reusable && (foreign || searcher->state != SEARCHER_READY)) {
		http_conn_close(conn->conn);
		reusable = false;
	}
	if (reusable)
		count(conn->link);
	else
		forget(conn);
	end_sub(task, sub, reply);
}

/* A searcher that holds as many connections as it takes resets the next at once. */
static void note_broken(link_conn_t *conn, http_conn_close_reason_t end)
{
	link_counters_t *counters = &conn->link->task->counters;
	searcher_t *searcher = conn->link->searcher;

	counters->refused += end == HTTP_CONN_REFUSED || end == HTTP_CONN_CONNECT_FAILED;
	counters->reset += end == HTTP_CONN_RESET;
	counters->garbage += end == HTTP_CONN_PROTOCOL_ERROR;
	if (end == HTTP_CONN_RESET && conn->opened && !conn->answered &&
	    searcher->connections_max > 1)
		searcher->connections_max--;
}

static link_conn_t *open_conn(link_t *link);

/*
 * A connection that breaks under a sub-request may have been reset by itself, or its searcher has
 * ended. When none is left, a new one tells at once: it is refused, or it is there for the next
 * sub-request. Without this the first to know would be the store, some four seconds later.
 */
static void look_for_process(searcher_t *searcher)
{
	link_t *link = searcher->link;

	if (!link || link->conns->len || searcher->state != SEARCHER_READY)
		return;
	if (loop_now_us() < link->lost_us + BREAK_TOGETHER_US)
		open_conn(link);
	link->lost_us = 0;
}

static sub_reply_t *reply_of_end(const link_conn_t *conn, http_conn_close_reason_t end)
{
	sub_reply_t *reply;

	if (end == HTTP_CONN_REFUSED || end == HTTP_CONN_CONNECT_FAILED)
		return sub_reply_new(SUB_NOT_SENT);
	reply = sub_reply_new(SUB_UNKNOWN);
	reply->broken = conn->opened && end != HTTP_CONN_PROTOCOL_ERROR;
	return reply;
}

static void on_ended(void *ctx, http_conn_close_reason_t end)
{
	link_conn_t *conn = ctx;
	link_t *link = conn->link;
	link_task_t *task = link->task;
	searcher_t *searcher = searcher_ref(link->searcher);
	subrequest_t *sub = conn->sub;
	sub_reply_t *reply = sub ? reply_of_end(conn, end) : NULL;

	if (reply && reply->broken)
		link->lost_us = loop_now_us();
	note_broken(conn, end);
	forget(conn);
	if (end == HTTP_CONN_REFUSED)
		task->ops->refused(task->ctx, searcher);
	end_sub(task, sub, reply);
	look_for_process(searcher);
	searcher_unref(searcher);
}

static const http_conn_ops_t conn_ops = {
	.opened = on_opened, .replied = on_replied, .ended = on_ended};

static void connect_timeout(void *ctx)
{
	link_conn_t *conn = ctx;
	link_task_t *task = conn->link->task;
	subrequest_t *sub = conn->sub;

	task->counters.refused++;
	http_conn_close(conn->conn);
	forget(conn);
	end_sub(task, sub, sub_reply_new(SUB_NOT_SENT));
}

static link_conn_t *open_conn(link_t *link)
{
	searcher_t *searcher = link->searcher;
	link_conn_t *conn = g_new0(link_conn_t, 1);

	conn->link = link;
	conn->begun_us = conn->used_us = loop_now_us();
	conn->conn = http_conn_open(link->task->loop, searcher->address, searcher->port, &conn_ops,
				    conn);
	if (!conn->conn) {
		g_free(conn);
		return NULL;
	}
	link->task->counters.opened++;
	conn->connect_timer = (loop_timer_t){.fire = connect_timeout, .ctx = conn};
	loop_timer_set(link->task->loop, &conn->connect_timer, CONNECT_MOST_US);
	g_ptr_array_add(link->conns, conn);
	count(link);
	return conn;
}

static void drop(link_conn_t *conn)
{
	http_conn_close(conn->conn);
	forget(conn);
}

/* The idle one used last; those that the searcher is about to close are closed first. */
static link_conn_t *idle_conn(link_t *link, uint64_t now_us)
{
	for (guint i = link->conns->len; i-- > 0;) {
		link_conn_t *conn = g_ptr_array_index(link->conns, i);

		if (conn->sub)
			continue;
		if (!http_conn_is_stale(conn->conn, now_us))
			return conn;
		drop(conn);
	}
	return NULL;
}

static link_conn_t *pick_conn(link_t *link, subrequest_t *sub)
{
	uint64_t now_us = loop_now_us();
	link_conn_t *conn = idle_conn(link, now_us);

	if (conn && sub->purpose != SUB_FIRST && now_us - conn->used_us > TRUSTED_IDLE_US) {
		drop(conn);
		conn = NULL;
	}
	if (conn)
		return conn;
	sub->opens_connection = true;
	return open_conn(link);
}

static void tell_unsent(void *self, void *message)
{
	link_task_t *task = self;

	end_sub(task, message, sub_reply_new(SUB_NOT_SENT));
}

void link_task_send(link_task_t *task, subrequest_t *sub)
{
	link_t *link = link_of(task, sub->searcher);
	const GString *body = task->ops->body(task->ctx, sub);
	link_conn_t *conn;

	/* Dropping the last connection must not end the link under us. */
	searcher_ref(sub->searcher);
	conn = pick_conn(link, sub);
	searcher_unref(sub->searcher);
	sub->connection = conn;
	if (!conn) {
		g_warning("event=send-failed searcher=%s reason=descriptors", sub->searcher->id);
		loop_post(task->loop, tell_unsent, task, sub);
		return;
	}
	conn->sub = sub;
	g_free(conn->id);
	conn->id = g_strdup(task->ops->id(task->ctx, sub));
	g_ptr_array_remove(link->conns, conn);
	g_ptr_array_add(link->conns, conn);
	count(link);
	g_string_truncate(task->head, 0);
	task->ops->write_head(task->ctx, sub, task->head);
	http_conn_send(conn->conn, task->head->str, task->head->len, body->str, body->len,
		       g_str_has_prefix(task->head->str, "HEAD "));
}

void link_task_cancel(link_task_t *task, subrequest_t *sub)
{
	link_conn_t *conn = sub->connection;

	if (!conn) /* its end is on its way by message */
		return;
	task->counters.cancelled++;
	drop(conn);
}

static void tell_broken(void *self, void *message)
{
	link_task_t *task = self;
	sub_reply_t *reply = sub_reply_new(SUB_UNKNOWN);

	reply->broken = true;
	end_sub(task, message, reply);
}

/*
 * Its process has ended, and its connections may say nothing of that: behind a cut they stay open
 * and silent, and callers would wait to their deadline for an answer that can't come.
 */
static void end_out(link_t *link)
{
	while (link->conns->len) {
		link_conn_t *conn = g_ptr_array_index(link->conns, link->conns->len - 1);
		bool last = link->conns->len == 1;

		if (conn->sub) {
			conn->sub->connection = NULL;
			loop_post(link->task->loop, tell_broken, link->task, conn->sub);
		}
		drop(conn);
		if (last)
			return;
	}
	free_if_done(link);
}

static void close_idle(link_t *link)
{
	g_autoptr(GPtrArray) idle = g_ptr_array_new();

	for (guint i = 0; i < link->conns->len; i++) {
		link_conn_t *conn = g_ptr_array_index(link->conns, i);

		if (!conn->sub)
			g_ptr_array_add(idle, conn);
	}
	if (!link->conns->len)
		free_if_done(link);
	for (guint i = 0; i < idle->len; i++)
		drop(g_ptr_array_index(idle, i));
}

/* The first request should not wait for the handshake. Far searchers are not asked first, and
 * connections kept to them for second tries would crowd out those of VMs that are near. */
void link_task_warm(link_task_t *task, searcher_t *searcher)
{
	if (searcher_is_usable(searcher) && !searcher->connections &&
	    searcher->distance != DISTANCE_FAR)
		open_conn(link_of(task, searcher));
}

void link_task_searcher_changed(link_task_t *task, searcher_t *searcher)
{
	link_t *link = searcher->link;

	if (searcher->state != SEARCHER_READY) {
		if (link && searcher->state == SEARCHER_ENDED)
			end_out(link);
		else if (link)
			close_idle(link);
		return;
	}
	task->ops->room(task->ctx, searcher->service);
}
