/**
 * @file front_world.h
 * A simulated VM that forwards requests by routes to fake searchers, with a simulated clock and
 * without sockets.
 *
 * The code under test makes the decisions. While test requests run, every promise to callers and
 * searchers is checked; violations are collected in front_world_t.violations.
 */
#ifndef DS_FRONT_WORLD_H
#define DS_FRONT_WORLD_H

#include "core/forward.h"

/** What a fake searcher does with the sub-requests that it receives. */
typedef enum behaviour_t {
	SERVES,
	SLOW,	     /**< answers after ten times its normal latency */
	HANGS,	     /**< runs the sub-request and never answers */
	FAILS,	     /**< runs the sub-request and answers with a failure */
	REFUSES,     /**< does not run the sub-request and answers so */
	DISCONNECTS, /**< runs the sub-request and closes the connection */
	TERMINATED,  /**< its process has terminated: connections are refused or lost */
	REPLACED,    /**< another searcher has its address and answers that it is the wrong one */
	BEHAVIOURS,
} behaviour_t;

const char *behaviour_name(behaviour_t behaviour);

typedef struct fake_searcher_t {
	char *id;
	char *service;
	bool near;
	uint32_t starts;
	behaviour_t behaviour;
	uint64_t restart_us; /**< when it restarts after a crash; 0: no restart is due */
	uint64_t changes;    /**< number of writes of its entry in the store */
	uint64_t cold_until_us;
	uint32_t cold_share; /**< sub-requests the VM may send it in a window while it is cold */
	uint64_t cold_window_start_us; /**< when the first sub-request of this window was sent */
	uint32_t cold_sent;	       /**< sub-requests sent to it in this window */
} fake_searcher_t;

/** A poison request: every attempt at it crashes each searcher that runs it. */
typedef struct poison_request_t {
	char *path;
	uint32_t crashes;     /**< searchers crashed so far */
	uint64_t known_by_us; /**< deadline for all VMs to know it; 0: before its third crash */
	GHashTable *late;     /**< ids of attempts that reached a searcher after known_by_us */
} poison_request_t;

/** A caller's request that a test submits. */
typedef struct test_request_t {
	char *id;
	const route_t *route;
	poison_request_t *poison_request; /**< NULL: the request crashes no searcher */
	fingerprint_t fingerprint;
	forward_t *forward; /**< NULL once it is answered or abandoned */
	uint64_t sent_us, patience_us;
	uint64_t suspended_us; /**< the world's suspended_us when the request arrived */
	bool answered, abandoned;
	bool reported_not_run;
	GString *outcome; /**< "whole", "2 of 3", or the reason of the failure */
} test_request_t;

typedef struct front_world_t {
	uint64_t now_us;
	uint64_t suspended_us; /**< total time that the VM has been suspended */
	registry_t *registry;
	forwarder_t *forwarder;
	GPtrArray *fakes;	     /**< fake_searcher_t */
	GPtrArray *test_requests;    /**< test_request_t */
	GHashTable *poison_requests; /**< path to poison_request_t; may be shared by several VMs */
	GPtrArray *outstanding;	     /**< pending_t: sub-requests sent and not yet answered */
	/** Fingerprint of a suspect request to when it was first deferred and not sent since. */
	GHashTable *deferred;
	GHashTable *runs;		/**< "REQUEST SERVICE" to the number of runs */
	GHashTable *first_sends;	/**< "REQUEST SERVICE" of which a sub-request was sent */
	GArray *extra_sends, *requests; /**< times, for the bound on extra sub-requests */
	GRand *rand;
	uint64_t version;
	uint32_t sent;	     /**< number of sub-requests sent */
	uint32_t replied;    /**< number of replies received */
	bool evacuated[2];   /**< [0]: the far searchers, [1]: the near ones */
	GString *violations; /**< one line for each broken promise */
	/** Called after each reply and each new request; may be NULL. */
	void (*after_step)(void *ctx);
	/** A request has crashed a searcher; NULL: the searcher terminates in this world only and
	 * restarts after a delay. */
	void (*crashed)(void *ctx, const fake_searcher_t *fake);
	/** The VM writes the record of a suspect request to the store, or removes the record if
	 * @p update has no strikes; NULL: there is no store. */
	void (*publish)(void *ctx, struct front_world_t *world, const poison_update_t *update);
	/** The VM claims a trial of a suspect request; NULL: the claim is granted immediately. */
	void (*claim)(void *ctx, struct front_world_t *world, fingerprint_t fingerprint,
		      uint32_t number);
	/** The VM removes the claims of the request up to @p number from the store. */
	void (*drop_claims)(void *ctx, struct front_world_t *world, fingerprint_t fingerprint,
			    uint32_t number);
	uint64_t poison_checked_from_us; /**< late attempts count from then on; 0: always */
	void *ctx;
} front_world_t;

