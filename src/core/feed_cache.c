/**
 * @file feed_cache.c
 * See feed_cache.h.
 */
#include "core/feed_cache.h"

/** A cached object. */
typedef struct cached_object_t {
	char *text;
	bool announced; /* too large to be sent to all subscribers: only announced */
} cached_object_t;

struct feed_cache_t {
	uint32_t kind;
	GHashTable *objects; /* name to cached_object_t */
	GHashTable *listing; /* the list being received; NULL between lists */
	bool complete;
	uint64_t era; /* the store era of the list */
};

static void cached_object_free(void *data)
{
	cached_object_t *object = data;

	g_free(object->text);
	g_free(object);
}

static GHashTable *objects_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, cached_object_free);
}

static void put(GHashTable *objects, const feed_message_t *message)
{
	cached_object_t *object = g_new(cached_object_t, 1);

	*object = (cached_object_t){.text = g_strdup(message->text),
				    .announced = message->type == FEED_ANNOUNCED};
	g_hash_table_insert(objects, g_strdup(message->name), object);
}

feed_cache_t *feed_cache_new(uint32_t kind)
{
	feed_cache_t *cache = g_new0(feed_cache_t, 1);

	cache->kind = kind;
	cache->objects = objects_new();
	return cache;
}

void feed_cache_free(feed_cache_t *cache)
{
	g_hash_table_unref(cache->objects);
	if (cache->listing)
		g_hash_table_unref(cache->listing);
	g_free(cache);
}

static void finish_list(feed_cache_t *cache)
{
	if (!cache->listing)
		return;
	g_hash_table_unref(cache->objects);
	cache->objects = cache->listing;
	cache->listing = NULL;
	cache->complete = true;
}

void feed_cache_apply(feed_cache_t *cache, const feed_message_t *message)
{
	GHashTable *objects = cache->listing ? cache->listing : cache->objects;

	switch (message->type) {
	case FEED_LIST_BEGIN:
		if (cache->listing)
			g_hash_table_unref(cache->listing);
		cache->listing = objects_new();
		cache->era = message->era;
		break;
	case FEED_OBJECT:
	case FEED_ANNOUNCED:
		put(objects, message);
		break;
	case FEED_REMOVED:
		g_hash_table_remove(objects, message->name);
		break;
	case FEED_LIST_END:
		finish_list(cache);
		break;
	default:
		break;
	}
}

void feed_cache_clear(feed_cache_t *cache)
{
	if (cache->listing)
		g_hash_table_unref(cache->listing);
	cache->listing = NULL;
	g_hash_table_remove_all(cache->objects);
	cache->complete = false;
}

bool feed_cache_is_complete(const feed_cache_t *cache)
{
	return cache->complete;
}

static void write_objects(const feed_cache_t *cache, GHashTable *objects, GByteArray *out)
{
	GHashTableIter iter;
	gpointer name, value;

	feed_message_write(
		out,
		&(feed_message_t){.type = FEED_LIST_BEGIN, .kind = cache->kind, .era = cache->era});
	g_hash_table_iter_init(&iter, objects);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const cached_object_t *object = value;
		bool announced = object->announced;

		feed_message_write(
			out, &(feed_message_t){.type = announced ? FEED_ANNOUNCED : FEED_OBJECT,
					       .kind = cache->kind,
					       .name = name,
					       .text = announced ? "" : object->text,
					       .era = cache->era});
	}
}

void feed_cache_write(const feed_cache_t *cache, GByteArray *out)
{
	if (cache->complete) {
		write_objects(cache, cache->objects, out);
		feed_message_write(out, &(feed_message_t){.type = FEED_LIST_END,
							  .kind = cache->kind,
							  .era = cache->era});
	}
	if (cache->listing)
		write_objects(cache, cache->listing, out);
}

bool feed_cache_find(const feed_cache_t *cache, const char *name, feed_message_t *message)
{
	const cached_object_t *object = NULL;

	if (cache->listing)
		object = g_hash_table_lookup(cache->listing, name);
	if (!object)
		object = g_hash_table_lookup(cache->objects, name);
	if (!object)
		return false;
	*message = (feed_message_t){.type = FEED_OBJECT,
				    .kind = cache->kind,
				    .name = name,
				    .text = object->text,
				    .era = cache->era};
	return true;
}
