/*
 * Framing of saved state: a header with kind, version, length and checksum.
 */
#ifndef WIRE_STATE_FRAME_H
#define WIRE_STATE_FRAME_H

#include <protobuf-c/protobuf-c.h>

#include "base/status.h"
#include "base/str.h"

enum {
	STATE_FRAME_KIND_BYTES = 4
};

/* Appends a header and the packed message.  kind has four letters. */
void state_frame_append(const char *kind, uint32_t version,
    const ProtobufCMessage *message, struct str_buf *out) ATTR_NONNULL_ALL;
/*
 * Checks a frame and sets payload to the packed message.  Returns
 * STATUS_CORRUPT when kind, length or checksum differ or the version is newer.
 */
enum status state_frame_parse(const char *kind, uint32_t version,
    struct str data, struct str *payload) ATTR_NONNULL(1, 4) ATTR_UNUSED_RESULT;

#endif
