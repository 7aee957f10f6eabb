/**
 * @file claims.c
 * See claims.h. docs/decisions/0005-at-most-once.md compares the alternatives; spec/claims.pml
 * models the protocol.
 */
#include "core/claims.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define MAX_BUCKET_ENTRIES 8000
/* Rate limit for the writes of one VM: the platform takes several hundred writes per second from
 * all VMs together. */
#define CLAIM_WRITE_INTERVAL_US 25000
#define WRITE_BURST 20
#define MIN_CLAIM_BACKOFF_US 5000
#define MAX_CLAIM_BACKOFF_US 500000
#define CONFLICT_BACKOFF_US 2000
/* After a write conflict, the bucket is read before each of this many writes: other VMs write it
 * too. */
#define CONTENDED_WRITES 16
/* After this many calls in a row without an answer the platform counts as unavailable. */
#define CLAIM_OUTAGE_FAILURES 2
#define OUTAGE_PROBE_US 300000
/* How long a recorded "ran" outcome may wait to share another write. */
#define OUTCOME_DELAY_US 5000000

/** One claim, as stored at the platform: [holder, issued_ms, "?" or "y" (ran)]. */
typedef struct entry_t {
	char *holder;
	uint64_t issued_ms;
	bool ran;
} entry_t;

typedef enum op_kind_t { OP_CLAIM, OP_RELEASE, OP_RAN } op_kind_t;

/** A pending change of a bucket. */
typedef struct op_t {
	op_kind_t kind;
	char *key;    /* scope and key */
	char *holder; /* unique to this claim */
	uint64_t issued_ms;
	void *owner;
	bool read_after_arrival; /* a read of the bucket began after this op arrived */
	bool written; /* a write with this op was sent; whether it took effect may be unknown */
} op_t;

/** BUSY: claims are being finished, and their owners may claim again from within the callback. */
typedef enum bucket_state_t {
	BUCKET_IDLE,
	BUCKET_READING,
	BUCKET_BUSY,
	BUCKET_WRITING,
	BUCKET_BACKING_OFF,
} bucket_state_t;

typedef struct bucket_t {
	claims_t *claims;
	uint32_t index;
	bucket_state_t state;
	bool is_current;	 /* version and entries are as last read or written */
	bool just_read;		 /* read since the last write */
	bool next_write_charged; /* the rate limit is charged for the next write already */
	uint32_t contended; /* number of next writes that need a read first, after a conflict */
	uint64_t version;
	GHashTable *entries; /* key -> entry_t */
	GQueue pending;	     /* op_t */
	GQueue batch;	     /* op_t in the write that is in flight */
	timer_entry_t timer;
	uint64_t outcomes_due_us; /* when recorded outcomes get a write of their own */
	uint32_t failures;
} bucket_t;

struct claims_t {
	const claims_ops_t *ops;
	void *ctx;
	char *holder;
	GRand *rand;
	timers_t timers;
	bucket_t buckets[CLAIMS_BUCKETS];
	GHashTable *held; /* key -> holder string, of claims that this VM holds */
	uint64_t last_serial;
	uint32_t failures;   /* platform calls in a row without an answer */
	timer_entry_t probe; /* during an outage: checks whether the platform answers again */
	uint64_t next_write_us;
	uint64_t wall_ms;
	uint64_t writes, won;
};

static void bucket_step(bucket_t *bucket, uint64_t now_us);

static void entry_free(void *data)
{
	entry_t *entry = data;

	g_free(entry->holder);
	g_free(entry);
}

static void op_free(void *data)
{
	op_t *op = data;

	g_free(op->key);
	g_free(op->holder);
	g_free(op);
}

claims_t *claims_new(const claims_ops_t *ops, void *ctx, const char *holder, uint32_t seed)
{
	claims_t *claims = g_new0(claims_t, 1);

	claims->ops = ops;
	claims->ctx = ctx;
	claims->holder = g_strdup(holder);
	claims->rand = g_rand_new_with_seed(seed);
	claims->held = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	timers_init(&claims->timers);
	for (uint32_t i = 0; i < CLAIMS_BUCKETS; i++) {
		bucket_t *bucket = &claims->buckets[i];

		bucket->claims = claims;
		bucket->index = i;
		bucket->entries =
			g_hash_table_new_full(g_str_hash, g_str_equal, g_free, entry_free);
		g_queue_init(&bucket->pending);
		g_queue_init(&bucket->batch);
	}
	return claims;
}

