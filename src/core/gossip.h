/**
 * @file gossip.h
 * What daemons tell each other: who is a member, the highest configuration, searchers that leave.
 *
 * Each period a VM exchanges one bounded message with a few random members, so its cost does not
 * grow with their number. No I/O: messages go out by callback and come in by gossip_receive().
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
	MEMBER_SUSPECT, /**< an exchange with it failed; it may refute this by a higher incarnation
			 */
	MEMBER_LEAVING, /**< it said so itself */
	MEMBER_DEAD,	/**< suspect for too long */
} member_state_t;

/** One daemon as others know it. */
typedef struct member_t {
	char *name;
	char *data_centre;
	char *address;
	uint16_t port;
	uint64_t incarnation; /**< rises with each start, and to refute a suspicion */
	member_state_t state;
	uint64_t changed_us; /**< when this was last changed here */
} member_t;

/** A searcher that told some VM that it leaves. */
typedef struct leaving_note_t {
	char *service;
	char *upstream;
	uint64_t at_ms; /**< wall clock of the VM that was told */
} leaving_note_t;

/** One message, either way. */
typedef struct gossip_message_t {
	hlc_t stamp;
	char *from;		/**< name of the sender */
	GPtrArray *members;	/**< member_t, the sender's own entry first */
	GPtrArray *leaving;	/**< leaving_note_t */
	uint64_t config_number; /**< highest that the sender has */
	json_t *config_value;	/**< the platform's value of that number, or NULL */
} gossip_message_t;

typedef struct gossip_t gossip_t;

typedef struct gossip_ops_t {
	/** Exchange with a peer; gossip_exchanged() must follow. Takes @p message. */
	void (*exchange)(void *ctx, const char *address, uint16_t port, gossip_message_t *message);
	/** A higher configuration was heard of. */
	void (*config)(void *ctx, uint64_t number, json_t *value);
	/** Somebody was told that a searcher leaves. */
	void (*leaving)(void *ctx, const leaving_note_t *note);
} gossip_ops_t;

/** What gossip_new() starts from; strings are copied. */
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
/** Once a period: exchange with a few, and let suspects die. */
void gossip_tick(gossip_t *gossip, uint64_t now_us);
/** A configuration came into force here: tell a few at once, who tell a few. */
void gossip_config(gossip_t *gossip, uint64_t number, json_t *value);
void gossip_leaving(gossip_t *gossip, const char *service, const char *upstream, uint64_t wall_ms);
/** This VM begins to leave. */
void gossip_leave(gossip_t *gossip);
/** A message came. @return the reply to send, or NULL for none. */
gossip_message_t *gossip_receive(gossip_t *gossip, const gossip_message_t *message,
				 bool wants_reply, uint64_t now_us);
/** An exchange ended; @p reply is NULL when it failed. */
void gossip_exchanged(gossip_t *gossip, const char *address, uint16_t port,
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
