/**
 * @file gossip.c
 * See gossip.h. docs/decisions/0008-members.md compares the alternatives.
 */
#include "core/gossip.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define FANOUT 2
#define FANOUT_UPDATE 3
#define MEMBERS_PER_MESSAGE 16
#define NOTES_PER_MESSAGE 16
#define SUSPECT_TIMEOUT_US 5000000
/* Dead members are remembered for this time; otherwise an old message would make them alive again.
 */
#define DEAD_RETENTION_US 60000000
#define NOTE_RETENTION_MS 10000
#define WATCHERS_PER_DATA_CENTRE 2

struct gossip_t {
	const gossip_ops_t *ops;
	void *ctx;
	timeline_t *timeline;
	GRand *rand;
	member_t *self;
	GPtrArray *members; /* member_t, without self */
	GPtrArray *seeds;   /* member_t without names: contacted until they are known members */
	GPtrArray *leaving_notes; /* leaving_note_t */
	uint64_t config_number;
	json_t *config_value;
	uint32_t rotation; /* rotates the members that do not all fit into one message */
};

void member_free(void *data)
{
	member_t *member = data;

	g_free(member->name);
	g_free(member->data_centre);
	g_free(member->address);
	g_free(member);
}

void leaving_note_free(void *data)
{
	leaving_note_t *note = data;

	g_free(note->service);
	g_free(note->upstream);
	g_free(note);
}

gossip_message_t *gossip_message_new(void)
{
	gossip_message_t *message = g_new0(gossip_message_t, 1);

	message->members = g_ptr_array_new_with_free_func(member_free);
	message->leaving = g_ptr_array_new_with_free_func(leaving_note_free);
	return message;
}

void gossip_message_free(gossip_message_t *message)
{
	if (!message)
		return;
	g_free(message->from);
	g_ptr_array_unref(message->members);
	g_ptr_array_unref(message->leaving);
	json_decref(message->config_value);
	g_free(message);
}

static member_t *member_copy(const member_t *from)
{
	member_t *member = g_memdup2(from, sizeof(*from));

	member->name = g_strdup(from->name);
	member->data_centre = g_strdup(from->data_centre);
	member->address = g_strdup(from->address);
	return member;
}

const char *member_state_name(member_state_t state)
{
	static const char *const names[] = {[MEMBER_ALIVE] = "alive",
					    [MEMBER_SUSPECT] = "suspect",
					    [MEMBER_LEAVING] = "leaving",
					    [MEMBER_DEAD] = "dead"};

	return names[state];
}

static void add_seeds(gossip_t *gossip, const char *seeds)
{
	g_auto(GStrv) parts = g_strsplit_set(seeds, " ,", 0);

	for (char **part = parts; *part; part++) {
		char *colon = strchr(*part, ':');
		member_t *seed;

		if (!colon)
			continue;
		*colon = '\0';
		seed = g_new0(member_t, 1);
		seed->address = g_strdup(*part);
		seed->port = (uint16_t)atoi(colon + 1);
		if (g_str_equal(seed->address, gossip->self->address) &&
		    seed->port == gossip->self->port)
			member_free(seed);
		else
			g_ptr_array_add(gossip->seeds, seed);
	}
}

gossip_t *gossip_new(const gossip_ops_t *ops, void *ctx, const gossip_self_t *self,
		     timeline_t *timeline)
{
	gossip_t *gossip = g_new0(gossip_t, 1);
	const member_t own = {.name = (char *)self->name,
			      .data_centre = (char *)self->data_centre,
			      .address = (char *)self->address,
			      .port = self->port,
			      .incarnation = self->incarnation};

	gossip->ops = ops;
	gossip->ctx = ctx;
	gossip->timeline = timeline;
	gossip->rand = g_rand_new_with_seed(self->random_seed);
	gossip->self = member_copy(&own);
	gossip->members = g_ptr_array_new_with_free_func(member_free);
	gossip->seeds = g_ptr_array_new_with_free_func(member_free);
	gossip->leaving_notes = g_ptr_array_new_with_free_func(leaving_note_free);
	add_seeds(gossip, self->seeds);
	return gossip;
}

