/**
 * @file platform_task.h
 * Owns the connections to the platform's object API: reads, conditional writes, and watches.
 */
#ifndef DS_PLATFORM_TASK_H
#define DS_PLATFORM_TASK_H

#include "core/platform_result.h"
#include "core/store_era.h"
#include "net/loop.h"

/** Four lists being followed, and room for a read of each beside a watch that hangs. */
#define PLATFORM_FETCHES_MAX 8

typedef struct platform_task_t platform_task_t;

const char *platform_reach_name(platform_reach_t reach);

/** Told once, from the loop. @p result and its value are borrowed. */
typedef void (*platform_done_f)(void *ctx, const platform_result_t *result);

typedef struct platform_counters_t {
	uint64_t reads, writes, watches, fetches;
	uint64_t reached[PLATFORM_REACHES];
	uint64_t unknown;	 /**< calls without an answer, or with one of no use */
	uint64_t damaged;	 /**< values in replies that are no JSON */
	uint64_t outdated;	 /**< replies that the store gave before it came back from a copy */
	uint64_t eras_malformed; /**< replies whose era could not be read */
} platform_counters_t;

platform_task_t *platform_task_new(loop_t *loop, const char *address, uint16_t port);
/** Read the object @p path ("kind/name"). */
void platform_task_read(platform_task_t *task, const char *path, platform_done_f done, void *ctx);
/** Write @p value if the object's version is still @p if_version; 0: if it is not there. */
void platform_task_write(platform_task_t *task, const char *path, uint64_t if_version,
			 const json_t *value, platform_done_f done, void *ctx);
/** Wait until the object passes @p version: OK, or UNCHANGED after a while. */
void platform_task_watch(platform_task_t *task, const char *path, uint64_t version,
			 platform_done_f done, void *ctx);
/**
 * Get any target of the platform's store; @p done reads status and body itself. Several may be
 * under way at once, up to PLATFORM_FETCHES_MAX; more wait.
 */
void platform_task_fetch(platform_task_t *task, const char *target, uint64_t timeout_us,
			 platform_done_f done, void *ctx);
/** Give the fetch with @p ctx up, and its connection; `done` follows. */
void platform_task_cancel(platform_task_t *task, const void *ctx);
/** As platform_task_fetch(), with another method and a JSON body. */
void platform_task_send(platform_task_t *task, const char *method, const char *target,
			const char *body, uint64_t timeout_us, platform_done_f done, void *ctx);
/** Tell @p restored when the store turns out to have come back from a copy: before the reply that
 * says so is handed on. */
void platform_task_set_restored(platform_task_t *task, void (*restored)(void *ctx), void *ctx);
/** Another VM has heard of the store's era @p number. */
store_era_change_t platform_task_observe_era(platform_task_t *task, uint64_t number);
/** The latest era heard of; 0 before any is. */
uint64_t platform_task_era(const platform_task_t *task);
const platform_counters_t *platform_task_counters(const platform_task_t *task);

#endif
