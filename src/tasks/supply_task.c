/**
 * @file supply_task.c
 * See supply_task.h.
 */
#include "tasks/supply_task.h"

#include "core/feed_timing.h"
#include "core/hearing.h"
#include "tasks/feed_client.h"
#include "tasks/feed_server.h"
#include "tasks/follower.h"
#include "tasks/own_vm.h"

#include <string.h>

/* Three of these may be lost before a subscriber gives its feed up. */
#define NEWS_PERIOD_US 500000
/* Changes come in groups: searchers that start, leave or lapse together. Each wake-up of a watch is
 * a priced call, so after one with changes the next waits; what happens meanwhile comes with it. A
 * change is then known within a second. */
#define GROUP_US 800000
/* Of what operators write, which changes seldom: VMs that watch the configuration should know it at
 * the same time, or callers are answered by the new and the old version by turns. */
#define OPERATOR_GROUP_US 100000
/* A feeder tells large objects one after the other, to all that ask. */
#define ASK_AGAIN_US 5000000
/* Sightings wait so long for others to go with them: a pause that is told lasts 150 ms more. */
#define SIGHTINGS_GROUP_US 10000
/* A VM in a data centre where much is slow sees some 30 odd answers a second; more is dropped. */
#define SIGHTINGS_MOST_BYTES 4096
/* The kinds that are watched and fed: searchers, configuration, requests that crash searchers, and
 * evacuations where there are any. */
#define FED_KINDS_MOST 4
/*
 * Nearly always there is nothing to hear of such requests, and each watch that ends is a priced
 * call. A store that can't be heard shows by the other kinds, which are watched more often; then
 * this one is asked for once more, too.
 */
#define POISON_WATCH_MS 20000

/** An object that a feeder has announced. */
typedef struct announced_t {
	uint64_t asked_us; /* when a feeder was asked to tell it; 0: never */
} announced_t;

/** One kind of objects being followed. */
typedef struct supply_kind_t {
	supply_task_t *task;
	store_kind_t kind;
	follower_t *follower;
	GHashTable *announced; /* names of objects that a feeder has announced and not told, to
				* announced_t */
} supply_kind_t;

struct supply_task_t {
	loop_t *loop;
	const supply_ops_t *ops;
	void *ctx;
	member_task_t *members;
	GHashTable *regions; /* data centre to region */
	supply_kind_t kinds[FED_KINDS_MOST];
	uint32_t kind_count;
	store_sync_t *hearing;
	loop_timer_t hearing_timer;
	feed_server_t *server;
	bool sights; /* tells of searchers: the region has so many VMs that it is of use */
	feed_timing_t timing;
	loop_timer_t news_timer;
	platform_task_t *platform;
	GByteArray *sightings; /* frames that wait to be told */
	loop_timer_t sightings_timer;
};

/** A connection to a VM that tells of the store. */
typedef struct supply_link_t {
	supply_task_t *task;
	store_sync_link_t *link;
	feed_client_t *client;
} supply_link_t;

static feed_client_t *client_of(const store_sync_link_t *link)
{
	return ((const supply_link_t *)link->data)->client;
}

/* After anything was told to it. */
static void arm_hearing(supply_task_t *task)
{
	uint64_t next_us = store_sync_next_us(task->hearing), now_us = loop_now_us();

	if (next_us == TIMERS_NEVER)
		loop_timer_cancel(&task->hearing_timer);
	else
		loop_timer_set(task->loop, &task->hearing_timer,
			       next_us > now_us ? next_us - now_us : 0);
}

static void run_hearing(void *ctx)
{
	supply_task_t *task = ctx;

	store_sync_run(task->hearing, loop_now_us());
	arm_hearing(task);
}

/* ---- what comes in, from wherever ---- */