/**
 * Creates a world with three shards and one other service, each with a near and a far searcher.
 *
 * It has the routes find, get and act, and the routes kept and home, which are like find and get
 * but may use near searchers only.
 */
front_world_t *front_world_new(uint32_t seed);
void front_world_free(front_world_t *world);

/** Submits a new request on the route "find" (gather), "get" (idempotent), "act" (at most once),
 * "kept" or "home"; its caller waits @p patience_us. */
test_request_t *front_world_request(front_world_t *world, const char *route, uint64_t patience_us);
/** Submits an attempt at the request for @p path on the route; a path that begins with "crash" is
 * that of a poison request. */
test_request_t *front_world_attempt(front_world_t *world, const char *route, const char *path,
				    uint64_t patience_us);
/** The caller disconnects before it is answered. */
void front_world_abandon(front_world_t *world, test_request_t *test_request);
/** Advances the clock by @p us and handles all replies, timers and restarts that are due. */
void front_world_advance(front_world_t *world, uint64_t us);
/** The VM stops @p us from now on, and refuses requests that may last longer. */
void front_world_stop(front_world_t *world, uint64_t us);
/** Suspends the VM: the clock advances, but the VM handles nothing until it is resumed. */
void front_world_suspend(front_world_t *world, uint64_t us);
fake_searcher_t *front_world_searcher(const front_world_t *world, const char *id);
/** Sets the behaviour. A searcher that was REPLACED is restarted first, because its old incarnation
 * has terminated. */
void front_world_set_behaviour(front_world_t *world, fake_searcher_t *fake, behaviour_t behaviour);
/** The searcher drains and is removed, and a new process with a new id replaces it. */
void front_world_restart(front_world_t *world, fake_searcher_t *fake);
/** The store reports the searcher as draining. */
void front_world_drain(front_world_t *world, fake_searcher_t *fake);
/** The store reports that the searcher's entry is removed. */
void front_world_remove(front_world_t *world, const fake_searcher_t *fake);
void front_world_register(front_world_t *world, fake_searcher_t *fake);
/** Terminates a searcher as if by a poison request; it restarts after @p restart_us. */
void front_world_crash(front_world_t *world, fake_searcher_t *fake, uint64_t restart_us);
/** Evacuates or reopens the data centre of the near searchers, or that of the far ones. */
void front_world_evacuate(front_world_t *world, bool near, bool evacuated);
/** The searcher registers as cold for @p cold_us; the VM may send it @p share sub-requests in a
 * window. */
void front_world_set_cold(front_world_t *world, fake_searcher_t *fake, uint64_t cold_us,
			  uint32_t share);
/** The store is restored from an older copy of its data, which still holds the former incarnation
 * of @p fake. */
void front_world_restore(front_world_t *world, const fake_searcher_t *fake);
/** Applies a new version of the configuration; after the first, "find" asks only shards a and b. */
void front_world_configure(front_world_t *world);
/** Checks that no request is left open or unanswered and that no sub-request is outstanding. */
void front_world_check_end(front_world_t *world);

#endif
