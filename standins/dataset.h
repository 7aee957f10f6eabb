/**
 * @file dataset.h
 * The generated records that stand-in searchers serve and that the load generator checks answers
 * against.
 *
 * Record i has the id "r%06u", belongs to partition xxh64(id) mod (partitions of the index
 * version), and carries the index version it was read from.
 */
#ifndef DS_DATASET_H
#define DS_DATASET_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define DATASET_ID_BYTES 16

void dataset_id(char id[DATASET_ID_BYTES], uint32_t number);
uint32_t dataset_partition(const char *id, uint32_t partitions);
/** Returns the record as JSON, with id, kind, name, step and v (version), as a new reference. */
json_t *dataset_record(uint32_t number, uint64_t version);
/** Whether the name or step of record @p number contains @p text; empty text matches all. */
bool dataset_matches(uint32_t number, const char *text);

#endif