static void tell(supply_kind_t *kind, feed_type_t type, const store_object_t *object)
{
	const supply_task_t *task = kind->task;
	feed_message_t message;
	char *text;
	bool fits;

	if (!store_sync_watches(task->hearing))
		return;
	text = object ? json_dumps(object->content, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;
	fits = text && feed_sends_whole(strlen(text), feed_server_subscribers(task->server),
					member_task_own(task->members)->link_mbps);
	if (type == FEED_OBJECT && text && !fits)
		type = FEED_ANNOUNCED;
	if (type == FEED_REMOVED && !fits)
		g_clear_pointer(&text, free);
	message = (feed_message_t){.type = type,
				   .kind = kind->kind,
				   .name = object ? object->name : "",
				   .text = text ? text : "",
				   .era = platform_task_era(task->platform)};
	feed_server_tell(task->server, &message);
	free(text);
}

static void give_list_begin(void *ctx)
{
	supply_kind_t *kind = ctx;

	tell(kind, FEED_LIST_BEGIN, NULL);
	kind->task->ops->list_begin(kind->task->ctx, kind->kind);
}

static void give_object(void *ctx, const store_object_t *object)
{
	supply_kind_t *kind = ctx;

	tell(kind, object->removed ? FEED_REMOVED : FEED_OBJECT, object);
	kind->task->ops->object(kind->task->ctx, kind->kind, object);
}

static void give_list_end(void *ctx)
{
	supply_kind_t *kind = ctx;

	tell(kind, FEED_LIST_END, NULL);
	kind->task->ops->list_end(kind->task->ctx, kind->kind);
}

static void on_call_ended(void *ctx, store_sync_result_t end)
{
	supply_kind_t *kind = ctx;

	if (end == STORE_SYNC_LISTED)
		g_hash_table_remove_all(kind->announced);
	store_sync_call_ended(kind->task->hearing, kind->kind, end, loop_now_us());
	arm_hearing(kind->task);
}

/* ---- asking the store ---- */

static void on_ask(void *ctx, uint32_t kind, const store_sync_call_t *call)
{
	follower_ask(((supply_task_t *)ctx)->kinds[kind].follower, call);
}

static void on_cancel(void *ctx, uint32_t kind)
{
	follower_cancel(((supply_task_t *)ctx)->kinds[kind].follower);
}

static void on_list_anew(void *ctx, uint32_t kind)
{
	follower_list_anew(((supply_task_t *)ctx)->kinds[kind].follower);
}

/* What the look has read is in force at once; another feeder, or the store, tells the rest. */
static void take_look(supply_task_t *task, const platform_result_t *result)
{
	store_page_t page = {0};

	if (store_read_page(result->body, &page))
		for (guint i = 0; i < page.objects->len; i++)
			task->ops->object(task->ctx, STORE_CONFIGURATION,
					  &g_array_index(page.objects, store_object_t, i));
	store_page_clear(&page);
}

static void on_looked(void *ctx, const platform_result_t *result)
{
	supply_task_t *task = ctx;
	bool reached = result->status == 200;

	g_info("event=store-looked-at status=%d outcome=%s", result->status,
	       reached ? "reached" : "away");
	if (reached)
		take_look(task, result);
	store_sync_check_ended(task->hearing, reached, loop_now_us());
	arm_hearing(task);
}

static void on_look(void *ctx, uint64_t timeout_us)
{
	supply_task_t *task = ctx;
	g_autofree char *target = store_list_target(STORE_CONFIGURATION, NULL);

	platform_task_fetch(task->platform, target, timeout_us, on_looked, task);
}

/* ---- whether the store is heard ---- */

static void on_lost(void *ctx)
{
	supply_task_t *task = ctx;

	g_message("event=store-lost age_us=%" G_GUINT64_FORMAT, supply_task_age_us(task));
	task->ops->lost(task->ctx);
}

static void on_back(void *ctx)
{
	supply_task_t *task = ctx;

	g_message("event=store-back age_us=%" G_GUINT64_FORMAT, supply_task_age_us(task));
	task->ops->back(task->ctx);
}

static void take_object(supply_kind_t *kind, const feed_message_t *message)
{
	json_t *content = json_loads(message->text, JSON_DECODE_ANY, NULL);
	const store_object_t object = {.name = message->name,
				       .content = content,
				       .removed = message->type == FEED_REMOVED};

	/* Content that can't be read is handed on, too: what it was before holds no more. */
	give_object(kind, &object);
	json_decref(content);
}

static void take_sighting(supply_task_t *task, const feed_message_t *message)
{
	const sighting_t sighting = {.type = (sighting_type_t)message->kind,
				     .searcher = message->name,
				     .born_ms = g_ascii_strtoull(message->text, NULL, 10),
				     .after_us = message->age_us};

	if (message->kind >= SIGHTING_TYPES) {
		g_info("event=sighting-ignored type=%u reason=unknown", message->kind);
		return;
	}
	task->ops->sighting(task->ctx, &sighting);
}

static void on_heard(void *ctx, const feed_message_t *message)
{
	take_sighting(ctx, message);
}

static void send_sightings(void *ctx)
{
	supply_task_t *task = ctx;
	const store_sync_link_t *feed = store_sync_feed(task->hearing);

	if (feed)
		feed_client_write(client_of(feed), task->sightings);
	else
		feed_server_write(task->server, task->sightings);
	g_byte_array_set_size(task->sightings, 0);
}

void supply_task_tell(supply_task_t *task, const sighting_t *sighting)
{
	char born[24];
	const feed_message_t message = {.type = FEED_OBSERVATION,
					.kind = sighting->type,
					.name = sighting->searcher,
					.text = born,
					.age_us = sighting->after_us};

	snprintf(born, sizeof(born), "%" G_GUINT64_FORMAT, sighting->born_ms);

	if (!task->sights || task->sightings->len > SIGHTINGS_MOST_BYTES)
		return;
	if (!task->sightings->len)
		loop_timer_set(task->loop, &task->sightings_timer, SIGHTINGS_GROUP_US);
	feed_message_write(task->sightings, &message);
}

/* ---- links to other VMs ---- */

static void take_change(supply_kind_t *kind, store_sync_link_t *link, const feed_message_t *message)
{
	supply_task_t *task = kind->task;

	switch (message->type) {
	case FEED_LIST_BEGIN:
		give_list_begin(kind);
		break;
	case FEED_LIST_END:
		give_list_end(kind);
		store_sync_link_listed(task->hearing, link, kind->kind, loop_now_us());
		break;
	case FEED_ANNOUNCED:
		g_message("event=feed-announced kind=%s name=%s outcome=read-from-store",
			  store_kind_name(kind->kind), message->name);
		g_hash_table_insert(kind->announced, g_strdup(message->name),
				    g_new0(announced_t, 1));
		store_sync_announced(task->hearing, kind->kind, loop_now_us());
		break;
	case FEED_OBJECT:
	case FEED_REMOVED:
		take_object(kind, message);
		if (g_hash_table_remove(kind->announced, message->name) &&
		    !g_hash_table_size(kind->announced))
			store_sync_announced_received(task->hearing, kind->kind);
		break;
	default:
		g_info("event=feed-message-ignored type=%d reason=not-for-subscribers",
		       message->type);
	}
}

static void take_news(supply_link_t *own, const feed_message_t *message)
{
	const store_sync_status_t news = {.unreliable = message->unreliable,
					  .age_us = message->age_us,
					  .from = message->name};

	store_sync_link_status(own->task->hearing, own->link, &news, loop_now_us());
}

/* The feed's list is taken while the store is still watched: both say the same, or nearly, and the
 * later of two reports about a searcher or a version wins wherever it comes from. */
static void on_feed_message(void *ctx, const feed_message_t *message)
{
	supply_link_t *own = ctx;
	supply_task_t *task = own->task;

	/* Of a feeder that has not heard yet that the store is another one: its next list will be
	 * of this one, or its news grow too old. */
	if (message->type != FEED_OBSERVATION &&
	    platform_task_take_era(task->platform, message->era) == STORE_ERA_OLDER)
		return;
	if (message->type == FEED_STATUS)
		take_news(own, message);
	else if (message->type == FEED_OBSERVATION)
		take_sighting(task, message);
	else if (message->kind < task->kind_count)
		take_change(&task->kinds[message->kind], own->link, message);
	arm_hearing(task);
}

static void on_feed_ended(void *ctx, const char *reason)
{
	supply_link_t *own = ctx;
	supply_task_t *task = own->task;

	store_sync_link_ended(task->hearing, own->link, reason, loop_now_us());
	arm_hearing(task);
}

static bool on_open(void *ctx, store_sync_link_t *link)
{
	static const feed_client_ops_t ops = {.message = on_feed_message, .ended = on_feed_ended};
	supply_task_t *task = ctx;
	const vm_t *vm = vm_find(member_task_vms(task->members), link->vm);
	supply_link_t *own = g_new0(supply_link_t, 1);

	*own = (supply_link_t){.task = task, .link = link};
	own->client =
		vm ? feed_client_new(task->loop, vm->address, vm->feed_port, &ops, own) : NULL;
	link->data = own;
	if (!own->client)
		g_free(own);
	return own->client != NULL;
}

static void on_close(void *ctx, store_sync_link_t *link, const char *reason)
{
	supply_task_t *task = ctx;
	supply_link_t *own = link->data;

	if (store_sync_feed(task->hearing) == link)
		g_message("event=feed-lost vm=%s reason=%s age_us=%" G_GUINT64_FORMAT, link->vm,
			  reason, supply_task_age_us(task));
	else
		g_info("event=feed-not-taken vm=%s backup=%d reason=%s", link->vm, link->backup,
		       reason);
	feed_client_free(own->client);
	g_free(own);
}

static void on_ask_link(void *ctx, store_sync_link_t *link, uint32_t number)
{
	supply_task_t *task = ctx;
	g_autoptr(GByteArray) frames = g_byte_array_new();
	uint64_t now_us = loop_now_us();
	GHashTableIter iter;
	gpointer name, value;

	g_hash_table_iter_init(&iter, task->kinds[number].announced);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		announced_t *announced = value;
		const feed_message_t message = {
			.type = FEED_REQUEST, .kind = number, .name = name, .text = ""};

		if (announced->asked_us && now_us < announced->asked_us + ASK_AGAIN_US)
			continue;
		announced->asked_us = now_us;
		g_message("event=feed-asked vm=%s kind=%s name=%s", link->vm,
			  store_kind_name((store_kind_t)number), message.name);
		feed_message_write(frames, &message);
	}
	feed_client_write(client_of(link), frames);
}

