/**
 * @file feed_book.c
 * See feed_book.h.
 */
#include "core/feed_book.h"

struct feed_book_t {
	uint32_t kind;
	GHashTable *objects; /* name to text; NULL for one that is only announced */
	GHashTable *listing; /* the list being taken in; NULL between lists */
	bool known;
	uint64_t era; /* of the store whose list it is */
};

static GHashTable *texts_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

feed_book_t *feed_book_new(uint32_t kind)
{
	feed_book_t *book = g_new0(feed_book_t, 1);

	book->kind = kind;
	book->objects = texts_new();
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
		book->listing = texts_new();
		book->era = message->era;
		break;
	case FEED_OBJECT:
		g_hash_table_insert(objects, g_strdup(message->name), g_strdup(message->text));
		break;
	case FEED_CHANGED:
		g_hash_table_insert(objects, g_strdup(message->name), NULL);
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
	gpointer name, text;

	if (!book->known)
		return;
	feed_message_write(
		out,
		&(feed_message_t){.type = FEED_LIST_BEGIN, .kind = book->kind, .era = book->era});
	g_hash_table_iter_init(&iter, book->objects);
	while (g_hash_table_iter_next(&iter, &name, &text))
		feed_message_write(out, &(feed_message_t){.type = text ? FEED_OBJECT : FEED_CHANGED,
							  .kind = book->kind,
							  .name = name,
							  .text = text,
							  .era = book->era});
	feed_message_write(
		out,
		&(feed_message_t){.type = FEED_LIST_END, .kind = book->kind, .era = book->era});
}
