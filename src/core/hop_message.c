/**
 * @file hop_message.c
 * See hop_message.h.
 */
#include "core/hop_message.h"

#include "core/msgpack_array.h"

/* In every message: its type and the request's serial number. */
#define HEAD_FIELDS 2
#define REQUEST_FIELDS 10
/* Earlier versions do not send the API key. */
#define REQUEST_FIELDS_MIN 9
#define ANSWER_FIELDS 11
/* Earlier versions do not send why admission control has refused the request. */
#define ANSWER_FIELDS_MIN 6
#define SHARE_FIELDS 4
#define QUOTA_FIELDS 4

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
	msgpack_pack_uint8(packer, request->retried);
	pack_bytes(packer, request->id);
	pack_bytes(packer, request->host);
	pack_bytes(packer, request->target);
	pack_bytes(packer, request->head);
	pack_bytes(packer, request->body);
	pack_bytes(packer, request->key);
}

static void pack_answer(msgpack_packer *packer, const hop_answer_t *answer)
{
	msgpack_pack_uint8(packer, (uint8_t)answer->end);
	msgpack_pack_uint32(packer, answer->parts);
	msgpack_pack_uint32(packer, answer->missing);
	msgpack_pack_uint64(packer, answer->retry_after_us);
	pack_bytes(packer, answer->stamps);
	pack_bytes(packer, answer->records);
	msgpack_pack_uint8(packer, answer->refused_by_admission);
	pack_bytes(packer, answer->shard);
	pack_bytes(packer, answer->tenant);
	msgpack_pack_uint32(packer, answer->rank);
	msgpack_pack_uint64(packer, answer->waited_us);
}

static void pack_share(msgpack_packer *packer, const hop_quota_share_t *share)
{
	pack_bytes(packer, share->vm);
	msgpack_pack_uint64(packer, share->accrued_us);
	msgpack_pack_uint32(packer, share->vms);
	msgpack_pack_uint32(packer, share->pools);
}

static void pack_quota(msgpack_packer *packer, const hop_quota_t *quota)
{
	pack_bytes(packer, quota->tenant);
	msgpack_pack_uint32(packer, quota->count);
	msgpack_pack_uint8(packer, quota->spare);
	msgpack_pack_uint64(packer, quota->retry_after_us);
}

static bool is_quota(uint64_t type)
{
	return type == HOP_QUOTA_ASK || type == HOP_QUOTA_GRANT || type == HOP_QUOTA_RETURN;
}

/* Number of fields of a message as this version writes it. */
static size_t fields_of(hop_type_t type)
{
	static const uint8_t extra[HOP_TYPES] = {[HOP_REQUEST] = REQUEST_FIELDS,
						 [HOP_ANSWER] = ANSWER_FIELDS,
						 [HOP_ACCEPTED] = 1,
						 [HOP_REJECTED] = 1,
						 [HOP_GRANT] = 1,
						 [HOP_QUOTA_SHARE] = SHARE_FIELDS,
						 [HOP_QUOTA_ASK] = QUOTA_FIELDS,
						 [HOP_QUOTA_GRANT] = QUOTA_FIELDS,
						 [HOP_QUOTA_RETURN] = QUOTA_FIELDS};

	return HEAD_FIELDS + extra[type];
}

