/**
 * @file quota.c
 * See quota.h.
 */
#include "core/quota.h"

#include "core/quota_choice.h"

#include <string.h>
#include <xxhash.h>

/* A pool in the same region answers within some milliseconds, or its VM is busy, suspended or gone.
 */
#define ASK_TIMEOUT_US 50000
/* Pools that are asked for one request: the tenant's first one, and one in reserve. */
#define POOLS_ASKED_MAX 2
/* Pause after all pools were asked for spare tokens. */
#define TRANSFER_PAUSE_US 100000
/* Time for a pool of another region to answer. */
#define TRANSFER_TIMEOUT_US 200000

/** A VM that may pool quotas, this one among them. */
typedef struct quota_peer_t {
	char *vm;
	bool is_near; /* in this VM's region */
	bool is_used; /* one of the first of this region that can be reached */
	bool linked;  /* it can be reached; always set for this VM */
} quota_peer_t;

struct quota_ask_t {
	quota_t *quota;
	uint64_t serial;
	char *tenant;
	const quota_peer_t *asked[POOLS_ASKED_MAX];
	uint32_t asked_count;
	bool refused; /* a pool has answered that it has no token */
	uint64_t retry_after_us;
	timer_entry_t timer;
	void *owner;
};

/** Requests for spare tokens of one tenant, to one pool after the other. */
typedef struct transfer_t {
	quota_t *quota;
	char *tenant;
	uint64_t serial; /* of the request that is out; 0: none */
	guint next;	 /* index of the next peer */
	guint left;	 /* peers that are still to be asked */
	timer_entry_t timer;
} transfer_t;

struct quota_t {
	const quota_ops_t *ops;
	void *ctx;
	char *own_name;
	quota_pool_t *pool;
	const tenants_t *tenants;
	GPtrArray *peers;  /* quota_peer_t: those of this region first, best first */
	quota_peer_t *own; /* this VM, if it is one of them; NULL */
	uint32_t vms;
	uint64_t listed_after_us;
	uint64_t accrued_from_us; /* 0: this VM accrues nothing yet */
	guint next_pool;	  /* the place in the rotation of pools */
	timers_t timers;
	timer_entry_t period;
	GHashTable *asks;      /* serial to quota_ask_t */
	GHashTable *transfers; /* name of a tenant to transfer_t */
	uint64_t last_serial;
	GRand *rand;
	quota_counters_t counters;
};

static void run_period(void *ctx, uint64_t now_us);

static void peer_free(void *data)
{
	quota_peer_t *peer = data;

	g_free(peer->vm);
	g_free(peer);
}

static void ask_free(quota_ask_t *ask)
{
	timers_cancel(&ask->quota->timers, &ask->timer);
	g_hash_table_remove(ask->quota->asks, &ask->serial);
	g_free(ask->tenant);
	g_free(ask);
}

static void transfer_free(void *data)
{
	transfer_t *transfer = data;

	timers_cancel(&transfer->quota->timers, &transfer->timer);
	g_free(transfer->tenant);
	g_free(transfer);
}

quota_t *quota_new(const quota_tolerance_t *tolerance, const char *own_name,
		   uint64_t listed_after_us, const quota_ops_t *ops, void *ctx, uint32_t seed)
{
	quota_t *quota = g_new0(quota_t, 1);

	quota->ops = ops;
	quota->ctx = ctx;
	quota->own_name = g_strdup(own_name);
	quota->pool = quota_pool_new(tolerance);
	quota->peers = g_ptr_array_new_with_free_func(peer_free);
	quota->listed_after_us = listed_after_us;
	timers_init(&quota->timers);
	quota->period = (timer_entry_t){.fire = run_period, .ctx = quota};
	quota->asks = g_hash_table_new(g_int64_hash, g_int64_equal);
	quota->transfers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, transfer_free);
	quota->rand = g_rand_new_with_seed(seed);
	return quota;
}

void quota_free(quota_t *quota)
{
	g_autoptr(GList) asks = g_hash_table_get_values(quota->asks);

	for (GList *item = asks; item; item = item->next)
		ask_free(item->data);
	g_hash_table_unref(quota->asks);
	g_hash_table_unref(quota->transfers);
	timers_clear(&quota->timers);
	g_ptr_array_unref(quota->peers);
	quota_pool_free(quota->pool);
	g_rand_free(quota->rand);
	g_free(quota->own_name);
	g_free(quota);
}

/* ---- pools ---- */

static quota_peer_t *find_peer(const quota_t *quota, const char *vm)
{
	for (guint i = 0; i < quota->peers->len; i++) {
		quota_peer_t *peer = g_ptr_array_index(quota->peers, i);

		if (g_str_equal(peer->vm, vm))
			return peer;
	}
	return NULL;
}

