/**
 * @file evacuation.c
 * See evacuation.h.
 */
#include "core/evacuation.h"

/* Grace period in which operators rewrite evacuations that a restored store has lost. Not using a
 * data centre for some seconds more does less harm than sending work to one that is about to lose
 * power. */
#define RESTORE_GRACE_US 5000000

typedef struct entry_t {
	bool listed;  /* in the list that is being read */
	bool missing; /* not in the last list; kept while a restored store may lack it */
} entry_t;

struct evacuations_t {
	const evacuations_ops_t *ops;
	void *ctx;
	GHashTable *entries;	       /* data centre to entry_t */
	uint64_t restore_grace_end_us; /* end of the grace period after a restore of the store */
};

evacuations_t *evacuations_new(const evacuations_ops_t *ops, void *ctx)
{
	evacuations_t *evacuations = g_new0(evacuations_t, 1);

	evacuations->ops = ops;
	evacuations->ctx = ctx;
	evacuations->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return evacuations;
}

void evacuations_free(evacuations_t *evacuations)
{
	g_hash_table_unref(evacuations->entries);
	g_free(evacuations);
}

void evacuations_put(evacuations_t *evacuations, const char *data_centre)
{
	entry_t *entry = g_hash_table_lookup(evacuations->entries, data_centre);
	bool added = !entry;

	if (added) {
		entry = g_new0(entry_t, 1);
		g_hash_table_insert(evacuations->entries, g_strdup(data_centre), entry);
	}
	entry->listed = true;
	entry->missing = false;
	if (added)
		evacuations->ops->changed(evacuations->ctx, data_centre, true);
}

void evacuations_remove(evacuations_t *evacuations, const char *data_centre)
{
	g_autofree char *name = g_strdup(data_centre); /* the table may own the argument */

	if (g_hash_table_remove(evacuations->entries, name))
		evacuations->ops->changed(evacuations->ctx, name, false);
}

void evacuations_list_begin(evacuations_t *evacuations)
{
	GHashTableIter iter;
	gpointer entry;

	g_hash_table_iter_init(&iter, evacuations->entries);
	while (g_hash_table_iter_next(&iter, NULL, &entry))
		((entry_t *)entry)->listed = false;
}

void evacuations_list_end(evacuations_t *evacuations, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, evacuations->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		entry_t *entry = value;

		entry->missing = !entry->listed;
	}
	evacuations_run(evacuations, now_us);
}

void evacuations_store_restored(evacuations_t *evacuations, uint64_t now_us)
{
	evacuations->restore_grace_end_us = now_us + RESTORE_GRACE_US;
}

uint32_t evacuations_count(const evacuations_t *evacuations)
{
	return g_hash_table_size(evacuations->entries);
}

static const char *first_missing(const evacuations_t *evacuations)
{
	GHashTableIter iter;
	gpointer name, entry;

	g_hash_table_iter_init(&iter, evacuations->entries);
	while (g_hash_table_iter_next(&iter, &name, &entry))
		if (((entry_t *)entry)->missing)
			return name;
	return NULL;
}

uint64_t evacuations_run(evacuations_t *evacuations, uint64_t now_us)
{
	const char *name = first_missing(evacuations);

	if (name && now_us < evacuations->restore_grace_end_us)
		return evacuations->restore_grace_end_us;
	while (name) {
		evacuations_remove(evacuations, name);
		name = first_missing(evacuations);
	}
	return UINT64_MAX;
}
