/**
 * @file admission.c
 * See admission.h.
 */
#include "core/admission.h"

#include <math.h>
#include <string.h>

/* One start in this many goes by age if that is a less urgent request: the least urgent rank must
 * not starve. */
#define AGE_START_INTERVAL 8
/* Limits memory while there is no rate yet to refuse by. At ten times a capacity of 1,000 requests
 * per second, 400 ms pass before the queue is full. */
#define WAITING_MAX 4096
/* Entries that a call of admission_next() tries at each of its places. */
#define TRIES_MAX 32

/* Starts are counted in buckets of time in which requests wait. */
#define BUCKET_US 5000
#define BUCKETS 200
/* The rate is that of the shortest window with at least this time and these starts, up to
 * BUCKETS * BUCKET_US. 32 starts limit its standard deviation to 18 %. */
#define WINDOW_MIN_US 50000
#define WINDOW_MIN_STARTS 32
/* At the beginning of a burst there is no rate before these starts and this time ... */
#define FIRST_STARTS 6
#define FIRST_WINDOW_US 10000
/* ... or after this time, however few starts there were. */
#define FIRST_WINDOW_MAX_US 100000
/* A rate is forgotten after this time without waiting requests: the capacity may have changed. */
#define RATE_KEPT_US 1000000

/* Requests are refused on arrival if they would start in time only by a smaller margin: a refusal
 * after a wait is worth less to the caller than one on arrival. */
#define WAIT_MARGIN 1.25

/* Standard deviations of the number of more urgent requests that are expected on top of its mean:
 * without them, requests wait for starts that urgent ones take. */
#define URGENT_DEVIATIONS 3

/* Interval of the check whether the last entries in order can still start in time. */
#define RECHECK_US 10000
/* An entry that has been queued is refused by a new prediction only if that is clearly too late:
 * the rate is accurate to about a fifth. */
#define RECHECK_WAIT_SHARE 0.75
#define RECHECK_SLACK_US 10000

/* Requests that a tenant may send at once after a pause without losing its place to others. A
 * tenant within its quota sends its requests at random times, not at equal intervals. */
#define FLOW_BURST 8
/* Tenants without waiting requests whose last share is still remembered, per rank. */
#define IDLE_FLOWS_MAX 1024
/* Ranks without waiting requests are dropped beyond this number. */
#define RANKS_KEPT 16
#define WEIGHT_MIN 1e-3

/* Interval of promised starts while there is no rate. */
#define DEFAULT_START_INTERVAL_US 10000.0
/* A caller's limit if it does not say how long it waits. */
#define RETRY_MAX_US 1000000
#define CALLER_TIME_DIVISOR 3
/* Multiples of it modulo 1 are spread evenly, whatever their number. */
#define GOLDEN_RATIO 0.6180339887498949

/** Requests of one rank. */
typedef struct rank_queue_t {
	uint32_t rank;
	uint32_t waiting;
	double waiting_cost;
	uint32_t waiting_aside; /* of them, those that are not predicted to start in time */
	double virtual_time;	/* virtual start of the latest start in order */
	GHashTable *flows;	/* name of a tenant to flow_t */
	GSequence *idle;	/* flows without waiting entries, by virtual_end */
	double costs[BUCKETS];	/* of the starts, by bucket */
	double rate;		/* cost of the starts per us in the window of the rate */
} rank_queue_t;

/** A tenant with waiting requests, or whose share of the past starts exceeds that of the others. */
typedef struct flow_t {
	char *tenant;
	rank_queue_t *rank;
	uint32_t waiting;
	double waiting_cost;
	double virtual_end;  /* of its last entry */
	GSequenceIter *idle; /* NULL if it has waiting entries */
	/* Its starts while it has waiting entries; the past counts for half after each window. */
	uint64_t since_us; /* on the clock of the rate */
	double starts, cost;
} flow_t;

struct admission_t {
	GPtrArray *ranks; /* rank_queue_t, most urgent first */
	GSequence *order; /* all waiting entries, in the order of starts */
	GQueue by_age;	  /* the same, oldest first */
	/* Entries that start too late in order, but in time if the starts by age go to them. */
	GQueue aged;
	/* Entries that start too late in order, and that had room when they were offered. */
	GQueue late;
	uint64_t tested_serial; /* admission_next() found no room for entries up to this one */
	GSequenceIter *cursor;	/* where the moving window of admission_next() begins; NULL: none */
	timers_t expiries;
	uint64_t last_serial;
	uint64_t called_us;  /* time of the latest call, for those that are not told the time */
	uint32_t since_aged; /* starts since the last one by age */
	uint64_t recheck_us; /* when the last entries are to be checked again */