/* Takes the peer of this name out of @p old; returns a new one if it is not there. */
static quota_peer_t *reuse_peer(GPtrArray *old, const char *name)
{
	quota_peer_t *peer;

	for (guint i = 0; i < old->len; i++) {
		peer = g_ptr_array_index(old, i);
		if (g_str_equal(peer->vm, name))
			return g_ptr_array_steal_index(old, i);
	}
	peer = g_new0(quota_peer_t, 1);
	peer->vm = g_strdup(name);
	return peer;
}

static void list_peers(quota_t *quota, GPtrArray *old, const GPtrArray *names, bool near)
{
	for (guint i = 0; i < names->len; i++) {
		quota_peer_t *peer = reuse_peer(old, g_ptr_array_index(names, i));

		peer->is_near = near;
		g_ptr_array_add(quota->peers, peer);
		if (!g_str_equal(peer->vm, quota->own_name))
			continue;
		quota->own = peer;
		peer->linked = true;
	}
}

static void forget_asked(quota_t *quota, const quota_peer_t *peer)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quota->asks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		quota_ask_t *ask = value;

		for (uint32_t i = 0; i < ask->asked_count; i++)
			if (ask->asked[i] == peer)
				ask->asked[i] = NULL;
	}
}

static void choose_pools(quota_t *quota)
{
	guint used = 0;

	for (guint i = 0; i < quota->peers->len; i++) {
		quota_peer_t *peer = g_ptr_array_index(quota->peers, i);

		peer->is_used = peer->is_near && peer->linked && used < QUOTA_POOLS_PER_REGION;
		used += peer->is_used;
	}
}

/* Until the other VMs know of this one, they share all of the quotas among themselves. A VM that
 * starts again is in their lists already. */
static void start_accruing(quota_t *quota, const quota_vms_t *vms, uint64_t now_us)
{
	bool is_first_list = !quota->vms;

	if (quota->accrued_from_us || !vms->is_listed)
		return;
	quota->accrued_from_us = is_first_list ? now_us : now_us + quota->listed_after_us;
}

void quota_set_vms(quota_t *quota, const quota_vms_t *vms, uint64_t now_us)
{
	g_autoptr(GPtrArray) old = NULL;

	if (!vms->count)
		return;
	old = quota->peers;
	start_accruing(quota, vms, now_us);
	quota->vms = vms->count;
	quota->own = NULL;
	quota->peers = g_ptr_array_new_with_free_func(peer_free);
	list_peers(quota, old, vms->pools, true);
	if (quota->own)
		list_peers(quota, old, vms->others, false);
	for (guint i = 0; i < old->len; i++)
		forget_asked(quota, g_ptr_array_index(old, i));
	choose_pools(quota);
	if (!quota->period.heap_position)
		timers_set(&quota->timers, &quota->period,
			   now_us + (uint64_t)g_rand_int_range(quota->rand, 0, QUOTA_PERIOD_US));
}

void quota_set_tenants(quota_t *quota, const tenants_t *tenants)
{
	quota->tenants = tenants;
	quota_pool_retain(quota->pool, tenants);
}

void quota_set_linked(quota_t *quota, const char *vm, bool linked)
{
	quota_peer_t *peer = find_peer(quota, vm);

	if (!peer || peer == quota->own)
		return;
	peer->linked = linked;
	choose_pools(quota);
}

static const tenant_t *find_tenant(const quota_t *quota, const char *name)
{
	return quota->tenants ? tenants_find(quota->tenants, name) : NULL;
}

static hop_bytes_t bytes_of(const char *text)
{
	return (hop_bytes_t){.data = text, .bytes = strlen(text)};
}

/* ---- this VM's share ---- */

static guint count_used(const quota_t *quota)
{
	guint count = 0;

	for (guint i = 0; i < quota->peers->len; i++)
		count += ((quota_peer_t *)g_ptr_array_index(quota->peers, i))->is_used;
	return count;
}

/* The next pool in use in the rotation; NULL: none can be reached. */
static const quota_peer_t *next_pool(quota_t *quota)
{
	for (guint i = 0; i < quota->peers->len; i++) {
		guint at = quota->next_pool++ % quota->peers->len;
		const quota_peer_t *peer = g_ptr_array_index(quota->peers, at);

		if (peer->is_used)
			return peer;
	}
	return NULL;
}

