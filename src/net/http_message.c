/**
 * @file http_message.c
 * See http_message.h. The headers of http-parser and libwebsockets conflict, so this file includes
 * only the former.
 */
#include "net/http_message.h"

#include <http_parser.h>
#include <string.h>

/* Offsets of a header's name and value in `text`, whose buffer moves as it grows. */
typedef struct header_offsets_t {
	uint32_t name;
	uint32_t value;
} header_offsets_t;

/* State of a scan over the head's bytes, which rejects faults that http-parser accepts. */
typedef struct head_scan_t {
	size_t bytes;
	size_t line_bytes; /* of the current line so far, without its line end */
	char previous;
	bool in_head;
	bool has_line;
} head_scan_t;

/* State of a scan over a chunked body. http-parser, as it is built here, accepts any two bytes as
 * the end of a chunk, so a parser further on would see other requests than this one. */
typedef enum chunk_state_t {
	CHUNK_SIZE,	 /* hexadecimal digits */
	CHUNK_EXTENSION, /* optional, after the size */
	CHUNK_SIZE_LF,
	CHUNK_DATA,
	CHUNK_DATA_CR,
	CHUNK_DATA_LF,
	CHUNK_TRAILER, /* lines after the last chunk; http-parser finds their end */
} chunk_state_t;

typedef struct chunk_scan_t {
	chunk_state_t state;
	uint64_t left; /* remaining bytes of the chunk */
	uint32_t digits;
} chunk_scan_t;

struct http_message_t {
	http_parser parser;
	http_message_kind_t kind;
	http_message_limits_t limits;
	http_message_state_t state;
	head_scan_t scan;
	chunk_scan_t chunks;
	bool is_chunked;
	size_t framing_bytes; /* of a chunked body: chunk sizes, extensions and trailers */
	GString *text;	      /* NUL-terminated strings: the target, then names and values */
	GArray *headers;      /* header_offsets_t; as many as the head's limit in bytes allows */
	bool in_value;
	bool has_head;
	bool no_body;
	GString *body;
};

bool http_status_has_body(int status)
{
	return status / 100 != 1 && status != 204 && status != 304;
}

static http_message_t *message_of(http_parser *parser)
{
	return parser->data;
}

static int add_target(http_parser *parser, const char *at, size_t length)
{
	g_string_append_len(message_of(parser)->text, at, (gssize)length);
	return 0;
}

/* Removes trailing spaces, which are not part of a value. */
static void end_value(http_message_t *message)
{
	GString *text = message->text;

	while (message->in_value && text->len && g_ascii_isspace(text->str[text->len - 1]))
		g_string_truncate(text, text->len - 1);
}

static header_offsets_t *header_at(const http_message_t *message, size_t index)
{
	return &g_array_index(message->headers, header_offsets_t, index);
}

static int add_name(http_parser *parser, const char *at, size_t length)
{
	http_message_t *message = message_of(parser);

	if (message->has_head) /* trailers are not headers: ignored */
		return 0;
	if (memchr(at, ' ', length) || memchr(at, '\t', length))
		return -1;
	if (message->in_value || message->headers->len == 0) {
		header_offsets_t header = {0};

		end_value(message);
		g_string_append_c(message->text, '\0');
		message->in_value = false;
		header.name = (uint32_t)message->text->len;
		g_array_append_val(message->headers, header);
	}
	g_string_append_len(message->text, at, (gssize)length);
	return 0;
}

static int add_value(http_parser *parser, const char *at, size_t length)
{
	http_message_t *message = message_of(parser);

	if (message->has_head)
		return 0;
	if (!message->in_value) {
		g_string_append_c(message->text, '\0');
		message->in_value = true;
		header_at(message, message->headers->len - 1)->value = (uint32_t)message->text->len;
	}
	g_string_append_len(message->text, at, (gssize)length);
	return 0;
}

/* http-parser reads a body by its length or in chunks whatever the status is. */
static bool has_valid_framing(const http_message_t *message)
{
	const http_parser *parser = &message->parser;
	const char *coding = http_message_header(message, "Transfer-Encoding");
	bool has_length = parser->content_length && parser->content_length != UINT64_MAX;

	if (message->kind == HTTP_MESSAGE_REQUEST)
		return true;
	/* No request asks for another protocol (101). */
	if (parser->status_code == 101 || (coding && g_ascii_strcasecmp(coding, "chunked")))
		return false;
	return http_status_has_body(parser->status_code) || parser->status_code == 304 ||
	       (!coding && !has_length);
}

