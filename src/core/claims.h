/**
 * @file claims.h
 * Claims on idempotency keys, kept at the platform, so that an action runs at most once across VMs.
 *
 * Keys hash to a few buckets; a bucket is one platform object. Claims of one bucket that wait while
 * a write is in flight, or for the write rate limit, share the next write (group commit). Recording
 * the intent before the effect, and the third, ambiguous outcome, follow the related paper (domain
 * model, section 2.2).
 *
 * A key is "<milliseconds since 1970 at issue>-<anything>".
 */
#ifndef DS_CLAIMS_H
#define DS_CLAIMS_H

#include "core/engine.h"
#include "core/platform_result.h"

#define CLAIMS_BUCKETS 8
/** A key older than this is rejected; claims are kept for longer. */
#define CLAIMS_KEY_AGE_MS 600000u
/** A claim is removed this long after its key was issued. It exceeds CLAIMS_KEY_AGE_MS by more than
 * the VMs' clocks differ. */
#define CLAIMS_KEEP_MS 900000u
/** A key issued later than this after the VM's own time is invalid. */
#define CLAIMS_FUTURE_MS 5000u

typedef struct claims_t claims_t;

typedef struct claims_ops_t {
	/** Read a bucket; claims_read_done() must follow. */
	void (*read)(void *ctx, uint32_t bucket);
	/** Write a bucket if its version is still @p if_version; claims_write_done() must follow.
	 */
	void (*write)(void *ctx, uint32_t bucket, uint64_t if_version, const json_t *value);
	/** A claim has finished with result @p end. */
	void (*ended)(void *ctx, void *owner, claim_result_t end);
} claims_ops_t;

/** @param holder names this process start; no two starts may share it */
claims_t *claims_new(const claims_ops_t *ops, void *ctx, const char *holder, uint32_t seed);
void claims_free(claims_t *claims);

/** Claim @p key within @p scope; the key is used unchanged. The result comes by `ended`, which may
 * be called before this returns. */
void claims_claim(claims_t *claims, const char *scope, const char *key, void *owner,
		  uint64_t now_us, uint64_t wall_ms);
/** Record the outcome of a claim that this VM holds: RAN_NO releases the key. */
void claims_record_outcome(claims_t *claims, const char *scope, const char *key, ran_t ran,
			   uint64_t now_us, uint64_t wall_ms);

void claims_read_done(claims_t *claims, uint32_t bucket, const platform_result_t *result,
		      uint64_t now_us, uint64_t wall_ms);
void claims_write_done(claims_t *claims, uint32_t bucket, const platform_result_t *result,
		       uint64_t now_us, uint64_t wall_ms);

uint64_t claims_next_us(const claims_t *claims);
void claims_run(claims_t *claims, uint64_t now_us, uint64_t wall_ms);
/** Metrics: writes sent, and claims acquired. */
uint64_t claims_writes(const claims_t *claims);
uint64_t claims_won(const claims_t *claims);
bool claims_idle(const claims_t *claims);

#endif
