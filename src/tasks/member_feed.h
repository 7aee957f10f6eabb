/**
 * @file member_feed.h
 * Relays the list of VMs to the subscribers of this VM's feed.
 */
#ifndef DS_MEMBER_FEED_H
#define DS_MEMBER_FEED_H

#include "core/vm_list.h"
#include "tasks/feed_server.h"

typedef struct member_feed_t member_feed_t;

member_feed_t *member_feed_new(feed_server_t *server);
/** Send how @p vms, a sorted list, differs from the last one; all of it after the cache was
 * cleared. */
void member_feed_publish(member_feed_t *feed, const GPtrArray *vms, uint64_t era);
/** Whether subscribers have the list. */
bool member_feed_is_current(const member_feed_t *feed);

#endif
