/**
 * @file link_task.c
 * See link_task.h.
 */
#include "tasks/link_task.h"

#include "headers.h"
#include "net/http_conn.h"

/* Connecting takes a network round trip (48 ms at most) and a handshake of up to 6 ms, or longer if
 * the searcher is slow. After this time-out the searcher is taken to be absent. Nothing was sent,
 * so the request may be sent to another searcher. */
#define LINK_CONNECT_TIMEOUT_US 400000
/* A keep-alive connection that was idle for longer may be dead without an error, so anything but a
 * first attempt gets a new connection instead. */
#define RETRY_IDLE_MAX_US 3000000
/* All connections to a process that terminates break within this time of each other: at the same
 * moment, apart from delays by an iteration of the loop or a lost packet. */
#define BREAK_WINDOW_US 1000000

typedef struct link_conn_t {
	struct link_t *link;
	http_conn_t *conn;
	subrequest_t *sub; /* NULL when idle */
	char *id;	   /* of the request in flight */
	loop_timer_t connect_timer;
	uint64_t serial;
	uint64_t begun_us, used_us;
	uint64_t sent_us; /* when it last carried a request; 0: never */
	bool opened;
	bool answered; /* at least one reply came over this connection */
} link_conn_t;

/* All connections to one searcher. */
typedef struct link_t {
	link_task_t *task;
	searcher_t *searcher;
	GPtrArray *conns; /* link_conn_t, the most recently used at the end */
	/* When a connection last broke under a sub-request; 0: never, or checked since. */
	uint64_t last_broken_us;
} link_t;

/* The end of a sub-request that has no connection, to be reported once the caller has returned. */
typedef struct pending_end_t {
	link_task_t *task;
	subrequest_t *sub;
	sub_reply_t *reply;
	loop_timer_t timer;
} pending_end_t;

struct link_task_t {
	loop_t *loop;
	http_memory_t *memory; /* of unfinished replies; NULL: not limited */
	const link_task_ops_t *ops;
	void *ctx;
	GString *head;
	uint64_t last_serial;
	link_counters_t counters;
};

