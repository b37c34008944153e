/*
 * Decoding of messages that are copied, stored or passed on.
 */
#ifndef WIRE_CODEC_H
#define WIRE_CODEC_H

#include <protobuf-c/protobuf-c.h>

#include "base/attr.h"

/*
 * Decodes a message.  Returns NULL if it is malformed or would be unreadable
 * once packed again.  Freed with protobuf_c_message_free_unpacked().
 */
ProtobufCMessage *codec_unpack(const ProtobufCMessageDescriptor *descriptor,
    size_t len, const uint8_t *data) ATTR_NONNULL(1) ATTR_UNUSED_RESULT;

#endif
