/**
 * @file member_feed.c
 * See member_feed.h.
 */
#include "tasks/member_feed.h"

#include "store.h"

struct member_feed_t {
	feed_server_t *server;
	GPtrArray *published; /* the list as it was last published */
	uint64_t era;	      /* the store era of the list that is being published */
};

member_feed_t *member_feed_new(feed_server_t *server)
{
	member_feed_t *feed = g_new0(member_feed_t, 1);

	feed->server = server;
	feed->published = vm_list_new();
	return feed;
}

bool member_feed_is_current(const member_feed_t *feed)
{
	return feed_server_has_list(feed->server, STORE_VMS);
}

static void publish(const member_feed_t *feed, feed_type_t type, const char *name, const char *text)
{
	const feed_message_t message = {
		.type = type, .kind = STORE_VMS, .name = name, .text = text, .era = feed->era};

	feed_server_publish(feed->server, &message);
}

static void on_change(void *ctx, const char *name, const vm_t *vm)
{
	g_autofree char *text = vm ? store_vm_content(vm) : NULL;

	publish(ctx, vm ? FEED_OBJECT : FEED_REMOVED, name, text ? text : "");
}

static GPtrArray *copy_list(const GPtrArray *vms)
{
	GPtrArray *copy = vm_list_new();

	for (guint i = 0; i < vms->len; i++)
		g_ptr_array_add(copy, vm_new(g_ptr_array_index(vms, i)));
	return copy;
}

void member_feed_publish(member_feed_t *feed, const GPtrArray *vms, uint64_t era)
{
	bool whole = !member_feed_is_current(feed);

	feed->era = era;
	if (whole) {
		g_ptr_array_set_size(feed->published, 0);
		publish(feed, FEED_LIST_BEGIN, "", "");
	}
	vm_list_compare(feed->published, vms, on_change, feed);
	if (whole)
		publish(feed, FEED_LIST_END, "", "");
	g_ptr_array_unref(feed->published);
	feed->published = copy_list(vms);
}
