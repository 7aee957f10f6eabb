/**
 * @file snapshot.c
 * See snapshot.h. docs/decisions/0001-one-snapshot.md compares the alternatives.
 */
#include "core/snapshot.h"

/** One version and its coverage, to compare it with other versions. */
typedef struct candidate_t {
	uint64_t version;
	uint32_t partition_count;
	uint32_t covered;
} candidate_t;

target_t *target_new(void)
{
	target_t *target = g_new0(target_t, 1);

	target->partitions = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	target->replicas = g_ptr_array_new_with_free_func((GDestroyNotify)upstream_unref);
	return target;
}

void target_free(void *data)
{
	target_t *target = data;

	g_array_unref(target->partitions);
	g_ptr_array_unref(target->replicas);
	g_free(target);
}

snapshot_t *snapshot_ref(snapshot_t *snapshot)
{
	snapshot->refs++;
	return snapshot;
}

void snapshot_unref(snapshot_t *snapshot)
{
	if (!snapshot || --snapshot->refs)
		return;
	g_ptr_array_unref(snapshot->targets);
	g_array_unref(snapshot->missing);
	g_free(snapshot);
}

const target_t *snapshot_target_of(const snapshot_t *snapshot, uint32_t partition)
{
	for (guint i = 0; i < snapshot->targets->len; i++) {
		const target_t *target = g_ptr_array_index(snapshot->targets, i);

		for (guint j = 0; j < target->partitions->len; j++)
			if (g_array_index(target->partitions, uint32_t, j) == partition)
				return target;
	}
	return NULL;
}

static GArray *list_versions(const GPtrArray *upstreams, uint64_t below)
{
	GArray *versions = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	for (guint i = 0; i < upstreams->len; i++) {
		const upstream_t *upstream = g_ptr_array_index(upstreams, i);

		for (guint j = 0; upstream_usable(upstream) && j < upstream->held->len; j++) {
			uint64_t version =
				g_array_index(upstream->held, index_version_t, j).version;
			bool known = below && version >= below;

			for (guint k = 0; !known && k < versions->len; k++)
				known = g_array_index(versions, uint64_t, k) == version;
			if (!known)
				g_array_append_val(versions, version);
		}
	}
	return versions;
}

/*
 * The number of partitions in a version: the count that most of its holders report, of equally
 * frequent ones the larger. Otherwise a replica that reports too few would make a partial answer
 * look complete, and one that reports too many would make every answer look partial. Replicas that
 * report another count are not used for the version.
 */
static uint32_t agreed_partition_count(const GPtrArray *upstreams, uint64_t version)
{
	g_autoptr(GHashTable) votes_by_count = g_hash_table_new(NULL, NULL);
	uint32_t best_count = 0, best_votes = 0;

	for (guint i = 0; i < upstreams->len; i++) {
		const index_version_t *held =
			upstream_find_version(g_ptr_array_index(upstreams, i), version);
		gpointer key;
		uint32_t votes;

		if (!held)
			continue;
		key = GUINT_TO_POINTER(held->partition_count);
		votes = GPOINTER_TO_UINT(g_hash_table_lookup(votes_by_count, key)) + 1;
		g_hash_table_insert(votes_by_count, key, GUINT_TO_POINTER(votes));
		if (votes > best_votes ||
		    (votes == best_votes && held->partition_count > best_count)) {
			best_count = held->partition_count;
			best_votes = votes;
		}
	}
	return best_count;
}

/* Returns for each partition of the version the usable replicas that hold it. */
static GPtrArray **map_replicas(const GPtrArray *upstreams, const candidate_t *candidate)
{
	GPtrArray **map = g_new0(GPtrArray *, candidate->partition_count);

	for (guint i = 0; i < upstreams->len; i++) {
		upstream_t *upstream = g_ptr_array_index(upstreams, i);
		const index_version_t *held = upstream_find_version(upstream, candidate->version);

		if (!held || held->partition_count != candidate->partition_count ||
		    !upstream_usable(upstream))
			continue;
		for (guint j = 0; j < held->partitions->len; j++) {
			uint32_t partition = g_array_index(held->partitions, uint32_t, j);

			if (partition >= candidate->partition_count)
				continue;
			if (!map[partition])
				map[partition] = g_ptr_array_new();
			g_ptr_array_add(map[partition], upstream);
		}
	}
	return map;
}

static void map_free(GPtrArray **map, uint32_t partition_count)
{
	for (uint32_t i = 0; i < partition_count; i++)
		if (map[i])
			g_ptr_array_unref(map[i]);
	g_free(map);
}

