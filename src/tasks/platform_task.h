/**
 * @file platform_task.h
 * Client of the platform's object API: reads, conditional writes, and watches.
 */
#ifndef DS_PLATFORM_TASK_H
#define DS_PLATFORM_TASK_H

#include "core/platform_result.h"
#include "core/store_era.h"
#include "net/http_memory.h"
#include "net/loop.h"

/** Four kinds of objects are followed; each may need a read while its watch hangs. */
#define PLATFORM_FETCHES_MAX 8

typedef struct platform_task_t platform_task_t;

const char *platform_reach_name(platform_reach_t reach);

/** Called once, from the loop. @p result and its value are borrowed. */
typedef void (*platform_done_f)(void *ctx, const platform_result_t *result);

typedef struct platform_counters_t {
	uint64_t reads, writes, watches, fetches;
	uint64_t reached[PLATFORM_REACHES];
	uint64_t unknown;  /**< calls without an answer, or with an unusable one */
	uint64_t damaged;  /**< values in replies that are not valid JSON */
	uint64_t outdated; /**< replies sent before the store was restored from an older copy */
	uint64_t eras_malformed; /**< replies whose store era could not be parsed */
} platform_counters_t;

platform_task_t *platform_task_new(loop_t *loop, http_memory_t *memory, const char *address,
				   uint16_t port);
/** Read the object @p path ("kind/name"). */
void platform_task_read(platform_task_t *task, const char *path, platform_done_f done, void *ctx);
/** Write @p value if the object's version is still @p if_version; 0: if it does not exist. */
void platform_task_write(platform_task_t *task, const char *path, uint64_t if_version,
			 const json_t *value, platform_done_f done, void *ctx);
/**
 * Wait until the object's version is above @p version: PLATFORM_OK, or PLATFORM_UNCHANGED after a
 * time-out.
 */
void platform_task_watch(platform_task_t *task, const char *path, uint64_t version,
			 platform_done_f done, void *ctx);
/**
 * Send a GET request for any target of the platform's store; @p done interprets status and body.
 * Up to PLATFORM_FETCHES_MAX calls run at once; further ones are queued.
 */
void platform_task_fetch(platform_task_t *task, const char *target, uint64_t timeout_us,
			 platform_done_f done, void *ctx);
/** Cancel the fetch with @p ctx and close its connection; `done` is still called. */
void platform_task_cancel(platform_task_t *task, const void *ctx);
/** Like platform_task_fetch(), with another method and a JSON body. */
void platform_task_send(platform_task_t *task, const char *method, const char *target,
			const char *body, uint64_t timeout_us, platform_done_f done, void *ctx);
/**
 * Set the callback for when the store was restored from an older copy of its data. It runs before
 * the reply with the newer era is passed on.
 */
void platform_task_set_restored(platform_task_t *task, void (*restored)(void *ctx), void *ctx);
/** Another VM has observed the store era @p number. */
store_era_change_t platform_task_observe_era(platform_task_t *task, uint64_t number);
/** The latest store era observed; 0 before the first. */
uint64_t platform_task_era(const platform_task_t *task);
const platform_counters_t *platform_task_counters(const platform_task_t *task);

#endif