	/* The clock of the rate: it runs while requests wait. */
	uint64_t busy_us;     /* up to changed_us */
	uint64_t changed_us;  /* when the queue was last filled or emptied */
	uint64_t measured_us; /* on this clock: beginning of the measurement */
	uint64_t bucket;      /* the current one, counted from 0 on this clock */
	uint64_t rated_bucket;
	bool has_rate;
	double rate;		  /* cost of the starts per us */
	double starts_rate;	  /* starts per us */
	uint32_t starts[BUCKETS]; /* by bucket */

	double promised_us; /* time of the last start that was promised to a refused caller */
	uint64_t spread;    /* callers whose delay was spread */
};

static void flow_free(void *data)
{
	flow_t *flow = data;

	g_free(flow->tenant);
	g_free(flow);
}

static void rank_free(void *data)
{
	rank_queue_t *rank = data;

	g_hash_table_unref(rank->flows);
	g_sequence_free(rank->idle);
	g_free(rank);
}

admission_t *admission_new(void)
{
	admission_t *admission = g_new0(admission_t, 1);

	admission->ranks = g_ptr_array_new_with_free_func(rank_free);
	admission->order = g_sequence_new(NULL);
	timers_init(&admission->expiries);
	return admission;
}

void admission_free(admission_t *admission)
{
	while (admission->by_age.head)
		admission_withdraw(admission, admission->by_age.head->data);
	g_sequence_free(admission->order);
	timers_clear(&admission->expiries);
	g_ptr_array_unref(admission->ranks);
	g_free(admission);
}

uint32_t admission_waiting(const admission_t *admission)
{
	return admission->by_age.length;
}

/* ---- ranks and tenants ---- */

static rank_queue_t *rank_at(const admission_t *admission, guint index)
{
	return g_ptr_array_index(admission->ranks, index);
}

static void drop_unused_ranks(admission_t *admission)
{
	for (guint i = admission->ranks->len; i > 0 && admission->ranks->len >= RANKS_KEPT; i--)
		if (!rank_at(admission, i - 1)->waiting)
			g_ptr_array_remove_index(admission->ranks, i - 1);
}

static rank_queue_t *rank_new(uint32_t rank)
{
	rank_queue_t *queue = g_new0(rank_queue_t, 1);

	queue->rank = rank;
	queue->flows = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, flow_free);
	queue->idle = g_sequence_new(NULL);
	return queue;
}

/* Index of the first queue whose rank is not more urgent than @p rank. */
static guint rank_index(const admission_t *admission, uint32_t rank)
{
	guint i = 0;

	while (i < admission->ranks->len && rank_at(admission, i)->rank < rank)
		i++;
	return i;
}

static rank_queue_t *find_or_add_rank(admission_t *admission, uint32_t rank)
{
	guint i = rank_index(admission, rank);

	if (i < admission->ranks->len && rank_at(admission, i)->rank == rank)
		return rank_at(admission, i);
	drop_unused_ranks(admission);
	i = rank_index(admission, rank);
	g_ptr_array_insert(admission->ranks, (gint)i, rank_new(rank));
	return rank_at(admission, i);
}

static const char *tenant_name(const admission_entry_t *entry)
{
	return entry->tenant ? entry->tenant : "";
}

static gint compare_idle(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const flow_t *left = a, *right = b;

	(void)ctx;
	return (left->virtual_end > right->virtual_end) - (left->virtual_end < right->virtual_end);
}

static void drop_first_idle(rank_queue_t *rank)
{
	GSequenceIter *first = g_sequence_get_begin_iter(rank->idle);
	const flow_t *flow = g_sequence_get(first);

	g_sequence_remove(first);
	g_hash_table_remove(rank->flows, flow->tenant);
}

/* A tenant whose share is used up by the others' progress is the same as one that is not known. */
static void drop_idle(rank_queue_t *rank)
{
	while (!g_sequence_is_empty(rank->idle)) {
		const flow_t *first = g_sequence_get(g_sequence_get_begin_iter(rank->idle));

		if (first->virtual_end > rank->virtual_time &&
		    g_sequence_get_length(rank->idle) <= IDLE_FLOWS_MAX)
			return;
		drop_first_idle(rank);
	}
}

