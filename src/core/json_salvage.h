/**
 * @file json_salvage.h
 * Reads JSON of which parts are damaged, and keeps the rest.
 *
 * One writer's bad bytes in a page of many objects must not hide the others: a JSON library rejects
 * the page as a whole, and with it every searcher that the page lists.
 */
#ifndef DS_JSON_SALVAGE_H
#define DS_JSON_SALVAGE_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Read @p text; a member or element that can't be read becomes null.
 * @param damaged counts those; not changed when the text is sound
 * @return NULL when not even the outermost value has a beginning and an end
 */
json_t *json_salvage(const char *text, size_t bytes, uint32_t *damaged);

#endif
