/**
 * @file quota.h
 * A VM's part in the tenants' quotas: it asks a pool for a token before it accepts a request, hands
 * the shares of the quotas that it accrues over to its pools, and may be a pool itself.
 *
 * Each tenant's requests go to one pool of the region first, by rendezvous hashing, so that even a
 * tenant with few tokens finds them in one place; pools that run low get tokens from others that
 * have some to spare. A VM that reaches no pool spends what it accrues alone.
 *
 * Does no I/O: messages go out by callbacks, and the caller passes in the time.
 */
#ifndef DS_QUOTA_H
#define DS_QUOTA_H

#include "core/hop_message.h"
#include "core/quota_pool.h"
#include "core/timers.h"

typedef struct quota_t quota_t;
typedef struct quota_ask_t quota_ask_t;

typedef enum quota_verdict_t {
	QUOTA_GRANTED,
	QUOTA_EXCEEDED,	   /**< the pools have no token for the tenant */
	QUOTA_UNREACHABLE, /**< no pool has answered, and this VM has no token of its own */
} quota_verdict_t;

typedef struct quota_ops_t {
	/** Send @p message to the VM @p vm, which is linked. */
	void (*send)(void *ctx, const char *vm, const hop_message_t *message);
	/**
	 * A request has a token, or gets none; the ask is freed after the return.
	 * @param retry_after_us when there will be a token; 0: not known
	 */
	void (*decided)(void *ctx, void *owner, quota_verdict_t verdict, uint64_t retry_after_us);
} quota_ops_t;

/** The VMs, as this VM knows them. */
typedef struct quota_vms_t {
	uint32_t count;		 /**< of all VMs; 0: not known yet */
	bool is_listed;		 /**< this VM is one of them */
	const GPtrArray *pools;	 /**< names of the pools of this region */
	const GPtrArray *others; /**< names of the pools elsewhere */
} quota_vms_t;

/** Counters, for metrics. */
typedef struct quota_counters_t {
	uint64_t granted, exceeded, unreachable;
	uint64_t asked;	      /**< pools that were asked for a request */
	uint64_t unanswered;  /**< of them, those that did not answer in time */
	uint64_t returned;    /**< tokens of requests that were not run */
	uint64_t transferred; /**< tokens that other pools had to spare */
} quota_counters_t;

/**
 * @param listed_after_us until a VM that was added is known to all others
 * @param seed spreads the VMs' messages over time
 */
quota_t *quota_new(const quota_tolerance_t *tolerance, const char *own_name,
		   uint64_t listed_after_us, const quota_ops_t *ops, void *ctx, uint32_t seed);
void quota_free(quota_t *quota);
/** The VMs or the pools have changed. */
void quota_set_vms(quota_t *quota, const quota_vms_t *vms, uint64_t now_us);
/** The tenants have changed; NULL: there are none. They must outlive the next call. */
void quota_set_tenants(quota_t *quota, const tenants_t *tenants);
/** The link to another pool is up, or is lost. */
void quota_set_linked(quota_t *quota, const char *vm, bool linked);

/** Ask for a token for one request. Returns NULL if that was decided before the return. */
quota_ask_t *quota_ask(quota_t *quota, const tenant_t *tenant, void *owner, uint64_t now_us);
/** The caller has left: a token that is granted later is returned. */
void quota_abandon(quota_ask_t *ask);
/** A request that had a token was not run. */
void quota_give_back(quota_t *quota, const char *tenant, uint64_t now_us);

/** A grant from the pool @p vm. */
void quota_receive_grant(quota_t *quota, const char *vm, const hop_message_t *message,
			 uint64_t now_us);
/**
 * A message to this VM's pool.
 * @param reply set to the reply
 * @return whether there is a reply to send
 */
bool quota_serve(quota_t *quota, const hop_message_t *message, hop_message_t *reply,
		 uint64_t now_us);

uint64_t quota_next_us(const quota_t *quota);
void quota_run(quota_t *quota, uint64_t now_us);
const quota_counters_t *quota_counters(const quota_t *quota);
/** The part of all quotas that this VM's pool receives, 0 to 1. */
double quota_own_fraction(quota_t *quota, uint64_t now_us);

#endif
