/**
 * @file peer_task.c
 * See peer_task.h.
 */
#include "tasks/peer_task.h"

#include "core/frame.h"

#include <stdio.h>
#include <string.h>

#define EXCHANGE_TIMEOUT_US 1000000
#define READ_LIMIT_BYTES (FRAME_MAX_BYTES + FRAME_LENGTH_BYTES)
#define EXCHANGES_MAX 64

struct peer_task_t {
	loop_t *loop;
	const settings_t *settings;
	query_task_t *queries;
	timeline_t *timeline;
	gossip_t *gossip;
	GRand *rand;
	struct lws_protocols protocols[2];
	struct lws_vhost *listener;
	struct lws_vhost *dialler;
	loop_timer_t tick;
	uint64_t bytes;
	uint32_t open;
};

/** One connection, dialled or accepted. */
typedef struct exchange_t {
	peer_task_t *task;
	struct lws *wsi;
	bool dialled;
	char *address;
	uint16_t port;
	GByteArray *in;
	GByteArray *out; /* NULL when there is nothing to send */
	bool answered;	 /* dialled: a valid reply has arrived */
	bool ended;
	loop_timer_t timer;
} exchange_t;

static exchange_t *exchange_new(peer_task_t *task, bool dialled)
{
	exchange_t *exchange = g_new0(exchange_t, 1);

	exchange->task = task;
	exchange->dialled = dialled;
	exchange->in = g_byte_array_new();
	task->open++;
	return exchange;
}

static void receive_failed(void *self, void *message)
{
	peer_task_t *task = self;
	exchange_t *exchange = message;

	gossip_complete_exchange(task->gossip, exchange->address, exchange->port, NULL,
				 loop_now_us());
	g_free(exchange->address);
	g_free(exchange);
}

static void exchange_end(exchange_t *exchange)
{
	peer_task_t *task = exchange->task;

	if (exchange->ended)
		return;
	exchange->ended = true;
	task->open--;
	loop_timer_cancel(&exchange->timer);
	if (exchange->wsi)
		lws_set_opaque_user_data(exchange->wsi, NULL);
	g_byte_array_unref(exchange->in);
	if (exchange->out)
		g_byte_array_unref(exchange->out);
	if (exchange->dialled && !exchange->answered) {
		loop_post(task->loop, receive_failed, task, exchange);
		return;
	}
	g_free(exchange->address);
	g_free(exchange);
}

static void on_timeout(void *ctx)
{
	exchange_t *exchange = ctx;

	if (exchange->wsi)
		lws_set_timeout(exchange->wsi, PENDING_TIMEOUT_CLOSE_SEND, LWS_TO_KILL_ASYNC);
}

static void start_timer(exchange_t *exchange)
{
	exchange->timer = (loop_timer_t){.fire = on_timeout, .ctx = exchange};
	loop_timer_set(exchange->task->loop, &exchange->timer, EXCHANGE_TIMEOUT_US);
}

/* ---- frames ---- */

static int write_frame(exchange_t *exchange)
{
	g_autofree uint8_t *buffer = NULL;
	GByteArray *out = exchange->out;

	if (!out)
		return 0;
	buffer = g_malloc(LWS_PRE + out->len);
	memcpy(buffer + LWS_PRE, out->data, out->len);
	exchange->task->bytes += out->len;
	if (lws_write(exchange->wsi, buffer + LWS_PRE, out->len, LWS_WRITE_RAW) < 0)
		return -1;
	g_byte_array_unref(out);
	exchange->out = NULL;
	return 0;
}

static void reply_to(exchange_t *exchange, const gossip_message_t *message)
{
	peer_task_t *task = exchange->task;
	gossip_message_t *reply = gossip_receive(task->gossip, message, true, loop_now_us());

	exchange->out = frame_encode(reply, task->settings->peers_key);
	gossip_message_free(reply);
	lws_callback_on_writable(exchange->wsi);
}