static void send_share(quota_t *quota, const quota_peer_t *peer, const quota_share_t *share)
{
	const hop_message_t message = {.type = HOP_QUOTA_SHARE,
				       .share = {.vm = bytes_of(share->vm),
						 .accrued_us = share->accrued_us,
						 .vms = share->vms,
						 .pools = share->pools}};

	quota->ops->send(quota->ctx, peer->vm, &message);
}

/* A VM that reaches no pool keeps its share to itself. */
static void hand_over_share(quota_t *quota, uint64_t now_us)
{
	uint64_t accrued_us = now_us - quota->accrued_from_us;
	const quota_peer_t *peer = next_pool(quota);
	const quota_share_t share = {.vm = quota->own_name,
				     .accrued_us = MIN(accrued_us, QUOTA_ACCRUED_MAX_US),
				     .vms = quota->vms,
				     .pools = MAX(count_used(quota), 1)};

	quota->accrued_from_us = now_us;
	if (peer && peer != quota->own)
		send_share(quota, peer, &share);
	else
		quota_pool_add(quota->pool, &share, now_us);
}

static void run_period(void *ctx, uint64_t now_us)
{
	quota_t *quota = ctx;

	timers_set(&quota->timers, &quota->period, now_us + QUOTA_PERIOD_US);
	if (quota->tenants && quota->accrued_from_us && quota->accrued_from_us < now_us)
		hand_over_share(quota, now_us);
}

/* ---- spare tokens for this VM's pool ---- */

static void ask_for_spare(transfer_t *transfer, const quota_peer_t *peer, uint32_t count,
			  uint64_t now_us)
{
	quota_t *quota = transfer->quota;
	const hop_message_t message = {
		.type = HOP_QUOTA_ASK,
		.serial = ++quota->last_serial,
		.quota = {.tenant = bytes_of(transfer->tenant), .count = count, .spare = true}};

	transfer->serial = message.serial;
	timers_set(&quota->timers, &transfer->timer, now_us + TRANSFER_TIMEOUT_US);
	quota->ops->send(quota->ctx, peer->vm, &message);
}

/* Asks the next pool while tokens are lacking; after the last one, ends the transfer with a pause.
 */
static void transfer_next(transfer_t *transfer, uint64_t now_us)
{
	quota_t *quota = transfer->quota;
	const tenant_t *tenant = find_tenant(quota, transfer->tenant);
	uint32_t lacks = tenant ? quota_pool_lacks(quota->pool, tenant, now_us) : 0;

	transfer->serial = 0;
	/* The list of pools may have become shorter meanwhile. */
	transfer->left = MIN(transfer->left, quota->peers->len);
	while (lacks && transfer->left) {
		const quota_peer_t *peer =
			g_ptr_array_index(quota->peers, transfer->next++ % quota->peers->len);

		transfer->left--;
		if (!peer->linked || peer == quota->own)
			continue;
		ask_for_spare(transfer, peer, lacks, now_us);
		return;
	}
	timers_set(&quota->timers, &transfer->timer, now_us + TRANSFER_PAUSE_US);
}

static void on_transfer_timer(void *ctx, uint64_t now_us)
{
	transfer_t *transfer = ctx;

	if (transfer->serial)
		transfer_next(transfer, now_us);
	else
		g_hash_table_remove(transfer->quota->transfers, transfer->tenant);
}

/* Called after a token was taken from this VM's pool, or was not there. */
static void transfer_if_low(quota_t *quota, const tenant_t *tenant, uint64_t now_us)
{
	transfer_t *transfer;

	if (!quota->own || g_hash_table_contains(quota->transfers, tenant->name) ||
	    !quota_pool_lacks(quota->pool, tenant, now_us))
		return;
	transfer = g_new0(transfer_t, 1);
	transfer->quota = quota;
	transfer->tenant = g_strdup(tenant->name);
	transfer->next = (guint)g_rand_int_range(quota->rand, 0, (gint32)quota->peers->len);
	transfer->left = quota->peers->len;
	transfer->timer = (timer_entry_t){.fire = on_transfer_timer, .ctx = transfer};
	g_hash_table_insert(quota->transfers, transfer->tenant, transfer);
	transfer_next(transfer, now_us);
}

static transfer_t *find_transfer(const quota_t *quota, uint64_t serial)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quota->transfers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((transfer_t *)value)->serial == serial)
			return value;
	return NULL;
}

static void end_transfer(transfer_t *transfer, uint32_t count, uint64_t now_us)
{
	quota_t *quota = transfer->quota;
	const tenant_t *tenant = find_tenant(quota, transfer->tenant);

	if (tenant && count) {
		quota_pool_put(quota->pool, tenant, count, now_us);
		quota->counters.transferred += count;
	}
	transfer_next(transfer, now_us);
}