static void make_idle(flow_t *flow)
{
	flow->idle = g_sequence_insert_sorted(flow->rank->idle, flow, compare_idle, NULL);
	drop_idle(flow->rank);
}

static void make_busy(flow_t *flow)
{
	if (flow->idle)
		g_sequence_remove(flow->idle);
	flow->idle = NULL;
}

/* Without waiting entries nobody's share is used by anybody else. */
static void reset_rank(rank_queue_t *rank)
{
	g_sequence_remove_range(g_sequence_get_begin_iter(rank->idle),
				g_sequence_get_end_iter(rank->idle));
	g_hash_table_remove_all(rank->flows);
	rank->virtual_time = 0;
	rank->waiting_cost = 0;
}

static flow_t *find_or_add_flow(rank_queue_t *rank, const admission_entry_t *entry)
{
	flow_t *flow = g_hash_table_lookup(rank->flows, tenant_name(entry));

	if (flow)
		return flow;
	flow = g_new0(flow_t, 1);
	flow->tenant = g_strdup(tenant_name(entry));
	flow->rank = rank;
	flow->virtual_end = rank->virtual_time;
	g_hash_table_insert(rank->flows, flow->tenant, flow);
	return flow;
}

/* Sets the virtual start that the entry has if it is queued now. */
static void set_virtual_start(const rank_queue_t *rank, admission_entry_t *entry)
{
	const flow_t *flow = g_hash_table_lookup(rank->flows, tenant_name(entry));

	entry->virtual_length = MAX(entry->parts, 1) / MAX(entry->weight, WEIGHT_MIN);
	entry->virtual_start = rank->virtual_time;
	if (flow)
		entry->virtual_start =
			MAX(entry->virtual_start,
			    flow->virtual_end - (FLOW_BURST - 1) * entry->virtual_length);
}

static void charge(flow_t *flow, admission_entry_t *entry)
{
	entry->virtual_before = flow->virtual_end;
	flow->virtual_end =
		MAX(flow->virtual_end, flow->rank->virtual_time) + entry->virtual_length;
	entry->virtual_end = flow->virtual_end;
}

/* Returns the share of a tenant's last entry. That of an earlier one can't be returned: later
 * entries would get the same virtual starts as those that wait, and go before other tenants'. */
static void uncharge(const admission_entry_t *entry)
{
	if (entry->flow->virtual_end <= entry->virtual_end)
		entry->flow->virtual_end = entry->virtual_before;
}

/* ---- the rate of starts ---- */

static uint64_t busy_clock_us(const admission_t *admission, uint64_t now_us)
{
	if (!admission->by_age.length || now_us < admission->changed_us)
		return admission->busy_us;
	return admission->busy_us + now_us - admission->changed_us;
}

static void forget_starts(admission_t *admission)
{
	admission->has_rate = false;
	admission->measured_us = admission->busy_us;
	memset(admission->starts, 0, sizeof(admission->starts));
	for (guint i = 0; i < admission->ranks->len; i++)
		memset(rank_at(admission, i)->costs, 0, sizeof(rank_at(admission, i)->costs));
}

static void clear_bucket(admission_t *admission, uint64_t bucket)
{
	admission->starts[bucket % BUCKETS] = 0;
	for (guint i = 0; i < admission->ranks->len; i++)
		rank_at(admission, i)->costs[bucket % BUCKETS] = 0;
}

static void advance_buckets(admission_t *admission, uint64_t now_us)
{
	uint64_t bucket = busy_clock_us(admission, now_us) / BUCKET_US;
	uint64_t from = MAX(admission->bucket + 1, bucket < BUCKETS ? 0 : bucket - BUCKETS + 1);

	for (uint64_t i = from; i <= bucket; i++)
		clear_bucket(admission, i);
	admission->bucket = bucket;
}

static void note_start(admission_t *admission, rank_queue_t *rank, const admission_entry_t *entry,
		       uint64_t now_us)
{
	advance_buckets(admission, now_us);
	admission->starts[admission->bucket % BUCKETS]++;
	rank->costs[admission->bucket % BUCKETS] += MAX(entry->parts, 1);
}

