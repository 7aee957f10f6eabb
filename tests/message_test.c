/**
 * @file message_test.c
 * Parsing of HTTP requests and replies, given at once and byte by byte.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "net/http_message.h"

#include <string.h>

#define HEAD_MAX_BYTES 256
#define BODY_MAX_BYTES 64

typedef struct message_case_t {
	const char *what;
	http_message_kind_t kind;
	const char *bytes;
	http_message_state_t state;
	const char *body; /* of a complete message */
	bool keeps_alive;
} message_case_t;

#define REQUEST HTTP_MESSAGE_REQUEST
#define REPLY HTTP_MESSAGE_REPLY
#define COMPLETE HTTP_MESSAGE_COMPLETE
#define INVALID HTTP_MESSAGE_INVALID
#define INCOMPLETE HTTP_MESSAGE_INCOMPLETE

static const message_case_t cases[] = {
	{"no body", REQUEST, "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n", COMPLETE, "", true},
	{"length", REQUEST, "POST /a/ HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", COMPLETE, "abc",
	 true},
	{"chunks", REQUEST,
	 "POST /a/ HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
	 COMPLETE, "abc", true},
	{"trailers are dropped", REQUEST,
	 "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: y\r\n\r\n", COMPLETE, "",
	 true},
	{"close", REQUEST, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n", COMPLETE, "", false},
	{"empty header", REQUEST, "GET / HTTP/1.1\r\nX:\r\nY: z\r\n\r\n", COMPLETE, "", true},
	{"offer to upgrade", REQUEST, "GET / HTTP/1.1\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
	 COMPLETE, "", true},
	{"both lengths", REQUEST,
	 "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	 INVALID},
	{"two lengths", REQUEST,
	 "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc", INVALID},
	{"negative length", REQUEST, "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", INVALID},
	{"folded header", REQUEST, "GET / HTTP/1.1\r\nX: a\r\n b\r\n\r\n", INVALID},
	{"folded by a tab", REQUEST, "GET / HTTP/1.1\r\nX: a\r\n\tb\r\n\r\n", INVALID},
	{"bare line feed", REQUEST, "GET / HTTP/1.1\nHost: h\n\n", INVALID},
	{"bare carriage return", REQUEST, "GET / HTTP/1.1\r\nX: a\rb\r\n\r\n", INVALID},
	{"space before the colon", REQUEST, "GET / HTTP/1.1\r\nContent-Length : 3\r\n\r\nabc",
	 INVALID},
	{"chunk size that is none", REQUEST,
	 "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", INVALID},
	{"chunk without its end", REQUEST,
	 "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabcd", INVALID},
	{"no version", REQUEST, "GET /\r\n\r\n", INVALID},
	{"not HTTP", REQUEST, "\x16\x03\x01\x02", INVALID},
	{"body over the limit", REQUEST, "POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n",
	 HTTP_MESSAGE_BODY_TOO_LARGE},
	{"chunks over the limit", REQUEST,
	 "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	 "41\r\n01234567890123456789012345678901234567890123456789012345678901234\r\n",
	 HTTP_MESSAGE_BODY_TOO_LARGE},
	{"part of a head", REQUEST, "GET / HTTP/1.1\r\nHost", INCOMPLETE},
	{"reply", REPLY, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", COMPLETE, "ab", true},
	{"reply without a body", REPLY, "HTTP/1.1 204 No\r\n\r\n", COMPLETE, "", true},
	{"interim reply first", REPLY,
	 "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", COMPLETE,
	 "a", true},
	{"reply cut short", REPLY, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", INCOMPLETE},
	{"reply without a length", REPLY, "HTTP/1.1 200 OK\r\n\r\nab", INCOMPLETE},
	{"reply that is none", REPLY, "garbage\r\n\r\n", INVALID},
	{"reply to a conditional request", REPLY, "HTTP/1.1 304 No\r\nContent-Length: 5\r\n\r\n",
	 COMPLETE, "", true},
	{"reply without a reason phrase", REPLY, "HTTP/1.1 200\r\nContent-Length: 1\r\n\r\na",
	 COMPLETE, "a", true},
	{"empty reply of length 0", REPLY, "HTTP/1.1 204 No\r\nContent-Length: 0\r\n\r\n", COMPLETE,
	 "", true},
};

#define LENGTH "Content-Length: 2\r\n\r\nab"
#define CHUNKS "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"

/* Bytes of a searcher that are no answer and were relayed to the caller as one, or that made the
 * caller take the body for the next answer. */
static const message_case_t not_replies[] = {
	{"status of two digits", REPLY, "HTTP/1.1 20  OK\r\n" LENGTH, INVALID},
	{"status of two digits after a space", REPLY, "HTTP/1.1  00 OK\r\n" LENGTH, INVALID},
	{"status of one digit", REPLY, "HTTP/1.1 2 0 OK\r\n" LENGTH, INVALID},
	{"status of four digits", REPLY, "HTTP/1.1 0200 OK\r\n" LENGTH, INVALID},
	{"status after two spaces", REPLY, "HTTP/1.1  200 OK\r\n" LENGTH, INVALID},
	{"status 0", REPLY, "HTTP/1.1 000 OK\r\n" LENGTH, INVALID},
	{"status above 599", REPLY, "HTTP/1.1 600 OK\r\n" LENGTH, INVALID},
	{"no status", REPLY, "HTTP/1.1 \r\n" LENGTH, INVALID},
	{"status line that ends early", REPLY, "HTTP/1.1 20\r\n" LENGTH, INVALID},
	{"empty line first", REPLY, "\r\nHTTP/1.1 200 OK\r\n" LENGTH, INVALID},
	{"other version", REPLY, "HTTP/2.0 200 OK\r\n" LENGTH, INVALID},
	{"204 with a length", REPLY, "HTTP/1.1 204 OK\r\n" LENGTH, INVALID},
	{"204 with chunks", REPLY, "HTTP/1.1 204 OK\r\n" CHUNKS, INVALID},
	{"interim reply with a length", REPLY, "HTTP/1.1 100 OK\r\n" LENGTH, INVALID},
	{"interim reply with chunks", REPLY, "HTTP/1.1 103 OK\r\n" CHUNKS, INVALID},
	{"other protocol", REPLY, "HTTP/1.1 101 OK\r\n\r\n", INVALID},
	{"compressed chunks", REPLY,
	 "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", INVALID},
};

static http_message_t *message_new(http_message_kind_t kind)
{
	const http_message_limits_t limits = {.head_bytes = HEAD_MAX_BYTES,
					      .body_bytes = BODY_MAX_BYTES};

	return http_message_new(kind, limits);
}

static void check(const message_case_t *row, const http_message_t *message)
{
	if (http_message_state(message) != row->state)
		fail_msg("%s: state %d", row->what, http_message_state(message));
	if (row->state != COMPLETE)
		return;
	assert_string_equal(http_message_body(message)->str, row->body);
	assert_int_equal(http_message_keeps_alive(message), row->keeps_alive);
}

/* Parses the bytes in reads of @p step bytes. */
static void check_case(const message_case_t *row, size_t step)
{
	http_message_t *message = message_new(row->kind);
	size_t bytes = strlen(row->bytes);

	for (size_t at = 0; at < bytes; at += step)
		http_message_parse(message, row->bytes + at, MIN(step, bytes - at));
	check(row, message);
	http_message_free(message);
}

static void test_cases(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		check_case(&cases[i], strlen(cases[i].bytes));
}

/* The result does not depend on how the bytes are split into reads. */
static void test_byte_by_byte(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		check_case(&cases[i], 1);
}

/* Callers got statuses of one or two digits, and bodies that came before the next answer. */
static void test_spoiled_reply_is_invalid(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(not_replies); i++) {
		check_case(&not_replies[i], strlen(not_replies[i].bytes));
		check_case(&not_replies[i], 1);
	}
}

static void test_head_limit(void **state)
{
	g_autofree char *long_value = g_strnfill(HEAD_MAX_BYTES, 'x');
	g_autofree char *text = g_strdup_printf("GET / HTTP/1.1\r\nX: %s\r\n\r\n", long_value);
	http_message_t *message = message_new(REQUEST);

	(void)state;
	http_message_parse(message, text, strlen(text));
	assert_int_equal(http_message_state(message), HTTP_MESSAGE_HEAD_TOO_LARGE);
	http_message_free(message);
}

static http_message_state_t parse_lines(size_t lines, size_t head_bytes)
{
	const http_message_limits_t limits = {.head_bytes = head_bytes};
	http_message_t *message = http_message_new(REQUEST, limits);
	GString *text = g_string_new("GET / HTTP/1.1\r\n");
	http_message_state_t state;

	for (size_t i = 0; i < lines; i++)
		g_string_append_printf(text, "X-%zu: %zu\r\n", i, i);
	g_string_append(text, "\r\n");
	http_message_parse(message, text->str, text->len);
	state = http_message_state(message);
	if (state == COMPLETE) {
		http_header_t last = http_message_header_at(message, lines - 1);

		assert_int_equal(http_message_header_count(message), lines);
		assert_string_equal(http_message_header(message, last.name), last.value);
		assert_string_equal(http_message_header(message, "x-0"), "0");
	}
	http_message_free(message);
	g_string_free(text, TRUE);
	return state;
}

/* A request of more than a hundred header lines got 400, though its head was within its limit. */
static void test_head_of_many_lines(void **state)
{
	(void)state;
	assert_int_equal(parse_lines(101, 4096), COMPLETE);
	assert_int_equal(parse_lines(300, 4096), COMPLETE);
	assert_int_equal(parse_lines(400, 4096), HTTP_MESSAGE_HEAD_TOO_LARGE);
	assert_int_equal(parse_lines(10000, 256 * 1024), COMPLETE);
}

/* Two requests on one connection: parsing the first consumes no bytes of the second. */
static void test_pipelined(void **state)
{
	static const char text[] = "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n";
	http_message_t *message = message_new(REQUEST);
	size_t taken = http_message_parse(message, text, strlen(text));

	(void)state;
	assert_string_equal(http_message_target(message), "/a");
	http_message_reset(message);
	http_message_parse(message, text + taken, strlen(text) - taken);
	assert_string_equal(http_message_target(message), "/b");
	http_message_free(message);
}

/* A reply without a length is complete once its connection is closed cleanly, and not before. */
static void test_closed_reply(void **state)
{
	static const char text[] = "HTTP/1.1 200 OK\r\n\r\nab";
	http_message_t *message = message_new(REPLY);

	(void)state;
	http_message_parse(message, text, strlen(text));
	http_message_feed_end(message);
	assert_int_equal(http_message_state(message), COMPLETE);
	assert_false(http_message_keeps_alive(message));
	http_message_reset(message);
	http_message_parse(message, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", 40);
	http_message_feed_end(message);
	assert_int_equal(http_message_state(message), INVALID);
	http_message_free(message);
}

static void test_headers(void **state)
{
	static const char text[] = "GET / HTTP/1.1\r\nX-Own: 1\r\nx-own:  2 \r\nHost: h\r\n\r\n";
	http_message_t *message = message_new(REQUEST);

	(void)state;
	http_message_parse(message, text, strlen(text));
	assert_int_equal(http_message_header_occurrences(message, "X-OWN"), 2);
	assert_string_equal(http_message_header(message, "x-own"), "1");
	assert_string_equal(http_message_header_at(message, 1).value, "2");
	assert_null(http_message_header(message, "Own"));
	http_message_free(message);
}

/* Parses @p start, then @p rest again and again until the message is refused or @p most_bytes are
 * consumed. */
static http_message_state_t parse_endless(const char *start, const char *rest, size_t most_bytes)
{
	const http_message_limits_t limits = {.head_bytes = HEAD_MAX_BYTES,
					      .body_bytes = most_bytes};
	http_message_t *message = http_message_new(REPLY, limits);
	size_t bytes = http_message_parse(message, start, strlen(start));
	http_message_state_t state;

	while (http_message_state(message) == INCOMPLETE && bytes < most_bytes)
		bytes += http_message_parse(message, rest, strlen(rest));
	state = http_message_state(message);
	http_message_free(message);
	return state;
}

#define CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

/* The limit on a head began anew with each interim head, so that nothing ended the reply. */
static void test_interim_heads_without_end(void **state)
{
	(void)state;
	assert_int_equal(parse_endless("", "HTTP/1.1 100 Continue\r\n\r\n", 4096),
			 HTTP_MESSAGE_HEAD_TOO_LARGE);
}

/* Extensions and trailers without end. Chunks of any size are allowed. */
static void test_framing_without_end(void **state)
{
	(void)state;
	assert_int_equal(parse_endless(CHUNKED "1;x=", "y", 4096), HTTP_MESSAGE_HEAD_TOO_LARGE);
	assert_int_equal(parse_endless(CHUNKED, "1;x=0123456789\r\na\r\n", 4096),
			 HTTP_MESSAGE_HEAD_TOO_LARGE);
	assert_int_equal(parse_endless(CHUNKED "0\r\n", "T: x\r\n", 4096),
			 HTTP_MESSAGE_HEAD_TOO_LARGE);
	assert_int_equal(parse_endless(CHUNKED, "1\r\na\r\n", 4096), INCOMPLETE);
	assert_int_equal(parse_endless(CHUNKED, "10\r\n0123456789abcdef\r\n", 4096), INCOMPLETE);
}

/* An idle connection kept the buffer of the longest reply that it had carried. */
static void test_no_memory_after_a_long_message(void **state)
{
	const http_message_limits_t limits = {.head_bytes = HEAD_MAX_BYTES, .body_bytes = 1u << 20};
	http_message_t *message = http_message_new(REPLY, limits);
	g_autofree char *body = g_strnfill(1u << 20, 'a');
	static const char head[] = "HTTP/1.1 200 OK\r\n\r\n";

	(void)state;
	http_message_parse(message, head, strlen(head));
	http_message_parse(message, body, 1u << 20);
	assert_true(http_message_memory(message) >= 1u << 20);
	http_message_reset(message);
	assert_true(http_message_memory(message) < 1u << 16);
	http_message_free(message);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_cases),
		cmocka_unit_test(test_byte_by_byte),
		cmocka_unit_test(test_spoiled_reply_is_invalid),
		cmocka_unit_test(test_head_limit),
		cmocka_unit_test(test_head_of_many_lines),
		cmocka_unit_test(test_pipelined),
		cmocka_unit_test(test_closed_reply),
		cmocka_unit_test(test_headers),
		cmocka_unit_test(test_interim_heads_without_end),
		cmocka_unit_test(test_framing_without_end),
		cmocka_unit_test(test_no_memory_after_a_long_message),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