/* ---- tokens for requests ---- */

static bool take_own(quota_t *quota, const tenant_t *tenant, uint64_t now_us)
{
	bool taken = quota_pool_take(quota->pool, tenant, now_us);

	transfer_if_low(quota, tenant, now_us);
	return taken;
}

static uint64_t promise_own_us(quota_t *quota, const tenant_t *tenant, uint64_t now_us)
{
	uint64_t wait_us = quota_pool_promise_us(quota->pool, tenant, now_us);

	return wait_us == UINT64_MAX ? 0 : wait_us;
}

static void decide(quota_ask_t *ask, quota_verdict_t verdict)
{
	quota_t *quota = ask->quota;

	quota->counters.granted += verdict == QUOTA_GRANTED;
	quota->counters.exceeded += verdict == QUOTA_EXCEEDED;
	quota->counters.unreachable += verdict == QUOTA_UNREACHABLE;
	quota->ops->decided(quota->ctx, ask->owner, verdict, ask->retry_after_us);
	ask_free(ask);
}

static void note_refused(quota_ask_t *ask, uint64_t retry_after_us)
{
	ask->refused = true;
	if (retry_after_us && (!ask->retry_after_us || retry_after_us < ask->retry_after_us))
		ask->retry_after_us = retry_after_us;
}

static uint64_t rank_of(const char *vm, const char *tenant)
{
	return XXH64(vm, strlen(vm), XXH64(tenant, strlen(tenant), 0));
}

static bool was_asked(const quota_ask_t *ask, const quota_peer_t *peer)
{
	for (uint32_t i = 0; i < ask->asked_count; i++)
		if (ask->asked[i] == peer)
			return true;
	return false;
}

/* The tenant's first pool in use that @p ask has not asked yet; NULL: none is left. Without @p ask,
 * the first of all. */
static const quota_peer_t *first_pool(const quota_t *quota, const char *tenant,
				      const quota_ask_t *ask)
{
	const quota_peer_t *first = NULL;
	uint64_t first_rank = 0;

	for (guint i = 0; i < quota->peers->len; i++) {
		const quota_peer_t *peer = g_ptr_array_index(quota->peers, i);
		uint64_t rank = rank_of(peer->vm, tenant);

		if (!peer->is_used || (ask && was_asked(ask, peer)) ||
		    (first && rank <= first_rank))
			continue;
		first = peer;
		first_rank = rank;
	}
	return first;
}

static void ask_peer(quota_ask_t *ask, const quota_peer_t *peer, uint64_t now_us)
{
	quota_t *quota = ask->quota;
	const hop_message_t message = {.type = HOP_QUOTA_ASK,
				       .serial = ask->serial,
				       .quota = {.tenant = bytes_of(ask->tenant), .count = 1}};

	quota->counters.asked++;
	timers_set(&quota->timers, &ask->timer, now_us + ASK_TIMEOUT_US);
	quota->ops->send(quota->ctx, peer->vm, &message);
}

/* Asks the pools that were not asked yet, one after the other. Returns false once that is decided;
 * the ask is freed then. */
static bool ask_next(quota_ask_t *ask, uint64_t now_us)
{
	quota_t *quota = ask->quota;
	const tenant_t *tenant = find_tenant(quota, ask->tenant);
	const quota_peer_t *pool;
	/* The tenant has no quota any more, or is gone: another check refuses its requests then. */
	bool granted = !tenant_has_quota(tenant);

	while (!granted && ask->asked_count < POOLS_ASKED_MAX &&
	       (pool = first_pool(quota, ask->tenant, ask))) {
		ask->asked[ask->asked_count++] = pool;
		if (pool != quota->own) {
			ask_peer(ask, pool, now_us);
			return true;
		}
		granted = take_own(quota, tenant, now_us);
		if (!granted)
			note_refused(ask, promise_own_us(quota, tenant, now_us));
	}
	/* What this VM has accrued while it reached no pool. */
	if (!granted && !(quota->own && quota->own->is_used))
		granted = quota_pool_take(quota->pool, tenant, now_us);
	decide(ask, granted ? QUOTA_GRANTED : ask->refused ? QUOTA_EXCEEDED : QUOTA_UNREACHABLE);
	return false;
}

static void on_ask_timer(void *ctx, uint64_t now_us)
{
	quota_ask_t *ask = ctx;

	ask->quota->counters.unanswered++;
	ask_next(ask, now_us);
}

