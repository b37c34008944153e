#include "wire/state_frame.h"

#include <endian.h>
#include <string.h>

#include <xxhash.h>

/* Header of a frame.  All numbers are little-endian. */
struct state_frame_header {
	char kind[STATE_FRAME_KIND_BYTES];
	uint32_t version;
	uint64_t length; /* of the payload, bytes */
	uint64_t checksum; /* XXH3 of the payload, seeded by the version */
};

/*
 * Returns the XXH3 hash of a payload.  The version is the seed, so that the
 * checksum also covers it.
 */
static uint64_t
checksum(struct str payload, uint32_t version)
{
	return XXH3_64bits_withSeed(payload.data, payload.len, version);
}

/* Output buffer of the codec that appends to a str_buf. */
struct frame_buffer {
	ProtobufCBuffer base;
	struct str_buf *out;
};

/*
 * Append callback of the codec.
 */
static void
append(ProtobufCBuffer *base, size_t len, const uint8_t *data)
{
	struct frame_buffer *buffer = (struct frame_buffer *)base;

	str_buf_append(buffer->out, str_of((const char *)data, len));
}

/*
 * Appends a frame header and the packed message to out.  kind has
 * STATE_FRAME_KIND_BYTES bytes; version is that of the message format.
 */
void
state_frame_append(const char *kind, uint32_t version,
    const ProtobufCMessage *message, struct str_buf *out)
{
	struct frame_buffer buffer = {.base = {.append = append}, .out = out};
	struct state_frame_header frame = {.version = htole32(version)};
	size_t start = out->len;
	struct str payload;

	str_buf_append(out, str_of((const char *)&frame, sizeof(frame)));
	protobuf_c_message_pack_to_buffer(message, &buffer.base);
	payload = str_of(out->data + start + sizeof(frame),
	    out->len - start - sizeof(frame));
	memcpy(frame.kind, kind, STATE_FRAME_KIND_BYTES);
	frame.length = htole64(payload.len);
	frame.checksum = htole64(checksum(payload, version));
	memcpy(out->data + start, &frame, sizeof(frame));
}

/*
 * Checks a frame and sets *payload to its packed message, a view into data.
 * Returns STATUS_CORRUPT when data is truncated or fails its checksum, has
 * another kind or a version above the given one.
 */
enum status
state_frame_parse(
    const char *kind, uint32_t version, struct str data, struct str *payload)
{
	struct state_frame_header frame;

	if (data.len < sizeof(frame))
		return status_set(
		    STATUS_CORRUPT, "saved state \"%s\" is cut short", kind);
	memcpy(&frame, data.data, sizeof(frame));
	*payload = str_of(data.data + sizeof(frame), data.len - sizeof(frame));
	if (memcmp(frame.kind, kind, STATE_FRAME_KIND_BYTES) != 0)
		return status_set(
		    STATUS_CORRUPT, "saved state is not of kind \"%s\"", kind);
	if (le32toh(frame.version) > version)
		return status_set(STATUS_CORRUPT,
		    "saved state \"%s\" has version %u; this program reads up "
		    "to %u",
		    kind, le32toh(frame.version), version);
	if (le64toh(frame.length) != payload->len ||
	    le64toh(frame.checksum) !=
		checksum(*payload, le32toh(frame.version)))
		return status_set(STATUS_CORRUPT,
		    "saved state \"%s\" does not match its checksum", kind);
	return STATUS_OK;
}
