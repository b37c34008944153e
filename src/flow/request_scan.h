/*
 * Line ends of a request and the framing of its chunks.  The parser accepts
 * more than the standard does, and other HTTP implementations may read that in
 * another way, so all input is checked before it is parsed.
 */
#ifndef FLOW_REQUEST_SCAN_H
#define FLOW_REQUEST_SCAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include "base/attr.h"

enum request_part {
	REQUEST_HEAD,
	REQUEST_BODY, /* with a length; not checked */
	REQUEST_CHUNK_SIZE,
	REQUEST_CHUNK_SPACE, /* behind the size */
	REQUEST_CHUNK_EXTENSION,
	REQUEST_CHUNK_DATA,
	REQUEST_CHUNK_END, /* the line end behind the data */
	REQUEST_TRAILERS
};

/* State of one request; zeroed at its start. */
struct request_scan {
	enum request_part part;
	size_t head_bytes; /* of the head and the trailers */
	char tail[3]; /* last bytes of the head or the trailers */
	uint64_t chunk_bytes; /* left of the chunk */
	bool has_size; /* digits of the chunk's size were read */
	bool carriage_return; /* was the last byte of a chunk's line */
};

/*
 * Returns how many bytes may be parsed: up to the end of the head or of a
 * chunked body, at most; -1 for malformed input.
 */
ssize_t request_scan(
    struct request_scan *scan, const char *data, size_t len) ATTR_NONNULL_ALL;
/* Continues behind the head. */
void
request_scan_body(struct request_scan *scan, bool chunked) ATTR_NONNULL_ALL;

#endif