void claims_free(claims_t *claims)
{
	for (uint32_t i = 0; i < CLAIMS_BUCKETS; i++) {
		g_hash_table_unref(claims->buckets[i].entries);
		g_queue_clear_full(&claims->buckets[i].pending, op_free);
		g_queue_clear_full(&claims->buckets[i].batch, op_free);
	}
	g_hash_table_unref(claims->held);
	timers_clear(&claims->timers);
	g_rand_free(claims->rand);
	g_free(claims->holder);
	g_free(claims);
}

/* ---- stored value of a bucket ---- */

static void entries_load(bucket_t *bucket, const json_t *value)
{
	const char *key;
	json_t *item;

	g_hash_table_remove_all(bucket->entries);
	json_object_foreach ((json_t *)value, key, item) {
		entry_t *entry = g_new0(entry_t, 1);
		const char *ran = json_string_value(json_array_get(item, 2));

		entry->holder = g_strdup(json_string_value(json_array_get(item, 0)));
		entry->issued_ms = (uint64_t)json_integer_value(json_array_get(item, 1));
		entry->ran = ran && *ran == 'y';
		g_hash_table_insert(bucket->entries, g_strdup(key), entry);
	}
}

static gboolean is_expired(gpointer key, gpointer value, gpointer wall_ms)
{
	(void)key;
	return ((entry_t *)value)->issued_ms + CLAIMS_KEEP_MS < *(uint64_t *)wall_ms;
}

static json_t *entries_json(bucket_t *bucket)
{
	json_t *value = json_object();
	GHashTableIter iter;
	gpointer key, item;

	g_hash_table_foreach_remove(bucket->entries, is_expired, &bucket->claims->wall_ms);
	g_hash_table_iter_init(&iter, bucket->entries);
	while (g_hash_table_iter_next(&iter, &key, &item)) {
		const entry_t *entry = item;

		json_object_set_new(value, key,
				    json_pack("[s, I, s]", entry->holder,
					      (json_int_t)entry->issued_ms,
					      entry->ran ? "y" : "?"));
	}
	return value;
}

/* ---- applying an op to the known state of its bucket ---- */

static void finish_claim(claims_t *claims, op_t *op, claim_result_t end)
{
	if (end == CLAIM_ACQUIRED) {
		claims->won++;
		g_hash_table_insert(claims->held, g_strdup(op->key), g_strdup(op->holder));
	}
	claims->ops->ended(claims->ctx, op->owner, end);
	op_free(op);
}

static void add_entry(bucket_t *bucket, const op_t *op)
{
	entry_t *entry = g_new0(entry_t, 1);

	entry->holder = g_strdup(op->holder);
	entry->issued_ms = op->issued_ms;
	g_hash_table_insert(bucket->entries, g_strdup(op->key), entry);
}

/** What an op needs next. */
typedef enum op_result_t { OP_NEEDS_WRITE, OP_NEEDS_READ, OP_FINISHED } op_result_t;

static op_result_t apply_claim(bucket_t *bucket, op_t *op)
{
	claims_t *claims = bucket->claims;
	const entry_t *entry = g_hash_table_lookup(bucket->entries, op->key);

	/*
	 * A write of this VM whose answer was lost: the entry carries this claim's own id. Without
	 * this check the caller would be told that another attempt holds the key, and no attempt
	 * would run the action.
	 */
	if (entry && g_str_equal(entry->holder, op->holder)) {
		finish_claim(claims, op, CLAIM_ACQUIRED);
		return OP_FINISHED;
	}
	/* The entry may have been released since the last read. */
	if (entry && !op->read_after_arrival)
		return OP_NEEDS_READ;
	if (entry) {
		finish_claim(claims, op, entry->ran ? CLAIM_RAN : CLAIM_HELD_ELSEWHERE);
		return OP_FINISHED;
	}
	/*
	 * Checked again right before each write: a process that was suspended here for longer than
	 * claims are kept would not see the removed claim under which the action already ran.
	 */
	if (op->issued_ms + CLAIMS_KEY_AGE_MS < claims->wall_ms) {
		finish_claim(claims, op, CLAIM_TOO_OLD);
		return OP_FINISHED;
	}
	if (g_hash_table_size(bucket->entries) >= MAX_BUCKET_ENTRIES) {
		finish_claim(claims, op, CLAIM_UNAVAILABLE);
		return OP_FINISHED;
	}
	add_entry(bucket, op);
	return OP_NEEDS_WRITE;
}

