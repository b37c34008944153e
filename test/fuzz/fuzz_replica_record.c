/*
 * The record reader of the data folder never reads past its input, and any
 * record that it accepts is byte for byte what the writer produces.
 */
#include <string.h>

#include "base/invariant.h"
#include "mutate.h"
#include "replica/storage_record.h"

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct str rest = str_of((const char *)data, len);
	struct record record;
	size_t size;

	while (record_read(rest, &record, &size) == RECORD_VALID) {
		struct str_buf encoded = {0};

		INVARIANT(size <= rest.len, "record longer than its input");
		record_append(&encoded, &record);
		INVARIANT(encoded.len == size &&
			memcmp(encoded.data, rest.data, size) == 0,
		    "record differs when written again");
		str_buf_free(&encoded);
		rest.data += size;
		rest.len -= size;
	}
	return 0;
}

size_t
fuzz_seeds(struct fuzz_seed *seeds, size_t max)
{
	static struct str_buf bytes[3];
	size_t count = sizeof(bytes) / sizeof(*bytes);

	for (size_t i = 0; i < count && i < max; i++) {
		for (size_t j = 0; j <= i; j++) {
			const struct record record = {.kind = (uint32_t)j,
			    .first = j + 1,
			    .second = i,
			    .data = str_from(j % 2 == 0 ? "a command" : "")};

			record_append(&bytes[i], &record);
		}
		seeds[i] =
		    (struct fuzz_seed){.data = (const uint8_t *)bytes[i].data,
			.len = bytes[i].len};
	}
	return count < max ? count : max;
}
