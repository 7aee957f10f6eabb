/**
 * @file json_salvage.h
 * Parses partly damaged JSON and keeps the intact values.
 *
 * A JSON library rejects a page with invalid bytes as a whole, and with it every searcher that the
 * page lists. One writer's invalid bytes in a page of many objects must not hide the other objects.
 */
#ifndef DS_JSON_SALVAGE_H
#define DS_JSON_SALVAGE_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Parse @p text; a member or element that can't be parsed becomes null.
 * @param damaged incremented for each such value; unchanged if the text is valid
 * @return NULL if not even the outermost value is complete
 */
json_t *json_salvage(const char *text, size_t bytes, uint32_t *damaged);

#endif
