/*
 * Parsing and validation of single values: durations, sizes, percentages and
 * names, each with its unit and range.
 */
#ifndef DOCUMENT_POLICY_VALUE_H
#define DOCUMENT_POLICY_VALUE_H

#include "base/str.h"

enum policy_value_kind {
	POLICY_VALUE_NAME, /* a to z, 0 to 9, '-', '_' and '.' */
	POLICY_VALUE_PATTERN, /* a name with at most one '*' */
	POLICY_VALUE_HOST, /* a host name without port */
	POLICY_VALUE_METHOD, /* "*" or capital letters */
	POLICY_VALUE_PATH, /* starts with '/' */
	POLICY_VALUE_TEXT, /* free text shown to callers */
	POLICY_VALUE_DIGEST, /* SHA-256 as 64 hex digits */
	POLICY_VALUE_COUNT, /* a whole number */
	POLICY_VALUE_MS, /* duration, stored in milliseconds */
	POLICY_VALUE_S, /* duration, stored in seconds */
	POLICY_VALUE_BYTES, /* size: B, KB, MB, GB (powers of 1,024) */
	POLICY_VALUE_PERCENT, /* whole percentage */
	POLICY_VALUE_PERMYRIAD, /* percentage with two decimals, stored as 1/10,000 */
	POLICY_VALUE_CHOICE /* one of the words in allowed */
};

struct policy_value_rule {
	enum policy_value_kind kind;
	uint64_t min; /* in the stored unit; length in bytes for text */
	uint64_t max;
	const char *allowed; /* POLICY_VALUE_CHOICE: "a|b" */
};

/*
 * Returns whether a kind is stored as text or digest rather than as a number.
 */
bool policy_value_is_text(enum policy_value_kind kind);
bool policy_value_is_valid_text(
    const struct policy_value_rule *rule, struct str text) ATTR_NONNULL_ALL;
bool policy_value_parse_number(const struct policy_value_rule *rule,
    struct str text, uint64_t *value) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
bool policy_value_parse_digest(struct str text, uint8_t *digest)
    ATTR_NONNULL(2) ATTR_UNUSED_RESULT;
/*
 * Appends a description such as "a duration in ms, s, m, h or d from 1ms to
 * 10m".
 */
void policy_value_describe(
    const struct policy_value_rule *rule, struct str_buf *out) ATTR_NONNULL_ALL;

#endif