static void on_taken(void *ctx, const store_sync_link_t *link)
{
	supply_task_t *task = ctx;

	g_message("event=feed-taken vm=%s backup=%d age_us=%" G_GUINT64_FORMAT, link->vm,
		  link->backup, supply_task_age_us(task));
	feed_server_clear(task->server);
}

/* ---- the other VMs ---- */

static void on_store_answered(void *ctx, bool answered)
{
	supply_task_t *task = ctx;

	store_sync_other_call_ended(task->hearing, answered, loop_now_us());
	arm_hearing(task);
}

static void set_waits(supply_task_t *task, bool feeds_others)
{
	uint32_t often_ms = feeds_others ? task->timing.feeder_watch_ms : task->timing.watch_ms;
	const uint32_t waits_ms[FED_KINDS_MOST] = {[STORE_SEARCHERS] = often_ms,
						   [STORE_CONFIGURATION] = often_ms,
						   [STORE_POISON] = POISON_WATCH_MS,
						   [STORE_EVACUATIONS] =
							   task->timing.evacuation_watch_ms};

	for (uint32_t i = 0; i < task->kind_count; i++)
		store_sync_set_wait(task->hearing, i, waits_ms[i]);
}

static void on_members(void *ctx)
{
	supply_task_t *task = ctx;
	const vm_t *own = member_task_own(task->members);
	const feed_vms_t all = {.vms = member_task_vms(task->members), .regions = task->regions};
	g_autoptr(GPtrArray) feeders = feed_choose_feeders(&all, own->name, own->data_centre);
	g_autoptr(GPtrArray) backups = feed_choose_backups(&all, own->name, own->data_centre);

	task->sights = feed_is_used(&all, own->data_centre);
	set_waits(task, task->sights && !feeders->len);
	store_sync_set_vms(task->hearing, feeders, backups, task->sights && !feeders->len,
			   loop_now_us());
	arm_hearing(task);
	task->ops->members(task->ctx);
}