void gossip_free(gossip_t *gossip)
{
	member_free(gossip->self);
	g_ptr_array_unref(gossip->members);
	g_ptr_array_unref(gossip->seeds);
	g_ptr_array_unref(gossip->leaving_notes);
	json_decref(gossip->config_value);
	g_rand_free(gossip->rand);
	g_free(gossip);
}

const GPtrArray *gossip_members(const gossip_t *gossip)
{
	return gossip->members;
}

/* ---- outgoing messages ---- */

static void add_members(gossip_t *gossip, gossip_message_t *message)
{
	uint32_t count = gossip->members->len;

	g_ptr_array_add(message->members, member_copy(gossip->self));
	for (uint32_t i = 0; i < MIN(count, MEMBERS_PER_MESSAGE); i++)
		g_ptr_array_add(message->members,
				member_copy(g_ptr_array_index(gossip->members,
							      (gossip->rotation + i) % count)));
	gossip->rotation += MEMBERS_PER_MESSAGE;
}

static void add_leaving_notes(const gossip_t *gossip, gossip_message_t *message)
{
	uint32_t count = gossip->leaving_notes->len;

	for (uint32_t i = count > NOTES_PER_MESSAGE ? count - NOTES_PER_MESSAGE : 0; i < count;
	     i++) {
		const leaving_note_t *from = g_ptr_array_index(gossip->leaving_notes, i);
		leaving_note_t *note = g_new0(leaving_note_t, 1);

		*note = (leaving_note_t){.service = g_strdup(from->service),
					 .upstream = g_strdup(from->upstream),
					 .at_ms = from->at_ms};
		g_ptr_array_add(message->leaving, note);
	}
}

static gossip_message_t *compose(gossip_t *gossip, bool with_config)
{
	gossip_message_t *message = gossip_message_new();

	message->stamp = hlc_tick(&gossip->timeline->clock, gossip->timeline->wall_ms());
	message->from = g_strdup(gossip->self->name);
	message->config_number = gossip->config_number;
	if (with_config)
		message->config_value = json_incref(gossip->config_value);
	add_members(gossip, message);
	add_leaving_notes(gossip, message);
	return message;
}

/* ---- choosing receivers ---- */

static bool is_known(const gossip_t *gossip, const member_t *seed)
{
	for (guint i = 0; i < gossip->members->len; i++) {
		const member_t *member = g_ptr_array_index(gossip->members, i);

		if (member->port == seed->port && g_str_equal(member->address, seed->address))
			return true;
	}
	return false;
}

static GPtrArray *candidates(const gossip_t *gossip)
{
	GPtrArray *list = g_ptr_array_new();

	for (guint i = 0; i < gossip->members->len; i++) {
		member_t *member = g_ptr_array_index(gossip->members, i);

		if (member->state != MEMBER_DEAD)
			g_ptr_array_add(list, member);
	}
	for (guint i = 0; i < gossip->seeds->len; i++) {
		member_t *seed = g_ptr_array_index(gossip->seeds, i);

		/* A seed that is believed to be dead is still contacted now and then, so that the
		 * end of a network partition is detected. */
		if (!is_known(gossip, seed) || g_rand_int_range(gossip->rand, 0, 10) == 0)
			g_ptr_array_add(list, seed);
	}
	return list;
}

static void send_to_random(gossip_t *gossip, uint32_t fanout, bool with_config)
{
	g_autoptr(GPtrArray) list = candidates(gossip);

	for (uint32_t i = 0; i < fanout && list->len; i++) {
		guint index = (guint)g_rand_int_range(gossip->rand, 0, (gint32)list->len);
		const member_t *member = g_ptr_array_remove_index_fast(list, index);

		gossip->ops->exchange(gossip->ctx, member->address, member->port,
				      compose(gossip, with_config));
	}
}

/* ---- members ---- */

static member_t *find_member(const gossip_t *gossip, const char *name)
{
	for (guint i = 0; i < gossip->members->len; i++) {
		member_t *member = g_ptr_array_index(gossip->members, i);

		if (g_str_equal(member->name, name))
			return member;
	}
	return NULL;
}

