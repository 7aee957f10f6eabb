/**
 * @file platform_test.c
 * The conversion of the platform's store objects and HTTP headers.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "core/json_salvage.h"
#include "headers.h"
#include "store.h"

#include <string.h>

static http_message_t *message_of(http_message_kind_t kind, const char *text)
{
	const http_message_limits_t limits = {.head_bytes = 16384, .body_bytes = 16384};
	http_message_t *message = http_message_new(kind, limits);

	http_message_parse(message, text, strlen(text));
	assert_int_equal(http_message_state(message), HTTP_MESSAGE_COMPLETE);
	return message;
}

/* All headers are forwarded unchanged, except hop-by-hop headers, the API key and the headers that
 * are replaced. */
static void test_request_head(void **state)
{
	http_message_t *message =
		message_of(HTTP_MESSAGE_REQUEST,
			   "GET /a/?q=1 HTTP/1.1\r\nHost: h\r\nX-Own: 1\r\nX-Own: 2\r\n"
			   "Connection: keep-alive, x-hop\r\nX-Hop: 3\r\nTE: trailers\r\n"
			   "Dogwoodsaddle-Request-Id: id\r\n"
			   "Dogwoodsaddle-Request-Deadline: 800\r\n"
			   "Dogwoodsaddle-Credential: secret\r\n"
			   "dogwoodsaddle-tenant: forged\r\n"
			   "Dogwoodsaddle-Expected-Instance: other\r\n\r\n");
	const searcher_t searcher = {.id = "i-1"};
	const tenant_t tenant = {.name = "t1"};
	caller_headers_t headers;
	GString *head = g_string_new(NULL);

	(void)state;
	headers_read_caller(message, &headers);
	assert_string_equal(headers.id, "id");
	assert_string_equal(headers.host, "h");
	assert_int_equal(headers.patience_us, 800000);
	assert_string_equal(headers.key, "secret");
	headers_write_common(head, message);
	headers_write_subrequest(head, &searcher, &tenant, 750900);
	assert_string_equal(head->str, "GET /a/?q=1 HTTP/1.1\r\nHost: h\r\nX-Own: 1\r\nX-Own: 2\r\n"
				       "Dogwoodsaddle-Request-Id: id\r\n"
				       "Dogwoodsaddle-Tenant: t1\r\n"
				       "Dogwoodsaddle-Request-Deadline: 750\r\n"
				       "Dogwoodsaddle-Expected-Instance: i-1\r\n\r\n");
	g_string_free(head, TRUE);
	http_message_free(message);
}

/* Two keys in one request: which of them another program would have used can't be known. */
static void test_key_named_twice(void **state)
{
	http_message_t *message =
		message_of(HTTP_MESSAGE_REQUEST, "GET / HTTP/1.1\r\nHost: h\r\n"
						 "Dogwoodsaddle-Credential: one\r\n"
						 "dogwoodsaddle-credential: two\r\n\r\n");
	GString *head = g_string_new(NULL);
	caller_headers_t headers;

	(void)state;
	headers_read_caller(message, &headers);
	assert_null(headers.key);
	headers_write_common(head, message);
	assert_string_equal(head->str, "GET / HTTP/1.1\r\nHost: h\r\n");
	g_string_free(head, TRUE);
	http_message_free(message);
}

typedef struct reply_case_t {
	const char *what;
	const char *text;
	sub_outcome_t outcome;
	bool foreign;
} reply_case_t;

#define SIGNED "Dogwoodsaddle-Response-Signature: s\r\n"

typedef struct load_case_t {
	const char *text;
	bool reported;
	reported_load_t load;
} load_case_t;

static const load_case_t loads[] = {
	{"3,0,8", true, {3, 0, 8, 0}},
	{"3,1", true, {3, 1, 0, 0}},
	{"4, 2,4 ,130", true, {4, 2, 4, 130}},
	{"0,0,4,100,9", true, {0, 0, 4, 100}},
	{"", false},
	{"3", false},
	{"3,", false},
	{"3,x,4", false},
	{"-1,0,4", false},
	{"1,0,0", false},
	{"1.5,0,4", false},
	{"1,0,99999999999999999999", false},
};

