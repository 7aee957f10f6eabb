/**
 * @file feed_choice.h
 * Which VMs watch the platform's store, and whom the others hear it from.
 *
 * The store's calls are priced and its rates grow more slowly than the fleet. So in a data centre
 * with many VMs a few watch it and feed the rest. Each VM decides alone, from the list of VMs that
 * it knows; lists that differ for a while only make some VM watch, or ask, one more.
 */
#ifndef DS_FEED_CHOICE_H
#define DS_FEED_CHOICE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** One VM as it has registered itself. */
typedef struct vm_t {
	char *name;
	char *data_centre;
	char *address;	    /**< an IP number */
	uint16_t port;	    /**< where it feeds others */
	uint32_t link_mbps; /**< of its network link; 0: not known */
} vm_t;

vm_t *vm_new(const char *name, const char *data_centre, const char *address, uint16_t port,
	     uint32_t link_mbps);
void vm_free(void *vm);

/** Whether @p data_centre has so many VMs that a few watch the store and feed the rest. */
bool feed_is_used(const GPtrArray *vms, const char *data_centre);
/**
 * The VMs to hear the store from, best first; empty when this VM watches the store itself.
 * @param vms vm_t; the result borrows from it
 */
GPtrArray *feed_choose(const GPtrArray *vms, const char *own_name, const char *data_centre);

#endif
