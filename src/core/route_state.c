/**
 * @file route_state.c
 * See route_state.h.
 */
#include "core/route_state.h"

/* Weight of one sub-request in the hang rate: a gather of 10 parts moves the rate by two thirds. */
#define HANG_RATE_WEIGHT 0.1
/* The relative latency follows a lasting change within a dozen sub-requests. */
#define RELATIVE_STEP 0.06
/* Callers that retry have less time left than at first, and several retries may come in a row. So a
 * shorter wait moves the estimate by this share of the difference only; a longer wait replaces it.
 */
#define CALLER_WAIT_DECAY 0.02
/* The hang rate of a new route: after two answers in time, its late sub-requests count against
 * searchers. */
#define HANG_RATE_INITIAL 0.5
/* Above this rate late sub-requests are attributed to the route and not to its searchers: only the
 * loss of a data centre makes so large a share of the searchers hang or slow down at once. */
#define HANG_RATE_MAX 0.45

/*
 * Routes whose requests by their nature take longer than any pause share searchers with other
 * routes. Each such request would make all VMs that are notified avoid its searcher for a second or
 * more.
 */
bool route_state_implicates_searcher(const route_state_t *state)
{
	return state->hang_rate < HANG_RATE_MAX;
}

void route_state_note_hang(route_state_t *state, bool hangs)
{
	state->hang_rate += HANG_RATE_WEIGHT * ((hangs ? 1 : 0) - state->hang_rate);
}

double route_state_expected_us(const route_state_t *state, const searcher_t *searcher,
			       const pool_t *pool, uint64_t now_us)
{
	double expected_us = placement_expected_us(searcher, pool, now_us);

	return state->relative_latency.value_us > 0
		       ? expected_us * state->relative_latency.value_us / ROUTE_LATENCY_UNIT
		       : expected_us;
}

void route_state_note_time(route_state_t *state, uint64_t took_us, double expected_us)
{
	quantile_add(&state->relative_latency,
		     (uint64_t)((double)took_us * ROUTE_LATENCY_UNIT / expected_us));
}

void route_state_note_caller_wait(route_state_t *state, uint64_t patience_us)
{
	double less_us = state->patience_us - (double)patience_us;

	if (patience_us)
		state->patience_us -= less_us > 0 ? less_us * CALLER_WAIT_DECAY : less_us;
}

route_state_t *route_state_new(void)
{
	route_state_t *state = g_new0(route_state_t, 1);

	state->relative_latency = (quantile_t){.fraction = 0.5, .step = RELATIVE_STEP};
	state->hang_rate = HANG_RATE_INITIAL;
	state->credits = g_array_new(FALSE, TRUE, sizeof(double));
	return state;
}

void route_state_free(void *data)
{
	route_state_t *state = data;

	g_array_unref(state->credits);
	g_free(state);
}

/* Takes the target furthest behind its share, so that the shares are exact over any run of
 * requests. */
uint32_t route_state_choose_target(route_state_t *state, const GArray *targets, GRand *rand)
{
	GArray *credits = state->credits;
	uint32_t best = 0;
	double total = 0;

	if (credits->len != targets->len) {
		g_array_set_size(credits, 0);
		g_array_set_size(credits, targets->len);
		/* VMs that start together must not all begin with the same target. */
		for (guint i = 0; i < targets->len; i++)
			g_array_index(credits, double, i) = g_rand_double(rand);
	}
	for (guint i = 0; i < targets->len; i++) {
		double weight = g_array_index(targets, route_target_t, i).weight;

		total += weight;
		g_array_index(credits, double, i) += weight;
		if (g_array_index(credits, double, i) > g_array_index(credits, double, best))
			best = i;
	}
	g_array_index(credits, double, best) -= total;
	return best;
}
