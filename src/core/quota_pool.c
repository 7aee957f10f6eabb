/**
 * @file quota_pool.c
 * See quota_pool.h.
 */
#include "core/quota_pool.h"

#include <math.h>

/* The part of the tolerance that pools hold as tokens. They make up for tokens that lie in a pool
 * where no request comes. */
#define TOLERANCE_HELD_SHARE 0.7
/* The part that pools have to begin with: one that starts does not know what was spent before, and
 * a small tenant would wait for seconds for its first token. */
#define TOLERANCE_START_SHARE 0.3
/* How long the fraction of a pool is used before it is computed again from its members. */
#define FRACTION_MAX_AGE_US 100000
/* Below the first part of its capacity a pool that takes requests asks others for tokens; they give
 * what they have above the second part. */
#define LOW_SHARE 0.5
#define KEPT_SHARE 0.25

/** A VM that hands shares over to this pool. */
typedef struct member_t {
	double fraction; /* of all quotas */
	uint64_t until_us;
} member_t;

typedef struct bucket_t {
	double tokens;
	double started;	 /* the fraction of the pool for which it had tokens to begin with */
	uint64_t due_us; /* until when the tokens to come are promised to refused requests */
	double received; /* quota_pool_t.received when it was last filled */
} bucket_t;

struct quota_pool_t {
	quota_tolerance_t tolerance;
	GHashTable *members; /* name of a VM to member_t */
	GHashTable *buckets; /* name of a tenant to bucket_t */
	double received;     /* seconds of all quotas that were handed over since the start */
	double fraction;
	uint64_t fraction_at_us; /* when it was computed */
};

quota_pool_t *quota_pool_new(const quota_tolerance_t *tolerance)
{
	quota_pool_t *pool = g_new0(quota_pool_t, 1);

	pool->tolerance = *tolerance;
	pool->members = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	pool->buckets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return pool;
}

void quota_pool_free(quota_pool_t *pool)
{
	g_hash_table_unref(pool->members);
	g_hash_table_unref(pool->buckets);
	g_free(pool);
}

static double tolerated(const quota_tolerance_t *tolerance, const tenant_t *tenant)
{
	double window_s = (double)tolerance->window_us / 1e6;

	return tolerance->overage * (tenant->rate_per_s * window_s + tenant->burst) +
	       tolerance->slack;
}

/* In any window the pools admit the tokens that they hold at its beginning, those that VMs have
 * accrued and not handed over, those that accrue during the window, and those of pools that start
 * in it. */
double quota_capacity(const quota_tolerance_t *tolerance, const tenant_t *tenant)
{
	double accrued = tenant->rate_per_s * QUOTA_ACCRUED_MAX_US / 1e6;
	double held = TOLERANCE_HELD_SHARE * tolerated(tolerance, tenant);

	return MAX(tenant->burst + held - accrued, 1);
}

static gboolean has_left(gpointer name, gpointer value, gpointer now_us)
{
	(void)name;
	return ((member_t *)value)->until_us < *(uint64_t *)now_us;
}

double quota_pool_fraction(quota_pool_t *pool, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer member;

	if (pool->fraction_at_us && now_us < pool->fraction_at_us + FRACTION_MAX_AGE_US)
		return pool->fraction;
	pool->fraction = 0;
	pool->fraction_at_us = now_us;
	g_hash_table_foreach_remove(pool->members, has_left, &now_us);
	g_hash_table_iter_init(&iter, pool->members);
	while (g_hash_table_iter_next(&iter, NULL, &member))
		pool->fraction += ((member_t *)member)->fraction;
	pool->fraction = MIN(pool->fraction, 1);
	return pool->fraction;
}

void quota_pool_add(quota_pool_t *pool, const quota_share_t *share, uint64_t now_us)
{
	uint64_t accrued_us = MIN(share->accrued_us, QUOTA_ACCRUED_MAX_US);
	member_t *member = g_hash_table_lookup(pool->members, share->vm);

	if (!share->vms || !share->pools)
		return;
	if (!member) {
		member = g_new0(member_t, 1);
		g_hash_table_insert(pool->members, g_strdup(share->vm), member);
	}
	member->fraction = 1.0 / share->vms / share->pools;
	/* The VM hands over to one pool after the other; one period is left for delays. */
	member->until_us = now_us + (share->pools + 1) * QUOTA_PERIOD_US;
	pool->received += (double)accrued_us / 1e6 / share->vms;
}