/* Returns -1 to close the connection: the exchange is complete, or the frame is invalid. */
static int process_frame(exchange_t *exchange, size_t bytes)
{
	peer_task_t *task = exchange->task;
	gossip_message_t *message =
		frame_decode(exchange->in->data, bytes, task->settings->peers_key,
			     task->settings->peers_previous_key);

	if (!message) {
		timeline_add(task->timeline, "event=peer-rejected reason=frame");
		return -1;
	}
	if (exchange->dialled) {
		exchange->answered = true;
		gossip_complete_exchange(task->gossip, exchange->address, exchange->port, message,
					 loop_now_us());
	} else {
		reply_to(exchange, message);
	}
	gossip_message_free(message);
	return exchange->dialled ? -1 : 0;
}

static int on_received_bytes(exchange_t *exchange, const uint8_t *data, size_t bytes)
{
	size_t frame_length;

	g_byte_array_append(exchange->in, data, (guint)bytes);
	if (exchange->in->len < FRAME_LENGTH_BYTES)
		return 0;
	frame_length = frame_bytes(exchange->in->data, exchange->in->len);
	if (!frame_length || exchange->in->len > frame_length ||
	    exchange->in->len > READ_LIMIT_BYTES) {
		timeline_add(exchange->task->timeline, "event=peer-rejected reason=length");
		return -1;
	}
	return exchange->in->len == frame_length ? process_frame(exchange, frame_length) : 0;
}

static int on_event(struct lws *wsi, enum lws_callback_reasons reason, void *user, void *in,
		    size_t len)
{
	exchange_t *exchange = wsi ? lws_get_opaque_user_data(wsi) : NULL;
	struct lws_vhost *vhost = wsi ? lws_get_vhost(wsi) : NULL;
	peer_task_t *task = vhost ? lws_vhost_user(vhost) : NULL;

	(void)user;
	switch (reason) {
	case LWS_CALLBACK_RAW_ADOPT:
		if (!task || task->open >= EXCHANGES_MAX)
			return -1;
		exchange = exchange_new(task, false);
		exchange->wsi = wsi;
		lws_set_opaque_user_data(wsi, exchange);
		start_timer(exchange);
		return 0;
	case LWS_CALLBACK_RAW_CONNECTED:
		if (!exchange)
			return -1;
		exchange->wsi = wsi;
		lws_callback_on_writable(wsi);
		return 0;
	case LWS_CALLBACK_RAW_WRITEABLE:
		return exchange ? write_frame(exchange) : -1;
	case LWS_CALLBACK_RAW_RX:
		return exchange ? on_received_bytes(exchange, in, len) : -1;
	case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
	case LWS_CALLBACK_RAW_CLOSE:
	case LWS_CALLBACK_WSI_DESTROY:
		if (exchange)
			exchange_end(exchange);
		return 0;
	default:
		return 0;
	}
}

/* ---- callbacks of the gossip ---- */

typedef struct dial_message_t {
	char *address;
	uint16_t port;
	GByteArray *frame;
} dial_message_t;

static void receive_dial(void *self, void *message)
{
	peer_task_t *task = self;
	dial_message_t *dial = message;
	exchange_t *exchange = exchange_new(task, true);
	struct lws_client_connect_info info = {
		.context = loop_context(task->loop),
		.vhost = task->dialler,
		.address = dial->address,
		.host = dial->address,
		.origin = dial->address,
		.path = "/",
		.port = dial->port,
		.method = "RAW",
		.local_protocol_name = "peers",
		.opaque_user_data = exchange,
	};
	struct lws *wsi;

	exchange->address = dial->address;
	exchange->port = dial->port;
	exchange->out = dial->frame;
	start_timer(exchange);
	g_free(dial);
	wsi = lws_client_connect_via_info(&info);
	if (!wsi)
		exchange_end(exchange);
	else if (!exchange->ended)
		exchange->wsi = wsi;
}

