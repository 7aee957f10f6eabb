/**
 * @file hop_message_test.c
 * Encoding and decoding of the messages between takers and gatherers.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "core/hop_message.h"

#include <msgpack.h>
#include <string.h>

static hop_bytes_t bytes_of(const char *text)
{
	return (hop_bytes_t){.data = text, .bytes = strlen(text)};
}

static void append_bytes(GString *out, hop_bytes_t bytes)
{
	g_string_append_c(out, ' ');
	g_string_append_len(out, bytes.data, (gssize)bytes.bytes);
}

/* Writes all fields as text, so that two messages can be compared. */
static void format_message(void *ctx, const hop_message_t *message)
{
	const hop_request_t *request = &message->request;
	const hop_answer_t *answer = &message->answer;
	GString *out = ctx;

	g_string_append_printf(out,
			       "%d #%" G_GUINT64_FORMAT " reason=%d more=%u by=%" G_GUINT64_FORMAT
			       " %" G_GUINT64_FORMAT " %d",
			       message->type, message->serial, message->reason,
			       message->more_attempts, message->version, request->version,
			       request->retried);
	g_string_append_printf(out, " %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT,
			       request->elapsed_us, request->patience_us);
	append_bytes(out, request->id);
	append_bytes(out, request->host);
	append_bytes(out, request->target);
	append_bytes(out, request->head);
	append_bytes(out, request->body);
	append_bytes(out, request->key);
	g_string_append_printf(out, " end=%d %u/%u %" G_GUINT64_FORMAT, answer->end,
			       answer->missing, answer->parts, answer->retry_after_us);
	append_bytes(out, answer->stamps);
	append_bytes(out, answer->records);
	g_string_append_printf(out, " refused=%d rank=%u %" G_GUINT64_FORMAT,
			       answer->refused_by_admission, answer->rank, answer->waited_us);
	append_bytes(out, answer->shard);
	append_bytes(out, answer->tenant);
	append_bytes(out, message->share.vm);
	append_bytes(out, message->quota.tenant);
	g_string_append_printf(out, " %" G_GUINT64_FORMAT " %u %u %u %d %" G_GUINT64_FORMAT,
			       message->share.accrued_us, message->share.vms, message->share.pools,
			       message->quota.count, message->quota.spare,
			       message->quota.retry_after_us);
	g_string_append_c(out, ';');
}

static hop_message_t message_of(hop_type_t type)
{
	hop_message_t message = {.type = type, .serial = 1ull << 40};

	if (type == HOP_REQUEST)
		message.request = (hop_request_t){.version = 17,
						  .elapsed_us = 2300,
						  .patience_us = 600000,
						  .retried = true,
						  .id = bytes_of("id"),
						  .host = bytes_of("h"),
						  .target = bytes_of("/x/"),
						  .key = bytes_of("k"),
						  .head = bytes_of("GET /x/ HTTP/1.1\r\n"),
						  .body = {.data = "a\0b", .bytes = 3}};
	if (type == HOP_ANSWER)
		message.answer = (hop_answer_t){.end = FORWARD_FULL,
						.parts = 90,
						.missing = 2,
						.retry_after_us = 200000,
						.stamps = bytes_of("a, b"),
						.records = bytes_of("0123456789abcdef"),
						.refused_by_admission = true,
						.shard = bytes_of("s7"),
						.tenant = bytes_of("shop"),
						.rank = 3,
						.waited_us = 41000};
	if (type == HOP_REJECTED)
		message.reason = HOP_BUSY;
	if (type == HOP_GRANT)
		message.more_attempts = 2;
	if (type == HOP_QUOTA_SHARE)
		message.share = (hop_quota_share_t){
			.vm = bytes_of("vm"), .accrued_us = 500000, .vms = 75, .pools = 2};
	if (type == HOP_QUOTA_ASK || type == HOP_QUOTA_GRANT || type == HOP_QUOTA_RETURN)
		message.quota = (hop_quota_t){.tenant = bytes_of("t"),
					      .count = 3,
					      .spare = true,
					      .retry_after_us = 70000};
	if (type == HOP_ACCEPTED)
		message.version = 21;
	return message;
}

/* Each message is decoded as it was encoded, however its bytes arrive. */
static void test_round_trip(void **state)
{
	(void)state;
	for (int type = 0; type < HOP_TYPES; type++) {
		g_autoptr(GByteArray) bytes = g_byte_array_new();
		g_autoptr(GString) wanted = g_string_new(NULL);
		g_autoptr(GString) got = g_string_new(NULL);
		hop_message_t message = message_of((hop_type_t)type);
		size_t used = 0;

		format_message(wanted, &message);
		hop_message_write(bytes, &message);
		for (guint have = 0; have < bytes->len; have++)
			assert_int_equal(
				hop_message_read(bytes->data, have, &used, format_message, got),
				FRAMING_INCOMPLETE);
		assert_int_equal(
			hop_message_read(bytes->data, bytes->len, &used, format_message, got),
			FRAMING_COMPLETE);
		assert_int_equal(used, bytes->len);
		assert_string_equal(got->str, wanted->str);
	}
}

