#include "base/pattern.h"

#include <string.h>

enum {
	WORD_BYTES = 8
};

/*
 * Returns the word at an index of the body: splitmix64 (Steele, Lea and Flood
 * 2014) of nonce and index.
 */
static uint64_t
word_at(uint64_t nonce, uint64_t index)
{
	uint64_t z = nonce + (index + 1) * UINT64_C(0x9e3779b97f4a7c15);

	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

/*
 * Writes len bytes of the body derived from nonce, starting at a byte offset.
 */
void
pattern_fill(uint64_t nonce, uint64_t offset, char *out, size_t len)
{
	while (len > 0) {
		uint64_t word = word_at(nonce, offset / WORD_BYTES);
		size_t skip = offset % WORD_BYTES;
		size_t part = WORD_BYTES - skip < len ? WORD_BYTES - skip : len;

		memcpy(out, (const char *)&word + skip, part);
		out += part;
		offset += part;
		len -= part;
	}
}

/*
 * Returns whether len bytes equal the body derived from nonce at the offset.
 */
bool
pattern_matches(uint64_t nonce, uint64_t offset, const char *data, size_t len)
{
	while (len > 0) {
		uint64_t word = word_at(nonce, offset / WORD_BYTES);
		size_t skip = offset % WORD_BYTES;
		size_t part = WORD_BYTES - skip < len ? WORD_BYTES - skip : len;

		if (memcmp(data, (const char *)&word + skip, part) != 0)
			return false;
		data += part;
		offset += part;
		len -= part;
	}
	return true;
}