static double capacity_of(quota_pool_t *pool, const tenant_t *tenant, uint64_t now_us)
{
	return quota_capacity(&pool->tolerance, tenant) * quota_pool_fraction(pool, now_us);
}

/* Tokens to begin with, for the part of all VMs that has joined the pool since the last time. */
static void fill_start(quota_pool_t *pool, const tenant_t *tenant, bucket_t *bucket)
{
	double joined = pool->fraction - bucket->started;

	if (joined <= 0)
		return;
	bucket->tokens += TOLERANCE_START_SHARE * tolerated(&pool->tolerance, tenant) * joined;
	bucket->started = pool->fraction;
}

/* A bucket that is asked for the first time holds what was received since the start. */
static bucket_t *fill(quota_pool_t *pool, const tenant_t *tenant, double capacity)
{
	bucket_t *bucket = g_hash_table_lookup(pool->buckets, tenant->name);

	if (!bucket) {
		bucket = g_new0(bucket_t, 1);
		g_hash_table_insert(pool->buckets, g_strdup(tenant->name), bucket);
	}
	fill_start(pool, tenant, bucket);
	bucket->tokens += tenant->rate_per_s * (pool->received - bucket->received);
	bucket->tokens = MIN(bucket->tokens, capacity);
	bucket->received = pool->received;
	return bucket;
}

bool quota_pool_take(quota_pool_t *pool, const tenant_t *tenant, uint64_t now_us)
{
	bucket_t *bucket = fill(pool, tenant, capacity_of(pool, tenant, now_us));

	if (bucket->tokens < 1)
		return false;
	bucket->tokens--;
	/* Tokens are left over: those who were promised one have had it, or do not come back. */
	if (bucket->tokens >= 1)
		bucket->due_us = 0;
	return true;
}

uint32_t quota_pool_take_spare(quota_pool_t *pool, const tenant_t *tenant, uint32_t count,
			       uint64_t now_us)
{
	double capacity = capacity_of(pool, tenant, now_us);
	bucket_t *bucket = fill(pool, tenant, capacity);
	double spare = floor(bucket->tokens - KEPT_SHARE * capacity);

	if (spare < 1)
		return 0;
	count = (uint32_t)MIN(spare, count);
	bucket->tokens -= count;
	return count;
}

void quota_pool_put(quota_pool_t *pool, const tenant_t *tenant, uint32_t count, uint64_t now_us)
{
	double capacity = capacity_of(pool, tenant, now_us);
	bucket_t *bucket = fill(pool, tenant, capacity);

	bucket->tokens = MIN(bucket->tokens + count, capacity);
}

uint32_t quota_pool_lacks(quota_pool_t *pool, const tenant_t *tenant, uint64_t now_us)
{
	double capacity = capacity_of(pool, tenant, now_us);
	double tokens = fill(pool, tenant, capacity)->tokens;

	return tokens < LOW_SHARE * capacity ? (uint32_t)(capacity - tokens) : 0;
}

uint64_t quota_pool_promise_us(quota_pool_t *pool, const tenant_t *tenant, uint64_t now_us)
{
	double fraction = quota_pool_fraction(pool, now_us);
	double capacity = quota_capacity(&pool->tolerance, tenant) * fraction;
	bucket_t *bucket = fill(pool, tenant, capacity);
	double per_s = tenant->rate_per_s * fraction;

	if (fraction <= 0 || capacity < 1)
		return UINT64_MAX;
	if (bucket->due_us < now_us)
		bucket->due_us = now_us - (uint64_t)(MAX(bucket->tokens, 0) / per_s * 1e6);
	bucket->due_us += (uint64_t)(1 / per_s * 1e6);
	return MAX(bucket->due_us, now_us) - now_us + QUOTA_PERIOD_US / 2;
}

static gboolean is_gone(gpointer name, gpointer bucket, gpointer tenants)
{
	(void)bucket;
	return !tenants || !tenants_find(tenants, name);
}

void quota_pool_retain(quota_pool_t *pool, const tenants_t *tenants)
{
	g_hash_table_foreach_remove(pool->buckets, is_gone, (gpointer)tenants);
}
