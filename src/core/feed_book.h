/**
 * @file feed_book.h
 * The objects of one kind as this VM knows them, kept as text to be handed on to subscribers.
 */
#ifndef DS_FEED_BOOK_H
#define DS_FEED_BOOK_H

#include "core/feed_message.h"

typedef struct feed_book_t feed_book_t;

feed_book_t *feed_book_new(uint32_t kind);
void feed_book_free(feed_book_t *book);
/** Take in a message about this kind of objects. */
void feed_book_take(feed_book_t *book, const feed_message_t *message);
/** Forget everything. */
void feed_book_clear(feed_book_t *book);
/** Whether a whole list was taken in. */
bool feed_book_is_known(const feed_book_t *book);
/** The whole object @p name as a message, which borrows; false when there is none. */
bool feed_book_find(const feed_book_t *book, const char *name, feed_message_t *message);
/** Append the whole list as messages; nothing before it is known. */
void feed_book_write(const feed_book_t *book, GByteArray *out);

#endif
