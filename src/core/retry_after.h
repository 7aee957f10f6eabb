/**
 * @file retry_after.h
 * Retry delay that a caller gets whose request has not run.
 *
 * Callers retry once or twice, and wait for at most a third of the time that they have left. If the
 * delay ends before the missing resource can be available, they use up their last retry on the same
 * rejection.
 */
#ifndef DS_RETRY_AFTER_H
#define DS_RETRY_AFTER_H

#include <stdbool.h>
#include <stdint.h>

/** The resource whose absence kept a request from running. */
typedef enum missing_resource_t {
	MISSING_STATE, /**< the store's state: this VM has just started and has not read it yet */
	MISSING_SEARCHERS, /**< searchers: none is registered that may be sent work */
	MISSING_CAPACITY,  /**< free capacity: searchers are full or reject requests */
	MISSING_TOKEN, /**< a token of the tenant's quota, and when there will be one is not known
			*/
	MISSING_VM,    /**< this VM: it is shutting down, and others are available */
} missing_resource_t;

/**
 * @param caller_timeout_us how long the caller still waits from now on; 0: unknown
 * @param store_unreachable the store does not answer: its state, and entries of searchers, arrive
 * only after it has recovered
 */
uint64_t retry_after_us(missing_resource_t missing, uint64_t caller_timeout_us,
			bool store_unreachable);

#endif