quota_ask_t *quota_ask(quota_t *quota, const tenant_t *tenant, void *owner, uint64_t now_us)
{
	quota_ask_t *ask = g_new0(quota_ask_t, 1);

	ask->quota = quota;
	ask->serial = ++quota->last_serial;
	ask->tenant = g_strdup(tenant->name);
	ask->timer = (timer_entry_t){.fire = on_ask_timer, .ctx = ask};
	ask->owner = owner;
	g_hash_table_insert(quota->asks, &ask->serial, ask);
	return ask_next(ask, now_us) ? ask : NULL;
}

void quota_abandon(quota_ask_t *ask)
{
	ask_free(ask);
}

static void return_to(quota_t *quota, const char *vm, hop_bytes_t tenant, uint32_t count)
{
	const hop_message_t message = {.type = HOP_QUOTA_RETURN,
				       .quota = {.tenant = tenant, .count = count}};

	quota->ops->send(quota->ctx, vm, &message);
}

void quota_give_back(quota_t *quota, const char *name, uint64_t now_us)
{
	const tenant_t *tenant = find_tenant(quota, name);
	const quota_peer_t *pool = first_pool(quota, name, NULL);

	if (!tenant)
		return;
	quota->counters.returned++;
	if (pool && pool != quota->own)
		return_to(quota, pool->vm, bytes_of(name), 1);
	else
		quota_pool_put(quota->pool, tenant, 1, now_us);
}

/* ---- messages ---- */

void quota_receive_grant(quota_t *quota, const char *vm, const hop_message_t *message,
			 uint64_t now_us)
{
	quota_ask_t *ask = g_hash_table_lookup(quota->asks, &message->serial);
	transfer_t *transfer = ask ? NULL : find_transfer(quota, message->serial);

	if (transfer) {
		end_transfer(transfer, message->quota.count, now_us);
		return;
	}
	if (!ask) { /* it was decided without this pool, or its caller has left */
		if (message->quota.count)
			return_to(quota, vm, message->quota.tenant, message->quota.count);
		return;
	}
	if (message->quota.count) {
		decide(ask, QUOTA_GRANTED);
		return;
	}
	note_refused(ask, message->quota.retry_after_us);
	ask_next(ask, now_us);
}

static void serve_ask(quota_t *quota, const tenant_t *tenant, const hop_quota_t *ask,
		      hop_quota_t *grant, uint64_t now_us)
{
	/* A VM that has just started accepts links before it has the configuration. */
	if (!quota->tenants)
		return;
	/* This VM has another version of the configuration, by which nothing limits the tenant. */
	if (!tenant_has_quota(tenant)) {
		grant->count = !ask->spare;
		return;
	}
	if (ask->spare) {
		grant->count = quota_pool_take_spare(quota->pool, tenant, ask->count, now_us);
		return;
	}
	grant->count = take_own(quota, tenant, now_us);
	if (!grant->count)
		grant->retry_after_us = promise_own_us(quota, tenant, now_us);
}

static void serve_share(quota_t *quota, const hop_quota_share_t *from, uint64_t now_us)
{
	g_autofree char *vm = g_strndup(from->vm.data, from->vm.bytes);
	const quota_share_t share = {.vm = vm,
				     .accrued_us = from->accrued_us,
				     .vms = MAX(from->vms, quota->vms),
				     .pools = from->pools};

	quota_pool_add(quota->pool, &share, now_us);
}

bool quota_serve(quota_t *quota, const hop_message_t *message, hop_message_t *reply,
		 uint64_t now_us)
{
	g_autofree char *name = NULL;
	const tenant_t *tenant;

	if (message->type == HOP_QUOTA_SHARE) {
		serve_share(quota, &message->share, now_us);
		return false;
	}
	name = g_strndup(message->quota.tenant.data, message->quota.tenant.bytes);
	tenant = find_tenant(quota, name);
	if (message->type == HOP_QUOTA_RETURN) {
		if (tenant)
			quota_pool_put(quota->pool, tenant, message->quota.count, now_us);
		return false;
	}
	*reply = (hop_message_t){.type = HOP_QUOTA_GRANT,
				 .serial = message->serial,
				 .quota = {.tenant = message->quota.tenant}};
	serve_ask(quota, tenant, &message->quota, &reply->quota, now_us);
	return true;
}

uint64_t quota_next_us(const quota_t *quota)
{
	return timers_next_us(&quota->timers);
}

void quota_run(quota_t *quota, uint64_t now_us)
{
	timers_run(&quota->timers, now_us);
}

const quota_counters_t *quota_counters(const quota_t *quota)
{
	return &quota->counters;
}

double quota_own_fraction(quota_t *quota, uint64_t now_us)
{
	return quota_pool_fraction(quota->pool, now_us);
}
