/**
 * @file frame.c
 * See frame.h.
 */
#include "core/frame.h"

#include "core/msgpack_sizes.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#define FORMAT 1
#define MAC_BYTES 32
#define FIELDS 7
#define MEMBER_FIELDS 6
#define NOTE_FIELDS 3
#define ITEMS_MAX 256
#define TEXT_MAX_BYTES 256

static void make_mac(const char *key, const uint8_t *data, size_t bytes, uint8_t mac[MAC_BYTES])
{
	GHmac *hmac = g_hmac_new(G_CHECKSUM_SHA256, (const guchar *)key, strlen(key));
	gsize length = MAC_BYTES;

	g_hmac_update(hmac, data, (gssize)bytes);
	g_hmac_get_digest(hmac, mac, &length);
	g_hmac_unref(hmac);
}

/* ---- writing ---- */

static void pack_text(msgpack_packer *packer, const char *text)
{
	size_t length = strlen(text);

	msgpack_pack_str(packer, length);
	msgpack_pack_str_body(packer, text, length);
}

static void pack_member(msgpack_packer *packer, const member_t *member)
{
	msgpack_pack_array(packer, MEMBER_FIELDS);
	pack_text(packer, member->name);
	pack_text(packer, member->data_centre);
	pack_text(packer, member->address);
	msgpack_pack_uint16(packer, member->port);
	msgpack_pack_uint64(packer, member->incarnation);
	msgpack_pack_uint8(packer, (uint8_t)member->state);
}

static void pack_note(msgpack_packer *packer, const leaving_note_t *note)
{
	msgpack_pack_array(packer, NOTE_FIELDS);
	pack_text(packer, note->service);
	pack_text(packer, note->upstream);
	msgpack_pack_uint64(packer, note->at_ms);
}

static void pack_config(msgpack_packer *packer, const json_t *value)
{
	char *text;

	if (!value) {
		msgpack_pack_nil(packer);
		return;
	}
	text = json_dumps(value, JSON_COMPACT);
	pack_text(packer, text);
	free(text);
}

static void pack_message(msgpack_packer *packer, const gossip_message_t *message)
{
	msgpack_pack_array(packer, FIELDS);
	msgpack_pack_uint8(packer, FORMAT);
	msgpack_pack_uint64(packer, message->stamp);
	pack_text(packer, message->from);
	msgpack_pack_array(packer, message->members->len);
	for (guint i = 0; i < message->members->len; i++)
		pack_member(packer, g_ptr_array_index(message->members, i));
	msgpack_pack_array(packer, message->leaving->len);
	for (guint i = 0; i < message->leaving->len; i++)
		pack_note(packer, g_ptr_array_index(message->leaving, i));
	msgpack_pack_uint64(packer, message->config_number);
	pack_config(packer, message->config_value);
}

GByteArray *frame_encode(const gossip_message_t *message, const char *key)
{
	GByteArray *frame = g_byte_array_new();
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	uint8_t mac[MAC_BYTES];
	guint32 length;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	pack_message(&packer, message);
	make_mac(key, (const uint8_t *)buffer.data, buffer.size, mac);
	length = GUINT32_TO_BE((guint32)(buffer.size + MAC_BYTES));
	g_byte_array_append(frame, (const guint8 *)&length, sizeof(length));
	g_byte_array_append(frame, mac, MAC_BYTES);
	g_byte_array_append(frame, (const guint8 *)buffer.data, (guint)buffer.size);
	msgpack_sbuffer_destroy(&buffer);
	return frame;
}

/* ---- reading ---- */

size_t frame_bytes(const uint8_t *data, size_t have)
{
	guint32 length;

	if (have < FRAME_LENGTH_BYTES)
		return 0;
	memcpy(&length, data, sizeof(length));
	length = GUINT32_FROM_BE(length);
	return length > MAC_BYTES && length <= FRAME_MAX_BYTES ? length + FRAME_LENGTH_BYTES : 0;
}

static bool is_array(const msgpack_object *object, uint32_t min, uint32_t max)
{
	return object->type == MSGPACK_OBJECT_ARRAY && object->via.array.size >= min &&
	       object->via.array.size <= max;
}

static bool is_number(const msgpack_object *object, uint64_t max)
{
	return object->type == MSGPACK_OBJECT_POSITIVE_INTEGER && object->via.u64 <= max;
}

/* Copies a text; NULL when it is not a text, has more than @p max bytes, or contains a NUL. */
static char *decode_text(const msgpack_object *object, size_t max)
{
	const msgpack_object_str *text = &object->via.str;

	if (object->type != MSGPACK_OBJECT_STR || text->size > max)
		return NULL;
	if (text->size == 0) /* its pointer may be NULL */
		return g_strdup("");
	return memchr(text->ptr, '\0', text->size) ? NULL : g_strndup(text->ptr, text->size);
}

