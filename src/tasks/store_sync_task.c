/**
 * @file store_sync_task.c
 * See store_sync_task.h.
 */
#include "tasks/store_sync_task.h"

#include "core/feed_timing.h"
#include "core/store_sync.h"
#include "tasks/feed_client.h"
#include "tasks/feed_server.h"
#include "tasks/follower.h"
#include "tasks/member_feed.h"
#include "tasks/own_vm.h"

#include <string.h>

/* A subscriber gives up its feed after three missing status messages. */
#define FEED_STATUS_PERIOD_US 500000
/*
 * Changes come in groups: searchers start, drain or lapse together. Each reply to a watch is a
 * billed call, so after a reply with changes the next watch is delayed by this time, and returns
 * the changes made meanwhile. A change is then known within a second.
 */
#define CHANGE_GROUP_US 800000
/*
 * The same for objects that operators write, which change seldom. VMs that watch the configuration
 * should learn of a new version at the same time; otherwise callers are answered by the new and the
 * old version in turns.
 */
#define OPERATOR_CHANGE_GROUP_US 100000
/* Delay before an object is requested from a feeder again: a feeder sends large objects one at a
 * time to all subscribers that request them. */
#define REQUEST_RETRY_US 5000000
/* Observations wait this long to be sent in groups: little against a reported pause of a searcher,
 * which lasts another 150 ms. */
#define OBSERVATIONS_GROUP_US 10000
/* A VM in a data centre with many slow searchers observes some 30 unexpected answers a second;
 * further ones are dropped. */
#define OBSERVATIONS_MAX_BYTES 4096
/* Kinds of objects that are watched and relayed: searchers, configuration, requests that crash
 * searchers, and, where they are in use, evacuations. */
#define FED_KINDS_MAX 4
/*
 * Requests that crash searchers hardly ever change, and each watch that ends is a billed call, so
 * these watches are long. An unreachable store is noticed by the other kinds, which are watched
 * more often; this kind is then requested again, too.
 */
#define POISON_WATCH_MS 20000

/** An object whose change a feeder has announced without its content. */
typedef struct announced_t {
	uint64_t requested_us; /* when its content was last requested from a feeder; 0: never */
} announced_t;

/** One kind of object that is kept current. */
typedef struct synced_kind_t {
	store_sync_task_t *task;
	store_kind_t kind;
	follower_t *follower;
	GHashTable *announced; /* announced_t by name, until the content arrives */
} synced_kind_t;

typedef struct feed_connection_t feed_connection_t;

struct store_sync_task_t {
	loop_t *loop;
	const store_sync_task_ops_t *ops;
	void *ctx;
	member_task_t *members;
	GHashTable *regions; /* data centre to region */
	synced_kind_t kinds[FED_KINDS_MAX];
	uint32_t kind_count;
	store_sync_t *store_sync;
	loop_timer_t sync_timer;
	feed_server_t *server;
	member_feed_t *member_feed;
	feed_connection_t *members_from; /* the feeder that sent the list of VMs; NULL: none */
	bool shares_observations;	 /* the region has enough VMs for sharing to be useful */
	feed_timing_t timing;
	loop_timer_t status_timer;
	platform_task_t *platform;
	GByteArray *observations; /* frames of observations that are not sent yet */
	loop_timer_t observations_timer;
};

/** A connection to a feeder. */
struct feed_connection_t {
	store_sync_task_t *task;
	store_sync_link_t *link;
	feed_client_t *client;
};

static feed_client_t *feed_client_of(const store_sync_link_t *link)
{
	return ((const feed_connection_t *)link->data)->client;
}

static const vm_t *own_vm(const store_sync_task_t *task)
{
	return member_sync_own(member_task_sync(task->members));
}