/* The load that a searcher reports is a hint: a malformed one does not affect the reply. */
static void test_loads(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
		g_autofree char *text = g_strdup_printf("HTTP/1.1 200 OK\r\n"
							"Dogwoodsaddle-Response-Signature: s\r\n"
							"Dogwoodsaddle-Server-Load: %s\r\n"
							"Content-Length: 0\r\n\r\n",
							loads[i].text);
		http_message_t *message = message_of(HTTP_MESSAGE_REPLY, text);
		bool foreign = false;
		sub_reply_t *reply = headers_read_reply(message, "id", &foreign);

		assert_int_equal(reply->outcome, SUB_ANSWERED);
		assert_int_equal(reply->load_reported, loads[i].reported);
		assert_int_equal(reply->load_malformed, !loads[i].reported);
		assert_memory_equal(&reply->load, &loads[i].load, sizeof(reported_load_t));
		sub_reply_free(reply);
		http_message_free(message);
	}
}

static const reply_case_t replies[] = {
	{"success", "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 0\r\n\r\n", SUB_ANSWERED},
	{"no signature", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", SUB_UNKNOWN},
	{"encoded",
	 "HTTP/1.1 200 OK\r\n" SIGNED "Content-Encoding: gzip\r\nContent-Length: 0\r\n\r\n",
	 SUB_UNKNOWN},
	{"the searcher's own failure", "HTTP/1.1 500 No\r\n" SIGNED "Content-Length: 0\r\n\r\n",
	 SUB_FAILED},
	{"refused", "HTTP/1.1 503 No\r\nDogwoodsaddle-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	 SUB_NOT_RUN},
	{"503 without Not-Executed", "HTTP/1.1 503 No\r\n" SIGNED "Content-Length: 0\r\n\r\n",
	 SUB_UNKNOWN},
	{"another searcher", "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n", SUB_REPLACED},
	{"echoed id",
	 "HTTP/1.1 200 OK\r\n" SIGNED "Dogwoodsaddle-Request-Id: id\r\nContent-Length: 0\r\n\r\n",
	 SUB_ANSWERED},
	{"reply to another request",
	 "HTTP/1.1 200 OK\r\n" SIGNED "Dogwoodsaddle-Request-Id: old\r\nContent-Length: 0\r\n\r\n",
	 SUB_UNKNOWN, true},
};

static void test_replies(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(replies); i++) {
		http_message_t *message = message_of(HTTP_MESSAGE_REPLY, replies[i].text);
		bool foreign;
		sub_reply_t *reply = headers_read_reply(message, "id", &foreign);

		if (reply->outcome != replies[i].outcome || foreign != replies[i].foreign)
			fail_msg("%s: %s", replies[i].what, sub_outcome_name(reply->outcome));
		sub_reply_free(reply);
		http_message_free(message);
	}
}

/* A late copy of a reply to another request was taken for the reply to a request without an id. */
static void test_reply_with_id_to_request_without(void **state)
{
	http_message_t *message = message_of(HTTP_MESSAGE_REPLY, "HTTP/1.1 200 OK\r\n" SIGNED
								 "Dogwoodsaddle-Request-Id: id\r\n"
								 "Content-Length: 0\r\n\r\n");
	bool foreign = false;
	sub_reply_t *reply = headers_read_reply(message, NULL, &foreign);

	(void)state;
	assert_true(foreign);
	assert_int_equal(reply->outcome, SUB_UNKNOWN);
	sub_reply_free(reply);
	http_message_free(message);
}

static const char configuration[] =
	"{\"version\":7,\"routes\":["
	"{\"name\":\"g\",\"host\":\"h.example\",\"path-prefix\":\"/a/b/"
	"\",\"route-type\":\"idempotent\","
	"\"timeout-ms\":600,\"target-latency-ms\":100,\"priority\":2,\"max-attempts\":2,\"top-k\":"
	"5,"
	"\"min-coverage\":0.75,\"fanout-services\":[\"s1\",\"s2\"],\"allowed-regions\":[]},"
	"{\"name\":\"o\",\"host\":\"h.example\",\"path-prefix\":\"/a/"
	"\",\"route-type\":\"non_idempotent\","
	"\"split\":[{\"service\":\"s1\",\"weight\":3},{\"service\":\"s2\",\"weight\":1}],"
	"\"allowed-regions\":[\"south\",\"east\",\"south\"]}],"
	"\"services\":[{\"name\":\"s1\",\"max-connections\":25,\"cold-start-s\":3.5,"
	"\"cold-per-s\":0.5}],"
	"\"limits\":{\"max-header-bytes\":100,\"max-body-bytes\":200,\"header-timeout-ms\":3,"
	"\"idle-timeout-ms\":4}}";

static void test_routing(void **state)
{
	json_t *json = json_loads(configuration, 0, NULL);
	err_t err = {0};
	routing_t *routing = store_read_routing(json, &err);
	const route_t *route;

	(void)state;
	assert_non_null(routing);
	assert_int_equal(routing->version, 7);
	assert_int_equal(routing->limits.idle_us, 4000);
	assert_int_equal(routing_service_limits(routing, "s1").connections, 25);
	assert_int_equal(routing_service_limits(routing, "s1").cold_us, 3500000);
	assert_true(routing_service_limits(routing, "s1").cold_per_s == 0.5);
	assert_int_equal(routing_service_limits(routing, "s2").connections, 0);
	route = routing_match(routing, "H.example:80", "/a/b/c?x=/a/");
	assert_string_equal(route->name, "g");
	assert_true(route->gathers && route->idempotent);
	assert_true(route_allows(route, "west") && route_allows(route, NULL));
	assert_int_equal(route->rank, 2);
	assert_int_equal(route->target_us, 100000);
	route = routing_match(routing, "h.example", "/a/c");
	assert_string_equal(route->name, "o");
	assert_false(route->gathers || route->idempotent);
	assert_true(g_array_index(route->targets, route_target_t, 0).weight == 3);
	assert_int_equal(route->regions->len, 2);
	assert_true(route_allows(route, "south") && route_allows(route, "east"));
	assert_false(route_allows(route, "west") || route_allows(route, NULL));
	assert_null(routing_match(routing, "h.example", "/b/"));
	assert_null(routing_match(routing, "h.example", "/a"));
	assert_null(routing_match(routing, "else", "/a/"));
	routing_unref(routing);
	json_decref(json);
}

#define TENANTS(list) "{\"version\":1,\"routes\":[],\"tenants\":" list "}"

static void test_tenants(void **state)
{
	json_t *json = json_loads(TENANTS("[{\"name\":\"t1\",\"api-keys\":[\"k1\",\"k2\"],"
					  "\"priority\":3,\"rate-per-s\":4.5,\"burst\":6,"
					  "\"allowed-regions\":[\"south\"]},"
					  "{\"name\":\"t2\",\"api-keys\":[]}]"),
				  0, NULL);
	const route_t open = {.is_public = true}, closed = {0};
	const tenant_t *tenant;
	err_t err = {0};
	routing_t *routing = store_read_routing(json, &err);

	(void)state;
	assert_non_null(routing);
	assert_true(routing_authorize(routing, &closed, "k2", &tenant));
	assert_string_equal(tenant->name, "t1");
	assert_true(tenant->has_rank && tenant->rank == 3);
	assert_true(tenant->rate_per_s == 4.5 && tenant->burst == 6);
	assert_true(tenant_allows(tenant, "south"));
	assert_false(tenant_allows(tenant, "west") || tenant_allows(tenant, NULL));
	assert_true(routing_authorize(routing, &open, "k1", &tenant) && tenant);
	assert_true(routing_authorize(routing, &open, NULL, &tenant) && !tenant);
	assert_true(routing_authorize(routing, &open, "k3", &tenant) && !tenant);
	assert_false(routing_authorize(routing, &closed, "k3", &tenant));
	assert_false(routing_authorize(routing, &closed, "k", &tenant));
	assert_false(routing_authorize(routing, &closed, "", &tenant));
	assert_false(routing_authorize(routing, &closed, NULL, &tenant));
	tenant = tenants_find(routing->tenants, "t2");
	assert_true(tenant && !tenant->has_rank && tenant->rate_per_s == 0);
	assert_true(tenant_allows(tenant, "west"));
	routing_unref(routing);
	json_decref(json);
}

/* Without tenants in the configuration no request needs a key, and none has a tenant. */
static void test_no_tenants(void **state)
{
	json_t *json = json_loads("{\"version\":1,\"routes\":[]}", 0, NULL);
	const route_t route = {0};
	const tenant_t *tenant;
	err_t err = {0};
	routing_t *routing = store_read_routing(json, &err);

	(void)state;
	assert_true(routing_authorize(routing, &route, "k", &tenant));
	assert_null(tenant);
	routing_unref(routing);
	json_decref(json);
}

/* The error names the tenant, so that an operator finds it among thousands; it holds no key. */
static void test_invalid_tenants(void **state)
{
	static const struct {
		const char *text, *error;
	} cases[] = {
		{TENANTS("{}"), "tenants is no list"},
		{TENANTS("[{\"api-keys\":[\"k\"]}]"), "a tenant has no name"},
		{TENANTS("[{\"name\":\"a b\"}]"), "a tenant has no name"},
		{TENANTS("[{\"name\":\"t\"},{\"name\":\"t\"}]"), "tenant t is named twice"},
		{TENANTS("[{\"name\":\"t\",\"api-keys\":\"k\"}]"), "tenant t: api-keys"},
		{TENANTS("[{\"name\":\"t\",\"api-keys\":[\"secret\",7]}]"),
		 "tenant t: API key 2 is no text"},
		{TENANTS("[{\"name\":\"a\",\"api-keys\":[\"secret\"]},"
			 "{\"name\":\"t\",\"api-keys\":[\"secret\"]}]"),
		 "tenant t: API key 1 is held already"},
		{TENANTS("[{\"name\":\"t\",\"rate-per-s\":-1}]"), "tenant t: rate-per-s"},
		{TENANTS("[{\"name\":\"t\",\"burst\":\"9\"}]"), "tenant t: burst"},
		{TENANTS("[{\"name\":\"t\",\"priority\":-1}]"), "tenant t: priority"},
		{TENANTS("[{\"name\":\"t\",\"allowed-regions\":[7]}]"), "tenant t: allowed region"},
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		json_t *json = json_loads(cases[i].text, 0, NULL);
		err_t err = {0};

		assert_non_null(json);
		assert_null(store_read_routing(json, &err));
		if (!strstr(err.text, cases[i].error) || strstr(err.text, "secret"))
			fail_msg("%s: %s", cases[i].text, err.text);
		json_decref(json);
	}
}

#define ROUTE_IN(regions)                                                                          \
	"{\"version\":1,\"routes\":[{\"name\":\"n\",\"host\":\"h\",\"path-prefix\":\"/\","         \
	"\"service\":\"s\",\"allowed-regions\":" regions "}]}"

/* An error reply without an era may come from another program than the store. A success without an
 * era means that the store was never restored from an older copy. */
static void test_eras(void **state)
{
	err_t err = {0};
	uint64_t era = 9;

	(void)state;
	assert_true(store_read_era("12", 503, &era, &err));
	assert_int_equal(era, 12);
	assert_true(store_read_era(NULL, 200, &era, &err));
	assert_int_equal(era, 0);
	assert_false(store_read_era(NULL, 503, &era, &err));
	assert_false(*err.text);
	assert_false(store_read_era("twelve", 200, &era, &err));
	assert_non_null(strstr(err.text, "twelve"));
	assert_int_equal(era, 0);
}

/* A region without any data centre still restricts its route: no VM serves it, and the operator is
 * warned. */
static void test_regions_without_data_centre(void **state)
{
	json_t *json = json_loads(configuration, 0, NULL);
	GHashTable *regions = g_hash_table_new(g_str_hash, g_str_equal);
	const route_t *route = NULL;
	const char *region = NULL;
	err_t err = {0};
	routing_t *routing = store_read_routing(json, &err);

	(void)state;
	g_hash_table_insert(regions, "hall", "south");
	assert_int_equal(routing_unknown_regions(routing, regions, &route, &region), 1);
	assert_string_equal(route->name, "o");
	assert_string_equal(region, "east");
	g_hash_table_insert(regions, "other", "east");
	assert_int_equal(routing_unknown_regions(routing, regions, &route, &region), 0);
	g_hash_table_unref(regions);
	routing_unref(routing);
	json_decref(json);
}

static void test_invalid_routing(void **state)
{
	static const char *const texts[] = {
		"{}",
		"{\"version\":1,\"routes\":[{}]}",
		"{\"version\":1,\"routes\":[{\"name\":\"n\",\"host\":\"h\",\"path-prefix\":\"/"
		"\"}]}",
		"{\"version\":1,\"routes\":[{\"name\":\"n\",\"host\":\"h\",\"path-prefix\":\"/\","
		"\"fanout-services\":[1]}]}",
		"{\"version\":-1,\"routes\":[]}",
		"{\"version\":1.5,\"routes\":[]}",
		ROUTE_IN("\"south\""),
		ROUTE_IN("[7]"),
		ROUTE_IN("[\"\"]"),
		"{\"version\":1,\"routes\":[],\"limits\":{\"max-body-bytes\":-1}}",
		"{\"version\":1,\"routes\":[],\"limits\":{\"idle-timeout-ms\":\"4\"}}",
		"{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"s\","
		"\"max-connections\":1e300}]}",
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		json_t *json = json_loads(texts[i], 0, NULL);
		err_t err = {0};

		assert_null(store_read_routing(json, &err));
		assert_true(*err.text);
		json_decref(json);
	}
}

#define ENTRY                                                                                      \
	"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"version\":\"v1\","        \
	"\"slots\":2,\"state\":\"draining\",\"cold-remaining-ms\":5,\"seq\":4,\"born\":1700}"

static void test_searcher(void **state)
{
	json_t *json = json_loads(ENTRY, 0, NULL);
	const store_object_t object = {.name = "i-1", .content = json};
	searcher_entry_t entry;
	err_t err = {0};

	(void)state;
	assert_true(store_read_searcher(&object, &entry, &err));
	assert_string_equal(entry.address, "10.0.0.1");
	assert_int_equal(entry.port, 80);
	assert_string_equal(entry.data_centre, "z");
	assert_true(entry.draining);
	assert_int_equal(entry.cold_us, 5000);
	assert_int_equal(entry.born_ms, 1700);
	searcher_entry_clear(&entry);
	json_object_del(json, "born");
	assert_true(store_read_searcher(&object, &entry, &err));
	assert_int_equal(entry.born_ms, 0);
	searcher_entry_clear(&entry);
	json_decref(json);
}

/* Invalid entries that another program wrote into the list of searchers. If such an entry were
 * accepted, its searcher would get requests: at an invalid address, with an id that splits a
 * header, or as ready although its state is another. Each row changes one field of a valid entry;
 * null removes the field. */
static const struct {
	const char *field;
	const char *value;
} invalid_fields[] = {
	{"service", "null"},
	{"service", "7"},
	{"service", "{}"},
	{"address", "null"},
	{"address", "\"nowhere\""},
	{"address", "\"10.0.0.1\""},
	{"address", "[]"},
	{"address", "\"10.0.0.1:0\""},
	{"address", "\"10.0.0.1:65536\""},
	{"address", "\"10.0.0.1:8 \""},
	{"address", "\"10.0.0.256:80\""},
	{"address", "\":80\""},
	{"zone", "null"},
	{"zone", "false"},
	{"version", "null"},
	{"version", "3"},
	{"slots", "null"},
	{"slots", "0"},
	{"slots", "-1"},
	{"slots", "2.5"},
	{"slots", "\"2\""},
	{"slots", "99999999999"},
	{"state", "null"},
	{"state", "\"gone\""},
	{"state", "1"},
	{"cold-remaining-ms", "null"},
	{"cold-remaining-ms", "-1"},
	{"cold-remaining-ms", "1e300"},
	{"cold-remaining-ms", "\"5\""},
	{"seq", "null"},
	{"seq", "-1"},
	{"seq", "\"4\""},
	{"born", "-5"},
	{"born", "1700.5"},
	{"born", "\"1700\""},
	{"born", "[]"},
};

static void test_invalid_searcher_entries(void **state)
{
	static const char *const ids[] = {"", "a b", "a\r\nX: 1", "\303\244", "a\tb"};
	searcher_entry_t entry;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(invalid_fields); i++) {
		json_t *json = json_loads(ENTRY, 0, NULL);
		json_t *value = json_loads(invalid_fields[i].value, JSON_DECODE_ANY, NULL);
		const store_object_t object = {.name = "i-1", .content = json};
		err_t err = {0};

		if (json_is_null(value))
			json_object_del(json, invalid_fields[i].field);
		else
			json_object_set(json, invalid_fields[i].field, value);
		if (store_read_searcher(&object, &entry, &err))
			fail_msg("taken: %s %s", invalid_fields[i].field, invalid_fields[i].value);
		assert_true(*err.text);
		json_decref(value);
		json_decref(json);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
		json_t *json = json_loads(ENTRY, 0, NULL);
		const store_object_t object = {.name = ids[i], .content = json};
		err_t err = {0};

		assert_false(store_read_searcher(&object, &entry, &err));
		json_decref(json);
	}
}

