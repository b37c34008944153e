/*
 * Strings with a length: a borrowed view (struct str) and an owned, growable
 * buffer (struct str_buf).
 */
#ifndef BASE_STR_H
#define BASE_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/attr.h"

struct str {
	const char *data;
	size_t len;
};

struct str_buf {
	char *data; /* always NUL-terminated once non-NULL */
	size_t len;
	size_t capacity;
};

/* printf arguments for a view: printf("%.*s", STR_ARG(s)) */
#define STR_ARG(s) (int)(s).len, (s).data
#define STR_LITERAL(text) \
	((struct str){.data = (text), .len = sizeof(text) - 1})

struct str str_from(const char *text);
struct str str_of(const char *data, size_t len);
bool str_equal(struct str a, struct str b);
bool str_equal_c(struct str a, const char *b) ATTR_NONNULL_ALL;
bool str_has_prefix(struct str s, struct str prefix);
struct str str_trim(struct str s);
bool
str_split(struct str *rest, char separator, struct str *head) ATTR_NONNULL_ALL;
bool
str_to_u64(struct str s, uint64_t *value) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
/*
 * Reads digits with an optional fraction, without sign or exponent, in
 * millionths; a number above max counts as max.
 */
bool str_to_micros(struct str s, uint64_t max,
    uint64_t *value) ATTR_NONNULL_ALL ATTR_UNUSED_RESULT;
char *str_dup(struct str s) ATTR_UNUSED_RESULT;
uint64_t str_hash(struct str s);
/* A hash that continues another one. */
uint64_t str_hash_with(struct str s, uint64_t seed);
int str_compare(struct str a, struct str b);
struct str str_pack(char **at, struct str s) ATTR_NONNULL_ALL;

void str_buf_reserve(struct str_buf *buf, size_t capacity) ATTR_NONNULL_ALL;
void str_buf_append(struct str_buf *buf, struct str s) ATTR_NONNULL_ALL;
void str_buf_append_c(struct str_buf *buf, const char *text) ATTR_NONNULL_ALL;
void str_buf_printf(struct str_buf *buf, const char *fmt, ...) ATTR_PRINTF(2, 3)
    ATTR_NONNULL(1, 2);
struct str str_buf_view(const struct str_buf *buf) ATTR_NONNULL_ALL;
void str_buf_clear(struct str_buf *buf) ATTR_NONNULL_ALL;
void str_buf_free(struct str_buf *buf) ATTR_NONNULL_ALL;

#endif
