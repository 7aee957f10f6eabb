/**
 * @file top_records.h
 * Merges bodies of fixed-size records and keeps the greatest records, in descending byte order.
 */
#ifndef DS_TOP_RECORDS_H
#define DS_TOP_RECORDS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define RECORD_BYTES 16

typedef struct top_records_t top_records_t;

/** Keep the @p max greatest records. Equal records are kept as separate ones. */
top_records_t *top_records_new(uint32_t max);
void top_records_free(top_records_t *top);
/** Add the records of a body; a remainder shorter than a record is ignored. */
void top_records_add(top_records_t *top, const char *body, size_t bytes);
/** Append the kept records to @p out, greatest first, and keep none. */
void top_records_take(top_records_t *top, GString *out);

#endif
