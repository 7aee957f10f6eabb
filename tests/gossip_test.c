/**
 * @file gossip_test.c
 * Gossip between daemons and its encoding: many members in one process, with a simulated clock,
 * counting bytes.
 *
 * `gossip_test bytes` prints the bytes a second of one VM at 3, 7, 30 and 100 members.
 */
#include "core/frame.h"
#include "core/gossip.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define NODES_MAX 128
#define KEY "a-key-of-at-least-16"
#define OLD_KEY "an-older-key-of-16-bytes"

typedef struct node_t {
	struct field_t *field;
	uint32_t index;
	gossip_t *gossip;
	timeline_t *timeline;
	bool dead;
	uint32_t side; /* nodes of different sides cannot reach each other */
	uint64_t config;
	char *leaving_upstream;
} node_t;

typedef struct field_t {
	node_t nodes[NODES_MAX];
	uint32_t count;
	uint64_t now_us;
	uint64_t bytes;
	GQueue calls; /* call_t */
} field_t;

typedef struct call_t {
	node_t *from;
	char *address;
	uint16_t port;
	gossip_message_t *message;
} call_t;

static field_t *clock_field;

static uint64_t wall_ms(void)
{
	return 1700000000000 + clock_field->now_us / 1000;
}

static void do_exchange(void *ctx, const char *address, uint16_t port, gossip_message_t *message)
{
	node_t *node = ctx;
	call_t *call = g_new(call_t, 1);

	*call = (call_t){
		.from = node, .address = g_strdup(address), .port = port, .message = message};
	g_queue_push_tail(&node->field->calls, call);
}

static void do_config(void *ctx, uint64_t number, json_t *value)
{
	node_t *node = ctx;

	node->config = number;
	gossip_announce_config(node->gossip, number, value);
}

static void do_leaving(void *ctx, const leaving_note_t *note)
{
	node_t *node = ctx;

	g_free(node->leaving_upstream);
	node->leaving_upstream = g_strdup(note->upstream);
}

static const gossip_ops_t ops = {
	.exchange = do_exchange, .config = do_config, .leaving = do_leaving};

static void start_node(field_t *field, uint32_t index, uint64_t incarnation)
{
	node_t *node = &field->nodes[index];
	g_autofree char *name = g_strdup_printf("vm-%u", index);
	g_autofree char *data_centre = g_strdup_printf("dc-%u", index % 3);
	const gossip_self_t self = {.name = name,
				    .data_centre = data_centre,
				    .address = "10.0.0.1",
				    .port = (uint16_t)(index + 1),
				    .incarnation = incarnation,
				    .seeds = "10.0.0.1:1 10.0.0.1:2",
				    .random_seed = index + 1};

	node->field = field;
	node->index = index;
	node->dead = false;
	node->config = 0;
	node->timeline = timeline_new(wall_ms);
	node->gossip = gossip_new(&ops, node, &self, node->timeline);
}

static field_t *field_new(uint32_t count)
{
	field_t *field = g_new0(field_t, 1);

	clock_field = field;
	field->count = count;
	field->now_us = 1000000;
	g_queue_init(&field->calls);
	for (uint32_t i = 0; i < count; i++)
		start_node(field, i, 1);
	return field;
}

/* Encodes and decodes a message, and counts its bytes. */
static gossip_message_t *transmit(field_t *field, const gossip_message_t *message)
{
	GByteArray *frame = frame_encode(message, KEY);
	gossip_message_t *copy = frame_decode(frame->data, frame->len, KEY, "");

	field->bytes += frame->len;
	g_byte_array_unref(frame);
	assert_non_null(copy);
	return copy;
}

static void run_call(field_t *field, call_t *call)
{
	node_t *to = &field->nodes[call->port - 1];
	bool reached = call->port <= field->count && !to->dead && to->side == call->from->side;
	gossip_message_t *sent, *reply, *back = NULL;

	if (call->from->dead)
		return;
	if (reached) {
		sent = transmit(field, call->message);
		reply = gossip_receive(to->gossip, sent, true, field->now_us);
		back = transmit(field, reply);
		gossip_message_free(sent);
		gossip_message_free(reply);
	}
	gossip_complete_exchange(call->from->gossip, call->address, call->port, back,
				 field->now_us);
	gossip_message_free(back);
}

static void deliver_all(field_t *field)
{
	call_t *call;

	while ((call = g_queue_pop_head(&field->calls))) {
		run_call(field, call);
		gossip_message_free(call->message);
		g_free(call->address);
		g_free(call);
	}
}

static void run_periods(field_t *field, uint32_t periods)
{
	for (uint32_t p = 0; p < periods; p++) {
		field->now_us += GOSSIP_PERIOD_US;
		for (uint32_t i = 0; i < field->count; i++)
			if (!field->nodes[i].dead)
				gossip_tick(field->nodes[i].gossip, field->now_us);
		deliver_all(field);
	}
}

