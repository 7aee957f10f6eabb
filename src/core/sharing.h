/**
 * @file sharing.h
 * What this VM may take of that which VMs share: connections to searchers, and the constant part of
 * the bound on retries.
 *
 * Services that some route asks alone are shared by all VMs, those that are gathered by the VMs
 * that gather. VMs that reach no gatherer gather for themselves, and have a small part for that.
 */
#ifndef DS_SHARING_H
#define DS_SHARING_H

#include "core/connection_share.h"
#include "core/gatherer_choice.h"
#include "core/routing.h"

/** Who shares a service with this VM. */
typedef struct sharers_t {
	vm_counts_t counts;
	double fraction; /**< of the whole, that is theirs */
	bool is_member; /**< this VM is one of those that hold connections before they are needed */
} sharers_t;

typedef struct sharing_t {
	sharers_t all;		/**< of services that are asked alone */
	sharers_t gatherers;	/**< of services that are gathered, or that no route names yet */
	double constant;	/**< of the bound on retries, for all VMs */
	uint32_t fleet_version; /**< changes with what is known of the VMs */
	bool list_current; /**< what is known of the VMs is enough to send cold searchers anything
			    */
} sharing_t;

/** @param constant of the bound on retries that the deployment gives */
void sharing_update(sharing_t *sharing, const fleet_t *fleet, const char *own_name,
		    uint32_t constant);
void sharing_clear(sharing_t *sharing);
/**
 * Set this VM's share of @p pool; true when connections to it are to be made ahead.
 * @param routing NULL before any is known
 */
bool sharing_apply(const sharing_t *sharing, pool_t *pool, const routing_t *routing);
/** What is known of the VMs has changed, or has become old. */
void sharing_update_members(sharing_t *sharing, const cold_members_t *members, bool changed,
			    uint64_t now_us);
/** Set what this VM may send those searchers of @p pool that are cold. */
void sharing_apply_cold(const sharing_t *sharing, const cold_members_t *members, pool_t *pool,
			uint64_t now_us);

#endif
