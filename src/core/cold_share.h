/**
 * @file cold_share.h
 * How much of what a cold searcher bears this VM may send it.
 *
 * A searcher that has just started, or was left alone for a while, bears few requests a second, and
 * crashes when all VMs turn to it at once; back again, it is cold again. No VM sees what the others
 * send. So each works out its part alone, and all of them alike: the VMs registered stand in an
 * order that each searcher shuffles anew, and either each may send so many, or only the first of
 * them may send one.
 *
 * The sum holds whatever list each VM has read, for two reasons. A VM counts only once all others
 * must have read a list that names it, and one whose list is old sends nothing: so whoever sends
 * has all VMs that count in its list. And VMs are only ever added to a list, which moves the others
 * back in the order, never forward.
 */
#ifndef DS_COLD_SHARE_H
#define DS_COLD_SHARE_H

#include "core/vm.h"

/** In any time of this length a cold searcher is sent what it bears in a second. Longer than that:
 * a sub-request may wait for its connection before it is sent. */
#define COLD_WINDOW_US 1400000

/** What a VM knows of the others. */
typedef struct cold_members_t {
	const GPtrArray *vms; /**< vm_t, all that were ever listed */
	const char *own_name;
	uint64_t member_us; /**< since when this process was in a list; 0: it is in none yet */
	uint64_t listed_us; /**< when the last list was asked for; 0: never */
} cold_members_t;

/** What a searcher bears while it is cold. */
typedef struct cold_limit_t {
	double per_s;  /**< 0: any number */
	bool gathered; /**< its service is one of many shards: VMs that gather come first */
} cold_limit_t;

/** Whether what is known of the other VMs is enough to send a cold searcher anything. */
bool cold_share_is_trusted(const cold_members_t *members, uint64_t now_us);
/**
 * Sub-requests that this VM may send the searcher @p id in each window.
 * @return 0 for none
 */
uint32_t cold_share_of(const cold_members_t *members, const cold_limit_t *bound, const char *id);
/** The window for @p bound: longer where less than one request a second is borne. */
uint64_t cold_share_window_us(const cold_limit_t *bound);

#endif
