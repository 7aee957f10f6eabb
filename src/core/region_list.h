/**
 * @file region_list.h
 * The regions that requests must stay in: an array of their names, or NULL for any region.
 */
#ifndef DS_REGION_LIST_H
#define DS_REGION_LIST_H

#include <glib.h>
#include <stdbool.h>

/** Add @p region to @p list, which is created when NULL. Returns false if it was added before. */
bool region_list_add(GPtrArray **list, const char *region);
/** Whether @p list allows @p region; NULL: an unknown region, which only a NULL list allows. */
bool region_list_allows(const GPtrArray *list, const char *region);
void region_list_free(GPtrArray *list);

#endif
