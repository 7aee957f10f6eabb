/**
 * @file front_world.h
 * One VM that forwards by routes, with fake searchers and a clock of its own: no sockets.
 *
 * The decisions are the real ones. As requests are played, every promise to callers and searchers
 * is checked; what is broken is kept in wrong.
 */
#ifndef DS_FRONT_WORLD_H
#define DS_FRONT_WORLD_H

#include "core/forward.h"

/** What a searcher does with what it is sent. */
typedef enum behaviour_t {
	SERVES,
	SLOW,	  /**< takes ten times as long */
	HANGS,	  /**< runs it and never answers */
	FAILS,	  /**< runs it and answers with a failure */
	REFUSES,  /**< does not run it, and says so */
	CUTS,	  /**< runs it and closes the connection */
	LOST,	  /**< its process has ended: nobody listens, and what is out is cut */
	REPLACED, /**< another searcher has its address, and says that it is not the one */
	BEHAVIOURS,
} behaviour_t;

const char *behaviour_name(behaviour_t behaviour);

typedef struct fake_t {
	char *id;
	char *service;
	bool near;
	uint32_t starts;
	behaviour_t behaviour;
	uint64_t back_us; /**< when one that a request has crashed starts again; 0: it has not */
	uint64_t changes; /**< of its entry in the store */
	uint64_t cold_until_us;
	uint32_t cold_share;   /**< what the VM may send it in a window while it is cold */
	uint64_t cold_from_us; /**< when this window's first sending was */
	uint32_t cold_sent;    /**< in this window */
} fake_t;

/** A request that crashes each searcher that runs it, through all its attempts. */
typedef struct crasher_t {
	char *path;
	uint32_t crashed;  /**< searchers, so far */
	uint64_t known_us; /**< when all VMs must know: a while after the third; 0: not yet */
	GHashTable *late;  /**< ids of attempts that reached a searcher after that */
} crasher_t;

/** A caller's request. */
typedef struct played_t {
	char *id;
	const route_t *route;
	crasher_t *crasher; /**< NULL: the request does no harm */
	fingerprint_t fingerprint;
	forward_t *forward; /**< NULL once it is over */
	uint64_t sent_us, patience_us;
	uint64_t still_us; /**< how long the VM had stood still when it came */
	bool answered, left;
	bool said_not_run;
	GString *outcome; /**< "whole", "2 of 3", or why it failed */
} played_t;

typedef struct front_world_t {
	uint64_t now_us;
	uint64_t still_us; /**< how long the VM has stood still so far */
	registry_t *registry;
	forwarder_t *forwarder;
	GPtrArray *fakes;     /**< fake_t */
	GPtrArray *played;    /**< played_t */
	GHashTable *crashers; /**< path to crasher_t; may be shared by several VMs */
	GPtrArray *out;	      /**< pending_t: what searchers have been sent and not answered */
	GHashTable *deferred; /**< fingerprint to when it was first put off, suspect and not sent
				 since */
	GHashTable *runs;     /**< "REQUEST SERVICE" to how often it ran */
	GHashTable *firsts;   /**< "REQUEST SERVICE" of all that were sent once */
	GArray *extras, *requests; /**< times of them, for the bound on extra sub-requests */
	GRand *rand;
	uint64_t version;
	uint32_t sent;		    /**< sub-requests so far */
	uint32_t replied;	    /**< replies so far */
	bool evacuated[2];	    /**< the far searchers, the near ones */
	GString *wrong;		    /**< each promise that was broken, a line each */
	void (*stepped)(void *ctx); /**< after each sending, reply and request; may be NULL */
	/** A request has crashed a searcher; NULL: it is lost here, and back after a while. */
	void (*crashed)(void *ctx, const fake_t *fake);
	/** What the VM writes to the store of requests that crash searchers; NULL: there is none.
	 * Without strikes it is to be removed. */
	void (*stores)(void *ctx, struct front_world_t *world, const poison_update_t *news);
	/** The VM claims a trial of such a request; NULL: it is granted at once. */
	void (*claims)(void *ctx, struct front_world_t *world, fingerprint_t fingerprint,
		       uint32_t number);
	/** Its claims up to @p number are dropped. */
	void (*drops_claims)(void *ctx, struct front_world_t *world, fingerprint_t fingerprint,
			     uint32_t number);
	uint64_t in_touch_us; /**< the bound on such requests counts from then on; 0: always */
	void *ctx;
} front_world_t;

/** Three shards with two searchers each, and a service with two: routes find, get and act, and kept
 * and home, which are as find and get, but must stay with the near searchers. */
front_world_t *front_world_new(uint32_t seed);
void front_world_free(front_world_t *world);

/** A request on the route "find" (gather), "get" (idempotent) or "act" (at most once). */
played_t *front_world_request(front_world_t *world, const char *route, uint64_t patience_us);
/** An attempt at the request for @p path there; one that begins with "crash" crashes searchers. */
played_t *front_world_attempt(front_world_t *world, const char *route, const char *path,
			      uint64_t patience_us);
void front_world_leave(front_world_t *world, played_t *played);
/** Let time pass, with everything that happens in it. */
void front_world_pass(front_world_t *world, uint64_t us);
/** The VM stands still: time passes, and nothing is noticed before its end. */
void front_world_stand_still(front_world_t *world, uint64_t us);
fake_t *front_world_fake(const front_world_t *world, const char *id);
/** One whose address went to another is started anew first: its old incarnation has ended. */
void front_world_behave(front_world_t *world, fake_t *fake, behaviour_t behaviour);
/** It leaves, and another process with an id of its own takes its part. */
void front_world_restart(front_world_t *world, fake_t *fake);
/** The store says that it leaves, or that it is gone. */
void front_world_drain(front_world_t *world, fake_t *fake);
void front_world_remove(front_world_t *world, const fake_t *fake);
void front_world_register(front_world_t *world, fake_t *fake);
/** A request has crashed it; it starts again after @p back_us. */
void front_world_crash(front_world_t *world, fake_t *fake, uint64_t back_us);
/** All near searchers, or all far ones, are to get nothing new, or may again. */
void front_world_evacuate(front_world_t *world, bool near, bool evacuated);
/** It says that it is cold for so long; the VM may send it @p share in a window. */
void front_world_chill(front_world_t *world, fake_t *fake, uint64_t cold_us, uint32_t share);
/** The store comes back from a copy that still holds the former start of @p fake. */
void front_world_restore(front_world_t *world, const fake_t *fake);
/** A new version: "find" asks the shards a and b only. */
void front_world_configure(front_world_t *world);
/** Everything is over: check what holds at the end. */
void front_world_check_end(front_world_t *world);

#endif
