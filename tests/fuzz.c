/**
 * @file fuzz.c
 * Fuzzes each parser of data from outside the process: searchers' replies and health pages,
 * callers' searches and idempotency keys, operators' configurations, peers' frames, pages of the
 * users' store, feed and hand-over messages between VMs, and all that a searcher sends on a
 * connection, up to the bytes that callers get. FUZZ_TARGET selects the parser.
 */
#include "commands/action.h"
#include "commands/propose.h"
#include "core/feed_message.h"
#include "core/hop_message.h"
#include "core/frame.h"
#include "core/json_salvage.h"
#include "core/reply.h"
#include "headers.h"
#include "net/http_message.h"
#include "queries/search.h"
#include "store.h"

#include <stdlib.h>
#include <string.h>

#define KEY "a-key-of-at-least-16"
#define REQUEST_ID "id"
#define REPLY_MAX_BYTES 65536

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes);

static void fuzz_reply(const uint8_t *data, size_t bytes)
{
	static const int statuses[] = {200, 409, 503, 500};

	for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++)
		reply_free(reply_parse(statuses[i], (const char *)data, bytes));
}

static void fuzz_health(const uint8_t *data, size_t bytes)
{
	upstream_report_t *report = reply_parse_health(200, (const char *)data, bytes);

	if (report)
		upstream_report_free(report);
}

static void fuzz_search(const uint8_t *data, size_t bytes)
{
	g_autoptr(GString) body = g_string_new_len((const char *)data, (gssize)bytes);
	request_t *request = request_new();
	err_t err;

	search_parse(body, request, &err);
	request_free(request);
	request = request_new();
	action_parse(body->str, body, request, &err);
	request_free(request);
}

static void fuzz_config(const uint8_t *data, size_t bytes)
{
	g_autoptr(GString) body = g_string_new_len((const char *)data, (gssize)bytes);
	err_t err;
	propose_request_t *propose = propose_parse(body, &err);

	if (propose)
		propose_request_free(propose);
}

/* The frame is signed as by a peer with the key, since the decoder is behind the authentication. */
static void fuzz_frame(const uint8_t *data, size_t bytes)
{
	GHmac *hmac = g_hmac_new(G_CHECKSUM_SHA256, (const guchar *)KEY, strlen(KEY));
	GByteArray *frame = g_byte_array_new();
	guint32 length = GUINT32_TO_BE((guint32)(bytes + 32));
	guint8 mac[32];
	gsize mac_bytes = sizeof(mac);

	g_hmac_update(hmac, data, (gssize)bytes);
	g_hmac_get_digest(hmac, mac, &mac_bytes);
	g_hmac_unref(hmac);
	g_byte_array_append(frame, (const guint8 *)&length, 4);
	g_byte_array_append(frame, mac, sizeof(mac));
	g_byte_array_append(frame, data, (guint)bytes);
	gossip_message_free(frame_decode(frame->data, frame->len, KEY, ""));
	g_byte_array_unref(frame);
}

static void read_object(const store_object_t *object)
{
	searcher_entry_t entry;
	err_t err = {0};
	vm_t *vm = store_read_vm(object, &err);
	routing_t *routing = store_read_routing(object->content, &err);

	if (store_read_searcher(object, &entry, &err))
		searcher_entry_clear(&entry);
	if (vm)
		vm_free(vm);
	routing_unref(routing);
	store_born_ms(object);
}

static void fuzz_page(const uint8_t *data, size_t bytes)
{
	uint32_t damaged = 0;
	json_t *body = json_salvage((const char *)data, bytes, &damaged);
	store_page_t page = {0};

	if (store_read_page(body, &page))
		for (guint i = 0; i < page.objects->len; i++)
			read_object(&g_array_index(page.objects, store_object_t, i));
	store_page_clear(&page);
	json_decref(body);
}

static void take_feed(void *ctx, const feed_message_t *message)
{
	json_t *content = json_loads(message->text, JSON_DECODE_ANY, NULL);

	(void)ctx;
	read_object(&(store_object_t){.name = message->name, .content = content});
	json_decref(content);
}

static void fuzz_feed(const uint8_t *data, size_t bytes)
{
	guint32 length = GUINT32_TO_BE((guint32)bytes);
	g_autoptr(GByteArray) frame = g_byte_array_new();
	size_t used = 0;

	feed_message_read(data, bytes, &used, take_feed, NULL);
	g_byte_array_append(frame, (const guint8 *)&length, sizeof(length));
	g_byte_array_append(frame, data, (guint)bytes);
	feed_message_read(frame->data, frame->len, &used, take_feed, NULL);
}

static void take_hop(void *ctx, const hop_message_t *message)
{
	(void)ctx;
	hop_reason_name(message->reason);
	forward_outcome_status(message->answer.end);
}

static void fuzz_hop(const uint8_t *data, size_t bytes)
{
	g_autoptr(GByteArray) frame = g_byte_array_new();
	size_t used = 0;

	hop_message_read(data, bytes, &used, take_hop, NULL);
	framing_append(frame, (const char *)data, bytes);
	hop_message_read(frame->data, frame->len, &used, take_hop, NULL);
}

