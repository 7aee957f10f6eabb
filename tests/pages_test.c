/**
 * @file pages_test.c
 * Checks that the table in docs/API.md agrees with the refusals in outcome.c, and that the files
 * and symbols that the pages in docs/ name in backticks exist in the tree.
 */
#include "core/outcome.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define WORD_CHARS G_CSET_A_2_Z G_CSET_a_2_z G_CSET_DIGITS "_"
#define METRIC_PREFIX "dogwoodsaddle_"
#define PAGES_MIN 30
#define SOURCES_MIN 200
#define NAMES_MIN 200

static const char *const source_folders[] = {"src",  "platform", "standins", "tests",
					     "spec", "scripts",	 "deploy",   NULL};
static const char *const source_suffixes[] = {".c", ".h", ".sh", ".pml", ".ini", ".in", NULL};
static const char *const named_suffixes[] = {".c", ".h", ".sh", ".pml", ".txt", ".toml", NULL};

typedef struct {
	GHashTable *paths; /* of files, and each of their ends that begins at a folder or at the
			      file's name */
	GHashTable *words; /* of the sources */
	char *metrics;	   /* text of the source that prints the metrics */
	uint32_t sources;
} tree_t;

typedef struct {
	const tree_t *tree;
	uint32_t pages;
	uint32_t names;
	uint32_t missing;
} page_check_t;

typedef void (*file_fn)(const char *path, void *data);

static void api_page_lists_every_refusal(void **state)
{
	g_autofree char *page = NULL;
	uint32_t rows = 0;

	(void)state;
	assert_true(g_file_get_contents("docs/API.md", &page, NULL, NULL));
	for (int i = REFUSAL_NONE + 1; i < REFUSAL_COUNT; i++) {
		const refusal_class_t *class = refusal_class((refusal_t)i);
		g_autofree char *row = g_strdup_printf(
			"\n| %s | %d | %s |%s| %s |\n", class->type, class->status,
			ran_name(class->ran), class->retryable ? " yes " : " ", class->ran_reason);

		if (!strstr(page, row))
			fail_msg("docs/API.md lacks:%s", row);
		rows++;
	}
	assert_int_equal(rows, REFUSAL_COUNT - 1);
}

static bool ends_in_any(const char *text, const char *const *suffixes)
{
	for (; *suffixes; suffixes++) {
		if (g_str_has_suffix(text, *suffixes))
			return true;
	}
	return false;
}

static void visit_files(const char *folder, file_fn visit, void *data)
{
	g_autoptr(GDir) dir = g_dir_open(folder, 0, NULL);
	const char *name;

	if (!dir)
		fail_msg("cannot read %s", folder);
	while ((name = g_dir_read_name(dir))) {
		g_autofree char *path = g_build_filename(folder, name, NULL);

		if (g_file_test(path, G_FILE_TEST_IS_DIR))
			visit_files(path, visit, data);
		else
			visit(path, data);
	}
}

static void add_path(tree_t *tree, const char *path)
{
	for (const char *end = path; end; end = strchr(end, '/')) {
		if (*end == '/')
			end++;
		g_hash_table_add(tree->paths, g_strdup(end));
	}
}

static void add_words(tree_t *tree, const char *text)
{
	while (*text) {
		size_t length = strspn(text, WORD_CHARS);

		if (length > 0)
			g_hash_table_add(tree->words, g_strndup(text, length));
		text += length;
		text += strcspn(text, WORD_CHARS);
	}
}

static void add_file(const char *path, void *data)
{
	tree_t *tree = data;
	g_autofree char *text = NULL;

	add_path(tree, path);
	if (!ends_in_any(path, source_suffixes))
		return;
	if (!g_file_get_contents(path, &text, NULL, NULL))
		fail_msg("cannot read %s", path);
	add_words(tree, text);
	tree->sources++;
}

static void add_root_files(tree_t *tree)
{
	g_autoptr(GDir) dir = g_dir_open(".", 0, NULL);
	const char *name;

	assert_non_null(dir);
	while ((name = g_dir_read_name(dir))) {
		if (!g_file_test(name, G_FILE_TEST_IS_DIR))
			add_path(tree, name);
	}
}

static tree_t tree_read(void)
{
	tree_t tree = {
		.paths = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
		.words = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
	};

	assert_true(g_file_get_contents("src/queries/front_metrics.c", &tree.metrics, NULL, NULL));
	add_root_files(&tree);
	for (const char *const *folder = source_folders; *folder; folder++)
		visit_files(*folder, add_file, &tree);
	return tree;
}

static void tree_clear(tree_t *tree)
{
	g_hash_table_unref(tree->paths);
	g_hash_table_unref(tree->words);
	g_free(tree->metrics);
}

static bool is_file_name(const char *name)
{
	return name[strspn(name, WORD_CHARS "./-")] == '\0' && ends_in_any(name, named_suffixes);
}

/** The symbol that a backticked text names, without its "()"; NULL if it names none. */
static char *symbol_of(const char *name)
{
	size_t length = strspn(name, WORD_CHARS);

	if (length == 0 || g_ascii_isdigit(name[0]) || !memchr(name, '_', length))
		return NULL;
	if (name[length] != '\0' && strcmp(name + length, "()") != 0)
		return NULL;
	return g_strndup(name, length);
}

/** A metric's name stands in the code without METRIC_PREFIX, as the text that put_metric() is
 * given. */
static bool has_symbol(const tree_t *tree, const char *symbol)
{
	if (g_str_has_prefix(symbol, METRIC_PREFIX)) {
		g_autofree char *metric = g_strdup_printf("\"%s\"", symbol + strlen(METRIC_PREFIX));

		if (strstr(tree->metrics, metric))
			return true;
	}
	return g_hash_table_contains(tree->words, symbol);
}

static void check_name(page_check_t *check, const char *page, const char *name)
{
	g_autofree char *symbol = symbol_of(name);
	bool is_file = is_file_name(name);

	if (!is_file && !symbol)
		return;
	check->names++;
	if (is_file ? g_hash_table_contains(check->tree->paths, name)
		    : has_symbol(check->tree, symbol))
		return;
	print_error("%s names %s, which isn't in the tree\n", page, name);
	check->missing++;
}

static void check_page(const char *path, void *data)
{
	page_check_t *check = data;
	g_autofree char *text = NULL;
	g_auto(GStrv) spans = NULL;

	if (!g_str_has_suffix(path, ".md"))
		return;
	if (!g_file_get_contents(path, &text, NULL, NULL))
		fail_msg("cannot read %s", path);
	spans = g_strsplit(text, "`", -1);
	for (uint32_t i = 0; spans[i]; i++) {
		if (i % 2 == 1)
			check_name(check, path, spans[i]);
	}
	check->pages++;
}

static void names_in_docs_exist(void **state)
{
	tree_t tree = tree_read();
	page_check_t check = {.tree = &tree};

	(void)state;
	visit_files("docs", check_page, &check);
	tree_clear(&tree);
	assert_true(tree.sources >= SOURCES_MIN);
	assert_true(check.pages >= PAGES_MIN);
	assert_true(check.names >= NAMES_MIN);
	assert_int_equal(check.missing, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(api_page_lists_every_refusal),
		cmocka_unit_test(names_in_docs_exist),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
