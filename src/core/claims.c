/**
 * @file claims.c
 * See claims.h. docs/decisions/0005-at-most-once.md weighs the ways; spec/claims.pml is its model.
 */
#include "core/claims.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define ENTRIES_MAX 8000
/* Writes of one VM: the platform takes several hundred a second from all of them. */
#define WRITE_SPACING_US 25000
#define WRITE_BURST 20
#define BACKOFF_LEAST_US 5000
#define BACKOFF_MOST_US 500000
#define CONFLICT_BACKOFF_US 2000
#define CONTENDED_WRITES 16
#define FAILURES_TO_OUTAGE 2
#define OUTAGE_PROBE_US 300000
/* How long a recorded "ran" may wait for another write to go with. */
#define OUTCOME_DELAY_US 5000000

/** One claim, as kept at the platform: [holder, issued_ms, "?" or "y"]. */
typedef struct entry_t {
	char *holder;
	uint64_t issued_ms;
	bool ran;
} entry_t;

typedef enum op_kind_t { OP_CLAIM, OP_RELEASE, OP_RAN } op_kind_t;

/** Something to do to a bucket. */
typedef struct op_t {
	op_kind_t kind;
	char *key;    /* scope and key */
	char *holder; /* unique to this claim */
	uint64_t issued_ms;
	void *owner;
	bool read_since; /* the bucket has been read after this op came */
	bool written;	 /* a write that held it was sent; whether it took effect may be unknown */
} op_t;

/** FILLING: claims are being ended, and whoever is told may claim again in the same moment. */
typedef enum bucket_state_t {
	BUCKET_IDLE,
	BUCKET_READING,
	BUCKET_FILLING,
	BUCKET_WRITING,
	BUCKET_BACKING_OFF,
} bucket_state_t;

