/**
 * @file supply_task.c
 * See supply_task.h.
 */
#include "tasks/supply_task.h"

#include "core/feed_timing.h"
#include "tasks/feed_client.h"
#include "tasks/feed_server.h"
#include "tasks/follower.h"
#include "tasks/own_vm.h"

#include <string.h>

/* Three of these may be lost before a subscriber gives its feed up. */
#define NEWS_PERIOD_US 500000
/* After a feed failed, the store is watched for a while; random, so that VMs do not all move. */
#define AGAIN_LEAST_US 3000000
#define AGAIN_MOST_US 6000000
/* A VM that starts first learns whom it may hear the store from: a read of the list of VMs, then a
 * connection within the data centre, a few ms each, or 0.7 s among the first of many VMs. Past this
 * it reads the store itself all the same. */
#define START_MOST_US 1200000
/* To ask the other feeders whether they hear the store: each says so within NEWS_PERIOD_US. */
#define SEEK_US 1000000
/* A look at the store: a slow one was seen to take 0.4 s for an answer. */
#define LOOK_TIMEOUT_US 1500000
/* Until then, VMs that start together with this one may not listen yet: asked again so soon. */
#define START_AGAIN_US 100000
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
 * the list is read again.
 */
#define POISON_WATCH_MS 20000

/** One kind of objects being followed. */
typedef struct supply_kind_t {
	supply_task_t *task;
	store_kind_t kind;
	follower_t *follower;
	bool fed;   /* the feed has sent its list */
	bool waits; /* to be followed once the store answers */
} supply_kind_t;

struct supply_task_t {
	loop_t *loop;
	const supply_ops_t *ops;
	void *ctx;
	GRand *rand;
	member_task_t *members;
	GHashTable *regions; /* data centre to region */
	supply_kind_t kinds[FED_KINDS_MOST];
	uint32_t kind_count;
	feed_server_t *server;
	feed_client_t *client; /* NULL without a feed */
	char *feeder;	       /* name of the VM that feeds us; NULL without a feed */
	uint32_t tries;	       /* feeds tried so far */
	bool following;	       /* watches the store itself */
	bool fed;	       /* a feeder has told all of it, and goes on telling */
	bool feeds;	       /* keeps what it knows for VMs that ask */
	bool away;	       /* the store can't be heard */
	uint64_t fed_heard_us; /* when the feeder last heard the store */
	feed_timing_t timing;
	loop_timer_t stale_timer; /* when the feed's news will be too old */
	loop_timer_t news_timer;
	loop_timer_t again_timer;
	loop_timer_t start_timer;
	loop_timer_t look_timer; /* when to see whether the store can be reached from here */
	bool looking;
	platform_task_t *platform;
	GByteArray *sightings; /* frames that wait to be told */
	loop_timer_t sightings_timer;
};

static void note_away(supply_task_t *task, bool away)
{
	if (task->away == away)
		return;
	task->away = away;
	if (away)
		task->ops->lost(task->ctx);
	else
		task->ops->back(task->ctx);
}

/* ---- what comes in, from wherever ---- */

