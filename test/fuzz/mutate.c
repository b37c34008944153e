/*
 * Driver that runs a fuzz target on mutated seed inputs: --seed N --runs N.
 * The same seed and number of runs give the same inputs.  --run K runs only
 * input K, to reproduce a failure.
 */
#include "mutate.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"
#include "base/random.h"

enum {
	SEEDS_MAX = 64,
	INPUT_MAX_BYTES = 1 << 16,
	MUTATIONS_MAX = 8
};

static const uint8_t edge_bytes[] = {
    0x00, 0x01, 0x7f, 0x80, 0xff, '\n', '"', '\'', ':', '{', '}', '[', '%'};

struct input {
	uint8_t *data;
	size_t len;
};

/*
 * Removes a random range.
 */
static void
remove_range(struct random *random, struct input *input)
{
	size_t at = random_below(random, input->len);
	size_t len = 1 + random_below(random, input->len - at);

	memmove(
	    input->data + at, input->data + at + len, input->len - at - len);
	input->len -= len;
}

/*
 * Inserts a copy of a range of another seed input at a random position.
 */
static void
splice(struct random *random, struct input *input, const struct fuzz_seed *seed)
{
	size_t at = random_below(random, input->len + 1);
	size_t from, len;

	if (seed->len == 0)
		return;
	from = random_below(random, seed->len);
	len = 1 + random_below(random, seed->len - from);
	if (input->len + len > INPUT_MAX_BYTES)
		return;
	memmove(input->data + at + len, input->data + at, input->len - at);
	memcpy(input->data + at, seed->data + from, len);
	input->len += len;
}

/*
 * Applies one random mutation.
 */
static void
mutate(
    struct random *random, struct input *input, const struct fuzz_seed *other)
{
	uint64_t kind = random_below(random, 6);
	size_t at;

	if (input->len == 0 || kind == 0) {
		splice(random, input, other);
		return;
	}
	at = random_below(random, input->len);
	switch (kind) {
	case 1:
		input->data[at] ^= (uint8_t)(1u << random_below(random, 8));
		break;
	case 2:
		input->data[at] = (uint8_t)random_next(random);
		break;
	case 3:
		input->data[at] =
		    edge_bytes[random_below(random, sizeof(edge_bytes))];
		break;
	case 4:
		remove_range(random, input);
		break;
	default:
		input->len = at;
		break;
	}
}

/*
 * Mutates a random seed input and runs the target on it.  The input is copied
 * to a block of exactly its size, so that a sanitizer detects reads past its
 * end.
 */
static void
run_input(struct random *random, struct input *input,
    const struct fuzz_seed *seeds, size_t count)
{
	const struct fuzz_seed *seed = &seeds[random_below(random, count)];
	uint64_t mutations = random_below(random, MUTATIONS_MAX + 1);
	uint8_t *exact;

	input->len = seed->len < INPUT_MAX_BYTES ? seed->len : INPUT_MAX_BYTES;
	if (input->len > 0)
		memcpy(input->data, seed->data, input->len);
	for (uint64_t i = 0; i < mutations; i++)
		mutate(random, input, &seeds[random_below(random, count)]);
	exact = mem_alloc(input->len);
	if (input->len > 0)
		memcpy(exact, input->data, input->len);
	LLVMFuzzerTestOneInput(exact, input->len);
	mem_free(exact);
}

/*
 * Returns the number given after a flag, or value when the flag is missing.
 */
static uint64_t
parse_number_flag(int argc, char **argv, const char *flag, uint64_t value)
{
	for (int i = 1; i + 1 < argc; i++) {
		if (strcmp(argv[i], flag) == 0)
			value = strtoull(argv[i + 1], NULL, 10);
	}
	return value;
}

int
main(int argc, char **argv)
{
	uint64_t seed = parse_number_flag(argc, argv, "--seed", 1);
	uint64_t runs = parse_number_flag(argc, argv, "--runs", 1000);
	uint64_t only_run = parse_number_flag(argc, argv, "--run", UINT64_MAX);
	struct fuzz_seed seeds[SEEDS_MAX];
	size_t count = fuzz_seeds(seeds, SEEDS_MAX);
	struct input input = {.data = mem_alloc(INPUT_MAX_BYTES)};
	uint64_t runs_done = 0;

	if (count == 0)
		seeds[count++] = (struct fuzz_seed){.data = NULL};
	for (uint64_t i = 0; i < runs; i++) {
		struct random random;

		if (only_run != UINT64_MAX && i != only_run)
			continue;
		random_seed(&random, seed * UINT64_C(1000003) + i);
		run_input(&random, &input, seeds, count);
		runs_done++;
	}
	mem_free(input.data);
	printf("seed=%llu runs=%llu seeds=%zu ok\n", (unsigned long long)seed,
	    (unsigned long long)runs_done, count);
	return 0;
}