static int end_head(http_parser *parser)
{
	http_message_t *message = message_of(parser);

	message->has_head = true;
	message->is_chunked = parser->flags & F_CHUNKED;
	end_value(message);
	if (parser->http_major != 1 || !has_valid_framing(message))
		return -1;
	/* Its length is that of the body which a 200 would have had. */
	if (message->kind == HTTP_MESSAGE_REPLY && parser->status_code == 304)
		message->no_body = true;
	/* A request to upgrade the protocol is ignored and served as an ordinary request. */
	parser->upgrade = 0;
	if (parser->content_length != UINT64_MAX &&
	    parser->content_length > message->limits.body_bytes) {
		message->state = HTTP_MESSAGE_BODY_TOO_LARGE;
		return -1;
	}
	return message->no_body ? 1 : 0;
}

static int add_body(http_parser *parser, const char *at, size_t length)
{
	http_message_t *message = message_of(parser);

	if (message->body->len + length > message->limits.body_bytes) {
		message->state = HTTP_MESSAGE_BODY_TOO_LARGE;
		return -1;
	}
	g_string_append_len(message->body, at, (gssize)length);
	return 0;
}

static int end_message(http_parser *parser)
{
	message_of(parser)->state = HTTP_MESSAGE_COMPLETE;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_url = add_target,
	.on_header_field = add_name,
	.on_header_value = add_value,
	.on_headers_complete = end_head,
	.on_body = add_body,
	.on_message_complete = end_message,
};

/* http-parser has one limit for all messages. It also holds for trailers and the line of a chunk's
 * size, which the limit on the head does not cover. */
static void allow_in_parser(size_t head_bytes)
{
	static size_t allowed_bytes = HTTP_MAX_HEADER_SIZE;

	if (head_bytes <= allowed_bytes)
		return;
	allowed_bytes = MIN(head_bytes, UINT32_MAX);
	http_parser_set_max_header_size((uint32_t)allowed_bytes);
}

/* Buffers that one long message has enlarged beyond this are not kept for the next one. */
#define KEPT_BUFFER_BYTES 16384
#define INITIAL_BUFFER_BYTES 512

void http_message_set_limits(http_message_t *message, http_message_limits_t limits)
{
	message->limits = limits;
	allow_in_parser(limits.head_bytes);
}

http_message_t *http_message_new(http_message_kind_t kind, http_message_limits_t limits)
{
	http_message_t *message = g_new0(http_message_t, 1);

	message->kind = kind;
	http_message_set_limits(message, limits);
	message->text = g_string_sized_new(INITIAL_BUFFER_BYTES);
	message->headers = g_array_new(FALSE, FALSE, sizeof(header_offsets_t));
	message->body = g_string_sized_new(INITIAL_BUFFER_BYTES);
	http_message_reset(message);
	return message;
}

void http_message_free(http_message_t *message)
{
	g_string_free(message->text, TRUE);
	g_array_unref(message->headers);
	g_string_free(message->body, TRUE);
	g_free(message);
}

static void empty_buffer(GString **buffer)
{
	if ((*buffer)->allocated_len <= KEPT_BUFFER_BYTES) {
		g_string_truncate(*buffer, 0);
		return;
	}
	g_string_free(*buffer, TRUE);
	*buffer = g_string_sized_new(INITIAL_BUFFER_BYTES);
}

static void empty_headers(http_message_t *message)
{
	if (message->headers->len * sizeof(header_offsets_t) <= KEPT_BUFFER_BYTES) {
		g_array_set_size(message->headers, 0);
		return;
	}
	g_array_unref(message->headers);
	message->headers = g_array_new(FALSE, FALSE, sizeof(header_offsets_t));
}

void http_message_reset(http_message_t *message)
{
	http_parser_init(&message->parser,
			 message->kind == HTTP_MESSAGE_REQUEST ? HTTP_REQUEST : HTTP_RESPONSE);
	message->parser.data = message;
	message->state = HTTP_MESSAGE_INCOMPLETE;
	message->scan = (head_scan_t){.in_head = true};
	message->chunks = (chunk_scan_t){0};
	message->is_chunked = false;
	message->framing_bytes = 0;
	empty_headers(message);
	message->in_value = false;
	message->has_head = false;
	message->no_body = false;
	empty_buffer(&message->text);
	empty_buffer(&message->body);
}

void http_message_expect_no_body(http_message_t *message)
{
	message->no_body = true;
}

