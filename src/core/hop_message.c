/**
 * @file hop_message.c
 * See hop_message.h.
 */
#include "core/hop_message.h"

#include "core/msgpack_array.h"

/* Of every message: its type and the request's serial number. */
#define HEAD_FIELDS 2
#define REQUEST_FIELDS 9
#define ANSWER_FIELDS 6

static void pack_bytes(msgpack_packer *packer, hop_bytes_t bytes)
{
	msgpack_pack_bin(packer, bytes.bytes);
	msgpack_pack_bin_body(packer, bytes.data, bytes.bytes);
}

static void pack_request(msgpack_packer *packer, const hop_request_t *request)
{
	msgpack_pack_uint64(packer, request->version);
	msgpack_pack_uint64(packer, request->elapsed_us);
	msgpack_pack_uint64(packer, request->patience_us);
	msgpack_pack_uint8(packer, request->again);
	pack_bytes(packer, request->id);
	pack_bytes(packer, request->host);
	pack_bytes(packer, request->target);
	pack_bytes(packer, request->head);
	pack_bytes(packer, request->body);
}

static void pack_answer(msgpack_packer *packer, const hop_answer_t *answer)
{
	msgpack_pack_uint8(packer, (uint8_t)answer->end);
	msgpack_pack_uint32(packer, answer->parts);
	msgpack_pack_uint32(packer, answer->missing);
	msgpack_pack_uint64(packer, answer->retry_after_us);
	pack_bytes(packer, answer->stamps);
	pack_bytes(packer, answer->records);
}

static size_t fields_of(hop_type_t type)
{
	static const uint8_t more[HOP_TYPES] = {[HOP_REQUEST] = REQUEST_FIELDS,
						[HOP_ANSWER] = ANSWER_FIELDS,
						[HOP_TAKEN] = 1,
						[HOP_NOT_TAKEN] = 1,
						[HOP_GO] = 1};

	return HEAD_FIELDS + more[type];
}

void hop_message_write(GByteArray *out, const hop_message_t *message)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, fields_of(message->type));
	msgpack_pack_uint8(&packer, (uint8_t)message->type);
	msgpack_pack_uint64(&packer, message->serial);
	if (message->type == HOP_REQUEST)
		pack_request(&packer, &message->request);
	else if (message->type == HOP_ANSWER)
		pack_answer(&packer, &message->answer);
	else if (message->type == HOP_NOT_TAKEN)
		msgpack_pack_uint8(&packer, (uint8_t)message->reason);
	else if (message->type == HOP_GO)
		msgpack_pack_uint32(&packer, message->more);
	else if (message->type == HOP_TAKEN)
		msgpack_pack_uint64(&packer, message->version);
	framing_append(out, buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
}

/* ---- reading ---- */

/** The fields of a message, taken one after the other. */
typedef struct fields_t {
	const msgpack_object *next;
	bool right; /* all so far were of the kind that was asked for */
} fields_t;

static uint64_t take_number(fields_t *fields, uint64_t most)
{
	const msgpack_object *field = fields->next++;

	if (field->type != MSGPACK_OBJECT_POSITIVE_INTEGER || field->via.u64 > most) {
		fields->right = false;
		return 0;
	}
	return field->via.u64;
}

static hop_bytes_t take_bytes(fields_t *fields)
{
	const msgpack_object *field = fields->next++;

	if (field->type != MSGPACK_OBJECT_BIN) {
		fields->right = false;
		return (hop_bytes_t){0};
	}
	return (hop_bytes_t){.data = field->via.bin.ptr, .bytes = field->via.bin.size};
}

static void take_request(fields_t *fields, hop_request_t *request)
{
	request->version = take_number(fields, UINT64_MAX);
	request->elapsed_us = take_number(fields, UINT64_MAX);
	request->patience_us = take_number(fields, UINT64_MAX);
	request->again = take_number(fields, 1);
	request->id = take_bytes(fields);
	request->host = take_bytes(fields);
	request->target = take_bytes(fields);
	request->head = take_bytes(fields);
	request->body = take_bytes(fields);
}

static void take_answer(fields_t *fields, hop_answer_t *answer)
{
	answer->end = (forward_end_t)take_number(fields, FORWARD_ENDS - 1);
	answer->parts = (uint32_t)take_number(fields, UINT32_MAX);
	answer->missing = (uint32_t)take_number(fields, UINT32_MAX);
	answer->retry_after_us = take_number(fields, UINT64_MAX);
	answer->stamps = take_bytes(fields);
	answer->records = take_bytes(fields);
}

/* What a reason that is not known means is the same: nothing ran. */
static hop_reason_t take_reason(fields_t *fields)
{
	uint64_t reason = take_number(fields, UINT8_MAX);

	return reason < HOP_REASONS ? (hop_reason_t)reason : HOP_NOT_READY;
}

/* False when the array is no message. One of a type that is not known is passed over. */
static bool take_array(const msgpack_object_array *array, hop_message_f take, void *ctx)
{
	fields_t fields = {.next = array->ptr, .right = true};
	hop_message_t message = {0};
	uint64_t type;

	if (array->size < HEAD_FIELDS)
		return false;
	type = take_number(&fields, UINT8_MAX);
	message.serial = take_number(&fields, UINT64_MAX);
	if (fields.right && type >= HOP_TYPES)
		return true;
	message.type = (hop_type_t)type;
	if (!fields.right || array->size < fields_of(message.type))
		return false;
	if (type == HOP_REQUEST)
		take_request(&fields, &message.request);
	else if (type == HOP_ANSWER)
		take_answer(&fields, &message.answer);
	else if (type == HOP_NOT_TAKEN)
		message.reason = take_reason(&fields);
	else if (type == HOP_GO)
		message.more = (uint32_t)take_number(&fields, UINT32_MAX);
	else if (type == HOP_TAKEN)
		message.version = take_number(&fields, UINT64_MAX);
	if (fields.right)
		take(ctx, &message);
	return fields.right;
}

static bool take_payload(framing_payload_t payload, hop_message_f take, void *ctx)
{
	msgpack_unpacked unpacked;
	const msgpack_object_array *array = msgpack_array_read(&unpacked, payload);
	bool taken = array && take_array(array, take, ctx);

	msgpack_unpacked_destroy(&unpacked);
	return taken;
}

framing_result_t hop_message_read(const uint8_t *data, size_t bytes, size_t *used,
				  hop_message_f take, void *ctx)
{
	framing_payload_t payload;
	framing_result_t found = framing_split(data, bytes, HOP_FRAME_MOST_BYTES, &payload);

	if (found != FRAMING_COMPLETE)
		return found;
	*used = FRAMING_LENGTH_BYTES + payload.bytes;
	return take_payload(payload, take, ctx) ? FRAMING_COMPLETE : FRAMING_INVALID;
}

const char *hop_reason_name(hop_reason_t reason)
{
	static const char *const names[] = {
		[HOP_NOT_READY] = "not-ready", [HOP_OLDER] = "older-configuration",
		[HOP_NO_GATHER] = "no-gather", [HOP_STOPS] = "stops",
		[HOP_BUSY] = "busy",	       [HOP_STOOD_STILL] = "stood-still"};

	return names[reason];
}