static op_result_t apply_outcome(bucket_t *bucket, op_t *op)
{
	entry_t *entry = g_hash_table_lookup(bucket->entries, op->key);

	/* Change only this VM's own claim: another attempt may hold the key by now. */
	if (!entry || !g_str_equal(entry->holder, op->holder) ||
	    (op->kind == OP_RAN && entry->ran)) {
		op_free(op);
		return OP_FINISHED;
	}
	if (op->kind == OP_RAN)
		entry->ran = true;
	else
		g_hash_table_remove(bucket->entries, op->key);
	return OP_NEEDS_WRITE;
}

/* ---- reading and writing a bucket ---- */

static void on_bucket_timer(void *ctx, uint64_t now_us)
{
	bucket_t *bucket = ctx;

	if (bucket->state == BUCKET_BACKING_OFF)
		bucket->state = BUCKET_IDLE;
	bucket_step(bucket, now_us);
}

static void bucket_set_timer(bucket_t *bucket, uint64_t until_us)
{
	bucket->timer.fire = on_bucket_timer;
	bucket->timer.ctx = bucket;
	timers_set(&bucket->claims->timers, &bucket->timer, until_us);
}

static void bucket_read(bucket_t *bucket)
{
	bucket->state = BUCKET_READING;
	for (GList *item = bucket->pending.head; item; item = item->next)
		((op_t *)item->data)->read_after_arrival = true;
	bucket->claims->ops->read(bucket->claims->ctx, bucket->index);
}

/* Group commit: all pending ops go into one write. */
static void fill_batch(bucket_t *bucket)
{
	GQueue taken = bucket->pending;
	op_t *op;

	bucket->state = BUCKET_BUSY;
	g_queue_init(&bucket->pending);
	while ((op = g_queue_pop_head(&taken))) {
		op_result_t result =
			op->kind == OP_CLAIM ? apply_claim(bucket, op) : apply_outcome(bucket, op);

		if (result == OP_NEEDS_WRITE) {
			op->written = true;
			g_queue_push_tail(&bucket->batch, op);
		} else if (result == OP_NEEDS_READ) {
			g_queue_push_tail(&bucket->pending, op);
		}
	}
	bucket->state = BUCKET_IDLE;
}

static void bucket_write(bucket_t *bucket)
{
	json_t *value = entries_json(bucket);

	bucket->state = BUCKET_WRITING;
	bucket->just_read = bucket->next_write_charged = false;
	bucket->claims->writes++;
	bucket->claims->ops->write(bucket->claims->ctx, bucket->index, bucket->version, value);
	json_decref(value);
}

static bool has_only_outcomes(const bucket_t *bucket)
{
	for (const GList *item = bucket->pending.head; item; item = item->next)
		if (((const op_t *)item->data)->kind != OP_RAN)
			return false;
	return true;
}

static bool charge_write(claims_t *claims, uint64_t now_us)
{
	uint64_t oldest = now_us > WRITE_BURST * CLAIM_WRITE_INTERVAL_US
				  ? now_us - WRITE_BURST * CLAIM_WRITE_INTERVAL_US
				  : 0;

	claims->next_write_us = MAX(claims->next_write_us, oldest);
	if (claims->next_write_us > now_us)
		return false;
	claims->next_write_us += CLAIM_WRITE_INTERVAL_US;
	return true;
}

static void bucket_step(bucket_t *bucket, uint64_t now_us)
{
	claims_t *claims = bucket->claims;

	if (bucket->state != BUCKET_IDLE || g_queue_is_empty(&bucket->pending))
		return;
	if (has_only_outcomes(bucket) && now_us < bucket->outcomes_due_us) {
		bucket_set_timer(bucket, bucket->outcomes_due_us);
		return;
	}
	if (!bucket->next_write_charged && !charge_write(claims, now_us)) {
		bucket_set_timer(bucket, claims->next_write_us);
		return;
	}
	bucket->next_write_charged = true;
	/*
	 * If other VMs write the bucket too, the state known here is outdated, and a write based on
	 * it fails and uses up one of the platform's few writes. A read just before the write only
	 * uses one of its many reads.
	 */
	if (!bucket->is_current || (bucket->contended && !bucket->just_read)) {
		bucket_read(bucket);
		return;
	}
	fill_batch(bucket);
	if (!g_queue_is_empty(&bucket->batch))
		bucket_write(bucket);
	else if (!g_queue_is_empty(&bucket->pending))
		bucket_read(bucket);
}

