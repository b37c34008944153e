/*
 * Conversion of raw text fields to typed values, driven by the field tables.
 * Errors are collected rather than ending the conversion.
 */
#ifndef DOCUMENT_POLICY_CONVERT_H
#define DOCUMENT_POLICY_CONVERT_H

#include "document/policy_arena.h"
#include "document/policy_fields.h"
#include "document/policy_lines.h"

enum {
	POLICY_PATH_BYTES = 192 /* of "service.routes[2].path" */
};

struct policy_convert {
	const struct policy_lines *lines;
	struct policy_arena *arena;
	struct str name; /* section name; empty until known */
	struct str_buf *messages; /* one error per line */
	unsigned errors;
};

void policy_convert_error(struct policy_convert *convert, const char *path,
    const char *found, const char *allowed) ATTR_NONNULL(1, 2, 4);
void policy_convert_rule_error(struct policy_convert *convert, const char *path,
    const char *found, const struct policy_value_rule *rule)
    ATTR_NONNULL(1, 2, 4);
void policy_convert_field_path(const char *prefix, const char *key,
    char out[POLICY_PATH_BYTES]) ATTR_NONNULL_ALL;
void
policy_convert_fields(struct policy_convert *convert, enum policy_table which,
    const char *prefix, const void *raw, void *typed) ATTR_NONNULL_ALL;
void policy_convert_element_path(const char *list, uint32_t index,
    char out[POLICY_PATH_BYTES]) ATTR_NONNULL_ALL;
void *policy_convert_list(struct policy_convert *convert,
    enum policy_table which, const char *list, const void *raw,
    size_t raw_bytes, uint32_t count, size_t bytes) ATTR_NONNULL(1, 3);
struct str *policy_convert_names(struct policy_convert *convert,
    const char *list, const struct policy_value_rule *rule, char *const *raw,
    uint32_t count) ATTR_NONNULL(1, 2, 3);
void policy_convert_check_unique(struct policy_convert *convert,
    const char *list, const void *elements, size_t bytes, size_t name_offset,
    uint32_t count) ATTR_NONNULL(1, 2);

#endif
