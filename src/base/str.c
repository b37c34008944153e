#include "base/str.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <xxhash.h>

#include "base/memory.h"

enum {
	BUF_MIN_BYTES = 64
};

/*
 * Returns a view of a NUL-terminated string; an empty view for NULL.
 */
struct str
str_from(const char *text)
{
	if (text == NULL)
		return (struct str){.data = "", .len = 0};
	return (struct str){.data = text, .len = strlen(text)};
}

/*
 * Returns a view of len bytes.
 */
struct str
str_of(const char *data, size_t len)
{
	return (struct str){.data = data, .len = len};
}

/*
 * Compares two views byte by byte; empty views are equal whatever their data.
 */
bool
str_equal(struct str a, struct str b)
{
	return a.len == b.len &&
	    (a.len == 0 || memcmp(a.data, b.data, a.len) == 0);
}

/*
 * Compares a view with a NUL-terminated string; NULL counts as empty.
 */
bool
str_equal_c(struct str a, const char *b)
{
	return str_equal(a, str_from(b));
}

/*
 * Returns whether s starts with prefix; an empty prefix always matches.
 */
bool
str_has_prefix(struct str s, struct str prefix)
{
	if (s.len < prefix.len)
		return false;
	return prefix.len == 0 || memcmp(s.data, prefix.data, prefix.len) == 0;
}

/*
 * Returns whether c is a space, tab, CR or LF, independent of the locale.
 */
