/**
 * @file sharing.h
 * This VM's share of the resources that all VMs share: connections to searchers, and the constant
 * part of the retry bound.
 *
 * Services that some route sends to alone are shared by all VMs; services that are gathered are
 * shared by the VMs that gather. A VM that reaches no gatherer gathers for itself, and a small part
 * is reserved for such VMs.
 */
#ifndef DS_SHARING_H
#define DS_SHARING_H

#include "core/connection_share.h"
#include "core/gatherer_choice.h"
#include "core/routing.h"

/** The VMs that share a service, and their part of it. */
typedef struct sharers_t {
	vm_counts_t counts;
	double fraction; /**< their part of the whole */
	bool is_member; /**< this VM is one of them, and opens connections before they are needed */
} sharers_t;

typedef struct sharing_t {
	sharers_t all;		/**< for services that some route sends to alone */
	sharers_t gatherers;	/**< for services that are gathered, or that no route names yet */
	double constant;	/**< constant part of the retry bound, for all VMs together */
	uint32_t fleet_version; /**< changes whenever the known VMs change, or list_current does */
	bool list_current; /**< the list of VMs is recent enough to send anything to cold searchers
			    */
} sharing_t;

/** @param constant constant part of the configured retry bound */
void sharing_update(sharing_t *sharing, const fleet_t *fleet, const char *own_name,
		    uint32_t constant);
void sharing_clear(sharing_t *sharing);
/**
 * Set this VM's share of @p pool. Returns true if connections to its searchers should be opened
 * ahead of need.
 * @param routing NULL: none is known yet
 */
bool sharing_apply(const sharing_t *sharing, pool_t *pool, const routing_t *routing);
/** Update fleet_version and list_current; @p changed: the known VMs have changed. */
void sharing_update_members(sharing_t *sharing, const cold_members_t *members, bool changed,
			    uint64_t now_us);
/** Set this VM's share of each cold searcher of @p pool. */
void sharing_apply_cold(const sharing_t *sharing, const cold_members_t *members, pool_t *pool,
			uint64_t now_us);

#endif
