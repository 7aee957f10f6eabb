/**
 * @file feed_message.c
 * See feed_message.h.
 */
#include "core/feed_message.h"

#include "core/msgpack_array.h"

#include <string.h>

#define FIELDS 7
/* Daemons of an earlier version do not send the store era. */
#define FIELDS_MIN 6

static void pack_text(msgpack_packer *packer, const char *text)
{
	size_t bytes = text ? strlen(text) : 0;

	msgpack_pack_str(packer, bytes);
	msgpack_pack_str_body(packer, text, bytes);
}

void feed_message_write(GByteArray *out, const feed_message_t *message)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, FIELDS);
	msgpack_pack_uint8(&packer, (uint8_t)message->type);
	msgpack_pack_uint32(&packer, message->kind);
	pack_text(&packer, message->name);
	pack_text(&packer, message->text);
	msgpack_pack_uint64(&packer, message->age_us);
	msgpack_pack_uint8(&packer, message->unreliable);
	msgpack_pack_uint64(&packer, message->era);
	framing_append(out, buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
}

static bool is_number(const msgpack_object *object)
{
	return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

static char *copy_text(const msgpack_object *object)
{
	const msgpack_object_str *text = &object->via.str;

	return text->size ? g_strndup(text->ptr, text->size) : g_strdup("");
}

/* Copies the texts: those of msgpack have no terminating NUL. */
static bool decode_fields(const msgpack_object *fields, uint32_t count, feed_message_f handle,
			  void *ctx)
{
	g_autofree char *name = NULL;
	g_autofree char *text = NULL;
	feed_message_t message;

	if (!is_number(&fields[0]) || fields[0].via.u64 >= FEED_TYPES || !is_number(&fields[1]) ||
	    fields[2].type != MSGPACK_OBJECT_STR || fields[3].type != MSGPACK_OBJECT_STR ||
	    !is_number(&fields[4]) || !is_number(&fields[5]) ||
	    (count >= FIELDS && !is_number(&fields[6])))
		return false;
	name = copy_text(&fields[2]);
	text = copy_text(&fields[3]);
	message = (feed_message_t){.type = (feed_type_t)fields[0].via.u64,
				   .kind = (uint32_t)fields[1].via.u64,
				   .name = name,
				   .text = text,
				   .age_us = fields[4].via.u64,
				   .unreliable = fields[5].via.u64 != 0,
				   .era = count >= FIELDS ? fields[6].via.u64 : 0};
	handle(ctx, &message);
	return true;
}

static bool decode_payload(framing_payload_t payload, feed_message_f handle, void *ctx)
{
	msgpack_unpacked unpacked;
	const msgpack_object_array *array = msgpack_array_read(&unpacked, payload);
	bool valid = array && array->size >= FIELDS_MIN &&
		     decode_fields(array->ptr, array->size, handle, ctx);

	msgpack_unpacked_destroy(&unpacked);
	return valid;
}

framing_result_t feed_message_read(const uint8_t *data, size_t bytes, size_t *used,
				   feed_message_f handle, void *ctx)
{
	framing_payload_t payload;
	framing_result_t found = framing_split(data, bytes, FEED_FRAME_MAX_BYTES, &payload);

	if (found != FRAMING_COMPLETE)
		return found;
	*used = FRAMING_LENGTH_BYTES + payload.bytes;
	return decode_payload(payload, handle, ctx) ? FRAMING_COMPLETE : FRAMING_INVALID;
}
