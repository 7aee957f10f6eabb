/**
 * @file dataset.c
 * Generated records; see dataset.h.
 */
#include "dataset.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

static const char *const names[] = {"Ana",   "Ivo",   "Maja", "Luka",
				    "Petra", "Salim", "Huda", "Nasser"};
static const char *const steps[] = {"contract", "badge",     "laptop",	      "safety",
				    "payroll",	"catalogue", "opening hours", "school notice"};
static const char *const kinds[] = {"starter", "task", "owner"};

#define PICK(table, n) ((table)[(n) % (sizeof(table) / sizeof((table)[0]))])

void dataset_id(char id[DATASET_ID_BYTES], uint32_t number)
{
	snprintf(id, DATASET_ID_BYTES, "r%06u", number);
}

uint32_t dataset_partition(const char *id, uint32_t partitions)
{
	return (uint32_t)(XXH64(id, strlen(id), 0) % partitions);
}

json_t *dataset_record(uint32_t number, uint64_t version)
{
	char id[DATASET_ID_BYTES];

	dataset_id(id, number);
	return json_pack("{s:s, s:s, s:s, s:s, s:I}", "id", id, "kind", PICK(kinds, number), "name",
			 PICK(names, number), "step", PICK(steps, number / 8), "v",
			 (json_int_t)version);
}

bool dataset_matches(uint32_t number, const char *text)
{
	return strstr(PICK(names, number), text) || strstr(PICK(steps, number / 8), text);
}