/* To be called after each call into the store sync, which may have changed its next timer. */
static void arm_sync_timer(store_sync_task_t *task)
{
	uint64_t next_us = store_sync_next_us(task->store_sync), now_us = loop_now_us();

	if (next_us == TIMERS_NEVER)
		loop_timer_cancel(&task->sync_timer);
	else
		loop_timer_set(task->loop, &task->sync_timer,
			       next_us > now_us ? next_us - now_us : 0);
}

static void run_sync(void *ctx)
{
	store_sync_task_t *task = ctx;

	store_sync_run(task->store_sync, loop_now_us());
	arm_sync_timer(task);
}

/* ---- objects received, from the store or a feeder ---- */

static void publish_object(synced_kind_t *kind, feed_type_t type, const store_object_t *object)
{
	const store_sync_task_t *task = kind->task;
	feed_delivery_t delivery = FEED_AT_ONCE;
	feed_message_t message;
	char *text;

	if (!store_sync_watches(task->store_sync))
		return;
	text = object ? json_dumps(object->content, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;
	if (text)
		delivery = feed_delivery(strlen(text), feed_server_subscribers(task->server),
					 own_vm(task)->link_mbps);
	if (type == FEED_OBJECT && delivery == FEED_ANNOUNCES)
		type = FEED_ANNOUNCED;
	if (type == FEED_REMOVED && delivery != FEED_AT_ONCE)
		g_clear_pointer(&text, free);
	message = (feed_message_t){.type = type,
				   .kind = kind->kind,
				   .name = object ? object->name : "",
				   .text = text ? text : "",
				   .era = platform_task_era(task->platform)};
	if (type == FEED_OBJECT && delivery == FEED_IN_TURN)
		feed_server_publish_in_turn(task->server, &message);
	else
		feed_server_publish(task->server, &message);
	free(text);
}

static void pass_list_begin(void *ctx)
{
	synced_kind_t *kind = ctx;

	publish_object(kind, FEED_LIST_BEGIN, NULL);
	kind->task->ops->list_begin(kind->task->ctx, kind->kind);
}

static void pass_object(void *ctx, const store_object_t *object)
{
	synced_kind_t *kind = ctx;

	publish_object(kind, object->removed ? FEED_REMOVED : FEED_OBJECT, object);
	kind->task->ops->object(kind->task->ctx, kind->kind, object);
}

static void pass_list_end(void *ctx)
{
	synced_kind_t *kind = ctx;

	publish_object(kind, FEED_LIST_END, NULL);
	kind->task->ops->list_end(kind->task->ctx, kind->kind);
}

static void send_feed_status(void *ctx);

static void on_call_ended(void *ctx, store_sync_result_t result)
{
	synced_kind_t *kind = ctx;
	store_sync_task_t *task = kind->task;
	bool was_starting = store_sync_is_starting(task->store_sync);

	if (result == STORE_SYNC_LISTED)
		g_hash_table_remove_all(kind->announced);
	store_sync_call_ended(task->store_sync, kind->kind, result, loop_now_us());
	/* Subscribers that received the lists wait for the first status. */
	if (was_starting && store_sync_has_data(task->store_sync))
		send_feed_status(task);
	arm_sync_timer(task);
}

/* ---- calls to the store ---- */

static void on_call(void *ctx, uint32_t kind, const store_sync_call_t *call)
{
	follower_call(((store_sync_task_t *)ctx)->kinds[kind].follower, call);
}

static void on_cancel(void *ctx, uint32_t kind)
{
	follower_cancel(((store_sync_task_t *)ctx)->kinds[kind].follower);
}

static void on_restart_list(void *ctx, uint32_t kind)
{
	follower_restart_list(((store_sync_task_t *)ctx)->kinds[kind].follower);
}

/* Applies the configuration that a store check has read at once; the next source, another feeder or
 * the store, brings the other objects. */
static void apply_store_check(store_sync_task_t *task, const platform_result_t *result)
{
	store_page_t page = {0};

	if (store_read_page(result->body, &page))
		for (guint i = 0; i < page.objects->len; i++)
			task->ops->object(task->ctx, STORE_CONFIGURATION,
					  &g_array_index(page.objects, store_object_t, i));
	store_page_clear(&page);
}

static void on_store_checked(void *ctx, const platform_result_t *result)
{
	store_sync_task_t *task = ctx;
	bool reached = result->status == 200;

	g_info("event=store-looked-at status=%d outcome=%s", result->status,
	       reached ? "reached" : "away");
	if (reached)
		apply_store_check(task, result);
	store_sync_check_ended(task->store_sync, reached, loop_now_us());
	arm_sync_timer(task);
}

static void on_store_check(void *ctx, uint64_t timeout_us)
{
	store_sync_task_t *task = ctx;
	g_autofree char *target = store_list_target(STORE_CONFIGURATION, NULL);

	platform_task_fetch(task->platform, target, timeout_us, on_store_checked, task);
}

/* ---- loss and recovery of the store ---- */

static void on_lost(void *ctx)
{
	store_sync_task_t *task = ctx;

	g_message("event=store-lost age_us=%" G_GUINT64_FORMAT, store_sync_task_age_us(task));
	task->ops->lost(task->ctx);
}

static void on_recovered(void *ctx)
{
	store_sync_task_t *task = ctx;

	g_message("event=store-back age_us=%" G_GUINT64_FORMAT, store_sync_task_age_us(task));
	task->ops->recovered(task->ctx);
}

static void receive_object(synced_kind_t *kind, const feed_message_t *message)
{
	json_t *content = json_loads(message->text, JSON_DECODE_ANY, NULL);
	const store_object_t object = {.name = message->name,
				       .content = content,
				       .removed = message->type == FEED_REMOVED};

	/* Content that can't be parsed is passed on, too: the former content is outdated. */
	pass_object(kind, &object);
	json_decref(content);
}

static void receive_observation(store_sync_task_t *task, const feed_message_t *message)
{
	const observation_t observation = {.type = (observation_type_t)message->kind,
					   .searcher = message->name,
					   .born_ms = g_ascii_strtoull(message->text, NULL, 10),
					   .after_us = message->age_us};

	if (message->kind >= OBSERVATION_TYPES) {
		g_info("event=sighting-ignored type=%u reason=unknown", message->kind);
		return;
	}
	task->ops->observation(task->ctx, &observation);
}

static void on_subscriber_observation(void *ctx, const feed_message_t *message)
{
	receive_observation(ctx, message);
}

static void send_observations(void *ctx)
{
	store_sync_task_t *task = ctx;
	const store_sync_link_t *feed = store_sync_feed(task->store_sync);

	if (feed)
		feed_client_write(feed_client_of(feed), task->observations);
	else
		feed_server_write(task->server, task->observations);
	g_byte_array_set_size(task->observations, 0);
}

void store_sync_task_publish(store_sync_task_t *task, const observation_t *observation)
{
	char born[24];
	const feed_message_t message = {.type = FEED_OBSERVATION,
					.kind = observation->type,
					.name = observation->searcher,
					.text = born,
					.age_us = observation->after_us};

	snprintf(born, sizeof(born), "%" G_GUINT64_FORMAT, observation->born_ms);

	if (!task->shares_observations || task->observations->len > OBSERVATIONS_MAX_BYTES)
		return;
	if (!task->observations->len)
		loop_timer_set(task->loop, &task->observations_timer, OBSERVATIONS_GROUP_US);
	feed_message_write(task->observations, &message);
}

/* ---- links to feeders ---- */

static void receive_change(synced_kind_t *kind, store_sync_link_t *link,
			   const feed_message_t *message)
{
	store_sync_task_t *task = kind->task;

	store_sync_link_sent_part(link, kind->kind, loop_now_us());
	switch (message->type) {
	case FEED_LIST_BEGIN:
		pass_list_begin(kind);
		break;
	case FEED_LIST_END:
		pass_list_end(kind);
		store_sync_link_listed(task->store_sync, link, kind->kind, loop_now_us());
		break;
	case FEED_ANNOUNCED:
		g_message("event=feed-announced kind=%s name=%s outcome=read-from-store",
			  store_kind_name(kind->kind), message->name);
		g_hash_table_insert(kind->announced, g_strdup(message->name),
				    g_new0(announced_t, 1));
		store_sync_announced(task->store_sync, kind->kind, loop_now_us());
		break;
	case FEED_OBJECT:
	case FEED_REMOVED:
		receive_object(kind, message);
		if (g_hash_table_remove(kind->announced, message->name) &&
		    !g_hash_table_size(kind->announced))
			store_sync_announced_received(task->store_sync, kind->kind);
		break;
	default:
		g_info("event=feed-message-ignored type=%d reason=not-for-subscribers",
		       message->type);
	}
}

static void receive_members(feed_connection_t *connection, const feed_message_t *message)
{
	store_sync_task_t *task = connection->task;

	if (message->type == FEED_LIST_END)
		task->members_from = connection;
	member_task_receive(task->members, message);
}

static void receive_feed_status(feed_connection_t *connection, const feed_message_t *message)
{
	store_sync_task_t *task = connection->task;
	const store_sync_status_t status = {.unreliable = message->unreliable,
					    .age_us = message->age_us,
					    .from = message->name};

	if (message->kind && task->members_from == connection)
		member_task_receive_age(task->members, (message->kind - 1) * 1000ull);
	store_sync_link_status(task->store_sync, connection->link, &status, loop_now_us());
}

/*
 * The feed's list is applied while the store is still watched. The two sources agree, or nearly so,
 * and of two reports about a searcher or a version the later one wins, whatever its source.
 */
static void on_feed_message(void *ctx, const feed_message_t *message)
{
	feed_connection_t *connection = ctx;
	store_sync_task_t *task = connection->task;

	/* Drop messages of an older store era: the feeder has not noticed yet that the store was
	 * restored. Its next list is of the current era, or its feed becomes stale. */
	if (message->type != FEED_OBSERVATION &&
	    platform_task_observe_era(task->platform, message->era) == STORE_ERA_OLDER)
		return;
	if (message->type == FEED_STATUS)
		receive_feed_status(connection, message);
	else if (message->type == FEED_OBSERVATION)
		receive_observation(task, message);
	else if (message->kind == STORE_VMS)
		receive_members(connection, message);
	else if (message->kind < task->kind_count)
		receive_change(&task->kinds[message->kind], connection->link, message);
	arm_sync_timer(task);
}

static void on_feed_ended(void *ctx, const char *reason)
{
	feed_connection_t *connection = ctx;
	store_sync_task_t *task = connection->task;

	store_sync_link_ended(task->store_sync, connection->link, reason, loop_now_us());
	arm_sync_timer(task);
}

static bool on_open(void *ctx, store_sync_link_t *link)
{
	static const feed_client_ops_t ops = {.message = on_feed_message, .ended = on_feed_ended};
	store_sync_task_t *task = ctx;
	const vm_t *vm = member_sync_find(member_task_sync(task->members), link->vm);
	feed_connection_t *connection;

	if (!vm)
		return false;
	connection = g_new0(feed_connection_t, 1);
	*connection = (feed_connection_t){.task = task, .link = link};
	connection->client =
		feed_client_new(task->loop, vm->address, vm->feed_port, &ops, connection);
	if (!connection->client) {
		g_free(connection);
		return false;
	}
	link->data = connection;
	return true;
}

static void on_close(void *ctx, store_sync_link_t *link, const char *reason)
{
	store_sync_task_t *task = ctx;
	feed_connection_t *connection = link->data;

	if (store_sync_feed(task->store_sync) == link)
		g_message("event=feed-lost vm=%s reason=%s age_us=%" G_GUINT64_FORMAT, link->vm,
			  reason, store_sync_task_age_us(task));
	else
		g_info("event=feed-not-taken vm=%s backup=%d reason=%s", link->vm, link->backup,
		       reason);
	if (task->members_from == connection) {
		task->members_from = NULL;
		member_task_feed_ended(task->members);
	}
	feed_client_free(connection->client);
	g_free(connection);
}

static void on_request_objects(void *ctx, store_sync_link_t *link, uint32_t number)
{
	store_sync_task_t *task = ctx;
	g_autoptr(GByteArray) frames = g_byte_array_new();
	uint64_t now_us = loop_now_us();
	GHashTableIter iter;
	gpointer name, value;

	g_hash_table_iter_init(&iter, task->kinds[number].announced);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		announced_t *announced = value;
		const feed_message_t message = {
			.type = FEED_REQUEST, .kind = number, .name = name, .text = ""};

		if (announced->requested_us && now_us < announced->requested_us + REQUEST_RETRY_US)
			continue;
		announced->requested_us = now_us;
		g_message("event=feed-asked vm=%s kind=%s name=%s", link->vm,
			  store_kind_name((store_kind_t)number), message.name);
		feed_message_write(frames, &message);
	}
	feed_client_write(feed_client_of(link), frames);
}

