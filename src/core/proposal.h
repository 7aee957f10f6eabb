/**
 * @file proposal.h
 * One change of the configuration on its way into the platform's object `config/main`.
 *
 * Accepted means that the conditional write took effect. A lost answer is settled by reading back
 * and looking for the proposal's id, also among the ids of its successors' history.
 */
#ifndef DS_PROPOSAL_H
#define DS_PROPOSAL_H

#include "core/platform_result.h"

#include <glib.h>
#include <stdbool.h>

typedef enum proposal_end_t {
	PROPOSAL_ACCEPTED, /**< in force from `number` on */
	PROPOSAL_CONFLICT, /**< another change came first; `other` names it */
	PROPOSAL_UNKNOWN,  /**< the platform does not say: it may yet be accepted */
} proposal_end_t;

typedef struct proposal_t proposal_t;

typedef struct proposal_ops_t {
	void (*read)(void *ctx, proposal_t *proposal);
	void (*write)(void *ctx, proposal_t *proposal, uint64_t if_version, const json_t *value);
	void (*ended)(void *ctx, proposal_t *proposal, proposal_end_t end, uint64_t number,
		      const char *other);
} proposal_ops_t;

/** Who changed what, as told to an operator who lost a race. */
typedef struct proposal_origin_t {
	const char *id;
	const char *by;	  /**< the operator */
	const char *note; /**< what it is for */
} proposal_origin_t;

/**
 * Start a proposal of @p config to follow @p base.
 * @param history the value's history at @p base: a JSON array of [id, number], newest first, or
 * NULL
 */
proposal_t *proposal_new(const proposal_ops_t *ops, void *ctx, const proposal_origin_t *origin,
			 uint64_t base, const json_t *history, const json_t *config);
void proposal_free(proposal_t *proposal);
void proposal_start(proposal_t *proposal);
void proposal_read_done(proposal_t *proposal, const platform_result_t *result);
void proposal_write_done(proposal_t *proposal, const platform_result_t *result);

#endif
