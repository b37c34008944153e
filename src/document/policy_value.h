/*
 * Single values of a section: durations, sizes, shares and names, each
 * with its unit and its range.
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
	POLICY_VALUE_TEXT, /* words for people */
	POLICY_VALUE_DIGEST, /* SHA-256 as 64 hex digits */
	POLICY_VALUE_COUNT, /* a whole number */
	POLICY_VALUE_MS, /* duration kept in milliseconds */
	POLICY_VALUE_S, /* duration kept in seconds */
	POLICY_VALUE_BYTES, /* size: B, KB, MB, GB (powers of 1,024) */
	POLICY_VALUE_PERCENT, /* whole percent */
	POLICY_VALUE_PERMYRIAD, /* percent with two decimals */
	POLICY_VALUE_CHOICE /* one of the words of allowed */
};

struct policy_value_rule {
	enum policy_value_kind kind;
	uint64_t min; /* in the kept unit; for texts bytes */
	uint64_t max;
	const char *allowed; /* POLICY_VALUE_CHOICE: "a|b" */
};

/* Kinds that are kept as text or digest rather than as a number. */
bool policy_value_is_text(enum policy_value_kind kind);
bool policy_value_is_valid_text(
    const struct policy_value_rule *rule, struct str text) ATTR_NONNULL_ALL;
bool policy_value_parse_number(const struct policy_value_rule *rule,
    struct str text, uint64_t *value) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
bool policy_value_parse_digest(struct str text, uint8_t *digest)
    ATTR_NONNULL(2) ATTR_UNUSED_RESULT;
/* "a duration from 1ms to 10m, such as 800ms" */
void policy_value_describe(
    const struct policy_value_rule *rule, struct str_buf *out) ATTR_NONNULL_ALL;

#endif