static void on_feed_accepted(void *ctx, const store_sync_link_t *link)
{
	store_sync_task_t *task = ctx;

	g_message("event=feed-taken vm=%s backup=%d age_us=%" G_GUINT64_FORMAT, link->vm,
		  link->backup, store_sync_task_age_us(task));
	feed_server_clear(task->server);
}

/* ---- the list of VMs ---- */

static void on_store_answered(void *ctx, bool answered)
{
	store_sync_task_t *task = ctx;

	store_sync_other_call_ended(task->store_sync, answered, loop_now_us());
	arm_sync_timer(task);
}

static void set_watch_times(store_sync_task_t *task, bool feeds_others)
{
	uint32_t frequent_ms = feeds_others ? task->timing.feeder_watch_ms : task->timing.watch_ms;
	const uint32_t watch_times_ms[FED_KINDS_MAX] = {[STORE_SEARCHERS] = frequent_ms,
							[STORE_CONFIGURATION] = frequent_ms,
							[STORE_POISON] = POISON_WATCH_MS,
							[STORE_EVACUATIONS] =
								task->timing.evacuation_watch_ms};

	for (uint32_t i = 0; i < task->kind_count; i++)
		store_sync_set_wait(task->store_sync, i, watch_times_ms[i]);
}

static void on_found_feeders(void *ctx, const GPtrArray *feeders)
{
	store_sync_task_t *task = ctx;
	const vm_t *own = own_vm(task);
	const feed_vms_t listed = {.vms = feeders, .regions = task->regions};
	g_autoptr(GPtrArray) ordered = feed_order_feeders(&listed, own->name, own->data_centre);
	g_autoptr(GPtrArray) none = g_ptr_array_new();

	store_sync_set_vms(task->store_sync, ordered, none, false, loop_now_us());
	arm_sync_timer(task);
}

