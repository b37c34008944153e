/*
 * Request and response headers that every hop reads and writes: the remaining
 * time of a call (grpc-timeout, as specified for gRPC over HTTP/2) and the
 * target's load (endpoint-load-metrics, in the text format of ORCA).
 */
#ifndef BASE_CALL_HEADER_H
#define BASE_CALL_HEADER_H

#include "base/str.h"

#define CALL_HEADER_TIMEOUT "grpc-timeout"
#define CALL_HEADER_DEPTH "Gypsummill-Depth"
#define CALL_HEADER_NOT_STARTED "Gypsummill-Not-Started"
#define CALL_HEADER_DRAINING "Gypsummill-Draining"
#define CALL_HEADER_LOAD "endpoint-load-metrics"

enum {
	CALL_HEADER_TIMEOUT_BYTES = 16
};

struct call_load {
	uint64_t in_flight;
	uint64_t slots;
};

bool call_header_parse_timeout(
    struct str text, uint64_t *us) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
void call_header_format_timeout(
    uint64_t us, char out[CALL_HEADER_TIMEOUT_BYTES]) ATTR_NONNULL_ALL;
bool call_header_parse_load(struct str text,
    struct call_load *load) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/* The span id of a traceparent header; false when it is malformed. */
bool call_header_parse_span(struct str traceparent,
    struct str *span) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

#endif