/* A page with one damaged entry is still read, and so is the name of that entry: VMs that used its
 * searcher must learn that the name has no valid entry any more. */
static void test_damaged_pages(void **state)
{
	static const char *const damages[] = {
		"{\"service\":\"\377\376\"}",
		"{\"service\":\"\\u0000\"}",
		"{\"service\":nul}",
		"\"\\ud800\"",
		"99999999999999999999999",
		"{\"a\":1,}",
		"[1,,2]",
		"1e999",
		"{\"a\" 1}",
		"[[[[[[[[[[[[[[[[[[[[[[[[x]]]]]]]]]]]]]]]]]]]]]]]]",
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(damages); i++) {
		g_autofree char *text = g_strdup_printf(
			"{\"items\":[{\"meta\":{\"name\":\"a\"},\"spec\":%s},"
			"{\"meta\":{\"name\":\"b\"},\"spec\":" ENTRY "}],\"as-of\":5}",
			damages[i]);
		uint32_t damaged = 0;
		json_t *json = json_salvage(text, strlen(text), &damaged);
		store_page_t page = {0};
		searcher_entry_t entry;
		err_t err = {0};

		assert_true(damaged > 0);
		assert_true(store_read_page(json, &page));
		assert_int_equal(page.objects->len, 2);
		assert_string_equal(g_array_index(page.objects, store_object_t, 0).name, "a");
		assert_false(store_read_searcher(&g_array_index(page.objects, store_object_t, 0),
						 &entry, &err));
		assert_true(store_read_searcher(&g_array_index(page.objects, store_object_t, 1),
						&entry, &err));
		searcher_entry_clear(&entry);
		store_page_clear(&page);
		json_decref(json);
	}
}