static bool on_awaits_feed(void *ctx)
{
	return !store_sync_watches(((store_sync_task_t *)ctx)->store_sync);
}

static void relay_members(store_sync_task_t *task)
{
	if (store_sync_watches(task->store_sync))
		member_feed_publish(task->member_feed, store_sync_task_vms(task),
				    platform_task_era(task->platform));
}

static void on_members(void *ctx)
{
	store_sync_task_t *task = ctx;
	const vm_t *own = own_vm(task);
	const feed_vms_t all = {.vms = store_sync_task_vms(task), .regions = task->regions};
	g_autoptr(GPtrArray) feeders = feed_choose_feeders(&all, own->name, own->data_centre);
	g_autoptr(GPtrArray) backups = feed_choose_backups(&all, own->name, own->data_centre);
	bool is_feeder;

	task->shares_observations = feed_is_used(&all, own->data_centre);
	is_feeder = task->shares_observations && !feeders->len;
	set_watch_times(task, is_feeder);
	store_sync_set_vms(task->store_sync, feeders, backups, is_feeder, loop_now_us());
	arm_sync_timer(task);
	member_task_set_feeder(task->members, is_feeder);
	relay_members(task);
	task->ops->members(task->ctx);
}

/* ---- feed status ---- */

/* Age of the list of VMs that this VM relays, in milliseconds plus one; 0: it relays none. */
static uint32_t members_age(const store_sync_task_t *task)
{
	uint64_t listed_us = store_sync_task_cold_members(task).listed_us;

	if (!store_sync_watches(task->store_sync) || !member_feed_is_current(task->member_feed))
		return 0;
	return (uint32_t)MIN((loop_now_us() - listed_us) / 1000 + 1, G_MAXUINT32);
}

