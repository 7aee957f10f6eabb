/**
 * @file gossip.h
 * Gossip between daemons: the members, the highest configuration, and searchers that are draining.
 *
 * In each period a VM exchanges one bounded message with a few random members, so its cost does not
 * grow with their number. Does no I/O: messages are sent through a callback and passed in through
 * gossip_receive().
 */
#ifndef DS_GOSSIP_H
#define DS_GOSSIP_H

#include "core/hlc.h"
#include "core/timeline.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define GOSSIP_PERIOD_US 1000000

typedef enum member_state_t {
	MEMBER_ALIVE,
	MEMBER_SUSPECT, /**< an exchange with it failed; it may refute this with a higher
			 * incarnation */
	MEMBER_LEAVING, /**< it announced this itself */
	MEMBER_DEAD,	/**< suspect for longer than the time-out */
} member_state_t;

/** One daemon as other members know it. */
typedef struct member_t {
	char *name;
	char *data_centre;
	char *address;
	uint16_t port;
	uint64_t incarnation; /**< increases with each start, and to refute a suspicion */
	member_state_t state;
	uint64_t changed_us; /**< when its state last changed on this VM */
} member_t;

/** A searcher that announced to some VM that it is draining. */
typedef struct leaving_note_t {
	char *service;
	char *upstream;
	uint64_t at_ms; /**< wall clock of the VM that received the announcement */
} leaving_note_t;

/** One message of an exchange, in either direction. */
typedef struct gossip_message_t {
	hlc_t stamp;
	char *from;		/**< name of the sender */
	GPtrArray *members;	/**< member_t, the sender's own entry first */
	GPtrArray *leaving;	/**< leaving_note_t */
	uint64_t config_number; /**< highest configuration number that the sender has */
	json_t *config_value;	/**< the platform's value for that number, or NULL */
} gossip_message_t;

typedef struct gossip_t gossip_t;

typedef struct gossip_ops_t {
	/** Sends @p message, which it takes ownership of, to a peer; gossip_complete_exchange()
	 * must follow. */
	void (*exchange)(void *ctx, const char *address, uint16_t port, gossip_message_t *message);
	/** A higher configuration was received. */
	void (*config)(void *ctx, uint64_t number, json_t *value);
	/** Another VM has announced that a searcher is draining. */
	void (*leaving)(void *ctx, const leaving_note_t *note);
} gossip_ops_t;

/** Input of gossip_new(); strings are copied. */
typedef struct gossip_self_t {
	const char *name, *data_centre, *address;
	uint16_t port;
	uint64_t incarnation;
	const char *seeds; /**< "ip:port ip:port" */
	uint32_t random_seed;
} gossip_self_t;

gossip_t *gossip_new(const gossip_ops_t *ops, void *ctx, const gossip_self_t *self,
		     timeline_t *timeline);
void gossip_free(gossip_t *gossip);
/** To be called once per period: exchanges with a few members, and expires suspects and old notes.
 */
void gossip_tick(gossip_t *gossip, uint64_t now_us);
/** Announces a configuration that came into force on this VM to a few members at once, which
 * forward it to a few more. */
void gossip_announce_config(gossip_t *gossip, uint64_t number, json_t *value);
void gossip_announce_leaving(gossip_t *gossip, const char *service, const char *upstream,
			     uint64_t wall_ms);
/** Announces that this VM is leaving. */
void gossip_leave(gossip_t *gossip);
/** Handles a message. @return the reply to send, or NULL for none */
gossip_message_t *gossip_receive(gossip_t *gossip, const gossip_message_t *message,
				 bool wants_reply, uint64_t now_us);
/** Completes an exchange; @p reply is NULL if it failed. */
void gossip_complete_exchange(gossip_t *gossip, const char *address, uint16_t port,
			      const gossip_message_t *reply, uint64_t now_us);
/** Whether this VM is one of the few of its data centre that watch the platform. */
bool gossip_is_watcher(const gossip_t *gossip);
const GPtrArray *gossip_members(const gossip_t *gossip);
const char *member_state_name(member_state_t state);

gossip_message_t *gossip_message_new(void);
void gossip_message_free(gossip_message_t *message);
void member_free(void *member);
void leaving_note_free(void *note);

#endif