static uint32_t count_covered(const GPtrArray *upstreams, const candidate_t *candidate)
{
	GPtrArray **map = map_replicas(upstreams, candidate);
	uint32_t covered = 0;

	for (uint32_t i = 0; i < candidate->partition_count; i++)
		covered += map[i] != NULL;
	map_free(map, candidate->partition_count);
	return covered;
}

/** Which index versions the replicas of one group report to hold. */
typedef struct group_versions_t {
	bool has_versions;    /* some replica holds at least one version */
	bool holds_candidate; /* some replica holds the candidate's version */
} group_versions_t;

/*
 * A searcher that is the only holder of a version may report that the whole index consists of the
 * partitions it holds; its part of the answer would then pass for a complete one. If the map is
 * complete without a group that holds other versions, the report contradicts the configuration, so
 * the version is not used until that group holds it.
 */
static bool is_consistent(const GPtrArray *upstreams, const candidate_t *candidate)
{
	g_autofree group_versions_t *by_group = NULL;
	uint32_t groups = 0;

	if (candidate->covered < candidate->partition_count)
		return true;
	for (guint i = 0; i < upstreams->len; i++)
		groups = MAX(groups,
			     ((const upstream_t *)g_ptr_array_index(upstreams, i))->group + 1);
	by_group = g_new0(group_versions_t, groups);
	for (guint i = 0; i < upstreams->len; i++) {
		const upstream_t *upstream = g_ptr_array_index(upstreams, i);

		by_group[upstream->group].has_versions |= upstream->held->len > 0;
		by_group[upstream->group].holds_candidate |=
			upstream_find_version(upstream, candidate->version) != NULL;
	}
	for (uint32_t group = 0; group < groups; group++)
		if (by_group[group].has_versions && !by_group[group].holds_candidate)
			return false;
	return true;
}

static bool is_better(const candidate_t *a, const candidate_t *b)
{
	uint64_t left = (uint64_t)a->covered * b->partition_count,
		 right = (uint64_t)b->covered * a->partition_count;

	if (left != right)
		return left > right;
	return a->version > b->version;
}

static bool same_replicas(const GPtrArray *a, const GPtrArray *b)
{
	if (a->len != b->len)
		return false;
	for (guint i = 0; i < a->len; i++)
		if (g_ptr_array_index(a, i) != g_ptr_array_index(b, i))
			return false;
	return true;
}

static target_t *find_target(const snapshot_t *snapshot, const GPtrArray *replicas)
{
	for (guint i = 0; i < snapshot->targets->len; i++) {
		target_t *target = g_ptr_array_index(snapshot->targets, i);

		if (same_replicas(target->replicas, replicas))
			return target;
	}
	return NULL;
}

static void add_partition(snapshot_t *snapshot, uint32_t partition, const GPtrArray *replicas)
{
	target_t *target;

	if (!replicas) {
		g_array_append_val(snapshot->missing, partition);
		return;
	}
	target = find_target(snapshot, replicas);
	if (!target) {
		target = target_new();
		for (guint i = 0; i < replicas->len; i++)
			g_ptr_array_add(target->replicas,
					upstream_ref(g_ptr_array_index(replicas, i)));
		g_ptr_array_add(snapshot->targets, target);
	}
	g_array_append_val(target->partitions, partition);
}

static snapshot_t *build_snapshot(const GPtrArray *upstreams, const candidate_t *candidate)
{
	snapshot_t *snapshot = g_new0(snapshot_t, 1);
	GPtrArray **map = map_replicas(upstreams, candidate);

	snapshot->refs = 1;
	snapshot->version = candidate->version;
	snapshot->partition_count = candidate->partition_count;
	snapshot->targets = g_ptr_array_new_with_free_func(target_free);
	snapshot->missing = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	for (uint32_t i = 0; i < candidate->partition_count; i++)
		add_partition(snapshot, i, map[i]);
	map_free(map, candidate->partition_count);
	return snapshot;
}

snapshot_t *snapshot_choose(const GPtrArray *upstreams, uint64_t below)
{
	g_autoptr(GArray) versions = list_versions(upstreams, below);
	candidate_t best = {0};

	for (guint i = 0; i < versions->len; i++) {
		candidate_t candidate = {.version = g_array_index(versions, uint64_t, i)};

		candidate.partition_count = agreed_partition_count(upstreams, candidate.version);
		candidate.covered = count_covered(upstreams, &candidate);
		if (candidate.covered && is_consistent(upstreams, &candidate) &&
		    (!best.partition_count || is_better(&candidate, &best)))
			best = candidate;
	}
	return best.partition_count ? build_snapshot(upstreams, &best) : NULL;
}