static http_message_t *reply_message_new(void)
{
	return http_message_new(HTTP_MESSAGE_REPLY,
				(http_message_limits_t){.head_bytes = REPLY_MAX_BYTES,
							.body_bytes = REPLY_MAX_BYTES});
}

/* The answer to the caller, as the HTTP server writes it. */
static GString *format_answer(const sub_reply_t *reply)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text, "HTTP/1.1 %d Status\r\n%s", reply->status, reply->headers);
	if (http_status_has_body(reply->status))
		g_string_append_printf(text, "Content-Length: %zu\r\n", reply->body->len);
	g_string_append(text, "\r\n");
	if (http_status_has_body(reply->status))
		g_string_append_len(text, reply->body->str, (gssize)reply->body->len);
	return text;
}

/* Whether the line is "NAME: VALUE" without the characters that end a line or fold it. */
static bool is_header_line(const char *line)
{
	const char *colon = strchr(line, ':');

	return colon && colon > line && !strpbrk(line, "\r\n") &&
	       strcspn(line, " \t") > (size_t)(colon - line);
}

/* What reaches a caller is one whole answer: its head, and as many bytes as that states. Not read
 * by http_message.c, which may be wrong in the same way twice. */
static void check_answer(const sub_reply_t *reply)
{
	g_autoptr(GString) text = format_answer(reply);
	char *head_end = g_strstr_len(text->str, (gssize)text->len, "\r\n\r\n");
	size_t lengths = 0, length = 0;
	g_autofree char *head = NULL;
	g_auto(GStrv) lines = NULL;

	if (!head_end || reply->status < 100 || reply->status > 599 || reply->status / 100 == 1)
		abort();
	head = g_strndup(text->str, (gsize)(head_end - text->str));
	lines = g_strsplit(head, "\r\n", 0);
	for (size_t i = 1; lines[i]; i++) {
		if (!is_header_line(lines[i]) ||
		    !g_ascii_strncasecmp(lines[i], "Transfer-Encoding:", 18))
			abort();
		if (g_ascii_strncasecmp(lines[i], "Content-Length:", 15))
			continue;
		lengths++;
		length = strtoul(lines[i] + 15, NULL, 10);
	}
	if (lengths != http_status_has_body(reply->status) ||
	    length != text->len - (size_t)(head_end + 4 - text->str))
		abort();
}

/* A message of REPLY_MAX_BYTES of head and as many of body, in buffers that double, and its list of
 * headers. */
#define REPLY_MEMORY_MAX_BYTES (8 * REPLY_MAX_BYTES)

/* The first byte says how long the reads are. */
static void fuzz_replies(const uint8_t *data, size_t bytes)
{
	http_message_t *message = reply_message_new();
	size_t step = bytes ? (size_t)data[0] + 1 : 1, at = 1;

	while (at < bytes) {
		size_t taken =
			http_message_parse(message, (const char *)data + at, MIN(step, bytes - at));
		bool foreign;
		sub_reply_t *reply;

		at += taken;
		if (http_message_memory(message) > REPLY_MEMORY_MAX_BYTES)
			abort();
		if (http_message_state(message) == HTTP_MESSAGE_INCOMPLETE)
			continue;
		if (http_message_state(message) != HTTP_MESSAGE_COMPLETE)
			break;
		reply = headers_read_reply(message, REQUEST_ID, &foreign);
		if (reply->outcome == SUB_ANSWERED || reply->outcome == SUB_FAILED)
			check_answer(reply);
		sub_reply_free(reply);
		http_message_reset(message);
	}
	http_message_free(message);
}

/* The first half of the bytes, then the second half without end: the reply must be refused or
 * complete before it has more bytes than its limits allow. */
static void fuzz_endless(const uint8_t *data, size_t bytes)
{
	http_message_t *message = reply_message_new();
	size_t start = bytes / 2, rest = bytes - start, total;

	total = http_message_parse(message, (const char *)data, start);
	while (rest && http_message_state(message) == HTTP_MESSAGE_INCOMPLETE) {
		total += http_message_parse(message, (const char *)data + start, rest);
		if (http_message_memory(message) > REPLY_MEMORY_MAX_BYTES ||
		    total > 16 * REPLY_MAX_BYTES + bytes)
			abort();
	}
	http_message_free(message);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes)
{
	static const struct {
		const char *name;
		void (*run)(const uint8_t *data, size_t bytes);
	} targets[] = {{"reply", fuzz_reply},	 {"health", fuzz_health}, {"search", fuzz_search},
		       {"config", fuzz_config},	 {"frame", fuzz_frame},	  {"page", fuzz_page},
		       {"feed", fuzz_feed},	 {"hop", fuzz_hop},	  {"replies", fuzz_replies},
		       {"endless", fuzz_endless}};
	const char *wanted = getenv("FUZZ_TARGET");

	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++)
		if (wanted && g_str_equal(wanted, targets[i].name))
			targets[i].run(data, bytes);
	return 0;
}