static feed_message_t current_feed_status(const store_sync_task_t *task)
{
	const store_sync_status_t status = store_sync_status(task->store_sync, loop_now_us());

	return (feed_message_t){.type = FEED_STATUS,
				.kind = members_age(task),
				.name = status.from,
				.text = "",
				.age_us = status.age_us,
				.unreliable = status.unreliable,
				.era = platform_task_era(task->platform)};
}

static void send_feed_status(void *ctx)
{
	store_sync_task_t *task = ctx;
	const feed_message_t message = current_feed_status(task);

	if (!store_sync_is_starting(task->store_sync))
		feed_server_publish(task->server, &message);
	loop_timer_set(task->loop, &task->status_timer, FEED_STATUS_PERIOD_US);
}

/* A VM that has not read all objects after its start has no status to send. */
static bool on_get_feed_status(void *ctx, feed_message_t *status)
{
	store_sync_task_t *task = ctx;

	*status = current_feed_status(task);
	return store_sync_has_data(task->store_sync);
}

static void on_subscribed(void *ctx)
{
	member_task_subscribed(((store_sync_task_t *)ctx)->members);
}

static void on_restored(void *ctx)
{
	store_sync_task_t *task = ctx;

	task->ops->restored(task->ctx, store_sync_watches(task->store_sync));
	store_sync_restored(task->store_sync, loop_now_us());
	arm_sync_timer(task);
	member_task_restored(task->members);
}