static bool decode_member(const msgpack_object *object, GPtrArray *members)
{
	const msgpack_object *field;
	member_t *member;

	if (!is_array(object, MEMBER_FIELDS, MEMBER_FIELDS))
		return false;
	field = object->via.array.ptr;
	if (!is_number(&field[3], UINT16_MAX) || !is_number(&field[4], UINT64_MAX) ||
	    !is_number(&field[5], MEMBER_DEAD))
		return false;
	member = g_new0(member_t, 1);
	g_ptr_array_add(members, member);
	member->name = decode_text(&field[0], TEXT_MAX_BYTES);
	member->data_centre = decode_text(&field[1], TEXT_MAX_BYTES);
	member->address = decode_text(&field[2], TEXT_MAX_BYTES);
	member->port = (uint16_t)field[3].via.u64;
	member->incarnation = field[4].via.u64;
	member->state = (member_state_t)field[5].via.u64;
	return member->name && member->data_centre && member->address;
}

static bool decode_note(const msgpack_object *object, GPtrArray *notes)
{
	const msgpack_object *field;
	leaving_note_t *note;

	if (!is_array(object, NOTE_FIELDS, NOTE_FIELDS) ||
	    !is_number(&object->via.array.ptr[2], UINT64_MAX))
		return false;
	field = object->via.array.ptr;
	note = g_new0(leaving_note_t, 1);
	g_ptr_array_add(notes, note);
	note->service = decode_text(&field[0], TEXT_MAX_BYTES);
	note->upstream = decode_text(&field[1], TEXT_MAX_BYTES);
	note->at_ms = field[2].via.u64;
	return note->service && note->upstream;
}

static bool decode_list(const msgpack_object *object, GPtrArray *out,
			bool (*decode)(const msgpack_object *object, GPtrArray *out))
{
	if (!is_array(object, 0, ITEMS_MAX))
		return false;
	for (uint32_t i = 0; i < object->via.array.size; i++)
		if (!decode(&object->via.array.ptr[i], out))
			return false;
	return true;
}

static bool decode_config(const msgpack_object *object, json_t **value)
{
	if (object->type == MSGPACK_OBJECT_NIL)
		return true;
	if (object->type != MSGPACK_OBJECT_STR)
		return false;
	*value = json_loadb(object->via.str.ptr, object->via.str.size, 0, NULL);
	return *value != NULL;
}

static bool decode_message(const msgpack_object *object, gossip_message_t *message)
{
	const msgpack_object *field;

	if (!is_array(object, FIELDS, FIELDS))
		return false;
	field = object->via.array.ptr;
	if (!is_number(&field[0], FORMAT) || !is_number(&field[1], UINT64_MAX) ||
	    !is_number(&field[5], UINT64_MAX))
		return false;
	message->stamp = field[1].via.u64;
	message->from = decode_text(&field[2], TEXT_MAX_BYTES);
	message->config_number = field[5].via.u64;
	return message->from && decode_list(&field[3], message->members, decode_member) &&
	       decode_list(&field[4], message->leaving, decode_note) &&
	       decode_config(&field[6], &message->config_value);
}

static bool mac_matches(const char *key, const uint8_t *payload, size_t bytes,
			const uint8_t *received)
{
	uint8_t mac[MAC_BYTES];
	uint8_t difference = 0;

	if (!*key)
		return false;
	make_mac(key, payload, bytes, mac);
	for (int i = 0; i < MAC_BYTES; i++)
		difference |= mac[i] ^ received[i];
	return difference == 0;
}

gossip_message_t *frame_decode(const uint8_t *data, size_t bytes, const char *key,
			       const char *previous_key)
{
	const uint8_t *mac = data + FRAME_LENGTH_BYTES, *payload = mac + MAC_BYTES;
	size_t payload_bytes;
	gossip_message_t *message;
	msgpack_unpacked unpacked;
	bool valid;

	if (!frame_bytes(data, bytes) || frame_bytes(data, bytes) != bytes)
		return NULL;
	payload_bytes = bytes - FRAME_LENGTH_BYTES - MAC_BYTES;
	/* The payload of an unauthenticated peer is not parsed. */
	if (!mac_matches(key, payload, payload_bytes, mac) &&
	    !mac_matches(previous_key, payload, payload_bytes, mac))
		return NULL;
	if (!msgpack_sizes_fit(payload, payload_bytes))
		return NULL;
	message = gossip_message_new();
	msgpack_unpacked_init(&unpacked);
	valid = msgpack_unpack_next(&unpacked, (const char *)payload, payload_bytes, NULL) ==
			MSGPACK_UNPACK_SUCCESS &&
		decode_message(&unpacked.data, message);
	msgpack_unpacked_destroy(&unpacked);
	if (valid)
		return message;
	gossip_message_free(message);
	return NULL;
}