/* Sets the rates from the buckets @p from to the current one, which took @p window_us. */
static void set_rates(admission_t *admission, uint64_t from, uint32_t starts, uint64_t window_us)
{
	admission->rate = 0;
	for (guint i = 0; i < admission->ranks->len; i++) {
		rank_queue_t *rank = rank_at(admission, i);
		double cost = 0;

		for (uint64_t j = from; j <= admission->bucket; j++)
			cost += rank->costs[j % BUCKETS];
		rank->rate = cost / (double)window_us;
		admission->rate += rank->rate;
	}
	admission->starts_rate = MAX(starts, 1) / (double)window_us;
	/* Without any start, at most one was about to come. */
	admission->rate = MAX(admission->rate, 1 / (double)window_us);
}

static void update_rate(admission_t *admission, uint64_t now_us)
{
	uint64_t busy_us = busy_clock_us(admission, now_us);
	uint64_t from, window_us = 0;
	uint32_t starts = 0;

	advance_buckets(admission, now_us);
	if (admission->rated_bucket == admission->bucket)
		return;
	admission->rated_bucket = admission->bucket;
	for (from = admission->bucket;; from--) {
		starts += admission->starts[from % BUCKETS];
		window_us = busy_us - MAX(from * BUCKET_US, admission->measured_us);
		if (from * BUCKET_US <= admission->measured_us ||
		    from + BUCKETS - 1 <= admission->bucket ||
		    (window_us >= WINDOW_MIN_US && starts >= WINDOW_MIN_STARTS))
			break;
	}
	admission->has_rate = (starts >= FIRST_STARTS && window_us >= FIRST_WINDOW_US) ||
			      window_us >= FIRST_WINDOW_MAX_US;
	if (admission->has_rate)
		set_rates(admission, from, starts, window_us);
}

static void start_flow(const admission_t *admission, flow_t *flow, uint64_t now_us)
{
	flow->since_us = busy_clock_us(admission, now_us);
	flow->starts = flow->cost = 0;
}

static void note_flow_start(const admission_t *admission, flow_t *flow,
			    const admission_entry_t *entry, uint64_t now_us)
{
	uint64_t window_us = busy_clock_us(admission, now_us) - flow->since_us;

	flow->starts++;
	flow->cost += MAX(entry->parts, 1);
	if (window_us < WINDOW_MIN_US || flow->starts < 2 * WINDOW_MIN_STARTS)
		return;
	flow->since_us += window_us / 2;
	flow->starts /= 2;
	flow->cost /= 2;
}

/* Called before the first entry is queued. */
static void start_clock(admission_t *admission, uint64_t now_us)
{
	if (now_us > admission->changed_us + RATE_KEPT_US)
		forget_starts(admission);
	admission->changed_us = now_us;
	admission->recheck_us = now_us + RECHECK_US;
}

/* ---- the queue ---- */

static uint64_t limit_us(const admission_entry_t *entry)
{
	return MIN(entry->start_by_us, entry->deadline_us);
}

static gint compare_order(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const admission_entry_t *left = a, *right = b;

	(void)ctx;
	if (left->rank != right->rank)
		return left->rank < right->rank ? -1 : 1;
	if (left->virtual_start < right->virtual_start ||
	    left->virtual_start > right->virtual_start)
		return left->virtual_start < right->virtual_start ? -1 : 1;
	return (left->serial > right->serial) - (left->serial < right->serial);
}

static void queue_by_age(GQueue *queue, admission_entry_t *entry)
{
	GList *after = queue->tail;

	while (after && ((admission_entry_t *)after->data)->arrived_us > entry->arrived_us)
		after = after->prev;
	entry->age_link = (GList){.data = entry};
	if (after)
		g_queue_insert_after_link(queue, after, &entry->age_link);
	else
		g_queue_push_head_link(queue, &entry->age_link);
}

static void put_aside(admission_entry_t *entry, GQueue *side)
{
	entry->side_link = (GList){.data = entry};
	entry->side = side;
	entry->flow->rank->waiting_aside++;
	g_queue_push_tail_link(side, &entry->side_link);
}

