/**
 * @file fuzz.c
 * Bytes from outside, into each parser: searchers' replies and health pages, callers' searches and
 * keys, operators' configurations, peers' frames. FUZZ_TARGET picks one.
 */
#include "commands/action.h"
#include "commands/propose.h"
#include "core/frame.h"
#include "core/reply.h"
#include "queries/search.h"

#include <stdlib.h>
#include <string.h>

#define KEY "a-key-of-at-least-16"

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
	propose_t *propose = propose_parse(body, &err);

	if (propose)
		propose_free(propose);
}

/* As a peer with the key would send it: the code under test lies behind the authentication. */
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

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes)
{
	static const struct {
		const char *name;
		void (*run)(const uint8_t *data, size_t bytes);
	} targets[] = {{"reply", fuzz_reply},
		       {"health", fuzz_health},
		       {"search", fuzz_search},
		       {"config", fuzz_config},
		       {"frame", fuzz_frame}};
	const char *wanted = getenv("FUZZ_TARGET");

	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++)
		if (wanted && g_str_equal(wanted, targets[i].name))
			targets[i].run(data, bytes);
	return 0;
}