static uint32_t count_state(const field_t *field, uint32_t index, member_state_t state)
{
	const GPtrArray *members = gossip_members(field->nodes[index].gossip);
	uint32_t count = 0;

	for (guint i = 0; i < members->len; i++)
		count += ((const member_t *)g_ptr_array_index(members, i))->state == state;
	return count;
}

static void field_free(field_t *field)
{
	for (uint32_t i = 0; i < field->count; i++) {
		gossip_free(field->nodes[i].gossip);
		timeline_free(field->nodes[i].timeline);
		g_free(field->nodes[i].leaving_upstream);
	}
	g_free(field);
}

/*
 * Thirty VMs start and know two seeds. Within a few periods each knows all the others, and two VMs
 * of each data centre determine that they are its watchers.
 */
static void test_all_members_discovered(void **state)
{
	field_t *field = field_new(30);
	uint32_t watchers = 0;

	(void)state;
	run_periods(field, 20);
	for (uint32_t i = 0; i < field->count; i++) {
		assert_int_equal(count_state(field, i, MEMBER_ALIVE), 29);
		watchers += gossip_is_watcher(field->nodes[i].gossip);
	}
	assert_int_equal(watchers, 6);
	field_free(field);
}

/*
 * A VM is killed. Members that fail to reach it suspect it, and after five seconds without a
 * refutation it is dead for all members. When it restarts with a higher incarnation, it is alive
 * for all members again.
 */
static void test_dead_member_restarts(void **state)
{
	field_t *field = field_new(10);

	(void)state;
	run_periods(field, 10);
	field->nodes[3].dead = true;
	run_periods(field, 30);
	for (uint32_t i = 0; i < field->count; i++)
		if (i != 3)
			assert_int_equal(count_state(field, i, MEMBER_DEAD), 1);
	gossip_free(field->nodes[3].gossip);
	timeline_free(field->nodes[3].timeline);
	start_node(field, 3, 2);
	run_periods(field, 20);
	for (uint32_t i = 0; i < field->count; i++)
		assert_int_equal(count_state(field, i, MEMBER_ALIVE), 9);
	field_free(field);
}

/*
 * The network is partitioned into two halves and heals. Each half considers the other dead and
 * continues on its own. After the partition all members find each other again, because seeds are
 * contacted even when they are believed to be dead.
 */
static void test_partition_heals(void **state)
{
	field_t *field = field_new(8);

	(void)state;
	run_periods(field, 10);
	for (uint32_t i = 0; i < 8; i++)
		field->nodes[i].side = i % 2;
	run_periods(field, 40);
	for (uint32_t i = 0; i < 8; i++)
		assert_int_equal(count_state(field, i, MEMBER_ALIVE), 3);
	for (uint32_t i = 0; i < 8; i++)
		field->nodes[i].side = 0;
	run_periods(field, 25);
	for (uint32_t i = 0; i < 8; i++)
		assert_int_equal(count_state(field, i, MEMBER_ALIVE), 7);
	field_free(field);
}

/*
 * One VM receives a configuration and sends it to three members, each of which sends it to three
 * more: a hundred members have the configuration at once, although each sends only a few messages.
 * A VM that was partitioned gets the configuration from the first member that it reaches.
 */
static void test_configuration_spreads(void **state)
{
	field_t *field = field_new(100);
	json_t *value = json_pack("{s:s}", "config", "x");
	uint32_t have = 0;

	(void)state;
	run_periods(field, 40);
	field->nodes[99].side = 1;
	gossip_announce_config(field->nodes[5].gossip, 7, value);
	field->nodes[5].config = 7;
	deliver_all(field);
	run_periods(field, 3);
	for (uint32_t i = 0; i < field->count; i++)
		have += field->nodes[i].config == 7;
	assert_int_equal(have, 99);
	field->nodes[99].side = 0;
	run_periods(field, 12);
	assert_int_equal(field->nodes[99].config, 7);
	json_decref(value);
	field_free(field);
}

/* A searcher announces to one VM that it is draining; the others receive the note from that VM,
 * once, and the note expires. */
static void test_leaving_note_spreads(void **state)
{
	field_t *field = field_new(7);

	(void)state;
	run_periods(field, 10);
	gossip_announce_leaving(field->nodes[2].gossip, "board", "board-0-0", wall_ms());
	deliver_all(field);
	run_periods(field, 3);
	for (uint32_t i = 0; i < 7; i++) {
		if (i != 2)
			assert_string_equal(field->nodes[i].leaving_upstream, "board-0-0");
		g_clear_pointer(&field->nodes[i].leaving_upstream, g_free);
	}
	run_periods(field, 30);
	/* A VM that starts now must not receive the note: the searcher may have restarted, too. */
	gossip_free(field->nodes[6].gossip);
	timeline_free(field->nodes[6].timeline);
	start_node(field, 6, 2);
	run_periods(field, 10);
	for (uint32_t i = 0; i < 7; i++)
		assert_null(field->nodes[i].leaving_upstream);
	field_free(field);
}

