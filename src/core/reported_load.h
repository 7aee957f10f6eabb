/**
 * @file reported_load.h
 * The load that a searcher reports with its replies.
 */
#ifndef DS_REPORTED_LOAD_H
#define DS_REPORTED_LOAD_H

#include <stdbool.h>
#include <stdint.h>

/** Zeroed: not reported. A value that the searcher leaves out is 0. */
typedef struct reported_load_t {
	uint32_t running, waiting, slots; /**< requests; slots: how many it works on at once */
	uint32_t slowness_percent; /**< how long work takes where the searcher runs, 100 is usual;
				    * 0: not reported
				    */
	uint64_t at_us;		   /**< when the report was received; 0: never */
} reported_load_t;

/** Age of the report; UINT64_MAX: none was received. */
static inline uint64_t reported_load_age_us(const reported_load_t *load, uint64_t now_us)
{
	return load->at_us ? now_us - load->at_us : UINT64_MAX;
}

#endif
