/**
 * @file quota_task.h
 * Gets tokens of the tenants' quotas for this VM's requests, and runs this VM's quota pool. See
 * core/quota.h.
 */
#ifndef DS_QUOTA_TASK_H
#define DS_QUOTA_TASK_H

#include "core/gatherer_choice.h"
#include "core/quota.h"
#include "core/routing.h"
#include "net/loop.h"
#include "settings.h"

typedef struct quota_task_t quota_task_t;

/** A request that was asked for has a token, or gets none; see quota_ops_t. */
typedef void (*quota_decided_f)(void *ctx, void *owner, quota_verdict_t verdict,
				uint64_t retry_after_us);

quota_task_t *quota_task_new(loop_t *loop, const settings_t *settings, quota_decided_f decided,
			     void *ctx);
/** The registered VMs may have changed; @p own_region borrows. */
void quota_task_set_fleet(quota_task_t *task, const fleet_t *fleet, const char *own_region);
/** Use the tenants of @p routing, which is referenced; the fleet must be set again afterwards. */
void quota_task_set_routing(quota_task_t *task, const routing_t *routing);

/** Ask for a token; see quota_ask(). */
quota_ask_t *quota_task_ask(quota_task_t *task, const tenant_t *tenant, void *owner);
void quota_task_abandon(quota_task_t *task, quota_ask_t *ask);
void quota_task_give_back(quota_task_t *task, const char *tenant);
/** A message to this VM's pool; see quota_serve(). */
bool quota_task_serve(quota_task_t *task, const hop_message_t *message, hop_message_t *reply);
const quota_counters_t *quota_task_counters(const quota_task_t *task);
/** The part of all quotas that this VM's pool receives, 0 to 1. */
double quota_task_own_fraction(const quota_task_t *task);

#endif
