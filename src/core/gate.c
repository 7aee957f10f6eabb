/**
 * @file gate.c
 * See gate.h. docs/decisions/0004-admission.md compares the alternatives.
 */
#include "core/gate.h"

#define GATE_INITIAL_RUN_US 10000.0
#define GATE_RUN_WEIGHT 0.05
/* One in this many picks admits the earliest arrival at the head of a queue, whatever its class. */
#define FAIR_PICK_INTERVAL 8
/* An entry that has waited for less may be displaced by a more urgent one. */
#define DISPLACEABLE_AGE_US 4000
#define GATE_RETRY_BASE_US 20000
#define GATE_RETRY_HORIZON_US 10000000

void gate_init(gate_t *gate)
{
	*gate = (gate_t){.run_us = GATE_INITIAL_RUN_US, .capacity = 1};
	for (int i = 0; i < CLASS_COUNT; i++)
		g_queue_init(&gate->waiting[i]);
}

uint32_t gate_waiting(const gate_t *gate)
{
	uint32_t total = 0;

	for (int i = 0; i < CLASS_COUNT; i++)
		total += gate->waiting[i].length;
	return total;
}

static bool has_capacity(const gate_t *gate)
{
	return gate->running < MAX((uint32_t)gate->capacity, 1);
}

/* Number of waiting entries of the same or a more urgent class, which are admitted first. */
static uint32_t gate_count_ahead(const gate_t *gate, const gate_entry_t *entry)
{
	uint32_t ahead = 0;

	for (int i = 0; i <= (int)entry->class; i++)
		ahead += gate->waiting[i].length;
	return ahead;
}

/*
 * Limits how many entries may wait ahead of a new one, per class, as a multiple of the service's
 * capacity. Longer queues give no more answers, only later ones, and a caller that is rejected
 * after a wait has lost that time too. Lower classes are overtaken while they wait, so their limit
 * is lower.
 */
static bool has_queue_space(const gate_t *gate, const gate_entry_t *entry)
{
	static const double max_runs_ahead[CLASS_COUNT] = {
		[CLASS_URGENT] = 1.5, [CLASS_NORMAL] = 1, [CLASS_BACKGROUND] = 0.5};

	return gate_count_ahead(gate, entry) <
		       MAX(max_runs_ahead[entry->class] * gate->capacity, 1.0) &&
	       gate->waiting[entry->class].length < gate->queue_limit;
}

static bool meets_deadline(const gate_t *gate, const gate_entry_t *entry, uint64_t now_us)
{
	double wait_us =
		(gate_count_ahead(gate, entry) + 1) * gate->run_us / MAX(gate->capacity, 1.0);

	return (double)entry->deadline_us > (double)now_us + wait_us + gate->run_us;
}

static void insert(gate_t *gate, gate_entry_t *entry)
{
	GQueue *queue = &gate->waiting[entry->class];
	GList *after = queue->tail;

	while (after && ((gate_entry_t *)after->data)->deadline_us > entry->deadline_us)
		after = after->prev;
	entry->link = (GList){.data = entry};
	entry->waiting = true;
	if (!after) {
		g_queue_push_head_link(queue, &entry->link);
		return;
	}
	g_queue_insert_after_link(queue, after, &entry->link);
}

gate_verdict_t gate_offer(gate_t *gate, gate_entry_t *entry, uint64_t now_us)
{
	if (has_capacity(gate) && gate_count_ahead(gate, entry) == 0) {
		gate->running++;
		return GATE_RUN;
	}
	if (!meets_deadline(gate, entry, now_us))
		return GATE_NO_TIME;
	if (!has_queue_space(gate, entry))
		return GATE_FULL;
	insert(gate, entry);
	return GATE_WAIT;
}

static gate_entry_t *newest(const GQueue *queue)
{
	gate_entry_t *found = NULL;

	for (const GList *item = queue->head; item; item = item->next) {
		gate_entry_t *entry = item->data;

		if (!found || entry->arrived_us >= found->arrived_us)
			found = entry;
	}
	return found;
}

gate_entry_t *gate_displaceable(const gate_t *gate, const gate_entry_t *entry, uint64_t now_us)
{
	for (int i = CLASS_COUNT - 1; i > (int)entry->class; i--) {
		gate_entry_t *found = newest(&gate->waiting[i]);

		if (found && now_us - found->arrived_us < DISPLACEABLE_AGE_US)
			return found;
	}
	return NULL;
}

void gate_withdraw(gate_t *gate, gate_entry_t *entry)
{
	if (!entry->waiting)
		return;
	entry->waiting = false;
	g_queue_unlink(&gate->waiting[entry->class], &entry->link);
}

static gate_entry_t *first_by_class(const gate_t *gate)
{
	for (int i = 0; i < CLASS_COUNT; i++)
		if (gate->waiting[i].head)
			return gate->waiting[i].head->data;
	return NULL;
}

static gate_entry_t *first_by_arrival(const gate_t *gate)
{
	gate_entry_t *oldest = NULL;

	for (int i = 0; i < CLASS_COUNT; i++) {
		gate_entry_t *entry = gate->waiting[i].head ? gate->waiting[i].head->data : NULL;

		if (entry && (!oldest || entry->arrived_us < oldest->arrived_us))
			oldest = entry;
	}
	return oldest;
}

gate_entry_t *gate_next(gate_t *gate)
{
	gate_entry_t *entry;

	if (!has_capacity(gate))
		return NULL;
	/* Strict priority would starve the lower classes while urgent requests fill the service. */
	entry = ++gate->pick_count % FAIR_PICK_INTERVAL ? first_by_class(gate)
							: first_by_arrival(gate);
	if (!entry)
		return NULL;
	gate_withdraw(gate, entry);
	gate->running++;
	return entry;
}

void gate_leave(gate_t *gate, uint64_t run_us)
{
	g_assert(gate->running > 0);
	gate->running--;
	gate->run_us += GATE_RUN_WEIGHT * ((double)run_us - gate->run_us);
}

uint64_t gate_retry_delay_us(gate_t *gate, uint64_t now_us, GRand *rand)
{
	double spacing_us = gate->run_us / MAX(gate->capacity, 1.0);
	uint64_t backlog_us = (uint64_t)(gate_waiting(gate) * spacing_us);
	uint64_t after_us;

	/*
	 * With one common delay all rejected callers would retry at the same moment and be rejected
	 * again. Each rejected caller gets the next free time slot instead.
	 */
	gate->retry_slot_us = MAX(gate->retry_slot_us, now_us + backlog_us) + (uint64_t)spacing_us;
	after_us = gate->retry_slot_us - now_us;
	if (after_us > GATE_RETRY_HORIZON_US) {
		gate->retry_slot_us = now_us + GATE_RETRY_HORIZON_US;
		return (uint64_t)g_rand_double_range(rand, GATE_RETRY_HORIZON_US / 2.0,
						     GATE_RETRY_HORIZON_US);
	}
	return GATE_RETRY_BASE_US + after_us +
	       (uint64_t)g_rand_double_range(rand, 0, (double)after_us / 4 + 1000);
}
