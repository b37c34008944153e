#include "replica/storage_record.h"

#include <string.h>

#include <xxhash.h>

enum {
	MAGIC = 0x47594c31,
	AT_MAGIC = 0,
	AT_KIND = 4,
	AT_LEN = 8,
	AT_FIRST = 16,
	AT_SECOND = 24,
	AT_DATA_HASH = 32,
	AT_HEADER_HASH = 40
};

/*
 * Encodes 64 bits in little-endian order.
 */
static void
put_u64(char *at, uint64_t value)
{
	for (int i = 0; i < 8; i++)
		at[i] = (char)(value >> (8 * i));
}

/*
 * Decodes 64 bits in little-endian order.
 */
static uint64_t
get_u64(const char *at)
{
	uint64_t value = 0;

	for (int i = 7; i >= 0; i--)
		value = value << 8 | (uint8_t)at[i];
	return value;
}

/*
 * Encodes 32 bits in little-endian order.
 */
static void
put_u32(char *at, uint32_t value)
{
	for (int i = 0; i < 4; i++)
		at[i] = (char)(value >> (8 * i));
}

/*
 * Decodes 32 bits in little-endian order.
 */
static uint32_t
get_u32(const char *at)
{
	uint32_t value = 0;

	for (int i = 3; i >= 0; i--)
		value = value << 8 | (uint8_t)at[i];
	return value;
}

/*
 * Appends the encoded record to out.
 */
void
record_append(struct str_buf *out, const struct record *record)
{
	char header[RECORD_HEADER_BYTES];

	put_u32(header + AT_MAGIC, MAGIC);
	put_u32(header + AT_KIND, record->kind);
	put_u64(header + AT_LEN, record->data.len);
	put_u64(header + AT_FIRST, record->first);
	put_u64(header + AT_SECOND, record->second);
	put_u64(header + AT_DATA_HASH,
	    XXH3_64bits(record->data.data, record->data.len));
	put_u64(header + AT_HEADER_HASH, XXH3_64bits(header, AT_HEADER_HASH));
	str_buf_append(out, str_of(header, sizeof(header)));
	if (record->data.len > 0)
		str_buf_append(out, record->data);
}

/*
 * Reads the record at the start of bytes.  A complete header that fails its
 * checksum is corrupt, never truncated, since a torn write leaves a prefix.
 */
enum record_status
record_read(struct str bytes, struct record *record, size_t *size)
{
	const char *header = bytes.data;
	uint64_t len;

	if (bytes.len < RECORD_HEADER_BYTES)
		return RECORD_TRUNCATED;
	len = get_u64(header + AT_LEN);
	if (get_u32(header + AT_MAGIC) != MAGIC ||
	    get_u64(header + AT_HEADER_HASH) !=
		XXH3_64bits(header, AT_HEADER_HASH) ||
	    len > RECORD_DATA_MAX_BYTES)
		return RECORD_CORRUPT;
	if (bytes.len - RECORD_HEADER_BYTES < len)
		return RECORD_TRUNCATED;
	*record = (struct record){.kind = get_u32(header + AT_KIND),
	    .first = get_u64(header + AT_FIRST),
	    .second = get_u64(header + AT_SECOND),
	    .data = str_of(header + RECORD_HEADER_BYTES, len)};
	if (get_u64(header + AT_DATA_HASH) !=
	    XXH3_64bits(record->data.data, record->data.len))
		return RECORD_CORRUPT;
	*size = RECORD_HEADER_BYTES + len;
	return RECORD_VALID;
}