static void set_state(gossip_t *gossip, member_t *member, member_state_t state, uint64_t now_us)
{
	if (member->state == state)
		return;
	timeline_add(gossip->timeline, "event=member member=%s from=%s to=%s", member->name,
		     member_state_name(member->state), member_state_name(state));
	member->state = state;
	member->changed_us = now_us;
}

/* Refutes a suspicion of this VM: a higher incarnation overrides any suspicion of the old one. */
static void refute(gossip_t *gossip, const member_t *received)
{
	if (received->incarnation < gossip->self->incarnation || received->state == MEMBER_ALIVE ||
	    received->state == gossip->self->state)
		return;
	gossip->self->incarnation = received->incarnation + 1;
}

static void merge_member(gossip_t *gossip, const member_t *received, uint64_t now_us)
{
	member_t *member;

	if (g_str_equal(received->name, gossip->self->name)) {
		refute(gossip, received);
		return;
	}
	member = find_member(gossip, received->name);
	if (!member) {
		if (received->state == MEMBER_DEAD)
			return;
		member = member_copy(received);
		member->changed_us = now_us;
		g_ptr_array_add(gossip->members, member);
		timeline_add(gossip->timeline, "event=member member=%s from=unknown to=%s",
			     member->name, member_state_name(member->state));
		return;
	}
	if (received->incarnation < member->incarnation ||
	    (received->incarnation == member->incarnation && received->state <= member->state))
		return;
	member->incarnation = received->incarnation;
	g_free(member->address);
	member->address = g_strdup(received->address);
	member->port = received->port;
	set_state(gossip, member, received->state, now_us);
}

static void expire_members(gossip_t *gossip, uint64_t now_us)
{
	for (guint i = gossip->members->len; i-- > 0;) {
		member_t *member = g_ptr_array_index(gossip->members, i);
		uint64_t age_us = now_us - member->changed_us;

		if (member->state == MEMBER_SUSPECT && age_us > SUSPECT_TIMEOUT_US)
			set_state(gossip, member, MEMBER_DEAD, now_us);
		else if (member->state == MEMBER_DEAD && age_us > DEAD_RETENTION_US)
			g_ptr_array_remove_index_fast(gossip->members, i);
	}
}

/* ---- draining searchers ---- */

static leaving_note_t *find_note(const gossip_t *gossip, const char *service, const char *upstream)
{
	for (guint i = 0; i < gossip->leaving_notes->len; i++) {
		leaving_note_t *note = g_ptr_array_index(gossip->leaving_notes, i);

		if (g_str_equal(note->service, service) && g_str_equal(note->upstream, upstream))
			return note;
	}
	return NULL;
}

static void expire_leaving_notes(gossip_t *gossip)
{
	uint64_t now_ms = gossip->timeline->wall_ms();

	for (guint i = gossip->leaving_notes->len; i-- > 0;) {
		const leaving_note_t *note = g_ptr_array_index(gossip->leaving_notes, i);

		if (note->at_ms + NOTE_RETENTION_MS < now_ms)
			g_ptr_array_remove_index(gossip->leaving_notes, i);
	}
}

/* Returns true if the note is new or newer than the known one. */
static bool merge_note(gossip_t *gossip, const char *service, const char *upstream, uint64_t at_ms)
{
	leaving_note_t *note = find_note(gossip, service, upstream);

	if (at_ms + NOTE_RETENTION_MS < gossip->timeline->wall_ms() ||
	    (note && note->at_ms >= at_ms))
		return false;
	if (!note) {
		note = g_new0(leaving_note_t, 1);
		note->service = g_strdup(service);
		note->upstream = g_strdup(upstream);
		g_ptr_array_add(gossip->leaving_notes, note);
	}
	note->at_ms = at_ms;
	return true;
}

