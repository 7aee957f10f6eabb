/**
 * @file evacuation.h
 * Data centres that operators have evacuated: nothing new goes to their searchers, until they are
 * taken back.
 *
 * The list is taken in whole, then kept up by events. A store that comes back from a copy may have
 * lost an evacuation that its operator is about to write again: one that is missing then counts for
 * some time more.
 */
#ifndef DS_EVACUATION_H
#define DS_EVACUATION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct evacuations_ops_t {
	/** @p data_centre is evacuated, or taken back. */
	void (*changed)(void *ctx, const char *data_centre, bool evacuated);
} evacuations_ops_t;

typedef struct evacuations_t evacuations_t;

evacuations_t *evacuations_new(const evacuations_ops_t *ops, void *ctx);
void evacuations_free(evacuations_t *evacuations);
/** A whole list begins; evacuations_put() for each follows, then evacuations_list_end(). */
void evacuations_list_begin(evacuations_t *evacuations);
void evacuations_put(evacuations_t *evacuations, const char *data_centre);
void evacuations_list_end(evacuations_t *evacuations, uint64_t now_us);
/** The operator has taken @p data_centre back. */
void evacuations_remove(evacuations_t *evacuations, const char *data_centre);
/** The store came back from a copy: what is missing in its lists may be written again. */
void evacuations_store_restored(evacuations_t *evacuations, uint64_t now_us);
uint32_t evacuations_count(const evacuations_t *evacuations);
/** Take back those whose time has come; returns when to call again, or UINT64_MAX. */
uint64_t evacuations_run(evacuations_t *evacuations, uint64_t now_us);

#endif
