/**
 * @file poison_task.h
 * Carries what is known of requests that crash searchers to the platform's store, and from it.
 */
#ifndef DS_POISON_TASK_H
#define DS_POISON_TASK_H

#include "core/poison.h"
#include "store.h"
#include "tasks/platform_task.h"

typedef struct poison_task_t poison_task_t;

/**
 * @param poison whose strikes are told, and which hears of others'
 * @param vm_name of this VM; borrowed, and outlives the task
 */
poison_task_t *poison_task_new(platform_task_t *platform, poison_t *poison, const char *vm_name);

/** Callbacks of the forwarder's poison. */
void poison_task_tell(poison_task_t *task, const poison_update_t *news);
void poison_task_forget(poison_task_t *task, fingerprint_t fingerprint);
void poison_task_claim(poison_task_t *task, fingerprint_t fingerprint, uint32_t number);
void poison_task_drop_claims(poison_task_t *task, fingerprint_t fingerprint, uint32_t number);
/** An object of the store is new, has changed, or is gone. */
void poison_task_take(poison_task_t *task, const store_object_t *object, uint64_t now_us);

#endif