static void do_exchange(void *ctx, const char *address, uint16_t port, gossip_message_t *message)
{
	peer_task_t *task = ctx;
	dial_message_t *dial = g_new(dial_message_t, 1);

	*dial = (dial_message_t){.address = g_strdup(address),
				 .port = port,
				 .frame = frame_encode(message, task->settings->peers_key)};
	gossip_message_free(message);
	loop_post(task->loop, receive_dial, task, dial);
}

static void do_config(void *ctx, uint64_t number, json_t *value)
{
	query_task_offer_config(((peer_task_t *)ctx)->queries, number, json_incref(value));
}

static void do_leaving(void *ctx, const leaving_note_t *note)
{
	query_task_leave_notice(((peer_task_t *)ctx)->queries, note->service, note->upstream);
}

static const gossip_ops_t gossip_ops = {
	.exchange = do_exchange, .config = do_config, .leaving = do_leaving};

/* ---- announcements of this VM ---- */

static void on_config(void *ctx, uint64_t number, json_t *value)
{
	gossip_announce_config(((peer_task_t *)ctx)->gossip, number, value);
}

static void on_leaving(void *ctx, const char *service, const char *upstream)
{
	gossip_announce_leaving(((peer_task_t *)ctx)->gossip, service, upstream, loop_wall_ms());
}

static void on_tick(void *ctx)
{
	peer_task_t *task = ctx;

	gossip_tick(task->gossip, loop_now_us());
	loop_timer_set(task->loop, &task->tick,
		       (uint64_t)g_rand_double_range(task->rand, GOSSIP_PERIOD_US * 0.75,
						     GOSSIP_PERIOD_US * 1.25));
}

/* ---- set-up ---- */

static bool make_vhosts(peer_task_t *task)
{
	struct lws_context_creation_info listener = {
		.port = (int)task->settings->peers_port,
		.iface = task->settings->listen_address,
		.protocols = task->protocols,
		.user = task,
		.vhost_name = "peers",
		.options = LWS_SERVER_OPTION_ADOPT_APPLY_LISTEN_ACCEPT_CONFIG,
		.listen_accept_role = "raw-skt",
		.listen_accept_protocol = "peers",
	};
	struct lws_context_creation_info dialler = {
		.port = CONTEXT_PORT_NO_LISTEN,
		.protocols = task->protocols,
		.user = task,
		.vhost_name = "peers-out",
	};

	task->protocols[0] = (struct lws_protocols){.name = "peers", .callback = on_event};
	task->listener = lws_create_vhost(loop_context(task->loop), &listener);
	task->dialler = lws_create_vhost(loop_context(task->loop), &dialler);
	return task->listener && task->dialler;
}

peer_task_t *peer_task_new(loop_t *loop, const settings_t *settings, query_task_t *queries,
			   timeline_t *timeline)
{
	static const query_task_announce_ops_t announce_ops = {.config = on_config,
							       .leaving = on_leaving};
	peer_task_t *task = g_new0(peer_task_t, 1);
	const gossip_self_t self = {.name = settings->vm_name,
				    .data_centre = settings->data_centre,
				    .address = settings->listen_address,
				    .port = (uint16_t)settings->peers_port,
				    .incarnation = loop_wall_ms(),
				    .seeds = settings->peers_seeds,
				    .random_seed = g_random_int()};

	task->loop = loop;
	task->settings = settings;
	task->queries = queries;
	task->timeline = timeline;
	task->rand = g_rand_new();
	if (!make_vhosts(task)) {
		g_free(task);
		return NULL;
	}
	task->gossip = gossip_new(&gossip_ops, task, &self, timeline);
	query_task_set_announce_ops(queries, &announce_ops, task);
	task->tick = (loop_timer_t){.fire = on_tick, .ctx = task};
	loop_timer_set(loop, &task->tick, 0);
	return task;
}

void peer_task_leave(peer_task_t *task)
{
	gossip_leave(task->gossip);
}

const gossip_t *peer_task_gossip(const peer_task_t *task)
{
	return task->gossip;
}

uint64_t peer_task_bytes(const peer_task_t *task)
{
	return task->bytes;
}
