/**
 * @file hop_server.c
 * See hop_server.h.
 */
#include "tasks/hop_server.h"

#include "net/sock.h"

/* Limit on open requests of one VM. A VM that hands over more than this is served by several
 * gatherers, and the memory that one peer can use stays bounded. */
#define MAX_OPEN_JOBS 256

struct hop_server_t {
	loop_t *loop;
	const hop_server_ops_t *ops;
	void *ctx;
	GPtrArray *conns;   /* hop_conn_t */
	GPtrArray *pending; /* hop_job_t read in this iteration, not yet accepted or rejected */
	GByteArray *frame;
	uint32_t open;
	uint64_t last_us;
	bool draining;
};

typedef struct hop_conn_t {
	hop_server_t *server;
	sock_t *sock;
	framing_reader_t *reader;
	GHashTable *jobs; /* serial to hop_job_t, pending ones included */
} hop_conn_t;

static void write_to(const hop_conn_t *conn, const hop_message_t *message)
{
	GByteArray *frame = conn->server->frame;

	g_byte_array_set_size(frame, 0);
	hop_message_write(frame, message);
	sock_write(conn->sock, frame->data, frame->len);
}

/* ---- jobs ---- */

static char *text_of(hop_bytes_t bytes)
{
	return g_strndup(bytes.data ? bytes.data : "", bytes.bytes);
}

static hop_job_t *job_new(hop_conn_t *conn, const hop_message_t *message)
{
	const hop_request_t *request = &message->request;
	hop_job_t *job = g_new0(hop_job_t, 1);

	job->conn = conn;
	job->serial = message->serial;
	job->version = request->version;
	job->arrived_us = loop_arrival_us(conn->server->loop);
	job->received_us = job->arrived_us - MIN(request->elapsed_us, job->arrived_us);
	job->patience_us = request->patience_us;
	job->is_resend = request->retried;
	job->id = request->id.bytes ? text_of(request->id) : NULL;
	job->host = text_of(request->host);
	job->target = text_of(request->target);
	job->key = request->key.bytes ? text_of(request->key) : NULL;
	job->head = g_string_new_len(request->head.data, (gssize)request->head.bytes);
	job->body = g_string_new_len(request->body.data, (gssize)request->body.bytes);
	g_hash_table_insert(conn->jobs, &job->serial, job);
	return job;
}

static void job_free(hop_job_t *job)
{
	g_hash_table_remove(job->conn->jobs, &job->serial);
	g_free(job->id);
	g_free(job->host);
	g_free(job->target);
	g_free(job->key);
	g_string_free(job->head, TRUE);
	g_string_free(job->body, TRUE);
	g_free(job);
}

static void reject_job(hop_job_t *job, hop_reason_t reason)
{
	const hop_message_t message = {
		.type = HOP_REJECTED, .serial = job->serial, .reason = reason};

	g_info("event=not-taken request=%s reason=%s", job->id ? job->id : "",
	       hop_reason_name(reason));
	write_to(job->conn, &message);
	job_free(job);
}

/* The confirmation is written before any sub-request is sent. So a taker that has received no
 * confirmation knows that hardly any searcher can have run the request. */
static void process_job(hop_job_t *job)
{
	hop_server_t *server = job->conn->server;
	hop_reason_t reason = HOP_NOT_READY;

	if (g_hash_table_size(job->conn->jobs) > MAX_OPEN_JOBS) {
		reject_job(job, HOP_BUSY);
		return;
	}
	if (!server->ops->accepts(server->ctx, job, &reason)) {
		reject_job(job, reason);
		return;
	}
	write_to(job->conn, &(hop_message_t){.type = HOP_ACCEPTED,
					     .serial = job->serial,
					     .version = server->ops->version(server->ctx)});
	server->open++;
	server->ops->gather(server->ctx, job);
}

/* Runs one loop iteration after the jobs were received, so that a job whose cancellation directly
 * follows it is never begun. */
static void process_pending(void *self, void *message)
{
	hop_server_t *server = self;

	(void)message;
	while (server->pending->len)
		process_job(g_ptr_array_steal_index(server->pending, 0));
}

static void cancel_job(hop_job_t *job)
{
	hop_server_t *server = job->conn->server;

	if (!g_ptr_array_remove(server->pending, job)) {
		server->open--;
		server->ops->abandoned(server->ctx, job);
	}
	job_free(job);
}