/* ---- start ---- */

static void start_followers(store_sync_task_t *task)
{
	static const follower_ops_t ops = {.list_begin = pass_list_begin,
					   .object = pass_object,
					   .list_end = pass_list_end,
					   .ended = on_call_ended};

	for (uint32_t i = 0; i < task->kind_count; i++) {
		synced_kind_t *kind = &task->kinds[i];

		*kind = (synced_kind_t){.task = task, .kind = (store_kind_t)i};
		kind->announced = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
		kind->follower = follower_new(task->platform, kind->kind, &ops, kind);
	}
}

static void start_sync(store_sync_task_t *task)
{
	static const store_sync_ops_t ops = {.call = on_call,
					     .cancel = on_cancel,
					     .restart_list = on_restart_list,
					     .check_store = on_store_check,
					     .open = on_open,
					     .close = on_close,
					     .request_announced = on_request_objects,
					     .feed_changed = on_feed_accepted,
					     .unreachable = on_lost,
					     .recovered = on_recovered};
	static const store_sync_kind_t kinds[FED_KINDS_MAX] = {
		[STORE_SEARCHERS] = {.group_us = CHANGE_GROUP_US, .frequent = true},
		[STORE_CONFIGURATION] = {.group_us = OPERATOR_CHANGE_GROUP_US, .frequent = true},
		[STORE_POISON] = {.group_us = OPERATOR_CHANGE_GROUP_US},
		[STORE_EVACUATIONS] = {.group_us = OPERATOR_CHANGE_GROUP_US}};

	task->sync_timer = (loop_timer_t){.fire = run_sync, .ctx = task};
	task->store_sync = store_sync_new(&task->timing, kinds, task->kind_count,
					  STORE_CONFIGURATION, &ops, task, g_random_int());
	set_watch_times(task, false);
	store_sync_start(task->store_sync, loop_now_us());
	arm_sync_timer(task);
}

