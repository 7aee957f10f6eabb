/**
 * @file dataset.h
 * The generated records that searchers serve and the load tool checks answers against.
 *
 * Record i has the id "r%06u", lies in partition xxh64(id) mod (partitions of the version), and
 * carries the version it was read at.
 */
#ifndef DS_DATASET_H
#define DS_DATASET_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define DATASET_ID_BYTES 16

void dataset_id(char id[DATASET_ID_BYTES], uint32_t number);
uint32_t dataset_partition(const char *id, uint32_t partitions);
/** The record as JSON: id, kind, name, step, v. A new reference. */
json_t *dataset_record(uint32_t number, uint64_t version);
/** Whether record @p number holds @p text in its name or step; empty text matches all. */
bool dataset_matches(uint32_t number, const char *text);

#endif
