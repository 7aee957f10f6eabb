/**
 * @file evacuation.h
 * Data centres that operators have evacuated: nothing new is sent to their searchers until the data
 * centre is reopened.
 *
 * The list is read in full, then updated by events. A store that is restored from an older copy of
 * its data may lack an evacuation that its operator is about to write again. So after a restore, a
 * missing evacuation stays in force for a grace period.
 */
#ifndef DS_EVACUATION_H
#define DS_EVACUATION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct evacuations_ops_t {
	/** @p data_centre is evacuated, or reopened. */
	void (*changed)(void *ctx, const char *data_centre, bool evacuated);
} evacuations_ops_t;

typedef struct evacuations_t evacuations_t;

evacuations_t *evacuations_new(const evacuations_ops_t *ops, void *ctx);
void evacuations_free(evacuations_t *evacuations);
/** Begin a complete list; call evacuations_put() for each entry, then evacuations_list_end(). */
void evacuations_list_begin(evacuations_t *evacuations);
void evacuations_put(evacuations_t *evacuations, const char *data_centre);
void evacuations_list_end(evacuations_t *evacuations, uint64_t now_us);
/** The operator has reopened @p data_centre. */
void evacuations_remove(evacuations_t *evacuations, const char *data_centre);
/** The store was restored from an older copy of its data: evacuations that its lists lack may be
 * written again.
 */
void evacuations_store_restored(evacuations_t *evacuations, uint64_t now_us);
uint32_t evacuations_count(const evacuations_t *evacuations);
/** Reopen data centres whose missing evacuation is past the grace period. Returns when to call
 * again, or UINT64_MAX. */
uint64_t evacuations_run(evacuations_t *evacuations, uint64_t now_us);

#endif
