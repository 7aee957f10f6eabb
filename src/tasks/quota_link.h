/**
 * @file quota_link.h
 * A connection to another VM's quota pool, opened again when it is lost or has gone silent.
 */
#ifndef DS_QUOTA_LINK_H
#define DS_QUOTA_LINK_H

#include "core/hop_message.h"
#include "core/vm.h"
#include "net/loop.h"

typedef struct quota_link_t quota_link_t;

typedef struct quota_link_ops_t {
	/** The pool answers, or does not any more. */
	void (*linked)(void *ctx, const quota_link_t *link, bool linked);
	/** A grant from the pool. */
	void (*grant)(void *ctx, const quota_link_t *link, const hop_message_t *message);
} quota_link_ops_t;

/** @param vm copied */
quota_link_t *quota_link_new(loop_t *loop, const vm_t *vm, const quota_link_ops_t *ops, void *ctx);
/** Close it without a callback. */
void quota_link_free(quota_link_t *link);
/** Open it if it is closed, give it up if it is silent, and ask the pool to show that it lives. */
void quota_link_check(quota_link_t *link);
/** Send @p frame if the connection is open. */
void quota_link_write(quota_link_t *link, const GByteArray *frame);
const vm_t *quota_link_vm(const quota_link_t *link);

#endif