/* http-parser skips spaces before a status code and accepts any number of its digits. */
static bool is_valid_in_status_line(size_t at, char byte)
{
	static const char version[] = "HTTP/1.";

	if (at < strlen(version))
		return byte == version[at];
	switch (at - strlen(version)) {
	case 0: /* minor version */
	case 3: /* second and third digit of the status code */
	case 4:
		return g_ascii_isdigit(byte);
	case 1:
		return byte == ' ';
	case 2:
		return byte >= '1' && byte <= '5';
	case 5:
		return byte == ' ' || byte == '\r' || byte == '\n';
	default:
		return true;
	}
}

/* Returns false when another parser might read the head differently. */
static bool scan_byte(head_scan_t *scan, char byte)
{
	char previous = scan->previous;

	scan->previous = byte;
	scan->bytes++;
	if (previous == '\r' && byte != '\n')
		return false;
	if (byte == '\r')
		return true;
	if (byte != '\n') {
		bool folded =
			scan->line_bytes == 0 && scan->has_line && (byte == ' ' || byte == '\t');

		scan->line_bytes++;
		return !folded;
	}
	if (previous != '\r')
		return false;
	if (scan->line_bytes == 0 && scan->has_line)
		scan->in_head = false;
	scan->has_line = scan->has_line || scan->line_bytes > 0;
	scan->line_bytes = 0;
	return true;
}

/* Returns how many bytes of @p data belong to the head; sets the state when they are invalid. */
static size_t scan_head(http_message_t *message, const char *data, size_t bytes)
{
	size_t i = 0;

	while (i < bytes && message->scan.in_head) {
		const head_scan_t *scan = &message->scan;
		bool in_status_line = message->kind == HTTP_MESSAGE_REPLY && !scan->has_line;

		if ((in_status_line && !is_valid_in_status_line(scan->line_bytes, data[i])) ||
		    !scan_byte(&message->scan, data[i++])) {
			message->state = HTTP_MESSAGE_INVALID;
			return 0;
		}
		if (message->scan.bytes > message->limits.head_bytes) {
			message->state = HTTP_MESSAGE_HEAD_TOO_LARGE;
			return 0;
		}
	}
	return i;
}

/* Returns whether @p byte is valid in the line of a chunk's size. */
static bool scan_size(chunk_scan_t *chunks, char byte)
{
	if (byte == '\r' && chunks->digits) {
		chunks->state = CHUNK_SIZE_LF;
		return true;
	}
	if (chunks->state == CHUNK_EXTENSION)
		return byte != '\n' && byte != '\r';
	if (byte == ';' && chunks->digits) {
		chunks->state = CHUNK_EXTENSION;
		return true;
	}
	if (!g_ascii_isxdigit(byte) || ++chunks->digits > 2 * sizeof(chunks->left))
		return false;
	chunks->left = chunks->left * 16 + (uint64_t)g_ascii_xdigit_value(byte);
	return true;
}

static bool scan_chunk_byte(chunk_scan_t *chunks, char byte)
{
	switch (chunks->state) {
	case CHUNK_SIZE:
	case CHUNK_EXTENSION:
		return scan_size(chunks, byte);
	case CHUNK_SIZE_LF:
		chunks->state = chunks->left ? CHUNK_DATA : CHUNK_TRAILER;
		return byte == '\n';
	case CHUNK_DATA:
		if (--chunks->left == 0)
			chunks->state = CHUNK_DATA_CR;
		return true;
	case CHUNK_DATA_CR:
		chunks->state = CHUNK_DATA_LF;
		return byte == '\r';
	case CHUNK_DATA_LF:
		*chunks = (chunk_scan_t){.state = CHUNK_SIZE};
		return byte == '\n';
	case CHUNK_TRAILER:
		return true;
	}
	return false;
}

static bool scan_chunks(chunk_scan_t *chunks, const char *data, size_t bytes)
{
	for (size_t i = 0; i < bytes && chunks->state != CHUNK_TRAILER; i++)
		if (!scan_chunk_byte(chunks, data[i]))
			return false;
	return true;
}

static size_t parse(http_message_t *message, const char *data, size_t bytes)
{
	size_t consumed = http_parser_execute(&message->parser, &callbacks, data, bytes);

	if (message->state == HTTP_MESSAGE_INCOMPLETE &&
	    HTTP_PARSER_ERRNO(&message->parser) != HPE_OK)
		message->state = HTTP_MESSAGE_INVALID;
	return consumed;
}

/* Bytes of framing allowed for each byte of content; chunks without extensions have five at most.
 */