static void enqueue(admission_t *admission, admission_entry_t *entry, GSequenceIter *before,
		    GQueue *side, uint64_t now_us)
{
	rank_queue_t *rank = find_or_add_rank(admission, entry->rank);

	if (!admission->by_age.length)
		start_clock(admission, now_us);
	entry->flow = find_or_add_flow(rank, entry);
	make_busy(entry->flow);
	charge(entry->flow, entry);
	if (!entry->flow->waiting)
		start_flow(admission, entry->flow, now_us);
	entry->flow->waiting++;
	entry->flow->waiting_cost += MAX(entry->parts, 1);
	rank->waiting++;
	rank->waiting_cost += MAX(entry->parts, 1);
	entry->place = g_sequence_insert_before(before, entry);
	queue_by_age(&admission->by_age, entry);
	entry->side = NULL;
	if (side)
		put_aside(entry, side);
	entry->expiry = (timer_entry_t){.ctx = entry};
	timers_set(&admission->expiries, &entry->expiry, limit_us(entry));
	entry->queued = true;
}

static void take_off_side(admission_entry_t *entry)
{
	if (!entry->side)
		return;
	g_queue_unlink(entry->side, &entry->side_link);
	entry->flow->rank->waiting_aside--;
	entry->side = NULL;
}

static void leave_flow(admission_entry_t *entry)
{
	flow_t *flow = entry->flow;
	rank_queue_t *rank = flow->rank;

	flow->waiting--;
	flow->waiting_cost -= MAX(entry->parts, 1);
	rank->waiting--;
	rank->waiting_cost -= MAX(entry->parts, 1);
	if (!rank->waiting)
		reset_rank(rank);
	else if (!flow->waiting)
		make_idle(flow);
	entry->flow = NULL;
}

static void dequeue(admission_t *admission, admission_entry_t *entry, uint64_t now_us)
{
	admission->busy_us = busy_clock_us(admission, now_us);
	admission->changed_us = MAX(now_us, admission->changed_us);
	if (admission->cursor == entry->place)
		admission->cursor = g_sequence_iter_next(entry->place);
	g_sequence_remove(entry->place);
	g_queue_unlink(&admission->by_age, &entry->age_link);
	take_off_side(entry);
	timers_cancel(&admission->expiries, &entry->expiry);
	leave_flow(entry);
	entry->queued = false;
}

/* Dequeues an entry that does not start: its tenant gets the share back. */
static void give_up(admission_t *admission, admission_entry_t *entry, uint64_t now_us)
{
	uncharge(entry);
	dequeue(admission, entry, now_us);
}

void admission_withdraw(admission_t *admission, admission_entry_t *entry)
{
	if (entry->queued)
		give_up(admission, entry, admission->called_us);
}

/* ---- prediction ---- */

static const rank_queue_t *find_waiting_rank(const admission_t *admission, uint32_t rank)
{
	for (guint i = 0; i < admission->ranks->len; i++)
		if (rank_at(admission, i)->rank == rank && rank_at(admission, i)->waiting)
			return rank_at(admission, i);
	return NULL;
}

/* Cost of the starts per us that are left to this entry's rank in order, until its limit. */
static double rate_left(const admission_t *admission, const admission_entry_t *entry,
			uint64_t now_us)
{
	double left_us = (double)(MAX(limit_us(entry), now_us + 1) - now_us);
	double rate = admission->rate;
	double urgent = 0;

	for (guint i = 0; i < admission->ranks->len && rank_at(admission, i)->rank < entry->rank;
	     i++)
		urgent += rank_at(admission, i)->rate;
	/* Requests arrive at random times: their number varies by its square root. */
	urgent += URGENT_DEVIATIONS *
		  sqrt(urgent / left_us * admission->rate / admission->starts_rate);
	if (admission->aged.length)
		rate -= rate / AGE_START_INTERVAL;
	return MAX(rate - urgent, 0);
}

/*
 * The same for one more entry of the tenant, by its own starts; 0: not known. Other tenants' later
 * requests go before those of a tenant that sends more than its share.
 */
static double flow_wait_us(const admission_t *admission, const admission_entry_t *entry,
			   bool is_queued, uint64_t now_us)
{
	const rank_queue_t *rank = find_waiting_rank(admission, entry->rank);
	const flow_t *flow = rank ? g_hash_table_lookup(rank->flows, tenant_name(entry)) : NULL;
	double window_us;

	if (!flow || !flow->waiting)
		return 0;
	window_us = (double)(busy_clock_us(admission, now_us) - flow->since_us);
	if (flow->starts < FIRST_STARTS && window_us < FIRST_WINDOW_MAX_US)
		return 0;
	return (flow->waiting_cost + (is_queued ? 0 : MAX(entry->parts, 1))) * window_us /
	       MAX(flow->cost, 1);
}

