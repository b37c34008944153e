/*
 * Seeded mutation driver for fuzz targets.  A target defines
 * LLVMFuzzerTestOneInput() and fuzz_seeds(); mutate.c provides main().
 */
#ifndef FUZZ_MUTATE_H
#define FUZZ_MUTATE_H

#include <stddef.h>
#include <stdint.h>

struct fuzz_seed {
	const uint8_t *data;
	size_t len;
};

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);
/*
 * Implemented by the target: stores at most max seed inputs, which live as long
 * as the process, and returns their number.
 */
size_t fuzz_seeds(struct fuzz_seed *seeds, size_t max);

#endif
