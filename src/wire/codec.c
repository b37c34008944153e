#include "wire/codec.h"

#include <stdbool.h>

static bool has_field_zero(const ProtobufCMessage *message);

static bool
any_has_field_zero(ProtobufCMessage *const *messages, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (messages[i] != NULL && has_field_zero(messages[i]))
			return true;
	}
	return false;
}

/*
 * Returns whether a message in this field, which has a message type, has a
 * field zero.
 */
static bool
is_field_zero_within(
    const ProtobufCMessage *message, const ProtobufCFieldDescriptor *field)
{
	const char *base = (const char *)message;
	const void *value = base + field->offset;
	const void *quantifier = base + field->quantifier_offset;

	if (field->label == PROTOBUF_C_LABEL_REPEATED)
		return any_has_field_zero(
		    *(ProtobufCMessage *const *const *)value,
		    *(const size_t *)quantifier);
	if ((field->flags & PROTOBUF_C_FIELD_FLAG_ONEOF) != 0 &&
	    *(const uint32_t *)quantifier != field->id)
		return false;
	return any_has_field_zero(value, 1);
}

/*
 * Returns whether a message, or one in it at any depth, has a field with number
 * zero.  The depth is bounded, since no message type contains itself.
 */
static bool
has_field_zero(const ProtobufCMessage *message)
{
	const ProtobufCMessageDescriptor *descriptor = message->descriptor;

	for (unsigned i = 0; i < message->n_unknown_fields; i++) {
		if (message->unknown_fields[i].tag == 0)
			return true;
	}
	for (unsigned i = 0; i < descriptor->n_fields; i++) {
		const ProtobufCFieldDescriptor *field = &descriptor->fields[i];

		if (field->type == PROTOBUF_C_TYPE_MESSAGE &&
		    is_field_zero_within(message, field))
			return true;
	}
	return false;
}

/*
 * Decodes a message.  Zero is no valid field number, but protobuf-c refuses it
 * in the one-byte encoding only.  In a longer one it is kept as an unknown
 * field, which is then packed in one byte.  Such a message is refused here: no
 * process could read its copy.
 */
ProtobufCMessage *
codec_unpack(const ProtobufCMessageDescriptor *descriptor, size_t len,
    const uint8_t *data)
{
	ProtobufCMessage *message =
	    protobuf_c_message_unpack(descriptor, NULL, len, data);

	if (message == NULL || !has_field_zero(message))
		return message;
	protobuf_c_message_free_unpacked(message, NULL);
	return NULL;
}
