/**
 * @file retry_after.h
 * When a caller whose request has not run is told to come back.
 *
 * Callers come back once or twice, and heed at most a third of the time that they have left. Told
 * to come back before what is missing can be there, they spend their last try on the same refusal.
 */
#ifndef DS_RETRY_AFTER_H
#define DS_RETRY_AFTER_H

#include <stdbool.h>
#include <stdint.h>

/** What a request lacked. */
typedef enum lack_t {
	LACK_NEWS,	/**< nothing is known yet, this VM has just started */
	LACK_SEARCHERS, /**< none is registered that may be sent work */
	LACK_ROOM,	/**< searchers are full, or refuse */
	LACK_VM,	/**< this VM is about to end; others are there */
} lack_t;

/**
 * @param patience_us how long the caller waits from now on; 0: not known
 * @param store_away the store does not answer: news and entries come only after its return
 */
uint64_t retry_after_us(lack_t lack, uint64_t patience_us, bool store_away);

#endif
