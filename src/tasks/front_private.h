/**
 * @file front_private.h
 * What the two files of a front_task_t share: front_task.c holds its sockets, searchers and data of
 * the store, front_requests.c each request from its arrival to its answer.
 */
#ifndef DS_FRONT_PRIVATE_H
#define DS_FRONT_PRIVATE_H

#include "core/sharing.h"
#include "tasks/front_task.h"
#include "tasks/gather_task.h"
#include "tasks/hop_server.h"
#include "tasks/link_task.h"
#include "tasks/poison_task.h"
#include "tasks/quota_task.h"
#include "tasks/store_reader.h"
#include "tasks/store_sync_task.h"

struct front_task_t {
	loop_t *loop;
	http_server_t *callers;
	forwarder_t *forwarder;
	registry_t *registry;
	store_reader_t *reader;
	link_task_t *links;
	gather_task_t *gathers; /* requests handed over to other VMs */
	hop_server_t *hops;	/* requests handed over by other VMs */
	quota_task_t *quotas;
	GHashTable *tenant_counters; /* see core/tenant_counters.h */
	store_sync_task_t *store_sync;
	poison_task_t *poison;
	platform_task_t *platform;
	http_memory_t *replies;	      /* unfinished ones of searchers and the store */
	http_memory_t *requests;      /* unfinished ones of callers */
	pacing_t *pacing;	      /* of callers */
	http_memory_t *open_requests; /* those being answered */
	loop_timer_t forwarder_timer;
	loop_timer_t shares_timer;
	sharing_t sharing;  /* this VM's shares, from the last known VMs and configuration */
	bool fleet_changed; /* `sharing` must be recomputed */
	uint64_t last_request_us;
	double retry_ratio;
	uint32_t retry_constant;
	char *vm_name;
	char *data_centre;
	GHashTable *regions; /* data centre to region */
	bool draining;
	bool refuses_long; /* see front_task_refuse_long() */
};

/* ---- front_task.c ---- */

/** Set the timer of the forwarder: after each call that may have changed its next deadline. */
void front_arm_forwarder(front_task_t *task);
/** The region of this VM's data centre. */
const char *front_own_region(const front_task_t *task);

/* ---- front_requests.c, each with a front_task_t as its context ---- */

/** Requests of callers. */
extern const http_server_ops_t front_caller_ops;
/** Requests that other VMs hand over to this one. */
extern const hop_server_ops_t front_hop_ops;
/** Requests that this VM has handed over. */
extern const gather_ops_t front_gather_ops;
/** See forwarder_ops_t::answer. */
void front_on_answer(void *ctx, forward_t *forward, const forward_answer_t *answer);
/** See quota_task_new(). */
void front_on_quota_decided(void *ctx, void *owner, quota_verdict_t verdict,
			    uint64_t retry_after_us);

#endif
