/**
 * @file region_list.c
 * See region_list.h.
 */
#include "core/region_list.h"

bool region_list_add(GPtrArray **list, const char *region)
{
	if (!*list)
		*list = g_ptr_array_new_with_free_func(g_free);
	else if (region_list_allows(*list, region))
		return false;
	g_ptr_array_add(*list, g_strdup(region));
	return true;
}

bool region_list_allows(const GPtrArray *list, const char *region)
{
	if (!list)
		return true;
	for (guint i = 0; region && i < list->len; i++)
		if (g_str_equal(g_ptr_array_index(list, i), region))
			return true;
	return false;
}

void region_list_free(GPtrArray *list)
{
	if (list)
		g_ptr_array_unref(list);
}
