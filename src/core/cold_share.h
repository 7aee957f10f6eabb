/**
 * @file cold_share.h
 * This VM's share of the requests that a cold searcher can take.
 *
 * A searcher that has just started, or was unused for a while, can take only few requests a second.
 * It crashes when all VMs send to it at once, and after the restart it is cold again. No VM sees
 * what the others send. So each VM computes its share on its own, all by the same rule: the
 * registered VMs are put in an order that is shuffled for each searcher. Either each VM may send a
 * number of requests, or only the first VMs in that order may send one each.
 *
 * The sum of all shares stays within the limit whichever list each VM has read, for two reasons.
 * First, a VM has a share only once all others must have read a list that names it, and a VM whose
 * list is old sends nothing. So every VM that sends has all VMs with a share in its list. Second,
 * VMs are only ever added to a list, which moves the other VMs back in the order, never forward.
 */
#ifndef DS_COLD_SHARE_H
#define DS_COLD_SHARE_H

#include "core/vm.h"

/** In any window of this length a cold searcher is sent at most what it can take in one second. The
 * window is longer than a second because a sub-request may wait for its connection before it is
 * sent. */
#define COLD_WINDOW_US 1400000

/** What a VM knows of the other VMs. */
typedef struct cold_members_t {
	const GPtrArray *vms; /**< vm_t, all VMs that were ever listed */
	const char *own_name;
	uint64_t member_us; /**< since when this process has been in a list; 0: not yet in any */
	uint64_t listed_us; /**< when the latest list was requested; 0: never */
} cold_members_t;

/** What a searcher can take while it is cold. */
typedef struct cold_limit_t {
	double per_s;  /**< requests per second; 0: no limit */
	bool gathered; /**< its service is one of many shards: faster VMs, which gather, come first
			*/
} cold_limit_t;

/** Whether this VM knows enough of the other VMs to send anything to a cold searcher. */
bool cold_share_is_usable(const cold_members_t *members, uint64_t now_us);
/**
 * The number of sub-requests that this VM may send to the searcher @p id in each window.
 * @return 0 for none
 */
uint32_t cold_share_of(const cold_members_t *members, const cold_limit_t *limit, const char *id);
/** The window for @p limit: longer where the limit is less than one request a second. */
uint64_t cold_share_window_us(const cold_limit_t *limit);

#endif