static void bucket_back_off(bucket_t *bucket, uint64_t max_us, uint64_t now_us)
{
	bucket->state = BUCKET_BACKING_OFF;
	bucket_set_timer(bucket, now_us + (uint64_t)g_rand_double_range(bucket->claims->rand,
									(double)max_us / 2,
									(double)max_us));
}

static void requeue_batch(bucket_t *bucket)
{
	op_t *op;

	while ((op = g_queue_pop_tail(&bucket->batch))) {
		op->read_after_arrival = false;
		g_queue_push_head(&bucket->pending, op);
	}
	bucket->is_current = false;
}

static bool in_outage(const claims_t *claims)
{
	return claims->failures >= CLAIM_OUTAGE_FAILURES;
}

/*
 * During an outage waiting cannot settle a claim, so pending claims fail at once. A claim whose
 * write may have taken effect is released once the platform answers again, so that the key can be
 * used.
 */
static void fail_pending_claims(bucket_t *bucket)
{
	GQueue taken = bucket->pending;
	op_t *op;

	g_queue_init(&bucket->pending);
	while ((op = g_queue_pop_head(&taken))) {
		if (op->kind == OP_CLAIM) {
			bucket->claims->ops->ended(bucket->claims->ctx, op->owner,
						   CLAIM_UNAVAILABLE);
			if (!op->written) {
				op_free(op);
				continue;
			}
			op->kind = OP_RELEASE;
		}
		g_queue_push_tail(&bucket->pending, op);
	}
}

static void arm_probe(claims_t *claims, uint64_t now_us);

static void on_probe(void *ctx, uint64_t now_us)
{
	claims_t *claims = ctx;

	if (!in_outage(claims))
		return;
	for (uint32_t i = 0; i < CLAIMS_BUCKETS; i++) {
		if (claims->buckets[i].state == BUCKET_READING)
			return; /* the read's result ends the outage or arms this timer again */
	}
	for (uint32_t i = 0; i < CLAIMS_BUCKETS; i++) {
		if (claims->buckets[i].state != BUCKET_IDLE)
			continue;
		bucket_read(&claims->buckets[i]);
		return;
	}
	arm_probe(claims, now_us);
}

static void arm_probe(claims_t *claims, uint64_t now_us)
{
	claims->probe.fire = on_probe;
	claims->probe.ctx = claims;
	timers_set(&claims->timers, &claims->probe, now_us + OUTAGE_PROBE_US);
}

static void call_failed(bucket_t *bucket, uint64_t now_us)
{
	claims_t *claims = bucket->claims;
	uint64_t backoff_us = (uint64_t)MIN_CLAIM_BACKOFF_US << MIN(bucket->failures, 8);

	bucket->failures++;
	claims->failures++;
	if (in_outage(claims)) {
		fail_pending_claims(bucket);
		arm_probe(claims, now_us);
	}
	bucket_back_off(bucket, MIN(backoff_us, MAX_CLAIM_BACKOFF_US), now_us);
}

static void call_answered(bucket_t *bucket)
{
	bucket->failures = 0;
	bucket->claims->failures = 0;
	bucket->state = BUCKET_IDLE;
}

void claims_read_done(claims_t *claims, uint32_t index, const platform_result_t *result,
		      uint64_t now_us, uint64_t wall_ms)
{
	bucket_t *bucket = &claims->buckets[index];

	claims->wall_ms = wall_ms;
	if (result->end != PLATFORM_OK && result->end != PLATFORM_ABSENT) {
		call_failed(bucket, now_us);
		return;
	}
	call_answered(bucket);
	bucket->is_current = bucket->just_read = true;
	bucket->version = result->version;
	entries_load(bucket, result->value);
	bucket_step(bucket, now_us);
}

/*
 * The owner of a finished claim may claim again from within the callback. Without the BUSY state
 * that claim would join the batch that is being finished here and count as acquired before it was
 * written: two VMs could then run the same action.
 */
static void finish_batch(bucket_t *bucket)
{
	op_t *op;

	bucket->state = BUCKET_BUSY;
	while ((op = g_queue_pop_head(&bucket->batch))) {
		if (op->kind == OP_CLAIM)
			finish_claim(bucket->claims, op, CLAIM_ACQUIRED);
		else
			op_free(op);
	}
	bucket->state = BUCKET_IDLE;
}

