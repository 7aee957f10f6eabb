/**
 * @file proposal.h
 * Writes one change of the configuration to the platform's object `config/main`.
 *
 * A proposal is accepted when its conditional write has taken effect. If the reply to the write is
 * lost, the object is read back and searched for the proposal's id, also in the history that later
 * configurations carry.
 */
#ifndef DS_PROPOSAL_H
#define DS_PROPOSAL_H

#include "core/platform_result.h"

#include <glib.h>
#include <stdbool.h>

typedef enum proposal_outcome_t {
	PROPOSAL_ACCEPTED, /**< in force from `number` on */
	PROPOSAL_CONFLICT, /**< another change was accepted first; `other` names its operator */
	PROPOSAL_UNKNOWN,  /**< the platform did not say: it may yet be accepted */
} proposal_outcome_t;

typedef struct proposal_t proposal_t;

typedef struct proposal_ops_t {
	void (*read)(void *ctx, proposal_t *proposal);
	void (*write)(void *ctx, proposal_t *proposal, uint64_t if_version, const json_t *value);
	void (*ended)(void *ctx, proposal_t *proposal, proposal_outcome_t outcome, uint64_t number,
		      const char *other);
} proposal_ops_t;

/** Who proposes what; shown to an operator whose own proposal conflicts with it. */
typedef struct proposal_origin_t {
	const char *id;
	const char *by;	  /**< the operator */
	const char *note; /**< its purpose */
} proposal_origin_t;

/**
 * Create a proposal of @p config as the successor of the configuration with the number @p base.
 * @param history the history of the value at @p base: a JSON array of [id, number], newest first,
 *        or NULL
 */
proposal_t *proposal_new(const proposal_ops_t *ops, void *ctx, const proposal_origin_t *origin,
			 uint64_t base, const json_t *history, const json_t *config);
void proposal_free(proposal_t *proposal);
void proposal_start(proposal_t *proposal);
void proposal_read_done(proposal_t *proposal, const platform_result_t *result);
void proposal_write_done(proposal_t *proposal, const platform_result_t *result);

#endif
