/**
 * @file fingerprint.c
 * See fingerprint.h.
 */
#include "core/fingerprint.h"

#define XXH_INLINE_ALL
#include <string.h>
#include <xxhash.h>

/* Returns the start of the line after the one that begins at @p at. */
static const char *line_end(const char *at, const char *end)
{
	const char *found = memchr(at, '\n', (size_t)(end - at));

	return found ? found + 1 : end;
}

/* Returns the text after the name of the first header called @p name, in any case, or NULL. */
static const char *find_header(const GString *head, const char *name)
{
	const char *end = head->str + head->len;
	size_t bytes = strlen(name);

	for (const char *at = line_end(head->str, end); at < end; at = line_end(at, end))
		if ((size_t)(end - at) > bytes && at[bytes] == ':' &&
		    !g_ascii_strncasecmp(at, name, bytes))
			return at + bytes;
	return NULL;
}

static void add_header(XXH3_state_t *state, const GString *head, const char *name)
{
	const char *value = find_header(head, name);

	if (value)
		XXH3_64bits_update(state, value,
				   (size_t)(line_end(value, head->str + head->len) - value));
	XXH3_64bits_update(state, "", 1);
}

/* Includes only the headers that identify the caller; others differ between attempts. */
fingerprint_t fingerprint_of(const GString *head, const GString *body, const char *key)
{
	const char *rest = line_end(head->str, head->str + head->len);
	XXH3_state_t state;

	XXH3_64bits_reset(&state);
	XXH3_64bits_update(&state, head->str, (size_t)(rest - head->str));
	add_header(&state, head, "Host");
	add_header(&state, head, "Authorization");
	if (key)
		XXH3_64bits_update(&state, key, strlen(key) + 1);
	XXH3_64bits_update(&state, body->str, body->len);
	return MAX(XXH3_64bits_digest(&state), 1);
}

void fingerprint_format(fingerprint_t fingerprint, char text[FINGERPRINT_TEXT_BYTES])
{
	g_snprintf(text, FINGERPRINT_TEXT_BYTES, "%016" G_GINT64_MODIFIER "x", fingerprint);
}

fingerprint_t fingerprint_parse(const char *text)
{
	if (strlen(text) != FINGERPRINT_TEXT_BYTES - 1 ||
	    strspn(text, "0123456789abcdef") != FINGERPRINT_TEXT_BYTES - 1)
		return 0;
	return g_ascii_strtoull(text, NULL, 16);
}
