/**
 * @file store_era.h
 * Compares store eras, to detect that the platform's store was restored from an older copy.
 *
 * The store may be restored from a copy that is some seconds old. What was written since is lost,
 * and its revisions are assigned again, so a revision known from before the restore means nothing
 * now. The store's era increases with each restore: a message with a later era causes everything to
 * be read again, and one with an earlier era is ignored.
 */
#ifndef DS_STORE_ERA_H
#define DS_STORE_ERA_H

#include <stdbool.h>
#include <stdint.h>

typedef enum store_era_change_t {
	STORE_ERA_SAME,
	STORE_ERA_OLDER, /**< written by the store before it was restored */
	STORE_ERA_NEWER, /**< the store has been restored from an older copy */
} store_era_change_t;

/** The latest era received. Zeroed: none yet. */
typedef struct store_era_t {
	uint64_t number;
	bool known;
} store_era_t;

/** Records a message with era @p number, and compares it with the latest era received. */
store_era_change_t store_era_observe(store_era_t *era, uint64_t number);

#endif