link_task_t *link_task_new(loop_t *loop, http_memory_t *memory, const link_task_ops_t *ops,
			   void *ctx)
{
	link_task_t *task = g_new0(link_task_t, 1);

	task->loop = loop;
	task->memory = memory;
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

static void update_counts(link_t *link)
{
	uint32_t idle = 0;

	for (guint i = 0; i < link->conns->len; i++)
		idle += !((link_conn_t *)g_ptr_array_index(link->conns, i))->sub;
	link->searcher->idle = idle;
	link->searcher->connections = link->conns->len;
}

static void free_link_if_unused(link_t *link)
{
	if (link->conns->len || link->searcher->state < SEARCHER_GONE)
		return;
	link->searcher->link = NULL;
	searcher_unref(link->searcher);
	g_ptr_array_unref(link->conns);
	g_free(link);
}

/* The connection itself is closed already, or the caller closes it. */
static void remove_conn(link_conn_t *conn)
{
	link_t *link = conn->link;

	loop_timer_cancel(&conn->connect_timer);
	g_ptr_array_remove(link->conns, conn);
	g_free(conn->id);
	g_free(conn);
	update_counts(link);
	free_link_if_unused(link);
}

static void finish_subrequest(link_task_t *task, subrequest_t *sub, sub_reply_t *reply)
{
	if (sub)
		task->ops->ended(task->ctx, sub, reply);
	else
		sub_reply_free(reply);
}

/* ---- ends without a connection ---- */

static void report_pending_end(void *ctx)
{
	pending_end_t *end = ctx;
	link_task_t *task = end->task;
	subrequest_t *sub = end->sub;
	sub_reply_t *reply = end->reply;

	sub->pending_end = NULL;
	g_free(end);
	finish_subrequest(task, sub, reply);
}

/* A timer and not loop_post(): the sub-request may be cancelled and freed before it is reported. */
static void report_later(link_task_t *task, subrequest_t *sub, sub_reply_t *reply)
{
	pending_end_t *end = g_new0(pending_end_t, 1);

	end->task = task;
	end->sub = sub;
	end->reply = reply;
	end->timer = (loop_timer_t){.fire = report_pending_end, .ctx = end};
	sub->connection = NULL;
	sub->pending_end = end;
	loop_timer_set(task->loop, &end->timer, 0);
}

static void drop_pending_end(subrequest_t *sub)
{
	pending_end_t *end = sub->pending_end;

	loop_timer_cancel(&end->timer);
	sub_reply_free(end->reply);
	g_free(end);
	sub->pending_end = NULL;
}

/* ---- connections ---- */

static void on_opened(void *ctx)
{
	link_conn_t *conn = ctx;

	link_task_t *task = conn->link->task;

	conn->opened = true;
	loop_timer_cancel(&conn->connect_timer);
	task->ops->connected(task->ctx, conn->link->searcher, conn->begun_us);
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
		update_counts(conn->link);
	else
		remove_conn(conn);
	finish_subrequest(task, sub, reply);
}

static void log_oversized(const link_conn_t *conn)
{
	g_message("event=reply-cut searcher=%s in=%s bytes=%" G_GUINT64_FORMAT,
		  conn->link->searcher->id, http_conn_in_body(conn->conn) ? "body" : "head",
		  http_conn_received_bytes(conn->conn));
}

/* A searcher with its maximum of connections resets the next one at once. */
static void count_connection_end(link_conn_t *conn, http_conn_close_reason_t end)
{
	link_counters_t *counters = &conn->link->task->counters;
	searcher_t *searcher = conn->link->searcher;

	counters->refused += end == HTTP_CONN_REFUSED || end == HTTP_CONN_CONNECT_FAILED;
	counters->reset += end == HTTP_CONN_RESET;
	counters->garbage += end == HTTP_CONN_PROTOCOL_ERROR;
	counters->oversized += end == HTTP_CONN_TOO_LARGE;
	if (end == HTTP_CONN_RESET && conn->opened && !conn->answered &&
	    searcher->connections_max > 1)
		searcher->connections_max--;
}

static link_conn_t *open_conn(link_t *link);

/*
 * If a connection breaks under a sub-request, either only that connection was reset or the searcher
 * has terminated. When no connection is left, opening a new one shows at once which: it is refused,
 * or it is available for the next sub-request. Without this check the VM would learn of a
 * terminated searcher from the store only, some four seconds later.
 */
static void check_process(searcher_t *searcher)
{
	link_t *link = searcher->link;

	if (!link || link->conns->len || searcher->state != SEARCHER_READY)
		return;
	if (loop_now_us() < link->last_broken_us + BREAK_WINDOW_US)
		open_conn(link);
	link->last_broken_us = 0;
}

static sub_reply_t *reply_of_close(const link_conn_t *conn, http_conn_close_reason_t end)
{
	sub_reply_t *reply;

	if (end == HTTP_CONN_REFUSED || end == HTTP_CONN_CONNECT_FAILED)
		return sub_reply_new(SUB_NOT_SENT);
	reply = sub_reply_new(SUB_UNKNOWN);
	reply->broken =
		conn->opened && end != HTTP_CONN_PROTOCOL_ERROR && end != HTTP_CONN_TOO_LARGE;
	return reply;
}

static void on_ended(void *ctx, http_conn_close_reason_t end)
{
	link_conn_t *conn = ctx;
	link_t *link = conn->link;
	link_task_t *task = link->task;
	searcher_t *searcher = searcher_ref(link->searcher);
	subrequest_t *sub = conn->sub;
	sub_reply_t *reply = sub ? reply_of_close(conn, end) : NULL;

	if (reply && reply->broken)
		link->last_broken_us = loop_now_us();
	count_connection_end(conn, end);
	if (end == HTTP_CONN_TOO_LARGE)
		log_oversized(conn);
	remove_conn(conn);
	if (end == HTTP_CONN_REFUSED)
		task->ops->connection_refused(task->ctx, searcher);
	finish_subrequest(task, sub, reply);
	check_process(searcher);
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
	remove_conn(conn);
	finish_subrequest(task, sub, sub_reply_new(SUB_NOT_SENT));
}

static link_conn_t *open_conn(link_t *link)
{
	searcher_t *searcher = link->searcher;
	link_conn_t *conn = g_new0(link_conn_t, 1);

	conn->link = link;
	conn->serial = ++link->task->last_serial;
	conn->begun_us = conn->used_us = loop_now_us();
	conn->conn = http_conn_open(link->task->loop, link->task->memory, searcher->address,
				    searcher->port, &conn_ops, conn);
	if (!conn->conn) {
		g_free(conn);
		return NULL;
	}
	link->task->counters.opened++;
	conn->connect_timer = (loop_timer_t){.fire = connect_timeout, .ctx = conn};
	loop_timer_set(link->task->loop, &conn->connect_timer, LINK_CONNECT_TIMEOUT_US);
	g_ptr_array_add(link->conns, conn);
	update_counts(link);
	return conn;
}

static void close_conn(link_conn_t *conn)
{
	http_conn_close(conn->conn);
	remove_conn(conn);
}

/* The most recently used idle connection that has carried no request since @p unused_since_us. Idle
 * connections found on the way that the searcher is about to close are closed. */
static link_conn_t *idle_conn(link_t *link, uint64_t unused_since_us, uint64_t now_us)
{
	for (guint i = link->conns->len; i-- > 0;) {
		link_conn_t *conn = g_ptr_array_index(link->conns, i);

		if (conn->sub)
			continue;
		if (http_conn_is_stale(conn->conn, now_us))
			close_conn(conn);
		else if (conn->sent_us < unused_since_us)
			return conn;
	}
	return NULL;
}

/*
 * A reply is matched to its request by the connection and the request's id. A searcher may send a
 * second copy of a reply later, so a connection must not carry the same id twice: a late copy of
 * the refusal would count as the reply to the request that was sent again, and runs.
 */
static link_conn_t *idle_conn_for(link_t *link, const subrequest_t *sub, uint64_t now_us)
{
	link_conn_t *conn;

	if (!sub->resent)
		return idle_conn(link, UINT64_MAX, now_us);
	conn = idle_conn(link, sub->forward->request.received_us, now_us);
	if (conn)
		return conn;
	/* The new connection takes the place of an idle one: their number is limited. */
	conn = idle_conn(link, UINT64_MAX, now_us);
	if (conn)
		close_conn(conn);
	return NULL;
}

static link_conn_t *pick_conn(link_t *link, subrequest_t *sub)
{
	uint64_t now_us = loop_now_us();
	link_conn_t *conn = idle_conn_for(link, sub, now_us);

	if (conn && sub->purpose != SUB_FIRST && now_us - conn->used_us > RETRY_IDLE_MAX_US) {
		close_conn(conn);
		conn = NULL;
	}
	if (conn)
		return conn;
	sub->opens_connection = true;
	return open_conn(link);
}

/* ---- sub-requests ---- */

void link_task_send(link_task_t *task, subrequest_t *sub)
{
	link_t *link = link_of(task, sub->searcher);
	const GString *body = task->ops->body(task->ctx, sub);
	link_conn_t *conn;

	/* If pick_conn() closes the last connection, the link must not be freed with it. */
	searcher_ref(sub->searcher);
	conn = pick_conn(link, sub);
	searcher_unref(sub->searcher);
	if (!conn) {
		g_warning("event=send-failed searcher=%s reason=descriptors", sub->searcher->id);
		report_later(task, sub, sub_reply_new(SUB_NOT_SENT));
		return;
	}
	sub->connection = conn;
	conn->sub = sub;
	conn->sent_us = loop_now_us();
	sub->connection_serial = conn->serial;
	g_free(conn->id);
	conn->id = g_strdup(task->ops->id(task->ctx, sub));
	g_ptr_array_remove(link->conns, conn);
	g_ptr_array_add(link->conns, conn);
	update_counts(link);
	g_string_truncate(task->head, 0);
	task->ops->write_head(task->ctx, sub, task->head);
	http_conn_send(conn->conn, task->head->str, task->head->len, body->str, body->len,
		       g_str_has_prefix(task->head->str, "HEAD "));
}

void link_task_cancel(link_task_t *task, subrequest_t *sub)
{
	if (sub->pending_end) {
		drop_pending_end(sub);
		return;
	}
	task->counters.cancelled++;
	close_conn(sub->connection);
}

/* ---- changes of searchers ---- */

static sub_reply_t *connection_lost_reply(void)
{
	sub_reply_t *reply = sub_reply_new(SUB_UNKNOWN);

	reply->broken = true;
	return reply;
}

/*
 * The searcher's process has terminated, but its connections may not show that: behind a network
 * partition they stay open and deliver nothing, and callers would wait until their deadline for an
 * answer that can't come.
 */
static void abort_outstanding(const searcher_t *searcher)
{
	link_t *link = searcher->link;
	guint left = link->conns->len;
	uint32_t lost = 0;

	if (!left)
		free_link_if_unused(link);
	/* Closing the last connection frees the link. */
	while (left--) {
		link_conn_t *conn = g_ptr_array_index(link->conns, left);

		if (conn->sub) {
			lost++;
			report_later(link->task, conn->sub, connection_lost_reply());
		}
		close_conn(conn);
	}
	if (lost)
		g_message("event=sub-requests-lost searcher=%s reason=ended count=%u", searcher->id,
			  lost);
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
		free_link_if_unused(link);
	for (guint i = 0; i < idle->len; i++)
		close_conn(g_ptr_array_index(idle, i));
}

/* Spares the first request the handshake. */
void link_task_warm(link_task_t *task, searcher_t *searcher)
{
	searcher->was_warmed = true;
	open_conn(link_of(task, searcher));
}

void link_task_searcher_changed(link_task_t *task, searcher_t *searcher)
{
	link_t *link = searcher->link;

	if (searcher->state != SEARCHER_READY) {
		if (link && searcher->state == SEARCHER_ENDED)
			abort_outstanding(searcher);
		else if (link)
			close_idle(link);
		return;
	}
	task->ops->has_capacity(task->ctx, searcher->service);
}