static void tell(supply_kind_t *kind, feed_type_t type, const store_object_t *object)
{
	const supply_task_t *task = kind->task;
	feed_message_t message;
	char *text;
	bool fits;

	if (!task->feeds || !task->following)
		return;
	text = object ? json_dumps(object->content, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;
	fits = text && feed_may_tell(strlen(text), feed_server_subscribers(task->server),
				     member_task_own(task->members)->link_mbps);
	if (type == FEED_OBJECT && text && !fits)
		type = FEED_CHANGED;
	message = (feed_message_t){.type = type,
				   .kind = kind->kind,
				   .name = object ? object->name : "",
				   .text = fits ? text : "",
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

/* While the store is away it is tried for one kind; when that is read, for the others. */
static void follow_rest(supply_task_t *task)
{
	for (uint32_t i = 0; i < task->kind_count; i++) {
		supply_kind_t *kind = &task->kinds[i];

		if (kind->waits && task->following)
			follower_refresh(kind->follower, false);
		kind->waits = false;
	}
}

static void on_list_read(void *ctx)
{
	supply_kind_t *kind = ctx;

	give_list_end(kind);
	follow_rest(kind->task);
}

/* Whether the kind tells how old what is known is. */
static bool is_watched_often(store_kind_t kind)
{
	return kind == STORE_SEARCHERS || kind == STORE_CONFIGURATION;
}

/* A watch that waits for long on a connection that went silent hears nothing of what came. */
static void catch_up_on_rest(supply_task_t *task)
{
	if (!task->following)
		return;
	for (uint32_t i = 0; i < task->kind_count; i++)
		if (!is_watched_often((store_kind_t)i))
			follower_catch_up(task->kinds[i].follower);
}

static void on_lost(void *ctx)
{
	const supply_kind_t *kind = ctx;

	if (is_watched_often(kind->kind))
		note_away(kind->task, true);
}

static void on_back(void *ctx)
{
	const supply_kind_t *kind = ctx;

	if (!is_watched_often(kind->kind))
		return;
	note_away(kind->task, false);
	catch_up_on_rest(kind->task);
}

/* ---- following the store, or a feed ---- */

static void follow_store(void *ctx)
{
	supply_task_t *task = ctx;

	loop_timer_cancel(&task->start_timer);
	if (task->following)
		return;
	task->following = true;
	for (uint32_t i = 0; i < task->kind_count; i++)
		task->kinds[i].waits = task->away && i != STORE_CONFIGURATION;
	for (uint32_t i = 0; i < task->kind_count; i++)
		if (!task->kinds[i].waits)
			follower_refresh(task->kinds[i].follower, task->away);
}

static void stop_following(supply_task_t *task)
{
	task->following = false;
	for (uint32_t i = 0; i < task->kind_count; i++)
		follower_pause(task->kinds[i].follower);
}

static void drop_feed(supply_task_t *task)
{
	if (task->client)
		feed_client_free(task->client);
	task->client = NULL;
	loop_timer_cancel(&task->look_timer);
	loop_timer_cancel(&task->stale_timer);
	g_free(task->feeder);
	task->feeder = NULL;
	task->fed = false;
	for (uint32_t i = 0; i < task->kind_count; i++)
		task->kinds[i].fed = false;
}

static bool is_starting(const supply_task_t *task)
{
	return task->start_timer.entry.place != 0;
}

static bool seek_other(supply_task_t *task);

static uint64_t random_us(supply_task_t *task, uint64_t least_us, uint64_t most_us)
{
	return (uint64_t)g_rand_int_range(task->rand, (gint32)least_us, (gint32)most_us);
}

static void close_feed(supply_task_t *task, const char *reason)
{
	g_message("event=feed-lost vm=%s reason=%s age_us=%" G_GUINT64_FORMAT, task->feeder, reason,
		  supply_task_age_us(task));
	drop_feed(task);
}

static void follow_for_a_while(supply_task_t *task)
{
	follow_store(task);
	loop_timer_set(task->loop, &task->again_timer,
		       random_us(task, AGAIN_LEAST_US, AGAIN_MOST_US));
}

static void leave_feed(supply_task_t *task, const char *reason)
{
	if (!task->client)
		return;
	close_feed(task, reason);
	task->tries++;
	if (seek_other(task))
		return;
	if (is_starting(task))
		loop_timer_set(task->loop, &task->again_timer, START_AGAIN_US);
	else
		follow_for_a_while(task);
}

static bool is_fed_whole(const supply_task_t *task)
{
	for (uint32_t i = 0; i < task->kind_count; i++)
		if (!task->kinds[i].fed)
			return false;
	return true;
}

/*
 * A feeder that is cut off from the store goes on telling that nothing has changed. Its news grow
 * old meanwhile; past what they are on a sound feeder this VM reads the store itself, and a change
 * is in force in time. Seen without: an old configuration in use 3.7 s after the next was accepted.
 */
static void on_stale(void *ctx)
{
	leave_feed(ctx, "news-old");
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

	task->looking = false;
	g_info("event=store-looked-at status=%d outcome=%s", result->status,
	       result->status == 200 ? "reached" : "away");
	if (!task->client || !task->away)
		return;
	if (result->status == 200) {
		take_look(task, result);
		note_away(task, false);
		leave_feed(task, "store-reached");
	} else {
		loop_timer_set(
			task->loop, &task->look_timer,
			random_us(task, task->timing.look_least_us, task->timing.look_most_us));
	}
}

static void look_at_store(void *ctx)
{
	supply_task_t *task = ctx;
	g_autofree char *target = store_list_target(STORE_CONFIGURATION, NULL);

	if (task->looking || !task->client)
		return;
	task->looking = true;
	platform_task_fetch(task->platform, target, LOOK_TIMEOUT_US, on_looked, task);
}

/* The first look comes before the news are too old: the store may have turned away only the feeder,
 * which then notices after its watch was in vain, when a change may be due in a second. */
static uint64_t first_look_us(supply_task_t *task, uint64_t age_us)
{
	uint64_t most_us = task->timing.age_most_us;
	uint64_t used_us = age_us + SEEK_US;
	uint64_t left_us = most_us > used_us ? most_us - used_us : 0;

	return random_us(task, 0, MIN(left_us, task->timing.look_most_us) + 1);
}

/* Of a feeder that is relied on. */
static void note_doubt(supply_task_t *task, bool doubt, uint64_t age_us)
{
	if (task->away == doubt)
		return;
	note_away(task, doubt);
	if (doubt)
		loop_timer_set(task->loop, &task->look_timer, first_look_us(task, age_us));
	else
		loop_timer_cancel(&task->look_timer);
}

static void take_news(supply_task_t *task, const feed_message_t *message)
{
	feed_verdict_t verdict =
		feed_judge(&task->timing, task->fed, message->away, message->age_us);

	if (verdict == FEED_LEAVE) {
		leave_feed(task, message->away ? "store-away" : "news-old");
		return;
	}
	if (task->fed)
		note_doubt(task, verdict == FEED_DOUBT, message->age_us);
	task->fed_heard_us = loop_now_us() - message->age_us;
	if (verdict == FEED_DOUBT)
		loop_timer_cancel(&task->stale_timer);
	else
		loop_timer_set(task->loop, &task->stale_timer,
			       task->timing.age_most_us - message->age_us);
	if (task->fed || !is_fed_whole(task))
		return;
	task->fed = true;
	loop_timer_cancel(&task->start_timer);
	g_message("event=feed-taken vm=%s age_us=%" G_GUINT64_FORMAT, task->feeder,
		  message->age_us);
	stop_following(task);
	feed_server_clear(task->server);
	note_away(task, false);
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

	if (task->fed)
		feed_client_write(task->client, task->sightings);
	else
		feed_server_write(task->server, task->sightings);
	g_byte_array_set_size(task->sightings, 0);
}

void supply_task_tell(supply_task_t *task, const sighting_t *sighting)
{
	char born[24];
	const feed_message_t message = {.type = FEED_SIGHTING,
					.kind = sighting->type,
					.name = sighting->searcher,
					.text = born,
					.age_us = sighting->after_us};

	snprintf(born, sizeof(born), "%" G_GUINT64_FORMAT, sighting->born_ms);

	if (!task->feeds || task->sightings->len > SIGHTINGS_MOST_BYTES)
		return;
	if (!task->sightings->len)
		loop_timer_set(task->loop, &task->sightings_timer, SIGHTINGS_GROUP_US);
	feed_message_write(task->sightings, &message);
}

/* The feed's list is taken while the store is still watched: both say the same, or nearly, and the
 * later of two reports about a searcher or a version wins wherever it comes from. */
static void on_feed_message(void *ctx, const feed_message_t *message)
{
	supply_task_t *task = ctx;
	supply_kind_t *kind = message->kind < task->kind_count ? &task->kinds[message->kind] : NULL;

	/* Of a feeder that has not heard yet that the store is another one: its next list will be
	 * of this one, or its news grow too old. */
	if (message->type != FEED_SIGHTING &&
	    platform_task_take_era(task->platform, message->era) == STORE_ERA_OLDER)
		return;
	if (message->type == FEED_NEWS) {
		take_news(task, message);
		return;
	}
	if (message->type == FEED_SIGHTING) {
		take_sighting(task, message);
		return;
	}
	if (!kind)
		return;
	switch (message->type) {
	case FEED_LIST_BEGIN:
		give_list_begin(kind);
		break;
	case FEED_LIST_END:
		give_list_end(kind);
		kind->fed = true;
		break;
	case FEED_CHANGED:
		g_message("event=feed-announced kind=%s name=%s outcome=read-from-store",
			  store_kind_name(kind->kind), message->name);
		follower_read_once(kind->follower);
		break;
	default:
		take_object(kind, message);
	}
}

static void on_feed_ended(void *ctx, const char *reason)
{
	leave_feed(ctx, reason);
}

static GPtrArray *feeders_of(const supply_task_t *task)
{
	const vm_t *own = member_task_own(task->members);

	const feed_vms_t all = {.vms = member_task_vms(task->members), .regions = task->regions};

	return feed_choose(&all, own->name, own->data_centre);
}

static void take_feed(supply_task_t *task, const vm_t *feeder)
{
	static const feed_client_ops_t ops = {.message = on_feed_message, .ended = on_feed_ended};

	task->client = feed_client_new(task->loop, feeder->address, feeder->feed_port, &ops, task);
	if (task->client)
		task->feeder = g_strdup(feeder->name);
}

/* All VMs of a region that turn to the store because one of them is gone would cost more calls
 * than the feed saved: the next feeder is asked first, unless all have failed in this round. */
static bool seek_other(supply_task_t *task)
{
	g_autoptr(GPtrArray) feeders = feeders_of(task);

	if (!feeders->len || task->tries % feeders->len == 0)
		return false;
	take_feed(task, g_ptr_array_index(feeders, task->tries % feeders->len));
	return task->client != NULL;
}

static void seek_feed(void *ctx)
{
	supply_task_t *task = ctx;
	g_autoptr(GPtrArray) feeders = feeders_of(task);

	if (!task->client && feeders->len)
		take_feed(task, g_ptr_array_index(feeders, task->tries % feeders->len));
}

/* Before anything is followed or fed, this is all that is known of the store. A VM that starts
 * while the store is away tries it seldom for its lists, and must not wait for the next try once it
 * is back.
 */
static void on_store_answered(void *ctx, bool answered)
{
	supply_task_t *task = ctx;

	if (answered && task->following && task->away) {
		note_away(task, false);
		task->following = false;
		follow_store(task);
	} else if (answered || (!task->following && !task->fed)) {
		note_away(task, !answered);
	}
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
		follower_set_wait(task->kinds[i].follower, waits_ms[i]);
}

static void on_members(void *ctx)
{
	supply_task_t *task = ctx;
	const vm_t *own = member_task_own(task->members);
	g_autoptr(GPtrArray) feeders = feeders_of(task);

	const feed_vms_t all = {.vms = member_task_vms(task->members), .regions = task->regions};

	task->feeds = feed_is_used(&all, own->data_centre);
	set_waits(task, task->feeds && !feeders->len);
	if (!task->feeds)
		feed_server_clear(task->server);
	if (task->client && !feeders->len)
		leave_feed(task, "chosen-to-watch");
	else if (!task->again_timer.entry.place)
		seek_feed(task);
	if (!task->client)
		follow_store(task);
	task->ops->members(task->ctx);
}

/*
 * A feeder whose news would be left for their age can't be relied on, and says so: then its
 * subscribers look for themselves, and stay. After an outage it hears one kind of objects again
 * before the other; saying that it heard the store, with the age of the other, made all subscribers
 * leave it in the moment of the store's return.
 */
static bool is_unsure(const supply_task_t *task)
{
	return task->away || !feed_server_is_known(task->server) ||
	       supply_task_age_us(task) > task->timing.age_most_us;
}

static void send_news(void *ctx)
{
	supply_task_t *task = ctx;
	const feed_message_t message = {.type = FEED_NEWS,
					.age_us = supply_task_age_us(task),
					.away = is_unsure(task),
					.era = platform_task_era(task->platform)};

	feed_server_tell(task->server, &message);
	loop_timer_set(task->loop, &task->news_timer, NEWS_PERIOD_US);
}

static void on_restored(void *ctx)
{
	supply_task_t *task = ctx;

	task->ops->restored(task->ctx, task->following);
	for (uint32_t i = 0; i < task->kind_count; i++)
		follower_restored(task->kinds[i].follower);
	member_task_restored(task->members);
}

/* ---- start ---- */

static void start_followers(supply_task_t *task, platform_task_t *platform)
{
	static const follower_ops_t ops = {.list_begin = give_list_begin,
					   .object = give_object,
					   .list_end = on_list_read,
					   .lost = on_lost,
					   .back = on_back};

	for (uint32_t i = 0; i < task->kind_count; i++) {
		supply_kind_t *kind = &task->kinds[i];

		*kind = (supply_kind_t){.task = task, .kind = (store_kind_t)i};
		kind->follower = follower_new(task->loop, platform, kind->kind, &ops, kind);
	}
	loop_timer_set(task->loop, &task->start_timer, START_MOST_US);
}

supply_task_t *supply_task_new(loop_t *loop, const settings_t *settings, platform_task_t *platform,
			       const supply_ops_t *ops, void *ctx)
{
	static const member_ops_t member_ops = {.changed = on_members,
						.answered = on_store_answered};
	supply_task_t *task = g_new0(supply_task_t, 1);
	const endpoint_setting_t *feed = &settings->front_feed;

	task->loop = loop;
	task->ops = ops;
	task->ctx = ctx;
	task->rand = g_rand_new();
	task->regions = g_hash_table_ref(settings->regions);
	task->kind_count = settings->evacuate_ms ? FED_KINDS_MOST : STORE_EVACUATIONS;
	task->feeds = true; /* until it is known that the data centre is small */
	task->server =
		feed_server_new(loop, feed->address, feed->port, task->kind_count, on_heard, task);
	if (!task->server)
		return NULL;
	task->news_timer = (loop_timer_t){.fire = send_news, .ctx = task};
	task->again_timer = (loop_timer_t){.fire = seek_feed, .ctx = task};
	task->sightings = g_byte_array_new();
	task->sightings_timer = (loop_timer_t){.fire = send_sightings, .ctx = task};
	task->start_timer = (loop_timer_t){.fire = follow_store, .ctx = task};
	task->stale_timer = (loop_timer_t){.fire = on_stale, .ctx = task};
	task->look_timer = (loop_timer_t){.fire = look_at_store, .ctx = task};
	task->platform = platform;
	task->timing =
		feed_timing_for(settings->apply_ms, settings->settle_ms, settings->evacuate_ms);
	start_followers(task, platform);
	set_waits(task, false);
	platform_task_set_restored(platform, on_restored, task);
	task->members = member_task_new(loop, platform, own_vm_new(settings), &member_ops, task);
	loop_timer_set(loop, &task->news_timer, NEWS_PERIOD_US);
	return task;
}

void supply_task_refresh(supply_task_t *task)
{
	if (task->following) {
		task->following = false;
		follow_store(task);
		return;
	}
	leave_feed(task, "refresh");
}

void supply_task_read_configuration(supply_task_t *task)
{
	follower_catch_up(task->kinds[STORE_CONFIGURATION].follower);
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
	uint64_t now_us = loop_now_us(), oldest_us = now_us;

	if (task->fed)
		return now_us - task->fed_heard_us;
	for (uint32_t i = 0; i < task->kind_count; i++)
		if (is_watched_often((store_kind_t)i))
			oldest_us = MIN(oldest_us, follower_heard_us(task->kinds[i].follower));
	return now_us - oldest_us;
}

uint32_t supply_task_kinds(const supply_task_t *task)
{
	return task->kind_count;
}

uint64_t supply_task_kind_age_us(const supply_task_t *task, store_kind_t kind)
{
	return loop_now_us() - follower_heard_us(task->kinds[kind].follower);
}

bool supply_task_is_fed(const supply_task_t *task)
{
	return task->fed;
}

uint64_t supply_task_era(const supply_task_t *task)
{
	return platform_task_era(task->platform);
}