/* Predicted time to the start of an entry with @p position entries before it in order. */
static double predicted_wait_us(const admission_t *admission, const admission_entry_t *entry,
				gint position, uint64_t now_us)
{
	double ahead = MAX(entry->parts, 1);
	double rate = rate_left(admission, entry, now_us);
	guint i = 0;

	for (; i < admission->ranks->len && rank_at(admission, i)->rank < entry->rank; i++) {
		ahead += rank_at(admission, i)->waiting_cost;
		position -= (gint)rank_at(admission, i)->waiting;
	}
	if (position > 0)
		ahead += position * rank_at(admission, i)->waiting_cost /
			 rank_at(admission, i)->waiting;
	return rate > 0 ? ahead / rate : G_MAXDOUBLE;
}

static bool is_in_time(const admission_entry_t *entry, double wait_us, uint64_t now_us)
{
	return (double)now_us + wait_us <= (double)limit_us(entry);
}

/* Whether a start by age comes in time: for requests that more urgent ones keep from starting. */
static bool has_age_start(const admission_t *admission, const admission_entry_t *entry,
			  uint64_t now_us)
{
	const admission_entry_t *first =
		g_sequence_get(g_sequence_get_begin_iter(admission->order));
	double wait_us = (admission->aged.length + 1) * AGE_START_INTERVAL / admission->starts_rate;

	if (first->rank >= entry->rank)
		return false;
	/* One may always wait: it is started if the rate proves to be higher. */
	return !admission->aged.length || is_in_time(entry, wait_us, now_us);
}

/* Where an entry waits: NULL in order. Returns false if it can't start in time. */
static bool choose_side(admission_t *admission, const admission_entry_t *entry, bool has_room,
			gint position, GQueue **side, uint64_t now_us)
{
	*side = NULL;
	update_rate(admission, now_us);
	/* The next one in order may always wait: it is started if the rate proves to be higher. */
	if (!admission->has_rate || !position ||
	    is_in_time(entry,
		       WAIT_MARGIN * MAX(predicted_wait_us(admission, entry, position, now_us),
					 flow_wait_us(admission, entry, false, now_us)),
		       now_us))
		return true;
	*side = has_room ? &admission->late : &admission->aged;
	return has_room || has_age_start(admission, entry, now_us);
}

static bool is_age_turn(const admission_t *admission)
{
	return admission->by_age.length && admission->since_aged >= AGE_START_INTERVAL - 1;
}

static void start_at_once(admission_t *admission, rank_queue_t *rank, admission_entry_t *entry,
			  uint64_t now_us)
{
	flow_t *flow;

	if (!admission->by_age.length)
		return;
	note_start(admission, rank, entry, now_us);
	admission->since_aged++;
	if (!rank->waiting)
		return;
	flow = find_or_add_flow(rank, entry);
	make_busy(flow);
	charge(flow, entry);
	rank->virtual_time = MAX(rank->virtual_time, entry->virtual_start);
	if (!flow->waiting)
		make_idle(flow);
}

admission_verdict_t admission_offer(admission_t *admission, admission_entry_t *entry, bool has_room,
				    uint64_t now_us)
{
	rank_queue_t *rank = find_or_add_rank(admission, entry->rank);
	GSequenceIter *before;
	gint position;
	GQueue *side;

	admission->called_us = now_us;
	if (now_us > limit_us(entry) || (!has_room && now_us == limit_us(entry)))
		return ADMISSION_REFUSE;
	entry->serial = ++admission->last_serial;
	set_virtual_start(rank, entry);
	before = g_sequence_search(admission->order, entry, compare_order, NULL);
	position = g_sequence_iter_get_position(before);
	if (has_room && !position && !is_age_turn(admission)) {
		start_at_once(admission, rank, entry, now_us);
		return ADMISSION_START;
	}
	if (admission->by_age.length >= WAITING_MAX ||
	    !choose_side(admission, entry, has_room, position, &side, now_us))
		return ADMISSION_REFUSE;
	enqueue(admission, entry, before, side, now_us);
	return ADMISSION_WAIT;
}

