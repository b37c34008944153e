/*
 * Header fields of a message, as reported piecewise by the HTTP parser.
 */
#ifndef FLOW_HEAD_H
#define FLOW_HEAD_H

#include "base/str.h"

enum {
	HEAD_FIELDS_MAX = 100 /* the limit of common HTTP implementations */
};

struct head_field {
	uint32_t name_offset;
	uint32_t name_len;
	uint32_t value_offset;
	uint32_t value_len;
};

struct head {
	struct str_buf text;
	struct head_field fields[HEAD_FIELDS_MAX];
	unsigned count;
	bool in_value;
};

/* Append a piece of a name or a value; false if there are too many fields. */
bool head_append_name(struct head *head, struct str piece) ATTR_NONNULL_ALL;
bool head_append_value(struct head *head, struct str piece) ATTR_NONNULL_ALL;
/*
 * The value of the first field with this name; data is NULL if there is none.
 */
struct str
head_find(const struct head *head, const char *name) ATTR_NONNULL_ALL;
/* Whether a message has no transfer coding, or chunks alone. */
bool head_coding_is_chunked(const struct head *head) ATTR_NONNULL_ALL;
/* Whether a field name has a space, which http_parser lets through. */
bool head_has_space_in_name(const struct head *head) ATTR_NONNULL_ALL;
/*
 * The value of the first field with this name from *at on, which is set behind
 * it; data is NULL if there is none.
 */
struct str head_find_next(
    const struct head *head, const char *name, unsigned *at) ATTR_NONNULL_ALL;
unsigned head_count(const struct head *head, const char *name) ATTR_NONNULL_ALL;
/*
 * Appends the end-to-end fields, except those in the NULL-terminated list
 * without.
 */
void head_forward(const struct head *head, const char *const *without,
    struct str_buf *out) ATTR_NONNULL_ALL;
void head_clear(struct head *head) ATTR_NONNULL_ALL;
void head_free(struct head *head) ATTR_NONNULL_ALL;

#endif