#define FRAMING_PER_CONTENT 8

/* Counts the bytes of a chunked body that are not its content. */
static void count_framing(http_message_t *message, size_t bytes)
{
	message->framing_bytes += bytes;
	if (message->state == HTTP_MESSAGE_INCOMPLETE &&
	    message->framing_bytes >
		    message->limits.head_bytes + FRAMING_PER_CONTENT * message->body->len)
		message->state = HTTP_MESSAGE_HEAD_TOO_LARGE;
}

/* Whether the reply is interim (status 1xx); the final reply follows it. */
static bool is_interim(const http_message_t *message)
{
	return message->state == HTTP_MESSAGE_COMPLETE && message->kind == HTTP_MESSAGE_REPLY &&
	       message->parser.status_code / 100 == 1;
}

/* The limit on the head holds for the interim heads and the final one together. */
static void begin_next_head(http_message_t *message)
{
	bool no_body = message->no_body;
	size_t head_bytes = message->scan.bytes;

	http_message_reset(message);
	message->no_body = no_body;
	message->scan.bytes = head_bytes;
}

size_t http_message_parse(http_message_t *message, const char *data, size_t bytes)
{
	size_t consumed = 0;

	while (consumed < bytes && message->state == HTTP_MESSAGE_INCOMPLETE) {
		size_t length = bytes - consumed, content = message->body->len, parsed;
		bool in_chunks = message->is_chunked;

		if (message->scan.in_head)
			length = scan_head(message, data + consumed, length);
		else if (message->is_chunked &&
			 !scan_chunks(&message->chunks, data + consumed, length))
			message->state = HTTP_MESSAGE_INVALID;
		if (message->state != HTTP_MESSAGE_INCOMPLETE)
			return consumed;
		parsed = parse(message, data + consumed, length);
		consumed += parsed;
		if (in_chunks)
			count_framing(message, parsed - (message->body->len - content));
		if (is_interim(message))
			begin_next_head(message);
	}
	return consumed;
}

void http_message_feed_end(http_message_t *message)
{
	if (message->state == HTTP_MESSAGE_INCOMPLETE && message->has_head)
		parse(message, NULL, 0);
	if (message->state == HTTP_MESSAGE_INCOMPLETE)
		message->state = HTTP_MESSAGE_INVALID;
}

http_message_state_t http_message_state(const http_message_t *message)
{
	return message->state;
}

bool http_message_started(const http_message_t *message)
{
	return message->scan.bytes > 0;
}

bool http_message_has_head(const http_message_t *message)
{
	return message->has_head;
}

bool http_message_in_plain_body(const http_message_t *message)
{
	return message->has_head && !message->is_chunked;
}

bool http_message_keeps_alive(const http_message_t *message)
{
	return message->state == HTTP_MESSAGE_COMPLETE && http_should_keep_alive(&message->parser);
}

const char *http_message_method(const http_message_t *message)
{
	return http_method_str((enum http_method)message->parser.method);
}

const char *http_message_target(const http_message_t *message)
{
	return message->text->str;
}

int http_message_status(const http_message_t *message)
{
	return message->parser.status_code;
}

size_t http_message_header_count(const http_message_t *message)
{
	return message->headers->len;
}

http_header_t http_message_header_at(const http_message_t *message, size_t index)
{
	const header_offsets_t *offsets = header_at(message, index);

	return (http_header_t){.name = message->text->str + offsets->name,
			       .value = message->text->str + offsets->value};
}

const char *http_message_header(const http_message_t *message, const char *name)
{
	for (uint32_t i = 0; i < message->headers->len; i++)
		if (!g_ascii_strcasecmp(message->text->str + header_at(message, i)->name, name))
			return message->text->str + header_at(message, i)->value;
	return NULL;
}

size_t http_message_header_occurrences(const http_message_t *message, const char *name)
{
	size_t times = 0;

	for (uint32_t i = 0; i < message->headers->len; i++)
		times +=
			!g_ascii_strcasecmp(message->text->str + header_at(message, i)->name, name);
	return times;
}

const GString *http_message_body(const http_message_t *message)
{
	return message->body;
}

size_t http_message_head_memory(const http_message_t *message)
{
	/* The capacity of an array is up to twice its length. */
	return message->text->allocated_len + 2 * message->headers->len * sizeof(header_offsets_t);
}

size_t http_message_memory(const http_message_t *message)
{
	return http_message_head_memory(message) + message->body->allocated_len;
}
