/**
 * @file follow.h
 * What a VM asks the platform's store next about one kind of objects: its whole list, a watch for
 * changes, or nothing because another VM tells it of them.
 */
#ifndef DS_FOLLOW_H
#define DS_FOLLOW_H

#include <stdbool.h>

typedef enum follow_ask_t {
	FOLLOW_NOTHING,
	FOLLOW_LIST,
	FOLLOW_WATCH,
} follow_ask_t;

/** Zero-initialised: nothing is asked yet. */
typedef struct follow_t {
	bool watches; /**< changes are heard from the store itself */
	bool lists;   /**< the list is not read to its end */
	bool owed;    /**< another VM announced a change that it did not tell: the list must be read
		       */
} follow_t;

/** Hear the store itself, from a whole list on. */
void follow_start(follow_t *follow);
/** Another VM tells of changes from here on. */
void follow_stop(follow_t *follow);
/** Another VM says that something has changed, without what. */
void follow_announced(follow_t *follow);
/** The history between the list and now is gone. */
void follow_again(follow_t *follow);
/** The list was read to its end. */
void follow_listed(follow_t *follow);
follow_ask_t follow_next(const follow_t *follow);

#endif