static void test_salvage(void **state)
{
	static const char *const lost[] = {"", " ", "{", "{\"a\"", "[1", "{\"a\":\"", "x"};
	uint32_t damaged = 0;
	json_t *json = json_salvage("{\"a\":[1,x,3],\"b\":true}", 23, &damaged);
	g_autofree char *text = json_dumps(json, JSON_COMPACT);

	(void)state;
	assert_string_equal(text, "{\"a\":[1,null,3],\"b\":true}");
	assert_int_equal(damaged, 1);
	json_decref(json);
	for (size_t i = 0; i < G_N_ELEMENTS(lost); i++)
		assert_null(json_salvage(lost[i], strlen(lost[i]), &damaged));
}

static void test_pages(void **state)
{
	json_t *list = json_loads("{\"items\":[{\"meta\":{\"name\":\"a\"},\"spec\":{\"x\":1}},{}],"
				  "\"more\":true,\"as-of\":5}",
				  0, NULL);
	json_t *events = json_loads("{\"events\":[{\"deleted\":true,\"object\":{\"meta\":"
				    "{\"name\":\"b\"},\"spec\":null}}],\"as-of\":6}",
				    0, NULL);
	json_t *none = json_loads("{\"error\":\"no\"}", 0, NULL);
	store_page_t page = {0};

	(void)state;
	assert_true(store_read_page(list, &page));
	assert_int_equal(page.objects->len, 1);
	assert_true(page.more);
	assert_int_equal(page.as_of, 5);
	store_page_clear(&page);
	assert_true(store_read_page(events, &page));
	assert_true(g_array_index(page.objects, store_object_t, 0).removed);
	assert_false(page.more);
	store_page_clear(&page);
	assert_false(store_read_page(none, &page));
	json_decref(list);
	json_decref(events);
	json_decref(none);
}

