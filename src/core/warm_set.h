/**
 * @file warm_set.h
 * Chooses the searchers of a service that this VM keeps connections to, for first requests to find
 * one open.
 *
 * A service with many searchers is served as well by a few of them for each VM: with all, the
 * connections grow with VMs x searchers, each is used so rarely that the searcher closes it, and
 * opening it again costs a slot there. Other searchers are connected to when they are needed.
 *
 * Answers for: services of which a VM uses few searchers at a time. A VM that needs more opens them
 * by use, and its requests keep them open.
 */
#ifndef DS_WARM_SET_H
#define DS_WARM_SET_H

#include "core/registry.h"

/* One for a request, one for a second request meanwhile, and one for a hedge. */
#define WARM_SET_SIZE 3
/* A service that this VM has not used for so long is left to connect by use. */
#define WARM_UNUSED_MAX_US 10000000

/**
 * Choose the searchers of @p pool: usable, of this VM's region, and by a hash of both names, so
 * that the VMs cover them evenly without coordination. Sets searcher_t.is_warm.
 */
void warm_set_choose(pool_t *pool, const char *own_name);
/** Whether to open a connection to @p searcher ahead of need: once for each, then while this VM
 * uses its service. */
bool warm_set_is_due(const pool_t *pool, const searcher_t *searcher, uint64_t now_us);

#endif