/* ---- news ---- */

static feed_message_t news_of(const supply_task_t *task)
{
	const store_sync_status_t news = store_sync_status(task->hearing, loop_now_us());

	return (feed_message_t){.type = FEED_STATUS,
				.name = news.from,
				.text = "",
				.age_us = news.age_us,
				.unreliable = news.unreliable,
				.era = platform_task_era(task->platform)};
}

static void send_news(void *ctx)
{
	supply_task_t *task = ctx;
	const feed_message_t message = news_of(task);

	feed_server_tell(task->server, &message);
	loop_timer_set(task->loop, &task->news_timer, NEWS_PERIOD_US);
}

/* Before this VM has heard all at its start it has nothing to say. */
static bool on_greet(void *ctx, feed_message_t *news)
{
	supply_task_t *task = ctx;

	*news = news_of(task);
	return store_sync_has_data(task->hearing);
}

static void on_restored(void *ctx)
{
	supply_task_t *task = ctx;

	task->ops->restored(task->ctx, store_sync_watches(task->hearing));
	store_sync_restored(task->hearing, loop_now_us());
	arm_hearing(task);
	member_task_restored(task->members);
}

/* ---- start ---- */

static void start_followers(supply_task_t *task)
{
	static const follower_ops_t ops = {.list_begin = give_list_begin,
					   .object = give_object,
					   .list_end = give_list_end,
					   .ended = on_call_ended};

	for (uint32_t i = 0; i < task->kind_count; i++) {
		supply_kind_t *kind = &task->kinds[i];

		*kind = (supply_kind_t){.task = task, .kind = (store_kind_t)i};
		kind->announced = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
		kind->follower = follower_new(task->platform, kind->kind, &ops, kind);
	}
}

