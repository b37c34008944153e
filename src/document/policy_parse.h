/*
 * Parsing that reports all errors at once, for gypsummillctl check.
 */
#ifndef DOCUMENT_POLICY_PARSE_H
#define DOCUMENT_POLICY_PARSE_H

#include "document/policy.h"

enum {
	POLICY_SECTION_MAX_BYTES = 512 * 1024,
	POLICY_ERRORS_MAX = 20 /* errors listed; the rest are counted */
};

/*
 * Like policy_section_parse(), but appends every error to messages, one per
 * line.
 */
enum status policy_section_check(struct str text, uint64_t revision,
    struct policy_section **section,
    struct str_buf *messages) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;

#endif