/* Number of fields of a message as an earlier version writes it. */
static size_t min_fields_of(hop_type_t type)
{
	if (type == HOP_REQUEST)
		return HEAD_FIELDS + REQUEST_FIELDS_MIN;
	return type == HOP_ANSWER ? HEAD_FIELDS + ANSWER_FIELDS_MIN : fields_of(type);
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
	else if (message->type == HOP_REJECTED)
		msgpack_pack_uint8(&packer, (uint8_t)message->reason);
	else if (message->type == HOP_GRANT)
		msgpack_pack_uint32(&packer, message->more_attempts);
	else if (message->type == HOP_ACCEPTED)
		msgpack_pack_uint64(&packer, message->version);
	else if (message->type == HOP_QUOTA_SHARE)
		pack_share(&packer, &message->share);
	else if (is_quota(message->type))
		pack_quota(&packer, &message->quota);
	framing_append(out, buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
}

/* ---- decoding ---- */

/** The fields of a message, read one after the other. */
typedef struct fields_t {
	const msgpack_object *next;
	bool valid; /* all fields so far had the expected type */
} fields_t;

static uint64_t decode_number(fields_t *fields, uint64_t max)
{
	const msgpack_object *field = fields->next++;

	if (field->type != MSGPACK_OBJECT_POSITIVE_INTEGER || field->via.u64 > max) {
		fields->valid = false;
		return 0;
	}
	return field->via.u64;
}

static hop_bytes_t decode_bytes(fields_t *fields)
{
	const msgpack_object *field = fields->next++;

	if (field->type != MSGPACK_OBJECT_BIN) {
		fields->valid = false;
		return (hop_bytes_t){0};
	}
	return (hop_bytes_t){.data = field->via.bin.ptr, .bytes = field->via.bin.size};
}

/* @p count: fields of the whole message */
static void decode_request(fields_t *fields, uint32_t count, hop_request_t *request)
{
	request->version = decode_number(fields, UINT64_MAX);
	request->elapsed_us = decode_number(fields, UINT64_MAX);
	request->patience_us = decode_number(fields, UINT64_MAX);
	request->retried = decode_number(fields, 1);
	request->id = decode_bytes(fields);
	request->host = decode_bytes(fields);
	request->target = decode_bytes(fields);
	request->head = decode_bytes(fields);
	request->body = decode_bytes(fields);
	if (count > HEAD_FIELDS + REQUEST_FIELDS_MIN)
		request->key = decode_bytes(fields);
}

/* @p count: fields of the whole message */
static void decode_answer(fields_t *fields, uint32_t count, hop_answer_t *answer)
{
	answer->end = (forward_outcome_t)decode_number(fields, FORWARD_OUTCOMES - 1);
	answer->parts = (uint32_t)decode_number(fields, UINT32_MAX);
	answer->missing = (uint32_t)decode_number(fields, UINT32_MAX);
	answer->retry_after_us = decode_number(fields, UINT64_MAX);
	answer->stamps = decode_bytes(fields);
	answer->records = decode_bytes(fields);
	if (count < HEAD_FIELDS + ANSWER_FIELDS)
		return;
	answer->refused_by_admission = decode_number(fields, 1);
	answer->shard = decode_bytes(fields);
	answer->tenant = decode_bytes(fields);
	answer->rank = (uint32_t)decode_number(fields, UINT32_MAX);
	answer->waited_us = decode_number(fields, UINT64_MAX);
}

static void decode_share(fields_t *fields, hop_quota_share_t *share)
{
	share->vm = decode_bytes(fields);
	share->accrued_us = decode_number(fields, UINT64_MAX);
	share->vms = (uint32_t)decode_number(fields, UINT32_MAX);
	share->pools = (uint32_t)decode_number(fields, UINT32_MAX);
}

static void decode_quota(fields_t *fields, hop_quota_t *quota)
{
	quota->tenant = decode_bytes(fields);
	quota->count = (uint32_t)decode_number(fields, UINT32_MAX);
	quota->spare = decode_number(fields, 1);
	quota->retry_after_us = decode_number(fields, UINT64_MAX);
}

/* An unknown reason also means that nothing ran. */
static hop_reason_t decode_reason(fields_t *fields)
{
	uint64_t reason = decode_number(fields, UINT8_MAX);

	return reason < HOP_REASONS ? (hop_reason_t)reason : HOP_NOT_READY;
}

/* Returns false when the array is not a valid message. A message of an unknown type is ignored. */
static bool decode_message(const msgpack_object_array *array, hop_message_handler_t handler,
			   void *ctx)
{
	fields_t fields = {.next = array->ptr, .valid = true};
	hop_message_t message = {0};
	uint64_t type;

	if (array->size < HEAD_FIELDS)
		return false;
	type = decode_number(&fields, UINT8_MAX);
	message.serial = decode_number(&fields, UINT64_MAX);
	if (fields.valid && type >= HOP_TYPES)
		return true;
	message.type = (hop_type_t)type;
	if (!fields.valid || array->size < min_fields_of(message.type))
		return false;
	if (type == HOP_REQUEST)
		decode_request(&fields, array->size, &message.request);
	else if (type == HOP_ANSWER)
		decode_answer(&fields, array->size, &message.answer);
	else if (type == HOP_REJECTED)
		message.reason = decode_reason(&fields);
	else if (type == HOP_GRANT)
		message.more_attempts = (uint32_t)decode_number(&fields, UINT32_MAX);
	else if (type == HOP_ACCEPTED)
		message.version = decode_number(&fields, UINT64_MAX);
	else if (type == HOP_QUOTA_SHARE)
		decode_share(&fields, &message.share);
	else if (is_quota(type))
		decode_quota(&fields, &message.quota);
	if (fields.valid)
		handler(ctx, &message);
	return fields.valid;
}

static bool decode_payload(framing_payload_t payload, hop_message_handler_t handler, void *ctx)
{
	msgpack_unpacked unpacked;
	const msgpack_object_array *array = msgpack_array_read(&unpacked, payload);
	bool decoded = array && decode_message(array, handler, ctx);

	msgpack_unpacked_destroy(&unpacked);
	return decoded;
}

framing_result_t hop_message_read(const uint8_t *data, size_t bytes, size_t *used,
				  hop_message_handler_t handler, void *ctx)
{
	framing_payload_t payload;
	framing_result_t found = framing_split(data, bytes, HOP_FRAME_MAX_BYTES, &payload);

	if (found != FRAMING_COMPLETE)
		return found;
	*used = FRAMING_LENGTH_BYTES + payload.bytes;
	return decode_payload(payload, handler, ctx) ? FRAMING_COMPLETE : FRAMING_INVALID;
}

const char *hop_reason_name(hop_reason_t reason)
{
	static const char *const names[] = {[HOP_NOT_READY] = "not-ready",
					    [HOP_OLDER_CONFIG] = "older-configuration",
					    [HOP_NOT_GATHERED] = "no-gather",
					    [HOP_STOPPING] = "stops",
					    [HOP_BUSY] = "busy",
					    [HOP_SUSPENDED] = "stood-still"};

	return names[reason];
}