typedef struct bucket_t {
	claims_t *claims;
	uint32_t index;
	bucket_state_t state;
	bool known;	    /* version and entries are as last read or written */
	bool just_read;	    /* and nothing has been waited for since */
	bool may_write;	    /* a write is paid for */
	uint32_t contended; /* reads before writes still to be made after a conflict */
	uint64_t version;
	GHashTable *entries; /* key -> entry_t */
	GQueue pending;	     /* op_t */
	GQueue batch;	     /* op_t in the write that is out */
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
	GHashTable *held; /* key -> holder string of claims of ours */
	uint64_t last_serial;
	uint32_t failures;   /* platform calls in a row without an answer */
	timer_entry_t probe; /* in an outage: asks whether it is over */
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

/* ---- the value of a bucket ---- */

static void entries_take(bucket_t *bucket, const json_t *value)
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

/* ---- one op against the bucket as known ---- */

static void end_claim(claims_t *claims, op_t *op, claim_result_t end)
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

/** What is to be done with an op. */
typedef enum verdict_t { VERDICT_WRITE, VERDICT_READ_FIRST, VERDICT_ENDED } verdict_t;

static verdict_t apply_claim(bucket_t *bucket, op_t *op)
{
	claims_t *claims = bucket->claims;
	const entry_t *entry = g_hash_table_lookup(bucket->entries, op->key);

	/*
	 * Our own write whose answer was lost: the entry carries this claim's own id. Without this
	 * check the caller would be told that somebody else holds the key, and nobody would run it.
	 */
	if (entry && g_str_equal(entry->holder, op->holder)) {
		end_claim(claims, op, CLAIM_ACQUIRED);
		return VERDICT_ENDED;
	}
	/* The entry may have been given back since we last read. */
	if (entry && !op->read_since)
		return VERDICT_READ_FIRST;
	if (entry) {
		end_claim(claims, op, entry->ran ? CLAIM_RAN : CLAIM_HELD_ELSEWHERE);
		return VERDICT_ENDED;
	}
	/*
	 * Checked again right before each write: a process that was paused here for longer than
	 * claims are kept would not see the claim under which the action has run already.
	 */
	if (op->issued_ms + CLAIMS_KEY_AGE_MS < claims->wall_ms) {
		end_claim(claims, op, CLAIM_TOO_OLD);
		return VERDICT_ENDED;
	}
	if (g_hash_table_size(bucket->entries) >= ENTRIES_MAX) {
		end_claim(claims, op, CLAIM_UNAVAILABLE);
		return VERDICT_ENDED;
	}
	add_entry(bucket, op);
	return VERDICT_WRITE;
}

static verdict_t apply_outcome(bucket_t *bucket, op_t *op)
{
	entry_t *entry = g_hash_table_lookup(bucket->entries, op->key);

	/* Only our own claim: the key may be another's by now. */
	if (!entry || !g_str_equal(entry->holder, op->holder) ||
	    (op->kind == OP_RAN && entry->ran)) {
		op_free(op);
		return VERDICT_ENDED;
	}
	if (op->kind == OP_RAN)
		entry->ran = true;
	else
		g_hash_table_remove(bucket->entries, op->key);
	return VERDICT_WRITE;
}

/* ---- a bucket's course ---- */

static void on_bucket_timer(void *ctx, uint64_t now_us)
{
	bucket_t *bucket = ctx;

	if (bucket->state == BUCKET_BACKING_OFF)
		bucket->state = BUCKET_IDLE;
	bucket_step(bucket, now_us);
}

static void bucket_wait(bucket_t *bucket, uint64_t until_us)
{
	bucket->timer.fire = on_bucket_timer;
	bucket->timer.ctx = bucket;
	timers_set(&bucket->claims->timers, &bucket->timer, until_us);
}

static void bucket_read(bucket_t *bucket)
{
	bucket->state = BUCKET_READING;
	for (GList *item = bucket->pending.head; item; item = item->next)
		((op_t *)item->data)->read_since = true;
	bucket->claims->ops->read(bucket->claims->ctx, bucket->index);
}

/* Group commit: all that is pending goes into one write. */
static void fill_batch(bucket_t *bucket)
{
	GQueue taken = bucket->pending;
	op_t *op;

	bucket->state = BUCKET_FILLING;
	g_queue_init(&bucket->pending);
	while ((op = g_queue_pop_head(&taken))) {
		verdict_t verdict =
			op->kind == OP_CLAIM ? apply_claim(bucket, op) : apply_outcome(bucket, op);

		if (verdict == VERDICT_WRITE) {
			op->written = true;
			g_queue_push_tail(&bucket->batch, op);
		} else if (verdict == VERDICT_READ_FIRST) {
			g_queue_push_tail(&bucket->pending, op);
		}
	}
	bucket->state = BUCKET_IDLE;
}

static void bucket_write(bucket_t *bucket)
{
	json_t *value = entries_json(bucket);

	bucket->state = BUCKET_WRITING;
	bucket->just_read = bucket->may_write = false;
	bucket->claims->writes++;
	bucket->claims->ops->write(bucket->claims->ctx, bucket->index, bucket->version, value);
	json_decref(value);
}

static bool only_outcomes_wait(const bucket_t *bucket)
{
	for (const GList *item = bucket->pending.head; item; item = item->next)
		if (((const op_t *)item->data)->kind != OP_RAN)
			return false;
	return true;
}

static bool may_write_now(claims_t *claims, uint64_t now_us)
{
	uint64_t oldest = now_us > WRITE_BURST * WRITE_SPACING_US
				  ? now_us - WRITE_BURST * WRITE_SPACING_US
				  : 0;

	claims->next_write_us = MAX(claims->next_write_us, oldest);
	if (claims->next_write_us > now_us)
		return false;
	claims->next_write_us += WRITE_SPACING_US;
	return true;
}

static void bucket_step(bucket_t *bucket, uint64_t now_us)
{
	claims_t *claims = bucket->claims;

	if (bucket->state != BUCKET_IDLE || g_queue_is_empty(&bucket->pending))
		return;
	if (only_outcomes_wait(bucket) && now_us < bucket->outcomes_due_us) {
		bucket_wait(bucket, bucket->outcomes_due_us);
		return;
	}
	if (!bucket->may_write && !may_write_now(claims, now_us)) {
		bucket_wait(bucket, claims->next_write_us);
		return;
	}
	bucket->may_write = true;
	/*
	 * Where other VMs write, too, what is known here is old, and a write that rests on it fails
	 * and costs one of the platform's few writes. A read just before it costs one of its many
	 * reads.
	 */
	if (!bucket->known || (bucket->contended && !bucket->just_read)) {
		bucket_read(bucket);
		return;
	}
	fill_batch(bucket);
	if (!g_queue_is_empty(&bucket->batch))
		bucket_write(bucket);
	else if (!g_queue_is_empty(&bucket->pending))
		bucket_read(bucket);
}

static void bucket_back_off(bucket_t *bucket, uint64_t most_us, uint64_t now_us)
{
	bucket->state = BUCKET_BACKING_OFF;
	bucket_wait(bucket,
		    now_us + (uint64_t)g_rand_double_range(bucket->claims->rand,
							   (double)most_us / 2, (double)most_us));
}

static void batch_back_to_pending(bucket_t *bucket)
{
	op_t *op;

	while ((op = g_queue_pop_tail(&bucket->batch))) {
		op->read_since = false;
		g_queue_push_head(&bucket->pending, op);
	}
	bucket->known = false;
}

static bool in_outage(const claims_t *claims)
{
	return claims->failures >= FAILURES_TO_OUTAGE;
}

/*
 * In an outage nobody can be told more by waiting. A claim whose write may have taken effect is
 * given back once the platform answers again, so that the key can be used.
 */
static void refuse_pending(bucket_t *bucket)
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
			return; /* its end decides, and arms this again if need be */
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
	uint64_t backoff_us = (uint64_t)BACKOFF_LEAST_US << MIN(bucket->failures, 8);

	bucket->failures++;
	claims->failures++;
	if (in_outage(claims)) {
		refuse_pending(bucket);
		arm_probe(claims, now_us);
	}
	bucket_back_off(bucket, MIN(backoff_us, BACKOFF_MOST_US), now_us);
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
	bucket->known = bucket->just_read = true;
	bucket->version = result->version;
	entries_take(bucket, result->value);
	bucket_step(bucket, now_us);
}