/* The shorter of the times within which changes must take effect. */
static uint32_t change_deadline_ms(const settings_t *settings)
{
	return settings->leave_ms ? MIN(settings->apply_ms, settings->leave_ms)
				  : settings->apply_ms;
}

store_sync_task_t *store_sync_task_new(loop_t *loop, const settings_t *settings,
				       platform_task_t *platform, const store_sync_task_ops_t *ops,
				       void *ctx)
{
	static const member_ops_t member_ops = {.found_feeders = on_found_feeders,
						.awaits_feed = on_awaits_feed,
						.changed = on_members,
						.answered = on_store_answered};
	static const feed_server_ops_t server_ops = {.observation = on_subscriber_observation,
						     .subscribed = on_subscribed,
						     .get_status = on_get_feed_status};
	store_sync_task_t *task = g_new0(store_sync_task_t, 1);
	const endpoint_setting_t *feed = &settings->front_feed;

	task->loop = loop;
	task->ops = ops;
	task->ctx = ctx;
	task->regions = g_hash_table_ref(settings->regions);
	task->shares_observations = true; /* until the list of VMs shows that the region is small */
	task->kind_count = settings->evacuate_ms ? FED_KINDS_MAX : STORE_EVACUATIONS;
	task->platform = platform;
	task->timing = feed_timing_for(change_deadline_ms(settings), settings->settle_ms,
				       settings->evacuate_ms);
	task->server = feed_server_new(loop, feed->address, feed->port, STORE_KINDS,
				       settings->link_mbps, &server_ops, task);
	if (!task->server)
		return NULL;
	task->member_feed = member_feed_new(task->server);
	task->status_timer = (loop_timer_t){.fire = send_feed_status, .ctx = task};
	task->observations = g_byte_array_new();
	task->observations_timer = (loop_timer_t){.fire = send_observations, .ctx = task};
	start_followers(task);
	start_sync(task);
	platform_task_set_restored(platform, on_restored, task);
	task->members = member_task_new(loop, platform, own_vm_new(settings), task->regions,
					&member_ops, task);
	loop_timer_set(loop, &task->status_timer, FEED_STATUS_PERIOD_US);
	return task;
}

void store_sync_task_refresh(store_sync_task_t *task)
{
	store_sync_refresh(task->store_sync, loop_now_us());
	arm_sync_timer(task);
}

void store_sync_task_read_configuration(store_sync_task_t *task)
{
	store_sync_catch_up(task->store_sync, STORE_CONFIGURATION, loop_now_us());
	arm_sync_timer(task);
}

const GPtrArray *store_sync_task_vms(const store_sync_task_t *task)
{
	return member_sync_vms(member_task_sync(task->members));
}

cold_members_t store_sync_task_cold_members(const store_sync_task_t *task)
{
	return member_sync_cold_members(member_task_sync(task->members));
}

uint64_t store_sync_task_age_us(const store_sync_task_t *task)
{
	return store_sync_age_us(task->store_sync, loop_now_us());
}

uint32_t store_sync_task_kind_count(const store_sync_task_t *task)
{
	return task->kind_count;
}

uint64_t store_sync_task_kind_age_us(const store_sync_task_t *task, store_kind_t kind)
{
	return store_sync_kind_age_us(task->store_sync, kind, loop_now_us());
}

bool store_sync_task_is_fed(const store_sync_task_t *task)
{
	return store_sync_feed(task->store_sync) != NULL;
}

uint64_t store_sync_task_era(const store_sync_task_t *task)
{
	return platform_task_era(task->platform);
}