void gossip_announce_leaving(gossip_t *gossip, const char *service, const char *upstream,
			     uint64_t wall_ms)
{
	const leaving_note_t *known = find_note(gossip, service, upstream);

	/* The note is already known, from a peer or from this VM a moment ago. Announcing it again
	 * would keep it alive for ever. */
	if (known || !merge_note(gossip, service, upstream, wall_ms))
		return;
	send_to_random(gossip, FANOUT_UPDATE, false);
}

/* ---- sending and receiving ---- */

void gossip_tick(gossip_t *gossip, uint64_t now_us)
{
	expire_members(gossip, now_us);
	expire_leaving_notes(gossip);
	send_to_random(gossip, FANOUT, false);
}

void gossip_announce_config(gossip_t *gossip, uint64_t number, json_t *value)
{
	if (number <= gossip->config_number)
		return;
	gossip->config_number = number;
	json_decref(gossip->config_value);
	gossip->config_value = json_incref(value);
	send_to_random(gossip, FANOUT_UPDATE, true);
}

void gossip_leave(gossip_t *gossip)
{
	gossip->self->state = MEMBER_LEAVING;
	gossip->self->incarnation++;
	send_to_random(gossip, FANOUT_UPDATE, false);
}

static void merge_message(gossip_t *gossip, const gossip_message_t *message, uint64_t now_us)
{
	hlc_receive(&gossip->timeline->clock, gossip->timeline->wall_ms(), message->stamp);
	for (guint i = 0; i < message->members->len; i++)
		merge_member(gossip, g_ptr_array_index(message->members, i), now_us);
	for (guint i = 0; i < message->leaving->len; i++) {
		const leaving_note_t *note = g_ptr_array_index(message->leaving, i);

		if (merge_note(gossip, note->service, note->upstream, note->at_ms))
			gossip->ops->leaving(gossip->ctx, note);
	}
	if (message->config_value && message->config_number > gossip->config_number)
		gossip->ops->config(gossip->ctx, message->config_number, message->config_value);
}

gossip_message_t *gossip_receive(gossip_t *gossip, const gossip_message_t *message,
				 bool wants_reply, uint64_t now_us)
{
	merge_message(gossip, message, now_us);
	if (!wants_reply)
		return NULL;
	return compose(gossip, gossip->config_number > message->config_number);
}

static member_t *find_by_address(const gossip_t *gossip, const char *address, uint16_t port)
{
	for (guint i = 0; i < gossip->members->len; i++) {
		member_t *member = g_ptr_array_index(gossip->members, i);

		if (member->port == port && g_str_equal(member->address, address))
			return member;
	}
	return NULL;
}

void gossip_complete_exchange(gossip_t *gossip, const char *address, uint16_t port,
			      const gossip_message_t *reply, uint64_t now_us)
{
	member_t *member = find_by_address(gossip, address, port);

	if (!reply) {
		if (member && (member->state == MEMBER_ALIVE || member->state == MEMBER_LEAVING))
			set_state(gossip, member, MEMBER_SUSPECT, now_us);
		return;
	}
	merge_message(gossip, reply, now_us);
	/* It answered, so it is alive whatever other members report. */
	if (member && member->state != MEMBER_LEAVING)
		set_state(gossip, member, MEMBER_ALIVE, now_us);
	if (reply->config_number < gossip->config_number)
		gossip->ops->exchange(gossip->ctx, address, port, compose(gossip, true));
}

static uint64_t rank(const char *name)
{
	return XXH64(name, strlen(name), 1);
}

/*
 * Rendezvous hashing: every VM determines the same few watchers of its data centre, without a
 * leader, from the members that it knows. While views differ, a few more or fewer VMs watch; VMs
 * that receive nothing ask the platform themselves.
 */
bool gossip_is_watcher(const gossip_t *gossip)
{
	uint64_t own = rank(gossip->self->name);
	uint32_t above = 0;

	for (guint i = 0; i < gossip->members->len; i++) {
		const member_t *member = g_ptr_array_index(gossip->members, i);

		if (member->state == MEMBER_ALIVE &&
		    g_str_equal(member->data_centre, gossip->self->data_centre))
			above += rank(member->name) > own;
	}
	return above < WATCHERS_PER_DATA_CENTRE;
}