void claims_write_done(claims_t *claims, uint32_t index, const platform_result_t *result,
		       uint64_t now_us, uint64_t wall_ms)
{
	bucket_t *bucket = &claims->buckets[index];

	claims->wall_ms = wall_ms;
	if (result->end == PLATFORM_UNKNOWN) {
		/* Resolved by reading the bucket: apply_claim() finds this claim's id, or the write
		 * is sent again. */
		requeue_batch(bucket);
		call_failed(bucket, now_us);
		return;
	}
	call_answered(bucket);
	if (result->end == PLATFORM_CONFLICT) {
		bucket->contended = CONTENDED_WRITES;
		requeue_batch(bucket);
		bucket_back_off(bucket, CONFLICT_BACKOFF_US, now_us);
		return;
	}
	bucket->version = result->version;
	bucket->contended -= bucket->contended > 0;
	finish_batch(bucket);
	bucket_step(bucket, now_us);
}

/* ---- public interface ---- */

static bucket_t *bucket_of(claims_t *claims, const char *full_key)
{
	return &claims->buckets[XXH64(full_key, strlen(full_key), 0) % CLAIMS_BUCKETS];
}

static bool parse_issued_ms(const char *key, uint64_t *issued_ms)
{
	char *end;

	if (!g_ascii_isdigit(*key))
		return false;
	*issued_ms = strtoull(key, &end, 10);
	return *end == '-' && end[1];
}

static op_t *op_new(op_kind_t kind, const char *scope, const char *key)
{
	op_t *op = g_new0(op_t, 1);

	op->kind = kind;
	op->key = g_strdup_printf("%s/%s", scope, key);
	return op;
}

void claims_claim(claims_t *claims, const char *scope, const char *key, void *owner,
		  uint64_t now_us, uint64_t wall_ms)
{
	uint64_t issued_ms = 0;
	bucket_t *bucket;
	op_t *op;

	claims->wall_ms = wall_ms;
	if (!parse_issued_ms(key, &issued_ms) || issued_ms > wall_ms + CLAIMS_FUTURE_MS) {
		claims->ops->ended(claims->ctx, owner, CLAIM_BAD_KEY);
		return;
	}
	if (issued_ms + CLAIMS_KEY_AGE_MS < wall_ms) {
		claims->ops->ended(claims->ctx, owner, CLAIM_TOO_OLD);
		return;
	}
	op = op_new(OP_CLAIM, scope, key);
	op->holder =
		g_strdup_printf("%s.%" G_GUINT64_FORMAT, claims->holder, ++claims->last_serial);
	op->issued_ms = issued_ms;
	op->owner = owner;
	bucket = bucket_of(claims, op->key);
	/* During an outage the claim fails at once, since waiting would not settle it. A periodic
	 * probe detects when the platform answers again. */
	if (in_outage(claims)) {
		claims->ops->ended(claims->ctx, owner, CLAIM_UNAVAILABLE);
		op_free(op);
		return;
	}
	g_queue_push_tail(&bucket->pending, op);
	bucket_step(bucket, now_us);
}

void claims_record_outcome(claims_t *claims, const char *scope, const char *key, ran_t ran,
			   uint64_t now_us, uint64_t wall_ms)
{
	op_t *op = op_new(ran == RAN_YES ? OP_RAN : OP_RELEASE, scope, key);
	const char *holder = g_hash_table_lookup(claims->held, op->key);
	bucket_t *bucket = bucket_of(claims, op->key);

	claims->wall_ms = wall_ms;
	if (!holder || ran == RAN_UNKNOWN) {
		g_hash_table_remove(claims->held, op->key);
		op_free(op);
		return;
	}
	op->holder = g_strdup(holder);
	g_hash_table_remove(claims->held, op->key);
	if (g_queue_is_empty(&bucket->pending))
		bucket->outcomes_due_us = now_us + OUTCOME_DELAY_US;
	g_queue_push_tail(&bucket->pending, op);
	bucket_step(bucket, now_us);
}

uint64_t claims_next_us(const claims_t *claims)
{
	return timers_next_us(&claims->timers);
}

void claims_run(claims_t *claims, uint64_t now_us, uint64_t wall_ms)
{
	claims->wall_ms = wall_ms;
	timers_run(&claims->timers, now_us);
}

uint64_t claims_writes(const claims_t *claims)
{
	return claims->writes;
}

uint64_t claims_won(const claims_t *claims)
{
	return claims->won;
}

bool claims_idle(const claims_t *claims)
{
	for (uint32_t i = 0; i < CLAIMS_BUCKETS; i++)
		if (claims->buckets[i].pending.length || claims->buckets[i].batch.length)
			return false;
	return true;
}