/* A VM's object is read as it was written. */
static void test_vm(void **state)
{
	const vm_t vm = {.name = "vm-1",
			 .data_centre = "z",
			 .address = "10.0.0.1",
			 .feed_port = 7741,
			 .gather_port = 7742,
			 .link_mbps = 14,
			 .processor_milli = 120};
	g_autofree char *text = store_write_vm(&vm);
	json_t *json = json_loads(text, 0, NULL);
	const store_object_t object = {.name = "vm-1", .content = json_object_get(json, "spec")};
	err_t err = {0};
	vm_t *read = store_read_vm(&object, &err);

	(void)state;
	assert_string_equal(read->name, "vm-1");
	assert_string_equal(read->data_centre, "z");
	assert_string_equal(read->address, "10.0.0.1");
	assert_int_equal(read->feed_port, 7741);
	assert_int_equal(read->gather_port, 7742);
	assert_int_equal(read->link_mbps, 14);
	assert_int_equal(read->processor_milli, 120);
	vm_free(read);
	json_decref(json);
}

static bool read_poison(const char *name, const char *content, poison_update_t *update)
{
	json_t *json = json_loads(content, 0, NULL);
	const store_object_t object = {.name = name, .content = json};
	err_t err = {0};
	bool read = store_read_poison(&object, update, &err);

	json_decref(json);
	return read;
}

