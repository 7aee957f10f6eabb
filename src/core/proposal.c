/**
 * @file proposal.c
 * See proposal.h. spec/config.pml is its model.
 */
#include "core/proposal.h"

#include <string.h>

#define HISTORY_MAX 64
#define TRIES_MAX 5

struct proposal_t {
	const proposal_ops_t *ops;
	void *ctx;
	char *id;
	uint64_t base;
	json_t *value; /* the value to write */
	uint32_t tries;
};

static json_t *make_value(const proposal_origin_t *origin, uint64_t base, const json_t *history,
			  const json_t *config)
{
	json_t *list = json_array();
	size_t i;
	json_t *item;

	json_array_append_new(list, json_pack("[s, I]", origin->id, (json_int_t)(base + 1)));
	json_array_foreach ((json_t *)history, i, item) {
		if (i < HISTORY_MAX - 1)
			json_array_append(list, item);
	}
	return json_pack("{s:s, s:s, s:s, s:o, s:O}", "proposal", origin->id, "by", origin->by,
			 "note", origin->note, "history", list, "config", config);
}

proposal_t *proposal_new(const proposal_ops_t *ops, void *ctx, const proposal_origin_t *origin,
			 uint64_t base, const json_t *history, const json_t *config)
{
	proposal_t *proposal = g_new0(proposal_t, 1);

	proposal->ops = ops;
	proposal->ctx = ctx;
	proposal->id = g_strdup(origin->id);
	proposal->base = base;
	proposal->value = make_value(origin, base, history, config);
	return proposal;
}

void proposal_free(proposal_t *proposal)
{
	g_free(proposal->id);
	json_decref(proposal->value);
	g_free(proposal);
}

void proposal_start(proposal_t *proposal)
{
	proposal->tries++;
	proposal->ops->write(proposal->ctx, proposal, proposal->base, proposal->value);
}

static void finish(proposal_t *proposal, proposal_outcome_t outcome, uint64_t number,
		   const char *other)
{
	proposal->ops->ended(proposal->ctx, proposal, outcome, number, other);
}

/* The number that the history gives for this proposal's id; 0 when the id is not in it. */
static uint64_t find_in_history(const proposal_t *proposal, const json_t *value)
{
	size_t i;
	json_t *item;

	json_array_foreach (json_object_get(value, "history"), i, item) {
		const char *id = json_string_value(json_array_get(item, 0));

		if (id && g_str_equal(id, proposal->id))
			return (uint64_t)json_integer_value(json_array_get(item, 1));
	}
	return 0;
}

void proposal_read_done(proposal_t *proposal, const platform_result_t *result)
{
	uint64_t own;
	const char *other;

	if (result->end != PLATFORM_OK && result->end != PLATFORM_ABSENT) {
		if (proposal->tries++ < TRIES_MAX)
			proposal->ops->read(proposal->ctx, proposal);
		else
			finish(proposal, PROPOSAL_UNKNOWN, 0, NULL);
		return;
	}
	own = find_in_history(proposal, result->value);
	if (own) {
		finish(proposal, PROPOSAL_ACCEPTED, own, NULL);
		return;
	}
	if (result->version == proposal->base) {
		/* Not written yet: retry the write. If the earlier one still arrives, one of the
		 * two fails. */
		if (proposal->tries < TRIES_MAX)
			proposal_start(proposal);
		else
			finish(proposal, PROPOSAL_UNKNOWN, 0, NULL);
		return;
	}
	other = json_string_value(json_object_get(result->value, "by"));
	finish(proposal, PROPOSAL_CONFLICT, result->version, other);
}

void proposal_write_done(proposal_t *proposal, const platform_result_t *result)
{
	if (result->end == PLATFORM_OK) {
		finish(proposal, PROPOSAL_ACCEPTED, result->version, NULL);
		return;
	}
	/* The conflict may be with this proposal's own earlier write, whose reply was lost: read
	 * the object back. */
	proposal->ops->read(proposal->ctx, proposal);
}
