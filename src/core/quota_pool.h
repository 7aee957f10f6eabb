/**
 * @file quota_pool.h
 * Shares of the tenants' quotas that several VMs have put together, and the tokens that they give.
 *
 * A tenant's quota holds for all VMs together, and a small tenant has far fewer tokens than there
 * are VMs. Each VM accrues an equal share of every quota as time passes, and hands the time that it
 * has accrued over to one pool after the other. A share is in one place at a time and none is
 * handed out twice, so the sum over all pools keeps to the quotas whichever VMs are cut off,
 * restart or disagree on the pools. A message that is lost loses tokens, and never adds any.
 *
 * Answers for: any number of VMs and tenants, with a tenant's requests spread over the VMs in any
 * way.
 */
#ifndef DS_QUOTA_POOL_H
#define DS_QUOTA_POOL_H

#include "core/tenants.h"

/* Period in which a VM hands over what it has accrued. */
#define QUOTA_PERIOD_US 500000
/* A VM accrues no more than this in all: what it can't hand over in time is lost. Else tokens of a
 * long absence would come on top of the quota of the window in which it ends. */
#define QUOTA_ACCRUED_MAX_US 600000

/** How exactly quotas are to be kept. */
typedef struct quota_tolerance_t {
	uint64_t window_us; /**< requests are counted over any span of this length */
	double overage;	    /**< share of the quota of a window that may be admitted beyond it */
	double slack;	    /**< and requests that may be, at any rate */
} quota_tolerance_t;

/** Time that a VM has accrued, as it hands it over. */
typedef struct quota_share_t {
	const char *vm;
	uint64_t accrued_us;
	uint32_t vms;	/**< number of VMs that share the quotas, by this VM's list */
	uint32_t pools; /**< number of pools that this VM hands shares over to */
} quota_share_t;

typedef struct quota_pool_t quota_pool_t;

quota_pool_t *quota_pool_new(const quota_tolerance_t *tolerance);
void quota_pool_free(quota_pool_t *pool);
/** Add a share; it counts for every tenant. */
void quota_pool_add(quota_pool_t *pool, const quota_share_t *share, uint64_t now_us);
/** Take a token for one request of @p tenant. Returns false if there is none. */
bool quota_pool_take(quota_pool_t *pool, const tenant_t *tenant, uint64_t now_us);
/** Take up to @p count tokens that this pool can do without, for another pool. */
uint32_t quota_pool_take_spare(quota_pool_t *pool, const tenant_t *tenant, uint32_t count,
			       uint64_t now_us);
/** Add tokens of a request that was not run, or of another pool. What the pool can't hold is lost.
 */
void quota_pool_put(quota_pool_t *pool, const tenant_t *tenant, uint32_t count, uint64_t now_us);
/** Tokens that the pool could take if it is less than half full; 0: it is not. */
uint32_t quota_pool_lacks(quota_pool_t *pool, const tenant_t *tenant, uint64_t now_us);
/**
 * Promise a token to a request that got none.
 * @return when it will be there, from now on, after those promised before; UINT64_MAX: never
 */
uint64_t quota_pool_promise_us(quota_pool_t *pool, const tenant_t *tenant, uint64_t now_us);
/** Forget the tokens of tenants that are not among @p tenants; NULL: of all. */
void quota_pool_retain(quota_pool_t *pool, const tenants_t *tenants);
/** The part of all quotas that the pool receives now, 0 to 1. */
double quota_pool_fraction(quota_pool_t *pool, uint64_t now_us);
/** Most tokens of @p tenant that all pools together hold. */
double quota_capacity(const quota_tolerance_t *tolerance, const tenant_t *tenant);

#endif