/* Reads back a message whose array the test has built. */
static framing_result_t read_array(const msgpack_sbuffer *buffer, GString *got)
{
	g_autoptr(GByteArray) bytes = g_byte_array_new();
	size_t used = 0;

	framing_append(bytes, buffer->data, buffer->size);
	return hop_message_read(bytes->data, bytes->len, &used, format_message, got);
}

/* While VMs are updated one after the other, a newer version sends messages and fields that this
 * one does not know. They are ignored, and the connection stays open. */
static void test_later_version(void **state)
{
	g_autoptr(GString) got = g_string_new(NULL);
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	(void)state;
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 3);
	msgpack_pack_uint8(&packer, HOP_TYPES + 3);
	msgpack_pack_uint64(&packer, 1);
	msgpack_pack_map(&packer, 0);
	assert_int_equal(read_array(&buffer, got), FRAMING_COMPLETE);
	assert_string_equal(got->str, "");
	msgpack_sbuffer_clear(&buffer);
	msgpack_pack_array(&packer, 4);
	msgpack_pack_uint8(&packer, HOP_GRANT);
	msgpack_pack_uint64(&packer, 1);
	msgpack_pack_uint32(&packer, 1);
	msgpack_pack_nil(&packer);
	assert_int_equal(read_array(&buffer, got), FRAMING_COMPLETE);
	assert_true(g_str_has_prefix(got->str, "5 #1 reason=0 more=1"));
	msgpack_sbuffer_destroy(&buffer);
}

/* A taker of an earlier version sends no API key. */
static void test_request_without_key(void **state)
{
	g_autoptr(GString) got = g_string_new(NULL);
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	(void)state;
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 11);
	msgpack_pack_uint8(&packer, HOP_REQUEST);
	for (int i = 0; i < 5; i++)
		msgpack_pack_uint8(&packer, 1);
	for (int i = 0; i < 5; i++) {
		msgpack_pack_bin(&packer, 1);
		msgpack_pack_bin_body(&packer, "x", 1);
	}
	assert_int_equal(read_array(&buffer, got), FRAMING_COMPLETE);
	assert_non_null(strstr(got->str, " x x x x x  end="));
	msgpack_sbuffer_destroy(&buffer);
}

static void pack_earlier_answer(msgpack_packer *packer, size_t more)
{
	msgpack_pack_array(packer, 8 + more);
	msgpack_pack_uint8(packer, HOP_ANSWER);
	msgpack_pack_uint64(packer, 1);
	msgpack_pack_uint8(packer, FORWARD_FULL);
	msgpack_pack_uint32(packer, 90);
	msgpack_pack_uint32(packer, 2);
	msgpack_pack_uint64(packer, 200000);
	for (int i = 0; i < 2; i++) {
		msgpack_pack_bin(packer, 1);
		msgpack_pack_bin_body(packer, "x", 1);
	}
}

/* A gatherer of an earlier version does not send why it has refused a request. If its answer were
 * invalid, the connection would be closed and all requests on it would fail. */
static void test_answer_without_reason(void **state)
{
	g_autoptr(GString) got = g_string_new(NULL);
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	(void)state;
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	pack_earlier_answer(&packer, 0);
	assert_int_equal(read_array(&buffer, got), FRAMING_COMPLETE);
	assert_non_null(strstr(got->str, " 2/90 200000 x x refused=0 rank=0 0 "));
	msgpack_sbuffer_destroy(&buffer);
}

/* A reason of which only some fields have arrived, or one of another type, is not relied on. */
static void test_answer_with_malformed_reason(void **state)
{
	g_autoptr(GString) got = g_string_new(NULL);
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	(void)state;
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	pack_earlier_answer(&packer, 1);
	msgpack_pack_uint8(&packer, 1);
	assert_int_equal(read_array(&buffer, got), FRAMING_COMPLETE);
	assert_non_null(strstr(got->str, " x x refused=0 rank=0 0 "));
	msgpack_sbuffer_clear(&buffer);
	pack_earlier_answer(&packer, 5);
	for (int i = 0; i < 5; i++)
		msgpack_pack_uint8(&packer, 1);
	assert_int_equal(read_array(&buffer, got), FRAMING_INVALID);
	msgpack_sbuffer_destroy(&buffer);
}

/* Invalid bytes are reported, so that the connection is closed, and no message is delivered from
 * them. */
static void test_garbage(void **state)
{
	static const char *const payloads[] = {"",
					       "\x01",
					       "\x92\xa1x\x01",
					       "\x92\x02\x01",
					       "\x93\x05\x01\xff",
					       "\xdd\xff\xff\xff\xff"};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(payloads); i++) {
		g_autoptr(GByteArray) bytes = g_byte_array_new();
		g_autoptr(GString) got = g_string_new(NULL);
		size_t used = 0;

		framing_append(bytes, payloads[i], strlen(payloads[i]));
		assert_int_equal(
			hop_message_read(bytes->data, bytes->len, &used, format_message, got),
			FRAMING_INVALID);
		assert_string_equal(got->str, "");
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_round_trip),
		cmocka_unit_test(test_later_version),
		cmocka_unit_test(test_request_without_key),
		cmocka_unit_test(test_answer_without_reason),
		cmocka_unit_test(test_answer_with_malformed_reason),
		cmocka_unit_test(test_garbage),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
