/**
 * @file own_vm.c
 * See own_vm.h.
 */
#include "tasks/own_vm.h"

vm_t *own_vm_new(const settings_t *settings)
{
	const vm_t own = {.name = settings->vm_name,
			  .data_centre = settings->data_centre,
			  .address = (char *)settings->front_feed.address,
			  .feed_port = settings->front_feed.port,
			  .gather_port = settings->front_gather.port,
			  .link_mbps = settings->link_mbps,
			  .processor_milli = settings_processor_milli(settings)};

	return vm_new(&own);
}