static void receive_request(hop_conn_t *conn, const hop_message_t *message)
{
	hop_server_t *server = conn->server;

	server->last_us = loop_now_us();
	if (g_hash_table_contains(conn->jobs, &message->serial)) {
		g_warning("event=handover-ignored serial=%" G_GUINT64_FORMAT " reason=in-use",
			  message->serial);
		return;
	}
	if (!server->pending->len)
		loop_post(server->loop, process_pending, server, NULL);
	g_ptr_array_add(server->pending, job_new(conn, message));
}

static void on_message(void *ctx, const hop_message_t *message)
{
	hop_conn_t *conn = ctx;
	hop_server_t *server = conn->server;
	hop_job_t *job = g_hash_table_lookup(conn->jobs, &message->serial);
	hop_message_t reply;

	switch (message->type) {
	case HOP_PING:
		write_to(conn, &(hop_message_t){.type = HOP_PONG});
		if (server->draining)
			write_to(conn, &(hop_message_t){.type = HOP_LEAVING});
		return;
	case HOP_REQUEST:
		receive_request(conn, message);
		return;
	case HOP_CANCEL:
		if (job)
			cancel_job(job);
		return;
	case HOP_GRANT:
		if (job && !g_ptr_array_find(server->pending, job, NULL))
			server->ops->grant(server->ctx, job, message->more_attempts);
		return;
	case HOP_QUOTA_SHARE:
	case HOP_QUOTA_ASK:
	case HOP_QUOTA_RETURN:
		if (server->ops->quota(server->ctx, message, &reply))
			write_to(conn, &reply);
		return;
	default:
		g_info("event=handover-ignored type=%d reason=not-for-gatherers", message->type);
	}
}

/* ---- connections ---- */

static void conn_free(hop_conn_t *conn)
{
	g_autoptr(GList) jobs = g_hash_table_get_values(conn->jobs);

	for (GList *item = jobs; item; item = item->next)
		cancel_job(item->data);
	g_ptr_array_remove_fast(conn->server->conns, conn);
	g_hash_table_unref(conn->jobs);
	framing_reader_free(conn->reader);
	g_free(conn);
}

static framing_result_t read_message(void *ctx, const uint8_t *data, size_t bytes, size_t *used)
{
	return hop_message_read(data, bytes, used, on_message, ctx);
}

static void on_received(void *ctx, const char *data, size_t bytes)
{
	hop_conn_t *conn = ctx;

	if (framing_reader_add(conn->reader, data, bytes))
		return;
	g_warning("event=taker-lost reason=garbage");
	sock_close(conn->sock);
	conn_free(conn);
}

static void on_ended(void *ctx, sock_close_reason_t end)
{
	(void)end;
	conn_free(ctx);
}

static void on_accepted(void *ctx, sock_t *sock)
{
	static const sock_ops_t ops = {.received = on_received, .ended = on_ended};
	hop_server_t *server = ctx;
	hop_conn_t *conn = g_new0(hop_conn_t, 1);

	conn->server = server;
	conn->sock = sock;
	conn->reader = framing_reader_new(read_message, conn);
	conn->jobs = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_ptr_array_add(server->conns, conn);
	sock_set_ops(sock, &ops, conn);
}

hop_server_t *hop_server_new(loop_t *loop, const char *address, uint16_t port,
			     const hop_server_ops_t *ops, void *ctx)
{
	hop_server_t *server = g_new0(hop_server_t, 1);

	server->loop = loop;
	server->ops = ops;
	server->ctx = ctx;
	server->conns = g_ptr_array_new();
	server->pending = g_ptr_array_new();
	server->frame = g_byte_array_new();
	if (listener_new(loop, address, port, on_accepted, server))
		return server;
	g_ptr_array_unref(server->conns);
	g_ptr_array_unref(server->pending);
	g_byte_array_unref(server->frame);
	g_free(server);
	return NULL;
}

void hop_server_answer(hop_server_t *server, hop_job_t *job, const hop_answer_t *answer)
{
	const hop_message_t message = {
		.type = HOP_ANSWER, .serial = job->serial, .answer = *answer};

	write_to(job->conn, &message);
	server->open--;
	job_free(job);
}

void hop_server_drain(hop_server_t *server)
{
	server->draining = true;
	for (guint i = 0; i < server->conns->len; i++)
		write_to(g_ptr_array_index(server->conns, i),
			 &(hop_message_t){.type = HOP_LEAVING});
}

void hop_server_resumed(hop_server_t *server)
{
	while (server->pending->len)
		reject_job(g_ptr_array_steal_index(server->pending, 0), HOP_SUSPENDED);
}

uint32_t hop_server_open(const hop_server_t *server)
{
	return server->open + server->pending->len;
}

uint64_t hop_server_last_request_us(const hop_server_t *server)
{
	return server->last_us;
}
