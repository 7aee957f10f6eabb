/**
 * @file store_era.h
 * Which life of the platform's store a word of it is from.
 *
 * The store may come back from a copy some seconds old. What was written since is gone, and its
 * revisions are given out again, so what was known by a revision of before says nothing now. Its
 * era rises each time: a word of a later era makes everything be read anew, one of an earlier era
 * is not believed.
 */
#ifndef DS_STORE_ERA_H
#define DS_STORE_ERA_H

#include <stdbool.h>
#include <stdint.h>

typedef enum store_era_news_t {
	STORE_ERA_SAME,
	STORE_ERA_OLDER, /**< said by the store before it came back */
	STORE_ERA_NEWER, /**< the store has come back from a copy */
} store_era_news_t;

/** The latest era that was heard of. Zeroed: none was. */
typedef struct store_era_t {
	uint64_t number;
	bool known;
} store_era_t;

/** A word of the store's era @p number has been heard. */
store_era_news_t store_era_take(store_era_t *era, uint64_t number);

#endif