static GByteArray *sample_frame(const char *from, const char *key)
{
	gossip_message_t *message = gossip_message_new();
	member_t *member = g_new0(member_t, 1);
	GByteArray *frame;

	message->from = g_strdup(from);
	message->config_number = 3;
	*member = (member_t){.name = g_strdup("vm-1"),
			     .data_centre = g_strdup("dc"),
			     .address = g_strdup("10.0.0.1"),
			     .port = 9};
	g_ptr_array_add(message->members, member);
	frame = frame_encode(message, key);
	gossip_message_free(message);
	return frame;
}

/*
 * A frame with any one byte modified, by an unauthorised sender or on the network, is not parsed
 * and has no effect. While keys are rotated, frames with the previous key are accepted, too, but
 * none with any other key.
 */
static void test_modified_frame_rejected(void **state)
{
	GByteArray *frame = sample_frame("vm-1", KEY);
	gossip_message_t *message;

	(void)state;
	message = frame_decode(frame->data, frame->len, KEY, "");
	assert_non_null(message);
	gossip_message_free(message);
	for (guint i = 0; i < frame->len; i++) {
		frame->data[i] ^= 1;
		assert_null(frame_decode(frame->data, frame->len, KEY, ""));
		frame->data[i] ^= 1;
	}
	for (guint length = 0; length < frame->len; length++)
		assert_null(frame_decode(frame->data, length, KEY, ""));
	g_byte_array_unref(frame);
	frame = sample_frame("vm-1", OLD_KEY);
	assert_null(frame_decode(frame->data, frame->len, KEY, ""));
	message = frame_decode(frame->data, frame->len, KEY, OLD_KEY);
	assert_non_null(message);
	gossip_message_free(message);
	g_byte_array_unref(frame);
}

/* A peer sends an empty name: msgpack gives a null pointer for it, which must not be read. */
static void test_empty_name_accepted(void **state)
{
	GByteArray *frame = sample_frame("", KEY);
	gossip_message_t *message = frame_decode(frame->data, frame->len, KEY, "");

	(void)state;
	assert_non_null(message);
	assert_string_equal(message->from, "");
	gossip_message_free(message);
	g_byte_array_unref(frame);
}

/*
 * A peer that has the key sends fifteen bytes that declare an array of four thousand million items.
 * msgpack would allocate 128 GB for it; the frame is rejected before it is unpacked.
 */
static void test_huge_array_rejected(void **state)
{
	const uint8_t payload[] = {0x98, 0, 0, 0xdd, 0xff, 0, 1, 0, 0, 9, 10, 0};
	GHmac *hmac = g_hmac_new(G_CHECKSUM_SHA256, (const guchar *)KEY, strlen(KEY));
	uint8_t frame[FRAME_LENGTH_BYTES + 32 + sizeof(payload)] = {0};
	gsize mac_bytes = 32;

	(void)state;
	frame[3] = 32 + sizeof(payload);
	g_hmac_update(hmac, payload, sizeof(payload));
	g_hmac_get_digest(hmac, frame + FRAME_LENGTH_BYTES, &mac_bytes);
	g_hmac_unref(hmac);
	memcpy(frame + FRAME_LENGTH_BYTES + 32, payload, sizeof(payload));
	assert_null(frame_decode(frame, sizeof(frame), KEY, ""));
}

static uint64_t bytes_a_second(uint32_t count)
{
	field_t *field = field_new(count);
	uint64_t before, used;

	run_periods(field, 60);
	before = field->bytes;
	run_periods(field, 60);
	used = (field->bytes - before) / 60 / count;
	field_free(field);
	return used;
}

/* The bytes that a VM sends per second are bounded for any number of members: a message holds at
 * most 16 other members. */
static void test_cost_is_bounded(void **state)
{
	(void)state;
	assert_true(bytes_a_second(100) < bytes_a_second(30) * 11 / 10);
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_all_members_discovered),
		cmocka_unit_test(test_dead_member_restarts),
		cmocka_unit_test(test_partition_heals),
		cmocka_unit_test(test_configuration_spreads),
		cmocka_unit_test(test_leaving_note_spreads),
		cmocka_unit_test(test_modified_frame_rejected),
		cmocka_unit_test(test_empty_name_accepted),
		cmocka_unit_test(test_huge_array_rejected),
		cmocka_unit_test(test_cost_is_bounded),
	};
	static const uint32_t sizes[] = {3, 7, 30, 100};

	if (argc > 1 && g_str_equal(argv[1], "bytes")) {
		for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
			printf("%u members: %" G_GUINT64_FORMAT
			       " bytes a second and VM, both ways\n",
			       sizes[i], bytes_a_second(sizes[i]));
		return 0;
	}
	return cmocka_run_group_tests(tests, NULL, NULL);
}