static void start_hearing(supply_task_t *task)
{
	static const store_sync_ops_t ops = {.call = on_ask,
					     .cancel = on_cancel,
					     .restart_list = on_list_anew,
					     .check_store = on_look,
					     .open = on_open,
					     .close = on_close,
					     .request_announced = on_ask_link,
					     .feed_changed = on_taken,
					     .unreachable = on_lost,
					     .recovered = on_back};
	static const store_sync_kind_t kinds[FED_KINDS_MOST] = {
		[STORE_SEARCHERS] = {.group_us = GROUP_US, .frequent = true},
		[STORE_CONFIGURATION] = {.group_us = OPERATOR_GROUP_US, .frequent = true},
		[STORE_POISON] = {.group_us = OPERATOR_GROUP_US},
		[STORE_EVACUATIONS] = {.group_us = OPERATOR_GROUP_US}};

	task->hearing_timer = (loop_timer_t){.fire = run_hearing, .ctx = task};
	task->hearing = store_sync_new(&task->timing, kinds, task->kind_count, STORE_CONFIGURATION,
				       &ops, task, g_random_int());
	set_waits(task, false);
	store_sync_start(task->hearing, loop_now_us());
	arm_hearing(task);
}

/* Whatever it is that changes. */
static uint32_t change_due_ms(const settings_t *settings)
{
	return settings->leave_ms ? MIN(settings->apply_ms, settings->leave_ms)
				  : settings->apply_ms;
}

supply_task_t *supply_task_new(loop_t *loop, const settings_t *settings, platform_task_t *platform,
			       const supply_ops_t *ops, void *ctx)
{
	static const member_ops_t member_ops = {.changed = on_members,
						.answered = on_store_answered};
	static const feed_server_ops_t server_ops = {.heard = on_heard, .greet = on_greet};
	supply_task_t *task = g_new0(supply_task_t, 1);
	const endpoint_setting_t *feed = &settings->front_feed;

	task->loop = loop;
	task->ops = ops;
	task->ctx = ctx;
	task->regions = g_hash_table_ref(settings->regions);
	task->sights = true; /* until it is known that the region is small */
	task->kind_count = settings->evacuate_ms ? FED_KINDS_MOST : STORE_EVACUATIONS;
	task->platform = platform;
	task->timing = feed_timing_for(change_due_ms(settings), settings->settle_ms,
				       settings->evacuate_ms);
	task->server = feed_server_new(loop, feed->address, feed->port, task->kind_count,
				       settings->link_mbps, &server_ops, task);
	if (!task->server)
		return NULL;
	task->news_timer = (loop_timer_t){.fire = send_news, .ctx = task};
	task->sightings = g_byte_array_new();
	task->sightings_timer = (loop_timer_t){.fire = send_sightings, .ctx = task};
	start_followers(task);
	start_hearing(task);
	platform_task_set_restored(platform, on_restored, task);
	task->members = member_task_new(loop, platform, own_vm_new(settings), &member_ops, task);
	loop_timer_set(loop, &task->news_timer, NEWS_PERIOD_US);
	return task;
}

void supply_task_refresh(supply_task_t *task)
{
	store_sync_refresh(task->hearing, loop_now_us());
	arm_hearing(task);
}

void supply_task_read_configuration(supply_task_t *task)
{
	store_sync_catch_up(task->hearing, STORE_CONFIGURATION, loop_now_us());
	arm_hearing(task);
}

const GPtrArray *supply_task_vms(const supply_task_t *task)
{
	return member_task_vms(task->members);
}

cold_members_t supply_task_cold_members(const supply_task_t *task)
{
	return member_task_cold_members(task->members);
}

uint64_t supply_task_age_us(const supply_task_t *task)
{
	return store_sync_age_us(task->hearing, loop_now_us());
}

uint32_t supply_task_kinds(const supply_task_t *task)
{
	return task->kind_count;
}

uint64_t supply_task_kind_age_us(const supply_task_t *task, store_kind_t kind)
{
	return store_sync_kind_age_us(task->hearing, kind, loop_now_us());
}

bool supply_task_is_fed(const supply_task_t *task)
{
	return store_sync_feed(task->hearing) != NULL;
}

uint64_t supply_task_era(const supply_task_t *task)
{
	return platform_task_era(task->platform);
}
