/**
 * @file matrix_page.h
 * Writes the page of a fault matrix, or compares it with the one in docs/.
 */
#ifndef DS_MATRIX_PAGE_H
#define DS_MATRIX_PAGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>

/**
 * With "write" as first argument writes @p page to @p path; otherwise returns whether the file
 * there equals @p page.
 */
static inline bool matrix_page_matches(const char *path, const GString *page, int argc, char **argv)
{
	g_autofree char *known = NULL;

	if (argc > 1 && g_str_equal(argv[1], "write"))
		return g_file_set_contents(path, page->str, -1, NULL);
	if (g_file_get_contents(path, &known, NULL, NULL) && g_str_equal(known, page->str))
		return true;
	fprintf(stderr, "%s does not match this run; see what changed and write it anew\n", path);
	return false;
}

#endif