/*
 * Whoever is told that a claim is ours may claim again at once. Without the FILLING state that
 * claim would join the batch that is being ended here, and be told "ours" before any write of it:
 * two VMs could then run one action.
 */
static void end_batch(bucket_t *bucket)
{
	op_t *op;

	bucket->state = BUCKET_FILLING;
	while ((op = g_queue_pop_head(&bucket->batch))) {
		if (op->kind == OP_CLAIM)
			end_claim(bucket->claims, op, CLAIM_ACQUIRED);
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
		/* Settled by reading back: apply_claim() finds our id, or the write is made again.
		 */
		batch_back_to_pending(bucket);
		call_failed(bucket, now_us);
		return;
	}
	call_answered(bucket);
	if (result->end == PLATFORM_CONFLICT) {
		bucket->contended = CONTENDED_WRITES;
		batch_back_to_pending(bucket);
		bucket_back_off(bucket, CONFLICT_BACKOFF_US, now_us);
		return;
	}
	bucket->version = result->version;
	bucket->contended -= bucket->contended > 0;
	end_batch(bucket);
	bucket_step(bucket, now_us);
}

/* ---- from outside ---- */

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
	/* Waiting would tell nobody more: the probe finds out when claims can be settled again. */
	if (in_outage(claims)) {
		claims->ops->ended(claims->ctx, owner, CLAIM_UNAVAILABLE);
		op_free(op);
		return;
	}
	g_queue_push_tail(&bucket->pending, op);
	bucket_step(bucket, now_us);
}

void claims_outcome(claims_t *claims, const char *scope, const char *key, ran_t ran,
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
