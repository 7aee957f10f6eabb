/**
 * @file poison_task.h
 * Exchanges records of requests that crash searchers with the other VMs, through the platform's
 * store.
 */
#ifndef DS_POISON_TASK_H
#define DS_POISON_TASK_H

#include "core/poison.h"
#include "store.h"
#include "tasks/platform_task.h"

typedef struct poison_task_t poison_task_t;

/**
 * @param poison publishes its strikes through the task, and receives those of other VMs
 * @param vm_name name of this VM; borrowed, must outlive the task
 */
poison_task_t *poison_task_new(platform_task_t *platform, poison_t *poison, const char *vm_name);

/** Callbacks of the forwarder's poison records. */
void poison_task_publish(poison_task_t *task, const poison_update_t *update);
void poison_task_remove(poison_task_t *task, fingerprint_t fingerprint);
void poison_task_claim(poison_task_t *task, fingerprint_t fingerprint, uint32_t number);
void poison_task_drop_claims(poison_task_t *task, fingerprint_t fingerprint, uint32_t number);
/** Apply an object of the store that is new, changed or removed. */
void poison_task_apply(poison_task_t *task, const store_object_t *object, uint64_t now_us);

#endif