static void test_poison(void **state)
{
	const poison_update_t published = {.fingerprint = 0xabc,
					   .strikes = 2,
					   .renewals = 3,
					   .trials = 5,
					   .ran = 4,
					   .service = "s-1"};
	g_autofree char *text = store_write_poison(&published);
	json_t *json = json_loads(text, 0, NULL);
	const json_t *meta = json_object_get(json, "meta");
	const store_object_t object = {.name = json_string_value(json_object_get(meta, "name")),
				       .content = json_object_get(json, "spec")};
	const store_object_t removed = {.name = "0000000000000abc", .removed = true};
	poison_update_t update;
	err_t err = {0};

	(void)state;
	assert_true(store_read_poison(&object, &update, &err));
	assert_true(update.fingerprint == 0xabc);
	assert_int_equal(update.strikes, 2);
	assert_int_equal(update.renewals, 3);
	assert_int_equal(update.trials, 5);
	assert_int_equal(update.ran, 4);
	assert_string_equal(update.service, "s-1");
	assert_true(store_read_poison(&removed, &update, &err));
	assert_true(update.fingerprint == 0xabc);
	json_decref(json);
}

/* Each claim is an object of its own, which the store creates only once. */
static void test_claim(void **state)
{
	g_autofree char *create = store_claim_target(0xabc, 0);
	g_autofree char *removal = store_claim_target(0xabc, 2);
	g_autofree char *text = store_write_claim(0xabc, 2, "vm-1");
	json_t *json = json_loads(text, 0, NULL);
	const json_t *meta = json_object_get(json, "meta");
	const char *name = json_string_value(json_object_get(meta, "name"));
	g_autofree char *own = g_strdup_printf("%s/%s", create, name);

	(void)state;
	assert_string_equal(own, removal);
	assert_string_equal(name, "0000000000000abc-2");
	json_decref(json);
}