static bool
is_space(char c)
{
	return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

/*
 * Returns s without leading and trailing spaces, tabs, CRs and LFs.
 */
struct str
str_trim(struct str s)
{
	while (s.len > 0 && is_space(s.data[0])) {
		s.data++;
		s.len--;
	}
	while (s.len > 0 && is_space(s.data[s.len - 1]))
		s.len--;
	return s;
}

/*
 * Moves the part before the next separator from *rest to *head.  Returns
 * false when *rest is exhausted (its data is then NULL).
 */
bool
str_split(struct str *rest, char separator, struct str *head)
{
	const char *end;

	if (rest->data == NULL)
		return false;
	end = rest->len > 0 ? memchr(rest->data, separator, rest->len) : NULL;
	if (end == NULL) {
		*head = *rest;
		*rest = (struct str){0};
		return true;
	}
	*head = str_of(rest->data, (size_t)(end - rest->data));
	rest->len -= head->len + 1;
	rest->data = end + 1;
	return true;
}

/*
 * Parses the whole view as a decimal number.  Returns false for an empty view,
 * a character other than a digit or a value over 64 bits.
 */
bool
str_to_u64(struct str s, uint64_t *value)
{
	uint64_t sum = 0;

	if (s.len == 0)
		return false;
	for (size_t i = 0; i < s.len; i++) {
		unsigned digit = (unsigned char)s.data[i] - (unsigned)'0';

		if (digit > 9)
			return false;
		if (sum > (UINT64_MAX - digit) / 10)
			return false;
		sum = sum * 10 + digit;
	}
	*value = sum;
	return true;
}

/*
 * Reads a decimal number in millionths.
 */
bool
str_to_micros(struct str s, uint64_t max, uint64_t *value)
{
	uint64_t unit = 1000000;
	uint64_t sum = 0;
	bool fraction = false;
	bool digits = false;

	for (size_t i = 0; i < s.len; i++) {
		char c = s.data[i];

		if (c == '.' && digits && !fraction) {
			fraction = true;
			continue;
		}
		if (c < '0' || c > '9')
			return false;
		digits = true;
		if (fraction)
			unit /= 10;
		else
			sum *= 10;
		sum += (uint64_t)(c - '0') * unit;
		if (sum > max)
			sum = max;
	}
	*value = sum;
	return digits;
}

/*
 * Returns a NUL-terminated copy, to be released by mem_free().
 */
char *
str_dup(struct str s)
{
	char *copy = mem_alloc(s.len + 1);

	if (s.len > 0)
		memcpy(copy, s.data, s.len);
	copy[s.len] = '\0';
	return copy;
}

/*
 * Returns the 64-bit XXH3 hash of the view.
 */
uint64_t
str_hash(struct str s)
{
	return XXH3_64bits(s.data, s.len);
}

/*
 * Returns the 64-bit XXH3 hash of the view with a seed.
 */
uint64_t
str_hash_with(struct str s, uint64_t seed)
{
	return XXH3_64bits_withSeed(s.data, s.len, seed);
}

/*
 * Compares two views bytewise; a prefix orders before a longer view.  Returns a
 * value below, equal to or above zero, as memcmp(3).
 */
int
str_compare(struct str a, struct str b)
{
	size_t len = a.len < b.len ? a.len : b.len;
	int order = len > 0 ? memcmp(a.data, b.data, len) : 0;

	if (order != 0)
		return order;
	return (a.len > b.len) - (a.len < b.len);
}

/*
 * Copies s to *at, advances *at past it and returns a view of the copy.  For
 * records allocated in one block with their strings.
 */
struct str
str_pack(char **at, struct str s)
{
	struct str copy = str_of(*at, s.len);

	if (s.len > 0)
		memcpy(*at, s.data, s.len);
	*at += s.len;
	return copy;
}

/*
 * Grows the buffer, by doubling, to hold extra bytes and the final NUL; aborts
 * when out of memory.
 */
static void
buf_reserve(struct str_buf *buf, size_t extra)
{
	size_t need = buf->len + extra + 1;
	size_t capacity = buf->capacity;

	if (need <= capacity)
		return;
	if (capacity < BUF_MIN_BYTES)
		capacity = BUF_MIN_BYTES;
	while (capacity < need)
		capacity *= 2;
	buf->data = mem_resize(buf->data, capacity);
	buf->capacity = capacity;
}

/*
 * Grows the buffer to a capacity, which includes the final NUL, without
 * doubling; aborts when out of memory.
 */
void
str_buf_reserve(struct str_buf *buf, size_t capacity)
{
	if (capacity <= buf->capacity)
		return;
	buf->data = mem_resize(buf->data, capacity);
	buf->data[buf->len] = '\0';
	buf->capacity = capacity;
}

/*
 * Appends the bytes of s, which must not point into the buffer itself; data
 * stays NUL-terminated.
 */
void
str_buf_append(struct str_buf *buf, struct str s)
{
	buf_reserve(buf, s.len);
	if (s.len > 0)
		memcpy(buf->data + buf->len, s.data, s.len);
	buf->len += s.len;
	buf->data[buf->len] = '\0';
}

/*
 * Appends a NUL-terminated string; NULL appends nothing.
 */
void
str_buf_append_c(struct str_buf *buf, const char *text)
{
	str_buf_append(buf, str_from(text));
}

/*
 * Appends formatted text, of any length.
 */
void
str_buf_printf(struct str_buf *buf, const char *fmt, ...)
{
	va_list ap;
	int need;

	va_start(ap, fmt);
	need = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (need < 0)
		return;
	buf_reserve(buf, (size_t)need);
	va_start(ap, fmt);
	vsnprintf(buf->data + buf->len, (size_t)need + 1, fmt, ap);
	va_end(ap);
	buf->len += (size_t)need;
}

/*
 * Returns a view of the contents, valid until the buffer is changed.
 */
struct str
str_buf_view(const struct str_buf *buf)
{
	if (buf->data == NULL)
		return str_of("", 0);
	return str_of(buf->data, buf->len);
}

/*
 * Empties the buffer but keeps its memory allocated.
 */
void
str_buf_clear(struct str_buf *buf)
{
	buf->len = 0;
	if (buf->data != NULL)
		buf->data[0] = '\0';
}

/*
 * Releases the memory; the buffer may be used again.
 */
void
str_buf_free(struct str_buf *buf)
{
	mem_free(buf->data);
	*buf = (struct str_buf){0};
}
