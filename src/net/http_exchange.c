/**
 * @file http_exchange.c
 * Access to the fields of a request, and the headers of its reply. See http_server.h.
 */
#include "net/http_exchange_private.h"

#include <string.h>

http_exchange_t *http_exchange_ref(http_exchange_t *exchange)
{
	exchange->refs++;
	return exchange;
}

void http_exchange_unref(http_exchange_t *exchange)
{
	if (--exchange->refs)
		return;
	g_free(exchange->path);
	if (exchange->params)
		g_hash_table_unref(exchange->params);
	if (exchange->joined_values)
		g_ptr_array_unref(exchange->joined_values);
	if (exchange->reply_headers)
		g_string_free(exchange->reply_headers, TRUE);
	http_message_free(exchange->message);
	http_memory_release(&exchange->share);
	g_free(exchange);
}

const http_message_t *http_exchange_message(const http_exchange_t *exchange)
{
	return exchange->message;
}

const char *http_exchange_method(const http_exchange_t *exchange)
{
	return http_message_method(exchange->message);
}

static size_t path_bytes(const char *target)
{
	return strcspn(target, "?#");
}

const char *http_exchange_path(http_exchange_t *exchange)
{
	const char *target = http_message_target(exchange->message);

	if (exchange->path)
		return exchange->path;
	exchange->path = g_uri_unescape_segment(target, target + path_bytes(target), NULL);
	if (!exchange->path) /* a NUL or an invalid escape: matches no path of the server */
		exchange->path = g_strdup("");
	return exchange->path;
}

const char *http_exchange_header(http_exchange_t *exchange, const char *name)
{
	GString *values;

	if (http_message_header_occurrences(exchange->message, name) < 2)
		return http_message_header(exchange->message, name);
	values = g_string_new(NULL);
	for (size_t i = 0; i < http_message_header_count(exchange->message); i++) {
		http_header_t header = http_message_header_at(exchange->message, i);

		if (g_ascii_strcasecmp(header.name, name))
			continue;
		g_string_append_printf(values, "%s%s", values->len ? "," : "", header.value);
	}
	if (!exchange->joined_values)
		exchange->joined_values = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(exchange->joined_values, g_string_free(values, FALSE));
	return g_ptr_array_index(exchange->joined_values, exchange->joined_values->len - 1);
}

const char *http_exchange_param(http_exchange_t *exchange, const char *name)
{
	const char *target = http_message_target(exchange->message);
	const char *query = target + path_bytes(target);

	if (!exchange->params)
		exchange->params = g_uri_parse_params(*query == '?' ? query + 1 : "", -1, "&",
						      G_URI_PARAMS_WWW_FORM, NULL);
	if (!exchange->params) /* an invalid escape: no parameters */
		exchange->params = g_hash_table_new(g_str_hash, g_str_equal);
	return g_hash_table_lookup(exchange->params, name);
}

uint64_t http_exchange_connection(const http_exchange_t *exchange)
{
	return exchange->serial;
}

const GString *http_exchange_body(const http_exchange_t *exchange)
{
	return http_message_body(exchange->message);
}

uint64_t http_exchange_start_us(const http_exchange_t *exchange)
{
	return exchange->start_us;
}

void http_exchange_set_data(http_exchange_t *exchange, void *data)
{
	exchange->data = data;
}

void *http_exchange_data(const http_exchange_t *exchange)
{
	return exchange->data;
}

void http_exchange_add_header(http_exchange_t *exchange, const char *name, const char *value)
{
	if (!exchange->reply_headers)
		exchange->reply_headers = g_string_new(NULL);
	g_string_append_printf(exchange->reply_headers, "%s: %s\r\n", name, value);
}

void http_exchange_add_header_lines(http_exchange_t *exchange, const char *lines)
{
	if (!exchange->reply_headers)
		exchange->reply_headers = g_string_new(NULL);
	g_string_append(exchange->reply_headers, lines);
}
