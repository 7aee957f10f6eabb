/**
 * @file top_records.h
 * Merges bodies of fixed-size records into the greatest of them, in falling byte order.
 */
#ifndef DS_TOP_RECORDS_H
#define DS_TOP_RECORDS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define RECORD_BYTES 16

typedef struct top_records_t top_records_t;

/** Keep the @p max greatest records; equal ones are all kept. */
top_records_t *top_records_new(uint32_t max);
void top_records_free(top_records_t *top);
/** Take in a body; a remainder shorter than a record is dropped. */
void top_records_add(top_records_t *top, const char *body, size_t bytes);
/** Append what is kept to @p out, greatest first. Nothing is kept afterwards. */
void top_records_take(top_records_t *top, GString *out);

#endif
