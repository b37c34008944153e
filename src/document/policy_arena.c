#include "document/policy_arena.h"

#include <string.h>

#include "base/memory.h"

enum {
	ARENA_ALIGN_BYTES = 16,
	ARENA_MIN_BLOCK_BYTES = 1024
};

struct block {
	struct block *next;
	size_t used;
	size_t capacity;
	_Alignas(ARENA_ALIGN_BYTES) char data[];
};

struct policy_arena {
	struct block *blocks; /* allocations come from the first */
	size_t bytes; /* allocated from the system */
};

/* Prepends a zeroed block of at least bytes bytes. */
static void
add_block(struct policy_arena *arena, size_t bytes)
{
	size_t capacity =
	    bytes > ARENA_MIN_BLOCK_BYTES ? bytes : ARENA_MIN_BLOCK_BYTES;
	struct block *block = mem_calloc(1, sizeof(*block) + capacity);

	block->capacity = capacity;
	block->next = arena->blocks;
	arena->blocks = block;
	arena->bytes += sizeof(*block) + capacity;
}

/*
 * Returns an empty arena whose first block holds bytes_hint bytes.
 */
struct policy_arena *
policy_arena_new(size_t bytes_hint)
{
	struct policy_arena *arena = mem_calloc(1, sizeof(*arena));

	arena->bytes = sizeof(*arena);
	add_block(arena, bytes_hint);
	return arena;
}

/*
 * Frees the arena and everything allocated from it; NULL is allowed.
 */
void
policy_arena_free(struct policy_arena *arena)
{
	struct block *block;

	if (arena == NULL)
		return;
	while ((block = arena->blocks) != NULL) {
		arena->blocks = block->next;
		mem_free(block);
	}
	mem_free(arena);
}

/*
 * Returns zeroed memory for count objects of the given size, aligned to
 * ARENA_ALIGN_BYTES.
 */
void *
policy_arena_alloc(struct policy_arena *arena, size_t count, size_t bytes)
{
	size_t need = count * bytes;
	struct block *block;
	void *result;

	need =
	    (need + ARENA_ALIGN_BYTES - 1) & ~(size_t)(ARENA_ALIGN_BYTES - 1);
	if (arena->blocks->capacity - arena->blocks->used < need)
		add_block(arena, need);
	block = arena->blocks;
	result = block->data + block->used;
	block->used += need;
	return result;
}

/*
 * Returns a NUL-terminated copy of text that lives as long as the arena.
 */
struct str
policy_arena_copy(struct policy_arena *arena, struct str text)
{
	char *copy = policy_arena_alloc(arena, text.len + 1, 1);

	if (text.len > 0)
		memcpy(copy, text.data, text.len);
	return str_of(copy, text.len);
}

/*
 * Returns the number of bytes allocated from the system.
 */
size_t
policy_arena_bytes(const struct policy_arena *arena)
{
	return arena->bytes;
}