/* ---- starts ---- */

/** The caller's question, and the time. */
typedef struct question_t {
	admission_can_start_f can_start;
	void *ctx;
	uint64_t now_us;
} question_t;

static bool may_start(const question_t *question, admission_entry_t *entry)
{
	return question->now_us <= limit_us(entry) && question->can_start(question->ctx, entry);
}

static admission_entry_t *find_in_queue(const GQueue *queue, const question_t *question)
{
	GList *link = queue->head;

	for (uint32_t i = 0; link && i < TRIES_MAX; i++, link = link->next)
		if (may_start(question, link->data))
			return link->data;
	return NULL;
}

/* Tries entries from @p iter on, and moves it to the next one that was not tried. */
static admission_entry_t *find_from(GSequenceIter **iter, const question_t *question)
{
	for (uint32_t i = 0; i < TRIES_MAX && !g_sequence_iter_is_end(*iter); i++) {
		admission_entry_t *entry = g_sequence_get(*iter);

		if (may_start(question, entry))
			return entry;
		*iter = g_sequence_iter_next(*iter);
	}
	return NULL;
}

static admission_entry_t *find_in_order(admission_t *admission, const question_t *question)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(admission->order);
	admission_entry_t *entry = find_from(&iter, question);

	if (entry || g_sequence_iter_is_end(iter))
		return entry;
	entry = find_in_queue(&admission->late, question);
	if (entry)
		return entry;
	if (!admission->cursor || g_sequence_iter_compare(admission->cursor, iter) < 0 ||
	    g_sequence_iter_is_end(admission->cursor))
		admission->cursor = iter;
	return find_from(&admission->cursor, question);
}

/* An entry of a less urgent rank than the first in order; NULL: none. Within a rank, fair queueing
 * lets nobody starve, and starts by age would go to the tenant that sends more than its share. */
static admission_entry_t *find_by_age(const admission_t *admission, const question_t *question)
{
	const admission_entry_t *first =
		g_sequence_get(g_sequence_get_begin_iter(admission->order));
	admission_entry_t *entry = find_in_queue(&admission->aged, question);

	if (!entry)
		entry = find_in_queue(&admission->by_age, question);
	return entry && entry->rank > first->rank ? entry : NULL;
}

static void start_entry(admission_t *admission, admission_entry_t *entry, bool by_age,
			uint64_t now_us)
{
	rank_queue_t *rank = entry->flow->rank;

	note_start(admission, rank, entry, now_us);
	note_flow_start(admission, entry->flow, entry, now_us);
	admission->since_aged = by_age ? 0 : admission->since_aged + 1;
	if (!by_age)
		rank->virtual_time = MAX(rank->virtual_time, entry->virtual_start);
	dequeue(admission, entry, now_us);
	drop_idle(rank);
}

admission_entry_t *admission_next(admission_t *admission, admission_can_start_f can_start,
				  void *ctx, uint64_t now_us)
{
	const question_t question = {.can_start = can_start, .ctx = ctx, .now_us = now_us};
	admission_entry_t *entry = NULL;
	bool by_age;

	admission->called_us = now_us;
	if (is_age_turn(admission))
		entry = find_by_age(admission, &question);
	by_age = entry != NULL;
	if (!entry)
		entry = find_in_order(admission, &question);
	if (entry)
		start_entry(admission, entry, by_age, now_us);
	else
		admission->tested_serial = admission->last_serial;
	return entry;
}

/* ---- expiry ---- */

/* The first entry of the side queue for which admission_next() found no room. */
static admission_entry_t *tested_late(const admission_t *admission)
{
	admission_entry_t *entry = admission->late.head ? admission->late.head->data : NULL;

	return entry && entry->serial <= admission->tested_serial ? entry : NULL;
}

/* The last entry in order of a rank that is not on a side queue; NULL: not among the last ones. */
static admission_entry_t *last_in_order(const admission_t *admission, const rank_queue_t *rank)
{
	const admission_entry_t end = {
		.rank = rank->rank, .virtual_start = G_MAXDOUBLE, .serial = UINT64_MAX};
	GSequenceIter *iter =
		g_sequence_search(admission->order, (gpointer)&end, compare_order, NULL);

	for (uint32_t i = 0; i < MIN(rank->waiting, TRIES_MAX); i++) {
		admission_entry_t *entry;

		iter = g_sequence_iter_prev(iter);
		entry = g_sequence_get(iter);
		if (!entry->side)
			return entry;
	}
	return NULL;
}

