/**
 * @file snapshot.h
 * One index version with its partition map, built from the searchers' reports.
 *
 * A query pins one snapshot before its first sub-request. Partitions are the unit of coverage: the
 * map lists a partition that no usable searcher holds as missing.
 */
#ifndef DS_SNAPSHOT_H
#define DS_SNAPSHOT_H

#include "core/upstream.h"

/** Partitions that are held by the same replicas; one sub-request asks for all of them. */
typedef struct target_t {
	GArray *partitions;  /**< uint32_t, ascending */
	GPtrArray *replicas; /**< upstream_t, references held */
} target_t;

typedef struct snapshot_t {
	gint refs;
	uint64_t version;
	uint32_t partition_count; /**< number of partitions in the map */
	GPtrArray *targets;	  /**< target_t */
	GArray *missing;	  /**< partitions without a usable replica */
} snapshot_t;

/**
 * Choose the snapshot to pin: the version with the best coverage, of equal ones the newest.
 * @param upstreams the service's searchers
 * @param below consider only versions less than this; 0 for all
 * @return a new reference, or NULL when no usable searcher holds any version
 */
snapshot_t *snapshot_choose(const GPtrArray *upstreams, uint64_t below);
snapshot_t *snapshot_ref(snapshot_t *snapshot);
void snapshot_unref(snapshot_t *snapshot);
/** The target that holds @p partition, or NULL. */
const target_t *snapshot_target_of(const snapshot_t *snapshot, uint32_t partition);

target_t *target_new(void);
void target_free(void *target);

#endif
