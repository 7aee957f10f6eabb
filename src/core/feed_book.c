/**
 * @file feed_book.c
 * See feed_book.h.
 */
#include "core/feed_book.h"

/** An object. */
typedef struct page_t {
	char *text;
	bool announced; /* it is too large to be told to all */
} page_t;

struct feed_book_t {
	uint32_t kind;
	GHashTable *objects; /* name to page_t */
	GHashTable *listing; /* the list being taken in; NULL between lists */
	bool known;
	uint64_t era; /* of the store whose list it is */
};

static void page_free(void *data)
{
	page_t *page = data;

	g_free(page->text);
	g_free(page);
}

static GHashTable *pages_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, page_free);
}

static void put(GHashTable *objects, const feed_message_t *message)
{
	page_t *page = g_new(page_t, 1);

	*page = (page_t){.text = g_strdup(message->text),
			 .announced = message->type == FEED_CHANGED};
	g_hash_table_insert(objects, g_strdup(message->name), page);
}

feed_book_t *feed_book_new(uint32_t kind)
{
	feed_book_t *book = g_new0(feed_book_t, 1);

	book->kind = kind;
	book->objects = pages_new();
	return book;
}

void feed_book_free(feed_book_t *book)
{
	g_hash_table_unref(book->objects);
	if (book->listing)
		g_hash_table_unref(book->listing);
	g_free(book);
}

static void end_list(feed_book_t *book)
{
	if (!book->listing)
		return;
	g_hash_table_unref(book->objects);
	book->objects = book->listing;
	book->listing = NULL;
	book->known = true;
}

void feed_book_take(feed_book_t *book, const feed_message_t *message)
{
	GHashTable *objects = book->listing ? book->listing : book->objects;

	switch (message->type) {
	case FEED_LIST_BEGIN:
		if (book->listing)
			g_hash_table_unref(book->listing);
		book->listing = pages_new();
		book->era = message->era;
		break;
	case FEED_OBJECT:
	case FEED_CHANGED:
		put(objects, message);
		break;
	case FEED_REMOVED:
		g_hash_table_remove(objects, message->name);
		break;
	case FEED_LIST_END:
		end_list(book);
		break;
	default:
		break;
	}
}

void feed_book_clear(feed_book_t *book)
{
	if (book->listing)
		g_hash_table_unref(book->listing);
	book->listing = NULL;
	g_hash_table_remove_all(book->objects);
	book->known = false;
}

bool feed_book_is_known(const feed_book_t *book)
{
	return book->known;
}

void feed_book_write(const feed_book_t *book, GByteArray *out)
{
	GHashTableIter iter;
	gpointer name, value;

	if (!book->known)
		return;
	feed_message_write(
		out,
		&(feed_message_t){.type = FEED_LIST_BEGIN, .kind = book->kind, .era = book->era});
	g_hash_table_iter_init(&iter, book->objects);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const page_t *page = value;
		bool announced = page->announced;

		feed_message_write(out,
				   &(feed_message_t){.type = announced ? FEED_CHANGED : FEED_OBJECT,
						     .kind = book->kind,
						     .name = name,
						     .text = announced ? "" : page->text,
						     .era = book->era});
	}
	feed_message_write(
		out,
		&(feed_message_t){.type = FEED_LIST_END, .kind = book->kind, .era = book->era});
}

bool feed_book_find(const feed_book_t *book, const char *name, feed_message_t *message)
{
	const page_t *page = g_hash_table_lookup(book->objects, name);

	if (!page)
		return false;
	*message = (feed_message_t){.type = FEED_OBJECT,
				    .kind = book->kind,
				    .name = name,
				    .text = page->text,
				    .era = book->era};
	return true;
}
