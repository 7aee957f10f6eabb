/**
 * @file gatherer.h
 * A VM that gathers for this one, and what this VM knows of it.
 */
#ifndef DS_GATHERER_H
#define DS_GATHERER_H

#include "core/quantile.h"
#include "core/vm.h"

#include <stdbool.h>

typedef enum gatherer_state_t {
	GATHERER_CLOSED, /**< no connection */
	GATHERER_PINGED, /**< pinged, no reply yet */
	GATHERER_READY,
	GATHERER_UNRESPONSIVE, /**< late with a reply; ready again as soon as it sends anything */
	GATHERER_LEAVING,      /**< about to stop, or no longer chosen: gets no new requests */
} gatherer_state_t;

typedef struct gatherer_t {
	gint refs;
	vm_t *vm;
	bool local; /**< in this VM's data centre */
	gatherer_state_t state;
	uint64_t avoid_until_us;   /**< it rejected a request recently */
	uint32_t outstanding;	   /**< requests of this VM that it has not finished */
	quantile_t accept_latency; /**< median time from a hand-over to its acceptance */
	void *link;		   /**< the connection; set by the task that owns it */
} gatherer_t;

gatherer_t *gatherer_new(const vm_t *vm, bool local);
gatherer_t *gatherer_ref(gatherer_t *gatherer);
void gatherer_unref(gatherer_t *gatherer);
/** Whether @p vm is this gatherer, at the same address. */
bool gatherer_matches(const gatherer_t *gatherer, const vm_t *vm);
/** Whether it may be handed a request now. */
bool gatherer_is_available(const gatherer_t *gatherer, uint64_t now_us);
/** Time without a reply after which the gatherer counts as unresponsive, for a request with a
 * target latency of @p target_us. */
uint64_t gatherer_timeout_us(const gatherer_t *gatherer, uint64_t target_us);
const char *gatherer_state_name(gatherer_state_t state);

#endif