/* Invalid poison entries that another program wrote do not block any request. */
static void test_invalid_poison_entries(void **state)
{
	static const char *const contents[] = {
		"{}",
		"{\"strikes\":2}",
		"{\"strikes\":2,\"renewals\":0}",
		"{\"strikes\":0,\"renewals\":0,\"service\":\"s\"}",
		"{\"strikes\":-1,\"renewals\":0,\"service\":\"s\"}",
		"{\"strikes\":\"2\",\"renewals\":0,\"service\":\"s\"}",
		"{\"strikes\":2,\"renewals\":0,\"service\":7}",
		"{\"strikes\":2,\"renewals\":0,\"trials\":-1,\"service\":\"s\"}",
		"{\"strikes\":9000000000,\"renewals\":0,\"service\":\"s\"}",
	};
	const char *valid = "{\"strikes\":2,\"renewals\":0,\"service\":\"s\"}";
	poison_update_t update;

	(void)state;
	assert_true(read_poison("0000000000000abc", valid, &update));
	assert_int_equal(update.trials, 0); /* daemons of an earlier version do not write trials */
	assert_false(read_poison("abc", valid, &update));
	assert_false(read_poison("0000000000000000", valid, &update));
	for (size_t i = 0; i < G_N_ELEMENTS(contents); i++)
		assert_false(read_poison("0000000000000abc", contents[i], &update));
}