static bool is_clearly_late(const admission_t *admission, const admission_entry_t *entry,
			    uint64_t now_us)
{
	gint position = g_sequence_iter_get_position(entry->place);
	double wait_us = MAX(predicted_wait_us(admission, entry, position, now_us),
			     flow_wait_us(admission, entry, true, now_us));

	return position &&
	       !is_in_time(entry, RECHECK_WAIT_SHARE * wait_us - RECHECK_SLACK_US, now_us);
}

/* The least urgent, newest entry that can no longer start in time; NULL: none. */
static admission_entry_t *find_clearly_late(admission_t *admission, uint64_t now_us)
{
	for (guint i = admission->ranks->len; i > 0; i--) {
		const rank_queue_t *rank = rank_at(admission, i - 1);
		admission_entry_t *entry;

		while (rank->waiting > rank->waiting_aside &&
		       (entry = last_in_order(admission, rank)) &&
		       is_clearly_late(admission, entry, now_us)) {
			if (!has_age_start(admission, entry, now_us))
				return entry;
			put_aside(entry, &admission->aged);
		}
	}
	return NULL;
}

static admission_entry_t *recheck(admission_t *admission, uint64_t now_us)
{
	admission_entry_t *entry = NULL;

	if (!admission->by_age.length || now_us < admission->recheck_us)
		return NULL;
	update_rate(admission, now_us);
	if (admission->has_rate)
		entry = find_clearly_late(admission, now_us);
	if (!entry)
		admission->recheck_us = now_us + RECHECK_US;
	return entry;
}

admission_entry_t *admission_expired(admission_t *admission, uint64_t now_us)
{
	admission_entry_t *entry = NULL;

	admission->called_us = now_us;
	if (timers_next_us(&admission->expiries) <= now_us && admission->by_age.length) {
		const timer_entry_t *timer = g_ptr_array_index(admission->expiries.heap, 0);

		entry = timer->ctx;
	}
	if (!entry)
		entry = tested_late(admission);
	if (!entry)
		entry = recheck(admission, now_us);
	if (entry)
		give_up(admission, entry, now_us);
	return entry;
}

uint64_t admission_next_us(const admission_t *admission)
{
	uint64_t next_us = timers_next_us(&admission->expiries);

	if (!admission->by_age.length)
		return TIMERS_NEVER;
	if (tested_late(admission))
		return admission->changed_us;
	return MIN(next_us, admission->recheck_us);
}

/* ---- refused callers ---- */

admission_entry_t *admission_displaced(admission_t *admission, const admission_entry_t *entry,
				       uint64_t now_us)
{
	admission_entry_t *last;

	if (admission->by_age.length < WAITING_MAX || now_us >= limit_us(entry))
		return NULL;
	last = g_sequence_get(g_sequence_iter_prev(g_sequence_get_end_iter(admission->order)));
	if (last->rank <= entry->rank)
		return NULL;
	give_up(admission, last, now_us);
	return last;
}

/* Time of the next start that has not been promised, from now on. */
static double next_free_start_us(const admission_t *admission, uint64_t now_us)
{
	double interval_us = DEFAULT_START_INTERVAL_US;
	double first_us;

	if (admission->has_rate)
		interval_us = 1 / admission->starts_rate;
	first_us = (double)now_us + (admission->by_age.length + 1) * interval_us;
	return MAX(first_us, admission->promised_us + interval_us) - (double)now_us;
}

uint64_t admission_retry_after_us(admission_t *admission, uint64_t caller_left_us, uint64_t now_us)
{
	double third_us = caller_left_us ? (double)caller_left_us / CALLER_TIME_DIVISOR
					 : (double)RETRY_MAX_US;
	double free_us, spread;

	update_rate(admission, now_us);
	free_us = next_free_start_us(admission, now_us);
	if (free_us <= third_us) {
		admission->promised_us = (double)now_us + free_us;
		return (uint64_t)free_us;
	}
	spread = (double)++admission->spread * GOLDEN_RATIO;
	spread -= (double)(uint64_t)spread;
	return (uint64_t)(third_us * (1 + spread) / 2);
}
