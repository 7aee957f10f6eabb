/**
 * @file gatherer.h
 * A VM that gathers for this one, and what is known of it.
 */
#ifndef DS_GATHERER_H
#define DS_GATHERER_H

#include "core/quantile.h"
#include "core/vm.h"

#include <stdbool.h>

typedef enum gatherer_state_t {
	GATHERER_CLOSED, /**< no connection */
	GATHERER_OPENS,	 /**< asked whether it is there */
	GATHERER_THERE,
	GATHERER_SILENT,  /**< late with an answer; there again once it says anything */
	GATHERER_LEAVING, /**< stops, or is no longer chosen: nothing new */
} gatherer_state_t;

typedef struct gatherer_t {
	gint refs;
	vm_t *vm;
	bool local; /**< in this VM's data centre */
	gatherer_state_t state;
	uint64_t avoid_until_us; /**< it did not take a request a moment ago */
	uint32_t out;		 /**< requests that it has of this VM */
	quantile_t taken;	 /**< from handing a request over to hearing that it is taken */
	void *link;		 /**< the connection; set by the task that owns it */
} gatherer_t;

gatherer_t *gatherer_new(const vm_t *vm, bool local);
gatherer_t *gatherer_ref(gatherer_t *gatherer);
void gatherer_unref(gatherer_t *gatherer);
/** Whether @p vm is this one, at the same address. */
bool gatherer_is(const gatherer_t *gatherer, const vm_t *vm);
/** Whether it may be handed a request now. */
bool gatherer_takes(const gatherer_t *gatherer, uint64_t now_us);
/** After how long without a word it is taken to be gone, for a request due in @p target_us. */
uint64_t gatherer_silent_us(const gatherer_t *gatherer, uint64_t target_us);
const char *gatherer_state_name(gatherer_state_t state);

#endif