/* A daemon of an earlier version does not publish its processor, and gathers for no other VM. */
static void test_earlier_vm(void **state)
{
	json_t *json = json_pack("{s:s,s:s,s:i,s:i}", "data_centre", "z", "ip", "10.0.0.1",
				 "feed_port", 7741, "link_mbps", 14);
	const store_object_t object = {.name = "vm-1", .content = json};
	err_t err = {0};
	vm_t *read = store_read_vm(&object, &err);

	(void)state;
	assert_non_null(read);
	assert_int_equal(read->gather_port, 0);
	assert_int_equal(read->processor_milli, 0);
	vm_free(read);
	json_decref(json);
}

static void test_targets(void **state)
{
	g_autofree char *list = store_list_target(STORE_SEARCHERS, NULL);
	g_autofree char *next = store_list_target(STORE_SEARCHERS, "a/b");
	g_autofree char *stale = store_stale_list_target(STORE_VMS, NULL);
	g_autofree char *stale_next = store_stale_list_target(STORE_VMS, "vm-1");
	g_autofree char *watch = store_watch_target(STORE_CONFIGURATION, 5, 100);
	g_autofree char *one = store_stale_object_target(STORE_VMS, "vm/1");

	(void)state;
	assert_string_equal(one, "/objects/entry-vms/vm%2F1?stale-ok=1");
	assert_string_equal(list, "/objects/servers");
	assert_string_equal(next, "/objects/servers?after=a%2Fb");
	assert_string_equal(stale, "/objects/entry-vms?stale-ok=1");
	assert_string_equal(stale_next, "/objects/entry-vms?after=vm-1&stale-ok=1");
	assert_string_equal(watch, "/objects/config?watch=5&wait-ms=100");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_request_head),
		cmocka_unit_test(test_key_named_twice),
		cmocka_unit_test(test_tenants),
		cmocka_unit_test(test_no_tenants),
		cmocka_unit_test(test_invalid_tenants),
		cmocka_unit_test(test_replies),
		cmocka_unit_test(test_reply_with_id_to_request_without),
		cmocka_unit_test(test_loads),
		cmocka_unit_test(test_routing),
		cmocka_unit_test(test_regions_without_data_centre),
		cmocka_unit_test(test_eras),
		cmocka_unit_test(test_invalid_routing),
		cmocka_unit_test(test_searcher),
		cmocka_unit_test(test_pages),
		cmocka_unit_test(test_vm),
		cmocka_unit_test(test_earlier_vm),
		cmocka_unit_test(test_poison),
		cmocka_unit_test(test_claim),
		cmocka_unit_test(test_invalid_poison_entries),
		cmocka_unit_test(test_targets),
		cmocka_unit_test(test_invalid_searcher_entries),
		cmocka_unit_test(test_damaged_pages),
		cmocka_unit_test(test_salvage),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
