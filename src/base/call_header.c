#include "base/call_header.h"

#include <ctype.h>
#include <stdio.h>

#include "base/clock.h"

enum {
	TIMEOUT_DIGITS_MAX = 8,
	TRACEPARENT_BYTES = 55,
	SPAN_OFFSET = 36,
	SPAN_BYTES = 16
};

/*
 * Returns the length in nanoseconds of a gRPC timeout unit; 0 for an unknown
 * unit letter.
 */
static uint64_t
timeout_unit_ns(char unit)
{
	switch (unit) {
	case 'H':
		return 3600 * US_PER_S * NS_PER_US;
	case 'M':
		return 60 * US_PER_S * NS_PER_US;
	case 'S':
		return US_PER_S * NS_PER_US;
	case 'm':
		return US_PER_MS * NS_PER_US;
	case 'u':
		return NS_PER_US;
	case 'n':
		return 1;
	default:
		return 0;
	}
}

/*
 * Parses a grpc-timeout value, one to eight digits and a unit, into
 * microseconds, rounded down.  Returns false when it is malformed.
 */
bool
call_header_parse_timeout(struct str text, uint64_t *us)
{
	uint64_t number;
	uint64_t unit;

	text = str_trim(text);
	if (text.len < 2 || text.len > TIMEOUT_DIGITS_MAX + 1)
		return false;
	unit = timeout_unit_ns(text.data[text.len - 1]);
	if (unit == 0 || !str_to_u64(str_of(text.data, text.len - 1), &number))
		return false;
	*us = number * unit / NS_PER_US;
	return true;
}

/*
 * Formats the remaining time as a grpc-timeout value in the finest of
 * microseconds and milliseconds that fits into eight digits.  Rounds down, so
 * that no hop extends the deadline.
 */
void
call_header_format_timeout(uint64_t us, char out[CALL_HEADER_TIMEOUT_BYTES])
{
	if (us < 100 * US_PER_S)
		snprintf(out, CALL_HEADER_TIMEOUT_BYTES, "%lluu",
		    (unsigned long long)us);
	else if (us / US_PER_MS < 100 * US_PER_S)
		snprintf(out, CALL_HEADER_TIMEOUT_BYTES, "%llum",
		    (unsigned long long)(us / US_PER_MS));
	else
		snprintf(out, CALL_HEADER_TIMEOUT_BYTES, "99999999m");
}

/*
 * Parses in_flight and slots from "TEXT name=value, ...".  Unknown names are
 * ignored; returns false when either value is missing or malformed.
 */
bool
call_header_parse_load(struct str text, struct call_load *load)
{
	bool in_flight = false;
	bool slots = false;
	struct str item;

	if (!str_has_prefix(text, STR_LITERAL("TEXT ")))
		return false;
	text = str_of(text.data + 5, text.len - 5);
	while (str_split(&text, ',', &item)) {
		struct str value = str_trim(item);
		struct str name;

		if (!str_split(&value, '=', &name))
			continue;
		if (str_equal_c(name, "named_metrics.in_flight"))
			in_flight = str_to_u64(value, &load->in_flight);
		else if (str_equal_c(name, "named_metrics.slots"))
			slots = str_to_u64(value, &load->slots);
	}
	return in_flight && slots;
}

/*
 * Finds the parent id in version-traceid-parentid-flags (W3C Trace
 * Context, version 00); *span points into traceparent.  Returns false when the
 * header is malformed.
 */
bool
call_header_parse_span(struct str traceparent, struct str *span)
{
	if (traceparent.len < TRACEPARENT_BYTES || traceparent.data[2] != '-' ||
	    traceparent.data[SPAN_OFFSET - 1] != '-' ||
	    traceparent.data[SPAN_OFFSET + SPAN_BYTES] != '-')
		return false;
	for (size_t i = 0; i < TRACEPARENT_BYTES; i++) {
		char c = traceparent.data[i];

		if (!isxdigit((unsigned char)c) && c != '-')
			return false;
	}
	*span = str_of(traceparent.data + SPAN_OFFSET, SPAN_BYTES);
	return true;
}
